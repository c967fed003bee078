//! Messages that balancers and agents send to each other, in frames that may end with a segment.
//!
//! Variants are encoded under their names, so a renamed variant keeps its earlier name on the wire.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use super::{routes::ServiceKey, segment::FlowKey, workload::Load};
use crate::{
    frame::{self, FrameError},
    member::KnownAgents,
    store::Position,
};

/// Why an agent refuses a new flow.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Refusal {
    /// The backend server returned the opening segment instead of accepting the flow.
    Bounced,
    /// All slots of the backend server are in use; another agent may have a free one.
    Busy,
    /// The backend server is draining and only finishes its open flows, or it became silent or left
    /// while the flow waited.
    Draining,
    /// The backend server is ejected because it fails many requests. A forced opening is still
    /// admitted, for when no other agent is left.
    Failing,
    /// The backend server has reached its limit of flows, too many flows wait for it, or this flow
    /// has waited too long.
    Full,
    /// The backend server does not answer opening segments.
    #[serde(rename = "Mute")]
    Unresponsive,
    /// No backend server has reported, or it is silent or has left.
    NoServer,
    /// The agent serves another service.
    OtherService,
}

impl Refusal {
    /// Returns the label in log lines and metrics, which operators match.
    pub const fn as_str(self) -> &'static str {
        match self {
            Refusal::Bounced => "bounced",
            Refusal::Busy => "busy",
            Refusal::Draining => "draining",
            Refusal::Failing => "failing",
            Refusal::Full => "full",
            Refusal::Unresponsive => "mute",
            Refusal::NoServer => "no_server",
            Refusal::OtherService => "other_service",
        }
    }
}

/// What a process knows about the owner of a flow.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Ownership {
    /// Another agent is recorded as the owner.
    #[serde(rename = "At")]
    HeldBy(SocketAddrV4),
    /// The agent that replies is the owner: its backend server holds the flow.
    Held,
    /// The agent that replies is not the owner, or the balancer that replies knows none.
    NotHeld,
    /// The agent can't tell: its backend server may hold flows from before the agent's start, and
    /// has not confirmed this one.
    Unsure,
}

/// A message between processes of the five-tuple data plane.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// To an agent, with the opening segment of a flow.
    Open {
        /// Service of the flow.
        service: ServiceKey,
        /// Whether the flow is admitted even if all slots are in use or the backend server is
        /// ejected.
        forced: bool,
        /// Priority under overload; 0 is the highest.
        priority: u8,
        /// Time that is left until the target latency of the answer, in milliseconds.
        target_ms: u32,
        /// Time that is left to deliver the flow so that its caller still gets the answer, in milliseconds;
        /// `None` if the balancer is of a build that does not tell. Sent behind the message, since earlier
        /// builds read the fields by position.
        #[serde(skip)]
        left_ms: Option<u32>,
    },
    /// To an agent, with a segment of a flow that it holds as far as the balancer knows.
    #[serde(rename = "Carry")]
    Forward,
    /// To an agent or a balancer: asks who owns a flow; the reply is [`Message::Found`].
    Find {
        /// The flow.
        flow: FlowKey,
        /// Last acknowledgement number of the caller; tells which of two servers that accepted the
        /// same opening segment has the flow.
        acknowledged: u32,
    },
    /// To an agent that is a home of the flow: the sender owns it, and further flows in the place of the
    /// segment ([`encode_flows`](super::segment::encode_flows)), which earlier builds ignore.
    Register {
        /// The flow.
        flow: FlowKey,
    },
    /// To an agent: asks which flows are registered there as the sender's; the reply is
    /// [`Message::Registrations`]. Earlier builds do not reply.
    ListRegistrations,
    /// Reply to [`Message::ListRegistrations`], with flows in the place of the segment
    /// ([`encode_flows`](super::segment::encode_flows)). A long reply takes several.
    Registrations,
    /// To a balancer: the backend server accepted the flow.
    Opened {
        /// The flow.
        flow: FlowKey,
        /// Initial sequence number of the backend server.
        initial: u32,
        /// Load of the backend server.
        load: Load,
    },
    /// To a balancer: the flow waits until the backend server can queue a request.
    Waits {
        /// The flow.
        flow: FlowKey,
        /// Load of the backend server.
        load: Load,
    },
    /// To a balancer, with the opening segment of a flow that is refused.
    Refused {
        /// Reason.
        refusal: Refusal,
        /// Load of the backend server.
        load: Load,
    },
    /// To a balancer, with a segment of a flow that the agent does not hold.
    Unknown,
    /// Reply to [`Message::Find`]. An agent also sends it when its backend server confirms a flow
    /// after a trial delivery.
    Found {
        /// The flow.
        flow: FlowKey,
        /// Ownership of the flow as the replying process knows it.
        ownership: Ownership,
        /// Summary of the agents that the replying process knows.
        agents: KnownAgents,
    },
    /// To a balancer: periodic report of the backend server's load.
    #[serde(rename = "Carries")]
    LoadReport(Load),
    /// To an agent: asks for a filter of all flows that it holds; the reply is
    /// [`Message::HeldFlows`].
    ListFlows {
        /// Number of the round of questions, which the reply repeats.
        round: u32,
    },
    /// Reply to [`Message::ListFlows`], with an encoded filter of the flows in the place of the segment.
    HeldFlows {
        /// Round of the question.
        round: u32,
        /// Whether the agent knows all flows of its backend server: false while the server may hold
        /// flows from before the agent's start.
        sure: bool,
        /// Summary of the agents that the replying agent knows.
        agents: KnownAgents,
    },
    /// To any process: position of the sender's directives, with the encoded directives in the place of
    /// the segment if the receiver may lack them.
    Directives {
        /// Position of the directives.
        position: Position,
    },
    /// To a balancer: version of the sender's route table. A balancer with a newer one replies with its
    /// own version.
    RouteVersion {
        /// Version; 0 before the first table.
        version: u64,
        /// Control address of the sender, from which its table can be pulled.
        control: SocketAddrV4,
    },
}

/// A received message with its sender and the segment in its frame.
#[derive(Clone, Copy, Debug)]
pub struct Received<'a> {
    /// Address from which the sender sends frames.
    pub from: SocketAddrV4,
    /// The message.
    pub message: Message,
    /// Datagram of the segment; empty if the frame has none.
    pub datagram: &'a [u8],
}

/// Encodes a message and a segment as a frame, which replaces the contents of `buffer`.
pub fn encode(message: &Message, datagram: &[u8], buffer: &mut Vec<u8>) {
    let left_ms = match message {
        Message::Open { left_ms, .. } => left_ms.as_ref(),
        _ => None,
    };
    frame::encode_extended(message, left_ms, datagram, buffer)
        .expect("a message can be encoded as MessagePack");
}

/// Decodes a frame that was received from `from`.
///
/// # Errors
///
/// Fails if the frame does not start with a valid message.
pub fn decode(from: SocketAddrV4, frame: &[u8]) -> Result<Received<'_>, FrameError> {
    let (mut message, extension, datagram) = frame::decode_extended(frame)?;
    if let Message::Open { left_ms, .. } = &mut message {
        *left_ms = extension;
    }
    Ok(Received {
        from,
        message,
        datagram,
    })
}
