//! The whole path in one process: callers, fabric, balancers, agents, backend servers.

use std::time::Duration;

use berylvalve::{
    agent::reply::Outcome,
    caller::{Call, Caller},
    dev::{self, Faults, RunOptions, fleet::Fleet},
};
use bytes::Bytes;
use http::Method;
use tokio::time::Instant;

const SECONDS: u64 = 3;
/// More than a stream's flow control lets through to an agent that does not read.
const UNREAD_BYTES: usize = 4 << 20;

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

/// An agent that refuses a request before it has read the body stops the stream; the refusal is
/// still the answer, and says that the request did not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_before_the_body_was_read_is_received() {
    let site = dev::site("haverkamp").unwrap();
    let fleet = Fleet::start(&site, 1).await.unwrap();
    let target = fleet.address("wind").unwrap();
    let roots = std::slice::from_ref(&fleet.certificate.root);
    let caller = Caller::new(target, "wind", roots).unwrap();
    let call = Call {
        method: Method::POST,
        path: "/unknown".to_owned(),
        id: "early".to_owned(),
        body: Bytes::from(vec![0; UNREAD_BYTES]),
        deadline: Instant::now() + Duration::from_secs(SECONDS),
        idempotent: true,
    };
    let reply = caller.call(&call).await.expect("an answer");
    assert_eq!((reply.status, reply.outcome), (404, Outcome::NotRun));
    caller.close().await;
    fleet.stop().await;
}
