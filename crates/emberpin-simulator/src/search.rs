//! Searches a range of seeds for generated scenarios that fail.

use crate::mutants::Guards;
use crate::runner::{run, Failure, FailureCause, RunStatistics};
use crate::scenario::parse;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

pub use crate::generator::generate;

/// The result of a search.
#[derive(Debug, Default)]
pub struct SearchResult {
    /// The number of scenarios that were run.
    pub runs: u64,
    /// The summed statistics of all runs without a failure.
    pub total: RunStatistics,
    /// The runs that failed, by seed.
    pub failures: Vec<FailedSeed>,
}

/// A seed whose scenario fails.
#[derive(Debug)]
pub struct FailedSeed {
    /// The seed that its scenario was generated from.
    pub seed: u64,
    /// The failure of its scenario.
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
    /// The distance from one seed to the next. Consecutive seeds cycle through the eight kinds of scenarios, so a step
    /// of eight searches a single kind.
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

    /// The seed at this index, counted from 0; `None` after the last seed.
    fn get(self, index: u64) -> Option<u64> {
        (index < self.count).then(|| self.first + index * self.step)
    }
}

/// Runs the scenarios of these seeds on `threads` threads and stops after `max_failures` failures. Scenarios that are
/// already running on other threads then are completed.
pub fn search(seeds: Seeds, threads: usize, max_failures: usize, guards: Guards) -> SearchResult {
    let next_index = AtomicU64::new(0);
    let result = Mutex::new(SearchResult::default());
    let work = || loop {
        let Some(seed) = seeds.get(next_index.fetch_add(1, Ordering::Relaxed)) else {
            return;
        };
        // No code panics while holding the lock, so it is never poisoned.
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
