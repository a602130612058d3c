//! Points in time on the host's monotonic clock, and the encoding of durations as milliseconds in messages.

use std::ops::Add;
use std::time::Duration;

/// A point in time: milliseconds on a monotonic clock of this process, since an origin that the host chooses (usually
/// the start of the process).
///
/// Timestamps never leave the process: messages carry ages, which do not require synchronized clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The origin of the host's clock.
    pub const ZERO: Timestamp = Timestamp(0);

    /// The point in time this many milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Timestamp {
        Timestamp(millis)
    }

    /// Milliseconds since the origin.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// The time that has passed since `earlier`; zero if `earlier` is later, as with [`std::time::Instant`].
    pub const fn duration_since(self, earlier: Timestamp) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// The point in time `duration` before this one, but no earlier than the origin.
    pub fn saturating_sub(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(millis(duration)))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    /// Fractions of a millisecond are truncated.
    fn add(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(millis(duration)))
    }
}

/// The whole milliseconds of a duration, at most `u64::MAX`.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Reduces a duration to the precision and range of messages: whole milliseconds, at most `u32::MAX`.
pub fn to_wire_precision(duration: Duration) -> Duration {
    Duration::from_millis(u64::from(millis_u32(duration)))
}

fn millis_u32(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// Encodes a duration as 32 bits of whole milliseconds, for `#[serde(with)]`.
pub(crate) mod millis_u32_encoding {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};
    use std::time::Duration;

    pub(crate) fn serialize<S: Serializer>(
        duration: &Duration,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        super::millis_u32(*duration).serialize(serializer)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Duration, D::Error> {
        let millis = u32::deserialize(deserializer)?;
        Ok(Duration::from_millis(u64::from(millis)))
    }
}

/// Encodes an optional duration as 64 bits of whole milliseconds or none, for `#[serde(with)]`.
pub(crate) mod optional_millis_encoding {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};
    use std::time::Duration;

    pub(crate) fn serialize<S: Serializer>(
        duration: &Option<Duration>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        duration.map(super::millis).serialize(serializer)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<Duration>, D::Error> {
        Ok(Option::<u64>::deserialize(deserializer)?.map(Duration::from_millis))
    }
}
