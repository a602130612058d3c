//! Digests of the contents of items, used to recognize a version that is sent again.

use crate::json::{decode_string, elements, members, parse_decimal};
use crate::Item;
use std::fmt;
use xxhash_rust::xxh3::xxh3_128;

/// A 128-bit digest of an item's content. The stores keep digests in histories, so the algorithm must not change.
///
/// Two items of one key have the same digest exactly when [`validate`](crate::validate()) considers their contents
/// equal, except for collisions, which have a probability of 2^-128 for two random contents. XXH3 does not resist
/// deliberate collisions, but whoever could exploit one may change the configuration anyway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Digest(u128);

impl Digest {
    /// The digest of an item's content, without its version. Tombstones have a digest, too.
    pub fn of_content(item: &Item) -> Digest {
        let mut canonical = Vec::new();
        match &item.body {
            None => canonical.push(b'-'),
            Some(body) => write_value(body, &mut canonical),
        }
        Digest(xxh3_128(&canonical))
    }

    pub(crate) fn parse(text: &str) -> Option<Digest> {
        u128::from_str_radix(text, 16).ok().map(Digest)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

/// Appends the canonical form of a compact value. Two values have the same canonical form exactly when
/// `json::is_same_value` holds for them. Each part is preceded by a byte for its kind and by its length; fields are
/// sorted by name.
fn write_value(raw: &str, canonical: &mut Vec<u8>) {
    if let Some(mut members) = members(raw) {
        members.sort();
        write_header(b'o', members.len(), canonical);
        for (name, value) in members {
            write_text(b's', &name, canonical);
            write_value(value, canonical);
        }
    } else if let Some(elements) = elements(raw) {
        write_header(b'a', elements.len(), canonical);
        for element in elements {
            write_value(element, canonical);
        }
    } else if let Some(text) = decode_string(raw) {
        write_text(b's', &text, canonical);
    } else if let Some(number) = parse_decimal(raw) {
        let kind = if number.is_negative { b'm' } else { b'p' };
        write_text(kind, &number.digits, canonical);
        canonical.extend(number.exponent.to_be_bytes());
    } else {
        write_text(b'w', raw, canonical);
    }
}

fn write_text(kind: u8, text: &str, canonical: &mut Vec<u8>) {
    write_header(kind, text.len(), canonical);
    canonical.extend(text.as_bytes());
}

fn write_header(kind: u8, length: usize, canonical: &mut Vec<u8>) {
    canonical.push(kind);
    canonical.extend((length as u64).to_be_bytes());
}
