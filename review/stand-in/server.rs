//! Servers as PROTOCOL.md ("Flows", "Servers", "Service discovery") describes them.

use std::{
    collections::{HashMap, VecDeque},
    net::{SocketAddrV4, UdpSocket},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http,
    packet::{self, ACK, FIN, Flow, Packet, RST, SYN},
    world::{HEARTBEAT, World, place},
};

/// Requests that wait for a slot.
const QUEUE: usize = 8;
const FIRST_RESEND: Duration = Duration::from_millis(200);
const MAX_RESEND: Duration = Duration::from_millis(1600);
const MAX_RESENDS: u32 = 8;
const ID_HEADER: &str = "X-Berylvalve-Request-Id: ";

/// What the servers have seen, which is what the rules are judged by.
#[derive(Default)]
pub struct Seen {
    /// Opening packets that a server took: the first of each flow and server.
    pub openings: Vec<Opening>,
    /// When the server of a flow had the end of its handshake.
    pub opened: HashMap<Flow, Opening>,
    /// When each start of a server ended, by its id.
    pub ended: HashMap<String, Instant>,
    /// When the draining of each start of a server was acknowledged.
    pub drained: HashMap<String, Instant>,
    /// Packets that came altered or were not meant for a server.
    pub wrong: Vec<String>,
}

#[derive(Clone)]
pub struct Opening {
    pub flow: Flow,
    pub server: usize,
    pub id: String,
    pub at: Instant,
}

struct Life {
    id: String,
    born: u64,
    sequence: u64,
    draining: bool,
    flows: HashMap<Flow, End>,
    /// Requests in slots, with the time at which each is done.
    work: Vec<(Instant, Flow, String)>,
    queue: VecDeque<(Flow, String)>,
}

struct End {
    isn: u32,
    next: u32,
    received: u32,
    open: bool,
    finished: bool,
    sent: Vec<Sent>,
}

struct Sent {
    packet: Packet,
    due: Instant,
    pause: Duration,
    copies: u32,
}

pub struct Server {
    world: Arc<World>,
    seen: Arc<Mutex<Seen>>,
    index: usize,
    service: String,
    zone: String,
    slots: usize,
    work: Duration,
    socket: UdpSocket,
    life: Mutex<Option<Life>>,
    reported: Mutex<Option<Instant>>,
    random: Mutex<u64>,
}

