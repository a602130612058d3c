//! The command line: `emberpin` without arguments as the platform starts it, operator files, and the check of both.

use crate::between::tls;
use crate::limiter;
use crate::operate::config::{Config, PLATFORM_FILE};
use crate::operate::operator;
use crate::stages::key_log;
use clap::{Parser, Subcommand};
use operator::OperatorSettings;
use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The exit status of a command line or of files that cannot be used.
const UNUSABLE: u8 = 2;

/// A limiter that enforces the quotas of member firms in front of a shared back end.
///
/// Without arguments, it is configured only by the file that `GW_CONFIG` names.
#[derive(Parser)]
#[command(name = "emberpin", version, max_term_width = 100)]
struct Arguments {
    /// An operator file that enables or configures a subsystem; may be given several times
    #[arg(long = "with", value_name = "FILE", global = true)]
    with: Vec<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Read all configuration, print the settings in force and start nothing; exit 0 if it is valid, 2 if not
    Check,
    /// The link between limiters
    Link {
        #[command(subcommand)]
        command: LinkCommand,
    },
    /// The log that keeps the state of keyed requests over restarts of the limiter
    Log {
        #[command(subcommand)]
        command: LogCommand,
    },
}

#[derive(Subcommand)]
enum LinkCommand {
    /// Create a private certificate authority, a certificate for each instance and the secret for fingerprints, in a
    /// new folder
    Init {
        /// The folder to create
        folder: PathBuf,
        /// The instances' names
        #[arg(required = true)]
        members: Vec<String>,
    },
}

#[derive(Subcommand)]
enum LogCommand {
    /// Create the log of an instance that never had one, so that its first start needs no quiet time
    Init,
    /// Print and check the contents of a log's file or folder; exit 0 if it is sound, 1 if not, 2 if it cannot be read
    Inspect {
        /// A segment file, or a folder of segments
        path: PathBuf,
        /// Print as JSON
        #[arg(long)]
        json: bool,
    },
}

/// Runs the program with these arguments, of which the first is the program's name. Returns when the limiter has
/// stopped.
pub fn main(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let line = match Arguments::try_parse_from(arguments) {
        Ok(line) => line,
        Err(problem) => {
            _ = problem.print();
            return if problem.use_stderr() {
                ExitCode::from(UNUSABLE)
            } else {
                ExitCode::SUCCESS
            };
        }
    };
    match line.command {
        None => run(&line.with),
        Some(Command::Check) => check(&line.with),
        Some(Command::Link {
            command: LinkCommand::Init { folder, members },
        }) => init_link(&folder, &members),
        Some(Command::Log {
            command: LogCommand::Init,
        }) => init_log(&line.with),
        Some(Command::Log {
            command: LogCommand::Inspect { path, json },
        }) => inspect_log(&path, json),
    }
}

fn init_link(folder: &Path, members: &[String]) -> ExitCode {
    match key_log::random().and_then(|secret| tls::init(folder, members, secret)) {
        Ok(()) => {
            println!(
                "made the keys of {} instances in {}",
                members.len(),
                folder.display()
            );
            ExitCode::SUCCESS
        }
        Err(problem) => {
            print_error(&problem);
            ExitCode::from(UNUSABLE)
        }
    }
}

fn init_log(with: &[PathBuf]) -> ExitCode {
    let config = OperatorSettings::read(with).and_then(|operator| Config::from_env(&operator));
    match config.and_then(|config| key_log::begin(&config)) {
        Ok(done) => {
            println!("{done}");
            ExitCode::SUCCESS
        }
        Err(problem) => {
            print_error(&problem);
            ExitCode::from(UNUSABLE)
        }
    }
}

fn inspect_log(path: &Path, json: bool) -> ExitCode {
    let report = match emberpin_wal::inspect(path) {
        Ok(report) => report,
        Err(problem) => {
            print_error(&format!("cannot read {}: {problem}", path.display()));
            return ExitCode::from(UNUSABLE);
        }
    };
    match json.then(|| serde_json::to_string_pretty(&report)) {
        Some(Ok(text)) => println!("{text}"),
        Some(Err(problem)) => {
            print_error(&problem.to_string());
            return ExitCode::from(UNUSABLE);
        }
        None => print!("{report}"),
    }
    if report.sound {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn run(with: &[PathBuf]) -> ExitCode {
    let config = OperatorSettings::read(with).and_then(|operator| Config::from_env(&operator));
    match config.and_then(limiter::serve) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            print_error(&problem);
            ExitCode::FAILURE
        }
    }
}

fn check(with: &[PathBuf]) -> ExitCode {
    let operator = match OperatorSettings::read(with) {
        Ok(operator) => operator,
        Err(problem) => {
            print_error(&problem);
            return ExitCode::from(UNUSABLE);
        }
    };
    print!("{operator}");
    if std::env::var_os(PLATFORM_FILE).is_none() {
        println!("{PLATFORM_FILE} is not set: only the operator files were checked");
        return ExitCode::SUCCESS;
    }
    match Config::from_env(&operator) {
        Ok(config) => {
            print!("{config}");
            ExitCode::SUCCESS
        }
        Err(problem) => {
            print_error(&problem);
            ExitCode::from(UNUSABLE)
        }
    }
}

/// Prints the problem as one line on standard error, with line breaks replaced by spaces.
fn print_error(problem: &str) {
    eprintln!("emberpin: {}", problem.replace('\n', " "));
}

/// Checks the definition of the command line, which clap does only on request.
#[test]
fn the_command_line_definition_is_valid() {
    <Arguments as clap::CommandFactory>::command().debug_assert();
}
