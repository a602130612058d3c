//! Operator files: TOML, with one table for each subsystem; unknown keys are rejected. Settings that no file sets have
//! the defaults under which the platform runs the limiter without operator files.

use crate::operate::start::Start;
use crate::operate::takeover::Takeover;
use serde::{Deserialize, Deserializer};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The settings of all operator files together.
#[derive(Debug, Default, PartialEq)]
pub struct OperatorSettings {
    /// How connections are divided between clients and servers.
    pub connections: Connections,
    /// Deduplication of keyed requests; off without its table.
    pub idempotency: Option<Idempotency>,
    /// The log on a disk that keeps state over restarts; off without its table.
    pub log: Option<Log>,
    /// The connections between limiters, in addition to their datagrams; off without its table.
    pub link: Option<Link>,
    /// How limiters start; without its table a limiter is ready at once.
    pub start: Option<Start>,
    /// Takeover of keyed requests in flight after the failure of their limiter; off without its table.
    pub takeover: Option<Takeover>,
}

/// The connections between limiters: the table `[link]`, which must be the same at all of them.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// The cluster's name; messages from members of another cluster are ignored.
    pub cluster: String,
    /// The version of the member list; must increase with each change of it.
    #[serde(default = "first_epoch")]
    pub epoch: u64,
    /// All limiters of the cluster.
    #[serde(rename = "member")]
    pub members: Vec<Member>,
    /// A folder with the files that `emberpin link init` made.
    pub keys: String,
    /// Whether to connect without TLS; allowed only between loopback addresses.
    #[serde(default)]
    pub plain: bool,
    /// Interval of the heartbeats that each limiter sends to the others.
    #[serde(
        rename = "beat_ms",
        deserialize_with = "link_duration",
        default = "default_heartbeat"
    )]
    pub heartbeat: Duration,
    /// A limiter from which no message has arrived for this long is suspected, and is not queried.
    #[serde(
        rename = "suspect_ms",
        deserialize_with = "link_duration",
        default = "default_suspect_after"
    )]
    pub suspect_after: Duration,
    /// A limiter from which no message has arrived for this long counts as failed.
    #[serde(
        rename = "dead_ms",
        deserialize_with = "link_duration",
        default = "default_dead_after"
    )]
    pub dead_after: Duration,
    /// Number of limiters that keep a replica of each customer's keys.
    #[serde(deserialize_with = "copies", default = "default_copies")]
    pub copies: usize,
    /// How long to wait for the answer of a limiter that keeps a replica of a key.
    #[serde(
        rename = "ask_ms",
        deserialize_with = "link_duration",
        default = "default_query_timeout"
    )]
    pub query_timeout: Duration,
}

/// One limiter of the cluster.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Its number, which must never be reused: the placement of keys is computed from it.
    pub number: u32,
    /// Its instance's name.
    pub name: String,
    /// The address at which it listens for the other limiters.
    pub address: SocketAddr,
}

impl Link {
    /// Checks the settings against each other; the error names the first conflict.
    fn check(&self) -> Result<(), String> {
        let (mut names, mut numbers, mut addresses) =
            (BTreeSet::new(), BTreeSet::new(), BTreeSet::new());
        for member in &self.members {
            let Member {
                number,
                name,
                address,
            } = member;
            if !names.insert(name) || !numbers.insert(number) || !addresses.insert(address) {
                return Err(format!(
                    "[link] member {name:?}: its name, number or address occurs twice"
                ));
            }
            if self.plain && !address.ip().is_loopback() {
                return Err(format!(
                    "[link] plain = true, but {address} of member {name:?} is no loopback address; leave plain out"
                ));
            }
        }
        if self.members.is_empty() {
            return Err("[link] names no [[link.member]]".into());
        }
        if self.suspect_after < self.heartbeat * 2 || self.dead_after < self.suspect_after {
            return Err("[link] expected 2 x beat_ms <= suspect_ms <= dead_ms".into());
        }
        Ok(())
    }
}

