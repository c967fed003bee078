//! The flows of one backend server, as its agent sees them pass.

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use rustc_hash::FxBuildHasher;

use crate::{
    clock::Time,
    l4::{
        segment::{FlowKey, Segment, follows, is_after},
        workload::{Running, Workload},
    },
};

/// Time for which an ended flow is remembered: its last segments may be sent again.
const LINGER: Duration = Duration::from_secs(5);

/// Time after which a flow that the caller never acknowledged is forgotten: callers give up an
/// opening after 1.4 s.
const OPENING_TIME: Duration = Duration::from_secs(4);

/// Stands for a balancer that is not known.
const NOBODY: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0);

/// Age from which a flow is one that lasts; most flows bring one request and end before.
const LASTING_TIME: Duration = Duration::from_millis(500);

/// How far a flow has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// The opening segment was delivered.
    Offered,
    /// The backend server accepted the flow.
    Accepted {
        /// First sequence number of the backend server.
        initial: u32,
    },
    /// A segment was delivered to learn whether the backend server holds the flow.
    Tested,
    /// The caller acknowledged, or the flow was found open.
    Open,
    /// Both ends have finished, or one has reset the flow.
    Ended,
}

/// One flow.
#[derive(Clone, Debug)]
pub struct Held {
    /// How far it has come.
    pub stage: Stage,
    /// Balancer that sent the last segment.
    pub balancer: SocketAddrV4,
    /// What the caller acknowledged last.
    pub acknowledged: u32,
    /// When it is forgotten unless a segment passes.
    pub expires: Time,
    /// Whether the backend server has not answered the opening segment.
    pub offered: bool,
    /// Whether the flow is about to bring its first request.
    opening: bool,
    /// When the flow counts as a lasting one.
    lasts: Time,
    running: Option<Running>,
    caller_end: Option<u32>,
    caller_done: bool,
    server_done: bool,
}

/// What a backend server's segment meant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// It accepted the flow.
    Accepted {
        /// Its first sequence number.
        initial: u32,
        /// Balancer that offered the flow.
        balancer: SocketAddrV4,
    },
    /// It holds a flow that was tested.
    Found {
        /// Balancer that asked.
        balancer: SocketAddrV4,
    },
    /// It began to answer a request.
    Answered(Duration),
    /// It reset the flow while a request was open.
    BrokeOff,
    /// Nothing that matters here.
    Other,
}

/// All flows of a backend server.
#[derive(Debug)]
pub struct Flows {
    idle: Duration,
    held: HashMap<FlowKey, Held, FxBuildHasher>,
}

impl Flows {
    /// Returns an empty table whose flows are forgotten after an idle time.
    pub fn new(idle: Duration) -> Self {
        Self {
            idle,
            held: HashMap::default(),
        }
    }

    /// Returns a flow.
    pub fn get(&self, flow: &FlowKey) -> Option<&Held> {
        self.held.get(flow)
    }

    /// Notes that an opening segment goes to the backend server.
    pub fn offer(&mut self, flow: FlowKey, balancer: SocketAddrV4, load: &mut Workload, now: Time) {
        let known = self.held.get_mut(&flow);
        if let Some(held) = known.filter(|held| held.stage != Stage::Ended) {
            held.balancer = balancer;
            return;
        }
        load.open();
        let mut held = Held::new(Stage::Offered, balancer, now, now + OPENING_TIME);
        held.offered = true;
        held.opening = true;
        load.offered();
        self.held.insert(flow, held);
    }

    /// Notes that a segment of an unknown flow goes to the backend server, which may hold it.
    pub fn test(&mut self, flow: FlowKey, balancer: SocketAddrV4, load: &mut Workload, now: Time) {
        load.open();
        let held = Held::new(Stage::Tested, balancer, now, now + self.idle);
        self.held.insert(flow, held);
    }

    /// Notes a segment of the caller that goes to the backend server; returns whether it begins a
    /// request, or `None` if the flow is unknown.
    pub fn pass(
        &mut self,
        segment: &Segment,
        balancer: SocketAddrV4,
        load: &mut Workload,
        now: Time,
    ) -> Option<bool> {
        let held = self.held.get_mut(&segment.flow_of_caller())?;
        if let Stage::Accepted { initial } = held.stage
            && !follows(segment.acknowledged, initial)
        {
            return None;
        }
        held.balancer = balancer;
        held.acknowledged = segment.acknowledged;
        if held.stage == Stage::Ended {
            return Some(false);
        }
        if held.stage != Stage::Tested {
            held.stage = Stage::Open;
        }
        held.expires = now + self.idle;
        let fresh = held
            .caller_end
            .is_none_or(|end| is_after(segment.end(), end));
        let begins = segment.length > 0 && fresh && held.running.is_none();
        if fresh {
            held.caller_end = Some(segment.end());
        }
        if begins {
            held.settle_opening(load);
            held.running = Some(load.begin(now));
        }
        if segment.flags.fin {
            held.caller_done = true;
        }
        held.settle(segment.flags.rst, load, now);
        Some(begins)
    }

