//! Points in time on the host's monotonic clock.

use std::ops::Add;
use std::time::Duration;

/// A point in time: the duration since an origin that the host chooses. Only differences have a meaning, and timestamps
/// never leave the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(Duration);

impl Timestamp {
    /// The origin of the host's clock.
    pub const ZERO: Timestamp = Timestamp(Duration::ZERO);

    /// The point in time this many milliseconds after the origin; the origin itself if that is negative or not a
    /// number.
    pub fn from_millis(millis: f64) -> Timestamp {
        Timestamp(Duration::try_from_secs_f64(millis / 1000.0).unwrap_or_default())
    }

    /// The time that has passed since `earlier`; zero if `earlier` is later.
    pub const fn duration_since(self, earlier: Timestamp) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(duration))
    }
}
