//! Trial deliveries: how many backend servers a segment of an unknown flow reaches, and which agent is taken
//! for the owner. The balancer is the real state machine; agents and servers are fakes.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Range,
};

use berylvalve_core::{
    l4::message::{Message, Ownership},
    member::{KnownAgents, MemberState, View},
};

use crate::{
    balancer::{ACKNOWLEDGED_TENS, Harness, agent, filter, known_agents, view},
    codec::{DATA, flow},
};

const PORT: u8 = 1;

/// Time for which segments of a flow may reach other servers and none its own, in milliseconds.
const FLOW_MS: u64 = 2_000;

/// Number of segments at other servers that break a flow if none reaches its own for [`FLOW_MS`].
const BREAKING_STRAYS: usize = 3;

/// When a caller sends its segment and the copies of it, in milliseconds.
const COPIES_MS: [u64; 4] = [0, 200, 600, 1_400];

/// A fleet that one caller's flow is searched for in.
struct Fleet {
    harness: Harness,
    size: u8,
    /// The agent whose server holds the flow; may be one that the balancer does not know.
    owner: u8,
    /// Agents that know all flows of their servers.
    sure: BTreeSet<u8>,
    /// When agents are down.
    down: BTreeMap<u8, Vec<Range<u64>>>,
    /// Agents that have delivered a segment on trial since their last start.
    delivered: BTreeSet<u8>,
    /// Whether the owner knows that its server holds the flow.
    has_learned: bool,
    /// Time after which a server returns a segment that it does not hold the flow of.
    return_ms: u64,
    /// Time after which the flow's server sends a segment.
    answer_ms: u64,
    /// Agents that other processes know.
    known: KnownAgents,
    /// Replies by time of arrival and order.
    replies: BTreeMap<(u64, usize), (u8, Message)>,
    order: usize,
    ms: u64,
    /// Segments that reached other servers.
    strays: usize,
    /// Time of the first segment at another server since the last one at the flow's own, and their number.
    astray: Option<(u64, usize)>,
    /// Times of the segments that reached the flow's server.
    arrivals: Vec<u64>,
    is_broken: bool,
}

impl Fleet {
    /// Returns a joined fleet whose agents have all been restarted beside running servers.
    fn new(size: u8, owner: u8) -> Self {
        Self {
            harness: Harness::new(size),
            size,
            owner,
            sure: BTreeSet::new(),
            down: BTreeMap::new(),
            delivered: BTreeSet::new(),
            has_learned: false,
            return_ms: 1,
            answer_ms: 5,
            known: known_agents(size),
            replies: BTreeMap::new(),
            order: 0,
            ms: 0,
            strays: 0,
            astray: None,
            arrivals: Vec::new(),
            is_broken: false,
        }
    }

    fn set_joined(&mut self, joined: bool) {
        let agents: Vec<_> = (1..=self.size).map(|i| (i, MemberState::Ready)).collect();
        let view = View {
            joined,
            ..view(&agents)
        };
        let (balancer, now) = (&mut self.harness.balancer, self.harness.now);
        balancer.apply_view(&view, now, &mut self.harness.sent);
    }

    fn is_down(&self, index: u8, ms: u64) -> bool {
        let periods = self.down.get(&index).into_iter().flatten();
        periods.into_iter().any(|period| period.contains(&ms))
    }

    /// Lets time pass in which the caller sends at given times.
    fn run(&mut self, until: u64, sends_at: &[u64]) {
        while self.ms < until {
            if sends_at.contains(&self.ms) {
                self.harness.receive_from_caller(DATA, PORT);
            }
            self.step();
        }
    }

    fn step(&mut self) {
        for (index, periods) in &self.down {
            if periods.iter().any(|period| period.end == self.ms) {
                self.delivered.remove(index);
                self.sure.remove(index);
                self.has_learned &= *index != self.owner;
            }
        }
        for (peer, message) in std::mem::take(&mut self.harness.sent.messages) {
            let index = peer.ip().octets()[3];
            if !self.is_down(index, self.ms) {
                self.answer(index, message);
            }
        }
        while let Some(entry) = self.replies.first_entry() {
            if entry.key().0 > self.ms {
                break;
            }
            let (index, message) = entry.remove();
            if !self.is_down(index, self.ms) {
                self.reply(index, message);
            }
        }
        self.harness.advance(1);
        self.ms += 1;
    }

