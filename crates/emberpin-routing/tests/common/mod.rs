//! Routes and instances for the tests.
#![allow(dead_code, reason = "each test file uses a part of it")]

use emberpin_config::{Target, Version};
use emberpin_membership::instance::{Instance, Status};
use emberpin_routing::{Route, RouteKind};
use std::time::Duration;

/// A duration, or a time on the proxy's clock, in milliseconds.
pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A route to one service, `s`.
pub fn route(name: &str, hostname: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        hostname: hostname.into(),
        prefix: prefix.into(),
        kind: RouteKind::Readonly,
        timeout: Duration::from_millis(1_500),
        latency_target: Duration::from_millis(250),
        priority: 1,
        targets: vec![Target {
            service: "s".into(),
            weight: 1,
        }],
        max_attempts: 2,
        version: Version(1),
    }
}

/// An instance of the service `s` in the zone `umea` that is not warming up.
pub fn instance(id: &str, status: Status, seq: u64) -> Instance {
    Instance {
        id: id.into(),
        service: "s".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "umea".into(),
        slots: 2,
        status,
        seq,
        warmup_left: Duration::ZERO,
    }
}
