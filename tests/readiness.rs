//! When the fabric may send datagrams to a balancer.

use std::time::Duration;

use berylvalve::{
    config::{
        daemon::{BalancerSettings, DaemonSettings, KeySettings},
        site::Site,
    },
    control::Control,
    daemon::Daemon,
    dev::{self, fleet::Fleet},
    member::Role,
};
use bytes::Bytes;
use http_body_util::Empty;
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use tokio::time::sleep;

const LOOPBACK: &str = "127.0.0.1:0";
const POLLS: u32 = 100;
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the status of `/ready`.
async fn ready(daemon: &Daemon) -> u16 {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let uri = format!("http://{}/ready", daemon.control).parse().unwrap();
    client.get(uri).await.unwrap().status().as_u16()
}

fn lonely_balancer(site: &Site) -> DaemonSettings {
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
async fn a_balancer_that_knows_no_agent_is_not_ready() {
    let site = dev::site("dolbom").unwrap();
    let daemon = Daemon::start(&lonely_balancer(&site)).await.unwrap();
    sleep(4 * POLL_INTERVAL).await;
    assert_eq!(ready(&daemon).await, 503);
    daemon.kill().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_balancer_of_a_fleet_becomes_ready_and_stops_being_so_for_good() {
    let site = dev::site("dolbom").unwrap();
    let fleet = Fleet::start(&site, 1).await.unwrap();
    let balancer = fleet.balancers.lock().unwrap()[0].clone();
    let mut status = 0;
    for _ in 0..POLLS {
        status = ready(&balancer).await;
        if status == 200 {
            break;
        }
        sleep(POLL_INTERVAL).await;
    }
    assert_eq!(status, 200);
    let control = balancer.kernel.find::<Control>(Control::NAME).unwrap();
    control.stop_serving();
    control.start_serving();
    assert_eq!(ready(&balancer).await, 503);
    fleet.stop().await;
}
