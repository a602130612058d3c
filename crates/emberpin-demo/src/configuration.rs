//! The configuration patches that the operator sends, and the items of a configuration that is read back.

use crate::record::ConfigItems;
use jzon::{array, object, JsonValue};

/// The service of the readonly routes.
pub const CHARTS_SERVICE: &str = "chartroom";
/// The service of the mutating route.
pub const LEDGER_SERVICE: &str = "ledger";
/// All services. Each has servers in every zone.
pub const SERVICES: [&str; 2] = [CHARTS_SERVICE, LEDGER_SERVICE];

/// The host of the readonly routes.
pub const CHARTS_HOST: &str = "charts.demo.example";
/// The host of the mutating route.
pub const LEDGER_HOST: &str = "ledger.demo.example";

/// The prefix of the route that the change adds.
pub const ADDED_ROUTE_PREFIX: &str = "/notices/";
/// The prefix of the route that the change removes.
pub const REMOVED_ROUTE_PREFIX: &str = "/almanac/";

/// The versions of the items before and after the change.
const FIRST_VERSION: u64 = 7;
const CHANGED_VERSION: u64 = 9;

/// The patch that creates the first configuration.
pub fn first_patch() -> JsonValue {
    let ver = FIRST_VERSION;
    let mut services = array![];
    for name in SERVICES {
        _ = services.push(object! {
            name: name, hcheck: "/healthz", maxconn: 120, proto: "h1", tls: false, warmup: "1s",
            warmup_per_s: 20.0, ver: ver,
        });
    }
    object! { upsert: {
        svcs: services,
        limits: {
            hdr_max_bytes: 16384, body_max_bytes: 1048576, hdr_read: "3000ms", idle: "15000ms", ver: ver,
        },
        vhosts: [
            { hostname: CHARTS_HOST, locs: [
                readonly_route("look-up", "/charts/", "1500ms", ver),
                readonly_route("almanac", REMOVED_ROUTE_PREFIX, "1500ms", ver),
            ] },
            { hostname: LEDGER_HOST, locs: [mutating_route("commit", "/entries/", "2000ms", ver)] },
        ],
    }, remove: { rtab: [] } }
}

/// The patch that changes the configuration: one route gets another time-out, one is added and one is removed.
pub fn change_patch() -> JsonValue {
    let ver = CHANGED_VERSION;
    object! { upsert: { vhosts: [{ hostname: CHARTS_HOST, locs: [
        readonly_route("look-up", "/charts/", "1600ms", ver),
        readonly_route("notices", ADDED_ROUTE_PREFIX, "1500ms", ver),
    ] }] }, remove: { rtab: [{ name: "almanac", ver: ver }] } }
}

fn readonly_route(name: &str, prefix: &str, timeout: &str, ver: u64) -> JsonValue {
    route(name, prefix, "readonly", CHARTS_SERVICE, timeout, ver)
}

fn mutating_route(name: &str, prefix: &str, timeout: &str, ver: u64) -> JsonValue {
    route(name, prefix, "mutating", LEDGER_SERVICE, timeout, ver)
}

fn route(
    name: &str,
    prefix: &str,
    kind: &str,
    service: &str,
    timeout: &str,
    ver: u64,
) -> JsonValue {
    object! {
        name: name, pfx: prefix, type: kind, timeout: timeout, target_time: "250ms",
        prio: 1, svc: service, tries: 2, ver: ver,
    }
}

/// Extracts the items of a configuration or a patch, keyed by kind and name.
pub fn items(configuration: &JsonValue) -> ConfigItems {
    let mut items = ConfigItems::new();
    for service in configuration["svcs"].members() {
        items.insert(format!("service {}", name(service)), service.clone());
    }
    for vhost in configuration["vhosts"].members() {
        for route in vhost["locs"].members() {
            let mut route_with_host = route.clone();
            route_with_host["hostname"] = vhost["hostname"].clone();
            items.insert(route_key(route), route_with_host);
        }
    }
    if !configuration["limits"].is_null() {
        items.insert("limits".into(), configuration["limits"].clone());
    }
    items
}

/// Applies an acknowledged patch to the items that result from all earlier patches.
pub fn apply_patch(current_items: &mut ConfigItems, patch: &JsonValue) {
    current_items.extend(items(&patch["upsert"]));
    for removed in patch["remove"]["rtab"].members() {
        current_items.remove(&route_key(removed));
    }
}

fn route_key(route: &JsonValue) -> String {
    format!("route {}", name(route))
}

fn name(item: &JsonValue) -> &str {
    item["name"].as_str().unwrap_or_default()
}
