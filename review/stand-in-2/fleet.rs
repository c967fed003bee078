//! The machines of a case: loopback addresses, ports, settings files and the project's processes.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{record::Record, server::HEARTBEAT};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

const SIGTERM: i32 = 15;

/// Ports, the same on all machines.
const DATAGRAM: u16 = 0;
const READY: u16 = 1;
const CONTROL: u16 = 2;
const OUTBOUND: u16 = 3;
const APP: u16 = 4;
const STORE: u16 = 5;
const INTERNAL: u16 = 6;
const PORTS: u16 = 12;

pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    zone: &'static str,
    /// Service of a side machine; `None` on a front machine.
    pub service: Option<&'static str>,
    process: Option<Child>,
}

pub struct Fleet {
    pub machines: Vec<Machine>,
    base: u16,
    net: [u8; 2],
    folder: PathBuf,
    record: Record,
}

impl Fleet {
    /// Returns a fleet of two front machines in two zones, and of side machines with these services.
    pub fn new(services: &[&'static str], record: &Record) -> Result<Fleet, String> {
        let pid = std::process::id();
        let net = [100 + (pid % 100) as u8, (pid / 100 % 250) as u8];
        let zones = ["za", "zb"];
        let mut machines = Vec::new();
        for index in 0..2 {
            machines.push(Machine {
                name: format!("front-{}-1", zones[index]),
                ip: Ipv4Addr::new(127, net[0], net[1], 11 + index as u8),
                zone: zones[index],
                service: None,
                process: None,
            });
        }
        for (index, service) in services.iter().enumerate() {
            machines.push(Machine {
                name: format!("side-{}-{}", zones[index % 2], index / 2 + 1),
                ip: Ipv4Addr::new(127, net[0], net[1], 21 + index as u8),
                zone: zones[index % 2],
                service: Some(service),
                process: None,
            });
        }
        let ips: Vec<Ipv4Addr> = machines.iter().map(|machine| machine.ip).chain([ip(net, 1), ip(net, 2)]).collect();
        let mut bases = (0..40).map(|index| 20_000 + ((pid + index * 37) % 900) as u16 * PORTS);
        let base = bases.find(|base| ips.iter().all(|ip| are_free(*ip, *base))).ok_or("no free ports")?;
        let folder = std::env::temp_dir().join(format!("review-2-{pid}"));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        Ok(Fleet { machines, base, net, folder, record: record.clone() })
    }

    pub fn store(&self) -> SocketAddrV4 {
        SocketAddrV4::new(ip(self.net, 1), self.base + STORE)
    }

    pub fn consumer(&self) -> SocketAddrV4 {
        SocketAddrV4::new(ip(self.net, 2), self.base + DATAGRAM)
    }

    /// Returns an address that consumers send to; nothing listens there.
    pub fn route(&self, number: u8) -> SocketAddrV4 {
        SocketAddrV4::new(ip(self.net, 200 + number), 443)
    }

    pub fn fronts(&self) -> Vec<(SocketAddrV4, SocketAddrV4)> {
        let fronts = self.machines.iter().filter(|machine| machine.service.is_none());
        fronts.map(|machine| (self.address(machine, DATAGRAM), self.address(machine, READY))).collect()
    }

    /// Returns the addresses of a side machine's server: its own, where it sends, and for its reports.
    pub fn server_addresses(&self, machine: &Machine) -> (SocketAddrV4, SocketAddrV4, SocketAddrV4) {
        (self.address(machine, APP), self.address(machine, OUTBOUND), self.address(machine, CONTROL))
    }

    pub fn start(&mut self, index: usize) -> Result<(), String> {
        let settings = self.settings(&self.machines[index]);
        let machine = &mut self.machines[index];
        let path = self.folder.join(format!("{}.json", machine.name));
        fs::write(&path, settings).map_err(|error| error.to_string())?;
        let log = fs::OpenOptions::new().create(true).append(true).open(self.folder.join(format!("{}.log", machine.name)));
        let role = match machine.service {
            Some(_) => "agent",
            None => "balancer",
        };
        let child = Command::new("target/deploy/berylvalve-node")
            .arg(role)
            .env_clear()
            .env("BERYLVALVE_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(log.map_err(|error| error.to_string())?)
            .stderr(Stdio::null())
            .spawn();
        machine.process = Some(child.map_err(|error| format!("target/deploy/berylvalve-node: {error}"))?);
        self.record.say(format!("{} starts", machine.name));
        Ok(())
    }

    /// Sends SIGTERM to a machine's process and waits until it has ended, as the platform does.
    pub fn terminate(&mut self, index: usize) -> Result<(), String> {
        let machine = &mut self.machines[index];
        let Some(mut child) = machine.process.take() else {
            return Err(format!("{} does not run", machine.name));
        };
        self.record.say(format!("{} gets SIGTERM", machine.name));
        unsafe { kill(child.id() as i32, SIGTERM) };
        let deadline = Instant::now() + Duration::from_secs(6);
        while Instant::now() < deadline {
            if child.try_wait().map_err(|error| error.to_string())?.is_some() {
                self.record.say(format!("{} has ended", machine.name));
                return Ok(());
            }
            thread::sleep(Duration::from_millis(5));
        }
        let _ = child.kill();
        let _ = child.wait();
        Ok(())
    }

    /// Returns the processes that have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for machine in &mut self.machines {
            if let Some(child) = &mut machine.process
                && let Ok(Some(status)) = child.try_wait()
            {
                ended.push(format!("{}: {status}", machine.name));
            }
        }
        ended
    }

