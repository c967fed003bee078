//! The cases.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    thread,
    time::{Duration, Instant},
};

use crate::site::{Outcome, Site};

/// The bound `config_apply_ms` of the site.
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);

/// The bound `contact_ms` of the site.
const CONTACT: Duration = Duration::from_millis(4_000);

const ZONES: [&str; 3] = ["zone-1", "zone-2", "zone-3"];

fn balancer(zone: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 20, zone, 10)
}

fn side(zone: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 20, zone, 20)
}

/// CONFIG: all open channels to the store go silent, and a config is acknowledged a moment later. Requests that are
/// sent later than `config_apply_ms` after the ack, when all machines have been calm for `contact_ms`, must go where
/// the newer config sends them.
pub fn silent_channels(program: &str, record: &str, trouble: bool) -> Result<bool, String> {
    let mut site = Site::start(program, record)?;
    let until = Instant::now() + Duration::from_secs(20);
    let moved = SocketAddrV4::new(Ipv4Addr::new(127, 30, 0, 1), 8443);
    let dropped = SocketAddrV4::new(Ipv4Addr::new(127, 30, 0, 2), 8443);
    let added = SocketAddrV4::new(Ipv4Addr::new(127, 30, 0, 3), 8443);
    site.put_config(1, 5_000, &[(moved, "desk"), (dropped, "desk")]);
    for (zone, name) in (1..).zip(ZONES) {
        site.start_process(balancer(zone), name, None)?;
        let service = if zone == 3 { "maps" } else { "desk" };
        site.start_process(side(zone), name, Some(service))?;
    }
    let mut servers = Vec::new();
    for (zone, name) in (1..).zip(ZONES) {
        let service = if zone == 3 { "maps" } else { "desk" };
        servers.push(site.start_server(side(zone), name, service)?);
    }
    for zone in 1..=3 {
        site.await_ready(side(zone), until)?;
        site.await_ready(balancer(zone), until)?;
    }
    let mut caller = site.caller(Ipv4Addr::new(127, 20, 9, 1))?;
    // Balancers watch the store from a second after their start on.
    thread::sleep(Duration::from_secs(8));
    for zone in 1..=3 {
        let outcome = caller.request(balancer(zone), moved, &format!("first-{zone}"));
        if outcome != Outcome::Answered("desk".to_owned()) {
            return Err(format!(
                "the deployment does not serve before the disruption: {outcome:?}"
            ));
        }
    }
    site.put_config(2, 4_000, &[(moved, "desk"), (dropped, "desk")]);
    thread::sleep(Duration::from_millis(300));
    let silenced = Instant::now();
    if trouble {
        let count = site.store.silence_open_connections();
        site.record.add(&format!(
            "the open channels to the store go silent: {count} since the start"
        ));
    }
    thread::sleep(Duration::from_millis(200));
    site.put_config(3, 4_000, &[(moved, "maps"), (added, "desk")]);
    let acked = Instant::now();

    let mut broken = false;
    let judged_from = (acked + CONFIG_APPLY).max(silenced + CONTACT) + Duration::from_millis(200);
    thread::sleep(judged_from.saturating_duration_since(Instant::now()));
    for round in 0..4 {
        for zone in 1..=3 {
            let checks = [
                (moved, "moved", Outcome::Answered("maps".to_owned())),
                (added, "added", Outcome::Answered("desk".to_owned())),
                (dropped, "dropped", Outcome::Refused),
            ];
            for (route, name, expected) in checks {
                let sent = Instant::now();
                let outcome =
                    caller.request(balancer(zone), route, &format!("{name}-{zone}-{round}"));
                let older = match name {
                    "added" => outcome == Outcome::Refused,
                    _ => outcome == Outcome::Answered("desk".to_owned()),
                };
                if older {
                    broken = true;
                    let after_ack = sent.duration_since(acked).as_millis();
                    let calm = sent.duration_since(silenced).as_millis();
                    site.record.add(&format!(
                        "CONFIG broken: sent {after_ack} ms after the ack of config 3 and {calm} ms after the channels \
                         went silent, handled as config 2 allows: {outcome:?}, expected {expected:?}"
                    ));
                }
            }
        }
        thread::sleep(Duration::from_millis(300));
    }
    let calls = site.store.calls.lock().unwrap();
    for (at, connection, call) in calls
        .iter()
        .filter(|(at, _, call)| *at > silenced && !call.contains("lease") && !call.contains("keep"))
    {
        let at = site.record.seconds(*at);
        site.record.add(&format!(
            "the store was called at {at:.3} on channel {connection}: {call}"
        ));
    }
    drop(calls);
    let logged = site.logged(&["routes_applied", "watch_failed", "route_store"]);
    site.record.add(&format!("from the logs:\n{logged}"));
    Ok(broken)
}
