//! The program `emberpinctl`; everything is in the library.
#![forbid(unsafe_code)]

use emberpin_ctl::command_line::{CommandLine, USAGE};
use emberpin_ctl::run::run;
use std::process::ExitCode;

/// The exit status for an invalid command line, for which no registry was called.
const EXIT_USAGE: u8 = 2;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let command_line = match CommandLine::parse(std::env::args().skip(1)) {
        Ok(command_line) => command_line,
        Err(error) => {
            eprintln!("{error}\n\n{USAGE}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match run(command_line).await {
        Ok(output) => {
            println!("{}", output.trim_end());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{}", error.to_string().trim_end());
            ExitCode::FAILURE
        }
    }
}
