//! Slow start: limits the requests of this proxy to a server that is warming up, so that all proxies together stay
//! within the server's limit `B` ([`WarmupLimit::max_requests_per_second`]) in every second, even if proxies are
//! partitioned, restarted or unknown to each other.
//!
//! The proxies do not coordinate. Let `N` be the highest proxy count that was reported to this proxy process, but at
//! least [`MIN_PROXY_COUNT`]:
//!
//! - `2N <= B`: each proxy may send `floor(B / 2N)` requests in any second. The limit is guaranteed as long as there
//!   are at most `2N` proxies.
//! - `2N > B`: a proxy may send one request in any second, and only if the hash of the server's id and its own name, as
//!   a fraction of all hashes, is below `p`. With `2N` proxies, the number of admitted proxies is a binomial sum with
//!   mean `2Np`. By Chernoff's bound it exceeds `B` with a probability of at most `exp(-2N x KL((B+1)/2N || p))`, and
//!   `p` is the greatest value for which this is at most `MAX_OVERLOAD_PROBABILITY` per server. So `B` holds even with
//!   twice as many proxies as reported, whatever they know of each other.
//!
//! A proxy never lowers its count, so one that is partitioned keeps the highest count that was reported to it. A proxy
//! process sends nothing to warming servers until [`QUIET_PERIOD`] has passed since its start and since the count last
//! rose by more than an eighth: the previous process of the proxy may have sent requests just before its end, and
//! registries that start at the same time count the proxies up from zero.

use crate::guards::Guards;
use crate::warmup::WarmupLimit;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// The sliding window in which this proxy counts its requests to a warming server. It is longer than the second of the
/// limit, because some time may pass between the count of a request and its first byte on the wire.
const WINDOW: Duration = Duration::from_millis(1_250);
/// The minimum time since the start of the proxy process, and since the last considerable rise of the proxy count,
/// before requests go to warming servers.
pub const QUIET_PERIOD: Duration = Duration::from_millis(2_500);
/// The minimum proxy count that is assumed, because the first counts reported after a start are too low.
pub const MIN_PROXY_COUNT: u32 = 8;
/// The limits hold with up to this many times the reported proxy count.
const COUNT_SAFETY_FACTOR: u32 = 2;
/// A rise of the proxy count by more than the count divided by this restarts the quiet period.
const STEADY_COUNT_DIVISOR: u32 = 8;
/// The maximum probability that more proxies are admitted to a warming server than its limit allows.
const MAX_OVERLOAD_PROBABILITY: f64 = 1e-7;
/// The number of bisection steps in the search for the admitted fraction.
const BISECTION_STEPS: usize = 40;

/// One proxy's share of the requests to a warming server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProxyShare {
    /// The fraction of all proxies that may send requests, in [0, 1].
    pub admitted_fraction: f64,
    /// The maximum number of requests of each admitted proxy in any second.
    pub requests_per_second: u32,
}

impl ProxyShare {
    /// The share for `limit`, the maximum number of requests of all proxies per second, and the reported proxy count.
    pub fn new(limit: u32, proxy_count: u32) -> ProxyShare {
        let assumed_count = proxy_count
            .max(MIN_PROXY_COUNT)
            .saturating_mul(COUNT_SAFETY_FACTOR);
        if assumed_count <= limit {
            return ProxyShare {
                admitted_fraction: 1.0,
                requests_per_second: limit / assumed_count,
            };
        }
        if limit == 0 {
            return ProxyShare {
                admitted_fraction: 0.0,
                requests_per_second: 0,
            };
        }
        ProxyShare {
            admitted_fraction: greatest_safe_fraction(limit, assumed_count),
            requests_per_second: 1,
        }
    }
}

