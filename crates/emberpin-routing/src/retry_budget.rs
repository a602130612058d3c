//! The retry budget: how often this proxy may send a request to a server after its first one. Hedged requests count
//! as retries.
//!
//! The rule is a sum over all proxies: in every window `[a, a+W]` the retries at a service stay under `ratio x
//! requests + extra`, where the requests of `[a, a+W]` or of `[a-W, a]` count, whichever are more. The proxies do not
//! coordinate. Each spends at `t` only if its retries in `(t-W, t]`, this one included, are at most `ratio x SHARE x
//! own requests in (t-W, t] + floor(extra x SHARE / proxies)`.
//!
//! Why the sum holds. Let `t` be the last time in `[a, a+W]` at which an instance of any proxy retries. What it spent
//! in `[a, a+W]` lies in `(t-W, t]`, and the requests it was counted against lie in `[a-W, a+W]`. Each request is
//! counted by one instance only, so all instances together spend at most `ratio x SHARE x requests in [a-W, a+W]`,
//! which with `SHARE` = 1/2 is at most `ratio x` the greater of both halves: for any number of proxies and any
//! restarts, as a new instance knows only requests of its own. The extra is not backed by requests, and a restart
//! forgets what was spent of it; so an instance has none before it is one window old, and two instances of a proxy
//! never spend it in the same window. The sum of extras holds while there are at most `1 / SHARE` times as many
//! proxies as each of them counts.

use std::collections::HashMap;
use std::time::Duration;

/// The part of the budget that proxies use. One half makes the sum over all of them hold, as shown above.
const SHARE: f64 = 0.5;
/// Requests and retries are counted per slot, a sixteenth of the window, rather than one by one.
const SLOTS_PER_WINDOW: u64 = 16;
/// The slots that are kept: those of a window, and the one before it, which may reach into the window.
const RING_LENGTH: usize = SLOTS_PER_WINDOW as usize + 1;
/// The proxy count that is assumed until a registry has reported one.
const DEFAULT_PROXY_COUNT: u32 = 100;
/// The most services that are tracked. While the table is full, other services get no retries.
const MAX_SERVICES: usize = 4_096;
/// The shortest window, so that a slot has a length.
const MIN_WINDOW: Duration = Duration::from_millis(1);

/// The counts of one slot of time.
#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    number: u64,
    requests: u32,
    retries: u32,
}

impl Slot {
    fn new(number: u64) -> Slot {
        Slot {
            number,
            ..Slot::default()
        }
    }
}

/// The retry budget of this proxy, for each service. All times are on the proxy's monotonic clock.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    extra: f64,
    slot_length: Duration,
    first_slot: u64,
    latest_slot: u64,
    services: HashMap<Box<str>, [Slot; RING_LENGTH]>,
}

impl RetryBudget {
    /// The budget of an instance that starts at `now`. `ratio`, `window` and `extra` are the settings `retry_ratio`,
    /// `retry_win` and `retry_extra`.
    pub fn new(now: Duration, ratio: f64, window: Duration, extra: f64) -> RetryBudget {
        let slot_length = window.max(MIN_WINDOW) / SLOTS_PER_WINDOW as u32;
        let first_slot = now.div_duration_f64(slot_length) as u64;
        RetryBudget {
            ratio,
            extra,
            slot_length,
            first_slot,
            latest_slot: first_slot,
            services: HashMap::new(),
        }
    }

    /// Counts a client's request for a service, which backs retries there for one window.
    pub fn record_request(&mut self, now: Duration, service: &str) {
        if let Some(slot) = self.slot_mut(now, service) {
            slot.requests = slot.requests.saturating_add(1);
        }
    }

    /// Whether the budget of a service allows one more retry. `proxy_count` is the number of proxies that share
    /// `retry_extra`; 0 means that no registry has reported one, and 100 are assumed.
    pub fn allows_retry(&self, now: Duration, service: &str, proxy_count: u32) -> bool {
        let current = self.slot_number(now);
        let Some(ring) = self.services.get(service) else {
            return false;
        };
        let latest = |slots: u64| {
            ring.iter()
                .filter(move |slot| slot.number + slots > current)
        };
        // Rounded to the safe side: retries in the slot that only reaches into the window count, requests do not.
        let requests: u64 = latest(SLOTS_PER_WINDOW)
            .map(|slot| u64::from(slot.requests))
            .sum();
        let retries: u64 = latest(SLOTS_PER_WINDOW + 1)
            .map(|slot| u64::from(slot.retries))
            .sum();
        let extra = self.extra_retries(current, proxy_count);
        (retries + 1) as f64 <= self.ratio * SHARE * requests as f64 + extra
    }

    /// This proxy's part of the retries that need no requests to back them.
    fn extra_retries(&self, current_slot: u64, proxy_count: u32) -> f64 {
        // The instance before this one may have spent its part in the same window.
        let is_window_old = current_slot > self.first_slot + SLOTS_PER_WINDOW;
        if !is_window_old {
            return 0.0;
        }
        let proxy_count = match proxy_count {
            0 => DEFAULT_PROXY_COUNT,
            reported => reported,
        };
        (self.extra * SHARE / f64::from(proxy_count))
            .floor()
            .max(0.0)
    }

    /// Counts an attempt of a request after its first one.
    pub fn record_retry(&mut self, now: Duration, service: &str) {
        if let Some(slot) = self.slot_mut(now, service) {
            slot.retries = slot.retries.saturating_add(1);
        }
    }

    /// The number of services that are tracked, at most 4096.
    pub fn tracked_services(&self) -> usize {
        self.services.len()
    }

    /// The slot of a time. It never goes back, since an earlier slot of the ring may hold a later time by now.
    fn slot_number(&self, now: Duration) -> u64 {
        (now.div_duration_f64(self.slot_length) as u64).max(self.latest_slot)
    }

    /// The current slot of a service; `None` if the service is not tracked and the table is full.
    fn slot_mut(&mut self, now: Duration, service: &str) -> Option<&mut Slot> {
        let number = self.slot_number(now);
        if number > self.latest_slot {
            self.latest_slot = number;
            self.drop_idle_services();
        }
        if !self.services.contains_key(service) {
            if self.services.len() >= MAX_SERVICES {
                return None;
            }
            self.services
                .insert(service.into(), [Slot::new(number); RING_LENGTH]);
        }
        let ring = self.services.get_mut(service)?;
        let slot = &mut ring[(number % RING_LENGTH as u64) as usize];
        if slot.number != number {
            *slot = Slot::new(number);
        }
        Some(slot)
    }

    /// Frees services without a request or retry in the latest window.
    fn drop_idle_services(&mut self) {
        let latest = self.latest_slot;
        self.services.retain(|_, ring| {
            ring.iter()
                .any(|slot| slot.number + SLOTS_PER_WINDOW >= latest)
        });
    }
}
