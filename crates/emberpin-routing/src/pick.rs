//! Routes, servers and cold shares together: what binds a request when it is picked, and afterwards while it waits for a
//! connection or for another attempt.

use crate::cold::{Cold, Coldness};
use crate::fleet::{Fleet, Warmth};
use crate::guards::Guards;
use crate::matcher::Matcher;
use crate::Route;
use std::rc::Rc;

/// What the rules say of cold servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRule {
    /// `warm_excess`.
    pub excess: f64,
    /// `warm_extra`.
    pub extra: f64,
}

/// Routes, servers and cold shares of one limiter.
#[derive(Debug)]
pub struct Router {
    me: String,
    rule: ColdRule,
    limiters: u32,
    /// The routes in force.
    pub matcher: Matcher,
    /// The servers.
    pub fleet: Fleet,
    cold: Cold,
}

impl Router {
    /// For the limiter `me`, whose instance starts at `now`, with the period in which servers beat.
    pub fn new(now: f64, me: &str, rule: ColdRule, beat_ms: f64) -> Router {
        let (matcher, fleet) = (Matcher::default(), Fleet::new(beat_ms));
        Router {
            me: me.into(),
            rule,
            limiters: 0,
            matcher,
            fleet,
            cold: Cold::new(now),
        }
    }

    /// For tests.
    #[doc(hidden)]
    pub fn with_guards(now: f64, me: &str, rule: ColdRule, beat_ms: f64, guards: Guards) -> Router {
        let mut router = Router::new(now, me, rule, beat_ms);
        (router.fleet.guards, router.cold.guards) = (guards, guards);
        router
    }

    /// A registry that hears a majority of the others counts so many limiters.
    pub fn told(&mut self, now: f64, limiters: u32) {
        self.limiters = limiters;
        self.cold.told(now, limiters);
    }

    /// The newest route of a request that was sent on to this service by the route `picked`: where it still gives that
    /// service something and is of the same kind, the request may go on under it. To be asked for all requests that go
    /// on whenever routes have changed; nothing more is written for one that may not.
    ///
    /// Whether a server may get work reaches those requests as [`crate::Fleet::changes`], and a cold server's share is
    /// booked by [`Router::sent`] when it is picked, so neither is asked again here.
    pub fn follow(
        &self,
        host: &str,
        path: &str,
        picked: &Rc<Route>,
        service: &str,
    ) -> Option<Rc<Route>> {
        if !self.fleet.guards.newest {
            return Some(picked.clone());
        }
        let gives = |route: &&Rc<Route>| {
            let mut targets = route.targets.iter();
            targets.any(|(target, weight)| target == service && *weight > 0)
        };
        let newest = self.matcher.find(host, path).filter(gives)?;
        (newest.kind == picked.kind).then(|| newest.clone())
    }

    /// A request goes to this instance now.
    pub fn sent(&mut self, now: f64, id: &str) {
        if self.fleet.cold(now, id) {
            self.cold.sent(now, id);
        }
    }

    /// Whether this limiter may send to this instance now, as far as its coldness goes.
    pub fn bears(&mut self, service: &str, id: &str, now: f64) -> bool {
        if !self.fleet.cold(now, id) {
            return true;
        }
        let Some(Warmth { per_s, .. }) = self.fleet.warmth_of(service) else {
            return false;
        };
        let coldness = Coldness {
            per_s,
            excess: self.rule.excess,
            extra: self.rule.extra,
        };
        self.cold.may(now, id, &coldness, self.limiters, &self.me)
    }
}
