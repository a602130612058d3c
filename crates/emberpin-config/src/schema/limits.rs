//! The limits on requests and connections of clients.

use super::{body_of_kind, check_key, Fields};
use crate::{Item, ItemKind, ValidationError, Version};
use std::time::Duration;

/// The limits that every proxy enforces on its clients; they are the same for all routes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum length of a request head, in bytes.
    pub max_header_bytes: u64,
    /// The maximum length of a request body, in bytes.
    pub max_body_bytes: u64,
    /// The maximum time until a request head has arrived completely.
    pub header_read_timeout: Duration,
    /// How long a connection without a request stays open.
    pub idle_timeout: Duration,
    /// The version of the limits.
    pub version: Version,
}

impl Limits {
    /// Reads the limits from their item.
    ///
    /// # Errors
    ///
    /// [`ValidationError`] if the item is of another kind, a tombstone or invalid.
    pub fn from_item(item: &Item) -> Result<Limits, ValidationError> {
        let (path, body) = body_of_kind(item, ItemKind::Limits)?;
        let limits = Limits::parse(&path, body)?;
        check_key(item, &path, "", limits.version)?;
        Ok(limits)
    }

    pub(crate) fn parse(path: &str, raw: &str) -> Result<Limits, ValidationError> {
        let fields = Fields::parse(path, raw)?;
        Ok(Limits {
            max_header_bytes: fields.u64("hdr_max_bytes")?,
            max_body_bytes: fields.u64("body_max_bytes")?,
            header_read_timeout: fields.duration("hdr_read")?,
            idle_timeout: fields.duration("idle")?,
            version: fields.version()?,
        })
    }
}
