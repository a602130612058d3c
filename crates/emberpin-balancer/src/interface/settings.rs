//! The settings of one gateway, fixed at its start but for its classes.

use super::{GatewayId, Millis};
use serde::Deserialize;

/// The servers that recognize a repeated request by its idempotency key and discard it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DedupScope {
    /// Every server of the deployment.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// Whether a request that may have run can be sent again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Idempotent: a repeat has no further effect at any server.
    Safe,
    /// Deduplicated by a key: a repeat has no further effect within `scope`, and for `window` after the first attempt
    /// that may have run.
    Keyed {
        /// The servers that discard repeats.
        scope: DedupScope,
        /// How long the servers remember the key, in milliseconds.
        window: Millis,
    },
    /// Not idempotent: an attempt that may have run is the last.
    Unsafe,
}

/// A class of requests that share a latency target, a deadline and an idempotency.
#[derive(Clone, Debug)]
pub struct Class {
    /// Time in milliseconds within which an answer earns its full value. Congestion thresholds and attempt timeouts
    /// derive from it.
    pub latency_target: Millis,
    /// Milliseconds after which the client gives up, over all its own retries.
    pub deadline: Millis,
    /// Value of one request answered within the latency target. No decision uses it.
    pub value: f64,
    /// Share of the value that an answer after the latency target still earns, from 0 to 1. No decision uses it.
    pub late_value: f64,
    /// Whether a request that may have run can be sent again.
    pub idempotency: Idempotency,
}

/// A customer's plan. Its figures hold for each customer over all gateways together.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Units a second that refill the quota's token bucket; 0 for no quota.
    pub quota_rate: f64,
    /// Size of the quota's token bucket in units.
    pub quota_burst: f64,
    /// Requests that may be in flight at a time; 0 for no limit.
    pub max_in_flight: f64,
    /// Units a second that refill the hard rate limit's token bucket; 0 for no rate limit.
    pub limit_rate: f64,
    /// Size of the hard rate limit's token bucket in units.
    pub limit_burst: f64,
    /// Multiplier on the value of the plan's requests. No decision uses it.
    pub price: f64,
    /// Share of its value that a request beyond the quota earns.
    pub over_quota_value: f64,
    /// Share of its value that a request beyond the quota costs when it is forwarded. Requests beyond the quota are
    /// admitted only where this is less than [`Plan::over_quota_value`].
    pub over_quota_cost: f64,
}

/// How much a server that has just started can take before it is overloaded.
#[derive(Clone, Debug)]
pub struct SlowStart {
    /// Share of its capacity that a server has at least when it starts, from 0 to 1; it grows linearly from there.
    pub initial_capacity: f64,
    /// Milliseconds after its start at which a server has its whole capacity; 0 where servers need no slow start.
    pub duration: Millis,
    /// Multiple of its present capacity at which a server that is warming up fails.
    pub overload_multiple: f64,
    /// Milliseconds for which that multiple must last for the server to fail.
    pub overload_time: Millis,
}

/// Everything a gateway is given at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This gateway's number.
    pub gateway_id: GatewayId,
    /// How many gateways there are.
    pub group_size: u32,
    /// Index of this gateway's zone.
    pub zone: usize,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The customers' plans.
    pub plans: Vec<Plan>,
    /// What servers can take while they warm up.
    pub slow_start: SlowStart,
    /// Attempts that one request may have in all.
    pub max_attempts: u32,
    /// Whether hedged requests are allowed: two attempts of one request in flight. No decision uses it: there is one at
    /// most.
    pub hedging: bool,
    /// Longest delay in milliseconds that a client honours before it retries; 0 where it cannot be given one.
    pub max_retry_after: Millis,
    /// Messages a second that a gateway can receive from its peers; 0 where peers cannot be messaged.
    pub peer_messages_per_second: f64,
    /// Whether the endpoint list has to be subscribed to; without it the host pushes the list unasked.
    pub subscribe_servers: bool,
    /// Whether attempts may be cancelled.
    pub can_cancel: bool,
    /// Whether servers may be probed. No decision uses it: none is probed.
    pub can_probe: bool,
    /// Whether the units of a request are an estimate that its answer corrects.
    pub units_are_estimates: bool,
    /// Period in milliseconds of the usage meter that answers may carry; 0 for no meter. No decision uses it.
    pub meter_period: Millis,
    /// Whether there is a counter service that all gateways share. No decision uses it.
    pub shared_counter: bool,
    /// How many times as slow a server of another zone counts when a server is chosen; 1 for no preference.
    pub cross_zone_slowdown: f64,
    /// Points that it costs when every attempt leaves the zone. No decision uses it.
    pub cross_zone_price: f64,
    /// Points that one full peer message a request costs. No decision uses it.
    pub peer_message_price: f64,
}
