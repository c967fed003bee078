//! An agent by itself: what it takes, what it refuses, and what it says of flows.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use berylvalve_core::{
    clock::Time,
    l4::{
        agent::{Agent, AgentOptions},
        message::{self, Message, Received, Refusal, Standing},
        outbox::Outbox,
        routes::ServiceKey,
        server::{ServerReport, ServerState},
    },
};

use crate::codec::{self, ACCEPT, ANSWER, BOUNCED, Bytes, DATA, FINISH, OPENING, RESET, flow};

const SLOTS: u16 = 2;
const SERVER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, 1), 8080);
const BALANCER: SocketAddrV4 = SocketAddrV4::new(codec::BALANCER, 7001);

#[derive(Default)]
struct Sent {
    messages: Vec<Message>,
    resets: Vec<u8>,
    delivered: Vec<Vec<u8>>,
}

impl Outbox for Sent {
    fn to_peer(&mut self, peer: SocketAddrV4, frame: &[u8]) {
        let received = message::decode(peer, frame).unwrap();
        if !matches!(received.message, Message::Carries(_)) {
            self.messages.push(received.message);
        }
    }

    fn to_caller(&mut self, _: SocketAddrV4, datagram: &[u8]) {
        if datagram[0] == RESET {
            self.resets.push(datagram[1]);
        }
    }

    fn to_server(&mut self, datagram: &[u8]) {
        self.delivered.push(datagram.to_vec());
    }
}

struct World {
    agent: Agent<Bytes>,
    sent: Sent,
    now: Time,
}

impl World {
    /// Returns an agent whose server's report has a sequence number; 1 for a server that has just
    /// started.
    fn new(sequence: u64) -> Self {
        let options = AgentOptions {
            service: ServiceKey::of("desk"),
            server: SERVER,
            report_interval: Duration::from_millis(700),
            idle: Duration::from_secs(60),
            max_life: Duration::from_secs(60),
            max_flows: 2000,
            own: SocketAddrV4::new(*SERVER.ip(), 7001),
        };
        let now = Time::from_millis(1_000);
        let mut world = Self {
            agent: Agent::new(Bytes, options, now),
            sent: Sent::default(),
            now,
        };
        world.report("a", 1, sequence, ServerState::Ready);
        world
    }

    fn report(&mut self, id: &str, born_ms: u64, sequence: u64, state: ServerState) {
        let report = ServerReport {
            id: id.to_owned(),
            service: ServiceKey::of("desk"),
            address: SERVER,
            born_ms,
            sequence,
            state,
            slots: SLOTS,
        };
        let taken = self.agent.report(&report, self.now, &mut self.sent);
        taken.unwrap();
    }

    fn tell(&mut self, message: Message, datagram: &[u8]) {
        let received = Received {
            from: BALANCER,
            message,
            datagram,
        };
        self.agent.receive(&received, self.now, &mut self.sent);
    }

    fn open(&mut self, service: &str, forced: bool, port: u8) {
        let message = Message::Open {
            service: ServiceKey::of(service),
            forced,
            priority: 1,
            target_ms: 100,
        };
        self.tell(message, &[OPENING, port, 0]);
    }

    fn server(&mut self, kind: u8, port: u8, tens: u8) {
        let datagram = [kind, port, tens];
        self.agent
            .receive_from_server(&datagram, self.now, &mut self.sent);
    }

    /// Opens a flow whose server begins at ten times `tens`.
    fn establish(&mut self, port: u8, tens: u8) {
        self.open("desk", true, port);
        self.server(ACCEPT, port, tens);
        self.tell(Message::Carry, &[DATA, port, tens]);
        self.server(ANSWER, port, tens);
    }

    fn standing(&mut self, port: u8, acknowledged: u32) -> Standing {
        let flow = flow(port);
        self.tell(Message::Find { flow, acknowledged }, &[]);
        match self.sent.messages.pop() {
            Some(Message::Found { standing, .. }) => standing,
            other => panic!("{other:?}"),
        }
    }

    fn refusal(&mut self) -> Option<Refusal> {
        match self.sent.messages.pop() {
            Some(Message::Refused { refusal, .. }) => Some(refusal),
            _ => None,
        }
    }
}

#[test]
fn draining_server_gets_no_new_flow_from_its_report_on_and_keeps_its_flows() {
    let mut world = World::new(1);
    world.establish(1, 5);
    world.report("a", 1, 2, ServerState::Draining);
    world.sent = Sent::default();
    world.open("desk", true, 2);
    assert_eq!(world.refusal(), Some(Refusal::Draining));
    assert!(world.sent.delivered.is_empty());
    world.tell(Message::Carry, &[DATA, 1, 5]);
    assert_eq!(world.sent.delivered.len(), 1);
}

