//! Settings of one daemon process.

use std::{
    net::{SocketAddr, SocketAddrV4},
    path::PathBuf,
};

use serde::{Deserialize, Serialize};

use super::{Check, Violation, tree::Region};
use crate::{member::Role, owner_id::FleetKey};

const MIN_SECRET_BYTES: usize = 16;

/// A fleet key in a settings file.
#[derive(Clone, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KeySettings {
    /// Id of the key's generation, unique among the fleet's keys.
    pub id: u8,
    /// Secret in hexadecimal, at least 16 bytes.
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
/// Fails if there is no key, if two keys have the same id, or if a secret is not hexadecimal or too
/// short.
pub fn check_keys(keys: &[KeySettings]) -> Result<(), Violation> {
    if keys.is_empty() {
        return Err(Violation::new("keys", "at least one key"));
    }
    for (index, key) in keys.iter().enumerate() {
        let secret = hex::decode(&key.secret).unwrap_or_default();
        if secret.len() < MIN_SECRET_BYTES {
            let expected = format!("at least {MIN_SECRET_BYTES} bytes in hexadecimal");
            return Err(Violation::new(format!("keys[{index}].secret"), expected));
        }
        if keys[..index].iter().any(|other| other.id == key.id) {
            return Err(Violation::new(
                format!("keys[{index}].id"),
                "an id that no other key has",
            ));
        }
    }
    Ok(())
}

/// Decodes fleet keys that [`check_keys`] has accepted; other secrets may decode as empty.
pub fn decode_keys(settings: &[KeySettings]) -> Vec<FleetKey> {
    let mut keys = Vec::with_capacity(settings.len());
    for key in settings {
        let secret = hex::decode(&key.secret).unwrap_or_default();
        keys.push(FleetKey { id: key.id, secret });
    }
    keys
}

/// Settings that only an agent has.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Name of the service that the backend server belongs to.
    pub service: String,
    /// Address of the backend server's HTTP port.
    pub server: SocketAddr,
    /// Number of requests that the backend server processes concurrently.
    pub slots: u32,
    /// Largest number of connections that the backend server accepts.
    pub connections: u32,
    /// File with the certificate chain in PEM.
    pub certificate: PathBuf,
    /// File with the private key in PEM.
    pub private_key: PathBuf,
}

/// Settings that only a balancer has.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BalancerSettings {
    /// Address of the fabric that forwards datagrams to callers.
    pub fabric: SocketAddr,
}

/// Connection settings of the platform's key-value store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Addresses of the etcd v3 HTTP/JSON gateway; the next one is used if one can't be reached.
    pub endpoints: Vec<SocketAddrV4>,
}

impl StoreSettings {
    /// Checks the settings; `path` is the prefix of a violation's path.
    ///
    /// # Errors
    ///
    /// Fails if there is no endpoint.
    pub fn check(&self, path: &str) -> Result<(), Violation> {
        if self.endpoints.is_empty() {
            return Err(Violation::new(
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
    /// Control addresses of the processes through which this one joins the fleet.
    #[serde(default)]
    pub seeds: Vec<SocketAddrV4>,
    /// Fleet keys; the first one encrypts and signs, the others only decrypt and verify.
    pub keys: Vec<KeySettings>,
    /// Settings of the region; active until the store or a peer provides newer ones.
    pub tree: Region,
    /// Platform's key-value store; without it, settings come only from the file and from peers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub store: Option<StoreSettings>,
    /// Settings of an agent; required for that role.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub agent: Option<AgentSettings>,
    /// Settings of a balancer; required for that role.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub balancer: Option<BalancerSettings>,
}

impl Check for DaemonSettings {
    fn check(&self) -> Result<(), Violation> {
        check_keys(&self.keys)?;
        self.check_role()?;
        if let Some(store) = &self.store {
            store.check("store")?;
        }
        self.tree.check().map_err(|violation| {
            Violation::new(format!("tree.{}", violation.path), violation.expected)
        })
    }
}

impl DaemonSettings {
    /// Returns the decoded fleet keys of checked settings.
    pub fn fleet_keys(&self) -> Vec<FleetKey> {
        decode_keys(&self.keys)
    }

    fn check_role(&self) -> Result<(), Violation> {
        match (self.role, &self.agent, &self.balancer) {
            (Role::Agent, None, _) => Err(Violation::new(
                "agent",
                "the agent's settings, because the role is agent",
            )),
            (Role::Balancer, _, None) => Err(Violation::new(
                "balancer",
                "the balancer's settings, because the role is balancer",
            )),
            (Role::Agent, Some(agent), _) if !self.tree.services.contains_key(&agent.service) => {
                Err(Violation::new("agent.service", "a service of the tree"))
            }
            _ => Ok(()),
        }
    }
}
