//! Backend servers: flows over UDP, health checks and status reports.

use std::{
    collections::HashMap,
    io::{BufReader, Read, Write},
    net::{SocketAddrV4, TcpListener, TcpStream, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    packet::{ACK, BOUNCED, FIN, Packet, RST, SYN, sum},
    record::Record,
    store::read_request,
};

pub const HEARTBEAT: Duration = Duration::from_millis(1200);

#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub app: SocketAddrV4,
    pub outbound: SocketAddrV4,
    pub control: SocketAddrV4,
    pub born: u64,
    /// Number of requests that ran.
    pub runs: Arc<AtomicU64>,
    /// Number of status reports that were acknowledged.
    pub acked: Arc<AtomicU64>,
    /// Packets that no sender wrote so.
    pub forged: Arc<AtomicU64>,
    flows: Arc<Mutex<HashMap<(SocketAddrV4, SocketAddrV4), Flow>>>,
    record: Record,
}

struct Flow {
    open: bool,
    ended: bool,
    seq: u32,
    first: u32,
    expected: u32,
    last: Vec<u8>,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

impl Server {
    pub fn start(
        id: &str,
        service: &str,
        (app, outbound, control): (SocketAddrV4, SocketAddrV4, SocketAddrV4),
        record: &Record,
    ) -> std::io::Result<Server> {
        let server = Server {
            id: id.to_owned(),
            service: service.to_owned(),
            app,
            outbound,
            control,
            born: unix_ms(),
            runs: Arc::default(),
            acked: Arc::default(),
            forged: Arc::default(),
            flows: Arc::default(),
            record: record.clone(),
        };
        let socket = UdpSocket::bind(app)?;
        let listener = TcpListener::bind(app)?;
        let serving = server.clone();
        thread::spawn(move || {
            let mut buffer = [0; 2048];
            loop {
                if let Ok((length, _)) = socket.recv_from(&mut buffer) {
                    serving.receive(&buffer[..length], &socket);
                }
            }
        });
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                thread::spawn(move || answer_health(stream));
            }
        });
        let reporting = server.clone();
        thread::spawn(move || {
            let mut sequence = 0;
            loop {
                let body = format!(
                    r#"{{"service":"{}","address":"{}","zone":"za","version":"v1","slots":4,"state":"ready","warmup_left_ms":0,"sequence":{sequence},"born":{}}}"#,
                    reporting.service, reporting.app, reporting.born
                );
                let status = report(reporting.control, &reporting.id, &body);
                reporting.record.say(format!("server {} reports ready {sequence}: {status}", reporting.id));
                if status / 100 == 2 {
                    reporting.acked.fetch_add(1, Ordering::SeqCst);
                }
                sequence += 1;
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(server)
    }

    /// Returns how many flows are open.
    pub fn open_flows(&self) -> usize {
        self.flows.lock().unwrap().values().filter(|flow| flow.open && !flow.ended).count()
    }

    fn receive(&self, bytes: &[u8], socket: &UdpSocket) {
        let Some(packet) = Packet::read(bytes) else {
            self.forged.fetch_add(1, Ordering::SeqCst);
            return;
        };
        if sum(bytes) != packet.sum || packet.flags & (SYN | ACK) == SYN | ACK {
            self.forged.fetch_add(1, Ordering::SeqCst);
            return;
        }
        let key = (packet.from, packet.to);
        let mut flows = self.flows.lock().unwrap();
        let reply = |flags: u8, seq: u32, ack: u32, data: &[u8]| Packet::write(packet.to, packet.from, flags, seq, ack, data);
        if packet.flags & SYN != 0 {
            let flow = flows.entry(key).or_insert_with(|| {
                let seq = (unix_ms() as u32).wrapping_mul(2_654_435_761) ^ u32::from(packet.from.port()) << 12;
                Flow { open: false, ended: false, seq: seq.wrapping_add(1), first: seq, expected: packet.seq.wrapping_add(1), last: Vec::new() }
            });
            if !flow.open {
                let _ = socket.send_to(&reply(SYN | ACK, flow.first, flow.expected, &[]), self.outbound);
            }
            return;
        }
        let held = flows.get_mut(&key).filter(|flow| flow.open || packet.ack == flow.first.wrapping_add(1));
        let Some(flow) = held else {
            drop(flows);
            let mut bounced = bytes.to_vec();
            bounced[30] |= BOUNCED;
            bounced[31..36].fill(0);
            let _ = socket.send_to(&bounced, self.outbound);
            return;
        };
        if flow.ended {
            if packet.flags & FIN != 0 {
                let _ = socket.send_to(&reply(ACK, flow.seq, flow.expected, &[]), self.outbound);
            }
            return;
        }
        flow.open = true;
        if packet.flags & RST != 0 {
            flow.ended = true;
            return;
        }
        if packet.flags & FIN != 0 && packet.seq == flow.expected {
            flow.ended = true;
            flow.expected = flow.expected.wrapping_add(1);
            let _ = socket.send_to(&reply(FIN | ACK, flow.seq, flow.expected, &[]), self.outbound);
            return;
        }
        if packet.data.is_empty() {
            return;
        }
        if packet.seq != flow.expected {
            // A repeated request: its answer was lost.
            let _ = socket.send_to(&flow.last, self.outbound);
            return;
        }
        flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
        let text = String::from_utf8_lossy(&packet.data).into_owned();
        let id = text.lines().find_map(|line| line.strip_prefix("X-Berylvalve-Request-Id: ")).unwrap_or("-").to_owned();
        let at = self.record.now();
        self.record.say_at(at, format!("server {} ({}) runs {id} of {}", self.id, self.service, packet.from));
        self.runs.fetch_add(1, Ordering::SeqCst);
        let body = format!("{} {}", self.service, self.id);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Berylvalve-Server-Stamp: {}\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        );
        flow.last = reply(ACK, flow.seq, flow.expected, answer.as_bytes());
        flow.seq = flow.seq.wrapping_add(answer.len() as u32);
        let _ = socket.send_to(&flow.last, self.outbound);
    }
}

fn answer_health(mut stream: TcpStream) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while read_request(&mut reader).is_some() {
        if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").is_err() {
            return;
        }
    }
}

/// Sends a status report and returns the status of the answer; 0 without one within a second.
pub fn report(control: SocketAddrV4, id: &str, body: &str) -> u16 {
    let path = format!("/-/instances/{id}/heartbeat");
    call(control, "POST", &path, body, Duration::from_secs(1)).unwrap_or(0)
}

/// Sends a request on a channel of its own and returns the status of the answer.
pub fn call(address: SocketAddrV4, method: &str, path: &str, body: &str, limit: Duration) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address.into(), limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = [0; 64];
    let length = stream.read(&mut answer).ok()?;
    std::str::from_utf8(&answer[..length]).ok()?.split_whitespace().nth(1)?.parse().ok()
}
