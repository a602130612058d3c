//! When a limiter says that it takes clients: once it may send to a server, or after a stated time.
//!
//! One that is ready and knows no server refuses everything, and takes that work from others that could serve; one that
//! waits for what never comes is a failed start. While the list service stays dead, a limiter without any list is ready
//! when its time is over, and says to come again.

use std::time::Duration;

/// The readiness of one limiter's life; once ready, it stays so until it leaves.
#[derive(Clone, Debug)]
pub struct Ready {
    within: Duration,
    ready: bool,
}

impl Ready {
    /// Ready after so long, whatever is known then.
    pub fn new(within: Duration) -> Ready {
        Ready {
            within,
            ready: false,
        }
    }

    /// So many servers may be sent to, at a time since the start.
    pub fn see(&mut self, now: Duration, servers: usize) -> bool {
        self.ready |= servers > 0 || now >= self.within;
        self.ready
    }
}
