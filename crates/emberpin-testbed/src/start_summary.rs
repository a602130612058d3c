//! Summary of a simultaneous start of many limiters: calls to the discovery service, the times at which limiters got
//! the endpoint list, the load on cold servers, and the work served in each second.

use crate::figures::{OVERLOAD_MULTIPLE, OVERLOAD_WINDOW};
use crate::schedule::MAX_REQUESTS;
use crate::site::Outcome;
use crate::trace::{Event, EventKind, Incarnation, Micros, SECOND};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Measurements of one simultaneous start; times are in seconds since the start of the run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StartSummary {
    /// Calls to the discovery service.
    pub calls: u64,
    /// Calls that failed because the service was overloaded or dead.
    pub failed: u64,
    /// Maximum number of calls within 100 ms, and within 1 s.
    pub most_calls: [u64; 2],
    /// When 50 %, 99 % and 100 % of the limiters had the endpoint list; `None` if that share was never reached.
    pub listed: [Option<f64>; 3],
    /// When 50 % and 100 % of the limiters were ready; `None` if that share was never reached.
    pub ready: [Option<f64>; 2],
    /// Maximum number of new connections to one server within a second.
    pub most_connections: u64,
    /// Maximum work sent to a cold server within [`OVERLOAD_WINDOW`], as a share of the work that overloads it.
    #[serde(rename = "nearest_to_falling")]
    pub max_overload_ratio: f64,
    /// For each second of the run: how many pieces of work arrived in it, and how many of these were served within
    /// their latency target. Work that a client cancelled is left out.
    pub seconds: Vec<(u64, u64)>,
    /// Processor time of all limiters, in milliseconds.
    pub cpu_ms: f64,
    /// Sum of the largest resident sets of all limiters, in MiB.
    pub memory_mib: f64,
}

impl StartSummary {
    /// Computes the summary of a run.
    pub fn from_outcome(outcome: &Outcome) -> StartSummary {
        let limiters = outcome.scenario.site.limiters;
        let events = &outcome.events;
        let times_of = |matches_kind: fn(&EventKind) -> bool| -> Vec<Micros> {
            events
                .iter()
                .filter(|event| matches_kind(&event.kind))
                .map(|event| event.at)
                .collect()
        };
        let calls = times_of(|kind| matches!(kind, EventKind::DiscoveryCalled { .. }));
        let failed = times_of(|kind| {
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
        let time_of_share = |times: &[f64], share: f64| {
            let needed = (share * limiters as f64).ceil() as usize;
            needed
                .checked_sub(1)
                .and_then(|last| times.get(last))
                .copied()
        };
        StartSummary {
            calls: calls.len() as u64,
            failed: failed.len() as u64,
            most_calls: [
                max_count_within(&calls, SECOND / 10),
                max_count_within(&calls, SECOND),
            ],
            listed: [0.5, 0.99, 1.0].map(|share| time_of_share(&listed, share)),
            ready: [0.5, 1.0].map(|share| time_of_share(&ready, share)),
            most_connections: most_connections(events),
            max_overload_ratio: max_overload_ratio(events),
            seconds: work_by_second(outcome),
            cpu_ms: outcome.usage.iter().map(|usage| usage.cpu_ms).sum(),
            memory_mib: outcome
                .usage
                .iter()
                .map(|usage| usage.peak_kib as f64 / 1024.0)
                .sum(),
        }
    }

    /// Of the work that arrived from second `from` until before second `to`, the share that was served in time.
    pub fn served_share(&self, from: usize, to: usize) -> f64 {
        let span = self.seconds.iter().skip(from).take(to.saturating_sub(from));
        let (arrived, served) =
            span.fold((0, 0), |sum, second| (sum.0 + second.0, sum.1 + second.1));
        served as f64 / (arrived as f64).max(1.0)
    }
}

/// For each limiter that `limiter_of` returns for an event, the time of its first such event in seconds, in order.
fn first_times(events: &[Event], limiter_of: impl Fn(&EventKind) -> Option<usize>) -> Vec<f64> {
    let mut seen = BTreeSet::new();
    let first =
        |event: &&Event| limiter_of(&event.kind).is_some_and(|limiter| seen.insert(limiter));
    events
        .iter()
        .filter(first)
        .map(|event| event.at as f64 / SECOND as f64)
        .collect()
}

/// The maximum number of these ordered times that lie within a period of length `span`.
fn max_count_within(times: &[Micros], span: Micros) -> u64 {
    let mut from = 0;
    let counts = times.iter().enumerate().map(|(to, at)| {
        while at - times[from] >= span {
            from += 1;
        }
        to + 1 - from
    });
    counts.max().unwrap_or(0) as u64
}

/// Computes [`StartSummary::most_connections`].
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
        .map(|times| max_count_within(times, SECOND))
        .max()
        .unwrap_or(0)
}

/// Computes [`StartSummary::max_overload_ratio`]. A cold server is overloaded when the work that it received in the
/// last [`OVERLOAD_WINDOW`] reaches [`OVERLOAD_MULTIPLE`] times what it can do in that time at its current capacity.
fn max_overload_ratio(events: &[Event]) -> f64 {
    struct ColdServer {
        started_at: Micros,
        capacity: f64,
        initial_share: f64,
        warm_after: Micros,
        work: VecDeque<(Micros, f64)>,
        work_sum: f64,
    }
    let mut cold: BTreeMap<Incarnation, ColdServer> = BTreeMap::new();
    let mut incarnation_of_attempt = BTreeMap::new();
    let mut max_ratio = 0.0f64;
    for event in events {
        match event.kind {
            EventKind::ServerStarted {
                incarnation,
                capacity,
                initial_capacity_share: initial_share,
                warm_after,
                ..
            } if warm_after > 0 => {
                let (started_at, work) = (event.at, VecDeque::new());
                cold.insert(
                    incarnation,
                    ColdServer {
                        started_at,
                        capacity,
                        initial_share,
                        warm_after,
                        work,
                        work_sum: 0.0,
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
                let age = event.at - server.started_at;
                if age >= server.warm_after {
                    continue;
                }
                server.work.push_back((event.at, work));
                server.work_sum += work;
                while server
                    .work
                    .front()
                    .is_some_and(|(at, _)| event.at - at >= OVERLOAD_WINDOW)
                {
                    server.work_sum -= server.work.pop_front().map_or(0.0, |(_, work)| work);
                }
                let capacity_share = server.initial_share
                    + (1.0 - server.initial_share) * age as f64 / server.warm_after as f64;
                let overload_work =
                    OVERLOAD_MULTIPLE * server.capacity * capacity_share * OVERLOAD_WINDOW as f64
                        / 1000.0;
                max_ratio = max_ratio.max(server.work_sum / overload_work);
            }
            _ => {}
        }
    }
    max_ratio
}

/// Computes [`StartSummary::seconds`].
fn work_by_second(outcome: &Outcome) -> Vec<(u64, u64)> {
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
        assert_eq!(max_count_within(&[0, 10, 99, 100, 250], 100), 3);
        assert_eq!(max_count_within(&[], 100), 0);
    }
}
