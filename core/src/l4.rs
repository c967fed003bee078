//! Data plane for flows of TCP-like segments that carry no owner id and are told apart by their
//! addresses and ports.
//!
//! A [`Balancer`] reads segments of callers, places new flows on agents, and searches for the
//! owners of flows that it has no entry for. An [`Agent`] runs beside one backend server, tracks
//! the flows of that server and reports its load to balancers. Both are state machines without
//! I/O: they are given datagrams and the time, and send datagrams through an [`Outbox`]. A
//! [`Codec`] reads and writes the wire format of segments.
//!
//! [`Balancer`]: balancer::Balancer
//! [`Agent`]: agent::Agent
//! [`Outbox`]: outbox::Outbox
//! [`Codec`]: segment::Codec

pub mod agent;
pub mod balancer;
pub mod choice;
pub mod daemon;
pub mod directives;
pub mod flow_set;
pub mod homes;
pub mod message;
pub mod metrics;
pub mod outbox;
pub mod outlier;
pub mod route_sync;
pub mod routes;
pub mod segment;
pub mod server;
pub mod slow_start;
pub mod spread;
pub mod waiting;
pub mod workload;
