//! Errors of the settings file. Operators see each message as the one line that a program prints before it exits;
//! `docs/operators/gateway.md` describes its format.

use super::SETTINGS_FILE_VARIABLE;
use crate::protocol_version::VersionRange;
use std::io;

/// Why the settings cannot be used. Each message names the file and the field, and says what was expected.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The environment variable that names the file is not set, or is not Unicode.
    #[error("{SETTINGS_FILE_VARIABLE}: environment: names no file")]
    NoFileNamed,
    /// The file cannot be read.
    #[error("{file}: file: {source}")]
    UnreadableFile {
        /// The path of the file.
        file: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file is not TOML.
    #[error("{file}: TOML: {}", one_line(source))]
    Syntax {
        /// The path of the file.
        file: String,
        /// The parser's error: the position, and what was expected.
        source: Box<toml::de::Error>,
    },
    /// A required field is missing, or a field has an invalid value.
    #[error("{file}: {field}: {problem}")]
    Field {
        /// The path of the file.
        file: String,
        /// The path of the field in the file, with dots, as in `self.limits.nofile`.
        field: String,
        /// What is wrong with the field.
        problem: FieldProblem,
    },
}

/// The message of a TOML error, with line breaks replaced by spaces.
fn one_line(error: &toml::de::Error) -> String {
    error.to_string().trim().replace('\n', " ")
}

/// What is wrong with a field of the settings file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FieldProblem {
    /// A required field is missing.
    #[error("is missing")]
    Missing,
    /// The value is not a string.
    #[error("expected a text")]
    NotAString,
    /// The value is not `true` or `false`.
    #[error("expected true or false")]
    NotABoolean,
    /// The value is not an array.
    #[error("expected a list")]
    NotAList,
    /// The value is not a table.
    #[error("expected a table")]
    NotATable,
    /// The value is not an integer, or it is negative.
    #[error("expected a whole number")]
    NotAnInteger,
    /// The value is not a finite number, or it is negative.
    #[error("expected a number, not below 0")]
    NotANumber,
    /// The string is not an address of the expected form.
    #[error("expected an address, found \"{found}\"")]
    NotAnAddress {
        /// The text in the file.
        found: String,
    },
    /// The string is not a number with a unit.
    #[error("expected a time such as 1500ms or 2.5s, found \"{found}\"")]
    NotADuration {
        /// The text in the file.
        found: String,
    },
    /// The value is not two ports above 0, the second above the first.
    #[error("expected two rising ports")]
    NotAPortRange,
    /// The value is not a version of the protocol that this build speaks.
    #[error("expected a version of the protocol from {}", VersionRange::SUPPORTED)]
    UnsupportedProtocolVersion,
    /// An element of the list is not an IP address with a port.
    #[error("expected addresses with ports")]
    NotSocketAddresses,
    /// The region of a zone is not a string.
    #[error("expected a region's name")]
    NotARegion,
}
