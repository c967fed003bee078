//! What an agent believes of the backend server beside it.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use berylvalve_core::{
    clock::Time,
    l4::{
        routes::ServiceKey,
        server::{Change, ReportError, Server, ServerReport, ServerState},
    },
};

const ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 9), 8080);
const INTERVAL: Duration = Duration::from_millis(700);

fn server() -> Server {
    Server::new(ADDRESS, ServiceKey::of("desk"), INTERVAL)
}

fn report(id: &str, born_ms: u64, sequence: u64) -> ServerReport {
    ServerReport {
        id: id.to_owned(),
        service: ServiceKey::of("desk"),
        address: ADDRESS,
        born_ms,
        sequence,
        state: ServerState::Ready,
        slots: 2,
    }
}

#[test]
fn server_is_ready_from_its_first_report_until_it_is_silent() {
    let mut server = server();
    assert_eq!(server.state(Time::default()), None);
    server.report(&report("a", 5, 0), Time::default()).unwrap();
    assert_eq!(
        server.state(Time::from_millis(2_099)),
        Some(ServerState::Ready)
    );
    assert_eq!(server.state(Time::from_millis(2_100)), None);
}

#[test]
fn late_report_of_an_earlier_start_changes_nothing() {
    let mut server = server();
    let now = Time::default();
    server.report(&report("a", 5, 7), now).unwrap();
    server.report(&report("b", 9, 0), now).unwrap();
    let mut late = report("a", 5, 8);
    late.state = ServerState::Draining;
    assert_eq!(server.report(&late, now), Err(ReportError::Stale));
    assert_eq!(server.state(now), Some(ServerState::Ready));
}

#[test]
fn late_report_of_the_same_start_changes_nothing() {
    let mut server = server();
    let now = Time::default();
    let mut draining = report("a", 5, 8);
    draining.state = ServerState::Draining;
    server.report(&draining, now).unwrap();
    assert_eq!(
        server.report(&report("a", 5, 7), now),
        Err(ReportError::Stale)
    );
    assert_eq!(server.state(now), Some(ServerState::Draining));
}

#[test]
fn start_under_the_same_id_is_a_new_one() {
    let mut server = server();
    let now = Time::default();
    server.report(&report("a", 5, 40), now).unwrap();
    let change = server.report(&report("a", 6, 0), now);
    assert_eq!(change, Ok(Change::Started { first: true }));
}

#[test]
fn start_with_a_clock_that_was_set_back_counts_once_the_other_is_silent() {
    let mut server = server();
    server
        .report(&report("a", 5_000, 3), Time::default())
        .unwrap();
    let again = report("b", 2_600, 0);
    assert_eq!(
        server.report(&again, Time::from_millis(700)),
        Err(ReportError::Stale)
    );
    assert!(server.report(&again, Time::from_millis(2_100)).is_ok());
}

#[test]
fn reports_of_others_are_refused() {
    let mut server = server();
    let mut other = report("a", 5, 0);
    other.service = ServiceKey::of("maps");
    assert_eq!(
        server.report(&other, Time::default()),
        Err(ReportError::OtherService)
    );
    let mut other = report("a", 5, 0);
    other.address.set_port(1);
    assert_eq!(
        server.report(&other, Time::default()),
        Err(ReportError::OtherAddress)
    );
    assert_eq!(server.leave("a"), Err(ReportError::Unknown));
}