impl Server {
    /// Returns the server on a side machine, which does not run yet.
    pub fn new(
        world: &Arc<World>,
        seen: &Arc<Mutex<Seen>>,
        index: usize,
        side: &str,
        (slots, work): (usize, Duration),
    ) -> Arc<Self> {
        let (service, zone) = place(side);
        let address = SocketAddrV4::new(world.sides[index].ip, world.ports.app);
        let server = Arc::new(Self {
            world: world.clone(),
            seen: seen.clone(),
            index,
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots,
            work,
            socket: UdpSocket::bind(address).expect("address of a server"),
            life: Mutex::new(None),
            reported: Mutex::new(None),
            random: Mutex::new(
                0x2545_f491_4f6c_dd1d ^ index as u64 ^ u64::from(std::process::id()) << 8,
            ),
        });
        let receiving = server.clone();
        thread::spawn(move || receiving.receive());
        let ticking = server.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(2));
                ticking.tick();
            }
        });
        server
    }

    /// Starts the server with an id; its clock is `clock_ms` off.
    pub fn start(self: &Arc<Self>, id: &str, clock_ms: i64) {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("clock")
            .as_millis() as i64;
        let born = (now + clock_ms) as u64;
        *self.life.lock().unwrap() = Some(Life {
            id: id.to_owned(),
            born,
            sequence: 0,
            draining: false,
            flows: HashMap::new(),
            work: Vec::new(),
            queue: VecDeque::new(),
        });
        self.world.record.say(&format!(
            "server {id} starts beside side-{}, born {born}",
            self.index + 1
        ));
        let server = self.clone();
        let id = id.to_owned();
        thread::spawn(move || {
            let mut due = Instant::now();
            while server.report(&id) {
                due += HEARTBEAT;
                thread::sleep(due.saturating_duration_since(Instant::now()));
            }
        });
    }

    /// Ends the server without a word.
    pub fn crash(&self) {
        if let Some(life) = self.life.lock().unwrap().take() {
            self.world
                .record
                .say(&format!("server {} crashes", life.id));
            self.seen
                .lock()
                .unwrap()
                .ended
                .insert(life.id, Instant::now());
        }
    }

    /// Says that the server leaves, and ends it, acknowledged or not.
    pub fn leave(&self) {
        let id = self
            .life
            .lock()
            .unwrap()
            .as_ref()
            .map(|life| life.id.clone());
        let Some(id) = id else { return };
        let ip = self.world.sides[self.index].ip;
        let control = SocketAddrV4::new(ip, self.world.ports.control);
        let path = format!("/-/instances/{id}/leave");
        let status = http::call(control, "POST", &path, "{}", Duration::from_secs(1));
        self.world
            .record
            .say(&format!("server {id} leaves: {status:?}"));
        *self.life.lock().unwrap() = None;
        self.seen.lock().unwrap().ended.insert(id, Instant::now());
    }

    /// Reports from now on that the server is draining, the first time at once.
    pub fn drain(&self) {
        let id = self.life.lock().unwrap().as_mut().map(|life| {
            life.draining = true;
            life.id.clone()
        });
        if let Some(id) = id {
            self.world.record.say(&format!("server {id} is draining"));
            self.report(&id);
        }
    }

    pub fn is_alive(&self, id: &str) -> bool {
        self.life
            .lock()
            .unwrap()
            .as_ref()
            .is_some_and(|life| life.id == id)
    }

    /// Sends a status report; returns whether the start with this id still runs.
    fn report(&self, id: &str) -> bool {
        let mut guard = self.life.lock().unwrap();
        let Some(life) = guard.as_mut().filter(|life| life.id == id) else {
            return false;
        };
        life.sequence += 1;
        let draining = life.draining;
        let state = if draining { "draining" } else { "ready" };
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}:{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"{state}\",\
             \"warmup_left_ms\":0,\"sequence\":{},\"born\":{}}}",
            self.service,
            self.world.sides[self.index].ip,
            self.world.ports.app,
            self.zone,
            self.slots,
            life.sequence,
            life.born
        );
        let sequence = life.sequence;
        drop(guard);
        let control = SocketAddrV4::new(self.world.sides[self.index].ip, self.world.ports.control);
        let path = format!("/-/instances/{id}/heartbeat");
        let status = http::call(control, "POST", &path, &body, Duration::from_secs(1));
        *self.reported.lock().unwrap() = Some(Instant::now());
        let told = status.map_or("no answer".to_owned(), |status| status.to_string());
        self.world.record.say(&format!(
            "server {id} reports {state}, sequence {sequence}: {told}"
        ));
        if draining && status.is_some_and(|status| (200..300).contains(&status)) {
            self.seen
                .lock()
                .unwrap()
                .drained
                .entry(id.to_owned())
                .or_insert_with(Instant::now);
        }
        true
    }

    /// Waits for the end of the next report, answered or not.
    pub fn wait_for_report(&self) -> Instant {
        let last = *self.reported.lock().unwrap();
        loop {
            thread::sleep(Duration::from_millis(1));
            let reported = *self.reported.lock().unwrap();
            if let Some(at) = reported.filter(|_| reported != last) {
                return at;
            }
        }
    }

    fn receive(&self) {
        let mut buffer = [0; 2048];
        loop {
            let Ok((length, _)) = self.socket.recv_from(&mut buffer) else {
                continue;
            };
            let answers = self.handle(&buffer[..length]);
            self.send(&answers);
        }
    }

    fn send(&self, packets: &[Vec<u8>]) {
        let outbound =
            SocketAddrV4::new(self.world.sides[self.index].ip, self.world.ports.outbound);
        for packet in packets {
            let _ = self.socket.send_to(packet, outbound);
        }
    }

    fn handle(&self, bytes: &[u8]) -> Vec<Vec<u8>> {
        let mut guard = self.life.lock().unwrap();
        let Some(life) = guard.as_mut() else {
            return Vec::new();
        };
        let now = Instant::now();
        let mut seen = self.seen.lock().unwrap();
        let Some((packet, true)) = Packet::decode(bytes) else {
            seen.wrong
                .push(format!("server {} got an altered packet", life.id));
            return Vec::new();
        };
        let flow = Flow {
            consumer: packet.src,
            route: packet.dst,
        };
        if packet.flags & (SYN | ACK) == SYN | ACK {
            seen.wrong.push(format!("server {} got a SYN+ACK", life.id));
            return Vec::new();
        }
        if packet.flags & SYN != 0 {
            let isn = self.random();
            let is_new = !life.flows.contains_key(&flow);
            let end = life.flows.entry(flow).or_insert_with(|| End {
                isn,
                next: isn.wrapping_add(1),
                received: packet.seq.wrapping_add(1),
                open: false,
                finished: false,
                sent: Vec::new(),
            });
            if is_new {
                let id = life.id.clone();
                seen.openings.push(Opening {
                    flow,
                    server: self.index,
                    id,
                    at: now,
                });
            }
            return vec![end.write(&flow, end.isn, SYN | ACK, Vec::new()).encode()];
        }
        let is_held = life.flows.get(&flow).is_some_and(|end| {
            end.open || packet.ack.wrapping_sub(end.isn) < 1 << 20 && packet.ack != end.isn
        });
        if !is_held {
            return vec![packet::bounce(bytes)];
        }
        let end = life.flows.get_mut(&flow).expect("held flow");
        if !std::mem::replace(&mut end.open, true) {
            let id = life.id.clone();
            seen.opened.entry(flow).or_insert(Opening {
                flow,
                server: self.index,
                id,
                at: now,
            });
        }
        if packet.flags & RST != 0 {
            life.flows.remove(&flow);
            return Vec::new();
        }
        end.sent.retain(|sent| {
            let last = sent
                .packet
                .end()
                .wrapping_add(u32::from(sent.packet.flags & FIN != 0));
            packet.ack.wrapping_sub(last) >= 1 << 31
        });
        let mut answers = Vec::new();
        if !packet.data.is_empty() {
            if packet.seq == end.received {
                end.received = packet.end();
                let text = String::from_utf8_lossy(&packet.data).into_owned();
                let id = text
                    .split_once(ID_HEADER)
                    .and_then(|(_, rest)| rest.split('\r').next());
                let request = id.unwrap_or("none").to_owned();
                if life.queue.len() < QUEUE {
                    life.queue.push_back((flow, request));
                } else {
                    let text = format!(
                        "HTTP/1.1 503 busy\r\n{ID_HEADER}{request}\r\nX-Berylvalve-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                    );
                    let answer = end.write(&flow, end.next, ACK, text.into_bytes());
                    end.next = answer.end();
                    answers.push(answer.encode());
                    end.sent.push(Sent::new(answer, now));
                }
            }
            answers.push(end.write(&flow, end.next, ACK, Vec::new()).encode());
        }
        if packet.flags & FIN != 0 && packet.end() == end.received {
            end.received = end.received.wrapping_add(1);
            if !std::mem::replace(&mut end.finished, true) {
                let fin = end.write(&flow, end.next, FIN | ACK, Vec::new());
                end.next = end.next.wrapping_add(1);
                answers.push(fin.encode());
                end.sent.push(Sent::new(fin, now));
            }
        }
        self.begin(life, now);
        answers
    }

    /// Takes requests from the queue while there are free slots.
    fn begin(&self, life: &mut Life, now: Instant) {
        while life.work.len() < self.slots {
            let Some((flow, request)) = life.queue.pop_front() else {
                return;
            };
            let line = format!(
                "server {} runs {request} of {}>{}",
                life.id, flow.consumer, flow.route
            );
            self.world.record.say_at(now, &line);
            life.work.push((now + self.work, flow, request));
        }
    }

    /// Ends work, and sends again what was not acknowledged.
    fn tick(&self) {
        let mut packets = Vec::new();
        let mut guard = self.life.lock().unwrap();
        let Some(life) = guard.as_mut() else { return };
        let now = Instant::now();
        let draining = life.draining;
        let (done, work): (Vec<_>, Vec<_>) = std::mem::take(&mut life.work)
            .into_iter()
            .partition(|(due, ..)| *due <= now);
        life.work = work;
        self.begin(life, now);
        for (_, flow, request) in done {
            let Some(end) = life.flows.get_mut(&flow) else {
                continue;
            };
            let text = format!(
                "HTTP/1.1 200 OK\r\n{ID_HEADER}{request}\r\nX-Berylvalve-Server-Stamp: {}\r\nContent-Length: 0\r\n\r\n",
                life.id
            );
            // A draining server closes a flow after its next response.
            let flags = if draining { ACK | FIN } else { ACK };
            let answer = end.write(&flow, end.next, flags, text.into_bytes());
            end.next = answer.end().wrapping_add(u32::from(draining));
            end.finished |= draining;
            packets.push(answer.encode());
            end.sent.push(Sent::new(answer, now));
        }
        for end in life.flows.values_mut() {
            for sent in end
                .sent
                .iter_mut()
                .filter(|sent| sent.due <= now && sent.copies < MAX_RESENDS)
            {
                sent.copies += 1;
                sent.pause = MAX_RESEND.min(sent.pause * 2);
                sent.due = now + sent.pause;
                packets.push(sent.packet.encode());
            }
        }
        drop(guard);
        self.send(&packets);
    }

    fn random(&self) -> u32 {
        let mut random = self.random.lock().unwrap();
        *random ^= *random << 13;
        *random ^= *random >> 7;
        *random ^= *random << 17;
        (*random >> 16) as u32
    }
}

impl End {
    fn write(&self, flow: &Flow, seq: u32, flags: u8, data: Vec<u8>) -> Packet {
        Packet {
            src: flow.route,
            dst: flow.consumer,
            seq,
            ack: self.received,
            flags,
            data,
        }
    }
}

impl Sent {
    fn new(packet: Packet, now: Instant) -> Self {
        Self {
            packet,
            due: now + FIRST_RESEND,
            pause: FIRST_RESEND,
            copies: 0,
        }
    }
}
