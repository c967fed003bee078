//! Recent work of callers by address.

use std::{collections::HashMap, net::Ipv4Addr, time::Duration};

use rustc_hash::FxBuildHasher;

use crate::clock::Time;

/// Time in which the recent work of a caller halves.
const HALF_LIFE: Duration = Duration::from_millis(500);

/// Limit of callers whose work is kept. Further ones count as having none.
const MAX_CALLERS: usize = 4096;

/// Work of a caller, in microseconds at a point in time.
#[derive(Clone, Copy, Debug)]
struct RecentWork {
    work_us: u64,
    at: Time,
}

impl RecentWork {
    fn at(&self, now: Time) -> u64 {
        let halvings = now.since(self.at).as_micros() / HALF_LIFE.as_micros();
        self.work_us >> halvings.min(63)
    }
}

/// Recent work of callers, by address.
#[derive(Debug, Default)]
pub struct Callers {
    callers: HashMap<Ipv4Addr, RecentWork, FxBuildHasher>,
}

impl Callers {
    /// Adds work that is started for a caller.
    pub fn charge(&mut self, caller: Ipv4Addr, work: Duration, now: Time) {
        if self.callers.len() >= MAX_CALLERS && !self.callers.contains_key(&caller) {
            return;
        }
        let recent = self.callers.entry(caller).or_insert(RecentWork {
            work_us: 0,
            at: now,
        });
        let work_us = recent.at(now) + work.as_micros() as u64;
        // The halvings that have passed are applied; the rest of the time counts for the next one.
        let halvings = now.since(recent.at).as_micros() / HALF_LIFE.as_micros();
        let at = match u32::try_from(halvings) {
            Ok(halvings) => recent.at + HALF_LIFE * halvings,
            Err(_) => now,
        };
        *recent = RecentWork { work_us, at };
    }

    /// Returns the class of a caller's recent work: the number of binary digits of its milliseconds.
    /// Callers whose work differs little are in the same class, in which the time left decides.
    pub fn work_class(&self, caller: Ipv4Addr, now: Time) -> u32 {
        let recent = self.callers.get(&caller);
        let work_ms = recent.map_or(0, |recent| recent.at(now) / 1000);
        u64::BITS - work_ms.leading_zeros()
    }

    /// Removes callers without recent work.
    pub fn expire(&mut self, now: Time) {
        self.callers.retain(|_, recent| recent.at(now) >= 1000);
    }
}
