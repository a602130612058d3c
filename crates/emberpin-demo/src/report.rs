//! What a run comes to: a few lines, and the verdict.

use crate::books::{Asked, Ending, Pages};
use crate::clients::ROUTES;
use crate::referee::{judge, Breach};
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

/// Fewer than this part of the requests served is no good run.
pub const SERVED: f64 = 0.95;
/// No more breaches than these are printed.
const SHOWN: usize = 10;

/// What became of the requests on a route.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Line {
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
    pub lines: Vec<Line>,
    /// What happened meanwhile, one line each.
    pub happened: Vec<String>,
    /// Rules that were broken.
    pub breaches: Vec<Breach>,
}

impl Report {
    /// Judges these pages.
    pub fn of(played: String, happened: Vec<String>, pages: &Pages) -> Report {
        let took: HashMap<&str, Duration> = pages
            .arrivals
            .iter()
            .filter_map(|arrival| Some((arrival.try_id.as_str(), arrival.took?)))
            .collect();
        let lines = ROUTES.iter().map(|route| {
            let asked: Vec<&Asked> = pages
                .asked
                .iter()
                .filter(|asked| asked.route == route.name)
                .collect();
            let count = |ending| asked.iter().filter(|asked| asked.ending == ending).count();
            let served = asked
                .iter()
                .filter(|asked| asked.at_once && asked.ending == Ending::Served);
            let mut added: Vec<Duration> = served
                .filter_map(|asked| {
                    Some(
                        asked
                            .waited
                            .saturating_sub(*took.get(asked.try_id.as_str())?),
                    )
                })
                .collect();
            added.sort_unstable();
            let at = |part: f64| {
                added
                    .get(((added.len() as f64 * part) as usize).min(added.len() - 1))
                    .copied()
            };
            Line {
                route: route.name,
                requests: asked.len(),
                served: count(Ending::Served),
                refused: count(Ending::Refused),
                failed: count(Ending::Failed),
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
            breaches: judge(pages),
        }
    }

    /// The part of all requests that was served; nothing of nothing.
    pub fn served(&self) -> f64 {
        let sum = |of: fn(&Line) -> usize| self.lines.iter().map(of).sum::<usize>();
        match sum(|line| line.requests) {
            0 => 0.0,
            requests => sum(|line| line.served) as f64 / requests as f64,
        }
    }

    /// Every rule held, and enough was served.
    pub fn is_good(&self) -> bool {
        self.breaches.is_empty() && self.served() >= SERVED
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
            let Line {
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
        if self.breaches.is_empty() {
            return writeln!(f, "verdict: every rule held");
        }
        writeln!(
            f,
            "verdict: rules were broken {} times",
            self.breaches.len()
        )?;
        self.breaches
            .iter()
            .take(SHOWN)
            .try_for_each(|breach| writeln!(f, "  {breach}"))
    }
}
