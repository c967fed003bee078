//! A layer-4 load balancer fleet for small operators.

pub mod agent;
pub mod balancer;
pub mod caller;
pub mod cli;
pub mod clock;
pub mod config;
pub mod consts;
pub mod control;
pub mod daemon;
pub mod dev;
pub mod frame;
pub mod kernel;
pub mod log;
pub mod member;
pub mod membership;
pub mod metrics;
pub mod owner_id;
pub mod packet;
pub mod placement;
pub mod proxy_header;
pub mod retry;
pub mod settings;
pub mod standin;
pub mod steering;
pub mod trial;
