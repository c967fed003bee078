//! What all data planes of berylvalve share: decisions, membership, and plumbing.
//!
//! Decisions are state machines without I/O: events and [`clock::Time`] go in, actions come out.
//! [`kernel`] runs the tasks around them; [`membership`] tells which processes there are, and
//! [`placement`] which of them take a new flow.

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
