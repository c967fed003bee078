//! Balancers and agents by themselves: what they send for what they get.

mod agent;
mod balancer;
mod codec;
