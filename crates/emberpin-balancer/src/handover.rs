//! What the next process of a gateway takes over from the one before it, so that an upgrade forgets nothing that the
//! decisions rest on: quotas and rate limits, slow start, ejections, maintenance, congestion, what peers announced. No
//! decision is taken here.
//!
//! Requests are not handed over: the process that took them answers them, and shares what it still uses up as
//! [`Usage`](crate::Usage). The types here are encoded by position, so that the order of their fields must not change.

use crate::decisions::{Gateway, CONGESTION_LEVELS};
use crate::interface::{
    Event, GatewayId, MembershipUpdate, Millis, Plan, Server, ServerId, Settings,
};
use crate::state::{Advice, ClassLatency, CustomerState, LoadState, ServerState, TokenBucket};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What is known of a server beside its entry of the endpoint list.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct ServerHistory {
    /// The incarnation that it is known of.
    started_at: Option<Millis>,
    latency_ratio: f64,
    queue_length: f64,
    strikes: f64,
    failure_rate: f64,
    ejected_until: Millis,
    ejection_time: Millis,
    slow_start_budget: TokenBucket,
}

impl ServerHistory {
    fn of(server: &ServerState) -> ServerHistory {
        ServerHistory {
            started_at: server.info.started_at,
            latency_ratio: server.latency_ratio,
            queue_length: server.queue_length,
            strikes: server.strikes,
            failure_rate: server.failure_rate,
            ejected_until: server.ejected_until,
            ejection_time: server.ejection_time,
            slow_start_budget: server.slow_start_budget,
        }
    }

    /// Restores it at the same incarnation of the server; of another one it says nothing.
    fn restore(&self, server: &mut ServerState) {
        if self.started_at != server.info.started_at {
            return;
        }
        server.latency_ratio = self.latency_ratio;
        server.queue_length = self.queue_length;
        server.strikes = self.strikes;
        server.failure_rate = self.failure_rate;
        server.ejected_until = self.ejected_until;
        server.ejection_time = self.ejection_time;
        server.slow_start_budget = self.slow_start_budget;
    }
}

/// The settings that the figures depend on: under other ones they mean nothing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Deployment {
    gateway_id: GatewayId,
    group_size: u32,
    classes: usize,
    plans: Vec<PlanFigures>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct PlanFigures {
    quota_rate: f64,
    quota_burst: f64,
    limit_rate: f64,
    limit_burst: f64,
}

impl Deployment {
    fn of(settings: &Settings) -> Deployment {
        let figures = |plan: &Plan| PlanFigures {
            quota_rate: plan.quota_rate,
            quota_burst: plan.quota_burst,
            limit_rate: plan.limit_rate,
            limit_burst: plan.limit_burst,
        };
        Deployment {
            gateway_id: settings.gateway_id,
            group_size: settings.group_size,
            classes: settings.classes.len(),
            plans: settings.plans.iter().map(figures).collect(),
        }
    }
}

/// The state of a gateway for its next process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Handover {
    deployment: Deployment,
    in_maintenance: BTreeSet<ServerId>,
    returned_at: BTreeMap<ServerId, Millis>,
    started_at: Millis,
    incarnation: u64,
    servers: BTreeMap<ServerId, ServerHistory>,
    customers: BTreeMap<u64, CustomerState>,
    peer_incarnations: BTreeMap<GatewayId, u64>,
    common_start: bool,
    unannounced: BTreeSet<u64>,
    owned: BTreeSet<u64>,
    advice: BTreeMap<u64, Advice>,
    message_budget: TokenBucket,
    latencies: Vec<ClassLatency>,
    load: LoadState,
    mean_latency_target: Millis,
    last_peer_message_at: Millis,
    rejoined_at: Millis,
    retry_budget: f64,
}

impl Handover {
    /// Whether the decisions can go on with it: its figures are finite, and its plans, classes and congestion level
    /// exist. It comes from another process and may be of another version.
    fn is_sound(&self) -> bool {
        let load = [
            self.load.throughput,
            self.load.peak_throughput,
            self.load.warm_capacity,
            self.load.in_flight,
            self.mean_latency_target,
            self.retry_budget,
            self.load.cold_queue,
            self.load.cold_reported_at,
            self.load.cold_multiple,
        ];
        self.customers
            .values()
            .all(|customer| self.is_sound_customer(customer))
            && load.iter().all(|figure| figure.is_finite())
            && self.latencies.len() == self.deployment.classes
            && self.load.congestion_level < CONGESTION_LEVELS
    }

