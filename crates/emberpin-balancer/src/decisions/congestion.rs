//! Congestion control by hysteresis: when this gateway counts as congested, and how strongly.

use super::{
    Action, Gateway, Millis, ServerState, ATTEMPT_TARGET_SHARE, THROUGHPUT_WINDOW, TICK_PERIOD,
};

/// Onset of the paper's examples, in attempts in flight: used until a throughput is known.
const PAPER_ONSET: f64 = 62.0;
/// Abatement of the paper's examples; its ratio to the onset is used for good.
const PAPER_ABATEMENT: f64 = 50.0;
/// Chance of rejection at each congestion level. The paper's single cut became a ladder of small ones, that
/// begin early.
pub(super) const REJECT_CHANCE: [f64; 6] = [0.0, 0.2, 0.4, 0.6, 0.8, 0.95];
/// How many congestion levels there are, the one without congestion included.
pub(crate) const CONGESTION_LEVELS: usize = REJECT_CHANCE.len();
/// The onset of each further level lies higher by this share of the first. It is less than the paper's gap
/// between onset and abatement.
const ONSET_STEP: f64 = 0.15;
/// Lower bound of the first onset: attempts for each server, over all gateways.
const MIN_ONSET_PER_SERVER: f64 = 2.0;
/// Where peers are too many to be sent every announcement, attempts in flight are smoothed over this part
/// of the time between two own attempts. From 0.2 to 0.5 did alike for 100 and 300 gateways; 1 lost a tenth
/// of a full back end.
const SMOOTHING_SHARE: f64 = 0.35;

impl Gateway {
    /// Mean of a figure over all gateways, by this one's own and the peers' mean. Exception to the paper's
    /// own buffer: where a gateway has about one attempt in flight its own count is noise, so that
    /// thresholds are held against the mean. An isolated gateway goes by its own figure.
    pub(super) fn group_mean(&self, now: Millis, own: f64, peers: f64) -> f64 {
        let others = if self.is_isolated(now) {
            0.0
        } else {
            self.group_size() - 1.0
        };
        (own + others * peers) / (1.0 + others)
    }

    /// Attempts in flight above which a congestion level begins. By Little's law, throughput times the time
    /// that an attempt may take is the number that may be in flight; the paper's figure stands until a
    /// throughput was seen.
    pub(super) fn onset(&self, level: usize) -> f64 {
        let measured =
            self.load.peak_throughput * self.mean_latency_target * ATTEMPT_TARGET_SHARE / 1000.0;
        let guess = MIN_ONSET_PER_SERVER * self.servers.len() as f64 / self.group_size();
        let least = if self.load.reported_capacity > 0.0 {
            self.load.reported_capacity
        } else {
            guess
        };
        let first = if measured > 0.0 {
            measured.max(least)
        } else {
            PAPER_ONSET
        };
        first * (1.0 + ONSET_STEP * (level.max(1) - 1) as f64)
    }

    /// Moves the congestion level by one: up strictly above the next level's onset, down at or below the
    /// present one's abatement, and not at all in between, so that noise does not flip it. Called after
    /// each outcome, and at ticks by one gateway of many.
    pub(super) fn check_congestion(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let in_flight = self.mean_in_flight(now);
        let level = self.load.congestion_level;
        if level + 1 < CONGESTION_LEVELS && in_flight > self.onset(level + 1) {
            self.load.congestion_level += 1;
            self.log(
                now,
                "congested: more attempts outstanding than the onset",
                actions,
            );
        } else if level > 0 && in_flight <= self.onset(level) * PAPER_ABATEMENT / PAPER_ONSET {
            self.load.congestion_level -= 1;
        }
    }

    /// Attempts in flight of a mean gateway. One of many gateways that is isolated has its own smoothed
    /// count only.
    pub(super) fn mean_in_flight(&self, now: Millis) -> f64 {
        if self.is_isolated(now) && !self.gossips_to_all() {
            self.load.in_flight
        } else {
            self.group_mean(now, self.counted_in_flight(now), self.load.peers_in_flight)
        }
    }

    /// How long own attempts in flight are smoothed for: part of the time between two own attempts, so that
    /// peers receive a mean that is no older than it must be; for long while isolated.
    pub(super) fn smoothing_time(&self, now: Millis) -> Millis {
        let time = SMOOTHING_SHARE * 1000.0 / self.load.throughput.max(f64::EPSILON);
        if self.is_isolated(now) {
            THROUGHPUT_WINDOW
        } else {
            time.clamp(TICK_PERIOD, THROUGHPUT_WINDOW)
        }
    }

    /// Own attempts in flight that count towards the thresholds; those from before a pause of this gateway
    /// do not.
    ///
    /// Exception: nor do those that are in flight for longer than the mean latency target at servers
    /// without a result since, while others answer quickly. They are a symptom of those servers and not of
    /// the load. Covers servers that hang, are partitioned or dead. Harm: a server that is merely slow is
    /// let off.
    pub(super) fn counted_in_flight(&self, now: Millis) -> f64 {
        let others_are_quick = now - self.load.last_on_target <= self.mean_latency_target;
        let count = |server: &ServerState| {
            let attempts = server.in_flight.values();
            let oldest = attempts.fold(now, |oldest, attempt| oldest.min(attempt.sent_at));
            let silence = now - oldest.max(server.last_result_at);
            let hangs = others_are_quick && silence > self.mean_latency_target;
            server
                .in_flight
                .values()
                .filter(|attempt| !hangs && attempt.sent_at >= self.resumed_at)
                .count()
        };
        self.servers
            .values()
            .filter(|server| !server.in_flight.is_empty())
            .map(count)
            .sum::<usize>() as f64
    }
}
