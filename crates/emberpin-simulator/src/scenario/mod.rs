//! Scenarios and their text format.

mod commands;
mod error;
mod parser;
mod patch;
mod tokens;

pub use error::{ParseError, ParseErrorKind};
pub use parser::parse;

pub(crate) use commands::{
    CallTarget, Command, Expectation, ExpectedItem, Fault, Links, OperatorCommand, OperatorRequest,
    ServerCommand, StoreMessageKind, UnsyncedWrites,
};

use std::time::Duration;

/// A scenario: its machines, and the steps that happen to them at given times.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// The name of its file.
    pub name: String,
    /// The number of machines with a store and a registry.
    pub cores: u8,
    /// The number of proxies.
    pub proxies: u8,
    /// The zones, to which machines are assigned in turn. Never empty.
    pub zones: Vec<String>,
    /// How many disks may be lost at once: the stores' tolerance.
    pub tolerance: usize,
    /// The seed of all random choices in the run.
    pub seed: u64,
    /// The mutants that must fail in this scenario.
    pub mutants: Vec<String>,
    /// The steps, ordered by time.
    pub steps: Vec<Step>,
    /// When the run's final checks begin; not before the last step.
    pub end: Duration,
}

/// One step of a scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// When it is executed, since the start of the run.
    pub at: Duration,
    /// Its line in the file, counted from 1.
    pub line: usize,
    /// The line's text without its comment.
    pub text: String,
    pub(crate) command: Command,
}
