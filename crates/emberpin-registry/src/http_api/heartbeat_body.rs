//! Parses the JSON body of a heartbeat, field by field so that errors name the field.

use emberpin_membership::clock::to_wire_precision;
use emberpin_membership::instance::{Instance, Status};
use emberpin_runtime::settings;
use jzon::JsonValue;
use std::time::Duration;

/// Why the body of a heartbeat is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {problem}")]
pub struct InvalidHeartbeat {
    /// The path of the field, or `body` for the whole body.
    pub field: &'static str,
    /// What is wrong with the field.
    pub problem: FieldProblem,
}

/// What is wrong with a field of a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FieldProblem {
    /// The body is not UTF-8.
    #[error("is no UTF-8")]
    NotUtf8,
    /// The body is not JSON; contains the parser's message as one line.
    #[error("{0}")]
    NotJson(String),
    /// The field is missing or invalid; contains the description of a valid value.
    #[error("expected {0}")]
    Expected(&'static str),
}

fn expected(field: &'static str, description: &'static str) -> InvalidHeartbeat {
    InvalidHeartbeat {
        field,
        problem: FieldProblem::Expected(description),
    }
}

/// Parses the body of a heartbeat of the instance with this id.
///
/// # Errors
///
/// [`InvalidHeartbeat`] names the first field that is missing or invalid.
pub fn parse(instance_id: &str, body: &[u8]) -> Result<Instance, InvalidHeartbeat> {
    let body = parse_json(body)?;
    let (info, stat) = (&body["sysinfo"], &body["stat"]);
    let status = parse_status(&stat["state"])?;
    let warmup_left = parse_warmup_left(&stat["warm_left"])?;
    Ok(Instance {
        id: instance_id.to_string(),
        service: text(&info["svc"], "sysinfo.svc")?,
        address: text(&body["addr"], "addr")?
            .parse()
            .map_err(|_| expected("addr", "an address"))?,
        zone: text(&info["az"], "sysinfo.az")?,
        slots: info["slots"]
            .as_u32()
            .ok_or_else(|| expected("sysinfo.slots", "a whole number"))?,
        status,
        seq: stat["seq"]
            .as_u64()
            .ok_or_else(|| expected("stat.seq", "a whole number"))?,
        warmup_left: to_wire_precision(warmup_left),
    })
}

fn parse_json(body: &[u8]) -> Result<JsonValue, InvalidHeartbeat> {
    let invalid = |problem| InvalidHeartbeat {
        field: "body",
        problem,
    };
    let text = std::str::from_utf8(body).map_err(|_| invalid(FieldProblem::NotUtf8))?;
    jzon::parse(text).map_err(|error| {
        let line = error.to_string().replace('\n', " ");
        invalid(FieldProblem::NotJson(line))
    })
}

fn parse_status(state: &JsonValue) -> Result<Status, InvalidHeartbeat> {
    match state.as_str() {
        Some("up") => Ok(Status::Up),
        Some("drain") => Ok(Status::Draining),
        _ => Err(expected("stat.state", "up or drain")),
    }
}

/// The remaining warm-up time of the server; 0 if the heartbeat does not state it.
fn parse_warmup_left(value: &JsonValue) -> Result<Duration, InvalidHeartbeat> {
    if value.is_null() {
        return Ok(Duration::ZERO);
    }
    value
        .as_str()
        .and_then(settings::parse_duration)
        .ok_or_else(|| expected("stat.warm_left", "a time such as 1500ms"))
}

fn text(value: &JsonValue, field: &'static str) -> Result<String, InvalidHeartbeat> {
    value
        .as_str()
        .map(str::to_string)
        .ok_or_else(|| expected(field, "a text"))
}
