//! Customers' quotas and hard rate limits: their token buckets, and how requests are charged to them.
//!
//! The gateways of a customer's set own its quota together and announce their counts to each other. In a
//! group too large for that, two gateways of the set own the quota and advise the others with what
//! probability to admit requests.

use super::admission::Admission;
use super::{
    gossip, mix_hash, Action, CustomerId, CustomerState, Gateway, GatewayId, GatewaySet, Millis,
    Plan, PlanId, TokenBucket, Usage, ISOLATION_TIMEOUT, TICK_PERIOD,
};

/// Share of the congestion onset below which a gateway is quiet enough to admit paid requests beyond
/// quotas.
const QUIET_SHARE: f64 = 0.5;
/// Number of owners of a customer's quota where the group is too large for the whole set to own it.
const MAX_OWNERS: usize = 2;
/// Rate of an owner's advice on one customer, as a multiple of the messages that a peer can receive.
pub(super) const ADVICE_SHARE: f64 = 1.5;
/// Time constant of an owner's exponentially decaying estimate of the demand.
const DEMAND_WINDOW: Millis = 3_000.0;
/// Time over which an owner lets the tokens of a quota be spent.
const DRAIN_TIME: Millis = 1_000.0;
/// Time for which received advice stays valid.
pub(super) const ADVICE_VALIDITY: Millis = 15_000.0;
/// Share of the burst that an owner keeps in reserve while demand exceeds the quota. Without a reserve,
/// random variation alone would overrun the quota.
const BUCKET_RESERVE: f64 = 0.3;
/// How many times a change of a customer's count is announced: twice, so that one lost message does no
/// harm.
const ANNOUNCEMENTS: u32 = 2;

impl CustomerState {
    /// Takes the units of an admitted request from the quota and the rate limit.
    fn spend(&mut self, plan: &Plan, units: f64) {
        self.quota.withdraw(units, -plan.quota_burst);
        self.rate_limit.withdraw(units, -plan.limit_burst);
        self.admitted += units;
    }

    /// Adds units that were requested here or at a peer to the estimated demand.
    pub(super) fn add_demand(&mut self, now: Millis, units: f64) {
        self.demand = self.decayed_demand(now) + units;
        self.demand_at = now;
    }

    /// The demand estimate, decayed to this moment.
    fn decayed_demand(&self, now: Millis) -> f64 {
        self.demand * ((self.demand_at - now) / DEMAND_WINDOW).exp()
    }

    /// Probability with which an owner wants requests of this customer to be admitted: the rate that the
    /// quota and its tokens allow over [`DRAIN_TIME`], as a share of the demand. Exception to token
    /// buckets: used in groups too large for every gateway to be sent every announcement, where the buckets
    /// cannot be kept in step.
    pub(super) fn admission_probability(&self, now: Millis, plan: &Plan) -> f64 {
        // Minus the time for which demand was observed, as it is used in an exponent.
        let minus_observed_time = self.observed_since - now;
        let observed_share = 1.0 - (minus_observed_time.min(-DRAIN_TIME) / DEMAND_WINDOW).exp();
        let demand = self.decayed_demand(now) * 1000.0 / DEMAND_WINDOW / observed_share;
        let refilled = (now - self.quota.updated_at) * plan.quota_rate / 1000.0;
        let tokens = (self.quota.tokens + refilled).min(plan.quota_burst);
        let spare = tokens - plan.quota_burst * BUCKET_RESERVE;
        let allowed = plan.quota_rate + spare * 1000.0 / DRAIN_TIME;
        (allowed / demand.max(1e-6)).clamp(0.01, 1.0)
    }

    /// Refills the quota and returns its tokens. `isolated_for` is the time without a peer message while
    /// this gateway is isolated. What the other gateways of the set admit is then unknown, so each refills
    /// only at its share of the rate, and the rest is recorded as withheld. Drawback: a customer whose
    /// requests come through one gateway only gets no more than that share meanwhile.
    fn refill_quota(&mut self, now: Millis, plan: &Plan, isolated_for: Option<Millis>) -> f64 {
        let rate = match isolated_for {
            Some(_) => plan.quota_rate / f64::from(self.gateways.size),
            None => plan.quota_rate,
        };
        let since_refill = (now - self.quota.updated_at).max(0.0);
        let isolated_span = since_refill.min(isolated_for.unwrap_or(0.0));
        self.withheld += (plan.quota_rate - rate) * isolated_span / 1000.0;
        self.quota.refill(now, rate, plan.quota_burst)
    }

