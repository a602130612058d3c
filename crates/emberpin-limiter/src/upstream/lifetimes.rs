//! Estimates how long an idle connection to a server can be used, from the outcomes of requests on such connections. No
//! I/O, and no clock of its own.
//!
//! A firewall, an address translator or the server itself may drop an idle connection silently, long before the
//! keep-alive time that the server states: the next request on it is reset, and may have run. Idle times are grouped
//! into classes, each twice as long as the one before. A class in which requests are lost clearly more often than on
//! young connections is closed, and opened again after a pause that doubles each time.

use std::time::Duration;
use tokio::time::Instant;

/// A connection that was idle for less than this is young. Each doubling of this time begins another class.
const YOUNG_LIMIT: Duration = Duration::from_millis(25);
/// Number of classes of idle times; the last has no upper bound.
const CLASS_COUNT: usize = 13;
/// Minimum number of uses of connections of a class before it may be closed.
const MIN_USES: f64 = 8.0;
/// Lower bound of the baseline, which is the loss ratio of young connections.
const MIN_BASELINE: f64 = 0.02;
/// A class is closed only if its loss ratio exceeds the baseline by more than this.
const MIN_EXCESS_LOSS: f64 = 0.1;
/// A class is closed only if its loss ratio exceeds the baseline by more than this many standard deviations.
const MIN_DEVIATIONS: f64 = 4.0;
/// Number of uses that the moving average of a class spans.
const CLASS_WINDOW: f64 = 32.0;
/// Number of uses that the moving average of young connections spans.
const YOUNG_WINDOW: f64 = 512.0;
/// How long a class stays closed: the first time, and at most. The time doubles with each closing.
const PAUSE_RANGE: (Duration, Duration) = (Duration::from_secs(10), Duration::from_secs(320));

/// A moving average of the share of uses that were lost.
#[derive(Clone, Copy, Default)]
struct LossRatio {
    /// Number of uses that the average spans.
    uses: f64,
    /// The share of them that were lost, from 0 to 1.
    ratio: f64,
}

impl LossRatio {
    fn add(&mut self, lost: bool, window: f64) {
        self.uses = (self.uses + 1.0).min(window);
        self.ratio += (f64::from(u8::from(lost)) - self.ratio) / self.uses;
    }
}

/// The state of one class of idle times.
#[derive(Clone, Copy, Default)]
struct IdleClass {
    losses: LossRatio,
    closed_until: Option<Instant>,
    /// How long it was closed last.
    pause: Duration,
}

/// The losses of requests on connections to servers, by the time that the connections had been idle.
#[derive(Default)]
pub struct Lifetimes {
    /// New connections, and those that were idle for less than [`YOUNG_LIMIT`].
    young: LossRatio,
    classes: [IdleClass; CLASS_COUNT],
}

impl Lifetimes {
    /// The index of the class of an idle time; `None` for young connections.
    fn class_index(idle: Duration) -> Option<usize> {
        let doublings = (idle.as_secs_f64() / YOUNG_LIMIT.as_secs_f64()).log2();
        (doublings >= 0.0).then_some((doublings as usize).min(CLASS_COUNT - 1))
    }

    /// Records that a request on a connection that had been idle for `idle` (zero if it was new) was lost with the
    /// connection, or answered. If its class is closed because of that, returns the shortest idle time of the class and
    /// how long the class stays closed.
    pub fn record(
        &mut self,
        now: Instant,
        idle: Duration,
        lost: bool,
    ) -> Option<(Duration, Duration)> {
        let Some(index) = Lifetimes::class_index(idle) else {
            self.young.add(lost, YOUNG_WINDOW);
            return None;
        };
        let class = &mut self.classes[index];
        class.losses.add(lost, CLASS_WINDOW);
        let baseline = self.young.ratio.clamp(MIN_BASELINE, 1.0 - MIN_BASELINE);
        let deviation = MIN_DEVIATIONS * (baseline * (1.0 - baseline) / class.losses.uses).sqrt();
        if class.losses.uses < MIN_USES
            || class.losses.ratio <= baseline + deviation.max(MIN_EXCESS_LOSS)
        {
            return None;
        }
        let pause = (class.pause * 2).clamp(PAUSE_RANGE.0, PAUSE_RANGE.1);
        (class.pause, class.closed_until) = (pause, Some(now + pause));
        // The averages of this class and of the longer ones, which are not used while it is closed, start anew when it
        // opens again.
        self.classes[index..]
            .iter_mut()
            .for_each(|class| class.losses = LossRatio::default());
        Some((YOUNG_LIMIT * (1 << index), pause))
    }

