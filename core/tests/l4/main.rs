//! The state machines of balancers and agents: what they send for given datagrams and times.

mod agent;
mod agent_claims;
mod agent_directives;
mod balancer;
mod balancer_directives;
mod claims;
mod codec;
mod dead_agents;
mod deadlines;
mod directives;
mod flow_set;
mod lost_flows;
mod readiness;
mod registrations;
mod reset_proof;
mod route_spread;
mod search;
mod silence;
mod trial;
mod verdict;
