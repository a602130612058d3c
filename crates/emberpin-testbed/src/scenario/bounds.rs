//! Checks of single values: what is out of bounds, missing, or of no use.

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

/// Two values of which the second is not the lower one.
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

/// A value that its table has to have.
pub(super) fn required<T>(name: &'static str, value: Option<T>) -> Result<T, Problem> {
    value.ok_or(Problem::Missing { name })
}

/// The number of one of `count` things, which are counted from 0.
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

/// A time that is written in a unit of which `per_second` are a second.
pub(super) fn time(
    name: &'static str,
    value: Option<f64>,
    per_second: f64,
) -> Result<Micros, Problem> {
    let value = required(name, value)?;
    number(name, value, 0.0, MAX_SECONDS * per_second)?;
    Ok(micros(value / per_second))
}
