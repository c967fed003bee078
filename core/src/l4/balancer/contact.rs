//! Whether a balancer reaches any agent at all.
//!
//! A balancer that is cut off from the agents still gets segments of callers. It can't serve them, and
//! the fabric would go on sending more: so it asks to be taken out until an agent answers again.

use std::{net::SocketAddrV4, time::Duration};

use super::Balancer;
use crate::{
    clock::Time,
    l4::{
        message::Message,
        outbox::Outbox,
        segment::{Codec, FlowKey},
    },
};

/// Time without a word of any agent, after a question, from which a balancer counts as cut off:
/// agents answer within milliseconds, and processes that are throttled within a tenth of a second.
const CUT_OFF_TIME: Duration = Duration::from_millis(600);

/// Time between two questions of a balancer that is cut off.
const QUESTION_INTERVAL: Duration = Duration::from_millis(250);

/// Agents that are asked at once.
const ASKED_AGENTS: usize = 3;

/// A flow that nobody has, to ask whether an agent answers.
const NO_FLOW: FlowKey = FlowKey {
    caller: SocketAddrV4::new(std::net::Ipv4Addr::UNSPECIFIED, 0),
    address: SocketAddrV4::new(std::net::Ipv4Addr::UNSPECIFIED, 0),
};

/// What is known of the paths to the agents.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Contact {
    /// When an agent was asked first since one was heard.
    asked: Option<Time>,
    /// When to ask next while cut off.
    question: Time,
}

impl Contact {
    /// Notes that an agent was sent something that it answers.
    pub(super) fn asked(&mut self, now: Time) {
        self.asked.get_or_insert(now);
    }

    /// Notes a word of an agent.
    pub(super) fn heard(&mut self) {
        self.asked = None;
    }

    fn is_lost(&self, now: Time) -> bool {
        let asked = self.asked;
        asked.is_some_and(|asked| now.since(asked) >= CUT_OFF_TIME)
    }
}

impl<C: Codec> Balancer<C> {
    /// Returns whether no agent answers.
    pub fn is_cut_off(&self, now: Time) -> bool {
        self.contact.is_lost(now)
    }

    /// Asks some agents whether they answer, while none does.
    pub(super) fn seek_contact(&mut self, now: Time, out: &mut impl Outbox) {
        if !self.contact.is_lost(now) || now < self.contact.question {
            return;
        }
        self.contact.question = now + QUESTION_INTERVAL;
        let salt = self.salt();
        let agents: Vec<SocketAddrV4> = self.fleet.some(ASKED_AGENTS, salt).collect();
        for agent in agents {
            self.ask_whether_alive(agent, out);
        }
    }

    /// Asks an agent for a flow that nobody has, so that it answers.
    pub(super) fn ask_whether_alive(&mut self, agent: SocketAddrV4, out: &mut impl Outbox) {
        let find = Message::Find {
            flow: NO_FLOW,
            acknowledged: 0,
        };
        self.send(agent, &find, &[], out);
    }
}
