//! Limits of client connections.

use emberpin_config::Limits;
use emberpin_limiter::host::{ClientLimits, HEAD_BYTES};
use std::time::Duration;

/// The longest head that is ever read, whatever the configuration says: each client's connection may hold one.
const MOST_HEAD_BYTES: usize = 256 << 10;

/// Heads may take so much longer than the limit says, as the client counts from its own sending; twice if they grow.
const HEAD_SLACK: Duration = Duration::from_millis(500);

/// Idle connections stay so much longer than the limit says: a request may be on its way.
const IDLE_SLACK: Duration = Duration::from_secs(1);

/// What the configuration leaves each client's connection.
pub(super) fn client_limits(limits: &Limits) -> ClientLimits {
    let head = limits.header_read_timeout + HEAD_SLACK;
    let idle = limits.idle_timeout + IDLE_SLACK;
    let head_bytes = usize::try_from(limits.max_header_bytes).unwrap_or(MOST_HEAD_BYTES);
    ClientLimits {
        head: (head, head + HEAD_SLACK * 2),
        silence: idle,
        idle: Some(idle),
        // A shorter limit is held against heads that have come whole: the HTTP library reads no less.
        head_bytes: head_bytes.clamp(HEAD_BYTES, MOST_HEAD_BYTES),
    }
}
