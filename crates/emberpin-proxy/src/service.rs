//! One service: the module that decides about its requests, and the ways to its servers.

use emberpin_balancer::{
    Class, ClassId, Condition, Effect, Event, Gateway, GatewayId, Membership, Plan, RequestId,
    Rules, Server, ServerId, Settings,
};
use emberpin_limiter::host::{Clock, Engine, Input, Place, Pool, Upstream};
use emberpin_routing::{Availability, EndpointChange, Route, RouteKind};
use hyper::header::HeaderValue;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// The module may choose so often for one request; how often one goes out is its route's.
const TRIES: u32 = 8;
/// The longest time to come back that a client is told, in milliseconds.
const MAX_RETRY_AFTER: f64 = 2_000.0;
/// A server of another zone must promise an answer so many times as soon: bytes between zones cost.
const AWAY: f64 = 2.0;
/// Attempts that may be out for each slot before a limiter calls itself congested, and the least for one limiter: with
/// fewer, chance alone would pass it.
const SLOTS_OUT: f64 = 2.0;
const LEAST_PART: f64 = 3.0;
/// Where modules' timers fall.
const TICKS: Duration = Duration::from_millis(100);
/// Most classes of one service: beyond, requests share the figures of another one of the same effect.
const CLASSES: usize = 256;

/// What of a route the module goes by.
#[derive(Clone, PartialEq, Eq, Hash)]
struct Sort {
    /// More than one run does no harm.
    repeatable: bool,
    aim_ms: u128,
    timeout_ms: u128,
}

impl Sort {
    fn of(route: &Route) -> Sort {
        Sort {
            repeatable: route.kind != RouteKind::Mutating,
            aim_ms: route.latency_target.as_millis(),
            timeout_ms: route.timeout.as_millis(),
        }
    }

    fn class(&self) -> Class {
        Class {
            aim: (self.aim_ms as f64).max(1.0),
            deadline: self.timeout_ms as f64,
            worth: 1.0,
            late_worth: 0.0,
            effect: if self.repeatable {
                Effect::Safe
            } else {
                Effect::Unsafe
            },
        }
    }
}

/// A instance, and what the module may do with it.
struct Known {
    change: EndpointChange,
    id: ServerId,
    zone: usize,
    /// It is warm, or this limiter may send to it while it is cold.
    bears: bool,
    /// It gave no sign of instance, and is asked for one.
    silent: bool,
}

impl Known {
    fn works(&self) -> bool {
        self.change.availability == Availability::Available && self.bears && !self.silent
    }

    fn line(&self) -> Server {
        Server {
            id: self.id,
            zone: self.zone,
            kind: 0,
            cell: 0,
            size: f64::from(self.change.slots.max(1)),
            started: None,
            condition: match self.change.availability {
                Availability::Removed => Condition::Gone,
                Availability::Available if self.works() => Condition::InService,
                Availability::Available | Availability::Draining => Condition::Draining,
            },
        }
    }
}

/// One service.
pub struct Service {
    /// Hosts the module.
    pub engine: Engine,
    pool: Rc<Pool>,
    classes: HashMap<Sort, ClassId>,
    /// Classes of the module that no route has any more: the next sorts take their places.
    unused: Vec<ClassId>,
    /// The instances that were told to the module.
    instances: BTreeMap<String, Known>,
    names: BTreeMap<ServerId, String>,
    next: u32,
    limiters: u32,
    /// Instances that may get work, as far as is told.
    usable: usize,
}

impl Service {
    /// Of which nothing is known yet; ends of its attempts come as inputs.
    pub fn new(pool: Rc<Pool>, inputs: mpsc::Sender<Input>, seed: u64, begun: Instant) -> Service {
        let clock = Clock::start();
        let settings = Settings {
            me: GatewayId(0),
            group_size: 1,
            zone: 0,
            classes: Vec::new(),
            // The configuration names no rates: there is no quota.
            plans: vec![Plan {
                rate: 0.0,
                burst: 0.0,
                open: 0.0,
                ceiling_rate: 0.0,
                ceiling_burst: 0.0,
                price: 1.0,
                over_worth: 0.0,
                over_cost: 0.0,
            }],
            // Cold servers are the router's: their bound is in requests a second over all limiters.
            rules: Rules {
                cold_from: 1.0,
                warm_after: 0.0,
                fall_multiple: 1.0,
                fall_time: 1_000.0,
            },
            try_limit: TRIES,
            second_copies: false,
            max_retry_after: MAX_RETRY_AFTER,
            mail_per_s: 0.0,
            ask_for_servers: false,
            cancel: true,
            probes: false,
            settles: false,
            meter_period: 0.0,
            shared_counter: false,
            away: AWAY,
            price_cross_zone: 0.0,
            price_peer: 0.0,
        };
        let gateway = Gateway::new(settings, seed, clock.now());
        let mut engine = Engine::new(gateway, clock, inputs);
        engine.refusals_promise = true;
        engine.patient = true;
        // All services' modules tick together: else each wakes the process for itself.
        engine.grid = Some((begun, TICKS));
        let instances = BTreeMap::new();
        Service {
            engine,
            pool,
            classes: HashMap::new(),
            unused: Vec::new(),
            instances,
            names: BTreeMap::new(),
            next: 0,
            limiters: 1,
            usable: 0,
        }
    }

