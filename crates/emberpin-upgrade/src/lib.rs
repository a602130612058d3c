//! Upgrade of a limiter without downtime: a successor process starts beside the one that serves, gets its state, and
//! serves with it until the predecessor has drained.
//!
//! - [`process`]: the state machine that both processes run: who serves, who owns the peer port, when descriptors are
//!   shared, what follows when either process dies;
//! - [`frame`]: the encoding of the messages between them.
//!
//! No I/O and no clock: hosts pass in events and carry out the actions that come back. The state that is handed over is
//! opaque bytes here.
#![forbid(unsafe_code)]

pub mod frame;
pub mod process;
