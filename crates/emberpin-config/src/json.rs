//! JSON text that is passed on as it came. A parsed number loses what it cannot hold (`0.0`, or more digits
//! than fit), so items are kept as their text, without the blanks; only what is looked at is parsed.

use crate::ValidationError;
use std::collections::HashSet;

/// How deep the values of a call may lie in one another.
pub const MAX_JSON_DEPTH: usize = 32;
/// The longest number; what jzon does with longer ones is not exact, and overflows for some.
const MAX_NUMBER_BYTES: usize = 64;

/// The text without blanks, checked as a whole: one value, of bounded depth, in which no object names a field
/// twice.
pub(crate) fn compact(body: &[u8]) -> Result<String, ValidationError> {
    let text =
        std::str::from_utf8(body).map_err(|_| ValidationError::new("body", "is not UTF-8"))?;
    let mut reader = Reader {
        text,
        at: 0,
        out: String::with_capacity(text.len()),
    };
    reader.value(0)?;
    match reader.peek() {
        None => Ok(reader.out),
        Some(_) => Err(reader.wrong("more follows after the value")),
    }
}

struct Reader<'a> {
    text: &'a str,
    at: usize,
    out: String,
}

impl<'a> Reader<'a> {
    fn wrong(&self, what: &str) -> ValidationError {
        ValidationError::new(format!("byte {}", self.at), what)
    }

    fn byte(&self) -> Option<u8> {
        self.text.as_bytes().get(self.at).copied()
    }

    /// The next byte that is not blank.
    fn peek(&mut self) -> Option<u8> {
        while matches!(self.byte(), Some(b' ' | b'\t' | b'\n' | b'\r')) {
            self.at += 1;
        }
        self.byte()
    }

    fn punctuation(&mut self, byte: u8) -> bool {
        let there = self.peek() == Some(byte);
        if there {
            self.at += 1;
            self.out.push(byte as char);
        }
        there
    }

    fn value(&mut self, depth: usize) -> Result<(), ValidationError> {
        if depth > MAX_JSON_DEPTH {
            return Err(self.wrong("values lie too deep in one another"));
        }
        match self.peek() {
            Some(b'{') => self.object(depth),
            Some(b'[') => self.array(depth),
            Some(b'"') => self.string().map(|_| ()),
            Some(b'-' | b'0'..=b'9') => self.number(),
            Some(_) => self.word(),
            None => Err(self.wrong("the text is cut short")),
        }
    }

    fn object(&mut self, depth: usize) -> Result<(), ValidationError> {
        self.punctuation(b'{');
        let mut names = HashSet::new();
        if self.punctuation(b'}') {
            return Ok(());
        }
        loop {
            if self.peek() != Some(b'"') {
                return Err(self.wrong("a field's name is expected"));
            }
            // Of two values for one field only one could be kept.
            let name = self.string()?;
            if !names.insert(name) {
                return Err(self.wrong("a field stands twice in one object"));
            }
            if !self.punctuation(b':') {
                return Err(self.wrong("a colon is expected"));
            }
            self.value(depth + 1)?;
            if self.punctuation(b'}') {
                return Ok(());
            }
            if !self.punctuation(b',') {
                return Err(self.wrong("a comma or the end of the object is expected"));
            }
        }
    }

    fn array(&mut self, depth: usize) -> Result<(), ValidationError> {
        self.punctuation(b'[');
        if self.punctuation(b']') {
            return Ok(());
        }
        loop {
            self.value(depth + 1)?;
            if self.punctuation(b']') {
                return Ok(());
            }
            if !self.punctuation(b',') {
                return Err(self.wrong("a comma or the end of the list is expected"));
            }
        }
    }

    fn string(&mut self) -> Result<String, ValidationError> {
        let start = self.at;
        self.at += 1;
        loop {
            match self.byte() {
                None => return Err(self.wrong("the text is cut short")),
                Some(0..=0x1f) => return Err(self.wrong("a control character stands in a text")),
                Some(b'"') => break,
                Some(b'\\') => self.at += 2,
                Some(_) => self.at += 1,
            }
        }
        self.at += 1;
        let token = self
            .text
            .get(start..self.at)
            .ok_or_else(|| self.wrong("an escape is not known"))?;
        let decoded = decode(token).ok_or_else(|| self.wrong("a text cannot be read"))?;
        self.out.push_str(token);
        Ok(decoded)
    }

    fn digits(&mut self) -> usize {
        let start = self.at;
        while matches!(self.byte(), Some(b'0'..=b'9')) {
            self.at += 1;
        }
        self.at - start
    }

