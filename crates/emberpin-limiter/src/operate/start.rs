//! The table `[start]` of operator files: how limiters start and come back.

use crate::operate::operator::{count, own_folder, within};
use serde::{Deserialize, Deserializer};
use std::fmt;
use std::path::PathBuf;
use std::time::Duration;

/// How a limiter starts: the table `[start]`, the same for all of them.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Start {
    /// Calls a second that the list service answers.
    #[serde(deserialize_with = "power")]
    pub list_calls_per_s: Option<f64>,
    /// So many limiters watch the list, and tell the others over the link; without it each watches for itself.
    #[serde(deserialize_with = "callers")]
    pub callers: Option<usize>,
    /// The list service's name, the same at all limiters, where they reach it at different addresses.
    pub list_service: Option<String>,
    /// Ready after so long, even if no server is known.
    #[serde(rename = "ready_within_s", deserialize_with = "ready")]
    pub ready_within: Duration,
    /// A whole list that names less than this share of the servers held is doubted.
    #[serde(deserialize_with = "share")]
    pub keep_share: f64,
    /// For so long at most.
    #[serde(rename = "keep_s", deserialize_with = "keep")]
    pub keep: Duration,
    /// The site's name, which stands in snapshots.
    pub site: String,
    /// The folder of this instance's snapshot; `{name}` in it stands for the instance's name.
    pub snapshot: Option<String>,
    /// A snapshot that is older is not used.
    #[serde(rename = "snapshot_age_s", deserialize_with = "age")]
    pub snapshot_age: Duration,
    /// How long a start waits for the disk.
    #[serde(rename = "disk_ms", deserialize_with = "disk")]
    pub disk: Duration,
}

impl Default for Start {
    fn default() -> Start {
        Start {
            list_calls_per_s: None,
            callers: None,
            list_service: None,
            ready_within: Duration::from_secs(10),
            keep_share: 0.5,
            keep: Duration::from_secs(300),
            site: String::new(),
            snapshot: None,
            snapshot_age: Duration::from_secs(7 * 86_400),
            disk: Duration::from_millis(500),
        }
    }
}

impl Start {
    /// The folder of an instance's own snapshot, if it is to have one.
    ///
    /// # Errors
    ///
    /// The folder has `{name}` in it and the instance has none.
    pub fn folder_of(&self, instance: &str) -> Result<Option<PathBuf>, String> {
        self.snapshot
            .as_ref()
            .map(|folder| own_folder("[start] snapshot", folder, instance))
            .transpose()
    }
}

fn power<'de, D: Deserializer<'de>>(from: D) -> Result<Option<f64>, D::Error> {
    within(from, 0.1..=1e6, "calls a second").map(Some)
}

fn callers<'de, D: Deserializer<'de>>(from: D) -> Result<Option<usize>, D::Error> {
    count(from, 1..=100, "limiters").map(Some)
}

fn ready<'de, D: Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
    within(from, 0.0..=600.0, "s").map(Duration::from_secs_f64)
}

fn share<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    within(from, 0.0..=1.0, "of the servers held")
}

fn keep<'de, D: Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
    within(from, 0.0..=86_400.0, "s").map(Duration::from_secs_f64)
}

fn age<'de, D: Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
    within(from, 1.0..=31_536_000.0, "s").map(Duration::from_secs_f64)
}

fn disk<'de, D: Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
    within(from, 1.0..=60_000.0, "ms").map(|ms| Duration::from_secs_f64(ms / 1000.0))
}

impl fmt::Display for Start {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(to, "[start]")?;
        match self.list_calls_per_s {
            Some(power) => writeln!(
                to,
                "list_calls_per_s = {power} calls a second, by all limiters"
            )?,
            None => writeln!(
                to,
                "list_calls_per_s not set: ten, or a call of each in 4 s if that is more"
            )?,
        }
        match (self.callers, &self.list_service) {
            (None, _) => writeln!(
                to,
                "callers not set: each limiter watches the list for itself"
            )?,
            (Some(callers), None) => writeln!(to, "callers = {callers}, who tell the others")?,
            (Some(callers), Some(name)) => {
                writeln!(
                    to,
                    "callers = {callers}, who tell the others; the service is {name:?}"
                )?;
            }
        }
        writeln!(to, "ready_within_s = {} s", self.ready_within.as_secs_f64())?;
        writeln!(to, "keep_share = {} of the servers held", self.keep_share)?;
        writeln!(to, "keep_s = {} s", self.keep.as_secs_f64())?;
        match &self.snapshot {
            Some(folder) => {
                writeln!(to, "snapshot = {folder}, of site {:?}", self.site)?;
                writeln!(to, "snapshot_age_s = {} s", self.snapshot_age.as_secs_f64())?;
                writeln!(to, "disk_ms = {} ms", self.disk.as_millis())
            }
            None => writeln!(to, "snapshot not set: no list is kept on a disk"),
        }
    }
}
