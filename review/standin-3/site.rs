//! A small deployment on loopback addresses: processes of the project, backend servers and callers.

use std::{
    collections::HashMap,
    fmt::Write as _,
    fs,
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddrV4, TcpStream, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::platform::Store;

const SYN: u8 = 16;
const ACK: u8 = 1;
const RST: u8 = 64;
const BOUNCED: u8 = 2;
const HEADER_BYTES: usize = 36;

/// Distance from a caller's last acknowledgement number within which a reset ends its flow.
const RESET_WINDOW: u32 = 76_800;

/// Time between two status reports of a server, as in the site file.
const HEARTBEAT_MS: u64 = 770;

/// Ports, the same on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    datagram: u16,
    ready: u16,
    control: u16,
    outbound: u16,
    app: u16,
    internal: u16,
}

impl Ports {
    /// Returns ports that are free on an address of the loopback network.
    fn find() -> Result<Self, String> {
        for base in (20_000..30_000).step_by(37) {
            let is_free = |port: u16| {
                UdpSocket::bind((Ipv4Addr::UNSPECIFIED, port)).is_ok()
                    && std::net::TcpListener::bind((Ipv4Addr::UNSPECIFIED, port)).is_ok()
            };
            if (base..base + 24).all(is_free) {
                return Ok(Self {
                    datagram: base,
                    ready: base + 1,
                    control: base + 2,
                    outbound: base + 3,
                    app: base + 4,
                    internal: base + 8,
                });
            }
        }
        Err("no free ports".to_owned())
    }
}

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<String>>,
}

impl Record {
    pub fn add(&self, line: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.lines.lock().unwrap(), "{at:8.3} {line}");
    }
}

/// The deployment. Dropping it ends its processes and writes the record.
pub struct Site {
    pub record: Record,
    pub store: Arc<Store>,
    ports: Ports,
    program: String,
    folder: PathBuf,
    record_file: String,
    children: Vec<(String, Child)>,
    stop: Arc<AtomicBool>,
}

impl Site {
    /// Starts the store and nothing else.
    pub fn start(program: &str, record_file: &str) -> Result<Self, String> {
        let text = |error: std::io::Error| error.to_string();
        let unique = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_nanos();
        let folder = std::env::temp_dir().join(format!("review-3-{unique}"));
        fs::create_dir_all(&folder).map_err(text)?;
        Ok(Self {
            record: Record {
                start: Instant::now(),
                lines: Arc::default(),
            },
            store: Store::start(Ipv4Addr::new(127, 20, 0, 1)).map_err(text)?,
            ports: Ports::find()?,
            program: program.to_owned(),
            folder,
            record_file: record_file.to_owned(),
            children: Vec::new(),
            stop: Arc::default(),
        })
    }

