//! Metrics of the membership of a process.

use prometheus_client::metrics::gauge::Gauge;

use super::message::Body;
use crate::metrics::{CounterFamily, Metrics};

/// Kinds of messages, as values of the label `kind`.
const KINDS: [&str; 10] = [
    "ack",
    "digest",
    "gossip",
    "join",
    "join_reply",
    "ping",
    "ping_request",
    "pull",
    "shard_part",
    "versions",
];

/// Metrics of the membership of a process.
#[derive(Clone, Debug, Default)]
pub struct MembershipMetrics {
    /// Messages that were not sent because the send budget was used up, by kind.
    pub refused: CounterFamily,
    /// Largest number of members that another process claimed to know when this one joined.
    pub claimed: Gauge,
}

impl MembershipMetrics {
    /// Counts a message that was not sent.
    pub fn count_refused(&self, body: &Body) {
        let label = [("kind", kind(body))];
        self.refused.get_or_create(&label).inc();
    }

    /// Registers the metrics, to be called once per process.
    pub fn register(&self, metrics: &Metrics) {
        for kind in KINDS {
            let _ = self.refused.get_or_create(&[("kind", kind)]);
        }
        let help = "Membership messages that were not sent because the budget was used up";
        metrics.register("membership_refused", help, self.refused.clone());
        let help = "Members that another process claimed to know when this one joined";
        metrics.register("members_claimed", help, self.claimed.clone());
    }
}

fn kind(body: &Body) -> &'static str {
    match body {
        Body::Ping { .. } => "ping",
        Body::Ack { .. } => "ack",
        Body::PingRequest { .. } => "ping_request",
        Body::Gossip => "gossip",
        Body::Join => "join",
        Body::JoinReply { .. } => "join_reply",
        Body::Digest { .. } => "digest",
        Body::Versions { .. } => "versions",
        Body::Pull { .. } => "pull",
        Body::ShardPart { .. } => "shard_part",
    }
}
