//! Learning from the ends of attempts: latencies, failure rates, and outlier ejection of servers.

use super::{
    slow_start, Action, AttemptResult, Gateway, Millis, Outcome, ServerId, ServerState,
    ServerStatus, ATTEMPT_TARGET_SHARE,
};

/// Weight of the newest result in moving averages.
const AVERAGE_GAIN: f64 = 0.1;
/// Strikes at which a server may be ejected.
pub(super) const EJECTION_STRIKES: f64 = 2.0;
/// Multiple of the mean strikes of the servers in service that an outlier must reach.
const STRIKES_OVER_MEAN: f64 = 1.5;
/// Multiple of the other servers' median failure rate that an outlier must exceed.
const FAILURE_RATE_OVER_MEDIAN: f64 = 2.0;
/// Margin by which its failure rate must exceed that multiple.
const FAILURE_RATE_MARGIN: f64 = 0.15;
/// Duration of a first ejection; each further one takes twice as long as the last.
const MIN_EJECTION: Millis = 1_000.0;
/// Longest duration of an ejection, however often a server is ejected.
const MAX_EJECTION: Millis = 8_000.0;
/// Share of the servers in service that may be ejected as outliers at the same time.
const MAX_EJECTED_SHARE: f64 = 0.5;

/// A failure of a server, by severity.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Strike {
    /// The server rejected the attempt.
    Rejected,
    /// The server answered with an error or too late, or the connection was lost.
    Failed,
    /// The server accepted no connection.
    Unreachable,
}

impl Strike {
    /// The number of strikes that the failure counts as.
    fn weight(self) -> f64 {
        match self {
            Strike::Rejected => 0.5,
            Strike::Failed => 1.0,
            Strike::Unreachable => EJECTION_STRIKES,
        }
    }
}

/// Summary of the servers in service.
struct FleetHealth {
    /// Number of servers in service.
    servers: f64,
    mean_strikes: f64,
    /// Number of servers that are ejected now.
    ejected: f64,
}

impl Gateway {
    /// Updates what is known of the server, the class and the load from the end of an attempt.
    pub(super) fn learn_from_attempt(
        &mut self,
        now: Millis,
        result: &AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        // An attempt that was sent before a pause of this gateway's own process says nothing about the
        // server.
        let before_pause = now - result.elapsed < self.resumed_at;
        self.record_result(now, result, before_pause);
        match result.outcome {
            Outcome::Ok if before_pause => self.load.answered += 1.0,
            _ if before_pause => {}
            Outcome::Ok => self.learn_latency(now, result),
            Outcome::Timeout | Outcome::Error | Outcome::Reset => {
                self.record_strike(now, result.server, Strike::Failed, actions);
            }
            Outcome::ConnectFailed => {
                self.record_strike(now, result.server, Strike::Unreachable, actions);
            }
            Outcome::Rejected => {
                self.record_strike(now, result.server, Strike::Rejected, actions);
            }
            Outcome::Cancelled | Outcome::NotSent => {}
        }
        self.check_congestion(now, actions);
    }

    /// Removes the attempt from its server's attempts in flight and records the server's load report.
    fn record_result(&mut self, now: Millis, result: &AttemptResult, before_pause: bool) {
        let Some(server) = self.servers.get_mut(&result.server) else {
            return;
        };
        server.in_flight.remove(&(result.request, result.attempt));
        server.last_result_at = now;
        server.queue_length = result.load.queue_length.unwrap_or(server.queue_length);
        if let (Some(weight), false) = (result.outcome.failure_weight(), before_pause) {
            server.failure_rate += (weight - server.failure_rate) * AVERAGE_GAIN;
        }
        let warm = self.is_warm(now, &self.servers[&result.server].info);
        if let (Some(queue), false) = (result.load.queue_length, warm) {
            let difference = queue - self.load.warming_queue_length;
            self.load.warming_queue_length += difference * slow_start::QUEUE_REPORT_GAIN;
            self.load.warming_reported_at = now;
        }
    }