    fn answer(&mut self, index: u8, message: Message) {
        let is_owner = index == self.owner;
        let agents = self.known;
        match message {
            Message::Find { flow, .. } => {
                let ownership = match () {
                    () if is_owner && self.has_learned => Ownership::Held,
                    () if self.sure.contains(&index) => Ownership::NotHeld,
                    () => Ownership::Unsure,
                };
                let found = Message::Found {
                    flow,
                    ownership,
                    agents,
                };
                self.reply_after(1, index, found);
            }
            Message::ListFlows { round } => {
                let sure = self.sure.contains(&index);
                let held = Message::HeldFlows {
                    round,
                    sure,
                    agents,
                };
                self.reply_after(1, index, held);
            }
            Message::Forward => {
                self.record_arrival(is_owner);
                self.delivered.insert(index);
                match is_owner {
                    true => {
                        let found = Message::Found {
                            flow: flow(PORT),
                            ownership: Ownership::Held,
                            agents,
                        };
                        self.reply_after(self.answer_ms, index, found);
                    }
                    false => self.reply_after(self.return_ms, index, Message::Unknown),
                }
            }
            _ => {}
        }
    }

    fn reply_after(&mut self, millis: u64, index: u8, message: Message) {
        self.order += 1;
        let key = (self.ms + millis, self.order);
        self.replies.insert(key, (index, message));
    }

    fn reply(&mut self, index: u8, message: Message) {
        let segment = [DATA, PORT, ACKNOWLEDGED_TENS];
        let datagram = match message {
            Message::HeldFlows { round, .. } => {
                let holds = index == self.owner && self.has_learned;
                let is_held = holds || self.delivered.contains(&index);
                filter(if is_held { &[PORT] } else { &[] }, round)
            }
            Message::Unknown => {
                self.delivered.remove(&index);
                segment.to_vec()
            }
            _ => Vec::new(),
        };
        if let Message::Found {
            ownership: Ownership::Held,
            ..
        } = message
        {
            self.has_learned = true;
        }
        self.harness
            .receive_from_peer(agent(index), message, &datagram);
    }

    fn record_arrival(&mut self, is_owner: bool) {
        if is_owner {
            self.arrivals.push(self.ms);
            self.astray = None;
            return;
        }
        self.strays += 1;
        let (since, count) = self.astray.unwrap_or((self.ms, 0));
        self.astray = Some((since, count + 1));
        self.is_broken |= count + 1 >= BREAKING_STRAYS && self.ms - since >= FLOW_MS;
    }

    /// Returns whether the next segment of the caller goes to one agent at once.
    fn has_owner(&mut self) -> bool {
        self.harness.sent.messages.clear();
        self.harness.receive_from_caller(DATA, PORT);
        let sent = std::mem::take(&mut self.harness.sent.messages);
        sent.iter().any(|(_, message)| *message == Message::Forward)
    }
}

/// Guards against segments of an open flow at a hundred other servers: the balancer does not know the flow's
/// owner yet.
#[test]
fn segment_whose_owner_may_be_unknown_here_reaches_at_most_two_servers() {
    for (joined, knows_more) in [(false, false), (false, true), (true, true)] {
        let mut fleet = Fleet::new(100, 200);
        fleet.set_joined(joined);
        if knows_more {
            fleet.known = known_agents(200);
        }
        fleet.run(FLOW_MS, &COPIES_MS);
        let strays = fleet.strays;
        let case = format!("joined: {joined}, others know more: {knows_more}");
        assert!(strays < BREAKING_STRAYS, "{strays} strays, {case}");
        assert_eq!(fleet.harness.sent.resets, 0, "{case}");
    }
}

/// Guards against the same while the owner is restarted and the other agents have been.
#[test]
fn segment_whose_owner_is_silent_reaches_at_most_two_servers() {
    let mut fleet = Fleet::new(101, 101);
    fleet.down.insert(101, vec![0..FLOW_MS]);
    fleet.run(FLOW_MS, &COPIES_MS);
    assert!(
        fleet.strays < BREAKING_STRAYS,
        "{} strays in {FLOW_MS} ms",
        fleet.strays
    );
}

