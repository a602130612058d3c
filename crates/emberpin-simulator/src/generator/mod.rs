//! Draws scenarios from seeds: faults within the stores' tolerance, and variations of the recorded scenarios.

mod dense;
mod variations;
mod wide;

/// Seeds go through the kinds of scenarios in turn.
const KINDS: u64 = 8;
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
    match seed % KINDS {
        0 if (seed / KINDS).is_multiple_of(2) => variations::generate(seed, seed / KINDS / 2),
        0 | 3 => wide::generate(seed),
        1 | 4 => dense::generate(seed),
        2 => dense::generate_targeted(seed, 3 * (seed / KINDS)),
        5 => dense::generate_targeted(seed, 3 * (seed / KINDS) + 1),
        7 => dense::generate_targeted(seed, 3 * (seed / KINDS) + 2),
        _ => dense::generate_replacements(seed),
    }
}

/// Core machines as a step names them, with a space before each.
fn names_of(cores: &[u8]) -> String {
    cores.iter().map(|core| format!(" core-{core}")).collect()
}