    /// Learns from a successful attempt, and reduces the strikes of its server.
    fn learn_latency(&mut self, now: Millis, result: &AttemptResult) {
        self.load.answered += 1.0;
        let Some(pending) = self.pending.get(&result.request) else {
            return;
        };
        let (class, units) = (pending.request.class.0, pending.request.units);
        let target = self.settings.classes[class].latency_target;
        let is_warm_in_service =
            |server: &ServerState| self.accepts_requests(server) && self.is_warm(now, &server.info);
        let warm = self
            .servers
            .get(&result.server)
            .is_some_and(is_warm_in_service);
        self.load.warm_share += (f64::from(u8::from(warm)) - self.load.warm_share) * AVERAGE_GAIN;
        if result.elapsed <= target * ATTEMPT_TARGET_SHARE {
            self.load.last_on_target = now;
        }
        // At first this is the plain mean of all answers. Otherwise a new incarnation with little traffic
        // would use the lowest of the latency targets for most of a minute, and reject requests that could
        // wait.
        self.load.target_samples += 1.0;
        let gain = (AVERAGE_GAIN * AVERAGE_GAIN).max(1.0 / self.load.target_samples);
        self.mean_latency_target += (target - self.mean_latency_target) * gain;
        let latency = &mut self.latencies[class];
        latency.learn(units, result.elapsed, AVERAGE_GAIN);
        // Both latencies count as at least one millisecond. Otherwise a server that answers faster than
        // that would look faster than any server that has not answered yet.
        let relative = result.elapsed.max(1.0) / latency.expected_for(units).mean.max(1.0);
        let class_mean = latency.overall.mean;
        let mean = if self.load.mean_latency > 0.0 {
            self.load.mean_latency
        } else {
            class_mean
        };
        self.load.mean_latency = mean + (class_mean - mean) * AVERAGE_GAIN;
        if let Some(server) = self.servers.get_mut(&result.server) {
            server.latency_ratio += (relative - server.latency_ratio) * AVERAGE_GAIN;
            server.strikes *= 0.5;
            if server.strikes < 0.5 {
                server.ejection_time = 0.0;
            }
        }
    }

    /// Outlier ejection: records a failure and ejects the server if it fails far more than the others.
    /// Covers servers that do not answer, are down, reject requests or report errors, whatever the cause; a
    /// fault that all servers share ejects none. Drawback: a few chance failures eject a healthy server for
    /// a second.
    fn record_strike(
        &mut self,
        now: Millis,
        id: ServerId,
        strike: Strike,
        actions: &mut Vec<Action>,
    ) {
        let fleet = self.fleet_health(now);
        let median = self.median_failure_rate_without(id);
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        server.strikes += strike.weight();
        let outlier = server.strikes >= EJECTION_STRIKES
            && server.strikes >= STRIKES_OVER_MEAN * fleet.mean_strikes
            && server.failure_rate > FAILURE_RATE_OVER_MEDIAN * median + FAILURE_RATE_MARGIN;
        let may_eject = fleet.ejected + 1.0 <= fleet.servers * MAX_EJECTED_SHARE;
        // A server that accepts no connection is ejected regardless of the other servers: they may have
        // connections that still work despite a full connection table or a partition. Where no server is
        // left, the choice of a server falls back on ejected ones.
        let eject = strike == Strike::Unreachable || (outlier && may_eject);
        if eject && now >= server.ejected_until {
            server.ejection_time = (server.ejection_time * 2.0).clamp(MIN_EJECTION, MAX_EJECTION);
            server.ejected_until = now + server.ejection_time;
            self.log(
                now,
                "ejected a server as an outlier: it fails more often than the other servers",
                actions,
            );
        }
    }

    fn fleet_health(&self, now: Millis) -> FleetHealth {
        let (mut servers, mut strikes, mut ejected) = (0.0f64, 0.0, 0.0);
        for server in self
            .servers
            .values()
            .filter(|server| server.info.status == ServerStatus::InService)
        {
            servers += 1.0;
            strikes += server.strikes;
            ejected += f64::from(u8::from(now < server.ejected_until));
        }
        FleetHealth {
            servers,
            mean_strikes: strikes / servers.max(1.0),
            ejected,
        }
    }

    /// Median failure rate of the other servers in service; 0 without any. Compared with it, a server is
    /// not ejected for a fault that affects all of them: where connections break by chance, any server
    /// sometimes has two failures in a row.
    fn median_failure_rate_without(&self, id: ServerId) -> f64 {
        let mut rates: Vec<f64> = self
            .servers
            .iter()
            .filter(|(other, server)| {
                **other != id && server.info.status == ServerStatus::InService
            })
            .map(|(_, server)| server.failure_rate)
            .collect();
        rates.sort_by(f64::total_cmp);
        let middle = rates.len().saturating_sub(1) / 2;
        rates.get(middle).copied().unwrap_or(0.0)
    }
}
