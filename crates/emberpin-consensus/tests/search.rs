//! Random trouble, by the seed: nothing that was acknowledged is lost, one content for a version, news never
//! goes back. `EMBERPIN_RUNS` sets how many runs there are.

mod world;

use emberpin_consensus::{Call, EvacuationChange, Guards};
use googletest::prelude::*;
use std::sync::atomic::{AtomicU64, Ordering};
use world::{drop_service, route, services, World};

/// How long a run's trouble lasts, in milliseconds.
const TROUBLE: u64 = 9_000;

/// One run; what went wrong, if something did.
fn run(seed: u64, guards: Guards) -> Option<String> {
    run_with(seed, guards, false)
}

/// One run in which disks fill and are freed, too.
fn run_with_full_disks(seed: u64, guards: Guards) -> Option<String> {
    run_with(seed, guards, true)
}

fn run_with(seed: u64, guards: Guards, full_disks: bool) -> Option<String> {
    let (count, tolerated) = [(3, 1), (5, 2), (5, 1)][(seed % 3) as usize];
    let mut world = World::new(seed, count, tolerated, guards);
    world.delay = (1, 2 + world.below(40));
    (world.late, world.twice) = (world.below(6), world.below(4));
    // Most disks are quick; where one is slow, more is lost with the power.
    world.disk = if world.below(4) == 0 {
        (20, 120)
    } else {
        (2, 6)
    };
    let mut hosts = count;
    let (mut numbers, mut sent) = (0, Vec::new());
    let trouble = 1 + world.below(12);
    world.run(300);
    // Now and then it lasts long enough for machines to leave the roster.
    let long = seed.is_multiple_of(5);
    let until = world.now + if long { 4 * TROUBLE } else { TROUBLE };
    while world.now < until && world.wrong.is_none() {
        // Often at once, so that takers contend.
        let pause = if world.below(3) == 0 {
            world.below(6)
        } else {
            world.below(250)
        };
        world.run(pause);
        numbers += 1;
        let up = world.up();
        if !up.is_empty() {
            let (to, name) = (
                up[world.below(up.len() as u64) as usize],
                ["a", "b", "c"][world.below(3) as usize],
            );
            let ver = 1 + numbers / 4 + world.below(4);
            let call = match world.below(10) {
                0..4 => services(&[(name, ver, numbers), ("d", ver, numbers)]),
                4 => drop_service(name, ver),
                5..7 => route(["x", "y"][world.below(2) as usize], name, ver, numbers),
                7 if !sent.is_empty() => {
                    let again: &Call = &sent[world.below(sent.len() as u64) as usize];
                    again.clone()
                }
                8 => Call::Evacuate {
                    zone: "z".into(),
                    change: if world.below(2) == 0 {
                        EvacuationChange::Begin
                    } else {
                        EvacuationChange::End
                    },
                },
                _ => Call::Get,
            };
            sent.push(call.clone());
            world.call(to, call);
        }
        if world.below(12) < trouble {
            world.trouble_once(&mut hosts, tolerated, long);
        }
        // Drawn apart, so that the seeds of other runs stay what they are.
        if full_disks && world.below(3) == 0 {
            fill_or_free_a_disk(&mut world, tolerated);
        }
    }
    world.settle_and_check();
    world.wrong.map(|wrong| format!("seed {seed}: {wrong}"))
}

/// Now and then for long; mostly for a moment while a call is under way, and often all lose power at the next
/// acknowledgement, and one of them its disk.
fn fill_or_free_a_disk(world: &mut World, tolerated: usize) {
    let all: Vec<_> = world
        .nodes
        .keys()
        .copied()
        .filter(|ip| !world.nodes[ip].removed)
        .collect();
    let one = all[world.below(all.len() as u64) as usize];
    match world.below(8) {
        0 => return world.fill_disk(one),
        1 => return world.free_disk(one),
        _ => {}
    }
    let taker = all[world.below(all.len() as u64) as usize];
    let away: Vec<_> = all
        .iter()
        .copied()
        .filter(|ip| *ip != one && *ip != taker)
        .take(tolerated)
        .collect();
    away.iter().for_each(|ip| world.power_off(*ip));
    let number = world.calls.len() as u64;
    if world.nodes[&taker].store.is_some() {
        world.call(taker, services(&[("e", 1 + number, number)]));
    }
    let span = world.below(40);
    world.run(span);
    world.fill_disk(one);
    let span = world.below(60);
    world.run(span);
    world.free_disk(one);
    let taken = |world: &World| {
        let is_taken =
            |call: &&world::Sent| call.answer.as_ref().is_some_and(|answer| answer.0 == 200);
        world.calls.iter().filter(is_taken).count()
    };
    let before = taken(world);
    world.run_while(700, |world| taken(world) == before);
    all.iter().for_each(|ip| world.power_off_hard(*ip));
    if world.lost() < tolerated {
        world.wipe(taker);
    }
    all.iter().for_each(|ip| world.start(*ip, false));
}

