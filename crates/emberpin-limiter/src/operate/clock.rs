//! The clock of the decision module.

use emberpin_balancer::Millis;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A clock that starts at Unix time in milliseconds and is monotonic from then on. Its values are comparable between
/// limiters, and grow over restarts, so that they tell the incarnations of a limiter apart. A step of the wall clock
/// while the process runs does not affect it.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    start_value: Millis,
}

impl Clock {
    /// Starts at the current Unix time.
    pub fn start() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started: Instant::now(),
            start_value: unix.as_secs_f64() * 1000.0,
        }
    }

    /// Continues another process's clock, which shows this value now.
    pub fn resume(value: Millis) -> Clock {
        Clock {
            started: Instant::now(),
            start_value: value,
        }
    }

    /// The Unix time of the start plus the time elapsed since, in milliseconds.
    pub fn now(&self) -> Millis {
        self.start_value + self.started.elapsed().as_secs_f64() * 1000.0
    }
}
