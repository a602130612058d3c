//! Evaluates operations on the registers.

use crate::operation::{Operation, Revision};
use crate::outcome::Outcome;
use crate::register::{created_register, Change, InvalidRegister, Registers};
use crate::{cell, counter, history, lock};

/// The approximate byte limit of all registers together. At or above it, no operation creates another lock, counter or
/// cell, because replicas that catch up exchange all registers in one message.
const MAX_REGISTER_BYTES: usize = 4 << 20;

/// The result of evaluating an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Evaluation {
    /// The operation is complete once its changes are chosen.
    Complete {
        /// The outcome for the caller.
        outcome: Outcome,
        /// The changes that consensus must choose before the caller gets the outcome; empty if nothing changes.
        changes: Vec<Change>,
    },
    /// The operation waits for the next change of its group.
    AwaitChange {
        /// The group's current revision.
        revision: Revision,
    },
}

impl Evaluation {
    /// A complete evaluation that changes no register.
    pub(crate) fn unchanged(outcome: Outcome) -> Evaluation {
        Evaluation::Complete {
            outcome,
            changes: Vec::new(),
        }
    }
}

/// Evaluates an operation on the registers.
///
/// # Errors
///
/// [`InvalidRegister`] if the content of a register that the operation needs cannot be parsed: another build wrote it.
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

/// Whether the operation would create a register although the byte limit is reached.
fn would_exceed_limit(operation: &Operation, registers: &impl Registers) -> bool {
    registers.size_bytes() >= MAX_REGISTER_BYTES
        && created_register(operation).is_some_and(|key| registers.content(&key).is_none())
}
