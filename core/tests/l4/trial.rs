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
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};

use crate::{
    balancer::{ACKNOWLEDGED_TENS, Harness, agent, filter, known_agents, view},
    codec::{DATA, flow},
    search::take_queried,
};

const PORT: u8 = 1;

/// Time for which segments of a flow may reach other servers and none its own, in milliseconds.
const FLOW_MS: u64 = 2_000;

/// Number of segments at other servers that break a flow if none reaches its own for [`FLOW_MS`].
const BREAKING_STRAYS: usize = 3;

/// When a caller sends its segment and the copies of it, in milliseconds.
const COPIES_MS: [u64; 4] = [0, 200, 600, 1_400];

/// Time after which a server sends a segment again that was not acknowledged; it doubles up to the longest.
const RETRANSMIT_MS: u64 = 200;
const MAX_RETRANSMIT_MS: u64 = 1_600;

/// Length and number of the drawn runs.
const RUN_MS: u64 = 8_000;
const RUNS: u64 = 200;

/// A fleet that one caller's flow is searched for in.
struct Fleet {
    harness: Harness,
    /// Number of agents that the balancer knows.
    size: u8,
    /// When the balancer knows all agents, and their number, if it does not yet.
    whole_at: Option<(u64, u8)>,
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
    /// When the flow's server sends its answer, and after which time again if its agent is down.
    answers: Vec<(u64, u64)>,
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
            whole_at: None,
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
            answers: Vec::new(),
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

