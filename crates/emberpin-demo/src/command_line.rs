//! Parses the command-line arguments of `emberpin-demo`.

use crate::scenario::DemoOptions;
use getopts::{Matches, Options};
use std::ffi::OsString;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

const DEFAULT_SECONDS: f64 = 10.0;
const ALLOWED_SECONDS: RangeInclusive<f64> = 4.0..=3600.0;
const DEFAULT_SEED: u64 = 1;
const DEFAULT_EDGES: usize = 3;
const ALLOWED_EDGES: RangeInclusive<usize> = 1..=100;

/// The head of the help text.
const HELP_HEAD: &str = "emberpin-demo: the gateway at work on loopback, judged at the end\n\n\
                     Exit status: 0 every rule held and 95 % were served, 1 not so, 2 it could not be played.";

/// The command that the arguments select.
#[derive(Clone, Debug)]
pub enum Command {
    /// Run the demonstration.
    Run(DemoOptions),
    /// Print the contained help text.
    Help(String),
}

/// Why the arguments were rejected.
#[derive(Debug, thiserror::Error)]
pub enum CommandLineError {
    /// An option is unknown, is given twice or lacks its value.
    #[error(transparent)]
    Option(#[from] getopts::Fail),
    /// There are positional arguments.
    #[error("unexpected: {0}")]
    UnexpectedArguments(String),
    /// The value of an option is not a number of the expected type.
    #[error("--{option}: expected a number, found {value:?}")]
    NotANumber {
        /// The option without its leading dashes.
        option: &'static str,
        /// The value as given.
        value: String,
    },
    /// The run would be too short for its events, or too long.
    #[error("--seconds: expected {} to {}", ALLOWED_SECONDS.start(), ALLOWED_SECONDS.end())]
    SecondsOutOfRange,
    /// There would be no edge, or more edges than loopback addresses reserved for them.
    #[error("--edges: expected {} to {}", ALLOWED_EDGES.start(), ALLOWED_EDGES.end())]
    EdgesOutOfRange,
}

/// Parses the arguments after the program's name.
///
/// # Errors
///
/// [`CommandLineError`] names the invalid option and the values that it accepts.
pub fn parse(arguments: impl Iterator<Item = OsString>) -> Result<Command, CommandLineError> {
    let options = options();
    let matches = options.parse(arguments)?;
    if !matches.free.is_empty() {
        return Err(CommandLineError::UnexpectedArguments(
            matches.free.join(" "),
        ));
    }
    if matches.opt_present("help") {
        return Ok(Command::Help(options.usage(HELP_HEAD)));
    }
    demo_options(&matches).map(Command::Run)
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "seconds", "play so long (10; 4 at least)", "N");
    options.optopt(
        "",
        "seed",
        "draw everything random of the stand-ins from this (1)",
        "N",
    );
    options.optopt("", "edges", "so many edges (3; 1 to 100)", "N");
    options.optflag(
        "",
        "keep",
        "keep the folder with the settings, disks and logs of the machines",
    );
    options.optflag("h", "help", "print this");
    options
}

fn demo_options(matches: &Matches) -> Result<DemoOptions, CommandLineError> {
    let seconds = parse_number(matches, "seconds", DEFAULT_SECONDS)?;
    let seed = parse_number(matches, "seed", DEFAULT_SEED)?;
    let edges = parse_number(matches, "edges", DEFAULT_EDGES)?;
    if !ALLOWED_SECONDS.contains(&seconds) {
        return Err(CommandLineError::SecondsOutOfRange);
    }
    if !ALLOWED_EDGES.contains(&edges) {
        return Err(CommandLineError::EdgesOutOfRange);
    }
    Ok(DemoOptions {
        duration: Duration::from_secs_f64(seconds),
        seed,
        edges,
        keep_folder: matches.opt_present("keep"),
    })
}

fn parse_number<T: FromStr>(
    matches: &Matches,
    option: &'static str,
    default: T,
) -> Result<T, CommandLineError> {
    match matches.opt_str(option) {
        None => Ok(default),
        Some(value) => value
            .parse()
            .map_err(|_| CommandLineError::NotANumber { option, value }),
    }
}
