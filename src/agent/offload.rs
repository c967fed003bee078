//! Offloading: sends requests that get no slot here to another agent of the service.
//!
//! A request with an idempotency key stays in the ledger of the agent that issued the key; the
//! other agent only executes it.

use std::{
    net::SocketAddrV4,
    sync::{Arc, Mutex},
};

use serde::{Deserialize, Serialize};

use super::{
    job::Job,
    peers::{MAX_OFFLOAD_ATTEMPTS, PeerSelector},
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

/// Path of the control server that takes offloaded requests.
pub const PATH: &str = "/agent/offload";

/// Response to an offloaded request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum OffloadReply {
    /// The agent did not take the request, which did not run.
    Busy,
    /// The agent took the request and returns its reply, which may be a refusal.
    Ended(ForwardedReply),
}

/// Offloads requests of one agent to its peers.
#[derive(Debug)]
pub struct Offloader {
    local: Arc<LocalRecord>,
    forwarder: RequestForwarder,
    selector: Mutex<PeerSelector>,
}

impl Offloader {
    /// Creates the offloader of an agent; `local` is the agent's own record.
    pub fn new(forwarder: RequestForwarder, local: Arc<LocalRecord>) -> Self {
        Self {
            local,
            forwarder,
            selector: Mutex::new(PeerSelector::new(rand::random())),
        }
    }

    /// Runs a request on a peer and returns the peer's reply, or `None` if no peer returned an
    /// outcome, in which case the request did not run or is idempotent.
    ///
    /// If a request may have run but no reply arrives, an idempotent one is sent to the next peer
    /// and any other is answered with "unknown".
    pub async fn run_on_peer(&self, job: &Job) -> Option<Reply> {
        let own = self.local.get();
        for _ in 0..MAX_OFFLOAD_ATTEMPTS {
            let view = self.forwarder.directory.view();
            let peer = self.choose(&view, &own, job.request_type.priority)?;
            let target = Owner {
                address: peer.address,
                incarnation: peer.incarnation,
                service: peer.service,
            };
            let sent = self.forwarder.send(PATH, &target, peer.control, job).await;
            match sent {
                Ok(OffloadReply::Ended(reply)) => {
                    self.lock_selector().record_accepted(peer.address);
                    tracing::info!(event = "offloaded", id = job.id(), agent = %peer.address);
                    return Some(reply.into_reply(self.forwarder.clock.now()));
                }
                Ok(OffloadReply::Busy) => self.record_refused(peer.address, job),
                Err(error) => {
                    tracing::info!(event = "offload_failed", id = job.id(), agent = %peer.address, %error);
                    self.record_refused(peer.address, job);
                    if may_have_run(&error) && !job.is_idempotent() {
                        return Some(Reply::unknown());
                    }
                }
            }
        }
        None
    }

    fn lock_selector(&self) -> std::sync::MutexGuard<'_, PeerSelector> {
        self.selector.lock().expect("peer selector lock")
    }

    fn record_refused(&self, peer: SocketAddrV4, job: &Job) {
        let now = self.forwarder.clock.now();
        self.lock_selector()
            .record_refused(peer, job.request_type.priority, now);
    }

    fn choose<'a>(&self, view: &'a View, own: &Record, priority: u8) -> Option<&'a Record> {
        let candidates = candidates(view, own);
        let now = self.forwarder.clock.now();
        let chosen = self.lock_selector().choose(&candidates, priority, now)?;
        view.members.get(&chosen)
    }
}

/// Returns the service's other ready agents.
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
