//! A fake backend server with the state machines of its agent.

use std::{net::SocketAddrV4, time::Duration};

use slotmap::SecondaryMap;

use crate::{
    agent::{
        admission::{Admission, WaiterId},
        capacity::{CapacityEstimator, INITIAL_WEIGHT},
        peers::PeerSelector,
    },
    clock::Time,
};

/// A request under way.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Point at which it reached its agent.
    pub arrived: Time,
    /// Point at which its caller gives up.
    pub deadline: Time,
    /// Server whose agent holds its flow.
    pub home: usize,
    /// Rank under overload.
    pub priority: u8,
    /// Peers asked so far.
    pub attempts: u32,
}

/// A backend server and its agent.
#[derive(Debug)]
pub struct Server {
    /// Address of the agent.
    pub address: SocketAddrV4,
    /// Admission of the agent.
    pub admission: Admission,
    /// Slot time used in the measured time.
    pub busy: Duration,
    /// Capacity as the agent measures it.
    pub capacity: CapacityEstimator,
    /// Peers as the agent knows them.
    pub peers: PeerSelector,
    /// Point at which the queue is looked at next.
    pub poll_at: Option<Time>,
    /// Time in service of a request.
    pub service: Duration,
    /// Requests that wait at the agent.
    pub waiting: SecondaryMap<WaiterId, Request>,
    /// Weight that the others know.
    pub weight: u16,
}

impl Server {
    /// Returns an idle server.
    pub fn new(index: usize, service: Duration, slots: u32, seed: u64) -> Self {
        let address = SocketAddrV4::new([127, 0, 0, 1].into(), 1000 + index as u16);
        Self {
            address,
            admission: Admission::new(slots, u32::MAX),
            busy: Duration::ZERO,
            capacity: CapacityEstimator::new(slots, Time(0)),
            peers: PeerSelector::new(seed ^ index as u64),
            poll_at: None,
            service,
            waiting: SecondaryMap::new(),
            weight: INITIAL_WEIGHT,
        }
    }
}
