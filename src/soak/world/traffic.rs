//! Callers and the routers between them and the balancers.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use berylvalve_core::{
    clock::Time,
    l4::segment::{Codec, FlowKey, Segment},
    store::JsonClient,
};
use berylvalve_platform_standin::{message::READINESS_PATH, packet::PacketCodec};
use serde_json::Value;
use tokio::{net::UdpSocket, time::sleep};

use super::{Due, Input, Place, World, listen, servers};
use crate::{
    soak::{LEAD_TIME, fault::Link, place::DOMAINS},
    trial::segments::{
        caller::{Caller, Seen, Stage},
        wire::{Outgoing, Wire},
    },
};

/// Pause between a caller's requests, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 50..400;

/// Pause of a caller after a refusal, in milliseconds.
const RETRY_MS: std::ops::Range<u64> = 30..120;

/// Time between two questions whether a balancer is ready.
const READY_INTERVAL: Duration = Duration::from_millis(500);

/// Time in which a balancer must answer them.
const READY_TIMEOUT: Duration = Duration::from_millis(450);

/// Misses after which a balancer is out of rotation.
const READY_MISSES: u32 = 2;

/// One in so many callers uses the address that was added last.
const EXTRA_SHARE: usize = 10;

/// Time for which callers go on with an address that was dropped.
const LINGER: Duration = Duration::from_secs(6);

/// Requests that a caller sends on one lasting flow.
const LASTING: u32 = 1_000;

impl World {
    pub(super) async fn open_callers(&mut self) -> std::io::Result<()> {
        for index in 0..self.options.size.callers {
            let ip = self.layout.caller(index);
            let socket = UdpSocket::bind((ip, self.layout.ports.datagram)).await?;
            let socket = Arc::new(socket);
            let input = self.input.clone();
            listen(socket.clone(), input, Input::ToCaller);
            self.caller_sockets.push(socket);
            let lasting = index % 3 != 0;
            let requests = if lasting { LASTING } else { 1 };
            let target = match index % 5 {
                0 => servers::maps_address(),
                _ => servers::desk_address(),
            };
            let due = Time::default() + LEAD_TIME + self.random_ms(0..1_000);
            let mut caller = Caller::new(ip, target, index % DOMAINS, requests, due);
            caller.idempotent = index % 2 == 0;
            self.callers.push(caller);
            self.at(due, Due::Caller(index));
        }
        Ok(())
    }

    pub(super) fn caller_due(&mut self, index: usize) {
        let caller = &self.callers[index];
        let refused = caller.flow.is_none() && caller.stage != Stage::Idle;
        if self.now < caller.due || refused {
            return;
        }
        if caller.stage == Stage::Idle {
            self.begin(index);
        }
        match self.callers[index].act(self.now) {
            Some(outgoing) => self.send(index, &outgoing),
            None => {
                self.callers[index].flow = None;
                self.try_again(index);
            }
        }
    }

    /// Counts a request that begins and chooses its address.
    fn begin(&mut self, index: usize) {
        self.report.requests += 1;
        if self.is_settled(self.now) {
            self.report.settled += 1;
        }
        if index % EXTRA_SHARE != 1 || self.callers[index].flow.is_some() {
            return;
        }
        let now = self.now;
        let usable = self.extras.iter().rev().find(|extra| match extra.dropped {
            Some(dropped) => now < dropped + LINGER,
            None => now >= extra.added + super::checks::CONFIG_TIME,
        });
        self.callers[index].address = usable.map_or(servers::desk_address(), |e| e.address);
    }

    /// Sends a caller's segment, and plans what the caller does next.
    fn send(&mut self, index: usize, outgoing: &Outgoing) {
        let due = self.callers[index].due;
        self.at(due, Due::Caller(index));
        self.pass(index, outgoing);
    }

    /// Passes a caller's segment to the balancer that the routers choose.
    fn pass(&mut self, index: usize, outgoing: &Outgoing) {
        let datagram = PacketCodec.write(outgoing);
        self.witness.wrote(PacketCodec.fixed(&datagram));
        let balancer = self.choose(index, &outgoing.segment);
        let flow = outgoing.segment.flow_of_caller();
        self.note_taker(flow, Place::Balancer(balancer));
        match self.rotation[balancer].link {
            Some(Link::Delayed(time)) => self.after(time, Due::Late(balancer, datagram)),
            Some(_) => {}
            None => self.send_to_balancer(balancer, &datagram),
        }
    }

    fn note_taker(&mut self, flow: FlowKey, place: Place) {
        let taker = (place, self.nodes[&place].started);
        let takers = self.takers.entry(flow).or_default();
        takers.retain(|earlier| *earlier != taker);
        takers.push(taker);
    }