    /// Starts a process of the project on a machine, with settings like those that the deploy file passes on.
    /// `service` is that of the server beside an agent.
    pub fn start_process(
        &mut self,
        ip: Ipv4Addr,
        zone: &str,
        service: Option<&str>,
    ) -> Result<(), String> {
        let ports = self.ports;
        let at = |port: u16| format!("\"{ip}:{port}\"");
        let seeds: Vec<String> = (1..=3)
            .map(|zone| format!("\"127.20.{zone}.10:{}\"", ports.control))
            .collect();
        let role = if service.is_some() {
            "agent"
        } else {
            "balancer"
        };
        let name = format!("{role}-{zone}-{ip}");
        let extra = match service {
            None => format!("\"control\":{}}}", at(ports.control)),
            Some(service) => format!(
                "\"outbound\":{},\"control\":{}}},\"app\":{},\"service\":\"{service}\"",
                at(ports.outbound),
                at(ports.control),
                at(ports.app)
            ),
        };
        let settings = format!(
            "{{\"node\":\"{name}\",\"role\":\"{role}\",\"ip\":\"{ip}\",\"zone\":\"{zone}\",\"region\":\"review\",\
             \"zones\":{{\"zone-1\":\"review\",\"zone-2\":\"review\",\"zone-3\":\"review\"}},\
             \"listen_addrs\":{{\"datagram_address\":{},\"ready\":{},{extra},\
             \"internal_ports\":[{},{}],\"seeds\":[{}],\"bootstrap\":true,\
             \"limits\":{{\"link_mbps\":1000.0}},\"heartbeat_ms\":{HEARTBEAT_MS},\
             \"bounds\":{{\"contact_ms\":4000,\"drain_ms\":3000,\"config_apply_ms\":3000,\"max_flow_s\":60}},\
             \"hash\":\"mod\",\"forwarding_mode\":\"agent\",\
             \"platform\":{{\"address\":\"{}\",\"history_s\":20}}}}",
            at(ports.datagram),
            at(ports.ready),
            ports.internal,
            ports.internal + 15,
            seeds.join(","),
            self.store.address,
        );
        let file = self.folder.join(format!("{name}.json"));
        fs::write(&file, settings).map_err(|error| error.to_string())?;
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .map_err(|error| error.to_string())?;
        let child = Command::new(&self.program)
            .arg(role)
            .env_clear()
            .env("BERYLVALVE_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .map_err(|error| format!("{}: {error}", self.program))?;
        self.record.add(&format!("{name} starts"));
        self.children.push((name, child));
        Ok(())
    }

    /// Ends the process on a machine without a signal that it could handle, as a loss of power does.
    pub fn lose(&mut self, ip: Ipv4Addr) {
        let end = format!("-{ip}");
        let running = |child: &mut Child| matches!(child.try_wait(), Ok(None));
        for (name, child) in &mut self.children {
            if name.ends_with(&end) && running(child) {
                let _ = child.kill();
                let _ = child.wait();
                self.record.add(&format!("{name} loses power"));
            }
        }
    }

    /// Starts a server beside an agent. It reports itself, and answers each request on its flows.
    pub fn start_server(
        &self,
        ip: Ipv4Addr,
        zone: &str,
        service: &str,
    ) -> Result<Arc<Server>, String> {
        let socket = UdpSocket::bind((ip, self.ports.app)).map_err(|error| error.to_string())?;
        let server = Arc::new(Server {
            service: service.to_owned(),
            ip,
            run: Mutex::default(),
            acks: AtomicU64::new(0),
        });
        let (record, outbound) = (
            self.record.clone(),
            SocketAddrV4::new(ip, self.ports.outbound),
        );
        let (running, stop) = (server.clone(), self.stop.clone());
        thread::spawn(move || running.serve(&socket, outbound, &record, &stop));
        let (reporting, stop) = (server.clone(), self.stop.clone());
        let (control, app) = (SocketAddrV4::new(ip, self.ports.control), self.ports.app);
        let zone = zone.to_owned();
        thread::spawn(move || reporting.report(control, app, &zone, &stop));
        Ok(server)
    }

    /// Writes a config whose routes lead to services.
    pub fn put_config(&self, version: u64, timeout_ms: u64, routes: &[(SocketAddrV4, &str)]) {
        let routes: Vec<String> = routes
            .iter()
            .enumerate()
            .map(|(index, (address, service))| {
                format!(
                    "{{\"name\":\"route-{index}\",\"hostname\":\"{}\",\"prefix\":\"/{}/\",\"type\":\"unsafe\",\
                     \"timeout_ms\":{timeout_ms},\"target_latency_ms\":300,\"priority\":1,\
                     \"service\":\"{service}\",\"max_attempts\":2}}",
                    address.ip(),
                    address.port()
                )
            })
            .collect();
        let config = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[],\"limits\":{{\"idle_timeout_ms\":15000}}}}",
            routes.join(",")
        );
        self.store.put("op/config", config.as_bytes());
        self.record.add(&format!(
            "the store acknowledges config {version}: {}",
            routes.join(" ")
        ));
    }

