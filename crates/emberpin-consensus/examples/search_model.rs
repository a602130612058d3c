//! Searches the model of the protocol for every order of the proposers' ballots: `cargo run --release -p
//! emberpin-consensus --example search_model -- 0123`, where each digit is a round of the first writer (0), the second
//! one (1), the proposer of a roster change (2), or a voter that lost its disk (3). All arguments are `[rounds] [disk
//! losses] [power losses] [spread items] [threads] [voters] [seconds] [states] [leaders]`. There are 3 or 5 voters. No
//! search begins after the given number of seconds, and each search ends at about the given number of states, counted
//! with repetitions. `leaders` is the number of writers that lead: 0, 1 (the first) or 2.

#[path = "../tests/model/register.rs"]
mod register;

use register::{search_up_to, RegisterModel};
use std::collections::BTreeSet;
use std::time::Instant;

/// All distinct orders of these rounds.
fn orders(rounds: &[u8]) -> BTreeSet<Vec<u8>> {
    if rounds.is_empty() {
        return BTreeSet::from([Vec::new()]);
    }
    let mut all = BTreeSet::new();
    for (nth, first) in rounds.iter().enumerate() {
        let rest = [&rounds[..nth], &rounds[nth + 1..]].concat();
        all.extend(
            orders(&rest)
                .into_iter()
                .map(|rest| [&[*first], &rest[..]].concat()),
        );
    }
    all
}

/// The peak memory of the process in MB, where the system reports it.
fn peak_memory_mb() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM"))?;
    line.split_whitespace()
        .nth(1)?
        .parse::<u64>()
        .ok()
        .map(|kilobytes| kilobytes / 1024)
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let number = |nth: usize, default_value: u8| {
        arguments
            .get(nth)
            .and_then(|text| text.parse().ok())
            .unwrap_or(default_value)
    };
    let rounds: Vec<u8> = arguments
        .first()
        .map_or("0123", String::as_str)
        .bytes()
        .map(|byte| byte - b'0')
        .collect();
    let (disk_losses, power_losses, spread_items, threads) =
        (number(1, 1), number(2, 0), number(3, 0), number(4, 3));
    let five_voters = number(5, 3) == 5;
    let seconds = arguments
        .get(6)
        .and_then(|text| text.parse().ok())
        .unwrap_or(u64::MAX);
    let max_states = arguments
        .get(7)
        .and_then(|text| text.parse().ok())
        .unwrap_or(usize::MAX);
    let leaders = number(8, 0);
    let (mut finished, mut ended_early, mut skipped) = (0, 0, 0);
    let (started, mut states, mut depth, mut largest) = (Instant::now(), 0, 0, 0);
    let mut reached_properties = BTreeSet::new();
    let orders = orders(&rounds);
    for same_version in [true, false] {
        for order in &orders {
            if started.elapsed().as_secs() >= seconds {
                skipped += 1;
                continue;
            }
            let base = RegisterModel {
                same_version,
                order: order.clone(),
                five_voters,
                ..RegisterModel::default()
            };
            let bounds = RegisterModel {
                disk_losses,
                power_losses,
                spread_items,
                leaders,
                ..base
            };
            let result = search_up_to(bounds, usize::from(threads), max_states);
            for (name, trace) in &result.violated {
                println!(
                    "violated, with the ballots of {order:?}, same version {same_version}: {name}"
                );
                trace.iter().for_each(|action| println!("  {action:?}"));
            }
            if !result.violated.is_empty() {
                std::process::exit(1);
            }
            (states, depth, largest) = (
                states + result.states,
                depth.max(result.depth),
                largest.max(result.states),
            );
            if result.complete {
                finished += 1;
            } else {
                ended_early += 1;
            }
            reached_properties.extend(result.reached);
        }
        let took = started.elapsed().as_secs_f64();
        println!(
            "same version {same_version}: {states} states so far, at most {largest} in one order, depth {depth}"
        );
        println!("  after {took:.1} s");
    }
    println!(
        "{} orders of the rounds {rounds:?}, disk losses {disk_losses}, power losses {power_losses}, spread items {spread_items}, leaders {leaders}",
        orders.len()
    );
    println!("{finished} searches complete, {ended_early} ended early, {skipped} not begun");
    peak_memory_mb()
        .iter()
        .for_each(|memory| println!("at most {memory} MB"));
    reached_properties
        .iter()
        .for_each(|name| println!("reached: {name}"));
}
