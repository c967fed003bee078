//! A backend server: slots, a queue, and flows that end with it.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use berylvalve_core::{
    clock::Time,
    l4::segment::{Flags, FlowKey, Segment},
};
use rand::{Rng, rngs::SmallRng};

use super::wire::{Content, DATA_BYTES, Outgoing};

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
    /// The answer that was sent last; a copy of its request brings it again.
    last: Option<Outgoing>,
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
    /// When its agent acknowledged that it leaves.
    pub left: Option<Time>,
    /// Share of its requests that it fails, in percent.
    pub failing: u32,
    /// Mean work time.
    pub work: Duration,
    /// Requests that it works on at once.
    pub slots: usize,
    running: usize,
    queue: VecDeque<(FlowKey, u64)>,
    flows: HashMap<FlowKey, Open>,
}

/// What a server does with a datagram.
#[derive(Clone, Debug, Default)]
pub struct Reaction {
    /// Segments that it sends.
    pub sent: Vec<Outgoing>,
    /// Whether it sends the datagram back, as it does not hold the flow.
    pub bounced: bool,
    /// Whether the datagram opened its flow here.
    pub opened: bool,
    /// Requests that it starts to work on.
    pub started: Vec<Work>,
}

/// A request that a server works on.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// The flow on which it came.
    pub flow: FlowKey,
    /// Its id.
    pub request: u64,
    /// Time that it takes.
    pub time: Duration,
}

impl Server {
    /// Returns a server that has just started.
    pub fn new(slots: usize, work: Duration) -> Self {
        Self {
            alive: true,
            life: 1,
            sequence: 0,
            draining: false,
            left: None,
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
        self.left = None;
        self.running = 0;
        self.queue.clear();
        self.flows.clear();
    }

    /// Returns whether a flow is established here.
    pub fn holds(&self, flow: &FlowKey) -> bool {
        self.alive && self.flows.get(flow).is_some_and(|open| open.established)
    }

    /// Takes a datagram of a caller.
    pub fn receive(
        &mut self,
        segment: &Segment,
        content: Option<Content>,
        rng: &mut SmallRng,
    ) -> Reaction {
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
                    last: None,
                }
            });
            reaction.sent.push(accept(&flow, &open));
            return reaction;
        }
        let Some(open) = self.flows.get_mut(&flow) else {
            reaction.bounced = true;
            return reaction;
        };
        // A segment that does not acknowledge this server's start belongs to another one.
        if !open.established && segment.acknowledged != open.initial.wrapping_add(1) {
            return reaction;
        }
        let opens = !std::mem::replace(&mut open.established, true);
        if segment.flags.rst || segment.flags.fin {
            if let Some(open) = self.flows.remove(&flow) {
                reaction.sent.push(finish(&flow, &open));
            }
            return reaction;
        }
        reaction.opened = opens;
        let Some(Content::Request(request)) = content else {
            return reaction;
        };
        if segment.sequence != open.received {
            let repeated = segment.end() == open.received;
            reaction.sent.extend(open.last.filter(|_| repeated));
            return reaction;
        }
        open.received = segment.end();
        open.last = None;
        self.queue.push_back((flow, request));
        if self.queue.len() > QUEUE_FACTOR * self.slots {
            self.queue.pop_back();
            reaction.sent.extend(self.answer(&flow, request, false));
        }
        self.start(rng, &mut reaction);
        reaction
    }

    /// Ends the work on a request.
    pub fn done(&mut self, work: &Work, rng: &mut SmallRng) -> Reaction {
        let mut reaction = Reaction::default();
        self.running = self.running.saturating_sub(1);
        let fails = rng.random_range(0..100) < self.failing;
        reaction
            .sent
            .extend(self.answer(&work.flow, work.request, !fails));
        self.start(rng, &mut reaction);
        reaction
    }

    fn start(&mut self, rng: &mut SmallRng, reaction: &mut Reaction) {
        while self.running < self.slots {
            let Some((flow, request)) = self.queue.pop_front() else {
                return;
            };
            self.running += 1;
            let time = self.work.mul_f64(rng.random_range(0.5..1.5));
            reaction.started.push(Work {
                flow,
                request,
                time,
            });
        }
    }

    fn answer(&mut self, flow: &FlowKey, request: u64, served: bool) -> Option<Outgoing> {
        let open = self.flows.get_mut(flow)?;
        let flags = Flags {
            ack: true,
            ..Flags::default()
        };
        let content = Content::Answer { request, served };
        let answer = write(flow, open, open.next, flags, Some(content));
        open.next = open.next.wrapping_add(u32::from(DATA_BYTES));
        open.last = Some(answer);
        Some(answer)
    }
}

fn accept(flow: &FlowKey, open: &Open) -> Outgoing {
    let flags = Flags {
        ack: true,
        syn: true,
        ..Flags::default()
    };
    write(flow, open, open.initial, flags, None)
}

fn finish(flow: &FlowKey, open: &Open) -> Outgoing {
    let flags = Flags {
        ack: true,
        fin: true,
        ..Flags::default()
    };
    write(flow, open, open.next, flags, None)
}

fn write(
    flow: &FlowKey,
    open: &Open,
    sequence: u32,
    flags: Flags,
    content: Option<Content>,
) -> Outgoing {
    let segment = Segment {
        source: flow.address,
        destination: flow.caller,
        sequence,
        acknowledged: open.received,
        length: content.map_or(0, |_| DATA_BYTES),
        flags,
        mark: 0,
    };
    Outgoing { segment, content }
}