fn search(runs: u64, guards: Guards) -> Option<String> {
    search_of(run, runs, guards)
}

fn search_of(run: fn(u64, Guards) -> Option<String>, runs: u64, guards: Guards) -> Option<String> {
    let next = AtomicU64::new(0);
    let found = std::sync::Mutex::new(None);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= runs || found.lock().expect("a lock").is_some() {
                    return;
                }
                if let Some(wrong) = run(seed, guards) {
                    found.lock().expect("a lock").get_or_insert(wrong);
                }
            });
        }
    });
    found.into_inner().expect("a lock")
}

/// How many runs the sound build has to stand.
fn sound_runs() -> u64 {
    std::env::var("EMBERPIN_RUNS")
        .ok()
        .and_then(|runs| runs.parse().ok())
        .unwrap_or(150)
}

#[gtest]
fn nothing_acknowledged_is_lost_whatever_happens() {
    expect_that!(search(sound_runs(), Guards::default()), none());
}

/// Found by long searches. 14994: the only disk that knew of a chosen roster was lost. 9715: of five that may
/// lose two, two were removed while a third, that had just proposed itself for the roster, was without its
/// disk. 35820: a new machine was told of three others that were all gone for good.
#[gtest]
fn what_long_searches_found_does_not_come_back() {
    for seed in [14_994, 9_715, 35_820] {
        expect_that!(run(seed, Guards::default()), none());
    }
}

/// How many runs a wrong build may take to be found.
const WRONG_RUNS: u64 = 400;

#[gtest]
fn a_store_that_votes_after_it_lost_its_disk_is_caught() {
    expect_that!(
        search(
            WRONG_RUNS,
            Guards {
                catch_up_before_voting: false,
                ..Guards::default()
            }
        ),
        some(anything())
    );
}

#[gtest]
fn a_voter_that_keeps_no_promise_is_caught() {
    expect_that!(
        search(
            WRONG_RUNS,
            Guards {
                keep_promises: false,
                ..Guards::default()
            }
        ),
        some(anything())
    );
}

#[gtest]
fn a_round_that_leaves_what_may_be_chosen_is_caught() {
    expect_that!(
        search(
            WRONG_RUNS,
            Guards {
                repropose_accepted: false,
                ..Guards::default()
            }
        ),
        some(anything())
    );
}

#[gtest]
fn a_word_before_the_sync_is_caught() {
    expect_that!(
        search(
            WRONG_RUNS,
            Guards {
                sync_before_reply: false,
                ..Guards::default()
            }
        ),
        some(anything())
    );
}

#[gtest]
fn nothing_acknowledged_is_lost_where_disks_fill() {
    expect_that!(
        search_of(run_with_full_disks, sound_runs(), Guards::default()),
        none()
    );
}

#[gtest]
fn a_store_that_goes_on_after_a_failed_write_is_caught() {
    let found = search_of(
        run_with_full_disks,
        WRONG_RUNS,
        Guards {
            restore_after_disk_failure: false,
            ..Guards::default()
        },
    );
    println!("found: {found:?}");
    expect_that!(found, some(anything()));
}

#[gtest]
fn a_founder_that_does_not_ask_is_caught() {
    expect_that!(
        search(
            WRONG_RUNS,
            Guards {
                bootstrap_agreement: false,
                ..Guards::default()
            }
        ),
        some(anything())
    );
}
