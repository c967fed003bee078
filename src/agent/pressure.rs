//! Resource pressure of an agent, which decides whether it accepts new flows.

use std::sync::atomic::{AtomicU32, Ordering};

/// Running plus waiting requests per slot of the backend server, in thousandths; may exceed 1000.
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
