//! The routes that clients send requests on; they match the [`crate::configuration`].

use crate::configuration::{ADDED_ROUTE_PREFIX, CHARTS_HOST, LEDGER_HOST, REMOVED_ROUTE_PREFIX};
use std::time::Duration;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Any number of runs has the same effect as one.
    Readonly,
    /// Must run once at most.
    Mutating,
}

/// A route, as clients use it.
pub struct Route {
    /// The name in the configuration.
    pub name: &'static str,
    /// The `host` header.
    pub host: &'static str,
    /// What paths begin with.
    pub prefix: &'static str,
    /// Decides the method, and whether an attempt that may have run is retried.
    pub kind: RouteKind,
    /// A client gives a request up after this time, over all attempts.
    pub deadline: Duration,
    /// How many requests clients send each second.
    pub requests_per_second: f64,
}

/// The routes that clients use all the time.
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

/// The route that the configuration change adds: in force where it exists.
pub static ADDED_ROUTE: Route = change_probe(ADDED_ROUTE_PREFIX);
/// The route that the configuration change removes: in force where it does not exist.
pub static REMOVED_ROUTE: Route = change_probe(REMOVED_ROUTE_PREFIX);

const fn change_probe(prefix: &'static str) -> Route {
    Route {
        name: "",
        host: CHARTS_HOST,
        prefix,
        kind: RouteKind::Readonly,
        deadline: Duration::from_secs(1),
        requests_per_second: 0.0,
    }
}
