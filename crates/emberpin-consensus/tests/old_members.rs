//! Machines that were replaced come back with their disks, alone or as a majority of the first roster.

mod world;

use emberpin_consensus::{Call, Guards};
use googletest::prelude::*;
use world::{ip, services, World};

const OLD: [u8; 3] = [1, 2, 3];
const NEW: [u8; 3] = [4, 5, 6];
/// How long a successor runs before the one in whose place it comes is told to end.
const SYNC_TIME: u64 = 4_000;

/// Each of the first three is replaced, one after another; the call is acknowledged by the last three.
fn replaced(seed: u64) -> World {
    let mut world = World::new(seed, 3, 1, Guards::default());
    world.run(1_000);
    world.answer(ip(1), services(&[("a", 1, 1)]));
    for (old, new) in OLD.into_iter().zip(NEW) {
        world.add(ip(new));
        world.start(ip(new), false);
        world.run(SYNC_TIME);
        world.terminate(ip(old));
    }
    assert_that!(world.roster(), eq(&NEW.map(ip).to_vec()));
    world.answer(ip(4), services(&[("a", 2, 2)]));
    for old in OLD {
        NEW.into_iter().for_each(|new| world.cut(ip(old), ip(new)));
    }
    world
}

/// What these, which hear each other alone, tell of a read and of a change.
fn told(world: &mut World, back: &[u8]) -> Vec<u16> {
    back.iter().for_each(|host| world.start(ip(*host), false));
    world.run(2_000);
    let mut told = Vec::new();
    for host in back {
        let calls = [Call::Get, services(&[("a", 2, 9)])];
        let sent = calls.map(|call| world.call(ip(*host), call));
        world.run(4_000);
        told.extend(sent.map(|id| world.calls[id].answer.as_ref().map_or(0, |answer| answer.0)));
    }
    told
}

#[gtest]
fn an_old_majority_that_comes_back_decides_nothing() {
    for seed in 0..10 {
        for back in [&[1][..], &[3][..], &[2, 3][..], &OLD[..]] {
            let mut world = replaced(seed);
            expect_that!(
                told(&mut world, back),
                each(eq(&503)),
                "seed {seed}, back {back:?}"
            );
            world.settle_and_check();
            expect_that!(world.wrong, none());
        }
    }
}

#[gtest]
fn an_old_majority_that_comes_back_while_the_new_one_is_off_decides_nothing() {
    for seed in 0..10 {
        let mut world = replaced(seed);
        NEW.into_iter()
            .for_each(|host| world.power_off_hard(ip(host)));
        expect_that!(told(&mut world, &OLD), each(eq(&503)), "seed {seed}");
        world.settle_and_check();
        expect_that!(world.wrong, none());
    }
}
