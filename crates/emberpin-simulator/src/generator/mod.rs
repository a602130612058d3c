//! Generates scenarios from seeds. Three modules generate them in different ways:
//!
//! - `wide`: many machines, with periods of faults that may hit all of them, and fault-free periods in between;
//! - `dense`: fewer machines and longer runs, with overlapping faults of at most as many machines as are tolerated;
//! - `variations`: the recorded scenarios, with small changes.

mod dense;
mod variations;
mod wide;

/// The number of scenario kinds; consecutive seeds cycle through them.
const KIND_COUNT: u64 = 8;
/// The zones of generated scenarios.
const ZONES: [&str; 3] = ["z1", "z2", "z3"];
/// The base of the time at which all initial machines are on the roster, in milliseconds. [`ROSTER_MS_PER_MACHINE`] is
/// added for each of them.
const ROSTER_COMPLETE_MS: u64 = 8_000;
/// By how much each initial machine delays the complete roster, in milliseconds.
const ROSTER_MS_PER_MACHINE: u64 = 500;
/// The number of services that operators configure and servers offer.
const SERVICE_COUNT: u64 = 3;
/// The number of routes that operators configure.
const ROUTE_COUNT: u64 = 4;

/// Generates the text of a seed's scenario. The same seed always gives the same text.
pub fn generate(seed: u64) -> String {
    match seed % KIND_COUNT {
        0 if (seed / KIND_COUNT).is_multiple_of(2) => {
            variations::generate(seed, seed / KIND_COUNT / 2)
        }
        0 | 3 => wide::generate(seed),
        1 | 4 => dense::generate(seed),
        2 => dense::generate_mid_round_faults(seed, 3 * (seed / KIND_COUNT)),
        5 => dense::generate_mid_round_faults(seed, 3 * (seed / KIND_COUNT) + 1),
        7 => dense::generate_mid_round_faults(seed, 3 * (seed / KIND_COUNT) + 2),
        _ => dense::generate_replacements(seed),
    }
}

/// The names of core machines as steps use them, with a space before each.
fn names_of(cores: &[u8]) -> String {
    cores.iter().map(|core| format!(" core-{core}")).collect()
}
