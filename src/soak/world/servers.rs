//! Backend servers: their datagrams and their reports.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};

use berylvalve_core::{clock::unix_ms, l4::segment::Codec, store::JsonClient};
use berylvalve_platform_standin::{
    message::{self, Report},
    packet::PacketCodec,
};
use serde_json::Value;
use tokio::net::UdpSocket;

use super::{Due, Input, Place, World, listen};
use crate::{
    soak::place::{REPORT_MS, domain},
    trial::segments::{
        server::{Reaction, Server, Work},
        wire::Wire,
        witness::Home,
    },
};

/// Time in which a request should be answered, in milliseconds.
pub const TARGET_MS: u64 = 300;

/// Servers of the second service; the others belong to the first.
const MAPS_SHARE: usize = 3;

const SLOTS: usize = 4;
const WORK: Duration = Duration::from_millis(15);

/// Time for which a leaving server serves on after its report was acknowledged: `drain_ms` of the
/// platform's bounds and a little longer.
const LINGER_TIME: Duration = Duration::from_millis(3_500);

/// Time after which a leaving server ends without an acknowledgement.
const UNHEARD_TIME: Duration = Duration::from_secs(7);

/// Time until a server that has ended starts again.
const DOWN_TIME: Duration = Duration::from_millis(600);

/// Returns the name of a service.
pub fn service_name(desk: bool) -> &'static str {
    match desk {
        true => "desk",
        false => "maps",
    }
}

/// Returns the address of the first service.
pub fn desk_address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

/// Returns the address of the second service.
pub fn maps_address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 443)
}

impl World {
    /// Returns whether a server belongs to the first service.
    pub(super) fn is_desk(&self, server: usize) -> bool {
        !server.is_multiple_of(MAPS_SHARE)
    }

    pub(super) async fn open_servers(&mut self) -> std::io::Result<()> {
        for index in 0..self.options.size.agents {
            let ip = self.layout.ip(Place::Agent(index));
            let socket = UdpSocket::bind((ip, self.layout.ports.server)).await?;
            let socket = Arc::new(socket);
            let input = self.input.clone();
            listen(socket.clone(), input, move |datagram, _| {
                Input::ToServer(index, datagram)
            });
            self.server_sockets.push(socket);
            self.servers.push(Server::new(SLOTS, WORK));
            self.servers_born.push(unix_ms());
            let first = self.random_ms(0..REPORT_MS);
            self.after(first, Due::Report(index, 1));
        }
        Ok(())
    }

    /// Takes a datagram that an agent passed on.
    pub(super) fn reach_server(&mut self, index: usize, datagram: &[u8]) {
        let Some(segment) = PacketCodec.read(datagram) else {
            self.broke(format!("server {index} got bytes that are no segment"));
            return;
        };
        self.check_delivery(index, &segment, datagram);
        let flow = segment.flow_of_caller();
        let content = PacketCodec.content(datagram);
        let reaction = self.servers[index].receive(&segment, content, &mut self.rng);
        if reaction.opened {
            let life = self.servers[index].life;
            let home = Home {
                server: index,
                life,
            };
            self.witness.opened(flow, home);
        }
        if reaction.bounced {
            self.send_from_server(index, &PacketCodec.bounce(datagram));
        }
        self.react(index, reaction);
    }

    fn react(&mut self, index: usize, reaction: Reaction) {
        for outgoing in reaction.sent {
            let datagram = PacketCodec.write(&outgoing);
            self.answers.insert(PacketCodec.fixed(&datagram));
            self.send_from_server(index, &datagram);
        }
        let life = self.servers[index].life;
        for work in reaction.started {
            self.check_run(work.request);
            self.after(work.time, Due::Done(index, life, work));
        }
    }

