//! Properties under any order of arrivals, retransmissions, answers, ends of flows and new instances of
//! the server.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use berylvalve_core::l4::{
    agent::requests::{MAX_HELD_BYTES, MAX_HELD_REQUESTS, MAX_HOLD},
    segment::FlowKey,
};
use proptest::prelude::*;

use crate::{
    harness::{Harness, SLOTS},
    wire::{self, ACK, FIN, RST, flow},
};

const FLOWS: u16 = 12;

#[derive(Clone, Debug)]
enum Step {
    /// A request with this number of segments, on a flow whose last one was answered.
    Request(usize, usize),
    /// A copy of an earlier segment of a flow.
    Retransmit(usize, usize),
    /// An acknowledgement without data.
    Acknowledge(usize),
    Answer(usize),
    Finish(usize),
    Reset(usize),
    ServerReset(usize),
    NewInstance,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let flow = 0..usize::from(FLOWS);
    prop_oneof![
        12 => (flow.clone(), 1..20_usize).prop_map(|(flow, count)| Step::Request(flow, count)),
        6 => (flow.clone(), 0..20_usize).prop_map(|(flow, back)| Step::Retransmit(flow, back)),
        3 => flow.clone().prop_map(Step::Acknowledge),
        10 => flow.clone().prop_map(Step::Answer),
        1 => flow.clone().prop_map(Step::Finish),
        1 => flow.clone().prop_map(Step::Reset),
        1 => flow.prop_map(Step::ServerReset),
        1 => Just(Step::NewInstance),
        6 => (1..400_u64).prop_map(Step::Wait),
    ]
}

/// What was sent and delivered on one flow.
#[derive(Default)]
struct Record {
    sent: Vec<Vec<u8>>,
    delivered: Vec<Vec<u8>>,
    /// Whether a request was sent and not answered.
    is_pending: bool,
    has_ended: bool,
    /// Whether one end has reset the flow.
    is_closed: bool,
    /// Whether a new instance of the server has come, for which the agent resets the flow.
    was_reset: bool,
}

struct Run {
    harness: Harness,
    flows: Vec<FlowKey>,
    records: BTreeMap<FlowKey, Record>,
    instance: u64,
}

impl Run {
    fn new() -> Self {
        let mut harness = Harness::new();
        let flows: Vec<FlowKey> = (0..FLOWS)
            .map(|index| flow((index % 3) as u8, index, (index % 2) as u8))
            .collect();
        for flow in &flows {
            harness.establish(flow, flow.address.ip().octets()[3]);
        }
        let records = flows.iter().map(|flow| (*flow, Record::default()));
        Self {
            harness,
            records: records.collect(),
            flows,
            instance: 1,
        }
    }

