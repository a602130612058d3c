//! What hosts ask and tell beside events: classes that become known while a gateway runs, what servers say that they
//! bear, and whether another attempt would follow. No decision is taken here.

use crate::interface::{Class, ClassId, Idempotency, Millis, RequestId};
use crate::state::{Latencies, Latency};
use crate::Gateway;

impl Gateway {
    /// Whether another attempt would follow if the one that is out ended now without an answer, as far as the request's
    /// effect, its time and the retry budget go.
    pub fn would_retry(&self, now: Millis, request: RequestId) -> bool {
        let Some(open) = self.requests.get(&request) else {
            return false;
        };
        let class = open.request.class.0;
        let time = now + self.latency[class].of(open.request.units).mean <= open.deadline;
        let safe = self.settings.classes[class].idempotency == Idempotency::Safe;
        let others = self
            .servers
            .values()
            .filter(|server| self.may_take(server))
            .nth(1)
            .is_some();
        safe && time && others && self.load.level == 0 && self.retries >= 1.0
    }

    /// Sets how many attempts the servers say that this gateway may have in flight, its share of what they accept in
    /// all; 0 where they do not say. It becomes the lower bound of the congestion onset, in place of a fixed figure for
    /// each server.
    pub fn set_reported_capacity(&mut self, attempts: f64) {
        self.load.reported_capacity = attempts;
    }

    /// Adds a class; requests may have it from now on. Nothing is known yet of how long its work takes.
    pub fn add_class(&mut self, class: Class) -> ClassId {
        self.aim = self.aim.min(class.latency_target);
        self.latency.push(first_latencies(&class));
        self.settings.classes.push(class);
        ClassId(self.settings.classes.len() - 1)
    }

    /// How many classes there are.
    pub fn class_count(&self) -> usize {
        self.settings.classes.len()
    }

    /// Puts a class in the place of one that no request has any more. What was learned of the old one is forgotten.
    /// Where there is no such class, nothing changes.
    pub fn replace_class(&mut self, id: ClassId, class: Class) {
        let known = self
            .settings
            .classes
            .get_mut(id.0)
            .zip(self.latency.get_mut(id.0));
        let Some((old, latency)) = known else { return };
        self.aim = self.aim.min(class.latency_target);
        *latency = first_latencies(&class);
        *old = class;
    }
}

/// What is taken for the latencies of a class before any answer.
fn first_latencies(class: &Class) -> Latencies {
    Latencies::new(Latency {
        mean: class.latency_target * 0.25,
        deviation: class.latency_target * 0.1,
    })
}
