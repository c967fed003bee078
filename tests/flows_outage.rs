//! The store is down while every balancer and every backend server is replaced in turn.

use std::time::Duration;

use berylvalve::dev::{self, Faults, RunOptions};

const SECONDS: u64 = 8;

async fn replaced_without_store(name: &str) {
    let site = dev::site(name).unwrap();
    let options = RunOptions {
        time: Duration::from_secs(SECONDS),
        faults: Faults::Outage,
        seed: 1,
        load: None,
    };
    let report = dev::run(&site, options).await.unwrap();
    assert!(report.kept(), "{report:?}");
    assert_eq!(report.unknown, 0, "{report:?}");
    assert_eq!((report.flows, report.broken_flows), (60, 0), "{report:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn haverkamp_loses_nothing_while_the_store_is_down() {
    replaced_without_store("haverkamp").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn dolbom_loses_nothing_while_the_store_is_down() {
    replaced_without_store("dolbom").await;
}
