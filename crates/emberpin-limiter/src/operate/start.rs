//! The table `[start]` of operator files: how limiters start and restart.

use crate::operate::operator::{count, expand_folder, within};
use serde::{Deserialize, Deserializer};
use std::fmt;
use std::path::PathBuf;
use std::time::Duration;

/// How a limiter starts: the table `[start]`, which must be the same at all limiters.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Start {
    /// Number of calls per second that the list service can answer, over all limiters together.
    #[serde(deserialize_with = "calls_per_s")]
    pub list_calls_per_s: Option<f64>,
    /// Number of limiters that watch the endpoint list at the service and forward it to the others over the link;
    /// without this setting each limiter watches it at the service.
    #[serde(deserialize_with = "callers")]
    pub callers: Option<usize>,
    /// The list service's name, the same at all limiters, where they reach it at different addresses.
    pub list_service: Option<String>,
    /// A limiter becomes ready after this time even if it knows no server.
    #[serde(rename = "ready_within_s", deserialize_with = "ready")]
    pub ready_within: Duration,
    /// A complete list that names less than this share of the known servers is doubted: the servers that it leaves out
    /// are kept.
    #[serde(deserialize_with = "share")]
    pub keep_share: f64,
    /// Maximum time for which such a list is doubted.
    #[serde(rename = "keep_s", deserialize_with = "max_doubt")]
    pub max_doubt: Duration,
    /// The site's name, which is stored in snapshots.
    pub site: String,
    /// The folder of this instance's snapshot; `{name}` in it stands for the instance's name.
    pub snapshot: Option<String>,
    /// Maximum age of a snapshot; an older one is not used.
    #[serde(rename = "snapshot_age_s", deserialize_with = "age")]
    pub snapshot_age: Duration,
    /// How long a start waits for the snapshot to be read from the disk.
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
            max_doubt: Duration::from_secs(300),
            site: String::new(),
            snapshot: None,
            snapshot_age: Duration::from_secs(7 * 86_400),
            disk: Duration::from_millis(500),
        }
    }
}

impl Start {
    /// Returns the folder of this instance's snapshot, if snapshots are enabled.
    ///
    /// # Errors
    ///
    /// The folder contains `{name}` and the instance has no valid name.
    pub fn instance_folder(&self, instance: &str) -> Result<Option<PathBuf>, String> {
        self.snapshot
            .as_ref()
            .map(|folder| expand_folder("[start] snapshot", folder, instance))
            .transpose()
    }
}

fn calls_per_s<'de, D: Deserializer<'de>>(from: D) -> Result<Option<f64>, D::Error> {
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

fn max_doubt<'de, D: Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
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
            Some(calls) => writeln!(
                to,
                "list_calls_per_s = {calls} calls a second, by all limiters"
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
            (Some(callers), None) => writeln!(
                to,
                "callers = {callers}, which forward the list to the others"
            )?,
            (Some(callers), Some(name)) => {
                writeln!(
                    to,
                    "callers = {callers}, which forward the list to the others; the service is {name:?}"
                )?;
            }
        }
        writeln!(to, "ready_within_s = {} s", self.ready_within.as_secs_f64())?;
        writeln!(to, "keep_share = {} of the servers held", self.keep_share)?;
        writeln!(to, "keep_s = {} s", self.max_doubt.as_secs_f64())?;
        match &self.snapshot {
            Some(folder) => {
                writeln!(to, "snapshot = {folder}, of site {:?}", self.site)?;
                writeln!(to, "snapshot_age_s = {} s", self.snapshot_age.as_secs_f64())?;
                writeln!(to, "disk_ms = {} ms", self.disk.as_millis())
            }
            None => writeln!(to, "snapshot not set: no endpoint list is stored on a disk"),
        }
    }
}
