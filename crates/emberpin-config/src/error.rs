//! Why a call or an item is invalid.
//!
//! Callers of the HTTP API get the messages as the body of a 400, 409 or 503, and `emberpinctl` prints them, so
//! their texts are part of the interface.

use crate::{Version, MAX_NAME_BYTES, MAX_PATCH_BYTES, MAX_PATCH_ITEMS};

/// Why a call, an item or the configuration as a whole is invalid: one problem, and where it is.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {problem}")]
pub struct ValidationError {
    /// The path in a call (`upsert.vhosts[0].locs[1].timeout`), a field of an item (`route r-1.timeout`), or the
    /// offset of a byte in a call that is no JSON (`byte 17`).
    pub path: String,
    /// What is wrong there.
    pub problem: Problem,
}

impl ValidationError {
    pub(crate) fn new(path: impl Into<String>, problem: impl Into<Problem>) -> ValidationError {
        ValidationError {
            path: path.into(),
            problem: problem.into(),
        }
    }
}

/// What is wrong at one path.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Problem {
    /// The body of the call exceeds [`MAX_PATCH_BYTES`].
    #[error("is longer than {MAX_PATCH_BYTES} bytes")]
    BodyTooLong,
    /// The body of the call is not UTF-8.
    #[error("is not UTF-8")]
    NotUtf8,
    /// The body of the call is not JSON, or JSON that cannot be kept as it is.
    #[error(transparent)]
    Syntax(#[from] SyntaxError),
    /// The call sets and removes more than [`MAX_PATCH_ITEMS`] items.
    #[error("the call has more than {MAX_PATCH_ITEMS} items")]
    TooManyItems,
    /// The call has two contents for one item, named here as by the item's key.
    #[error("{item} stands twice in the call")]
    DuplicateItem {
        /// The kind and name of the item.
        item: String,
    },
    /// A field that this build cannot hand back, because it is not part of an item.
    #[error("is not known here")]
    UnknownField,

    /// A required field is not there.
    #[error("is missing")]
    Missing,
    /// The value is not a JSON object.
    #[error("is not an object")]
    NotAnObject,
    /// The value is not a JSON array.
    #[error("is not a list")]
    NotAList,
    /// The value is not a JSON string.
    #[error("is not a text")]
    NotAString,
    /// A name or host is empty.
    #[error("is empty")]
    Empty,
    /// A name exceeds [`MAX_NAME_BYTES`].
    #[error("is longer than {MAX_NAME_BYTES} bytes")]
    NameTooLong,
    /// The value is not a number that a `u64` holds.
    #[error("is not a whole number from 0 to 2^64 - 1")]
    NotAU64,
    /// The value is not a number that a `u32` holds.
    #[error("is not a whole number from 0 to 2^32 - 1")]
    NotAU32,
    /// The value is not a finite number, or it is negative.
    #[error("is not a number from 0 up")]
    NotARate,
    /// The value is not a duration with its unit.
    #[error("is not a time such as 1500ms or 2.5s")]
    NotADuration,
    /// A health check whose path does not begin with a slash.
    #[error("is not a path")]
    NotAPath,
    /// A prefix of a route that lacks the slash at its beginning or end.
    #[error("begins and ends with a slash in every route")]
    PrefixWithoutSlashes,
    /// The type of a route that this build does not have.
    #[error("is none of readonly, mutating, pull")]
    UnknownRouteKind,
    /// A route whose requests would all time out.
    #[error("is 0")]
    ZeroTimeout,
    /// The latency target of a route exceeds its timeout by a minute or more.
    #[error("exceeds the timeout by a minute or more")]
    LatencyTargetBeyondTimeout,
    /// A route with both a service and a distribution over services, or with neither.
    #[error("a route carries either svc or dist")]
    NoSingleDestination,
    /// A distribution in which no service has a weight above 0.
    #[error("has no service with a weight")]
    NoWeight,

    /// The body of a route's item is not a host and a route.
    #[error("is not a route")]
    NotARoute,
    /// The item is of another kind than the one that it is read as.
    #[error("is of another kind")]
    WrongKind,
    /// The item is a tombstone, which has no content.
    #[error("is dropped")]
    Tombstone,
    /// The body of the item states another name or version than the item.
    #[error("is kept under another name or version than its own")]
    KeyMismatch,

    /// A route sends requests to a service that does not exist.
    #[error("names the service {service}, which is unknown")]
    UnknownService {
        /// The name of the service.
        service: String,
    },
    /// Another route has the same host and prefix.
    #[error("has the host {host} and the prefix {prefix} of route {other}")]
    RouteCollision {
        /// The host of both routes.
        host: String,
        /// The prefix of both routes.
        prefix: String,
        /// The name of the other route.
        other: String,
    },

    /// The configuration would exceed the size that the stores keep.
    #[error("would have {bytes} bytes, of {limit} that the stores keep; remove items first")]
    ConfigurationTooLarge {
        /// The size with the call.
        bytes: usize,
        /// The largest size.
        limit: usize,
    },

    /// The version was acknowledged with another content.
    #[error("version {version} is known with another content")]
    VersionConflict {
        /// The version in the call.
        version: Version,
    },
    /// The version is not above the highest one whose content is no longer known.
    #[error("version {version} is too old to tell whether it was acknowledged")]
    VersionForgotten {
        /// The version in the call.
        version: Version,
    },
    /// A higher version of the item is known.
    #[error("version {version} is older than {newest}, which is known")]
    VersionSuperseded {
        /// The version in the call.
        version: Version,
        /// The newest version of the item.
        newest: Version,
    },
}

/// Why a text is not JSON, or is JSON that cannot be kept as it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum SyntaxError {
    /// The text ends within a value.
    #[error("the text is cut short")]
    UnexpectedEnd,
    /// More than blanks follow after the value.
    #[error("more follows after the value")]
    TrailingCharacters,
    /// Arrays and objects are nested deeper than [`MAX_JSON_DEPTH`](crate::MAX_JSON_DEPTH).
    #[error("values lie too deep in one another")]
    TooDeep,
    /// An object has something else where the name of a field belongs.
    #[error("a field's name is expected")]
    ExpectedFieldName,
    /// One object has two fields of one name, of which only one could be kept.
    #[error("a field stands twice in one object")]
    DuplicateField,
    /// No colon follows the name of a field.
    #[error("a colon is expected")]
    ExpectedColon,
    /// A value in an object is followed by neither a comma nor a closing brace.
    #[error("a comma or the end of the object is expected")]
    ExpectedCommaOrBrace,
    /// A value in an array is followed by neither a comma nor a closing bracket.
    #[error("a comma or the end of the list is expected")]
    ExpectedCommaOrBracket,
    /// A string has a control character that is not escaped.
    #[error("a control character stands in a text")]
    ControlCharacter,
    /// A backslash in a string is followed by a character that takes more than one byte.
    #[error("an escape is not known")]
    UnknownEscape,
    /// A string cannot be decoded.
    #[error("a text cannot be read")]
    InvalidString,
    /// A number is not spelled as JSON spells numbers.
    #[error("a number cannot be read")]
    InvalidNumber,
    /// The exponent of a number has no digit or more than three.
    #[error("a number's exponent cannot be kept")]
    InvalidExponent,
    /// A number takes more bytes than this build compares by value.
    #[error("a number is too long to be kept")]
    NumberTooLong,
    /// A value is neither a string, a number, an object, an array, `true`, `false` nor `null`.
    #[error("a value cannot be read")]
    InvalidValue,
}
