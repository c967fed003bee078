//! Readiness of a balancer, by which the fabric decides whether to send datagrams to it.

use std::time::Duration;

use berylvalve::{
    config::{
        daemon::{BalancerSettings, DaemonSettings, KeySettings},
        site::Site,
    },
    control::ControlServer,
    daemon::Daemon,
    dev::{self, fleet::Fleet},
    member::Role,
};
use bytes::Bytes;
use http_body_util::Empty;
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use tokio::time::sleep;

const LOOPBACK: &str = "127.0.0.1:0";
const MAX_POLLS: u32 = 100;
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the HTTP status of `/ready`.
async fn ready_status(daemon: &Daemon) -> u16 {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let uri = format!("http://{}/ready", daemon.control).parse().unwrap();
    client.get(uri).await.unwrap().status().as_u16()
}

fn isolated_balancer_settings(site: &Site) -> DaemonSettings {
    DaemonSettings {
        role: Role::Balancer,
        domain: site.domains[0].clone(),
        data: LOOPBACK.parse().unwrap(),
        control: LOOPBACK.parse().unwrap(),
        seeds: Vec::new(),
        store: None,
        keys: vec![KeySettings {
            id: 1,
            secret: "00112233445566778899aabbccddeeff".to_owned(),
        }],
        tree: site.tree.clone(),
        agent: None,
        balancer: Some(BalancerSettings {
            fabric: LOOPBACK.parse().unwrap(),
        }),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_balancer_without_agents_is_not_ready() {
    let site = dev::site("dolbom").unwrap();
    let daemon = Daemon::start(&isolated_balancer_settings(&site))
        .await
        .unwrap();
    sleep(4 * POLL_INTERVAL).await;
    assert_eq!(ready_status(&daemon).await, 503);
    daemon.kill().await;
}

/// Guards against a stopping balancer that becomes ready again and receives new datagrams.
#[tokio::test(flavor = "multi_thread")]
async fn a_ready_balancer_that_stops_does_not_become_ready_again() {
    let site = dev::site("dolbom").unwrap();
    let fleet = Fleet::start(&site, 1).await.unwrap();
    let balancer = fleet.balancers.lock().unwrap()[0].clone();
    let mut status = 0;
    for _ in 0..MAX_POLLS {
        status = ready_status(&balancer).await;
        if status == 200 {
            break;
        }
        sleep(POLL_INTERVAL).await;
    }
    assert_eq!(status, 200);
    let control = balancer
        .kernel
        .find::<ControlServer>(ControlServer::NAME)
        .unwrap();
    control.mark_stopping();
    control.mark_ready();
    assert_eq!(ready_status(&balancer).await, 503);
    fleet.stop().await;
}
