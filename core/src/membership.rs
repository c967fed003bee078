//! Gossip membership without a static list or a coordination service.
//!
//! Every process announces itself through its seeds. Updates spread on probes and in gossip
//! messages; anti-entropy repairs what was lost. [`swim`] is the state machine, [`udp_loop`] does
//! its I/O.

use std::sync::Mutex;

pub mod budget;
pub mod digest;
pub mod message;
pub mod metrics;
pub mod probe;
pub mod roster;
pub mod signer;
pub mod suspicion;
pub mod swim;
pub mod sync;
pub mod udp_loop;
pub mod update_queue;

pub use signer::{MessageError, Signer};
pub use udp_loop::{Discovery, start, start_when_ready};

use crate::member::Record;

/// The record of this process, published in the kernel under [`LocalRecord::NAME`].
///
/// The incarnation changes after a freeze so long that other processes may have removed this one,
/// and when they know a higher incarnation of its address.
#[derive(Debug)]
pub struct LocalRecord(Mutex<Record>);

impl LocalRecord {
    /// Name of the record in the kernel's registry.
    pub const NAME: &'static str = "local_record";

    /// Returns a holder of a record.
    pub fn new(record: Record) -> Self {
        Self(Mutex::new(record))
    }

    /// Returns a copy of the record.
    pub fn get(&self) -> Record {
        self.0.lock().expect("record lock").clone()
    }

    /// Changes the record and increments its version.
    ///
    /// [`swim::Swim`] announces the version that it is created with first, then counts versions of
    /// its own and ignores this number.
    pub fn update(&self, change: impl FnOnce(&mut Record)) {
        let mut record = self.0.lock().expect("record lock");
        change(&mut record);
        record.version += 1;
    }
}
