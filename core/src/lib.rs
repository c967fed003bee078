//! Membership, placement and infrastructure shared by the data planes of berylvalve, which carry QUIC
//! requests or layer-4 flows, and the layer-4 data plane itself in [`l4`].
//!
//! The code that routes flows and tracks members is written as state machines without I/O, which take events and a
//! [`clock::Time`] and return actions. [`kernel`] runs the tasks that do the I/O, [`membership`] maintains the list of
//! processes, and [`placement`] selects the agents for a new flow.

pub mod clock;
pub mod consts;
pub mod control;
pub mod frame;
pub mod kernel;
pub mod l4;
pub mod log;
pub mod member;
pub mod membership;
pub mod metrics;
pub mod owner_id;
pub mod panics;
pub mod placement;
pub mod seeds;
pub mod store;
