//! Searches over seeds. `EMBERPIN_RUNS` sets how many seeds a search runs with the unchanged protocol.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// How many seeds are searched by default.
const DEFAULT_RUNS: u64 = 150;
/// How many seeds it may take to detect a missing safeguard.
pub const MUTANT_RUNS: u64 = 400;
/// How many threads search.
const THREADS: usize = 4;

/// How many seeds the unchanged protocol has to pass.
pub fn unmutated_runs() -> u64 {
    std::env::var("EMBERPIN_RUNS")
        .ok()
        .and_then(|runs| runs.parse().ok())
        .unwrap_or(DEFAULT_RUNS)
}

/// Runs the seeds from 0 to `runs` until one of them finds a violation; returns the violation of the lowest seed among
/// those found.
pub fn first_violation(
    name: &str,
    runs: u64,
    run: impl Fn(u64) -> Option<String> + Sync,
) -> Option<String> {
    let next_seed = AtomicU64::new(0);
    let violations = Mutex::new(BTreeMap::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| loop {
                let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                if seed >= runs || !violations.lock().expect("a lock").is_empty() {
                    return;
                }
                if let Some(violation) = run(seed) {
                    violations.lock().expect("a lock").insert(seed, violation);
                }
            });
        }
    });
    let violations = violations.into_inner().expect("a lock");
    match violations.iter().next() {
        Some((seed, violation)) => {
            let summary = violation.lines().next().unwrap_or_default();
            println!("{name}: violated with seed {seed}: {summary}");
        }
        None => println!("{name}: no violation with {runs} seeds"),
    }
    violations.into_values().next()
}
