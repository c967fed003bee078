//! The whole path in one process: callers, fabric, balancers, agents, backend servers.

use std::time::Duration;

use berylvalve::dev::{self, Faults, RunOptions};

const SECONDS: u64 = 3;

async fn undisturbed(name: &str) {
    let site = dev::site(name).unwrap();
    let options = RunOptions {
        time: Duration::from_secs(SECONDS),
        faults: Faults::None,
        seed: 1,
        load: None,
    };
    let report = dev::run(&site, options).await.unwrap();
    assert!(report.kept(), "{report:?}");
    assert!(report.answered > 0, "{report:?}");
    assert_eq!(report.unknown, 0, "{report:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn haverkamp_is_served() {
    undisturbed("haverkamp").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn dolbom_is_served() {
    undisturbed("dolbom").await;
}
