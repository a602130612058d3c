//! The table `[takeover]` of operator files: with it, keyed requests in flight survive the failure of their limiter, as
//! other limiters complete them. The settings call such a request a piece of work.

use crate::operate::operator::{count, within};
use serde::{Deserialize, Deserializer};
use std::fmt;
use std::time::Duration;

/// How keyed requests in flight are replicated and taken over: the table `[takeover]`, which must be the same at all
/// limiters.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Takeover {
    /// A limiter counts as failed this long after its link has closed.
    #[serde(rename = "after_ms", deserialize_with = "after")]
    pub after: Duration,
    /// Maximum rate of takeovers, per second, over all limiters together.
    #[serde(deserialize_with = "rate")]
    pub per_s: f64,
    /// Maximum number of pieces of work that one limiter keeps for others.
    #[serde(deserialize_with = "pieces")]
    pub entries: usize,
    /// Maximum total size of those pieces of work, in bytes.
    #[serde(rename = "work_mb", deserialize_with = "bytes")]
    pub bytes: usize,
}

impl Default for Takeover {
    fn default() -> Takeover {
        Takeover {
            after: Duration::from_millis(100),
            per_s: 200.0,
            entries: 65_536,
            bytes: 32 << 20,
        }
    }
}

fn after<'de, D: Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
    within(from, 0.0..=10_000.0, "ms").map(|ms| Duration::from_secs_f64(ms / 1000.0))
}

fn rate<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    within(from, 0.0..=1e6, "takeovers a second")
}

fn pieces<'de, D: Deserializer<'de>>(from: D) -> Result<usize, D::Error> {
    count(from, 1..=1_000_000, "pieces of work")
}

fn bytes<'de, D: Deserializer<'de>>(from: D) -> Result<usize, D::Error> {
    count(from, 1..=4096, "MiB").map(|mib| mib << 20)
}

impl fmt::Display for Takeover {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(to, "[takeover]")?;
        writeln!(
            to,
            "after_ms = {} ms after its link has ended",
            self.after.as_millis()
        )?;
        writeln!(
            to,
            "per_s = {} takeovers a second over all limiters",
            self.per_s
        )?;
        writeln!(to, "entries = {} pieces of work", self.entries)?;
        writeln!(to, "work_mb = {} MiB", self.bytes >> 20)
    }
}
