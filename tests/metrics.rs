//! Metrics that the processes of a fleet export.

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
/// Longer than the interval of 1 s at which gauges are updated.
const GAUGE_DELAY: Duration = Duration::from_millis(1200);

fn metrics_text(daemon: &Daemon) -> String {
    let metrics: Arc<Metrics> = daemon.kernel.find(Metrics::NAME).unwrap();
    metrics.text()
}

fn metric_names(text: &str) -> BTreeSet<String> {
    let helps = text.lines().filter_map(|line| line.strip_prefix("# HELP "));
    let words = helps.filter_map(|help| help.split(' ').next());
    words.map(str::to_owned).collect()
}

/// Sends one request, and one malformed datagram to each balancer, because a counter family without a
/// counter does not appear in the output.
async fn produce_counters(fleet: &Fleet) {
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
    sleep(GAUGE_DELAY).await;
}

/// Guards against an operators' page that omits a metric or documents one that no longer exists.
#[tokio::test(flavor = "multi_thread")]
async fn documented_metrics_equal_exported_metrics() {
    let site = dev::site("dolbom").unwrap();
    let fleet = Fleet::start(&site, 1).await.unwrap();
    produce_counters(&fleet).await;
    let mut exported = BTreeSet::new();
    for balancer in fleet.balancers.lock().unwrap().iter() {
        exported.extend(metric_names(&metrics_text(balancer)));
    }
    for place in fleet.places.lock().unwrap().iter() {
        exported.extend(metric_names(&metrics_text(&place.agent)));
    }
    fleet.stop().await;
    let page = fs::read_to_string("docs/OPERATIONS.md").unwrap();
    // The metrics are documented from this section on.
    let (_, page) = page.split_once("\n## A fleet of your own\n").unwrap();
    for name in &exported {
        let spellings = [format!("`{name}`"), format!("`{name}_total`")];
        assert!(
            spellings.iter().any(|spelling| page.contains(spelling)),
            "the page does not document {name}"
        );
    }
    let words = page
        .split('`')
        .filter(|word| word.starts_with("berylvalve_"));
    for word in words {
        let word = word.split('{').next().unwrap();
        let word = word.trim_end_matches("_total");
        assert!(
            exported.contains(word),
            "the page documents {word}, which no process exports"
        );
    }
}

/// Guards against a gauge that omits balancers or agents.
#[tokio::test(flavor = "multi_thread")]
async fn the_members_gauge_counts_all_ready_members() {
    let site = dev::site("dolbom").unwrap();
    let fleet = Fleet::start(&site, 1).await.unwrap();
    sleep(GAUGE_DELAY).await;
    let balancer = metrics_text(&fleet.balancers.lock().unwrap()[0]);
    fleet.stop().await;
    // Three balancers, and the agents of seven roster servers and three map servers.
    let expected = "berylvalve_members{state=\"ready\"} 13";
    assert!(balancer.lines().any(|line| line == expected), "{balancer}");
}
