//! What a request costs: the limiter, a bare reverse proxy, and a stack of tower layers with governor, each
//! between the same stand-ins under the same load, in alternating rounds of one run.
#![forbid(unsafe_code)]

mod bare;
mod door;
mod instructions;
mod keys;
mod measure;
mod settings;
mod stack;
mod standins;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// The words by which this program runs itself again as what is measured.
pub const AS_LIMITER: &str = "limiter";
/// The bare proxy.
pub const AS_BARE: &str = "bare";
/// The stack of layers.
pub const AS_STACK: &str = "stack";
/// A request's way without sockets.
pub const AS_ENTRY: &str = "entry";

/// Measure what a request costs the limiter, beside a bare reverse proxy and a stack of tower layers.
#[derive(Parser)]
#[command(name = "emberpin-bench", version, max_term_width = 100)]
struct Line {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    plan: Plan,
}

/// How much is measured.
#[derive(clap::Args, Clone, Debug)]
pub struct Plan {
    /// Rounds; each measures all three, in another order
    #[arg(long, default_value_t = 7, value_parser = clap::value_parser!(u32).range(1..=1000))]
    pub rounds: u32,
    /// Seconds at the rate, in each round for each
    #[arg(long, default_value_t = 3.0, value_parser = seconds)]
    pub seconds: f64,
    /// Requests a second
    #[arg(long, default_value_t = 600.0, value_parser = rate)]
    pub rate: f64,
    /// Connections of the clients that ask as fast as they are answered
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u32).range(1..=1000))]
    pub connections: u32,
    /// Servers
    #[arg(long, default_value_t = 9, value_parser = clap::value_parser!(u32).range(1..=100))]
    pub servers: u32,
    /// Write the figures as JSON
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
    /// Measure the limiter with this operator file too; may be given several times
    #[arg(long = "with", value_name = "FILE")]
    pub with: Vec<PathBuf>,
    /// Another build of the limiter, measured in place of this program's own
    #[arg(long, value_name = "PATH")]
    pub limiter: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Command {
    /// Operations a second of the table of idempotency keys, beside a plain cache of the same entries
    Keys {
        /// Keys in each round
        #[arg(long, default_value_t = 200_000, value_parser = clap::value_parser!(u32).range(1..=10_000_000))]
        keys: u32,
        /// Rounds
        #[arg(long, default_value_t = 7, value_parser = clap::value_parser!(u32).range(1..=1000))]
        rounds: u32,
    },
    /// How long the operators' door takes to answer: idle, under load, and with silent callers
    Door {
        /// Calls in each state
        #[arg(long, default_value_t = 500, value_parser = clap::value_parser!(u32).range(10..=1_000_000))]
        calls: u32,
        /// Silent callers
        #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u32).range(1..=5000))]
        silent: u32,
    },
    /// Count instructions per request through admission, decision and answer, under valgrind's callgrind
    Instructions {
        /// Requests of the shorter run; the longer has twice as many
        #[arg(long, default_value_t = 20_000)]
        requests: u64,
    },
}

fn bounded(text: &str, least: f64, most: f64) -> Result<f64, String> {
    let value: f64 = text.parse().map_err(|e| format!("{e}"))?;
    match (least..=most).contains(&value) {
        true => Ok(value),
        false => Err(format!("expected {least} to {most}")),
    }
}

fn seconds(text: &str) -> Result<f64, String> {
    bounded(text, 0.1, 3600.0)
}

fn rate(text: &str) -> Result<f64, String> {
    bounded(text, 1.0, 1e6)
}

fn main() -> ExitCode {
    let word = std::env::args().nth(1).unwrap_or_default();
    let done = match word.as_str() {
        AS_LIMITER => return emberpin_limiter::operate::command::main(std::env::args_os().skip(1)),
        AS_BARE => bare::run(),
        AS_STACK => stack::run(),
        AS_ENTRY => instructions::entry(),
        _ => {
            let line = Line::parse();
            match line.command {
                Some(Command::Instructions { requests }) => instructions::count(requests),
                Some(Command::Keys { keys, rounds }) => {
                    keys::run(keys, rounds);
                    Ok(())
                }
                Some(Command::Door { calls, silent }) => door::run(calls, silent),
                None => measure::run(&line.plan),
            }
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("emberpin-bench: {}", problem.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}
