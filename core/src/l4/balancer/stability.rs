//! Since when the known agents count as complete.

use std::time::Duration;

use crate::{
    clock::Time,
    member::{Role, View},
};

/// Time without a new agent after which the known agents count as complete. A membership update reaches
/// all processes within this time.
const STABILIZATION_WINDOW: Duration = Duration::from_millis(900);

/// The same for a fleet that has just started as a whole. A process of before the start, which could know
/// another agent, no longer exists.
const START_STABILIZATION_WINDOW: Duration = Duration::from_millis(300);

/// Smallest age of all agents, in tenths of a second, from which the shorter window applies. An agent
/// beside a server that has survived joins up to 0.7 s after its start, when the others are known long
/// since, and it may hold flows.
const JOIN_AGE_TENTHS: i32 = 10;

/// Largest age of all processes, in tenths of a second, at which the whole fleet counts as just
/// started.
const START_AGE_TENTHS: i32 = 50;

/// Difference of two VMs' clocks, in tenths of a second, by which an incarnation may be in the future.
const CLOCK_SKEW_TENTHS: i32 = 10;

/// When the known agents count as complete.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Stability {
    /// When the known agents are complete in any fleet.
    stable_at: Time,
    /// When they are complete in a fleet that has just started, if all agents had time to join.
    start_stable_at: Time,
    /// When all agents that started together with the known ones have joined.
    joined_at: Time,
    /// Until when the fleet counts as just started; `None` if a process is older or the VM's clock is
    /// not known.
    fresh_until: Option<Time>,
    /// Unix time in milliseconds at a point of the monotonic clock.
    unix: Option<(Time, u64)>,
}

impl Stability {
    /// Sets the VM's clock.
    pub(super) fn set_unix_ms(&mut self, unix_ms: u64, now: Time) {
        self.unix = Some((now, unix_ms));
    }

    /// Records that an agent has appeared or was declared dead.
    pub(super) fn record_change(&mut self, now: Time) {
        self.stable_at = now + STABILIZATION_WINDOW;
        self.start_stable_at = now + START_STABILIZATION_WINDOW;
    }

    /// Determines from all records of a view, in any state, until when the fleet counts as just started.
    pub(super) fn apply_view(&mut self, view: &View, now: Time) {
        self.fresh_until = None;
        let Some((set_at, unix_ms)) = self.unix else {
            return;
        };
        let unix_tenths = (unix_ms + now.since(set_at).as_millis() as u64) / 100;
        let mut oldest = 0;
        let mut youngest = JOIN_AGE_TENTHS;
        for record in view.members.values() {
            // Incarnations are the start time modulo 2³².
            let age = (unix_tenths as u32).wrapping_sub(record.incarnation.0) as i32;
            // A clock that was set back by more than the skew makes old processes look young.
            if !(-CLOCK_SKEW_TENTHS..=START_AGE_TENTHS).contains(&age) {
                return;
            }
            oldest = oldest.max(age);
            if record.role == Role::Agent {
                youngest = youngest.min(age);
            }
        }
        self.fresh_until = Some(now + tenths(START_AGE_TENTHS - oldest));
        self.joined_at = now + tenths(JOIN_AGE_TENTHS - youngest);
    }

    /// Returns whether the whole fleet has just started, so that no process knows more than the others.
    pub(super) fn is_fresh(&self, now: Time) -> bool {
        self.fresh_until.is_some_and(|until| now < until)
    }

    /// Returns when a round may begin that proves a flow lost. `all_sure` tells whether all agents replied
    /// that they know all flows of their servers.
    pub(super) fn stable_at(&self, all_sure: bool, now: Time) -> Time {
        match self.is_fresh(now) && all_sure {
            true => self.stable_at.min(self.start_stable_at.max(self.joined_at)),
            false => self.stable_at,
        }
    }
}

fn tenths(count: i32) -> Duration {
    Duration::from_millis(100 * u64::from(count.unsigned_abs()))
}