#[test]
fn opening_of_another_service_never_reaches_the_server() {
    let mut world = World::new(1);
    world.open("maps", true, 1);
    assert_eq!(world.refusal(), Some(Refusal::OtherService));
    assert!(world.sent.delivered.is_empty());
}

#[test]
fn opening_without_a_free_slot_is_refused_unless_it_is_forced() {
    let mut world = World::new(1);
    for port in 1..=SLOTS as u8 {
        world.open("desk", false, port);
    }
    assert_eq!(world.sent.delivered.len(), usize::from(SLOTS));
    world.open("desk", false, 9);
    assert_eq!(world.refusal(), Some(Refusal::Busy));
    world.open("desk", true, 9);
    assert_eq!(world.sent.delivered.len(), usize::from(SLOTS) + 1);
}

#[test]
fn forced_openings_wait_and_follow_as_answers_come() {
    let mut world = World::new(1);
    for port in 1..=10 {
        world.open("desk", true, port);
    }
    // Twice the slots go on, the others wait.
    assert_eq!(world.sent.delivered.len(), 2 * usize::from(SLOTS));
    let waits = |message: &&Message| matches!(message, Message::Waits { .. });
    assert_eq!(world.sent.messages.iter().filter(waits).count(), 6);
    world.server(ACCEPT, 1, 5);
    world.tell(Message::Carry, &[DATA, 1, 5]);
    let before = world.sent.delivered.len();
    world.server(ANSWER, 1, 5);
    assert_eq!(world.sent.delivered.len(), before + 1);
}

#[test]
fn bounced_opening_goes_back_to_its_balancer() {
    let mut world = World::new(1);
    world.open("desk", true, 1);
    world.server(BOUNCED, 1, 0);
    assert_eq!(world.sent.messages.pop(), Some(Message::Unknown));
    assert_eq!(world.standing(1, 0), Standing::NotHeld);
}

#[test]
fn segment_that_belongs_to_another_server_is_returned() {
    let mut world = World::new(1);
    world.open("desk", true, 1);
    world.server(ACCEPT, 1, 200);
    world.sent = Sent::default();
    // The caller acknowledges 50, this server began at 2,000: it took another one.
    world.tell(Message::Carry, &[DATA, 1, 5]);
    assert_eq!(world.sent.messages.pop(), Some(Message::Unknown));
    assert!(world.sent.delivered.is_empty());
    assert_eq!(world.standing(1, 50), Standing::NotHeld);
    assert_eq!(world.standing(1, 2_001), Standing::Held);
}

#[test]
fn agent_of_a_running_server_is_unsure_of_flows_that_it_has_not_seen() {
    let mut world = World::new(40);
    assert_eq!(world.standing(1, 0), Standing::Unsure);
    world.tell(Message::Carry, &[DATA, 1, 5]);
    assert_eq!(world.sent.delivered.len(), 1);
    world.server(ANSWER, 1, 5);
    assert!(matches!(
        world.sent.messages.pop(),
        Some(Message::Found {
            standing: Standing::Held,
            ..
        })
    ));
    let mut fresh = World::new(1);
    assert_eq!(fresh.standing(1, 0), Standing::NotHeld);
}

#[test]
fn only_flows_that_were_open_are_reset_when_the_server_starts_anew() {
    let mut world = World::new(1);
    world.establish(1, 5);
    world.open("desk", true, 2);
    world.report("b", 2, 1, ServerState::Ready);
    assert_eq!(world.sent.resets, [1]);
}

#[test]
fn server_that_does_not_answer_openings_is_avoided_and_tried_again() {
    let mut world = World::new(1);
    world.open("desk", true, 1);
    world.now = world.now + Duration::from_millis(50);
    world.agent.tick(world.now, &mut world.sent);
    world.open("desk", true, 2);
    assert_eq!(world.refusal(), Some(Refusal::Mute));
    world.now = world.now + Duration::from_millis(250);
    world.open("desk", true, 3);
    assert_eq!(world.refusal(), None);
}

#[test]
fn home_tells_who_registered_a_flow() {
    let mut world = World::new(1);
    world.tell(Message::Register { flow: flow(7) }, &[]);
    assert_eq!(world.standing(7, 0), Standing::At(BALANCER));
}

#[test]
fn finished_flow_is_still_known_for_its_last_segments() {
    let mut world = World::new(1);
    world.establish(1, 5);
    world.tell(Message::Carry, &[FINISH, 1, 5]);
    assert_eq!(world.standing(1, 50), Standing::Held);
}
