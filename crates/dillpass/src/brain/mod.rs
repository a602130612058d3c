//! Every decision of a gateway. The interface (settings, events, actions) is `src/interface.rs`;
//! `src/gossip.rs` knows the bytes of peer messages only.
//!
//! The sections stand in the order in which a request meets them. Source of the ordinary path: Roughan
//! and Pearce, "A Martingale Analysis of Hysteretic Overload Control"; see `docs/DESIGN.md`.

use crate::gossip::{self, Entry};
use crate::interface::*;
use crate::state::*;
use std::collections::{BTreeMap, BTreeSet};

// ---- Constants: each with its reason; none comes from a deployment's figures. ----

/// Thresholds of the paper's examples: used until throughput is known, and their ratio for good.
const PAPER_ONSET: f64 = 62.0;
const PAPER_ABATEMENT: f64 = 50.0;
/// Refusal chance by congestion level: the paper's one cut as a ladder, early and small first. Each
/// level's thresholds lie a share of the first onset higher that is less than the paper's gap.
const CUT: [f64; 6] = [0.0, 0.2, 0.4, 0.6, 0.8, 0.95];
pub(crate) const LEVELS: usize = CUT.len();
const LEVEL_STEP: f64 = 0.15;
/// Share of the aim that waiting and service may take before a gateway calls itself congested.
const AIM_SHARE: f64 = 0.32;
/// Share of the onset below which a gateway counts as quiet enough for paid work beyond quotas.
const SPARE_SHARE: f64 = 0.5;
/// The onset is at least so many attempts a server over all gateways. A mean over many peers is of
/// about so many messages.
const LEAST_OUT: f64 = 2.0;
const JOINT_MESSAGES: f64 = 20.0;
/// Throughput is averaged over the first, and its peak remembered over the second time.
const RATE_TIME: Millis = 1_000.0;
const PEAK_TIME: Millis = 5_000.0;
/// Where peers are too many to tell each, attempts outstanding are smoothed over this part of the time
/// between two own attempts (0.2 to 0.5 did alike for 100 and 300; 1 lost a tenth of a full back end).
const OUT_PART: f64 = 0.35;
/// No event for so long beyond the period is a gap of this gateway's own.
const GAP: Millis = 300.0;
/// Gossip and housekeeping period, or so long that gossip fills this share of the peers' intake; where
/// that would be longer than the second time, peers are too many to tell each.
const TICK: Millis = 100.0;
const MAIL_SHARE: f64 = 0.75;
const ALL_TOLD: Millis = 500.0;
/// No message from any peer for so long makes a gateway count alone.
const SILENT: Millis = 1_500.0;
/// So long after a silence peers have told what they let in meanwhile.
const CATCH_UP: Millis = 1_000.0;
/// Lives that began within this time of each other are one common start, once so many peers (or all)
/// were heard and none is older.
const COMMON_START: Millis = 2_000.0;
const START_PEERS: usize = 8;
/// Where peers are too many, so many of a customer's set keep its store, each spending at most this
/// share of the peers' intake to advise on it.
const KEEPERS: usize = 2;
const ADVICE_SHARE: f64 = 1.5;
/// A keeper's estimate of what is asked for looks back for the first, and lets a store be used up over
/// the second time. Its advice counts for the third.
const DEMAND_TIME: Millis = 3_000.0;
const USE_UP: Millis = 1_000.0;
const ADVICE_LIFE: Millis = 15_000.0;
/// Share of the burst about which a pressed store is held: at nothing, chance alone overruns it.
const RESERVE: f64 = 0.3;
/// News is gathered for the first time before it is told, for the second once keepers said to refuse.
const GATHER: Millis = 300.0;
const GATHER_PRESSED: Millis = 1_000.0;
/// An idle customer's store is dropped after this time, or when it must be full again.
const IDLE: Millis = 60_000.0;
/// Weight of the newest in averages.
const GAIN: f64 = 0.1;
/// An attempt may take the mean and so many deviations; longer while a repeat of so many means meets the aim.
const PATIENCE: f64 = 6.0;
const REPEAT: f64 = 2.0;
/// Second attempts after one that may have run are held to this share of the requests.
const RETRY_SHARE: f64 = 0.1;
const RETRY_BURST: f64 = 10.0;
/// A common start has so many over all gateways, and one each.
const RETRY_FLEET: f64 = 60.0;
/// Strikes at which a server is ejected, how far above its fellows' mean they must lie, for how long it
/// rests at first and at most, and the largest share of the fleet that may rest at once.
const STRIKES: f64 = 2.0;
const STRIKES_OVER_FELLOWS: f64 = 1.5;
/// And the share of its attempts that failed must be more than twice its median fellow's, and so much more.
const FAULTS_OVER_FELLOWS: f64 = 0.15;
const EJECT_MIN: Millis = 1_000.0;
const EJECT_MAX: Millis = 8_000.0;
const EJECT_SHARE: f64 = 0.5;
/// Silence longer than so many expected answer times makes a server look slower.
const STALL: f64 = 3.0;
/// Of what would fell a cold server within the rule's span, going by its present part of what its like
/// carry: the share that all may send, and that share of it which may come in one burst.
const COLD_SHARE: f64 = 0.5;
const COLD_BURST: f64 = 0.25;
/// And the share that bounds how many gateways may send to it, as each may be one request over; up to so
/// few while they are no more than that part of the limit.
const COLD_GATEWAYS: f64 = 0.2;
const COLD_FEW: f64 = 3.0;
/// Where all servers are cold, what they are held to bear may grow by this part a second while they say that
/// hardly anything waits there, and to so many times the guess; word of it counts for so long.
const COLD_GROWTH: f64 = 0.5;
const COLD_WAITS: f64 = 0.5;
const COLD_MOST: f64 = 8.0;
const COLD_NEWS: Millis = 2_000.0;
const COLD_WEIGHT: f64 = 0.5;
/// The golden ratio's part: steps of it round a circle never come close to one another.
const GOLDEN: f64 = 0.618_033_988_749_895;
/// Time in which what a warm server is held to carry may double, or be gone.
const CARRY_TIME: Millis = 20_000.0;
/// A keyed repeat must leave this share of the window unused.
const WINDOW_MARGIN: f64 = 0.1;
/// The same log line appears once in this time at most.
const LOG_EVERY: Millis = 5_000.0;
const TICK_TOKEN: u64 = 0;

impl Customer {
    fn spend(&mut self, plan: &Plan, units: f64) {
        self.quota.take(units, -plan.burst);
        self.ceiling.take(units, -plan.ceiling_burst);
        self.own += units;
    }

    fn ask(&mut self, now: Millis, units: f64) {
        self.demand = self.demand * ((self.demand_at - now) / DEMAND_TIME).exp() + units;
        self.demand_at = now;
    }

