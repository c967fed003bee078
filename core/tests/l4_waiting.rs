//! Order and limit of the flows that wait at an agent, as when all callers reconnect at once.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use berylvalve_core::{
    clock::Time,
    l4::{
        segment::FlowKey,
        waiting::{MAX_OPENING_AGE, Urgency, WaitingFlows},
    },
};

const WORK_TIME: Duration = Duration::from_millis(20);
const TARGET: Duration = Duration::from_millis(100);

fn flow(port: u16) -> FlowKey {
    FlowKey {
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), port),
        address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443),
    }
}

fn urgency(priority: u8, age_ms: u64) -> Urgency {
    let age = Duration::from_millis(age_ms);
    Urgency {
        priority,
        target: TARGET.saturating_sub(age),
        work_time: WORK_TIME,
        age,
        left: MAX_OPENING_AGE.saturating_sub(age),
    }
}

fn add(waiting: &mut WaitingFlows, port: u16, priority: u8, at_ms: u64) {
    add_aged(waiting, port, priority, 0, at_ms);
}

/// Adds a flow whose caller sent the first opening segment `age_ms` before `at_ms`.
fn add_aged(waiting: &mut WaitingFlows, port: u16, priority: u8, age_ms: u64, at_ms: u64) {
    let balancer = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 7001);
    let urgency = urgency(priority, age_ms);
    // Beyond the limit, the flow that would be served last is dropped.
    waiting.add(
        flow(port),
        balancer,
        &[],
        &urgency,
        Time::from_millis(at_ms),
    );
}

fn pop_ports(waiting: &mut WaitingFlows, now_ms: u64) -> Vec<u16> {
    let mut ports = Vec::new();
    while let Some(next) = waiting.pop_next(true, Duration::ZERO, Time::from_millis(now_ms)) {
        ports.push(next.flow.caller.port());
    }
    ports
}

#[test]
fn flows_are_served_by_priority_then_by_latest_start() {
    let mut waiting = WaitingFlows::default();
    add(&mut waiting, 1, 2, 0);
    add(&mut waiting, 2, 1, 5);
    add(&mut waiting, 3, 1, 1);
    assert_eq!(pop_ports(&mut waiting, 10), [3, 2, 1]);
}

/// Guards against a backlog of late flows that makes every later flow late as well.
#[test]
fn late_flows_are_served_after_those_in_time() {
    let mut waiting = WaitingFlows::default();
    add(&mut waiting, 1, 1, 0);
    add(&mut waiting, 2, 2, 150);
    // At 160 ms the first flow can no longer be answered within its target of 100 ms.
    assert_eq!(pop_ports(&mut waiting, 160), [2, 1]);
}

#[test]
fn reconnecting_callers_are_served_in_time_more_often_than_by_a_fifo_queue() {
    // 100 flows arrive at once and one more every 5 ms, at a server that serves one every 5 ms. A FIFO
    // queue never catches up, so it serves almost all of them late.
    let count_in_time = |is_fifo: bool| {
        let mut waiting = WaitingFlows::default();
        let mut queue = std::collections::VecDeque::new();
        let mut in_time = 0;
        for step in 0..400_u64 {
            let now = step * 5;
            let arrivals = if step == 0 { 100 } else { 1 };
            for _ in 0..arrivals {
                // The port keeps the arrival time, plus 1 as port 0 is not valid.
                let port = now as u16 + 1;
                add(&mut waiting, port, 1, now);
                queue.push_back(now);
            }
            let arrived = match is_fifo {
                true => queue.pop_front(),
                false => waiting
                    .pop_next(true, Duration::ZERO, Time::from_millis(now))
                    .map(|next| u64::from(next.flow.caller.port()) - 1),
            };
            let took = arrived.map(|arrived| now - arrived + WORK_TIME.as_millis() as u64);
            in_time += u64::from(took.is_some_and(|took| took <= TARGET.as_millis() as u64));
        }
        in_time
    };
    let (fifo_in_time, waiting_in_time) = (count_in_time(true), count_in_time(false));
    assert!(
        waiting_in_time > 10 * fifo_in_time,
        "{waiting_in_time} flows served in time, a FIFO queue serves {fifo_in_time}"
    );
}

#[test]
fn flow_that_can_not_be_served_before_its_caller_gives_up_has_no_room_and_expires() {
    let mut waiting = WaitingFlows::default();
    let interval = Duration::from_millis(100);
    let mut admitted = 0;
    while waiting.has_room(&urgency(1, 0), interval, Time::default()) {
        add(&mut waiting, admitted + 1, 1, 0);
        admitted += 1;
    }
    assert_eq!(admitted, 12);
    assert!(waiting.pop_expired(Time::from_millis(1_199)).is_none());
    assert!(waiting.pop_expired(Time::from_millis(1_200)).is_some());
}

#[test]
fn late_flow_waits_for_a_free_slot_and_expires_by_its_age() {
    let mut waiting = WaitingFlows::default();
    add_aged(&mut waiting, 1, 1, 600, 0);
    assert!(
        waiting
            .pop_next(false, Duration::ZERO, Time::from_millis(1))
            .is_none()
    );
    assert!(waiting.pop_expired(Time::from_millis(599)).is_none());
    assert!(waiting.pop_expired(Time::from_millis(600)).is_some());
}

