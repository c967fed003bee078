//! Rolling replacement of every balancer and every backend server under traffic, which must lose no
//! request and no flow.

use std::time::Duration;

use berylvalve::dev::{self, Faults, RunOptions};

const SECONDS: u64 = 6;

async fn assert_no_loss(name: &str) {
    let site = dev::site(name).unwrap();
    let options = RunOptions {
        time: Duration::from_secs(SECONDS),
        faults: Faults::Rolling,
        seed: 1,
        load: None,
    };
    let report = dev::run(&site, options).await.unwrap();
    assert!(report.kept(), "{report:?}");
    assert_eq!(report.unknown, 0, "{report:?}");
    assert!(report.answered > 0, "{report:?}");
    assert!(report.flows > 0, "{report:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn haverkamp_loses_nothing_in_a_rolling_replacement() {
    assert_no_loss("haverkamp").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn dolbom_loses_nothing_in_a_rolling_replacement() {
    assert_no_loss("dolbom").await;
}