    /// Exception for sets too large for all to tell all, where a store cannot be kept in step: a
    /// keeper turns what it holds into a chance, percentage throttling for one customer: the rate, and
    /// the store over a short time, as a share of what is asked for.
    fn chance(&self, now: Millis, plan: &Plan) -> f64 {
        let faded = self.demand * ((self.demand_at - now) / DEMAND_TIME).exp();
        let seen = 1.0 - ((self.since - now).min(-USE_UP) / DEMAND_TIME).exp();
        let demand = faded * 1000.0 / DEMAND_TIME / seen;
        let level = (self.quota.level + (now - self.quota.at) * plan.rate / 1000.0).min(plan.burst);
        let spare = level - plan.burst * RESERVE;
        ((plan.rate + spare * 1000.0 / USE_UP) / demand.max(1e-6)).clamp(0.01, 1.0)
    }
}

/// One gateway's decisions: feed it events, carry out its actions.
#[derive(Debug)]
pub struct Gateway {
    pub(crate) settings: Settings,
    pub(crate) rng: oorandom::Rand64,
    pub(crate) born: Millis,
    pub(crate) life: u64,
    /// The last event, and when the last gap of this gateway's own ended.
    pub(crate) seen: Option<Millis>,
    pub(crate) woke: Millis,
    pub(crate) ticked: Millis,
    pub(crate) servers: BTreeMap<ServerId, Backend>,
    /// Out of service by hand, and when servers were put back lately.
    pub(crate) banned: BTreeSet<ServerId>,
    pub(crate) returned: BTreeMap<ServerId, Millis>,
    pub(crate) requests: BTreeMap<RequestId, Open>,
    pub(crate) customers: BTreeMap<u64, Customer>,
    /// The life that each peer told last.
    pub(crate) peers: BTreeMap<u32, u64>,
    /// The group was seen to start together with this life.
    pub(crate) first: bool,
    /// Customers with something to tell, those kept here, and those that their keepers said to refuse.
    pub(crate) news: BTreeSet<u64>,
    pub(crate) kept: BTreeSet<u64>,
    pub(crate) advice: BTreeMap<u64, (f64, Millis)>,
    pub(crate) mail: Bucket,
    pub(crate) latency: Vec<Latencies>,
    pub(crate) load: Load,
    /// Mean aim of what was answered, and when a peer was last heard.
    pub(crate) aim: Millis,
    pub(crate) heard: Millis,
    /// When peers were heard again after a silence.
    pub(crate) joined: Millis,
    pub(crate) retries: f64,
    /// Another process of this gateway is there beside this one.
    pub(crate) paired: bool,
    pub(crate) logged: BTreeMap<&'static str, Millis>,
}

impl Gateway {
    /// A gateway that starts now and knows only its settings.
    pub fn new(settings: Settings, seed: u64, now: Millis) -> Gateway {
        let latency = settings.classes.iter().map(|c| Latency { mean: c.aim * 0.25, deviation: c.aim * 0.1 });
        Gateway {
            rng: oorandom::Rand64::new(u128::from(seed)),
            born: now,
            life: now.max(0.0) as u64,
            seen: None,
            woke: f64::NEG_INFINITY,
            ticked: now,
            servers: BTreeMap::new(),
            banned: BTreeSet::new(),
            returned: BTreeMap::new(),
            requests: BTreeMap::new(),
            customers: BTreeMap::new(),
            peers: BTreeMap::new(),
            first: false,
            news: BTreeSet::new(),
            kept: BTreeSet::new(),
            advice: BTreeMap::new(),
            mail: Bucket { level: 0.0, at: now },
            latency: latency.map(Latencies::new).collect(),
            load: Load { warm_share: 1.0, cold_told: now - 2.0 * COLD_NEWS, ..Load::default() },
            aim: settings.classes.iter().map(|c| c.aim).fold(f64::INFINITY, f64::min),
            heard: f64::NEG_INFINITY,
            joined: f64::NEG_INFINITY,
            retries: (RETRY_FLEET / f64::from(settings.group_size.max(1))).clamp(1.0, RETRY_BURST),
            paired: false,
            logged: BTreeMap::new(),
            settings,
        }
    }

    /// How many servers rest now, ejected for their failures.
    pub fn resting(&self, now: Millis) -> u32 {
        self.servers.values().map(|server| u32::from(now < server.ejected_until)).sum()
    }

    /// Whether a server is out of service by hand.
    pub fn is_banned(&self, server: ServerId) -> bool {
        self.banned.contains(&server)
    }

    /// The zone and cell of a server.
    pub fn place(&self, server: ServerId) -> Option<(usize, u32)> {
        self.servers.get(&server).map(|server| (server.info.zone, server.info.cell))
    }

    /// How many servers the list names, and how many of them get nothing now: by hand, or by choice.
    pub fn pool(&self, now: Millis) -> (usize, usize) {
        let listed = self.servers.values().filter(|server| server.info.condition != Condition::Gone);
        let avoided = |s: &&Backend| now < s.ejected_until || self.banned.contains(&s.info.id);
        (listed.clone().count(), listed.filter(avoided).count())
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match self.seen.replace(now) {
            Some(seen) => self.notice_gap(now, now - seen),
            None => {
                actions.push(Action::Schedule { delay: self.period(), token: TICK_TOKEN });
                if self.settings.ask_for_servers {
                    actions.push(Action::WatchServers { on: true });
                }
            }
        }
        match event {
            Event::Request(request) => self.arrive(now, request, actions),
            Event::Attempt(attempt) => {
                self.learn(now, &attempt, actions);
                self.conclude(now, &attempt, actions);
            }
            Event::Streaming { request } => drop(self.finish(request)),
            Event::Abandoned { request } => {
                // Nobody waits for it any more: spares the server work that clients repeat elsewhere.
                let open = self.finish(request).filter(|o| o.out.is_some() && self.settings.cancel);
                actions.extend(open.map(|o| Action::Cancel { request, attempt: o.attempts - 1 }));
            }
            Event::Timer { token: TICK_TOKEN } => self.tick(now, actions),
            Event::Membership(news) => self.membership(now, news),
            Event::Maintenance { server, out } => self.maintain(now, server, out, actions),
            Event::Peer { from, bytes } => self.hear(now, from, &bytes),
            Event::Paired { on } => self.paired = on,
            Event::Shared(spent) => self.share(now, spent),
            Event::Timer { .. } | Event::Probed { .. } | Event::Counted { .. } => {}
        }
    }

    /// A gateway that had no turn finds its timers late and all events in a pile: no fault of peers or
    /// servers, and what it had out has long ended. Harm: dropped timers make it forget what is out.
    fn notice_gap(&mut self, now: Millis, gap: Millis) {
        if gap > self.period() + GAP {
            self.woke = now;
            self.ticked = now;
            self.load.out = 0.0;
            self.heard += gap;
        }
    }

