//! Consumers as PROTOCOL.md ("Flows") describes them.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddrV4, UdpSocket},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    packet::{self, ACK, FIN, Flow, Packet, RST, SYN},
    world::World,
};

const COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
const OPENING: Duration = Duration::from_millis(1400);
const FIRST_RESEND: Duration = Duration::from_millis(200);
const MAX_RESEND: Duration = Duration::from_millis(1600);
/// Distance from the consumer's last ack within which the `seq` of a reset on an open flow must be.
const RESET_WINDOW: u32 = 76_800;
pub const DEADLINE: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    Opening,
    Open,
    /// Closed by both ends, or given up by the consumer.
    Closed,
    /// The attempt ended without a flow.
    Failed,
    Reset,
}

#[derive(Clone)]
pub struct End {
    pub stage: Stage,
    pub first_sent: Instant,
    /// When a reset of the system's own came, from which daemon, and at which stage.
    pub reset: Option<(Instant, String, Stage)>,
    pub answered: Vec<String>,
    /// Requests that the server says it has not run.
    pub refused: usize,
    /// The request that waits for its answer.
    pub request: Option<String>,
    began: Instant,
    /// The front to which all packets of the flow go; by the routers' hash if there is none.
    via: Option<usize>,
    copies: usize,
    seq: u32,
    ack: u32,
    unacked: Option<Packet>,
    due: Instant,
    pause: Duration,
}

pub struct Consumers {
    world: Arc<World>,
    flows: Mutex<HashMap<Flow, End>>,
    next_port: Mutex<u16>,
    pub wrong: Mutex<Vec<String>>,
}

