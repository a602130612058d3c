//! The rounds of the main measurement, and the table of their figures.

use crate::{settings, standins, Plan, AS_BARE, AS_LIMITER, AS_TOWER_STACK};
use comfy_table::presets::UTF8_HORIZONTAL_ONLY;
use comfy_table::{CellAlignment, Table, TableComponent};
use emberpin_testbed::process::resource_usage;
use emberpin_testbed::report::percentile;
use serde::Serialize;
use std::ffi::OsString;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// The time under load before the measurement: connections are established, and branch predictors are trained.
const WARM_UP: Duration = Duration::from_millis(300);
/// The time-out for the start of a program, until it reports ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A program that is measured, with its arguments.
pub struct Subject {
    pub name: &'static str,
    pub program: PathBuf,
    pub arguments: Vec<OsString>,
}

/// The figures of one subject in one round.
#[derive(Clone, Debug, Serialize)]
struct Round {
    cpu_us_per_request: f64,
    p50_us: f64,
    p99_us: f64,
    /// Requests served per second under closed-loop load, the most that the subject serves.
    most_per_second: f64,
    peak_kib: f64,
    not_served: u64,
}

/// The figures of one subject in all rounds.
#[derive(Debug, Serialize)]
struct Measured {
    name: &'static str,
    rounds: Vec<Round>,
}

/// Median, minimum and maximum of a figure over the rounds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Spread {
    median: f64,
    min: f64,
    max: f64,
}

impl Spread {
    fn from_values(values: impl Iterator<Item = f64>) -> Spread {
        let mut values: Vec<f64> = values.collect();
        values.sort_by(f64::total_cmp);
        let quantile = |share| percentile(&values, share);
        Spread {
            median: quantile(0.5),
            min: quantile(0.0),
            max: quantile(1.0),
        }
    }

    /// The spread as text, with this number of digits after the decimal point.
    fn formatted(&self, digits: usize) -> String {
        format!(
            "{:.digits$} ({:.digits$} to {:.digits$})",
            self.median, self.min, self.max
        )
    }
}

/// Measures all subjects, prints the table, and writes the JSON file of the plan.
///
/// # Errors
///
/// A subject does not start, or a file cannot be written.
pub fn run(plan: &Plan) -> Result<(), String> {
    let own = std::env::current_exe().map_err(|e| format!("cannot find this program: {e}"))?;
    let own_program_as = |argument: &str| (own.clone(), vec![OsString::from(argument)]);
    let (limiter, limiter_arguments) = match &plan.limiter {
        Some(path) => (path.clone(), Vec::new()),
        None => own_program_as(AS_LIMITER),
    };
    let new_subject = |name, (program, arguments)| Subject {
        name,
        program,
        arguments,
    };
    let mut subjects = vec![
        new_subject("bare proxy", own_program_as(AS_BARE)),
        new_subject("limiter", (limiter.clone(), limiter_arguments.clone())),
        new_subject("tower + governor", own_program_as(AS_TOWER_STACK)),
    ];
    if !plan.operator_files.is_empty() {
        let mut arguments = limiter_arguments;
        for file in &plan.operator_files {
            arguments.extend(["--with".into(), file.into()]);
        }
        subjects.push(new_subject("limiter --with", (limiter, arguments)));
    }
    let folder = std::env::temp_dir().join(format!("emberpin-bench-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let measured = rounds(plan, &subjects, &folder);
    _ = std::fs::remove_dir_all(&folder);
    let (direct, measured) = measured?;
    print(plan, &direct, &measured);
    if let Some(path) = &plan.json {
        let all = serde_json::json!({"direct": direct, "measured": measured});
        let text = serde_json::to_string_pretty(&all).map_err(|e| format!("the figures: {e}"))?;
        std::fs::write(path, text + "\n")
            .map_err(|e| format!("cannot write {}: {e}", path.display()))?;
    }
    Ok(())
}

/// The median and the 99th percentile of the response time without a proxy in each round, in microseconds, and the
/// rounds of each subject.
type Figures = (Vec<(f64, f64)>, Vec<Measured>);

fn rounds(plan: &Plan, subjects: &[Subject], folder: &Path) -> Result<Figures, String> {
    let (servers, discovery) = standins::start(plan.servers as usize)?;
    let time = Duration::from_secs_f64(plan.seconds);
    let mut direct = Vec::new();
    let mut measured: Vec<Measured> = subjects
        .iter()
        .map(|subject| Measured {
            name: subject.name,
            rounds: Vec::new(),
        })
        .collect();
    for round in 0..plan.rounds as usize {
        let observed = standins::load_at_rate(servers[0], plan.rate, time)?;
        direct.push((
            percentile(&observed.times, 0.5),
            percentile(&observed.times, 0.99),
        ));
        for offset in 0..subjects.len() {
            let index = (round + offset) % subjects.len();
            let figures = measure(plan, &subjects[index], &servers, discovery, folder)?;
            eprintln!(
                "round {} of {}: {}, {:.1} µs a request",
                round + 1,
                plan.rounds,
                subjects[index].name,
                figures.cpu_us_per_request
            );
            measured[index].rounds.push(figures);
        }
    }
    Ok((direct, measured))
}

fn measure(
    plan: &Plan,
    subject: &Subject,
    servers: &[SocketAddr],
    discovery: SocketAddr,
    folder: &Path,
) -> Result<Round, String> {
    let free =
        TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).and_then(|listener| listener.local_addr());
    let address = free.map_err(|e| format!("no port: {e}"))?;
    let file = folder.join("config.json");
    let written = std::fs::write(
        &file,
        settings::file(address, discovery, servers).to_string(),
    );
    written.map_err(|e| format!("{}: {e}", file.display()))?;
    let process = SubjectProcess::start(subject, &file, address)?;
    let time = Duration::from_secs_f64(plan.seconds);
    standins::load_at_rate(address, plan.rate, WARM_UP)?;
    let (before, _) = process.resource_usage()?;
    let observed = standins::load_at_rate(address, plan.rate, time)?;
    let (after, _) = process.resource_usage()?;
    let peak = standins::load_closed_loop(address, plan.connections as usize, time / 2)?;
    let (_, peak_kib) = process.resource_usage()?;
    Ok(Round {
        cpu_us_per_request: (after - before) * 1000.0
            / (observed.served + observed.not_served).max(1) as f64,
        p50_us: percentile(&observed.times, 0.5),
        p99_us: percentile(&observed.times, 0.99),
        most_per_second: peak.served as f64 / peak.seconds,
        peak_kib: peak_kib as f64,
        not_served: observed.not_served + peak.not_served,
    })
}

/// The process of a subject; killed when dropped.
pub struct SubjectProcess<'a> {
    subject: &'a Subject,
    child: Child,
}

