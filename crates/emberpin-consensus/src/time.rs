//! Timestamps of the host's clock.

use std::ops::Add;
use std::time::Duration;

/// A moment on the host's monotonic clock, which starts at any value and never goes back. Resolution: milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The zero of the clock.
    pub const ZERO: Timestamp = Timestamp(0);

    /// The moment this number of milliseconds after the clock's zero.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Timestamp {
        Timestamp(millis)
    }

    /// Milliseconds since the clock's zero.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// The time since an earlier moment; zero if that moment is later than this one.
    #[must_use]
    pub const fn saturating_since(self, earlier: Timestamp) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(as_whole_millis(duration)))
    }
}

/// A duration in whole milliseconds, rounded down.
pub(crate) fn as_whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
