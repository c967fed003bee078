//! Datagrams of callers and backend servers, and the routers between them and the balancers.

use std::time::Duration;

use berylvalve_core::l4::segment::Codec;
use rand::Rng;

use super::{BALANCERS, DOMAINS, Event, SERVER_DELAY, SERVERS, World, service, service_address};
use crate::trial::segments::{
    caller::{Seen, Stage},
    codec::ModelCodec,
    server::Reaction,
    wire::{Outgoing, Wire},
    witness::Home,
};

impl World {
    pub(super) fn reach_server(&mut self, index: usize, datagram: &[u8]) {
        let Some(segment) = ModelCodec.read(datagram) else {
            self.broke("a server got bytes that are no segment");
            return;
        };
        if !self.witness.was_written(&ModelCodec.fixed(datagram)) {
            self.broke("a server got a segment that no caller wrote");
        }
        let flow = segment.flow_of_caller();
        let desk = flow.address == service_address(true);
        if segment.is_opening() && service(index) != service(if desk { 0 } else { SERVERS - 1 }) {
            self.broke("an opening reached another service");
        }
        self.check_stray(index, &flow);
        let content = ModelCodec.content(datagram);
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
            let event =
                Event::FromServer(index, self.servers[index].life, ModelCodec.bounce(datagram));
            self.after(SERVER_DELAY, event);
        }
        self.react(index, reaction);
    }

    pub(super) fn react(&mut self, index: usize, reaction: Reaction) {
        let life = self.servers[index].life;
        for outgoing in reaction.sent {
            let datagram = ModelCodec.write(&outgoing);
            self.after(SERVER_DELAY, Event::FromServer(index, life, datagram));
        }
        for work in reaction.started {
            self.check_run(work.request);
            self.after(work.time, Event::Done(index, life, work));
        }
    }

    pub(super) fn reach_caller(&mut self, datagram: &[u8], own_reset: bool) {
        let Some(segment) = ModelCodec.read(datagram) else {
            return;
        };
        let flow = segment.flow_of_server();
        let index = usize::from(flow.caller.ip().octets()[3]) - 1;
        if own_reset {
            self.check_reset(index, &flow);
        }
        let now = self.now;
        let caller = &mut self.callers[index];
        let content = ModelCodec.content(datagram);
        let (seen, answer) = caller.receive(&segment, content, now);
        match seen {
            Seen::Opened(took) => {
                self.figures.flows += 1;
                self.figures.openings_ms.push(took.as_millis() as u64);
                let due = self.callers[index].due;
                self.at(due, Event::CallerDue(index));
            }
            Seen::Answered(took) => self.answered(index, took),
            Seen::Reset => {
                self.figures.resets += 1;
                self.try_again(index);
            }
            Seen::Mixed => self.broke("a caller got the answer to another request"),
            Seen::Nothing => {}
        }
        if let Some(answer) = answer {
            self.route(index, &answer);
        }
    }

    fn answered(&mut self, index: usize, took: Duration) {
        self.figures.answered += 1;
        self.figures.answers_ms.push(took.as_millis() as u64);
        if self.callers[index].answered >= self.callers[index].requests_per_flow {
            let last = self.callers[index].finish();
            self.route(index, &last);
        }
        self.pause(index);
    }

    fn pause(&mut self, index: usize) {
        let due = self.now + Duration::from_millis(self.rng.random_range(50..400));
        self.callers[index].rest(due);
        self.at(due, Event::CallerDue(index));
    }

    pub(super) fn caller_due(&mut self, index: usize) {
        if self.now < self.callers[index].due {
            return;
        }
        if self.callers[index].stage == Stage::Idle {
            self.figures.requests += 1;
        }
        match self.callers[index].act(self.now) {
            Some(outgoing) => {
                let due = self.callers[index].due;
                self.at(due, Event::CallerDue(index));
                self.route(index, &outgoing);
            }
            None => {
                self.callers[index].flow = None;
                self.try_again(index);
            }
        }
    }

    /// Opens another flow for the request in progress, or gives it up at its deadline.
    fn try_again(&mut self, index: usize) {
        let caller = &mut self.callers[index];
        if caller.stage == Stage::Idle {
            return;
        }
        let Some(opening) = caller.repeat(self.now) else {
            self.figures.given_up += 1;
            self.pause(index);
            return;
        };
        let due = caller.due;
        self.at(due, Event::CallerDue(index));
        self.route(index, &opening);
    }

    /// Sends a caller's datagram through the router of its domain.
    fn route(&mut self, index: usize, outgoing: &Outgoing) {
        let datagram = ModelCodec.write(outgoing);
        self.witness.wrote(ModelCodec.fixed(&datagram));
        let domain = self.callers[index].domain;
        let near = (0..BALANCERS).filter(|b| b % DOMAINS == domain);
        let mut rotation: Vec<usize> = near.filter(|b| self.rotation[*b]).collect();
        if rotation.is_empty() {
            rotation = (0..BALANCERS).collect();
        }
        let port = usize::from(outgoing.segment.source.port());
        let chosen = rotation[(port * 31 + index * 17) % rotation.len()];
        let delay = Duration::from_micros(self.rng.random_range(1000..1500));
        self.after(delay, Event::FromCaller(chosen, datagram));
    }
}
