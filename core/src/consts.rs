//! Constants shared by several modules.

use std::time::Duration;

/// Length of an encrypted owner id, in bytes: the key id and one AES block.
pub const OWNER_ID_BYTES: usize = 17;

/// Largest UDP payload that agents and balancers receive, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 2048;

/// UDP payload size that agents and callers use for QUIC packets, in bytes.
pub const QUIC_MTU_BYTES: u16 = 1200;

/// Largest number of times that a datagram is forwarded from one agent to another.
pub const MAX_HOPS: u8 = 2;

/// Interval between keep-alive packets on a caller's connection.
pub const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Time without any packet after which a QUIC connection is closed.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time in which a change of a process's state is expected to reach its peers.
///
/// A process that stops waits a multiple of it after it has announced that it leaves.
pub const PROPAGATION_DELAY: Duration = Duration::from_millis(250);

/// Time for which a stopping process of the five-tuple data plane goes on running, and answering, so that
/// its last state reaches the others.
pub const LEAVE_ANNOUNCE_DELAY: Duration = Duration::from_millis(300);

/// Largest request or response body that an agent buffers, in bytes.
pub const MAX_BODY_BYTES: usize = 1 << 20;

/// Request header with the time left to the deadline, in milliseconds.
pub const TIMEOUT_HEADER: &str = "timeout-ms";

/// Header with the id of a request, in the request and in the response of its backend server.
pub const REQUEST_ID_HEADER: &str = "request-id";

/// Request header with the idempotency key: a request with a key runs at most once.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Response header in which an agent issues the caller's next idempotency key.
pub const NEXT_IDEMPOTENCY_KEY_HEADER: &str = "next-idempotency-key";

/// Response header with the outcome of a request: `answered`, `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "outcome";

/// Response header with the socket address of the backend server that ran the request.
pub const SERVED_BY_HEADER: &str = "served-by";
