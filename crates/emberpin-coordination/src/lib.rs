//! The coordination service for applications: locks, counters and cells (key-value entries with revisions).
//!
//! Each of them is stored in [registers](RegisterKey): named texts that a majority of the replicas agrees on.
//! [`evaluate`] applies an [`Operation`] of an application to the registers as a majority knows them. It returns the
//! [`Outcome`] for the caller and the [`Change`]s of registers that consensus must choose before the caller gets that
//! outcome.
//!
//! This crate has no I/O, no clock and no randomness: the implementation of [`Registers`] supplies the age of each
//! register's content. The design is described in `docs/design/coordination.md`.
#![forbid(unsafe_code)]

mod cell;
mod counter;
mod evaluate;
mod history;
mod lock;
mod operation;
mod outcome;
mod register;

pub use evaluate::{evaluate, Evaluation};
pub use history::MIN_RETAINED_EVENTS;
pub use lock::{clock_tolerance, MAX_LISTED_LOCKS};
pub use operation::{cell_group, FencingToken, Operation, Revision};
pub use outcome::{CellEvent, HeldLock, Outcome};
pub use register::{Change, InvalidRegister, RegisterKey, RegisterKind, Registers};
