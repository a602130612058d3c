//! Applications under random faults: processes are killed, shut down, frozen and restarted, get new settings, and lose
//! a disk. No rule for locks, numbers and cells may be violated.
//!
//! By default, one seed runs. `EMBERPIN_SOAK_SEEDS=FIRST-LAST` selects other seeds, `EMBERPIN_SOAK_MACHINES` the number
//! of core machines, and `EMBERPIN_SOAK_SECONDS` how long faults are injected.
#![allow(missing_docs, reason = "a test has no public interface")]

mod core_machines;
mod soak_seeds;

use core_machines::applications::Applications;
use core_machines::faults::Faults;
use core_machines::history::Violation;
use core_machines::{settings, CoreMachines};
use googletest::prelude::*;
use std::time::Duration;
use tokio::task::LocalSet;

const MACHINES_VARIABLE: &str = "EMBERPIN_SOAK_MACHINES";
const SECONDS_VARIABLE: &str = "EMBERPIN_SOAK_SECONDS";
/// The number of concurrent callers.
const CALLERS: u32 = 24;
/// The maximum number of violations that are printed for a run.
const MAX_VIOLATIONS_PRINTED: usize = 5;

fn number_variable(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Runs one seed. If there are violations, prints them with the faults, the calls and the logs.
async fn soak(net: u8, seed: u64) -> Vec<Violation> {
    let count = number_variable(MACHINES_VARIABLE).unwrap_or(3) as usize;
    let fault_duration = Duration::from_secs(number_variable(SECONDS_VARIABLE).unwrap_or(12));
    let mut machines = CoreMachines::start(net, count, settings::CoordinationApi::Served);
    machines.wait_until_served().await;
    let applications = Applications::start(&machines.ctl_addresses(), CALLERS, seed);
    let mut faults = Faults::new(seed);
    faults.inject_for(&mut machines, fault_duration / 2).await;
    if seed % 2 == 1 {
        faults.lose_disk(&mut machines).await;
    }
    faults.inject_for(&mut machines, fault_duration / 2).await;
    let run = applications.finish().await;
    let history = run.history.borrow();
    let violations = history.violations();
    println!(
        "seed {seed}: {} leases, {} numbers, {} puts, {} reads, {} watches; {} violations",
        history.leases.len(),
        history.numbers.len(),
        history.puts.len(),
        history.gets.len(),
        history.watches.len(),
        violations.len()
    );
    if let Some(first) = violations.first() {
        println!("faults:\n{}", faults.log.join("\n"));
        println!(
            "calls at {}:\n{}",
            first.subject,
            history.describe(&first.subject)
        );
        println!("{}", machines.logs());
        for violation in violations.iter().take(MAX_VIOLATIONS_PRINTED) {
            println!("seed {seed}: {violation}");
        }
    }
    violations
}

#[tokio::test]
async fn no_rule_is_violated_under_series_of_signals_and_restarts() -> googletest::Result<()> {
    let mut failed_seeds = Vec::new();
    for seed in soak_seeds::seeds() {
        let net = 100 + (seed % 100) as u8;
        let violations = LocalSet::new().run_until(soak(net, seed)).await;
        if !violations.is_empty() {
            failed_seeds.push(seed);
        }
    }
    verify_that!(failed_seeds, is_empty())
}
