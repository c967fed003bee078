//! Encapsulation of datagrams between balancers and agents.
//!
//! A frame is one byte with the length of the header, the header in MessagePack, and the payload.
//! Addresses are byte strings of fixed length, so that the headers of a flow differ in size only if the
//! version does, and its frames can be sent in batches.

use std::net::{SocketAddr, SocketAddrV4};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use snafu::{OptionExt, ResultExt, Snafu};

use crate::owner_id::ServiceTag;

mod address;

/// An error in encoding or decoding a frame.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// The bytes of the header are not a MessagePack header of the expected type.
    #[snafu(display("cannot decode the frame header: {source}"))]
    InvalidHeader {
        /// Error of the MessagePack decoder.
        source: rmp_serde::decode::Error,
    },
    /// The frame is empty or shorter than its length byte says.
    #[snafu(display("frame truncated: got {got} bytes, header needs {expected}"))]
    Truncated {
        /// Length of the frame up to the end of its header, in bytes.
        expected: usize,
        /// Length of the frame, in bytes.
        got: usize,
    },
    /// The header cannot be encoded.
    #[snafu(display("cannot encode the frame header: {source}"))]
    Unencodable {
        /// Error of the MessagePack encoder.
        source: rmp_serde::encode::Error,
    },
}

/// Header of an encapsulated datagram, in either direction.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Header {
    /// Address of the caller at the other end of the flow.
    #[serde(with = "address::v4_or_v6")]
    pub caller: SocketAddr,
    /// Service to which the caller sends.
    pub service: ServiceTag,
    /// Version of the membership view by which a balancer routed the datagram; 0 in frames from an agent to
    /// a balancer.
    pub version: u64,
    /// Balancer through which the datagrams to the caller are sent.
    #[serde(with = "address::v4")]
    pub balancer: SocketAddrV4,
    /// Agents that the receiving agent may forward the datagram to.
    ///
    /// A balancer sets the second choice and the earlier owner. An agent sets only itself when
    /// it forwards to the earlier owner, and otherwise none.
    #[serde(with = "address::optional_v4_pair")]
    pub fallbacks: [Option<SocketAddrV4>; 2],
    /// Number of times that agents have forwarded the datagram; they stop at [`MAX_HOPS`].
    ///
    /// [`MAX_HOPS`]: crate::consts::MAX_HOPS
    pub hops: u8,
}

/// Writes a header and a payload to `buffer`, replacing its contents.
///
/// The encoded header must be at most 255 bytes long; the length of a longer one is truncated.
///
/// # Errors
///
/// Fails if the header cannot be encoded.
pub fn encode<H: Serialize>(
    header: &H,
    payload: &[u8],
    buffer: &mut Vec<u8>,
) -> Result<(), FrameError> {
    encode_extended(header, None::<&()>, payload, buffer)
}

/// Writes a frame as [`encode`] does, with an extension behind the header. Builds that do not know the
/// extension ignore it.
///
/// The encoded header and extension must be at most 255 bytes long together.
///
/// # Errors
///
/// Fails if the header or the extension cannot be encoded.
pub fn encode_extended<H: Serialize, E: Serialize>(
    header: &H,
    extension: Option<&E>,
    payload: &[u8],
    buffer: &mut Vec<u8>,
) -> Result<(), FrameError> {
    buffer.clear();
    buffer.push(0);
    rmp_serde::encode::write(buffer, header).context(UnencodableSnafu)?;
    if let Some(extension) = extension {
        rmp_serde::encode::write(buffer, extension).context(UnencodableSnafu)?;
    }
    buffer[0] = (buffer.len() - 1) as u8;
    buffer.extend_from_slice(payload);
    Ok(())
}

/// Decodes a frame and returns its header and its payload.
///
/// # Errors
///
/// Fails if the frame is truncated or its header cannot be decoded.
pub fn decode<H: DeserializeOwned>(frame: &[u8]) -> Result<(H, &[u8]), FrameError> {
    let (header, _, payload) = decode_extended::<H, ()>(frame)?;
    Ok((header, payload))
}

/// Decodes a frame and returns its header, the extension if it has a valid one, and its payload.
///
/// # Errors
///
/// Fails if the frame is truncated or its header cannot be decoded.
pub fn decode_extended<H: DeserializeOwned, E: DeserializeOwned>(
    frame: &[u8],
) -> Result<(H, Option<E>, &[u8]), FrameError> {
    let got = frame.len();
    let (length, rest) = frame.split_first().context(TruncatedSnafu {
        expected: 1_usize,
        got,
    })?;
    let length = usize::from(*length);
    let (header, payload) = rest.split_at_checked(length).context(TruncatedSnafu {
        expected: 1 + length,
        got,
    })?;
    let mut decoder = rmp_serde::Deserializer::from_read_ref(header);
    let header = H::deserialize(&mut decoder).context(InvalidHeaderSnafu)?;
    let extension = E::deserialize(&mut decoder).ok();
    Ok((header, extension, payload))
}
