//! Unplanned failures under open flows: a lost path and a dead agent.

use std::{sync::Arc, time::Duration};

use berylvalve::{
    agent::Agent,
    caller::{Caller, feed::Feed},
    dev::{self, Faults, RunOptions, fleet::Fleet},
    member::{Directory, MemberState},
};
use tokio::time::{Instant, sleep, timeout};

const FEEDS: usize = 14;
const KNOWN_TIME: Duration = Duration::from_secs(1);
const DEATH_TIMEOUT: Duration = Duration::from_secs(15);

#[tokio::test(flavor = "multi_thread")]
async fn feeds_and_requests_survive_a_fabric_that_forgets_callers() {
    let site = dev::site("haverkamp").unwrap();
    let options = RunOptions {
        time: Duration::from_secs(5),
        faults: Faults::Forgetting,
        seed: 1,
        load: None,
    };
    let report = dev::run(&site, options).await.unwrap();
    assert!(report.kept(), "{report:?}");
    assert!(report.flows > 0, "{report:?}");
}

/// Returns whether all balancers hold the agent for dead.
fn known_dead(fleet: &Fleet, agent: std::net::SocketAddrV4) -> bool {
    let balancers = fleet.balancers.lock().unwrap();
    balancers.iter().all(|balancer| {
        let directory = balancer.kernel.find::<Directory>(Directory::NAME).unwrap();
        let view = directory.view();
        view.members
            .get(&agent)
            .is_some_and(|r| r.state == MemberState::Dead)
    })
}

async fn open_feeds(fleet: &Fleet) -> Vec<Feed> {
    let roots = [fleet.certificate.root.clone()];
    let target = fleet.address("wind").unwrap();
    let mut feeds = Vec::new();
    for _ in 0..FEEDS {
        let caller = Arc::new(Caller::new(target, "wind", &roots).unwrap());
        let mut feed = caller.feed("/gusts", None).await.unwrap();
        feed.next().await.unwrap();
        feeds.push(feed);
    }
    feeds
}

/// Follows a feed and returns when it ended.
async fn end(mut feed: Feed) -> Instant {
    while feed.next().await.is_some() {}
    Instant::now()
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_of_a_dead_agent_know_within_a_second() {
    let site = dev::site("haverkamp").unwrap();
    let fleet = dev::start(&site, 1).await.unwrap();
    let feeds = open_feeds(&fleet).await;
    let places = fleet.places.lock().unwrap().clone();
    let count = |daemon: &berylvalve::daemon::Daemon| {
        daemon
            .kernel
            .find::<Agent>(Agent::NAME)
            .unwrap()
            .connections()
    };
    let victim = places
        .iter()
        .max_by_key(|place| count(&place.agent))
        .unwrap();
    let held = count(&victim.agent);
    assert!(held > 0);
    let mut ends: Vec<_> = feeds
        .into_iter()
        .map(|feed| tokio::spawn(end(feed)))
        .collect();
    victim.agent.kill().await;
    let given_up = Instant::now() + DEATH_TIMEOUT;
    while !known_dead(&fleet, victim.agent.data) {
        assert!(Instant::now() < given_up, "the agent is not known as dead");
        sleep(Duration::from_millis(10)).await;
    }
    let marked = Instant::now();
    let mut ended = 0;
    for task in &mut ends {
        let left = (marked + KNOWN_TIME).saturating_duration_since(Instant::now());
        ended += usize::from(timeout(left, task).await.is_ok());
    }
    assert_eq!(
        ended, held,
        "just the flows of the dead agent end, all within a second"
    );
    fleet.stop().await;
}
