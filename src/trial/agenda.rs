//! What is due in a run, in the order of time.

use std::{
    cmp::{Ordering, Reverse},
    collections::BinaryHeap,
};

use berylvalve_core::clock::Time;

/// Events with the time at which they are due; those of one time keep the order in which they were
/// added.
#[derive(Debug)]
pub struct Agenda<T> {
    count: u64,
    entries: BinaryHeap<Reverse<Entry<T>>>,
}

#[derive(Debug)]
struct Entry<T> {
    time: Time,
    number: u64,
    event: T,
}

impl<T> Agenda<T> {
    /// Adds an event.
    pub fn add(&mut self, time: Time, event: T) {
        self.count += 1;
        let number = self.count;
        self.entries.push(Reverse(Entry {
            time,
            number,
            event,
        }));
    }

    /// Returns when the first event is due.
    pub fn next(&self) -> Option<Time> {
        self.entries.peek().map(|Reverse(entry)| entry.time)
    }

    /// Takes the first event out, with its time, if it is due by `end`.
    pub fn pop(&mut self, end: Time) -> Option<(Time, T)> {
        self.next().filter(|time| *time <= end)?;
        let Reverse(entry) = self.entries.pop()?;
        Some((entry.time, entry.event))
    }
}

impl<T> Default for Agenda<T> {
    fn default() -> Self {
        Self {
            count: 0,
            entries: BinaryHeap::new(),
        }
    }
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.time, self.number).cmp(&(other.time, other.number))
    }
}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl<T> Eq for Entry<T> {}
