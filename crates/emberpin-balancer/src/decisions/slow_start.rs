//! Slow start: how much load a server that is warming up may be sent, and by which gateways.
//!
//! A server fails when it is sent a multiple of its present capacity for some time
//! ([`SlowStart`](crate::SlowStart)). The gateways keep their common load below that without messages: a
//! hash selects a few gateways for each server, and each sends within its part of the limit. Where no
//! server is warm, all gateways take turns instead.

use super::{mix_hash, Gateway, Millis, Server, ServerId, ServerState, TokenBucket, TICK_PERIOD};

/// Share of the load that would overload a server which the gateways together may send to it.
const SLOW_START_SHARE: f64 = 0.5;
/// Share of a gateway's allowance over the overload time that it may send in one burst.
const SLOW_START_BURST: f64 = 0.25;
/// Bound on the number of gateways that may send to a server, as a share of its overload limit in requests:
/// each gateway may exceed its part by one request.
const SLOW_START_GATEWAY_SHARE: f64 = 0.2;
/// Least number of gateways that may send to a server; fewer where the limit allows each of them less than
/// three requests.
const SLOW_START_MIN_GATEWAYS: f64 = 3.0;
/// Growth of the estimated throughput per second, as a share of it, while no server is warm and reports show
/// empty queues.
const RATE_MULTIPLE_GROWTH: f64 = 0.5;
/// Mean number of queued requests below which queues count as empty.
const EMPTY_QUEUE: f64 = 0.5;
/// Bound on the estimated throughput, as a multiple of the initial estimate.
const MAX_RATE_MULTIPLE: f64 = 8.0;
/// Time for which a queue length reported by a warming-up server stays valid.
pub(super) const QUEUE_REPORT_VALIDITY: Millis = 2_000.0;
/// Weight of the newest report in the average queue length of warming-up servers.
pub(super) const QUEUE_REPORT_GAIN: f64 = 0.5;
/// The fractional part of the golden ratio. Multiples of it are spread evenly round a circle: no two come
/// close to each other.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// Bounds on the load of a server that is warming up.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlowStartLimit {
    /// Requests of mean work per second that are assumed to overload it.
    rate: f64,
    /// Number of gateways that may send to it.
    pub(super) gateways: f64,
}

impl Gateway {
    /// Share of its capacity that a server has at least at this moment, from 0.01 to 1.
    pub(super) fn warm_up_share(&self, now: Millis, info: &Server) -> f64 {
        let slow_start = &self.settings.slow_start;
        // A server that an operator put back into service was most likely restarted; the endpoint list may
        // report that late or not at all.
        let started_at = info
            .started_at
            .into_iter()
            .chain(self.returned_at.get(&info.id).copied())
            .reduce(f64::max);
        match started_at {
            Some(at) if slow_start.duration > 0.0 && now - at < slow_start.duration => {
                let elapsed_share = (now - at).max(0.0) / slow_start.duration;
                let initial = slow_start.initial_capacity;
                (initial + (1.0 - initial) * elapsed_share).clamp(0.01, 1.0)
            }
            _ => 1.0,
        }
    }

    /// Whether a server has its full capacity.
    pub(super) fn is_warm(&self, now: Millis, info: &Server) -> bool {
        self.warm_up_share(now, info) >= 1.0
    }

    /// Whether a server is warm or its slow-start budget allows another request. A server that is warming
    /// up receives requests from a few gateways only, which a hash selects without any message, each within
    /// its part of the common limit. This covers restarts, deployments and replacements, with any number of
    /// gateways isolated from each other. Drawback: while no server is warm, requests are rejected that the
    /// servers might have served.
    pub(super) fn has_slow_start_budget(
        &self,
        now: Millis,
        server: &ServerState,
        all_warming_up: bool,
    ) -> bool {
        self.is_warm(now, &server.info)
            || self.slow_start_budget(now, server, all_warming_up).tokens > 0.0
    }

    /// Whether no server is warm and no warm server was observed before.
    pub(super) fn all_warming_up(&self, now: Millis) -> bool {
        self.load.warm_throughput <= 0.0
            && self
                .servers
                .values()
                .all(|server| !self.is_warm(now, &server.info))
    }

