//! The seeds that a soak test runs.

use std::ops::RangeInclusive;

/// `FIRST-LAST`: the first and the last seed.
const SEEDS_VARIABLE: &str = "EMBERPIN_SOAK_SEEDS";
const DEFAULT_SEEDS: RangeInclusive<u64> = 1..=1;

/// The seeds that the environment selects, or else the default.
pub fn seeds() -> RangeInclusive<u64> {
    let read = || {
        let seeds = std::env::var(SEEDS_VARIABLE).ok()?;
        let (first, last) = seeds.split_once('-')?;
        Some(first.parse().ok()?..=last.parse().ok()?)
    };
    read().unwrap_or(DEFAULT_SEEDS)
}
