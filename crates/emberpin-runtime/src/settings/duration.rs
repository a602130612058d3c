//! The format of durations in the settings file.

use std::time::Duration;

/// Parses a duration: a number and its unit, `ms` or `s`, as in `1500ms` or `2.5s`, with or without spaces between
/// them. Returns `None` for any other text, for a negative duration, and for one beyond the range of [`Duration`].
pub fn parse_duration(text: &str) -> Option<Duration> {
    let (number, seconds_per_unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 0.001),
        None => (text.strip_suffix('s')?, 1.0),
    };
    let number: f64 = number.trim().parse().ok()?;
    Duration::try_from_secs_f64(number * seconds_per_unit).ok()
}
