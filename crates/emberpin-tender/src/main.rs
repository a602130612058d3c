//! The program of the operator.
use emberpin_tender::command::{Command, USAGE};
use emberpin_tender::run::run;
use std::process::ExitCode;

fn main() -> ExitCode {
    let command = match Command::read(std::env::args().skip(1)) {
        Ok(command) => command,
        Err(wrong) => {
            eprintln!("{wrong}\n\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(wrong) => {
            eprintln!("cannot begin: {wrong}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(command)) {
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
