//! Durations as the settings file spells them.

use std::time::Duration;

/// A duration: a number and its unit, as in `1500ms` or `2.5s`, with or without blanks between. `None` for any other
/// text, for a negative duration, and for more than a [`Duration`] holds.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let (number, seconds_per_unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 0.001),
        None => (text.strip_suffix('s')?, 1.0),
    };
    let number: f64 = number.trim().parse().ok()?;
    Duration::try_from_secs_f64(number * seconds_per_unit).ok()
}
