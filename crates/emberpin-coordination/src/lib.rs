//! Locks, counters and cells: what an operation makes of the registers that replicas agree on.
//!
//! A lock, a counter and a cell are [registers](RegisterKey): named texts, each of which a majority of replicas holds.
//! [`evaluate`] judges an [`Operation`] on the registers as a majority knows them, and returns the [`Outcome`] for the
//! caller together with the registers that have to be chosen before the caller may be told.
//!
//! There is no I/O, no clock and no randomness in this crate: whoever evaluates an operation says for how long each
//! register has had its content. The design is described in `docs/design/coordination.md`.
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
pub use operation::{group_of, FencingToken, Operation, Revision};
pub use outcome::{CellEvent, HeldLock, Outcome};
pub use register::{Change, InvalidRegister, RegisterKey, RegisterKind, Registers};
