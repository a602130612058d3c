//! The request classes, customer plans and rules of the stand-in site, as the users state them for their site.

use crate::trace::{Micros, SECOND};

/// The effect of running a request twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Harmless.
    Safe,
    /// Harmless within one zone and [`DEDUP_WINDOW`], where the servers deduplicate by key.
    Keyed,
    /// Never allowed.
    Unsafe,
}

/// A class of requests.
pub struct Class {
    /// Name of the class, sent as `Req-Kind`.
    pub name: &'static str,
    /// The effect of running a request twice.
    pub repeat: Repeat,
    /// Mean work in core milliseconds at reference speed.
    pub work: f64,
    /// Latency target: a response within it has its full worth.
    pub latency_target: Micros,
    /// The longest time that a client waits.
    pub deadline: Micros,
    /// Worth of serving one request in time.
    pub worth: f64,
    /// Units that one request takes from the quota.
    pub units: f64,
}

/// The classes, by index.
pub const CLASSES: [Class; 3] = [
    Class {
        name: "job-status",
        repeat: Repeat::Safe,
        work: 36.0,
        latency_target: 400_000,
        deadline: 2 * SECOND,
        worth: 3.0,
        units: 1.0,
    },
    Class {
        name: "job-submit",
        repeat: Repeat::Keyed,
        work: 79.0,
        latency_target: SECOND,
        deadline: 5 * SECOND / 2,
        worth: 9.0,
        units: 3.0,
    },
    Class {
        name: "job-release",
        repeat: Repeat::Unsafe,
        work: 60.0,
        latency_target: SECOND,
        deadline: 5 * SECOND / 2,
        worth: 9.0,
        units: 2.0,
    },
];

/// How long a zone's servers recognise a key.
pub const DEDUP_WINDOW: Micros = 3 * SECOND / 2;
/// How long after its notification a limiter may still send new requests to a draining server.
pub const DRAIN_GRACE: Micros = SECOND / 2;
/// A cold server crashes if the work sent to it within [`OVERLOAD_WINDOW`] exceeds this multiple of what it can do in
/// that time.
pub const OVERLOAD_MULTIPLE: f64 = 2.0;
/// The window in which the work sent to a cold server is summed.
pub const OVERLOAD_WINDOW: Micros = SECOND;
/// Tolerance added to each time limit when it is checked on sockets.
pub const TIMING_TOLERANCE: Micros = 50_000;
/// Maximum `Retry-After`.
pub const MAX_RETRY_AFTER: Micros = SECOND;
/// Period over which the servers meter usage.
pub const METER_PERIOD: Micros = SECOND;

/// A customer plan; its limits apply to each customer over all limiters together.
pub struct Plan {
    /// Name of the plan, sent as `X-Tier`.
    pub name: &'static str,
    /// Quota in units a second.
    pub rate: f64,
    /// Burst in units.
    pub burst: f64,
    /// The hard ceiling: rate in units a second, and burst in units.
    pub ceiling: Option<(f64, f64)>,
    /// Factor on the worth of requests.
    pub price: f64,
    /// Share of the load that the customers of this plan cause together while they keep within their quotas.
    pub share: f64,
}

/// The plans, by index.
pub const PLANS: [Plan; 3] = [
    Plan {
        name: "bas",
        rate: 1.7,
        burst: 8.0,
        ceiling: None,
        price: 0.72,
        share: 0.29,
    },
    Plan {
        name: "mellan",
        rate: 8.0,
        burst: 17.0,
        ceiling: Some((17.6, 37.4)),
        price: 1.2,
        share: 0.31,
    },
    Plan {
        name: "stor",
        rate: 34.0,
        burst: 70.0,
        ceiling: None,
        price: 1.4,
        share: 0.40,
    },
];

/// The name of a zone by its number.
pub fn zone_name(zone: usize) -> String {
    format!("hall-{}", (b'a' + (zone % 26) as u8) as char)
}
