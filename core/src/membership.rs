//! Membership without a list or a coordination service.
//!
//! Every process announces itself through its seeds; records spread by probes with piggybacked
//! updates and are repaired by comparison of digests. [`swim`] decides, [`service`] sends.

use std::sync::Mutex;

pub mod budget;
pub mod digest;
pub mod message;
pub mod news;
pub mod probe;
pub mod roster;
pub mod service;
pub mod signer;
pub mod suspicion;
pub mod swim;
pub mod sync;

pub use service::{start, start_when_ready};
pub use signer::{MessageError, Signer};

use crate::member::Record;

/// The record of this process, under the name [`LocalRecord::NAME`].
///
/// The incarnation changes when the process was frozen for so long that the others may have given
/// it up; what the old incarnation promised no longer holds.
#[derive(Debug)]
pub struct LocalRecord(Mutex<Record>);

impl LocalRecord {
    /// Name of the service in the kernel's registry.
    pub const NAME: &'static str = "local_record";

    /// Returns the service for a record.
    pub fn new(record: Record) -> Self {
        Self(Mutex::new(record))
    }

    /// Returns a copy of the record.
    pub fn get(&self) -> Record {
        self.0.lock().expect("record lock").clone()
    }

    /// Changes the record and counts its version.
    pub fn update(&self, change: impl FnOnce(&mut Record)) {
        let mut record = self.0.lock().expect("record lock");
        change(&mut record);
        record.version += 1;
    }
}
