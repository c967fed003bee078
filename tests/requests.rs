//! Requests at most once: the ledger and the choice of who answers, under random orders of loss,
//! delay, repetition, freeze and restart.

use std::{collections::BTreeMap, net::SocketAddrV4, time::Duration};

use berylvalve::{
    agent::{
        answer::{Answer, Outcome},
        ledger::{Begin, ENTRY_BYTES, Fingerprint, KEY_HOLD, KEY_LIFETIME, Ledger},
        pass::{Keeper, keeper},
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
    Passed {
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
    admitted: Vec<(u32, usize)>,
    ledger: Ledger,
    running: Vec<(u32, usize)>,
    view: Directory,
    waiting: Vec<(u32, usize, u32)>,
}

#[derive(Default)]
struct Caller {
    attempt: u32,
    deadline: Time,
    key: Option<Key>,
    outcome: Option<Outcome>,
}

struct World {
    agents: Vec<Agent>,
    callers: Vec<Caller>,
    messages: Vec<Message>,
    now: Time,
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

fn answered() -> Answer {
    Answer {
        body: "done".into(),
        outcome: Outcome::Answered,
        retry_at: None,
        server: None,
        status: StatusCode::OK,
    }
}

fn refused() -> Answer {
    Answer::not_run(StatusCode::SERVICE_UNAVAILABLE, "refused")
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            agents: Vec::new(),
            callers: Vec::new(),
            messages: Vec::new(),
            now: Time::from_millis(1),
            runs: [0; CALLERS],
        };
        for _ in 0..AGENTS {
            world.agents.push(Agent {
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
            let deadline = world.now + CALL_TIMEOUT;
            world.callers.push(Caller {
                deadline,
                ..Caller::default()
            });
        }
        for index in 0..AGENTS {
            world.learn(index);
        }
        world
    }

    /// An agent learns the state of the others.
    fn learn(&mut self, index: usize) {
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
            (0 | 1, _) => self.send(choice % CALLERS, choice / CALLERS % AGENTS),
            (2..=5, Some(index)) => self.deliver(index),
            (6, Some(index)) => self.messages.push(self.messages[index]),
            (7, Some(index)) => drop(self.messages.swap_remove(index)),
            (8 | 9, _) => self.write(agent),
            (10, _) => self.refuse(agent),
            (11, _) => self.finish(agent, Some(answered())),
            (12, _) => self.finish(agent, None),
            (13, _) => self.restart(agent),
            (14, _) if choice < 128 => self.agents[agent].frozen ^= true,
            (14, _) => self.learn(agent),
            (15, _) => self.now = self.now + Duration::from_secs(choice as u64),
            _ => {}
        }
    }

    fn send(&mut self, caller: usize, to: usize) {
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
            Message::Request { to, .. } | Message::Passed { to, .. } => Some(to),
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
                let nonce = agent.ledger.issue(self.now).unwrap();
                let key = (owner(to, agent.incarnation), nonce);
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
                self.request(caller, attempt, key, to);
            }
            Message::Passed {
                caller,
                attempt,
                key,
                to,
            } => {
                let own = owner(to, self.agents[to].incarnation);
                match key.0 == own {
                    true => self.run_here(caller, attempt, key.1, to),
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

    fn request(&mut self, caller: usize, attempt: u32, key: Key, to: usize) {
        let agent = &self.agents[to];
        let lives = [owner(to, agent.incarnation)];
        match keeper(&key.0, &lives, &agent.view.view()) {
            Keeper::Local => self.run_here(caller, attempt, key.1, to),
            Keeper::Remote(peer) => {
                let to = usize::from(peer.port()) - 1000;
                self.messages.push(Message::Passed {
                    caller,
                    attempt,
                    key,
                    to,
                });
            }
            Keeper::Gone => self.reply(caller, attempt, Outcome::Unknown),
            Keeper::Foreign => unreachable!("one service"),
        }
    }

    fn run_here(&mut self, caller: usize, attempt: u32, nonce: u32, to: usize) {
        let agent = &mut self.agents[to];
        let begin = agent
            .ledger
            .begin(nonce, Fingerprint(caller as u128), self.now);
        match begin {
            Begin::Run => {
                agent.admitted.push((nonce, caller));
                agent.waiting.push((nonce, caller, attempt));
            }
            Begin::Running => agent.waiting.push((nonce, caller, attempt)),
            Begin::Ended(answer) => self.reply(caller, attempt, answer.outcome),
            Begin::Unknown | Begin::NotIssued => self.reply(caller, attempt, Outcome::Unknown),
            Begin::Mismatch | Begin::Stale => self.reply(caller, attempt, Outcome::NotRun),
        }
    }

    fn reply(&mut self, caller: usize, attempt: u32, outcome: Outcome) {
        self.messages.push(Message::Outcome {
            caller,
            attempt,
            outcome,
        });
    }

    /// An agent writes an admitted request to its backend server.
    fn write(&mut self, index: usize) {
        let agent = &mut self.agents[index];
        if agent.frozen {
            return;
        }
        let Some((nonce, caller)) = agent.admitted.pop() else {
            return;
        };
        if self.now >= self.callers[caller].deadline {
            agent.admitted.push((nonce, caller));
            return self.refuse(index);
        }
        agent.running.push((nonce, caller));
        self.runs[caller] += 1;
    }

    /// An agent refuses an admitted request before it is written.
    fn refuse(&mut self, index: usize) {
        let agent = &mut self.agents[index];
        if agent.frozen {
            return;
        }
        let Some((nonce, _)) = agent.admitted.pop() else {
            return;
        };
        agent.ledger.end(nonce, refused());
        self.wake(index, nonce, Outcome::NotRun);
    }

    /// A backend server answers, or its answer is lost.
    fn finish(&mut self, index: usize, answer: Option<Answer>) {
        let agent = &mut self.agents[index];
        if agent.frozen {
            return;
        }
        let Some((nonce, _)) = agent.running.pop() else {
            return;
        };
        let outcome = answer.as_ref().map_or(Outcome::Unknown, |a| a.outcome);
        match answer {
            Some(answer) => agent.ledger.end(nonce, answer),
            None => agent.ledger.lose(nonce),
        }
        self.wake(index, nonce, outcome);
    }

    fn wake(&mut self, index: usize, nonce: u32, outcome: Outcome) {
        let waiting = std::mem::take(&mut self.agents[index].waiting);
        for (waited, caller, attempt) in waiting {
            if waited != nonce {
                self.agents[index].waiting.push((waited, caller, attempt));
                continue;
            }
            self.reply(caller, attempt, outcome);
        }
    }

    /// An agent dies and starts again; what its backend server began goes on.
    fn restart(&mut self, index: usize) {
        let agent = &mut self.agents[index];
        agent.incarnation += 1;
        agent.ledger = Ledger::new(2 * ENTRY_BYTES);
        agent.admitted.clear();
        agent.running.clear();
        agent.waiting.clear();
        agent.frozen = false;
    }

    fn check(&self) -> Result<(), TestCaseError> {
        for (caller, state) in self.callers.iter().enumerate() {
            let runs = self.runs[caller];
            if runs > 1 {
                return Err(TestCaseError::fail(format!(
                    "caller {caller} ran {runs} times"
                )));
            }
            if state.outcome == Some(Outcome::NotRun) && runs > 0 {
                return Err(TestCaseError::fail(format!(
                    "caller {caller}: false \"not run\""
                )));
            }
            if state.outcome == Some(Outcome::Answered) && runs == 0 {
                return Err(TestCaseError::fail(format!(
                    "caller {caller}: answered, never ran"
                )));
            }
        }
        Ok(())
    }

    /// Ends all failures; every request whose deadline is open gets its final word.
    fn heal(&mut self) -> Result<(), TestCaseError> {
        for agent in &mut self.agents {
            agent.frozen = false;
        }
        for index in 0..AGENTS {
            self.learn(index);
        }
        for round in 0..4 {
            for caller in 0..CALLERS {
                self.send(caller, (caller + round) % AGENTS);
            }
            for _ in 0..2 {
                while !self.messages.is_empty() {
                    self.deliver(0);
                    self.check()?;
                }
                for index in 0..AGENTS {
                    while !self.agents[index].admitted.is_empty() {
                        self.write(index);
                    }
                    while !self.agents[index].running.is_empty() {
                        self.finish(index, Some(answered()));
                    }
                }
                self.check()?;
            }
        }
        for (caller, state) in self.callers.iter().enumerate() {
            if state.outcome.is_none() && self.now < state.deadline {
                return Err(TestCaseError::fail(format!(
                    "caller {caller} has no final word"
                )));
            }
        }
        Ok(())
    }
}

#[test]
fn no_order_of_failures_doubles_a_request_or_lies_about_it() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, random);
    let steps = vec((any::<u8>(), any::<u8>()), 1..STEPS);
    let judged = runner.run(&steps, |steps| {
        let mut world = World::new();
        for (action, choice) in steps {
            world.step(action, choice);
            world.check()?;
        }
        world.heal()
    });
    judged.unwrap();
}

#[test]
fn a_key_answers_repeats_and_refuses_other_requests() {
    let mut ledger = Ledger::default();
    let now = Time::from_millis(5);
    let key = ledger.issue(now).unwrap();
    assert_eq!(ledger.begin(key + 1, Fingerprint(1), now), Begin::NotIssued);
    assert_eq!(ledger.begin(key, Fingerprint(1), now), Begin::Run);
    assert_eq!(ledger.begin(key, Fingerprint(1), now), Begin::Running);
    assert_eq!(ledger.begin(key, Fingerprint(2), now), Begin::Mismatch);
    ledger.end(key, answered());
    assert_eq!(
        ledger.begin(key, Fingerprint(1), now),
        Begin::Ended(answered())
    );
    ledger.lose(key);
    assert_eq!(
        ledger.begin(key, Fingerprint(1), now),
        Begin::Ended(answered())
    );
}

#[test]
fn an_old_key_never_starts_and_the_ledger_outlives_it() {
    let mut ledger = Ledger::default();
    let now = Time::from_millis(5);
    let used = ledger.issue(now).unwrap();
    let unused = ledger.issue(now).unwrap();
    let running = ledger.issue(now).unwrap();
    assert_eq!(ledger.begin(used, Fingerprint(1), now), Begin::Run);
    assert_eq!(ledger.begin(running, Fingerprint(1), now), Begin::Run);
    ledger.end(used, answered());
    let late = now + KEY_LIFETIME;
    assert_eq!(ledger.begin(unused, Fingerprint(1), late), Begin::Stale);
    assert_eq!(
        ledger.begin(used, Fingerprint(1), late),
        Begin::Ended(answered())
    );
    let forgotten = now + KEY_HOLD + Duration::from_secs(2);
    assert_eq!(
        ledger.begin(used, Fingerprint(1), forgotten),
        Begin::Unknown
    );
    assert_eq!(
        ledger.begin(unused, Fingerprint(1), forgotten),
        Begin::Unknown
    );
    assert_eq!(
        ledger.begin(running, Fingerprint(1), forgotten),
        Begin::Running
    );
    assert_eq!(ledger.len(), 1);
    ledger.end(running, answered());
    assert!(ledger.is_empty());
    assert_eq!(ledger.bytes(), 0);
}

#[test]
fn a_key_of_another_life_with_the_same_incarnation_never_starts() {
    let now = Time::from_millis(5);
    let mut ledger = Ledger::starting_at(1000);
    let key = ledger.issue(now).unwrap();
    for other in [0, key - 1] {
        assert_eq!(ledger.begin(other, Fingerprint(1), now), Begin::Unknown);
    }
    assert_eq!(ledger.begin(key + 1, Fingerprint(1), now), Begin::NotIssued);
    assert_eq!(ledger.begin(key, Fingerprint(1), now), Begin::Run);
}

#[test]
fn the_memory_of_the_ledger_is_bounded() {
    let limit = 10 * ENTRY_BYTES;
    let mut ledger = Ledger::new(limit);
    let now = Time::from_millis(5);
    for _ in 0..100 {
        let key = ledger.issue(now).unwrap();
        assert_eq!(ledger.begin(key, Fingerprint(1), now), Begin::Run);
        ledger.end(key, answered());
        assert!(ledger.bytes() <= limit);
        assert_eq!(
            ledger.begin(key, Fingerprint(1), now),
            Begin::Ended(answered())
        );
    }
    assert_eq!(ledger.begin(0, Fingerprint(1), now), Begin::Unknown);
}

#[test]
fn retries_stay_a_share_of_the_requests() {
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
fn keys_are_answered_for_by_the_life_that_issued_them() {
    let lives = [owner(0, 1), owner(0, 2)];
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
        (owner(0, 1), Keeper::Local),
        (owner(0, 2), Keeper::Local),
        (owner(0, 3), Keeper::Gone),
        (owner(1, 5), Keeper::Remote(address(1))),
        (owner(1, 4), Keeper::Gone),
        (owner(2, 5), Keeper::Gone),
        (owner(7, 1), Keeper::Gone),
        (foreign, Keeper::Foreign),
    ];
    for (key, answers) in expected {
        assert_eq!(keeper(&key, &lives, &view), answers, "{key:?}");
    }
}