/// Guards against a backlog of late flows that leaves no room for those that are still in time.
#[test]
fn late_flows_take_no_room_from_those_in_time() {
    let mut waiting = WaitingFlows::default();
    let now = Time::default();
    let interval = Duration::from_millis(50);
    let mut port = 1;
    while waiting.has_room(&urgency(1, 600), interval, now) {
        add_aged(&mut waiting, port, 1, 600, 0);
        port += 1;
    }
    assert_eq!(port, 13, "12 flows at 50 ms are 600 ms of work");
    assert!(waiting.has_room(&urgency(1, 0), interval, now));
    assert_eq!(waiting.count_in_time(now), 0);
}

#[test]
fn flow_that_would_be_served_last_is_evicted_at_the_limit() {
    let mut waiting = WaitingFlows::default();
    for port in 1..=256 {
        add_aged(&mut waiting, port, 1, 600 + u64::from(port == 7), 0);
    }
    let balancer = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 7001);
    let evicted = waiting.add(flow(900), balancer, &[], &urgency(0, 0), Time::default());
    assert!(evicted.is_some_and(|evicted| evicted.priority == 1));
    assert_eq!(waiting.len(), 256);
    assert!(waiting.contains(&flow(900)));
}

/// Load pattern: return after an outage of 1.5 s. One new caller comes every 12 ms; those of the outage
/// repeat their opening segments after 200 and 600 ms. The server answers a request every 10 ms.
#[test]
fn callers_of_an_outage_do_not_make_those_late_that_come_after_it() {
    const OUTAGE_MS: u64 = 1_500;
    const END_MS: u64 = 3_500;
    const ARRIVAL_MS: u64 = 12;
    const INTERVAL_MS: u64 = 10;
    let in_time_share = |knows_age: bool| {
        let mut waiting = WaitingFlows::default();
        let (mut asked, mut in_time) = (0, 0);
        for now in (OUTAGE_MS..END_MS).step_by(1) {
            for age in [0, 200, 600] {
                let started = now - age;
                // A caller repeats its opening segment only if the first copy fell into the outage.
                let repeats = age == 0 || started < OUTAGE_MS && now - started < OUTAGE_MS;
                let is_first_copy = age == 0 || now - age + 200 >= OUTAGE_MS || age == 600;
                let port = started as u16 + 1;
                if started % ARRIVAL_MS == 0
                    && repeats
                    && is_first_copy
                    && !waiting.contains(&flow(port))
                {
                    let age = if knows_age { age } else { 0 };
                    add_aged(&mut waiting, port, 1, age, now);
                    asked += u64::from(started >= OUTAGE_MS);
                }
            }
            if now % INTERVAL_MS != 0 {
                continue;
            }
            while waiting.pop_expired(Time::from_millis(now)).is_some() {}
            let Some(next) = waiting.pop_next(true, Duration::ZERO, Time::from_millis(now)) else {
                continue;
            };
            let started = u64::from(next.flow.caller.port()) - 1;
            let took = now - started + WORK_TIME.as_millis() as u64;
            in_time += u64::from(started >= OUTAGE_MS && took <= TARGET.as_millis() as u64);
        }
        in_time * 100 / asked
    };
    let (with_age, without_age) = (in_time_share(true), in_time_share(false));
    assert!(
        with_age >= 98,
        "{with_age}% in time, {without_age}% without the age"
    );
    assert!(without_age < 80, "{without_age}% in time without the age");
}

/// Load pattern: twice what the server can carry. One caller comes every 10 ms, and the server, which is
/// believed to answer a request every 16 ms, takes 20 ms while it is cold.
#[test]
fn lasting_overload_leaves_those_in_time_that_are_served() {
    const ARRIVAL_MS: u64 = 10;
    const SERVED_MS: u64 = 20;
    let served_in_time = |interval_ms: u64| {
        let mut waiting = WaitingFlows::default();
        let (mut served, mut in_time) = (0, 0);
        for now in 0..4_000 {
            if now % ARRIVAL_MS == 0 {
                add(&mut waiting, now as u16 + 1, 1, now);
            }
            if now % SERVED_MS != 0 {
                continue;
            }
            let interval = Duration::from_millis(interval_ms);
            let next = waiting.pop_next(false, interval, Time::from_millis(now));
            let Some(next) = next else {
                continue;
            };
            let started = u64::from(next.flow.caller.port()) - 1;
            served += 1;
            // The server takes longer than the work time from which the latest start was computed.
            in_time += u64::from(now - started + 3 * WORK_TIME.as_millis() as u64 <= 100);
        }
        in_time * 100 / served
    };
    let (adaptive, earliest_first) = (served_in_time(16), served_in_time(0));
    assert!(
        adaptive >= 90,
        "{adaptive}% in time, {earliest_first}% with the earliest first"
    );
    assert!(
        earliest_first < 30,
        "{earliest_first}% in time with the earliest first"
    );
}
