//! A request whose key belongs to an agent that does not answer.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};

use berylvalve::{
    agent::{answer::Outcome, job::Job, pass::Passing},
    clock::Clock,
    config::tree::Region,
    control::ControlClient,
    member::{Directory, MemberState, Record, Role},
    membership::{LocalRecord, Signer},
    owner_id::{FleetKey, Incarnation, Owner, ServiceTag},
};
use bytes::Bytes;
use http::Request;
use tokio::{
    net::TcpListener,
    time::{Instant, sleep},
};

const SERVICE: ServiceTag = ServiceTag(1);
const DEADLINE_MS: &str = "30000";
/// A final word comes long before the deadline of 30 s.
const AT_ONCE: Duration = Duration::from_secs(2);

fn record(control: SocketAddrV4, state: MemberState, version: u64) -> Record {
    Record {
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 4433),
        control,
        incarnation: Incarnation(5),
        domain: "nk-a".to_owned(),
        role: Role::Agent,
        service: SERVICE,
        state,
        weight: 100,
        version,
        revision: 0,
    }
}

fn job() -> Job {
    let region: Region = serde_json::from_value(serde_json::json!({
        "region": "r",
        "services": { "wind": {
            "tag": 1,
            "address": "10.0.0.1:443",
            "requests": { "checkin": { "method": "POST", "path": "/checkin" } },
        } },
    }))
    .unwrap();
    let request = Request::post("https://wind/checkin").header("timeout-ms", DEADLINE_MS);
    let request = request.body(Bytes::from_static(b"kite 7")).unwrap();
    let plan = region.request_types("wind").remove(0);
    Job::new(request, Arc::new(plan), Clock::start().now())
}

/// Passes a request to a peer that takes connections and never answers; the owner's record goes
/// from one state to the other after half a second.
async fn pass(first: MemberState, then: MemberState) -> (Outcome, Duration) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let SocketAddr::V4(control) = listener.local_addr().unwrap() else {
        panic!("an IPv4 address");
    };
    let directory = Arc::new(Directory::default());
    let publish = |state, version| {
        let record = record(control, state, version);
        directory.publish(BTreeMap::from([(record.address, record)]));
    };
    publish(first, 1);
    let key = FleetKey {
        id: 1,
        secret: vec![5; 16],
    };
    let own = record(control, MemberState::Ready, 1);
    let passing = Passing {
        client: ControlClient::new(Signer::new(&[key])),
        clock: Clock::start(),
        directory: directory.clone(),
        local: Arc::new(LocalRecord::new(own)),
    };
    let owner = Owner {
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 4433),
        service: SERVICE,
        incarnation: Incarnation(5),
    };
    let job = job();
    let start = Instant::now();
    let change = async {
        sleep(Duration::from_millis(500)).await;
        publish(then, 2);
    };
    let (answer, ()) = tokio::join!(passing.pass(&owner, control, &job), change);
    (answer.outcome, start.elapsed())
}

#[tokio::test]
async fn the_key_of_a_suspected_agent_gets_its_final_word_at_once() {
    let (outcome, time) = pass(MemberState::Ready, MemberState::Suspect).await;
    assert_eq!(outcome, Outcome::Unknown);
    assert!(time < AT_ONCE, "{time:?}");
}

#[tokio::test]
async fn the_key_of_an_agent_that_dies_gets_its_final_word_at_once() {
    let (outcome, time) = pass(MemberState::Suspect, MemberState::Dead).await;
    assert_eq!(outcome, Outcome::Unknown);
    assert!(time < Duration::from_secs(1), "{time:?}");
}