    /// Whether a connection that has been idle for `idle` should be used: neither its class nor a shorter one is
    /// closed.
    pub fn is_usable(&self, now: Instant, idle: Duration) -> bool {
        let Some(index) = Lifetimes::class_index(idle) else {
            return true;
        };
        self.classes[..=index]
            .iter()
            .all(|class| class.closed_until.is_none_or(|until| now >= until))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: fn(u64) -> Duration = Duration::from_millis;

    /// Simulates uses of connections that were idle for up to 2 s. Those idle for longer than `max_idle` are
    /// lost, and the share `loss_ratio` of the others. Returns the number of uses, and how many of them were lost.
    fn simulate_uses(
        lifetimes: &mut Lifetimes,
        now: Instant,
        max_idle: Duration,
        loss_ratio: f64,
        uses: u64,
    ) -> (u64, u64) {
        let (mut used, mut lost) = (0, 0);
        let mut random = oorandom::Rand64::new(7);
        for _ in 0..uses {
            let idle = MS(random.rand_range(0..2_000));
            if lifetimes.is_usable(now, idle) {
                let is_lost = idle > max_idle || random.rand_float() < loss_ratio;
                lifetimes.record(now, idle, is_lost);
                (used, lost) = (used + 1, lost + u64::from(is_lost));
            }
            lifetimes.record(now, Duration::ZERO, random.rand_float() < loss_ratio);
        }
        (used, lost)
    }

    #[test]
    fn a_class_whose_connections_are_lost_is_closed_and_shorter_ones_stay_open() {
        let (mut lifetimes, now) = (Lifetimes::default(), Instant::now());
        simulate_uses(&mut lifetimes, now, MS(200), 0.1, 2_000);
        assert!(lifetimes.is_usable(now, MS(90)) && !lifetimes.is_usable(now, MS(450)));
        assert!(
            !lifetimes.is_usable(now, MS(60_000)),
            "longer idle times are closed as well"
        );
        let (used, lost) = simulate_uses(&mut lifetimes, now, MS(200), 0.1, 2_000);
        assert!(used > 0 && lost * 4 < used, "{lost} of {used}");
    }

    #[test]
    fn losses_independent_of_idle_time_close_no_class() {
        let (mut lifetimes, now) = (Lifetimes::default(), Instant::now());
        simulate_uses(&mut lifetimes, now, MS(10_000), 0.25, 4_000);
        assert!((0..2_000).all(|idle| lifetimes.is_usable(now, MS(idle))));
    }

    #[test]
    fn a_closed_class_reopens_and_stays_open_once_losses_stop() {
        let (mut lifetimes, mut now) = (Lifetimes::default(), Instant::now());
        simulate_uses(&mut lifetimes, now, MS(100), 0.1, 2_000);
        assert!(!lifetimes.is_usable(now, MS(1_000)));
        now += PAUSE_RANGE.1 * 2;
        assert!(lifetimes.is_usable(now, MS(1_000)));
        simulate_uses(&mut lifetimes, now, MS(10_000), 0.1, 2_000);
        assert!((0..2_000).all(|idle| lifetimes.is_usable(now, MS(idle))));
    }

    #[test]
    fn a_class_with_lasting_losses_is_retried_ever_more_rarely() {
        let (mut lifetimes, mut now) = (Lifetimes::default(), Instant::now());
        let mut lost = 0;
        for _ in 0..600 {
            now += Duration::from_secs(1);
            lost += simulate_uses(&mut lifetimes, now, MS(100), 0.0, 100).1;
        }
        assert!(
            lost * 40 < 57_000,
            "{lost} of 57,000 uses on dropped connections were tried and lost"
        );
    }
}
