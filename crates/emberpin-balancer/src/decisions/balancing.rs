//! Load balancing: the choice of a server by its expected time to an answer.

use super::{
    health, Gateway, InFlightAttempt, Millis, RetryScope, ServerId, ServerState, ServerStatus,
};

/// Number of expected latencies without a result after which a server counts as slower.
const STALL_MULTIPLE: f64 = 3.0;

/// Rank of a server for a request; the lowest one is chosen. The fields are whether the server should be
/// avoided, its expected wait, and a random number that breaks ties, so that gateways with the same view do
/// not all choose the same server.
type Rank = (bool, f64, f64);

impl Gateway {
    /// The server with the shortest expected wait among those that may receive the request. Avoided servers
    /// are used only when no other is left: those that are ejected, those with one attempt in flight as a
    /// trial after an ejection, and `last`, the server of the previous attempt.
    pub(super) fn choose_server(
        &mut self,
        now: Millis,
        class: usize,
        units: f64,
        last: Option<ServerId>,
        scope: Option<RetryScope>,
    ) -> Option<ServerId> {
        let expected = self.latencies[class].expected_for(units).mean;
        let all_warming_up = self.all_warming_up(now);
        let mut best: Option<(Rank, ServerId)> = None;
        for (id, server) in &self.servers {
            let in_scope = scope.is_none_or(|scope| scope.contains(&server.info));
            if !self.accepts_requests(server)
                || !in_scope
                || !self.has_slow_start_budget(now, server, all_warming_up)
            {
                continue;
            }
            let on_trial =
                server.strikes >= health::EJECTION_STRIKES && !server.in_flight.is_empty();
            let avoided = now < server.ejected_until || on_trial || last == Some(*id);
            let rank = (
                avoided,
                self.expected_wait(now, expected, server, all_warming_up),
                self.rng.rand_float(),
            );
            if best.is_none_or(|(lowest, _)| rank < lowest) {
                best = Some((rank, *id));
            }
        }
        best.map(|(_, id)| id)
    }

    /// Whether a server may receive new requests: it is in service according to both the endpoint list and
    /// the operators.
    pub(crate) fn accepts_requests(&self, server: &ServerState) -> bool {
        server.info.status == ServerStatus::InService
            && !self.in_maintenance.contains(&server.info.id)
    }

    /// Expected time to an answer, as a multiple of the mean latency. It depends on the work in flight and
    /// not on the number of attempts, as a large request occupies a server for as long as many small ones.
    fn expected_wait(
        &self,
        now: Millis,
        expected: Millis,
        server: &ServerState,
        all_warming_up: bool,
    ) -> f64 {
        let mean = self.mean_latency();
        let attempts = server.in_flight.values();
        let work = attempts.map(|attempt| attempt.expected).sum::<Millis>() / mean;
        let backlog = work + expected / mean + server.queue_length;
        let cross_zone = if server.info.zone == self.settings.zone {
            1.0
        } else {
            self.settings.cross_zone_slowdown
        };
        backlog * server.latency_ratio * stall_factor(now, server) * cross_zone
            / self.share_of_capacity(now, server, all_warming_up)
    }

    /// Share of a server's capacity that this gateway may count on; above 1 where it also sends the share
    /// of other gateways.
    ///
    /// Only a few gateways may send to a server that is warming up, and they send for the whole group: if
    /// each sent only its own small share, the server would stay idle. While congested, they use all that
    /// the slow start allows.
    fn share_of_capacity(&self, now: Millis, server: &ServerState, all_warming_up: bool) -> f64 {
        let capacity_share = self.warm_up_share(now, &server.info);
        let sending_gateways = if capacity_share < 1.0 {
            self.slow_start_limit(now, server, all_warming_up).gateways
        } else {
            f64::INFINITY
        };
        let gateways_per_sender = (f64::from(self.settings.group_size) / sending_gateways).max(1.0);
        let capacity_share = if self.load.congestion_level > 0 {
            1.0
        } else {
            capacity_share
        };
        capacity_share * gateways_per_sender
    }

    /// Mean latency of the answers in milliseconds, at least 1; before the first answer, the lowest of the
    /// classes.
    pub(super) fn mean_latency(&self) -> Millis {
        let mean = if self.load.mean_latency > 0.0 {
            self.load.mean_latency
        } else {
            self.latencies
                .iter()
                .map(|class| class.overall.mean)
                .fold(f64::INFINITY, f64::min)
        };
        mean.max(1.0)
    }
}

/// Factor by which a server counts as slower while it gives no results, at least 1. A server that hangs,
/// for whatever reason, counts as slow as soon as it gives no result for longer than its work in flight
/// explains.
fn stall_factor(now: Millis, server: &ServerState) -> f64 {
    let relative_wait = |attempt: &InFlightAttempt| {
        (now - attempt.sent_at.max(server.last_result_at)) / attempt.expected.max(1.0)
    };
    let attempts = server.in_flight.values();
    let longest = attempts.map(relative_wait).fold(0.0f64, f64::max);
    (longest / (STALL_MULTIPLE * server.latency_ratio)).max(1.0)
}
