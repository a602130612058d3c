//! Gossip with peers, and the housekeeping of each tick.

use super::*;

/// A mean over many peers is of about so many messages.
const JOINT_MESSAGES: f64 = 20.0;
/// So long after a silence peers have told what they let in meanwhile.
const CATCH_UP: Millis = 1_000.0;
/// Lives that began within this time of each other are one common start, once so many peers (or all)
/// were heard and none is older.
const COMMON_START: Millis = 2_000.0;
const START_PEERS: usize = 8;
/// News is gathered for the first time before it is told, for the second once keepers said to refuse.
const GATHER: Millis = 300.0;
const GATHER_PRESSED: Millis = 1_000.0;
/// An idle customer's store is dropped after this time, or when it must be full again.
const IDLE: Millis = 60_000.0;
/// Time in which what a warm server is held to carry may double, or be gone.
const CARRY_TIME: Millis = 20_000.0;

impl Gateway {
    /// Time between gossip messages: the tick, or longer where the few peers take in less.
    pub(super) fn period(&self) -> Millis {
        let peers = f64::from(self.settings.group_size.max(1) - 1);
        let full =
            1000.0 * peers / (self.settings.peer_messages_per_second * MAIL_SHARE).max(0.001);
        TICK.max(full.min(ALL_TOLD) * f64::from(u8::from(self.tells_all())))
    }

    /// Whether peers are few enough for each to be told often (or nobody can be told).
    pub(super) fn tells_all(&self) -> bool {
        let peers = f64::from(self.settings.group_size.max(1) - 1);
        let mail = self.settings.peer_messages_per_second;
        mail <= 0.0 || peers * 1000.0 <= mail * MAIL_SHARE * ALL_TOLD
    }

    pub(super) fn alone(&self, now: Millis) -> bool {
        now - self.heard > SILENT
    }

