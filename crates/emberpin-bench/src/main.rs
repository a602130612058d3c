//! Measures the cost of a request at the limiter, at a bare reverse proxy, and at a stack of tower layers with
//! governor. Each runs between the same stand-ins for clients, servers and the discovery service, under the same load,
//! in alternating rounds of one run.
//!
//! The program starts itself again as the process to be measured; the first argument then says which one it is.
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

/// The first argument with which this program runs as the limiter.
pub const AS_LIMITER: &str = "limiter";
/// The first argument with which this program runs as the bare reverse proxy.
pub const AS_BARE: &str = "bare";
/// The first argument with which this program runs as the stack of tower layers.
pub const AS_TOWER_STACK: &str = "stack";
/// The first argument with which this program sends requests through the limiter in-process, without sockets.
pub const AS_IN_PROCESS_LIMITER: &str = "entry";

/// Measure the cost of a request at the limiter, compared with a bare reverse proxy and a stack of tower layers.
#[derive(Parser)]
#[command(name = "emberpin-bench", version, max_term_width = 100)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    plan: Plan,
}

/// The size of the measurement, and the programs that are measured.
#[derive(clap::Args, Clone, Debug)]
pub struct Plan {
    /// Rounds; each measures all programs, in another order
    #[arg(long, default_value_t = 7, value_parser = clap::value_parser!(u32).range(1..=1000))]
    pub rounds: u32,
    /// Seconds of load at the rate, for each program in each round
    #[arg(long, default_value_t = 3.0, value_parser = seconds)]
    pub seconds: f64,
    /// Requests a second
    #[arg(long, default_value_t = 600.0, value_parser = rate)]
    pub rate: f64,
    /// Connections of the clients that send each request as soon as the last one is answered
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u32).range(1..=1000))]
    pub connections: u32,
    /// Number of servers
    #[arg(long, default_value_t = 9, value_parser = clap::value_parser!(u32).range(1..=100))]
    pub servers: u32,
    /// Write the figures as JSON
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
    /// Measure the limiter with this operator file too; may be given several times
    #[arg(long = "with", value_name = "FILE")]
    pub operator_files: Vec<PathBuf>,
    /// Another build of the limiter, measured in place of this program's own
    #[arg(long, value_name = "PATH")]
    pub limiter: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Command {
    /// Measure operations a second of the table of idempotency keys, compared with a plain cache of the same entries
    Keys {
        /// Number of keys in each round
        #[arg(long, default_value_t = 200_000, value_parser = clap::value_parser!(u32).range(1..=10_000_000))]
        keys: u32,
        /// Number of rounds
        #[arg(long, default_value_t = 7, value_parser = clap::value_parser!(u32).range(1..=1000))]
        rounds: u32,
    },
    /// Measure the response time of the operators' address: idle, under load, and with callers that send nothing
    Door {
        /// Number of calls in each state
        #[arg(long, default_value_t = 500, value_parser = clap::value_parser!(u32).range(10..=1_000_000))]
        calls: u32,
        /// Number of callers that connect and send nothing
        #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u32).range(1..=5000))]
        silent: u32,
    },
    /// Count instructions per request through admission, decision and response, under valgrind's callgrind
    Instructions {
        /// Number of requests in the shorter run; the longer run has twice as many
        #[arg(long, default_value_t = 20_000)]
        requests: u64,
    },
}

fn parse_in_range(text: &str, min: f64, max: f64) -> Result<f64, String> {
    let value: f64 = text.parse().map_err(|e| format!("{e}"))?;
    match (min..=max).contains(&value) {
        true => Ok(value),
        false => Err(format!("expected {min} to {max}")),
    }
}

fn seconds(text: &str) -> Result<f64, String> {
    parse_in_range(text, 0.1, 3600.0)
}

fn rate(text: &str) -> Result<f64, String> {
    parse_in_range(text, 1.0, 1e6)
}

fn main() -> ExitCode {
    let first_argument = std::env::args().nth(1).unwrap_or_default();
    let result = match first_argument.as_str() {
        AS_LIMITER => return emberpin_limiter::operate::command::main(std::env::args_os().skip(1)),
        AS_BARE => bare::run(),
        AS_TOWER_STACK => stack::run(),
        AS_IN_PROCESS_LIMITER => instructions::run_in_process(),
        _ => {
            let cli = Cli::parse();
            match cli.command {
                Some(Command::Instructions { requests }) => instructions::count(requests),
                Some(Command::Keys { keys, rounds }) => {
                    keys::run(keys, rounds);
                    Ok(())
                }
                Some(Command::Door { calls, silent }) => door::run(calls, silent),
                None => measure::run(&cli.plan),
            }
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("emberpin-bench: {}", problem.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}
