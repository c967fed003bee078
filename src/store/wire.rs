//! Messages of the etcd v3 HTTP/JSON gateway, with the fields that are used here.
//!
//! The gateway encodes 64-bit integers as strings and omits fields that are zero.

use base64::{Engine, engine::general_purpose::STANDARD};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

/// Bytes that are encoded as base64 in JSON.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Base64(pub Vec<u8>);

impl Serialize for Base64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Base64).map_err(D::Error::custom)
    }
}

/// An unsigned 64-bit integer that is encoded as a string in JSON.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StringU64(pub u64);

impl Serialize for StringU64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.0.to_string())
    }
}

impl<'de> Deserialize<'de> for StringU64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map(StringU64).map_err(D::Error::custom)
    }
}

/// The header of each response.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Header {
    /// Revision of the store.
    pub revision: StringU64,
}

/// A key with its value.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct KeyValue {
    /// The key.
    pub key: Base64,
    /// The value.
    pub value: Base64,
    /// Store revision of the last write.
    pub mod_revision: StringU64,
}

/// `POST /v3/kv/range`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key.
    pub key: Base64,
    /// End of the key range, exclusive.
    pub range_end: Base64,
    /// Lowest store revision of the last write of returned keys; 0 for no limit.
    pub min_mod_revision: StringU64,
    /// Whether any endpoint may answer from its own state, which may be old.
    pub serializable: bool,
}

/// Response to a [`RangeRequest`].
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct RangeResponse {
    /// Header of the response.
    pub header: Header,
    /// Key-value pairs in ascending order of keys.
    pub kvs: Vec<KeyValue>,
}

/// A condition of a transaction: the store revision of the key's last write equals
/// `mod_revision`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct CompareRequest {
    /// Always `EQUAL`.
    pub result: String,
    /// Always `MOD`.
    pub target: String,
    /// The key.
    pub key: Base64,
    /// That store revision; 0 if the key must not exist.
    pub mod_revision: StringU64,
}

/// A write.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key.
    pub key: Base64,
    /// The value.
    pub value: Base64,
    /// Id of the lease; 0 for none.
    pub lease: StringU64,
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
    /// Conditions, all of which must hold.
    pub compare: Vec<CompareRequest>,
    /// Writes to apply if the conditions hold.
    pub success: Vec<Operation>,
}

/// Response to a [`TxnRequest`].
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct TxnResponse {
    /// Header of the response.
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
    pub ttl: StringU64,
}

/// `POST /v3/lease/keepalive`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct KeepAliveRequest {
    /// Id of the lease.
    #[serde(rename = "ID")]
    pub id: StringU64,
}

/// Response to a [`GrantRequest`] or a [`KeepAliveRequest`].
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct LeaseResponse {
    /// Id of the lease.
    #[serde(rename = "ID")]
    pub id: StringU64,
    /// Time to live in seconds; 0 if the lease has expired.
    #[serde(rename = "TTL")]
    pub ttl: StringU64,
}

/// The envelope of each message in a streaming response.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct StreamMessage<T> {
    /// The message.
    pub result: T,
}

/// The range and start of a new watch.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct WatchCreateRequest {
    /// First key.
    pub key: Base64,
    /// End of the key range, exclusive.
    pub range_end: Base64,
    /// First store revision to report.
    pub start_revision: StringU64,
}

/// `POST /v3/watch`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct WatchRequest {
    /// Range to watch.
    pub create_request: WatchCreateRequest,
}

/// A change of one key.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct WatchEvent {
    /// Key and value after the change.
    pub kv: KeyValue,
}

/// A message of a watch; without events, it only confirms or maintains the watch.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct WatchResponse {
    /// Header of the message.
    pub header: Header,
    /// Changes in this message.
    pub events: Vec<WatchEvent>,
}

/// Returns the exclusive end of the range of keys with a prefix; a single zero byte means no end.
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
