//! Who waits, and in which order, when everybody comes back at once.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use berylvalve_core::{
    clock::Time,
    l4::{
        segment::FlowKey,
        waiting::{Urgency, WaitingRoom},
    },
};

const WORK: Duration = Duration::from_millis(20);
const TARGET: Duration = Duration::from_millis(100);

fn flow(port: u16) -> FlowKey {
    FlowKey {
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), port),
        address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443),
    }
}

fn add(room: &mut WaitingRoom, port: u16, priority: u8, at_ms: u64) {
    let balancer = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 7001);
    let urgency = Urgency {
        priority,
        target: TARGET,
        work: WORK,
    };
    room.add(flow(port), balancer, &[], urgency, Time::from_millis(at_ms));
}

fn order(room: &mut WaitingRoom, now_ms: u64) -> Vec<u16> {
    let mut ports = Vec::new();
    while let Some(next) = room.next(Time::from_millis(now_ms)) {
        ports.push(next.flow.caller.port());
    }
    ports
}

#[test]
fn more_urgent_flows_go_first_then_the_older_ones() {
    let mut room = WaitingRoom::default();
    add(&mut room, 1, 2, 0);
    add(&mut room, 2, 1, 5);
    add(&mut room, 3, 1, 1);
    assert_eq!(order(&mut room, 10), [3, 2, 1]);
}

#[test]
fn flows_that_are_late_anyway_get_what_is_left() {
    let mut room = WaitingRoom::default();
    add(&mut room, 1, 1, 0);
    add(&mut room, 2, 2, 150);
    // At 160 ms the first one can't be answered within its 100 ms any more.
    assert_eq!(order(&mut room, 160), [2, 1]);
}

#[test]
fn return_of_everybody_serves_more_in_time_than_a_queue() {
    // 100 flows at once and one more every 5 ms, for a server that takes one every 5 ms.
    let served = |in_order: bool| {
        let mut room = WaitingRoom::default();
        let mut queue = std::collections::VecDeque::new();
        let mut in_time = 0;
        for step in 0..400_u64 {
            let now = step * 5;
            let arrivals = if step == 0 { 100 } else { 1 };
            for _ in 0..arrivals {
                let port = now as u16 + 1;
                add(&mut room, port, 1, now);
                queue.push_back(now);
            }
            let began = match in_order {
                true => queue.pop_front(),
                false => room
                    .next(Time::from_millis(now))
                    .map(|next| u64::from(next.flow.caller.port()) - 1),
            };
            let took = began.map(|began| now - began + WORK.as_millis() as u64);
            in_time += u64::from(took.is_some_and(|took| took <= TARGET.as_millis() as u64));
        }
        in_time
    };
    let (queue, room) = (served(true), served(false));
    assert!(room > 10 * queue, "{room} in time, {queue} by a queue");
}

#[test]
fn flow_that_can_not_be_served_before_its_caller_gives_up_is_refused() {
    let mut room = WaitingRoom::default();
    let interval = Duration::from_millis(100);
    let mut admitted = 0;
    while room.has_room(interval) {
        add(&mut room, admitted + 1, 1, 0);
        admitted += 1;
    }
    assert_eq!(admitted, 12);
    assert!(room.expired(Time::from_millis(1_199)).is_none());
    assert!(room.expired(Time::from_millis(1_200)).is_some());
}
