//! Fixtures: instances and items, a cluster of registries over an in-memory network, and the view of a proxy.
#![allow(
    dead_code,
    unused_imports,
    missing_docs,
    reason = "each test file uses a part of it"
)]

mod cluster;
mod network;
mod proxy_view;

pub use cluster::{Cluster, StoreState, EVICTION_TIMEOUT_MS, HEARTBEAT_INTERVAL_MS};
pub use proxy_view::ProxyView;

use emberpin_config::{Item, ItemKey, ItemKind, Version};
use emberpin_membership::instance::{Instance, Status};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// The address of the machine with this number.
pub fn ip(machine: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, machine, 0, 1)
}

/// The number of the machine with this address.
pub fn machine(ip: Ipv4Addr) -> u8 {
    ip.octets()[1]
}

/// The zone of a machine. There are three zones.
pub fn zone(machine: u8) -> String {
    format!("zone-{}", machine % 3)
}

/// An instance that is up, in the zone of machine 1. Its port is derived from its id.
pub fn instance(id: &str, seq: u64) -> Instance {
    let port = 8000 + id.bytes().fold(0, |sum, byte| sum + u16::from(byte));
    Instance {
        id: id.into(),
        service: "svc".into(),
        address: SocketAddr::from((Ipv4Addr::new(10, 128, 0, 1), port)),
        zone: zone(1),
        slots: 4,
        status: Status::Up,
        seq,
        warmup_left: Duration::ZERO,
    }
}

/// The instance that [`instance`] returns, draining.
pub fn draining(id: &str, seq: u64) -> Instance {
    Instance {
        status: Status::Draining,
        ..instance(id, seq)
    }
}

/// The instance that [`instance`] returns, warming up for this many milliseconds more.
pub fn warming_up(id: &str, seq: u64, warmup_left_ms: u64) -> Instance {
    Instance {
        warmup_left: Duration::from_millis(warmup_left_ms),
        ..instance(id, seq)
    }
}

/// A configuration item. Without a body it is the tombstone of a deleted one.
pub fn item(kind: ItemKind, name: &str, version: u64, body: Option<&str>) -> Item {
    Item {
        key: ItemKey {
            kind,
            name: name.into(),
        },
        version: Version(version),
        body: body.map(str::to_string),
    }
}
