//! Tests of deaths, freezes, restarts, silent failure domains and partitions.

use std::time::Duration;

use berylvalve::{
    member::MemberState,
    membership::{
        budget::{BURST_BYTES, RATE_BYTES_PER_S},
        message::{Liveness, Update},
        roster::{GONE_RECORD_TTL, Roster, UpdateOutcome},
        swim::{Action, Event},
    },
    owner_id::Incarnation,
    trial::membership::network::{Network, record},
};

use crate::{DOMAINS, count_views_with_state, fleet, seconds, seeds};

fn count_removals(network: &Network) -> usize {
    let logs = network.nodes.iter().flat_map(|n| &n.log);
    let dead = logs.filter(|(_, action)| match action {
        Action::Log(Event::MemberChanged { record, .. }) => record.state == MemberState::Dead,
        _ => false,
    });
    dead.count()
}

fn count_holds(network: &Network, node: usize) -> usize {
    let log = network.nodes[node].log.iter();
    log.filter(|(_, action)| matches!(action, Action::Log(Event::RemovalHeld { .. })))
        .count()
}

#[test]
fn dead_process_is_suspected_and_then_removed() {
    let mut network = fleet(100, 21);
    network.nodes[9].running = false;
    network.run(seconds(4));
    let ready_views = count_views_with_state(&network, 9, MemberState::Ready);
    assert_eq!(ready_views, 0, "processes with it as ready in their views");
    network.run(seconds(20));
    assert_eq!(count_views_with_state(&network, 9, MemberState::Dead), 99);
}

#[test]
fn packet_loss_alone_removes_no_member() {
    let mut network = fleet(50, 22);
    network.logging = true;
    network.conditions.loss = 0.1;
    network.run(seconds(120));
    assert_eq!(count_removals(&network), 0);
}

#[test]
fn frozen_process_returns_with_a_new_incarnation_and_suspects_no_member() {
    let mut network = fleet(30, 23);
    network.logging = true;
    network.nodes[4].frozen = true;
    network.run(seconds(20));
    assert_eq!(count_views_with_state(&network, 4, MemberState::Dead), 29);
    network.thaw(4);
    network.run(seconds(5));
    let node = &network.nodes[4];
    assert_eq!(node.local.incarnation, Incarnation(1_200));
    let suspected = node.log.iter().filter(|(_, action)| match action {
        Action::Log(Event::MemberChanged { record, .. }) => record.state == MemberState::Suspect,
        _ => false,
    });
    assert_eq!(suspected.count(), 0, "{:?}", node.log);
    assert_eq!(count_views_with_state(&network, 4, MemberState::Ready), 29);
}

/// A process whose outgoing messages are lost refutes its suspicion without effect. Once its
/// messages arrive again it must repeat the refutation, or the old suspicion times out and removes
/// it although it acknowledges every probe.
#[test]
fn process_whose_messages_were_lost_for_3_s_is_not_removed_afterwards() {
    for seed in 1..=10 {
        let mut network = fleet(80, seed);
        network.logging = true;
        network.nodes[4].mute = true;
        network.run(seconds(3));
        assert_eq!(
            count_removals(&network),
            0,
            "seed {seed}: removed too early"
        );
        network.nodes[4].mute = false;
        network.run(seconds(15));
        assert_eq!(count_removals(&network), 0, "seed {seed}");
        assert_eq!(
            count_views_with_state(&network, 4, MemberState::Ready),
            79,
            "seed {seed}"
        );
    }
}

#[test]
fn short_freeze_keeps_the_incarnation() {
    let mut network = fleet(30, 24);
    network.nodes[4].frozen = true;
    network.run(seconds(2));
    network.thaw(4);
    network.run(seconds(5));
    assert_eq!(network.nodes[4].local.incarnation, Incarnation(1_000));
    assert_eq!(count_views_with_state(&network, 4, MemberState::Ready), 29);
}

#[test]
fn restart_at_the_same_address_supersedes_the_old_incarnation() {
    let mut network = fleet(30, 25);
    network.nodes[6].running = false;
    network.run(seconds(1));
    let mut record = record(6, DOMAINS);
    record.incarnation = Incarnation(1_010);
    let controls = seeds(&network);
    let address = record.address;
    let restarted = network.start(record, controls);
    network.run(seconds(20));
    assert_eq!(
        count_views_with_state(&network, restarted, MemberState::Ready),
        29
    );
    for node in network.nodes.iter().filter(|n| n.running) {
        let entry = node.swim.roster().get(address).unwrap();
        assert_eq!(entry.record.incarnation, Incarnation(1_010));
    }
}

