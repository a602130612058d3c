//! The program `emberpin-demo`: runs the demonstration or, if the first argument names a role, one of the gateway's
//! programs.
#![forbid(unsafe_code)]

use emberpin_demo::command_line::{self, Command};
use emberpin_demo::role::Role;
use emberpin_demo::scenario::{self, DemoOptions};
use std::fmt::Display;
use std::process::ExitCode;

/// Exit status if the arguments are invalid or the demonstration could not be run to its end.
const EXIT_UNUSABLE: u8 = 2;

fn main() -> ExitCode {
    let mut arguments = std::env::args_os().skip(1);
    let first = std::env::args().nth(1);
    if let Some(role) = first.and_then(|name| Role::from_name(&name)) {
        arguments.next();
        return role.run(arguments);
    }
    match command_line::parse(arguments) {
        Ok(Command::Help(text)) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Ok(Command::Run(options)) => run(&options),
        Err(error) => fail_unusable(&error),
    }
}

fn run(options: &DemoOptions) -> ExitCode {
    match scenario::run(options) {
        Ok(report) => {
            print!("{report}");
            if report.is_good() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(error) => fail_unusable(&error),
    }
}

fn fail_unusable(error: &dyn Display) -> ExitCode {
    eprintln!("emberpin-demo: {error}");
    ExitCode::from(EXIT_UNUSABLE)
}
