//! Interface of the key-value store of the platform.

use std::{
    fmt::{self, Debug},
    net::SocketAddrV4,
};

use ::http::StatusCode;
use futures::{future::BoxFuture, stream::BoxStream};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use tokio::sync::watch;

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

/// A position in the history of the store: an era and a revision in it.
///
/// A store that is restored from an older copy starts a new era. Revisions go back then and are
/// assigned again, so revisions of two eras can't be compared.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Position {
    /// Number of times that the store was restored; 0 for a store that does not count them.
    pub era: u64,
    /// Revision within the era; 0 is before the first write.
    pub revision: u64,
}

impl Position {
    /// Position before all writes.
    pub const START: Self = Self {
        era: 0,
        revision: 0,
    };

    /// Returns whether a read of all changes after `since` can be limited to those: `since` is of
    /// this era.
    pub const fn continues(&self, since: &Position) -> bool {
        self.era == since.era && since.revision <= self.revision
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.revision)
    }
}

/// Which state of the store a read may return.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Consistency {
    /// A state that includes all writes that were acknowledged before the read.
    Linearizable,
    /// A state that may be some seconds old. Such a read is much cheaper for the store.
    Stale,
}

/// A key with its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// Value of the last write.
    pub value: Vec<u8>,
    /// Position of the last write, in the era of the read.
    pub position: Position,
}

/// The items that a range read returned at one revision of the store; see [`Store::range`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Snapshot {
    /// Items in ascending order of their keys.
    pub items: Vec<Item>,
    /// Position at which the items were read.
    pub position: Position,
}

/// Identifies a lease; keys written under it are deleted when it ends.
///
/// A store that is restored from an older copy may assign the number of a lost lease again, so the era
/// is part of the identity.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct LeaseId {
    /// Era of the store in which the lease was granted.
    pub era: u64,
    /// Number of the lease in the store.
    pub number: u64,
}

/// A condition of a transaction, which compares the revision of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Compare {
    /// Key that is compared.
    pub key: String,
    /// Position of the last write that the key must have; revision 0 if the key must not exist.
    pub position: Position,
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

/// A stream of the positions of changes, in order, each soon after the change; ends with the connection
/// and with the era of the store.
pub type Watch = BoxStream<'static, Position>;

/// A client of the key-value store.
pub trait Store: Debug + Send + Sync {
    /// Returns the items under a prefix that were written after `since`, or all of them if `since` is
    /// [`Position::START`] or of another era.
    ///
    /// Deleted keys are not reported.
    fn range<'a>(
        &'a self,
        prefix: &'a str,
        since: Position,
        consistency: Consistency,
    ) -> BoxFuture<'a, Result<Snapshot, StoreError>>;

    /// Applies all writes of a transaction atomically if all its conditions hold. A condition on a
    /// revision of an earlier era does not hold.
    fn commit<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> BoxFuture<'a, Result<CommitOutcome, StoreError>>;

    /// Grants a lease with a time to live in seconds.
    fn grant(&self, ttl_seconds: u64) -> BoxFuture<'_, Result<LeaseId, StoreError>>;

    /// Renews a lease; returns `false` if it has already ended or is of an earlier era.
    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, Result<bool, StoreError>>;

    /// Watches the keys under a prefix for changes after `since`.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        since: Position,
    ) -> BoxFuture<'a, Result<Watch, StoreError>>;

    /// Returns a receiver of the latest era of the store that a response has shown; it starts at 0.
    fn eras(&self) -> watch::Receiver<u64>;
}
