//! A caller: opens a flow, sends requests on it, and tries again after a failure.

use std::{net::SocketAddrV4, time::Duration};

use berylvalve_core::{
    clock::Time,
    l4::segment::{Flags, FlowKey, Segment},
};

use super::wire::{Content, DATA_BYTES, Outgoing};

/// Times after the first opening segment at which copies follow.
pub const OPENING_COPY_TIMES: [Duration; 2] =
    [Duration::from_millis(200), Duration::from_millis(600)];

/// Time after which an opening is given up.
const OPENING_TIME: Duration = Duration::from_millis(1400);

/// Time after which a request's data is sent again at first; doubles each time.
const RESEND_TIME: Duration = Duration::from_millis(200);

/// Longest time between two copies of a request's data.
const MAX_RESEND: Duration = Duration::from_millis(1600);

/// Time in which a request has to be answered.
const DEADLINE: Duration = Duration::from_millis(4000);

/// How far a caller has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// Between two requests on an open flow, or before the first flow.
    Idle,
    /// Waits for the acceptance of a flow.
    Opening {
        /// Copies of the opening segment that were sent.
        copies: usize,
        /// When the first one was sent.
        since: Time,
    },
    /// Waits for an answer.
    Waiting {
        /// Time between the last two copies of the request.
        resend: Duration,
    },
}

/// A caller.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Address of its host.
    pub ip: std::net::Ipv4Addr,
    /// Address that it calls.
    pub address: SocketAddrV4,
    /// Failure domain of its routers.
    pub domain: usize,
    /// How far it has come.
    pub stage: Stage,
    /// The flow in use.
    pub flow: Option<FlowKey>,
    /// When the request in progress began.
    pub began: Time,
    /// The request in progress; no two requests of any caller have the same id.
    pub request: u64,
    /// Whether requests may run twice without harm.
    pub idempotent: bool,
    /// Requests that it sends on one flow.
    pub requests_per_flow: u32,
    /// Requests that were answered on the flow in use.
    pub answered: u32,
    /// When it does something next.
    pub due: Time,
    port: u16,
    sequence: u32,
    acknowledged: u32,
}

/// What became of a datagram.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Seen {
    /// The flow opened.
    Opened(Duration),
    /// The request was answered.
    Answered(Duration),
    /// The flow was reset.
    Reset,
    /// What came is no answer to the request in progress.
    Mixed,
    /// Nothing that matters.
    Nothing,
}

impl Caller {
    /// Returns a caller that begins at `due`.
    pub fn new(
        ip: std::net::Ipv4Addr,
        address: SocketAddrV4,
        domain: usize,
        requests_per_flow: u32,
        due: Time,
    ) -> Self {
        Self {
            ip,
            address,
            domain,
            stage: Stage::Idle,
            flow: None,
            began: Time::default(),
            request: u64::from(ip.to_bits()) << 32,
            idempotent: true,
            requests_per_flow,
            answered: 0,
            due,
            port: 1024,
            sequence: 0,
            acknowledged: 0,
        }
    }

    /// Begins a request: on the open flow, or on a new one.
    pub fn begin(&mut self, now: Time) -> Outgoing {
        self.began = now;
        self.request += 1;
        match self.flow {
            Some(_) => self.request(now),
            None => self.open(now),
        }
    }

    /// Opens a flow from a new port.
    pub fn open(&mut self, now: Time) -> Outgoing {
        self.port += 1;
        self.flow = Some(FlowKey {
            caller: SocketAddrV4::new(self.ip, self.port),
            address: self.address,
        });
        self.answered = 0;
        self.sequence = 1;
        self.acknowledged = 0;
        self.stage = Stage::Opening {
            copies: 0,
            since: now,
        };
        self.due = now + OPENING_COPY_TIMES[0];
        self.segment(true, None)
    }

