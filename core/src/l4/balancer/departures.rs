//! Agents that the membership has given up, and that are asked themselves before their flows are reset.
//!
//! The membership gives up a process that others do not hear. After a cut, or while only one direction
//! of a path works, that process may live, with all its flows.

use std::{collections::BTreeMap, net::SocketAddrV4, time::Duration};

use super::{Balancer, Entry};
use crate::{
    clock::Time,
    l4::{outbox::Outbox, segment::Codec},
    member::{MemberState, View},
};

/// Time in which an agent answers: milliseconds, or a tenth of a second where it is throttled.
const ANSWER_TIME: Duration = Duration::from_millis(150);

/// Questions without an answer after which an agent is gone; one in some hundred datagrams is lost.
const QUESTIONS: u32 = 3;

/// Time from an answer to the next question, as long as the membership does not take the agent back.
const REPEAT_TIME: Duration = Duration::from_millis(1_000);

/// What is known of an agent that was given up.
#[derive(Clone, Copy, Debug)]
struct Departure {
    /// Whether it has answered at all.
    answered: bool,
    /// Questions since the last answer.
    questions: u32,
    /// When to ask or to conclude next.
    due: Time,
}

/// The agents whose end is not certain.
#[derive(Clone, Debug, Default)]
pub(super) struct Departures(BTreeMap<SocketAddrV4, Departure>);

impl Departures {
    /// Returns the agents whose end is not certain.
    pub(super) fn doubtful(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.0.keys().copied()
    }

    /// Returns when something is due next.
    pub(super) fn due(&self) -> Option<Time> {
        self.0.values().map(|departure| departure.due).min()
    }

    /// Notes a word of an agent.
    pub(super) fn heard(&mut self, agent: SocketAddrV4, now: Time) {
        if let Some(departure) = self.0.get_mut(&agent) {
            if !departure.answered {
                tracing::info!(event = "agent_answered", %agent, questions = departure.questions);
            }
            *departure = Departure {
                answered: true,
                questions: 0,
                due: now + REPEAT_TIME,
            };
        }
    }
}

impl<C: Codec> Balancer<C> {
    /// Resets the flows of agents that have left, and doubts the end of those that were given up.
    pub(super) fn depart(
        &mut self,
        gone: &[SocketAddrV4],
        view: &View,
        now: Time,
        out: &mut impl Outbox,
    ) {
        self.departures.0.retain(|agent, _| {
            let record = view.members.get(agent);
            record.is_none_or(|record| record.state == MemberState::Dead)
        });
        for agent in gone {
            let record = view.members.get(agent);
            if record.is_some_and(|record| record.state == MemberState::Left) {
                self.lose_flows_of(*agent, now, out);
                continue;
            }
            tracing::info!(event = "agent_doubted", %agent, view = view.version);
            let departure = Departure {
                answered: false,
                questions: 0,
                due: now,
            };
            self.departures.0.insert(*agent, departure);
        }
        self.doubt(now, out);
    }

    /// Asks the agents that were given up, and resets the flows of those that do not answer.
    pub(super) fn doubt(&mut self, now: Time, out: &mut impl Outbox) {
        let due = self.departures.0.iter().filter(|(_, d)| d.due <= now);
        let due: Vec<(SocketAddrV4, Departure)> = due.map(|(a, d)| (*a, *d)).collect();
        for (agent, departure) in due {
            if departure.questions == QUESTIONS {
                self.departures.0.remove(&agent);
                self.lose_flows_of(agent, now, out);
                continue;
            }
            let asked = Departure {
                questions: departure.questions + 1,
                due: now + ANSWER_TIME,
                ..departure
            };
            self.departures.0.insert(agent, asked);
            self.ask_whether_alive(agent, out);
        }
    }

    fn lose_flows_of(&mut self, agent: SocketAddrV4, now: Time, out: &mut impl Outbox) {
        let mut lost = Vec::new();
        for (flow, entry) in &self.flows {
            if let Entry::Owned(owned) = entry
                && owned.agent == agent
            {
                lost.push((*flow, owned.acknowledged));
            }
        }
        tracing::info!(event = "agent_gone", %agent, flows = lost.len());
        for (flow, acknowledged) in lost {
            self.lose(&flow, acknowledged, "agent_gone", now, out);
        }
    }
}
