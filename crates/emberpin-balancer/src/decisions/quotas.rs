//! Customers' quotas and hard rate limits: their token buckets, and what is taken from them.

use super::admission::Admission;
use super::{
    gossip, mix, Action, CustomerId, CustomerState, Gateway, GatewayId, GatewaySet, Millis, Plan,
    PlanId, TokenBucket, Usage, ISOLATION_TIMEOUT, TICK_PERIOD,
};

/// Share of the onset below which a gateway counts as quiet enough for paid requests beyond quotas.
const QUIET_SHARE: f64 = 0.5;
/// Gateways of a customer's set that own its quota, where peers are too many for all of them to own it.
const MAX_OWNERS: usize = 2;
/// Share of the messages that peers can receive which each owner may spend to advise on one customer.
pub(super) const ADVICE_SHARE: f64 = 1.5;
/// An owner's estimate of the demand looks back for this time.
const DEMAND_WINDOW: Millis = 3_000.0;
/// An owner lets a full quota be used up over this time.
const DRAIN_TIME: Millis = 1_000.0;
/// Advice counts for this time.
pub(super) const ADVICE_VALIDITY: Millis = 15_000.0;
/// Share of the burst that an owner leaves in a quota under pressure: held at nothing, chance alone
/// overruns it.
const BUCKET_RESERVE: f64 = 0.3;
/// How often a change of a customer's count is announced: twice, so that one lost message does no harm.
const ANNOUNCEMENTS: u32 = 2;

impl CustomerState {
    fn spend(&mut self, plan: &Plan, units: f64) {
        self.quota.take(units, -plan.quota_burst);
        self.rate_limit.take(units, -plan.limit_burst);
        self.admitted += units;
    }

    /// Counts units that were requested, here or at a peer.
    pub(super) fn add_demand(&mut self, now: Millis, units: f64) {
        self.demand = self.faded_demand(now) + units;
        self.demand_at = now;
    }

    fn faded_demand(&self, now: Millis) -> f64 {
        self.demand * ((self.demand_at - now) / DEMAND_WINDOW).exp()
    }

    /// With what chance an owner lets requests be admitted. Exception for sets of gateways too large for
    /// every one to be sent every announcement, where a token bucket cannot be kept in step: percentage
    /// throttling for one customer, by what its rate and its tokens allow over a short time as a share of
    /// the demand.
    pub(super) fn admission_chance(&self, now: Millis, plan: &Plan) -> f64 {
        let observed = self.observed_since - now;
        let seen_share = 1.0 - (observed.min(-DRAIN_TIME) / DEMAND_WINDOW).exp();
        let demand = self.faded_demand(now) * 1000.0 / DEMAND_WINDOW / seen_share;
        let refilled = (now - self.quota.updated_at) * plan.quota_rate / 1000.0;
        let tokens = (self.quota.tokens + refilled).min(plan.quota_burst);
        let spare = tokens - plan.quota_burst * BUCKET_RESERVE;
        let allowed = plan.quota_rate + spare * 1000.0 / DRAIN_TIME;
        (allowed / demand.max(1e-6)).clamp(0.01, 1.0)
    }

    /// Refills the quota and returns its tokens. While the gateway is isolated, what the other gateways of
    /// the set admit is unknown, so that each refills at its share of the rate; the rest is withheld. Harm:
    /// a customer that comes through one gateway only gets no more than that share meanwhile.
    fn refill_quota(&mut self, now: Millis, plan: &Plan, isolated_for: Option<Millis>) -> f64 {
        let rate = match isolated_for {
            Some(_) => plan.quota_rate / f64::from(self.gateways.size),
            None => plan.quota_rate,
        };
        let since_refill = (now - self.quota.updated_at).max(0.0);
        let span = since_refill.min(isolated_for.unwrap_or(0.0));
        self.withheld += (plan.quota_rate - rate) * span / 1000.0;
        self.quota.refill(now, rate, plan.quota_burst)
    }

    /// Refills this gateway's share of the hard rate limit and returns its tokens.
    fn refill_rate_limit(&mut self, now: Millis, plan: &Plan) -> f64 {
        let set = f64::from(self.gateways.size);
        self.rate_limit
            .refill(now, plan.limit_rate / set, plan.limit_burst / set)
    }
}