    /// Has an agent down for a time.
    fn stop(&mut self, index: u8, period: Range<u64>) {
        self.down.entry(index).or_default().push(period);
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
        if let Some((_, size)) = self.whole_at.take_if(|(at, _)| *at == self.ms) {
            self.size = size;
            self.known = known_agents(size);
            self.set_joined(true);
        }
        for (index, periods) in &self.down {
            if periods.iter().any(|period| period.end == self.ms) {
                self.delivered.remove(index);
                self.sure.remove(index);
                self.has_learned &= *index != self.owner;
            }
        }
        self.send_answers();
        let strays = self.strays;
        for (peer, message) in std::mem::take(&mut self.harness.sent.messages) {
            let index = peer.ip().octets()[3];
            if !self.is_down(index, self.ms) {
                self.answer(index, message);
            }
        }
        self.judge_arrivals(self.strays - strays);
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

    /// Sends the answers of the flow's server that are due. Its agent learns of the flow by them, and tells
    /// the balancer if it has delivered a segment on trial.
    fn send_answers(&mut self) {
        let is_down = self.is_down(self.owner, self.ms);
        let mut is_sent = false;
        for (due, interval) in &mut self.answers {
            if *due == self.ms && is_down {
                *due += *interval;
                *interval = (*interval * 2).min(MAX_RETRANSMIT_MS);
            }
            is_sent |= *due == self.ms;
        }
        self.answers.retain(|(due, _)| *due > self.ms);
        if !is_sent {
            return;
        }
        self.has_learned = true;
        if self.delivered.remove(&self.owner) {
            let found = Message::Found {
                flow: flow(PORT),
                ownership: Ownership::Held,
                agents: self.known,
            };
            self.reply(self.owner, found);
        }
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
                self.delivered.insert(index);
                match is_owner {
                    true => {
                        self.arrivals.push(self.ms);
                        self.answers.push((self.ms + self.answer_ms, RETRANSMIT_MS));
                    }
                    false => {
                        self.strays += 1;
                        self.reply_after(self.return_ms, index, Message::Unknown);
                    }
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
        self.harness
            .receive_from_peer(agent(index), message, &datagram);
    }

    /// Judges the segments that arrived in this millisecond, whose order is arbitrary.
    fn judge_arrivals(&mut self, strays: usize) {
        if self.arrivals.last() == Some(&self.ms) {
            self.astray = None;
        } else if strays > 0 {
            let (since, count) = self.astray.unwrap_or((self.ms, 0));
            self.astray = Some((since, count + strays));
            self.is_broken |= count + strays >= BREAKING_STRAYS && self.ms - since >= FLOW_MS;
        }
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
    fleet.stop(101, 0..FLOW_MS);
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
    let copies: Vec<u64> = COPIES_MS.into_iter().chain([3_000, 4_600]).collect();
    for copy in &copies {
        fleet.stop(60, copy.saturating_sub(20)..copy + 180);
    }
    fleet.run(6_000, &copies);
    assert!(!fleet.is_broken, "{} strays", fleet.strays);
}

/// Returns a fleet of three agents, of which the unsure one has delivered a segment on trial that its server has not
/// returned yet.
fn fleet_with_a_trial_at_the_last_agent() -> Fleet {
    let mut fleet = Fleet::new(3, 200);
    fleet.sure.extend([1, 2]);
    fleet.return_ms = 10_000;
    fleet.run(20, &[0]);
    assert_eq!(fleet.strays, 1);
    fleet
}

/// Guards against an agent that is taken for the owner because its server has not returned a segment in a
/// short time: the agent has stopped, and the segments that follow are lost or reach a wrong server.
#[test]
fn agent_that_has_stopped_is_not_taken_for_the_owner() {
    let mut fleet = fleet_with_a_trial_at_the_last_agent();
    let stopped = fleet.ms;
    fleet.stop(3, stopped..stopped + 10_000);
    fleet.run(stopped + 800, &[]);
    assert!(!fleet.has_owner());
}

/// Guards against an agent that is taken for the owner after a restart in which it has lost the entry of the
/// trial delivery: its reply tells nothing about the segment.
#[test]
fn agent_that_was_restarted_after_the_trial_delivery_is_not_taken_for_the_owner() {
    let mut fleet = fleet_with_a_trial_at_the_last_agent();
    let stopped = fleet.ms;
    fleet.stop(3, stopped..stopped + 30);
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
        fleet.stop(100, 0..up_at);
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
            fleet.stop(index, start..start + PERIOD_MS);
        }
        fleet.has_learned = owner > 20;
        fleet.run(FLOW_MS, &COPIES_MS);
        let first = fleet.arrivals.first().copied();
        let first = first.unwrap_or_else(|| panic!("owner {owner}: not found"));
        assert!(first <= FLOW_MS, "owner {owner}: found at {first}");
        assert!(!fleet.is_broken);
    }
}

/// Guards against a search that goes on for as long as an agent is silent, although the owner has registered
/// the flow at a home since.
#[test]
fn homes_of_a_kept_search_are_queried_again_for_each_copy() {
    let mut fleet = Fleet::new(5, 200);
    fleet.sure.extend(1..=4);
    fleet.stop(5, 0..FLOW_MS);
    fleet.run(500, &[0]);
    fleet.harness.receive_from_caller(DATA, PORT);
    let queried = take_queried(&mut fleet.harness);
    assert!(!queried.is_empty());
    let found = Message::Found {
        flow: flow(PORT),
        ownership: Ownership::HeldBy(agent(200)),
        agents: fleet.known,
    };
    fleet.harness.receive_from_peer(queried[0], found, &[]);
    assert!(fleet.has_owner());
}

/// Guards against a caller that is never told because a home of its flow has ended: the registrations of an
/// agent that the membership has given up are gone with it.
#[test]
fn lost_flow_whose_home_has_ended_is_reset_once_the_home_is_given_up() {
    const GIVEN_UP_MS: u64 = 4_000;
    let copies: Vec<u64> = (0..10_000).step_by(400).collect();
    for home in 1..=3 {
        let mut fleet = Fleet::new(3, 200);
        fleet.sure.extend(1..=3);
        fleet.stop(home, 0..60_000);
        fleet.run(GIVEN_UP_MS, &copies);
        let states = [1, 2, 3].map(|index| match index == home {
            true => (index, MemberState::Dead),
            false => (index, MemberState::Ready),
        });
        fleet.harness.apply_view(&states);
        fleet.known = view(&states).known_agents();
        fleet.run(GIVEN_UP_MS + 2_000, &copies);
        assert!(fleet.harness.sent.resets > 0, "agent {home}");
    }
}

/// Returns a fleet with restarts, silences and a view of the balancer, and when the caller sends copies.
fn draw(seed: u64) -> (Fleet, Vec<u64>) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let size = *[2, 3, 9, 40, 100].choose(&mut rng).unwrap();
    let owner = rng.random_range(1..=size);
    let mut fleet = Fleet::new(size, owner);
    let restarted_share = *[0.1, 0.5, 1.0].choose(&mut rng).unwrap();
    let silent_share = *[0.0, 0.1, 0.5, 1.0].choose(&mut rng).unwrap();
    for index in 1..=size {
        if !rng.random_bool(restarted_share) {
            fleet.sure.insert(index);
            fleet.has_learned |= index == owner;
        }
        let mut at = rng.random_range(0..3_000);
        while at < RUN_MS && rng.random_bool(silent_share) {
            let end = at + rng.random_range(100..3_000);
            fleet.stop(index, at..end);
            at = end + rng.random_range(300..4_000);
        }
    }
    fleet.return_ms = rng.random_range(1..400);
    fleet.answer_ms = rng.random_range(1..600);
    // The view is a part of the fleet at first, and other processes may know that.
    if rng.random_bool(0.3) {
        let known = rng.random_range(1..=size);
        let is_known_elsewhere = rng.random();
        fleet.size = known;
        fleet.harness = Harness::new(known);
        fleet.set_joined(is_known_elsewhere && rng.random());
        if !is_known_elsewhere {
            fleet.known = known_agents(known);
        }
        fleet.whole_at = Some((rng.random_range(100..4_000), size));
    }
    let mut copies = Vec::new();
    let mut at = 0;
    while at < RUN_MS {
        copies.push(at);
        at += rng.random_range(20..1_700);
    }
    (fleet, copies)
}

/// Guards against flows whose segments reach other servers and none their own, through restarts, silences,
/// slow servers and partial views; and against flows that are not found once all agents are up.
#[test]
fn no_flow_of_a_living_server_is_broken_and_each_is_found() {
    for seed in 0..RUNS {
        let (mut fleet, copies) = draw(seed);
        fleet.run(RUN_MS, &copies);
        assert!(!fleet.is_broken, "seed {seed}: {} strays", fleet.strays);
        assert_eq!(fleet.harness.sent.resets, 0, "seed {seed}");
        fleet.down.clear();
        let next = [RUN_MS, RUN_MS + 300, RUN_MS + 1_000];
        fleet.arrivals.clear();
        fleet.run(RUN_MS + FLOW_MS, &next);
        assert!(!fleet.arrivals.is_empty(), "seed {seed}: not found");
        assert!(!fleet.is_broken, "seed {seed}: {} strays", fleet.strays);
    }
}
