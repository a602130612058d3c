//! The settings that limiters get: the classes, plans and rules of the simulated site.

use crate::figures::{
    zone_name, Class, Plan, Repeat, CLASSES, DEDUP_WINDOW, DRAIN_GRACE, MAX_RETRY_AFTER,
    METER_PERIOD, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW, PLANS,
};
use crate::scenario::Site;
use serde_json::{json, Value};

/// The settings of one limiter, in the format of the platform's configuration file.
pub fn settings(site: &Site, number: usize) -> Value {
    let class = |class: &Class| {
        json!({
            "name": class.name, "aim-ms": class.latency_target as f64 / 1000.0, "deadline-ms": class.deadline as f64 / 1000.0,
            "worth": class.worth, "late-worth": 0.1,
            "semantics": match class.repeat {
                Repeat::Safe => "safe",
                Repeat::Keyed => "keyed",
                Repeat::Unsafe => "unsafe",
            },
            "group": "zone", "dedup-window-ms": DEDUP_WINDOW as f64 / 1000.0,
        })
    };
    let plan = |plan: &Plan| {
        let (cap_rate, hard_burst) = plan.ceiling.unwrap_or((0.0, 0.0));
        json!({
            "name": plan.name, "per-second": plan.rate, "store-size": plan.burst, "at-once": 0.0,
            "cap-rate": cap_rate, "hard-burst": hard_burst, "price": plan.price,
            "over-worth": if plan.price < 1.0 { 0.3 } else { 0.0 },
            "overrun-cost": if plan.price < 1.0 { 0.0 } else { 0.5 },
        })
    };
    let zones: Vec<String> = (0..site.zones).map(zone_name).collect();
    let group_size = if site.configured_limiters == 0 {
        site.limiters
    } else {
        site.configured_limiters
    };
    json!({
        "my-number": number, "group-size": group_size, "zone": zones[number % site.zones],
        "failure-domains": zones, "kinds": ["std-2c"],
        "profiles": CLASSES.iter().map(class).collect::<Vec<_>>(),
        "plans": PLANS.iter().map(plan).collect::<Vec<_>>(),
        "bounds": {
            "try-limit": 5, "second-copies": false, "retry-after": true,
            "max-retry-after-ms": MAX_RETRY_AFTER as f64 / 1000.0, "may-tell": true, "probes": true, "cancel": true,
            "connect-timeout-ms": site.connect_timeout_ms, "idle-close-ms": site.idle_s * 1000.0,
        },
        "family-info": {
            "mail-per-s": 40.0, "max-units": 6.0, "settles": false, "meter-ms": METER_PERIOD as f64 / 1000.0,
            "shared-counter": false,
        },
        "rules": {
            "cold-from": site.initial_capacity_share, "warm-after-ms": site.warm_s * 1000.0, "fall-multiple": OVERLOAD_MULTIPLE,
            "overload-for-ms": OVERLOAD_WINDOW as f64 / 1000.0, "drain-grace-ms": DRAIN_GRACE as f64 / 1000.0,
        },
        "prices": {"cross-zone": 0.005, "peer": 0.02},
        "report": {"source": "piggyback", "names": ["mean_ms", "depth"]},
        "membership-mode": "push",
    })
}
