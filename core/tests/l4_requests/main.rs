//! Scheduling of requests on open flows at an agent: order, shares, bounds, and that nothing is lost,
//! repeated, changed or reordered.

mod bounds;
mod harness;
mod order;
mod properties;
mod simulation;
mod wave;
mod wire;
