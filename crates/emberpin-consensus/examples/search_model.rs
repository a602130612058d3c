//! Searches the model of the protocol for every order of the proposers' ballots:
//! `cargo run --release -p emberpin-consensus --example search_model -- 0123`, where each digit is a round of the
//! first writer (0), the second one (1), the proposer of a roster change (2), or a voter that lost its disk (3).
//! `[rounds] [disk losses] [power losses] [spread items] [threads] [voters] [seconds] [states] [leaders]` change the bounds. There
//! are 3 or 5 voters, no search begins after that many seconds, and each ends at about that many states, counted with
//! repetitions. Of the two writers none, the first or both lead.

#[path = "../tests/model/register.rs"]
mod register;

use register::{search_up_to, RegisterModel};
use std::collections::BTreeSet;
use std::time::Instant;

/// All distinct orders of these.
fn orders(of: &[u8]) -> BTreeSet<Vec<u8>> {
    if of.is_empty() {
        return BTreeSet::from([Vec::new()]);
    }
    let mut all = BTreeSet::new();
    for (nth, first) in of.iter().enumerate() {
        let rest = [&of[..nth], &of[nth + 1..]].concat();
        all.extend(
            orders(&rest)
                .into_iter()
                .map(|rest| [&[*first], &rest[..]].concat()),
        );
    }
    all
}

/// The peak memory of the process in MB, where the system reports it.
fn most_memory() -> Option<u64> {
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
    let number = |nth: usize, unset: u8| {
        arguments
            .get(nth)
            .and_then(|text| text.parse().ok())
            .unwrap_or(unset)
    };
    let rounds: Vec<u8> = arguments
        .first()
        .map_or("0123", String::as_str)
        .bytes()
        .map(|b| b - b'0')
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
    let mut ever = BTreeSet::new();
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
            let found = search_up_to(bounds, usize::from(threads), max_states);
            for (name, trace) in &found.violated {
                println!(
                    "violated, with the ballots of {order:?}, same version {same_version}: {name}"
                );
                trace.iter().for_each(|action| println!("  {action:?}"));
            }
            if !found.violated.is_empty() {
                std::process::exit(1);
            }
            (states, depth, largest) = (
                states + found.states,
                depth.max(found.depth),
                largest.max(found.states),
            );
            if found.complete {
                finished += 1;
            } else {
                ended_early += 1;
            }
            ever.extend(found.happened);
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
    most_memory()
        .iter()
        .for_each(|memory| println!("at most {memory} MB"));
    ever.iter().for_each(|name| println!("reached: {name}"));
}
