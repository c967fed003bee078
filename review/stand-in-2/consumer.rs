//! A consumer and the platform's router, which forwards its packets to the front daemons in rotation.

use std::{
    collections::BTreeMap,
    net::{SocketAddrV4, UdpSocket},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    packet::{ACK, FIN, Packet, RST, SYN, sum},
    record::Record,
    server::call,
};

/// What became of a flow.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub port: u16,
    /// When its first opening packet was sent.
    pub sent: f64,
    pub opened: Option<f64>,
    /// When each answer came, with the service that gave it.
    pub answers: Vec<(f64, String)>,
    /// When a reset of the system's own ended the open flow.
    pub reset: Option<f64>,
    pub refused: bool,
    /// Id of the server that answered last.
    pub server: String,
}

struct Flow {
    route: SocketAddrV4,
    outcome: Outcome,
    long: bool,
    /// Whether it sends no request of its own accord after the first one.
    paused: bool,
    open: bool,
    ended: bool,
    copies: u32,
    first: u32,
    seq: u32,
    ack: u32,
    request: Option<Request>,
    next_request: f64,
    requests: u32,
}

struct Request {
    data: Vec<u8>,
    first_sent: f64,
    due: f64,
    wait: f64,
}

pub struct State {
    flows: BTreeMap<u16, Flow>,
    next_port: u16,
    rotation: Vec<SocketAddrV4>,
    /// Packets that no sender wrote so.
    pub forged: u32,
}

#[derive(Clone)]
pub struct Consumer {
    address: SocketAddrV4,
    socket: Arc<UdpSocket>,
    pub state: Arc<Mutex<State>>,
    record: Record,
}

/// A front daemon: where it reads datagrams and where it answers readiness checks.
pub type Front = (SocketAddrV4, SocketAddrV4);

