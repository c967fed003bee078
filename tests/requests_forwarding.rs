//! Forwarding of a request to the agent that issued its key, if that agent does not reply.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};

use berylvalve::{
    agent::{job::Job, reply::Outcome, request_forwarding::RequestForwarder},
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
const TIMEOUT_MS: &str = "30000";
/// Longest time to the final outcome, far below the timeout of 30 s.
const MAX_OUTCOME_TIME: Duration = Duration::from_secs(2);

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
    let request = Request::post("https://wind/checkin").header("timeout-ms", TIMEOUT_MS);
    let request = request.body(Bytes::from_static(b"kite 7")).unwrap();
    let request_type = region.request_types("wind").remove(0);
    Job::new(request, Arc::new(request_type), Clock::start().now())
}

/// Forwards a request to a peer that accepts connections but never replies.
///
/// The state of the owner's record changes from `first` to `then` after 500 ms.
async fn forward(first: MemberState, then: MemberState) -> (Outcome, Duration) {
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
    let local_record = record(control, MemberState::Ready, 1);
    let forwarder = RequestForwarder {
        client: ControlClient::new(Signer::new(&[key])),
        clock: Clock::start(),
        directory: directory.clone(),
        local: Arc::new(LocalRecord::new(local_record)),
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
    let (reply, ()) = tokio::join!(forwarder.forward(&owner, control, &job), change);
    (reply.outcome, start.elapsed())
}

/// Guards against a caller that waits until its deadline for an agent that no longer responds: a
/// suspected owner has one second to refute the suspicion.
#[tokio::test]
async fn a_request_to_an_agent_that_becomes_suspected_ends_before_its_deadline() {
    let (outcome, time) = forward(MemberState::Ready, MemberState::Suspect).await;
    assert_eq!(outcome, Outcome::Unknown);
    assert!(time < MAX_OUTCOME_TIME, "{time:?}");
}

/// Guards against a request that waits out the refutation time of 1 s although its suspected owner
/// is declared dead, which happens after 500 ms here.
#[tokio::test]
async fn a_request_to_an_agent_that_is_declared_dead_ends_at_once() {
    let (outcome, time) = forward(MemberState::Suspect, MemberState::Dead).await;
    assert_eq!(outcome, Outcome::Unknown);
    assert!(time < Duration::from_secs(1), "{time:?}");
}