    fn send(&mut self, flow: &FlowKey, datagram: Vec<u8>) {
        self.harness.forward(&datagram);
        self.records.get_mut(flow).unwrap().sent.push(datagram);
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Request(index, count) => self.request(self.flows[index], count),
            Step::Retransmit(index, back) => {
                let flow = self.flows[index];
                let record = &self.records[&flow];
                let copy = record.sent.iter().rev().nth(back).cloned();
                if let Some(copy) = copy.filter(|_| !record.has_ended) {
                    self.send(&flow, copy);
                }
            }
            Step::Acknowledge(index) => {
                let flow = self.flows[index];
                let (sequence, ack) = self.harness.next[&flow];
                if !self.records[&flow].has_ended {
                    let datagram = wire::from_caller(&flow, ACK, sequence, ack, &[]);
                    self.send(&flow, datagram);
                }
            }
            Step::Answer(index) => self.answer(&self.flows[index].clone()),
            Step::Finish(index) => self.end(self.flows[index], FIN | ACK),
            Step::Reset(index) => self.end(self.flows[index], RST),
            Step::ServerReset(index) => {
                let flow = self.flows[index];
                let (_, sequence) = self.harness.next[&flow];
                let datagram = wire::from_server(&flow, RST, sequence, &[]);
                self.harness.receive_from_server(&datagram);
                let record = self.records.get_mut(&flow).unwrap();
                record.has_ended = true;
                record.is_closed = true;
            }
            Step::NewInstance => {
                self.instance += 1;
                let id = self.instance.to_string();
                self.harness.report(&id, self.instance, 0);
                self.collect();
                for record in self.records.values_mut() {
                    record.has_ended = true;
                    record.is_closed = true;
                    record.was_reset = true;
                }
            }
            Step::Wait(ms) => self.harness.advance(Duration::from_millis(ms)),
        }
        self.collect();
    }

    fn request(&mut self, flow: FlowKey, count: usize) {
        let record = self.records.get_mut(&flow).unwrap();
        if record.is_pending || record.has_ended {
            return;
        }
        record.is_pending = true;
        for index in 0..count {
            let length = if index + 1 < count { 1200 } else { 300 };
            let datagram = self.harness.segment(&flow, length);
            self.send(&flow, datagram);
        }
    }

    /// Answers a flow's request if all of it was delivered.
    fn answer(&mut self, flow: &FlowKey) {
        let record = self.records.get_mut(flow).unwrap();
        let delivered: BTreeSet<&Vec<u8>> = record.delivered.iter().collect();
        let is_whole = record.sent.iter().all(|sent| delivered.contains(sent));
        if !record.is_pending || !is_whole || record.is_closed {
            return;
        }
        record.is_pending = false;
        self.harness.answer(flow);
    }

    fn end(&mut self, flow: FlowKey, flags: u8) {
        if self.records[&flow].has_ended {
            return;
        }
        let (sequence, ack) = self.harness.next[&flow];
        let datagram = wire::from_caller(&flow, flags, sequence, ack, &[]);
        self.send(&flow, datagram);
        let record = self.records.get_mut(&flow).unwrap();
        record.has_ended = true;
        record.is_closed = flags == RST;
    }

    fn collect(&mut self) {
        let sent = std::mem::take(&mut self.harness.out);
        for datagram in sent.to_server {
            let record = self.records.get_mut(&wire::flow_of(&datagram)).unwrap();
            record.delivered.push(datagram);
        }
    }

    fn check_bounds(&self) {
        let requests = self.harness.agent.requests();
        assert!(requests.len() <= MAX_HELD_REQUESTS);
        assert!(requests.bytes() <= MAX_HELD_BYTES);
        let at_server = self.records.values().filter(|record| {
            let delivered = record.delivered.last();
            record.is_pending && !record.is_closed && delivered.is_some()
        });
        // Something is held only while as many requests as slots are at the server.
        let is_full = at_server.count() >= usize::from(SLOTS);
        assert!(requests.is_empty() || is_full);
    }

    fn check_flows(&self) {
        for (flow, record) in &self.records {
            let mut copies: BTreeMap<&Vec<u8>, isize> = BTreeMap::new();
            for sent in &record.sent {
                *copies.entry(sent).or_default() += 1;
            }
            let mut first_copies = Vec::new();
            let mut seen = BTreeSet::new();
            for delivered in &record.delivered {
                let left = copies.get_mut(delivered);
                let left = left.unwrap_or_else(|| panic!("{flow}: changed segment"));
                *left -= 1;
                assert!(*left >= 0, "{flow}: delivered more often than sent");
                if seen.insert(delivered) && !wire::data_of(delivered).is_empty() {
                    first_copies.push(wire::sequence_of(delivered));
                }
            }
            assert!(first_copies.is_sorted(), "{flow}: {first_copies:?}");
            if record.was_reset {
                continue;
            }
            for sent in &record.sent {
                assert!(seen.contains(sent), "{flow}: lost {:?}", &sent[..13]);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Guards against requests that are lost, repeated, changed or reordered, and against requests that
    /// are held beyond the bounds or while there is room.
    #[test]
    fn segments_reach_the_server_in_order_and_unchanged(
        steps in prop::collection::vec(step(), 1..150),
    ) {
        let mut run = Run::new();
        for step in &steps {
            run.apply(step);
            run.check_bounds();
        }
        run.harness.advance(MAX_HOLD);
        run.collect();
        prop_assert_eq!(run.harness.held(), 0);
        prop_assert_eq!(run.harness.agent.requests().bytes(), 0);
        run.check_flows();
    }
}
