//! Measures simultaneous starts of many limiters: several seeds for each group size, summarised in a table with the
//! spread.
#![forbid(unsafe_code)]

use clap::Parser;
use comfy_table::presets::UTF8_HORIZONTAL_ONLY;
use comfy_table::Table;
use emberpin_testbed::process::Program;
use emberpin_testbed::report::violation_histories;
use emberpin_testbed::resources::ResourceNeeds;
use emberpin_testbed::scenario::Scenario;
use emberpin_testbed::site::run;
use emberpin_testbed::start_summary::StartSummary;
use std::path::PathBuf;
use std::process::ExitCode;

/// Start many limiters at once, and measure the load on the discovery service and on the servers.
///
/// Exit status: 0 every rule held, 1 a rule was violated, 2 the scenario could not be run.
#[derive(Parser)]
#[command(name = "cold-start", version, max_term_width = 100)]
struct Arguments {
    /// Numbers of limiters; one row each
    #[arg(long, value_delimiter = ',', default_value = "3,30,100,300")]
    limiters: Vec<usize>,
    /// Number of servers
    #[arg(long, default_value_t = 20)]
    servers: usize,
    /// Runs of each size, with seeds from 1
    #[arg(long, default_value_t = 5)]
    seeds: u64,
    /// Capacity of the discovery service in calls a second; by default a quarter of the number of limiters
    #[arg(long)]
    power: Option<f64>,
    /// Duration of the load in seconds
    #[arg(long, default_value_t = 20.0)]
    seconds: f64,
    /// Requests a second for each limiter
    #[arg(long, default_value_t = 1.0)]
    rate: f64,
    /// Give limiters their last known endpoint list at their start
    #[arg(long)]
    known: bool,
    /// Start with warm servers
    #[arg(long)]
    warm: bool,
    /// Connect limiters by links, and let them reach servers at one address, so that they can exchange endpoint lists
    #[arg(long)]
    links: bool,
    /// File with further tables of the scenario: faults, settings
    #[arg(long, value_name = "FILE")]
    more: Option<PathBuf>,
    /// Another build of the limiter, instead of this program's own
    #[arg(long, value_name = "PATH")]
    limiter: Option<PathBuf>,
    /// Operator file for the limiters; may be given several times
    #[arg(long = "with", value_name = "FILE")]
    with: Vec<PathBuf>,
    /// Write the figures of every run as JSON lines
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

fn main() -> ExitCode {
    if std::env::args_os()
        .nth(1)
        .is_some_and(|word| word == "limiter")
    {
        return emberpin_limiter::operate::command::main(std::env::args_os().skip(1));
    }
    match measure(&Arguments::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(problem) => {
            eprintln!("cold-start: {}", problem.replace('\n', " "));
            ExitCode::from(2)
        }
    }
}

fn measure(arguments: &Arguments) -> Result<bool, String> {
    let mut table = Table::new();
    table.load_preset(UTF8_HORIZONTAL_ONLY).set_header([
        "limiters",
        "calls / N",
        "failed / N",
        "max calls 0.1 s, 1 s",
        "list: half, 99 %, all (s)",
        "ready: half, all (s)",
        "max connects in 1 s",
        "max overload ratio",
        "served 1st s",
        "3rd",
        "6th",
        "from 10th on",
        "CPU ms each",
        "MiB each",
    ]);
    let extra_tables = match &arguments.more {
        Some(path) => std::fs::read_to_string(path)
            .map_err(|e| format!("cannot read {}: {e}", path.display()))?,
        None => String::new(),
    };
    let mut rules_held = true;
    let mut json_lines = String::new();
    for limiters in &arguments.limiters {
        let mut runs = Vec::new();
        for seed in 1..=arguments.seeds {
            let scenario = arguments.scenario(*limiters, seed, &extra_tables)?;
            if seed == 1 {
                eprintln!(
                    "{limiters} limiters: each run {}",
                    ResourceNeeds::for_site(&scenario.site, false)
                );
            }
            let outcome =
                run(&scenario, &arguments.program()?, |_| ()).map_err(|error| error.to_string())?;
            if outcome.verdict.has_violations() {
                rules_held = false;
                eprintln!(
                    "{limiters} limiters, seed {seed}:{}",
                    violation_histories(&outcome.verdict)
                );
            }
            let starts = StartSummary::from_outcome(&outcome);
            eprintln!("{limiters} limiters, seed {seed}: {starts:?}");
            json_lines +=
                &serde_json::to_string(&(limiters, seed, &starts)).map_err(|e| e.to_string())?;
            json_lines.push('\n');
            runs.push(starts);
        }
        table.add_row(row(*limiters, &runs));
    }
    println!("{table}");
    if let Some(path) = &arguments.json {
        std::fs::write(path, json_lines)
            .map_err(|e| format!("cannot write {}: {e}", path.display()))?;
    }
    Ok(rules_held)
}

impl Arguments {
    fn scenario(&self, limiters: usize, seed: u64, more: &str) -> Result<Scenario, String> {
        let discovery_rate = self.power.unwrap_or(limiters as f64 / 4.0);
        let text = format!(
            "name = \"cold-start\"\nabout = \"A start of many limiters.\"\nseed = {seed}\nseconds = {}\n\
             [site]\nlimiters = {limiters}\nservers = {}\ntogether = true\ncold = {}\nknown = {}\none_address = {}\nlist_power = {discovery_rate}\n\
             [load]\nrate = {}\nusage = 0.3\nretries = 0\nimpatient = 0.0\nwork = {}\n{more}",
            self.seconds,
            self.servers,
            !self.warm,
            self.known,
            self.links,
            self.rate * limiters as f64,
            // Halves the work of each request, so that the servers could do all of it while cold.
            0.5,
        );
        Scenario::parse("cold-start", &text).map_err(|error| error.to_string())
    }

