//! Draws scenarios from seeds: faults within the stores' tolerance.

mod dense;
mod wide;

/// Every third scenario is wide, the others are dense.
const SEEDS_PER_WIDE: u64 = 3;
/// The zones of drawn scenarios.
const ZONES: [&str; 3] = ["z1", "z2", "z3"];
/// When the first machines are all on the roster, in milliseconds.
const ROSTER_COMPLETE_MS: u64 = 8_000;
/// How much later the roster is complete for each machine.
const ROSTER_MS_PER_MACHINE: u64 = 500;
/// The services that patches and servers draw from.
const SERVICES: u64 = 3;
/// The routes that patches draw from.
const ROUTES: u64 = 4;

/// The text of the scenario of a seed; the same each time.
pub fn generate(seed: u64) -> String {
    if seed.is_multiple_of(SEEDS_PER_WIDE) {
        wide::generate(seed)
    } else {
        dense::generate(seed)
    }
}

/// Core machines as a step names them, with a space before each.
fn names_of(cores: &[u8]) -> String {
    cores.iter().map(|core| format!(" core-{core}")).collect()
}
