//! Updates about other members and refutation of updates about this process.

use std::{net::SocketAddrV4, time::Duration};

use super::{Action, FETCHED, STARTED, Swim};
use crate::{
    clock::Time,
    member::MemberState,
    membership::message::{Liveness, Update},
    membership::roster::UpdateOutcome,
    membership::update_queue::UpdateClass,
    owner_id::Incarnation,
};

/// Time after an acknowledgement during which a reported death counts only as a suspicion.
const RECENT_ACK_WINDOW: Duration = Duration::from_secs(2);

impl Swim {
    pub(super) fn announce(&mut self, class: UpdateClass, reason: &'static str, now: Time) {
        let own = self.own.clone();
        self.roster.update(own.address, now, |entry| {
            entry.record = own.clone();
            entry.liveness = Liveness::Alive;
        });
        self.update_queue.push(own.address, class);
        self.mark_unpublished(class);
        if class != UpdateClass::Weight {
            self.queue_member_event(own.address, reason);
        }
    }

    /// Applies an update about another member or, with the reason [`STARTED`], the own record, and
    /// queues it for gossip if it is new and was not fetched; refutes any other update about this
    /// process.
    pub(super) fn apply_update(
        &mut self,
        update: &Update,
        reason: &'static str,
        now: Time,
    ) -> UpdateOutcome {
        let address = update.address.0;
        if address == self.own.address && reason != STARTED {
            self.refute(update, now);
            return UpdateOutcome::Unchanged;
        }
        let downgraded = self.downgraded_death(update, now);
        let update = downgraded.as_ref().unwrap_or(update);
        let was_known = self.roster.get(address).is_some();
        let outcome = self.roster.apply(update, now);
        let reporter = update.reporter.map(|a| a.0);
        if let (UpdateOutcome::Unchanged, Liveness::Suspect, Some(reporter)) =
            (outcome, update.combined_state.liveness, reporter)
        {
            self.confirm_suspicion(address, reporter, now);
        }
        let UpdateOutcome::Changed(class) = outcome else {
            let is_startup_join = self.is_starting() && self.is_running(address);
            if outcome == UpdateOutcome::Unchanged && reason != FETCHED && is_startup_join {
                // Other processes gossip the same join, so this one needs fewer transmissions.
                self.count_send(address);
            }
            return outcome;
        };
        if !was_known {
            self.probes.insert(address, &mut self.rng);
        }
        self.update_suspicion(address, reporter, now);
        if update.combined_state.liveness == Liveness::Alive {
            self.probes.cancel(address);
        }
        if reason != FETCHED {
            self.update_queue.push(address, class);
        }
        self.mark_unpublished(class);
        if class != UpdateClass::Weight {
            self.queue_member_event(address, reason);
        }
        outcome
    }

    /// Returns a reported death as a suspicion, if the member acknowledged a probe of this process
    /// recently or if its removal is held, in its failure domain or in the whole fleet; otherwise
    /// `None`.
    pub(super) fn downgraded_death(&self, update: &Update, now: Time) -> Option<Update> {
        if update.combined_state.liveness != Liveness::Dead {
            return None;
        }
        let entry = self.roster.get(update.address.0)?;
        let is_acknowledged = self
            .recent_acks
            .iter()
            .any(|(a, at)| *a == update.address.0 && now.since(*at) < RECENT_ACK_WINDOW);
        if !entry.is_live() || !(is_acknowledged || self.hold.covers(&entry.record.domain)) {
            return None;
        }
        let mut downgraded = update.clone();
        downgraded.combined_state.liveness = Liveness::Suspect;
        Some(downgraded)
    }

    /// Starts or ends the suspicion of a member after its entry has changed.
    pub(super) fn update_suspicion(
        &mut self,
        address: SocketAddrV4,
        reporter: Option<SocketAddrV4>,
        now: Time,
    ) {
        let Some(entry) = self.roster.get(address) else {
            return;
        };
        let is_suspect = entry.is_live() && entry.liveness == Liveness::Suspect;
        if !is_suspect {
            self.suspicions.clear(address);
            return;
        }
        let reporter = reporter.unwrap_or(self.own.address);
        self.suspicions.add_reporter(address, reporter, now);
    }

    pub(super) fn confirm_suspicion(
        &mut self,
        address: SocketAddrV4,
        reporter: SocketAddrV4,
        now: Time,
    ) {
        let Some(entry) = self.roster.get(address) else {
            return;
        };
        if entry.liveness == Liveness::Suspect && entry.is_live() {
            self.suspicions.add_reporter(address, reporter, now);
        }
    }

    pub(super) fn suspect(&mut self, address: SocketAddrV4, now: Time) {
        let Some(entry) = self.roster.get(address) else {
            return;
        };
        if !entry.is_live() {
            return;
        }
        let was_suspect = entry.liveness == Liveness::Suspect;
        self.suspicions.add_reporter(address, self.own.address, now);
        if was_suspect {
            return;
        }
        self.roster
            .update(address, now, |entry| entry.liveness = Liveness::Suspect);
        self.update_queue.push(address, UpdateClass::Liveness);
        self.mark_unpublished(UpdateClass::Liveness);
        self.queue_member_event(address, "probe_failed");
    }

    /// Refutes an update about this process if it is newer than the own record or reports it as
    /// suspected or dead.
    ///
    /// The refutation is a higher version, or a higher incarnation if the update has one. If the
    /// update reports an older version as suspected or dead, the earlier refutation is gossiped
    /// again, also by a process that has left. In all other cases a process that has left does not
    /// refute.
    pub(super) fn refute(&mut self, update: &Update, now: Time) {
        let theirs = (update.incarnation, update.version);
        let ours = (self.own.incarnation, self.own.version);
        let is_suspected_or_dead = update.combined_state.liveness != Liveness::Alive;
        if theirs < ours && is_suspected_or_dead {
            // The refutation of an earlier suspicion was lost or has not arrived yet.
            self.update_queue
                .push(self.own.address, UpdateClass::Liveness);
            return;
        }
        if theirs < ours || (theirs == ours && !is_suspected_or_dead) {
            return;
        }
        if self.own.state == MemberState::Left {
            return;
        }
        if update.incarnation > self.own.incarnation {
            self.start_incarnation(Incarnation(update.incarnation.0 + 1), "superseded", now);
            return;
        }
        self.own.version = update.version + 1;
        if is_suspected_or_dead {
            self.probes.raise_health_score();
        }
        let class = match update.combined_state.liveness {
            Liveness::Dead => UpdateClass::State,
            _ => UpdateClass::Liveness,
        };
        self.announce(class, "refuted", now);
    }

    pub(super) fn start_incarnation(
        &mut self,
        incarnation: Incarnation,
        reason: &'static str,
        now: Time,
    ) {
        self.own.incarnation = incarnation;
        self.own.version = 0;
        self.actions.push(Action::NewIncarnation(incarnation));
        self.announce(UpdateClass::State, reason, now);
    }
}
