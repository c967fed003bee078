//! Bytes, time to all, processor time and memory of the membership by the size of the fleet.

pub mod network;
