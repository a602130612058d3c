//! The limits on what clients may send.

use super::{check_key, content_of, Fields};
use crate::{Item, ItemKind, ValidationError, Version};
use std::time::Duration;

/// The limits that every proxy enforces on its clients, for all routes alike.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The longest request head, in bytes.
    pub max_header_bytes: u64,
    /// The longest request body, in bytes.
    pub max_body_bytes: u64,
    /// How long a request head may take to arrive.
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
    /// [`ValidationError`], if the item is of another kind, a tombstone or invalid.
    pub fn from_item(item: &Item) -> Result<Limits, ValidationError> {
        let (path, body) = content_of(item, ItemKind::Limits)?;
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
