//! What a start of many limiters comes to: calls of the list service, who holds the list when, what cold servers
//! bore, and what was served second by second.

use crate::figures::{OVERLOAD_MULTIPLE, OVERLOAD_WINDOW};
use crate::schedule::REQUESTS_PER_ARRIVAL;
use crate::site::Outcome;
use crate::trace::{Event, EventKind, Incarnation, Micros, SECOND};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Figures of one start; times in seconds from its first instant.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Starts {
    /// Calls that came to the list service, and those of them that failed there.
    pub calls: u64,
    /// Calls that failed, for want of power or because the service was dead.
    pub failed: u64,
    /// Most calls within 100 ms, and within a second.
    pub most_calls: [u64; 2],
    /// When half, 99 in 100 and all limiters had the list; `None` where that never came.
    pub listed: [Option<f64>; 3],
    /// When half and all limiters were ready.
    pub ready: [Option<f64>; 2],
    /// Most new connections to one server within a second.
    pub most_connections: u64,
    /// Most work sent to a cold server within the rule's span, as a share of what fells it.
    pub nearest_to_falling: f64,
    /// By second of the first try: work asked for, and served within its aim.
    pub seconds: Vec<(u64, u64)>,
    /// Processor time of all limiters, in milliseconds.
    pub cpu_ms: f64,
    /// Largest resident sets of all limiters, in MiB.
    pub memory_mib: f64,
}

impl Starts {
    /// Sums a run up.
    pub fn from_outcome(outcome: &Outcome) -> Starts {
        let limiters = outcome.scenario.site.limiters;
        let events = &outcome.events;
        let times = |of: fn(&EventKind) -> bool| -> Vec<Micros> {
            events
                .iter()
                .filter(|event| of(&event.kind))
                .map(|event| event.at)
                .collect()
        };
        let calls = times(|kind| matches!(kind, EventKind::DiscoveryCalled { .. }));
        let failed = times(|kind| {
            matches!(
                kind,
                EventKind::DiscoveryCallEnded {
                    succeeded: false,
                    ..
                }
            )
        });
        let listed = first_times(events, |kind| match kind {
            EventKind::DiscoveryCallEnded {
                limiter,
                succeeded: true,
            } => Some(*limiter),
            _ => None,
        });
        let ready = first_times(events, |kind| match kind {
            EventKind::LimiterReady { limiter } => Some(*limiter),
            _ => None,
        });
        let part = |times: &[f64], share: f64| {
            let needed = (share * limiters as f64).ceil() as usize;
            needed
                .checked_sub(1)
                .and_then(|last| times.get(last))
                .copied()
        };
        Starts {
            calls: calls.len() as u64,
            failed: failed.len() as u64,
            most_calls: [
                most_within(&calls, SECOND / 10),
                most_within(&calls, SECOND),
            ],
            listed: [0.5, 0.99, 1.0].map(|share| part(&listed, share)),
            ready: [0.5, 1.0].map(|share| part(&ready, share)),
            most_connections: most_connections(events),
            nearest_to_falling: nearest_to_falling(events),
            seconds: by_second(outcome),
            cpu_ms: outcome.usage.iter().map(|usage| usage.cpu_ms).sum(),
            memory_mib: outcome
                .usage
                .iter()
                .map(|usage| usage.peak_kib as f64 / 1024.0)
                .sum(),
        }
    }

    /// Share of the work asked for from this second on, up to another, that was served in time.
    pub fn served(&self, from: usize, to: usize) -> f64 {
        let span = self.seconds.iter().skip(from).take(to.saturating_sub(from));
        let (asked, served) = span.fold((0, 0), |sum, second| (sum.0 + second.0, sum.1 + second.1));
        served as f64 / (asked as f64).max(1.0)
    }
}

/// The first moment of each limiter, in order, in seconds.
fn first_times(events: &[Event], of: impl Fn(&EventKind) -> Option<usize>) -> Vec<f64> {
    let mut seen = BTreeSet::new();
    let first = |event: &&Event| of(&event.kind).is_some_and(|limiter| seen.insert(limiter));
    events
        .iter()
        .filter(first)
        .map(|event| event.at as f64 / SECOND as f64)
        .collect()
}

