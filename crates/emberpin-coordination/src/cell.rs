//! Cells.

use crate::evaluate::Evaluation;
use crate::history;
use crate::operation::{group_of, Revision};
use crate::outcome::{CellEvent, Outcome};
use crate::register::{read, write, InvalidRegister, RegisterKey, RegisterKind, Registers};
use serde::{Deserialize, Serialize};

/// The register of a cell.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Cell {
    value: String,
    /// The revision of the last change; [`Revision::NONE`] before the first.
    revision: Revision,
}

/// Writes a cell if it has the expected revision, if there is one. A value that was written before is not written again:
/// its first revision is told, as far as the search goes back.
pub fn put(
    registers: &impl Registers,
    name: &str,
    value: &str,
    expected: Option<Revision>,
) -> Result<Evaluation, InvalidRegister> {
    let key = RegisterKey::new(RegisterKind::Cell, name);
    let cell: Cell = read(registers, &key)?;
    if expected != Some(cell.revision) {
        if let Some(revision) = earlier_write(registers, name, value, &cell, expected)? {
            return Ok(Evaluation::unchanged(Outcome::CellWritten { revision }));
        }
        if expected.is_some() {
            let revision = cell.revision;
            return Ok(Evaluation::unchanged(Outcome::CellChanged { revision }));
        }
    }
    let group = group_of(name);
    let event = CellEvent {
        name: name.into(),
        value: value.into(),
        revision: history::last_revision(registers, group)?.next(),
    };
    let written = Cell {
        value: value.into(),
        revision: event.revision,
    };
    let outcome = Outcome::CellWritten {
        revision: event.revision,
    };
    let mut changes = history::append(registers, group, event)?;
    changes.push(write(key, &written));
    Ok(Evaluation::Complete { outcome, changes })
}

/// The revision at which the value was written by an earlier attempt. It is above the expected one, at which the value
/// was not written yet.
fn earlier_write(
    registers: &impl Registers,
    name: &str,
    value: &str,
    cell: &Cell,
    expected: Option<Revision>,
) -> Result<Option<Revision>, InvalidRegister> {
    let after = expected.unwrap_or(Revision::NONE);
    if cell.revision <= after {
        return Ok(None);
    }
    if cell.value == value {
        return Ok(Some(cell.revision));
    }
    history::find(registers, name, value, after)
}

/// Reads a cell.
pub fn get(registers: &impl Registers, name: &str) -> Result<Evaluation, InvalidRegister> {
    let key = RegisterKey::new(RegisterKind::Cell, name);
    let Cell { value, revision } = read(registers, &key)?;
    Ok(Evaluation::unchanged(if revision == Revision::NONE {
        Outcome::NoCell
    } else {
        Outcome::Cell { value, revision }
    }))
}