    fn program(&self) -> Result<Program, String> {
        let (path, mut arguments) = match &self.limiter {
            Some(path) => (path.clone(), Vec::new()),
            None => {
                let own = std::env::current_exe()
                    .map_err(|e| format!("cannot find this program: {e}"))?;
                (own, vec!["limiter".into()])
            }
        };
        for file in &self.with {
            arguments.extend(["--with".into(), file.into()]);
        }
        Ok(Program {
            path,
            arguments,
            durable_log: false,
            links: self.links,
        })
    }
}

/// A row of the table: for each figure, the mean over the runs with its minimum and maximum.
fn row(limiters: usize, runs: &[StartSummary]) -> Vec<String> {
    let n = limiters as f64;
    let spread = |of: &dyn Fn(&StartSummary) -> f64, digits: usize| {
        let values: Vec<f64> = runs.iter().map(of).collect();
        let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
        let (min, max) = (
            values.iter().copied().fold(f64::INFINITY, f64::min),
            values.iter().copied().fold(0.0, f64::max),
        );
        match values.iter().all(|value| value.is_finite()) {
            true => format!("{mean:.digits$} ({min:.digits$}–{max:.digits$})"),
            false => {
                format!(
                    "never in {} of {}",
                    values.iter().filter(|v| !v.is_finite()).count(),
                    values.len()
                )
            }
        }
    };
    let when = |time: Option<f64>| time.unwrap_or(f64::INFINITY);
    vec![
        limiters.to_string(),
        spread(&|s| s.calls as f64 / n, 2),
        spread(&|s| s.failed as f64 / n, 2),
        format!(
            "{}, {}",
            spread(&|s| s.most_calls[0] as f64, 0),
            spread(&|s| s.most_calls[1] as f64, 0)
        ),
        [0, 1, 2]
            .map(|k| spread(&|s| when(s.listed[k]), 1))
            .join(", "),
        [0, 1].map(|k| spread(&|s| when(s.ready[k]), 1)).join(", "),
        spread(&|s| s.most_connections as f64, 0),
        spread(&|s| s.max_overload_ratio, 2),
        spread(&|s| s.served_share(0, 1), 2),
        spread(&|s| s.served_share(2, 3), 2),
        spread(&|s| s.served_share(5, 6), 2),
        spread(&|s| s.served_share(10, usize::MAX), 3),
        spread(&|s| s.cpu_ms / n, 0),
        spread(&|s| s.memory_mib / n, 1),
    ]
}
