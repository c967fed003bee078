//! Headers that wrap datagrams between balancers and agents.
//!
//! A frame is one byte with the header's length, the header in MessagePack, and the payload.
//! Addresses are byte strings of fixed length, so that the frames of a flow have one size and can
//! be sent in batches.

use std::net::{SocketAddr, SocketAddrV4};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use snafu::{OptionExt, ResultExt, Snafu};

use crate::owner_id::ServiceTag;

mod octets;

/// An error of the frame codec.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// The header can't be read.
    #[snafu(display("damaged frame: {source}"))]
    Damaged {
        /// The codec's error.
        source: rmp_serde::decode::Error,
    },
    /// The frame ends before its header does.
    #[snafu(display("frame is too short"))]
    Short,
    /// The header can't be written.
    #[snafu(display("frame can't be written: {source}"))]
    Unwritable {
        /// The codec's error.
        source: rmp_serde::encode::Error,
    },
}

/// Header of a wrapped datagram, in either direction.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Header {
    /// Address of the caller at the other end of the flow.
    #[serde(with = "octets::any")]
    pub caller: SocketAddr,
    /// Service that the caller addressed.
    pub service: ServiceTag,
    /// Version of the sender's placement table.
    pub version: u64,
    /// Balancer that takes the answers.
    #[serde(with = "octets::v4")]
    pub balancer: SocketAddrV4,
    /// Agents to hand the datagram to if the receiver does not take it.
    #[serde(with = "octets::optional_v4")]
    pub others: [Option<SocketAddrV4>; 2],
    /// How often the datagram was handed on.
    pub hops: u8,
}

/// Writes a header and a payload to `buffer`, in place of what it held.
///
/// # Errors
///
/// Fails if the codec does.
pub fn encode<H: Serialize>(
    header: &H,
    payload: &[u8],
    buffer: &mut Vec<u8>,
) -> Result<(), FrameError> {
    buffer.clear();
    buffer.push(0);
    rmp_serde::encode::write(buffer, header).context(UnwritableSnafu)?;
    // No header is longer than a byte can tell: its parts have fixed bounds.
    buffer[0] = (buffer.len() - 1) as u8;
    buffer.extend_from_slice(payload);
    Ok(())
}

/// Reads a header and returns it with the payload behind it.
///
/// # Errors
///
/// Fails if the bytes are not a header.
pub fn decode<H: DeserializeOwned>(frame: &[u8]) -> Result<(H, &[u8]), FrameError> {
    let (length, rest) = frame.split_first().context(ShortSnafu)?;
    let (header, payload) = rest
        .split_at_checked(usize::from(*length))
        .context(ShortSnafu)?;
    let header = rmp_serde::from_slice(header).context(DamagedSnafu)?;
    Ok((header, payload))
}