    // ---- Congestion and percentage throttling ----

    /// Mean over all gateways. Exception to the source's own buffer: where a gateway has about one
    /// attempt out, its own count is noise, so the thresholds are held against the mean of what peers
    /// tell; alone again once no peer was heard for a while.
    fn joint(&self, now: Millis, own: f64, peers: f64) -> f64 {
        let others = if self.alone(now) { 0.0 } else { f64::from(self.settings.group_size.max(1) - 1) };
        (own + others * peers) / (1.0 + others)
    }

    fn alone(&self, now: Millis) -> bool {
        now - self.heard > SILENT
    }

    /// Onset of a level above 0. Little's law: throughput times the part of the aim that an attempt
    /// may take is the number of attempts that may be out; the paper's figure stands until seen.
    fn onset(&self, level: usize) -> f64 {
        let seen = self.load.peak * self.aim * AIM_SHARE / 1000.0;
        let least = LEAST_OUT * self.servers.len() as f64 / f64::from(self.settings.group_size.max(1));
        let first = if seen > 0.0 { seen.max(least) } else { PAPER_ONSET };
        first * (1.0 + LEVEL_STEP * (level.max(1) - 1) as f64)
    }

    /// After each outcome, and on ticks for one of many: strictly above the next onset a level up, at or
    /// below the present abatement a level down, unchanged in between.
    fn check_congestion(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let out = self.out(now);
        if self.load.level + 1 < CUT.len() && out > self.onset(self.load.level + 1) {
            self.load.level += 1;
            self.log(now, "congested: more attempts outstanding than the onset", actions);
        } else if self.load.level > 0 && out <= self.onset(self.load.level) * PAPER_ABATEMENT / PAPER_ONSET {
            self.load.level -= 1;
        }
    }

    /// Attempts outstanding of a mean gateway: of its own count, smoothed where one of many hears no peer.
    fn out(&self, now: Millis) -> f64 {
        if self.alone(now) && !self.tells_all() {
            self.load.out
        } else {
            self.joint(now, self.loaded(now), self.load.peers_out)
        }
    }

    /// How long own attempts outstanding are smoothed for: part of the time between two own attempts, so
    /// that what is told is a mean and is no older than it must be; for long where no peer is heard.
    fn out_time(&self, now: Millis) -> Millis {
        let own = OUT_PART * 1000.0 / self.load.rate.max(f64::EPSILON);
        if self.alone(now) {
            RATE_TIME
        } else {
            own.clamp(TICK, RATE_TIME)
        }
    }

    /// Own attempts outstanding that count towards the thresholds: not those from before a gap of its
    /// own. Exception: nor those out for longer than the mean aim at servers that were silent since, as
    /// they tell of those servers and not of the load, while others answer quickly. Covers hung, cut off
    /// and dead servers; harm: a server that is slow only is let off.
    fn loaded(&self, now: Millis) -> f64 {
        let quick = now - self.load.quick <= self.aim;
        let counts = |server: &Backend| {
            let oldest = server.out.values().fold(now, |oldest, sent| oldest.min(sent.at));
            let hangs = quick && now - oldest.max(server.heard) > self.aim;
            server.out.values().filter(|sent| !hangs && sent.at >= self.woke).count()
        };
        self.servers.values().filter(|s| !s.out.is_empty()).map(counts).sum::<usize>() as f64
    }

    /// A request arrives: throttle, quota, ceiling, then a server; whatever says no refuses at once.
    fn arrive(&mut self, now: Millis, request: Request, actions: &mut Vec<Action>) {
        let (id, class, plan) = (request.id, request.class.0, request.plan.0);
        if self.requests.contains_key(&id) {
            return;
        }
        if class >= self.settings.classes.len() || plan >= self.settings.plans.len() {
            actions.push(Action::Refuse { request: id, retry_after: 0.0 });
            return;
        }
        if let Some(ran) = request.ran {
            return self.go_on(now, request, ran, actions);
        }
        self.retries = (self.retries + RETRY_SHARE).min(RETRY_BURST);
        let customer = request.customer.0 & gossip::ID_MASK;
        let pause = self.settings.classes[class].aim * AIM_SHARE;
        let throttled = self.load.level > 0 && self.rng.rand_float() < CUT[self.load.level];
        self.ensure_customer(now, request.customer, request.plan, request.set_first, request.set_size);
        let waiting = if throttled { None } else { self.quota_wait(now, customer, request.units) };
        let spare = waiting.is_some() && self.may_exceed(now, customer);
        let refusal = if throttled { Some(pause) } else { waiting.filter(|_| !spare) };
        let server =
            if refusal.is_none() { self.choose(now, class, request.units, None, None) } else { None };
        let Some(server) = server else {
            if refusal.is_none() {
                self.log(now, "no server may take work: none in service, or all cold ones spent", actions);
            }
            let retry_after = refusal.unwrap_or(pause).min(self.settings.max_retry_after);
            actions.push(Action::Refuse { request: id, retry_after });
            return;
        };
        self.take_units(customer, request.units, !spare, actions);
        let deadline = now + request.remaining;
        let open = Open { request, deadline, attempts: 0, out: None, sent: now, ran: None };
        self.requests.insert(id, open);
        self.send(now, id, server, actions);
    }

    /// Takes over what another gateway had sent: where that may have run decides whether and where it goes
    /// again. Its units were taken there, and it is no surge to be throttled; how many come is the host's.
    fn go_on(&mut self, now: Millis, request: Request, ran: Ran, actions: &mut Vec<Action>) {
        let (id, class, units) = (request.id, request.class.0, request.units);
        self.ensure_customer(now, request.customer, request.plan, request.set_first, request.set_size);
        if let Some(customer) = self.customers.get_mut(&(request.customer.0 & gossip::ID_MASK)) {
            customer.open += 1;
        }
        let (deadline, at) = (now + request.remaining, now - ran.ago.max(0.0));
        let ran = Some((at, ran.zone, ran.cell));
        let open = Open { request, deadline, attempts: 0, out: None, sent: at, ran };
        // The group drops what begins to run within its window: it may have to wait at its server first.
        let latency = self.latency[class].of(units);
        let begins = now + latency.mean + PATIENCE * 0.5 * latency.deviation;
        let within = self.may_repeat(begins, &open);
        self.requests.insert(id, open);
        match within.and_then(|within| self.choose(now, class, units, None, within)) {
            Some(server) => self.send(now, id, server, actions),
            None => self.give_up(id, actions),
        }
    }

    // ---- Quota and ceiling ----

