//! The report as one self-contained HTML page: tables, and plots over time with each fault marked.

use crate::report::{bins, describe_finding, violation_histories, Row, Summary, TIME_BIN};
use crate::site::Outcome;
use crate::trace::{seconds, EventKind};
use plotters::prelude::*;
use std::fmt::Write;

/// Width and height of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (960, 280);
/// Colours of the lines of a plot, used in turn.
const LINE_COLOURS: [RGBColor; 6] = [
    RGBColor(60, 90, 160),
    RGBColor(40, 140, 80),
    RGBColor(200, 130, 30),
    RGBColor(190, 50, 50),
    RGBColor(120, 80, 150),
    RGBColor(90, 90, 90),
];

/// A named line of a plot: points of time in seconds and value.
type Line = (String, Vec<(f64, f64)>);

/// Renders the page.
///
/// # Errors
///
/// A one-line text if a plot cannot be drawn.
pub fn page(outcome: &Outcome, summary: &Summary) -> Result<String, String> {
    let scenario = &outcome.scenario;
    let faults: Vec<(f64, String)> = outcome
        .events
        .iter()
        .filter_map(|event| match &event.kind {
            EventKind::Fault { name } => Some((seconds(event.at), name.clone())),
            _ => None,
        })
        .collect();
    let bins = bins(&outcome.events, scenario.length);
    let line = |name: &str, value: &dyn Fn(&crate::report::TimeBin) -> f64| -> Line {
        let point = |(index, bin)| (seconds(index as u64 * TIME_BIN), value(bin));
        (
            name.to_string(),
            bins.iter().enumerate().map(point).collect(),
        )
    };
    let rates = [
        line("asked", &|bin| bin.asked),
        line("served", &|bin| bin.served),
        line("refused", &|bin| bin.refused),
        line("failed", &|bin| bin.failed),
    ];
    let times = [
        line("median", &|bin| bin.p50_ms),
        line("99th percentile", &|bin| bin.p99_ms),
    ];
    let (mut cpu, mut memory): (Vec<Line>, Vec<Line>) = (Vec::new(), Vec::new());
    for limiter in 0..outcome.usage.len() {
        let name = format!("limiter {limiter}");
        let pairs = outcome.samples.windows(2);
        let load = pairs.map(|pair| {
            let time = seconds(pair[1].at - pair[0].at).max(1e-3);
            let used = pair[1].usage[limiter].cpu_ms - pair[0].usage[limiter].cpu_ms;
            (seconds(pair[1].at), used / time / 10.0)
        });
        cpu.push((name.clone(), load.collect()));
        let peak = outcome.samples.iter();
        let peak = peak.map(|sample| {
            (
                seconds(sample.at),
                sample.usage[limiter].peak_kib as f64 / 1024.0,
            )
        });
        memory.push((name, peak.collect()));
    }
    let mut page = String::new();
    let write = &mut page;
    _ = write!(
        write,
        "<!DOCTYPE html><html lang=en><meta charset=utf-8><title>{name}</title><style>body{{font:15px/1.45 \
         system-ui,sans-serif;max-width:1000px;margin:2em auto;padding:0 1em;color:#222}}table{{border-collapse:\
         collapse;margin:1em 0}}td,th{{padding:.2em .8em;text-align:right;border-bottom:1px solid #ddd}}td:first-\
         child,th:first-child{{text-align:left}}.broken{{color:#b00020;font-weight:600}}.late{{color:#a06000}}pre{{\
         background:#f6f6f6;padding:1em;overflow-x:auto}}svg{{max-width:100%;height:auto}}</style><h1>{name}</h1>\
         <p>{about} Seed {seed}, {length} s.</p>",
        name = escape(&scenario.name),
        about = escape(&scenario.about),
        seed = scenario.seed,
        length = seconds(scenario.length),
    );
    tables(write, summary);
    let plots = [
        ("Requests and responses a second", &rates[..]),
        ("Time to a served response, ms", &times[..]),
        ("Processor use of each limiter, % of a core", &cpu[..]),
        ("Largest resident set of each limiter, MiB", &memory[..]),
    ];
    for (title, lines) in plots {
        let drawn = plot(lines, &faults, seconds(scenario.length));
        let drawn = drawn.map_err(|e| format!("cannot draw the plot '{title}': {e}"))?;
        _ = write!(write, "<h2>{title}</h2>{drawn}");
    }
    if !faults.is_empty() {
        _ = write!(write, "<h2>Faults</h2><ol>");
        for (at, name) in &faults {
            _ = write!(write, "<li>{at:.2} s: {}</li>", escape(name));
        }
        _ = write!(write, "</ol>");
    }
    let histories = violation_histories(&outcome.verdict);
    if !histories.is_empty() {
        _ = write!(
            write,
            "<h2>The first violation of each rule</h2><pre>{}</pre>",
            escape(histories.trim())
        );
    }
    page += "</html>\n";
    Ok(page)
}

