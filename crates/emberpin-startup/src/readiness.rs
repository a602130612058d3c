//! When a limiter reports ready: once it knows a server that it may send to, or at a deadline.
//!
//! A limiter that is ready and knows no server rejects every request, including those that another limiter could have
//! served, so readiness waits for a server. It does not wait for ever, as a process that never becomes ready counts as
//! a failed start: while the discovery service stays down, a limiter without any list is ready at the deadline, and its
//! responses ask clients to retry later.

use std::time::Duration;

/// The readiness of one process. A process that is ready stays ready until it shuts down.
#[derive(Clone, Debug)]
pub struct Readiness {
    deadline: Duration,
    ready: bool,
}

impl Readiness {
    /// Not ready yet; ready at `deadline`, in time since the start, with or without servers.
    pub fn new(deadline: Duration) -> Readiness {
        Readiness {
            deadline,
            ready: false,
        }
    }

    /// Records the number of servers that requests may be sent to, at `now` in time since the start. Returns whether
    /// the limiter is ready.
    pub fn update(&mut self, now: Duration, servers: usize) -> bool {
        self.ready |= servers > 0 || now >= self.deadline;
        self.ready
    }
}
