//! Messages between balancers and agents, in frames that may carry a segment behind them.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use super::{routes::ServiceKey, segment::FlowKey, workload::Load};
use crate::{
    frame::{self, FrameError},
    member::KnownAgents,
};

/// Why an agent does not take a new flow.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Refusal {
    /// The backend server returned the opening segment.
    Bounced,
    /// All slots are in use; another agent may have a free one.
    Busy,
    /// The backend server finishes what it holds.
    Draining,
    /// The backend server fails many of its requests; it may be forced where no other is left.
    Failing,
    /// The backend server holds as many flows as it may, or too many wait for it.
    Full,
    /// The backend server does not answer.
    Mute,
    /// No backend server has reported, or it has left.
    NoServer,
    /// The agent serves another service.
    OtherService,
}

impl Refusal {
    /// Returns the word for logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Refusal::Bounced => "bounced",
            Refusal::Busy => "busy",
            Refusal::Draining => "draining",
            Refusal::Failing => "failing",
            Refusal::Full => "full",
            Refusal::Mute => "mute",
            Refusal::NoServer => "no_server",
            Refusal::OtherService => "other_service",
        }
    }
}

/// What an agent or a balancer says about a flow.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Standing {
    /// Another agent is remembered as its owner.
    At(SocketAddrV4),
    /// Its backend server holds the flow.
    Held,
    /// Its backend server does not hold the flow.
    NotHeld,
    /// The agent started after its backend server and has not seen the flow yet.
    Unsure,
}

/// A message between a balancer and an agent.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// To an agent, with the opening segment of a flow.
    Open {
        /// Service of the flow.
        service: ServiceKey,
        /// Whether to take it although all slots are in use.
        forced: bool,
        /// Rank under overload: 0 goes first.
        priority: u8,
        /// Time in which answers are expected, in milliseconds.
        target_ms: u32,
    },
    /// To an agent, with a segment of a flow that it is believed to hold.
    Carry,
    /// To an agent or a balancer: do you hold this flow, or know who does?
    Find {
        /// The flow.
        flow: FlowKey,
        /// What the caller has acknowledged; tells two half-open flows apart.
        acknowledged: u32,
    },
    /// To an agent that is a home of this flow: the sender holds it.
    Register {
        /// The flow.
        flow: FlowKey,
    },
    /// To a balancer: the backend server accepted the flow.
    Opened {
        /// The flow.
        flow: FlowKey,
        /// First sequence number of the backend server.
        initial: u32,
        /// What the backend server carries.
        load: Load,
    },
    /// To a balancer: the flow waits for a slot.
    Waits {
        /// The flow.
        flow: FlowKey,
        /// What the backend server carries.
        load: Load,
    },
    /// To a balancer, with the opening segment of a flow that is not taken.
    Refused {
        /// Why.
        refusal: Refusal,
        /// What the backend server carries.
        load: Load,
    },
    /// To a balancer, with a segment whose flow is not held here.
    Unknown,
    /// To a balancer: the answer to [`Message::Find`].
    Found {
        /// The flow.
        flow: FlowKey,
        /// What the asked process knows.
        standing: Standing,
        /// Agents that the asked process knows.
        agents: KnownAgents,
    },
    /// To a balancer: what the backend server carries now.
    Carries(Load),
}

/// A received message with its sender and the segment behind it.
#[derive(Clone, Copy, Debug)]
pub struct Received<'a> {
    /// Data address of the sender.
    pub from: SocketAddrV4,
    /// The message.
    pub message: Message,
    /// The segment's datagram, or nothing.
    pub datagram: &'a [u8],
}

/// Writes a message and a segment to `buffer`, in place of what it held.
pub fn encode(message: &Message, datagram: &[u8], buffer: &mut Vec<u8>) {
    frame::encode(message, datagram, buffer).expect("messages encode");
}

/// Reads a frame.
///
/// # Errors
///
/// Fails if the bytes are not a message.
pub fn decode(from: SocketAddrV4, frame: &[u8]) -> Result<Received<'_>, FrameError> {
    let (message, datagram) = frame::decode(frame)?;
    Ok(Received {
        from,
        message,
        datagram,
    })
}