    /// Waits until a process answers its readiness check with 200.
    pub fn await_ready(&self, ip: Ipv4Addr, until: Instant) -> Result<(), String> {
        while Instant::now() < until {
            let address = SocketAddrV4::new(ip, self.ports.ready);
            if http(address, "GET /-/readiness", "").is_some_and(|status| status == 200) {
                self.record.add(&format!("{ip} is ready"));
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err(format!("{ip} is not ready in time"))
    }

    /// Returns a caller's host.
    pub fn caller(&self, ip: Ipv4Addr) -> Result<Caller, String> {
        let socket =
            UdpSocket::bind((ip, self.ports.datagram)).map_err(|error| error.to_string())?;
        Ok(Caller {
            socket,
            ip,
            next_port: 40_000,
            ports: self.ports,
            record: self.record.clone(),
        })
    }

    /// Returns the lines of the processes' logs that hold one of some words.
    pub fn logged(&self, words: &[&str]) -> String {
        let mut found = String::new();
        for (name, _) in &self.children {
            let log =
                fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default();
            for line in log
                .lines()
                .filter(|line| words.iter().any(|word| line.contains(word)))
            {
                let _ = writeln!(found, "  {name}: {line}");
            }
        }
        found
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for (_, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::write(
            &self.record_file,
            self.record.lines.lock().unwrap().as_str(),
        );
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A backend server.
pub struct Server {
    pub service: String,
    pub ip: Ipv4Addr,
    /// Requests that it ran, with their times.
    pub run: Mutex<Vec<(Instant, String)>>,
    /// Number of its status reports that were acknowledged.
    pub acks: AtomicU64,
}

impl Server {
    fn serve(
        &self,
        socket: &UdpSocket,
        outbound: SocketAddrV4,
        record: &Record,
        stop: &AtomicBool,
    ) {
        let mut flows: HashMap<(u32, u16, u32, u16), ServerFlow> = HashMap::new();
        let mut buffer = [0; 2048];
        let _ = socket.set_read_timeout(Some(Duration::from_millis(200)));
        while !stop.load(Ordering::SeqCst) {
            let Ok((length, _)) = socket.recv_from(&mut buffer) else {
                continue;
            };
            let packet = &buffer[..length];
            let Some(segment) = Segment::read(packet) else {
                continue;
            };
            let flow = (segment.src, segment.sport, segment.dst, segment.dport);
            if segment.flags & SYN != 0 {
                let new = ServerFlow::new(random() as u32);
                let initial = flows.entry(flow).or_insert(new).initial;
                let answer = segment.answer(SYN | ACK, initial, segment.seq.wrapping_add(1));
                let _ = socket.send_to(&answer.write(b""), outbound);
                continue;
            }
            let Some(known) = flows.get_mut(&flow) else {
                let mut bounced = packet.to_vec();
                bounced[30] |= BOUNCED;
                bounced[31..36].fill(0);
                let _ = socket.send_to(&bounced, outbound);
                continue;
            };
            let data = &packet[HEADER_BYTES..];
            if data.is_empty() || segment.flags & RST != 0 {
                continue;
            }
            let id = request_id(data);
            let mut run = self.run.lock().unwrap();
            if !run.iter().any(|(_, known)| *known == id) {
                run.push((Instant::now(), id.clone()));
                record.add(&format!(
                    "{} at {} runs request {id}",
                    self.service, self.ip
                ));
            }
            drop(run);
            let body = format!(
                "HTTP/1.1 200 OK\r\nX-Berylvalve-Request-Id: {id}\r\nX-Berylvalve-Server-Stamp: {}\r\n\
                 Content-Length: 0\r\n\r\n",
                self.service
            );
            // A request that was sent again gets the same answer.
            let sequence = match known.answered {
                Some((request, sequence)) if request == segment.seq => sequence,
                _ => {
                    let sequence = known.next;
                    known.next = sequence.wrapping_add(body.len() as u32);
                    known.answered = Some((segment.seq, sequence));
                    sequence
                }
            };
            let end = segment.seq.wrapping_add(data.len() as u32);
            let answer = segment.answer(ACK, sequence, end);
            let _ = socket.send_to(&answer.write(body.as_bytes()), outbound);
        }
    }

    fn report(&self, control: SocketAddrV4, app: u16, zone: &str, stop: &AtomicBool) {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis();
        let id = format!("i-{:08x}", random() as u32);
        for sequence in 0.. {
            if stop.load(Ordering::SeqCst) {
                return;
            }
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}:{app}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":2,\
                 \"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":{sequence},\"born\":{born}}}",
                self.service, self.ip
            );
            let status = http(control, &format!("POST /-/instances/{id}/heartbeat"), &body);
            if status == Some(200) {
                self.acks.fetch_add(1, Ordering::SeqCst);
                thread::sleep(Duration::from_millis(HEARTBEAT_MS));
            } else {
                thread::sleep(Duration::from_millis(100));
            }
        }
    }
}

/// A flow at its server.
struct ServerFlow {
    initial: u32,
    /// Sequence number of the next answer.
    next: u32,
    /// Sequence numbers of the last request and of its answer.
    answered: Option<(u32, u32)>,
}

impl ServerFlow {
    fn new(initial: u32) -> Self {
        Self {
            initial,
            next: initial.wrapping_add(1),
            answered: None,
        }
    }
}

/// What became of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The server of this service answered.
    Answered(String),
    /// The system reset the flow before it was open.
    Refused,
    /// A reset ended the open flow.
    Reset,
    /// Nothing came in time.
    Silent,
}

/// A caller's host, which opens a flow for each request.
pub struct Caller {
    socket: UdpSocket,
    ip: Ipv4Addr,
    next_port: u16,
    ports: Ports,
    record: Record,
}

impl Caller {
    /// Opens a flow to a route through a balancer and sends a request on it. The router of the platform hands
    /// the packets of a flow to one balancer.
    pub fn request(&mut self, balancer: Ipv4Addr, route: SocketAddrV4, id: &str) -> Outcome {
        match self.open(balancer, route, id) {
            Ok(mut flow) => self.request_on(&mut flow, balancer, id),
            Err(outcome) => outcome,
        }
    }

    /// Opens a flow to a route through a balancer.
    pub fn open(
        &mut self,
        balancer: Ipv4Addr,
        route: SocketAddrV4,
        id: &str,
    ) -> Result<Segment, Outcome> {
        let port = self.next_port;
        self.next_port += 1;
        let balancer = SocketAddrV4::new(balancer, self.ports.datagram);
        let syn = Segment {
            src: u32::from(self.ip),
            sport: port,
            dst: u32::from(*route.ip()),
            dport: route.port(),
            seq: random() as u32,
            ack: 0,
            flags: SYN,
        };
        self.record.add(&format!(
            "a flow for request {id} to {route} is opened through {balancer}"
        ));
        let start = Instant::now();
        for (copy, end_ms) in [(0, 200), (1, 600), (2, 1_400)] {
            let _ = self
                .socket
                .send_to(&Segment { ack: copy, ..syn }.write(b""), balancer);
            match self.receive(&syn, start + Duration::from_millis(end_ms)) {
                Some((segment, _)) if segment.flags & RST != 0 => {
                    return Err(self.ends(id, Outcome::Refused));
                }
                Some((segment, _)) if segment.flags & SYN != 0 => {
                    return Ok(Segment {
                        seq: syn.seq.wrapping_add(1),
                        ack: segment.seq.wrapping_add(1),
                        flags: ACK,
                        ..syn
                    });
                }
                _ => {}
            }
        }
        Err(self.ends(id, Outcome::Silent))
    }

    /// Sends a request on an open flow through a balancer, and sends it again until it is answered.
    pub fn request_on(&mut self, flow: &mut Segment, balancer: Ipv4Addr, id: &str) -> Outcome {
        let balancer = SocketAddrV4::new(balancer, self.ports.datagram);
        self.record.add(&format!(
            "request {id} is sent through {balancer} on flow {}",
            flow.sport
        ));
        let data = format!(
            "POST /work HTTP/1.1\r\nX-Berylvalve-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n"
        );
        let start = Instant::now();
        for end_ms in [200, 600, 1_400, 3_000] {
            let _ = self.socket.send_to(&flow.write(data.as_bytes()), balancer);
            while let Some((segment, answer)) =
                self.receive(flow, start + Duration::from_millis(end_ms))
            {
                // A caller ignores a reset that doesn't fit its last acknowledgement number.
                let distance = segment
                    .seq
                    .wrapping_sub(flow.ack)
                    .cast_signed()
                    .unsigned_abs();
                if segment.flags & RST != 0 && distance <= RESET_WINDOW {
                    return self.ends(id, Outcome::Reset);
                }
                let text = String::from_utf8_lossy(&answer).into_owned();
                if segment.seq != flow.ack || request_id(&answer) != id {
                    continue;
                }
                if let Some((_, rest)) = text.split_once("Server-Stamp: ") {
                    flow.seq = flow.seq.wrapping_add(data.len() as u32);
                    flow.ack = flow.ack.wrapping_add(answer.len() as u32);
                    let service = rest.lines().next().unwrap_or("").to_owned();
                    return self.ends(id, Outcome::Answered(service));
                }
            }
        }
        self.ends(id, Outcome::Silent)
    }

    fn ends(&self, id: &str, outcome: Outcome) -> Outcome {
        self.record.add(&format!("request {id} ends: {outcome:?}"));
        outcome
    }

    /// Returns the next packet of a flow that arrives before a time.
    fn receive(&self, syn: &Segment, until: Instant) -> Option<(Segment, Vec<u8>)> {
        let mut buffer = [0; 2048];
        loop {
            let left = until.checked_duration_since(Instant::now())?;
            let _ = self
                .socket
                .set_read_timeout(Some(left.max(Duration::from_millis(1))));
            let (length, _) = self.socket.recv_from(&mut buffer).ok()?;
            let packet = &buffer[..length];
            let segment = Segment::read(packet)?;
            if segment.dport == syn.sport && segment.src == syn.dst && segment.sport == syn.dport {
                return Some((segment, packet[HEADER_BYTES..].to_vec()));
            }
        }
    }
}

/// The header of a packet, without `len`, `sum` and the fields that the ends of a flow don't use.
#[derive(Clone, Copy)]
pub struct Segment {
    src: u32,
    sport: u16,
    dst: u32,
    dport: u16,
    seq: u32,
    ack: u32,
    flags: u8,
}

impl Segment {
    fn read(packet: &[u8]) -> Option<Self> {
        let header = packet.get(..HEADER_BYTES)?;
        let u16_at = |at: usize| u16::from_be_bytes([header[at], header[at + 1]]);
        let u32_at = |at: usize| {
            u32::from_be_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]])
        };
        Some(Self {
            dst: u32_at(6),
            sport: u16_at(10),
            dport: u16_at(12),
            src: u32_at(14),
            seq: u32_at(18),
            ack: u32_at(22),
            flags: header[30],
        })
    }

    fn answer(&self, flags: u8, seq: u32, ack: u32) -> Self {
        Self {
            src: self.dst,
            sport: self.dport,
            dst: self.src,
            dport: self.sport,
            seq,
            ack,
            flags,
        }
    }

    fn write(&self, data: &[u8]) -> Vec<u8> {
        let mut packet = vec![0; HEADER_BYTES];
        packet[4..6].copy_from_slice(&(data.len() as u16).to_be_bytes());
        packet[6..10].copy_from_slice(&self.dst.to_be_bytes());
        packet[10..12].copy_from_slice(&self.sport.to_be_bytes());
        packet[12..14].copy_from_slice(&self.dport.to_be_bytes());
        packet[14..18].copy_from_slice(&self.src.to_be_bytes());
        packet[18..22].copy_from_slice(&self.seq.to_be_bytes());
        packet[22..26].copy_from_slice(&self.ack.to_be_bytes());
        packet[30] = self.flags;
        packet.extend(data);
        packet
    }
}

fn request_id(data: &[u8]) -> String {
    let text = String::from_utf8_lossy(data);
    let rest = text
        .split_once("X-Berylvalve-Request-Id: ")
        .map_or("", |(_, rest)| rest);
    rest.lines().next().unwrap_or("").to_owned()
}

/// Returns a number that is random enough for sequence numbers and ids.
fn random() -> u64 {
    use std::hash::{BuildHasher, Hasher, RandomState};
    RandomState::new().build_hasher().finish()
}

/// Sends a request on a connection of its own and returns the status.
fn http(address: SocketAddrV4, call: &str, body: &str) -> Option<u16> {
    let limit = Duration::from_secs(1);
    let mut socket = TcpStream::connect_timeout(&address.into(), limit).ok()?;
    socket.set_read_timeout(Some(limit)).ok()?;
    let text = format!(
        "{call} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n{body}",
        body.len()
    );
    socket.write_all(text.as_bytes()).ok()?;
    let mut reply = String::new();
    let _ = socket.read_to_string(&mut reply);
    reply.split(' ').nth(1)?.parse().ok()
}