    /// Refills this gateway's share of the hard rate limit and returns its tokens.
    fn refill_rate_limit(&mut self, now: Millis, plan: &Plan) -> f64 {
        let set_size = f64::from(self.gateways.size);
        self.rate_limit
            .refill(now, plan.limit_rate / set_size, plan.limit_burst / set_size)
    }
}

impl Gateway {
    /// Creates the state of a customer if there is none, and otherwise marks it as used.
    pub(super) fn ensure_customer(
        &mut self,
        now: Millis,
        id: CustomerId,
        plan: PlanId,
        gateways: GatewaySet,
    ) {
        let id = id.0 & gossip::ID_MASK;
        if let Some(known) = self.customers.get_mut(&id) {
            known.used_at = now;
            return;
        }
        let customer = self.new_customer(now, id, plan, gateways);
        if customer.has_few_owners() && customer.is_owner {
            self.owned.insert(id);
        }
        self.customers.insert(id, customer);
    }

    fn new_customer(
        &self,
        now: Millis,
        id: u64,
        plan: PlanId,
        gateways: GatewaySet,
    ) -> CustomerState {
        let PlanId(index) = plan;
        let plan = &self.settings.plans[index];
        let group = self.settings.group_size.max(1);
        let gateways = GatewaySet {
            first: GatewayId(gateways.first.0 % group),
            size: gateways.size.clamp(1, group),
        };
        let mut owners = self.choose_owners(id, gateways);
        let is_owner = owners.contains(&self.settings.gateway_id);
        owners.retain(|peer| *peer != self.settings.gateway_id);
        let mut customer = CustomerState {
            plan: index,
            gateways,
            owners,
            is_owner,
            announced_at: f64::NEG_INFINITY,
            observed_since: self.started_at,
            advised_at: f64::NEG_INFINITY,
            used_at: now,
            ..CustomerState::default()
        };
        customer.quota = TokenBucket {
            tokens: self.initial_quota(now, &customer, plan),
            updated_at: now,
        };
        // A previous incarnation may have spent its share of the rate limit, so the share fills from the
        // start of this one, unless the whole group is known to have started together.
        let initial_share = if self.common_start {
            plan.limit_burst / f64::from(gateways.size)
        } else {
            0.0
        };
        customer.rate_limit = TokenBucket {
            tokens: initial_share,
            updated_at: self.started_at,
        };
        customer
    }

    /// The gateways that own a customer's quota: its whole set, or [`MAX_OWNERS`] of it chosen by a hash
    /// where the group is too large.
    fn choose_owners(&self, id: u64, gateways: GatewaySet) -> Vec<GatewayId> {
        let group = self.settings.group_size.max(1);
        let mut owners: Vec<GatewayId> = (0..gateways.size)
            .map(|offset| GatewayId((gateways.first.0 + offset) % group))
            .collect();
        if !self.gossips_to_all() && owners.len() > 2 * MAX_OWNERS {
            owners.sort_by_key(|peer| mix_hash(id ^ mix_hash(u64::from(peer.0) + 1)));
            owners.truncate(MAX_OWNERS);
        }
        owners
    }

    /// Initial tokens of a new customer. The quota is full where every peer of the set would have announced
    /// its use by now; otherwise the burst is split over the set until counts arrive. A gateway that does
    /// not own the quota starts with the whole burst, as the owners enforce the quota.
    fn initial_quota(&self, now: Millis, customer: &CustomerState, plan: &Plan) -> f64 {
        let refilled = (now - self.started_at) * plan.quota_rate / 1000.0;
        let announced_by_peers = refilled >= plan.quota_burst && !self.is_isolated(now);
        let owned_by_others = customer.has_few_owners() && !customer.is_owner;
        if self.common_start || announced_by_peers || owned_by_others {
            plan.quota_burst
        } else {
            plan.quota_burst / f64::from(customer.gateways.size)
        }
    }

