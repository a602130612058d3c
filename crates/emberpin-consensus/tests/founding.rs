//! The first start: in any order, ended in the middle, and with a disk that was lost beside a living roster.

mod world;

use emberpin_consensus::{Call, Guards};
use googletest::prelude::*;
use world::{ip, services, World};

/// How long the founding may take once all seeds are up, in milliseconds: some round trips and two syncs.
const FOUNDED: u64 = 150;

fn all_vote(world: &World, hosts: u8) -> bool {
    let votes = |host| {
        world.nodes[&ip(host)]
            .store
            .as_ref()
            .is_some_and(emberpin_consensus::Replica::is_voter)
    };
    (1..=hosts).all(votes)
}

/// So many seeds, none of them started.
fn not_started(seed: u64, count: u8) -> World {
    let mut world = World::new(seed, count, 1, Guards::default());
    // What was just begun leaves no trace.
    (1..=count).for_each(|host| world.wipe(ip(host)));
    (1..=count).for_each(|host| world.add(ip(host)));
    world.run(100);
    world
}

#[gtest]
fn seeds_found_in_any_order_of_their_starts() {
    for seed in 0..30 {
        for count in [1, 3, 5] {
            let mut world = not_started(seed, count);
            for nth in 0..count {
                world.start(ip(1 + (nth + seed as u8) % count), true);
                let pause = world.below(300 / u64::from(count));
                world.run(pause);
            }
            let began = world.now;
            world.run_while(2_000, |world| !all_vote(world, count));
            expect_that!(world.now - began, le(FOUNDED), "seed {seed}, {count} seeds");
            world.settle_and_check();
            expect_that!(world.wrong, none());
        }
    }
}

/// All are killed, or lose power, so long after the start, and started again without `bootstrap`.
fn ended_in_the_middle(seed: u64, after: u64, power: bool) -> World {
    let mut world = not_started(seed, 3);
    (1..=3).for_each(|host| world.start(ip(host), true));
    world.run(after);
    for host in 1..=3 {
        match power {
            true => world.power_off_hard(ip(host)),
            false => world.kill(ip(host)),
        }
    }
    (1..=3).for_each(|host| world.start(ip(host), false));
    world.run_while(2_000, |world| !all_vote(world, 3));
    world
}

#[gtest]
fn a_founding_that_is_ended_in_the_middle_goes_on() {
    for seed in 0..4 {
        // From the first sync on, which takes up to 6 ms: before it, nothing is said and nothing is kept.
        for after in 6..60 {
            for power in [false, true] {
                let mut world = ended_in_the_middle(seed, after, power);
                expect_that!(
                    all_vote(&world, 3),
                    eq(true),
                    "seed {seed}, ended after {after} ms"
                );
                expect_that!(world.answer(ip(2), services(&[("a", 1, 1)])).0, eq(200));
                world.settle_and_check();
                expect_that!(world.wrong, none());
            }
        }
    }
}

#[gtest]
fn one_seed_that_was_ended_before_its_first_sync_joins_by_catching_up() {
    for seed in 0..30 {
        let lost = ip(2 + (seed % 2) as u8);
        let mut world = not_started(seed, 3);
        (1..=3).for_each(|host| world.start(ip(host), true));
        world.power_off_hard(lost);
        world.run(50);
        world.start(lost, false);
        world.run_while(3_000, |world| !all_vote(world, 3));
        expect_that!(all_vote(&world, 3), eq(true), "seed {seed}");
        expect_that!(world.answer(ip(1), services(&[("a", 1, 1)])).0, eq(200));
        world.settle_and_check();
        expect_that!(world.wrong, none());
    }
}

/// 1 and 2 know an item; 1 loses its disk and starts as for the first time, while 2 is off and 3 is behind.
fn founder_beside_a_roster(guards: Guards) -> (u16, World) {
    let mut world = World::new(2, 3, 1, guards);
    world.run(1_000);
    world.kill(ip(3));
    world.answer(ip(1), services(&[("a", 1, 1)]));
    world.power_off(ip(2));
    world.wipe(ip(1));
    world.start(ip(1), true);
    world.start(ip(3), false);
    let read = world.call(ip(3), Call::Get);
    world.run(4_000);
    let status = world.calls[read]
        .answer
        .as_ref()
        .map_or(0, |answer| answer.0);
    if status == 200 {
        world.check(ip(3));
    }
    (status, world)
}

#[gtest]
fn a_founder_whose_disk_was_lost_asks_and_does_not_vote() {
    let (status, mut world) = founder_beside_a_roster(Guards::default());
    expect_that!(status, eq(503));
    world.settle_and_check();
    expect_that!(world.wrong, none());
    expect_that!(all_vote(&world, 3), eq(true));
}

#[gtest]
fn a_founder_that_does_not_ask_loses_an_acknowledged_item() {
    let (status, world) = founder_beside_a_roster(Guards {
        bootstrap_agreement: false,
        ..Guards::default()
    });
    expect_that!(status, eq(200));
    expect_that!(world.wrong, some(contains_substring("lost")));
}

#[gtest]
fn most_seeds_must_be_candidates_for_a_founding() {
    for seed in 0..10 {
        let mut world = not_started(seed, 3);
        // As where one disk was lost, and the other two machines of its list are new and know no roster yet.
        [2, 3]
            .into_iter()
            .for_each(|host| world.start(ip(host), false));
        world.start(ip(1), true);
        world.run(5_000);
        expect_that!(world.roster(), is_empty(), "seed {seed}");
        // Told so, they found.
        [2, 3].into_iter().for_each(|host| world.kill(ip(host)));
        [2, 3]
            .into_iter()
            .for_each(|host| world.start(ip(host), true));
        world.run_while(2_000, |world| !all_vote(world, 3));
        expect_that!(all_vote(&world, 3), eq(true));
    }
}
