//! The platform's key-value service as the system uses it.

use std::{fmt::Debug, net::SocketAddrV4};

use ::http::StatusCode;
use futures::{future::BoxFuture, stream::BoxStream};
use snafu::Snafu;

pub mod http;

pub use self::http::HttpCalls;

/// An error of a call to the store.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// No connection; the call has not taken effect.
    #[snafu(display("the store at {endpoint} can't be reached"))]
    Unreachable {
        /// Address of the store.
        endpoint: SocketAddrV4,
    },
    /// No answer in time; the call may have taken effect.
    #[snafu(display("the store at {endpoint} does not answer"))]
    Lost {
        /// Address of the store.
        endpoint: SocketAddrV4,
    },
    /// The store refused the call; it has not taken effect.
    #[snafu(display("the store at {endpoint} refused: {status}"))]
    Refused {
        /// Address of the store.
        endpoint: SocketAddrV4,
        /// HTTP status.
        status: StatusCode,
    },
}

impl StoreError {
    /// Returns whether the call may have taken effect.
    pub fn is_lost(&self) -> bool {
        matches!(self, StoreError::Lost { .. })
    }
}

/// A key with its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Store revision of the last change.
    pub revision: u64,
}

/// What the store held at one revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Snapshot {
    /// Keys in order.
    pub items: Vec<Item>,
    /// Store revision of the snapshot.
    pub revision: u64,
}

/// A lease of the store.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct LeaseId(pub u64);

/// A condition of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Compare {
    /// The key.
    pub key: String,
    /// Store revision that the key must have; 0 if it must not exist.
    pub revision: u64,
}

/// A write of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Lease whose end deletes the key.
    pub lease: Option<LeaseId>,
}

/// Writes that take effect together if all conditions hold.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Transaction {
    /// Conditions.
    pub compares: Vec<Compare>,
    /// Writes.
    pub writes: Vec<Write>,
}

/// How a transaction ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Committed {
    /// The writes took effect.
    Done,
    /// A condition did not hold and nothing changed.
    Conflict,
}

/// Store revisions of changes, each as soon as it happens; ends with the connection.
pub type Watch = BoxStream<'static, u64>;

/// The calls that the system makes.
pub trait Store: Debug + Send + Sync {
    /// Returns the keys under a prefix that changed after a store revision.
    fn range<'a>(
        &'a self,
        prefix: &'a str,
        since: u64,
    ) -> BoxFuture<'a, Result<Snapshot, StoreError>>;

    /// Writes if all conditions hold.
    fn commit<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> BoxFuture<'a, Result<Committed, StoreError>>;

    /// Grants a lease for a number of seconds.
    fn grant(&self, seconds: u64) -> BoxFuture<'_, Result<LeaseId, StoreError>>;

    /// Renews a lease; returns whether it still lives.
    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, Result<bool, StoreError>>;

    /// Watches the keys under a prefix for changes after a store revision.
    fn watch<'a>(&'a self, prefix: &'a str, since: u64)
    -> BoxFuture<'a, Result<Watch, StoreError>>;
}
