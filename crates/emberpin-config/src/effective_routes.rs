//! Selects the routes that proxies use.

use crate::{Configuration, Route};
use std::collections::BTreeMap;

/// The routes that proxies use, in the order of host and prefix.
///
/// The configuration as a whole may be invalid, because two changes that were each valid alone may have merged. The
/// result still depends only on the items, so all replicas of the same items agree on it: a target whose service is
/// unknown is omitted, and so is a route whose remaining targets have no weight. Of two routes with the same host and
/// prefix, the one with the higher version wins, and at equal versions the one with the smaller name.
pub fn effective_routes(configuration: &Configuration) -> Vec<Route> {
    let mut by_host_and_prefix = BTreeMap::<(String, String), Route>::new();
    // Routes come in the order of their names, so the first one of equal versions has the smallest name.
    for route in configuration.routes() {
        let mut route = route.clone();
        route
            .targets
            .retain(|target| configuration.has_service(&target.service));
        if route.targets.iter().all(|target| target.weight == 0) {
            continue;
        }
        let host_and_prefix = (route.hostname.clone(), route.prefix.clone());
        match by_host_and_prefix.get(&host_and_prefix) {
            Some(other) if other.version >= route.version => {}
            _ => drop(by_host_and_prefix.insert(host_and_prefix, route)),
        }
    }
    by_host_and_prefix.into_values().collect()
}