/// After its clock was set back, a process restarts with an incarnation below the one that the
/// others know, and must take a higher one.
#[test]
fn restart_with_an_older_clock_takes_a_later_incarnation() {
    let mut network = fleet(14, 26);
    network.nodes[6].running = false;
    network.run(seconds(10));
    let mut record = record(6, DOMAINS);
    record.incarnation = Incarnation(10);
    let controls = seeds(&network);
    let restarted = network.start(record, controls);
    network.run(seconds(5));
    assert!(network.nodes[restarted].local.incarnation > Incarnation(1_000));
    assert_eq!(
        count_views_with_state(&network, restarted, MemberState::Ready),
        13
    );
}

#[test]
fn removal_is_held_in_a_silent_failure_domain() {
    let mut network = fleet(100, 27);
    network.logging = true;
    for number in (0..100).filter(|n| n % DOMAINS == 3) {
        network.nodes[number].frozen = true;
    }
    network.run(seconds(120));
    for node in (0..100).filter(|n| n % DOMAINS != 3) {
        assert!(
            count_holds(&network, node) > 0,
            "process {node} logs the held removal"
        );
        for silent in (0..100).filter(|n| n % DOMAINS == 3) {
            let address = network.nodes[silent].local.address;
            let state = network.nodes[node].swim.state_of(address);
            assert_eq!(
                state,
                Some(MemberState::Suspect),
                "process {silent} in the view of process {node}"
            );
        }
    }
    for number in (0..100).filter(|n| n % DOMAINS == 3) {
        network.thaw(number);
    }
    network.run(seconds(30));
    for number in 0..100 {
        assert_eq!(
            count_views_with_state(&network, number, MemberState::Ready),
            99
        );
        assert_eq!(network.nodes[number].swim.hold(), &Default::default());
    }
}

/// A dead process must be removed while removal is held in a failure domain other than its own.
#[test]
fn removal_continues_in_other_failure_domains() {
    let mut network = fleet(100, 28);
    for number in (0..100).filter(|n| n % DOMAINS == 3).take(20) {
        network.nodes[number].frozen = true;
    }
    network.run(seconds(30));
    network.nodes[8].running = false;
    network.run(seconds(60));
    let dead = count_views_with_state(&network, 8, MemberState::Dead);
    assert_eq!(dead, 79, "of 79 running processes that are not frozen");
}

/// The send budget must hold, too, while each half of the fleet probes the other without success.
#[test]
fn partition_of_an_hour_removes_no_member_and_heals() {
    let mut network = fleet(40, 29);
    network.logging = true;
    for number in 0..40 {
        network.nodes[number].side = u8::from(number % 2 == 0);
    }
    network.cut = true;
    let start: Vec<u64> = network.nodes.iter().map(|n| n.bytes).collect();
    network.run(seconds(3600));
    network.cut = false;
    network.run(seconds(60));
    assert_eq!(count_removals(&network), 0);
    for number in 0..40 {
        assert_eq!(
            count_views_with_state(&network, number, MemberState::Ready),
            39
        );
    }
    for (node, start) in network.nodes.iter().zip(start) {
        assert!(node.bytes - start <= 3660 * RATE_BYTES_PER_S + BURST_BYTES);
    }
}

fn network_after_leave_during_partition(remaining: Duration) -> Network {
    let mut network = fleet(40, 30);
    for number in 0..40 {
        network.nodes[number].side = u8::from(number % 2 == 0);
    }
    network.cut = true;
    network.run(seconds(60));
    network.update(2, |record| record.state = MemberState::Left);
    network.run(seconds(3));
    network.nodes[2].running = false;
    network.run(remaining);
    network.cut = false;
    network.run(seconds(60));
    network
}

/// Checks that process 2 is not live in any roster; some processes may have removed it as dead
/// before they received its leave.
fn assert_not_live_anywhere(network: &Network) {
    let address = network.nodes[2].local.address;
    for node in network.nodes.iter().filter(|n| n.running) {
        let entry = node.swim.roster().get(address);
        assert!(entry.is_none_or(|e| !e.is_live()), "{entry:?}");
    }
}

