//! The program `emberpinctl`: parses the arguments, runs the command and sets the exit status.
#![forbid(unsafe_code)]

use emberpin_ctl::command_line::{CommandLine, USAGE};
use emberpin_ctl::run::run;
use std::process::ExitCode;

/// Exit status for an invalid command line; no registry has been called then.
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
