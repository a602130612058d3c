//! The `Idempotency-Key` field. The draft (section 2.1) makes it a Structured Field string (RFC 9651, section 3.3.3):
//! printable ASCII in double quotes, with `\"` and `\\` escaped. Many clients send the bare value. Where the operator
//! allows it, the bare value is accepted too and means the same key as the quoted one.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The maximum length of a key, in characters.
pub const MAX_KEY_LENGTH: usize = 255;

/// The accepted forms of the field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// Only a Structured Field string.
    Quoted,
    /// A Structured Field string, or the bare value: visible ASCII without quotes, commas, semicolons and backslashes.
    QuotedOrBare,
}

/// A key as its client chose it, unquoted: 1 to [`MAX_KEY_LENGTH`] printable ASCII characters.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(Box<str>);

/// Why a field value is not a valid key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidKey {
    /// The key is empty.
    Empty,
    /// The key has more than [`MAX_KEY_LENGTH`] characters.
    TooLong,
    /// The value is not in an accepted form, or its closing quote is missing.
    NotAString,
    /// An invalid character, at this position counted from 0. For a quoted value, positions count from the opening
    /// quote.
    Character(usize),
}

impl fmt::Display for InvalidKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InvalidKey::Empty => write!(formatter, "the key is empty"),
            InvalidKey::TooLong => write!(
                formatter,
                "the key has more than {MAX_KEY_LENGTH} characters"
            ),
            InvalidKey::NotAString => write!(formatter, "the key is no string in double quotes"),
            InvalidKey::Character(position) => write!(
                formatter,
                "character {} may not stand in a key",
                position + 1
            ),
        }
    }
}

impl Key {
    /// Parses the value of the field.
    ///
    /// # Errors
    ///
    /// Returns the reason if the value is not a valid key.
    pub fn parse(value: &str, form: Form) -> Result<Key, InvalidKey> {
        let value = value.trim_matches([' ', '\t']);
        let key = match value.strip_prefix('"') {
            Some(after_quote) => unquote(after_quote)?,
            None if form == Form::Quoted => return Err(InvalidKey::NotAString),
            None => parse_bare(value)?,
        };
        match key.len() {
            0 => Err(InvalidKey::Empty),
            1..=MAX_KEY_LENGTH => Ok(Key(key.into())),
            _ => Err(InvalidKey::TooLong),
        }
    }

    /// The unquoted characters of the key.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Unquotes a Structured Field string whose opening quote has been removed. Parameters after the string are rejected:
/// none is defined.
fn unquote(after_quote: &str) -> Result<String, InvalidKey> {
    let mut key = String::with_capacity(after_quote.len());
    let mut characters = after_quote.char_indices();
    while let Some((position, character)) = characters.next() {
        match character {
            '"' => {
                let after = position + 1;
                return if after == after_quote.len() {
                    Ok(key)
                } else {
                    Err(InvalidKey::Character(after + 1))
                };
            }
            '\\' => match characters.next() {
                Some((_, escaped @ ('"' | '\\'))) => key.push(escaped),
                _ => return Err(InvalidKey::Character(position + 1)),
            },
            ' '..='~' => key.push(character),
            _ => return Err(InvalidKey::Character(position + 1)),
        }
    }
    Err(InvalidKey::NotAString)
}

fn parse_bare(value: &str) -> Result<String, InvalidKey> {
    let is_allowed = |c: char| c.is_ascii_graphic() && !matches!(c, '"' | ',' | ';' | '\\');
    match value
        .char_indices()
        .find(|(_, character)| !is_allowed(*character))
    {
        Some((position, _)) => Err(InvalidKey::Character(position)),
        None => Ok(value.into()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn quoted_and_bare_forms_give_the_same_key() {
        let from_bare = Key::parse(" 5c0f6e1a ", Form::QuotedOrBare).expect("a key");
        assert_eq!(
            from_bare,
            Key::parse("\"5c0f6e1a\"", Form::Quoted).expect("a key")
        );
        assert_eq!(from_bare.as_str(), "5c0f6e1a");
        assert_eq!(
            Key::parse("\"a \\\"b\\\\\"", Form::Quoted)
                .expect("a key")
                .as_str(),
            "a \"b\\"
        );
    }

    #[test]
    fn an_invalid_value_is_rejected_with_its_reason() {
        let too_long = "k".repeat(MAX_KEY_LENGTH + 1);
        let cases = [
            ("", InvalidKey::Empty),
            ("\"\"", InvalidKey::Empty),
            ("\"open", InvalidKey::NotAString),
            ("\"a\"b", InvalidKey::Character(3)),
            ("\"a\\b\"", InvalidKey::Character(2)),
            ("\"a\u{7f}\"", InvalidKey::Character(2)),
            ("\"å\"", InvalidKey::Character(1)),
            ("a b", InvalidKey::Character(1)),
            ("a;p=1", InvalidKey::Character(1)),
            (&too_long, InvalidKey::TooLong),
        ];
        for (value, reason) in cases {
            assert_eq!(
                Key::parse(value, Form::QuotedOrBare),
                Err(reason),
                "{value:?}"
            );
        }
        assert_eq!(
            Key::parse("bare", Form::Quoted),
            Err(InvalidKey::NotAString)
        );
    }

    proptest! {
        #[test]
        fn any_value_is_parsed_or_rejected_without_a_panic(value in ".{0,300}") {
            if let Ok(key) = Key::parse(&value, Form::QuotedOrBare) {
                prop_assert!((1..=MAX_KEY_LENGTH).contains(&key.as_str().len()) && key.as_str().is_ascii());
            }
        }

        #[test]
        fn a_quoted_and_escaped_key_parses_to_the_original_text(text in "[ -~]{1,255}") {
            let quoted = format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""));
            let key = Key::parse(&quoted, Form::Quoted).expect("a key");
            prop_assert_eq!(key.as_str(), text);
        }
    }
}