/// The log that keeps state over restarts: the table `[log]`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Log {
    /// The folder; `{name}` in it stands for the instance's name.
    #[serde(deserialize_with = "folder")]
    pub folder: String,
    /// The log is compacted once it exceeds twice the size of its live records plus this number of bytes.
    #[serde(
        rename = "spare_mb",
        deserialize_with = "spare_bytes",
        default = "default_spare_bytes"
    )]
    pub spare_bytes: usize,
}

impl Log {
    /// Returns the instance's own folder.
    ///
    /// # Errors
    ///
    /// The folder contains `{name}` and the instance has no valid name.
    pub fn instance_folder(&self, instance: &str) -> Result<PathBuf, String> {
        expand_folder("[log] folder", &self.folder, instance)
    }
}

/// The placeholder for the instance's name in a folder.
const NAME_PLACEHOLDER: &str = "{name}";

/// Replaces `{name}` in a folder by the instance's name. `setting` is the name of the setting, for the error text.
///
/// # Errors
///
/// The folder contains `{name}` and the instance has no name, or one with other characters than letters, digits, `-`,
/// `_` and `.`, or one that begins with `.`.
pub fn expand_folder(setting: &str, folder: &str, instance: &str) -> Result<PathBuf, String> {
    let is_valid = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let valid_name =
        !instance.is_empty() && !instance.starts_with('.') && instance.chars().all(is_valid);
    match (folder.contains(NAME_PLACEHOLDER), valid_name) {
        (true, false) => Err(format!(
            "{setting} = {folder:?} needs the instance's name, which is {instance:?}; expected letters, digits, '-', '_' \
             and '.'"
        )),
        _ => Ok(folder.replace(NAME_PLACEHOLDER, instance).into()),
    }
}

/// Deduplication of keyed requests: the table `[idempotency]`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Idempotency {
    /// How long the outcome of a request is kept.
    #[serde(rename = "retention_s", deserialize_with = "retention")]
    pub retention: Duration,
    /// How long after its start the limiter sends no keyed requests, as it does not know which ones it forwarded before
    /// the restart; the retention period if not set.
    #[serde(rename = "quiet_s", deserialize_with = "quiet")]
    pub quiet: Option<Duration>,
    /// Maximum number of keys.
    #[serde(deserialize_with = "entries")]
    pub entries: usize,
    /// Maximum total size of stored responses, in bytes.
    #[serde(rename = "answers_mb", deserialize_with = "megabytes")]
    pub answer_bytes: usize,
    /// The share of keys and bytes that one customer may use.
    #[serde(deserialize_with = "customer_share")]
    pub customer_share: f64,
    /// Maximum number of requests that wait for the first request with their key.
    #[serde(deserialize_with = "waiters")]
    pub waiters_per_key: usize,
    /// Maximum number of one customer's requests that wait.
    #[serde(deserialize_with = "waiters")]
    pub waiters_per_customer: usize,
    /// What happens to a repeat while the first request is in flight.
    pub repeats: Repeats,
    /// Which forms of the header field are accepted.
    pub keys: Keys,
}

/// What happens to a repeat while the first request with its key is in flight.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeats {
    /// It waits, and receives the same outcome.
    Wait,
    /// It is answered 409 at once.
    Conflict,
}

/// Which forms of `Idempotency-Key` are accepted.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Keys {
    /// Only the form of the IETF draft: a string in double quotes.
    Quoted,
    /// Also the value without quotes, as many clients send it.
    QuotedOrBare,
}

impl Default for Idempotency {
    fn default() -> Idempotency {
        Idempotency {
            retention: Duration::from_secs(60),
            quiet: None,
            entries: 65_536,
            answer_bytes: 32 << 20,
            customer_share: 0.1,
            waiters_per_key: 64,
            waiters_per_customer: 256,
            repeats: Repeats::Wait,
            keys: Keys::QuotedOrBare,
        }
    }
}

