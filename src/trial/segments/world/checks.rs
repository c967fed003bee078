//! What must hold for open flows, judged from what callers and servers see.

use berylvalve_core::l4::segment::FlowKey;

use super::{CALM_TIME, Place, STRAY_SEGMENTS, World};

impl World {
    /// Counts segments of an open flow that reach other servers and not its own.
    pub(super) fn check_stray(&mut self, index: usize, flow: &FlowKey) {
        let Some(truth) = self.truths.get_mut(flow) else {
            return;
        };
        let owner = truth.server;
        let lives = self.servers[owner].life == truth.life && self.servers[owner].holds(flow);
        if owner == index || !lives {
            truth.stray = 0;
            return;
        }
        truth.stray += 1;
        let stray = truth.stray;
        if stray >= STRAY_SEGMENTS && self.is_calm(Place::Agent(owner)) {
            self.broke(&format!(
                "the segments of {flow} reach server {index} and not {owner}"
            ));
        }
    }

    fn is_calm(&self, place: Place) -> bool {
        let standing = self.standing[&place];
        standing.up && self.now.since(standing.disturbed) >= CALM_TIME
    }

    /// A reset must not reach an open flow whose server lives and was not disturbed.
    pub(super) fn check_reset(&mut self, index: usize, flow: &FlowKey) {
        let current = self.callers[index].flow == Some(*flow);
        let Some(truth) = self.truths.get(flow).filter(|_| current) else {
            return;
        };
        let server = &self.servers[truth.server];
        if server.life == truth.life && server.holds(flow) {
            let owner = truth.server;
            self.broke(&format!(
                "the open flow {flow} was reset while its server {owner} lives"
            ));
        }
    }

    pub(super) fn broke(&mut self, what: &str) {
        let line = format!("{} ms: {what}", self.now.as_millis());
        self.figures.broken.push(line);
    }
}
