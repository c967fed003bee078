//! A layer-4 load balancer fleet for small operators.
//!
//! The library does all the work of the programs `berylvalved` (a balancer or an agent) and
//! `berylvalve` (the operators' tool). [`daemon`] starts a process from its settings, [`caller`] is
//! a client, and [`dev`] starts a whole site on loopback. A request passes through [`balancer`],
//! [`steering`] and [`agent`]; [`membership`] and [`settings`] keep the processes together.
//!
//! # Example
//!
//! ```
//! use std::path::Path;
//! use berylvalve::{Region, config};
//!
//! let text = r#"{
//!     "region": "noordkust",
//!     "policy": { "timeout_ms": 5000 },
//!     "services": { "wind": {
//!         "tag": 1,
//!         "address": "203.0.113.10:443",
//!         "requests": { "checkin": { "method": "POST", "path": "/checkin" } }
//!     } }
//! }"#;
//! let tree: Region = config::parse(Path::new("tree.json"), text)?;
//! assert!(!tree.request_types("wind")[0].idempotent);
//! # Ok::<(), berylvalve::config::ConfigError>(())
//! ```

pub mod agent;
pub mod balancer;
pub mod caller;
pub mod cli;
pub mod config;
pub mod daemon;
pub mod datagram;
pub mod decision;
pub mod dev;
pub mod explain;
pub mod flow;
pub mod load;
pub mod observe;
pub mod operations;
pub mod packet;
pub mod proxy_header;
pub mod retry;
pub mod settings;
pub mod soak;
pub mod standin;
pub mod steering;
pub mod store;
pub mod timeline;
pub mod trial;

pub use berylvalve_core::{
    clock, consts, control, frame, kernel, l4, log, member, membership, metrics, owner_id,
    placement, seeds,
};

pub use agent::reply::Outcome;
pub use caller::{Call, Caller, Reply};
pub use config::tree::Region;
pub use daemon::Daemon;