impl Idempotency {
    /// The quiet time in force: the setting, or else the retention period.
    pub fn quiet(&self) -> Duration {
        self.quiet.unwrap_or(self.retention)
    }
}

/// How the limiter manages its connections: the table `[connections]`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Connections {
    /// The clients' share of the descriptors that the limiter does not need for itself; servers get the rest.
    #[serde(deserialize_with = "client_share")]
    pub client_share: f64,
    /// Maximum number of idle connections kept to one server.
    #[serde(deserialize_with = "idle_per_server")]
    pub idle_per_server: usize,
    /// The limiter closes idle connections to a server at this share of the server's own idle time-out.
    #[serde(deserialize_with = "idle_share")]
    pub idle_share: f64,
    /// How long new clients are still accepted after SIGTERM, so that the load balancer in front can notice the
    /// shutdown.
    #[serde(rename = "leaving_ms", deserialize_with = "drain_grace")]
    pub drain_grace: Duration,
}

impl Default for Connections {
    fn default() -> Connections {
        Connections {
            // Clients may need a third of all descriptors for requests in flight, and more for silent and idle
            // connections.
            client_share: 0.55,
            idle_per_server: 16,
            // Below 1, so that no connection is used at the moment when the server closes it.
            idle_share: 0.8,
            drain_grace: Duration::from_millis(700),
        }
    }
}

/// One operator file. Each table may occur in one file only.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    connections: Option<Connections>,
    idempotency: Option<Idempotency>,
    log: Option<Log>,
    link: Option<Link>,
    start: Option<Start>,
    takeover: Option<Takeover>,
}

impl OperatorSettings {
    /// Reads the files in this order.
    ///
    /// # Errors
    ///
    /// One line that names file, line and column, and the found and expected values.
    pub fn read(files: &[PathBuf]) -> Result<OperatorSettings, String> {
        let mut operator = OperatorSettings::default();
        let mut set_by: BTreeMap<&str, &Path> = BTreeMap::new();
        for path in files {
            let shown = path.display();
            let text =
                std::fs::read_to_string(path).map_err(|e| format!("cannot read {shown}: {e}"))?;
            let file: File = toml::from_str(&text)
                .map_err(|e| format_toml_error(&shown.to_string(), &text, &e))?;
            let mut claim_table = |table| match set_by.insert(table, path) {
                None => Ok(()),
                Some(first) => {
                    let first = first.display();
                    Err(format!(
                        "{shown}: [{table}] is set already, by {first}; keep one of them"
                    ))
                }
            };
            if let Some(connections) = file.connections {
                claim_table("connections")?;
                operator.connections = connections;
            }
            if let Some(idempotency) = file.idempotency {
                claim_table("idempotency")?;
                operator.idempotency = Some(idempotency);
            }
            if let Some(log) = file.log {
                claim_table("log")?;
                operator.log = Some(log);
            }
            if let Some(link) = file.link {
                claim_table("link")?;
                link.check()
                    .map_err(|problem| format!("{shown}: {problem}"))?;
                operator.link = Some(link);
            }
            if let Some(start) = file.start {
                claim_table("start")?;
                operator.start = Some(start);
            }
            if let Some(takeover) = file.takeover {
                claim_table("takeover")?;
                operator.takeover = Some(takeover);
            }
        }
        if operator.takeover.is_some() {
            let missing = match (&operator.idempotency, &operator.link) {
                (None, _) => Some("idempotency"),
                (_, None) => Some("link"),
                (Some(_), Some(_)) => None,
            };
            if let Some(missing) = missing {
                let file = set_by
                    .get("takeover")
                    .map(|path| path.display().to_string())
                    .unwrap_or_default();
                return Err(format!(
                    "{file}: [takeover] takes over keyed work, and [{missing}] is not set: set it, or leave [takeover] \
                     out"
                ));
            }
        }
        if let (Some(start), None) = (&operator.start, &operator.link) {
            if start.callers.is_some() {
                let file = set_by
                    .get("start")
                    .map(|path| path.display().to_string())
                    .unwrap_or_default();
                return Err(format!(
                    "{file}: [start] callers forward the list over the link, and [link] is not set: set it, or leave \
                     callers out"
                ));
            }
        }
        Ok(operator)
    }
}

