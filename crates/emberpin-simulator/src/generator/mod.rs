//! Generates scenarios from seeds: random faults within the stores' tolerance (`wide` and `dense`), and variations of
//! the recorded scenarios (`variations`).

mod dense;
mod variations;
mod wide;

/// The number of scenario kinds; consecutive seeds cycle through them.
const KIND_COUNT: u64 = 8;
/// The zones of generated scenarios.
const ZONES: [&str; 3] = ["z1", "z2", "z3"];
/// When the roster contains the initial machines, in milliseconds; see [`ROSTER_MS_PER_MACHINE`].
const ROSTER_COMPLETE_MS: u64 = 8_000;
/// How much later the roster is complete per initial machine, in milliseconds.
const ROSTER_MS_PER_MACHINE: u64 = 500;
/// The number of services that patches and servers choose from.
const SERVICE_COUNT: u64 = 3;
/// The number of routes that patches choose from.
const ROUTE_COUNT: u64 = 4;

/// Generates the text of a seed's scenario. The same seed always gives the same text.
pub fn generate(seed: u64) -> String {
    match seed % KIND_COUNT {
        0 if (seed / KIND_COUNT).is_multiple_of(2) => {
            variations::generate(seed, seed / KIND_COUNT / 2)
        }
        0 | 3 => wide::generate(seed),
        1 | 4 => dense::generate(seed),
        2 => dense::generate_targeted(seed, 3 * (seed / KIND_COUNT)),
        5 => dense::generate_targeted(seed, 3 * (seed / KIND_COUNT) + 1),
        7 => dense::generate_targeted(seed, 3 * (seed / KIND_COUNT) + 2),
        _ => dense::generate_replacements(seed),
    }
}

/// The names of core machines as steps use them, with a space before each.
fn names_of(cores: &[u8]) -> String {
    cores.iter().map(|core| format!(" core-{core}")).collect()
}
