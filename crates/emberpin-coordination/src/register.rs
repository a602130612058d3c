//! Registers: named texts, the units on which replicas agree by consensus.

use crate::operation::Operation;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::time::Duration;

/// The kinds of registers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RegisterKind {
    /// A lock: its lease and its last fencing token.
    Lock,
    /// A counter: its last number.
    Counter,
    /// A cell: its value and revision.
    Cell,
    /// A group of cells: its last revision.
    CellGroup,
    /// A segment of a group's history: consecutive changes.
    HistorySegment,
}

/// The key that identifies a register.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RegisterKey {
    /// The kind of the register.
    pub kind: RegisterKind,
    /// Its name, unique among the registers of its kind.
    pub name: String,
}

impl RegisterKey {
    /// The key of the register of this kind and name.
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

    /// A lower bound of the time since the register got its current content, on a monotonic clock; zero if that time
    /// is unknown.
    fn age(&self, key: &RegisterKey) -> Duration;

    /// The names of the registers of a kind that sort after `after`, in order; at most the first `limit`.
    fn names_after(&self, kind: RegisterKind, after: &str, limit: usize) -> Vec<String>;

    /// The approximate size of all registers together, in bytes.
    fn size_bytes(&self) -> usize;
}

/// A write to a register.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The register.
    pub key: RegisterKey,
    /// Its new content.
    pub content: String,
}

/// The error of a register whose content this build cannot parse.
#[derive(Debug, thiserror::Error)]
#[error("the register {key:?} cannot be read: {source}")]
pub struct InvalidRegister {
    /// The register.
    pub key: RegisterKey,
    /// The parse error.
    #[source]
    pub source: serde_json::Error,
}

/// Parses the content of a register; the default value if it was never written.
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

/// The change that writes this content to a register.
pub(crate) fn write<T: Serialize>(key: RegisterKey, content: &T) -> Change {
    let content = serde_json::to_string(content)
        .expect("registers are structs of numbers and strings, which JSON can express");
    Change { key, content }
}

/// The key of the register that an operation creates if it does not exist yet; `None` if the operation creates none.
pub(crate) fn created_register(operation: &Operation) -> Option<RegisterKey> {
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
