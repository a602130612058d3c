//! Routes, servers and cold shares together: what binds a request when it is picked, and afterwards while it waits for a
//! connection or for another attempt.

use crate::endpoints::{EndpointTable, WarmupProfile};
use crate::guards::Guards;
use crate::route_matcher::RouteMatcher;
use crate::slow_start::{SlowStart, WarmupLimit};
use crate::Route;
use std::rc::Rc;

/// What the rules say of cold servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupTolerance {
    /// `warm_excess`.
    pub excess_factor: f64,
    /// `warm_extra`.
    pub extra_requests: f64,
}

/// Routes, servers and cold shares of one limiter.
#[derive(Debug)]
pub struct Router {
    me: String,
    rule: WarmupTolerance,
    limiters: u32,
    /// The routes in force.
    pub routes: RouteMatcher,
    /// The servers.
    pub endpoints: EndpointTable,
    cold: SlowStart,
}

impl Router {
    /// For the limiter `me`, whose instance starts at `now`, with the period in which servers beat.
    pub fn new(now: f64, me: &str, rule: WarmupTolerance, beat_ms: f64) -> Router {
        let (routes, endpoints) = (RouteMatcher::default(), EndpointTable::new(beat_ms));
        Router {
            me: me.into(),
            rule,
            limiters: 0,
            routes,
            endpoints,
            cold: SlowStart::new(now),
        }
    }

    /// For tests.
    #[doc(hidden)]
    pub fn with_guards(
        now: f64,
        me: &str,
        rule: WarmupTolerance,
        beat_ms: f64,
        guards: Guards,
    ) -> Router {
        let mut router = Router::new(now, me, rule, beat_ms);
        (router.endpoints.guards, router.cold.guards) = (guards, guards);
        router
    }

    /// A registry that hears a majority of the others counts so many limiters.
    pub fn set_limiter_count(&mut self, now: f64, limiters: u32) {
        self.limiters = limiters;
        self.cold.set_limiter_count(now, limiters);
    }

    /// The newest route of a request that was sent on to this service by the route `picked`: where it still gives that
    /// service something and is of the same kind, the request may go on under it. To be asked for all requests that go
    /// on whenever routes have changed; nothing more is written for one that may not.
    ///
    /// Whether a server may get work reaches those requests as [`crate::EndpointTable::changes`], and a cold server's share is
    /// booked by [`Router::sent`] when it is picked, so neither is asked again here.
    pub fn current_route(
        &self,
        host: &str,
        path: &str,
        picked: &Rc<Route>,
        service: &str,
    ) -> Option<Rc<Route>> {
        if !self.endpoints.guards.newest {
            return Some(picked.clone());
        }
        let gives = |route: &&Rc<Route>| {
            let mut targets = route.targets.iter();
            targets.any(|(target, weight)| target == service && *weight > 0)
        };
        let newest = self.routes.find(host, path).filter(gives)?;
        (newest.kind == picked.kind).then(|| newest.clone())
    }

    /// A request goes to this instance now.
    pub fn record_send(&mut self, now: f64, id: &str) {
        if self.endpoints.is_warming_up(now, id) {
            self.cold.record_send(now, id);
        }
    }

    /// Whether this limiter may send to this instance now, as far as its coldness goes.
    pub fn slow_start_admits(&mut self, service: &str, id: &str, now: f64) -> bool {
        if !self.endpoints.is_warming_up(now, id) {
            return true;
        }
        let Some(WarmupProfile {
            requests_per_second,
            ..
        }) = self.endpoints.warmup_profile(service)
        else {
            return false;
        };
        let coldness = WarmupLimit {
            requests_per_second,
            excess_factor: self.rule.excess_factor,
            extra_requests: self.rule.extra_requests,
        };
        self.cold
            .admits(now, id, &coldness, self.limiters, &self.me)
    }
}
