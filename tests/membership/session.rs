//! Golden files of the log of a fleet through starts, leaves, deaths, freezes and a partition.

use std::fmt::Write;

use berylvalve::{
    member::{MemberState, Record},
    membership::swim::{Action, Event},
    owner_id::Incarnation,
    trial::membership::network::{Network, record},
};

use crate::{seconds, seeds};

/// Processes of the fleet: two balancers and twelve agents.
const SIZE: usize = 14;

fn format_event(event: &Event) -> String {
    match event {
        Event::MemberChanged { record, reason } => format!(
            "event=member address={} state={:?} incarnation={} version={} weight={} reason={reason}",
            record.address, record.state, record.incarnation.0, record.version, record.weight
        ),
        Event::RemovalHeld { domain, count } => format!(
            "event=removal_held domain={} silent={} members={}",
            domain.as_deref().unwrap_or("all"),
            count.silent,
            count.members
        ),
        Event::RemovalResumed { domain } => format!(
            "event=removal_resumed domain={}",
            domain.as_deref().unwrap_or("all")
        ),
        Event::Frozen { gap } => format!("event=frozen gap_ms={}", gap.as_millis()),
    }
}

/// Appends what one process logged since the last call.
fn write_log(session: &mut String, network: &mut Network, title: &str, node: usize) {
    writeln!(session, "# {title}: as process {node} saw it").unwrap();
    for (at, action) in std::mem::take(&mut network.nodes[node].log) {
        let text = match &action {
            Action::Log(event) => format_event(event),
            Action::NewIncarnation(incarnation) => format!("new incarnation={}", incarnation.0),
            Action::Publish | Action::Send { .. } => continue,
        };
        writeln!(session, "{} {text}", at.as_millis()).unwrap();
    }
    for node in &mut network.nodes {
        node.log.clear();
    }
    session.push('\n');
}

fn run_session(domains: usize) -> String {
    let mut network = Network::new(domains as u64);
    network.logging = true;
    let records: Vec<Record> = (0..SIZE).map(|n| record(n, domains)).collect();
    for record in &records {
        network.start(record.clone(), vec![records[0].control]);
    }
    let mut session = String::new();
    network.run(seconds(4));
    write_log(&mut session, &mut network, "all start", 13);
    network.update(5, |record| record.state = MemberState::Draining);
    network.run(seconds(2));
    network.update(5, |record| record.state = MemberState::Left);
    network.run(seconds(2));
    network.nodes[5].running = false;
    write_log(&mut session, &mut network, "5 leaves", 1);
    let mut restarted = record(5, domains);
    restarted.incarnation = Incarnation(1_080);
    let controls = seeds(&network);
    network.start(restarted, controls);
    network.run(seconds(4));
    write_log(
        &mut session,
        &mut network,
        "5 is replaced at its address",
        1,
    );
    network.nodes[6].running = false;
    network.run(seconds(15));
    write_log(&mut session, &mut network, "6 dies", 1);
    network.nodes[7].frozen = true;
    network.run(seconds(12));
    network.thaw(7);
    network.run(seconds(5));
    write_log(&mut session, &mut network, "7 is frozen for 12 s", 1);
    for number in (0..SIZE).filter(|n| n % domains == 2) {
        network.nodes[number].side = 1;
    }
    network.cut = true;
    network.run(seconds(30));
    write_log(&mut session, &mut network, "domain-2 is cut off", 1);
    network.cut = false;
    network.run(seconds(20));
    write_log(&mut session, &mut network, "domain-2 is back", 1);
    writeln!(session, "# members at the end, as all processes see them").unwrap();
    let members = network.nodes[0].swim.members();
    for node in network.nodes.iter().filter(|n| n.running) {
        let states = |m: &std::collections::BTreeMap<_, Record>| -> Vec<_> {
            m.values()
                .map(|r| (r.address, r.state, r.incarnation))
                .collect()
        };
        assert_eq!(states(&node.swim.members()), states(&members));
    }
    for record in members.values() {
        writeln!(
            session,
            "address={} domain={} role={:?} state={:?} incarnation={}",
            record.address, record.domain, record.role, record.state, record.incarnation.0
        )
        .unwrap();
    }
    session
}

/// A change of the order, reasons or number of membership events must be noticed.
#[test]
fn four_failure_domains_as_at_haverkamp() {
    insta::assert_snapshot!(run_session(4));
}

/// As above, in a fleet of three failure domains.
#[test]
fn three_failure_domains_as_at_dolbom() {
    insta::assert_snapshot!(run_session(3));
}
