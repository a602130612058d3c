//! The operator's command line: reads and changes the configuration, evacuates zones, and diagnoses a fleet.
//!
//! [`command_line`] parses the arguments and [`run`] carries the command out: through [`client`], which calls the
//! registries' HTTP API, and [`fleet`], which collects the [`status`] of every registry for [`members`] and for the
//! [`checks`] of `doctor`. [`locks`] has those that applications hold.
#![forbid(unsafe_code)]

pub mod checks;
pub mod client;
pub mod command_line;
pub mod fleet;
pub mod locks;
pub mod members;
pub mod run;
pub mod status;