    fn is_sound_customer(&self, customer: &CustomerState) -> bool {
        let figures = [
            customer.quota.tokens,
            customer.rate_limit.tokens,
            customer.admitted,
            customer.requested,
            customer.withheld,
            customer.demand,
        ];
        customer.plan < self.deployment.plans.len()
            && customer.gateways.size >= 1
            && figures.iter().all(|figure| figure.is_finite())
    }
}

impl Gateway {
    /// The state for the next process; this gateway goes on as before.
    pub fn to_handover(&self) -> Handover {
        Handover {
            deployment: Deployment::of(&self.settings),
            in_maintenance: self.in_maintenance.clone(),
            returned_at: self.returned_at.clone(),
            started_at: self.started_at,
            incarnation: self.incarnation,
            servers: self
                .servers
                .iter()
                .map(|(id, server)| (*id, ServerHistory::of(server)))
                .collect(),
            customers: self.customers.clone(),
            peer_incarnations: self.peer_incarnations.clone(),
            common_start: self.common_start,
            unannounced: self.unannounced.clone(),
            owned: self.owned.clone(),
            advice: self.advice.clone(),
            message_budget: self.message_budget,
            latencies: self.latencies.clone(),
            load: self.load.clone(),
            mean_latency_target: self.mean_latency_target,
            last_peer_message_at: self.last_peer_message_at,
            rejoined_at: self.rejoined_at,
            retry_budget: self.retry_budget,
        }
    }

    /// A gateway that goes on where another process left off, on the same clock and with this endpoint list. What
    /// was learned under other settings than these is dropped, but for which servers are out of service for
    /// maintenance; the second value says whether the whole state was taken over.
    pub fn from_handover(
        settings: Settings,
        seed: u64,
        now: Millis,
        handover: Handover,
        servers: Vec<Server>,
    ) -> (Gateway, bool) {
        let mut gateway = Gateway::new(settings, seed, now);
        gateway.in_maintenance = handover.in_maintenance.clone();
        gateway.returned_at = handover.returned_at.clone();
        let same_deployment = handover.deployment == Deployment::of(&gateway.settings);
        let usable = same_deployment && handover.is_sound();
        let mut histories = BTreeMap::new();
        if usable {
            histories = gateway.restore(handover);
        }
        let membership = Event::Membership(MembershipUpdate::Full(servers));
        gateway.handle(now, membership, &mut Vec::new());
        // The first event sets the timer. The actions of this one are lost, so that the next has to count as the first.
        gateway.last_event_at = None;
        for (id, server) in &mut gateway.servers {
            if let Some(history) = histories.get(id) {
                history.restore(server);
            }
        }
        (gateway, usable)
    }

    /// Restores all but the servers, whose histories it returns.
    fn restore(&mut self, handover: Handover) -> BTreeMap<ServerId, ServerHistory> {
        self.started_at = handover.started_at;
        self.incarnation = handover.incarnation;
        self.peer_incarnations = handover.peer_incarnations;
        self.common_start = handover.common_start;
        self.unannounced = handover.unannounced;
        self.owned = handover.owned;
        self.advice = handover.advice;
        self.message_budget = handover.message_budget;
        self.latencies = handover.latencies;
        self.load = handover.load;
        self.mean_latency_target = handover.mean_latency_target;
        self.last_peer_message_at = handover.last_peer_message_at;
        self.rejoined_at = handover.rejoined_at;
        self.retry_budget = handover.retry_budget;
        self.customers = handover.customers;
        for customer in self.customers.values_mut() {
            // The requests in flight are the other process's.
            customer.in_flight = 0;
        }
        let customers = &self.customers;
        self.unannounced.retain(|id| customers.contains_key(id));
        self.owned.retain(|id| customers.contains_key(id));
        handover.servers
    }
}
