//! Removal of members whose suspicion was not refuted, and where it is held.

use super::{Action, Event, Swim};
use crate::{
    clock::Time, membership::message::Liveness, membership::suspicion::RemovalHold,
    membership::update_queue::UpdateClass,
};

impl Swim {
    /// Removes the members whose suspicion has timed out, unless their removal is held.
    pub(super) fn remove_timed_out(&mut self, now: Time) {
        if self.suspicions.is_empty() && self.hold == RemovalHold::default() {
            return;
        }
        self.update_hold(now);
        for (address, is_hold_timeout) in self.suspicions.due(self.roster.live_count(), now) {
            let Some(entry) = self.roster.get(address) else {
                self.suspicions.clear(address);
                continue;
            };
            if self.hold.covers(&entry.record.domain) && !is_hold_timeout {
                continue;
            }
            self.suspicions.clear(address);
            self.roster
                .update(address, now, |entry| entry.liveness = Liveness::Dead);
            self.update_queue.push(address, UpdateClass::Liveness);
            self.mark_unpublished(UpdateClass::State);
            let reason = match is_hold_timeout {
                true => "hold_timeout",
                false => "suspicion_timeout",
            };
            self.queue_member_event(address, reason);
            self.update_hold(now);
        }
    }

    /// Recomputes where removal is held, restarts the timers of the members there and logs what
    /// changed.
    pub(super) fn update_hold(&mut self, now: Time) {
        let hold = RemovalHold::compute(&self.roster, now);
        let roster = &self.roster;
        self.suspicions.restart_timers(now, |address| {
            let entry = roster.get(address);
            entry.is_some_and(|e| hold.covers(&e.record.domain))
        });
        let old = std::mem::replace(&mut self.hold, hold.clone());
        for (domain, count) in &hold.domains {
            if old.domains.contains_key(domain) {
                continue;
            }
            self.actions.push(Action::Log(Event::RemovalHeld {
                domain: Some(domain.clone()),
                count: *count,
            }));
        }
        for domain in old.domains.into_keys() {
            if hold.domains.contains_key(&domain) {
                continue;
            }
            self.actions.push(Action::Log(Event::RemovalResumed {
                domain: Some(domain),
            }));
        }
        match (old.fleet, hold.fleet) {
            (None, Some(count)) => self.actions.push(Action::Log(Event::RemovalHeld {
                domain: None,
                count,
            })),
            (Some(_), None) => self
                .actions
                .push(Action::Log(Event::RemovalResumed { domain: None })),
            _ => {}
        }
    }
}
