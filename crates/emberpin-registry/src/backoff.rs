//! The delay before a broken connection is opened again.

use std::time::Duration;

/// The delay after a connection that lasted for longer than [`MAX_DELAY`].
const INITIAL_DELAY: Duration = Duration::from_millis(100);
/// The longest delay; a connection that lasted for longer counts as healthy and resets the backoff.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// Exponential backoff between attempts to connect to one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    delay: Duration,
}

impl Backoff {
    /// The delay before the next attempt, after a connection that lasted for `connected_for`: doubled up to
    /// [`MAX_DELAY`] if it was short, the initial delay again if it was not.
    pub fn next_delay(&mut self, connected_for: Duration) -> Duration {
        self.delay = if connected_for > MAX_DELAY {
            INITIAL_DELAY
        } else {
            (self.delay * 2).min(MAX_DELAY)
        };
        self.delay
    }
}

impl Default for Backoff {
    fn default() -> Backoff {
        Backoff {
            delay: INITIAL_DELAY,
        }
    }
}
