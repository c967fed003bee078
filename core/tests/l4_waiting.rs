//! Order and limit of the flows that wait at an agent, as when all callers reconnect at once.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use berylvalve_core::{
    clock::Time,
    l4::{
        segment::FlowKey,
        waiting::{Urgency, WaitingFlows},
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

fn add(waiting: &mut WaitingFlows, port: u16, priority: u8, at_ms: u64) {
    let balancer = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 7001);
    let urgency = Urgency {
        priority,
        target: TARGET,
        work_time: WORK_TIME,
    };
    waiting.add(flow(port), balancer, &[], urgency, Time::from_millis(at_ms));
}

fn pop_ports(waiting: &mut WaitingFlows, now_ms: u64) -> Vec<u16> {
    let mut ports = Vec::new();
    while let Some(next) = waiting.pop_next(Time::from_millis(now_ms)) {
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
                    .pop_next(Time::from_millis(now))
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
    while waiting.has_room(interval) {
        add(&mut waiting, admitted + 1, 1, 0);
        admitted += 1;
    }
    assert_eq!(admitted, 12);
    assert!(waiting.pop_expired(Time::from_millis(1_199)).is_none());
    assert!(waiting.pop_expired(Time::from_millis(1_200)).is_some());
}
