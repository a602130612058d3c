//! The budget of further arrivals: how often this limiter may send a request to a second server.
//!
//! The rule is a sum over all limiters: in every window `[a, a+W]` the further arrivals at a service stay
//! under `ratio x requests + extra`, where the requests of `[a, a+W]` or of `[a-W, a]` count, whichever are
//! more. Nobody is asked here. A limiter spends at `t` only if its further arrivals in `(t-W, t]`, this one
//! among them, are at most `ratio x SHARE x own requests in (t-W, t] + floor(extra x SHARE / limiters)`.
//!
//! Why the sum holds. Let `t` be the last time in `[a, a+W]` at which some instance of some limiter spends. What
//! it spent in `[a, a+W]` lies in `(t-W, t]`, and the requests it was counted against lie in `[a-W, a+W]`.
//! Each request is counted by one instance only, so all instances together spend at most `ratio x SHARE x requests in
//! [a-W, a+W]`, which with `SHARE` = 1/2 is at most `ratio x` the greater of both halves: for any number of
//! limiters and any restarts, as a new instance knows only requests of its own. The extra is not backed by
//! requests, and a restart forgets what was spent of it; so an instance has none before it is a window old: two
//! instances of one limiter never spend it in one window. The sum of extras holds while there are at most `1 /
//! SHARE` times as many limiters as each takes to be there.

use std::collections::HashMap;

/// The part of the budget that is used.
const SHARE: f64 = 0.5;
/// Parts of a window that are counted each by itself.
const PARTS: u64 = 16;
/// The parts that may reach into a window: one more than fit.
const RING: usize = PARTS as usize + 1;
/// How many limiters there are if nobody has said.
const MANY: u32 = 100;
/// Most services that are counted; others get no further tries.
const MOST: usize = 4_096;

/// What was counted in one part of the time.
#[derive(Clone, Copy, Debug, Default)]
struct Part {
    number: u64,
    requests: u32,
    further: u32,
}

/// Further arrivals and requests of each service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    extra: f64,
    part_ms: f64,
    /// The first part of this instance.
    born: u64,
    latest: u64,
    services: HashMap<Box<str>, [Part; RING]>,
}

impl RetryBudget {
    /// For an instance that starts at `now`, with the bounds `retry_ratio`, `retry_win` in milliseconds and
    /// `retry_extra`.
    pub fn new(now: f64, ratio: f64, window_ms: f64, extra: f64) -> RetryBudget {
        let part_ms = window_ms.max(1.0) / PARTS as f64;
        let born = (now.max(0.0) / part_ms) as u64;
        RetryBudget {
            ratio,
            extra,
            part_ms,
            born,
            latest: born,
            services: HashMap::new(),
        }
    }

    /// A client's request for this service has come.
    pub fn record_request(&mut self, now: f64, service: &str) {
        if let Some(part) = self.part(now, service) {
            part.requests = part.requests.saturating_add(1);
        }
    }

    /// Whether one more arrival after a request's first fits in the budget. `limiters`: how many there are, 0
    /// if nobody has said.
    pub fn allows_retry(&self, now: f64, service: &str, limiters: u32) -> bool {
        let number = self.number(now);
        let Some(ring) = self.services.get(service) else {
            return false;
        };
        let within = |parts: u64| ring.iter().filter(move |part| part.number + parts > number);
        // Against ourselves: what was spent counts also in the part that reaches into the window, requests do
        // not.
        let requests: u64 = within(PARTS).map(|part| u64::from(part.requests)).sum();
        let further: u64 = within(PARTS + 1).map(|part| u64::from(part.further)).sum();
        let old = number > self.born + PARTS;
        let extra = match limiters {
            _ if !old => 0.0,
            0 => (self.extra * SHARE / f64::from(MANY)).floor(),
            _ => (self.extra * SHARE / f64::from(limiters)).floor(),
        };
        (further + 1) as f64 <= self.ratio * SHARE * requests as f64 + extra.max(0.0)
    }

    /// A request goes to a server after its first.
    pub fn record_retry(&mut self, now: f64, service: &str) {
        if let Some(part) = self.part(now, service) {
            part.further = part.further.saturating_add(1);
        }
    }

    /// Services that are counted.
    pub fn tracked_services(&self) -> usize {
        self.services.len()
    }

    /// Time does not go back here: what comes late is counted now.
    fn number(&self, now: f64) -> u64 {
        ((now.max(0.0) / self.part_ms) as u64).max(self.latest)
    }

    fn part(&mut self, now: f64, service: &str) -> Option<&mut Part> {
        let number = self.number(now);
        if number > self.latest {
            self.latest = number;
            self.services
                .retain(|_, ring| ring.iter().any(|part| part.number + PARTS >= number));
        }
        if !self.services.contains_key(service) {
            if self.services.len() >= MOST {
                return None;
            }
            self.services.insert(
                service.into(),
                [Part {
                    number,
                    ..Part::default()
                }; RING],
            );
        }
        let part = &mut self.services.get_mut(service)?[(number % RING as u64) as usize];
        if part.number != number {
            *part = Part {
                number,
                ..Part::default()
            };
        }
        Some(part)
    }
}
