//! Messages of the etcd v3 HTTP/JSON gateway, as far as the system uses them.
//!
//! The gateway writes 64-bit integers as strings and leaves out zeros.

use base64::{Engine, engine::general_purpose::STANDARD};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

/// Bytes that stand in JSON as base64.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Blob(pub Vec<u8>);

impl Serialize for Blob {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Blob).map_err(D::Error::custom)
    }
}

/// A 64-bit integer that stands in JSON as a string.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Int64(pub u64);

impl Serialize for Int64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.0.to_string())
    }
}

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map(Int64).map_err(D::Error::custom)
    }
}

/// Head of each answer.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Header {
    /// Revision of the store.
    pub revision: Int64,
}

/// A key with its value.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct KeyValue {
    /// The key.
    pub key: Blob,
    /// The value.
    pub value: Blob,
    /// Revision of the last change.
    pub mod_revision: Int64,
}

/// `POST /v3/kv/range`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key.
    pub key: Blob,
    /// Key behind the last one.
    pub range_end: Blob,
    /// Lowest revision of keys to return.
    pub min_mod_revision: Int64,
}

/// Answer to a range.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct RangeResponse {
    /// Head of the answer.
    pub header: Header,
    /// Keys in order.
    pub kvs: Vec<KeyValue>,
}

/// A condition of a transaction: the key's revision equals `mod_revision`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct CompareRequest {
    /// Always `EQUAL`.
    pub result: String,
    /// Always `MOD`.
    pub target: String,
    /// The key.
    pub key: Blob,
    /// The revision; 0 if the key must not exist.
    pub mod_revision: Int64,
}

/// A write.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key.
    pub key: Blob,
    /// The value.
    pub value: Blob,
    /// Lease, or 0.
    pub lease: Int64,
}

/// One operation of a transaction.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Operation {
    /// The write.
    pub request_put: PutRequest,
}

/// `POST /v3/kv/txn`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct TxnRequest {
    /// Conditions.
    pub compare: Vec<CompareRequest>,
    /// Writes if they hold.
    pub success: Vec<Operation>,
}

/// Answer to a transaction.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct TxnResponse {
    /// Head of the answer.
    pub header: Header,
    /// Whether the conditions held.
    pub succeeded: bool,
}

/// `POST /v3/lease/grant`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct GrantRequest {
    /// Time to live in seconds.
    #[serde(rename = "TTL")]
    pub ttl: Int64,
}

/// `POST /v3/lease/keepalive`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct KeepAliveRequest {
    /// The lease.
    #[serde(rename = "ID")]
    pub id: Int64,
}

/// Answer to a grant or a renewal.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct LeaseResponse {
    /// The lease.
    #[serde(rename = "ID")]
    pub id: Int64,
    /// Time to live in seconds; 0 if the lease has lapsed.
    #[serde(rename = "TTL")]
    pub ttl: Int64,
}

/// A message of a stream.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Streamed<T> {
    /// The message.
    pub result: T,
}

/// What a watch starts with.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct WatchCreate {
    /// First key.
    pub key: Blob,
    /// Key behind the last one.
    pub range_end: Blob,
    /// First revision to report.
    pub start_revision: Int64,
}

/// `POST /v3/watch`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct WatchRequest {
    /// What to watch.
    pub create_request: WatchCreate,
}

/// A change that a watch reports.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct WatchEvent {
    /// The key after the change.
    pub kv: KeyValue,
}

/// Changes that a watch reports.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct WatchResponse {
    /// Head of the message.
    pub header: Header,
    /// Changes.
    pub events: Vec<WatchEvent>,
}

/// Returns the key behind the last key with a prefix.
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}
