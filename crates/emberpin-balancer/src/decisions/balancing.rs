//! Load balancing: the choice of a server, and the slow start of cold ones.

use super::*;

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
pub(super) const COLD_NEWS: Millis = 2_000.0;
pub(super) const COLD_WEIGHT: f64 = 0.5;
/// The golden ratio's part: steps of it round a circle never come close to one another.
const GOLDEN: f64 = 0.618_033_988_749_895;

impl Gateway {
    /// The server that promises the soonest answer among those that may have the work; those out of
    /// favour only when nothing else is left.
    pub(super) fn choose(
        &mut self,
        now: f64,
        class: usize,
        units: f64,
        last: Option<ServerId>,
        scope: Option<RetryScope>,
    ) -> Option<ServerId> {
        let expected = self.latency[class].of(units).mean;
        let (all_cold, mut best) = (self.all_cold(now), None);
        for (id, server) in &self.servers {
            let in_scope = scope.is_none_or(|scope| scope.contains(&server.info));
            if !self.may_take(server) || !in_scope || !self.cold_room(now, server, all_cold) {
                continue;
            }
            let on_trial = server.strikes >= health::STRIKES && !server.out.is_empty();
            let poor = now < server.ejected_until || on_trial || last == Some(*id);
            let cost = (
                poor,
                self.cost(now, expected, server, all_cold),
                self.rng.rand_float(),
            );
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, *id));
            }
        }
        best.map(|(_, id)| id)
    }

    /// Whether it may get anything new: in service, and not out of it by hand.
    pub(crate) fn may_take(&self, server: &Backend) -> bool {
        server.info.status == ServerStatus::InService && !self.banned.contains(&server.info.id)
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
        let picked = if warmth < 1.0 {
            self.cold_limit(now, server, all_cold).1
        } else {
            f64::INFINITY
        };
        let stands_for = (f64::from(self.settings.group_size) / picked).max(1.0);
        let warmth = if self.load.level > 0 { 1.0 } else { warmth };
        let away = if server.info.zone == self.settings.zone {
            1.0
        } else {
            self.settings.cross_zone_slowdown
        };
        (out + expected / usual + server.queue) * server.ratio * stall * away
            / (warmth * stands_for)
    }

    /// Mean latency of what was answered; before any answer, that of the classes.
    pub(super) fn usual(&self) -> Millis {
        let first = || {
            self.latency
                .iter()
                .map(|class| class.all.mean)
                .fold(f64::INFINITY, f64::min)
        };
        if self.load.usual > 0.0 {
            self.load.usual
        } else {
            first()
        }
        .max(1.0)
    }

    /// Share of its capacity that a server has at least by now.
    pub(super) fn warmth(&self, now: Millis, info: &Server) -> f64 {
        let rules = &self.settings.slow_start;
        // Guards servers that the people on call restarted: the list may tell of that late, or not at all.
        let started = info
            .started_at
            .into_iter()
            .chain(self.returned.get(&info.id).copied())
            .reduce(f64::max);
        match started {
            Some(started) if rules.duration > 0.0 && now - started < rules.duration => {
                let part = (now - started).max(0.0) / rules.duration;
                (rules.initial_capacity + (1.0 - rules.initial_capacity) * part).clamp(0.01, 1.0)
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
    pub(super) fn all_cold(&self, now: Millis) -> bool {
        self.load.carry <= 0.0
            && self
                .servers
                .values()
                .all(|server| self.warmth(now, &server.info) < 1.0)
    }

    /// Requests of usual work a second that are held to fell a cold server, and how many gateways may send
    /// to it.
    fn cold_limit(&self, now: Millis, server: &Backend, all_cold: bool) -> (f64, f64) {
        let rules = &self.settings.slow_start;
        // Guards a fleet that is all cold, of whose like nothing was ever seen: what runs at all does one
        // usual request after the other, and answers tell how long one takes.
        let alone = server.info.capacity.min(1.0) * 1000.0 / self.usual() * self.cold_times();
        let carry = if self.load.carry > 0.0 {
            self.load.carry * server.info.capacity
        } else {
            alone
        };
        let rate = rules.overload_multiple * self.warmth(now, &server.info) * carry;
        let limit = rate.max(0.0) * rules.overload_time / 1000.0;
        let picked = match all_cold {
            true => COLD_SHARE * limit,
            false => (COLD_GATEWAYS * limit).max(COLD_FEW.min(limit / COLD_FEW)),
        };
        // No more than there are: what would be set aside for others yet would be nobody's.
        (
            rate.max(0.0),
            picked
                .max(1.0)
                .floor()
                .min(f64::from(self.settings.group_size.max(1))),
        )
    }

    /// Guards a fleet that is all cold from being held for good to one request after the other: that is
    /// little where a server has several cores, and its answers are slow for being cold. Queues fill long
    /// before a server falls, so all ask for more, little by little, while reports say that they are
    /// empty. Covers servers that report their queue; harm: who hears of them seldom asks for less.
    pub(super) fn learn_cold_times(&mut self, now: Millis, span: Millis) {
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
    pub(super) fn cold_budget(&self, now: Millis, server: &Backend, all_cold: bool) -> Bucket {
        let span = self.settings.slow_start.overload_time / 1000.0;
        let (rate, picked) = self.cold_limit(now, server, all_cold);
        let all = f64::from(self.settings.group_size.max(1));
        // Guards gateways that would have no server while there is no warm one: they take turns of as
        // long as it takes to fell one, and share the rate over all turns. Golden steps deal turns out
        // evenly, and alike at all that know the same servers, whatever each has learnt.
        let (mine, shared_by) = if all_cold && picked < all {
            let turn = (now / self.settings.slow_start.overload_time).floor()
                + f64::from(self.settings.gateway_id.0);
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
    pub(super) fn rank(&self, server: &Server) -> u32 {
        let life = u64::from(server.id.0) << 32 ^ server.started_at.unwrap_or(0.0).to_bits();
        let score = |gateway: u32| (mix(life ^ mix(u64::from(gateway))), gateway);
        let mine = score(self.settings.gateway_id.0);
        (0..self.settings.group_size)
            .filter(|other| score(*other) < mine)
            .count() as u32
    }
}
