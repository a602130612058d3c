//! The settings of one gateway. Only the classes can change after its start.

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
        /// Time for which the servers remember the key, in milliseconds.
        window: Millis,
    },
    /// Not idempotent: no attempt may follow one that may have run.
    Unsafe,
}

/// A class of requests that share a latency target, a deadline and an idempotency.
#[derive(Clone, Debug)]
pub struct Class {
    /// Time in milliseconds within which an answer earns its full value. Congestion thresholds and attempt timeouts
    /// derive from it.
    pub latency_target: Millis,
    /// Milliseconds after which the client gives up, including all its own retries.
    pub deadline: Millis,
    /// Value of one request answered within the latency target. No decision uses it.
    pub value: f64,
    /// Share of the value that an answer after the latency target still earns, from 0 to 1. No decision uses it.
    pub late_value: f64,
    /// Whether a request that may have run can be sent again.
    pub idempotency: Idempotency,
}

/// A customer's plan. Its limits apply to each customer over all gateways together.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Rate at which the quota's token bucket refills, in units per second; 0 for no quota.
    pub quota_rate: f64,
    /// Size of the quota's token bucket in units.
    pub quota_burst: f64,
    /// Largest number of requests in flight at the same time; 0 for no limit.
    pub max_in_flight: f64,
    /// Rate at which the hard rate limit's token bucket refills, in units per second; 0 for no rate limit.
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

/// Load that a server can take after its start before it is overloaded.
#[derive(Clone, Debug)]
pub struct SlowStart {
    /// Share of its capacity that a server has at least when it starts, from 0 to 1; it grows linearly from there.
    pub initial_capacity: f64,
    /// Milliseconds after its start at which a server has its full capacity; 0 if servers need no slow start.
    pub duration: Millis,
    /// Multiple of its current capacity at which a server that is warming up fails.
    pub overload_multiple: f64,
    /// Milliseconds for which that load must last for the server to fail.
    pub overload_time: Millis,
}

/// The settings that a gateway is created with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This gateway's number.
    pub gateway_id: GatewayId,
    /// Number of gateways in the group, this one included.
    pub group_size: u32,
    /// Index of this gateway's zone.
    pub zone: usize,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The customers' plans.
    pub plans: Vec<Plan>,
    /// Load that servers can take while they are warming up.
    pub slow_start: SlowStart,
    /// Largest number of attempts of one request.
    pub max_attempts: u32,
    /// Whether hedged requests are allowed: two attempts of one request in flight. No decision uses it: at most one
    /// attempt is in flight.
    pub hedging: bool,
    /// Longest delay in milliseconds that a client observes before it retries; 0 if clients cannot be given one.
    pub max_retry_after: Millis,
    /// Messages per second that a gateway can receive from its peers; 0 if peers cannot be messaged.
    pub peer_messages_per_second: f64,
    /// Whether the gateway has to subscribe to the endpoint list; otherwise the host pushes the list unprompted.
    pub subscribe_servers: bool,
    /// Whether attempts may be cancelled.
    pub can_cancel: bool,
    /// Whether servers may be probed. No decision uses it.
    pub can_probe: bool,
    /// Whether the units of a request are an estimate that its answer corrects.
    pub units_are_estimates: bool,
    /// Period in milliseconds of the usage meter that answers may carry; 0 for no meter. No decision uses it.
    pub meter_period: Millis,
    /// Whether there is a counter service that all gateways share. No decision uses it.
    pub shared_counter: bool,
    /// Factor by which a server of another zone counts as slower when a server is chosen; 1 for no preference.
    pub cross_zone_slowdown: f64,
    /// Cost, in points, of all attempts leaving the zone. No decision uses it.
    pub cross_zone_price: f64,
    /// Cost, in points, of one full peer message per request. No decision uses it.
    pub peer_message_price: f64,
}
