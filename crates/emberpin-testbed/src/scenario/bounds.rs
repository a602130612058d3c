//! Checks that single values of a scenario are present and within their bounds.

use super::error::Problem;
use super::{micros, MAX_SECONDS};
use crate::trace::Micros;

pub(super) fn number(name: &'static str, value: f64, min: f64, max: f64) -> Result<(), Problem> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(Problem::OutOfBounds {
        name,
        value: value.to_string(),
        min: min.to_string(),
        max: max.to_string(),
    })
}

pub(super) fn count(
    name: &'static str,
    value: usize,
    min: usize,
    max: usize,
) -> Result<(), Problem> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(Problem::OutOfBounds {
        name,
        value: value.to_string(),
        min: min.to_string(),
        max: max.to_string(),
    })
}

/// Checks two values within the bounds, of which the second must not be below the first.
pub(super) fn range(
    name: &'static str,
    [low, high]: [f64; 2],
    min: f64,
    max: f64,
) -> Result<(), Problem> {
    number(name, low, min, max)?;
    if (low..=max).contains(&high) {
        return Ok(());
    }
    Err(Problem::SecondOutOfBounds {
        name,
        low,
        high,
        max,
    })
}

/// Checks that a required value is present.
pub(super) fn required<T>(name: &'static str, value: Option<T>) -> Result<T, Problem> {
    value.ok_or(Problem::Missing { name })
}

/// Checks an index below `count`.
pub(super) fn index(
    name: &'static str,
    value: Option<usize>,
    count: usize,
) -> Result<usize, Problem> {
    let value = required(name, value)?;
    if value < count {
        return Ok(value);
    }
    Err(Problem::OutOfBounds {
        name,
        value: value.to_string(),
        min: "0".into(),
        max: (count - 1).to_string(),
    })
}

/// Converts a required time to microseconds; `per_second` is the number of its units in a second.
pub(super) fn time(
    name: &'static str,
    value: Option<f64>,
    per_second: f64,
) -> Result<Micros, Problem> {
    let value = required(name, value)?;
    number(name, value, 0.0, MAX_SECONDS * per_second)?;
    Ok(micros(value / per_second))
}
