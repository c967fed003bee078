//! Other ways to tell a fleet of its members, by the sizes of the same messages.

use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::{Value, json};

use super::network::record;
use crate::{
    membership::{
        Signer,
        budget::RATE_BYTES_PER_S,
        message::{Body, Header, Liveness, Message, PACKET_OVERHEAD_BYTES, PackedAddress, Update},
        probe::PROBE_INTERVAL,
    },
    owner_id::FleetKey,
};

/// Daemons at the target.
pub const DAEMONS: f64 = 4_600.0;

/// Failure domains at the target.
const DOMAINS: f64 = 10.0;

/// Relays of one failure domain.
const RELAYS: f64 = 3.0;

/// State changes a second: each of 3,600 replacements is three, each of 140 deaths two.
pub const STATE_CHANGES: f64 = (3_600.0 * 3.0 + 140.0 * 2.0) / 86_400.0;

/// Weight changes a second of 4,000 agents that each change once in five minutes.
const WEIGHT_CHANGES: f64 = 4_000.0 / 300.0;

/// Interval between renewals of a lease that lapses after 3 s.
const RENEWALS: f64 = 1.0;

/// Share of messages lost in the run of the broadcast with gap requests.
const LOSS: f64 = 0.01;

/// Bytes on the wire of a ping, and of news with one update with and without details.
fn sizes() -> (f64, f64, f64) {
    let key = FleetKey {
        id: 1,
        secret: vec![7; 16],
    };
    let signer = Signer::new(&[key]);
    let own = record(3, DOMAINS as usize);
    let message = |body: Body, update: Option<Update>| Message {
        header: Header {
            from: PackedAddress(own.address),
            control: PackedAddress(own.control),
            incarnation: own.incarnation,
            revision: 1_000_000,
        },
        body,
        updates: update.into_iter().collect(),
        requested: Vec::new(),
    };
    let wire = |message: Message| (signer.sign(&message).len() + PACKET_OVERHEAD_BYTES) as f64;
    let sequence = u32::MAX;
    let ping = wire(message(Body::Ping { sequence }, None));
    let full = Update::full(&own, Liveness::Alive);
    let full = wire(message(Body::Gossip, Some(full)));
    let brief = Update::brief(&own, Liveness::Alive);
    let brief = wire(message(Body::Gossip, Some(brief)));
    (ping, full, brief)
}

/// Returns the figures of the other ways at the target.
pub fn compare(seed: u64) -> Value {
    let (ping, full, brief) = sizes();
    let relays = RELAYS * DOMAINS;
    let probes = 1.0 / PROBE_INTERVAL.as_secs_f64();
    let watched = DAEMONS / DOMAINS;
    let heartbeats = watched * probes * ping;
    let updates = (STATE_CHANGES + WEIGHT_CHANGES) * brief * DAEMONS / relays;
    let (rounds, bytes) = broadcast(brief, seed);
    json!({
        "message_bytes": { "ping": ping, "full_record": full, "brief_record": brief },
        "direct_fan_out_by_30_relays": {
            "relay_heartbeat_bytes_per_s_received": heartbeats.round(),
            "relay_bytes_per_s_sent": (heartbeats + updates).round(),
            "changes_per_s_within_the_budget": RATE_BYTES_PER_S as f64 / (brief * DAEMONS / relays),
        },
        "every_process_on_the_store": {
            "lease_writes_per_s": DAEMONS / RENEWALS,
            "watch_calls_per_s_state_only": (DAEMONS * STATE_CHANGES).round(),
            "watch_calls_per_s_with_weights": (DAEMONS * (STATE_CHANGES + WEIGHT_CHANGES)).round(),
        },
        "sequence_numbers_and_gap_requests": {
            "loss": LOSS,
            "source_bytes_per_change": bytes.round(),
            "source_seconds_per_change_within_the_budget": bytes / RATE_BYTES_PER_S as f64,
            "rounds_until_all_know": rounds,
        },
    })
}

/// Sends one change from its source to all, with resends on request, as "Unreliable Broadcast
/// Service" does; returns the rounds until all know it and the bytes that the source sent.
///
/// Without multicast each copy is a message of its own. A receiver that lost the change learns of
/// the gap from the next heartbeat, which can be lost as well.
fn broadcast(bytes: f64, seed: u64) -> (u32, f64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut missing = DAEMONS as u32;
    let mut sent = 0.0;
    let mut rounds = 0;
    while missing > 0 {
        rounds += 1;
        sent += f64::from(missing) * bytes;
        let lost = (0..missing).filter(|_| rng.random_bool(LOSS));
        missing = lost.count() as u32;
    }
    (rounds, sent)
}
