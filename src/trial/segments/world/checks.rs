//! What must hold for open flows and requests, judged from what callers and servers see.

use berylvalve_core::l4::segment::FlowKey;

use super::{CALM_TIME, Place, World};

impl World {
    /// Counts segments of an open flow that reach other servers and not its own.
    pub(super) fn check_stray(&mut self, index: usize, flow: &FlowKey) {
        let Some(home) = self.witness.home(flow) else {
            return;
        };
        let holds = home.holds(&self.servers, flow);
        let broken = self.witness.strays(flow, index, holds, self.now);
        if broken && self.is_calm(Place::Agent(home.server)) {
            self.broke(&format!(
                "the segments of {flow} reach server {index} and not {}",
                home.server
            ));
        }
    }

    /// A request that must not run twice must not run twice.
    pub(super) fn check_run(&mut self, request: u64) {
        let runs = self.witness.ran(request);
        let caller = self
            .callers
            .iter()
            .find(|c| c.request >> 32 == request >> 32);
        if runs > 1 && caller.is_some_and(|caller| !caller.idempotent) {
            self.broke(&format!("request {request:016x} ran {runs} times"));
        }
    }

    fn is_calm(&self, place: Place) -> bool {
        let standing = self.standing[&place];
        standing.up && self.now.since(standing.disturbed) >= CALM_TIME
    }

    /// A reset must not reach an open flow whose server lives and was not disturbed.
    pub(super) fn check_reset(&mut self, index: usize, flow: &FlowKey) {
        let current = self.callers[index].flow == Some(*flow);
        let Some(home) = self.witness.home(flow).filter(|_| current) else {
            return;
        };
        if home.holds(&self.servers, flow) {
            self.broke(&format!(
                "the open flow {flow} was reset while its server {} lives",
                home.server
            ));
        }
    }

    pub(super) fn broke(&mut self, what: &str) {
        let line = format!("{} ms: {what}", self.now.as_millis());
        self.figures.broken.push(line);
    }
}
