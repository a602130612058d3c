//! Errors in scenarios.

use std::io;

/// An error that prevents reading a scenario from its file.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// The file, as it was named.
        path: String,
        /// The operating system's error.
        source: io::Error,
    },
    /// The text is not a scenario in TOML; the message names file, line and column.
    #[error("{0}")]
    Syntax(String),
    /// A value is invalid.
    #[error("{file}:{line}:{column}: {problem}")]
    Value {
        /// The file, as it was named.
        file: String,
        /// The line of the value, counted from 1.
        line: usize,
        /// The column of the value, counted from 1.
        column: usize,
        /// The error in the value or its table.
        problem: Box<Problem>,
    },
    /// The scenario has too many faults.
    #[error("{file}: found {count} faults, expected {max} at most")]
    TooManyFaults {
        /// The file, as it was named.
        file: String,
        /// Number of faults.
        count: usize,
        /// Maximum number of faults.
        max: usize,
    },
}

/// An error in a value, or in the table that should contain it.
#[derive(Debug, thiserror::Error)]
pub enum Problem {
    /// A number is too low or too high.
    #[error("found {name} = {value}, expected {min} to {max}")]
    OutOfBounds {
        /// The key of the value in its table.
        name: &'static str,
        /// The number found.
        value: String,
        /// The minimum.
        min: String,
        /// The maximum.
        max: String,
    },
    /// The second of two numbers is below the first, or too high.
    #[error("found {name} = [{low}, {high}], expected the second from {low} to {max}")]
    SecondOutOfBounds {
        /// The key of the value in its table.
        name: &'static str,
        /// The first of the two numbers.
        low: f64,
        /// The second of the two numbers.
        high: f64,
        /// The maximum.
        max: f64,
    },
    /// A fault lacks a value.
    #[error("expected {name}, which this fault needs")]
    Missing {
        /// The key of the value in its table.
        name: &'static str,
    },
    /// A fault has a value that it does not use.
    #[error("found {name}, which this fault does not use: remove it")]
    Unused {
        /// The key of the value in its table.
        name: &'static str,
    },
    /// A word is not one of the allowed ones.
    #[error("found {name} = \"{word}\", expected {expected}")]
    UnknownWord {
        /// The key of the value in its table.
        name: &'static str,
        /// The word found.
        word: String,
        /// The allowed words.
        expected: String,
    },
}
