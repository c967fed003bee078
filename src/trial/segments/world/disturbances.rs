//! What faults do to the processes and servers of the model.

use std::time::Duration;

use berylvalve_core::member::MemberState;
use rand::Rng;

use super::{
    BALANCERS, DOMAINS, Event, GIVE_UP, MAX_NEWS_MS, Place, ROUTER_TIME, SERVERS, World, agent,
};
use crate::trial::segments::{faults::Fault, server::Server};

impl World {
    pub(super) fn strike(&mut self, fault: Fault) {
        match fault {
            Fault::StopBalancer(n) => self.stop_balancer(n % BALANCERS),
            Fault::KillBalancer(n) => self.kill(Place::Balancer(n % BALANCERS), 900),
            Fault::RestartAgent(n) => self.kill(Place::Agent(n % SERVERS), 400),
            Fault::DrainServer(n) => self.drain_server(n % SERVERS),
            Fault::CrashServer(n) => self.crash_server(n % SERVERS, 1_500),
            Fault::PowerServer(n) => {
                self.crash_server(n % SERVERS, 3_500);
                self.kill(Place::Agent(n % SERVERS), 3_500);
            }
            Fault::Freeze(n) => {
                let frozen = self.now + Duration::from_millis(2_000);
                let place = Place::Agent(n % SERVERS);
                if let Some(standing) = self.standing.get_mut(&place) {
                    standing.frozen = frozen;
                    standing.disturbed = frozen;
                }
            }
            Fault::KillAll => self.kill_all(),
            Fault::PowerAll => {
                self.kill_all();
                for index in 0..SERVERS {
                    self.crash_server(index, 800);
                }
            }
            Fault::Fail(n) => self.servers[n % (SERVERS - 3)].failing = 50,
        }
    }

    fn kill_all(&mut self) {
        let places: Vec<Place> = self.standing.keys().copied().collect();
        for place in places {
            let down = self.rng.random_range(700..1_000);
            self.kill(place, down);
        }
    }

    fn kill(&mut self, place: Place, down_ms: u64) {
        let now = self.now;
        let Some(standing) = self.standing.get_mut(&place).filter(|s| s.up) else {
            return;
        };
        let back = now + Duration::from_millis(down_ms);
        standing.up = false;
        standing.life += 1;
        standing.disturbed = back;
        let life = standing.life;
        self.at(back, Event::Back(place));
        self.after(GIVE_UP, Event::Gone(place, life));
        if let Place::Balancer(index) = place {
            self.after(ROUTER_TIME, Event::OutOfRotation(index, life));
        }
    }

    fn stop_balancer(&mut self, index: usize) {
        let place = Place::Balancer(index);
        let standing = self.standing[&place];
        let others = (0..BALANCERS).filter(|b| *b != index && b % DOMAINS == index % DOMAINS);
        let covered = others
            .clone()
            .any(|b| self.rotation[b] && self.standing[&Place::Balancer(b)].up);
        if !standing.up || !covered {
            return;
        }
        self.after(ROUTER_TIME, Event::OutOfRotation(index, standing.life));
        // It goes on until the router has noticed, and then some.
        self.member(place, MemberState::Left);
        self.tell_all(Duration::from_millis(MAX_NEWS_MS));
        let down = ROUTER_TIME * 2;
        self.after(down, Event::Fault(Fault::KillBalancer(index)));
    }

    pub(super) fn back(&mut self, place: Place) {
        let now = self.now;
        self.news.remove(&place);
        if let Some(standing) = self.standing.get_mut(&place) {
            standing.up = true;
            standing.started = now;
            standing.frozen = now;
        }
        match place {
            Place::Balancer(index) => {
                self.balancers[index] = self.balancer(index);
                self.rotation[index] = true;
                self.member(place, MemberState::Ready);
            }
            Place::Agent(index) => {
                self.agents[index] = agent(index, now);
                self.member(place, MemberState::Draining);
            }
        }
        self.after(Duration::ZERO, Event::Tick(place));
        self.tell_all(Duration::from_millis(MAX_NEWS_MS));
        let view = Box::new(self.view.clone());
        self.after(Duration::from_millis(50), Event::News(place, view));
    }

    fn crash_server(&mut self, index: usize, down_ms: u64) {
        if !self.servers[index].alive {
            return;
        }
        self.servers[index].crash();
        self.after(Duration::from_millis(down_ms), Event::ServerBack(index));
    }

    fn drain_server(&mut self, index: usize) {
        let ready = |server: &&Server| server.alive && !server.draining;
        let first = if index < SERVERS - 3 { 0 } else { SERVERS - 3 };
        let last = if index < SERVERS - 3 {
            SERVERS - 3
        } else {
            SERVERS
        };
        let enough = self.servers[first..last].iter().filter(ready).count() > 1;
        let server = &mut self.servers[index];
        if !server.alive || server.draining || !enough {
            return;
        }
        server.draining = true;
    }

    pub(super) fn server_back(&mut self, index: usize) {
        self.servers[index].alive = true;
        let life = self.servers[index].life;
        self.after(Duration::from_millis(20), Event::Report(index, life));
    }
}
