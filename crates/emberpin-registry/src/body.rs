//! The bodies of calls and answers: JSON, read by hand, field by field.

use emberpin_membership::instance::{Instance, Status};
use emberpin_membership::registry::Registry;
use emberpin_runtime::settings;
use emberpin_store::protocol::DiskStatus;
use jzon::{array, object, JsonValue};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A body that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{at}: {what}")]
pub struct Wrong {
    /// Where.
    pub at: &'static str,
    /// What was expected.
    pub what: String,
}

fn wrong(at: &'static str, what: impl Into<String>) -> Wrong {
    Wrong {
        at,
        what: what.into(),
    }
}

/// A server's beat.
///
/// # Errors
///
/// [`Wrong`].
pub fn heartbeat(id: &str, body: &[u8]) -> Result<Instance, Wrong> {
    let text = std::str::from_utf8(body).map_err(|_| wrong("body", "is no UTF-8"))?;
    let body = jzon::parse(text).map_err(|e| wrong("body", e.to_string().replace('\n', " ")))?;
    let (info, stat) = (&body["sysinfo"], &body["stat"]);
    let text = |value: &JsonValue, at| {
        value
            .as_str()
            .map(str::to_string)
            .ok_or_else(|| wrong(at, "expected a text"))
    };
    let status = match stat["state"].as_str() {
        Some("up") => Status::Up,
        Some("drain") => Status::Drain,
        _ => return Err(wrong("stat.state", "expected up or drain")),
    };
    let cold = match &stat["warm_left"] {
        JsonValue::Null => Duration::ZERO,
        value => value
            .as_str()
            .and_then(settings::time)
            .ok_or_else(|| wrong("stat.warm_left", "expected a time such as 1500ms"))?,
    };
    Ok(Instance {
        id: id.to_string(),
        service: text(&info["svc"], "sysinfo.svc")?,
        address: text(&body["addr"], "addr")?
            .parse()
            .map_err(|_| wrong("addr", "expected an address"))?,
        zone: text(&info["az"], "sysinfo.az")?,
        slots: info["slots"]
            .as_u32()
            .ok_or_else(|| wrong("sysinfo.slots", "expected a whole number"))?,
        status,
        seq: stat["seq"]
            .as_u64()
            .ok_or_else(|| wrong("stat.seq", "expected a whole number"))?,
        cold_ms: u32::try_from(cold.as_millis()).unwrap_or(u32::MAX),
    })
}

/// What a status tells beside what the registry knows.
pub struct About<'a> {
    /// The machine's name.
    pub name: &'a str,
    /// Frames that could not be read.
    pub unreadable: u64,
    /// Peers of another version or system that were refused.
    pub refused: u64,
    /// The disk of the store on this machine, if that told.
    pub disk: Option<DiskStatus>,
}

fn disk(report: DiskStatus) -> JsonValue {
    object! { state: report.state.as_str(), used: report.used_bytes, of: report.limit_bytes }
}

/// How a registry stands, for the operator's doctor.
pub fn status(registry: &Registry, about: &About, now: u64) -> String {
    let addresses = |list: &[std::net::Ipv4Addr]| -> Vec<String> {
        list.iter().map(ToString::to_string).collect()
    };
    let mut limiters = array![];
    for behind in registry.behind() {
        let (name, zone) = (behind.limiter.name, behind.limiter.zone);
        _ = limiters.push(object! { name: name, zone: zone, behind: behind.behind });
    }
    let mut instances = array![];
    for (id, row) in registry.instances().iter() {
        let instance = row.instance(now);
        let status = match instance.status {
            Status::Up => "up",
            Status::Drain => "drain",
            Status::Gone => "gone",
        };
        _ = instances.push(object! {
            id: id.as_str(),
            service: instance.service,
            address: instance.address.to_string(),
            zone: instance.zone,
            status: status,
            cold_ms: instance.cold_ms,
            heard_ms: now.saturating_sub(registry.heard_life(row)),
            owner: row.owner.map(|owner| owner.to_string()),
        });
    }
    let clock = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |clock| clock.as_millis() as u64);
    let status = object! {
        name: about.name,
        settled: registry.is_settled(now),
        voters: addresses(registry.voters()),
        registries: addresses(&registry.heard(now)),
        limiters: limiters,
        instances: instances,
        items: registry.items(),
        unreadable: about.unreadable,
        refused: about.refused,
        disk: about.disk.map(disk),
        clock_ms: clock,
    };
    status.dump()
}
