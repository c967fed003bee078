//! Directives of the operator to the fleet: failure domains that are being evacuated, and the rates
//! that cold backend servers bear.

pub mod gossip;
pub mod history;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::routes::ServiceKey;
use crate::store::Position;

/// The directives that were in the store at one position. The document with the higher position is
/// the newer one.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Directives {
    /// Position of the read at which these contents were first seen.
    pub position: Position,
    /// Failure domains whose backend servers take no new flows, with the position of the key that
    /// requests it.
    pub evacuated: BTreeMap<String, Position>,
    /// New requests a second that a cold backend server of a service bears; services without a
    /// stated rate are left out.
    pub cold_rates: BTreeMap<ServiceKey, u32>,
}

/// The directives that a linearizable read of the store returned.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoredDirectives {
    /// Position of the read.
    pub position: Position,
    /// Evacuated failure domains with the positions of their keys.
    pub evacuated: BTreeMap<String, Position>,
    /// Rates of cold backend servers, or `None` if the settings in the store can't be read or are older
    /// than those in use.
    pub cold_rates: Option<BTreeMap<ServiceKey, u32>>,
    /// Version of the settings in the store; 0 if they can't be read.
    pub version: u64,
}

impl Directives {
    /// Returns whether the backend servers of a failure domain take no new flows.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.evacuated.contains_key(domain)
    }

    /// Returns the new requests a second that a cold backend server of a service bears, or `None` if
    /// no limit is stated.
    pub fn cold_rate(&self, service: ServiceKey) -> Option<u32> {
        self.cold_rates.get(&service).copied()
    }

    /// Returns the failure domains that are evacuated here and not in `other`.
    pub fn evacuated_since<'a>(&'a self, other: &'a Directives) -> BTreeSet<&'a str> {
        let domains = self.evacuated.keys().map(String::as_str);
        domains
            .filter(|domain| !other.is_evacuated(domain))
            .collect()
    }
}
