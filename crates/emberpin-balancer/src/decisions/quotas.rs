//! Customers' quotas and ceilings: their stores, and what is taken from them.

use super::*;

/// Share of the onset below which a gateway counts as quiet enough for paid work beyond quotas.
const SPARE_SHARE: f64 = 0.5;
/// Where peers are too many, so many of a customer's set keep its store, each spending at most this
/// share of the peers' intake to advise on it.
const KEEPERS: usize = 2;
pub(super) const ADVICE_SHARE: f64 = 1.5;
/// A keeper's estimate of what is asked for looks back for the first, and lets a store be used up over
/// the second time. Its advice counts for the third.
const DEMAND_TIME: Millis = 3_000.0;
const USE_UP: Millis = 1_000.0;
pub(super) const ADVICE_LIFE: Millis = 15_000.0;
/// Share of the burst about which a pressed store is held: at nothing, chance alone overruns it.
const RESERVE: f64 = 0.3;

impl Customer {
    fn spend(&mut self, plan: &Plan, units: f64) {
        self.quota.take(units, -plan.quota_burst);
        self.ceiling.take(units, -plan.limit_burst);
        self.own += units;
    }

    pub(super) fn ask(&mut self, now: Millis, units: f64) {
        self.demand = self.demand * ((self.demand_at - now) / DEMAND_TIME).exp() + units;
        self.demand_at = now;
    }

    /// Exception for sets too large for all to tell all, where a store cannot be kept in step: a
    /// keeper turns what it holds into a chance, percentage throttling for one customer: the rate, and
    /// the store over a short time, as a share of what is asked for.
    pub(super) fn chance(&self, now: Millis, plan: &Plan) -> f64 {
        let faded = self.demand * ((self.demand_at - now) / DEMAND_TIME).exp();
        let seen = 1.0 - ((self.since - now).min(-USE_UP) / DEMAND_TIME).exp();
        let demand = faded * 1000.0 / DEMAND_TIME / seen;
        let level = (self.quota.level + (now - self.quota.at) * plan.quota_rate / 1000.0)
            .min(plan.quota_burst);
        let spare = level - plan.quota_burst * RESERVE;
        ((plan.quota_rate + spare * 1000.0 / USE_UP) / demand.max(1e-6)).clamp(0.01, 1.0)
    }
}

impl Gateway {
    pub(super) fn ensure_customer(
        &mut self,
        now: Millis,
        id: CustomerId,
        plan: PlanId,
        gateways: GatewaySet,
    ) {
        let id = id.0 & gossip::ID_MASK;
        if let Some(known) = self.customers.get_mut(&id) {
            known.used = now;
            return;
        }
        let PlanId(number) = plan;
        let plan = &self.settings.plans[number];
        let group = self.settings.group_size.max(1);
        let gateways = GatewaySet {
            first: GatewayId(gateways.first.0 % group),
            size: gateways.size.clamp(1, group),
        };
        let mut keepers: Vec<u32> = (0..gateways.size)
            .map(|k| (gateways.first.0 + k) % group)
            .collect();
        if !self.tells_all() && keepers.len() > 2 * KEEPERS {
            keepers.sort_by_key(|peer| mix(id ^ mix(u64::from(*peer) + 1)));
            keepers.truncate(KEEPERS);
        }
        let keeper = keepers.contains(&self.settings.gateway_id.0);
        keepers.retain(|peer| *peer != self.settings.gateway_id.0);
        let kept = keepers.len() + usize::from(keeper) < gateways.size as usize;
        // A store that every peer of the set would have told of, had it been used, is full; else
        // the burst is split over the set until counts arrive. Who keeps no store guards the whole.
        let settled =
            (now - self.born) * plan.quota_rate / 1000.0 >= plan.quota_burst && !self.alone(now);
        let whole = self.first || settled || (kept && !keeper);
        let level = if whole {
            plan.quota_burst
        } else {
            plan.quota_burst / f64::from(gateways.size)
        };
        // Ceiling guard: a fresh life may follow one that had spent the share, so the share fills
        // from the moment of birth, unless the whole group was seen to start.
        let share = if self.first {
            plan.limit_burst / f64::from(gateways.size)
        } else {
            0.0
        };
        let customer = Customer {
            plan: number,
            gateways,
            keepers,
            keeper,
            quota: Bucket { level, at: now },
            ceiling: Bucket {
                level: share,
                at: self.born,
            },
            told_at: f64::NEG_INFINITY,
            since: self.born,
            advised: f64::NEG_INFINITY,
            used: now,
            ..Customer::default()
        };
        if kept && keeper {
            self.kept.insert(id);
        }
        self.customers.insert(id, customer);
    }

