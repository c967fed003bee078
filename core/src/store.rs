//! Interface of the key-value store of the platform.

use std::{fmt::Debug, net::SocketAddrV4};

use ::http::StatusCode;
use futures::{future::BoxFuture, stream::BoxStream};
use snafu::Snafu;

pub mod http;

pub use self::http::JsonClient;

/// An error in a call to the store.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// No connection could be made; the call has not taken effect.
    #[snafu(display("cannot connect to the store at {endpoint}"))]
    NotSent {
        /// Address of the store.
        endpoint: SocketAddrV4,
    },
    /// No complete, valid response arrived in time; the call may have taken effect.
    #[snafu(display("the store at {endpoint} does not answer"))]
    Indeterminate {
        /// Address of the store.
        endpoint: SocketAddrV4,
    },
    /// The store refused the call; it has not taken effect.
    #[snafu(display("the store at {endpoint} refused the call: status {status}"))]
    Refused {
        /// Address of the store.
        endpoint: SocketAddrV4,
        /// HTTP status.
        status: StatusCode,
    },
}

impl StoreError {
    /// Returns whether the call may have taken effect.
    pub fn is_indeterminate(&self) -> bool {
        matches!(self, StoreError::Indeterminate { .. })
    }
}

/// A key with its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// Value of the last write.
    pub value: Vec<u8>,
    /// Store revision of the last write.
    pub revision: u64,
}

/// The items that a range read returned at one revision of the store; see [`Store::range`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Snapshot {
    /// Items in ascending order of their keys.
    pub items: Vec<Item>,
    /// Store revision at which the items were read.
    pub revision: u64,
}

/// Identifies a lease; keys written under it are deleted when it ends.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct LeaseId(pub u64);

/// A condition of a transaction, which compares the revision of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Compare {
    /// Key that is compared.
    pub key: String,
    /// Store revision of the last write that the key must have; 0 if the key must not exist.
    pub revision: u64,
}

/// A write of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Write {
    /// Key that is created or overwritten.
    pub key: String,
    /// New value.
    pub value: Vec<u8>,
    /// Lease at whose end the key is deleted; `None` for a key that stays.
    pub lease: Option<LeaseId>,
}

/// Writes that take effect together if all conditions hold.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Transaction {
    /// Conditions, all of which must hold; without any, the writes always apply.
    pub compares: Vec<Compare>,
    /// Writes, applied together.
    pub writes: Vec<Write>,
}

/// The outcome of a transaction that the store has executed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// The writes took effect.
    Applied,
    /// A condition did not hold; nothing was written.
    Conflict,
}

/// A stream of the store revisions of changes, each as soon as it happens; ends with the connection.
pub type Watch = BoxStream<'static, u64>;

/// A client of the key-value store.
pub trait Store: Debug + Send + Sync {
    /// Returns the items under a prefix that were written after the store revision `since`, or all of them
    /// for 0.
    ///
    /// Deleted keys are not reported.
    fn range<'a>(
        &'a self,
        prefix: &'a str,
        since: u64,
    ) -> BoxFuture<'a, Result<Snapshot, StoreError>>;

    /// Applies all writes of a transaction atomically if all its conditions hold.
    fn commit<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> BoxFuture<'a, Result<CommitOutcome, StoreError>>;

    /// Grants a lease with a time to live in seconds.
    fn grant(&self, ttl_seconds: u64) -> BoxFuture<'_, Result<LeaseId, StoreError>>;

    /// Renews a lease; returns `false` if it has already ended.
    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, Result<bool, StoreError>>;

    /// Watches the keys under a prefix for changes after the store revision `since`.
    fn watch<'a>(&'a self, prefix: &'a str, since: u64)
    -> BoxFuture<'a, Result<Watch, StoreError>>;
}
