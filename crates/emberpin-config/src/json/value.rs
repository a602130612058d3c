//! Splits compact JSON values into their parts and compares them by value.

/// The decoded content of a string literal; `None` for any other value.
pub(crate) fn decode_string(literal: &str) -> Option<String> {
    let inner = literal.strip_prefix('"')?.strip_suffix('"')?;
    if inner.contains(['\\', '"']) {
        jzon::parse(literal).ok()?.as_str().map(str::to_owned)
    } else {
        Some(inner.to_owned())
    }
}

/// The elements of a compact array; `None` for any other value.
pub(crate) fn elements(raw: &str) -> Option<Vec<&str>> {
    split_at_commas(raw.strip_prefix('[')?.strip_suffix(']')?)
}

/// The names and raw values of the fields of a compact object, in the order of the text; `None` for any other value.
pub(crate) fn members(raw: &str) -> Option<Vec<(String, &str)>> {
    split_at_commas(raw.strip_prefix('{')?.strip_suffix('}')?)?
        .into_iter()
        .map(split_member)
        .collect()
}

/// Splits at the commas that are not within a string, array or object.
fn split_at_commas(inner: &str) -> Option<Vec<&str>> {
    if inner.is_empty() {
        return Some(Vec::new());
    }
    let mut parts = Vec::new();
    let (mut start, mut depth) = (0, 0usize);
    let (mut in_string, mut escaped) = (false, false);
    for (index, byte) in inner.bytes().enumerate() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_string => escaped = true,
            b'"' => in_string = !in_string,
            _ if in_string => {}
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth = depth.checked_sub(1)?,
            b',' if depth == 0 => {
                parts.push(inner.get(start..index)?);
                start = index + 1;
            }
            _ => {}
        }
    }
    parts.push(inner.get(start..)?);
    (depth == 0 && !in_string).then_some(parts)
}

/// The name and the raw value of `"name":value`.
fn split_member(member: &str) -> Option<(String, &str)> {
    let mut escaped = false;
    let (end_of_name, _) = member.bytes().enumerate().skip(1).find(|&(_, byte)| {
        let ends = byte == b'"' && !escaped;
        escaped = byte == b'\\' && !escaped;
        ends
    })?;
    let (name, value) = member.split_at_checked(end_of_name + 1)?;
    Some((decode_string(name)?, value.strip_prefix(':')?))
}

/// Whether two compact values are equal, regardless of the order of fields, of escapes and of the spelling of numbers.
pub(crate) fn is_same_value(a: &str, b: &str) -> bool {
    if a == b {
        return true;
    }
    if let (Some(mut a), Some(mut b)) = (members(a), members(b)) {
        a.sort();
        b.sort();
        let same_member =
            |(a, b): (&(String, &str), &(String, &str))| a.0 == b.0 && is_same_value(a.1, b.1);
        return a.len() == b.len() && a.iter().zip(&b).all(same_member);
    }
    if let (Some(a), Some(b)) = (elements(a), elements(b)) {
        return a.len() == b.len() && a.iter().zip(&b).all(|(a, b)| is_same_value(a, b));
    }
    if let (Some(a), Some(b)) = (decode_string(a), decode_string(b)) {
        return a == b;
    }
    matches!((parse_decimal(a), parse_decimal(b)), (Some(a), Some(b)) if a == b)
}

/// The normalized form of a number, in which all its spellings are equal: `digits * 10^exponent`, with a sign.
#[derive(PartialEq, Eq)]
pub(crate) struct Decimal {
    /// Whether the number is below zero; false for every spelling of zero.
    pub(crate) is_negative: bool,
    /// The significant digits, without zeros at either end; empty for zero.
    pub(crate) digits: String,
    /// The power of ten that the digits are multiplied by; 0 for zero.
    pub(crate) exponent: i32,
}

/// Parses a JSON number; `None` for any other value, and if the exponent exceeds an `i32`.
pub(crate) fn parse_decimal(raw: &str) -> Option<Decimal> {
    let (is_negative, rest) = match raw.strip_prefix('-') {
        Some(rest) => (true, rest),
        None => (false, raw),
    };
    let (rest, stated_exponent) = match rest.split_once(['e', 'E']) {
        Some((rest, exponent)) => (rest, exponent.parse::<i32>().ok()?),
        None => (rest, 0),
    };
    let (integer, fraction) = rest.split_once('.').unwrap_or((rest, ""));
    let all_digits = format!("{integer}{fraction}");
    if all_digits.is_empty() || !all_digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    let without_trailing_zeros = all_digits.trim_end_matches('0');
    let trailing_zeros = all_digits.len() - without_trailing_zeros.len();
    let exponent = stated_exponent
        .checked_sub(fraction.len() as i32)?
        .checked_add(trailing_zeros as i32)?;
    Some(match without_trailing_zeros.trim_start_matches('0') {
        "" => Decimal {
            is_negative: false,
            digits: String::new(),
            exponent: 0,
        },
        digits => Decimal {
            is_negative,
            digits: digits.to_owned(),
            exponent,
        },
    })
}
