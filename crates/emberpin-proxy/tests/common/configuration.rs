//! Configuration items and server instances that a registry sends.

use emberpin_config::{Item, ItemKey, ItemKind, Version};
use emberpin_membership::instance::{Instance, Status};
use std::net::SocketAddr;
use std::time::Duration;

/// Host of all routes.
pub const HOST: &str = "h.example";

/// A configuration item; without a body, the tombstone of a removed one.
pub fn item(kind: ItemKind, name: &str, version: u64, body: Option<String>) -> Item {
    Item {
        key: ItemKey {
            kind,
            name: name.into(),
        },
        version: Version(version),
        body,
    }
}

/// A service whose servers get at most this rate of requests while they warm up. A server counts as warm unless its
/// instance states a remaining warm-up time.
pub fn service(name: &str, version: u64, warmup_requests_per_s: f64) -> Item {
    let settings = format!(
        "\"hcheck\":\"/healthz\",\"maxconn\":100,\"warmup\":\"0s\",\"warmup_per_s\":{warmup_requests_per_s:.1}"
    );
    item(
        ItemKind::Service,
        name,
        version,
        Some(format!(
            "{{\"name\":\"{name}\",{settings},\"ver\":{version}}}"
        )),
    )
}

/// A route of [`HOST`] to one service.
#[derive(Clone, Copy)]
pub struct RouteSpec<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout: Duration,
    pub latency_target: Duration,
    pub max_attempts: u32,
    pub version: u64,
}

/// Readonly, to the service `s`, with up to two attempts.
pub const READONLY_ROUTE: RouteSpec = RouteSpec {
    name: "read",
    prefix: "/read/",
    kind: "readonly",
    service: "s",
    timeout: Duration::from_millis(8_000),
    latency_target: Duration::from_millis(1_000),
    max_attempts: 2,
    version: 1,
};

/// Mutating, to the service `s`, with up to two attempts.
pub const MUTATING_ROUTE: RouteSpec = RouteSpec {
    name: "write",
    prefix: "/write/",
    kind: "mutating",
    ..READONLY_ROUTE
};

impl RouteSpec<'_> {
    pub fn item(&self) -> Item {
        let RouteSpec {
            name,
            prefix,
            kind,
            service,
            timeout,
            latency_target,
            max_attempts,
            version,
        } = self;
        let times = format!(
            "\"timeout\":\"{}ms\",\"target_time\":\"{}ms\"",
            timeout.as_millis(),
            latency_target.as_millis()
        );
        let target =
            format!("\"prio\":1,\"svc\":\"{service}\",\"tries\":{max_attempts},\"ver\":{version}");
        let location = format!(
            "{{\"name\":\"{name}\",\"pfx\":\"{prefix}\",\"type\":\"{kind}\",{times},{target}}}"
        );
        let body = format!("{{\"hostname\":\"{HOST}\",\"loc\":{location}}}");
        item(ItemKind::Route, name, *version, Some(body))
    }
}

/// The service `s` and both routes to it.
pub fn default_items() -> Vec<Item> {
    vec![
        service("s", 1, 10.0),
        READONLY_ROUTE.item(),
        MUTATING_ROUTE.item(),
    ]
}

/// A warm instance of the service `s` in the proxy's zone, at this address.
pub fn instance(id: &str, address: SocketAddr) -> Instance {
    Instance {
        id: id.into(),
        service: "s".into(),
        address,
        zone: "north".into(),
        slots: 4,
        status: Status::Up,
        seq: 1,
        warmup_left: Duration::ZERO,
    }
}
