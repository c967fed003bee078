//! Answers lost, late, cut off, crossed and doubled by the backend server.

use std::time::Duration;

use berylvalve::{
    agent::reply::Outcome,
    caller::{Call, Caller, Reply},
};
use http::Method;
use tokio::time::{Instant, sleep};

use crate::{
    faulty::{self, Journal, LATE_TIME},
    fleet::Fleet,
    relay::Relay,
};

const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time that a refusal asks to wait.
const RETRY_AFTER: Duration = Duration::from_secs(1);
const SPREAD_TIME: Duration = Duration::from_millis(800);

struct Site {
    chart: Caller,
    check_in: Caller,
    journal: Journal,
    fleet: Fleet,
}

async fn site() -> Site {
    let mut fleet = Fleet::without_agents("haverkamp").await;
    let (server, journal) = faulty::start().await;
    for service in ["wind", "charts"] {
        fleet.attach_agent(service, server).await;
    }
    sleep(SPREAD_TIME).await;
    let caller = |service: &str| {
        let target = fleet.tree.services[service].address;
        Caller::new(target, service, &fleet.roots()).unwrap()
    };
    Site {
        chart: caller("charts"),
        check_in: caller("wind"),
        journal,
        fleet,
    }
}

fn call(id: &str, idempotent: bool) -> Call {
    let (method, path, body) = match idempotent {
        true => (Method::GET, "/chart", ""),
        false => (Method::POST, "/checkin", id),
    };
    Call {
        method,
        path: path.to_owned(),
        id: id.to_owned(),
        body: body.to_owned().into(),
        deadline: Instant::now() + CALL_TIMEOUT,
        idempotent,
    }
}

/// Returns the final word on a check-in; its answer is its own.
async fn check_in(site: &Site, id: &str) -> Outcome {
    judge(id, site.check_in.call(&call(id, false)).await)
}

async fn chart(site: &Site, id: &str) -> Outcome {
    judge(id, site.chart.call(&call(id, true)).await)
}

fn judge(id: &str, reply: Option<Reply>) -> Outcome {
    let reply = reply.expect("a final word");
    if reply.outcome == Outcome::Answered {
        assert_eq!(reply.body, id.as_bytes());
    }
    if reply.outcome == Outcome::NotRun {
        assert!(reply.retry_after.is_some(), "{id}");
    }
    reply.outcome
}

#[tokio::test]
async fn no_fault_of_an_answer_doubles_or_hides_a_check_in() {
    let site = site().await;
    let expected = [
        ("lose-1", Outcome::Unknown),
        ("cut-1", Outcome::Unknown),
        ("late-1", Outcome::Unknown),
        ("cross-1", Outcome::Unknown),
        ("double-1", Outcome::Answered),
        ("plain-1", Outcome::Answered),
    ];
    for (id, outcome) in expected {
        assert_eq!(check_in(&site, id).await, outcome, "{id}");
        assert_eq!(site.journal.runs(id), 1, "{id}");
    }
    assert_eq!(check_in(&site, "shed-1").await, Outcome::NotRun);
    assert_eq!(site.journal.runs("shed-1"), 0);
    sleep(LATE_TIME).await;
    assert_eq!(check_in(&site, "plain-2").await, Outcome::Answered);
    assert_eq!(
        site.journal.cancelled("late-1"),
        0,
        "a check-in is never cut off"
    );
}

#[tokio::test]
async fn an_idempotent_request_is_repeated_where_its_answer_was_lost() {
    let site = site().await;
    for id in ["lose-1", "cut-1", "cross-1"] {
        assert_eq!(chart(&site, id).await, Outcome::Answered, "{id}");
        assert_eq!(site.journal.runs(id), 2, "{id}");
    }
    for id in ["double-1", "plain-1"] {
        assert_eq!(chart(&site, id).await, Outcome::Answered, "{id}");
        assert_eq!(site.journal.runs(id), 1, "{id}");
    }
    assert_eq!(chart(&site, "late-1").await, Outcome::Unknown);
    assert_eq!(chart(&site, "plain-2").await, Outcome::Answered);
    sleep(SPREAD_TIME).await;
    assert_eq!(
        site.journal.cancelled("late-1"),
        1,
        "given up at the deadline"
    );
}

#[tokio::test]
async fn a_caller_that_goes_away_cancels_a_chart_and_not_a_check_in() {
    let site = site().await;
    let gone = Duration::from_millis(700);
    let patient = |id, idempotent| Call {
        deadline: Instant::now() + 4 * LATE_TIME,
        ..call(id, idempotent)
    };
    let left = patient("late-1", true);
    let _ = tokio::time::timeout(gone, site.chart.call(&left)).await;
    let left = patient("late-2", false);
    let _ = tokio::time::timeout(gone, site.check_in.call(&left)).await;
    assert_eq!(site.journal.cancelled("late-1"), 0);
    site.chart.disconnect().await;
    site.check_in.disconnect().await;
    sleep(gone / 4).await;
    assert_eq!(site.journal.cancelled("late-1"), 1);
    sleep(LATE_TIME).await;
    assert_eq!(site.journal.runs("late-2"), 1);
    assert_eq!(site.journal.cancelled("late-2"), 0);
}

#[tokio::test]
async fn a_refused_check_in_is_sent_again_when_it_was_told_to_come_back() {
    let site = site().await;
    let start = Instant::now();
    let busy = Call {
        deadline: start + 4 * CALL_TIMEOUT,
        ..call("busy-1", false)
    };
    let reply = site.check_in.call_with_retries(&busy).await;
    assert_eq!(judge("busy-1", reply), Outcome::Answered);
    assert!(start.elapsed() >= RETRY_AFTER);
    assert_eq!(site.journal.arrivals("busy-1"), 2);
    assert_eq!(site.journal.runs("busy-1"), 1);
    let start = Instant::now();
    let shed = Call {
        deadline: start + 3 * RETRY_AFTER,
        ..call("shed-1", false)
    };
    let reply = site.check_in.call_with_retries(&shed).await;
    assert_eq!(judge("shed-1", reply), Outcome::NotRun);
    assert!(start.elapsed() <= 3 * RETRY_AFTER);
    assert!(site.journal.arrivals("shed-1") <= 3);
}

#[tokio::test]
async fn a_check_in_on_a_connection_that_went_silent_for_good_is_repeated_on_another() {
    let site = site().await;
    let service = site.fleet.tree.services["wind"].address;
    let relay = Relay::start(service).await;
    let caller = Caller::new(relay.address, "wind", &site.fleet.roots()).unwrap();
    let reply = caller.call(&call("plain-1", false)).await;
    assert_eq!(judge("plain-1", reply), Outcome::Answered);
    relay.cut();
    let silent = Call {
        deadline: Instant::now() + 4 * CALL_TIMEOUT,
        ..call("plain-2", false)
    };
    let reply = caller.call(&silent).await;
    assert_eq!(judge("plain-2", reply), Outcome::Answered);
    assert_eq!(site.journal.runs("plain-2"), 1);
}
