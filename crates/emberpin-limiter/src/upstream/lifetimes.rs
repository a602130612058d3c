//! How long an idle connection to a server really lasts, learned from how the next requests on them end. No I/O, and
//! no clock of its own.
//!
//! Something between limiter and server (a firewall, an address translator, the server itself) may forget a
//! connection long before the stated time and tell nobody: the next request on it is reset, and may have run. Ages are
//! told apart by doublings; one at which requests are lost clearly more often than on young connections is closed, and
//! opened again after a pause that doubles.

use std::time::Duration;
use tokio::time::Instant;

/// Ages below this are young, and every doubling of it begins a class of its own.
const YOUNG: Duration = Duration::from_millis(25);
const CLASSES: usize = 13;
/// Uses of connections of an age before it may be closed.
const MIN_USES: f64 = 8.0;
/// The loss ratio of young connections is taken to be at least this.
const MIN_USUAL_LOSS: f64 = 0.02;
/// An age is closed only if its loss ratio exceeds that of young connections by this much,
const MIN_EXCESS_LOSS: f64 = 0.1;
/// and by this many standard deviations.
const MIN_DEVIATIONS: f64 = 4.0;
/// The moving average over the uses of connections of an age spans this many.
const AGE_WINDOW: f64 = 32.0;
/// The same for young connections, the baseline of all ages.
const YOUNG_WINDOW: f64 = 512.0;
/// How long an age stays closed, at first and at most; the time doubles.
const CLOSED: (Duration, Duration) = (Duration::from_secs(10), Duration::from_secs(320));

#[derive(Clone, Copy, Default)]
struct Share {
    seen: f64,
    lost: f64,
}

impl Share {
    fn add(&mut self, lost: bool, remembered: f64) {
        self.seen = (self.seen + 1.0).min(remembered);
        self.lost += (f64::from(u8::from(lost)) - self.lost) / self.seen;
    }
}

#[derive(Clone, Copy, Default)]
struct Age {
    share: Share,
    closed_until: Option<Instant>,
    pause: Duration,
}

/// What is known of connections to servers by the age at which they were used again.
#[derive(Default)]
pub struct Lifetimes {
    /// New connections, and those that were idle for a moment only.
    young: Share,
    ages: [Age; CLASSES],
}

impl Lifetimes {
    /// Which class of ages an idle time falls into; `None` for young ones.
    fn class(idle: Duration) -> Option<usize> {
        let doublings = (idle.as_secs_f64() / YOUNG.as_secs_f64()).log2();
        (doublings >= 0.0).then_some((doublings as usize).min(CLASSES - 1))
    }

    /// A request went out on a connection that had been idle for so long (not at all, if new), and was lost with it
    /// or answered. Tells the age that is closed for that, and for how long.
    pub fn learn(
        &mut self,
        now: Instant,
        idle: Duration,
        lost: bool,
    ) -> Option<(Duration, Duration)> {
        let Some(class) = Lifetimes::class(idle) else {
            self.young.add(lost, YOUNG_WINDOW);
            return None;
        };
        let age = &mut self.ages[class];
        age.share.add(lost, AGE_WINDOW);
        let usual = self.young.lost.clamp(MIN_USUAL_LOSS, 1.0 - MIN_USUAL_LOSS);
        let chance = MIN_DEVIATIONS * (usual * (1.0 - usual) / age.share.seen).sqrt();
        if age.share.seen < MIN_USES || age.share.lost <= usual + chance.max(MIN_EXCESS_LOSS) {
            return None;
        }
        let pause = (age.pause * 2).clamp(CLOSED.0, CLOSED.1);
        (age.pause, age.closed_until) = (pause, Some(now + pause));
        // Judged anew when it opens again, and with it what is older, which is not seen until then.
        self.ages[class..]
            .iter_mut()
            .for_each(|age| age.share = Share::default());
        Some((YOUNG * (1 << class), pause))
    }

    /// Whether a connection that has been idle for so long is worth using: no age up to its own is closed.
    pub fn lasts(&self, now: Instant, idle: Duration) -> bool {
        let Some(class) = Lifetimes::class(idle) else {
            return true;
        };
        self.ages[..=class]
            .iter()
            .all(|age| age.closed_until.is_none_or(|until| now >= until))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: fn(u64) -> Duration = Duration::from_millis;

    /// Uses connections at ages up to 2 s; those older than `cut` are lost, and of the others this share.
    fn play(
        lifetimes: &mut Lifetimes,
        now: Instant,
        cut: Duration,
        share: f64,
        uses: u64,
    ) -> (u64, u64) {
        let (mut used, mut lost) = (0, 0);
        let mut random = oorandom::Rand64::new(7);
        for _ in 0..uses {
            let idle = MS(random.rand_range(0..2_000));
            if lifetimes.lasts(now, idle) {
                let gone = idle > cut || random.rand_float() < share;
                lifetimes.learn(now, idle, gone);
                (used, lost) = (used + 1, lost + u64::from(gone));
            }
            lifetimes.learn(now, Duration::ZERO, random.rand_float() < share);
        }
        (used, lost)
    }

    #[test]
    fn an_age_at_which_connections_are_gone_is_closed_and_younger_ones_are_not() {
        let (mut lifetimes, now) = (Lifetimes::default(), Instant::now());
        play(&mut lifetimes, now, MS(200), 0.1, 2_000);
        assert!(lifetimes.lasts(now, MS(90)) && !lifetimes.lasts(now, MS(450)));
        assert!(
            !lifetimes.lasts(now, MS(60_000)),
            "what is older yet is gone as well"
        );
        let (used, lost) = play(&mut lifetimes, now, MS(200), 0.1, 2_000);
        assert!(used > 0 && lost * 4 < used, "{lost} of {used}");
    }

    #[test]
    fn losses_that_strike_connections_of_every_age_close_none() {
        let (mut lifetimes, now) = (Lifetimes::default(), Instant::now());
        play(&mut lifetimes, now, MS(10_000), 0.25, 4_000);
        assert!((0..2_000).all(|idle| lifetimes.lasts(now, MS(idle))));
    }

    #[test]
    fn a_closed_age_opens_again_and_stays_open_once_connections_last() {
        let (mut lifetimes, mut now) = (Lifetimes::default(), Instant::now());
        play(&mut lifetimes, now, MS(100), 0.1, 2_000);
        assert!(!lifetimes.lasts(now, MS(1_000)));
        now += CLOSED.1 * 2;
        assert!(lifetimes.lasts(now, MS(1_000)));
        play(&mut lifetimes, now, MS(10_000), 0.1, 2_000);
        assert!((0..2_000).all(|idle| lifetimes.lasts(now, MS(idle))));
    }

    #[test]
    fn an_age_that_is_bad_again_and_again_is_tried_ever_more_rarely() {
        let (mut lifetimes, mut now) = (Lifetimes::default(), Instant::now());
        let mut lost = 0;
        for _ in 0..600 {
            now += Duration::from_secs(1);
            lost += play(&mut lifetimes, now, MS(100), 0.0, 100).1;
        }
        assert!(
            lost * 40 < 57_000,
            "of 57,000 uses at such an age {lost} were tried and lost"
        );
    }
}
