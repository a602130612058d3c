//! How much a cold server may get from this limiter, so that the sum over all limiters keeps the bound `B =
//! floor(requests_per_second x excess + extra)` in every second, also with limiters that are cut off, restarted or unknown
//! to each other.
//!
//! Nobody is asked. With `N` the greatest number of limiters that this one was told in its instance, [`FEWEST`]
//! at least:
//!
//! - `2N <= B`: each may send `floor(B / 2N)` in any second. Strict while there are at most `2N` limiters.
//! - `2N > B`: a limiter may send one in any second, and only if the hash of the server's id and its own
//!   name, as a part of all hashes, lies under `p`. With `2N` limiters the number of those that may is a
//!   binomial sum with mean `2Np`; by Chernoff's bound it passes `B` with a probability of at most `exp(-2N x
//!   KL((B+1)/2N || p))`, and `p` is the greatest for which this is at most `RISK` for a server. So `B`
//!   holds also if there are twice as many limiters as was told, and whatever they know of each other.
//!
//! The count is a floor of what each knew: a limiter that was cut off keeps its greatest. One that has just
//! started asks no cold server before [`QUIET_MS`] have passed since its start and since the count last rose
//! by more than an eighth: its last instance may have sent just before, and registries that start too count up
//! from nothing.

use crate::guards::Guards;
use std::collections::{HashMap, VecDeque};

/// A second as counted here: longer than the rule's, as a request may wait a little between its count and its
/// first byte on the wire.
const WINDOW_MS: f64 = 1_250.0;
/// For how long a limiter must have run, and the count been steady.
pub const QUIET_MS: f64 = 2_500.0;
/// As many limiters are taken to be there at least.
pub const FEWEST: u32 = 8;
/// The probability that more limiters may ask one cold server than it bears, if all do at once.
const RISK: f64 = 1e-7;

/// What a cold server bears.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupLimit {
    /// Its service's `warmup_per_s`.
    pub requests_per_second: f64,
    /// `warm_excess`.
    pub excess_factor: f64,
    /// `warm_extra`.
    pub extra_requests: f64,
}

impl WarmupLimit {
    /// Most requests in a second, from all limiters together.
    pub fn bound(&self) -> u32 {
        let bound = (self.requests_per_second * self.excess_factor + self.extra_requests).floor();
        // A cast of a float keeps within the type.
        if bound.is_nan() {
            0
        } else {
            bound as u32
        }
    }
}

/// What one limiter may send to a cold server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimiterShare {
    /// The part of all limiters that may.
    pub admitted: f64,
    /// Requests of each in any second.
    pub each: u32,
}

impl LimiterShare {
    /// For this bound on the sum and this number of limiters.
    pub fn for_bound(bound: u32, limiters: u32) -> LimiterShare {
        let twice = limiters.max(FEWEST).saturating_mul(2);
        if twice <= bound {
            return LimiterShare {
                admitted: 1.0,
                each: bound / twice,
            };
        }
        if bound == 0 {
            return LimiterShare {
                admitted: 0.0,
                each: 0,
            };
        }
        let (all, many) = (f64::from(twice), f64::from(bound) + 1.0);
        let part = many / all;
        let rest = |p: f64| {
            if part < 1.0 {
                (1.0 - part) * ((1.0 - part) / (1.0 - p)).ln()
            } else {
                0.0
            }
        };
        let safe = |p: f64| all * (part * (part / p).ln() + rest(p)) >= -RISK.ln();
        let (mut low, mut high) = (0.0, part);
        for _ in 0..40 {
            let middle = (low + high) / 2.0;
            if safe(middle) {
                low = middle;
            } else {
                high = middle;
            }
        }
        LimiterShare {
            admitted: low,
            each: 1,
        }
    }
}

/// What this limiter sent to cold servers of late.
#[derive(Clone, Debug)]
pub struct SlowStart {
    quiet_until: f64,
    limiters: u32,
    sent: HashMap<Box<str>, VecDeque<f64>>,
    swept: f64,
    /// The share last found and what for: finding it takes forty logarithms.
    last: Option<(u32, u32, LimiterShare)>,
    pub(crate) guards: Guards,
}

impl SlowStart {
    /// For an instance that starts at `now`.
    pub fn new(now: f64) -> SlowStart {
        SlowStart {
            quiet_until: now + QUIET_MS,
            limiters: 0,
            sent: HashMap::new(),
            swept: now,
            last: None,
            guards: Guards::default(),
        }
    }

    /// A registry that hears a majority of the others counts so many limiters.
    pub fn set_limiter_count(&mut self, now: f64, limiters: u32) {
        if limiters > self.limiters.saturating_add(self.limiters / 8) {
            self.quiet_until = self.quiet_until.max(now + QUIET_MS);
        }
        self.limiters = if self.guards.greatest {
            self.limiters.max(limiters)
        } else {
            limiters
        };
    }

    /// Whether the limiter `me` may send one more request to this cold server now. `limiters`: how many there
    /// are, 0 if nobody has said; then none may be sent.
    pub fn admits(
        &mut self,
        now: f64,
        server: &str,
        cold: &WarmupLimit,
        limiters: u32,
        me: &str,
    ) -> bool {
        self.set_limiter_count(now, limiters);
        if self.limiters == 0 || (now < self.quiet_until && self.guards.quiet) {
            return false;
        }
        let share = self.share(cold.bound());
        if admission_hash(server, me) >= share.admitted && self.guards.admission {
            return false;
        }
        let of_late =
            |sent: &VecDeque<f64>| sent.iter().filter(|at| now - **at < WINDOW_MS).count();
        self.sent.get(server).map_or(0, of_late) < share.each as usize
    }

    /// A request goes to this cold server; to be said in the same step as `may` allowed it.
    pub fn record_send(&mut self, now: f64, server: &str) {
        if now - self.swept >= WINDOW_MS {
            self.swept = now;
            self.sent
                .retain(|_, sent| sent.back().is_some_and(|at| now - at < WINDOW_MS));
        }
        let sent = self.sent.entry(server.into()).or_default();
        while sent.front().is_some_and(|at| now - at >= WINDOW_MS) {
            sent.pop_front();
        }
        sent.push_back(now);
    }

    /// Servers to which something was sent of late.
    pub fn tracked_servers(&self) -> usize {
        self.sent.len()
    }

    fn share(&mut self, bound: u32) -> LimiterShare {
        match self.last {
            Some((of, limiters, share)) if of == bound && limiters == self.limiters => share,
            _ => {
                let share = LimiterShare::for_bound(bound, self.limiters);
                self.last = Some((bound, self.limiters, share));
                share
            }
        }
    }
}

/// Where a limiter stands for a server, in [0, 1): the same in every process and build.
pub fn admission_hash(server: &str, me: &str) -> f64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let bytes = server.bytes().chain([0]).chain(me.bytes());
    let mut hash = bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    });
    // FNV-1a spreads the last bytes badly, and names differ in their last bytes: mixed as in SplitMix64.
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^= hash >> 31;
    (hash >> 11) as f64 / (1u64 << 53) as f64
}
