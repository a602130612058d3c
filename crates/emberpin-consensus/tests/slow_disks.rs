//! Disks that are slow, or that stand still: rounds make progress at any sync time up to the longest stall.

mod world;

use emberpin_config::{ItemKey, ItemKind};
use emberpin_consensus::{Call, Guards, Message};
use googletest::prelude::*;
use world::{ip, services, World};

/// The longest sync at which repairs come to their end, in milliseconds.
const LONGEST_SYNC: u64 = 3_000;
/// The longest sync at which calls are taken: within a call's patience of 3 s, a majority has to promise.
const LONGEST_SYNC_OF_CALLS: u64 = 2_000;
/// Without success after so long, there is no progress.
const PROGRESS: u64 = 300_000;
const SEEDS: u64 = 20;

/// The virtual time until the last call was acknowledged, or what went wrong.
type Took = std::result::Result<u64, String>;

fn slow(seed: u64, count: u8, tolerated: usize, sync: u64, guards: Guards) -> World {
    let mut world = World::new(seed, count, tolerated, guards);
    world.blocking = true;
    world.run(1_000);
    // Half of the syncs' time is drawn.
    world.disk = (sync / 2, sync);
    world
}

/// Sends a call to each of these stores, again after each 503, until every one is acknowledged.
fn acknowledged(world: &mut World, calls: &[(u8, Call)], within: u64) -> Took {
    let began = world.now;
    let mut sent: Vec<usize> = calls
        .iter()
        .map(|(host, call)| world.call(ip(*host), call.clone()))
        .collect();
    while world.now < began + within && world.wrong.is_none() {
        world.run(50);
        let mut all = true;
        for ((host, call), id) in calls.iter().zip(&mut sent) {
            match world.calls[*id].answer.as_ref().map(|(status, _)| *status) {
                Some(200) => {}
                Some(503) => {
                    all = false;
                    *id = world.call(ip(*host), call.clone());
                }
                Some(status) => return Err(format!("status {status}")),
                None => all = false,
            }
        }
        if all {
            return Ok(world.now - began);
        }
    }
    Err(world.wrong.clone().unwrap_or_else(|| "no progress".into()))
}

/// A call at each store, with a service of its own.
fn one_each(count: u8, ver: u64) -> Vec<(u8, Call)> {
    let hosts = (1..=count).zip(["a", "b", "c", "d", "e"]);
    hosts
        .map(|(host, name)| (host, services(&[(name, ver, 1)])))
        .collect()
}

/// Calls at every store at once, each of them again until it is acknowledged.
fn all_take_calls(seed: u64, count: u8, sync: u64, guards: Guards) -> Took {
    let mut world = slow(seed, count, usize::from(count / 2), sync, guards);
    let took = acknowledged(&mut world, &one_each(count, 1), PROGRESS)?;
    world.disk = (2, 6);
    world.settle_and_check();
    world.wrong.map_or(Ok(took), Err)
}

/// One is behind, one knows all, one lost its disk; calls come at the first and the last at once.
fn disk_is_lost(seed: u64, sync: u64, guards: Guards) -> Took {
    let mut world = World::new(seed, 3, 1, guards);
    world.blocking = true;
    world.run(1_000);
    world.answer(ip(1), services(&[("a", 1, 1)]));
    world.kill(ip(3));
    world.answer(ip(1), services(&[("b", 1, 1)]));
    world.wipe(ip(1));
    world.kill(ip(2));
    world.disk = (sync / 2, sync);
    (1..=3).for_each(|host| world.start(ip(host), false));
    let calls = [
        (1, Call::Get),
        (3, Call::Get),
        (2, services(&[("c", 1, 1)])),
    ];
    let took = acknowledged(&mut world, &calls, PROGRESS)?;
    world.disk = (2, 6);
    world.settle_and_check();
    world.wrong.map_or(Ok(took), Err)
}

/// The longest of these runs, by the seed.
fn longest(seeds: u64, mut run: impl FnMut(u64) -> Took) -> Took {
    let mut longest = 0;
    for seed in 0..seeds {
        longest = longest.max(run(seed).map_err(|wrong| format!("seed {seed}: {wrong}"))?);
    }
    Ok(longest)
}

/// Five takers whose disks stand still now and then.
fn disks_stall(seed: u64, guards: Guards) -> Took {
    let mut world = World::new(seed, 5, 2, guards);
    world.blocking = true;
    world.run(1_000);
    world.stalls = (20, LONGEST_SYNC);
    let mut longest = 0;
    for ver in 1..=5 {
        longest = longest.max(acknowledged(&mut world, &one_each(5, ver), PROGRESS)?);
    }
    world.stalls = (0, 0);
    world.settle_and_check();
    world.wrong.map_or(Ok(longest), Err)
}

