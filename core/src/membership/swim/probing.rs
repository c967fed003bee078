//! Direct and indirect probes of members, and their acknowledgements.

use std::net::SocketAddrV4;

use super::Swim;
use crate::{
    clock::Time,
    membership::budget::SendPriority,
    membership::message::{Body, Liveness, PackedAddress, Update},
    membership::probe::INDIRECT_PROBES,
    membership::update_queue::UpdateClass,
};

/// Acknowledgements that are kept for [`Swim::downgraded_death`].
const MAX_RECENT_ACKS: usize = 16;

/// Suspected members that are probed in each interval besides the next one of the round.
const SUSPECT_PROBES: usize = 3;

/// Unsuspected members of failure domains with held removal that are probed in each interval.
const HOLD_PROBES: usize = 3;

impl Swim {
    pub(super) fn handle_ack(&mut self, sequence: u32, now: Time) {
        if let Some(probe) = self.probes.complete_indirect(sequence) {
            let reply = self.message(Body::Ack {
                sequence: probe.requester_sequence,
            });
            self.send(probe.requester, SendPriority::Probe, reply);
            return;
        }
        let Some(address) = self.probes.complete(sequence) else {
            return;
        };
        if self.recent_acks.len() == MAX_RECENT_ACKS {
            self.recent_acks.remove(0);
        }
        self.recent_acks.push((address, now));
        let entry = self.roster.get(address);
        if entry.is_none_or(|e| e.liveness != Liveness::Suspect) {
            return;
        }
        self.suspicions.clear(address);
        self.roster
            .update(address, now, |entry| entry.liveness = Liveness::Alive);
        self.mark_unpublished(UpdateClass::Liveness);
        self.queue_member_event(address, "answered");
    }

    /// Starts the probes of an interval: of the next member of the round, of unsuspected members
    /// of failure domains in which removal is held, and of suspected members.
    pub(super) fn start_due_probes(&mut self, now: Time) {
        let own = self.own.address;
        let roster = &self.roster;
        let next = self.probes.next_target(&mut self.rng, |address| {
            address != own && roster.get(address).is_some_and(|e| e.is_live())
        });
        if let Some(target) = next {
            self.start_probe(target, now);
        }
        for _ in 0..HOLD_PROBES {
            let Some(held) = self.next_unsuspected_in_hold() else {
                break;
            };
            self.hold_cursor = held;
            if !self.probes.is_open(held) {
                self.start_probe(held, now);
            }
        }
        for _ in 0..SUSPECT_PROBES {
            let Some(suspect) = self.suspicions.next_after(self.suspect_cursor) else {
                return;
            };
            self.suspect_cursor = suspect;
            if !self.probes.is_open(suspect) {
                self.start_probe(suspect, now);
            }
        }
    }

    /// Returns the next member of a failure domain with held removal that is not suspected yet.
    ///
    /// The update about its suspicion may have been lost, and a whole round of probes would take
    /// too long.
    pub(super) fn next_unsuspected_in_hold(&self) -> Option<SocketAddrV4> {
        if self.hold.domains.is_empty() {
            return None;
        }
        let own = self.own.address;
        let mut first = None;
        for entry in self.roster.iter() {
            let record = &entry.record;
            let is_unsuspected = entry.liveness == Liveness::Alive && entry.is_live();
            if !is_unsuspected
                || record.address == own
                || !self.hold.domains.contains_key(&record.domain)
            {
                continue;
            }
            if record.address > self.hold_cursor {
                return Some(record.address);
            }
            first = first.or(Some(record.address));
        }
        first
    }

    /// Starts a probe of a live member, if the budget allows it.
    pub(super) fn start_probe(&mut self, target: SocketAddrV4, now: Time) {
        let Some(control) = self.control_address(target) else {
            return;
        };
        let mut message = self.message(Body::Ping { sequence: 0 });
        if let Some(entry) = self.roster.get(target)
            && entry.liveness == Liveness::Suspect
        {
            message.add(Update::brief(&entry.record, entry.liveness));
        }
        if !self.budget.allows(SendPriority::Probe, message.size()) {
            return;
        }
        let sequence = self.probes.open(target, &mut self.rng, now);
        message.body = Body::Ping { sequence };
        self.send(control, SendPriority::Probe, message);
    }

    pub(super) fn request_indirect_probes(&mut self, target: SocketAddrV4, sequence: u32) {
        let entry = self.roster.get(target);
        let Some(entry) = entry.filter(|e| e.is_live() && e.liveness == Liveness::Alive) else {
            return;
        };
        let target_control = PackedAddress(entry.record.control);
        // One more, as the target may be among them.
        for peer in self.random_peers(INDIRECT_PROBES + 1) {
            let Some(to) = self.control_address(peer).filter(|_| peer != target) else {
                continue;
            };
            let request = self.message(Body::PingRequest {
                sequence,
                target: target_control,
            });
            self.send(to, SendPriority::Probe, request);
        }
    }

    pub(super) fn probe_on_behalf(
        &mut self,
        requester: SocketAddrV4,
        requester_sequence: u32,
        target_control: SocketAddrV4,
        now: Time,
    ) {
        let opened = self
            .probes
            .open_indirect(requester, requester_sequence, &mut self.rng, now);
        let Some(sequence) = opened else {
            return;
        };
        let ping = self.message(Body::Ping { sequence });
        self.send(target_control, SendPriority::Probe, ping);
    }
}
