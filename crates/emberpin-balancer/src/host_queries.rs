//! What hosts ask of a gateway and set at it beside events: classes that become known while it runs, how many
//! servers it has to choose from, and whether a retry would follow. No decision is taken here.

use crate::decisions::initial_latency;
use crate::interface::{
    Class, ClassId, Idempotency, Location, Millis, PoolSize, RequestId, ServerId, ServerStatus,
};
use crate::state::ServerState;
use crate::Gateway;

impl Gateway {
    /// How many servers are ejected as outliers now.
    pub fn ejected_count(&self, now: Millis) -> u32 {
        self.servers
            .values()
            .map(|server| u32::from(now < server.ejected_until))
            .sum()
    }

    /// Whether an operator took a server out of service, see [`Event::Maintenance`](crate::Event::Maintenance).
    pub fn is_in_maintenance(&self, server: ServerId) -> bool {
        self.in_maintenance.contains(&server)
    }

    /// The failure domains of a server; `None` for a server that is not known, or not any more.
    pub fn location(&self, server: ServerId) -> Option<Location> {
        self.servers
            .get(&server)
            .map(|server| server.info.location())
    }

    /// How many servers the endpoint list names, and how many of them get no requests now.
    pub fn pool_size(&self, now: Millis) -> PoolSize {
        let listed = self
            .servers
            .values()
            .filter(|server| server.info.status != ServerStatus::Removed);
        let avoided = |server: &&ServerState| {
            now < server.ejected_until || self.in_maintenance.contains(&server.info.id)
        };
        PoolSize {
            listed: listed.clone().count(),
            avoided: listed.filter(avoided).count(),
        }
    }

    /// Whether a retry would follow if the attempt in flight ended now without an answer, as far as the request's
    /// idempotency, its time, the servers in service and the retry budget go. It holds for this moment only.
    pub fn would_retry(&self, now: Millis, request: RequestId) -> bool {
        let Some(pending) = self.pending.get(&request) else {
            return false;
        };
        let class = pending.request.class.0;
        let expected = self.latencies[class].of(pending.request.units).mean;
        let in_time = now + expected <= pending.deadline;
        let safe = self.settings.classes[class].idempotency == Idempotency::Safe;
        let second_server = self
            .servers
            .values()
            .filter(|server| self.accepts_requests(server))
            .nth(1);
        safe && in_time
            && second_server.is_some()
            && self.load.congestion_level == 0
            && self.retry_budget >= 1.0
    }

    /// Reserves the retry after the attempt in flight, if [`Gateway::would_retry`], and says whether it did. It is spent
    /// from the retry budget now, and follows whatever the load and the budget are when the attempt ends; so a host may
    /// break the attempt off without leaving the request unanswered.
    pub fn reserve_retry(&mut self, now: Millis, request: RequestId) -> bool {
        if !self.would_retry(now, request) {
            return false;
        }
        let Some(pending) = self.pending.get_mut(&request) else {
            return false;
        };
        if !pending.retry_reserved {
            pending.retry_reserved = true;
            self.retry_budget -= 1.0;
        }
        true
    }

    /// Sets how many attempts the servers say that this gateway may have in flight, its share of what they accept in
    /// all; 0 where they do not say. It becomes the lower bound of the congestion onset, in place of a fixed figure for
    /// each server.
    pub fn set_reported_capacity(&mut self, attempts: f64) {
        self.load.reported_capacity = attempts;
    }

    /// Adds a class; requests may be of it from now on. Nothing is known yet of its latencies.
    pub fn add_class(&mut self, class: Class) -> ClassId {
        self.mean_latency_target = self.mean_latency_target.min(class.latency_target);
        self.latencies.push(initial_latency(&class));
        self.settings.classes.push(class);
        ClassId(self.settings.classes.len() - 1)
    }

    /// How many classes there are.
    pub fn class_count(&self) -> usize {
        self.settings.classes.len()
    }

    /// Replaces a class that no pending request is of. What was learned of the old one is forgotten. Where there is no
    /// such class, nothing changes.
    pub fn replace_class(&mut self, id: ClassId, class: Class) {
        let known = self
            .settings
            .classes
            .get_mut(id.0)
            .zip(self.latencies.get_mut(id.0));
        let Some((old, latency)) = known else { return };
        self.mean_latency_target = self.mean_latency_target.min(class.latency_target);
        *latency = initial_latency(&class);
        *old = class;
    }
}
