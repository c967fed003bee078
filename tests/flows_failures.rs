//! Unplanned failures with open flows: a fabric that loses its caller mappings, and a dead agent.

use std::{sync::Arc, time::Duration};

use berylvalve::{
    agent::Agent,
    caller::{Caller, feed::Feed},
    dev::{self, Faults, RunOptions, fleet::Fleet},
    member::{Directory, MemberState},
};
use tokio::time::{Instant, sleep, timeout};

const FEEDS: usize = 14;
const RESET_TIMEOUT: Duration = Duration::from_secs(1);
const DETECTION_TIMEOUT: Duration = Duration::from_secs(15);

#[tokio::test(flavor = "multi_thread")]
async fn feeds_and_requests_survive_the_loss_of_the_fabrics_caller_mappings() {
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

/// Returns whether all balancers consider the agent dead.
fn is_dead_everywhere(fleet: &Fleet, agent: std::net::SocketAddrV4) -> bool {
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

/// Reads a feed to its end and returns the time of the end.
async fn end_time(mut feed: Feed) -> Instant {
    while feed.next().await.is_some() {}
    Instant::now()
}

#[tokio::test(flavor = "multi_thread")]
async fn flows_of_a_dead_agent_end_within_a_second_of_its_detection() {
    let site = dev::site("haverkamp").unwrap();
    let fleet = dev::start(&site, 1).await.unwrap();
    let feeds = open_feeds(&fleet).await;
    let places = fleet.places.lock().unwrap().clone();
    let connections = |daemon: &berylvalve::daemon::Daemon| {
        daemon
            .kernel
            .find::<Agent>(Agent::NAME)
            .unwrap()
            .open_connections()
    };
    let victim = places
        .iter()
        .max_by_key(|place| connections(&place.agent))
        .unwrap();
    let victim_flows = connections(&victim.agent);
    assert!(victim_flows > 0);
    let mut end_tasks: Vec<_> = feeds
        .into_iter()
        .map(|feed| tokio::spawn(end_time(feed)))
        .collect();
    victim.agent.kill().await;
    let detection_deadline = Instant::now() + DETECTION_TIMEOUT;
    while !is_dead_everywhere(&fleet, victim.agent.data) {
        assert!(
            Instant::now() < detection_deadline,
            "the balancers did not detect the dead agent within {DETECTION_TIMEOUT:?}"
        );
        sleep(Duration::from_millis(10)).await;
    }
    let detected = Instant::now();
    let mut ended = 0;
    for task in &mut end_tasks {
        let remaining = (detected + RESET_TIMEOUT).saturating_duration_since(Instant::now());
        ended += usize::from(timeout(remaining, task).await.is_ok());
    }
    assert_eq!(
        ended, victim_flows,
        "all flows of the dead agent end within a second, and no others"
    );
    fleet.stop().await;
}
