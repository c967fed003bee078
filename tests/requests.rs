//! Checks that requests with an idempotency key run at most once (ledger, choice of the responsible
//! agent), and that retries of idempotent requests are limited.

use std::{collections::BTreeMap, net::SocketAddrV4, time::Duration};

use berylvalve::{
    agent::{
        ledger::{ENTRY_BYTES, Fingerprint, KEY_TTL, KeyStatus, Ledger, OUTCOME_TTL},
        reply::{Outcome, Reply},
        request_forwarding::{KeyOwner, find_key_owner},
    },
    clock::Time,
    member::{Directory, MemberState, Record, Role},
    owner_id::{Incarnation, Owner, ServiceTag},
    retry::RetryBudget,
};
use http::StatusCode;
use proptest::{
    collection::vec,
    prelude::any,
    test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner},
};

const AGENTS: usize = 3;
const CALLERS: usize = 4;
const CASES: u32 = 3000;
const STEPS: usize = 80;
const CALL_TIMEOUT: Duration = Duration::from_secs(600);

type Key = (Owner, u32);

#[derive(Clone, Copy, Debug)]
enum Message {
    Request {
        caller: usize,
        attempt: u32,
        key: Option<Key>,
        to: usize,
    },
    Forwarded {
        caller: usize,
        attempt: u32,
        key: Key,
        to: usize,
    },
    KeyIssued {
        caller: usize,
        attempt: u32,
        key: Key,
    },
    Outcome {
        caller: usize,
        attempt: u32,
        outcome: Outcome,
    },
}

struct Agent {
    frozen: bool,
    incarnation: u32,
    /// Key number and caller of each admitted request.
    admitted: Vec<(u32, usize)>,
    ledger: Ledger,
    /// Key number and caller of each request that the backend server runs.
    running: Vec<(u32, usize)>,
    view: Directory,
    /// Key number, caller and attempt of each request that waits for an outcome.
    waiting: Vec<(u32, usize, u32)>,
}

#[derive(Default)]
struct Caller {
    attempt: u32,
    deadline: Time,
    key: Option<Key>,
    outcome: Option<Outcome>,
}

/// Agents, callers and the messages in transit between them.
struct Simulation {
    agents: Vec<Agent>,
    callers: Vec<Caller>,
    messages: Vec<Message>,
    now: Time,
    /// Times that the request of each caller was sent to a backend server.
    runs: [u32; CALLERS],
}

fn address(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, 1].into(), 1000 + index as u16)
}

fn owner(index: usize, incarnation: u32) -> Owner {
    Owner {
        address: address(index),
        service: ServiceTag(1),
        incarnation: Incarnation(incarnation),
    }
}

fn record(index: usize, incarnation: u32, state: MemberState) -> Record {
    Record {
        address: address(index),
        control: address(index),
        incarnation: Incarnation(incarnation),
        domain: String::new(),
        role: Role::Agent,
        service: ServiceTag(1),
        state,
        weight: 1,
        version: 0,
        revision: 0,
    }
}

fn answered() -> Reply {
    Reply {
        body: "done".into(),
        outcome: Outcome::Answered,
        retry_at: None,
        server: None,
        status: StatusCode::OK,
    }
}

