//! What processes learn of servers and of each other.

use std::{net::SocketAddrV4, time::Duration};

use berylvalve_core::{
    clock::Time,
    l4::server::{ServerReport, ServerState},
    member::{MemberState, Record, Role, View},
    owner_id::Incarnation,
};
use rand::Rng;

use super::{
    Event, MAX_NEWS_MS, Place, REPORT_INTERVAL, SERVER_PORT, Sent, World, address, domain, service,
};
use berylvalve_core::l4::routes::ServiceKey;

/// Time of all clocks at the start of the run, long after the starts of all servers: only the sequence of a report tells whether
/// it is the first one.
const UNIX_MS: u64 = 1 << 40;

/// Returns the time of all clocks at a point of the run.
fn unix_ms(time: Time) -> u64 {
    UNIX_MS + time.as_millis()
}

impl World {
    pub(super) fn report(&mut self, index: usize, life: u64) {
        let server = &mut self.servers[index];
        if !server.alive || server.life != life {
            return;
        }
        let sequence = server.sequence;
        server.sequence += 1;
        let report = ServerReport {
            id: format!("server-{index}-{life}"),
            service: service(index),
            address: SocketAddrV4::new(*address(Place::Agent(index)).ip(), SERVER_PORT),
            started_ms: life,
            sequence,
            state: match server.draining {
                true => ServerState::Draining,
                false => ServerState::Ready,
            },
            slots: server.slots as u16,
            warmup_left: Duration::ZERO,
        };
        self.after(REPORT_INTERVAL, Event::Report(index, life));
        let standing = self.standing[&Place::Agent(index)];
        if !standing.up || self.now < standing.frozen {
            return;
        }
        let mut sent = Sent::default();
        let taken = self.agents[index].apply_report(&report, UNIX_MS, self.now, &mut sent);
        if taken.is_err() {
            self.broke("a report of a live server was refused");
        }
        self.send(Place::Agent(index), sent);
        let state = match report.state {
            ServerState::Ready => MemberState::Ready,
            ServerState::Draining => MemberState::Draining,
        };
        let known = self.members.get(&address(Place::Agent(index)));
        if known.is_none_or(|record| record.state != state) {
            self.member(Place::Agent(index), state);
            self.tell_all(Duration::from_millis(MAX_NEWS_MS));
        }
    }

    pub(super) fn member(&mut self, place: Place, state: MemberState) {
        let (role, tag, index) = match place {
            Place::Balancer(index) => (Role::Balancer, ServiceKey::default().tag(), index),
            Place::Agent(index) => (Role::Agent, service(index).tag(), index),
        };
        let started = self.standing[&place].started;
        let record = Record {
            address: address(place),
            control: address(place),
            incarnation: Incarnation((unix_ms(started) / 100) as u32),
            domain: domain(index),
            role,
            service: tag,
            state,
            weight: 100,
            version: 0,
            revision: 1,
        };
        self.members.insert(address(place), record);
        self.view = self.view.next(self.members.clone());
    }

    /// Lets each process learn the members after a time of its own.
    pub(super) fn tell_all(&mut self, longest: Duration) {
        let places: Vec<Place> = self.standing.keys().copied().collect();
        for place in places {
            let delay = longest.mul_f64(self.rng.random());
            let view = Box::new(self.view.clone());
            self.after(delay, Event::News(place, view));
        }
    }

    pub(super) fn news(&mut self, place: Place, view: &View) {
        if self.deferred(place, || Event::News(place, Box::new(view.clone()))) {
            return;
        }
        // News of the same members can't overtake each other: later lives and versions win.
        let last = self.news.insert(place, view.version);
        if let Some(last) = last.filter(|last| *last > view.version) {
            self.news.insert(place, last);
            return;
        }
        let mut sent = Sent::default();
        match place {
            Place::Balancer(index) => {
                let balancer = &mut self.balancers[index];
                balancer.set_unix_ms(unix_ms(self.now), self.now);
                balancer.apply_view(view, self.now, &mut sent);
            }
            Place::Agent(index) => self.agents[index].apply_view(view),
        }
        self.send(place, sent);
    }
}
