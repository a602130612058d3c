//! The process of a machine: its incarnation, its clock, and whether it is frozen.

use super::event::Event;
use std::time::Duration;

/// Identifies one run of a process on its machine. It increases with each start and each stop, so that events for an
/// earlier run are recognized.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ProcessIncarnation(pub u64);

impl ProcessIncarnation {
    fn advance(&mut self) {
        self.0 += 1;
    }
}

/// The rate of an accurate clock.
const EXACT_RATE_PERCENT: u64 = 100;

/// A process with its monotonic clock, which starts at zero with each run.
#[derive(Clone, Debug)]
pub(crate) struct Process {
    pub zone: String,
    pub incarnation: ProcessIncarnation,
    /// When the process was started or the rate of its clock was last changed, in simulated time.
    pub clock_set_at: Duration,
    /// The time on its clock at `clock_set_at`.
    clock_base: Duration,
    clock_rate_percent: u64,
    pub is_frozen: bool,
    /// The events that arrived while it was frozen.
    pub deferred: Vec<Event>,
    /// When a fault last affected it, in simulated time; zero if none did. For a stalled disk, the end of the stall.
    pub disturbed_at: Duration,
    /// Whether the machine was replaced by another one; it does not start again then.
    pub is_removed: bool,
}

impl Process {
    pub fn new(zone: &str) -> Process {
        Process {
            zone: zone.into(),
            incarnation: ProcessIncarnation::default(),
            clock_set_at: Duration::ZERO,
            clock_base: Duration::ZERO,
            clock_rate_percent: EXACT_RATE_PERCENT,
            is_frozen: false,
            deferred: Vec::new(),
            disturbed_at: Duration::ZERO,
            is_removed: false,
        }
    }

    pub fn start(&mut self, now: Duration) {
        self.incarnation.advance();
        self.clock_set_at = now;
        self.clock_base = Duration::ZERO;
        self.is_frozen = false;
        self.deferred.clear();
    }

    pub fn end(&mut self) {
        self.incarnation.advance();
        self.is_frozen = false;
        self.deferred.clear();
    }

    /// The time on the process's clock at a simulated time, in whole milliseconds.
    pub fn local_time(&self, now: Duration) -> Duration {
        let elapsed = millis(now - self.clock_set_at);
        self.clock_base + Duration::from_millis(elapsed * self.clock_rate_percent / 100)
    }

    /// The simulated time at which the process's clock will show `local`, one millisecond from now at the earliest.
    pub fn time_of_local(&self, now: Duration, local: Duration) -> Duration {
        let remaining = millis(local.saturating_sub(self.clock_base));
        let elapsed = (remaining * 100).div_ceil(self.clock_rate_percent);
        let at = self.clock_set_at + Duration::from_millis(elapsed);
        at.max(now + Duration::from_millis(1))
    }

    pub fn set_clock_rate(&mut self, now: Duration, percent: u64) {
        self.clock_base = self.local_time(now);
        self.clock_set_at = now;
        self.clock_rate_percent = percent;
    }
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
