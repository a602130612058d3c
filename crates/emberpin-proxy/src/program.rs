//! The command line.

use emberpin_runtime::settings::Settings;
use getopts::Options;
use std::ffi::OsString;
use std::process::ExitCode;

/// Runs the program with these arguments.
pub fn main(arguments: impl Iterator<Item = OsString>) -> ExitCode {
    let mut options = Options::new();
    options
        .optflag("h", "help", "print this")
        .optflag("V", "version", "print the version");
    options.optflag(
        "c",
        "check",
        "read the settings, say what is in force, and start nothing",
    );
    let asked = match options.parse(arguments) {
        Ok(asked) if asked.free.is_empty() => asked,
        Ok(asked) => return wrong(&format!("unexpected: {}", asked.free.join(" "))),
        Err(problem) => return wrong(&problem.to_string()),
    };
    if asked.opt_present("help") {
        print!(
            "{}",
            options.usage(
                "emberpin-proxy: the proxy; its settings file is named by EMBERPIN_NODE_FILE"
            )
        );
        return ExitCode::SUCCESS;
    }
    if asked.opt_present("version") {
        println!("emberpin-proxy {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let settings = match Settings::from_env() {
        Ok(settings) => settings,
        Err(problem) => return wrong(&problem.to_string()),
    };
    if asked.opt_present("check") {
        println!("{settings:#?}");
        return ExitCode::SUCCESS;
    }
    emberpin_runtime::logs::init(log::LevelFilter::Info);
    match crate::serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            log::error!("ends: {problem}");
            ExitCode::FAILURE
        }
    }
}

/// One line, and the status of what cannot be used.
fn wrong(problem: &str) -> ExitCode {
    eprintln!("emberpin-proxy: {problem}");
    ExitCode::from(2)
}