    fn number(&mut self) -> Result<(), ValidationError> {
        let start = self.at;
        if self.byte() == Some(b'-') {
            self.at += 1;
        }
        let zero = self.byte() == Some(b'0');
        let whole = self.digits();
        if whole == 0 || (zero && whole > 1) {
            return Err(self.wrong("a number cannot be read"));
        }
        if self.byte() == Some(b'.') {
            self.at += 1;
            if self.digits() == 0 {
                return Err(self.wrong("a number cannot be read"));
            }
        }
        if matches!(self.byte(), Some(b'e' | b'E')) {
            self.at += 1;
            if matches!(self.byte(), Some(b'+' | b'-')) {
                self.at += 1;
            }
            if !(1..=3).contains(&self.digits()) {
                return Err(self.wrong("a number's exponent cannot be kept"));
            }
        }
        if self.at - start > MAX_NUMBER_BYTES {
            return Err(self.wrong("a number is too long to be kept"));
        }
        self.out.push_str(&self.text[start..self.at]);
        Ok(())
    }

    fn word(&mut self) -> Result<(), ValidationError> {
        for word in ["true", "false", "null"] {
            if self.text.as_bytes()[self.at..].starts_with(word.as_bytes()) {
                self.at += word.len();
                self.out.push_str(word);
                return Ok(());
            }
        }
        Err(self.wrong("a value cannot be read"))
    }
}

/// The content of a string token; `None` where it is not one.
pub(crate) fn decode(token: &str) -> Option<String> {
    let inner = token.strip_prefix('"')?.strip_suffix('"')?;
    match inner.contains(['\\', '"']) {
        false => Some(inner.to_owned()),
        true => jzon::parse(token).ok()?.as_str().map(str::to_owned),
    }
}

/// The parts, between commas, of a compact object or list.
fn parts(raw: &str, open: char, close: char) -> Option<Vec<&str>> {
    let inner = raw.strip_prefix(open)?.strip_suffix(close)?;
    if inner.is_empty() {
        return Some(Vec::new());
    }
    let (mut parts, mut start, mut depth, mut quoted, mut escaped) =
        (Vec::new(), 0, 0usize, false, false);
    for (at, byte) in inner.bytes().enumerate() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if quoted => escaped = true,
            b'"' => quoted = !quoted,
            _ if quoted => {}
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth = depth.checked_sub(1)?,
            b',' if depth == 0 => {
                parts.push(inner.get(start..at)?);
                start = at + 1;
            }
            _ => {}
        }
    }
    parts.push(inner.get(start..)?);
    (depth == 0 && !quoted).then_some(parts)
}

/// The elements of a compact list.
pub(crate) fn elements(raw: &str) -> Option<Vec<&str>> {
    parts(raw, '[', ']')
}

/// The fields of a compact object, in their order.
pub(crate) fn members(raw: &str) -> Option<Vec<(String, &str)>> {
    parts(raw, '{', '}')?
        .into_iter()
        .map(|part| {
            let mut escaped = false;
            let end = part.bytes().enumerate().skip(1).find(|&(_, byte)| {
                let ends = byte == b'"' && !escaped;
                escaped = byte == b'\\' && !escaped;
                ends
            })?;
            let (name, value) = part.split_at_checked(end.0 + 1)?;
            Some((decode(name)?, value.strip_prefix(':')?))
        })
        .collect()
}

/// Whether two compact texts say the same: the order of fields, escapes and the spelling of a number don't
/// matter.
pub(crate) fn same(a: &str, b: &str) -> bool {
    if a == b {
        return true;
    }
    if let (Some(mut a), Some(mut b)) = (members(a), members(b)) {
        a.sort();
        b.sort();
        return a.len() == b.len() && a.iter().zip(&b).all(|(a, b)| a.0 == b.0 && same(a.1, b.1));
    }
    if let (Some(a), Some(b)) = (elements(a), elements(b)) {
        return a.len() == b.len() && a.iter().zip(&b).all(|(a, b)| same(a, b));
    }
    if let (Some(a), Some(b)) = (decode(a), decode(b)) {
        return a == b;
    }
    matches!((decimal(a), decimal(b)), (Some(a), Some(b)) if a == b)
}

/// A number as sign, digits without zeros at either end, and power of ten.
pub(crate) fn decimal(raw: &str) -> Option<(bool, String, i32)> {
    let (negative, rest) = match raw.strip_prefix('-') {
        Some(rest) => (true, rest),
        None => (false, raw),
    };
    let (rest, exponent) = match rest.split_once(['e', 'E']) {
        Some((rest, exponent)) => (rest, exponent.parse::<i32>().ok()?),
        None => (rest, 0),
    };
    let (whole, fraction) = rest.split_once('.').unwrap_or((rest, ""));
    let digits = format!("{whole}{fraction}");
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    let kept = digits.trim_end_matches('0');
    let power = exponent
        .checked_sub(fraction.len() as i32)?
        .checked_add((digits.len() - kept.len()) as i32)?;
    match kept.trim_start_matches('0') {
        "" => Some((false, String::new(), 0)),
        kept => Some((negative, kept.to_owned(), power)),
    }
}
