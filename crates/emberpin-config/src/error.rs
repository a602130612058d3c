//! The errors of invalid patches and items.
//!
//! Clients of the HTTP API receive the messages as the body of a 400, 409 or 503 response, and `emberpinctl` prints
//! them, so the texts are part of the public interface.

use crate::{Version, MAX_NAME_BYTES, MAX_PATCH_BYTES, MAX_PATCH_ITEMS};

/// The reason why a patch, an item or the configuration as a whole is invalid: one problem and its location.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {problem}")]
pub struct ValidationError {
    /// The location: a path in a patch (`upsert.vhosts[0].locs[1].timeout`), a field of an item (`route r-1.timeout`),
    /// or a byte offset in a patch that is not valid JSON (`byte 17`).
    pub path: String,
    /// The problem at this location.
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

/// A problem at one location.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Problem {
    /// The patch exceeds [`MAX_PATCH_BYTES`].
    #[error("is longer than {MAX_PATCH_BYTES} bytes")]
    BodyTooLong,
    /// The patch is not UTF-8.
    #[error("is not UTF-8")]
    NotUtf8,
    /// The patch is not JSON, or is JSON that cannot be stored unchanged.
    #[error(transparent)]
    Syntax(#[from] SyntaxError),
    /// The patch sets and removes more than [`MAX_PATCH_ITEMS`] items.
    #[error("the call has more than {MAX_PATCH_ITEMS} items")]
    TooManyItems,
    /// The patch has two different contents or versions for one item.
    #[error("{item} stands twice in the call")]
    DuplicateItem {
        /// The kind and name of the item, as its key is displayed.
        item: String,
    },
    /// A field outside of items that this build does not know. It could not be returned by a later export.
    #[error("is not known here")]
    UnknownField,

    /// A required field is absent.
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
    /// The value is not an integer in the range of a `u64`.
    #[error("is not a whole number from 0 to 2^64 - 1")]
    NotAU64,
    /// The value is not an integer in the range of a `u32`.
    #[error("is not a whole number from 0 to 2^32 - 1")]
    NotAU32,
    /// The value is not a finite number, or it is negative.
    #[error("is not a number from 0 up")]
    NotARate,
    /// The value is not a duration with a unit.
    #[error("is not a time such as 1500ms or 2.5s")]
    NotADuration,
    /// The path of a health check does not begin with a slash.
    #[error("is not a path")]
    NotAPath,
    /// The prefix of a route lacks the slash at its beginning or end.
    #[error("begins and ends with a slash in every route")]
    PrefixWithoutSlashes,
    /// This build does not know the type of a route.
    #[error("is none of readonly, mutating, pull")]
    UnknownRouteKind,
    /// The timeout of a route is zero, so all its requests would time out.
    #[error("is 0")]
    ZeroTimeout,
    /// The latency target of a route exceeds its timeout by a minute or more.
    #[error("exceeds the timeout by a minute or more")]
    LatencyTargetBeyondTimeout,
    /// A route has both a service (`svc`) and a distribution over services (`dist`), or neither.
    #[error("a route carries either svc or dist")]
    NoSingleDestination,
    /// No service of a distribution has a weight above 0.
    #[error("has no service with a weight")]
    NoWeight,

    /// The body of a route's item does not consist of a host and a route.
    #[error("is not a route")]
    NotARoute,
    /// The item is not of the expected kind.
    #[error("is of another kind")]
    WrongKind,
    /// The item is a tombstone, which has no content.
    #[error("is dropped")]
    Tombstone,
    /// The body of the item states another name or version than the item.
    #[error("is kept under another name or version than its own")]
    KeyMismatch,

    /// A target of a route is a service that does not exist.
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

    /// The patch would enlarge the configuration beyond the byte limit of the stores.
    #[error("would have {bytes} bytes, of {limit} that the stores keep; remove items first")]
    ConfigurationTooLarge {
        /// The size of the configuration with the patch, in bytes.
        bytes: usize,
        /// The maximum size in bytes.
        limit: usize,
    },

    /// The version was acknowledged with a different content.
    #[error("version {version} is known with another content")]
    VersionConflict {
        /// The version in the patch.
        version: Version,
    },
    /// The version is so low that the record of whether it was acknowledged may have been removed.
    #[error("version {version} is too old to tell whether it was acknowledged")]
    VersionForgotten {
        /// The version in the patch.
        version: Version,
    },
    /// A higher version of the item exists.
    #[error("version {version} is older than {newest}, which is known")]
    VersionSuperseded {
        /// The version in the patch.
        version: Version,
        /// The newest version of the item.
        newest: Version,
    },
}

/// The reason why a text is not JSON, or is JSON that cannot be stored unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum SyntaxError {
    /// The text ends within a value.
    #[error("the text is cut short")]
    UnexpectedEnd,
    /// The value is followed by more than whitespace.
    #[error("more follows after the value")]
    TrailingCharacters,
    /// Arrays and objects are nested deeper than [`MAX_JSON_DEPTH`](crate::MAX_JSON_DEPTH).
    #[error("values lie too deep in one another")]
    TooDeep,
    /// An object has something other than a string where the name of a field is expected.
    #[error("a field's name is expected")]
    ExpectedFieldName,
    /// An object has two fields with the same name, of which only one could be kept.
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
    /// A string contains an unescaped control character.
    #[error("a control character stands in a text")]
    ControlCharacter,
    /// A backslash in a string is followed by a character of more than one byte.
    #[error("an escape is not known")]
    UnknownEscape,
    /// A string cannot be decoded.
    #[error("a text cannot be read")]
    InvalidString,
    /// A number does not follow the JSON grammar.
    #[error("a number cannot be read")]
    InvalidNumber,
    /// The exponent of a number has no digits, or more than three.
    #[error("a number's exponent cannot be kept")]
    InvalidExponent,
    /// A number is longer than the limit for comparison by value.
    #[error("a number is too long to be kept")]
    NumberTooLong,
    /// A value is neither a string, a number, an object, an array, `true`, `false` nor `null`.
    #[error("a value cannot be read")]
    InvalidValue,
}