    /// Opens another flow for the request in progress; `None` if its deadline has passed, or if it may
    /// have run and must not run twice.
    pub fn repeat(&mut self, now: Time) -> Option<Outgoing> {
        let unsent = matches!(self.stage, Stage::Opening { .. });
        let repeats = now < self.began + DEADLINE && (self.idempotent || unsent);
        repeats.then(|| self.open(now))
    }

    /// Ends the request in progress; the next one begins at `due`.
    pub fn rest(&mut self, due: Time) {
        self.stage = Stage::Idle;
        self.due = due;
    }

    /// Does what is due; `None` if the attempt has ended.
    pub fn act(&mut self, now: Time) -> Option<Outgoing> {
        match self.stage {
            Stage::Idle => Some(self.begin(now)),
            Stage::Opening { copies, since } if copies < OPENING_COPY_TIMES.len() => {
                self.stage = Stage::Opening {
                    copies: copies + 1,
                    since,
                };
                let next = OPENING_COPY_TIMES
                    .get(copies + 1)
                    .copied()
                    .unwrap_or(OPENING_TIME);
                self.due = since + next;
                Some(self.segment(true, None))
            }
            Stage::Opening { .. } => None,
            Stage::Waiting { .. } if now >= self.began + DEADLINE => None,
            Stage::Waiting { resend } => {
                let resend = MAX_RESEND.min(resend * 2);
                self.stage = Stage::Waiting { resend };
                self.due = (now + resend).min(self.began + DEADLINE);
                Some(self.segment(false, Some(Content::Request(self.request))))
            }
        }
    }

    /// Takes a datagram, and returns what it meant with what the caller sends.
    pub fn receive(
        &mut self,
        segment: &Segment,
        content: Option<Content>,
        now: Time,
    ) -> (Seen, Option<Outgoing>) {
        if self.flow != Some(segment.flow_of_server()) {
            return (Seen::Nothing, None);
        }
        if segment.flags.rst {
            self.flow = None;
            return (Seen::Reset, None);
        }
        match self.stage {
            Stage::Opening { since, .. } if segment.flags.syn => {
                self.acknowledged = segment.sequence.wrapping_add(1);
                self.sequence = 2;
                let request = self.request(now);
                (Seen::Opened(now.since(since)), Some(request))
            }
            Stage::Waiting { .. }
                if segment.length > 0 && segment.sequence == self.acknowledged =>
            {
                self.acknowledged = segment.end();
                self.sequence += u32::from(DATA_BYTES);
                self.answered += 1;
                self.stage = Stage::Idle;
                match content {
                    Some(Content::Answer { request, .. }) if request == self.request => {
                        (Seen::Answered(now.since(self.began)), None)
                    }
                    _ => (Seen::Mixed, None),
                }
            }
            _ => (Seen::Nothing, None),
        }
    }

    /// Ends the flow in use and returns the segment that says so.
    pub fn finish(&mut self) -> Outgoing {
        let mut segment = self.head();
        segment.flags.fin = true;
        self.flow = None;
        Outgoing {
            segment,
            content: None,
        }
    }

    fn request(&mut self, now: Time) -> Outgoing {
        self.stage = Stage::Waiting {
            resend: RESEND_TIME,
        };
        self.due = now + RESEND_TIME;
        self.segment(false, Some(Content::Request(self.request)))
    }

    fn segment(&self, syn: bool, content: Option<Content>) -> Outgoing {
        let mut segment = self.head();
        if let Stage::Opening { copies, .. } = self.stage {
            segment.acknowledged = copies as u32;
        }
        segment.flags.syn = syn;
        segment.flags.ack = !syn;
        segment.length = content.map_or(0, |_| DATA_BYTES);
        Outgoing { segment, content }
    }

    fn head(&self) -> Segment {
        Segment {
            source: SocketAddrV4::new(self.ip, self.port),
            destination: self.address,
            sequence: self.sequence,
            acknowledged: self.acknowledged,
            length: 0,
            flags: Flags {
                ack: true,
                ..Flags::default()
            },
            mark: 0,
        }
    }
}