    /// `None` when the customer's stores hold the units; else how long until they would.
    pub(super) fn quota_wait(&mut self, now: Millis, id: u64, units: f64) -> Option<Millis> {
        let advice = self
            .advice
            .get(&id)
            .filter(|(_, at)| now - at < ADVICE_LIFE || self.alone(now))
            .map_or(1.0, |a| a.0);
        let roll = self.rng.rand_float();
        let alone = self.alone(now) && now - self.born > SILENT;
        let customer = self.customers.get_mut(&id)?;
        let plan = &self.settings.plans[customer.plan];
        let set = f64::from(customer.gateways.size);
        let mut wait = 0.0f64;
        customer.asked += units;
        customer.tell = 2;
        self.news.insert(id);
        if plan.quota_rate > 0.0 {
            // Guards the quota while no peer is heard: what the set's others let in is unknown then, so
            // each lets in its part of the rate. Harm: a customer that comes through one gateway only
            // gets no more than that part. Not where a keeper advises, whose last advice stands.
            let apart = alone && !customer.kept();
            let rate = if apart {
                plan.quota_rate / set
            } else {
                plan.quota_rate
            };
            let span =
                (now - customer.quota.at)
                    .max(0.0)
                    .min(if apart { now - self.heard } else { 0.0 });
            customer.withheld += (plan.quota_rate - rate) * span / 1000.0;
            let level = customer.quota.fill(now, rate, plan.quota_burst);
            customer.ask(now, units);
            let keeps = customer.kept() && customer.keeper;
            let chance = if keeps {
                customer.chance(now, plan)
            } else {
                advice
            };
            if roll >= chance || (!keeps && level < units) {
                wait = (units - level).max(units) * 1000.0 / plan.quota_rate;
            }
        }
        if plan.limit_rate > 0.0 {
            let rate = plan.limit_rate / set;
            let level = customer.ceiling.fill(now, rate, plan.limit_burst / set);
            wait = wait.max((units - level) * 1000.0 / rate);
        }
        if plan.max_in_flight > 0.0
            && f64::from(customer.open) >= (plan.max_in_flight / set).max(1.0)
        {
            wait = wait.max(TICK);
        }
        Some(wait).filter(|wait| *wait > 0.0)
    }

    /// Exception to "empty means refuse": where a plan's settings say that work beyond the quota
    /// earns more than it costs and has no ceiling, it is let in while less is out than a quiet
    /// gateway has. Harm: it loads servers that a sudden surge inside the quotas then finds busier.
    pub(super) fn may_exceed(&self, now: Millis, customer: u64) -> bool {
        let Some(customer) = self.customers.get(&customer) else {
            return false;
        };
        let plan = &self.settings.plans[customer.plan];
        let quiet = self.load.level == 0 && self.out(now) < self.onset(1) * SPARE_SHARE;
        quiet
            && plan.over_quota_value > plan.over_quota_cost
            && plan.limit_rate <= 0.0
            && plan.max_in_flight <= 0.0
    }

    pub(super) fn take_units(
        &mut self,
        id: u64,
        units: f64,
        inside: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(customer) = self.customers.get_mut(&id) else {
            return;
        };
        customer.open += 1;
        if inside {
            customer.spend(&self.settings.plans[customer.plan], units);
            let (plan, gateways) = (customer.plan, customer.gateways);
            let spent = Usage::Units {
                customer: id,
                plan,
                gateways,
                units,
            };
            actions.extend(self.paired.then_some(Action::ShareUsage(spent)));
        }
    }

    /// Counts what the other process of this gateway spent as its own: stores, ceilings and what cold
    /// servers may get hold for both together, later than at once by the time that telling takes.
    pub(super) fn share(&mut self, now: Millis, spent: Usage) {
        match spent {
            Usage::Units {
                customer,
                plan,
                gateways,
                units,
            } if plan < self.settings.plans.len() => {
                self.ensure_customer(now, CustomerId(customer), PlanId(plan), gateways);
                let Some(known) = self.customers.get_mut(&customer) else {
                    return;
                };
                let plan = &self.settings.plans[known.plan];
                known.quota.fill(now, plan.quota_rate, plan.quota_burst);
                let set = f64::from(known.gateways.size);
                known
                    .ceiling
                    .fill(now, plan.limit_rate / set, plan.limit_burst / set);
                known.spend(plan, units);
                known.ask(now, units);
                known.tell = 2;
                self.news.insert(customer);
            }
            Usage::Units { .. } => {}
            Usage::SlowStart { server: id, work } => {
                let all_cold = self.all_cold(now);
                let budget = |server| self.cold_budget(now, server, all_cold);
                let Some(budget) = self.servers.get(&id).map(budget) else {
                    return;
                };
                if let Some(server) = self.servers.get_mut(&id) {
                    server.cold = Bucket {
                        level: budget.level - work,
                        ..budget
                    };
                }
            }
        }
    }
}
