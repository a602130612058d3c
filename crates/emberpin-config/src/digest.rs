//! What an item says, apart from how it is spelled: digests of contents that are to be recognised later.

use crate::json::{decimal, decode, elements, members};
use crate::Item;
use std::fmt;
use xxhash_rust::xxh3::xxh3_128;

/// A digest of an item's content, of 128 bits.
///
/// Two items of one name have the same digest exactly where [`validate`](crate::validate()) takes them for the
/// same content, but for collisions: of two contents drawn at random one in 2^128. XXH3 withstands no one who
/// looks for collisions on purpose; whoever may change the configuration needs none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Digest(u128);

impl Digest {
    /// Of an item's content, a drop included; its version is no part of it.
    pub fn of(item: &Item) -> Digest {
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

/// Writes a compact value so that two come out alike exactly where `json::same` holds: each with its kind and
/// its length before it, fields in the order of their names.
fn write_value(raw: &str, out: &mut Vec<u8>) {
    if let Some(mut members) = members(raw) {
        members.sort();
        write_length(b'o', members.len(), out);
        for (name, value) in members {
            write_text(b's', &name, out);
            write_value(value, out);
        }
    } else if let Some(elements) = elements(raw) {
        write_length(b'a', elements.len(), out);
        elements
            .into_iter()
            .for_each(|element| write_value(element, out));
    } else if let Some(text) = decode(raw) {
        write_text(b's', &text, out);
    } else if let Some((negative, digits, power)) = decimal(raw) {
        write_text(if negative { b'm' } else { b'p' }, &digits, out);
        out.extend(power.to_be_bytes());
    } else {
        write_text(b'w', raw, out);
    }
}

fn write_text(kind: u8, text: &str, out: &mut Vec<u8>) {
    write_length(kind, text.len(), out);
    out.extend(text.as_bytes());
}

fn write_length(kind: u8, length: usize, out: &mut Vec<u8>) {
    out.push(kind);
    out.extend((length as u64).to_be_bytes());
}