    /// The load that would overload a server that is warming up, by its present share of a warm server's
    /// throughput. `all_warming_up` is the result of [`Gateway::all_warming_up`].
    pub(super) fn slow_start_limit(
        &self,
        now: Millis,
        server: &ServerState,
        all_warming_up: bool,
    ) -> SlowStartLimit {
        let slow_start = &self.settings.slow_start;
        let warm_rate = if self.load.warm_throughput > 0.0 {
            self.load.warm_throughput * server.info.capacity
        } else {
            // No warm server was observed yet. A running server serves at least one request at a time, and
            // answers show how long one takes on average.
            let capacity = server.info.capacity.min(1.0);
            capacity * 1000.0 / self.mean_latency() * self.rate_multiple()
        };
        let capacity_share = self.warm_up_share(now, &server.info);
        let rate = (slow_start.overload_multiple * capacity_share * warm_rate).max(0.0);
        let limit = rate * slow_start.overload_time / 1000.0;
        let gateways = if all_warming_up {
            SLOW_START_SHARE * limit
        } else {
            let min_gateways = SLOW_START_MIN_GATEWAYS.min(limit / SLOW_START_MIN_GATEWAYS);
            (SLOW_START_GATEWAY_SHARE * limit).max(min_gateways)
        };
        SlowStartLimit {
            rate,
            // At most the whole group: the part of a gateway that does not exist would never be sent.
            gateways: gateways.max(1.0).floor().min(self.group_size()),
        }
    }

    /// Adapts the estimated throughput of servers while all of them are warming up. The initial estimate, one
    /// request after the other, is too low for a server with several cores whose answers are slow at first.
    /// Queues fill long before a server is overloaded, so the estimate grows gradually while reports show
    /// empty queues, and shrinks otherwise. Covers servers that report their queue length. Drawback: a
    /// gateway that rarely receives reports sends less.
    pub(super) fn adapt_rate_multiple(&mut self, now: Millis, span: Millis) {
        let report_age = now - self.load.warming_reported_at;
        if report_age > QUEUE_REPORT_VALIDITY || !self.all_warming_up(now) {
            return;
        }
        let step = span.min(TICK_PERIOD * 2.0) / 1000.0;
        self.load.rate_multiple = if self.load.warming_queue_length < EMPTY_QUEUE {
            self.rate_multiple() * (1.0 + RATE_MULTIPLE_GROWTH * step)
        } else {
            self.rate_multiple() / (1.0 + step)
        };
    }

    /// The estimated throughput as a multiple of the initial estimate, which is one request after the other.
    fn rate_multiple(&self) -> f64 {
        self.load.rate_multiple.clamp(1.0, MAX_RATE_MULTIPLE)
    }

    /// This gateway's budget for a server that is warming up, refilled to this moment, in requests of mean
    /// work.
    pub(super) fn slow_start_budget(
        &self,
        now: Millis,
        server: &ServerState,
        all_warming_up: bool,
    ) -> TokenBucket {
        let overload_time = self.settings.slow_start.overload_time;
        let limit = self.slow_start_limit(now, server, all_warming_up);
        let group = self.group_size();
        let (selected, shared_by) = if all_warming_up && limit.gateways < group {
            // The gateways that are not selected have no warm server to use instead. So all gateways take
            // turns, each for the time that it takes to overload a server, and share the rate over all
            // turns.
            (self.has_turn(now, server, limit), group)
        } else {
            (
                f64::from(server.gateway_rank) < limit.gateways,
                limit.gateways,
            )
        };
        let rate = f64::from(u8::from(selected)) * SLOW_START_SHARE * limit.rate / shared_by;
        let burst = rate * (overload_time / 1000.0) * SLOW_START_BURST;
        let mut budget = server.slow_start_budget;
        budget.refill(now, rate, burst);
        budget
    }

    /// Whether it is this gateway's turn to send to a server. Multiples of the golden ratio distribute
    /// turns evenly and give the same order at all gateways that know the same servers, whatever else each
    /// has learned.
    fn has_turn(&self, now: Millis, server: &ServerState, limit: SlowStartLimit) -> bool {
        let turn = (now / self.settings.slow_start.overload_time).floor()
            + f64::from(self.settings.gateway_id.0);
        (turn * GOLDEN_RATIO + server.turn_offset).fract() < limit.gateways / self.group_size()
    }

    /// Takes an attempt's work, in requests of mean work, from the budget of a server that is warming up.
    pub(super) fn spend_slow_start_budget(&mut self, now: Millis, id: ServerId, work: f64) {
        let all_warming_up = self.all_warming_up(now);
        let Some(server) = self.servers.get(&id) else {
            return;
        };
        let mut budget = self.slow_start_budget(now, server, all_warming_up);
        budget.tokens -= work;
        if let Some(server) = self.servers.get_mut(&id) {
            server.slow_start_budget = budget;
        }
    }

    /// Number of gateways that precede this one in the hashed order for an incarnation of a server.
    pub(super) fn gateway_rank(&self, server: &Server) -> u32 {
        let started_at = server.started_at.unwrap_or(0.0);
        let incarnation = u64::from(server.id.0) << 32 ^ started_at.to_bits();
        let score = |gateway: u32| {
            (
                mix_hash(incarnation ^ mix_hash(u64::from(gateway))),
                gateway,
            )
        };
        let own = score(self.settings.gateway_id.0);
        (0..self.settings.group_size)
            .filter(|other| score(*other) < own)
            .count() as u32
    }
}
