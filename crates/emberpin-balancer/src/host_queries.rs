//! Methods for hosts beside the handling of events: classes that are added at run time, the number of available
//! servers, reported capacity, and whether a retry would follow. No decision is taken here.

use crate::decisions::initial_latency;
use crate::interface::{
    Class, ClassId, Idempotency, Location, Millis, PoolSize, RequestId, ServerId, ServerStatus,
};
use crate::state::ServerState;
use crate::Gateway;

impl Gateway {
    /// Number of servers that are ejected as outliers now.
    pub fn ejected_count(&self, now: Millis) -> u32 {
        self.servers
            .values()
            .map(|server| u32::from(now < server.ejected_until))
            .sum()
    }

    /// Whether an operator has taken a server out of service, see
    /// [`Event::Maintenance`](crate::Event::Maintenance).
    pub fn is_in_maintenance(&self, server: ServerId) -> bool {
        self.in_maintenance.contains(&server)
    }

    /// The failure domains of a server; `None` for a server that is unknown or was removed.
    pub fn location(&self, server: ServerId) -> Option<Location> {
        self.servers
            .get(&server)
            .map(|server| server.info.location())
    }

    /// Number of servers in the endpoint list, and of those among them that receive no requests now.
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

    /// Whether a retry would follow if the attempt in flight ended now without an answer, judging by the request's
    /// idempotency, its remaining time, the servers in service, the congestion level and the retry budget. The
    /// result holds only for this moment.
    pub fn would_retry(&self, now: Millis, request: RequestId) -> bool {
        let Some(pending) = self.pending.get(&request) else {
            return false;
        };
        let class = pending.request.class.0;
        let expected = self.latencies[class]
            .expected_for(pending.request.units)
            .mean;
        let in_time = now + expected <= pending.deadline;
        let safe = pending.idempotency == Idempotency::Safe;
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

    /// Reserves the retry after the attempt in flight if [`Gateway::would_retry`], and returns whether it is
    /// reserved. The retry is charged to the retry budget now, and it follows whatever the load and the budget are
    /// when the attempt ends. So a host may abort the attempt without leaving the request unanswered.
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

    /// Sets this gateway's share of the concurrent requests that servers report to accept; 0 where they report
    /// nothing. It replaces the fixed number for each server as the lower bound on the congestion onset.
    pub fn set_reported_capacity(&mut self, attempts: f64) {
        self.load.reported_capacity = attempts;
    }

    /// Adds a class, which requests may use from now on. Its latencies start at the initial estimate.
    pub fn add_class(&mut self, class: Class) -> ClassId {
        self.mean_latency_target = self.mean_latency_target.min(class.latency_target);
        self.latencies.push(initial_latency(&class));
        self.settings.classes.push(class);
        ClassId(self.settings.classes.len() - 1)
    }

    /// Number of classes.
    pub fn class_count(&self) -> usize {
        self.settings.classes.len()
    }

    /// Replaces a class that no pending request should use any more, and drops its learned latencies. Does nothing
    /// if the class does not exist. A pending request of the class keeps the idempotency with which it arrived, but
    /// is timed by the new class.
    pub fn replace_class(&mut self, id: ClassId, class: Class) {
        let entry = self
            .settings
            .classes
            .get_mut(id.0)
            .zip(self.latencies.get_mut(id.0));
        let Some((old, latency)) = entry else { return };
        self.mean_latency_target = self.mean_latency_target.min(class.latency_target);
        *latency = initial_latency(&class);
        *old = class;
    }
}