/// The greatest admitted fraction for which the probability that more than `limit` of `proxy_count` proxies are
/// admitted is at most [`MAX_OVERLOAD_PROBABILITY`].
fn greatest_safe_fraction(limit: u32, proxy_count: u32) -> f64 {
    let (trials, overload) = (f64::from(proxy_count), f64::from(limit) + 1.0);
    let overload_fraction = overload / trials;
    // Chernoff's bound, compared by its exponent. The second term of the divergence is zero if an overload takes all
    // proxies.
    let is_safe = |p: f64| {
        let rest = if overload_fraction < 1.0 {
            (1.0 - overload_fraction) * ((1.0 - overload_fraction) / (1.0 - p)).ln()
        } else {
            0.0
        };
        let divergence = overload_fraction * (overload_fraction / p).ln() + rest;
        trials * divergence >= -MAX_OVERLOAD_PROBABILITY.ln()
    };
    let (mut low, mut high) = (0.0, overload_fraction);
    for _ in 0..BISECTION_STEPS {
        let middle = (low + high) / 2.0;
        if is_safe(middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}

/// The latest computed share with its arguments. It is cached because the computation takes logarithms in each of
/// [`BISECTION_STEPS`] steps, and there are few different limits.
#[derive(Clone, Copy, Debug)]
struct CachedShare {
    limit: u32,
    proxy_count: u32,
    share: ProxyShare,
}

/// Controls the admission of this proxy's requests to warming servers. All times are on the proxy's monotonic clock.
#[derive(Clone, Debug)]
pub struct SlowStart {
    quiet_until: Duration,
    proxy_count: u32,
    recent_sends: HashMap<Box<str>, VecDeque<Duration>>,
    last_sweep: Duration,
    cached_share: Option<CachedShare>,
    pub(crate) guards: Guards,
}

impl SlowStart {
    /// The state of a proxy process that starts at `now`.
    pub fn new(now: Duration) -> SlowStart {
        SlowStart {
            quiet_until: now + QUIET_PERIOD,
            proxy_count: 0,
            recent_sends: HashMap::new(),
            last_sweep: now,
            cached_share: None,
            guards: Guards::default(),
        }
    }

    /// Updates the proxy count, as reported by a registry that reaches a majority of the registries.
    pub fn set_proxy_count(&mut self, now: Duration, proxy_count: u32) {
        let tolerated_rise = self.proxy_count / STEADY_COUNT_DIVISOR;
        if proxy_count > self.proxy_count.saturating_add(tolerated_rise) {
            self.quiet_until = self.quiet_until.max(now + QUIET_PERIOD);
        }
        self.proxy_count = if self.guards.highest_proxy_count {
            self.proxy_count.max(proxy_count)
        } else {
            proxy_count
        };
    }

    /// Whether the proxy of this name may send one more request to a warming server now. `proxy_count` is 0 if no
    /// registry has reported a count yet; then no request is admitted.
    pub fn admits(
        &mut self,
        now: Duration,
        instance_id: &str,
        limit: &WarmupLimit,
        proxy_count: u32,
        proxy_name: &str,
    ) -> bool {
        self.set_proxy_count(now, proxy_count);
        if self.proxy_count == 0 || (now < self.quiet_until && self.guards.quiet_period) {
            return false;
        }
        let share = self.share(limit.max_requests_per_second());
        let hash = admission_hash(instance_id, proxy_name);
        if hash >= share.admitted_fraction && self.guards.hashed_admission {
            return false;
        }
        self.sends_in_window(now, instance_id) < share.requests_per_second as usize
    }

    fn sends_in_window(&self, now: Duration, instance_id: &str) -> usize {
        self.recent_sends.get(instance_id).map_or(0, |sends| {
            sends.iter().filter(|at| is_in_window(now, **at)).count()
        })
    }

    /// Counts a request to a warming server. Must be called immediately after [`SlowStart::admits`] allowed the
    /// request, so that no second request is admitted in between.
    pub fn record_send(&mut self, now: Duration, instance_id: &str) {
        if now.saturating_sub(self.last_sweep) >= WINDOW {
            self.last_sweep = now;
            self.recent_sends
                .retain(|_, sends| sends.back().is_some_and(|at| is_in_window(now, *at)));
        }
        let sends = self.recent_sends.entry(instance_id.into()).or_default();
        while sends.front().is_some_and(|at| !is_in_window(now, *at)) {
            sends.pop_front();
        }
        sends.push_back(now);
    }

    /// The number of servers for which requests are recorded. Servers without a request in the latest window are
    /// removed at most once per window, when a request is recorded.
    pub fn tracked_servers(&self) -> usize {
        self.recent_sends.len()
    }

    fn share(&mut self, limit: u32) -> ProxyShare {
        let proxy_count = self.proxy_count;
        match self.cached_share {
            Some(cached) if cached.limit == limit && cached.proxy_count == proxy_count => {
                cached.share
            }
            _ => {
                let share = ProxyShare::new(limit, proxy_count);
                self.cached_share = Some(CachedShare {
                    limit,
                    proxy_count,
                    share,
                });
                share
            }
        }
    }
}

fn is_in_window(now: Duration, at: Duration) -> bool {
    now.saturating_sub(at) < WINDOW
}

/// The hash, in [0, 1), that decides whether a proxy is admitted to a warming server. It is the same in every process
/// and build, so that the number of admitted proxies is as intended even if they do not know of each other.
pub fn admission_hash(instance_id: &str, proxy_name: &str) -> f64 {
    let bytes = instance_id.bytes().chain([0]).chain(proxy_name.bytes());
    // The result is mixed, since FNV-1a spreads the last bytes badly, and names differ mostly in their last bytes.
    let hash = mix(fnv_1a(bytes));
    (hash >> 11) as f64 / (1u64 << 53) as f64
}

fn fnv_1a(bytes: impl Iterator<Item = u8>) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    bytes.fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

/// The finalizer of `SplitMix64`.
fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
