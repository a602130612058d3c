//! The delay before a closed connection is opened again.

use emberpin_membership::timing::Backoff;
use std::time::Duration;

/// From 100 ms to 1 s. A connection that was open for longer than the maximum delay counts as healthy and resets the
/// delay.
const BACKOFF: Backoff = Backoff {
    initial: Duration::from_millis(100),
    max: Duration::from_secs(1),
};

/// The delay between attempts to connect to one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReconnectDelay(Duration);

impl ReconnectDelay {
    /// Returns the delay before the next attempt, after an attempt and connection that lasted for `connected_for`: the
    /// initial delay if that is more than the maximum delay, otherwise twice the last delay, up to the maximum.
    pub fn next(&mut self, connected_for: Duration) -> Duration {
        self.0 = if connected_for > BACKOFF.max {
            BACKOFF.initial
        } else {
            BACKOFF.next(self.0)
        };
        self.0
    }
}

impl Default for ReconnectDelay {
    fn default() -> ReconnectDelay {
        ReconnectDelay(BACKOFF.initial)
    }
}