impl fmt::Display for OperatorSettings {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Connections {
            client_share,
            idle_per_server,
            idle_share,
            drain_grace,
        } = &self.connections;
        writeln!(to, "[connections]")?;
        writeln!(to, "client_share = {client_share} of the descriptors")?;
        writeln!(to, "idle_per_server = {idle_per_server} connections")?;
        writeln!(to, "idle_share = {idle_share} of the servers' idle limit")?;
        writeln!(to, "leaving_ms = {} ms", drain_grace.as_millis())?;
        match &self.idempotency {
            Some(idempotency) => idempotency.write_settings(self.log.is_some(), to)?,
            None => writeln!(to, "[idempotency] off")?,
        }
        match &self.log {
            Some(log) => log.fmt(to)?,
            None => writeln!(to, "[log] off: no state survives a restart")?,
        }
        match &self.link {
            Some(link) => link.fmt(to)?,
            None => writeln!(to, "[link] off: limiters exchange datagrams only")?,
        }
        match &self.start {
            Some(start) => start.fmt(to)?,
            None => writeln!(
                to,
                "[start] off: ready at once, complete lists always apply, no list is stored on a disk"
            )?,
        }
        match &self.takeover {
            Some(takeover) => takeover.fmt(to),
            None => writeln!(
                to,
                "[takeover] off: work in flight is lost with its limiter"
            ),
        }
    }
}

impl fmt::Display for Link {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(to, "[link]")?;
        writeln!(to, "cluster = {}, epoch = {}", self.cluster, self.epoch)?;
        for Member {
            number,
            name,
            address,
        } in &self.members
        {
            writeln!(to, "member {number} = {name} at {address}")?;
        }
        let transport = if self.plain {
            "plain, on loopback"
        } else {
            "mutual TLS"
        };
        writeln!(to, "keys = {}, {transport}", self.keys)?;
        let millis = |time: Duration| time.as_millis();
        writeln!(to, "beat_ms = {} ms", millis(self.heartbeat))?;
        writeln!(to, "suspect_ms = {} ms", millis(self.suspect_after))?;
        writeln!(to, "dead_ms = {} ms", millis(self.dead_after))?;
        writeln!(
            to,
            "copies = {} of {} limiters keep each customer's keys",
            self.copies,
            self.members.len()
        )?;
        writeln!(to, "ask_ms = {} ms", millis(self.query_timeout))
    }
}

impl fmt::Display for Log {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(to, "[log]")?;
        writeln!(to, "folder = {}", self.folder)?;
        writeln!(
            to,
            "spare_mb = {} MiB beyond twice the live records",
            self.spare_bytes >> 20
        )
    }
}

impl Idempotency {
    fn write_settings(&self, has_log: bool, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (retention, quiet) = (self.retention.as_secs_f64(), self.quiet().as_secs_f64());
        writeln!(to, "[idempotency]")?;
        writeln!(to, "retention_s = {retention} s")?;
        match quiet < retention {
            true => writeln!(
                to,
                "quiet_s = {quiet} s: SHORTER than retention_s, so what ran before a restart may run again"
            )?,
            false => {
                let when = if has_log { "a start that finds its log lost" } else { "a start" };
                writeln!(
                    to,
                    "quiet_s = {quiet} s after {when}, during which keyed requests are answered that they may have run"
                )?;
            }
        }
        writeln!(to, "entries = {} keys", self.entries)?;
        writeln!(to, "answers_mb = {} MiB", self.answer_bytes >> 20)?;
        writeln!(
            to,
            "customer_share = {} of keys and bytes",
            self.customer_share
        )?;
        writeln!(to, "waiters_per_key = {} requests", self.waiters_per_key)?;
        writeln!(
            to,
            "waiters_per_customer = {} requests",
            self.waiters_per_customer
        )?;
        writeln!(to, "repeats = {:?}", self.repeats)?;
        writeln!(to, "keys = {:?}", self.keys)
    }
}

