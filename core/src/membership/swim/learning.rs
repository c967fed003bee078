//! What the process learns of others, and how it answers what is said of itself.

use std::{net::SocketAddrV4, time::Duration};

use super::{Action, FETCHED, Swim};
use crate::{
    clock::Time,
    member::MemberState,
    membership::message::{Update, Verdict},
    membership::news::Class,
    membership::roster::Applied,
    owner_id::Incarnation,
};

/// Time after an answer within which a member is not given up on another's word.
const FRESH_ANSWER: Duration = Duration::from_secs(2);

impl Swim {
    pub(super) fn announce(&mut self, class: Class, reason: &'static str, now: Time) {
        let own = self.own.clone();
        self.roster.change(own.address, now, |entry| {
            entry.record = own.clone();
            entry.verdict = Verdict::Alive;
        });
        self.news.push(own.address, class);
        self.mark(class);
        if class != Class::Weight {
            self.log(own.address, reason);
        }
    }

    /// Takes an update and passes it on if it is new.
    pub(super) fn learn(&mut self, update: &Update, reason: &'static str, now: Time) -> Applied {
        let address = update.address.0;
        if address == self.own.address && reason != "self" {
            self.refute(update, now);
            return Applied::Known;
        }
        let softened = self.soften(update, now);
        let update = softened.as_ref().unwrap_or(update);
        let known = self.roster.get(address).is_some();
        let applied = self.roster.apply(update, now);
        let accuser = update.accuser.map(|a| a.0);
        if let (Applied::Known, Verdict::Suspect, Some(accuser)) =
            (applied, update.condition.verdict, accuser)
        {
            self.confirm(address, accuser, now);
        }
        let Applied::Changed(class) = applied else {
            if applied == Applied::Known && reason != FETCHED && self.is_early() {
                // Others pass the same news on, so that it needs fewer sends from here.
                self.count_send(address);
            }
            return applied;
        };
        if !known {
            self.probes.add(address, &mut self.rng);
        }
        self.track(address, accuser, now);
        if update.condition.verdict == Verdict::Alive {
            self.probes.forget(address);
        }
        if reason != FETCHED {
            self.news.push(address, class);
        }
        self.mark(class);
        if class != Class::Weight {
            self.log(address, reason);
        }
        applied
    }

    /// Keeps a member suspect that another gave up, where this process knows better.
    pub(super) fn soften(&self, update: &Update, now: Time) -> Option<Update> {
        if update.condition.verdict != Verdict::Dead {
            return None;
        }
        let entry = self.roster.get(update.address.0)?;
        let fresh = self
            .answers
            .iter()
            .any(|(a, at)| *a == update.address.0 && now.since(*at) < FRESH_ANSWER);
        if !entry.is_live() || !(fresh || self.hold.covers(&entry.record.domain)) {
            return None;
        }
        let mut softened = update.clone();
        softened.condition.verdict = Verdict::Suspect;
        Some(softened)
    }

    /// Starts or ends the timer of a member after a change.
    pub(super) fn track(
        &mut self,
        address: SocketAddrV4,
        accuser: Option<SocketAddrV4>,
        now: Time,
    ) {
        let Some(entry) = self.roster.get(address) else {
            return;
        };
        let suspect = entry.is_live() && entry.verdict == Verdict::Suspect;
        if !suspect {
            self.suspicions.clear(address);
            return;
        }
        let accuser = accuser.unwrap_or(self.own.address);
        self.suspicions.accuse(address, accuser, now);
    }

    pub(super) fn confirm(&mut self, address: SocketAddrV4, accuser: SocketAddrV4, now: Time) {
        let Some(entry) = self.roster.get(address) else {
            return;
        };
        if entry.verdict == Verdict::Suspect && entry.is_live() {
            self.suspicions.accuse(address, accuser, now);
        }
    }

    pub(super) fn suspect(&mut self, address: SocketAddrV4, now: Time) {
        let Some(entry) = self.roster.get(address) else {
            return;
        };
        if !entry.is_live() {
            return;
        }
        let known = entry.verdict == Verdict::Suspect;
        self.suspicions.accuse(address, self.own.address, now);
        if known {
            return;
        }
        self.roster
            .change(address, now, |entry| entry.verdict = Verdict::Suspect);
        self.news.push(address, Class::Verdict);
        self.mark(Class::Verdict);
        self.log(address, "probe_failed");
    }

    /// Answers what others say about this process with a newer record.
    pub(super) fn refute(&mut self, update: &Update, now: Time) {
        let theirs = (update.incarnation, update.version);
        let ours = (self.own.incarnation, self.own.version);
        let accused = update.condition.verdict != Verdict::Alive;
        if theirs < ours && accused {
            // The answer to an earlier accusation was lost, or has not arrived yet.
            self.news.push(self.own.address, Class::Verdict);
            return;
        }
        if theirs < ours || (theirs == ours && !accused) {
            return;
        }
        if self.own.state == MemberState::Left {
            return;
        }
        if update.incarnation > self.own.incarnation {
            self.begin_life(Incarnation(update.incarnation.0 + 1), "superseded", now);
            return;
        }
        self.own.version = update.version + 1;
        if accused {
            self.probes.worsen();
        }
        let class = match update.condition.verdict {
            Verdict::Dead => Class::State,
            _ => Class::Verdict,
        };
        self.announce(class, "refuted", now);
    }

    pub(super) fn begin_life(&mut self, incarnation: Incarnation, reason: &'static str, now: Time) {
        self.own.incarnation = incarnation;
        self.own.version = 0;
        self.actions.push(Action::Reborn(incarnation));
        self.announce(Class::State, reason, now);
    }
}
