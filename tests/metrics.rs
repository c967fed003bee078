//! The metrics of a fleet and the page that names them.

use std::{collections::BTreeSet, fs, sync::Arc, time::Duration};

use berylvalve::{
    caller::{Call, Caller},
    daemon::Daemon,
    dev::{self, fleet::Fleet},
    metrics::Metrics,
};
use bytes::Bytes;
use http::Method;
use tokio::{
    net::UdpSocket,
    time::{Instant, sleep},
};

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Gauges are read once a second.
const OBSERVED_TIME: Duration = Duration::from_millis(1200);

fn text(daemon: &Daemon) -> String {
    let metrics: Arc<Metrics> = daemon.kernel.find(Metrics::NAME).unwrap();
    metrics.text()
}

fn names(text: &str) -> BTreeSet<String> {
    let helps = text.lines().filter_map(|line| line.strip_prefix("# HELP "));
    let words = helps.filter_map(|help| help.split(' ').next());
    words.map(str::to_owned).collect()
}

/// Sends one request and, to each balancer, one damaged datagram: counters without a case are not
/// shown.
async fn disturb(fleet: &Fleet) {
    let roots = [fleet.certificate.root.clone()];
    let target = fleet.address("maps").unwrap();
    let caller = Caller::new(target, "maps", &roots).unwrap();
    let call = Call {
        method: Method::GET,
        path: "/map".to_owned(),
        id: "metrics".to_owned(),
        body: Bytes::new(),
        deadline: Instant::now() + CALL_TIMEOUT,
        idempotent: true,
    };
    caller.call(&call).await.unwrap();
    caller.close().await;
    let balancers = fleet.balancers.lock().unwrap().clone();
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    for balancer in balancers {
        socket.send_to(b"damaged", balancer.data).await.unwrap();
    }
    sleep(OBSERVED_TIME).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn every_metric_is_named_on_the_operators_page() {
    let site = dev::site("dolbom").unwrap();
    let fleet = Fleet::start(&site, 1).await.unwrap();
    disturb(&fleet).await;
    let mut shown = BTreeSet::new();
    for balancer in fleet.balancers.lock().unwrap().iter() {
        shown.extend(names(&text(balancer)));
    }
    for place in fleet.places.lock().unwrap().iter() {
        shown.extend(names(&text(&place.agent)));
    }
    fleet.stop().await;
    let page = fs::read_to_string("docs/OPERATIONS.md").unwrap();
    let (_, page) = page.split_once("\n## A fleet of your own\n").unwrap();
    for name in &shown {
        let spelt = [format!("`{name}`"), format!("`{name}_total`")];
        assert!(spelt.iter().any(|spelt| page.contains(spelt)), "{name}");
    }
    let words = page
        .split('`')
        .filter(|word| word.starts_with("berylvalve_"));
    for word in words {
        let word = word.split('{').next().unwrap();
        let word = word.trim_end_matches("_total");
        assert!(shown.contains(word), "the page names {word}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_gauges_tell_the_members_of_the_fleet() {
    let site = dev::site("dolbom").unwrap();
    let fleet = Fleet::start(&site, 1).await.unwrap();
    sleep(OBSERVED_TIME).await;
    let balancer = text(&fleet.balancers.lock().unwrap()[0]);
    fleet.stop().await;
    // Three balancers, seven roster servers, three map servers.
    let expected = "berylvalve_members{state=\"ready\"} 13";
    assert!(balancer.lines().any(|line| line == expected), "{balancer}");
}