fn refused() -> Reply {
    Reply::not_run(StatusCode::SERVICE_UNAVAILABLE, "refused")
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Self {
            agents: Vec::new(),
            callers: Vec::new(),
            messages: Vec::new(),
            now: Time::from_millis(1),
            runs: [0; CALLERS],
        };
        for _ in 0..AGENTS {
            simulation.agents.push(Agent {
                frozen: false,
                incarnation: 1,
                admitted: Vec::new(),
                ledger: Ledger::new(2 * ENTRY_BYTES),
                running: Vec::new(),
                view: Directory::default(),
                waiting: Vec::new(),
            });
        }
        for _ in 0..CALLERS {
            let deadline = simulation.now + CALL_TIMEOUT;
            simulation.callers.push(Caller {
                deadline,
                ..Caller::default()
            });
        }
        for index in 0..AGENTS {
            simulation.refresh_view(index);
        }
        simulation
    }

    /// Updates the view that an agent has of all agents.
    fn refresh_view(&mut self, index: usize) {
        let mut members = BTreeMap::new();
        for (other, agent) in self.agents.iter().enumerate() {
            let state = if agent.frozen {
                MemberState::Dead
            } else {
                MemberState::Ready
            };
            members.insert(address(other), record(other, agent.incarnation, state));
        }
        self.agents[index].view.publish(members);
    }

    fn step(&mut self, action: u8, choice: u8) {
        let choice = usize::from(choice);
        let agent = choice % AGENTS;
        let message = choice.checked_rem(self.messages.len());
        match (action % 16, message) {
            (0 | 1, _) => self.send_to_agent(choice % CALLERS, choice / CALLERS % AGENTS),
            (2..=5, Some(index)) => self.deliver(index),
            // Duplicates a message.
            (6, Some(index)) => self.messages.push(self.messages[index]),
            // Loses a message.
            (7, Some(index)) => drop(self.messages.swap_remove(index)),
            (8 | 9, _) => self.send_to_server(agent),
            (10, _) => self.refuse(agent),
            // The backend server answers, or its answer is lost.
            (11, _) => self.finish(agent, Some(answered())),
            (12, _) => self.finish(agent, None),
            (13, _) => self.restart(agent),
            // Freezes or resumes an agent.
            (14, _) if choice < 128 => self.agents[agent].frozen ^= true,
            (14, _) => self.refresh_view(agent),
            (15, _) => self.now = self.now + Duration::from_secs(choice as u64),
            _ => {}
        }
    }

    fn send_to_agent(&mut self, caller: usize, to: usize) {
        let state = &mut self.callers[caller];
        if state.outcome.is_some() || self.now >= state.deadline {
            return;
        }
        state.attempt += 1;
        let (attempt, key) = (state.attempt, state.key);
        self.messages.push(Message::Request {
            caller,
            attempt,
            key,
            to,
        });
    }

    fn deliver(&mut self, index: usize) {
        let target = match self.messages[index] {
            Message::Request { to, .. } | Message::Forwarded { to, .. } => Some(to),
            _ => None,
        };
        if target.is_some_and(|to| self.agents[to].frozen) {
            return;
        }
        match self.messages.swap_remove(index) {
            Message::Request {
                caller,
                attempt,
                key: None,
                to,
            } => {
                let agent = &mut self.agents[to];
                let key_number = agent.ledger.issue(self.now).unwrap();
                let key = (owner(to, agent.incarnation), key_number);
                self.messages.push(Message::KeyIssued {
                    caller,
                    attempt,
                    key,
                });
            }
            Message::Request {
                caller,
                attempt,
                key: Some(key),
                to,
            } => {
                self.handle_request(caller, attempt, key, to);
            }
            Message::Forwarded {
                caller,
                attempt,
                key,
                to,
            } => {
                let own = owner(to, self.agents[to].incarnation);
                match key.0 == own {
                    true => self.start_request(caller, attempt, key.1, to),
                    false => self.reply(caller, attempt, Outcome::Unknown),
                }
            }
            Message::KeyIssued {
                caller,
                attempt,
                key,
            } => {
                let state = &mut self.callers[caller];
                if state.attempt == attempt && state.outcome.is_none() {
                    state.key = Some(key);
                }
            }
            Message::Outcome {
                caller,
                attempt,
                outcome,
            } => {
                let state = &mut self.callers[caller];
                if state.attempt == attempt && state.outcome.is_none() {
                    state.outcome = Some(outcome);
                }
            }
        }
    }

    fn handle_request(&mut self, caller: usize, attempt: u32, key: Key, to: usize) {
        let agent = &self.agents[to];
        let local_owners = [owner(to, agent.incarnation)];
        match find_key_owner(&key.0, &local_owners, &agent.view.view()) {
            KeyOwner::Local => self.start_request(caller, attempt, key.1, to),
            KeyOwner::Remote(peer) => {
                let to = usize::from(peer.port()) - 1000;
                self.messages.push(Message::Forwarded {
                    caller,
                    attempt,
                    key,
                    to,
                });
            }
            KeyOwner::Gone => self.reply(caller, attempt, Outcome::Unknown),
            KeyOwner::Foreign => unreachable!("one service"),
        }
    }

    fn start_request(&mut self, caller: usize, attempt: u32, key_number: u32, to: usize) {
        let agent = &mut self.agents[to];
        let status = agent
            .ledger
            .start(key_number, Fingerprint(caller as u128), self.now);
        match status {
            KeyStatus::New => {
                agent.admitted.push((key_number, caller));
                agent.waiting.push((key_number, caller, attempt));
            }
            KeyStatus::Running => agent.waiting.push((key_number, caller, attempt)),
            KeyStatus::Completed(answer) => self.reply(caller, attempt, answer.outcome),
            KeyStatus::Unknown | KeyStatus::NotIssued => {
                self.reply(caller, attempt, Outcome::Unknown)
            }
            KeyStatus::Mismatch | KeyStatus::Expired => {
                self.reply(caller, attempt, Outcome::NotRun)
            }
        }
    }

    fn reply(&mut self, caller: usize, attempt: u32, outcome: Outcome) {
        self.messages.push(Message::Outcome {
            caller,
            attempt,
            outcome,
        });
    }

    /// Sends an admitted request from an agent to its backend server.
    fn send_to_server(&mut self, index: usize) {
        let agent = &mut self.agents[index];
        if agent.frozen {
            return;
        }
        let Some((key_number, caller)) = agent.admitted.pop() else {
            return;
        };
        if self.now >= self.callers[caller].deadline {
            agent.admitted.push((key_number, caller));
            return self.refuse(index);
        }
        agent.running.push((key_number, caller));
        self.runs[caller] += 1;
    }

    /// Refuses an admitted request of an agent before it is sent.
    fn refuse(&mut self, index: usize) {
        let agent = &mut self.agents[index];
        if agent.frozen {
            return;
        }
        let Some((key_number, _)) = agent.admitted.pop() else {
            return;
        };
        agent.ledger.complete(key_number, refused());
        self.reply_to_waiting(index, key_number, Outcome::NotRun);
    }

    /// Completes a running request with the answer of the backend server, or without if it is lost.
    fn finish(&mut self, index: usize, answer: Option<Reply>) {
        let agent = &mut self.agents[index];
        if agent.frozen {
            return;
        }
        let Some((key_number, _)) = agent.running.pop() else {
            return;
        };
        let outcome = answer.as_ref().map_or(Outcome::Unknown, |a| a.outcome);
        match answer {
            Some(answer) => agent.ledger.complete(key_number, answer),
            None => agent.ledger.mark_unknown(key_number),
        }
        self.reply_to_waiting(index, key_number, outcome);
    }

    fn reply_to_waiting(&mut self, index: usize, key_number: u32, outcome: Outcome) {
        let waiting = std::mem::take(&mut self.agents[index].waiting);
        for (waiting_key_number, caller, attempt) in waiting {
            if waiting_key_number != key_number {
                self.agents[index]
                    .waiting
                    .push((waiting_key_number, caller, attempt));
                continue;
            }
            self.reply(caller, attempt, outcome);
        }
    }

    /// Restarts an agent with an empty ledger; requests that its backend server has started still
    /// run.
    fn restart(&mut self, index: usize) {
        let agent = &mut self.agents[index];
        agent.incarnation += 1;
        agent.ledger = Ledger::new(2 * ENTRY_BYTES);
        agent.admitted.clear();
        agent.running.clear();
        agent.waiting.clear();
        agent.frozen = false;
    }

    fn check_runs_and_outcomes(&self) -> Result<(), TestCaseError> {
        for (caller, state) in self.callers.iter().enumerate() {
            let runs = self.runs[caller];
            if runs > 1 {
                return Err(TestCaseError::fail(format!(
                    "the request of caller {caller} ran {runs} times, at most 1 is allowed"
                )));
            }
            if state.outcome == Some(Outcome::NotRun) && runs > 0 {
                return Err(TestCaseError::fail(format!(
                    "the request of caller {caller} was reported as not run after it ran"
                )));
            }
            if state.outcome == Some(Outcome::Answered) && runs == 0 {
                return Err(TestCaseError::fail(format!(
                    "the request of caller {caller} was reported as answered but never ran"
                )));
            }
        }
        Ok(())
    }

    /// Ends all failures and checks that every request before its deadline gets a final outcome.
    fn check_outcomes_after_failures(&mut self) -> Result<(), TestCaseError> {
        for agent in &mut self.agents {
            agent.frozen = false;
        }
        for index in 0..AGENTS {
            self.refresh_view(index);
        }
        for round in 0..4 {
            for caller in 0..CALLERS {
                self.send_to_agent(caller, (caller + round) % AGENTS);
            }
            for _ in 0..2 {
                while !self.messages.is_empty() {
                    self.deliver(0);
                    self.check_runs_and_outcomes()?;
                }
                for index in 0..AGENTS {
                    while !self.agents[index].admitted.is_empty() {
                        self.send_to_server(index);
                    }
                    while !self.agents[index].running.is_empty() {
                        self.finish(index, Some(answered()));
                    }
                }
                self.check_runs_and_outcomes()?;
            }
        }
        for (caller, state) in self.callers.iter().enumerate() {
            if state.outcome.is_none() && self.now < state.deadline {
                return Err(TestCaseError::fail(format!(
                    "the request of caller {caller} has no final outcome"
                )));
            }
        }
        Ok(())
    }
}