#[test]
fn leave_during_a_partition_is_known_after_it() {
    assert_not_live_anywhere(&network_after_leave_during_partition(seconds(60)));
}

/// Processes that have freed the record must inform those that still have it, by their tombstones.
#[test]
fn leave_during_a_long_partition_is_known_after_it() {
    assert_not_live_anywhere(&network_after_leave_during_partition(
        GONE_RECORD_TTL + seconds(60),
    ));
}

#[test]
fn dead_member_is_freed_and_not_restored_by_a_stale_record() {
    let mut network = fleet(30, 31);
    let stale = record(9, DOMAINS);
    network.nodes[9].running = false;
    network.run(seconds(30) + GONE_RECORD_TTL + seconds(20));
    let seed = &network.nodes[0].swim;
    assert_eq!(seed.roster().record_counts(), (29, 1));
    let mut message = berylvalve::membership::message::Message {
        header: berylvalve::membership::message::Header {
            from: berylvalve::membership::message::PackedAddress(record(3, DOMAINS).address),
            control: berylvalve::membership::message::PackedAddress(record(3, DOMAINS).control),
            incarnation: Incarnation(1_000),
            revision: 1,
        },
        body: berylvalve::membership::message::Body::Gossip,
        updates: Vec::new(),
        requested: Vec::new(),
    };
    message.add(Update::full(&stale, Liveness::Alive));
    let bytes = network.sign(&message);
    for number in 0..30 {
        let control = network.nodes[number].local.control;
        network.inject(control, bytes.clone());
    }
    network.run(seconds(30));
    for node in network.nodes.iter().filter(|n| n.running) {
        assert_eq!(node.swim.state_of(stale.address), None);
    }
}

#[test]
fn stale_updates_are_rejected() {
    let mut roster = Roster::default();
    let now = berylvalve::clock::Time::from_millis(1);
    let mut newer = record(1, DOMAINS);
    newer.version = 5;
    newer.state = MemberState::Left;
    assert!(matches!(
        roster.apply(&Update::full(&newer, Liveness::Alive), now),
        UpdateOutcome::Changed(_)
    ));
    let mut older = record(1, DOMAINS);
    older.version = 4;
    for liveness in [Liveness::Alive, Liveness::Suspect, Liveness::Dead] {
        let update = Update::full(&older, liveness);
        assert_eq!(roster.apply(&update, now), UpdateOutcome::Stale);
    }
    older.incarnation = Incarnation(999);
    older.version = 50;
    let update = Update::full(&older, Liveness::Alive);
    assert_eq!(roster.apply(&update, now), UpdateOutcome::Stale);
    let shown = roster.get(newer.address).unwrap().view_state();
    assert_eq!(shown, MemberState::Left);
    let gone = now + GONE_RECORD_TTL + Duration::from_secs(1);
    assert!(roster.expire(gone));
    assert_eq!(
        roster.apply(&Update::full(&newer, Liveness::Alive), gone),
        UpdateOutcome::Stale
    );
}

/// The updates about many silent members compete for the space in messages, and each of them must
/// still reach all processes.
#[test]
fn silent_failure_domain_is_ready_in_no_view_after_10_s() {
    let mut network = fleet(200, 1);
    let silent: Vec<usize> = (0..200).filter(|n| n % DOMAINS == 2).collect();
    for number in &silent {
        network.nodes[*number].running = false;
    }
    network.run(seconds(10));
    for number in silent {
        assert_eq!(
            count_views_with_state(&network, number, MemberState::Ready),
            0
        );
    }
}

/// A process that missed the update about a suspicion must detect the silent member by its own
/// probes.
#[test]
fn silent_failure_domain_is_ready_in_no_view_even_if_updates_are_missed() {
    for seed in [2, 5, 7] {
        let mut network = fleet(200, seed);
        let silent: Vec<usize> = (0..200).filter(|n| n % DOMAINS == 2).collect();
        for number in &silent {
            network.nodes[*number].running = false;
        }
        network.run(seconds(12));
        let ready_views =
            |number: &usize| count_views_with_state(&network, *number, MemberState::Ready);
        let ready_views_total: usize = silent.iter().map(ready_views).sum();
        assert_eq!(ready_views_total, 0, "seed {seed}");
    }
}
