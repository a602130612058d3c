//! The one clock of the decision module.

use emberpin_balancer::Millis;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The module's clock: Unix milliseconds as they were at the start, and steady from then on. Common to
/// all limiters and growing over restarts, as lives are told apart by it; a step of the wall clock
/// within a life is none here.
#[derive(Clone, Copy)]
pub struct Clock {
    begun: Instant,
    at_begin: Millis,
}

impl Clock {
    /// Begins now.
    pub fn start() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            begun: Instant::now(),
            at_begin: unix.as_secs_f64() * 1000.0,
        }
    }

    /// Goes on from another process's clock, at this moment.
    pub fn go_on(at: Millis) -> Clock {
        Clock {
            begun: Instant::now(),
            at_begin: at,
        }
    }

    /// Unix milliseconds as of the start, plus what has passed since.
    pub fn now(&self) -> Millis {
        self.at_begin + self.begun.elapsed().as_secs_f64() * 1000.0
    }
}