    fn ensure_customer(&mut self, now: Millis, id: CustomerId, plan: PlanId, first: GatewayId, set: u32) {
        let id = id.0 & gossip::ID_MASK;
        if let Some(known) = self.customers.get_mut(&id) {
            known.used = now;
            return;
        }
        let PlanId(number) = plan;
        let plan = &self.settings.plans[number];
        let group = self.settings.group_size.max(1);
        let set = (first.0 % group, set.clamp(1, group));
        let mut keepers: Vec<u32> = (0..set.1).map(|k| (set.0 + k) % group).collect();
        if !self.tells_all() && keepers.len() > 2 * KEEPERS {
            keepers.sort_by_key(|peer| mix(id ^ mix(u64::from(*peer) + 1)));
            keepers.truncate(KEEPERS);
        }
        let keeper = keepers.contains(&self.settings.me.0);
        keepers.retain(|peer| *peer != self.settings.me.0);
        let kept = keepers.len() + usize::from(keeper) < set.1 as usize;
        // A store that every peer of the set would have told of, had it been used, is full; else
        // the burst is split over the set until counts arrive. Who keeps no store guards the whole.
        let settled = (now - self.born) * plan.rate / 1000.0 >= plan.burst && !self.alone(now);
        let whole = self.first || settled || (kept && !keeper);
        let level = if whole { plan.burst } else { plan.burst / f64::from(set.1) };
        // Ceiling guard: a fresh life may follow one that had spent the share, so the share fills
        // from the moment of birth, unless the whole group was seen to start.
        let share = if self.first { plan.ceiling_burst / f64::from(set.1) } else { 0.0 };
        let customer = Customer {
            plan: number,
            set,
            keepers,
            keeper,
            quota: Bucket { level, at: now },
            ceiling: Bucket { level: share, at: self.born },
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
    fn quota_wait(&mut self, now: Millis, id: u64, units: f64) -> Option<Millis> {
        let advice = self
            .advice
            .get(&id)
            .filter(|(_, at)| now - at < ADVICE_LIFE || self.alone(now))
            .map_or(1.0, |a| a.0);
        let roll = self.rng.rand_float();
        let alone = self.alone(now) && now - self.born > SILENT;
        let customer = self.customers.get_mut(&id)?;
        let plan = &self.settings.plans[customer.plan];
        let set = f64::from(customer.set.1);
        let mut wait = 0.0f64;
        customer.asked += units;
        customer.tell = 2;
        self.news.insert(id);
        if plan.rate > 0.0 {
            // Guards the quota while no peer is heard: what the set's others let in is unknown then, so
            // each lets in its part of the rate. Harm: a customer that comes through one gateway only
            // gets no more than that part. Not where a keeper advises, whose last advice stands.
            let apart = alone && !customer.kept();
            let rate = if apart { plan.rate / set } else { plan.rate };
            let span = (now - customer.quota.at).max(0.0).min(if apart { now - self.heard } else { 0.0 });
            customer.withheld += (plan.rate - rate) * span / 1000.0;
            let level = customer.quota.fill(now, rate, plan.burst);
            customer.ask(now, units);
            let keeps = customer.kept() && customer.keeper;
            let chance = if keeps { customer.chance(now, plan) } else { advice };
            if roll >= chance || (!keeps && level < units) {
                wait = (units - level).max(units) * 1000.0 / plan.rate;
            }
        }
        if plan.ceiling_rate > 0.0 {
            let rate = plan.ceiling_rate / set;
            let level = customer.ceiling.fill(now, rate, plan.ceiling_burst / set);
            wait = wait.max((units - level) * 1000.0 / rate);
        }
        if plan.open > 0.0 && f64::from(customer.open) >= (plan.open / set).max(1.0) {
            wait = wait.max(TICK);
        }
        Some(wait).filter(|wait| *wait > 0.0)
    }

    /// Exception to "empty means refuse": where a plan's settings say that work beyond the quota
    /// earns more than it costs and has no ceiling, it is let in while less is out than a quiet
    /// gateway has. Harm: it loads servers that a sudden surge inside the quotas then finds busier.
    fn may_exceed(&self, now: Millis, customer: u64) -> bool {
        let Some(customer) = self.customers.get(&customer) else { return false };
        let plan = &self.settings.plans[customer.plan];
        let quiet = self.load.level == 0 && self.out(now) < self.onset(1) * SPARE_SHARE;
        quiet && plan.over_worth > plan.over_cost && plan.ceiling_rate <= 0.0 && plan.open <= 0.0
    }

    fn take_units(&mut self, id: u64, units: f64, inside: bool, actions: &mut Vec<Action>) {
        let Some(customer) = self.customers.get_mut(&id) else { return };
        customer.open += 1;
        if inside {
            customer.spend(&self.settings.plans[customer.plan], units);
            let (plan, set) = (customer.plan, customer.set);
            let spent = Spent::Units { customer: id, plan, set, units };
            actions.extend(self.paired.then_some(Action::Share(spent)));
        }
    }

    /// Counts what the other process of this gateway spent as its own: stores, ceilings and what cold
    /// servers may get hold for both together, later than at once by the time that telling takes.
    fn share(&mut self, now: Millis, spent: Spent) {
        match spent {
            Spent::Units { customer, plan, set, units } if plan < self.settings.plans.len() => {
                self.ensure_customer(now, CustomerId(customer), PlanId(plan), GatewayId(set.0), set.1);
                let Some(known) = self.customers.get_mut(&customer) else { return };
                let plan = &self.settings.plans[known.plan];
                known.quota.fill(now, plan.rate, plan.burst);
                let set = f64::from(known.set.1);
                known.ceiling.fill(now, plan.ceiling_rate / set, plan.ceiling_burst / set);
                known.spend(plan, units);
                known.ask(now, units);
                known.tell = 2;
                self.news.insert(customer);
            }
            Spent::Units { .. } => {}
            Spent::Cold { server: id, work } => {
                let all_cold = self.all_cold(now);
                let budget = |server| self.cold_budget(now, server, all_cold);
                let Some(budget) = self.servers.get(&id).map(budget) else {
                    return;
                };
                if let Some(server) = self.servers.get_mut(&id) {
                    server.cold = Bucket { level: budget.level - work, ..budget };
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
            let (plan, set) = (&self.settings.plans[customer.plan], f64::from(customer.set.1));
            customer.quota.level += plan.burst * (1.0 - 1.0 / set);
            customer.ceiling.level += plan.ceiling_burst / set;
        }
    }

    /// Whether peers are few enough for each to be told often (or nobody can be told).
    fn tells_all(&self) -> bool {
        let peers = f64::from(self.settings.group_size.max(1) - 1);
        let mail = self.settings.mail_per_s;
        mail <= 0.0 || peers * 1000.0 <= mail * MAIL_SHARE * ALL_TOLD
    }

    // ---- Choice of a server ----

    /// The server that promises the soonest answer among those that may have the work; those out of
    /// favour only when nothing else is left.
    fn choose(
        &mut self,
        now: f64,
        class: usize,
        units: f64,
        last: Option<ServerId>,
        group: Within,
    ) -> Option<ServerId> {
        let expected = self.latency[class].of(units).mean;
        let (all_cold, mut best) = (self.all_cold(now), None);
        for (id, server) in &self.servers {
            let in_group = match group {
                Some((Group::Zone, zone, _)) => server.info.zone == zone,
                Some((Group::Cell, _, cell)) => server.info.cell == cell,
                _ => true,
            };
            if !self.may_take(server) || !in_group || !self.cold_room(now, server, all_cold) {
                continue;
            }
            let on_trial = server.strikes >= STRIKES && !server.out.is_empty();
            let poor = now < server.ejected_until || on_trial || last == Some(*id);
            let cost = (poor, self.cost(now, expected, server, all_cold), self.rng.rand_float());
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, *id));
            }
        }
        best.map(|(_, id)| id)
    }

    /// Whether it may get anything new: in service, and not out of it by hand.
    fn may_take(&self, server: &Backend) -> bool {
        server.info.condition == Condition::InService && !self.banned.contains(&server.info.id)
    }

    /// Expected time to an answer, in usual answers: by the work of what is out and not by its number, as a
    /// large request holds a server for as long as many small ones.
    fn cost(&self, now: Millis, expected: Millis, server: &Backend, all_cold: bool) -> f64 {
        let usual = self.usual();
        let out = server.out.values().map(|sent| sent.usual).sum::<Millis>() / usual;
        // Guards against servers that stand still or answer nothing, whatever the reason: silence with
        // work out, longer than that work explains, counts as slowness at once.
        let silence = |sent: &Sent| (now - sent.at.max(server.heard)) / sent.usual.max(1.0);
        let worst = server.out.values().map(silence).fold(0.0f64, f64::max);
        let stall = (worst / (STALL * server.ratio)).max(1.0);
        // While congested a cold server takes the whole part that its guard allows. Who is picked for it
        // sends for all who are not: else it gets its few gateways' own small part, and stands idle.
        let warmth = self.warmth(now, &server.info);
        let picked = if warmth < 1.0 { self.cold_limit(now, server, all_cold).1 } else { f64::INFINITY };
        let stands_for = (f64::from(self.settings.group_size) / picked).max(1.0);
        let warmth = if self.load.level > 0 { 1.0 } else { warmth };
        (out + expected / usual + server.queue) * server.ratio * stall / (warmth * stands_for)
    }

    /// Mean latency of what was answered; before any answer, that of the classes.
    fn usual(&self) -> Millis {
        let first = || self.latency.iter().map(|class| class.all.mean).fold(f64::INFINITY, f64::min);
        if self.load.usual > 0.0 { self.load.usual } else { first() }.max(1.0)
    }

    /// Share of its capacity that a server has at least by now.
    fn warmth(&self, now: Millis, info: &Server) -> f64 {
        let rules = &self.settings.rules;
        // Guards servers that the people on call restarted: the list may tell of that late, or not at all.
        let started = info.started.into_iter().chain(self.returned.get(&info.id).copied()).reduce(f64::max);
        match started {
            Some(started) if rules.warm_after > 0.0 && now - started < rules.warm_after => {
                let part = (now - started).max(0.0) / rules.warm_after;
                (rules.cold_from + (1.0 - rules.cold_from) * part).clamp(0.01, 1.0)
            }
            _ => 1.0,
        }
    }

    /// Cold guard: a server that is not surely warm gets work from a few gateways only, picked by a
    /// hash that all share, each within its part of the joint limit. Covers restarts, deploys and
    /// replacements of all kinds and any number of gateways that hear nothing of each other; harm:
    /// when the whole fleet is cold, requests are refused that it might have borne.
    fn cold_room(&self, now: Millis, server: &Backend, all_cold: bool) -> bool {
        self.warmth(now, &server.info) >= 1.0 || self.cold_budget(now, server, all_cold).level > 0.0
    }

    /// No warm server is there, or was ever seen.
    fn all_cold(&self, now: Millis) -> bool {
        self.load.carry <= 0.0 && self.servers.values().all(|server| self.warmth(now, &server.info) < 1.0)
    }

    /// Requests of usual work a second that are held to fell a cold server, and how many gateways may send
    /// to it.
    fn cold_limit(&self, now: Millis, server: &Backend, all_cold: bool) -> (f64, f64) {
        let rules = &self.settings.rules;
        // Guards a fleet that is all cold, of whose like nothing was ever seen: what runs at all does one
        // usual request after the other, and answers tell how long one takes.
        let alone = server.info.size.min(1.0) * 1000.0 / self.usual() * self.cold_times();
        let carry = if self.load.carry > 0.0 { self.load.carry * server.info.size } else { alone };
        let rate = rules.fall_multiple * self.warmth(now, &server.info) * carry;
        let limit = rate.max(0.0) * rules.fall_time / 1000.0;
        let picked = match all_cold {
            true => COLD_SHARE * limit,
            false => (COLD_GATEWAYS * limit).max(COLD_FEW.min(limit / COLD_FEW)),
        };
        // No more than there are: what would be set aside for others yet would be nobody's.
        (rate.max(0.0), picked.max(1.0).floor().min(f64::from(self.settings.group_size.max(1))))
    }

    /// Guards a fleet that is all cold from being held for good to one request after the other: that is
    /// little where a server has several cores, and its answers are slow for being cold. Queues fill long
    /// before a server falls, so all ask for more, little by little, while reports say that they are
    /// empty. Covers servers that report their queue; harm: who hears of them seldom asks for less.
    fn learn_cold_times(&mut self, now: Millis, span: Millis) {
        if now - self.load.cold_told > COLD_NEWS || !self.all_cold(now) {
            return;
        }
        let step = span.min(TICK * 2.0) / 1000.0;
        let times = match self.load.cold_waits < COLD_WAITS {
            true => self.cold_times() * (1.0 + COLD_GROWTH * step),
            false => self.cold_times() / (1.0 + step),
        };
        self.load.cold_times = times;
    }

    /// How many times the guess cold servers are held to bear.
    fn cold_times(&self) -> f64 {
        self.load.cold_times.clamp(1.0, COLD_MOST)
    }

    /// What this gateway may still send to a cold server, in requests of usual work.
    fn cold_budget(&self, now: Millis, server: &Backend, all_cold: bool) -> Bucket {
        let span = self.settings.rules.fall_time / 1000.0;
        let (rate, picked) = self.cold_limit(now, server, all_cold);
        let all = f64::from(self.settings.group_size.max(1));
        // Guards gateways that would have no server while there is no warm one: they take turns of as
        // long as it takes to fell one, and share the rate over all turns. Golden steps deal turns out
        // evenly, and alike at all that know the same servers, whatever each has learnt.
        let (mine, shared_by) = if all_cold && picked < all {
            let turn = (now / self.settings.rules.fall_time).floor() + f64::from(self.settings.me.0);
            ((turn * GOLDEN + server.turn).fract() < picked / all, all)
        } else {
            (f64::from(server.rank) < picked, picked)
        };
        let rate = f64::from(u8::from(mine)) * COLD_SHARE * rate / shared_by;
        let mut budget = server.cold;
        budget.fill(now, rate, rate * span * COLD_BURST);
        budget
    }

    /// How many gateways come before this one in the hashed order for a life of a server.
    fn rank(&self, server: &Server) -> u32 {
        let life = u64::from(server.id.0) << 32 ^ server.started.unwrap_or(0.0).to_bits();
        let score = |gateway: u32| (mix(life ^ mix(u64::from(gateway))), gateway);
        let mine = score(self.settings.me.0);
        (0..self.settings.group_size).filter(|other| score(*other) < mine).count() as u32
    }

    // ---- Attempts and answers ----

    /// Sends an attempt. All sends pass here: no second attempt out, none to a server that drains.
    fn send(&mut self, now: Millis, id: RequestId, to: ServerId, actions: &mut Vec<Action>) {
        let Some(timeout) = self.patience(now, id) else { return };
        let (Some(open), Some(server)) = (self.requests.get_mut(&id), self.servers.get_mut(&to)) else {
            return;
        };
        if open.out.is_some() || server.info.condition != Condition::InService || self.banned.contains(&to) {
            return;
        }
        let usual = self.latency[open.request.class.0].of(open.request.units).mean;
        server.out.insert((id, open.attempts), Sent { at: now, usual });
        open.attempts += 1;
        open.out = Some(to);
        open.sent = now;
        actions.push(Action::Send { request: id, server: to, timeout });
        let mut cold = self.cold_budget(now, &self.servers[&to], self.all_cold(now));
        let work = usual / self.usual();
        cold.level -= work;
        let Some(server) = self.servers.get_mut(&to) else { return };
        server.cold = cold;
        if self.paired && self.warmth(now, &self.servers[&to].info) < 1.0 {
            actions.push(Action::Share(Spent::Cold { server: to, work }));
        }
    }

    /// How long the next attempt may take: all the time left, unless a further one could still be in time.
    fn patience(&self, now: Millis, id: RequestId) -> Option<Millis> {
        let open = self.requests.get(&id)?;
        let mut left = open.deadline - now;
        let class = &self.settings.classes[open.request.class.0];
        // What is taken over is given up with its window: what waits at a server until then is not to run.
        if let (Some(_), Some((at, ..)), Effect::Keyed { window, .. }) =
            (open.request.ran, open.ran, class.effect)
        {
            left = left.min(at + window - now);
        }
        let latency = self.latency[open.request.class.0].of(open.request.units);
        let repeatable = class.effect != Effect::Unsafe && open.attempts == 0;
        let usual = (latency.mean + PATIENCE * latency.deviation).max(class.aim - REPEAT * latency.mean);
        let in_window = match class.effect {
            Effect::Keyed { window, .. } => usual < window * (1.0 - WINDOW_MARGIN),
            _ => true,
        };
        let worth_it = self.load.level == 0 && usual + latency.mean < left && self.settings.try_limit > 1;
        Some(if repeatable && in_window && worth_it { usual } else { left })
    }

    /// An attempt ended: done, tried elsewhere, or answered.
    fn conclude(&mut self, now: Millis, attempt: &Attempt, actions: &mut Vec<Action>) {
        let (id, server) = (attempt.request, attempt.server);
        let Some(open) = self.requests.get_mut(&id) else { return };
        open.out = None;
        if let (true, Some(units)) = (self.settings.settles, attempt.units) {
            let more = units - open.request.units;
            if let Some(customer) = self.customers.get_mut(&(open.request.customer.0 & gossip::ID_MASK)) {
                customer.quota.level -= more;
                customer.own = (customer.own + more).max(0.0);
                customer.tell = 2;
            }
        }
        if attempt.ended {
            self.finish(id);
            return;
        }
        if !attempt.outcome.never_ran() {
            let (zone, cell) = self.servers.get(&server).map_or((0, 0), |s| (s.info.zone, s.info.cell));
            open.ran.get_or_insert((open.sent, zone, cell));
        }
        let next = if attempt.repeatable { self.next_server(now, id, server) } else { None };
        match next {
            Some(next) => self.send(now, id, next, actions),
            None => self.give_up(id, actions),
        }
    }

    /// Where a further attempt may go, if the rules, the time and the retry budget allow one.
    fn next_server(&mut self, now: Millis, id: RequestId, last: ServerId) -> Option<ServerId> {
        let open = self.requests.get(&id)?;
        let (class, units) = (open.request.class.0, open.request.units);
        let usual = self.latency[class].of(units).mean;
        if open.attempts >= self.settings.try_limit || now + usual * 0.5 > open.deadline {
            return None;
        }
        let group = self.may_repeat(now, open)?;
        if open.ran.is_some() {
            if self.load.level > 0 || self.retries < 1.0 {
                return None;
            }
            self.retries -= 1.0;
        }
        self.choose(now, class, units, Some(last), group)
    }

    /// Effect guard: what may have run goes out again only where a repeat is harmless.
    fn may_repeat(&self, now: Millis, open: &Open) -> Option<Within> {
        match (open.ran, self.settings.classes[open.request.class.0].effect) {
            (None, _) | (Some(_), Effect::Safe) => Some(None),
            (Some(_), Effect::Unsafe) => None,
            (Some((at, zone, cell)), Effect::Keyed { group, window }) => {
                let inside = now - at <= window * (1.0 - WINDOW_MARGIN);
                inside.then_some(Some((group, zone, cell)))
            }
        }
    }

    /// The final answer, at once: a refusal that says when to come back if that is harmless, else a failure.
    fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.finish(id) else { return };
        let harmless = match (open.ran, self.settings.classes[open.request.class.0].effect) {
            (None, _) | (_, Effect::Safe) => true,
            (_, Effect::Keyed { group, .. }) => group == Group::All,
            (_, Effect::Unsafe) => false,
        };
        let pause = self.latency[open.request.class.0].all.mean; // One usual answer later.
        let refusal = Action::Refuse { request: id, retry_after: pause.min(self.settings.max_retry_after) };
        actions.push(if harmless { refusal } else { Action::Fail { request: id } });
    }

