//! The slow start of servers: how much a server that warms up may be sent, and by which gateways.

use super::{mix, Gateway, Millis, Server, ServerId, ServerState, TokenBucket, TICK_PERIOD};

/// Share of the load that would overload a server which the gateways together may send to it.
const SLOW_START_SHARE: f64 = 0.5;
/// Share of that which may come in one burst.
const SLOW_START_BURST: f64 = 0.25;
/// Share of the overload limit that bounds how many gateways may send, as each may be one request over its
/// part.
const SLOW_START_GATEWAY_SHARE: f64 = 0.2;
/// Gateways that may send in any case; fewer where the limit is less than so many requests for each.
const SLOW_START_MIN_GATEWAYS: f64 = 3.0;
/// Where all servers warm up, what they are held to carry may grow by this part a second while they report
/// no queue.
const COLD_MULTIPLE_GROWTH: f64 = 0.5;
/// Requests in a queue below which it counts as empty.
const EMPTY_QUEUE: f64 = 0.5;
/// Multiple of the first guess that it may grow to.
const MAX_COLD_MULTIPLE: f64 = 8.0;
/// A report of a server that warms up counts for this time.
pub(super) const COLD_REPORT_VALIDITY: Millis = 2_000.0;
/// Weight of the newest report in the average of queues.
pub(super) const COLD_QUEUE_GAIN: f64 = 0.5;
/// The fractional part of the golden ratio: steps of it round a circle never come close to one another.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// What a server that warms up may get.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlowStartLimit {
    /// Requests of mean work a second that are held to overload it.
    rate: f64,
    /// How many gateways may send to it.
    pub(super) gateways: f64,
}

impl Gateway {
    /// Share of its capacity that a server has at least by now, from 0.01 to 1.
    pub(super) fn warm_up_share(&self, now: Millis, info: &Server) -> f64 {
        let slow_start = &self.settings.slow_start;
        // A server that an operator put back was most likely restarted, of which the endpoint list may
        // learn late or not at all.
        let started_at = info
            .started_at
            .into_iter()
            .chain(self.returned_at.get(&info.id).copied())
            .reduce(f64::max);
        match started_at {
            Some(at) if slow_start.duration > 0.0 && now - at < slow_start.duration => {
                let part = (now - at).max(0.0) / slow_start.duration;
                let initial = slow_start.initial_capacity;
                (initial + (1.0 - initial) * part).clamp(0.01, 1.0)
            }
            _ => 1.0,
        }
    }

    /// Whether a server has its whole capacity.
    pub(super) fn is_warm(&self, now: Millis, info: &Server) -> bool {
        self.warm_up_share(now, info) >= 1.0
    }

    /// Whether a server is warm or may get another request. One that warms up gets requests from a few
    /// gateways only, that a hash picks without any message, and from each within its part of the common
    /// limit. Covers restarts, deployments and replacements of all kinds, and any number of gateways that
    /// are isolated from each other. Harm: when every server warms up, requests are rejected that they
    /// might have carried.
    pub(super) fn has_slow_start_budget(
        &self,
        now: Millis,
        server: &ServerState,
        all_cold: bool,
    ) -> bool {
        self.is_warm(now, &server.info)
            || self.slow_start_budget(now, server, all_cold).tokens > 0.0
    }

    /// Whether no server is warm, and none was ever seen to be.
    pub(super) fn all_warming_up(&self, now: Millis) -> bool {
        self.load.warm_capacity <= 0.0
            && self
                .servers
                .values()
                .all(|server| !self.is_warm(now, &server.info))
    }

    /// What would overload a server that warms up, by its present share of what a warm one carries.
    pub(super) fn slow_start_limit(
        &self,
        now: Millis,
        server: &ServerState,
        all_cold: bool,
    ) -> SlowStartLimit {
        let slow_start = &self.settings.slow_start;
        let carries = if self.load.warm_capacity > 0.0 {
            self.load.warm_capacity * server.info.capacity
        } else {
            // No warm server was ever seen. One that runs at all serves one mean request after the other,
            // and answers show how long one takes.
            let capacity = server.info.capacity.min(1.0);
            capacity * 1000.0 / self.mean_latency() * self.cold_multiple()
        };
        let warm_share = self.warm_up_share(now, &server.info);
        let rate = (slow_start.overload_multiple * warm_share * carries).max(0.0);
        let limit = rate * slow_start.overload_time / 1000.0;
        let gateways = if all_cold {
            SLOW_START_SHARE * limit
        } else {
            let few = SLOW_START_MIN_GATEWAYS.min(limit / SLOW_START_MIN_GATEWAYS);
            (SLOW_START_GATEWAY_SHARE * limit).max(few)
        };
        SlowStartLimit {
            rate,
            // No more than there are: the part of any further one would be nobody's.
            gateways: gateways.max(1.0).floor().min(self.group_size()),
        }
    }

