//! The status of a registry, parsed from the JSON response of `GET /status`, and helpers for reading JSON fields.

use jzon::JsonValue;
use std::time::Duration;

/// The response of a registry to `GET /status`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// The name of the registry's machine.
    pub name: String,
    /// Whether the registry is in contact with its store and with a majority of the registries; the output calls this
    /// `settled`.
    pub settled: bool,
    /// The machines whose stores vote according to this registry, sorted.
    pub voters: Vec<String>,
    /// The registries that this registry is in contact with, sorted.
    pub registries: Vec<String>,
    /// The sessions of proxies with this registry.
    pub proxy_sessions: Vec<ProxySession>,
    /// The server instances that this registry knows.
    pub instances: Vec<Instance>,
    /// The number of items in this registry's copy of the configuration.
    pub items: u64,
    /// The disk of the store on the same machine; `None` until the store has reported it.
    pub disk: Option<Disk>,
    /// The registry's clock, as time since the Unix epoch.
    pub clock: Duration,
}

/// A session of a proxy with a registry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProxySession {
    /// The proxy's name.
    pub name: String,
    /// The proxy's zone.
    pub zone: String,
    /// The number of changes that the proxy has not acknowledged yet.
    pub changes_behind: u64,
}

/// A server instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Instance {
    /// The instance's id.
    pub id: String,
    /// The service that the instance belongs to.
    pub service: String,
    /// The address at which the instance serves requests.
    pub address: String,
    /// The instance's zone.
    pub zone: String,
    /// `up`, `drain` or `gone`.
    pub status: String,
    /// The remaining warm-up time.
    pub warmup_left: Duration,
    /// The time since the instance's last heartbeat.
    pub last_heartbeat_age: Duration,
}

/// The disk of a store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Disk {
    /// The size of the store's files.
    pub used_bytes: u64,
    /// The maximum size of the store's files; 0 if unknown.
    pub limit_bytes: u64,
    /// `writable`, or why the store accepts no changes; `None` from registries of earlier builds, which do not report
    /// it.
    pub state: Option<String>,
}

/// Why a response body is invalid.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidStatus {
    /// The body is not JSON.
    #[error("not a status: {0}")]
    NotJson(#[from] jzon::Error),
    /// The field of this name is missing or has another type.
    #[error("not a status: {0}")]
    Field(&'static str),
    /// An element of a list of strings, given here as JSON, is not a string.
    #[error("not a status: {0} is not a text")]
    NotText(String),
}

impl Status {
    /// Parses the body of a response.
    ///
    /// # Errors
    ///
    /// [`InvalidStatus`] names the first field that is missing or has another type.
    pub fn parse(json: &str) -> Result<Status, InvalidStatus> {
        let value = jzon::parse(json)?;
        let disk = parse_disk(&value["disk"])?;
        Ok(Status {
            name: string_field(&value, "name")?,
            settled: value["settled"]
                .as_bool()
                .ok_or(InvalidStatus::Field("settled"))?,
            voters: sorted(list_field(&value, "voters", parse_text)?),
            registries: sorted(list_field(&value, "registries", parse_text)?),
            proxy_sessions: list_field(&value, "limiters", parse_proxy_session)?,
            instances: list_field(&value, "instances", parse_instance)?,
            items: u64_field(&value, "items")?,
            disk,
            clock: duration_field(&value, "clock_ms")?,
        })
    }
}

fn parse_disk(value: &JsonValue) -> Result<Option<Disk>, InvalidStatus> {
    if value.is_null() {
        return Ok(None);
    }
    Ok(Some(Disk {
        used_bytes: u64_field(value, "used")?,
        limit_bytes: u64_field(value, "of")?,
        state: value["state"].as_str().map(str::to_owned),
    }))
}

fn parse_proxy_session(value: &JsonValue) -> Result<ProxySession, InvalidStatus> {
    Ok(ProxySession {
        name: string_field(value, "name")?,
        zone: string_field(value, "zone")?,
        changes_behind: u64_field(value, "behind")?,
    })
}

fn parse_instance(value: &JsonValue) -> Result<Instance, InvalidStatus> {
    Ok(Instance {
        id: string_field(value, "id")?,
        service: string_field(value, "service")?,
        address: string_field(value, "address")?,
        zone: string_field(value, "zone")?,
        status: string_field(value, "status")?,
        warmup_left: duration_field(value, "cold_ms")?,
        last_heartbeat_age: duration_field(value, "heard_ms")?,
    })
}

fn sorted(mut texts: Vec<String>) -> Vec<String> {
    texts.sort();
    texts
}

fn parse_text(value: &JsonValue) -> Result<String, InvalidStatus> {
    value
        .as_str()
        .map(str::to_owned)
        .ok_or_else(|| InvalidStatus::NotText(value.to_string()))
}

pub(crate) fn string_field(
    value: &JsonValue,
    field: &'static str,
) -> Result<String, InvalidStatus> {
    value[field]
        .as_str()
        .map(str::to_owned)
        .ok_or(InvalidStatus::Field(field))
}

pub(crate) fn u64_field(value: &JsonValue, field: &'static str) -> Result<u64, InvalidStatus> {
    value[field].as_u64().ok_or(InvalidStatus::Field(field))
}

pub(crate) fn duration_field(
    value: &JsonValue,
    field: &'static str,
) -> Result<Duration, InvalidStatus> {
    u64_field(value, field).map(Duration::from_millis)
}

pub(crate) fn list_field<T>(
    value: &JsonValue,
    field: &'static str,
    parse: impl Fn(&JsonValue) -> Result<T, InvalidStatus>,
) -> Result<Vec<T>, InvalidStatus> {
    value[field]
        .as_array()
        .ok_or(InvalidStatus::Field(field))?
        .iter()
        .map(parse)
        .collect()
}