    fn finish(&mut self, id: RequestId) -> Option<Open> {
        let open = self.requests.remove(&id)?;
        if let Some(customer) = self.customers.get_mut(&(open.request.customer.0 & gossip::ID_MASK)) {
            customer.open = customer.open.saturating_sub(1);
        }
        Some(open)
    }

    // ---- What is learned of servers ----

    fn learn(&mut self, now: Millis, attempt: &Attempt, actions: &mut Vec<Action>) {
        let id = attempt.server;
        let kind = self.requests.get(&attempt.request).map(|o| (o.request.class.0, o.request.units));
        if let Some(server) = self.servers.get_mut(&id) {
            server.out.remove(&(attempt.request, attempt.attempt));
            server.heard = now;
            server.queue = attempt.report.queue.unwrap_or(server.queue);
        }
        let cold = self.servers.get(&id).is_some_and(|server| self.warmth(now, &server.info) < 1.0);
        if let (Some(waits), true) = (attempt.report.queue, cold) {
            self.load.cold_waits += (waits - self.load.cold_waits) * COLD_WEIGHT;
            self.load.cold_told = now;
        }
        let before_gap = now - attempt.elapsed < self.woke;
        if let (Some(server), Some(fault), false) =
            (self.servers.get_mut(&id), attempt.outcome.fault(), before_gap)
        {
            server.faults += (fault - server.faults) * GAIN;
        }
        match attempt.outcome {
            Outcome::Ok if before_gap => self.load.answered += 1.0,
            _ if before_gap => {}
            Outcome::Ok => self.learn_latency(now, kind, id, attempt.elapsed),
            Outcome::Timeout | Outcome::Error | Outcome::Reset => self.strike(now, id, 1.0, false, actions),
            Outcome::ConnectFailed => self.strike(now, id, STRIKES, true, actions),
            Outcome::Full => self.strike(now, id, 0.5, false, actions),
            Outcome::Cancelled | Outcome::Moot => {}
        }
        self.check_congestion(now, actions);
    }

