//! What a run comes to: a table of routes, a few lines on its events, and the verdict.

use crate::invariants::{check, Violation};
use crate::record::{ClientRequest, Outcome, Record};
use crate::routes::ROUTES;
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

/// The fraction of the requests that must be served for a run to be good.
pub const MIN_SERVED_FRACTION: f64 = 0.95;
/// How many violations are printed at most.
const MAX_VIOLATIONS_SHOWN: usize = 10;

/// What became of the requests on a route.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteSummary {
    /// The name of the route.
    pub route: &'static str,
    /// All requests that ended; the sum of the three numbers below.
    pub requests: usize,
    /// Requests with [`Outcome::Served`].
    pub served: usize,
    /// Requests with [`Outcome::Refused`].
    pub refused: usize,
    /// Requests with [`Outcome::Failed`].
    pub failed: usize,
    /// Over requests that were served at the first attempt; `None` if there are none.
    pub added: Option<AddedLatency>,
}

/// Percentiles of the latency that the gateway adds to the server's own time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AddedLatency {
    /// Half of the requests had less added than this.
    pub p50: Duration,
    /// One request in a hundred had more added than this.
    pub p99: Duration,
}

/// A run, judged.
#[derive(Clone, Debug)]
pub struct Report {
    /// One line that names the program, the size of the deployment and the options.
    pub title: String,
    /// One summary for each route.
    pub routes: Vec<RouteSummary>,
    /// What happened meanwhile, one line each.
    pub events: Vec<String>,
    /// Invariants that were violated.
    pub violations: Vec<Violation>,
}

impl Report {
    /// Checks the record and sums it up by route.
    pub fn of(title: String, events: Vec<String>, record: &Record) -> Report {
        let service_times: HashMap<&str, Duration> = record
            .arrivals
            .iter()
            .filter_map(|arrival| Some((arrival.attempt_id.as_str(), arrival.service_time?)))
            .collect();
        let routes = ROUTES.iter().map(|route| {
            let requests = record.requests.iter();
            let requests = requests.filter(|request| request.route == route.name);
            RouteSummary::of(route.name, &requests.collect::<Vec<_>>(), &service_times)
        });
        Report {
            title,
            routes: routes.collect(),
            events,
            violations: check(record),
        }
    }

    /// The fraction of all requests that were served; zero without requests.
    pub fn served_fraction(&self) -> f64 {
        let requests: usize = self.routes.iter().map(|route| route.requests).sum();
        let served: usize = self.routes.iter().map(|route| route.served).sum();
        if requests == 0 {
            return 0.0;
        }
        served as f64 / requests as f64
    }

    /// Whether every invariant held and enough requests were served.
    pub fn is_good(&self) -> bool {
        self.violations.is_empty() && self.served_fraction() >= MIN_SERVED_FRACTION
    }
}

impl RouteSummary {
    fn of(
        route: &'static str,
        requests: &[&ClientRequest],
        service_times: &HashMap<&str, Duration>,
    ) -> RouteSummary {
        let count = |outcome| {
            let with_outcome = requests.iter();
            with_outcome
                .filter(|request| request.outcome == outcome)
                .count()
        };
        let at_first_attempt = requests
            .iter()
            .filter(|request| request.is_first_attempt && request.outcome == Outcome::Served);
        let added = at_first_attempt.filter_map(|request| {
            let service_time = service_times.get(request.attempt_id.as_str())?;
            Some(request.latency.saturating_sub(*service_time))
        });
        RouteSummary {
            route,
            requests: requests.len(),
            served: count(Outcome::Served),
            refused: count(Outcome::Refused),
            failed: count(Outcome::Failed),
            added: AddedLatency::of(added.collect()),
        }
    }
}

impl AddedLatency {
    fn of(mut samples: Vec<Duration>) -> Option<AddedLatency> {
        samples.sort_unstable();
        let last = samples.len().checked_sub(1)?;
        let percentile =
            |fraction: f64| samples[((samples.len() as f64 * fraction) as usize).min(last)];
        Some(AddedLatency {
            p50: percentile(0.5),
            p99: percentile(0.99),
        })
    }
}

/// A duration in milliseconds with one decimal.
pub fn millis(time: Duration) -> String {
    format!("{:.1} ms", time.as_secs_f64() * 1000.0)
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}\n", self.title)?;
        self.fmt_routes(f)?;
        writeln!(f)?;
        for event in &self.events {
            writeln!(f, "{event}")?;
        }
        self.fmt_verdict(f)
    }
}

impl Report {
    fn fmt_routes(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<9}{:>9}{:>9}{:>9}{:>9}{:>11}{:>11}",
            "route", "requests", "served", "refused", "failed", "p50 added", "p99 added"
        )?;
        for summary in &self.routes {
            let (p50, p99) = match summary.added {
                Some(added) => (millis(added.p50), millis(added.p99)),
                None => ("-".into(), "-".into()),
            };
            let RouteSummary {
                route,
                requests,
                served,
                refused,
                failed,
                ..
            } = summary;
            writeln!(
                f,
                "{route:<9}{requests:>9}{served:>9}{refused:>9}{failed:>9}{p50:>11}{p99:>11}"
            )?;
        }
        Ok(())
    }

    fn fmt_verdict(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "\nserved: {:.2} % ({:.0} % needed)",
            self.served_fraction() * 100.0,
            MIN_SERVED_FRACTION * 100.0
        )?;
        if self.violations.is_empty() {
            return writeln!(f, "verdict: every rule held");
        }
        let count = self.violations.len();
        writeln!(f, "verdict: rules were broken {count} times")?;
        for violation in self.violations.iter().take(MAX_VIOLATIONS_SHOWN) {
            writeln!(f, "  {violation}")?;
        }
        Ok(())
    }
}
