//! Searches seeds for a scenario that fails.

use crate::mutants::Guards;
use crate::runner::{run, Failure, FailureCause, RunStatistics};
use crate::scenario::parse;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

pub use crate::generator::generate;

/// What a search found.
#[derive(Debug, Default)]
pub struct SearchResult {
    /// How many scenarios were run.
    pub runs: u64,
    /// What all runs that held did, summed.
    pub total: RunStatistics,
    /// The runs that failed, by seed.
    pub failures: Vec<FailedSeed>,
}

/// A seed whose scenario fails.
#[derive(Debug)]
pub struct FailedSeed {
    /// The number that its scenario was generated from.
    pub seed: u64,
    /// What went wrong.
    pub failure: Failure,
    /// The text of its scenario.
    pub text: String,
}

/// The seeds of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seeds {
    /// The first seed.
    pub first: u64,
    /// How many seeds there are.
    pub count: u64,
    /// The distance from one seed to the next. Seeds go through the kinds of scenarios in turn, so that a distance of eight
    /// searches one kind alone.
    pub step: u64,
}

impl Seeds {
    /// Consecutive seeds.
    pub fn consecutive(first: u64, count: u64) -> Seeds {
        Seeds {
            first,
            count,
            step: 1,
        }
    }

    /// The seed of this number, counted from 0; `None` after the last.
    fn get(self, number: u64) -> Option<u64> {
        (number < self.count).then(|| self.first + number * self.step)
    }
}

/// Runs the scenarios of these seeds on `threads` threads, and stops at `max_failures` failures. Scenarios that other
/// threads have begun by then are run to their end.
pub fn search(seeds: Seeds, threads: usize, max_failures: usize, guards: Guards) -> SearchResult {
    let next_number = AtomicU64::new(0);
    let result = Mutex::new(SearchResult::default());
    let work = || loop {
        let Some(seed) = seeds.get(next_number.fetch_add(1, Ordering::Relaxed)) else {
            return;
        };
        // Nothing that holds the lock panics, so it is never poisoned.
        let is_over = result
            .lock()
            .map_or(true, |result| result.failures.len() >= max_failures);
        if is_over {
            return;
        }
        let text = generate(seed);
        let outcome = run_seed(seed, &text, guards);
        let Ok(mut result) = result.lock() else {
            return;
        };
        result.runs += 1;
        match outcome {
            Ok(statistics) => result.total += statistics,
            Err(failure) => result.failures.push(FailedSeed {
                seed,
                failure,
                text,
            }),
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(work);
        }
    });
    let mut result = result.into_inner().unwrap_or_default();
    result.failures.sort_by_key(|failed| failed.seed);
    result
}

fn run_seed(seed: u64, text: &str, guards: Guards) -> Result<RunStatistics, Failure> {
    let name = format!("seed-{seed}.scn");
    match parse(&name, text) {
        Ok(scenario) => run(&scenario, guards),
        Err(error) => Err(Failure {
            scenario: name,
            seed,
            cause: FailureCause::Scenario(error),
        }),
    }
}
