//! Admission: congestion by hysteresis, percentage throttling, and what a new request meets.

use super::*;

/// Thresholds of the paper's examples: used until throughput is known, and their ratio for good.
const PAPER_ONSET: f64 = 62.0;
const PAPER_ABATEMENT: f64 = 50.0;
/// Refusal chance by congestion level: the paper's one cut as a ladder, early and small first. Each
/// level's thresholds lie a share of the first onset higher that is less than the paper's gap.
const CUT: [f64; 6] = [0.0, 0.2, 0.4, 0.6, 0.8, 0.95];
pub(crate) const LEVELS: usize = CUT.len();
const LEVEL_STEP: f64 = 0.15;
/// The onset is at least so many attempts a server over all gateways.
const LEAST_OUT: f64 = 2.0;
/// Where peers are too many to tell each, attempts outstanding are smoothed over this part of the time
/// between two own attempts (0.2 to 0.5 did alike for 100 and 300; 1 lost a tenth of a full back end).
const OUT_PART: f64 = 0.35;

impl Gateway {
    /// Mean over all gateways. Exception to the source's own buffer: where a gateway has about one
    /// attempt out, its own count is noise, so the thresholds are held against the mean of what peers
    /// tell; alone again once no peer was heard for a while.
    pub(super) fn joint(&self, now: Millis, own: f64, peers: f64) -> f64 {
        let others = if self.alone(now) {
            0.0
        } else {
            f64::from(self.settings.group_size.max(1) - 1)
        };
        (own + others * peers) / (1.0 + others)
    }

    /// Onset of a level above 0. Little's law: throughput times the part of the aim that an attempt
    /// may take is the number of attempts that may be out; the paper's figure stands until seen.
    pub(super) fn onset(&self, level: usize) -> f64 {
        let seen = self.load.peak * self.aim * AIM_SHARE / 1000.0;
        let guess =
            LEAST_OUT * self.servers.len() as f64 / f64::from(self.settings.group_size.max(1));
        let least = if self.load.reported_capacity > 0.0 {
            self.load.reported_capacity
        } else {
            guess
        };
        let first = if seen > 0.0 {
            seen.max(least)
        } else {
            PAPER_ONSET
        };
        first * (1.0 + LEVEL_STEP * (level.max(1) - 1) as f64)
    }

    /// After each outcome, and on ticks for one of many: strictly above the next onset a level up, at or
    /// below the present abatement a level down, unchanged in between.
    pub(super) fn check_congestion(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let out = self.out(now);
        if self.load.level + 1 < CUT.len() && out > self.onset(self.load.level + 1) {
            self.load.level += 1;
            self.log(
                now,
                "congested: more attempts outstanding than the onset",
                actions,
            );
        } else if self.load.level > 0
            && out <= self.onset(self.load.level) * PAPER_ABATEMENT / PAPER_ONSET
        {
            self.load.level -= 1;
        }
    }

    /// Attempts outstanding of a mean gateway: of its own count, smoothed where one of many hears no peer.
    pub(super) fn out(&self, now: Millis) -> f64 {
        if self.alone(now) && !self.tells_all() {
            self.load.out
        } else {
            self.joint(now, self.loaded(now), self.load.peers_out)
        }
    }

    /// How long own attempts outstanding are smoothed for: part of the time between two own attempts, so
    /// that what is told is a mean and is no older than it must be; for long where no peer is heard.
    pub(super) fn out_time(&self, now: Millis) -> Millis {
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
    pub(super) fn loaded(&self, now: Millis) -> f64 {
        let quick = now - self.load.quick <= self.aim;
        let counts = |server: &Backend| {
            let oldest = server
                .out
                .values()
                .fold(now, |oldest, sent| oldest.min(sent.at));
            let hangs = quick && now - oldest.max(server.heard) > self.aim;
            server
                .out
                .values()
                .filter(|sent| !hangs && sent.at >= self.woke)
                .count()
        };
        self.servers
            .values()
            .filter(|s| !s.out.is_empty())
            .map(counts)
            .sum::<usize>() as f64
    }

    /// A request arrives: throttle, quota, ceiling, then a server; whatever says no refuses at once.
    pub(super) fn arrive(&mut self, now: Millis, request: Request, actions: &mut Vec<Action>) {
        let (id, class, plan) = (request.id, request.class.0, request.plan.0);
        if self.requests.contains_key(&id) {
            return;
        }
        if class >= self.settings.classes.len() || plan >= self.settings.plans.len() {
            actions.push(Action::Reject {
                request: id,
                retry_after: 0.0,
            });
            return;
        }
        if let Some(ran) = request.prior_attempt {
            return self.go_on(now, request, ran, actions);
        }
        self.retries = (self.retries + RETRY_SHARE).min(RETRY_BURST);
        let customer = request.customer.0 & gossip::ID_MASK;
        let pause = self.settings.classes[class].latency_target * AIM_SHARE;
        let throttled = self.load.level > 0 && self.rng.rand_float() < CUT[self.load.level];
        self.ensure_customer(now, request.customer, request.plan, request.gateways);
        let waiting = if throttled {
            None
        } else {
            self.quota_wait(now, customer, request.units)
        };
        let spare = waiting.is_some() && self.may_exceed(now, customer);
        let refusal = if throttled {
            Some(pause)
        } else {
            waiting.filter(|_| !spare)
        };
        let server = if refusal.is_none() {
            self.choose(now, class, request.units, None, None)
        } else {
            None
        };
        let Some(server) = server else {
            if refusal.is_none() {
                self.log(
                    now,
                    "no server may take work: none in service, or all cold ones spent",
                    actions,
                );
            }
            let retry_after = refusal.unwrap_or(pause).min(self.settings.max_retry_after);
            actions.push(Action::Reject {
                request: id,
                retry_after,
            });
            return;
        };
        self.take_units(customer, request.units, !spare, actions);
        let deadline = now + request.remaining;
        let open = Open {
            request,
            deadline,
            attempts: 0,
            out: None,
            sent: now,
            ran: None,
        };
        self.requests.insert(id, open);
        self.send(now, id, server, actions);
    }
}
