//! Checks the JSON of a patch and removes its whitespace; the rest stays as it was sent.

use super::decode_string;
use crate::error::SyntaxError;
use crate::{Problem, ValidationError};
use std::collections::HashSet;

/// The maximum nesting depth of arrays and objects in a patch; a deeper one is rejected. Bounds the recursion of all
/// code that reads values, and so its stack usage.
pub const MAX_JSON_DEPTH: usize = 32;
/// The maximum length of a number in a patch, in bytes; a patch with a longer one is rejected. Bounds the cost of
/// comparing two numbers by value.
const MAX_NUMBER_BYTES: usize = 64;

/// Checks that the body is one JSON value of bounded depth without duplicate fields, and returns it without whitespace
/// between its tokens.
///
/// # Errors
///
/// [`Problem::NotUtf8`], or [`Problem::Syntax`] with the byte offset of the error as its path.
pub(crate) fn compact(body: &[u8]) -> Result<String, ValidationError> {
    let text =
        std::str::from_utf8(body).map_err(|_| ValidationError::new("body", Problem::NotUtf8))?;
    let mut compactor = Compactor {
        text,
        position: 0,
        output: String::with_capacity(text.len()),
    };
    let result = compactor.compact_text();
    result.map_err(|error| ValidationError::new(format!("byte {}", compactor.position), error))?;
    Ok(compactor.output)
}

/// A recursive-descent parser that copies its input without whitespace.
struct Compactor<'a> {
    text: &'a str,
    /// The offset of the next byte to read; after an error, the offset to report.
    position: usize,
    output: String,
}

impl Compactor<'_> {
    fn compact_text(&mut self) -> Result<(), SyntaxError> {
        self.value(0)?;
        match self.next_token() {
            None => Ok(()),
            Some(_) => Err(SyntaxError::TrailingCharacters),
        }
    }

    fn current_byte(&self) -> Option<u8> {
        self.text.as_bytes().get(self.position).copied()
    }

    /// Skips whitespace and returns the byte after it, which is not consumed.
    fn next_token(&mut self) -> Option<u8> {
        while matches!(self.current_byte(), Some(b' ' | b'\t' | b'\n' | b'\r')) {
            self.position += 1;
        }
        self.current_byte()
    }

    /// Consumes and copies this punctuation mark if it is the next token. Returns whether it is.
    fn consume(&mut self, mark: u8) -> bool {
        let is_next = self.next_token() == Some(mark);
        if is_next {
            self.position += 1;
            self.output.push(mark as char);
        }
        is_next
    }

    fn value(&mut self, depth: usize) -> Result<(), SyntaxError> {
        if depth > MAX_JSON_DEPTH {
            return Err(SyntaxError::TooDeep);
        }
        match self.next_token() {
            Some(b'{') => self.object(depth),
            Some(b'[') => self.array(depth),
            Some(b'"') => self.string().map(|_| ()),
            Some(b'-' | b'0'..=b'9') => self.number(),
            Some(_) => self.literal(),
            None => Err(SyntaxError::UnexpectedEnd),
        }
    }

    fn object(&mut self, depth: usize) -> Result<(), SyntaxError> {
        self.consume(b'{');
        if self.consume(b'}') {
            return Ok(());
        }
        let mut names = HashSet::new();
        loop {
            if self.next_token() != Some(b'"') {
                return Err(SyntaxError::ExpectedFieldName);
            }
            // Only one of two values for the same field could be kept.
            let name = self.string()?;
            if !names.insert(name) {
                return Err(SyntaxError::DuplicateField);
            }
            if !self.consume(b':') {
                return Err(SyntaxError::ExpectedColon);
            }
            self.value(depth + 1)?;
            if self.consume(b'}') {
                return Ok(());
            }
            if !self.consume(b',') {
                return Err(SyntaxError::ExpectedCommaOrBrace);
            }
        }
    }

    fn array(&mut self, depth: usize) -> Result<(), SyntaxError> {
        self.consume(b'[');
        if self.consume(b']') {
            return Ok(());
        }
        loop {
            self.value(depth + 1)?;
            if self.consume(b']') {
                return Ok(());
            }
            if !self.consume(b',') {
                return Err(SyntaxError::ExpectedCommaOrBracket);
            }
        }
    }

    /// Copies a string literal, and returns its decoded content.
    fn string(&mut self) -> Result<String, SyntaxError> {
        let start = self.position;
        self.position += 1;
        loop {
            match self.current_byte() {
                None => return Err(SyntaxError::UnexpectedEnd),
                Some(0..=0x1f) => return Err(SyntaxError::ControlCharacter),
                Some(b'"') => break,
                Some(b'\\') => self.position += 2,
                Some(_) => self.position += 1,
            }
        }
        self.position += 1;
        let literal = self
            .text
            .get(start..self.position)
            .ok_or(SyntaxError::UnknownEscape)?;
        let content = decode_string(literal).ok_or(SyntaxError::InvalidString)?;
        self.output.push_str(literal);
        Ok(content)
    }

    /// Consumes digits, and returns their number.
    fn digits(&mut self) -> usize {
        let start = self.position;
        while matches!(self.current_byte(), Some(b'0'..=b'9')) {
            self.position += 1;
        }
        self.position - start
    }

    fn number(&mut self) -> Result<(), SyntaxError> {
        let start = self.position;
        if self.current_byte() == Some(b'-') {
            self.position += 1;
        }
        let starts_with_zero = self.current_byte() == Some(b'0');
        let integer_digits = self.digits();
        if integer_digits == 0 || (starts_with_zero && integer_digits > 1) {
            return Err(SyntaxError::InvalidNumber);
        }
        if self.current_byte() == Some(b'.') {
            self.position += 1;
            if self.digits() == 0 {
                return Err(SyntaxError::InvalidNumber);
            }
        }
        if matches!(self.current_byte(), Some(b'e' | b'E')) {
            self.position += 1;
            if matches!(self.current_byte(), Some(b'+' | b'-')) {
                self.position += 1;
            }
            if !(1..=3).contains(&self.digits()) {
                return Err(SyntaxError::InvalidExponent);
            }
        }
        if self.position - start > MAX_NUMBER_BYTES {
            return Err(SyntaxError::NumberTooLong);
        }
        self.output.push_str(&self.text[start..self.position]);
        Ok(())
    }

    fn literal(&mut self) -> Result<(), SyntaxError> {
        for literal in ["true", "false", "null"] {
            if self.text.as_bytes()[self.position..].starts_with(literal.as_bytes()) {
                self.position += literal.len();
                self.output.push_str(literal);
                return Ok(());
            }
        }
        Err(SyntaxError::InvalidValue)
    }
}
