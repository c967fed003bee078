//! Probes of members, direct and through others, and what their answers mean.

use std::net::SocketAddrV4;

use super::Swim;
use crate::{
    clock::Time,
    membership::budget::Level,
    membership::message::{Body, Packed, Update, Verdict},
    membership::news::Class,
    membership::probe::RELAYS,
};

/// Answers that are remembered as fresh.
const FRESH_ANSWERS: usize = 16;

/// Suspected members that are probed besides the one whose turn it is.
const SUSPECT_PROBES: usize = 3;

/// Members of silent failure domains, not suspected yet, that are probed in each interval.
const HELD_PROBES: usize = 3;

impl Swim {
    pub(super) fn acknowledged(&mut self, sequence: u32, now: Time) {
        if let Some(relay) = self.probes.relay_answered(sequence) {
            let reply = self.message(Body::Ack {
                sequence: relay.theirs,
            });
            self.send(relay.asker, Level::Probe, reply);
            return;
        }
        let Some(address) = self.probes.answered(sequence) else {
            return;
        };
        if self.answers.len() == FRESH_ANSWERS {
            self.answers.remove(0);
        }
        self.answers.push((address, now));
        let suspect = self.roster.get(address);
        if suspect.is_none_or(|e| e.verdict != Verdict::Suspect) {
            return;
        }
        self.suspicions.clear(address);
        self.roster
            .change(address, now, |entry| entry.verdict = Verdict::Alive);
        self.mark(Class::Verdict);
        self.log(address, "answered");
    }

    pub(super) fn probe(&mut self, now: Time) {
        let own = self.own.address;
        let roster = &self.roster;
        let next = self.probes.next(&mut self.rng, |address| {
            address != own && roster.get(address).is_some_and(|e| e.is_live())
        });
        if let Some(target) = next {
            self.ping(target, now);
        }
        for _ in 0..HELD_PROBES {
            let Some(held) = self.next_held() else {
                break;
            };
            self.held_cursor = held;
            if !self.probes.is_open(held) {
                self.ping(held, now);
            }
        }
        for _ in 0..SUSPECT_PROBES {
            let Some(suspect) = self.suspicions.after(self.suspect_cursor) else {
                return;
            };
            self.suspect_cursor = suspect;
            if !self.probes.is_open(suspect) {
                self.ping(suspect, now);
            }
        }
    }

    /// Returns the next member of a silent failure domain that is not suspected yet: the news of
    /// its suspicion may have been lost, and a whole round of probes would take too long.
    pub(super) fn next_held(&self) -> Option<SocketAddrV4> {
        if self.hold.domains.is_empty() {
            return None;
        }
        let own = self.own.address;
        let mut first = None;
        for entry in self.roster.iter() {
            let record = &entry.record;
            let held = entry.verdict == Verdict::Alive && entry.is_live();
            if !held || record.address == own || !self.hold.domains.contains_key(&record.domain) {
                continue;
            }
            if record.address > self.held_cursor {
                return Some(record.address);
            }
            first = first.or(Some(record.address));
        }
        first
    }

    pub(super) fn ping(&mut self, target: SocketAddrV4, now: Time) {
        let Some(control) = self.control(target) else {
            return;
        };
        let mut message = self.message(Body::Ping { sequence: 0 });
        if let Some(entry) = self.roster.get(target)
            && entry.verdict == Verdict::Suspect
        {
            message.add(Update::brief(&entry.record, entry.verdict));
        }
        if !self.budget.allows(Level::Probe, message.size()) {
            return;
        }
        let sequence = self.probes.open(target, &mut self.rng, now);
        message.body = Body::Ping { sequence };
        self.send(control, Level::Probe, message);
    }

    pub(super) fn ask_others(&mut self, target: SocketAddrV4, sequence: u32) {
        let suspect = self.roster.get(target);
        let Some(entry) = suspect.filter(|e| e.is_live() && e.verdict == Verdict::Alive) else {
            return;
        };
        let control = Packed(entry.record.control);
        for peer in self.peers(RELAYS + 1) {
            let Some(to) = self.control(peer).filter(|_| peer != target) else {
                continue;
            };
            let request = self.message(Body::PingRequest {
                sequence,
                target: control,
            });
            self.send(to, Level::Probe, request);
        }
    }

    pub(super) fn probe_for(
        &mut self,
        asker: SocketAddrV4,
        theirs: u32,
        target: SocketAddrV4,
        now: Time,
    ) {
        let relay = self.probes.relay(asker, theirs, &mut self.rng, now);
        let Some(sequence) = relay else {
            return;
        };
        let ping = self.message(Body::Ping { sequence });
        self.send(target, Level::Probe, ping);
    }
}
