//! The platform's key-value store: the [`Store`] interface and a client of etcd.

pub mod etcd;
pub mod wire;

pub use berylvalve_core::store::*;
pub use etcd::EtcdStore;
