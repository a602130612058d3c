//! The retry budget: limits how many attempts after the first one this proxy may send to the servers of a service.
//! Hedged requests count as retries.
//!
//! The limit applies to the sum over all proxies: in every window `[a, a+W]`, the number of retries at a service is at
//! most `ratio x requests + extra`, where `requests` is the number of requests in `[a, a+W]` or in `[a-W, a]`,
//! whichever is greater. The proxies do not coordinate. Each one retries at time `t` only if its own retries in
//! `(t-W, t]`, including the new one, are at most
//! `ratio x SHARE x own requests in (t-W, t] + floor(extra x SHARE / proxies)`.
//!
//! The limit holds for the following reason. A proxy may restart; call each run of its process an instance. For each
//! instance, let `t` be the time of its last retry in `[a, a+W]`. All its retries in `[a, a+W]` are in `(t-W, t]`, and
//! the requests that back them are in `[a-W, a+W]`. Each request is counted by one instance only, so all instances
//! together retry at most `ratio x SHARE x requests in [a-W, a+W]` times. With `SHARE` = 1/2, that is at most `ratio`
//! times the requests of the window `[a-W, a]` or `[a, a+W]`, whichever has more. This is true for any number of
//! proxies and restarts, since a new instance counts only its own requests.
//!
//! The extra is not backed by requests, and a restarted proxy does not know how much of it the previous instance used.
//! So an instance has no extra until it is one window old, and two instances of a proxy never use it in the same
//! window. The sum of the extras is within the limit while there are at most `1 / SHARE` times as many proxies as each
//! proxy assumes.

use std::collections::HashMap;
use std::time::Duration;

/// The fraction of the budget that proxies use. With one half, the limit holds for the sum over all proxies, as
/// explained in the module's documentation.
const SHARE: f64 = 0.5;
/// The number of slots of time per window. Requests and retries are counted per slot rather than recorded one by one.
const SLOTS_PER_WINDOW: u64 = 16;
/// The number of slots that are kept: those of a window, and the one before, which may overlap with the window.
const RING_LENGTH: usize = SLOTS_PER_WINDOW as usize + 1;
/// The proxy count that is assumed until a registry has reported one.
const DEFAULT_PROXY_COUNT: u32 = 100;
/// The maximum number of tracked services. While the table is full, other services get no retries.
const MAX_SERVICES: usize = 4_096;
/// The minimum window, so that the length of a slot is not zero.
const MIN_WINDOW: Duration = Duration::from_millis(1);

/// The counts of one slot of time. Slot `number` covers the time from `number` times the length of a slot on.
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
    /// The budget of a proxy process that starts at `now`. `ratio`, `window` and `extra` are the settings
    /// `retry_ratio`, `retry_win` and `retry_extra`.
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

    /// Counts a client's request to a service, which adds to the budget of that service for one window.
    pub fn record_request(&mut self, now: Duration, service: &str) {
        if let Some(slot) = self.slot_mut(now, service) {
            slot.requests = slot.requests.saturating_add(1);
        }
    }

    /// Whether the budget of a service allows one more retry. `proxy_count` is the number of proxies that share
    /// `retry_extra`. If it is 0, no registry has reported a count, and 100 proxies are assumed.
    pub fn allows_retry(&self, now: Duration, service: &str, proxy_count: u32) -> bool {
        let current = self.slot_number(now);
        let Some(ring) = self.services.get(service) else {
            return false;
        };
        let latest_slots = |slots: u64| {
            ring.iter()
                .filter(move |slot| slot.number + slots > current)
        };
        // A conservative count: of the slot that only partly overlaps with the window, retries are counted and requests
        // are not.
        let requests: u64 = latest_slots(SLOTS_PER_WINDOW)
            .map(|slot| u64::from(slot.requests))
            .sum();
        let retries: u64 = latest_slots(SLOTS_PER_WINDOW + 1)
            .map(|slot| u64::from(slot.retries))
            .sum();
        let extra = self.extra_retries(current, proxy_count);
        (retries + 1) as f64 <= self.ratio * SHARE * requests as f64 + extra
    }

    /// This proxy's part of the extra: the retries that are allowed regardless of the number of requests.
    fn extra_retries(&self, current_slot: u64, proxy_count: u32) -> f64 {
        // While this process is younger than a window, the previous process of this proxy may have used its part in the
        // same window.
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

    /// Counts a retry: any attempt of a request after the first one.
    pub fn record_retry(&mut self, now: Duration, service: &str) {
        if let Some(slot) = self.slot_mut(now, service) {
            slot.retries = slot.retries.saturating_add(1);
        }
    }

    /// The number of tracked services, at most 4096.
    pub fn tracked_services(&self) -> usize {
        self.services.len()
    }

    /// The number of the slot at a time, but at least the latest number so far, since the ring entry of an earlier slot
    /// may have been reused for a later one.
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

    /// Removes services without a request or retry in the latest window.
    fn drop_idle_services(&mut self) {
        let latest = self.latest_slot;
        self.services.retain(|_, ring| {
            ring.iter()
                .any(|slot| slot.number + SLOTS_PER_WINDOW >= latest)
        });
    }
}
