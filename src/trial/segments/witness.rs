//! What callers wrote and servers ran, to judge what the system did with it.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use berylvalve_core::{clock::Time, l4::segment::FlowKey};

use super::server::Server;

/// Segments of a flow at other servers, with none at its own, that count as a broken flow.
const STRAY_SEGMENTS: u32 = 3;

/// Where a flow is open.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Home {
    /// Index of the server.
    pub server: usize,
    /// The server's start at which the flow opened.
    pub life: u64,
}

impl Home {
    /// Returns whether the flow is still open at the same start of the server.
    pub fn holds(&self, servers: &[Server], flow: &FlowKey) -> bool {
        let server = &servers[self.server];
        server.life == self.life && server.holds(flow)
    }
}

#[derive(Clone, Copy, Debug)]
struct Open {
    home: Home,
    stray: u32,
    /// When the first of these segments arrived.
    since: Time,
}

/// Keeps what is needed to judge what servers and callers see.
#[derive(Debug)]
pub struct Witness {
    /// Time for which segments must have missed their server.
    window: Duration,
    flows: HashMap<FlowKey, Open>,
    runs: HashMap<u64, u32>,
    written: HashSet<Vec<u8>>,
}

impl Witness {
    /// Returns a witness that counts a flow as broken once its segments have missed its server for
    /// `window`.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            flows: HashMap::new(),
            runs: HashMap::new(),
            written: HashSet::new(),
        }
    }

    /// Notes the fixed bytes of a datagram that a caller sends.
    pub fn wrote(&mut self, fixed: Vec<u8>) {
        self.written.insert(fixed);
    }

    /// Returns whether a caller sent a datagram of these fixed bytes.
    pub fn was_written(&self, fixed: &[u8]) -> bool {
        self.written.contains(fixed)
    }

    /// Notes that a flow opened.
    pub fn opened(&mut self, flow: FlowKey, home: Home) {
        let open = Open {
            home,
            stray: 0,
            since: Time::default(),
        };
        self.flows.insert(flow, open);
    }

    /// Returns where a flow opened.
    pub fn home(&self, flow: &FlowKey) -> Option<Home> {
        self.flows.get(flow).map(|open| open.home)
    }

    /// Notes a segment of a flow at a server; returns whether so many segments in a row missed the
    /// flow's own server, which `holds` tells to hold it, that the flow counts as broken.
    pub fn strays(&mut self, flow: &FlowKey, server: usize, holds: bool, now: Time) -> bool {
        let Some(open) = self.flows.get_mut(flow) else {
            return false;
        };
        if open.home.server == server || !holds {
            open.stray = 0;
            return false;
        }
        if open.stray == 0 {
            open.since = now;
        }
        open.stray += 1;
        open.stray >= STRAY_SEGMENTS && now.since(open.since) >= self.window
    }

    /// Notes that a server begins to work on a request; returns how often that has happened.
    pub fn ran(&mut self, request: u64) -> u32 {
        let runs = self.runs.entry(request).or_default();
        *runs += 1;
        *runs
    }
}
