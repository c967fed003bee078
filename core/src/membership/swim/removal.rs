//! Removal of members whose suspicion nobody refuted, and when it stops.

use super::{Action, Event, Swim};
use crate::{
    clock::Time, membership::message::Verdict, membership::news::Class, membership::suspicion::Hold,
};

impl Swim {
    /// Removes the members whose timer is over, where removal has not stopped.
    pub(super) fn check(&mut self, now: Time) {
        if self.suspicions.is_empty() && self.hold == Hold::default() {
            return;
        }
        self.update_hold(now);
        for (address, expired) in self.suspicions.due(self.roster.live(), now) {
            let Some(entry) = self.roster.get(address) else {
                self.suspicions.clear(address);
                continue;
            };
            if self.hold.covers(&entry.record.domain) && !expired {
                continue;
            }
            self.suspicions.clear(address);
            self.roster
                .change(address, now, |entry| entry.verdict = Verdict::Dead);
            self.news.push(address, Class::Verdict);
            self.mark(Class::State);
            let reason = match expired {
                true => "hold_limit",
                false => "suspicion_timeout",
            };
            self.log(address, reason);
            self.update_hold(now);
        }
    }

    pub(super) fn update_hold(&mut self, now: Time) {
        let hold = Hold::compute(&self.roster, now);
        let roster = &self.roster;
        self.suspicions.hold(now, |address| {
            let entry = roster.get(address);
            entry.is_some_and(|e| hold.covers(&e.record.domain))
        });
        let old = std::mem::replace(&mut self.hold, hold.clone());
        for (domain, silence) in &hold.domains {
            if old.domains.contains_key(domain) {
                continue;
            }
            self.actions.push(Action::Log(Event::RemovalHeld {
                domain: Some(domain.clone()),
                silence: *silence,
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
            (None, Some(silence)) => self.actions.push(Action::Log(Event::RemovalHeld {
                domain: None,
                silence,
            })),
            (Some(_), None) => self
                .actions
                .push(Action::Log(Event::RemovalResumed { domain: None })),
            _ => {}
        }
    }
}
