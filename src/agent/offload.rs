//! Passes requests that have no slot here to an agent of the service that has room.
//!
//! A request that must run at most once stays in the ledger of the agent that issued its key; the
//! other agent only works on it.

use std::{
    net::SocketAddrV4,
    sync::{Arc, Mutex},
};

use serde::{Deserialize, Serialize};

use super::{
    job::Job,
    peers::{MAX_ATTEMPTS, Peers},
    reply::Reply,
    request_forwarding::{ForwardedReply, RequestForwarder},
};
use crate::{
    control::ControlError,
    member::{Record, View},
    membership::LocalRecord,
    owner_id::Owner,
    placement::Candidate,
};

/// Path of offloaded requests on the control server.
pub const PATH: &str = "/agent/offload";

/// The answer to an offloaded request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Offloaded {
    /// There is no room for it; it did not run.
    Busy,
    /// It was admitted and has ended.
    Ended(ForwardedReply),
}

/// Offloads the requests of one agent.
#[derive(Debug)]
pub struct Offload {
    local: Arc<LocalRecord>,
    passing: RequestForwarder,
    peers: Mutex<Peers>,
}

impl Offload {
    /// Returns the service of one agent.
    pub fn new(passing: RequestForwarder, local: Arc<LocalRecord>) -> Self {
        Self {
            local,
            passing,
            peers: Mutex::new(Peers::new(rand::random())),
        }
    }

    /// Has a request run elsewhere; `None` if it certainly did not run and nobody has room.
    pub async fn run(&self, job: &Job) -> Option<Reply> {
        let own = self.local.get();
        for _ in 0..MAX_ATTEMPTS {
            let view = self.passing.directory.view();
            let peer = self.choose(&view, &own, job.plan.priority)?;
            let owner = Owner {
                address: peer.address,
                incarnation: peer.incarnation,
                service: peer.service,
            };
            let sent = self.passing.send(PATH, &owner, peer.control, job).await;
            match sent {
                Ok(Offloaded::Ended(answer)) => {
                    self.peers().accepted(peer.address);
                    tracing::info!(event = "offloaded", id = job.id(), agent = %peer.address);
                    return Some(answer.into_reply(self.passing.clock.now()));
                }
                Ok(Offloaded::Busy) => self.refused(peer.address, job),
                Err(error) => {
                    tracing::info!(event = "offload_failed", id = job.id(), agent = %peer.address, %error);
                    self.refused(peer.address, job);
                    if may_have_run(&error) && !job.is_idempotent() {
                        return Some(Reply::unknown());
                    }
                }
            }
        }
        None
    }

    fn peers(&self) -> std::sync::MutexGuard<'_, Peers> {
        self.peers.lock().expect("peers lock")
    }

    fn refused(&self, peer: SocketAddrV4, job: &Job) {
        let now = self.passing.clock.now();
        self.peers().refused(peer, job.plan.priority, now);
    }

    fn choose<'a>(&self, view: &'a View, own: &Record, priority: u8) -> Option<&'a Record> {
        let candidates = candidates(view, own);
        let now = self.passing.clock.now();
        let chosen = self.peers().choose(&candidates, priority, now)?;
        view.members.get(&chosen)
    }
}

/// Returns the other ready agents of a service.
fn candidates(view: &View, own: &Record) -> Vec<Candidate> {
    let mut candidates = Vec::new();
    for record in view.members.values() {
        if !record.is_ready_peer(own) {
            continue;
        }
        candidates.push(Candidate {
            address: record.address,
            weight: record.weight,
        });
    }
    candidates
}

fn may_have_run(error: &ControlError) -> bool {
    !matches!(
        error,
        ControlError::NotSent { .. } | ControlError::Refused { .. }
    )
}
