//! Agents killed and frozen between every two steps of a check-in.

use std::{sync::Arc, time::Duration};

use berylvalve::{
    agent::reply::Outcome,
    caller::{Call, Caller, Reply},
};
use http::Method;
use tokio::time::{Instant, sleep};

use crate::{fleet::Fleet, gated::GatedServer};

const SERVICE: &str = "wind";
const CALL_TIMEOUT: Duration = Duration::from_secs(6);
/// Time until the members know each other, or a frozen process is known to be back.
const SPREAD_TIME: Duration = Duration::from_millis(800);
const SHORT_FREEZE: Duration = Duration::from_secs(3);
const LONG_FREEZE: Duration = Duration::from_secs(8);

/// Where a check-in is when its agent is disturbed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
    /// The caller has a key; the request has not arrived.
    KeyIssued,
    /// The request is admitted and not written to the backend server.
    Admitted,
    /// The request runs.
    Running,
    /// The backend server has answered; the answer has not left the agent.
    Answered,
}

/// What happens to the agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    Kill,
    Freeze(Duration),
}

const FAULTS: [Fault; 3] = [
    Fault::Kill,
    Fault::Freeze(SHORT_FREEZE),
    Fault::Freeze(LONG_FREEZE),
];

/// One agent at the start; a second one joins before the fault.
struct Scene {
    caller: Arc<Caller>,
    fleet: Fleet,
    first: GatedServer,
    second: GatedServer,
}

impl Scene {
    async fn start() -> Self {
        let mut fleet = Fleet::without_agents("haverkamp").await;
        let first = GatedServer::closed();
        fleet.attach_agent(SERVICE, first.address).await;
        sleep(SPREAD_TIME).await;
        let target = fleet.tree.services[SERVICE].address;
        Self {
            caller: Arc::new(Caller::new(target, SERVICE, &fleet.roots()).unwrap()),
            fleet,
            first,
            second: GatedServer::start(),
        }
    }

    /// Sets the stage for a step before the check-in is sent.
    async fn prepare(&mut self, step: Step) {
        match step {
            Step::KeyIssued => {
                self.first.serve();
                self.first.open();
                let reply = self.caller.call(&check_in("earlier")).await.unwrap();
                assert_eq!(reply.outcome, Outcome::Answered);
                self.fleet.agents[0].signal("STOP").await;
            }
            Step::Admitted => self.first.block().await,
            Step::Running | Step::Answered => self.first.serve(),
        }
    }

    /// Lets a second agent join, which answers at once.
    async fn join_second(&mut self) {
        self.fleet.attach_agent(SERVICE, self.second.address).await;
        self.second.open();
    }

    /// Waits until the check-in is at its step.
    async fn reached(&self, step: Step) {
        match step {
            Step::KeyIssued => {}
            Step::Admitted => sleep(SPREAD_TIME).await,
            Step::Running | Step::Answered => self.first.arrival().await,
        }
    }

    async fn disturb(&mut self, step: Step, fault: Fault) {
        let agent = &self.fleet.agents[0];
        if step == Step::Answered {
            agent.signal("STOP").await;
            self.first.open();
            sleep(SPREAD_TIME).await;
        }
        match fault {
            Fault::Kill => agent.signal("KILL").await,
            Fault::Freeze(time) => {
                agent.signal("STOP").await;
                self.first.serve();
                self.first.open();
                sleep(time).await;
                agent.signal("CONT").await;
            }
        }
    }
}

fn check_in(id: &str) -> Call {
    Call {
        method: Method::POST,
        path: "/checkin".to_owned(),
        id: id.to_owned(),
        body: id.to_owned().into(),
        deadline: Instant::now() + CALL_TIMEOUT,
        idempotent: false,
    }
}

/// Returns what broke in one check-in, and how it ended.
async fn run(step: Step, fault: Fault) -> (Option<String>, Option<Outcome>) {
    let mut scene = Scene::start().await;
    let id = "disturbed";
    scene.prepare(step).await;
    let caller = scene.caller.clone();
    let calling = tokio::spawn(async move { caller.call(&check_in(id)).await });
    scene.reached(step).await;
    scene.join_second().await;
    scene.disturb(step, fault).await;
    let reply: Option<Reply> = calling.await.unwrap();
    scene.first.serve();
    scene.first.open();
    sleep(2 * SPREAD_TIME).await;
    let mut journal = scene.first.journal();
    journal.extend(scene.second.journal());
    let runs = journal.iter().filter(|ran| *ran == id).count();
    let outcome = reply.map(|reply| reply.outcome);
    let broken = match outcome {
        _ if runs > 1 => Some("doubled"),
        None => Some("no final word"),
        Some(Outcome::NotRun) if runs > 0 => Some("false \"not run\""),
        Some(Outcome::Answered) if runs == 0 => Some("answered and never ran"),
        _ if step == Step::Admitted && fault == FAULTS[2] && runs > 0 => Some("ran too late"),
        Some(_) => None,
    };
    (
        broken.map(|why| format!("{step:?} {fault:?}: {why}, ran {runs}")),
        outcome,
    )
}

async fn no_promise_breaks(step: Step) {
    let runs = FAULTS.map(|fault| tokio::spawn(run(step, fault)));
    let mut broken = Vec::new();
    for (fault, run) in FAULTS.iter().zip(runs) {
        let (why, outcome) = run.await.unwrap();
        println!("{step:?} {fault:?}: {outcome:?}");
        broken.extend(why);
    }
    assert!(broken.is_empty(), "{broken:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_is_lost_before_a_check_in_arrives() {
    no_promise_breaks(Step::KeyIssued).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_is_lost_before_a_check_in_is_written() {
    no_promise_breaks(Step::Admitted).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_is_lost_while_a_check_in_runs() {
    no_promise_breaks(Step::Running).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_is_lost_before_an_answer_leaves() {
    no_promise_breaks(Step::Answered).await;
}