    pub(super) fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer {
            delay: self.period(),
            token: TICK_TOKEN,
        });
        let span = (now - self.ticked).max(1.0);
        self.ticked = now;
        let gain = (span / RATE_TIME.min(now - self.born)).clamp(0.0, 1.0);
        self.load.rate += (self.load.answered * 1000.0 / span - self.load.rate) * gain;
        self.load.answered = 0.0;
        self.load.out += (self.loaded(now) - self.load.out) * (span / self.out_time(now)).min(1.0);
        let joint = self.joint(now, self.load.rate, self.load.peers_rate);
        self.load.peak = (self.load.peak * (1.0 - (span / PEAK_TIME).min(1.0))).max(joint);
        // Seen on warm servers alone: counting cold ones, which are held back, as if they bore their part
        // makes the figure fall, and with it what they are allowed, and so on. Answers of those that left
        // are not put down to those that stay. It falls slowly: that less is asked of warm servers than a
        // moment ago, as cold ones are there too, does not make those able to do less.
        let serving = self.servers.values().filter(|server| self.may_take(server));
        let warm = serving.filter(|s| self.warmth(now, &s.info) >= 1.0);
        let sizes = warm.map(|s| s.info.capacity.max(0.01)).sum::<f64>();
        if sizes > 0.0 {
            let group = f64::from(self.settings.group_size.max(1));
            let carry = joint * self.load.warm_share * group / sizes;
            let rise = (carry - self.load.carry).min(self.load.carry.max(1.0)) * span / CARRY_TIME;
            let young = now - self.born < PEAK_TIME;
            let fall = self.load.carry * (1.0 - span / CARRY_TIME).max(0.0);
            self.load.carry = if young {
                carry
            } else {
                carry.min(self.load.carry + rise.max(0.0)).max(fall)
            };
        }
        self.learn_cold_times(now, span);
        if !self.tells_all() && !self.alone(now) {
            // One of many has an outcome too seldom to step down by outcomes alone.
            self.check_congestion(now, actions);
        }
        self.gossip(now, actions);
        let caught_up = !self.alone(now) && now - self.joined > CATCH_UP;
        let plans = &self.settings.plans;
        self.customers.retain(|_, c| {
            c.withheld *= f64::from(u8::from(!caught_up));
            let refill = plans[c.plan].quota_burst * 1000.0 / plans[c.plan].quota_rate.max(0.001);
            c.open > 0 || now - c.used < IDLE.max(2.0 * refill)
        });
        let warm_after = self.settings.slow_start.duration;
        self.returned.retain(|_, at| now - *at < warm_after);
        self.kept.retain(|id| self.customers.contains_key(id));
        self.news.retain(|id| self.customers.contains_key(id));
        self.advice.retain(|id, (_, at)| {
            now - *at < quotas::ADVICE_LIFE || self.customers.contains_key(id)
        });
    }

    /// Tells news of customers to those that keep their stores, what is most untold for its plan first.
    /// Where peers are few, all of the set keep it, counts are cumulative and told twice, so that one
    /// lost message heals with the next. Among many, the keepers tell the set in turn with what chance
    /// to let a customer in while that is below one; all within the peers' intake.
    fn gossip(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.settings.peer_messages_per_second <= 0.0 {
            return;
        }
        let all = self.tells_all();
        // One of many writes just when it has news, hence with more out than at other times: the moment's
        // count would tell its peers several times its mean.
        let out = if all { self.loaded(now) } else { self.load.out };
        let header = gossip::Writer::new(self.life as u32, out, self.load.rate);
        let mut mail: BTreeMap<u32, gossip::Writer> = BTreeMap::new();
        if all {
            let peers =
                (0..self.settings.group_size).filter(|peer| *peer != self.settings.gateway_id.0);
            mail.extend(peers.map(|peer| (peer, header.clone())));
        }
        let pace = self.settings.peer_messages_per_second * 2.0 * MAIL_SHARE;
        let mut room = self.mail.fill(now, pace, pace * GATHER / 1000.0);
        let mut order: Vec<(f64, u64)> = Vec::new();
        for id in &self.news {
            let customer = &self.customers[id];
            let pressed = self.advice.get(id).is_some_and(|(chance, _)| *chance < 1.0);
            if all || now - customer.told_at >= if pressed { GATHER_PRESSED } else { GATHER } {
                order.push((
                    customer.asked / self.settings.plans[customer.plan].quota_burst.max(1.0),
                    *id,
                ));
            }
        }
        order.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, id) in order {
            let Some(customer) = self.customers.get_mut(&id) else {
                continue;
            };
            let fresh = customer
                .keepers
                .iter()
                .filter(|peer| !mail.contains_key(peer))
                .count() as f64;
            if fresh > room {
                continue;
            }
            room -= fresh;
            let entry = customer.count(id);
            let write = |peer: &u32| {
                mail.entry(*peer)
                    .or_insert_with(|| header.clone())
                    .push(entry)
            };
            let unfit = customer
                .keepers
                .iter()
                .map(write)
                .filter(|fits| !fits)
                .count();
            if customer.kept() {
                customer.tell = 1;
            }
            if unfit == 0 || customer.kept() {
                (customer.told_at, customer.asked) = (now, 0.0);
                customer.tell -= 1;
                if customer.tell == 0 {
                    self.news.remove(&id);
                }
            }
        }
        let every = 1000.0 / (self.settings.peer_messages_per_second * quotas::ADVICE_SHARE);
        for id in &self.kept {
            let Some(customer) = self.customers.get_mut(id) else {
                continue;
            };
            let chance = customer.chance(now, &self.settings.plans[customer.plan]);
            if chance < 1.0 {
                // When the pressure ends, each member is told once more.
                customer.owed = customer.gateways.size;
            }
            customer.advised = customer.advised.max(now - GATHER);
            while customer.owed > 0 && now - customer.advised >= every && room >= 1.0 {
                let peer = (customer.gateways.first.0 + customer.cursor) % self.settings.group_size;
                customer.cursor = (customer.cursor + 1) % customer.gateways.size;
                customer.owed -= 1;
                if peer != self.settings.gateway_id.0 {
                    customer.advised += every;
                    room -= f64::from(u8::from(!mail.contains_key(&peer)));
                    let message = mail.entry(peer).or_insert_with(|| header.clone());
                    message.push(Entry::Advice {
                        customer: *id,
                        chance,
                    });
                }
            }
        }
        self.mail.level = room;
        for (peer, message) in mail {
            actions.push(Action::SendToPeer {
                to: Some(GatewayId(peer)),
                bytes: message.finish(),
            });
        }
    }

    /// Takes a peer's message. An older life is ignored, and a new one starts from nothing, so a
    /// restart is no refund.
    pub(super) fn hear(&mut self, now: Millis, from: GatewayId, bytes: &[u8]) {
        let Some(message) = gossip::read(bytes) else {
            return;
        };
        if from == self.settings.gateway_id || from.0 >= self.settings.group_size {
            return;
        }
        let told = gossip::whole_life(message.life, now);
        let life = *self.peers.entry(from.0).or_insert(told);
        if told < life {
            return;
        }
        if told > life && message.life != life as u32 {
            self.peers.insert(from.0, told);
            self.customers
                .values_mut()
                .for_each(|customer| _ = customer.told.remove(&from.0));
        }
        let most = JOINT_MESSAGES.min(f64::from(self.settings.group_size));
        let gain = if self.alone(now) { 1.0 } else { 1.0 / most };
        self.load.peers_out += (message.out - self.load.peers_out) * gain;
        self.load.peers_rate += (message.rate - self.load.peers_rate) * gain;
        if self.alone(now) {
            self.joined = now;
        }
        self.heard = now;
        self.see_start();
        for entry in message.entries {
            match entry {
                Entry::Count {
                    customer,
                    plan,
                    first,
                    size,
                    units,
                    asked,
                } => {
                    // A keeper may never be asked for a customer itself.
                    if !self.tells_all() && plan < self.settings.plans.len() {
                        let gateways = GatewaySet {
                            first: GatewayId(first),
                            size,
                        };
                        self.ensure_customer(now, CustomerId(customer), PlanId(plan), gateways);
                    }
                    self.take_count(now, from.0, customer, units, asked);
                }
                Entry::Advice { customer, chance } => {
                    self.advice.insert(customer, (chance, now));
                }
            }
        }
    }

    /// Evidence of a first start: enough peers were heard and none is much older than this life. Then
    /// nobody used anything before, and bursts need not be held back.
    fn see_start(&mut self) {
        let enough = START_PEERS.min(self.settings.group_size.max(1) as usize - 1);
        let old = |life: &u64| *life as f64 + COMMON_START < self.life as f64;
        if self.first || self.peers.len() < enough || self.peers.values().any(old) {
            return;
        }
        self.first = true;
        for customer in self.customers.values_mut() {
            let (plan, set) = (
                &self.settings.plans[customer.plan],
                f64::from(customer.gateways.size),
            );
            customer.quota.level += plan.quota_burst * (1.0 - 1.0 / set);
            customer.ceiling.level += plan.limit_burst / set;
        }
    }

    /// What peers let in is taken from the store here. Cumulative counts heal losses and need no order.
    fn take_count(&mut self, now: Millis, from: u32, id: u64, units: f64, asked: f64) {
        // Counts of a life older than ours hold use from before our time: only what comes on top counts.
        let older = self.peers[&from] as f64 + COMMON_START < self.life as f64;
        let Some(customer) = self.customers.get_mut(&id) else {
            return;
        };
        let plan = &self.settings.plans[customer.plan];
        if customer.kept() && !customer.keeper {
            return;
        }
        let mut fresh = units;
        let unknown = (if older { units } else { 0.0 }, now);
        let (before, at) = customer.told.get(&from).copied().unwrap_or(unknown);
        if units >= before {
            fresh = units - before;
        } else if now - at < IDLE / 2.0 {
            return;
        }
        customer.told.insert(from, (units, now));
        // What peers let in while they were not heard comes in one sum, and was held back here meanwhile.
        let held_back = fresh.min(customer.withheld);
        customer.withheld -= held_back;
        customer.quota.fill(now, plan.quota_rate, plan.quota_burst);
        customer.quota.take(fresh - held_back, -plan.quota_burst);
        customer.ask(now, asked);
    }
}
