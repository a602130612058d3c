//! Seeds for the pseudo-random generators of this process.

/// Seed of a generator if the system's random source fails. Any number will do, since draws only spread load.
const FALLBACK_SEED: u64 = 0x9e37_79b9_7f4a_7c15;

/// Draws a seed from the system's random source, or returns [`FALLBACK_SEED`] where that fails.
pub fn random_seed() -> u64 {
    let mut bytes = [0; 8];
    getrandom::fill(&mut bytes).map_or(FALLBACK_SEED, |()| u64::from_le_bytes(bytes))
}
