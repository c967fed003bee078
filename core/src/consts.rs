//! Constants shared by several modules, each with its unit.

use std::time::Duration;

/// Length of a sealed connection id in bytes: the key id and one AES block.
pub const OWNER_ID_BYTES: usize = 17;

/// Largest UDP payload handled anywhere, in bytes.
pub const DATAGRAM_BYTES: usize = 2048;

/// UDP payload size that agents and callers use for QUIC packets, in bytes.
pub const QUIC_MTU_BYTES: u16 = 1200;

/// Largest number of times a datagram is handed from one agent to another.
pub const MAX_HOPS: u8 = 2;

/// Interval between keep-alive packets on a caller's connection.
pub const KEEP_ALIVE: Duration = Duration::from_millis(500);

/// Time without any packet after which a QUIC connection is closed.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time in which a process tells its neighbours of a change.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(250);

/// Largest request or answer body that an agent buffers, in bytes.
pub const BODY_BYTES: usize = 1 << 20;

/// Header that carries the time left to a request's deadline, in milliseconds.
pub const TIMEOUT_HEADER: &str = "timeout-ms";

/// Header that names a request for the logs.
pub const REQUEST_ID_HEADER: &str = "request-id";

/// Header that carries the key of a request that must run at most once.
pub const KEY_HEADER: &str = "idempotency-key";

/// Header in which an agent gives out the next idempotency key.
pub const NEXT_KEY_HEADER: &str = "next-idempotency-key";

/// Header that tells how a request ended: `answered`, `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "outcome";

/// Header that names the backend server that ran a request.
pub const SERVED_BY_HEADER: &str = "served-by";
