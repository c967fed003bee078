//! A backend server of the model: slots, a queue, and flows that end with it.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use berylvalve_core::l4::segment::{Flags, FlowKey, Segment};
use rand::{Rng, rngs::SmallRng};

use super::codec::{self, FAILURE};

/// Requests that wait for each slot; more are answered as failures.
const QUEUE_FACTOR: usize = 4;

/// One flow at a server.
#[derive(Clone, Copy, Debug)]
struct Open {
    initial: u32,
    /// Next sequence number of the server.
    next: u32,
    /// Sequence number behind the caller's data.
    received: u32,
    established: bool,
}

/// A backend server.
#[derive(Clone, Debug)]
pub struct Server {
    /// Whether it runs.
    pub alive: bool,
    /// Counts its starts.
    pub life: u64,
    /// Number of its last report.
    pub sequence: u64,
    /// Whether it leaves.
    pub draining: bool,
    /// Share of its requests that it fails, in percent.
    pub failing: u32,
    /// Mean work time.
    pub work: Duration,
    /// Requests that it works on at once.
    pub slots: usize,
    running: usize,
    queue: VecDeque<FlowKey>,
    flows: HashMap<FlowKey, Open>,
}

/// What a server does with a datagram.
#[derive(Clone, Debug, Default)]
pub struct Reaction {
    /// Datagrams that it sends.
    pub sent: Vec<Vec<u8>>,
    /// Requests that it starts to work on, with the time that each takes.
    pub started: Vec<(FlowKey, Duration)>,
}

impl Server {
    /// Returns a server that has just started.
    pub fn new(slots: usize, work: Duration) -> Self {
        Self {
            alive: true,
            life: 1,
            sequence: 0,
            draining: false,
            failing: 0,
            work,
            slots,
            running: 0,
            queue: VecDeque::new(),
            flows: HashMap::new(),
        }
    }

    /// Ends all that the server held; it may start again.
    pub fn crash(&mut self) {
        self.alive = false;
        self.life += 1;
        self.sequence = 0;
        self.draining = false;
        self.running = 0;
        self.queue.clear();
        self.flows.clear();
    }

    /// Returns whether a flow is established here.
    pub fn holds(&self, flow: &FlowKey) -> bool {
        self.alive && self.flows.get(flow).is_some_and(|open| open.established)
    }

    /// Takes a datagram of a caller.
    pub fn receive(&mut self, segment: &Segment, datagram: &[u8], rng: &mut SmallRng) -> Reaction {
        let mut reaction = Reaction::default();
        if !self.alive {
            return reaction;
        }
        let flow = segment.flow_of_caller();
        if segment.is_opening() {
            let open = *self.flows.entry(flow).or_insert_with(|| {
                let initial = rng.random();
                Open {
                    initial,
                    next: initial.wrapping_add(1),
                    received: segment.sequence.wrapping_add(1),
                    established: false,
                }
            });
            reaction.sent.push(accept(&flow, &open));
            return reaction;
        }
        let Some(open) = self.flows.get_mut(&flow) else {
            reaction.sent.push(codec::bounce(datagram));
            return reaction;
        };
        // A segment that does not acknowledge this server's start belongs to another one.
        if !open.established && segment.acknowledged != open.initial.wrapping_add(1) {
            return reaction;
        }
        open.established = true;
        if segment.flags.rst || segment.flags.fin {
            if let Some(open) = self.flows.remove(&flow) {
                reaction.sent.push(finish(&flow, &open));
            }
            return reaction;
        }
        let fresh = segment.length > 0 && segment.sequence == open.received;
        if !fresh {
            return reaction;
        }
        open.received = segment.end();
        self.queue.push_back(flow);
        if self.queue.len() > QUEUE_FACTOR * self.slots {
            self.queue.pop_back();
            reaction.sent.extend(self.answer(&flow, FAILURE));
        }
        self.start(rng, &mut reaction);
        reaction
    }

    /// Ends the work on a request.
    pub fn done(&mut self, flow: &FlowKey, rng: &mut SmallRng) -> Reaction {
        let mut reaction = Reaction::default();
        self.running = self.running.saturating_sub(1);
        let fails = rng.random_range(0..100) < self.failing;
        let data: &[u8] = if fails { FAILURE } else { b"answer" };
        reaction.sent.extend(self.answer(flow, data));
        self.start(rng, &mut reaction);
        reaction
    }

    fn start(&mut self, rng: &mut SmallRng, reaction: &mut Reaction) {
        while self.running < self.slots {
            let Some(flow) = self.queue.pop_front() else {
                return;
            };
            self.running += 1;
            let time = self.work.mul_f64(rng.random_range(0.5..1.5));
            reaction.started.push((flow, time));
        }
    }

    fn answer(&mut self, flow: &FlowKey, data: &[u8]) -> Option<Vec<u8>> {
        let open = self.flows.get_mut(flow)?;
        let flags = Flags {
            ack: true,
            ..Flags::default()
        };
        let answer = write(flow, open, open.next, flags, data);
        open.next = open.next.wrapping_add(data.len() as u32);
        Some(answer)
    }
}

fn accept(flow: &FlowKey, open: &Open) -> Vec<u8> {
    let flags = Flags {
        ack: true,
        syn: true,
        ..Flags::default()
    };
    write(flow, open, open.initial, flags, &[])
}

fn finish(flow: &FlowKey, open: &Open) -> Vec<u8> {
    let flags = Flags {
        ack: true,
        fin: true,
        ..Flags::default()
    };
    write(flow, open, open.next, flags, &[])
}

fn write(flow: &FlowKey, open: &Open, sequence: u32, flags: Flags, data: &[u8]) -> Vec<u8> {
    let segment = Segment {
        source: flow.address,
        destination: flow.caller,
        sequence,
        acknowledged: open.received,
        length: data.len() as u16,
        flags,
        mark: 0,
    };
    codec::write(&segment, data)
}
