//! The state machines of balancers and agents: what they send for given datagrams and times.

mod agent;
mod agent_directives;
mod balancer;
mod balancer_directives;
mod codec;
