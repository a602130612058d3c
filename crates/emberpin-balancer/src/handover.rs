//! The state that a process of a gateway hands over to its successor during an upgrade: quotas and rate limits,
//! slow start, ejections, maintenance, congestion, and the counts of peers. No decision is taken here.
//!
//! Requests are not handed over: the process that accepted them answers them, and shares the units and budgets that
//! it still uses as [`Usage`](crate::Usage). The types here are encoded by position, so the order of their fields
//! must not change.

use crate::decisions::{Gateway, CONGESTION_LEVELS};
use crate::interface::{
    Event, GatewayId, MembershipUpdate, Millis, Plan, Server, ServerId, Settings,
};
use crate::state::{Advice, ClassLatency, CustomerState, LoadState, ServerState, TokenBucket};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Learned state of a server, apart from its entry of the endpoint list.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct LearnedServerState {
    /// Start of the server's incarnation that the state belongs to.
    started_at: Option<Millis>,
    latency_ratio: f64,
    queue_length: f64,
    strikes: f64,
    failure_rate: f64,
    ejected_until: Millis,
    ejection_time: Millis,
    slow_start_budget: TokenBucket,
}

impl LearnedServerState {
    fn from_server(server: &ServerState) -> LearnedServerState {
        LearnedServerState {
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

    /// Restores the state if the server is still in the same incarnation.
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

/// The settings that the state depends on; under other settings it is meaningless.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Deployment {
    gateway_id: GatewayId,
    group_size: u32,
    classes: usize,
    plans: Vec<PlanSettings>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct PlanSettings {
    quota_rate: f64,
    quota_burst: f64,
    limit_rate: f64,
    limit_burst: f64,
}

impl Deployment {
    fn from_settings(settings: &Settings) -> Deployment {
        let plan_settings = |plan: &Plan| PlanSettings {
            quota_rate: plan.quota_rate,
            quota_burst: plan.quota_burst,
            limit_rate: plan.limit_rate,
            limit_burst: plan.limit_burst,
        };
        Deployment {
            gateway_id: settings.gateway_id,
            group_size: settings.group_size,
            classes: settings.classes.len(),
            plans: settings.plans.iter().map(plan_settings).collect(),
        }
    }
}

/// The state of a gateway that its next process restores.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Handover {
    deployment: Deployment,
    in_maintenance: BTreeSet<ServerId>,
    returned_at: BTreeMap<ServerId, Millis>,
    started_at: Millis,
    incarnation: u64,
    servers: BTreeMap<ServerId, LearnedServerState>,
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
    /// Whether the state can be used: its figures are finite, and its plans, classes and congestion level exist. It
    /// comes from another process, which may be of another version.
    fn is_valid(&self) -> bool {
        let load = [
            self.load.throughput,
            self.load.peak_throughput,
            self.load.warm_throughput,
            self.load.in_flight,
            self.mean_latency_target,
            self.retry_budget,
            self.load.warming_queue_length,
            self.load.warming_reported_at,
            self.load.rate_multiple,
        ];
        self.customers
            .values()
            .all(|customer| self.is_valid_customer(customer))
            && load.iter().all(|figure| figure.is_finite())
            && self.latencies.len() == self.deployment.classes
            && self.load.congestion_level < CONGESTION_LEVELS
    }

    fn is_valid_customer(&self, customer: &CustomerState) -> bool {
        let amounts = [
            customer.quota.tokens,
            customer.rate_limit.tokens,
            customer.admitted,
            customer.requested,
            customer.withheld,
            customer.demand,
        ];
        customer.plan < self.deployment.plans.len()
            && customer.gateways.size >= 1
            && amounts.iter().all(|amount| amount.is_finite())
    }
}

impl Gateway {
    /// Copies the state for the next process; this gateway continues unchanged.
    pub fn to_handover(&self) -> Handover {
        Handover {
            deployment: Deployment::from_settings(&self.settings),
            in_maintenance: self.in_maintenance.clone(),
            returned_at: self.returned_at.clone(),
            started_at: self.started_at,
            incarnation: self.incarnation,
            servers: self
                .servers
                .iter()
                .map(|(id, server)| (*id, LearnedServerState::from_server(server)))
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

    /// Creates a gateway from the state of another process, on the same clock and with this endpoint list. State
    /// that was learned under different settings is dropped, except for the servers that are out of service for
    /// maintenance. The second value is whether the whole state was restored.
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
        let same_deployment = handover.deployment == Deployment::from_settings(&gateway.settings);
        let usable = same_deployment && handover.is_valid();
        let mut learned_states = BTreeMap::new();
        if usable {
            learned_states = gateway.restore(handover);
        }
        let membership = Event::Membership(MembershipUpdate::Full(servers));
        gateway.handle(now, membership, &mut Vec::new());
        // The first event sets the timer. The actions of this event are discarded, so the next event has to count
        // as the first.
        gateway.last_event_at = None;
        for (id, server) in &mut gateway.servers {
            if let Some(learned_state) = learned_states.get(id) {
                learned_state.restore(server);
            }
        }
        (gateway, usable)
    }

    /// Restores all state but that of the servers, which it returns.
    fn restore(&mut self, handover: Handover) -> BTreeMap<ServerId, LearnedServerState> {
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
            // The other process answers the requests in flight.
            customer.in_flight = 0;
        }
        let customers = &self.customers;
        self.unannounced.retain(|id| customers.contains_key(id));
        self.owned.retain(|id| customers.contains_key(id));
        handover.servers
    }
}
