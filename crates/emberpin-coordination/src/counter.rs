//! Draws numbers from counters.

use crate::evaluate::Evaluation;
use crate::outcome::Outcome;
use crate::register::{read, write, InvalidRegister, RegisterKey, RegisterKind, Registers};
use serde::{Deserialize, Serialize};

/// The content of a counter's register, stored as JSON under this field name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Counter {
    /// The last number that was returned; 0 before the first.
    last: u64,
}

/// Increments the counter. A number whose response is lost is skipped.
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
