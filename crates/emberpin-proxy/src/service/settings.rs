//! Settings of a service's decision module. The proxy uses it to balance load, to retry and to shed load; quotas,
//! clustering with other gateways, hedging and probing are switched off.

use emberpin_balancer::{GatewayId, Plan, Settings, SlowStart};
use std::time::Duration;

/// Maximum number of attempts of one request for which the decision module chooses a server. The effective limit is the
/// route's, which the controller enforces.
const MAX_ATTEMPTS: u32 = 8;
/// Longest `Retry-After` that the decision module requests of a client.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(2_000);
/// Factor by which the decision module considers a server in another zone slower than it is, since traffic between
/// zones is charged for.
const CROSS_ZONE_PENALTY: f64 = 2.0;

/// Settings for a decision module without traffic classes.
pub(super) fn decision_settings() -> Settings {
    Settings {
        gateway_id: GatewayId(0),
        group_size: 1,
        zone: 0,
        classes: Vec::new(),
        plans: vec![unlimited_plan()],
        slow_start: no_slow_start(),
        max_attempts: MAX_ATTEMPTS,
        hedging: false,
        max_retry_after: MAX_RETRY_AFTER.as_secs_f64() * 1000.0,
        peer_messages_per_second: 0.0,
        subscribe_servers: false,
        can_cancel: true,
        can_probe: false,
        units_are_estimates: false,
        meter_period: 0.0,
        shared_counter: false,
        cross_zone_slowdown: CROSS_ZONE_PENALTY,
        cross_zone_price: 0.0,
        peer_message_price: 0.0,
    }
}

/// The configuration states no rates, so there is no quota.
fn unlimited_plan() -> Plan {
    Plan {
        quota_rate: 0.0,
        quota_burst: 0.0,
        max_in_flight: 0.0,
        limit_rate: 0.0,
        limit_burst: 0.0,
        price: 1.0,
        over_quota_value: 0.0,
        over_quota_cost: 0.0,
    }
}

/// Slow start is left to the router: its limit is in requests per second over all proxies, which one decision module
/// cannot count.
fn no_slow_start() -> SlowStart {
    SlowStart {
        initial_capacity: 1.0,
        duration: 0.0,
        overload_multiple: 1.0,
        overload_time: 1_000.0,
    }
}
