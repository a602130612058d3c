//! Traffic classes: requests of one service that the decision module measures together.

use emberpin_balancer::{Class, ClassId, Gateway, Idempotency};
use emberpin_routing::{Route, RouteKind};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Maximum number of classes of one service. Beyond it, requests share the statistics of another class of the same
/// idempotency.
const MAX_CLASSES: usize = 256;
/// Lower bound of a class's latency target.
const MIN_LATENCY_TARGET: Duration = Duration::from_millis(1);

/// The properties of a route that the decision module depends on. Routes that agree in them share a class. Times are
/// whole milliseconds.
#[derive(Clone, PartialEq, Eq, Hash)]
struct ClassKey {
    /// Whether a request may run more than once without harm.
    idempotent: bool,
    latency_target: Duration,
    timeout: Duration,
}

impl ClassKey {
    fn for_route(route: &Route) -> ClassKey {
        ClassKey {
            idempotent: route.kind != RouteKind::Mutating,
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
            idempotency: if self.idempotent {
                Idempotency::Safe
            } else {
                Idempotency::Unsafe
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
    used: HashMap<ClassKey, ClassId>,
    /// Ids of freed classes, which are reused before new ones are allocated.
    free: Vec<ClassId>,
}

impl TrafficClasses {
    /// The class of requests on this route, added to the decision module if it is new.
    pub(super) fn class_of(&mut self, route: &Route, gateway: &mut Gateway) -> ClassId {
        let key = ClassKey::for_route(route);
        if let Some(id) = self.used.get(&key) {
            return *id;
        }
        if self.used.len() >= MAX_CLASSES {
            if let Some(id) = self.any_of_same_idempotency(&key) {
                return id;
            }
        }
        let id = match self.free.pop() {
            Some(free) => {
                gateway.replace_class(free, key.class());
                free
            }
            None => gateway.add_class(key.class()),
        };
        self.used.insert(key, id);
        id
    }

    /// A class to share once the table is full. Its latency target and time-out may differ, but a request that is not
    /// idempotent must never be treated as one that is.
    fn any_of_same_idempotency(&self, key: &ClassKey) -> Option<ClassId> {
        self.used
            .iter()
            .find(|(used, _)| used.idempotent == key.idempotent)
            .map(|(_, id)| *id)
    }

    /// Frees the classes that none of these routes uses.
    pub(super) fn retain<'a>(&mut self, routes: impl Iterator<Item = &'a Route>) {
        let wanted: HashSet<ClassKey> = routes.map(ClassKey::for_route).collect();
        let free = &mut self.free;
        self.used.retain(|key, id| {
            let keep = wanted.contains(key);
            if !keep {
                free.push(*id);
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
