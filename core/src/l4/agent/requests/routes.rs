//! Priorities, targets and fair shares of routes, which are known by the address of their flows.

use std::{collections::HashMap, net::SocketAddrV4, time::Duration};

use rustc_hash::FxBuildHasher;

use crate::l4::segment::FlowKey;

/// Limit of routes that are known. Flows of further ones are not held.
const MAX_ROUTES: usize = 1024;

/// Priority from which on all routes have the same weight.
const MAX_WEIGHTED_PRIORITY: u8 = 15;

/// A route with its held requests.
#[derive(Debug)]
pub struct Route {
    /// Priority in the last opening; 0 is the highest.
    pub priority: u8,
    /// Longest time to the target among the openings. Openings that are sent again after a refusal or
    /// a loss carry a shorter one.
    pub target: Duration,
    /// Flows whose requests are held.
    pub flows: Vec<FlowKey>,
    /// Virtual time at which the work that was started has used up the route's share.
    finish: u64,
}

impl Route {
    /// Returns the share of the route relative to others, which doubles with each step of priority.
    pub fn weight(&self) -> f64 {
        f64::from(self.shift()).exp2().recip()
    }

    fn shift(&self) -> u8 {
        self.priority.min(MAX_WEIGHTED_PRIORITY)
    }
}

/// Routes of one agent, with start-time fair queueing between them: the route with the lowest start
/// tag is next, and a start raises the tag by the work divided by the route's weight.
#[derive(Debug, Default)]
pub struct Routes {
    routes: HashMap<SocketAddrV4, Route, FxBuildHasher>,
    /// Virtual time: start tag of the last start.
    virtual_time: u64,
}

impl Routes {
    /// Records the priority and the time to the target in an opening of a route.
    pub fn learn(&mut self, address: SocketAddrV4, priority: u8, target: Duration) {
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(&address) {
            return;
        }
        let finish = self.virtual_time;
        let route = self.routes.entry(address).or_insert_with(|| Route {
            priority,
            target,
            flows: Vec::new(),
            finish,
        });
        route.priority = priority;
        route.target = route.target.max(target);
    }

    /// Returns whether a route is known.
    pub fn contains(&self, address: &SocketAddrV4) -> bool {
        self.routes.contains_key(address)
    }

    /// Returns a route, or `None` if it is unknown.
    pub fn get_mut(&mut self, address: &SocketAddrV4) -> Option<&mut Route> {
        self.routes.get_mut(address)
    }

    /// Returns the routes that have held requests.
    pub fn backlogged(&self) -> impl Iterator<Item = (&SocketAddrV4, &Route)> {
        let routes = self.routes.iter();
        routes.filter(|(_, route)| !route.flows.is_empty())
    }

    /// Returns the start tag of a route's next request. A route that had no work for a time gets no
    /// credit for it.
    pub fn start_tag(&self, address: &SocketAddrV4) -> u64 {
        let route = self.routes.get(address);
        route.map_or(self.virtual_time, |route| {
            route.finish.max(self.virtual_time)
        })
    }

    /// Counts work that is started on a route against its share.
    pub fn charge(&mut self, address: &SocketAddrV4, work: Duration) {
        let start = self.start_tag(address);
        let Some(route) = self.routes.get_mut(address) else {
            return;
        };
        let cost = (work.as_micros() as u64) << route.shift();
        route.finish = start.saturating_add(cost);
        self.virtual_time = start;
    }
}