    /// Ends all processes, and copies the lines of their logs that hold one of `words` into the record.
    pub fn stop(&mut self, words: &[&str]) {
        for machine in &mut self.machines {
            if let Some(mut child) = machine.process.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        for machine in &self.machines {
            let log = fs::read_to_string(self.folder.join(format!("{}.log", machine.name))).unwrap_or_default();
            for line in log.lines().filter(|line| words.iter().any(|word| line.contains(word))) {
                let (at, rest) = match line.split_once(' ') {
                    Some((time, rest)) if time.starts_with("time=") => (self.time_of(time), rest),
                    _ => (0.0, line),
                };
                self.record.say_at(at, format!("log of {}: {rest}", machine.name));
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }

    /// Returns the time in the record of a time in a log, whose date is today's or yesterday's.
    fn time_of(&self, time: &str) -> f64 {
        let clock = time.split('T').nth(1).unwrap_or_default().trim_end_matches('Z');
        let parts: Vec<f64> = clock.split(':').filter_map(|part| part.parse().ok()).collect();
        let now_s = crate::server::unix_ms() as f64 / 1000.0;
        let log_s = parts.iter().fold(0.0, |sum, part| sum * 60.0 + part);
        let ago = (now_s.rem_euclid(86_400.0) - log_s).rem_euclid(86_400.0);
        self.record.now() - ago
    }

    fn address(&self, machine: &Machine, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(machine.ip, self.base + port)
    }

    /// Returns the settings as `deploy/settings.json` renders them: all fields, as JSON.
    fn settings(&self, machine: &Machine) -> String {
        let address = |port| format!("\"{}\"", self.address(machine, port));
        let seeds: Vec<String> = self.fronts().iter().map(|(data, _)| format!("\"{}:{}\"", data.ip(), self.base + CONTROL)).collect();
        let (class, serves, own) = match machine.service {
            Some(service) => (
                "side",
                r#"["side"]"#,
                format!(
                    r#""listen_addrs":{{"datagram_address":{},"outbound":{},"ready":{},"control":{}}},"service":"{service}","app":{}"#,
                    address(DATAGRAM), address(OUTBOUND), address(READY), address(CONTROL), address(APP)
                ),
            ),
            None => (
                "front",
                r#"["front","control"]"#,
                format!(
                    r#""listen_addrs":{{"datagram_address":{},"ready":{},"control":{}}}"#,
                    address(DATAGRAM), address(READY), address(CONTROL)
                ),
            ),
        };
        format!(
            r#"{{"node":"{}","role":"{class}","machine_class":"{class}","serves":{serves},"ip":"{}","zone":"{}","region":"rg","zones":{{"za":"rg","zb":"rg"}},{own},"internal_ports":[{},{}],"seeds":[{}],"bootstrap":true,"in_fault_budget":false,"limits":{{"cpu_share":0.25,"cores":1,"memory_mb":260,"max_fds":4100,"link_mbps":1000.0,"disk_mb":0}},"data_dir":null,"discovery":"local","entry":"announce","heartbeat_ms":{},"contracts":["base","drain","config","cost","recover","flows","platform"],"fault_tolerance":{{"machines":1,"zones":0,"regions":0}},"bounds":{{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":4000,"ack_ms":5000,"catch_up_s":4,"drain_ms":3000,"grace_s":6,"loss_slack_ms":200,"config_apply_ms":3000,"rollback_slack_ms":250,"max_stretch_ms":12000,"recover_s":12,"flow_ms":2000,"max_flow_s":60}},"hash":"mod","forwarding_mode":"agent","platform":{{"address":"{}","forwarding_mode":"kv","writes_per_s":400,"reads_per_s":2000,"history_s":20,"value_bytes":1048576,"ttl_min_ms":1000}}}}"#,
            machine.name,
            machine.ip,
            machine.zone,
            self.base + INTERNAL,
            self.base + PORTS - 1,
            seeds.join(","),
            HEARTBEAT.as_millis(),
            self.store(),
        )
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            if let Some(mut child) = machine.process.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn ip(net: [u8; 2], host: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, net[0], net[1], host)
}

fn are_free(ip: Ipv4Addr, base: u16) -> bool {
    (base..base + PORTS).all(|port| {
        let address = SocketAddrV4::new(ip, port);
        TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
    })
}

pub fn exists() -> bool {
    Path::new("target/deploy/berylvalve-node").exists()
}
