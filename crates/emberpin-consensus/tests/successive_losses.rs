//! Successive losses for an hour of simulated time, each as soon as the last one no longer counts: lost disks, replaced
//! machines, planned replacements, and machines that return with an old disk. `EMBERPIN_HOURS` sets how many hours each
//! system runs.

mod cluster;

use cluster::calls::set_service;
use cluster::{ip, Cluster, Start};
use emberpin_consensus::Guards;
use googletest::prelude::*;
use std::net::Ipv4Addr;

/// The span of a run, in milliseconds.
const HOUR: u64 = 3_600_000;

/// A deployment: its number of voters, how many disks may be lost at once, and after how many milliseconds a loss no
/// longer counts (`sync_time`, which is not the duration of a disk sync).
#[derive(Clone, Copy, Debug)]
struct System {
    voters: u8,
    tolerated: usize,
    sync_time: u64,
}

const SYSTEMS: [System; 4] = [
    System {
        voters: 3,
        tolerated: 1,
        sync_time: 4_000,
    },
    System {
        voters: 5,
        tolerated: 2,
        sync_time: 4_000,
    },
    System {
        voters: 5,
        tolerated: 2,
        sync_time: 6_000,
    },
    System {
        voters: 7,
        tolerated: 2,
        sync_time: 4_000,
    },
];

/// Maximum number of machines that are set aside: more than a majority of the largest system.
const MAX_SET_ASIDE: usize = 6;

struct Run {
    cluster: Cluster,
    /// The number of the newest machine.
    last_machine: u32,
    /// Recently replaced machines that may return with their disks; up to [`MAX_SET_ASIDE`].
    set_aside: Vec<Ipv4Addr>,
}

impl Run {
    fn machines(&self) -> Vec<Ipv4Addr> {
        let is_in_use =
            |ip: &&Ipv4Addr| !self.cluster.nodes[ip].decommissioned && !self.set_aside.contains(ip);
        self.cluster
            .nodes
            .keys()
            .filter(is_in_use)
            .copied()
            .collect()
    }

    fn set_aside(&mut self, machine: Ipv4Addr) {
        self.cluster.node(machine).delisted = true;
        self.set_aside.push(machine);
        if self.set_aside.len() > MAX_SET_ASIDE {
            let oldest = self.set_aside.remove(0);
            self.cluster.decommission(oldest);
        }
    }

    fn add_replacement(&mut self) {
        self.last_machine += 1;
        let machine = Ipv4Addr::from_bits(ip(0).to_bits() + self.last_machine);
        self.cluster.add_machine(machine);
        self.cluster.start(machine, Start::Normal);
    }

    /// Loses a machine or its disk, and starts its replacement.
    fn lose_machine(&mut self, victim: Ipv4Addr) {
        match self.cluster.below(6) {
            0..3 => {
                self.cluster.lose_disk(victim);
                self.cluster.start(victim, Start::Normal);
            }
            3 => {
                self.cluster.lose_power_and_unsynced_writes(victim);
                self.cluster.lose_disk(victim);
                let pause = self.cluster.below(300);
                self.cluster.run(pause);
                self.cluster.start(victim, Start::Normal);
            }
            4 => {
                self.cluster.decommission(victim);
                self.add_replacement();
            }
            // The machine keeps its disk, and may return.
            _ => {
                self.cluster.kill(victim);
                self.set_aside(victim);
                self.add_replacement();
            }
        }
    }

    /// A planned replacement: the new machine runs for `sync_time`, and then an old one is shut down.
    fn replace_machine(&mut self, sync_time: u64) {
        let machines = self.machines();
        let leaving = self.cluster.choose(&machines);
        self.add_replacement();
        self.cluster.run(sync_time);
        if self.cluster.below(3) == 0 {
            // The machine is killed while it leaves.
            self.cluster.begin_leaving(leaving);
            let pause = self.cluster.below(40);
            self.cluster.run(pause);
            self.cluster.kill(leaving);
        } else {
            self.cluster.shut_down(leaving);
        }
        self.set_aside(leaving);
    }
}

/// Runs one seed; returns the first violation.
fn run(seed: u64, system: System, span: u64, guards: Guards) -> Option<String> {
    let System {
        voters,
        tolerated,
        sync_time,
    } = system;
    let cluster = Cluster::new(seed, voters, tolerated, guards);
    let mut run = Run {
        cluster,
        last_machine: voters.into(),
        set_aside: Vec::new(),
    };
    run.cluster.run(1_000);
    let (mut version, until) = (0, run.cluster.now + span);
    while run.cluster.now < until && run.cluster.violation.is_none() {
        let machines = run.machines();
        match run.cluster.below(8) {
            0 => run.replace_machine(sync_time),
            1 if !run.set_aside.is_empty() => {
                // All machines that were set aside return at once, with their disks.
                let returned = std::mem::take(&mut run.set_aside);
                run.cluster.start_all(&returned);
                run.cluster.run(100);
                for ip in &returned {
                    run.cluster.kill(*ip);
                }
                run.set_aside = returned;
            }
            _ => {
                for _ in 0..=run.cluster.below(tolerated as u64) {
                    let machines = run.machines();
                    let lost = machines
                        .iter()
                        .filter(|ip| run.cluster.nodes[ip].unrecovered_disk_loss)
                        .count();
                    let victim = run.cluster.choose(&machines);
                    if lost < tolerated {
                        run.lose_machine(victim);
                    }
                }
            }
        }
        let receiver = run.cluster.choose(&machines);
        if run.cluster.replica(receiver).is_some() {
            version += 1;
            let name = ["a", "b", "c"][(version % 3) as usize];
            let call = set_service(name, version, version);
            run.cluster.call(receiver, call);
        }
        run.cluster.run(sync_time);
        let at = run.cluster.now;
        for ip in run.machines() {
            if run.cluster.nodes[&ip].unrecovered_disk_loss {
                run.cluster.fail(format!("{ip} has not caught up, {at}"));
            }
        }
    }
    for ip in run.set_aside {
        run.cluster.decommission(ip);
    }
    run.cluster.heal_and_check();
    run.cluster
        .violation
        .map(|violation| format!("seed {seed}, {system:?}: {violation}"))
}

#[gtest]
fn successive_losses_lose_no_acknowledged_item() {
    let hours = std::env::var("EMBERPIN_HOURS")
        .ok()
        .and_then(|hours| hours.parse().ok())
        .unwrap_or(1);
    for system in SYSTEMS {
        for seed in 0..hours {
            expect_that!(run(seed, system, HOUR, Guards::default()), none());
        }
    }
}

#[gtest]
fn late_eviction_of_a_voter_killed_while_it_left_is_detected() {
    let guards = Guards {
        evict_early_without_margin: false,
        ..Guards::default()
    };
    let found = (0..20).find_map(|seed| run(seed, SYSTEMS[0], HOUR / 4, guards));
    expect_that!(found, some(anything()));
}
