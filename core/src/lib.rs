//! Routing decisions, membership and infrastructure that all data planes of berylvalve share.
//!
//! Decisions are state machines without I/O: they take events and a [`clock::Time`] and return
//! actions. [`kernel`] runs the tasks that do the I/O, [`membership`] maintains the list of
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
pub mod placement;
pub mod seeds;
pub mod store;