    /// `None` when the customer's quota and rate limit allow the units; otherwise the milliseconds until
    /// they would. Adds the units to the customer's demand in either case.
    pub(super) fn quota_delay(&mut self, now: Millis, id: u64, units: f64) -> Option<Millis> {
        let advised = self.advised_probability(now, id);
        let draw = self.rng.rand_float();
        let isolated = self.is_isolated(now) && now - self.started_at > ISOLATION_TIMEOUT;
        let since_peer_message = now - self.last_peer_message_at;
        let customer = self.customers.get_mut(&id)?;
        let plan = &self.settings.plans[customer.plan];
        customer.requested += units;
        customer.announcements_due = ANNOUNCEMENTS;
        self.unannounced.insert(id);
        let mut delay = 0.0f64;
        if plan.quota_rate > 0.0 {
            // The refill is not reduced for a customer with few owners: their last advice stays in force.
            let isolated_for =
                (isolated && !customer.has_few_owners()).then_some(since_peer_message);
            let tokens = customer.refill_quota(now, plan, isolated_for);
            customer.add_demand(now, units);
            let advises = customer.has_few_owners() && customer.is_owner;
            let probability = if advises {
                customer.admission_probability(now, plan)
            } else {
                advised
            };
            if draw >= probability || (!advises && tokens < units) {
                delay = (units - tokens).max(units) * 1000.0 / plan.quota_rate;
            }
        }
        let set_size = f64::from(customer.gateways.size);
        if plan.limit_rate > 0.0 {
            let tokens = customer.refill_rate_limit(now, plan);
            delay = delay.max((units - tokens) * 1000.0 / (plan.limit_rate / set_size));
        }
        let max_in_flight = (plan.max_in_flight / set_size).max(1.0);
        if plan.max_in_flight > 0.0 && f64::from(customer.in_flight) >= max_in_flight {
            delay = delay.max(TICK_PERIOD);
        }
        Some(delay).filter(|delay| *delay > 0.0)
    }

    /// The admission probability that a customer's owners advised; 1 without valid advice. While this
    /// gateway is isolated, the last advice stays valid.
    fn advised_probability(&self, now: Millis, id: u64) -> f64 {
        self.advice
            .get(&id)
            .filter(|advice| now - advice.received_at < ADVICE_VALIDITY || self.is_isolated(now))
            .map_or(1.0, |advice| advice.probability)
    }

    /// Whether a request beyond its quota may be admitted. Exception to the rule that an empty quota
    /// rejects: where such requests earn more than they cost and the plan has no hard limit, they are
    /// admitted while this gateway is quiet. Drawback: they occupy servers that a sudden surge within the
    /// quotas then finds busier.
    pub(super) fn may_exceed_quota(&self, now: Millis, customer: u64) -> bool {
        let Some(customer) = self.customers.get(&customer) else {
            return false;
        };
        let plan = &self.settings.plans[customer.plan];
        let quiet = self.load.congestion_level == 0
            && self.mean_in_flight(now) < self.onset(1) * QUIET_SHARE;
        let pays = plan.over_quota_value > plan.over_quota_cost;
        quiet && pays && plan.limit_rate <= 0.0 && plan.max_in_flight <= 0.0
    }

    /// Counts an admitted request as in flight and, if it is within the quota, takes its units from the
    /// customer's quota and rate limit.
    pub(super) fn charge(
        &mut self,
        id: u64,
        units: f64,
        admission: Admission,
        actions: &mut Vec<Action>,
    ) {
        let Some(customer) = self.customers.get_mut(&id) else {
            return;
        };
        customer.in_flight += 1;
        if admission != Admission::WithinQuota {
            return;
        }
        customer.spend(&self.settings.plans[customer.plan], units);
        if self.sibling_running {
            actions.push(Action::ShareUsage(Usage::Units {
                customer: id,
                plan: customer.plan,
                gateways: customer.gateways,
                units,
            }));
        }
    }

    /// Corrects the customer's quota and count once the true units of a request are known.
    pub(super) fn correct_units(&mut self, id: u64, estimated: f64, units: f64) {
        let Some(customer) = self.customers.get_mut(&id) else {
            return;
        };
        let difference = units - estimated;
        customer.quota.tokens -= difference;
        customer.admitted = (customer.admitted + difference).max(0.0);
        customer.announcements_due = ANNOUNCEMENTS;
    }

    /// Counts usage of the second process of this gateway as its own, so that quotas, rate limits and the
    /// slow start of servers hold for both together. It takes effect later by the transit time of the
    /// message.
    pub(super) fn on_sibling_usage(&mut self, now: Millis, usage: Usage) {
        match usage {
            Usage::Units {
                customer,
                plan,
                gateways,
                units,
            } if plan < self.settings.plans.len() => {
                self.ensure_customer(now, CustomerId(customer), PlanId(plan), gateways);
                self.spend_for_sibling(now, customer, units);
            }
            Usage::Units { .. } => {}
            Usage::SlowStart { server, work } => self.spend_slow_start_budget(now, server, work),
        }
    }

    /// Charges units that the second process admitted.
    fn spend_for_sibling(&mut self, now: Millis, id: u64, units: f64) {
        let Some(customer) = self.customers.get_mut(&id) else {
            return;
        };
        let plan = &self.settings.plans[customer.plan];
        customer
            .quota
            .refill(now, plan.quota_rate, plan.quota_burst);
        customer.refill_rate_limit(now, plan);
        customer.spend(plan, units);
        customer.add_demand(now, units);
        customer.announcements_due = ANNOUNCEMENTS;
        self.unannounced.insert(id);
    }
}
