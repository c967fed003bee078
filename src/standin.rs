//! Small stand-ins for the platform: the fabric and the backend servers.

pub mod body;
pub mod fabric;
pub mod server;
