//! Counts the decisions in the logs of many processes by interval, to see what a whole fleet did around
//! an outage.
//!
//! A line is counted by its event and, if it has one, its reason. Logs are read line by line, so that the
//! memory depends on the number of intervals and not on the size of the logs.

use std::{
    collections::BTreeMap,
    io::{self, BufRead},
    time::Duration,
};

use serde::Serialize;
use snafu::{OptionExt, Snafu};
use time::{OffsetDateTime, format_description::well_known::Rfc3339};

use crate::explain::field;

/// Limit of intervals in a timeline.
const MAX_INTERVALS: usize = 10_000;

/// Limit of kinds of lines that are counted one by one; further ones are counted as `other`. The daemons
/// have some sixty events.
const MAX_KINDS: usize = 512;

/// Name under which the lines beyond [`MAX_KINDS`] are counted.
const OTHER: &str = "other";

/// An error in reading logs.
#[derive(Debug, Snafu)]
pub enum TimelineError {
    /// The lines span too many intervals.
    #[snafu(display(
        "the lines span more than {MAX_INTERVALS} intervals; set --from, --until or --interval"
    ))]
    TooLong,
    /// A line could not be read.
    #[snafu(display("{source}"), context(false))]
    Read {
        /// Error of the operating system, also for text that is not UTF-8.
        source: io::Error,
    },
}

/// Which lines are counted, and in what intervals.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Options {
    /// Length of an interval, at least a millisecond.
    pub interval: Duration,
    /// Earliest time of a line, or `None` for all.
    pub from: Option<OffsetDateTime>,
    /// Time before which a line is, or `None` for all.
    pub until: Option<OffsetDateTime>,
}

/// The numbers of lines by interval and kind.
#[derive(Clone, Debug)]
pub struct Timeline {
    options: Options,
    /// Kinds of lines; an interval names them by their position.
    kinds: Vec<String>,
    /// Counts by the number of the interval since the Unix epoch and by kind.
    intervals: BTreeMap<i128, BTreeMap<usize, u64>>,
}

/// The lines of one interval.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Interval {
    /// Start of the interval, in RFC 3339.
    pub start: String,
    /// Number of lines by event, or by event and reason with a colon between them.
    pub counts: BTreeMap<String, u64>,
}

impl Timeline {
    /// Returns a timeline without lines.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            kinds: Vec::new(),
            intervals: BTreeMap::new(),
        }
    }

    /// Counts the lines of a log that have a time and an event.
    ///
    /// # Errors
    ///
    /// Fails if a line can't be read, or if the lines span too many intervals.
    pub fn read(&mut self, log: impl BufRead) -> Result<(), TimelineError> {
        for line in log.lines() {
            self.count(&line?)?;
        }
        Ok(())
    }

    /// Returns the intervals that have lines, in the order of time.
    pub fn intervals(&self) -> Vec<Interval> {
        let mut intervals = Vec::with_capacity(self.intervals.len());
        for (number, counts) in &self.intervals {
            let start = number * self.interval_nanos();
            let start = OffsetDateTime::from_unix_timestamp_nanos(start);
            let start = start.ok().and_then(|start| start.format(&Rfc3339).ok());
            let named = counts.iter();
            let named = named.map(|(kind, count)| (self.kinds[*kind].clone(), *count));
            intervals.push(Interval {
                start: start.unwrap_or_default(),
                counts: named.collect(),
            });
        }
        intervals
    }

    fn count(&mut self, line: &str) -> Result<(), TimelineError> {
        let Some((time, event)) = parse_time(line).zip(field(line, "event")) else {
            return Ok(());
        };
        let is_early = self.options.from.is_some_and(|from| time < from);
        let is_past = self.options.until.is_some_and(|until| time >= until);
        if is_early || is_past {
            return Ok(());
        }
        let kind = match field(line, "reason") {
            Some(reason) => self.kind(&format!("{event}:{}", reason.trim_matches('"'))),
            None => self.kind(event),
        };
        let number = time
            .unix_timestamp_nanos()
            .div_euclid(self.interval_nanos());
        let counts = self.intervals.entry(number).or_default();
        *counts.entry(kind).or_default() += 1;
        let fits = self.intervals.len() <= MAX_INTERVALS;
        fits.then_some(()).context(TooLongSnafu)
    }

    /// Returns the position of a kind, which is added if it is new and there is room.
    fn kind(&mut self, name: &str) -> usize {
        let known = self.kinds.iter().position(|kind| kind == name);
        known.unwrap_or_else(|| {
            if self.kinds.len() < MAX_KINDS {
                let name = match self.kinds.len() + 1 {
                    MAX_KINDS => OTHER,
                    _ => name,
                };
                self.kinds.push(name.to_owned());
            }
            self.kinds.len() - 1
        })
    }

    fn interval_nanos(&self) -> i128 {
        self.options.interval.as_nanos().max(1) as i128
    }
}

/// Returns the intervals as text: a line each, the most frequent lines first.
pub fn text(intervals: &[Interval]) -> String {
    let mut text = String::new();
    for interval in intervals {
        text.push_str(&interval.start);
        let mut counts: Vec<_> = interval.counts.iter().collect();
        counts.sort_by_key(|(kind, count)| (std::cmp::Reverse(**count), *kind));
        for (kind, count) in counts {
            text.push_str(&format!(" {kind}={count}"));
        }
        text.push('\n');
    }
    text
}

fn parse_time(line: &str) -> Option<OffsetDateTime> {
    OffsetDateTime::parse(field(line, "time")?, &Rfc3339).ok()
}
