//! When to ask discovery again: exponential back-off with full jitter, over a window that grows with the group. No
//! I/O, and no clock of its own.
//!
//! Guards against a crowd that keeps itself out. Discovery is one service for all limiters; a call that waits there
//! for too long fails and has cost it as much as one that was answered. When many watches break in one instant
//! they must not all call in that instant, nor again together after the same pauses: a service once overrun would
//! answer nobody for as long as all go on at their pace. The first call of a life is made at once, only those after it
//! are spaced.

use std::time::Duration;

/// The part of the first window that each limiter of the group adds: 100 limiters come back within 5 s, 3 at once.
const EACH: Duration = Duration::from_millis(50);
/// How often the window doubles at most, and what it may be at least then.
const DOUBLINGS: u32 = 2;
const LONG: Duration = Duration::from_millis(1_000);

/// The pauses of one limiter.
pub struct Backoff {
    random: oorandom::Rand64,
    first: Duration,
    window: Duration,
}

impl Backoff {
    /// For one of so many limiters; each has a seed of its own.
    pub fn new(group: u32, seed: u64) -> Backoff {
        let first = EACH * group.max(1);
        Backoff { random: oorandom::Rand64::new(u128::from(seed)), first, window: first }
    }

    /// The pause after a watch that told something, or nothing, before it broke.
    pub fn pause(&mut self, fruitful: bool) -> Duration {
        let longest = (self.first * 2u32.pow(DOUBLINGS)).max(LONG);
        self.window = if fruitful { self.first } else { (self.window * 2).min(longest) };
        self.window.mul_f64(self.random.rand_float())
    }

    /// Forgets the failures of another address.
    pub fn reset(&mut self) {
        self.window = self.first;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A service that shares its power among all calls that wait, and fails those that have waited for 2 s: how
    /// many of a group are served within `time` once all watches broke at one instant, with these pauses.
    fn served(group: u32, mut pause: impl FnMut(u32, u32) -> Duration, time: f64) -> usize {
        const STEP: f64 = 0.01;
        // The service takes one call of each in 4 s, and ten a second at least.
        let power = (f64::from(group) / 4.0).max(10.0);
        let mut next: Vec<Option<f64>> = (0..group).map(|k| Some(pause(k, 0).as_secs_f64())).collect();
        let mut waiting: Vec<(u32, f64, f64)> = Vec::new();
        let mut failures = vec![0; group as usize];
        let mut served = 0;
        for step in 0..(time / STEP) as u32 {
            let now = f64::from(step) * STEP;
            for k in 0..group {
                if next[k as usize].is_some_and(|at| at <= now) {
                    next[k as usize] = None;
                    waiting.push((k, now, 1.0));
                }
            }
            let share = power * STEP / waiting.len().max(1) as f64;
            waiting.iter_mut().for_each(|(_, _, left)| *left -= share);
            waiting.retain(|(k, since, left)| {
                let (done, late) = (*left <= 0.0, now - since > 2.0);
                served += usize::from(done);
                if late && !done {
                    failures[*k as usize] += 1;
                    next[*k as usize] = Some(now + pause(*k, failures[*k as usize]).as_secs_f64());
                }
                !done && !late
            });
        }
        served
    }

    #[test]
    fn a_group_whose_watches_all_break_at_once_is_back_soon_whatever_its_size() {
        for group in [3, 30, 100, 300] {
            let mut all: Vec<Backoff> = (0..group).map(|k| Backoff::new(group, u64::from(k))).collect();
            let jittered = served(group, |k, failures| all[k as usize].pause(failures == 0), 20.0);
            assert!(jittered * 10 >= group as usize * 9, "{jittered} of {group} within 20 s");
        }
    }

    #[test]
    fn pauses_that_all_share_would_keep_a_large_group_out() {
        let shared = |_, failures: u32| Duration::from_millis(50 << failures.min(4)).min(LONG);
        assert_eq!(served(100, shared, 20.0), 0);
    }

    #[test]
    fn a_few_limiters_ask_again_at_once_and_never_wait_long() {
        let mut few = Backoff::new(3, 1);
        assert!((0..100).all(|_| few.pause(true) <= EACH * 3));
        assert!((0..100).all(|_| few.pause(false) <= LONG));
        assert!((0..100).map(|_| few.pause(false)).max() > Some(LONG / 2), "fruitless ones are spaced out");
        few.reset();
        assert!(few.pause(false) <= EACH * 6);
    }
}
