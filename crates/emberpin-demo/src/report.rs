//! The report of a run: a table of routes, one line for each kind of event, and the verdict.

use crate::invariants::{check, Violation};
use crate::record::{ClientRequest, Outcome, Record};
use crate::routes::ROUTES;
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

/// The minimum fraction of requests that must be served in a good run.
pub const MIN_SERVED_FRACTION: f64 = 0.95;
/// The maximum number of violations that are printed.
const MAX_VIOLATIONS_SHOWN: usize = 10;

/// The outcomes of the requests on a route.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteSummary {
    /// The name of the route.
    pub route: &'static str,
    /// The number of finished requests: the sum of the three numbers below.
    pub requests: usize,
    /// The number of requests with [`Outcome::Served`].
    pub served: usize,
    /// The number of requests with [`Outcome::Rejected`].
    pub rejected: usize,
    /// The number of requests with [`Outcome::Failed`].
    pub failed: usize,
    /// The latency added to requests that were served at the first attempt; `None` if there are none.
    pub added_latency: Option<AddedLatency>,
}

/// Percentiles of the latency that the gateway adds to the server's service time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AddedLatency {
    /// The median.
    pub p50: Duration,
    /// The 99th percentile.
    pub p99: Duration,
}

/// The report of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// One line that names the program, the size of the deployment and the options.
    pub title: String,
    /// One summary for each route.
    pub routes: Vec<RouteSummary>,
    /// One line for each kind of event.
    pub events: Vec<String>,
    /// The violations of invariants.
    pub violations: Vec<Violation>,
}

impl Report {
    /// Checks the record and summarizes it by route.
    pub fn from_record(title: String, events: Vec<String>, record: &Record) -> Report {
        let service_times: HashMap<&str, Duration> = record
            .arrivals
            .iter()
            .filter_map(|arrival| Some((arrival.attempt_id.as_str(), arrival.service_time?)))
            .collect();
        let routes = ROUTES.iter().map(|route| {
            let requests = record.requests.iter();
            let requests = requests.filter(|request| request.route == route.name);
            RouteSummary::from_requests(route.name, &requests.collect::<Vec<_>>(), &service_times)
        });
        Report {
            title,
            routes: routes.collect(),
            events,
            violations: check(record),
        }
    }

    /// The fraction of all requests that were served; 0 if there are no requests.
    pub fn served_fraction(&self) -> f64 {
        let requests: usize = self.routes.iter().map(|route| route.requests).sum();
        let served: usize = self.routes.iter().map(|route| route.served).sum();
        if requests == 0 {
            return 0.0;
        }
        served as f64 / requests as f64
    }

    /// Whether no invariant was violated and at least [`MIN_SERVED_FRACTION`] of the requests were served.
    pub fn is_good(&self) -> bool {
        self.violations.is_empty() && self.served_fraction() >= MIN_SERVED_FRACTION
    }
}

impl RouteSummary {
    fn from_requests(
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
            .filter(|request| request.has_single_attempt && request.outcome == Outcome::Served);
        let added_latency = at_first_attempt.filter_map(|request| {
            let service_time = service_times.get(request.attempt_id.as_str())?;
            Some(request.latency.saturating_sub(*service_time))
        });
        RouteSummary {
            route,
            requests: requests.len(),
            served: count(Outcome::Served),
            rejected: count(Outcome::Rejected),
            failed: count(Outcome::Failed),
            added_latency: AddedLatency::from_samples(added_latency.collect()),
        }
    }
}

impl AddedLatency {
    fn from_samples(mut samples: Vec<Duration>) -> Option<AddedLatency> {
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

/// Formats a duration in milliseconds with one decimal.
pub fn format_millis(time: Duration) -> String {
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
            let (p50, p99) = match summary.added_latency {
                Some(added_latency) => (
                    format_millis(added_latency.p50),
                    format_millis(added_latency.p99),
                ),
                None => ("-".into(), "-".into()),
            };
            let RouteSummary {
                route,
                requests,
                served,
                rejected,
                failed,
                ..
            } = summary;
            writeln!(
                f,
                "{route:<9}{requests:>9}{served:>9}{rejected:>9}{failed:>9}{p50:>11}{p99:>11}"
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
