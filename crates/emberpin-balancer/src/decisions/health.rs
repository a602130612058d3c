//! What is learned from the end of an attempt: latencies, and which servers are ejected as outliers.

use super::{
    slow_start, Action, AttemptResult, Gateway, Millis, Outcome, ServerId, ServerState,
    ServerStatus, ATTEMPT_TARGET_SHARE,
};

/// Weight of the newest result in averages.
const AVERAGE_GAIN: f64 = 0.1;
/// Strikes from which a server may be ejected.
pub(super) const EJECTION_STRIKES: f64 = 2.0;
/// Multiple of the mean strikes of the servers in service that an outlier must have.
const STRIKES_OVER_MEAN: f64 = 1.5;
/// Multiple of the other servers' median failure rate that an outlier must exceed.
const FAILURE_RATE_OVER_MEDIAN: f64 = 2.0;
/// Margin by which its failure rate must lie above that.
const FAILURE_RATE_MARGIN: f64 = 0.15;
/// Length of a first ejection; each further one is twice as long.
const MIN_EJECTION: Millis = 1_000.0;
/// Bound on the length of an ejection, however often a server is ejected.
const MAX_EJECTION: Millis = 8_000.0;
/// Share of the servers in service that may be ejected as outliers at a time.
const MAX_EJECTED_SHARE: f64 = 0.5;

/// A failure that counts against a server.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Strike {
    /// It rejected the attempt.
    Rejected,
    /// It answered with an error, not in time, or lost the connection.
    Failed,
    /// It accepted no connection.
    Unreachable,
}

impl Strike {
    fn weight(self) -> f64 {
        match self {
            Strike::Rejected => 0.5,
            Strike::Failed => 1.0,
            Strike::Unreachable => EJECTION_STRIKES,
        }
    }
}

/// How the servers in service do as a whole.
struct FleetHealth {
    /// How many there are.
    servers: f64,
    mean_strikes: f64,
    /// How many are ejected now.
    ejected: f64,
}

impl Gateway {
    /// Learns from the end of an attempt of its server, its class and the load.
    pub(super) fn learn_from_attempt(
        &mut self,
        now: Millis,
        result: &AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        // What was sent before a pause of this gateway says nothing of the server.
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

    /// Takes the attempt off its server and notes what the server reported.
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
            let newest = queue - self.load.cold_queue;
            self.load.cold_queue += newest * slow_start::COLD_QUEUE_GAIN;
            self.load.cold_reported_at = now;
        }
    }

    fn learn_latency(&mut self, now: Millis, result: &AttemptResult) {
        self.load.answered += 1.0;
        let Some(pending) = self.pending.get(&result.request) else {
            return;
        };
        let (class, units) = (pending.request.class.0, pending.request.units);
        let target = self.settings.classes[class].latency_target;
        let serves =
            |server: &ServerState| self.accepts_requests(server) && self.is_warm(now, &server.info);
        let warm = self.servers.get(&result.server).is_some_and(serves);
        self.load.warm_share += (f64::from(u8::from(warm)) - self.load.warm_share) * AVERAGE_GAIN;
        if result.elapsed <= target * ATTEMPT_TARGET_SHARE {
            self.load.last_on_target = now;
        }
        // The mean of all answers so far at first: where traffic is thin, a new incarnation would else go
        // by the least of the targets for most of a minute, and reject what could wait.
        self.load.target_samples += 1.0;
        let gain = (AVERAGE_GAIN * AVERAGE_GAIN).max(1.0 / self.load.target_samples);
        self.mean_latency_target += (target - self.mean_latency_target) * gain;
        let latency = &mut self.latencies[class];
        latency.learn(units, result.elapsed, AVERAGE_GAIN);
        // Both count as a millisecond at least: else a server that answers sooner seems faster than any
        // that has not answered yet.
        let relative = result.elapsed.max(1.0) / latency.of(units).mean.max(1.0);
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

    /// Outlier ejection: covers servers that are silent, down, reject or report errors, whatever the cause;
    /// a fault that all servers share ejects none. Harm: a few unlucky results eject a sound server for a
    /// second.
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
        // One that accepts no connection is ejected whatever the others do: they may keep connections that
        // still work, past a full table or a partition. Where none is left, the choice of a server falls
        // back on all.
        let eject = strike == Strike::Unreachable || (outlier && may_eject);
        if eject && now >= server.ejected_until {
            server.ejection_time = (server.ejection_time * 2.0).clamp(MIN_EJECTION, MAX_EJECTION);
            server.ejected_until = now + server.ejection_time;
            self.log(
                now,
                "ejected a server: it fails more than its fellows",
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

    /// Median failure rate of the other servers in service; 0 without any. Held against it, a server is not
    /// ejected for what strikes all of them: of connections that break by chance, some break twice running
    /// at whichever server.
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
