//! JSON that is passed on as it was sent.
//!
//! A parsed number loses what it cannot hold (`0.0`, or more digits than fit), so items are kept as their text,
//! without blanks, and only the fields that this build uses are parsed.

mod compact;
mod value;

pub(crate) use compact::compact;
pub use compact::MAX_JSON_DEPTH;
pub(crate) use value::{decode_string, elements, is_same_value, members, parse_decimal};
