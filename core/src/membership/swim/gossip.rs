//! When and to whom news is sent by itself.

use std::time::Duration;

use super::{Action, Event, Swim};
use crate::{
    clock::Time, member::MemberState, membership::budget::Level, membership::message::Body,
    membership::news::Class, owner_id::Incarnation,
};

/// Members that are sent a verdict at once.
const VERDICT_FANOUT: usize = 2;

/// Members that are sent a state change at once.
const STATE_FANOUT: usize = 3;

/// Length of a freeze after which others may have given the process up.
const REBIRTH_GAP: Duration = Duration::from_millis(2500);

/// Time without a tick after which the process was frozen.
const FREEZE_GAP: Duration = Duration::from_secs(1);

impl Swim {
    /// Sends state changes, verdicts and a new settings revision without waiting for a probe.
    pub(super) fn gossip(&mut self) {
        let (level, fanout) = match self.news.class() {
            Some(Class::State) => (Level::State, STATE_FANOUT),
            _ if self.revision_sends > 0 => (Level::State, STATE_FANOUT),
            Some(Class::Verdict) => (Level::Verdict, VERDICT_FANOUT),
            Some(Class::Weight) | None => return,
        };
        for peer in self.peers(fanout) {
            let Some(control) = self.control(peer) else {
                continue;
            };
            let message = self.message(Body::News);
            if !self.send(control, level, message) {
                return;
            }
            self.revision_sends = self.revision_sends.saturating_sub(1);
        }
    }

    /// Notices that this process stood still, and does not blame the others for it.
    pub(super) fn wake(&mut self, now: Time) {
        self.budget.refill(now);
        let gap = now.since(self.due.ticked);
        if gap < FREEZE_GAP {
            return;
        }
        self.due.ticked = now;
        self.probes.reset();
        self.suspicions.shift(gap);
        self.actions.push(Action::Log(Event::Frozen { gap }));
        if gap < REBIRTH_GAP || self.own.state == MemberState::Left {
            return;
        }
        let lost = (gap.as_millis() / 100).max(1) as u32;
        let incarnation = Incarnation(self.own.incarnation.0 + lost);
        self.begin_life(incarnation, "frozen", now);
    }
}