impl Consumers {
    pub fn new(world: &Arc<World>, hosts: usize) -> Arc<Self> {
        let consumers = Arc::new(Self {
            world: world.clone(),
            flows: Mutex::default(),
            next_port: Mutex::new(20_000),
            wrong: Mutex::default(),
        });
        for host in 0..hosts {
            let address = SocketAddrV4::new(world.consumer_ip(host), world.ports.datagram);
            let socket = UdpSocket::bind(address).expect("address of a consumer");
            let consumers = consumers.clone();
            thread::spawn(move || {
                let mut buffer = [0; 2048];
                loop {
                    if let Ok((length, from)) = socket.recv_from(&mut buffer) {
                        consumers.receive(&buffer[..length], from.ip());
                    }
                }
            });
        }
        let ticking = consumers.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(2));
                ticking.tick();
            }
        });
        consumers
    }

    /// Returns a flow from a new port that is not open yet.
    pub fn new_flow(&self, host: usize, route: SocketAddrV4) -> Flow {
        let mut port = self.next_port.lock().unwrap();
        *port += 1;
        Flow {
            consumer: SocketAddrV4::new(self.world.consumer_ip(host), *port),
            route,
        }
    }

    /// Opens a flow and sends a request on it.
    pub fn open(&self, flow: Flow, request: &str, via: Option<usize>) {
        let now = Instant::now();
        let end = End {
            stage: Stage::Opening,
            first_sent: now,
            reset: None,
            answered: Vec::new(),
            refused: 0,
            request: Some(request.to_owned()),
            began: now,
            via,
            copies: 0,
            seq: u32::from(flow.consumer.port()) << 12,
            ack: 0,
            unacked: None,
            due: now + COPIES[0],
            pause: FIRST_RESEND,
        };
        let syn = end.write(&flow, SYN, Vec::new());
        self.world.record.say_at(
            now,
            &format!("{}>{} sends SYN for {request}", flow.consumer, flow.route),
        );
        self.flows.lock().unwrap().insert(flow, end);
        self.send(via, &syn);
    }

    /// Sends a further request on an open flow; returns whether it could.
    pub fn request(&self, flow: &Flow, request: &str) -> bool {
        let mut flows = self.flows.lock().unwrap();
        let Some(end) = flows
            .get_mut(flow)
            .filter(|end| end.stage == Stage::Open && end.request.is_none())
        else {
            return false;
        };
        end.request = Some(request.to_owned());
        let (via, packet) = end.start(flow, Instant::now());
        drop(flows);
        self.world
            .record
            .say(&format!("{}>{} sends {request}", flow.consumer, flow.route));
        self.send(via, &packet);
        true
    }

    /// Gives a flow up without a word, as a consumer does that goes away.
    pub fn give_up(&self, flow: &Flow) {
        let mut flows = self.flows.lock().unwrap();
        if let Some(end) = flows.get_mut(flow) {
            end.stage = Stage::Closed;
            let line = format!("{}>{} is given up", flow.consumer, flow.route);
            self.world.record.say(&line);
        }
    }

    pub fn get(&self, flow: &Flow) -> End {
        self.flows.lock().unwrap()[flow].clone()
    }

    fn send(&self, via: Option<usize>, packet: &Packet) {
        match via {
            Some(front) => self.world.send_to_front(front, packet),
            None => self.world.route(packet),
        }
    }

    fn receive(&self, bytes: &[u8], from: IpAddr) {
        let now = Instant::now();
        let Some((packet, is_whole)) = Packet::decode(bytes) else {
            self.wrong
                .lock()
                .unwrap()
                .push("a consumer got bytes that are no packet".to_owned());
            return;
        };
        let flow = Flow {
            consumer: packet.dst,
            route: packet.src,
        };
        let IpAddr::V4(from) = from else { return };
        let from = self.world.name_of(from);
        if !is_whole && !packet::is_own_reset(bytes) {
            self.wrong.lock().unwrap().push(format!(
                "{} got an altered packet from {from}",
                flow.consumer
            ));
            return;
        }
        let mut flows = self.flows.lock().unwrap();
        let Some(end) = flows.get_mut(&flow) else {
            return;
        };
        if matches!(end.stage, Stage::Closed | Stage::Failed | Stage::Reset) {
            return;
        }
        if packet.flags & RST != 0 {
            // On an open flow, a reset of the system's own is one only near the consumer's last ack.
            let distance = (packet.seq.wrapping_sub(end.ack) as i32).unsigned_abs();
            let is_near = end.stage == Stage::Opening || distance <= RESET_WINDOW;
            let word = if is_whole {
                "its server"
            } else {
                from.as_str()
            };
            let what = if is_whole || is_near {
                "gets RST"
            } else {
                "ignores RST"
            };
            let line = format!(
                "{}>{} {what} from {word} while {:?}",
                flow.consumer, flow.route, end.stage
            );
            self.world.record.say_at(now, &line);
            if is_whole || is_near {
                if !is_whole {
                    end.reset = Some((now, from, end.stage));
                }
                end.stage = Stage::Reset;
            }
            return;
        }
        if end.stage == Stage::Opening {
            if packet.flags & (SYN | ACK) == SYN | ACK {
                end.stage = Stage::Open;
                end.ack = packet.seq.wrapping_add(1);
                end.seq = end.seq.wrapping_add(1);
                let handshake = end.write(&flow, ACK, Vec::new());
                let (via, first) = end.start(&flow, now);
                drop(flows);
                self.send(via, &handshake);
                self.send(via, &first);
            }
            return;
        }
        if end
            .unacked
            .as_ref()
            .is_some_and(|sent| packet.ack == sent.end())
        {
            end.unacked = None;
        }
        let mut replies = Vec::new();
        if !packet.data.is_empty() || packet.flags & FIN != 0 {
            if packet.seq == end.ack && !packet.data.is_empty() {
                end.ack = packet.end();
                let text = String::from_utf8_lossy(&packet.data).into_owned();
                let awaited = end.request.take();
                let awaited = awaited.unwrap_or_default();
                if text.starts_with("HTTP/1.1 200")
                    && text.contains(&awaited)
                    && !awaited.is_empty()
                {
                    let took = now.duration_since(end.began).as_millis();
                    self.world.record.say_at(
                        now,
                        &format!(
                            "{}>{} has the answer to {awaited} after {took} ms",
                            flow.consumer, flow.route
                        ),
                    );
                    end.answered.push(awaited);
                } else if text.starts_with("HTTP/1.1 503") && text.contains(&awaited) {
                    let line = format!(
                        "{}>{} is told that {awaited} has not run",
                        flow.consumer, flow.route
                    );
                    self.world.record.say_at(now, &line);
                    end.refused += 1;
                } else {
                    self.wrong
                        .lock()
                        .unwrap()
                        .push(format!("{} got a foreign answer", flow.consumer));
                }
            }
            if packet.flags & FIN != 0 && packet.end() == end.ack {
                end.ack = end.ack.wrapping_add(1);
                end.stage = Stage::Closed;
                replies.push(end.write(&flow, FIN | ACK, Vec::new()));
            } else {
                replies.push(end.write(&flow, ACK, Vec::new()));
            }
        }
        let via = end.via;
        drop(flows);
        replies.iter().for_each(|reply| self.send(via, reply));
    }

    fn tick(&self) {
        let now = Instant::now();
        let mut packets = Vec::new();
        for (flow, end) in self.flows.lock().unwrap().iter_mut() {
            if now < end.due {
                continue;
            }
            match end.stage {
                Stage::Opening if end.copies < COPIES.len() => {
                    end.copies += 1;
                    end.due = end.first_sent + COPIES.get(end.copies).copied().unwrap_or(OPENING);
                    let mut copy = end.write(flow, SYN, Vec::new());
                    copy.ack = end.copies as u32;
                    packets.push((end.via, copy));
                }
                Stage::Opening => end.stage = Stage::Failed,
                Stage::Open if end.request.is_some() && now >= end.began + DEADLINE => {
                    self.world.record.say_at(
                        now,
                        &format!("{}>{} gives up at its deadline", flow.consumer, flow.route),
                    );
                    end.stage = Stage::Closed;
                }
                Stage::Open => {
                    if let Some(sent) = &end.unacked {
                        packets.push((end.via, sent.clone()));
                    }
                    end.pause = MAX_RESEND.min(end.pause * 2);
                    end.due = now + end.pause;
                }
                _ => {}
            }
        }
        for (via, packet) in packets {
            self.send(via, &packet);
        }
    }
}

impl End {
    /// Begins to send the request.
    fn start(&mut self, flow: &Flow, now: Instant) -> (Option<usize>, Packet) {
        let request = self.request.clone().unwrap_or_default();
        let text = format!(
            "POST /work HTTP/1.1\r\nX-Berylvalve-Request-Id: {request}\r\nContent-Length: 0\r\n\r\n"
        );
        let packet = self.write(flow, ACK, text.into_bytes());
        self.seq = packet.end();
        self.unacked = Some(packet.clone());
        self.began = now;
        self.pause = FIRST_RESEND;
        self.due = now + FIRST_RESEND;
        (self.via, packet)
    }

    fn write(&self, flow: &Flow, flags: u8, data: Vec<u8>) -> Packet {
        Packet {
            src: flow.consumer,
            dst: flow.route,
            seq: self.seq,
            ack: self.ack,
            flags,
            data,
        }
    }
}
