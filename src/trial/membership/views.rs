//! The cost of one change in the view, with as many services and servers as at the target.

use std::{collections::BTreeMap, time::Instant};

use serde_json::{Value, json};

use super::network::record;
use crate::{
    member::{MemberState, Role, View},
    owner_id::ServiceTag,
};

const CHANGES: usize = 50;

/// Returns the time of a whole build, and of changes of one member.
pub fn measure(servers: usize, services: usize) -> Value {
    let mut members = BTreeMap::new();
    for number in 0..servers {
        let mut server = record(number, 10);
        server.role = Role::Agent;
        server.service = ServiceTag((number % services) as u16);
        members.insert(server.address, server);
    }
    let addresses: Vec<_> = members.keys().copied().collect();
    let start = Instant::now();
    let mut view = View::default().next(members.clone());
    let whole = start.elapsed();
    let tables: usize = view.tables.values().map(|table| table.memory_bytes()).sum();
    let mut state_changes = 0.0;
    for address in addresses.iter().step_by(servers / CHANGES).take(CHANGES) {
        if let Some(record) = members.get_mut(address) {
            record.state = MemberState::Draining;
        }
        let start = Instant::now();
        let next = members.clone();
        view = view.next(next);
        state_changes += start.elapsed().as_secs_f64();
    }
    json!({
        "servers": servers,
        "services": services,
        "whole_build_ms": whole.as_secs_f64() * 1e3,
        "one_change_ms": state_changes * 1e3 / CHANGES as f64,
        "tables_mb": tables as f64 / 1e6,
        "version": view.version,
    })
}