/// Guards against an owner that is restarted at the time of each search, which takes segments to all unsure
/// agents and none to the owner.
#[test]
fn flow_of_an_owner_that_is_restarted_again_and_again_is_not_broken() {
    let mut fleet = Fleet::new(60, 60);
    let restarts = COPIES_MS.map(|ms| ms.saturating_sub(20)..ms + 180);
    let later = [3_000_u64, 4_600].map(|ms| ms - 20..ms + 180);
    fleet
        .down
        .insert(60, restarts.into_iter().chain(later).collect());
    let copies: Vec<u64> = COPIES_MS.into_iter().chain([3_000, 4_600]).collect();
    fleet.run(6_000, &copies);
    assert!(!fleet.is_broken, "{} strays", fleet.strays);
}

/// Guards against an agent that is taken for the owner because its server has not returned a segment in a
/// short time: the agent has stopped, and the segments that follow are lost or reach a wrong server.
#[test]
fn agent_that_has_stopped_is_not_taken_for_the_owner() {
    let mut fleet = Fleet::new(3, 200);
    fleet.sure.extend([1, 2]);
    fleet.return_ms = 10_000;
    fleet.run(20, &[0]);
    assert_eq!(fleet.strays, 1);
    let stopped = fleet.ms;
    fleet.down.insert(3, vec![stopped..stopped + 10_000]);
    fleet.run(stopped + 800, &[]);
    assert!(!fleet.has_owner());
}

/// Guards against an agent that is taken for the owner after a restart in which it has lost the entry of the
/// trial delivery: its reply tells nothing about the segment.
#[test]
fn agent_that_was_restarted_after_the_trial_delivery_is_not_taken_for_the_owner() {
    let mut fleet = Fleet::new(3, 200);
    fleet.sure.extend([1, 2]);
    fleet.return_ms = 10_000;
    fleet.run(20, &[0]);
    assert_eq!(fleet.strays, 1);
    let stopped = fleet.ms;
    fleet.down.insert(3, vec![stopped..stopped + 30]);
    fleet.run(stopped + 800, &[]);
    assert!(!fleet.has_owner());
}

/// A flow's server may be silent for longer than a trial delivery waits: it works on the request. Its agent
/// is the only one whose server has not returned the segment.
#[test]
fn only_agent_whose_server_keeps_the_segment_is_the_owner() {
    for size in [3, 100] {
        let mut fleet = Fleet::new(size, size);
        fleet.answer_ms = 10_000;
        fleet.run(600, &[0]);
        assert!(fleet.has_owner(), "{size} agents");
    }
}

#[test]
fn owner_among_unsure_agents_is_found_by_a_trial_delivery() {
    for size in [1, 2, 3, 100] {
        let mut fleet = Fleet::new(size, size);
        fleet.run(200, &[0]);
        assert!(fleet.has_owner(), "{size} agents");
        assert_eq!(fleet.arrivals.len(), 1, "{size} agents");
    }
}

/// A flow is found within the time in which it would count as broken, although its owner does not answer at
/// first.
#[test]
fn owner_that_answers_again_is_found_soon() {
    for up_at in [100, 500, 1_000] {
        let mut fleet = Fleet::new(100, 100);
        fleet.down.insert(100, vec![0..up_at]);
        fleet.run(FLOW_MS.max(up_at + 1_000), &COPIES_MS);
        let first = fleet.arrivals.first().copied();
        let first = first.unwrap_or_else(|| panic!("up at {up_at}: not found"));
        assert!(first <= up_at + 1_000, "up at {up_at}: found at {first}");
    }
}

/// Guards against flows that are found only once no agent is restarted any more: those that were restarted
/// before are unsure, and some agent is always silent.
#[test]
fn owner_is_found_while_other_agents_are_restarted_in_turn() {
    const AGENTS: u8 = 60;
    const AT_ONCE: u8 = 5;
    const PERIOD_MS: u64 = 1_000;
    for owner in [1, 20, 40] {
        let mut fleet = Fleet::new(AGENTS, owner);
        // The roll has reached the agents up to 20 when the caller sends.
        fleet.sure.extend(21..=AGENTS);
        for index in 21..=AGENTS {
            let start = u64::from((index - 21) / AT_ONCE) * PERIOD_MS;
            fleet.down.insert(index, vec![start..start + PERIOD_MS]);
        }
        fleet.has_learned = owner > 20;
        fleet.run(FLOW_MS, &COPIES_MS);
        let first = fleet.arrivals.first().copied();
        let first = first.unwrap_or_else(|| panic!("owner {owner}: not found"));
        assert!(first <= FLOW_MS, "owner {owner}: found at {first}");
        assert!(!fleet.is_broken);
    }
}