    fn learn_latency(&mut self, now: Millis, kind: Option<(usize, f64)>, id: ServerId, elapsed: Millis) {
        self.load.answered += 1.0;
        let Some((class, units)) = kind else { return };
        let serves = |server: &Backend| self.may_take(server) && self.warmth(now, &server.info) >= 1.0;
        let warm = self.servers.get(&id).is_some_and(serves);
        self.load.warm_share += (f64::from(u8::from(warm)) - self.load.warm_share) * GAIN;
        if elapsed <= self.settings.classes[class].aim * AIM_SHARE {
            self.load.quick = now;
        }
        // The mean of all answers so far at first: where traffic is thin, a life would else go by the
        // least of the aims, and refuse what could wait, for most of a minute.
        self.load.aims += 1.0;
        self.aim += (self.settings.classes[class].aim - self.aim) * (GAIN * GAIN).max(1.0 / self.load.aims);
        let latency = &mut self.latency[class];
        latency.learn(units, elapsed, GAIN);
        let relative = elapsed / latency.of(units).mean.max(1.0);
        let usual = if self.load.usual > 0.0 { self.load.usual } else { latency.all.mean };
        self.load.usual = usual + (latency.all.mean - usual) * GAIN;
        if let Some(server) = self.servers.get_mut(&id) {
            server.ratio += (relative - server.ratio) * GAIN;
            server.strikes *= 0.5;
            if server.strikes < 0.5 {
                server.ejection = 0.0;
            }
        }
    }