    /// Adapts what servers are held to carry while all of them warm up. For good, one request after the
    /// other would be little for a server of several cores, whose answers are slow while it is cold. Queues
    /// fill long before a server is overloaded, so that the gateways ask for more, little by little, while
    /// reports say that queues are empty. Covers servers that report their queue. Harm: a gateway that
    /// rarely hears of them asks for less.
    pub(super) fn adapt_cold_multiple(&mut self, now: Millis, span: Millis) {
        let report_age = now - self.load.cold_reported_at;
        if report_age > COLD_REPORT_VALIDITY || !self.all_warming_up(now) {
            return;
        }
        let step = span.min(TICK_PERIOD * 2.0) / 1000.0;
        self.load.cold_multiple = if self.load.cold_queue < EMPTY_QUEUE {
            self.cold_multiple() * (1.0 + COLD_MULTIPLE_GROWTH * step)
        } else {
            self.cold_multiple() / (1.0 + step)
        };
    }

    /// How many times the first guess servers are held to carry.
    fn cold_multiple(&self) -> f64 {
        self.load.cold_multiple.clamp(1.0, MAX_COLD_MULTIPLE)
    }

    /// What this gateway may still send to a server that warms up, in requests of mean work.
    pub(super) fn slow_start_budget(
        &self,
        now: Millis,
        server: &ServerState,
        all_cold: bool,
    ) -> TokenBucket {
        let overload_time = self.settings.slow_start.overload_time;
        let limit = self.slow_start_limit(now, server, all_cold);
        let group = self.group_size();
        let (picked, shared_by) = if all_cold && limit.gateways < group {
            // No warm server is there for the gateways that are not picked. They take turns, each as long
            // as it takes to overload a server, and share the rate over all turns.
            (self.has_turn(now, server, limit), group)
        } else {
            (
                f64::from(server.gateway_rank) < limit.gateways,
                limit.gateways,
            )
        };
        let rate = f64::from(u8::from(picked)) * SLOW_START_SHARE * limit.rate / shared_by;
        let burst = rate * (overload_time / 1000.0) * SLOW_START_BURST;
        let mut budget = server.slow_start_budget;
        budget.refill(now, rate, burst);
        budget
    }

    /// Whether it is this gateway's turn to send to a server. Steps of the golden ratio deal turns out
    /// evenly, and alike at all gateways that know the same servers, whatever else each has learned.
    fn has_turn(&self, now: Millis, server: &ServerState, limit: SlowStartLimit) -> bool {
        let turn = (now / self.settings.slow_start.overload_time).floor()
            + f64::from(self.settings.gateway_id.0);
        (turn * GOLDEN_RATIO + server.turn).fract() < limit.gateways / self.group_size()
    }

    /// Takes an attempt's work from the budget of a server that warms up.
    pub(super) fn spend_slow_start_budget(&mut self, now: Millis, id: ServerId, work: f64) {
        let all_cold = self.all_warming_up(now);
        let Some(server) = self.servers.get(&id) else {
            return;
        };
        let mut budget = self.slow_start_budget(now, server, all_cold);
        budget.tokens -= work;
        if let Some(server) = self.servers.get_mut(&id) {
            server.slow_start_budget = budget;
        }
    }

    /// How many gateways come before this one in the hashed order for the incarnation of a server.
    pub(super) fn gateway_rank(&self, server: &Server) -> u32 {
        let started_at = server.started_at.unwrap_or(0.0);
        let incarnation = u64::from(server.id.0) << 32 ^ started_at.to_bits();
        let score = |gateway: u32| (mix(incarnation ^ mix(u64::from(gateway))), gateway);
        let own = score(self.settings.gateway_id.0);
        (0..self.settings.group_size)
            .filter(|other| score(*other) < own)
            .count() as u32
    }
}
