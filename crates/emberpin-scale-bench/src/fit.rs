//! Straight lines through what was measured, and how far they may be believed.

/// Two-sided 95 % quantiles of Student's t for 1, 2, … degrees of freedom; beyond, the last one.
const T: [f64; 20] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160,
    2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086,
];

/// A line by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Its value at 0.
    pub start: f64,
    /// What it rises by for each unit.
    pub slope: f64,
    /// Half of the slope's 95 % interval; infinite where two points leave nothing to tell it from.
    pub interval: f64,
    /// So many points it goes through.
    pub points: usize,
}

/// The line through these points; `None` without two different places.
pub fn line(points: &[(f64, f64)]) -> Option<Line> {
    let count = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (x_mean, y_mean) = (mean(|point| point.0), mean(|point| point.1));
    let spread: f64 = points.iter().map(|(x, _)| (x - x_mean).powi(2)).sum();
    if spread.is_nan() || spread <= 0.0 {
        return None;
    }
    let slope = points
        .iter()
        .map(|(x, y)| (x - x_mean) * (y - y_mean))
        .sum::<f64>()
        / spread;
    let start = y_mean - slope * x_mean;
    let left: f64 = points
        .iter()
        .map(|(x, y)| (y - start - slope * x).powi(2))
        .sum();
    let freedom = points.len() - 2;
    let interval = match freedom {
        0 => f64::INFINITY,
        _ => T[(freedom - 1).min(T.len() - 1)] * (left / freedom as f64 / spread).sqrt(),
    };
    Some(Line {
        start,
        slope,
        interval,
        points: points.len(),
    })
}

/// A value and half of its interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The value.
    pub value: f64,
    /// Half of its interval.
    pub interval: f64,
}

/// From what was measured at the base, along each line by so much. The lines' errors are taken to be
/// independent.
pub fn extrapolate(base: f64, along: &[(Line, f64)]) -> Estimate {
    let value = along
        .iter()
        .fold(base, |value, (line, by)| value + line.slope * by);
    let square = |(line, by): &(Line, f64)| {
        if *by == 0.0 {
            0.0
        } else {
            (line.interval * by).powi(2)
        }
    };
    Estimate {
        value,
        interval: along.iter().map(square).sum::<f64>().sqrt(),
    }
}
