//! The summary of a simultaneous start of many limiters: calls of the discovery service, when limiters had the
//! endpoint list, the load on cold servers, and the work served in each second.

use crate::figures::{OVERLOAD_MULTIPLE, OVERLOAD_WINDOW};
use crate::schedule::MAX_REQUESTS;
use crate::site::Outcome;
use crate::trace::{Event, EventKind, Incarnation, Micros, SECOND};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Figures of one start; times are in seconds since the start of the run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Starts {
    /// Calls to the discovery service.
    pub calls: u64,
    /// Calls that failed because the service was overloaded or dead.
    pub failed: u64,
    /// Maximum number of calls within 100 ms, and within a second.
    pub most_calls: [u64; 2],
    /// When half, 99 % and all of the limiters had the endpoint list; `None` if that was never reached.
    pub listed: [Option<f64>; 3],
    /// When half and all of the limiters were ready.
    pub ready: [Option<f64>; 2],
    /// Maximum number of new connections to one server within a second.
    pub most_connections: u64,
    /// Maximum work sent to a cold server within [`OVERLOAD_WINDOW`], as a share of the work that overloads it.
    pub nearest_to_falling: f64,
    /// For each second of the run: pieces of work first requested in it, and those of them served within their latency
    /// target.
    pub seconds: Vec<(u64, u64)>,
    /// Processor time of all limiters, in milliseconds.
    pub cpu_ms: f64,
    /// Largest resident sets of all limiters, in MiB.
    pub memory_mib: f64,
}

impl Starts {
    /// Summarises a run.
    pub fn from_outcome(outcome: &Outcome) -> Starts {
        let limiters = outcome.scenario.site.limiters;
        let events = &outcome.events;
        let times = |selects: fn(&EventKind) -> bool| -> Vec<Micros> {
            events
                .iter()
                .filter(|event| selects(&event.kind))
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

    /// Share of the work requested from second `from` to before second `to` that was served in time.
    pub fn served(&self, from: usize, to: usize) -> f64 {
        let span = self.seconds.iter().skip(from).take(to.saturating_sub(from));
        let (asked, served) = span.fold((0, 0), |sum, second| (sum.0 + second.0, sum.1 + second.1));
        served as f64 / (asked as f64).max(1.0)
    }
}

/// The time of each limiter's first matching event in seconds, in order.
fn first_times(events: &[Event], selects: impl Fn(&EventKind) -> Option<usize>) -> Vec<f64> {
    let mut seen = BTreeSet::new();
    let first = |event: &&Event| selects(&event.kind).is_some_and(|limiter| seen.insert(limiter));
    events
        .iter()
        .filter(first)
        .map(|event| event.at as f64 / SECOND as f64)
        .collect()
}

/// The maximum number of these ordered times that lie within one span.
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

/// Compares the work of the last [`OVERLOAD_WINDOW`] with [`OVERLOAD_MULTIPLE`] times what the server can do now.
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

/// For each second: pieces of work first requested in it, and those of them served within their latency target.
fn by_second(outcome: &Outcome) -> Vec<(u64, u64)> {
    let schedule = crate::schedule::Schedule::draw(&outcome.scenario);
    let count = outcome.scenario.length.div_ceil(SECOND) as usize;
    let mut seconds = vec![(0, 0); count];
    let mut served = BTreeMap::new();
    let mut ignored = BTreeSet::new();
    for event in &outcome.events {
        match event.kind {
            EventKind::Responded {
                request,
                status: 200,
                ..
            } => {
                served.entry(request.0 / MAX_REQUESTS).or_insert(event.at);
            }
            EventKind::RequestCancelled { request } => _ = ignored.insert(request.0 / MAX_REQUESTS),
            _ => {}
        }
    }
    for (index, arrival) in schedule.arrivals.iter().enumerate() {
        let Some(second) = seconds.get_mut((arrival.at / SECOND) as usize) else {
            continue;
        };
        if ignored.contains(&(index as u32)) {
            continue;
        }
        second.0 += 1;
        let in_time = |at: &Micros| *at <= arrival.at + arrival.class().latency_target;
        second.1 += u64::from(served.get(&(index as u32)).is_some_and(in_time));
    }
    seconds
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_maximum_within_a_span_excludes_its_end() {
        assert_eq!(most_within(&[0, 10, 99, 100, 250], 100), 3);
        assert_eq!(most_within(&[], 100), 0);
    }
}
