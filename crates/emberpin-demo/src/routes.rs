//! The routes that clients send requests to. They match those of [`crate::configuration`].

use crate::configuration::{ADDED_ROUTE_PREFIX, CHARTS_HOST, LEDGER_HOST, REMOVED_ROUTE_PREFIX};
use std::time::Duration;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// The request may run any number of times, with the same effect as once.
    Readonly,
    /// The request must run at most once.
    Mutating,
}

/// The clients' view of a route.
pub struct Route {
    /// The name of the route in the configuration.
    pub name: &'static str,
    /// The `host` header.
    pub host: &'static str,
    /// The path prefix.
    pub prefix: &'static str,
    /// The kind, which decides the HTTP method and whether an attempt that may have run is retried.
    pub kind: RouteKind,
    /// The maximum time of a request over all attempts, after which it fails.
    pub deadline: Duration,
    /// The number of requests that clients send per second.
    pub requests_per_second: f64,
}

/// The routes that clients use during the whole run.
pub static ROUTES: [Route; 2] = [
    Route {
        name: "look-up",
        host: CHARTS_HOST,
        prefix: "/charts/",
        kind: RouteKind::Readonly,
        deadline: Duration::from_millis(1_500),
        requests_per_second: 60.0,
    },
    Route {
        name: "commit",
        host: LEDGER_HOST,
        prefix: "/entries/",
        kind: RouteKind::Mutating,
        deadline: Duration::from_millis(2_000),
        requests_per_second: 30.0,
    },
];

/// The route that the configuration change adds. The change is in force at an edge only if the route exists there.
pub static ADDED_ROUTE: Route = change_probe_route(ADDED_ROUTE_PREFIX);
/// The route that the configuration change removes. The change is in force at an edge only if the route does not exist
/// there.
pub static REMOVED_ROUTE: Route = change_probe_route(REMOVED_ROUTE_PREFIX);

const fn change_probe_route(prefix: &'static str) -> Route {
    Route {
        name: "",
        host: CHARTS_HOST,
        prefix,
        kind: RouteKind::Readonly,
        deadline: Duration::from_secs(1),
        requests_per_second: 0.0,
    }
}
