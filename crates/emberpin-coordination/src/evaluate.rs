//! Judges operations on the registers.

use crate::operation::{Operation, Revision};
use crate::outcome::Outcome;
use crate::register::{subject, Change, InvalidRegister, Registers};
use crate::{cell, counter, history, lock};

/// Most bytes of all registers together, about. With more, no operation makes another lock, counter or cell: replicas
/// that catch up exchange all registers in one message.
const MAX_REGISTER_BYTES: usize = 4 << 20;

/// What becomes of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Evaluation {
    /// The caller gets this outcome once the changes are chosen.
    Complete {
        /// What the caller is told.
        outcome: Outcome,
        /// What has to be chosen before; empty if nothing changes.
        changes: Vec<Change>,
    },
    /// The operation waits for a change of this group.
    AwaitChange {
        /// The group's present revision.
        revision: Revision,
    },
}

impl Evaluation {
    /// An outcome that rests on no change.
    pub(crate) fn unchanged(outcome: Outcome) -> Evaluation {
        Evaluation::Complete {
            outcome,
            changes: Vec::new(),
        }
    }
}

/// Judges an operation on the registers.
///
/// # Errors
///
/// [`InvalidRegister`]: a register that the operation needs was written by another build.
pub fn evaluate(
    operation: &Operation,
    registers: &impl Registers,
) -> Result<Evaluation, InvalidRegister> {
    if would_exceed_limit(operation, registers) {
        return Ok(Evaluation::unchanged(Outcome::OutOfSpace));
    }
    match operation {
        Operation::AcquireLock { lock, owner, lease } => {
            lock::acquire(registers, lock, owner, *lease)
        }
        Operation::RenewLock {
            lock,
            owner,
            fence,
            lease,
        } => lock::renew(registers, lock, owner, *fence, *lease),
        Operation::ReleaseLock { lock, owner, fence } => {
            lock::release(registers, lock, owner, *fence)
        }
        Operation::NextNumber { counter } => counter::next_number(registers, counter),
        Operation::PutCell {
            cell,
            value,
            expected,
        } => cell::put(registers, cell, value, *expected),
        Operation::GetCell { cell } => cell::get(registers, cell),
        Operation::WatchGroup { group, after, .. } => history::watch(registers, group, *after),
        Operation::ListLocks { after } => lock::list(registers, after),
    }
}

fn would_exceed_limit(operation: &Operation, registers: &impl Registers) -> bool {
    registers.size_bytes() >= MAX_REGISTER_BYTES
        && subject(operation).is_some_and(|key| registers.content(&key).is_none())
}