/// The most of these ordered moments that lie within one span.
fn most_within(times: &[Micros], span: Micros) -> u64 {
    let mut from = 0;
    let counts = times.iter().enumerate().map(|(to, at)| {
        while at - times[from] >= span {
            from += 1;
        }
        to + 1 - from
    });
    counts.max().unwrap_or(0) as u64
}

fn most_connections(events: &[Event]) -> u64 {
    let mut by_incarnation: BTreeMap<Incarnation, Vec<Micros>> = BTreeMap::new();
    for event in events {
        if let EventKind::ServerConnected { incarnation, .. } = event.kind {
            by_incarnation
                .entry(incarnation)
                .or_default()
                .push(event.at);
        }
    }
    by_incarnation
        .values()
        .map(|times| most_within(times, SECOND))
        .max()
        .unwrap_or(0)
}

/// As the referee has it: the work of the last second against a multiple of what the server can do now.
fn nearest_to_falling(events: &[Event]) -> f64 {
    struct Cold {
        up: Micros,
        capacity: f64,
        from: f64,
        warm_after: Micros,
        work: VecDeque<(Micros, f64)>,
        sum: f64,
    }
    let mut cold: BTreeMap<Incarnation, Cold> = BTreeMap::new();
    let mut incarnation_of_attempt = BTreeMap::new();
    let mut nearest = 0.0f64;
    for event in events {
        match event.kind {
            EventKind::ServerStarted {
                incarnation,
                capacity,
                cold_from: from,
                warm_after,
                ..
            } if warm_after > 0 => {
                let (up, work) = (event.at, VecDeque::new());
                cold.insert(
                    incarnation,
                    Cold {
                        up,
                        capacity,
                        from,
                        warm_after,
                        work,
                        sum: 0.0,
                    },
                );
            }
            EventKind::AttemptStarted {
                attempt,
                incarnation,
                ..
            } => _ = incarnation_of_attempt.insert(attempt, incarnation),
            EventKind::AttemptReceived { attempt, work, .. } => {
                let Some(server) = incarnation_of_attempt
                    .get(&attempt)
                    .and_then(|incarnation| cold.get_mut(incarnation))
                else {
                    continue;
                };
                let age = event.at - server.up;
                if age >= server.warm_after {
                    continue;
                }
                server.work.push_back((event.at, work));
                server.sum += work;
                while server
                    .work
                    .front()
                    .is_some_and(|(at, _)| event.at - at >= OVERLOAD_WINDOW)
                {
                    server.sum -= server.work.pop_front().map_or(0.0, |(_, work)| work);
                }
                let warmth =
                    server.from + (1.0 - server.from) * age as f64 / server.warm_after as f64;
                let overload =
                    OVERLOAD_MULTIPLE * server.capacity * warmth * OVERLOAD_WINDOW as f64 / 1000.0;
                nearest = nearest.max(server.sum / overload);
            }
            _ => {}
        }
    }
    nearest
}

/// By second of its first try: what was asked for, and what was served within its aim.
fn by_second(outcome: &Outcome) -> Vec<(u64, u64)> {
    let schedule = crate::schedule::Schedule::draw(&outcome.scenario);
    let count = outcome.scenario.length.div_ceil(SECOND) as usize;
    let mut seconds = vec![(0, 0); count];
    let mut served = BTreeMap::new();
    let mut cancelled = BTreeSet::new();
    for event in &outcome.events {
        match event.kind {
            EventKind::ResponseReceived {
                request,
                status: 200,
                ..
            } => {
                served
                    .entry(request.0 / REQUESTS_PER_ARRIVAL)
                    .or_insert(event.at);
            }
            EventKind::RequestCancelled { request } => {
                _ = cancelled.insert(request.0 / REQUESTS_PER_ARRIVAL)
            }
            _ => {}
        }
    }
    for (index, arrival) in schedule.arrivals.iter().enumerate() {
        let Some(second) = seconds.get_mut((arrival.at / SECOND) as usize) else {
            continue;
        };
        if cancelled.contains(&(index as u32)) {
            continue;
        }
        second.0 += 1;
        let in_time = |at: &Micros| *at <= arrival.at + arrival.class().aim;
        second.1 += u64::from(served.get(&(index as u32)).is_some_and(in_time));
    }
    seconds
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_most_within_a_span_counts_neither_of_two_that_lie_apart_by_it() {
        assert_eq!(most_within(&[0, 10, 99, 100, 250], 100), 3);
        assert_eq!(most_within(&[], 100), 0);
    }
}