    /// Outlier ejection: covers servers that are silent, down, refuse or err, whatever the cause; a
    /// fault that all share ejects none. Harm: a few unlucky outcomes rest a sound server a second.
    fn strike(&mut self, now: Millis, id: ServerId, weight: f64, cut: bool, actions: &mut Vec<Action>) {
        let (mut count, mut strikes, mut ejected) = (0.0f64, 0.0, 0.0);
        for server in self.servers.values().filter(|s| s.info.condition == Condition::InService) {
            count += 1.0;
            strikes += server.strikes;
            ejected += f64::from(u8::from(now < server.ejected_until));
        }
        let mean = strikes / count.max(1.0);
        // Guards against resting one server after the other for what strikes them all: of connections that
        // break by chance some break twice running, at whichever server.
        let fellow =
            |(other, s): &(&ServerId, &Backend)| **other != id && s.info.condition == Condition::InService;
        let mut fellows: Vec<f64> = self.servers.iter().filter(fellow).map(|(_, s)| s.faults).collect();
        fellows.sort_by(f64::total_cmp);
        let usual = fellows.get(fellows.len().saturating_sub(1) / 2).copied().unwrap_or(0.0);
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.strikes += weight;
        let outlier = server.strikes >= STRIKES
            && server.strikes >= STRIKES_OVER_FELLOWS * mean
            && server.faults > 2.0 * usual + FAULTS_OVER_FELLOWS;
        // What takes no connection rests whatever its fellows do: others may hold connections that
        // still work (a full table, a cut link), and where none is left the choice falls back on all.
        let rests = cut || (outlier && ejected + 1.0 <= count * EJECT_SHARE);
        if rests && now >= server.ejected_until {
            server.ejection = (server.ejection * 2.0).clamp(EJECT_MIN, EJECT_MAX);
            server.ejected_until = now + server.ejection;
            self.log(now, "ejected a server: it fails more than its fellows", actions);
        }
    }

    fn membership(&mut self, now: Millis, news: Membership) {
        let full = matches!(news, Membership::Full(_));
        let (Membership::Full(lines) | Membership::Changes(lines)) = news else { return };
        if full {
            for (id, server) in &mut self.servers {
                if !lines.iter().any(|line| line.id == *id) {
                    server.info.condition = Condition::Gone;
                }
            }
        }
        for line in lines {
            let rank = self.rank(&line);
            match self.servers.get_mut(&line.id) {
                Some(server) if server.info.started == line.started => server.info = line,
                known => {
                    let out = known.map(|old| std::mem::take(&mut old.out)).unwrap_or_default();
                    self.servers.insert(line.id, Backend { out, rank, ..Backend::new(line, now) });
                }
            }
        }
        self.servers.retain(|_, s| s.info.condition != Condition::Gone || !s.out.is_empty());
        let count = self.servers.len() as f64;
        self.servers.values_mut().enumerate().for_each(|(place, server)| server.turn = place as f64 / count);
    }

    /// Takes a server out by hand, or puts it back: as one that has just started and of which nothing is
    /// known, since it was most likely taken out to be restarted. Saying either again changes nothing.
    fn maintain(&mut self, now: Millis, id: ServerId, out: bool, actions: &mut Vec<Action>) {
        if out {
            self.banned.insert(id);
            let left = self.servers.values().any(|server| self.may_take(server));
            if !left {
                self.log(now, "no server is left in service: the last was taken out by hand", actions);
            }
        } else if self.banned.remove(&id) {
            self.returned.insert(id, now);
            if let Some(server) = self.servers.get_mut(&id) {
                let (out, rank, turn) = (std::mem::take(&mut server.out), server.rank, server.turn);
                *server = Backend { out, rank, turn, ..Backend::new(server.info.clone(), now) };
            }
        }
    }

    // ---- Peers and housekeeping ----

