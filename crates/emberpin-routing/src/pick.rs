//! The last question before the first byte of a request goes to a server. News that came while the request
//! waited for a connection binds it too: it is picked again.

use crate::cold::{Cold, Coldness};
use crate::fleet::{Fleet, Warmth, Work};
use crate::guards::Guards;
use crate::matcher::Matcher;
use crate::Route;

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
        Router { me: me.into(), rule, limiters: 0, matcher, fleet, cold: Cold::new(now) }
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

    /// Rises whenever something changes that could forbid a send. Coldness that ends, or a cold share that is
    /// spent, does not count: ask [`Router::allowed`].
    pub fn generation(&self) -> u64 {
        self.matcher.generation() + self.fleet.generation()
    }

    /// Whether a request on this route may go to this instance of this service now. To be asked right before the
    /// first byte; one that is sent is said by [`Router::sent`] in the same step. A route that a longer
    /// prefix has taken the request from is not seen here: whoever sees another generation finds the route
    /// anew.
    pub fn allowed(&mut self, route: &Route, service: &str, id: &str, now: f64) -> bool {
        self.routed(route, service) && self.works(service, id) && self.bears(service, id, now)
    }

    /// A request goes to this instance now.
    pub fn sent(&mut self, now: f64, id: &str) {
        if self.fleet.cold(now, id) {
            self.cold.sent(now, id);
        }
    }

    /// As the request found it, the route is in force, and gives this service something.
    fn routed(&self, route: &Route, service: &str) -> bool {
        let to = |(target, weight): &(String, u32)| target == service && *weight > 0;
        self.matcher.named(&route.name).is_some_and(|now| now.ver == route.ver && now.targets.iter().any(to))
    }

    fn works(&self, service: &str, id: &str) -> bool {
        self.fleet.work(id) == Work::Usable
            && self.fleet.instance(id).is_some_and(|instance| instance.service == service)
    }

    /// Whether this limiter may send to this instance now, as far as its coldness goes.
    pub fn bears(&mut self, service: &str, id: &str, now: f64) -> bool {
        if !self.fleet.cold(now, id) {
            return true;
        }
        let Some(Warmth { per_s, .. }) = self.fleet.warmth_of(service) else { return false };
        let coldness = Coldness { per_s, excess: self.rule.excess, extra: self.rule.extra };
        self.cold.may(now, id, &coldness, self.limiters, &self.me)
    }
}
