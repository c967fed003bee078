//! Tests of the membership state machine in virtual time on a simulated network.

mod faults;
mod joins;
mod random;
mod rolls;
mod session;
mod spread;
mod untrusted;
mod view;

use std::{net::SocketAddrV4, time::Duration};

use berylvalve::{
    member::MemberState,
    trial::membership::network::{Network, record},
};

/// Failure domains of a simulated fleet.
const DOMAINS: usize = 4;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Returns a fleet of `size` processes that know each other, after 3 s of virtual time.
fn fleet(size: usize, seed: u64) -> Network {
    let mut network = Network::new(seed);
    let records: Vec<_> = (0..size).map(|n| record(n, DOMAINS)).collect();
    let seeds = [records[0].control, records[1].control];
    network.start_fleet(&records, &seeds);
    network.run(seconds(3));
    network
}

/// Returns in how many views of other running processes the process `node` has a given state.
fn count_views_with_state(network: &Network, node: usize, state: MemberState) -> usize {
    let address = network.nodes[node].local.address;
    let others = network.nodes.iter().enumerate();
    let running = others.filter(|(n, other)| *n != node && other.running);
    running
        .filter(|(_, other)| other.swim.state_of(address) == Some(state))
        .count()
}

/// Returns the control addresses of the first two processes.
fn seeds(network: &Network) -> Vec<SocketAddrV4> {
    vec![
        network.nodes[0].local.control,
        network.nodes[1].local.control,
    ]
}
