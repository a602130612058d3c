//! The operator's command line: reads and changes the configuration, evacuates zones, and says what ails a
//! fleet.
#![forbid(unsafe_code)]

pub mod calls;
pub mod command;
pub mod findings;
pub mod run;
pub mod status;
