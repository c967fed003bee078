//! Gossip without waiting for a probe, and the detection of freezes.

use std::time::Duration;

use super::{Action, Event, Swim};
use crate::{
    clock::Time, member::MemberState, membership::budget::SendPriority, membership::message::Body,
    membership::update_queue::UpdateClass, owner_id::Incarnation,
};

/// Members that receive queued liveness updates in each tick.
const LIVENESS_FANOUT: usize = 2;

/// Members that receive queued state updates in each tick.
const STATE_FANOUT: usize = 3;

/// Length of a freeze after which other processes may have removed this one.
const NEW_INCARNATION_GAP: Duration = Duration::from_millis(2500);

/// Time without a tick after which the process counts as frozen.
const FREEZE_GAP: Duration = Duration::from_secs(1);

impl Swim {
    /// Sends state and liveness updates and a new settings revision without waiting for a probe.
    pub(super) fn gossip(&mut self) {
        let (priority, fanout) = match self.update_queue.first_class() {
            Some(UpdateClass::State) => (SendPriority::State, STATE_FANOUT),
            _ if self.revision_sends_left > 0 => (SendPriority::State, STATE_FANOUT),
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
            self.revision_sends_left = self.revision_sends_left.saturating_sub(1);
        }
    }

    /// Refills the budget and handles a freeze of this process, if there was one.
    ///
    /// Open probes are discarded and suspicion timers delayed, as no message was processed
    /// meanwhile. If other processes may have removed this one, it starts a new incarnation unless
    /// it has left.
    pub(super) fn refill_budget_and_handle_freeze(&mut self, now: Time) {
        self.budget.refill(now);
        let gap = now.since(self.schedule.last_tick);
        if gap < FREEZE_GAP {
            return;
        }
        self.schedule.last_tick = now;
        self.probes.reset();
        self.suspicions.delay_timers(gap);
        self.actions.push(Action::Log(Event::Frozen { gap }));
        if gap < NEW_INCARNATION_GAP || self.own.state == MemberState::Left {
            return;
        }
        // Incarnations are derived from the start time in tenths of a second, so this one is advanced
        // by the length of the freeze.
        let increment = (gap.as_millis() / 100).max(1) as u32;
        let incarnation = Incarnation(self.own.incarnation.0 + increment);
        self.start_incarnation(incarnation, "frozen", now);
    }
}
