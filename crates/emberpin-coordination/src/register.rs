//! Registers: the units that replicas agree on.

use crate::operation::Operation;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::time::Duration;

/// The kinds of registers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RegisterKind {
    /// A lock: its holder and its last fencing token.
    Lock,
    /// A counter: its last number.
    Counter,
    /// A cell: its value and revision.
    Cell,
    /// A group of cells: its last revision.
    CellGroup,
    /// A part of a group's history: consecutive changes.
    HistorySegment,
}

/// What identifies a register.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RegisterKey {
    /// The kind of the register.
    pub kind: RegisterKind,
    /// Its name, unique among the registers of its kind.
    pub name: String,
}

impl RegisterKey {
    /// The register of a kind with this name.
    pub fn new(kind: RegisterKind, name: impl Into<String>) -> RegisterKey {
        RegisterKey {
            kind,
            name: name.into(),
        }
    }
}

/// The registers as a majority of replicas knows them.
pub trait Registers {
    /// The content of a register; `None` if it was never written.
    fn content(&self, key: &RegisterKey) -> Option<&str>;

    /// A lower bound of the time since the register got its content, on a steady clock; zero if it is not known.
    fn age(&self, key: &RegisterKey) -> Duration;

    /// The first names of the registers of a kind that come after this one, in their order; at most `limit`.
    fn names_after(&self, kind: RegisterKind, after: &str, limit: usize) -> Vec<String>;

    /// How many bytes all registers take, about.
    fn size_bytes(&self) -> usize;
}

/// A new content of a register.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The register.
    pub key: RegisterKey,
    /// Its new content.
    pub content: String,
}

/// The content of a register is none that this build has written.
#[derive(Debug, thiserror::Error)]
#[error("the register {key:?} cannot be read: {source}")]
pub struct InvalidRegister {
    /// The register.
    pub key: RegisterKey,
    /// What is wrong with its content.
    #[source]
    pub source: serde_json::Error,
}

/// Reads a register; its default if it was never written.
pub(crate) fn read<T: DeserializeOwned + Default>(
    registers: &impl Registers,
    key: &RegisterKey,
) -> Result<T, InvalidRegister> {
    let Some(content) = registers.content(key) else {
        return Ok(T::default());
    };
    serde_json::from_str(content).map_err(|source| InvalidRegister {
        key: key.clone(),
        source,
    })
}

/// A change that gives a register this content.
pub(crate) fn write<T: Serialize>(key: RegisterKey, content: &T) -> Change {
    let content = serde_json::to_string(content)
        .expect("registers are structs of numbers and texts, which JSON can express");
    Change { key, content }
}

/// The register that an operation would make if it does not exist yet.
pub(crate) fn subject(operation: &Operation) -> Option<RegisterKey> {
    match operation {
        Operation::AcquireLock { lock, .. } => Some(RegisterKey::new(RegisterKind::Lock, lock)),
        Operation::NextNumber { counter } => Some(RegisterKey::new(RegisterKind::Counter, counter)),
        Operation::PutCell { cell, .. } => Some(RegisterKey::new(RegisterKind::Cell, cell)),
        Operation::RenewLock { .. }
        | Operation::ReleaseLock { .. }
        | Operation::GetCell { .. }
        | Operation::WatchGroup { .. }
        | Operation::ListLocks { .. } => None,
    }
}