/// Formats a TOML error as `file:line:column: message`.
pub fn format_toml_error(file: &str, text: &str, error: &toml::de::Error) -> String {
    let message = error.message().replace('\n', " ");
    match error.span() {
        Some(span) => {
            let (line, column) = position(text, span.start);
            format!("{file}:{line}:{column}: {message}")
        }
        None => format!("{file}: {message}"),
    }
}

/// Returns line and column of a byte offset, both counted from 1 as editors do.
pub fn position(text: &str, offset: usize) -> (usize, usize) {
    let before = text.get(..offset).unwrap_or(text);
    let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
    (before.matches('\n').count() + 1, column)
}

/// Deserializes a number within these bounds. The error names the value, the bounds and the unit.
///
/// # Errors
///
/// The value is not a number, or lies outside of the bounds.
pub fn within<'de, D: Deserializer<'de>>(
    from: D,
    bounds: RangeInclusive<f64>,
    unit: &str,
) -> Result<f64, D::Error> {
    let value = f64::deserialize(from)?;
    match bounds.contains(&value) {
        true => Ok(value),
        false => {
            let (min, max) = bounds.into_inner();
            Err(serde::de::Error::custom(format!(
                "found {value}, expected {min} to {max} {unit}"
            )))
        }
    }
}

fn client_share<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    within(from, 0.1..=0.9, "of the descriptors")
}

/// Deserializes a whole number within these bounds. The error names the value, the bounds and the unit.
///
/// # Errors
///
/// The value is not a whole number, or lies outside of the bounds.
pub fn count<'de, D: Deserializer<'de>>(
    from: D,
    bounds: RangeInclusive<u32>,
    unit: &str,
) -> Result<usize, D::Error> {
    let value = u32::deserialize(from)?;
    match bounds.contains(&value) {
        true => Ok(value as usize),
        false => {
            let (min, max) = bounds.into_inner();
            Err(serde::de::Error::custom(format!(
                "found {value}, expected {min} to {max} {unit}"
            )))
        }
    }
}

fn idle_per_server<'de, D: Deserializer<'de>>(from: D) -> Result<usize, D::Error> {
    count(from, 1..=4096, "connections")
}

fn retention<'de, D: Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
    within(from, 2.0..=86_400.0, "s").map(Duration::from_secs_f64)
}

fn quiet<'de, D: Deserializer<'de>>(from: D) -> Result<Option<Duration>, D::Error> {
    within(from, 0.0..=86_400.0, "s").map(|seconds| Some(Duration::from_secs_f64(seconds)))
}

fn entries<'de, D: Deserializer<'de>>(from: D) -> Result<usize, D::Error> {
    count(from, 1..=10_000_000, "keys")
}

fn megabytes<'de, D: Deserializer<'de>>(from: D) -> Result<usize, D::Error> {
    count(from, 0..=4096, "MiB").map(|mebibytes| mebibytes << 20)
}

fn folder<'de, D: Deserializer<'de>>(from: D) -> Result<String, D::Error> {
    let folder = String::deserialize(from)?;
    match folder.is_empty() {
        true => Err(serde::de::Error::custom(
            "found an empty text, expected a folder",
        )),
        false => Ok(folder),
    }
}

fn first_epoch() -> u64 {
    1
}

fn link_duration<'de, D: Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
    within(from, 10.0..=60_000.0, "ms").map(|ms| Duration::from_secs_f64(ms / 1000.0))
}

