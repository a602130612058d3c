//! Parses durations as they are written in patches and items.

use std::time::Duration;

/// Parses a duration: a number without sign or exponent followed by its unit, as in `1500ms` or `2.5s`. `None` for any
/// other text, and if a [`Duration`] cannot hold the value.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let (number, seconds_per_unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 1e-3),
        None => (text.strip_suffix('s')?, 1.0),
    };
    // `f64::from_str` also accepts signs, `inf`, `nan` and exponents.
    let is_plain = number.starts_with(|first: char| first.is_ascii_digit())
        && number
            .bytes()
            .all(|byte| byte.is_ascii_digit() || byte == b'.');
    let number = number.parse::<f64>().ok().filter(|_| is_plain)?;
    Duration::try_from_secs_f64(number * seconds_per_unit).ok()
}
