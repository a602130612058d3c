//! `emberpin-scale-bench`: measures what the control part costs by size.
#![forbid(unsafe_code)]

use emberpin_scale_bench::report;
use emberpin_scale_bench::run::{self, Failed, Plan, Programs};
use emberpin_scale_bench::size::{self, Size, DESIGN};
use getopts::Options;
use std::path::PathBuf;
use std::process::ExitCode;

const BRIEF: &str = "Usage: emberpin-scale-bench [OPTIONS]\n\nStarts stores, registries and a proxy on loopback \
                     addresses (the built programs beside this one), with hollow limiters and servers, and \
                     prints what they cost by size.";

fn main() -> ExitCode {
    let mut options = Options::new();
    options
        .optflag("h", "help", "print this")
        .optflag("V", "version", "print the version");
    options.optflag(
        "",
        "quick",
        "two small sizes, to see that all parts work; the figures mean nothing",
    );
    options.optopt(
        "",
        "at",
        "this size alone: limiters, servers, routes, services",
        "N,N,N,N",
    );
    options.optopt(
        "",
        "programs",
        "where the programs are, if not beside this one",
        "FOLDER",
    );
    let asked = match options.parse(std::env::args_os().skip(1)) {
        Ok(asked) if asked.free.is_empty() => asked,
        Ok(asked) => return wrong(&format!("unexpected: {}", asked.free.join(" "))),
        Err(problem) => return wrong(&problem.to_string()),
    };
    if asked.opt_present("help") {
        print!("{}", options.usage(BRIEF));
        return ExitCode::SUCCESS;
    }
    if asked.opt_present("version") {
        println!("emberpin-scale-bench {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let (sizes, plan) = match (asked.opt_present("quick"), asked.opt_str("at")) {
        (true, None) => (size::quick(), Plan::quick()),
        (false, None) => (size::full(), Plan::full()),
        (false, Some(text)) => match Size::read(&text) {
            Some(size) => (vec![size], Plan::full()),
            None => {
                return wrong(
                    "at: expected four whole numbers from 1 to 10000, such as 20,50,20,10",
                )
            }
        },
        (true, Some(_)) => return wrong("quick and at: one of them"),
    };
    match sound(&sizes, &plan, asked.opt_str("programs").map(PathBuf::from)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("emberpin-scale-bench: {problem}");
            ExitCode::FAILURE
        }
    }
}

/// One line, and the status of what cannot be used.
fn wrong(problem: &str) -> ExitCode {
    eprintln!("emberpin-scale-bench: {problem}");
    ExitCode::from(2)
}

fn sound(sizes: &[Size], plan: &Plan, folder: Option<PathBuf>) -> Result<(), Failed> {
    let beside = || Ok::<PathBuf, Failed>(std::env::current_exe()?.with_file_name(""));
    let programs = Programs::within(&folder.map_or_else(beside, Ok)?)?;
    let mut samples = Vec::new();
    for size in sizes {
        eprintln!("{size:?}");
        samples.push(run::measure(&programs, *size, plan)?);
    }
    print!("{}", report::tables(&samples, &sizes[0], &DESIGN));
    Ok(())
}
