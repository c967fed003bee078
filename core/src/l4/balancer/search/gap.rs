//! What is missing before the replies to a search tell of every agent that may hold the flow.

use super::{Balancer, Search};
use crate::{clock::Time, l4::segment::Codec};

/// Why an agent that may hold the flow has possibly not replied to the search.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Gap {
    /// The members that the seeds know have not been fetched, or no agent is known.
    NotJoined,
    /// A process that replied knows an agent that is unknown here.
    UnknownAgent,
    /// An agent has not replied, and may live.
    SilentAgent,
    /// The caller has opened the flow again since the last round began.
    OldRound,
    /// Agents have appeared or were declared dead shortly before the last round.
    Unstable,
}

impl Gap {
    /// Returns the name in log lines and metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            Gap::NotJoined => "not_joined",
            Gap::UnknownAgent => "unknown_agent",
            Gap::SilentAgent => "silent_agent",
            Gap::OldRound => "old_round",
            Gap::Unstable => "unstable",
        }
    }
}

impl<C: Codec> Balancer<C> {
    /// Returns why a search may lack the reply of an agent that holds the flow, or `None` if every agent
    /// has replied in it or is absent. Resets and trial deliveries rest on that.
    pub(super) fn find_gap(&self, search: &Search, now: Time) -> Option<Gap> {
        if !self.joined || self.known_agents.summary().count == 0 {
            return Some(Gap::NotJoined);
        }
        // A round that no agent has replied to proves nothing.
        if !search.evidence.has_replies() || !search.informed.is_empty() {
            return Some(Gap::UnknownAgent);
        }
        // An agent may have answered between the end of the round and the replies to the last queries.
        let mut unreachable = search.evidence.unreachable.iter();
        let all_absent = unreachable.all(|absent| {
            search.denials.contains(absent.agent)
                || self.silences.absence(absent.agent, now).is_some()
        });
        if search.has_missing_replies() || !all_absent {
            return Some(Gap::SilentAgent);
        }
        if !search.is_current() {
            return Some(Gap::OldRound);
        }
        let is_stable = search.round_started >= self.stability.stable_at(search.all_sure, now);
        (!is_stable).then_some(Gap::Unstable)
    }
}
