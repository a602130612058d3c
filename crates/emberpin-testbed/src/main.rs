//! The testbed's command: runs a scenario with limiters between stand-in servers, discovery, peers and clients on
//! loopback, shows the progress, and prints tables and the verdict of the invariant checker.
#![forbid(unsafe_code)]

use clap::Parser;
use emberpin_testbed::html_report;
use emberpin_testbed::process::Program;
use emberpin_testbed::report::{violation_histories, Summary};
use emberpin_testbed::resources::ResourceNeeds;
use emberpin_testbed::scenario::Scenario;
use emberpin_testbed::site::{self, Outcome, Progress};
use emberpin_testbed::trace::{seconds, Micros, SECOND};
use indicatif::{ProgressBar, ProgressStyle};
use std::io::IsTerminal;
use std::path::PathBuf;
use std::process::ExitCode;

/// The argument with which this program runs itself as a limiter.
const LIMITER_COMMAND: &str = "limiter";
/// Interval between two lines of progress if standard error is not a terminal.
const PROGRESS_INTERVAL: Micros = 2 * SECOND;
/// Exit status if a rule was violated.
const EXIT_VIOLATION: u8 = 1;
/// Exit status for an invalid command line or scenario, or a site that does not start.
const EXIT_UNUSABLE: u8 = 2;
/// Exit status if violations were found, but all of them while the stand-ins ran late.
const EXIT_UNCERTAIN: u8 = 3;

/// Run a scenario with limiters between stand-ins on loopback, and check it against the five rules.
///
/// Exit status: 0 every rule held, 1 a rule was violated, 2 the scenario could not be run, 3 violations
/// were found only while the stand-ins ran late.
#[derive(Parser)]
#[command(name = "emberpin-testbed", version, max_term_width = 100)]
struct Arguments {
    /// Scenario file; without it, a built-in scenario without faults
    #[arg(long, value_name = "FILE")]
    scenario: Option<PathBuf>,
    /// Duration of the load in seconds, instead of the scenario's
    #[arg(long, value_name = "N")]
    seconds: Option<f64>,
    /// Seed of all random choices, instead of the scenario's
    #[arg(long, value_name = "N")]
    seed: Option<u64>,
    /// Write an HTML page with tables and plots over time
    #[arg(long, value_name = "FILE.html")]
    report: Option<PathBuf>,
    /// Write the figures and the verdict as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Another build of the limiter, instead of this program's own
    #[arg(long, value_name = "PATH")]
    limiter: Option<PathBuf>,
    /// Operator file for the limiters; may be given several times
    #[arg(long = "with", value_name = "FILE")]
    with: Vec<PathBuf>,
    /// Give every limiter a log on disk, initialised before its first start and deleted after the run
    #[arg(long)]
    logs: bool,
    /// Connect the limiters by links, which a split of the peers also cuts
    #[arg(long)]
    links: bool,
}

fn main() -> ExitCode {
    if std::env::args_os()
        .nth(1)
        .is_some_and(|word| word == LIMITER_COMMAND)
    {
        return emberpin_limiter::operate::command::main(std::env::args_os().skip(1));
    }
    match run_scenario(&Arguments::parse()) {
        Ok(status) => status,
        Err(problem) => {
            eprintln!("emberpin-testbed: {}", problem.replace('\n', " "));
            ExitCode::from(EXIT_UNUSABLE)
        }
    }
}

