//! Requests of one connection are offloaded to the free slots of other agents.

use std::{sync::Arc, time::Duration};

use berylvalve::{
    agent::reply::Outcome,
    caller::{Call, Caller, Reply},
    dev::{self, fleet::Fleet},
    member::{Directory, MemberState, Role},
};
use bytes::Bytes;
use http::Method;
use tokio::time::{Instant, sleep};

const POLL_INTERVAL: Duration = Duration::from_millis(10);
const WORK_MS: u64 = 1500;
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts the roster service with two servers of one slot each and waits until its agents know
/// each other.
async fn start() -> Fleet {
    let mut site = dev::site("dolbom").unwrap();
    site.servers.retain(|group| group.service == "roster");
    site.mix.retain(|entry| entry.service == "roster");
    site.servers[0].service_ms = vec![WORK_MS; 2];
    site.servers[0].slots = 1;
    let fleet = dev::start(&site, 1).await.unwrap();
    let agents: Vec<_> = {
        let places = fleet.places.lock().unwrap();
        places.iter().map(|place| place.agent.clone()).collect()
    };
    for agent in agents {
        let directory: Arc<Directory> = agent.kernel.find(Directory::NAME).unwrap();
        while count_ready_agents(&directory) < 2 {
            sleep(POLL_INTERVAL).await;
        }
    }
    fleet
}

fn count_ready_agents(directory: &Directory) -> usize {
    let view = directory.view();
    let ready = view.members.values();
    ready
        .filter(|r| r.role == Role::Agent && r.state == MemberState::Ready)
        .count()
}

fn count_executions(fleet: &Fleet) -> usize {
    let servers = fleet.servers.lock().unwrap();
    servers.iter().map(|(_, s)| s.journal().len()).sum()
}

async fn send_swap(caller: Arc<Caller>, id: &'static str) -> Reply {
    let call = Call {
        method: Method::POST,
        path: "/swap".to_owned(),
        id: id.to_owned(),
        body: Bytes::from_static(b"cover"),
        deadline: Instant::now() + CALL_TIMEOUT,
        idempotent: false,
    };
    caller.call(&call).await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_a_free_slot_runs_once_on_another_server() {
    let fleet = start().await;
    let roots = [fleet.certificate.root.clone()];
    let address = fleet.address("roster").unwrap();
    let caller = Arc::new(Caller::new(address, "roster", &roots).unwrap());
    let first = tokio::spawn(send_swap(caller.clone(), "first"));
    while count_executions(&fleet) < 1 {
        sleep(POLL_INTERVAL).await;
    }
    let second = send_swap(caller.clone(), "second").await;
    let first = first.await.unwrap();
    assert_eq!(first.outcome, Outcome::Answered);
    assert_eq!(second.outcome, Outcome::Answered);
    assert_ne!(first.server, second.server);
    assert_eq!(count_executions(&fleet), 2, "each request runs once");
    caller.close().await;
    fleet.stop().await;
}
