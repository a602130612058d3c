//! Congestion control with hysteresis: a gateway's congestion level rises when the attempts in flight
//! exceed an onset and falls at a lower abatement; each level rejects a larger share of the requests.

use super::{
    Action, Gateway, Millis, ServerState, ATTEMPT_TARGET_SHARE, THROUGHPUT_WINDOW, TICK_PERIOD,
};

/// Onset in the examples of the paper (see the parent module), in attempts in flight; used until a
/// throughput is known.
const PAPER_ONSET: f64 = 62.0;
/// Abatement in the examples of the paper. Its ratio to the onset is used for every onset.
const PAPER_ABATEMENT: f64 = 50.0;
/// Probability of rejection at each congestion level. The paper's single level is replaced by several
/// smaller steps that begin earlier.
pub(super) const REJECT_PROBABILITY: [f64; 6] = [0.0, 0.2, 0.4, 0.6, 0.8, 0.95];
/// Number of congestion levels, including level 0 without congestion.
pub(crate) const CONGESTION_LEVELS: usize = REJECT_PROBABILITY.len();
/// Distance between the onsets of successive levels, as a share of the first onset. It is smaller than the
/// paper's gap between onset and abatement.
const ONSET_STEP: f64 = 0.15;
/// Lower bound on the first onset: attempts in flight for each server, over all gateways.
const MIN_ONSET_PER_SERVER: f64 = 2.0;
/// In a large group, attempts in flight are smoothed over this share of the mean time between two attempts
/// of this gateway. Values from 0.2 to 0.5 worked equally well for 100 and 300 gateways; 1 lost a tenth of
/// the throughput of a fully loaded back end.
const SMOOTHING_SHARE: f64 = 0.35;

impl Gateway {
    /// Mean of a value over all gateways, from this gateway's own value and the peers' mean. Exception to
    /// the paper, which uses the gateway's own buffer: with about one attempt in flight, a gateway's own
    /// count is noise, so thresholds are compared with the mean. An isolated gateway uses its own value
    /// alone.
    pub(super) fn group_mean(&self, now: Millis, own_value: f64, peers_mean: f64) -> f64 {
        let peer_count = if self.is_isolated(now) {
            0.0
        } else {
            self.group_size() - 1.0
        };
        (own_value + peer_count * peers_mean) / (1.0 + peer_count)
    }

    /// Number of attempts in flight above which a congestion level begins. By Little's law, throughput
    /// times the time that an attempt may take is the number that may be in flight. [`PAPER_ONSET`] is used
    /// until a throughput is known.
    pub(super) fn onset(&self, level: usize) -> f64 {
        let measured =
            self.load.peak_throughput * self.mean_latency_target * ATTEMPT_TARGET_SHARE / 1000.0;
        let default_bound = MIN_ONSET_PER_SERVER * self.servers.len() as f64 / self.group_size();
        let lower_bound = if self.load.reported_capacity > 0.0 {
            self.load.reported_capacity
        } else {
            default_bound
        };
        let first = if measured > 0.0 {
            measured.max(lower_bound)
        } else {
            PAPER_ONSET
        };
        first * (1.0 + ONSET_STEP * (level.max(1) - 1) as f64)
    }

    /// Moves the congestion level by at most one: up strictly above the onset of the next level, down at or
    /// below the abatement of the current one. In between it stays, so that noise does not make it
    /// oscillate. Called after each outcome and, in large groups, at each tick.
    pub(super) fn check_congestion(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let in_flight = self.mean_in_flight(now);
        let level = self.load.congestion_level;
        if level + 1 < CONGESTION_LEVELS && in_flight > self.onset(level + 1) {
            self.load.congestion_level += 1;
            self.log(
                now,
                "congested: more attempts in flight than the onset of the next level",
                actions,
            );
        } else if level > 0 && in_flight <= self.onset(level) * PAPER_ABATEMENT / PAPER_ONSET {
            self.load.congestion_level -= 1;
        }
    }

    /// Mean number of attempts in flight per gateway. An isolated gateway of a large group uses its own
    /// smoothed count.
    pub(super) fn mean_in_flight(&self, now: Millis) -> f64 {
        if self.is_isolated(now) && !self.gossips_to_all() {
            self.load.in_flight
        } else {
            self.group_mean(now, self.counted_in_flight(now), self.load.peers_in_flight)
        }
    }

    /// Time over which this gateway's attempts in flight are smoothed: a share of the time between two of
    /// its attempts, so that peers receive a mean that is not older than necessary; [`THROUGHPUT_WINDOW`]
    /// while isolated.
    pub(super) fn smoothing_time(&self, now: Millis) -> Millis {
        let time = SMOOTHING_SHARE * 1000.0 / self.load.throughput.max(f64::EPSILON);
        if self.is_isolated(now) {
            THROUGHPUT_WINDOW
        } else {
            time.clamp(TICK_PERIOD, THROUGHPUT_WINDOW)
        }
    }

    /// Number of this gateway's attempts in flight that count towards the thresholds. Attempts from before
    /// a pause of this gateway's process do not count.
    ///
    /// Exception: attempts do not count either that are in flight for longer than the mean latency target
    /// at a server without a result in that time, while other servers answer quickly. They are a symptom of
    /// that server, not of the load. Covers servers that hang, are partitioned or have crashed. Drawback:
    /// attempts at a server that is merely slow may not count.
    pub(super) fn counted_in_flight(&self, now: Millis) -> f64 {
        let others_answer_quickly = now - self.load.last_on_target <= self.mean_latency_target;
        let count = |server: &ServerState| {
            let attempts = server.in_flight.values();
            let oldest = attempts.fold(now, |oldest, attempt| oldest.min(attempt.sent_at));
            let unanswered_for = now - oldest.max(server.last_result_at);
            let is_hanging = others_answer_quickly && unanswered_for > self.mean_latency_target;
            server
                .in_flight
                .values()
                .filter(|attempt| !is_hanging && attempt.sent_at >= self.resumed_at)
                .count()
        };
        self.servers
            .values()
            .filter(|server| !server.in_flight.is_empty())
            .map(count)
            .sum::<usize>() as f64
    }
}
