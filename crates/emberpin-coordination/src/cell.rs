//! Reads and writes cells.

use crate::evaluate::Evaluation;
use crate::history;
use crate::operation::{cell_group, Revision};
use crate::outcome::{CellEvent, Outcome};
use crate::register::{read, write, InvalidRegister, RegisterKey, RegisterKind, Registers};
use serde::{Deserialize, Serialize};

/// The content of a cell's register, stored as JSON under these field names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Cell {
    value: String,
    /// The revision of the last write; [`Revision::NONE`] before the first.
    revision: Revision,
}

/// Writes a cell if it has the `expected` revision; with `None`, in any case. A value that was written before is not
/// written again: the outcome has its first revision, if that is within the range that [`history::find_write`]
/// searches.
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
    let group = cell_group(name);
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

/// The revision at which an earlier attempt wrote the value, if one did. Only revisions above the expected one are
/// searched, since the value was not written yet at that one.
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
    history::find_write(registers, name, value, after)
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
