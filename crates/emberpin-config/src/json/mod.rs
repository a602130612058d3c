//! JSON handling that preserves the text of values as the operator sent it.
//!
//! Parsing a number can change its spelling (`0.0`) or lose digits, so items are stored as JSON text without whitespace
//! ("compact"), and only the fields that this build uses are parsed.

mod compact;
mod value;

pub(crate) use compact::compact;
pub use compact::MAX_JSON_DEPTH;
pub(crate) use value::{decode_string, elements, is_same_value, members, parse_decimal};
