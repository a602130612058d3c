//! What a registry says about itself.

use jzon::JsonValue;

/// What a registry answers to `GET /status`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// The registry's name.
    pub name: String,
    /// Whether it is in step with a majority.
    pub settled: bool,
    /// Who votes, as it knows them, in order.
    pub voters: Vec<String>,
    /// The registries that it knows, in order.
    pub registries: Vec<String>,
    /// The limiters in session with it.
    pub limiters: Vec<Limiter>,
    /// The lives of servers.
    pub instances: Vec<Instance>,
    /// How many items it has.
    pub items: u64,
    /// The disk of the store beside it: bytes used, and of how many; of 0, if that isn't known.
    pub disk: Option<(u64, u64)>,
    /// How that disk stands, if the registry tells: `writable`, or something else.
    pub disk_state: Option<String>,
    /// Its clock, in ms of Unix time.
    pub clock_ms: u64,
}

/// A limiter in session.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Limiter {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// How many changes it has yet to confirm.
    pub behind: u64,
}

/// A life of a server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Instance {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its address.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// How it stands: `up`, or something else.
    pub status: String,
    /// How much longer it is cold.
    pub cold_ms: u64,
    /// How long ago it was heard.
    pub heard_ms: u64,
}

/// A status that lacks something, or has it in another type.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a status: {0}")]
pub struct NotStatus(String);

impl Status {
    /// Reads an answer.
    pub fn read(text: &str) -> Result<Status, NotStatus> {
        let value = jzon::parse(text).map_err(|wrong| NotStatus(wrong.to_string()))?;
        let disk = match &value["disk"] {
            JsonValue::Null => None,
            disk => Some((number(disk, "used")?, number(disk, "of")?)),
        };
        Ok(Status {
            name: word(&value, "name")?,
            settled: value["settled"]
                .as_bool()
                .ok_or_else(|| NotStatus("settled".into()))?,
            voters: sorted(list(&value, "voters", as_word)?),
            registries: sorted(list(&value, "registries", as_word)?),
            limiters: list(&value, "limiters", |limiter| {
                Ok(Limiter {
                    name: word(limiter, "name")?,
                    zone: word(limiter, "zone")?,
                    behind: number(limiter, "behind")?,
                })
            })?,
            instances: list(&value, "instances", |instance| {
                Ok(Instance {
                    id: word(instance, "id")?,
                    service: word(instance, "service")?,
                    address: word(instance, "address")?,
                    zone: word(instance, "zone")?,
                    status: word(instance, "status")?,
                    cold_ms: number(instance, "cold_ms")?,
                    heard_ms: number(instance, "heard_ms")?,
                })
            })?,
            items: number(&value, "items")?,
            disk,
            disk_state: value["disk"]["state"].as_str().map(str::to_owned),
            clock_ms: number(&value, "clock_ms")?,
        })
    }
}

fn sorted(mut words: Vec<String>) -> Vec<String> {
    words.sort();
    words
}

fn as_word(value: &JsonValue) -> Result<String, NotStatus> {
    value
        .as_str()
        .map(str::to_owned)
        .ok_or_else(|| NotStatus(format!("{value} is not a text")))
}

fn word(value: &JsonValue, field: &str) -> Result<String, NotStatus> {
    value[field]
        .as_str()
        .map(str::to_owned)
        .ok_or_else(|| NotStatus(field.into()))
}

fn number(value: &JsonValue, field: &str) -> Result<u64, NotStatus> {
    value[field].as_u64().ok_or_else(|| NotStatus(field.into()))
}

fn list<T>(
    value: &JsonValue,
    field: &str,
    read: impl Fn(&JsonValue) -> Result<T, NotStatus>,
) -> Result<Vec<T>, NotStatus> {
    value[field]
        .as_array()
        .ok_or_else(|| NotStatus(field.into()))?
        .iter()
        .map(read)
        .collect()
}
