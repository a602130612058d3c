//! Traffic classes: requests of one service that the decision module measures together.

use emberpin_balancer::{Class, ClassId, Gateway, Idempotency};
use emberpin_routing::{Route, RouteKind};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of classes of one service. Beyond it, requests share the statistics of another class of the same
/// idempotency.
const MAX_CLASSES: usize = 256;
/// Lower bound of a class's latency target.
const MIN_LATENCY_TARGET: Duration = Duration::from_millis(1);

/// Whether a request may run more than once without harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Repeatability {
    /// It may run any number of times.
    Repeatable,
    /// It must run at most once.
    AtMostOnce,
}

impl Repeatability {
    /// The repeatability of requests on a route of this kind.
    pub fn of_kind(kind: RouteKind) -> Repeatability {
        match kind {
            RouteKind::Readonly | RouteKind::Pull => Repeatability::Repeatable,
            RouteKind::Mutating => Repeatability::AtMostOnce,
        }
    }
}

/// A class of the decision module that is in use. The class is given to no other requests while a lease of it exists,
/// even if no route in force uses it any more: each request in flight holds one.
#[derive(Clone, Debug)]
pub struct ClassLease(Rc<ClassId>);

impl ClassLease {
    /// The id of the class in the decision module.
    pub fn id(&self) -> ClassId {
        *self.0
    }

    /// Whether there is any other lease of this class.
    fn is_shared(&self) -> bool {
        Rc::strong_count(&self.0) > 1
    }
}

/// The properties of a route that the decision module depends on. Routes that agree in them share a class. Times are
/// whole milliseconds.
#[derive(Clone, PartialEq, Eq, Hash)]
struct ClassKey {
    repeatability: Repeatability,
    latency_target: Duration,
    timeout: Duration,
}

impl ClassKey {
    fn new(route: &Route, repeatability: Repeatability) -> ClassKey {
        ClassKey {
            repeatability,
            latency_target: truncate_to_millis(route.latency_target),
            timeout: truncate_to_millis(route.timeout),
        }
    }

    fn class(&self) -> Class {
        Class {
            latency_target: millis(self.latency_target.max(MIN_LATENCY_TARGET)),
            deadline: millis(self.timeout),
            value: 1.0,
            late_value: 0.0,
            idempotency: match self.repeatability {
                Repeatability::Repeatable => Idempotency::Safe,
                Repeatability::AtMostOnce => Idempotency::Unsafe,
            },
        }
    }
}

/// How many classes are in use, and how many the decision module has allocated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassCounts {
    /// Classes used by a route or a request in flight.
    pub used: usize,
    /// Classes allocated in the decision module, used or free. The number never decreases.
    pub allocated: usize,
}

/// Class ids of the decision module by the properties of their routes.
#[derive(Default)]
pub(super) struct TrafficClasses {
    used: HashMap<ClassKey, ClassLease>,
    /// Ids of freed classes, which are reused before new ones are allocated.
    free: Vec<ClassId>,
}

impl TrafficClasses {
    /// The class of requests of this repeatability on this route, added to the decision module if it is new.
    pub(super) fn lease(
        &mut self,
        route: &Route,
        repeatability: Repeatability,
        gateway: &mut Gateway,
    ) -> ClassLease {
        let key = ClassKey::new(route, repeatability);
        if let Some(lease) = self.used.get(&key) {
            return lease.clone();
        }
        if self.used.len() >= MAX_CLASSES {
            if let Some(lease) = self.any_of_repeatability(repeatability) {
                return lease;
            }
        }
        let id = match self.free.pop() {
            Some(free) => {
                gateway.replace_class(free, key.class());
                free
            }
            None => gateway.add_class(key.class()),
        };
        let lease = ClassLease(Rc::new(id));
        self.used.insert(key, lease.clone());
        lease
    }

    /// A class to share once the table is full. Its latency target and time-out may differ, but a request that must
    /// run at most once must never be treated as one that is repeatable.
    fn any_of_repeatability(&self, repeatability: Repeatability) -> Option<ClassLease> {
        self.used
            .iter()
            .find(|(used, _)| used.repeatability == repeatability)
            .map(|(_, lease)| lease.clone())
    }

    /// Frees the classes that none of these routes uses and nobody holds a lease of.
    pub(super) fn retain<'a>(&mut self, routes: impl Iterator<Item = &'a Route>) {
        let key_of = |route: &Route| ClassKey::new(route, Repeatability::of_kind(route.kind));
        let wanted: HashSet<ClassKey> = routes.map(key_of).collect();
        let free = &mut self.free;
        self.used.retain(|key, lease| {
            let keep = wanted.contains(key) || lease.is_shared();
            if !keep {
                free.push(lease.id());
            }
            keep
        });
    }

    pub(super) fn counts(&self, gateway: &Gateway) -> ClassCounts {
        ClassCounts {
            used: self.used.len(),
            allocated: gateway.class_count(),
        }
    }
}

fn truncate_to_millis(time: Duration) -> Duration {
    Duration::from_millis(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
}

fn millis(time: Duration) -> f64 {
    time.as_millis() as f64
}
