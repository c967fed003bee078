//! Load of an agent's backend server relative to its concurrency limit. An agent forwards new flows
//! to their second choice, if there is one, while the load is at least
//! [`FORWARD_THRESHOLD`](super::datagram_forwarding::FORWARD_THRESHOLD).

use std::sync::atomic::{AtomicU32, Ordering};

/// Running plus waiting requests relative to the backend server's concurrency limit, in
/// thousandths; may exceed 1000.
#[derive(Debug, Default)]
pub struct Pressure(AtomicU32);

impl Pressure {
    /// Name of the component in the kernel's registry.
    pub const NAME: &'static str = "pressure";

    /// Returns the pressure in thousandths.
    pub fn get(&self) -> u32 {
        self.0.load(Ordering::Relaxed)
    }

    /// Sets the pressure in thousandths.
    pub fn set(&self, thousandths: u32) {
        self.0.store(thousandths, Ordering::Relaxed);
    }
}
