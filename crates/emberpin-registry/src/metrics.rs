//! The registry's metrics: HTTP calls, and gauges of the membership, the configuration and rejected connections.

use crate::http_api::Route;
use emberpin_membership::clock::Timestamp;
use emberpin_membership::instance::Status;
use emberpin_membership::registry::Registry;
use emberpin_runtime::metrics::MetricSet;
use hyper::StatusCode;
use prometheus::{Histogram, IntCounterVec, IntGauge, IntGaugeVec};
use std::time::Duration;

/// The value of the label `call` for a request without a route.
const NO_ROUTE: &str = "none";

/// The metrics of one registry.
pub struct RegistryMetrics {
    calls: IntCounterVec,
    call_time: Histogram,
    instances: IntGaugeVec,
    learned_from_proxies: IntGauge,
    unsynced_shutdowns: IntGauge,
    proxies: IntGauge,
    proxy_lag: IntGauge,
    registries: IntGauge,
    voters: IntGauge,
    confirmed: IntGauge,
    items: IntGauge,
    unreadable_frames: IntGauge,
    rejected_peers: IntGauge,
}

impl RegistryMetrics {
    /// Creates the registry's metrics, and adds them to a set.
    pub fn new(set: &MetricSet) -> RegistryMetrics {
        RegistryMetrics {
            calls: set.counters(
                "calls_total",
                "Calls of servers and operators, by status",
                &["call", "status"],
            ),
            call_time: set.latencies("call_seconds", "Time from a call's head to its response"),
            instances: set.gauges("instances", "Instances of servers, by status", &["status"]),
            learned_from_proxies: set.gauge(
                "instances_learned_from_proxies",
                "Instances and drains that were learned from a proxy, since the start",
            ),
            unsynced_shutdowns: set.gauge(
                "shutdowns_unsynced",
                "Drains and exits of servers that are not on this machine's disk yet",
            ),
            proxies: set.gauge("proxies", "Proxies with a session here"),
            proxy_lag: set.gauge(
                "proxy_lag_changes",
                "Changes that the proxy furthest behind has yet to acknowledge",
            ),
            registries: set.gauge("registries", "Registries in contact, with this one"),
            voters: set.gauge("voters", "Voters of the newest roster"),
            confirmed: set.gauge(
                "confirmed",
                "1 while what is known here is confirmed by a majority",
            ),
            items: set.gauge("items", "Items of the configuration"),
            unreadable_frames: set.gauge(
                "unreadable_frames",
                "Connections that ended at an unreadable frame, since the start",
            ),
            rejected_peers: set.gauge(
                "rejected_peers",
                "Peers of another version or system, since the start",
            ),
        }
    }

    /// Counts a request by its route and the status of its response, and records its duration. `route` is `None` for a
    /// request without a route.
    pub fn count_call(&self, route: Option<Route>, status: StatusCode, elapsed: Duration) {
        let call = route.map_or(NO_ROUTE, Route::name);
        self.calls.with_label_values(&[call, status.as_str()]).inc();
        self.call_time.observe(elapsed.as_secs_f64());
    }

    /// Sets the gauges from the state machine's state.
    pub fn set_gauges(&self, registry: &Registry, now: Timestamp) {
        let (mut up, mut draining, mut removed) = (0, 0, 0);
        for (_, entry) in registry.instances().iter() {
            match entry.instance(now).status {
                Status::Up => up += 1,
                Status::Draining => draining += 1,
                Status::Removed => removed += 1,
            }
        }
        for (status, count) in [("up", up), ("draining", draining), ("removed", removed)] {
            self.instances.with_label_values(&[status]).set(count);
        }
        self.learned_from_proxies
            .set(registry.learned_from_proxies() as i64);
        self.unsynced_shutdowns
            .set(registry.unsynced_shutdowns() as i64);
        let max_changes_behind = registry.proxy_lags().map(|lag| lag.changes_behind).max();
        self.proxies.set(registry.proxy_lags().count() as i64);
        self.proxy_lag
            .set(max_changes_behind.map_or(0, |changes| changes as i64));
        self.registries
            .set(registry.registries_in_contact(now).len() as i64);
        self.voters.set(registry.voters().len() as i64);
        self.confirmed.set(i64::from(registry.is_confirmed(now)));
        self.items.set(registry.item_count() as i64);
    }

    /// Sets the number of connections that ended because of an unreadable frame, and the number of rejected peers.
    pub fn set_rejections(&self, unreadable_frames: u64, rejected_peers: u64) {
        self.unreadable_frames.set(unreadable_frames as i64);
        self.rejected_peers.set(rejected_peers as i64);
    }
}
