//! Which routes proxies follow.

use crate::{Configuration, Route};
use std::collections::BTreeMap;

/// The routes that proxies follow, in the order of host and prefix.
///
/// The configuration as a whole may be invalid, as two changes that were each valid alone may have merged. Every
/// replica of the same items returns the same routes all the same: a target whose service is unknown is left out,
/// and a route whose remaining targets have no weight has no effect. Of two routes with one host and prefix, the one
/// with the higher version wins; of equal versions, the one with the smaller name.
pub fn effective_routes(configuration: &Configuration) -> Vec<Route> {
    let mut winners = BTreeMap::<(String, String), Route>::new();
    // In the order of names, so that of equal versions the first one stays.
    for route in configuration.routes() {
        let mut route = route.clone();
        route
            .targets
            .retain(|target| configuration.has_service(&target.service));
        if route.targets.iter().all(|target| target.weight == 0) {
            continue;
        }
        let host_and_prefix = (route.hostname.clone(), route.prefix.clone());
        match winners.get(&host_and_prefix) {
            Some(other) if other.version >= route.version => {}
            _ => drop(winners.insert(host_and_prefix, route)),
        }
    }
    winners.into_values().collect()
}
