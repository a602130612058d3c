//! The program of the operator.
use emberpin_ctl::command::{Command, USAGE};
use emberpin_ctl::run::run;
use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let command = match Command::read(std::env::args().skip(1)) {
        Ok(command) => command,
        Err(wrong) => {
            eprintln!("{wrong}\n\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    match run(command).await {
        Ok(said) => {
            println!("{}", said.trim_end());
            ExitCode::SUCCESS
        }
        Err(said) => {
            eprintln!("{}", said.trim_end());
            ExitCode::FAILURE
        }
    }
}