fn run_scenario(arguments: &Arguments) -> Result<ExitCode, String> {
    let scenario = arguments.scenario()?;
    let mut program = match &arguments.limiter {
        Some(path) => Program {
            path: path.clone(),
            arguments: Vec::new(),
            durable_log: arguments.logs,
            links: arguments.links,
        },
        None => {
            let path =
                std::env::current_exe().map_err(|e| format!("cannot find this program: {e}"))?;
            Program {
                path,
                arguments: vec![LIMITER_COMMAND.into()],
                durable_log: arguments.logs,
                links: arguments.links,
            }
        }
    };
    for file in &arguments.with {
        program.arguments.extend(["--with".into(), file.into()]);
    }
    println!("{}: {}", scenario.name, scenario.about);
    println!(
        "the site {}",
        ResourceNeeds::for_site(&scenario.site, program.links)
    );
    let display = ProgressDisplay::new(scenario.length);
    let outcome = site::run(&scenario, &program, move |progress| display.show(progress))
        .map_err(|error| error.to_string())?;
    let summary = Summary::from_outcome(&outcome);
    println!("{}", summary.to_text());
    arguments.write_reports(&outcome, &summary)?;
    let verdict = &outcome.verdict;
    if verdict.is_clean() {
        return Ok(ExitCode::SUCCESS);
    }
    println!("{}", violation_histories(verdict));
    println!("To reproduce: {}", arguments.reproduce_command(&scenario));
    Ok(ExitCode::from(if verdict.has_violations() {
        EXIT_VIOLATION
    } else {
        EXIT_UNCERTAIN
    }))
}

impl Arguments {
    fn scenario(&self) -> Result<Scenario, String> {
        let mut scenario = match &self.scenario {
            Some(path) => Scenario::read(path).map_err(|error| error.to_string())?,
            None => Scenario::calm(),
        };
        if let Some(length) = self.seconds {
            scenario
                .set_seconds(length)
                .map_err(|problem| format!("--seconds: {problem}"))?;
        }
        scenario.seed = self.seed.unwrap_or(scenario.seed);
        Ok(scenario)
    }

    fn write_reports(&self, outcome: &Outcome, summary: &Summary) -> Result<(), String> {
        let save = |path: &PathBuf, text: String| {
            std::fs::write(path, text).map_err(|e| format!("cannot write {}: {e}", path.display()))
        };
        if let Some(path) = &self.json {
            let text = serde_json::to_string_pretty(summary)
                .map_err(|e| format!("cannot write the figures as JSON: {e}"))?;
            save(path, text + "\n")?;
        }
        if let Some(path) = &self.report {
            save(path, html_report::page(outcome, summary)?)?;
        }
        Ok(())
    }

    /// The command that repeats this run.
    fn reproduce_command(&self, scenario: &Scenario) -> String {
        let file = self.scenario.as_ref().map_or(String::new(), |path| {
            format!("--scenario {} ", path.display())
        });
        let with: String = self
            .with
            .iter()
            .map(|path| format!("--with {} ", path.display()))
            .collect();
        let (seed, length) = (scenario.seed, seconds(scenario.length));
        let logs = if self.logs { "--logs " } else { "" };
        let links = if self.links { "--links " } else { "" };
        format!("emberpin-testbed {file}{with}{logs}{links}--seed {seed} --seconds {length}")
    }
}

/// Shows the progress of a run: a bar on a terminal, plain lines elsewhere.
struct ProgressDisplay {
    bar: Option<ProgressBar>,
    last: std::cell::Cell<Micros>,
    length: Micros,
}

impl ProgressDisplay {
    fn new(length: Micros) -> ProgressDisplay {
        let bar = std::io::stderr().is_terminal().then(|| {
            let style = ProgressStyle::with_template("{bar:40} {percent:>3} %  {msg}");
            let bar = ProgressBar::new(length);
            bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
            bar
        });
        ProgressDisplay {
            bar,
            last: std::cell::Cell::new(0),
            length,
        }
    }

    fn show(
        &self,
        Progress {
            at,
            started_work,
            open_work,
        }: Progress,
    ) {
        let text = format!("{started_work} asked, {open_work} open");
        match &self.bar {
            Some(bar) => {
                bar.set_position(at.min(self.length));
                bar.set_message(text);
            }
            None if at >= self.last.get() + PROGRESS_INTERVAL => {
                self.last.set(at);
                eprintln!("{:.0} of {} s: {text}", seconds(at), seconds(self.length));
            }
            None => {}
        }
    }
}

/// Clears the bar, so that the result follows on a clean line.
impl Drop for ProgressDisplay {
    fn drop(&mut self) {
        if let Some(bar) = &self.bar {
            bar.finish_and_clear();
        }
    }
}
