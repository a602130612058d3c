//! Time as the failover core sees it.

use std::ops::Add;
use std::time::Duration;

/// A moment on the host's monotonic clock, in milliseconds with a fraction.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Timestamp(f64);

impl Timestamp {
    /// The moment this number of milliseconds after the clock's zero.
    #[must_use]
    pub const fn from_millis(millis: f64) -> Timestamp {
        Timestamp(millis)
    }

    /// The later of two moments.
    pub(crate) fn max(self, other: Timestamp) -> Timestamp {
        Timestamp(self.0.max(other.0))
    }

    /// Milliseconds since another moment; negative if that moment is later.
    pub(crate) fn millis_since(self, earlier: Timestamp) -> f64 {
        self.0 - earlier.0
    }

    /// The moment this number of milliseconds later.
    pub(crate) fn plus_millis(self, millis: f64) -> Timestamp {
        Timestamp(self.0 + millis)
    }

    /// The moment this number of milliseconds earlier.
    pub(crate) fn minus_millis(self, millis: f64) -> Timestamp {
        Timestamp(self.0 - millis)
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, duration: Duration) -> Timestamp {
        self.plus_millis(as_millis(duration))
    }
}

/// A duration in milliseconds, with its fraction.
pub(crate) fn as_millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}