impl SubjectProcess<'_> {
    pub fn start<'a>(
        subject: &'a Subject,
        file: &Path,
        address: SocketAddr,
    ) -> Result<SubjectProcess<'a>, String> {
        let child = Command::new(&subject.program)
            .args(&subject.arguments)
            .env("GW_CONFIG", file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .map_err(|e| format!("cannot start {}: {e}", subject.program.display()))?;
        let mut running = SubjectProcess { subject, child };
        let started_at = Instant::now();
        while !is_ready(address) {
            if let Ok(Some(status)) = running.child.try_wait() {
                return Err(format!(
                    "{} ended before it was ready: {status}",
                    subject.name
                ));
            }
            if started_at.elapsed() > START_TIMEOUT {
                return Err(format!(
                    "{} is not ready after {} s",
                    subject.name,
                    START_TIMEOUT.as_secs()
                ));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(running)
    }

    /// The processor time in milliseconds so far, and the largest resident set in KiB.
    fn resource_usage(&self) -> Result<(f64, u64), String> {
        resource_usage(self.child.id()).ok_or_else(|| format!("{} has ended", self.subject.name))
    }
}

impl Drop for SubjectProcess<'_> {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return false;
    };
    let request =
        b"GET /health/ready HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n";
    let mut head = [0; 12];
    stream.write_all(request).is_ok()
        && stream.read_exact(&mut head).is_ok()
        && head.ends_with(b"200")
}

/// A figure of the table: its name, the function that reads it from a round, and its digits after the decimal point.
type Figure = (&'static str, fn(&Round) -> f64, usize);

fn print(plan: &Plan, direct: &[(f64, f64)], measured: &[Measured]) {
    let direct_p50 = Spread::from_values(direct.iter().map(|(p50, _)| *p50));
    let direct_p99 = Spread::from_values(direct.iter().map(|(_, p99)| *p99));
    println!(
        "{} rounds of {} s at {} requests a second; servers without a proxy: p50 {} µs, p99 {} µs",
        plan.rounds,
        plan.seconds,
        plan.rate,
        direct_p50.formatted(0),
        direct_p99.formatted(0)
    );
    let figures: [Figure; 5] = [
        ("CPU µs a request", |round| round.cpu_us_per_request, 1),
        ("p50 µs", |round| round.p50_us, 0),
        ("p99 µs", |round| round.p99_us, 0),
        ("peak requests/s", |round| round.most_per_second, 0),
        ("peak KiB", |round| round.peak_kib, 0),
    ];
    let mut table = Table::new();
    table
        .load_preset(UTF8_HORIZONTAL_ONLY)
        .remove_style(TableComponent::HorizontalLines);
    table.remove_style(TableComponent::MiddleIntersections);
    table.set_header([
        "",
        "median (min to max)",
        "ratio to the bare proxy",
        "ratio to the limiter",
        "not served",
    ]);
    let [bare, limiter, ..] = measured else {
        return;
    };
    for (name, value, digits) in figures {
        for subject in measured {
            let own = Spread::from_values(subject.rounds.iter().map(value));
            // Compares each round with the same round of the other subject.
            let ratio = |other: &Measured| {
                let pairs = subject.rounds.iter().zip(&other.rounds);
                Spread::from_values(pairs.map(|(own, other)| value(own) / value(other)))
                    .formatted(2)
            };
            let not_served: u64 = subject.rounds.iter().map(|round| round.not_served).sum();
            table.add_row([
                format!("{name}: {}", subject.name),
                own.formatted(digits),
                ratio(bare),
                ratio(limiter),
                not_served.to_string(),
            ]);
        }
    }
    table
        .column_iter_mut()
        .skip(1)
        .for_each(|column| column.set_cell_alignment(CellAlignment::Right));
    println!("{table}");
}
