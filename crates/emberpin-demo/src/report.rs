//! What a run comes to: a few lines, and the verdict.

use crate::clients::ROUTES;
use crate::invariants::{check, Violation};
use crate::record::{ClientRequest, Outcome, Record};
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

/// Fewer than this part of the requests served is no good run.
pub const SERVED: f64 = 0.95;
/// No more breaches than these are printed.
const SHOWN: usize = 10;

/// What became of the requests on a route.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteSummary {
    /// The route.
    pub route: &'static str,
    /// Requests, and how they ended.
    pub requests: usize,
    /// In time, with the server's answer.
    pub served: usize,
    /// With a promise that they have not run.
    pub refused: usize,
    /// Without one.
    pub failed: usize,
    /// What the gateway added to the server's own time, in the middle and for the slowest hundredth; of requests that
    /// were served at the first try.
    pub added: Option<(Duration, Duration)>,
}

/// A run, judged.
#[derive(Clone, Debug)]
pub struct Report {
    /// What was played.
    pub played: String,
    /// Route by route.
    pub lines: Vec<RouteSummary>,
    /// What happened meanwhile, one line each.
    pub happened: Vec<String>,
    /// Rules that were broken.
    pub violations: Vec<Violation>,
}

impl Report {
    /// Checks the record and sums it up by route.
    pub fn of(played: String, happened: Vec<String>, record: &Record) -> Report {
        let service_time: HashMap<&str, Duration> = record
            .arrivals
            .iter()
            .filter_map(|arrival| Some((arrival.attempt_id.as_str(), arrival.service_time?)))
            .collect();
        let lines = ROUTES.iter().map(|route| {
            let asked: Vec<&ClientRequest> = record
                .requests
                .iter()
                .filter(|asked| asked.route == route.name)
                .collect();
            let count = |outcome| {
                asked
                    .iter()
                    .filter(|asked| asked.outcome == outcome)
                    .count()
            };
            let served = asked
                .iter()
                .filter(|asked| asked.is_first_attempt && asked.outcome == Outcome::Served);
            let mut added: Vec<Duration> = served
                .filter_map(|asked| {
                    Some(
                        asked
                            .latency
                            .saturating_sub(*service_time.get(asked.attempt_id.as_str())?),
                    )
                })
                .collect();
            added.sort_unstable();
            let at = |part: f64| {
                added
                    .get(((added.len() as f64 * part) as usize).min(added.len() - 1))
                    .copied()
            };
            RouteSummary {
                route: route.name,
                requests: asked.len(),
                served: count(Outcome::Served),
                refused: count(Outcome::Refused),
                failed: count(Outcome::Failed),
                added: if added.is_empty() {
                    None
                } else {
                    at(0.5).zip(at(0.99))
                },
            }
        });
        Report {
            played,
            lines: lines.collect(),
            happened,
            violations: check(record),
        }
    }

    /// The part of all requests that was served; nothing of nothing.
    pub fn served(&self) -> f64 {
        let sum = |of: fn(&RouteSummary) -> usize| self.lines.iter().map(of).sum::<usize>();
        match sum(|line| line.requests) {
            0 => 0.0,
            requests => sum(|line| line.served) as f64 / requests as f64,
        }
    }

    /// Every rule held, and enough was served.
    pub fn is_good(&self) -> bool {
        self.violations.is_empty() && self.served() >= SERVED
    }
}

/// As people read it.
pub fn millis(time: Duration) -> String {
    format!("{:.1} ms", time.as_secs_f64() * 1000.0)
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}\n", self.played)?;
        let names = [
            "route",
            "requests",
            "served",
            "refused",
            "failed",
            "p50 added",
            "p99 added",
        ];
        let [route, requests, served, refused, failed, middle, slow] = names;
        writeln!(
            f,
            "{route:<9}{requests:>9}{served:>9}{refused:>9}{failed:>9}{middle:>11}{slow:>11}"
        )?;
        for line in &self.lines {
            let RouteSummary {
                route,
                requests,
                served,
                refused,
                failed,
                ..
            } = line;
            let (middle, slow) = match line.added {
                Some((middle, slow)) => (millis(middle), millis(slow)),
                None => ("-".into(), "-".into()),
            };
            writeln!(
                f,
                "{route:<9}{requests:>9}{served:>9}{refused:>9}{failed:>9}{middle:>11}{slow:>11}"
            )?;
        }
        writeln!(f)?;
        for line in &self.happened {
            writeln!(f, "{line}")?;
        }
        writeln!(
            f,
            "\nserved: {:.2} % ({:.0} % needed)",
            self.served() * 100.0,
            SERVED * 100.0
        )?;
        if self.violations.is_empty() {
            return writeln!(f, "verdict: every rule held");
        }
        writeln!(
            f,
            "verdict: rules were broken {} times",
            self.violations.len()
        )?;
        self.violations
            .iter()
            .take(SHOWN)
            .try_for_each(|violation| writeln!(f, "  {violation}"))
    }
}
