//! Upgrade of a limiter without downtime: a successor process starts beside the one that serves, its
//! predecessor, receives its state, and serves beside it until the predecessor has drained.
//!
//! - [`process`]: the state machine that both processes run: which one serves, which one owns the peer port, when
//!   descriptors are shared, and what follows when either process exits or crashes;
//! - [`frame`]: the encoding of the messages between them.
//!
//! No I/O and no clock: hosts pass in events and carry out the actions that come back. The state that is handed over is
//! opaque bytes to this package.
#![forbid(unsafe_code)]

pub mod frame;
pub mod process;
