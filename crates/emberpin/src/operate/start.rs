//! The table `[start]` of operator files: how limiters start and come back.

use crate::operate::operator::within;
use serde::{Deserialize, Deserializer};
use std::fmt;

/// How a limiter starts: the table `[start]`, the same for all of them.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Start {
    /// Calls a second that the list service answers.
    #[serde(deserialize_with = "power")]
    pub list_calls_per_s: Option<f64>,
}

fn power<'de, D: Deserializer<'de>>(from: D) -> Result<Option<f64>, D::Error> {
    within(from, 0.1..=1e6, "calls a second").map(Some)
}

impl fmt::Display for Start {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(to, "[start]")?;
        match self.list_calls_per_s {
            Some(power) => writeln!(to, "list_calls_per_s = {power} calls a second, by all limiters"),
            None => writeln!(
                to,
                "list_calls_per_s not set: ten a second, or a call of each in 4 s if that is more"
            ),
        }
    }
}