    /// Notes a segment of the backend server; a flow that is not known is taken for open.
    pub fn answer(&mut self, segment: &Segment, load: &mut Workload, now: Time) -> Progress {
        let idle = self.idle;
        let flow = segment.flow_of_server();
        let held = self.held.entry(flow).or_insert_with(|| {
            load.open();
            Held::new(Stage::Open, NOBODY, now, now + idle)
        });
        let mut progress = Progress::Other;
        if held.stage == Stage::Ended {
            return progress;
        }
        held.offered = false;
        if segment.flags.syn {
            let initial = segment.sequence;
            if matches!(held.stage, Stage::Offered | Stage::Accepted { .. }) {
                held.stage = Stage::Accepted { initial };
            }
            return Progress::Accepted {
                initial,
                balancer: held.balancer,
            };
        }
        held.expires = now + idle;
        if held.stage == Stage::Tested {
            held.stage = Stage::Open;
            progress = Progress::Found {
                balancer: held.balancer,
            };
        }
        if segment.length > 0
            && let Some(running) = held.running.take()
        {
            progress = Progress::Answered(load.answered(running, now));
        }
        if segment.flags.rst && held.running.is_some() {
            progress = Progress::BrokeOff;
        }
        if segment.flags.fin {
            held.server_done = true;
        }
        held.settle(segment.flags.rst, load, now);
        progress
    }

    /// Ends the wait for the first request of a flow; returns whether the backend server has not
    /// even answered the opening segment.
    pub fn check_offer(&mut self, flow: &FlowKey, load: &mut Workload) -> bool {
        let Some(held) = self.held.get_mut(flow) else {
            return false;
        };
        held.settle_opening(load);
        held.offered
    }

    /// Forgets a flow that the backend server does not hold.
    pub fn remove(&mut self, flow: &FlowKey, load: &mut Workload) {
        if let Some(mut held) = self.held.remove(flow) {
            held.leave(load);
        }
    }

    /// Forgets flows that ended or were idle for long.
    pub fn expire(&mut self, load: &mut Workload, now: Time) {
        self.held.retain(|_, held| {
            let keep = now < held.expires;
            if !keep {
                held.leave(load);
            }
            keep
        });
    }

    /// Returns the open flows that last: all of them, or those that began to between two times.
    pub fn lasting(&self, now: Time, (from, until): (Time, Time), all: bool) -> Vec<FlowKey> {
        let mut lasting = Vec::new();
        for (flow, held) in &self.held {
            let new = held.lasts >= from && held.lasts < until;
            if held.stage == Stage::Open && held.lasts <= now && (all || new) {
                lasting.push(*flow);
            }
        }
        lasting
    }

    /// Forgets all flows and returns those that were open here for certain: one that was only
    /// offered may have opened at another backend server.
    pub fn drain(&mut self, load: &mut Workload) -> Vec<(FlowKey, Held)> {
        load.clear();
        let all = self.held.drain();
        all.filter(|(_, held)| held.stage == Stage::Open).collect()
    }
}

impl Held {
    fn new(stage: Stage, balancer: SocketAddrV4, now: Time, expires: Time) -> Self {
        Self {
            stage,
            balancer,
            acknowledged: 0,
            expires,
            offered: false,
            opening: false,
            lasts: now + LASTING_TIME,
            running: None,
            caller_end: None,
            caller_done: false,
            server_done: false,
        }
    }

    fn settle(&mut self, reset: bool, load: &mut Workload, now: Time) {
        let finished = self.caller_done && self.server_done;
        if !reset && !finished {
            return;
        }
        self.leave(load);
        self.stage = Stage::Ended;
        self.expires = now + LINGER;
    }

    fn settle_opening(&mut self, load: &mut Workload) {
        if std::mem::take(&mut self.opening) {
            load.settled();
        }
    }

    /// Takes the flow out of the workload.
    fn leave(&mut self, load: &mut Workload) {
        self.settle_opening(load);
        if self.running.take().is_some() {
            load.abandon();
        }
        if self.stage != Stage::Ended {
            load.close();
        }
    }
}
