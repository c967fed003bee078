//! Bloom filter of the flows that an agent holds, small enough for one datagram.
//!
//! A filter has no false negatives: a flow that was encoded is always contained. A flow that was not
//! may be contained by chance, at most 1 in 100 times while the filter is not at its size limit.
//!
//! The encoding is the number of probes of a flow (1 byte), the length of the bit array in bytes
//! (2 bytes, big-endian) and the bit array.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::segment::FlowKey;

/// Largest size of an encoded filter. With the frame's header it fits the smallest usual MTU.
pub const MAX_ENCODED_BYTES: usize = 1_100;

/// Bits for each flow while they fit; 10 bits and 7 probes give 0.8% false positives.
const BITS_PER_FLOW: usize = 10;

/// Number of probes at [`BITS_PER_FLOW`].
const MAX_PROBES: usize = 7;

const HEADER_BYTES: usize = 3;

/// Hash of a flow under the seed of one filter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FlowHash(u64);

impl FlowHash {
    /// Returns the hash of a flow. Different seeds make false positives independent.
    pub fn new(flow: &FlowKey, seed: u32) -> Self {
        Self(xxh3_64_with_seed(&flow.to_bytes(), seed.into()))
    }

    /// Returns the positions in an array of `bits` bits that `probes` probes read.
    fn positions(self, probes: u8, bits: usize) -> impl Iterator<Item = usize> {
        let first = self.0 as u32;
        // An odd step visits different positions.
        let step = (self.0 >> 32) as u32 | 1;
        (0..u32::from(probes)).map(move |index| {
            let position = first.wrapping_add(index.wrapping_mul(step));
            ((u64::from(position) * bits as u64) >> 32) as usize
        })
    }
}

/// A decoded filter.
#[derive(Clone, Copy, Debug)]
pub struct FlowSet<'a> {
    bits: &'a [u8],
    probes: u8,
}

impl<'a> FlowSet<'a> {
    /// Returns the filter in a datagram, or `None` if the datagram does not hold exactly one.
    pub fn decode(datagram: &'a [u8]) -> Option<Self> {
        let (&[probes, high, low], bits) = datagram.split_first_chunk::<HEADER_BYTES>()?;
        let has_length = bits.len() == usize::from(u16::from_be_bytes([high, low]));
        let is_valid = has_length && (1..=MAX_PROBES).contains(&usize::from(probes));
        is_valid.then_some(Self { bits, probes })
    }

    /// Returns whether the filter may contain a flow; `false` only if the flow was not encoded.
    pub fn contains(&self, hash: FlowHash) -> bool {
        if self.bits.is_empty() {
            return false;
        }
        let mut positions = hash.positions(self.probes, 8 * self.bits.len());
        positions.all(|position| self.bits[position / 8] & 1 << (position % 8) != 0)
    }
}

/// Encodes a filter of flows, which replaces the contents of `buffer`.
pub fn encode(flows: &[FlowHash], buffer: &mut Vec<u8>) {
    let wanted = (flows.len() * BITS_PER_FLOW).div_ceil(8);
    let bytes = wanted.min(MAX_ENCODED_BYTES - HEADER_BYTES);
    // With fewer bits for each flow, fewer probes give fewer false positives: bits per flow x ln 2.
    let probes = (8 * bytes * 7 / 10) / flows.len().max(1);
    let probes = probes.clamp(1, MAX_PROBES) as u8;
    buffer.clear();
    buffer.push(probes);
    buffer.extend_from_slice(&(bytes as u16).to_be_bytes());
    buffer.resize(HEADER_BYTES + bytes, 0);
    let bits = &mut buffer[HEADER_BYTES..];
    for hash in flows {
        for position in hash.positions(probes, 8 * bytes) {
            bits[position / 8] |= 1 << (position % 8);
        }
    }
}
