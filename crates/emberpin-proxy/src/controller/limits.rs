//! Converts the configuration's limits on client connections to those that the client listener enforces.

use emberpin_config::Limits;
use emberpin_limiter::host::{ClientLimits, DEFAULT_MAX_HEAD_BYTES};
use std::time::Duration;

/// Upper bound of the configured length of a request head, in bytes: each client connection may buffer one.
const MAX_HEAD_BYTES: usize = 256 << 10;
/// Added to the time limit of a head, since the client measures from when it sends the head; added three times while
/// the head is still growing.
const HEAD_TIME_MARGIN: Duration = Duration::from_millis(500);
/// Added to the limit on a connection's idle time: the client's next request may be on its way.
const IDLE_TIME_MARGIN: Duration = Duration::from_secs(1);

/// Limits for each client connection.
pub(super) fn client_limits(limits: &Limits) -> ClientLimits {
    let head = limits.header_read_timeout + HEAD_TIME_MARGIN;
    let idle = limits.idle_timeout + IDLE_TIME_MARGIN;
    let max_head_bytes = usize::try_from(limits.max_header_bytes).unwrap_or(MAX_HEAD_BYTES);
    ClientLimits {
        head: (head, head + HEAD_TIME_MARGIN * 2),
        first_request: idle,
        idle: Some(idle),
        // The HTTP library reads no less than `DEFAULT_MAX_HEAD_BYTES`; a lower limit is checked once the head is
        // complete.
        max_head_bytes: max_head_bytes.clamp(DEFAULT_MAX_HEAD_BYTES, MAX_HEAD_BYTES),
    }
}