impl Consumer {
    pub fn start(address: SocketAddrV4, fronts: Vec<Front>, record: &Record) -> std::io::Result<Consumer> {
        let consumer = Consumer {
            address,
            socket: Arc::new(UdpSocket::bind(address)?),
            state: Arc::new(Mutex::new(State { flows: BTreeMap::new(), next_port: 30_000, rotation: Vec::new(), forged: 0 })),
            record: record.clone(),
        };
        let receiving = consumer.clone();
        thread::spawn(move || {
            let mut buffer = [0; 2048];
            loop {
                if let Ok((length, _)) = receiving.socket.recv_from(&mut buffer) {
                    receiving.receive(&buffer[..length]);
                }
            }
        });
        let ticking = consumer.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                ticking.tick();
            }
        });
        let routing = consumer.clone();
        thread::spawn(move || routing.check_readiness(&fronts));
        Ok(consumer)
    }

    /// Returns how many front daemons are in rotation.
    pub fn in_rotation(&self) -> usize {
        self.state.lock().unwrap().rotation.len()
    }

    /// Opens a flow, and sends a request on it, or one after the other if it is long.
    pub fn open(&self, route: SocketAddrV4, long: bool) -> u16 {
        let now = self.record.now();
        let mut state = self.state.lock().unwrap();
        let port = state.next_port;
        state.next_port += 1;
        let first = u32::from(port).wrapping_mul(0x9e37_79b1);
        let outcome = Outcome { port, sent: now, opened: None, answers: Vec::new(), reset: None, refused: false, server: String::new() };
        let flow = Flow {
            route,
            outcome,
            long,
            paused: false,
            open: false,
            ended: false,
            copies: 1,
            first,
            seq: first.wrapping_add(1),
            ack: 0,
            request: None,
            next_request: 0.0,
            requests: 0,
        };
        let from = SocketAddrV4::new(*self.address.ip(), port);
        state.flows.insert(port, flow);
        self.send(&state, port, &Packet::write(from, route, SYN, first, 0, &[]));
        port
    }

    /// Opens a flow with one request, which then stays open and idle.
    pub fn open_idle(&self, route: SocketAddrV4) -> u16 {
        let port = self.open(route, true);
        self.state.lock().unwrap().flows.get_mut(&port).unwrap().paused = true;
        port
    }

    /// Sends a request on an idle flow.
    pub fn ask(&self, port: u16) {
        let now = self.record.now();
        self.record.say_at(now, format!("consumer: flow {port} goes on with a request"));
        self.state.lock().unwrap().flows.get_mut(&port).unwrap().begin_request(port, now);
    }

    /// Ends the consumer of a flow: it sends nothing more and hears nothing.
    pub fn go_away(&self, port: u16) {
        self.record.say(format!("consumer: the one of flow {port} goes away"));
        self.state.lock().unwrap().flows.get_mut(&port).unwrap().ended = true;
    }

    /// Returns the front daemon that gets a flow's packets.
    pub fn front_of(&self, port: u16) -> Option<SocketAddrV4> {
        let state = self.state.lock().unwrap();
        (!state.rotation.is_empty()).then(|| state.rotation[hash(port) % state.rotation.len()])
    }

    pub fn outcomes(&self) -> Vec<Outcome> {
        self.state.lock().unwrap().flows.values().map(|flow| flow.outcome.clone()).collect()
    }

    /// Probes each daemon twice a second: two misses take it out of rotation, a 200 puts it back.
    fn check_readiness(&self, fronts: &[Front]) {
        let mut misses = vec![2; fronts.len()];
        loop {
            for (index, (_, ready)) in fronts.iter().enumerate() {
                let status = call(*ready, "GET", "/-/readiness", "", Duration::from_millis(400));
                misses[index] = if status == Some(200) { 0 } else { misses[index] + 1 };
            }
            let in_rotation = fronts.iter().zip(&misses).filter(|(_, misses)| **misses < 2);
            self.state.lock().unwrap().rotation = in_rotation.map(|((data, _), _)| *data).collect();
            thread::sleep(Duration::from_millis(500));
        }
    }

    fn send(&self, state: &State, port: u16, bytes: &[u8]) {
        if state.rotation.is_empty() {
            return;
        }
        let _ = self.socket.send_to(bytes, state.rotation[hash(port) % state.rotation.len()]);
    }

    fn tick(&self) {
        let now = self.record.now();
        let mut state = self.state.lock().unwrap();
        let mut packets = Vec::new();
        for (port, flow) in &mut state.flows {
            if flow.ended {
                continue;
            }
            let from = SocketAddrV4::new(*self.address.ip(), *port);
            let age = now - flow.outcome.sent;
            if !flow.open {
                if age >= 1.4 {
                    flow.ended = true;
                } else if (flow.copies == 1 && age >= 0.2) || (flow.copies == 2 && age >= 0.6) {
                    packets.push((*port, Packet::write(from, flow.route, SYN, flow.first, flow.copies, &[])));
                    flow.copies += 1;
                }
                continue;
            }
            if flow.request.is_none() && flow.long && !flow.paused && now >= flow.next_request {
                flow.begin_request(*port, now);
            }
            let (seq, ack, route) = (flow.seq, flow.ack, flow.route);
            if let Some(request) = &mut flow.request {
                if now - request.first_sent >= 5.0 {
                    flow.ended = true;
                } else if now >= request.due {
                    packets.push((*port, Packet::write(from, route, ACK, seq, ack, &request.data)));
                    request.due = now + request.wait;
                    request.wait = (request.wait * 2.0).min(1.6);
                }
            }
        }
        for (port, packet) in packets {
            self.send(&state, port, &packet);
        }
    }

    fn receive(&self, bytes: &[u8]) {
        let now = self.record.now();
        let mut state = self.state.lock().unwrap();
        let Some(packet) = Packet::read(bytes) else {
            state.forged += 1;
            return;
        };
        let own_reset = packet.flags == RST && packet.sum == 0 && packet.data.is_empty();
        if !own_reset && sum(bytes) != packet.sum {
            state.forged += 1;
            return;
        }
        let port = packet.to.port();
        let from = SocketAddrV4::new(*self.address.ip(), port);
        let Some(flow) = state.flows.get_mut(&port).filter(|flow| flow.route == packet.from) else {
            return;
        };
        let mut reply = None;
        if flow.ended {
            return;
        }
        if packet.flags & RST != 0 {
            if !flow.open {
                flow.ended = true;
                flow.outcome.refused = true;
            } else if packet.seq.wrapping_sub(flow.ack).wrapping_add(76_800) <= 153_600 {
                flow.ended = true;
                if own_reset {
                    flow.outcome.reset = Some(now);
                    self.record.say_at(now, format!("consumer: open flow {port} is reset, not by its server"));
                }
            }
        } else if packet.flags & SYN != 0 {
            if !flow.open {
                flow.open = true;
                flow.outcome.opened = Some(now);
                flow.ack = packet.seq.wrapping_add(1);
                flow.begin_request(port, now);
            } else {
                reply = Some(Packet::write(from, flow.route, ACK, flow.seq, flow.ack, &[]));
            }
        } else if flow.open && !packet.data.is_empty() {
            if packet.seq == flow.ack {
                flow.ack = flow.ack.wrapping_add(packet.data.len() as u32);
                if let Some(request) = flow.request.take() {
                    flow.seq = flow.seq.wrapping_add(request.data.len() as u32);
                    let text = String::from_utf8_lossy(&packet.data).into_owned();
                    let body = text.split("\r\n\r\n").nth(1).unwrap_or_default();
                    let mut words = body.split(' ').map(str::to_owned);
                    let service = words.next().unwrap_or_default();
                    flow.outcome.server = words.next().unwrap_or_default();
                    flow.outcome.answers.push((now, service));
                    flow.next_request = now + 0.1;
                }
            }
            if flow.long {
                reply = Some(Packet::write(from, flow.route, ACK, flow.seq, flow.ack, &[]));
            } else {
                reply = Some(Packet::write(from, flow.route, FIN | ACK, flow.seq, flow.ack, &[]));
                flow.ended = true;
            }
        }
        if let Some(reply) = reply {
            self.send(&state, port, &reply);
        }
    }
}

fn hash(port: u16) -> usize {
    usize::from(port).wrapping_mul(0x9e37_79b1) >> 7
}

impl Flow {
    /// Begins a request; the next tick sends it.
    fn begin_request(&mut self, port: u16, now: f64) {
        self.requests += 1;
        let data = format!("GET /work HTTP/1.1\r\nHost: work\r\nX-Berylvalve-Request-Id: {port}-{}\r\n\r\n", self.requests);
        self.request = Some(Request { data: data.into_bytes(), first_sent: now, due: now, wait: 0.2 });
    }
}
