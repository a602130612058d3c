//! The command line of `emberpin-proxy`.

use emberpin_runtime::metrics::{
    MetricsEndpoint, METRICS_OPTION, METRICS_OPTION_HELP, METRICS_OPTION_HINT,
};
use emberpin_runtime::settings::Settings;
use getopts::Options;
use std::ffi::OsString;
use std::process::ExitCode;

/// Exit code for unusable arguments or settings.
const EXIT_USAGE: u8 = 2;

/// Runs the program with these arguments, and returns its exit code: 2 if arguments or settings are unusable, 1 if the
/// proxy failed.
pub fn main(arguments: impl Iterator<Item = OsString>) -> ExitCode {
    let options = options();
    let matches = match options.parse(arguments) {
        Ok(matches) if matches.free.is_empty() => matches,
        Ok(matches) => return usage_error(&format!("unexpected: {}", matches.free.join(" "))),
        Err(error) => return usage_error(&error.to_string()),
    };
    if matches.opt_present("help") {
        print!(
            "{}",
            options.usage(
                "emberpin-proxy: the proxy; its settings file is named by EMBERPIN_NODE_FILE"
            )
        );
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("version") {
        println!("emberpin-proxy {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let metrics = match matches.opt_get::<MetricsEndpoint>(METRICS_OPTION) {
        Ok(metrics) => metrics,
        Err(error) => return usage_error(&error.to_string()),
    };
    let settings = match Settings::from_env() {
        Ok(settings) => settings,
        Err(error) => return usage_error(&error.to_string()),
    };
    if matches.opt_present("check") {
        println!("{settings:#?}");
        return ExitCode::SUCCESS;
    }
    run(settings, metrics)
}

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this");
    options.optflag("V", "version", "print the version");
    options.optflag(
        "c",
        "check",
        "read the settings, say what is in force, and start nothing",
    );
    options.optopt("", METRICS_OPTION, METRICS_OPTION_HELP, METRICS_OPTION_HINT);
    options
}

fn run(settings: Settings, metrics: Option<MetricsEndpoint>) -> ExitCode {
    emberpin_runtime::logs::init(log::LevelFilter::Info);
    match crate::serve(settings, metrics) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("proxy failed: error={error}");
            ExitCode::FAILURE
        }
    }
}

/// Prints one line to standard error.
fn usage_error(error: &str) -> ExitCode {
    eprintln!("emberpin-proxy: {error}");
    ExitCode::from(EXIT_USAGE)
}
