//! Flows of TCP-like segments that carry no owner id: the five-tuple data plane.
//!
//! A [`Balancer`] reads segments of callers, places the flows that they open on agents, and finds
//! the owners of flows that it does not know. An [`Agent`] stands beside one backend server, knows
//! the flows of that server, and tells balancers what the server carries. Both are state machines:
//! datagrams and the time go in, datagrams come out through an [`Outbox`]. How a segment looks on
//! the wire is the matter of a [`Codec`].
//!
//! [`Balancer`]: balancer::Balancer
//! [`Agent`]: agent::Agent
//! [`Outbox`]: outbox::Outbox
//! [`Codec`]: segment::Codec

pub mod agent;
pub mod balancer;
pub mod choice;
pub mod counts;
pub mod daemon;
pub mod homes;
pub mod message;
pub mod outbox;
pub mod outlier;
pub mod routes;
pub mod segment;
pub mod server;
pub mod spread;
pub mod waiting;
pub mod workload;