    pub(super) fn send_to_balancer(&mut self, balancer: usize, datagram: &[u8]) {
        let ip = self.layout.ip(Place::Balancer(balancer));
        let target = SocketAddrV4::new(ip, self.layout.ports.datagram);
        if let Err(error) = self.caller_sockets[0].try_send_to(datagram, target.into()) {
            tracing::debug!(event = "datagram_lost", balancer, %error);
        }
    }

    /// Chooses a balancer as the platform's routers do: by a hash modulo the number of those in
    /// rotation in the caller's failure domain.
    fn choose(&self, index: usize, segment: &Segment) -> usize {
        let own = self.callers[index].domain;
        let all = 0..self.rotation.len();
        let near: Vec<usize> = all.clone().filter(|b| b % DOMAINS == own).collect();
        let ready = |balancers: &[usize]| -> Vec<usize> {
            let ready = balancers.iter().filter(|b| self.rotation[**b].ready);
            ready.copied().collect()
        };
        let mut chosen = ready(&near);
        if chosen.is_empty() {
            chosen = ready(&all.collect::<Vec<_>>());
        } else if 2 * chosen.len() < near.len() {
            chosen = near.clone();
        }
        if chosen.is_empty() {
            chosen = near;
        }
        let hash = usize::from(segment.source.port()) * 31 + index * 17;
        chosen.get(hash % chosen.len().max(1)).copied().unwrap_or(0)
    }

    /// Asks a balancer again and again whether it is ready, until the run ends.
    pub(super) fn watch_readiness(&self, balancer: usize) {
        let ip = self.layout.ip(Place::Balancer(balancer));
        let address = SocketAddrV4::new(ip, self.layout.ports.ready);
        let input = self.input.clone();
        tokio::spawn(async move {
            loop {
                // A connection of its own for each question, as a process may have started anew.
                let calls = JsonClient::new(vec![address]);
                let answer = calls.get::<Value>(READINESS_PATH, READY_TIMEOUT).await;
                let told = Input::Ready(balancer, answer.is_ok());
                if input.send(told).await.is_err() {
                    return;
                }
                sleep(READY_INTERVAL).await;
            }
        });
    }

    pub(super) fn rotate(&mut self, balancer: usize, ready: bool) {
        let rotation = &mut self.rotation[balancer];
        if ready {
            rotation.misses = 0;
            rotation.ready = true;
            return;
        }
        rotation.misses += 1;
        if rotation.misses >= READY_MISSES {
            rotation.ready = false;
        }
    }

    pub(super) fn reach_caller(&mut self, datagram: &[u8], sender: SocketAddrV4) {
        let Some(segment) = PacketCodec.read(datagram) else {
            self.broke(format!(
                "a caller got bytes that are no segment from {sender}"
            ));
            return;
        };
        let Some(index) = self.layout.caller_index(*segment.destination.ip()) else {
            self.broke(format!(
                "a segment for {} reached a caller",
                segment.destination
            ));
            return;
        };
        self.check_arrival(index, &segment, datagram, sender);
        let content = PacketCodec.content(datagram);
        let (seen, answer) = self.callers[index].receive(&segment, content, self.now);
        match seen {
            Seen::Opened(_) => {
                self.report.flows += 1;
                let due = self.callers[index].due;
                self.at(due, Due::Caller(index));
            }
            Seen::Answered(_) => self.answered(index),
            Seen::Reset => {
                self.report.second(self.now).refused += 1;
                let pause = self.random_ms(RETRY_MS);
                self.callers[index].due = self.now + pause;
                self.after(pause, Due::Retry(index));
            }
            Seen::Mixed => {
                self.broke("a caller got the answer to another request".to_owned());
                self.pause(index);
            }
            Seen::Nothing => {}
        }
        if let Some(answer) = answer {
            self.pass(index, &answer);
        }
    }

    fn answered(&mut self, index: usize) {
        self.report.second(self.now).served += 1;
        if self.is_settled(self.callers[index].began) {
            self.report.settled_served += 1;
        }
        if self.callers[index].answered >= self.callers[index].requests_per_flow {
            let last = self.callers[index].finish();
            self.pass(index, &last);
        }
        self.pause(index);
    }

    fn pause(&mut self, index: usize) {
        let due = self.now + self.random_ms(PAUSE_MS);
        self.callers[index].rest(due);
        self.at(due, Due::Caller(index));
    }

    pub(super) fn retry(&mut self, index: usize) {
        if self.callers[index].flow.is_none() {
            self.try_again(index);
        }
    }

    /// Opens another flow for the request in progress, or gives it up.
    fn try_again(&mut self, index: usize) {
        let caller = &mut self.callers[index];
        if caller.stage == Stage::Idle {
            return;
        }
        match caller.repeat(self.now) {
            Some(opening) => self.send(index, &opening),
            None => {
                self.report.second(self.now).given_up += 1;
                self.pause(index);
            }
        }
    }
}
