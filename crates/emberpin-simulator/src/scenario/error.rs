//! Errors of the parser.

use std::borrow::Cow;
use std::fmt::{self, Display};

/// A line that cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}: {kind}")]
pub struct ParseError {
    /// The name of the scenario's file.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The error in the line.
    pub kind: ParseErrorKind,
}

/// The error in a line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseErrorKind {
    /// The line has something else where this was expected.
    #[error("expected {expected}, not {found}")]
    Expected {
        /// A description of the expected token, often with an example.
        expected: Cow<'static, str>,
        /// The content of the line at this place.
        found: Found,
    },
    /// Something is missing from the line.
    #[error("expected {0}")]
    Missing(&'static str),
    /// The step is earlier than the one before it.
    #[error("expected a time of {earliest_ms}ms or later, as steps stand in their order")]
    OutOfOrder {
        /// The time of the previous step, in milliseconds.
        earliest_ms: u128,
    },
}

/// The content of a line at the place of an expected token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found {
    /// The end of the line.
    EndOfLine,
    /// This token.
    Token(String),
    /// A proxy, where only a core machine fits.
    Proxy,
}

impl Display for Found {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Found::EndOfLine => f.write_str("the end of the line"),
            Found::Token(token) => write!(f, "{token:?}"),
            Found::Proxy => f.write_str("a limiter"),
        }
    }
}

impl ParseErrorKind {
    /// The error for a token in place of the expected one.
    pub(super) fn unexpected(
        token: &str,
        expected: impl Into<Cow<'static, str>>,
    ) -> ParseErrorKind {
        ParseErrorKind::Expected {
            expected: expected.into(),
            found: Found::Token(token.into()),
        }
    }
}