    /// The class of requests on this route.
    pub fn class(&mut self, route: &Route) -> ClassId {
        let sort = Sort::of(route);
        if let Some(known) = self.classes.get(&sort) {
            return *known;
        }
        if self.classes.len() >= CLASSES {
            // Guards the effect: beyond the bound a request shares the figures of another sort, but never its harmlessness.
            let alike = self
                .classes
                .iter()
                .find(|(known, _)| known.repeatable == sort.repeatable);
            if let Some((_, known)) = alike {
                return *known;
            }
        }
        let class = match self.unused.pop() {
            Some(unused) => {
                self.engine.gateway.replace_class(unused, sort.class());
                unused
            }
            None => self.engine.gateway.add_class(sort.class()),
        };
        self.classes.insert(sort, class);
        class
    }

    /// Frees the classes of routes that are neither in force nor had by a request that is going on: `routes` are all of
    /// those. What was learned of a freed class is forgotten.
    pub fn keep_classes<'a>(&mut self, routes: impl Iterator<Item = &'a Route>) {
        let kept: HashSet<Sort> = routes.map(Sort::of).collect();
        let unused = &mut self.unused;
        self.classes.retain(|sort, class| {
            let keeps = kept.contains(sort);
            if !keeps {
                unused.push(*class);
            }
            keeps
        });
    }

    /// Classes that routes have, and places for classes in the module.
    pub fn class_count(&self) -> (usize, usize) {
        (self.classes.len(), self.engine.gateway.class_count())
    }

    /// Whether no instance of it is known.
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }

    /// A server changed; `bears`: it is warm, or this limiter may send to it while it is cold. `zone` is the number of
    /// its zone.
    pub fn change(&mut self, change: EndpointChange, zone: usize, bears: bool) {
        let known = self.instances.get(&change.id);
        if change.availability == Availability::Removed && known.is_none() {
            return;
        }
        let id = known.map_or_else(
            || {
                self.next += 1;
                ServerId(self.next)
            },
            |known| known.id,
        );
        let usable = change.availability == Availability::Available;
        let moved = known.is_some_and(|known| known.change.address != change.address);
        // Who asked it on has ended with the way to it: it is tried again once something may go there.
        let silent = known.is_some_and(|known| known.silent) && usable && !moved;
        if !usable || moved {
            if let Some(upstream) = self.engine.upstreams.remove(&id) {
                upstream.shut();
            }
        }
        if usable && !self.engine.upstreams.contains_key(&id) {
            let place = Place {
                address: change.address,
                boot_ms: 0.0,
            };
            // An id that no header can carry cannot be asked for, and is never sent to.
            if let Ok(instance) = HeaderValue::try_from(change.id.as_str()) {
                let upstream = Upstream::of_instance(place, Some(instance), self.pool.clone());
                self.engine.upstreams.insert(id, upstream);
            }
        }
        let was = self
            .instances
            .get(&change.id)
            .is_some_and(|known| known.change.availability == Availability::Available);
        self.usable = self.usable + usize::from(usable) - usize::from(was);
        let name = change.id.clone();
        let known = Known {
            change,
            id,
            zone,
            bears,
            silent,
        };
        let line = known.line();
        if known.change.availability == Availability::Removed {
            self.instances.remove(&name);
            self.names.remove(&id);
        } else {
            self.names.insert(id, name.clone());
            self.instances.insert(name, known);
        }
        self.tell(line);
    }

    fn tell(&mut self, line: Server) {
        self.engine
            .feed(Event::Membership(Membership::Changes(vec![line])));
        self.bear();
    }

    /// A server gave no sign of instance: it gets nothing until it does. Returns the way to it, to be asked on, unless it is
    /// asked already.
    pub fn silent(&mut self, server: ServerId) -> Option<Rc<Upstream>> {
        let known = self.instances.get_mut(self.names.get(&server)?)?;
        if std::mem::replace(&mut known.silent, true) {
            return None;
        }
        let line = known.line();
        self.tell(line);
        self.engine.upstreams.get(&server).cloned()
    }

    /// It gave one.
    pub fn heard(&mut self, server: ServerId) {
        let Some(known) = self
            .names
            .get(&server)
            .and_then(|name| self.instances.get_mut(name))
        else {
            return;
        };
        known.silent = false;
        let line = known.line();
        self.tell(line);
    }

    /// Whether some server of it may get work, as far as is told.
    pub fn is_usable(&self) -> bool {
        self.usable > 0
    }

    /// So many limiters share the servers.
    pub fn shared_by(&mut self, limiters: u32) {
        self.limiters = limiters.max(1);
        self.bear();
    }

    /// The least onset: this limiter's part of the servers' slots, and as many waiting. What waits then waits for about
    /// one usual answer, which every aim leaves room for.
    fn bear(&mut self) {
        let usable = self.instances.values().filter(|known| known.works());
        let slots: u32 = usable.map(|known| known.change.slots.max(1)).sum();
        let part = f64::from(slots) * SLOTS_OUT / f64::from(self.limiters);
        self.engine.gateway.bear(part.max(LEAST_PART));
    }

    /// Which instance the module knows by this number.
    pub fn instance(&self, server: ServerId) -> Option<&str> {
        self.names.get(&server).map(String::as_str)
    }

    /// A instance that is told to the module, and whether it bears requests of this limiter.
    pub fn told(&self, id: &str) -> Option<(&EndpointChange, bool)> {
        self.instances
            .get(id)
            .map(|known| (&known.change, known.bears))
    }

    /// Attempts that went out since this was asked last: of which request, which attempt, to which instance.
    pub fn sent(&mut self) -> Vec<(RequestId, u32, String)> {
        let sent = std::mem::take(&mut self.engine.sent);
        let named =
            |(request, attempt, server)| Some((request, attempt, self.names.get(&server)?.clone()));
        sent.into_iter().filter_map(named).collect()
    }
}
