//! The platform's key-value service: the calls that the system makes, and a client of etcd.

pub mod etcd;
pub mod wire;

pub use berylvalve_core::store::*;
pub use etcd::EtcdStore;
