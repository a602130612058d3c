//! Draws from the system.

/// Drawn from the system; a fixed number where that fails, as only spread is wanted.
pub fn drawn() -> u64 {
    let mut bytes = [0; 8];
    getrandom::fill(&mut bytes).map_or(0x9e37_79b9_7f4a_7c15, |()| u64::from_le_bytes(bytes))
}
