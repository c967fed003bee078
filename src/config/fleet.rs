//! Settings with which the operators' tool reaches a fleet.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use super::{
    Check, Violation,
    daemon::{KeySettings, StoreSettings, check_keys},
};

/// Keys of a fleet and control addresses of some of its daemons.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// Fleet keys; the first one signs control messages.
    pub keys: Vec<KeySettings>,
    /// Control addresses of daemons from which the tool gets the list of all members.
    pub peers: Vec<SocketAddrV4>,
    /// Name of the region, for `berylvalve settings`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub region: Option<String>,
    /// Platform's key-value store, for `berylvalve settings`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub store: Option<StoreSettings>,
}

impl Check for FleetSettings {
    fn check(&self) -> Result<(), Violation> {
        if self.peers.is_empty() {
            return Err(Violation::new("peers", "at least one control address"));
        }
        if let Some(store) = &self.store {
            store.check("store")?;
        }
        check_keys(&self.keys)
    }
}