/// Guards against a request that runs twice, one that is reported as not run after it ran, and one
/// that never gets an outcome.
///
/// Random steps lose, delay and duplicate messages, freeze and restart agents, advance the clock
/// and let the agents see outdated states of each other.
#[test]
fn any_order_of_failures_runs_a_request_at_most_once_and_reports_its_outcome() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, random);
    let steps = vec((any::<u8>(), any::<u8>()), 1..STEPS);
    let result = runner.run(&steps, |steps| {
        let mut simulation = Simulation::new();
        for (action, choice) in steps {
            simulation.step(action, choice);
            simulation.check_runs_and_outcomes()?;
        }
        simulation.check_outcomes_after_failures()
    });
    result.unwrap();
}

#[test]
fn a_used_key_returns_its_reply_to_repeats_and_rejects_other_requests() {
    let mut ledger = Ledger::default();
    let now = Time::from_millis(5);
    let key = ledger.issue(now).unwrap();
    assert_eq!(
        ledger.start(key + 1, Fingerprint(1), now),
        KeyStatus::NotIssued
    );
    assert_eq!(ledger.start(key, Fingerprint(1), now), KeyStatus::New);
    assert_eq!(ledger.start(key, Fingerprint(1), now), KeyStatus::Running);
    assert_eq!(ledger.start(key, Fingerprint(2), now), KeyStatus::Mismatch);
    ledger.complete(key, answered());
    assert_eq!(
        ledger.start(key, Fingerprint(1), now),
        KeyStatus::Completed(answered())
    );
    ledger.mark_unknown(key);
    assert_eq!(
        ledger.start(key, Fingerprint(1), now),
        KeyStatus::Completed(answered())
    );
}

