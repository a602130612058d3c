//! The status that a registry reports, parsed from the JSON of `GET /status`.

use jzon::JsonValue;
use std::time::Duration;

/// The response of a registry to `GET /status`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// The name of the registry's machine.
    pub name: String,
    /// Whether it is in contact with its store and a majority of the registries: `settled` to the operator.
    pub settled: bool,
    /// The machines whose stores vote, as it knows them, in order.
    pub voters: Vec<String>,
    /// The registries that it is in contact with, in order.
    pub registries: Vec<String>,
    /// The sessions of proxies with it.
    pub proxy_sessions: Vec<ProxySession>,
    /// The instances of servers that it knows.
    pub instances: Vec<Instance>,
    /// How many items of the configuration it has.
    pub items: u64,
    /// The disk of the store on its machine, once that store has reported it.
    pub disk: Option<Disk>,
    /// Its clock, as time since the Unix epoch.
    pub clock: Duration,
}

/// A proxy's session.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProxySession {
    /// The proxy's name.
    pub name: String,
    /// The proxy's zone.
    pub zone: String,
    /// How many changes it has yet to acknowledge.
    pub changes_behind: u64,
}

/// An instance of a server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Instance {
    /// The instance's id.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// The address at which it takes requests.
    pub address: String,
    /// The instance's zone.
    pub zone: String,
    /// `up`, `drain` or `gone`.
    pub status: String,
    /// How long it still warms up.
    pub warmup_left: Duration,
    /// The time since its last heartbeat.
    pub last_heartbeat_age: Duration,
}

/// The disk of a store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Disk {
    /// Bytes that the store's files take.
    pub used_bytes: u64,
    /// Bytes that they may take; 0 if that is not known.
    pub limit_bytes: u64,
    /// `writable`, or why it takes no changes. Registries of earlier builds do not report it.
    pub state: Option<String>,
}

/// Why a response is not a status.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidStatus {
    /// It is not JSON.
    #[error("not a status: {0}")]
    NotJson(#[from] jzon::Error),
    /// A field is missing or has another type.
    #[error("not a status: {0}")]
    Field(&'static str),
    /// An element of a list of texts, as JSON, is none.
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
            name: text(&value, "name")?,
            settled: value["settled"]
                .as_bool()
                .ok_or(InvalidStatus::Field("settled"))?,
            voters: sorted(list(&value, "voters", parse_text)?),
            registries: sorted(list(&value, "registries", parse_text)?),
            proxy_sessions: list(&value, "limiters", parse_proxy_session)?,
            instances: list(&value, "instances", parse_instance)?,
            items: number(&value, "items")?,
            disk,
            clock: milliseconds(&value, "clock_ms")?,
        })
    }
}

fn parse_disk(value: &JsonValue) -> Result<Option<Disk>, InvalidStatus> {
    if value.is_null() {
        return Ok(None);
    }
    Ok(Some(Disk {
        used_bytes: number(value, "used")?,
        limit_bytes: number(value, "of")?,
        state: value["state"].as_str().map(str::to_owned),
    }))
}

fn parse_proxy_session(value: &JsonValue) -> Result<ProxySession, InvalidStatus> {
    Ok(ProxySession {
        name: text(value, "name")?,
        zone: text(value, "zone")?,
        changes_behind: number(value, "behind")?,
    })
}

fn parse_instance(value: &JsonValue) -> Result<Instance, InvalidStatus> {
    Ok(Instance {
        id: text(value, "id")?,
        service: text(value, "service")?,
        address: text(value, "address")?,
        zone: text(value, "zone")?,
        status: text(value, "status")?,
        warmup_left: milliseconds(value, "cold_ms")?,
        last_heartbeat_age: milliseconds(value, "heard_ms")?,
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

pub(crate) fn text(value: &JsonValue, field: &'static str) -> Result<String, InvalidStatus> {
    value[field]
        .as_str()
        .map(str::to_owned)
        .ok_or(InvalidStatus::Field(field))
}

pub(crate) fn number(value: &JsonValue, field: &'static str) -> Result<u64, InvalidStatus> {
    value[field].as_u64().ok_or(InvalidStatus::Field(field))
}

pub(crate) fn milliseconds(
    value: &JsonValue,
    field: &'static str,
) -> Result<Duration, InvalidStatus> {
    number(value, field).map(Duration::from_millis)
}

pub(crate) fn list<T>(
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
