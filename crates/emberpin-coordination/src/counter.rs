//! Counters.

use crate::evaluate::Evaluation;
use crate::outcome::Outcome;
use crate::register::{read, write, InvalidRegister, RegisterKey, RegisterKind, Registers};
use serde::{Deserialize, Serialize};

/// The register of a counter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Counter {
    /// The number given last; 0 before the first.
    last: u64,
}

/// The next number. One whose caller is never told is skipped.
pub fn next_number(
    registers: &impl Registers,
    counter: &str,
) -> Result<Evaluation, InvalidRegister> {
    let key = RegisterKey::new(RegisterKind::Counter, counter);
    let Counter { last } = read(registers, &key)?;
    let value = last + 1;
    Ok(Evaluation::Complete {
        outcome: Outcome::Number { value },
        changes: vec![write(key, &Counter { last: value })],
    })
}