/// Guards against a late start of a request whose caller has given up, and against a repeat that
/// runs again because the outcome of the first run was removed.
#[test]
fn an_expired_key_does_not_start_and_its_outcome_is_stored_longer() {
    let mut ledger = Ledger::default();
    let now = Time::from_millis(5);
    let used = ledger.issue(now).unwrap();
    let unused = ledger.issue(now).unwrap();
    let running = ledger.issue(now).unwrap();
    assert_eq!(ledger.start(used, Fingerprint(1), now), KeyStatus::New);
    assert_eq!(ledger.start(running, Fingerprint(1), now), KeyStatus::New);
    ledger.complete(used, answered());
    let expired = now + KEY_TTL;
    assert_eq!(
        ledger.start(unused, Fingerprint(1), expired),
        KeyStatus::Expired
    );
    assert_eq!(
        ledger.start(used, Fingerprint(1), expired),
        KeyStatus::Completed(answered())
    );
    let after_ttl = now + OUTCOME_TTL + Duration::from_secs(2);
    assert_eq!(
        ledger.start(used, Fingerprint(1), after_ttl),
        KeyStatus::Unknown
    );
    assert_eq!(
        ledger.start(unused, Fingerprint(1), after_ttl),
        KeyStatus::Unknown
    );
    assert_eq!(
        ledger.start(running, Fingerprint(1), after_ttl),
        KeyStatus::Running
    );
    assert_eq!(ledger.len(), 1);
    ledger.complete(running, answered());
    assert!(ledger.is_empty());
    assert_eq!(ledger.bytes(), 0);
}

