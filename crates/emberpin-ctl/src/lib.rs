//! The operator's command line: reads and changes the configuration, evacuates zones, and diagnoses a fleet.
//!
//! [`command_line`] parses the arguments and [`run`] executes the command. Commands call the registries' HTTP API
//! through [`client`]. [`fleet`] collects the [`status`] of every registry, which [`members`] prints and the [`checks`]
//! of `doctor` examine. [`locks`] lists and releases the locks that applications hold.
#![forbid(unsafe_code)]

pub mod checks;
pub mod client;
pub mod command_line;
pub mod fleet;
pub mod locks;
pub mod members;
pub mod run;
pub mod status;
