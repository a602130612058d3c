//! The command line.

use crate::host;
use emberpin_runtime::logs;
use emberpin_runtime::settings::Settings;
use getopts::Options;
use log::LevelFilter;
use std::ffi::OsString;
use std::process::ExitCode;

/// Something in the settings, on the disk or on the network keeps the store from starting.
const WRONG: u8 = 2;

/// Runs the program with these arguments.
pub fn main(arguments: impl Iterator<Item = OsString>) -> ExitCode {
    match run(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(wrong) => {
            eprintln!("emberpin-store: {wrong}");
            ExitCode::from(WRONG)
        }
    }
}

fn run(arguments: impl Iterator<Item = OsString>) -> Result<(), String> {
    let mut options = Options::new();
    options.optflag("h", "help", "say how the program is used, and end");
    options.optflag("V", "version", "say which version it is, and end");
    options.optflag(
        "",
        "check",
        "read the settings, say what is wrong with them, and end",
    );
    let given = options
        .parse(arguments)
        .map_err(|wrong| wrong.to_string())?;
    if given.opt_present("help") {
        let brief =
            "Usage: emberpin-store [--help | --version | --check]\n\nKeeps the configuration. Its settings \
                     are in the file that EMBERPIN_NODE_FILE names.";
        print!("{}", options.usage(brief));
        return Ok(());
    }
    if given.opt_present("version") {
        println!("emberpin-store {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    if let Some(unknown) = given.free.first() {
        return Err(format!(
            "{unknown:?}: is not an option; --help says which there are"
        ));
    }
    let settings = Settings::from_env().map_err(|wrong| wrong.to_string())?;
    if settings.data_dir.is_none() {
        return Err("self.datadir: is missing; a store needs a disk".into());
    }
    if given.opt_present("check") {
        return Ok(());
    }
    logs::init(LevelFilter::Warn);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .max_blocking_threads(1)
        .build()
        .map_err(|wrong| wrong.to_string())?;
    runtime
        .block_on(host::run(&settings))
        .map_err(|wrong| wrong.to_string())
}