impl Gateway {
    /// Makes sure that a customer has its state, and marks it as used.
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
        // A fresh incarnation may follow one that had spent its share of the rate limit, so that the share
        // fills from the start of this one; unless the whole group was seen to start.
        let unspent = if self.common_start {
            plan.limit_burst / f64::from(gateways.size)
        } else {
            0.0
        };
        customer.rate_limit = TokenBucket {
            tokens: unspent,
            updated_at: self.started_at,
        };
        customer
    }

    /// The gateways that own a customer's quota: all of its set, or a few that a hash picks where peers are
    /// too many.
    fn choose_owners(&self, id: u64, gateways: GatewaySet) -> Vec<GatewayId> {
        let group = self.settings.group_size.max(1);
        let mut owners: Vec<GatewayId> = (0..gateways.size)
            .map(|offset| GatewayId((gateways.first.0 + offset) % group))
            .collect();
        if !self.gossips_to_all() && owners.len() > 2 * MAX_OWNERS {
            owners.sort_by_key(|peer| mix(id ^ mix(u64::from(peer.0) + 1)));
            owners.truncate(MAX_OWNERS);
        }
        owners
    }

    /// Tokens of a customer that was not seen before. The quota is full where every peer of the set would
    /// have announced its use by now; else the burst is split over the set until counts arrive. A gateway
    /// that does not own the quota starts with all of it, as its owners guard it.
    fn initial_quota(&self, now: Millis, customer: &CustomerState, plan: &Plan) -> f64 {
        let refilled = (now - self.started_at) * plan.quota_rate / 1000.0;
        let settled = refilled >= plan.quota_burst && !self.is_isolated(now);
        let guarded_by_others = customer.has_few_owners() && !customer.is_owner;
        if self.common_start || settled || guarded_by_others {
            plan.quota_burst
        } else {
            plan.quota_burst / f64::from(customer.gateways.size)
        }
    }

    /// `None` when the customer's quota and rate limit allow the units; else how long until they would.
    pub(super) fn quota_delay(&mut self, now: Millis, id: u64, units: f64) -> Option<Millis> {
        let advised = self.advised_chance(now, id);
        let roll = self.rng.rand_float();
        let isolated = self.is_isolated(now) && now - self.started_at > ISOLATION_TIMEOUT;
        let silence = now - self.last_peer_message_at;
        let customer = self.customers.get_mut(&id)?;
        let plan = &self.settings.plans[customer.plan];
        customer.requested += units;
        customer.announcements_due = ANNOUNCEMENTS;
        self.unannounced.insert(id);
        let mut delay = 0.0f64;
        if plan.quota_rate > 0.0 {
            // Not where owners advise: their last advice stands.
            let isolated_for = (isolated && !customer.has_few_owners()).then_some(silence);
            let tokens = customer.refill_quota(now, plan, isolated_for);
            customer.add_demand(now, units);
            let advises = customer.has_few_owners() && customer.is_owner;
            let chance = if advises {
                customer.admission_chance(now, plan)
            } else {
                advised
            };
            if roll >= chance || (!advises && tokens < units) {
                delay = (units - tokens).max(units) * 1000.0 / plan.quota_rate;
            }
        }
        let set = f64::from(customer.gateways.size);
        if plan.limit_rate > 0.0 {
            let tokens = customer.refill_rate_limit(now, plan);
            delay = delay.max((units - tokens) * 1000.0 / (plan.limit_rate / set));
        }
        let max_in_flight = (plan.max_in_flight / set).max(1.0);
        if plan.max_in_flight > 0.0 && f64::from(customer.in_flight) >= max_in_flight {
            delay = delay.max(TICK_PERIOD);
        }
        Some(delay).filter(|delay| *delay > 0.0)
    }

    /// The chance that a customer's owners advised; 1 without advice that counts. The last advice stands
    /// while this gateway is isolated.
    fn advised_chance(&self, now: Millis, id: u64) -> f64 {
        self.advice
            .get(&id)
            .filter(|advice| now - advice.received_at < ADVICE_VALIDITY || self.is_isolated(now))
            .map_or(1.0, |advice| advice.chance)
    }

    /// Exception to "an empty quota rejects": where a plan's requests beyond the quota earn more than they
    /// cost and have no hard limit, they are admitted while less is in flight than a quiet gateway has.
    /// Harm: they load servers that a sudden surge within the quotas then finds busier.
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

    /// Takes the units of an admitted request from its customer's quota and rate limit; none beyond the
    /// quota.
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

    /// Corrects what a request took from its customer's quota once its true units are known.
    pub(super) fn correct_units(&mut self, id: u64, estimated: f64, units: f64) {
        let Some(customer) = self.customers.get_mut(&id) else {
            return;
        };
        let more = units - estimated;
        customer.quota.tokens -= more;
        customer.admitted = (customer.admitted + more).max(0.0);
        customer.announcements_due = ANNOUNCEMENTS;
    }

    /// Counts what the second process of this gateway used up as its own, so that quotas, rate limits and
    /// the slow start of servers hold for both together; it takes effect later by the time that the message
    /// took.
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
