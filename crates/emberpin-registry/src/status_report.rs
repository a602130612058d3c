//! The JSON body of the response to `GET /status`, which `emberpinctl` reads. Its keys are part of the HTTP interface.

use emberpin_membership::clock::Timestamp;
use emberpin_membership::instance::Status;
use emberpin_membership::instance_table::InstanceEntry;
use emberpin_membership::registry::Registry;
use emberpin_store::protocol::DiskStatus;
use jzon::{array, object, JsonValue};
use std::net::Ipv4Addr;
use std::time::{SystemTime, UNIX_EPOCH};

/// The parts of the status that the state machine does not have.
pub struct ProcessStatus<'a> {
    /// The machine's name.
    pub node_name: &'a str,
    /// The number of connections that ended because a frame could not be read.
    pub unreadable_frames: u64,
    /// The number of peers rejected because of their protocol versions or system.
    pub rejected_peers: u64,
    /// The disk status of the store on this machine; `None` until the store has reported it.
    pub local_disk: Option<DiskStatus>,
}

/// Returns the status of a registry as JSON text.
pub fn to_json(registry: &Registry, process: &ProcessStatus, now: Timestamp) -> String {
    let status = object! {
        name: process.node_name,
        settled: registry.is_confirmed(now),
        voters: addresses(registry.voters()),
        registries: addresses(&registry.registries_in_contact(now)),
        limiters: proxies(registry),
        instances: instances(registry, now),
        items: registry.item_count(),
        unreadable: process.unreadable_frames,
        refused: process.rejected_peers,
        disk: process.local_disk.map(disk),
        clock_ms: unix_time_ms(),
    };
    status.dump()
}

fn addresses(machines: &[Ipv4Addr]) -> Vec<String> {
    machines.iter().map(ToString::to_string).collect()
}

/// The proxies with a session, each with the number of changes that it has not acknowledged yet.
fn proxies(registry: &Registry) -> JsonValue {
    let mut proxies = array![];
    for lag in registry.proxy_lags() {
        _ = proxies.push(object! {
            name: lag.proxy.name,
            zone: lag.proxy.zone,
            behind: lag.changes_behind,
        });
    }
    proxies
}

fn instances(registry: &Registry, now: Timestamp) -> JsonValue {
    let mut instances = array![];
    for (id, entry) in registry.instances().iter() {
        _ = instances.push(instance(registry, id, entry, now));
    }
    instances
}

fn instance(registry: &Registry, id: &str, entry: &InstanceEntry, now: Timestamp) -> JsonValue {
    let instance = entry.instance(now);
    object! {
        id: id,
        service: instance.service,
        address: instance.address.to_string(),
        zone: instance.zone,
        status: status_name(instance.status),
        cold_ms: instance.warmup_left.as_millis() as u64,
        heard_ms: now.duration_since(registry.last_contact(entry)).as_millis() as u64,
        owner: entry.owner.map(|owner| owner.to_string()),
    }
}

fn status_name(status: Status) -> &'static str {
    match status {
        Status::Up => "up",
        Status::Draining => "drain",
        Status::Removed => "gone",
    }
}

fn disk(status: DiskStatus) -> JsonValue {
    object! { state: status.state.as_str(), used: status.used_bytes, of: status.limit_bytes }
}

fn unix_time_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |clock| clock.as_millis() as u64)
}
