//! The command line of the store, and its process: arguments, settings, logging and runtime.

use crate::error::StoreError;
use crate::startup;
use emberpin_runtime::logs;
use emberpin_runtime::metrics::{
    InvalidMetricsEndpoint, MetricsEndpoint, METRICS_OPTION, METRICS_OPTION_HELP,
    METRICS_OPTION_HINT,
};
use emberpin_runtime::settings::{Settings, SettingsError};
use getopts::Options;
use log::LevelFilter;
use std::ffi::OsString;
use std::io;
use std::process::ExitCode;

/// The exit status of a store that could not start, or whose disk was found damaged.
const EXIT_FAILURE: u8 = 2;

const USAGE: &str = "Usage: emberpin-store [--help | --version | --check | --metrics PORT/PATH]\n\nKeeps the configuration. Its settings \
                     are in the file that EMBERPIN_NODE_FILE names.";

/// An error with which the program exits.
#[derive(Debug, thiserror::Error)]
enum ProgramError {
    #[error(transparent)]
    Arguments(#[from] getopts::Fail),
    #[error("{0:?}: is not an option; --help says which there are")]
    UnknownArgument(String),
    #[error(transparent)]
    Metrics(#[from] InvalidMetricsEndpoint),
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("cannot start the runtime: {0}")]
    Runtime(#[source] io::Error),
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// Runs the program. `arguments` excludes the program's name.
pub fn main(arguments: impl Iterator<Item = OsString>) -> ExitCode {
    match run(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("emberpin-store: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "say how the program is used, and end");
    options.optflag("V", "version", "say which version it is, and end");
    options.optflag(
        "",
        "check",
        "read the settings, say what is wrong with them, and end",
    );
    options.optopt("", METRICS_OPTION, METRICS_OPTION_HELP, METRICS_OPTION_HINT);
    options
}

fn run(arguments: impl Iterator<Item = OsString>) -> Result<(), ProgramError> {
    let options = options();
    let matches = options.parse(arguments)?;
    if matches.opt_present("help") {
        print!("{}", options.usage(USAGE));
        return Ok(());
    }
    if matches.opt_present("version") {
        println!("emberpin-store {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    if let Some(argument) = matches.free.first() {
        return Err(ProgramError::UnknownArgument(argument.clone()));
    }
    let metrics = matches
        .opt_str(METRICS_OPTION)
        .map(|text| text.parse::<MetricsEndpoint>())
        .transpose()?;
    let settings = Settings::from_env()?;
    if settings.data_dir.is_none() {
        return Err(StoreError::MissingDataDir.into());
    }
    if matches.opt_present("check") {
        return Ok(());
    }
    logs::init(LevelFilter::Warn);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .max_blocking_threads(1)
        .build()
        .map_err(ProgramError::Runtime)?;
    Ok(runtime.block_on(startup::run(&settings, metrics))?)
}
