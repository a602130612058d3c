//! Durations as calls and items spell them.

use std::time::Duration;

/// A duration: a number without sign or exponent, and its unit, as in `1500ms` or `2.5s`. `None` for any other text,
/// and for more than a [`Duration`] holds.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let (number, seconds_per_unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 1e-3),
        None => (text.strip_suffix('s')?, 1.0),
    };
    // `f64::from_str` also takes signs, `inf`, `nan` and exponents.
    let is_plain = number.starts_with(|first: char| first.is_ascii_digit())
        && number
            .bytes()
            .all(|byte| byte.is_ascii_digit() || byte == b'.');
    let number = number.parse::<f64>().ok().filter(|_| is_plain)?;
    Duration::try_from_secs_f64(number * seconds_per_unit).ok()
}
