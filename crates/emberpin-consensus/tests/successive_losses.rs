//! Losses one after another for an hour of virtual time, each as soon as the last one no longer counts: disks, machines
//! with a successor, planned replacements, and machines that come back with an old disk. `EMBERPIN_HOURS` sets how many
//! hours each kind of system is drawn.

mod world;

use emberpin_consensus::Guards;
use googletest::prelude::*;
use std::net::Ipv4Addr;
use world::{ip, services, World};

/// The span of a run, in milliseconds.
const HOUR: u64 = 3_600_000;

/// How many machines vote, how many may be lost at once, and after which time a loss no longer counts.
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

/// More than an old majority of the largest system.
const MOST_AWAY: usize = 6;

struct Run {
    world: World,
    hosts: u32,
    /// Machines that were removed or replaced lately, and whose disks may come back; not more than [`MOST_AWAY`].
    away: Vec<Ipv4Addr>,
}

impl Run {
    fn machines(&self) -> Vec<Ipv4Addr> {
        let here = |ip: &&Ipv4Addr| !self.world.nodes[ip].removed && !self.away.contains(ip);
        self.world.nodes.keys().filter(here).copied().collect()
    }

    fn drawn(&mut self, of: &[Ipv4Addr]) -> Ipv4Addr {
        of[self.world.below(of.len() as u64) as usize]
    }

    fn away(&mut self, machine: Ipv4Addr) {
        self.world
            .nodes
            .get_mut(&machine)
            .expect("a machine")
            .unlisted = true;
        self.away.push(machine);
        if self.away.len() > MOST_AWAY {
            let oldest = self.away.remove(0);
            self.world.remove(oldest);
        }
    }

    fn successor(&mut self) {
        self.hosts += 1;
        let machine = Ipv4Addr::from_bits(ip(0).to_bits() + self.hosts);
        self.world.add(machine);
        self.world.start(machine, false);
    }

    /// One loss, of a machine that is here.
    fn lose(&mut self, victim: Ipv4Addr) {
        match self.world.below(6) {
            0..3 => {
                self.world.wipe(victim);
                self.world.start(victim, false);
            }
            3 => {
                self.world.power_off_hard(victim);
                self.world.wipe(victim);
                let pause = self.world.below(300);
                self.world.run(pause);
                self.world.start(victim, false);
            }
            4 => {
                self.world.remove(victim);
                self.successor();
            }
            // It keeps its disk.
            _ => {
                self.world.kill(victim);
                self.away(victim);
                self.successor();
            }
        }
    }

    /// The successor comes first, and has its time; then one is told to end.
    fn replace(&mut self, sync_time: u64) {
        let machines = self.machines();
        let leaving = self.drawn(&machines);
        self.successor();
        self.world.run(sync_time);
        if self.world.below(3) == 0 {
            // Killed while it leaves.
            self.world.leave(leaving);
            let pause = self.world.below(40);
            self.world.run(pause);
            self.world.kill(leaving);
        } else {
            self.world.terminate(leaving);
        }
        self.away(leaving);
    }
}

/// A drawn run; what went wrong, if something did.
fn run(seed: u64, system: System, span: u64, guards: Guards) -> Option<String> {
    let System {
        voters,
        tolerated,
        sync_time,
    } = system;
    let world = World::new(seed, voters, tolerated, guards);
    let mut run = Run {
        world,
        hosts: voters.into(),
        away: Vec::new(),
    };
    run.world.run(1_000);
    let (mut ver, until) = (0, run.world.now + span);
    while run.world.now < until && run.world.wrong.is_none() {
        let machines = run.machines();
        match run.world.below(8) {
            0 => run.replace(sync_time),
            1 if !run.away.is_empty() => {
                // All that went before come back at once, with their disks.
                let back = std::mem::take(&mut run.away);
                back.iter().for_each(|ip| run.world.start(*ip, false));
                run.world.run(100);
                back.iter().for_each(|ip| run.world.kill(*ip));
                run.away = back;
            }
            _ => {
                for _ in 0..=run.world.below(tolerated as u64) {
                    let machines = run.machines();
                    let lost = machines
                        .iter()
                        .filter(|ip| run.world.nodes[ip].wiped)
                        .count();
                    let victim = run.drawn(&machines);
                    if lost < tolerated {
                        run.lose(victim);
                    }
                }
            }
        }
        let taker = run.drawn(&machines);
        if run.world.nodes[&taker].store.is_some() {
            ver += 1;
            run.world.call(
                taker,
                services(&[(["a", "b", "c"][(ver % 3) as usize], ver, ver)]),
            );
        }
        run.world.run(sync_time);
        let at = run.world.now;
        let counted: Vec<Ipv4Addr> = run.machines();
        for ip in counted {
            if run.world.nodes[&ip].wiped {
                run.world.fail(format!("{ip} has not caught up, {at}"));
            }
        }
    }
    for ip in run.away {
        run.world.remove(ip);
    }
    run.world.settle_and_check();
    run.world
        .wrong
        .map(|wrong| format!("seed {seed}, {system:?}: {wrong}"))
}

#[gtest]
fn losses_each_as_soon_as_the_last_one_no_longer_counts_lose_nothing() {
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
fn a_roster_that_keeps_a_member_killed_while_it_left_is_caught() {
    let wrong = Guards {
        evict_early_without_margin: false,
        ..Guards::default()
    };
    let found = (0..20).find_map(|seed| run(seed, SYSTEMS[0], HOUR / 4, wrong));
    expect_that!(found, some(anything()));
}