    /// Time between gossip messages: the tick, or longer where the few peers take in less.
    fn period(&self) -> Millis {
        let peers = f64::from(self.settings.group_size.max(1) - 1);
        let full = 1000.0 * peers / (self.settings.mail_per_s * MAIL_SHARE).max(0.001);
        TICK.max(full.min(ALL_TOLD) * f64::from(u8::from(self.tells_all())))
    }

    fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        actions.push(Action::Schedule { delay: self.period(), token: TICK_TOKEN });
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
        let sizes = warm.map(|s| s.info.size.max(0.01)).sum::<f64>();
        if sizes > 0.0 {
            let group = f64::from(self.settings.group_size.max(1));
            let carry = joint * self.load.warm_share * group / sizes;
            let rise = (carry - self.load.carry).min(self.load.carry.max(1.0)) * span / CARRY_TIME;
            let young = now - self.born < PEAK_TIME;
            let fall = self.load.carry * (1.0 - span / CARRY_TIME).max(0.0);
            self.load.carry =
                if young { carry } else { carry.min(self.load.carry + rise.max(0.0)).max(fall) };
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
            let refill = plans[c.plan].burst * 1000.0 / plans[c.plan].rate.max(0.001);
            c.open > 0 || now - c.used < IDLE.max(2.0 * refill)
        });
        let warm_after = self.settings.rules.warm_after;
        self.returned.retain(|_, at| now - *at < warm_after);
        self.kept.retain(|id| self.customers.contains_key(id));
        self.news.retain(|id| self.customers.contains_key(id));
        self.advice.retain(|id, (_, at)| now - *at < ADVICE_LIFE || self.customers.contains_key(id));
    }

    /// Tells news of customers to those that keep their stores, what is most untold for its plan first.
    /// Where peers are few, all of the set keep it, counts are cumulative and told twice, so that one
    /// lost message heals with the next. Among many, the keepers tell the set in turn with what chance
    /// to let a customer in while that is below one; all within the peers' intake.
    fn gossip(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.settings.mail_per_s <= 0.0 {
            return;
        }
        let all = self.tells_all();
        // One of many writes just when it has news, hence with more out than at other times: the moment's
        // count would tell its peers several times its mean.
        let out = if all { self.loaded(now) } else { self.load.out };
        let header = gossip::Writer::new(self.life as u32, out, self.load.rate);
        let mut mail: BTreeMap<u32, gossip::Writer> = BTreeMap::new();
        if all {
            let peers = (0..self.settings.group_size).filter(|peer| *peer != self.settings.me.0);
            mail.extend(peers.map(|peer| (peer, header.clone())));
        }
        let pace = self.settings.mail_per_s * 2.0 * MAIL_SHARE;
        let mut room = self.mail.fill(now, pace, pace * GATHER / 1000.0);
        let mut order: Vec<(f64, u64)> = Vec::new();
        for id in &self.news {
            let customer = &self.customers[id];
            let pressed = self.advice.get(id).is_some_and(|(chance, _)| *chance < 1.0);
            if all || now - customer.told_at >= if pressed { GATHER_PRESSED } else { GATHER } {
                order.push((customer.asked / self.settings.plans[customer.plan].burst.max(1.0), *id));
            }
        }
        order.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, id) in order {
            let Some(customer) = self.customers.get_mut(&id) else { continue };
            let fresh = customer.keepers.iter().filter(|peer| !mail.contains_key(peer)).count() as f64;
            if fresh > room {
                continue;
            }
            room -= fresh;
            let entry = customer.count(id);
            let write = |peer: &u32| mail.entry(*peer).or_insert_with(|| header.clone()).push(entry);
            let unfit = customer.keepers.iter().map(write).filter(|fits| !fits).count();
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
        let every = 1000.0 / (self.settings.mail_per_s * ADVICE_SHARE);
        for id in &self.kept {
            let Some(customer) = self.customers.get_mut(id) else { continue };
            let chance = customer.chance(now, &self.settings.plans[customer.plan]);
            if chance < 1.0 {
                // When the pressure ends, each member is told once more.
                customer.owed = customer.set.1;
            }
            customer.advised = customer.advised.max(now - GATHER);
            while customer.owed > 0 && now - customer.advised >= every && room >= 1.0 {
                let peer = (customer.set.0 + customer.cursor) % self.settings.group_size;
                customer.cursor = (customer.cursor + 1) % customer.set.1;
                customer.owed -= 1;
                if peer != self.settings.me.0 {
                    customer.advised += every;
                    room -= f64::from(u8::from(!mail.contains_key(&peer)));
                    let message = mail.entry(peer).or_insert_with(|| header.clone());
                    message.push(Entry::Advice { customer: *id, chance });
                }
            }
        }
        self.mail.level = room;
        for (peer, message) in mail {
            actions.push(Action::Tell { to: Some(GatewayId(peer)), bytes: message.finish() });
        }
    }

    /// Takes a peer's message. An older life is ignored, and a new one starts from nothing, so a
    /// restart is no refund.
    fn hear(&mut self, now: Millis, from: GatewayId, bytes: &[u8]) {
        let Some(message) = gossip::read(bytes) else { return };
        if from == self.settings.me || from.0 >= self.settings.group_size {
            return;
        }
        let told = gossip::whole_life(message.life, now);
        let life = *self.peers.entry(from.0).or_insert(told);
        if told < life {
            return;
        }
        if told > life && message.life != life as u32 {
            self.peers.insert(from.0, told);
            self.customers.values_mut().for_each(|customer| _ = customer.told.remove(&from.0));
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
                Entry::Count { customer, plan, first, size, units, asked } => {
                    // A keeper may never be asked for a customer itself.
                    if !self.tells_all() && plan < self.settings.plans.len() {
                        let id = CustomerId(customer);
                        self.ensure_customer(now, id, PlanId(plan), GatewayId(first), size);
                    }
                    self.take_count(now, from.0, customer, units, asked);
                }
                Entry::Advice { customer, chance } => drop(self.advice.insert(customer, (chance, now))),
            }
        }
    }

    /// What peers let in is taken from the store here. Cumulative counts heal losses and need no order.
    fn take_count(&mut self, now: Millis, from: u32, id: u64, units: f64, asked: f64) {
        // Counts of a life older than ours hold use from before our time: only what comes on top counts.
        let older = self.peers[&from] as f64 + COMMON_START < self.life as f64;
        let Some(customer) = self.customers.get_mut(&id) else { return };
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
        customer.quota.fill(now, plan.rate, plan.burst);
        customer.quota.take(fresh - held_back, -plan.burst);
        customer.ask(now, asked);
    }

    fn log(&mut self, now: Millis, text: &'static str, actions: &mut Vec<Action>) {
        if self.logged.get(text).is_none_or(|at| now - at >= LOG_EVERY) {
            self.logged.insert(text, now);
            actions.push(Action::Log(text.to_string()));
        }
    }
}
