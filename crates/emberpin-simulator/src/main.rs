//! Command line of the simulator: runs scenario files, or searches seeds for scenarios that fail.
#![forbid(unsafe_code)]

use emberpin_simulator::mutants::{Guards, MUTANTS};
use emberpin_simulator::runner::run;
use emberpin_simulator::scenario::{parse, ParseError};
use emberpin_simulator::search::{self, Seeds};
use emberpin_simulator::shrink::shrink;
use getopts::{Matches, Options};
use std::process::ExitCode;

/// Why the program exits without completing its runs.
#[derive(Debug, thiserror::Error)]
enum UsageError {
    #[error(transparent)]
    Options(#[from] getopts::Fail),
    #[error("--{0}: expected a number")]
    Number(&'static str),
    #[error("--wrong: expected one of {}", MUTANTS.join(", "))]
    UnknownMutant,
    #[error("{path}: {source}")]
    UnreadableFile {
        path: String,
        source: std::io::Error,
    },
    #[error(transparent)]
    Scenario(#[from] ParseError),
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "seeds", "number of seeds to search (0)", "COUNT");
    options.optopt("", "from", "the first seed (0)", "SEED");
    options.optopt(
        "",
        "step",
        "distance from one seed to the next (1); 8 searches a single kind of scenario",
        "COUNT",
    );
    options.optopt(
        "",
        "threads",
        "number of threads of the search (3)",
        "COUNT",
    );
    options.optopt(
        "",
        "most",
        "stop the search after this many failures (1)",
        "COUNT",
    );
    options.optopt(
        "",
        "wrong",
        "run on the mutant of this name, which lacks a safety check",
        "NAME",
    );
    options.optopt("", "draw", "print the scenario of a seed", "SEED");
    options.optopt(
        "",
        "shrink",
        "shrink a seed's failing scenario to fewer lines that fail in the same way, and print it",
        "SEED",
    );
    options.optflag("h", "help", "print this");
    options
}

/// The value of an option that takes a number, or its default.
fn number_option(matches: &Matches, name: &'static str, default: u64) -> Result<u64, UsageError> {
    match matches.opt_str(name) {
        Some(text) => text.parse().map_err(|_| UsageError::Number(name)),
        None => Ok(default),
    }
}

/// The safety checks, without those that the mutant of `--wrong` lacks.
fn guards(matches: &Matches) -> Result<Guards, UsageError> {
    let mut guards = Guards::default();
    match matches.opt_str("wrong") {
        Some(mutant) if !guards.disable(&mutant) => Err(UsageError::UnknownMutant),
        _ => Ok(guards),
    }
}

/// Runs the scenarios of these files. Returns whether all of them held.
fn run_files(paths: &[String], guards: Guards) -> Result<bool, UsageError> {
    let mut all_held = true;
    for path in paths {
        let text = std::fs::read_to_string(path).map_err(|source| UsageError::UnreadableFile {
            path: path.clone(),
            source,
        })?;
        match run(&parse(path, &text)?, guards) {
            Ok(statistics) => println!("{path}: held; {statistics}"),
            Err(failure) => {
                println!("{failure}");
                all_held = false;
            }
        }
    }
    Ok(all_held)
}

/// Runs the scenarios of the seeds that the options name. Returns whether all of them held.
fn run_seeds(matches: &Matches, guards: Guards) -> Result<bool, UsageError> {
    let (first, count) = (
        number_option(matches, "from", 0)?,
        number_option(matches, "seeds", 0)?,
    );
    if count == 0 {
        return Ok(true);
    }
    let threads = number_option(matches, "threads", 3)? as usize;
    let max_failures = number_option(matches, "most", 1)? as usize;
    let seeds = Seeds {
        first,
        count,
        step: number_option(matches, "step", 1)?,
    };
    let result = search::search(seeds, threads, max_failures, guards);
    for failed in &result.failures {
        println!("seed {}: {}\n{}", failed.seed, failed.failure, failed.text);
    }
    println!(
        "{} seeds from {first}: {} failed; {}",
        result.runs,
        result.failures.len(),
        result.total
    );
    println!("faults that took effect: {}", result.total.fault_effects);
    Ok(result.failures.is_empty())
}

/// Shrinks the scenario of a seed and prints the result. Returns whether the scenario held, so that nothing was shrunk.
fn run_shrink(seed: u64, guards: Guards) -> bool {
    let text = search::generate(seed);
    match shrink(&format!("seed-{seed}.scn"), &text, guards) {
        Some(shrunk) => {
            print!("{}", shrunk.text);
            println!("# {}", shrunk.failure);
            println!(
                "# {} of {} lines, after {} runs",
                shrunk.text.lines().count(),
                text.lines().count(),
                shrunk.runs
            );
            false
        }
        None => {
            println!("seed {seed}: held");
            true
        }
    }
}

/// Runs the command that the arguments select. Returns whether all scenarios held.
fn run_program() -> Result<bool, UsageError> {
    let options = options();
    let matches = options.parse(std::env::args().skip(1))?;
    if matches.opt_present("h") {
        let brief = "emberpin-simulator [OPTIONS] [SCENARIO...]";
        print!("{}", options.usage(brief));
        return Ok(true);
    }
    let guards = guards(&matches)?;
    if matches.opt_present("draw") {
        print!("{}", search::generate(number_option(&matches, "draw", 0)?));
        return Ok(true);
    }
    if matches.opt_present("shrink") {
        return Ok(run_shrink(number_option(&matches, "shrink", 0)?, guards));
    }
    let files_held = run_files(&matches.free, guards)?;
    Ok(run_seeds(&matches, guards)? && files_held)
}

fn main() -> ExitCode {
    match run_program() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