/// A store that lost its disk catches up, and what only two have accepted is finished, without any call.
fn repairs(seed: u64, guards: Guards) -> Took {
    let mut world = World::new(seed, 3, 1, guards);
    world.blocking = true;
    world.run(1_000);
    world.hold = Some(|message| matches!(message, Message::Accepted(_)));
    world.call(ip(1), services(&[("a", 1, 1)]));
    world.run(100);
    world.wipe(ip(1));
    world.hold = None;
    world.disk = (LONGEST_SYNC / 2, LONGEST_SYNC);
    world.start(ip(1), false);
    let began = world.now;
    let key = ItemKey {
        kind: ItemKind::Service,
        name: "a".into(),
    };
    let repaired = |world: &World| {
        world.nodes.values().all(|node| {
            node.store
                .as_ref()
                .is_some_and(|store| store.is_voter() && store.state().get(&key).is_some())
        })
    };
    world.run_while(PROGRESS, |world| !repaired(world));
    if !repaired(&world) {
        return Err(world.wrong.unwrap_or_else(|| "no progress".into()));
    }
    Ok(world.now - began)
}

#[gtest]
fn calls_at_every_store_are_taken_however_slow_the_disks() {
    for sync in [6, 180, 500, 1_000, LONGEST_SYNC_OF_CALLS] {
        for count in [3, 5] {
            let took = longest(SEEDS, |seed| {
                all_take_calls(seed, count, sync, Guards::default())
            });
            println!("{count} stores, syncs up to {sync} ms: all acknowledged after {took:?} ms");
            expect_that!(took, ok(anything()));
        }
    }
}

#[gtest]
fn a_lost_disk_is_repaired_and_calls_are_taken_however_slow_the_disks() {
    for sync in [6, 180, 500, 1_000, LONGEST_SYNC_OF_CALLS] {
        let took = longest(SEEDS, |seed| disk_is_lost(seed, sync, Guards::default()));
        println!("a lost disk, syncs up to {sync} ms: all acknowledged after {took:?} ms");
        expect_that!(took, ok(anything()));
    }
}

#[gtest]
fn repairs_come_to_their_end_at_the_longest_sync() {
    let took = longest(SEEDS, |seed| repairs(seed, Guards::default()));
    println!("repaired after {took:?} ms");
    expect_that!(took, ok(anything()));
}

#[gtest]
fn calls_are_taken_while_disks_stand_still_now_and_then() {
    let took = longest(SEEDS, |seed| disks_stall(seed, Guards::default()));
    println!("stalls: all acknowledged after {took:?} ms");
    expect_that!(took, ok(anything()));
}

#[gtest]
fn with_the_times_of_quick_disks_calls_are_never_taken() {
    let wrong = Guards {
        adaptive_timeouts: false,
        ..Guards::default()
    };
    let took = longest(SEEDS, |seed| all_take_calls(seed, 5, 1_000, wrong));
    expect_that!(took, err(contains_substring("no progress")));
    let took = longest(SEEDS, |seed| repairs(seed, wrong));
    expect_that!(took, err(contains_substring("no progress")));
}

/// How long a call may take once a cut is over, and how long a repair.
const AFTER_A_CUT: u64 = 3_000;

#[gtest]
fn after_a_cut_calls_and_repairs_are_quick_again() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, 3, 1, Guards::default());
        world.blocking = true;
        world.run(1_000);
        [(1, 2), (1, 3), (2, 3)]
            .into_iter()
            .for_each(|(one, other)| world.cut(ip(one), ip(other)));
        for _ in 0..20 {
            (1..=3).for_each(|host| _ = world.call(ip(host), services(&[("a", 1, 1)])));
            world.run(1_000);
        }
        world.cuts.clear();
        let took = acknowledged(&mut world, &one_each(3, 2), PROGRESS);
        expect_that!(took.as_ref().copied(), ok(le(AFTER_A_CUT)), "seed {seed}");
        expect_that!(
            repair_after_its_taker(&mut world),
            le(AFTER_A_CUT),
            "seed {seed}"
        );
    }
}

#[gtest]
fn some_time_after_a_stall_repairs_are_quick_again() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, 3, 1, Guards::default());
        world.blocking = true;
        world.run(1_000);
        world.stalls = (100, 10_000);
        world.call(ip(1), services(&[("a", 1, 1)]));
        world.run(1_000);
        world.stalls = (0, 0);
        world.run(60_000);
        expect_that!(
            repair_after_its_taker(&mut world),
            le(AFTER_A_CUT),
            "seed {seed}"
        );
    }
}

/// The taker ends before it hears that its call is accepted: how long another store takes to finish it.
fn repair_after_its_taker(world: &mut World) -> u64 {
    world.hold = Some(|message| matches!(message, Message::Accepted(_)));
    world.call(ip(1), services(&[("r", 1, 1)]));
    world.run(100);
    world.kill(ip(1));
    world.hold = None;
    let key = ItemKey {
        kind: ItemKind::Service,
        name: "r".into(),
    };
    let known = |world: &World| {
        let store = world.nodes[&ip(2)].store.as_ref();
        store.is_some_and(|store| store.state().get(&key).is_some())
    };
    let began = world.now;
    world.run_while(PROGRESS, |world| !known(world));
    world.now - began
}