/// Guards against a key that runs at a process which did not issue it: two processes may get the
/// same incarnation, and only their random first keys tell them apart.
#[test]
fn a_key_of_another_process_with_the_same_incarnation_does_not_start() {
    let now = Time::from_millis(5);
    let mut ledger = Ledger::with_first_key(1000);
    let key = ledger.issue(now).unwrap();
    for other in [0, key - 1] {
        assert_eq!(ledger.start(other, Fingerprint(1), now), KeyStatus::Unknown);
    }
    assert_eq!(
        ledger.start(key + 1, Fingerprint(1), now),
        KeyStatus::NotIssued
    );
    assert_eq!(ledger.start(key, Fingerprint(1), now), KeyStatus::New);
}

#[test]
fn the_ledger_stays_within_its_memory_limit() {
    let limit = 10 * ENTRY_BYTES;
    let mut ledger = Ledger::new(limit);
    let now = Time::from_millis(5);
    for _ in 0..100 {
        let key = ledger.issue(now).unwrap();
        assert_eq!(ledger.start(key, Fingerprint(1), now), KeyStatus::New);
        ledger.complete(key, answered());
        assert!(ledger.bytes() <= limit);
        assert_eq!(
            ledger.start(key, Fingerprint(1), now),
            KeyStatus::Completed(answered())
        );
    }
    assert_eq!(ledger.start(0, Fingerprint(1), now), KeyStatus::Unknown);
}

#[test]
fn retries_are_limited_to_a_tenth_of_the_requests() {
    let now = Time::from_millis(5);
    let mut budget = RetryBudget::new(now);
    while budget.withdraw(now) {}
    let mut retries = 0;
    for _ in 0..1000 {
        budget.deposit();
        retries += u32::from(budget.withdraw(now));
    }
    assert_eq!(retries, 100);
    assert!(budget.withdraw(now + Duration::from_secs(1)));
    assert!(!budget.withdraw(now + Duration::from_secs(1)));
}

#[test]
fn the_incarnation_that_issued_a_key_is_responsible_for_it() {
    let local_owners = [owner(0, 1), owner(0, 2)];
    let directory = Directory::default();
    let mut members = BTreeMap::new();
    members.insert(address(1), record(1, 5, MemberState::Draining));
    members.insert(address(2), record(2, 5, MemberState::Dead));
    directory.publish(members);
    let view = directory.view();
    let foreign = Owner {
        service: ServiceTag(2),
        ..owner(1, 5)
    };
    let expected = [
        (owner(0, 1), KeyOwner::Local),
        (owner(0, 2), KeyOwner::Local),
        (owner(0, 3), KeyOwner::Gone),
        (owner(1, 5), KeyOwner::Remote(address(1))),
        (owner(1, 4), KeyOwner::Gone),
        (owner(2, 5), KeyOwner::Gone),
        (owner(7, 1), KeyOwner::Gone),
        (foreign, KeyOwner::Foreign),
    ];
    for (owner, expected) in expected {
        assert_eq!(
            find_key_owner(&owner, &local_owners, &view),
            expected,
            "{owner:?}"
        );
    }
}
