//! Gossip without waiting for a probe, and the detection of freezes.

use std::time::Duration;

use super::{Action, Event, Swim};
use crate::{
    clock::Time, member::MemberState, membership::budget::SendPriority, membership::message::Body,
    membership::update_queue::UpdateClass, owner_id::Incarnation,
};

/// Members that receive a liveness update at once.
const LIVENESS_FANOUT: usize = 2;

/// Members that receive a state update at once.
const STATE_FANOUT: usize = 3;

/// Length of a freeze after which other processes may have removed this one.
const REBIRTH_GAP: Duration = Duration::from_millis(2500);

/// Time without a tick after which the process counts as frozen.
const FREEZE_GAP: Duration = Duration::from_secs(1);

impl Swim {
    /// Sends state and liveness updates and a new settings revision without waiting for a probe.
    pub(super) fn gossip(&mut self) {
        let (priority, fanout) = match self.update_queue.first_class() {
            Some(UpdateClass::State) => (SendPriority::State, STATE_FANOUT),
            _ if self.revision_sends > 0 => (SendPriority::State, STATE_FANOUT),
            Some(UpdateClass::Liveness) => (SendPriority::Liveness, LIVENESS_FANOUT),
            Some(UpdateClass::Weight) | None => return,
        };
        for peer in self.random_peers(fanout) {
            let Some(control) = self.control_address(peer) else {
                continue;
            };
            let message = self.message(Body::Gossip);
            if !self.send(control, priority, message) {
                return;
            }
            self.revision_sends = self.revision_sends.saturating_sub(1);
        }
    }

    /// Detects a freeze of this process and discards the probes that timed out meanwhile.
    ///
    /// After a freeze during which others may have removed this process, it starts a new
    /// incarnation.
    pub(super) fn detect_freeze(&mut self, now: Time) {
        self.budget.refill(now);
        let gap = now.since(self.schedule.last_tick);
        if gap < FREEZE_GAP {
            return;
        }
        self.schedule.last_tick = now;
        self.probes.reset();
        self.suspicions.shift(gap);
        self.actions.push(Action::Log(Event::Frozen { gap }));
        if gap < REBIRTH_GAP || self.own.state == MemberState::Left {
            return;
        }
        let lost = (gap.as_millis() / 100).max(1) as u32;
        let incarnation = Incarnation(self.own.incarnation.0 + lost);
        self.start_incarnation(incarnation, "frozen", now);
    }
}
