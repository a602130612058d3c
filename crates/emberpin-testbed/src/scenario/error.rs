//! Why a scenario cannot be played.

use std::io;

/// Why a scenario cannot be read from its file.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// The file, as it was named.
        path: String,
        /// What the system says.
        source: io::Error,
    },
    /// The text is no scenario in TOML; the line names file, line and column.
    #[error("{0}")]
    Syntax(String),
    /// A value cannot be used.
    #[error("{file}:{line}:{column}: {problem}")]
    Value {
        /// The file, as it was named.
        file: String,
        /// The line of the value, counted from 1.
        line: usize,
        /// The column of the value, counted from 1.
        column: usize,
        /// What is wrong with the value, or its table.
        problem: Box<Problem>,
    },
    /// There are more faults than a site plays.
    #[error("{file}: found {count} faults, expected {max} at most")]
    TooManyFaults {
        /// The file, as it was named.
        file: String,
        /// How many there are.
        count: usize,
        /// How many there may be.
        max: usize,
    },
}

/// What is wrong with a value, or with the table that should have it.
#[derive(Debug, thiserror::Error)]
pub enum Problem {
    /// A number is too low or too high.
    #[error("found {name} = {value}, expected {min} to {max}")]
    OutOfBounds {
        /// The key of the value in its table.
        name: &'static str,
        /// The number as it was found.
        value: String,
        /// The lowest one that can be used.
        min: String,
        /// The highest one that can be used.
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
        /// The highest one that can be used.
        max: f64,
    },
    /// A fault lacks a value.
    #[error("expected {name}, which this fault needs")]
    Missing {
        /// The key of the value in its table.
        name: &'static str,
    },
    /// A fault has a value that does nothing.
    #[error("found {name}, which this fault has no use for; take it out")]
    Unused {
        /// The key of the value in its table.
        name: &'static str,
    },
    /// A word is none of those that can be used.
    #[error("found {name} = \"{word}\", expected {expected}")]
    UnknownWord {
        /// The key of the value in its table.
        name: &'static str,
        /// The word as it was found.
        word: String,
        /// Those that can be used.
        expected: String,
    },
}
