//! Settings of a service's decision module. The proxy uses it to balance load, retry and shed; quotas, clustering with
//! other gateways, hedging and probing are switched off.

use emberpin_balancer::{GatewayId, Plan, Rules, Settings};
use std::time::Duration;

/// Attempts of one request for which the decision module may choose a server. The limit that counts is the route's,
/// which the controller enforces.
const MAX_ATTEMPTS: u32 = 8;
/// Longest time after which a client is told to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(2_000);
/// How many times slower a server of another zone is taken to be than it is: traffic between zones is charged for.
const CROSS_ZONE_PENALTY: f64 = 2.0;

/// Settings for a decision module without traffic classes.
pub(super) fn decision_settings() -> Settings {
    Settings {
        me: GatewayId(0),
        group_size: 1,
        zone: 0,
        classes: Vec::new(),
        plans: vec![unlimited_plan()],
        rules: no_slow_start(),
        try_limit: MAX_ATTEMPTS,
        second_copies: false,
        max_retry_after: MAX_RETRY_AFTER.as_secs_f64() * 1000.0,
        mail_per_s: 0.0,
        ask_for_servers: false,
        cancel: true,
        probes: false,
        settles: false,
        meter_period: 0.0,
        shared_counter: false,
        away: CROSS_ZONE_PENALTY,
        price_cross_zone: 0.0,
        price_peer: 0.0,
    }
}

/// The configuration states no rates, so there is no quota.
fn unlimited_plan() -> Plan {
    Plan {
        rate: 0.0,
        burst: 0.0,
        open: 0.0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        price: 1.0,
        over_worth: 0.0,
        over_cost: 0.0,
    }
}

/// Slow start is the router's: its limit is in requests per second over all proxies, which one decision module cannot
/// count.
fn no_slow_start() -> Rules {
    Rules {
        cold_from: 1.0,
        warm_after: 0.0,
        fall_multiple: 1.0,
        fall_time: 1_000.0,
    }
}