fn default_heartbeat() -> Duration {
    Duration::from_millis(100)
}

fn default_suspect_after() -> Duration {
    Duration::from_millis(350)
}

fn default_dead_after() -> Duration {
    Duration::from_millis(2000)
}

fn default_query_timeout() -> Duration {
    Duration::from_millis(250)
}

fn default_copies() -> usize {
    3
}

fn copies<'de, D: Deserializer<'de>>(from: D) -> Result<usize, D::Error> {
    let copies = count(from, 1..=9, "limiters")?;
    match copies % 2 {
        1 => Ok(copies),
        _ => Err(serde::de::Error::custom(format!(
            "found {copies}, expected an odd number of limiters"
        ))),
    }
}

fn default_spare_bytes() -> usize {
    8 << 20
}

fn spare_bytes<'de, D: Deserializer<'de>>(from: D) -> Result<usize, D::Error> {
    count(from, 1..=65_536, "MiB").map(|mebibytes| mebibytes << 20)
}

fn customer_share<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    within(from, 0.0001..=1.0, "of keys and bytes")
}

fn waiters<'de, D: Deserializer<'de>>(from: D) -> Result<usize, D::Error> {
    count(from, 0..=1024, "requests")
}

fn idle_share<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    within(from, 0.1..=0.95, "of the servers' idle limit")
}

