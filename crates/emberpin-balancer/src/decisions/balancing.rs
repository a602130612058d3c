//! Load balancing: the choice of a server.

use super::{
    health, Gateway, InFlightAttempt, Millis, RetryScope, ServerId, ServerState, ServerStatus,
};

/// Expected latencies of silence from which a server looks slower.
const STALL_MULTIPLE: f64 = 3.0;

/// How well a server suits a request; the least one wins. The last number is drawn to break ties, so that
/// gateways with the same view do not all choose the same server.
type Rank = (bool, f64, f64);

impl Gateway {
    /// The server that promises the soonest answer among those that may have the request. Servers that are
    /// ejected, on trial after an ejection, or that had the attempt before come last: only when nothing
    /// else is left.
    pub(super) fn choose_server(
        &mut self,
        now: Millis,
        class: usize,
        units: f64,
        last: Option<ServerId>,
        scope: Option<RetryScope>,
    ) -> Option<ServerId> {
        let expected = self.latencies[class].of(units).mean;
        let all_cold = self.all_warming_up(now);
        let mut best: Option<(Rank, ServerId)> = None;
        for (id, server) in &self.servers {
            let in_scope = scope.is_none_or(|scope| scope.contains(&server.info));
            if !self.accepts_requests(server)
                || !in_scope
                || !self.has_slow_start_budget(now, server, all_cold)
            {
                continue;
            }
            let on_trial =
                server.strikes >= health::EJECTION_STRIKES && !server.in_flight.is_empty();
            let avoided = now < server.ejected_until || on_trial || last == Some(*id);
            let rank = (
                avoided,
                self.expected_wait(now, expected, server, all_cold),
                self.rng.rand_float(),
            );
            if best.is_none_or(|(least, _)| rank < least) {
                best = Some((rank, *id));
            }
        }
        best.map(|(_, id)| id)
    }

    /// Whether a server may get anything new: it is in service by the endpoint list and by the operators.
    pub(crate) fn accepts_requests(&self, server: &ServerState) -> bool {
        server.info.status == ServerStatus::InService
            && !self.in_maintenance.contains(&server.info.id)
    }

    /// Expected time to an answer, as a multiple of the mean latency: by the work in flight and not by the
    /// number of attempts, as a large request occupies a server for as long as many small ones.
    fn expected_wait(
        &self,
        now: Millis,
        expected: Millis,
        server: &ServerState,
        all_cold: bool,
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
            / self.share_of_capacity(now, server, all_cold)
    }

    /// The part of a server's capacity that this gateway may count on; above 1 where it sends for other
    /// gateways too.
    ///
    /// Only a few gateways may send to a server that warms up. Those are picked for all the others: did
    /// each send its own small part only, the server would stand idle. While congested, they take all that
    /// its slow start allows.
    fn share_of_capacity(&self, now: Millis, server: &ServerState, all_cold: bool) -> f64 {
        let warm_share = self.warm_up_share(now, &server.info);
        let picked = if warm_share < 1.0 {
            self.slow_start_limit(now, server, all_cold).gateways
        } else {
            f64::INFINITY
        };
        let sends_for = (f64::from(self.settings.group_size) / picked).max(1.0);
        let warm_share = if self.load.congestion_level > 0 {
            1.0
        } else {
            warm_share
        };
        warm_share * sends_for
    }

    /// Mean latency of the answers in milliseconds, at least 1; before any answer, the least of the
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

/// How many times slower a server counts for its silence: one that hangs or answers nothing, whatever the
/// reason, counts as slow as soon as it is silent for longer than its work in flight explains.
fn stall_factor(now: Millis, server: &ServerState) -> f64 {
    let silence = |attempt: &InFlightAttempt| {
        (now - attempt.sent_at.max(server.last_result_at)) / attempt.expected.max(1.0)
    };
    let attempts = server.in_flight.values();
    let longest = attempts.map(silence).fold(0.0f64, f64::max);
    (longest / (STALL_MULTIPLE * server.latency_ratio)).max(1.0)
}
