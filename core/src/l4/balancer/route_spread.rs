//! Spread of the route table among balancers: they tell each other which version they have, and pull
//! a newer table from the one that told.
//!
//! After a loss of power all processes start at once. The membership records that show a version then
//! arrive late among the joins of all processes, so versions are also sent directly.

use std::{collections::VecDeque, net::SocketAddrV4, time::Duration};

use super::{Balancer, RouteChange};
use crate::{
    clock::Time,
    l4::{
        message::{Message, Received},
        outbox::Outbox,
        segment::Codec,
        spread::Spread,
    },
    member::{Role, View},
};

/// Interval between two queries of a balancer without routes.
const QUERY_INTERVAL: Duration = Duration::from_millis(100);

/// Limit of the announcements that wait to be taken.
const MAX_ANNOUNCEMENTS: usize = 16;

/// A peer with a newer route table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RouteAnnouncement {
    /// Control address of the peer, from which the table can be pulled.
    pub control: SocketAddrV4,
    /// Version of its table.
    pub version: u64,
}

/// State of the spread at one balancer.
#[derive(Debug)]
pub(super) struct RouteSpread {
    spread: Spread,
    /// Control address of this process.
    control: SocketAddrV4,
    announcements: VecDeque<RouteAnnouncement>,
}

impl<C: Codec> Balancer<C> {
    /// Returns the balancer with the exchange of route versions; `control` is the address from which
    /// others can pull its table.
    pub fn with_route_spread(mut self, control: SocketAddrV4) -> Self {
        self.route_spread = Some(RouteSpread {
            spread: Spread::new(self.address, Some(Role::Balancer), QUERY_INTERVAL),
            control,
            announcements: VecDeque::new(),
        });
        self
    }

    /// Returns a peer that has announced a newer table since the last call, if there is one.
    pub fn take_route_announcement(&mut self) -> Option<RouteAnnouncement> {
        let version = self.routes.version;
        let announcements = &mut self.route_spread.as_mut()?.announcements;
        while let Some(announcement) = announcements.pop_front() {
            if announcement.version > version {
                return Some(announcement);
            }
        }
        None
    }

    /// Handles the version of a peer's table: tells the peer if the one here is newer.
    pub(super) fn receive_route_version(
        &mut self,
        received: &Received<'_>,
        (version, control): (u64, SocketAddrV4),
        out: &mut impl Outbox,
    ) {
        let own = self.routes.version;
        let Some(spread) = &mut self.route_spread else {
            return;
        };
        if version < own {
            self.send_route_version(received.from, out);
        } else if version > own && spread.announcements.len() < MAX_ANNOUNCEMENTS {
            let announcement = RouteAnnouncement { control, version };
            spread.announcements.push_back(announcement);
        }
    }

    pub(super) fn tick_route_spread(
        &mut self,
        change: RouteChange,
        now: Time,
        out: &mut impl Outbox,
    ) {
        let has_routes = self.routes.version > 0;
        let Some(RouteSpread { spread, .. }) = &mut self.route_spread else {
            return;
        };
        if change != RouteChange::None {
            spread.start_push(now);
        }
        let mut members = spread.take_push(now);
        members.extend(spread.take_compare(has_routes, now));
        for member in members {
            self.send_route_version(member, out);
        }
    }

    fn send_route_version(&mut self, to: SocketAddrV4, out: &mut impl Outbox) {
        let Some(spread) = &self.route_spread else {
            return;
        };
        let message = Message::RouteVersion {
            version: self.routes.version,
            control: spread.control,
        };
        self.send(to, &message, &[], out);
    }
}

impl RouteSpread {
    pub(super) fn apply_view(&mut self, view: &View) {
        self.spread.apply_view(view);
    }

    pub(super) fn due(&self) -> Option<Time> {
        self.spread.due()
    }
}
