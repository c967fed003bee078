//! How busy an agent is, for the decision whether it takes a new flow.

use std::sync::atomic::{AtomicU32, Ordering};

/// Share of the backend server's capacity in use, in thousandths; may exceed 1000.
#[derive(Debug, Default)]
pub struct Pressure(AtomicU32);

impl Pressure {
    /// Name of the service in the kernel's registry.
    pub const NAME: &'static str = "pressure";

    /// Returns the share in use, in thousandths.
    pub fn get(&self) -> u32 {
        self.0.load(Ordering::Relaxed)
    }

    /// Sets the share in use, in thousandths.
    pub fn set(&self, thousandths: u32) {
        self.0.store(thousandths, Ordering::Relaxed);
    }
}
