//! Small stand-ins for the platform: the fabric, the key-value service and the backend servers.

pub mod body;
pub mod fabric;
pub mod kv;
pub mod server;
