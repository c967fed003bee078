//! Comparison of the agents that are known here with the summaries of other processes.
//!
//! A search proves that a flow is lost only if no process that replies knows an agent that is unknown
//! here. In a large fleet some process has always just missed an agent that has joined or one that has
//! left, so that few summaries are equal.

use std::collections::HashMap;

use rustc_hash::FxBuildHasher;

use crate::member::{KnownAgents, MemberState, Role, View, address_hash};

/// The agents of the last view, and comparisons with the summaries of other processes.
#[derive(Clone, Debug, Default)]
pub struct AgentSet {
    summary: KnownAgents,
    /// Hashes of the known agents.
    known: Vec<u64>,
    /// Hashes of the agents that have left.
    left: Vec<u64>,
    /// Results by the digest of the other process.
    results: HashMap<u64, bool, FxBuildHasher>,
}

impl AgentSet {
    /// Replaces the agents by those of a view.
    pub fn update(&mut self, view: &View) {
        self.summary = view.known_agents();
        self.known = view
            .agents()
            .map(|record| address_hash(record.address))
            .collect();
        let agents = view
            .members
            .values()
            .filter(|record| record.role == Role::Agent);
        let left = agents.filter(|record| record.state == MemberState::Left);
        self.left = left.map(|record| address_hash(record.address)).collect();
        self.results.clear();
    }

    /// Returns the summary of the known agents.
    pub fn summary(&self) -> KnownAgents {
        self.summary
    }

    /// Returns whether another process knows no agents but those that are known here and those that have
    /// left. Returns `false` if its set differs by more than two agents, unless it counts fewer.
    pub fn includes(&mut self, other: &KnownAgents) -> bool {
        if self.summary.may_include(other) {
            return true;
        }
        if let Some(result) = self.results.get(&other.digest) {
            return *result;
        }
        let result = self.is_explained(other);
        self.results.insert(other.digest, result);
        result
    }

    /// Returns whether one or two agents explain the difference: known ones that the other process does
    /// not know, and ones that have left and that it still counts.
    fn is_explained(&self, other: &KnownAgents) -> bool {
        let difference = self.summary.digest ^ other.digest;
        let count_difference = i64::from(other.count) - i64::from(self.summary.count);
        // An agent that has left adds one to the count of the other process, a missing one takes one off.
        let left = self.left.iter().map(|hash| (*hash, 1));
        let missing = self.known.iter().map(|hash| (*hash, -1));
        let candidates: Vec<(u64, i64)> = left.chain(missing).collect();
        for (index, (first, first_count)) in candidates.iter().enumerate() {
            if *first == difference && *first_count == count_difference {
                return true;
            }
            for (second, second_count) in &candidates[index + 1..] {
                if first ^ second == difference && first_count + second_count == count_difference {
                    return true;
                }
            }
        }
        false
    }
}
