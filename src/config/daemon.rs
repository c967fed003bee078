//! Settings of one daemon process.

use std::{
    net::{SocketAddr, SocketAddrV4},
    path::PathBuf,
};

use serde::{Deserialize, Serialize};

use super::{Check, Fault, tree::Region};
use crate::{member::Role, owner_id::FleetKey};

const MIN_SECRET_BYTES: usize = 16;

/// A fleet key as it stands in a settings file.
#[derive(Clone, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KeySettings {
    /// Number of the key's generation.
    pub id: u8,
    /// The secret in hexadecimal, at least 16 bytes.
    pub secret: String,
}

impl std::fmt::Debug for KeySettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("KeySettings")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

/// Checks the fleet keys of a settings file.
///
/// # Errors
///
/// Fails if there is none, if two have one number, or if a secret is too short.
pub fn check_keys(keys: &[KeySettings]) -> Result<(), Fault> {
    if keys.is_empty() {
        return Err(Fault::new("keys", "at least one key"));
    }
    for (index, key) in keys.iter().enumerate() {
        let secret = hex::decode(&key.secret).unwrap_or_default();
        if secret.len() < MIN_SECRET_BYTES {
            let expected = format!("at least {MIN_SECRET_BYTES} bytes in hexadecimal");
            return Err(Fault::new(format!("keys[{index}].secret"), expected));
        }
        if keys[..index].iter().any(|other| other.id == key.id) {
            return Err(Fault::new(
                format!("keys[{index}].id"),
                "a number of its own",
            ));
        }
    }
    Ok(())
}

/// Decodes fleet keys that have been checked.
pub fn decode_keys(settings: &[KeySettings]) -> Vec<FleetKey> {
    let mut keys = Vec::with_capacity(settings.len());
    for key in settings {
        let secret = hex::decode(&key.secret).unwrap_or_default();
        keys.push(FleetKey { id: key.id, secret });
    }
    keys
}

/// What only an agent needs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Name of the service that the backend server belongs to.
    pub service: String,
    /// Address of the backend server's HTTP port.
    pub server: SocketAddr,
    /// Requests that the backend server works on at once.
    pub slots: u32,
    /// Connections that the backend server holds.
    pub connections: u32,
    /// Certificate chain in PEM.
    pub certificate: PathBuf,
    /// Private key in PEM.
    pub private_key: PathBuf,
}

/// What only a balancer needs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BalancerSettings {
    /// Address of the fabric that takes the answers to callers.
    pub fabric: SocketAddr,
}

/// Where the platform's key-value service is reached.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Addresses of its etcd v3 HTTP/JSON gateway; the next one is tried where one does not answer.
    pub endpoints: Vec<SocketAddrV4>,
}

impl StoreSettings {
    /// Checks the settings; `path` stands in front of the fault's path.
    ///
    /// # Errors
    ///
    /// Fails if there is no endpoint.
    pub fn check(&self, path: &str) -> Result<(), Fault> {
        if self.endpoints.is_empty() {
            return Err(Fault::new(
                format!("{path}.endpoints"),
                "at least one address",
            ));
        }
        Ok(())
    }
}

/// Settings of `berylvalved`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// Role of the process.
    pub role: Role,
    /// Failure domain of the VM.
    pub domain: String,
    /// Address of the data socket.
    pub data: SocketAddrV4,
    /// Address of the control socket.
    pub control: SocketAddrV4,
    /// Control addresses of processes to announce to.
    #[serde(default)]
    pub seeds: Vec<SocketAddrV4>,
    /// Fleet keys; the first one seals.
    pub keys: Vec<KeySettings>,
    /// The region's settings; in force until the store or a peer has newer ones.
    pub tree: Region,
    /// The platform's key-value service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub store: Option<StoreSettings>,
    /// Settings of an agent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub agent: Option<AgentSettings>,
    /// Settings of a balancer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub balancer: Option<BalancerSettings>,
}

impl Check for DaemonSettings {
    fn check(&self) -> Result<(), Fault> {
        check_keys(&self.keys)?;
        self.check_role()?;
        if let Some(store) = &self.store {
            store.check("store")?;
        }
        self.tree
            .check()
            .map_err(|fault| Fault::new(format!("tree.{}", fault.path), fault.expected))
    }
}

impl DaemonSettings {
    /// Returns the fleet keys; the check has made sure that they decode.
    pub fn fleet_keys(&self) -> Vec<FleetKey> {
        decode_keys(&self.keys)
    }

    fn check_role(&self) -> Result<(), Fault> {
        match (self.role, &self.agent, &self.balancer) {
            (Role::Agent, None, _) => Err(Fault::new("agent", "settings of the agent")),
            (Role::Balancer, _, None) => Err(Fault::new("balancer", "settings of the balancer")),
            (Role::Agent, Some(agent), _) if !self.tree.services.contains_key(&agent.service) => {
                Err(Fault::new("agent.service", "a service of the tree"))
            }
            _ => Ok(()),
        }
    }
}
