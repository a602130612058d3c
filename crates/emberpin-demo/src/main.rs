//! `emberpin-demo`: the newcomer's command, and, by a first word, each of the gateway's programs.
#![forbid(unsafe_code)]

use emberpin_demo::machines::Role;
use emberpin_demo::scenario::{self, DemoOptions};
use getopts::{Matches, Options};
use std::process::ExitCode;
use std::str::FromStr;

/// It could not be played.
const UNUSABLE: u8 = 2;

fn main() -> ExitCode {
    let mut arguments = std::env::args_os().skip(1);
    if let Some(role) = std::env::args()
        .nth(1)
        .and_then(|word| Role::from_name(&word))
    {
        arguments.next();
        return role.run(arguments);
    }
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
    let asked = match options.parse(arguments) {
        Ok(asked) if asked.free.is_empty() => asked,
        Ok(asked) => return wrong(&format!("unexpected: {}", asked.free.join(" "))),
        Err(problem) => return wrong(&problem.to_string()),
    };
    if asked.opt_present("help") {
        let brief = "emberpin-demo: the gateway at work on loopback, judged at the end\n\n\
                     Exit status: 0 every rule held and 95 % were served, 1 not so, 2 it could not be played.";
        print!("{}", options.usage(brief));
        return ExitCode::SUCCESS;
    }
    match plan(&asked).and_then(|plan| scenario::run(&plan).map_err(|problem| problem.to_string()))
    {
        Ok(report) => {
            print!("{report}");
            if report.is_good() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(problem) => wrong(&problem),
    }
}

fn plan(asked: &Matches) -> Result<DemoOptions, String> {
    let plan = DemoOptions {
        seconds: number(asked, "seconds", 10.0)?,
        seed: number(asked, "seed", 1)?,
        edges: number(asked, "edges", 3)?,
        keep: asked.opt_present("keep"),
    };
    if !(4.0..=3600.0).contains(&plan.seconds) {
        return Err("--seconds: expected 4 to 3600".into());
    }
    if !(1..=100).contains(&plan.edges) {
        return Err("--edges: expected 1 to 100".into());
    }
    Ok(plan)
}

fn number<T: FromStr>(asked: &Matches, name: &str, usual: T) -> Result<T, String> {
    match asked.opt_str(name) {
        None => Ok(usual),
        Some(text) => text
            .parse()
            .map_err(|_| format!("--{name}: expected a number, found {text:?}")),
    }
}

fn wrong(problem: &str) -> ExitCode {
    eprintln!("emberpin-demo: {problem}");
    ExitCode::from(UNUSABLE)
}