fn tables(write: &mut String, summary: &Summary) {
    _ = write!(write, "<table><tr><th>rule<th>verdict</tr>");
    for finding in &summary.verdict {
        let kind = match (finding.violations, finding.uncertain) {
            (0, 0) => "held",
            (0, _) => "late",
            _ => "broken",
        };
        _ = write!(
            write,
            "<tr><td>{}<td class={kind}>{}</tr>",
            finding.rule,
            describe_finding(finding)
        );
    }
    _ = write!(
        write,
        "</table><table><tr><th><th>asked<th>in time<th>late<th>refused<th>failed<th>p50 ms<th>p99 ms<th>beyond \
         quota</tr>"
    );
    let rows: Vec<&Row> = [&summary.total]
        .into_iter()
        .chain(&summary.classes)
        .chain(&summary.plans)
        .collect();
    for row in rows.into_iter().filter(|row| row.asked > 0) {
        let cells: String = row
            .cells()
            .iter()
            .map(|cell| format!("<td>{}", escape(cell)))
            .collect();
        _ = write!(write, "<tr>{cells}</tr>");
    }
    _ = write!(
        write,
        "</table><table><tr><th>limiter<th>asked<th>CPU ms<th>CPU µs a request<th>peak MiB<th>starts</tr>"
    );
    for row in &summary.limiters {
        _ = write!(
            write,
            "<tr><td>{}<td>{}<td>{:.0}<td>{:.0}<td>{:.1}<td>{}</tr>",
            row.limiter,
            row.asked,
            row.cpu_ms,
            row.cpu_us_per_request,
            row.peak_kib as f64 / 1024.0,
            row.starts
        );
    }
    _ = write!(write, "</table>");
}

/// Draws lines over time as SVG, with the faults as vertical lines.
fn plot(
    lines: &[Line],
    faults: &[(f64, String)],
    length: f64,
) -> Result<String, Box<dyn std::error::Error>> {
    let mut drawn = String::new();
    {
        let area = SVGBackend::with_string(&mut drawn, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let highest = lines
            .iter()
            .flat_map(|(_, points)| points)
            .map(|(_, y)| *y)
            .fold(1.0, f64::max);
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..length, 0.0..highest * 1.08)?;
        chart
            .configure_mesh()
            .light_line_style(WHITE)
            .x_desc("s")
            .draw()?;
        for (at, _) in faults.iter().filter(|(at, _)| *at <= length) {
            let marker = vec![(*at, 0.0), (*at, highest * 1.08)];
            chart.draw_series(LineSeries::new(marker, RGBColor(190, 50, 50).mix(0.35)))?;
        }
        for (index, (name, points)) in lines.iter().enumerate() {
            let colour = LINE_COLOURS[index % LINE_COLOURS.len()];
            let shown = points.iter().copied().filter(|(at, _)| *at <= length);
            let series = chart.draw_series(LineSeries::new(shown, colour.stroke_width(2)))?;
            let key =
                move |(x, y)| PathElement::new(vec![(x, y), (x + 14, y)], colour.stroke_width(2));
            series.label(name).legend(key);
        }
        let labels = &mut chart.configure_series_labels();
        labels
            .background_style(WHITE.mix(0.85))
            .border_style(RGBColor(200, 200, 200))
            .draw()?;
        area.present()?;
    }
    Ok(drawn)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
