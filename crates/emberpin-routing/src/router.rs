//! The routing state of one proxy: routes, endpoints and slow start. It determines which servers a request may be sent
//! to. This is checked when the server is chosen, and again when the state changes while the request is in flight or
//! waits for a connection or a retry.

use crate::endpoints::EndpointTable;
use crate::guards::Guards;
use crate::route_matcher::RouteMatcher;
use crate::slow_start::SlowStart;
use crate::warmup::{WarmupLimit, WarmupTolerance};
use crate::Route;
use std::rc::Rc;
use std::time::Duration;

/// Routes, endpoints and slow start of one proxy. All times are on its monotonic clock.
#[derive(Debug)]
pub struct Router {
    proxy_name: String,
    /// How far the requests to a warming server may exceed the rate of its profile.
    warmup_tolerance: WarmupTolerance,
    proxy_count: u32,
    /// The current routes.
    pub routes: RouteMatcher,
    /// The known instances of servers.
    pub endpoints: EndpointTable,
    slow_start: SlowStart,
}

impl Router {
    /// Creates the router of a proxy process that starts at `now`. `heartbeat_interval` is the interval at which
    /// servers send heartbeats to their registries.
    pub fn new(
        now: Duration,
        proxy_name: &str,
        warmup_tolerance: WarmupTolerance,
        heartbeat_interval: Duration,
    ) -> Router {
        Router {
            proxy_name: proxy_name.into(),
            warmup_tolerance,
            proxy_count: 0,
            routes: RouteMatcher::default(),
            endpoints: EndpointTable::new(heartbeat_interval),
            slow_start: SlowStart::new(now),
        }
    }

    /// Creates a router like [`Router::new`], for tests that switch safety checks off.
    #[doc(hidden)]
    pub fn with_guards(
        now: Duration,
        proxy_name: &str,
        warmup_tolerance: WarmupTolerance,
        heartbeat_interval: Duration,
        guards: Guards,
    ) -> Router {
        let mut router = Router::new(now, proxy_name, warmup_tolerance, heartbeat_interval);
        router.endpoints.guards = guards;
        router.slow_start.guards = guards;
        router
    }

    /// Sets the number of proxies, as reported by a registry that reaches a majority of the registries. Before the
    /// first call, no request is admitted to a warming server.
    pub fn set_proxy_count(&mut self, now: Duration, proxy_count: u32) {
        self.proxy_count = proxy_count;
        self.slow_start.set_proxy_count(now, proxy_count);
    }

    /// The current route of a request in flight that was forwarded to `service` by the route `chosen`. The request may
    /// continue under the current route if that is of the same kind and still gives `service` a weight above 0.
    /// Otherwise the result is `None`, and nothing more of the request may be written. The caller must check all
    /// requests in flight whenever routes have changed.
    ///
    /// The state of the server is not checked here: the caller learns of its changes through
    /// [`EndpointTable::take_changes`]. Nor is slow start, as [`Router::record_send`] counted the request when its
    /// server was chosen.
    pub fn current_route(
        &self,
        host: &str,
        path: &str,
        chosen: &Rc<Route>,
        service: &str,
    ) -> Option<Rc<Route>> {
        if !self.endpoints.guards.newest_routes {
            return Some(chosen.clone());
        }
        let newest = self.routes.find(host, path)?;
        let gives_service_a_weight = newest
            .targets
            .iter()
            .any(|target| target.service == service && target.weight > 0);
        (gives_service_a_weight && newest.kind == chosen.kind).then(|| newest.clone())
    }

    /// Counts a request that is sent to this instance, if the instance is warming up.
    pub fn record_send(&mut self, now: Duration, instance_id: &str) {
        if self.endpoints.is_warming_up(now, instance_id) {
            self.slow_start.record_send(now, instance_id);
        }
    }

    /// Whether slow start allows this proxy to send a request to this instance now. Always true if the instance is not
    /// warming up; always false if it is and its service has no warm-up profile.
    pub fn slow_start_admits(&mut self, service: &str, instance_id: &str, now: Duration) -> bool {
        if !self.endpoints.is_warming_up(now, instance_id) {
            return true;
        }
        let Some(profile) = self.endpoints.warmup_profile(service) else {
            return false;
        };
        let limit = WarmupLimit {
            requests_per_second: profile.requests_per_second,
            tolerance: self.warmup_tolerance,
        };
        self.slow_start
            .admits(now, instance_id, &limit, self.proxy_count, &self.proxy_name)
    }
}
