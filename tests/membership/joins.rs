//! Tests of what a process that joins is told, and of when it counts as joined.

use std::time::Duration;

use berylvalve::{
    clock::Time,
    member::MemberState,
    membership::{
        message::{Body, Header, Liveness, Message, PackedAddress, Update},
        swim::{Action, Swim, TICK_INTERVAL},
    },
    trial::membership::network::{Network, record},
};

use crate::DOMAINS;

/// Members of a process whose gossip exceeds its budget.
const BUSY_MEMBERS: usize = 200;

/// Ticks between two requests for a shard: each process receives 1.6 a second if a tenth of a fleet of 200
/// starts each second. A seed receives a join of each of them, here one in every tick.
const PULL_TICKS: u32 = 5;

/// Longest time until a process counts as joined, as a balancer takes flows from then on in any case.
const JOIN_LIMIT: Duration = Duration::from_secs(3);

/// Returns a message of process `number`.
fn message(number: usize, body: Body) -> Message {
    let sender = record(number, DOMAINS);
    Message {
        header: Header {
            from: PackedAddress(sender.address),
            control: PackedAddress(sender.control),
            incarnation: sender.incarnation,
            revision: sender.revision,
        },
        body,
        updates: Vec::new(),
        requested: Vec::new(),
    }
}

fn count(actions: &[Action], matches: impl Fn(&Body) -> bool) -> usize {
    let bodies = actions.iter().filter_map(|action| match action {
        Action::Send { message, .. } => Some(&message.body),
        _ => None,
    });
    bodies.filter(|body| matches(body)).count()
}

/// Guards against a process that spends its whole budget on gossip about a rolling restart, and does not
/// answer those that have just started.
#[test]
fn joins_and_shard_requests_are_answered_while_gossip_spends_the_budget() {
    let start = Time::from_millis(1_000);
    let members: Vec<_> = (0..BUSY_MEMBERS).map(|n| record(n, DOMAINS)).collect();
    let mut swim = Swim::new(members[0].clone(), Vec::new(), start, 1);
    swim.preload(&members, start);
    let (mut joins, mut pulls, mut requests) = (0, 0, 0);
    let (mut replies, mut parts, mut records) = (0, 0, 0);
    for tick in 0..200 {
        let now = start + TICK_INTERVAL * tick;
        let mut gossip = message(1, Body::Gossip);
        for number in 0..12 {
            let mut changed = record(2 + (tick as usize * 12 + number) % 190, DOMAINS);
            changed.version = 1 + u64::from(tick);
            changed.state = match tick % 2 {
                0 => MemberState::Draining,
                _ => MemberState::Ready,
            };
            gossip.add(Update::brief(&changed, Liveness::Alive));
        }
        swim.receive(&gossip, now);
        swim.tick(now);
        // The bytes of a process that has just started are spent.
        if tick < 100 {
            continue;
        }
        joins += 1;
        let actions = swim.receive(&message(BUSY_MEMBERS, Body::Join), now);
        replies += count(&actions, |body| matches!(body, Body::JoinReply { .. }));
        if tick % PULL_TICKS != 0 {
            continue;
        }
        pulls += 1;
        let shard = (tick % 16) as u16;
        let actions = swim.receive(&message(1, Body::Pull { shards: 16, shard }), now);
        parts += count(&actions, |body| matches!(body, Body::ShardPart { .. }));
        requests += 1;
        let mut request = message(1, Body::Gossip);
        request.request_record(members[3].address);
        let actions = swim.receive(&request, now);
        records += count(&actions, |body| matches!(body, Body::Gossip));
    }
    assert_eq!(replies, joins, "answered joins");
    assert!(parts >= pulls, "{parts} parts for {pulls} shard requests");
    assert_eq!(records, requests, "answered requests for a record");
}

/// Guards against a process that fetches the members from one that has itself fetched only a part, and counts
/// as joined with it.
#[test]
fn process_that_joins_through_one_with_a_part_of_the_members_fetches_the_whole() {
    let size = 60;
    for seed in 1..=20 {
        let mut network = Network::new(seed);
        let records: Vec<_> = (0..=size).map(|n| record(n, DOMAINS)).collect();
        network.start_fleet(&records[..size], &[records[0].control]);
        let part = network.start(records[size].clone(), Vec::new());
        let now = network.now;
        network.nodes[part].swim.preload(&records[..8], now);
        let added = network.start(record(size + 1, DOMAINS), vec![records[size].control]);
        let took = network.run_while(JOIN_LIMIT, |n| !n.nodes[added].swim.is_joined());
        let known = network.nodes[added].swim.roster().live_count();
        assert!(took.is_some(), "seed {seed}: not joined with {known}");
        assert_eq!(known, size + 2, "seed {seed}: members after {took:?}");
    }
}

/// Guards against a process that joins through seeds which have started just before it: they tell it of the part
/// that they have fetched so far, and claim no more members than that.
#[test]
fn process_that_joins_through_seeds_that_have_just_started_fetches_the_whole() {
    const SIZE: usize = 200;
    let mut partial = Vec::new();
    for (seed, lead_ms) in (1..=8).flat_map(|seed| [5, 10, 15, 25, 50].map(|ms| (seed, ms))) {
        let mut network = Network::new(seed);
        let records: Vec<_> = (0..SIZE).map(|n| record(n, DOMAINS)).collect();
        let seeds: Vec<_> = records[..3].iter().map(|record| record.control).collect();
        network.start_fleet(&records, &seeds);
        for number in 0..3 {
            network.nodes[number].running = false;
            let mut restarted = records[number].clone();
            restarted.incarnation.0 += 1;
            network.start(restarted, vec![records[3].control]);
        }
        network.run(Duration::from_millis(lead_ms));
        let added = network.start(record(SIZE, DOMAINS), seeds);
        let took = network.run_while(JOIN_LIMIT, |n| !n.nodes[added].swim.is_joined());
        let known = network.nodes[added].swim.roster().live_count();
        if took.is_none() || known != SIZE + 1 {
            partial.push((seed, lead_ms, took, known));
        }
    }
    assert_eq!(partial, []);
}
