//! What faults do.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use super::{Due, Extra, Fault, Place, World};
use crate::soak::{SETTLE_TIME, fault::Link, proxy::LinkFault, roll::Roll};

/// Work of a slow server, in multiples of the usual.
const SLOW_FACTOR: f64 = 4.0;

impl World {
    pub(super) fn strike(&mut self, fault: Fault) {
        let happened = match &fault {
            Fault::Restart(place) => self.stop(*place),
            Fault::Series(place, stops) => self.stop_in_series(*place, *stops),
            Fault::Roll(roll) => self.roll(roll),
            Fault::Reload(place) => self.reload(*place),
            Fault::Kill(place) => self.kill(*place),
            Fault::KillAll => self.kill_all(),
            Fault::Pause(place, time) => self.pause_process(*place, *time),
            Fault::StoreLink(place, link, time) => self.disturb_store_link(*place, *link, *time),
            Fault::AllStoreLinks(link, time) => {
                for place in self.places() {
                    self.disturb_store_link(place, *link, *time);
                }
                true
            }
            Fault::StoreBusy(time) => {
                self.store.update_failures(|failures| failures.busy = true);
                self.disturb_store(*time)
            }
            Fault::StoreMute(time) => {
                self.store
                    .update_failures(|failures| failures.drop_responses = true);
                self.disturb_store(*time)
            }
            Fault::StoreForgets => {
                self.store.compact();
                self.disturb_store(Duration::ZERO)
            }
            Fault::LeasesEnd => {
                self.store.expire_leases();
                self.disturb_store(Duration::ZERO)
            }
            Fault::CallerLink(balancer, link, time) => {
                self.rotation[*balancer].link = Some(*link);
                self.disturb(Place::Balancer(*balancer), *time);
                self.after(*time, Due::CallerLinkBack(*balancer));
                true
            }
            Fault::ServerCrash(server, down) => self.crash_server(*server, *down),
            Fault::ServerDrain(server) => self.drain_server(*server),
            Fault::ServerSlow(server) => {
                let server = &mut self.servers[*server];
                server.work = server.work.mul_f64(SLOW_FACTOR);
                true
            }
            Fault::AddRoute => self.add_handler(),
            Fault::DropRoute => self.drop_route(),
        };
        if happened {
            self.struck(fault);
        }
    }

    fn disturb(&mut self, place: Place, time: Duration) {
        let until = self.now + time;
        if let Some(node) = self.nodes.get_mut(&place) {
            node.disturbed = node.disturbed.max(until);
        }
    }

    fn disturb_store(&mut self, time: Duration) -> bool {
        self.store_disturbed = self.store_disturbed.max(self.now + time);
        self.after(time, Due::StoreBack);
        true
    }

    pub(super) fn store_back(&mut self) {
        if self.now < self.store_disturbed {
            return;
        }
        self.store
            .update_failures(|failures| *failures = Default::default());
    }

    fn disturb_store_link(&mut self, place: Place, link: Link, time: Duration) -> bool {
        self.disturb(place, time);
        let Some(node) = self.nodes.get(&place) else {
            return false;
        };
        node.link.set(link.into());
        self.after(time, Due::StoreLinkBack(place));
        true
    }

    pub(super) fn store_link_back(&mut self, place: Place) {
        if let Some(node) = self.nodes.get(&place) {
            node.link.set(LinkFault::None);
        }
    }

    fn kill_all(&mut self) -> bool {
        for place in self.places() {
            self.kill(place);
        }
        true
    }

    /// Plans the restarts of a roll.
    fn roll(&mut self, roll: &Roll) -> bool {
        let end = self.end - SETTLE_TIME;
        for (delay, place) in roll.stops(self.options.size) {
            let at = self.now + delay;
            if at < end {
                self.at(at, Due::Fault(Fault::Restart(place)));
            }
        }
        true
    }

    fn add_handler(&mut self) -> bool {
        let number = self.extras.len() as u8 + 1;
        self.extras.push(Extra {
            address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 1, number), 443),
            added: self.now,
            dropped: None,
        });
        self.write_config();
        true
    }

    fn drop_route(&mut self) -> bool {
        let now = self.now;
        let used = |extra: &&mut Extra| extra.dropped.is_none();
        let Some(extra) = self.extras.iter_mut().rev().find(used) else {
            return false;
        };
        extra.dropped = Some(now);
        self.write_config();
        true
    }
}