    fn send_from_server(&self, index: usize, datagram: &[u8]) {
        let ip = self.layout.ip(Place::Agent(index));
        let target = SocketAddrV4::new(ip, self.layout.ports.outbound);
        if let Err(error) = self.server_sockets[index].try_send_to(datagram, target.into()) {
            tracing::debug!(event = "datagram_lost", server = index, %error);
        }
    }

    pub(super) fn done(&mut self, index: usize, life: u64, work: &Work) {
        if self.servers[index].life != life {
            return;
        }
        let reaction = self.servers[index].done(work, &mut self.rng);
        self.react(index, reaction);
    }

    /// Sends the next report of a server, and plans the one after it.
    pub(super) fn send_report(&mut self, index: usize, life: u64) {
        let desk = self.is_desk(index);
        let server = &mut self.servers[index];
        if !server.alive || server.life != life {
            return;
        }
        server.sequence += 1;
        let ip = self.layout.ip(Place::Agent(index));
        let report = Report {
            service: service_name(desk).to_owned(),
            address: SocketAddrV4::new(ip, self.layout.ports.server),
            domain: domain(index),
            slots: server.slots,
            is_draining: server.draining,
            sequence: server.sequence,
            started_ms: self.servers_born[index],
        }
        .body();
        let calls = JsonClient::new(vec![SocketAddrV4::new(ip, self.layout.ports.control)]);
        let input = self.input.clone();
        let path = message::report_path(&server_id(index, life));
        tokio::spawn(async move {
            let told = calls.post::<_, Value>(&path, &report).await;
            if let Err(error) = &told {
                tracing::debug!(event = "report_not_told", server = index, %error);
            }
            // The run may have ended.
            let _ = input.send(Input::Reported(index, life, told.is_ok())).await;
        });
        let pause = Duration::from_millis(REPORT_MS);
        self.after(pause, Due::Report(index, life));
    }

    pub(super) fn reported(&mut self, index: usize, life: u64, told: bool) {
        let server = &mut self.servers[index];
        if server.life != life || !server.draining || !told || server.left.is_some() {
            return;
        }
        server.left = Some(self.now);
        self.after(LINGER_TIME, Due::ServerGone(index, life));
    }

    /// Ends a server that leaves, and lets another one start in its place.
    pub(super) fn server_gone(&mut self, index: usize, life: u64) {
        if self.servers[index].life != life || !self.servers[index].alive {
            return;
        }
        let ip = self.layout.ip(Place::Agent(index));
        let calls = JsonClient::new(vec![SocketAddrV4::new(ip, self.layout.ports.control)]);
        let path = message::leave_path(&server_id(index, life));
        tokio::spawn(async move {
            if let Err(error) = calls.post::<_, Value>(&path, &Value::Null).await {
                tracing::debug!(event = "leave_not_told", server = index, %error);
            }
        });
        self.servers[index].crash();
        self.after(DOWN_TIME, Due::ServerBack(index));
    }

    pub(super) fn drain_server(&mut self, index: usize) -> bool {
        let desk = self.is_desk(index);
        let others = (0..self.servers.len()).filter(|other| *other != index);
        let covered = others
            .filter(|other| self.is_desk(*other) == desk)
            .any(|other| self.servers[other].alive && !self.servers[other].draining);
        let server = &mut self.servers[index];
        if !covered || !server.alive || server.draining {
            return false;
        }
        server.draining = true;
        let life = server.life;
        self.after(UNHEARD_TIME, Due::ServerGone(index, life));
        true
    }

    pub(super) fn crash_server(&mut self, index: usize, down: Duration) -> bool {
        if !self.servers[index].alive {
            return false;
        }
        self.servers[index].crash();
        self.after(down, Due::ServerBack(index));
        true
    }

    pub(super) fn server_back(&mut self, index: usize) {
        self.servers[index].alive = true;
        self.servers_born[index] = unix_ms();
        let life = self.servers[index].life;
        self.send_report(index, life);
    }
}

fn server_id(index: usize, life: u64) -> String {
    format!("server-{index}-{life}")
}
