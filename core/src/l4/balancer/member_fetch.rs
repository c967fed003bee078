//! The agent to fetch members from, as it has replied with agents that are unknown here.

use std::{net::SocketAddrV4, time::Duration};

use crate::clock::Time;

/// Shortest time between two fetches.
const FETCH_INTERVAL: Duration = Duration::from_millis(100);

/// The next fetch of members.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MemberFetch {
    peer: Option<SocketAddrV4>,
    /// When the next fetch may begin.
    allowed_at: Time,
}

impl MemberFetch {
    /// Records that a process knows agents that are unknown here.
    pub(super) fn request(&mut self, peer: SocketAddrV4) {
        self.peer = Some(peer);
    }

    /// Returns the process to fetch members from now, if there is one.
    pub(super) fn take(&mut self, now: Time) -> Option<SocketAddrV4> {
        if now < self.allowed_at {
            return None;
        }
        let peer = self.peer.take()?;
        self.allowed_at = now + FETCH_INTERVAL;
        Some(peer)
    }
}
