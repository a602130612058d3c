//! Applications at work while processes are killed, ended, frozen and restarted, get new settings, and lose a disk.
//!
//! `EMBERPIN_SOAK_SEEDS=FIRST-LAST` runs other seeds than the one of each build, `EMBERPIN_SOAK_MACHINES` names how
//! many core machines there are, `EMBERPIN_SOAK_SECONDS` how long they are troubled.
#![allow(missing_docs, reason = "a test has no public interface")]

mod core_machines;

use core_machines::applications::Applications;
use core_machines::faults::Faults;
use core_machines::history::Violation;
use core_machines::{settings, CoreMachines};
use googletest::prelude::*;
use std::time::Duration;
use tokio::task::LocalSet;

const SEEDS_VARIABLE: &str = "EMBERPIN_SOAK_SEEDS";
const MACHINES_VARIABLE: &str = "EMBERPIN_SOAK_MACHINES";
const SECONDS_VARIABLE: &str = "EMBERPIN_SOAK_SECONDS";
const CALLERS: u32 = 24;
/// So many broken rules of a run are printed.
const MAX_PRINTED: usize = 5;

fn variable(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// The first and the last seed.
fn seeds() -> (u64, u64) {
    let read = || {
        let seeds = std::env::var(SEEDS_VARIABLE).ok()?;
        let (first, last) = seeds.split_once('-')?;
        Some((first.parse().ok()?, last.parse().ok()?))
    };
    read().unwrap_or((1, 1))
}

/// Runs one seed. Prints what was seen if a rule was broken.
async fn soak(net: u8, seed: u64) -> Vec<Violation> {
    let count = variable(MACHINES_VARIABLE).unwrap_or(3) as usize;
    let troubled = Duration::from_secs(variable(SECONDS_VARIABLE).unwrap_or(12));
    let mut machines = CoreMachines::start(net, count, settings::Applications::Served);
    machines.wait_until_served().await;
    let applications = Applications::start(&machines.ctl_addresses(), CALLERS, seed);
    let mut faults = Faults::new(seed);
    faults.trouble(&mut machines, troubled / 2).await;
    if seed % 2 == 1 {
        faults.lose_disk(&mut machines).await;
    }
    faults.trouble(&mut machines, troubled / 2).await;
    let run = applications.finish().await;
    let history = run.history.borrow();
    let violations = history.violations();
    println!(
        "seed {seed}: {} holds, {} numbers, {} puts, {} reads, {} watches; {} broken rules",
        history.holds.len(),
        history.numbers.len(),
        history.puts.len(),
        history.gets.len(),
        history.watches.len(),
        violations.len()
    );
    if let Some(first) = violations.first() {
        println!("faults:\n{}", faults.log.join("\n"));
        println!("seen at {}:\n{}", first.subject, history.of(&first.subject));
        println!("{}", machines.logs());
        for violation in violations.iter().take(MAX_PRINTED) {
            println!("seed {seed}: {violation}");
        }
    }
    violations
}

#[tokio::test]
async fn what_applications_see_keeps_to_the_rules_under_series_of_signals_and_restarts(
) -> googletest::Result<()> {
    let (first, last) = seeds();
    let mut broken = Vec::new();
    for seed in first..=last {
        let net = 100 + (seed % 100) as u8;
        let violations = LocalSet::new().run_until(soak(net, seed)).await;
        if !violations.is_empty() {
            broken.push(seed);
        }
    }
    verify_that!(broken, is_empty())
}