fn drain_grace<'de, D: Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
    within(from, 0.0..=60_000.0, "ms").map(|ms| Duration::from_secs_f64(ms / 1000.0))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Writes these texts into files, reads them in order as operator files, and removes them.
    fn read(texts: &[&str]) -> Result<OperatorSettings, String> {
        static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
        let number = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("emberpin-operator-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let files = texts.iter().enumerate().map(|(i, text)| {
            let path = folder.join(format!("{i}.toml"));
            std::fs::write(&path, text).expect("written");
            path
        });
        let operator = OperatorSettings::read(&files.collect::<Vec<_>>());
        std::fs::remove_dir_all(&folder).expect("removed");
        operator.map_err(|e| e.replace(&format!("{}/", folder.display()), ""))
    }

    #[test]
    fn settings_that_no_file_sets_have_their_defaults() {
        assert_eq!(read(&[]), Ok(OperatorSettings::default()));
        assert_eq!(
            read(&["# nothing", "[connections]"]),
            Ok(OperatorSettings::default())
        );
    }

    #[test]
    fn a_value_from_a_file_is_applied_and_printed_with_its_unit() {
        let operator =
            read(&["[connections]\nidle_per_server = 3\nleaving_ms = 250"]).expect("good");
        assert_eq!(operator.connections.idle_per_server, 3);
        assert_eq!(operator.connections.drain_grace, Duration::from_millis(250));
        assert!(operator
            .to_string()
            .contains("idle_per_server = 3 connections"));
        assert!(operator.to_string().contains("leaving_ms = 250 ms"));
    }

    #[test]
    fn errors_name_file_line_column_and_the_found_and_expected_values() {
        let cases = [
            (
                "\n[conections]\n",
                "0.toml:2:2: unknown field `conections`, expected one of `connections`, `idempotency`, `log`, `link`",
            ),
            ("[connections]\nidle = 1", "0.toml:2:1: unknown field `idle`, expected one of `client_share`"),
            ("[connections]\n  client_share = 1.5", "0.toml:2:18: found 1.5, expected 0.1 to 0.9"),
            ("[connections]\nclient_share = nan", "0.toml:2:16: found NaN, expected 0.1 to 0.9"),
            ("[connections]\nidle_per_server = 0", "0.toml:2:19: found 0, expected 1 to 4096 connections"),
            (
                "[connections]\nleaving_ms = \"1 s\"",
                "0.toml:2:14: invalid type: string \"1 s\", expected f64",
            ),
            (
                "[idempotency]\nrepeats = \"hope\"",
                "0.toml:2:11: unknown variant `hope`, expected `wait` or `conflict`",
            ),
            ("[idempotency]\nretention_s = 1", "0.toml:2:15: found 1, expected 2 to 86400 s"),
            ("[idempotency]\nentries = 0", "0.toml:2:11: found 0, expected 1 to 10000000 keys"),
            ("[log]\nfolder = \"\"", "0.toml:2:10: found an empty text, expected a folder"),
            ("[log]", "0.toml:1:1: missing field `folder`"),
            ("[log]\nfolder = \"a\"\nspare_mb = 0", "0.toml:3:12: found 0, expected 1 to 65536 MiB"),
            (
                "[link]\ncluster = \"c\"\nkeys = \"k\"\ncopies = 2\nmember = []",
                "0.toml:4:10: found 2, expected an odd number of limiters",
            ),
            ("[link]\ncluster = \"c\"\nkeys = \"k\"\nmember = []", "0.toml: [link] names no [[link.member]]"),
            (
                "[link]\ncluster = \"c\"\nkeys = \"k\"\nplain = true\n[[link.member]]\nnumber = 0\nname = \"n0\"\n\
                 address = \"10.0.0.1:1\"",
                "0.toml: [link] plain = true, but 10.0.0.1:1 of member \"n0\" is no loopback address",
            ),
            ("[takeover]\nper_s = -1", "0.toml:2:9: found -1, expected 0 to 1000000 takeovers a second"),
            ("[takeover]\nentries = 0", "0.toml:2:11: found 0, expected 1 to 1000000 pieces of work"),
            ("[takeover]", "0.toml: [takeover] takes over keyed work, and [idempotency] is not set: set it, or leave"),
            ("[idempotency]\n[takeover]", "0.toml: [takeover] takes over keyed work, and [link] is not set: set it"),
            ("[connections", "0.toml:1:13: "),
        ];
        for (text, expected) in cases {
            let problem = read(&[text]).expect_err(text);
            assert!(problem.starts_with(expected), "{text:?}: {problem}");
        }
    }

    #[test]
    fn the_quiet_time_defaults_to_the_retention_and_a_shorter_one_is_flagged() {
        let idempotency = |text| read(&[text]).expect("good").idempotency.expect("on");
        assert_eq!(
            idempotency("[idempotency]\nretention_s = 9").quiet(),
            Duration::from_secs(9)
        );
        let shorter = idempotency("[idempotency]\nretention_s = 9\nquiet_s = 3");
        assert_eq!(shorter.quiet(), Duration::from_secs(3));
        let shown = |idempotency: Idempotency| {
            OperatorSettings {
                idempotency: Some(idempotency),
                ..OperatorSettings::default()
            }
            .to_string()
        };
        assert!(shown(shorter).contains("may run again"));
        assert!(OperatorSettings::default()
            .to_string()
            .contains("[idempotency] off"));
    }

    #[test]
    fn a_folder_placeholder_accepts_instance_names_but_no_paths() {
        let log = read(&["[log]\nfolder = \"/var/lib/{name}/keys\""])
            .expect("good")
            .log
            .expect("on");
        assert_eq!(
            log.instance_folder("n3"),
            Ok(PathBuf::from("/var/lib/n3/keys"))
        );
        for bad in ["", "..", "a/b", "å"] {
            assert!(log
                .instance_folder(bad)
                .expect_err(bad)
                .contains("needs the instance's name"));
        }
        let plain = read(&["[log]\nfolder = \"here\""])
            .expect("good")
            .log
            .expect("on");
        assert_eq!(plain.instance_folder(""), Ok(PathBuf::from("here")));
    }

    #[test]
    fn a_table_in_two_files_is_rejected_and_both_files_are_named() {
        let problem = read(&["[connections]", "", "[connections]"]).expect_err("twice");
        assert_eq!(
            problem,
            "2.toml: [connections] is set already, by 0.toml; keep one of them"
        );
    }
}
