//! Bodies whose whole content follows from a request's name, so that damage shows.

use bytes::Bytes;
use rand::{RngCore, SeedableRng, rngs::SmallRng};
use xxhash_rust::xxh3::xxh3_64;

/// Returns the body of `length` bytes that belongs to a request.
pub fn answer_body(id: &str, length: usize) -> Bytes {
    let mut body = vec![0; length];
    SmallRng::seed_from_u64(xxh3_64(id.as_bytes())).fill_bytes(&mut body);
    body.into()
}
