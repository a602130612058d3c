//! The table `[takeover]` of operator files: work in hand survives the loss of its limiter.

use crate::operate::operator::{count, within};
use serde::{Deserialize, Deserializer};
use std::fmt;
use std::time::Duration;

/// How work is kept and taken over: the table `[takeover]`, the same for all limiters.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Takeover {
    /// A limiter whose link has ended is taken for gone after so long.
    #[serde(rename = "after_ms", deserialize_with = "after")]
    pub after: Duration,
    /// Takeovers a second over all limiters.
    #[serde(deserialize_with = "rate")]
    pub per_s: f64,
    /// Pieces of work that one limiter keeps for others.
    #[serde(deserialize_with = "pieces")]
    pub entries: usize,
    /// Bytes of them.
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
