//! Tables: what was run, and what is computed from it.

use crate::fit::{self, Estimate, Line};
use crate::run::Sample;
use crate::size::{Dimension, Size};
use std::collections::BTreeSet;
use std::fmt::Write;

/// Figures that are said but not put on lines.
const COUNTED: [&str; 2] = [
    "proxy: requests answered in a batch",
    "all: beats acknowledged, 1/s",
];

/// Each value of a figure, with the count of one dimension, of the samples that differ from the base in
/// nothing else.
pub fn points(
    samples: &[Sample],
    base: &Size,
    dimension: Dimension,
    figure: &str,
) -> Vec<(f64, f64)> {
    let along = samples
        .iter()
        .filter(|sample| sample.size.only(dimension, base));
    along
        .flat_map(|sample| {
            let values = sample.figures.get(figure).into_iter().flatten();
            values.map(|value| (sample.size.of(dimension) as f64, *value))
        })
        .collect()
}

/// The names of all figures.
pub fn figures(samples: &[Sample]) -> BTreeSet<&'static str> {
    samples
        .iter()
        .flat_map(|sample| sample.figures.keys().copied())
        .collect()
}

/// The line of a figure along a dimension, where two sizes of it were run.
pub fn line(samples: &[Sample], base: &Size, dimension: Dimension, figure: &str) -> Option<Line> {
    fit::line(&points(samples, base, dimension, figure))
}

/// What a figure would be at another size, by the lines that there are.
pub fn estimate(samples: &[Sample], base: &Size, to: &Size, figure: &str) -> Option<Estimate> {
    let at_base = samples
        .iter()
        .find(|sample| sample.size == *base)?
        .figures
        .get(figure)?;
    let mean = at_base.iter().sum::<f64>() / at_base.len() as f64;
    let along: Vec<(Line, f64)> = Dimension::ALL
        .into_iter()
        .filter_map(|dimension| {
            let by = to.of(dimension) as f64 - base.of(dimension) as f64;
            Some((line(samples, base, dimension, figure)?, by))
        })
        .collect();
    Some(fit::extrapolate(mean, &along))
}

fn number(value: f64) -> String {
    match value.abs() {
        size if !size.is_finite() => "?".into(),
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.5}"),
    }
}

/// Both tables, as Markdown.
pub fn tables(samples: &[Sample], base: &Size, to: &Size) -> String {
    let mut text =
        String::from("Run (means at each size; limiters/servers/routes/services):\n\n| figure |");
    for Size {
        limiters,
        servers,
        routes,
        services,
    } in samples.iter().map(|sample| sample.size)
    {
        _ = write!(text, " {limiters}/{servers}/{routes}/{services} |");
    }
    _ = writeln!(text, "\n| --- |{}", " ---: |".repeat(samples.len()));
    for figure in figures(samples) {
        _ = write!(text, "| {figure} |");
        for sample in samples {
            let values = sample.figures.get(figure).map_or(&[][..], Vec::as_slice);
            let mean = values.iter().sum::<f64>() / values.len() as f64;
            _ = write!(text, " {} |", number(mean));
        }
        text.push('\n');
    }
    let late = "change: last limiter after acknowledgement, ms";
    let all = samples
        .iter()
        .flat_map(|sample| sample.figures.get(late).into_iter().flatten());
    let count = all.clone().count();
    let longest = all.copied().fold(0.0, f64::max);
    _ = writeln!(
        text,
        "\nOf {count} changes, the last limiter had the latest one after {} ms.",
        number(longest)
    );
    let unheard: u64 = samples.iter().map(|sample| sample.unheard).sum();
    _ = writeln!(text, "\nBeats without an acknowledgement: {unheard}\n");
    let Size {
        limiters,
        servers,
        routes,
        services,
    } = to;
    _ = writeln!(
        text,
        "Slopes fitted, ± half of the 95 % interval; the last column is computed, not run:\n\n\
         | figure | at the base | per limiter | per server | per route | per service | \
         computed at {limiters}/{servers}/{routes}/{services} |\n| --- |{}",
        " ---: |".repeat(6)
    );
    for figure in figures(samples)
        .into_iter()
        .filter(|figure| !COUNTED.contains(figure))
    {
        let Some(at_base) = estimate(samples, base, base, figure) else {
            continue;
        };
        _ = write!(text, "| {figure} | {} |", number(at_base.value));
        for dimension in Dimension::ALL {
            match line(samples, base, dimension, figure) {
                Some(line) => {
                    _ = write!(
                        text,
                        " {} ± {} |",
                        number(line.slope),
                        number(line.interval)
                    );
                }
                None => text.push_str(" none |"),
            }
        }
        if let Some(there) = estimate(samples, base, to, figure) {
            _ = writeln!(
                text,
                " {} ± {} |",
                number(there.value),
                number(there.interval)
            );
        }
    }
    text
}
