//! Registries, servers and limiters over a network in memory: what must hold when machines die, are cut off,
//! stand still or begin anew.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{drain, instance, ip, item, Held, World, BEAT, EXPIRY};
use emberpin_config::{Item, ItemKey, ItemKind, Version};
use emberpin_membership::clock::Timestamp;
use emberpin_membership::guards::Guards;
use emberpin_membership::ids::{Incarnation, SessionId};
use emberpin_membership::instance::{Instance, Status};
use emberpin_membership::registry::{Event, OperatorCallTarget, ServerReply, SNAPSHOT_PART_BYTES};
use emberpin_membership::session::{FromProxy, Revision, SyncProgress, ToProxy};
use googletest::prelude::*;
use std::collections::BTreeMap;

/// Settled for long enough that silence counts.
fn settled(size: u8) -> World {
    let mut world = World::new(size);
    world.run(EXPIRY + 1_000);
    world
}

// Calls at a machine that is cut off.

/// Cuts machine 1 off for long enough that it knows.
fn cut_off(guards: Guards) -> World {
    let mut world = World::new(3);
    world.restart_with(1, guards);
    world.run(EXPIRY + 1_000);
    world.nodes.get_mut(&1).expect("up").store = Some(false);
    world.cut(1, &[2, 3], true);
    world.run(1_500);
    world
}

#[gtest]
fn a_call_at_a_machine_that_is_cut_off_is_sent_on_at_once() -> googletest::Result<()> {
    let mut world = cut_off(Guards::default());
    let taker = |world: &World, at: u8| {
        world.nodes[&at]
            .registry
            .operator_call_target(world.timestamp())
    };
    verify_that!(
        matches!(taker(&world, 1), OperatorCallTarget::Peer(other) if [ip(2), ip(3)].contains(&other)),
        eq(true)
    )?;
    verify_that!(taker(&world, 2), eq(OperatorCallTarget::Local))?;
    // Once it hears a majority, and its store does, it takes them again.
    world.cut(1, &[2, 3], false);
    world.nodes.get_mut(&1).expect("up").store = Some(true);
    world.run(2_500);
    verify_that!(taker(&world, 1), eq(OperatorCallTarget::Local))
}

#[gtest]
fn without_its_guard_it_is_held_up() -> googletest::Result<()> {
    let world = cut_off(Guards {
        operator_redirect: false,
        ..Guards::default()
    });
    verify_that!(
        world.nodes[&1]
            .registry
            .operator_call_target(world.timestamp()),
        eq(OperatorCallTarget::Local)
    )
}

/// Frozen for less than what counts as standing still, again and again, it hears only what was said before a cut.
fn thaws_after_a_cut(guards: Guards) -> Vec<bool> {
    let mut world = World::new(3);
    world.restart_with(1, guards);
    world.run(EXPIRY + 1_000);
    world.hello(1, 9, None, vec![]);
    world.run(20);
    world.hold(1, &[2, 3], true);
    let mut settled = Vec::new();
    for _ in 0..8 {
        world.nodes.get_mut(&1).expect("up").frozen = true;
        world.run(900);
        // Links deliver for a moment what they held.
        world.hold(1, &[2, 3], false);
        world.run(5);
        world.hold(1, &[2, 3], true);
        world.nodes.get_mut(&1).expect("up").frozen = false;
        world.run(5);
        settled.extend(world.last_settled(1, 9));
    }
    settled
}

#[gtest]
fn old_answers_settle_nobody_however_often_a_process_stands_still() {
    let settled = thaws_after_a_cut(Guards::default());
    expect_that!(settled[2..], each(eq(&false)));
    let wrong = thaws_after_a_cut(Guards {
        lease_from_query: false,
        ..Guards::default()
    });
    expect_that!(wrong[2..], contains(eq(&true)));
}

// News to the data plane.

#[gtest]
fn a_session_in_a_minority_is_told_so_in_time() -> googletest::Result<()> {
    let mut world = settled(3);
    for at in 1..=3 {
        world.hello(at, 9, None, vec![]);
    }
    world.run(600);
    verify_that!(world.last_settled(1, 9), some(eq(true)))?;
    world.cut(1, &[2, 3], true);
    let mut found = None;
    for _ in 0..20 {
        for at in 1..=3 {
            world.pulse(at, 9);
        }
        world.run(100);
        if world.last_settled(1, 9) == Some(false) {
            found = found.or(Some(world.now));
        }
        verify_that!(world.last_settled(2, 9), not(some(eq(false))))?;
    }
    verify_that!(found.is_some(), eq(true))?;
    // Together again, it is settled again.
    world.cut(1, &[2, 3], false);
    world.run_with(1, 9, 2_000);
    verify_that!(world.last_settled(1, 9), some(eq(true)))
}

#[gtest]
fn a_silent_store_is_told_to_limiters() -> googletest::Result<()> {
    let mut world = settled(1);
    world.hello(1, 9, None, vec![]);
    world.run(600);
    verify_that!(world.last_settled(1, 9), some(eq(true)))?;
    world.nodes.get_mut(&1).expect("up").store = None;
    world.run_with(1, 9, 2_000);
    verify_that!(world.last_settled(1, 9), some(eq(false)))
}

#[gtest]
fn a_session_goes_on_from_its_place_or_gets_a_snapshot() -> googletest::Result<()> {
    let mut world = settled(1);
    world.heartbeat(1, instance("a", 1));
    world.heartbeat(1, instance("b", 1));
    world.run(10);
    world.hello(1, 1, None, vec![]);
    let mut held = Held::default();
    held.hear(&world.told(1, 1));
    verify_that!(
        (held.snapshots, held.instances.len(), held.complete),
        eq((1, 2, true))
    )?;
    world.event(
        1,
        Event::SessionClosed {
            session: SessionId(1),
        },
    );
    world.heartbeat(1, instance("c", 1));
    world.leave(1, "a");
    world.run(10);
    // Only what came since.
    world.hello(1, 2, held.at, vec![]);
    let told = world.told(1, 2);
    verify_that!(
        told.iter()
            .all(|told| matches!(told, ToProxy::Changes { instances, .. } if instances.len() == 2)),
        eq(true)
    )?;
    held.hear(&told);
    verify_that!(held.instances, eq(&Held::of(&world.nodes[&1].registry)))?;
    // The place of another instance, of a time to come, or behind the log means nothing.
    let at = held.at.expect("told");
    let far = Revision {
        number: at.number + 1,
        ..at
    };
    let other = Revision {
        incarnation: Incarnation(at.incarnation.0 + 1),
        ..at
    };
    for (session, place) in [(3, far), (4, other)] {
        world.hello(1, session, Some(place), vec![]);
        verify_that!(
            matches!(world.told(1, session)[0], ToProxy::Snapshot { .. }),
            eq(true)
        )?;
    }
    for number in 0..emberpin_membership::change_log::CAPACITY {
        world.heartbeat(1, instance(&format!("x-{number}"), 1));
    }
    world.hello(
        1,
        5,
        Some(Revision {
            number: at.number - 1,
            ..at
        }),
        vec![],
    );
    verify_that!(
        matches!(world.told(1, 5)[0], ToProxy::Snapshot { .. }),
        eq(true)
    )
}

#[gtest]
fn no_change_is_missed_however_often_a_limiter_comes_back() -> googletest::Result<()> {
    for seed in 0..200 {
        let mut random = oorandom::Rand32::new(seed);
        let mut world = settled(1);
        let (mut held, mut session, mut on) = (Held::default(), 0, false);
        let mut version = 0;
        for _ in 0..120 {
            match random.rand_range(0..8) {
                0 if on => {
                    // What is under way is lost with the connection, or was read before.
                    let told = world.told(1, session);
                    if random.rand_range(0..2) == 0 {
                        held.hear(&told);
                    }
                    world.event(
                        1,
                        Event::SessionClosed {
                            session: SessionId(session),
                        },
                    );
                    on = false;
                }
                1 if !on => {
                    session += 1;
                    world.hello(1, session, held.at, vec![]);
                    on = true;
                }
                2 => {
                    version += 1;
                    let name = format!("r-{}", random.rand_range(0..4));
                    let body = (random.rand_range(0..3) > 0).then_some("{}");
                    world.event(
                        1,
                        Event::Items(vec![item(ItemKind::Route, &name, version, body)]),
                    );
                }
                3 => _ = world.leave(1, &format!("s-{}", random.rand_range(0..30))),
                4 => world.run(5),
                _ => {
                    let seq = world.now;
                    world.heartbeat(1, instance(&format!("s-{}", random.rand_range(0..30)), seq));
                }
            }
            if on {
                world.pulse(1, session);
            }
        }
        if !on {
            session += 1;
            world.hello(1, session, held.at, vec![]);
        }
        world.run(20);
        held.hear(&world.told(1, session));
        let registry = &world.nodes[&1].registry;
        verify_that!((seed, &held.instances), eq((seed, &Held::of(registry))))?;
        verify_that!(held.items.len(), eq(registry.item_count()))?;
    }
    Ok(())
}

#[gtest]
fn changes_that_come_together_are_told_together() -> googletest::Result<()> {
    let mut world = settled(1);
    world.hello(1, 9, None, vec![]);
    world.run(20);
    _ = world.told(1, 9);
    let items = (0..500)
        .map(|number| item(ItemKind::Route, &format!("r-{number}"), 1, Some("{}")))
        .collect();
    world.event(1, Event::Items(items));
    for number in 0..20 {
        world.heartbeat(1, instance(&format!("s-{number}"), 1));
    }
    world.run(10);
    let told: Vec<ToProxy> = world
        .told(1, 9)
        .into_iter()
        .filter(|told| !matches!(told, ToProxy::Confirmation { .. }))
        .collect();
    verify_that!(told.len(), eq(1))?;
    let ToProxy::Changes {
        items, instances, ..
    } = &told[0]
    else {
        return fail!("no changes");
    };
    verify_that!((items.len(), instances.len()), eq((500, 20)))
}

#[gtest]
fn beats_that_tell_nothing_new_are_told_to_nobody() -> googletest::Result<()> {
    let mut world = settled(3);
    for number in 0..50 {
        world.beats(1, &format!("s-{number}"));
    }
    world.hello(1, 9, None, vec![]);
    world.run_with(1, 9, 3_000);
    _ = world.told(1, 9);
    let (said, answered) = (world.said, world.answered);
    world.run_with(1, 9, 10_000);
    // Six connections, two pulses a second, and an answer to each.
    verify_that!(world.said - said, le(6 * 2 * 10))?;
    verify_that!(world.answered - answered, le(6 * 2 * 10))?;
    verify_that!(
        world
            .told(1, 9)
            .iter()
            .all(|told| matches!(told, ToProxy::Confirmation { .. })),
        eq(true)
    )
}

#[gtest]
fn a_silent_session_ends() -> googletest::Result<()> {
    let mut world = settled(1);
    world.hello(1, 1, None, vec![]);
    world.hello(1, 2, None, vec![]);
    world.run_with(1, 2, 3_000);
    verify_that!(world.nodes[&1].closed, eq(&[1].into()))
}

// Servers.

#[gtest]
fn a_drain_outlives_its_taker() -> googletest::Result<()> {
    let mut world = settled(3);
    world.heartbeat(1, instance("a", 1));
    world.run(50);
    let call = world.heartbeat(1, drain("a", 2));
    verify_that!(world.takes(1, call), eq(true))?;
    world.kill(1);
    for at in [2, 3] {
        verify_that!(world.status(at, "a"), some(eq(Status::Draining)))?;
        // A limiter that comes with what it knew before is told.
        world.hello(at, 9, None, vec![instance("a", 1)]);
        let mut held = Held::default();
        held.hear(&world.told(at, 9));
        verify_that!(
            held.instances,
            eq(&BTreeMap::from([("a".to_string(), Status::Draining)]))
        )?;
    }
    // The dead machine starts with nothing, and learns it before it would say otherwise.
    world.start(1);
    world.run(300);
    verify_that!(world.status(1, "a"), some(eq(Status::Draining)))
}

#[gtest]
fn a_drain_is_acknowledged_soon_and_only_by_a_majority() -> googletest::Result<()> {
    let mut world = settled(5);
    let call = world.heartbeat(1, drain("a", 1));
    let (took, answer) = world.answer(1, call).expect("answered");
    verify_that!(
        (
            took < 60,
            matches!(answer, ServerReply::Acknowledged { .. })
        ),
        eq((true, true))
    )?;
    // One that takes nothing in holds it up a little.
    world.nodes.get_mut(&5).expect("up").frozen = true;
    let call = world.heartbeat(1, drain("b", 1));
    let (took, answer) = world.answer(1, call).expect("answered");
    verify_that!(
        (
            took >= 140,
            took < 250,
            matches!(answer, ServerReply::Acknowledged { .. })
        ),
        eq((true, true, true))
    )?;
    // With two of five there is no promise, and an answer that says so, in time.
    world.nodes.get_mut(&5).expect("up").frozen = false;
    world.cut(1, &[3, 4, 5], true);
    world.cut(2, &[3, 4, 5], true);
    for _ in 0..3 {
        for call in [world.heartbeat(1, drain("c", 1)), world.leave(1, "d")] {
            let (took, answer) = world.answer(1, call).expect("answered");
            verify_that!(
                (took < 700, answer),
                eq((true, ServerReply::NotAcknowledged))
            )?;
        }
        world.run(1_000);
    }
    // The other side promises.
    let call = world.heartbeat(3, drain("c", 2));
    verify_that!(world.takes(3, call), eq(true))?;
    // A promise that was made is repeated at once.
    let call = world.heartbeat(3, drain("c", 3));
    verify_that!(world.nodes[&3].answers.contains_key(&call), eq(true))
}

#[gtest]
fn what_a_server_said_is_not_taken_back() -> googletest::Result<()> {
    let mut world = settled(1);
    world.heartbeat(1, instance("a", 5));
    world.heartbeat(1, drain("a", 6));
    // Late, and later: neither raises it.
    for seq in [4, 7] {
        let call = world.heartbeat(1, instance("a", seq));
        verify_that!(world.takes(1, call), eq(true))?;
        verify_that!(world.status(1, "a"), some(eq(Status::Draining)))?;
    }
    // A leave before any drain, and of an instance that nobody knows.
    world.heartbeat(1, instance("b", 1));
    for id in ["b", "c"] {
        let call = world.leave(1, id);
        verify_that!(world.takes(1, call), eq(true))?;
        for late in [instance(id, 9), drain(id, 10)] {
            let call = world.heartbeat(1, late);
            verify_that!(world.takes(1, call), eq(true))?;
            verify_that!(world.status(1, id), some(eq(Status::Removed)))?;
        }
    }
    Ok(())
}

#[gtest]
fn an_old_beat_changes_nothing() -> googletest::Result<()> {
    let mut world = settled(1);
    world.heartbeat(
        1,
        Instance {
            cold_ms: 3_000,
            ..instance("a", 5)
        },
    );
    let call = world.heartbeat(1, instance("a", 4));
    verify_that!(world.takes(1, call), eq(true))?;
    let row = world.nodes[&1]
        .registry
        .instances()
        .get("a")
        .expect("known")
        .instance(world.timestamp());
    verify_that!((row.seq, row.cold_ms > 2_900), eq((5, true)))
}

#[gtest]
fn of_two_lives_under_one_address_the_older_goes() -> googletest::Result<()> {
    let mut world = settled(3);
    world.heartbeat(1, instance("old", 4));
    world.run(50);
    world.heartbeat(
        2,
        Instance {
            address: instance("old", 0).address,
            ..instance("new", 1)
        },
    );
    world.run(50);
    for at in 1..=3 {
        verify_that!(world.status(at, "old"), some(eq(Status::Removed)))?;
        verify_that!(world.status(at, "new"), some(eq(Status::Up)))?;
    }
    // If it does live, both are told: requests name the one that they are for.
    world.heartbeat(1, instance("old", 5));
    world.run(50);
    for at in 1..=3 {
        verify_that!(world.status(at, "old"), some(eq(Status::Up)))?;
        verify_that!(world.status(at, "new"), some(eq(Status::Up)))?;
    }
    Ok(())
}

#[gtest]
fn a_registry_that_starts_takes_nobody_away() -> googletest::Result<()> {
    let mut world = settled(1);
    world.kill(1);
    world.start(1);
    let begin = world.now;
    let instances: Vec<Instance> = (0..10)
        .map(|number| instance(&format!("s-{number}"), 3))
        .collect();
    world.hello(1, 9, None, instances);
    let mut held = Held::default();
    held.hear(&world.told(1, 9));
    verify_that!((held.complete, held.instances.len()), eq((false, 10)))?;
    world.run_with(1, 9, 2_000);
    world.hello(1, 8, None, vec![]);
    let mut other = Held::default();
    other.hear(&world.told(1, 8));
    verify_that!(other.complete, eq(false))?;
    // What limiters tell stands until it was silent for a whole time that could be trusted.
    while world.now < begin + EXPIRY - 100 {
        world.run_with(1, 9, 500);
        held.hear(&world.told(1, 9));
        verify_that!(held.instances.len(), eq(10))?;
    }
    world.run_with(1, 9, 2_500);
    held.hear(&world.told(1, 9));
    verify_that!(held.instances.len(), eq(0))?;
    world.hello(1, 10, None, vec![]);
    held.hear(&world.told(1, 10));
    verify_that!(held.complete, eq(true))
}

#[gtest]
fn a_registry_that_starts_takes_beats_at_once() -> googletest::Result<()> {
    let mut world = World::new(3);
    let call = world.heartbeat(1, instance("a", 1));
    verify_that!(world.takes(1, call), eq(true))
}

#[gtest]
fn limiters_tell_drains_to_those_that_forgot() -> googletest::Result<()> {
    let mut world = settled(3);
    for at in 1..=3 {
        world.kill(at);
    }
    for at in 1..=3 {
        world.start(at);
    }
    world.run(300);
    // An `up` that was sent before comes first.
    world.heartbeat(1, instance("a", 8));
    world.hello(1, 9, None, vec![drain("a", 7), instance("b", 4)]);
    world.run(50);
    for at in 1..=3 {
        verify_that!(world.status(at, "a"), some(eq(Status::Draining)))?;
        verify_that!(world.status(at, "b"), some(eq(Status::Up)))?;
    }
    Ok(())
}

#[gtest]
fn a_limiter_does_not_take_away_whom_a_registry_hears() -> googletest::Result<()> {
    let mut world = settled(1);
    world.heartbeat(1, instance("a", 5));
    world.hello(
        1,
        9,
        None,
        vec![Instance {
            status: Status::Removed,
            ..instance("a", 5)
        }],
    );
    verify_that!(world.status(1, "a"), some(eq(Status::Up)))?;
    let mut held = Held::default();
    held.hear(&world.told(1, 9));
    verify_that!(held.instances.contains_key("a"), eq(true))
}

#[gtest]
fn silence_is_found_by_the_owner_and_told() -> googletest::Result<()> {
    let mut world = settled(3);
    world.beats(1, "a");
    world.beats(1, "b");
    world.run(3_000);
    world.servers.retain(|server| server.instance.id == "b");
    world.run(4_000 - BEAT);
    verify_that!(world.status(2, "a"), some(eq(Status::Up)))?;
    world.run(EXPIRY + 600);
    for at in 1..=3 {
        verify_that!(world.status(at, "a"), some(eq(Status::Removed)))?;
        verify_that!(world.status(at, "b"), some(eq(Status::Up)))?;
    }
    // Only silence: it beats again, and is up, everywhere. A late one is not a beat.
    let seq = world.nodes[&1]
        .registry
        .instances()
        .get("a")
        .expect("known")
        .instance(world.timestamp())
        .seq;
    world.heartbeat(2, instance("a", seq));
    verify_that!(world.status(2, "a"), some(eq(Status::Removed)))?;
    world.heartbeat(2, instance("a", seq + 1));
    world.run(50);
    for at in 1..=3 {
        verify_that!(world.status(at, "a"), some(eq(Status::Up)))?;
    }
    Ok(())
}

#[gtest]
fn a_registry_that_is_not_settled_finds_no_silence() -> googletest::Result<()> {
    // Cut off, without its store, or both at once.
    for (cut, store) in [(true, Some(true)), (false, Some(false)), (false, None)] {
        let mut world = settled(3);
        world.beats(1, "a");
        world.run(1_000);
        world.servers.clear();
        if cut {
            world.cut(1, &[2, 3], true);
        }
        world.nodes.get_mut(&1).expect("up").store = store;
        world.run(3 * EXPIRY);
        verify_that!(
            (cut, store, world.status(1, "a")),
            eq((cut, store, Some(Status::Up)))
        )?;
        // Settled again, it waits for a whole time once more: beats may have been held up.
        world.cut(1, &[2, 3], false);
        world.nodes.get_mut(&1).expect("up").store = Some(true);
        if !cut {
            world.run(EXPIRY - 200);
            verify_that!(
                (cut, store, world.status(1, "a")),
                eq((cut, store, Some(Status::Up)))
            )?;
        }
        world.run(EXPIRY + 3_000);
        verify_that!(
            (cut, store, world.status(1, "a")),
            eq((cut, store, Some(Status::Removed)))
        )?;
    }
    Ok(())
}

#[gtest]
fn a_process_that_stood_still_finds_no_silence() -> googletest::Result<()> {
    let mut world = settled(1);
    for number in 0..5 {
        world.beats(1, &format!("s-{number}"));
    }
    world.run(2_000);
    // Alone, so that its store's old words are all that it hears at once.
    world.servers.clear();
    world.nodes.get_mut(&1).expect("up").frozen = true;
    world.run(2 * EXPIRY);
    world.nodes.get_mut(&1).expect("up").frozen = false;
    world.run(EXPIRY - 200);
    verify_that!(world.status(1, "s-0"), some(eq(Status::Up)))?;
    world.run(2_000);
    verify_that!(world.status(1, "s-0"), some(eq(Status::Removed)))
}

#[gtest]
fn what_waited_while_a_process_stood_still_does_not_settle_it() -> googletest::Result<()> {
    let mut world = settled(3);
    world.hello(1, 9, None, vec![]);
    world.run(600);
    world.nodes.get_mut(&1).expect("up").frozen = true;
    world.run(3_000);
    // The others are gone by the time at which it hears what they said before.
    world.cut(1, &[2, 3], true);
    _ = world.told(1, 9);
    world.nodes.get_mut(&1).expect("up").frozen = false;
    for _ in 0..5 {
        world.run_with(1, 9, 500);
        verify_that!(world.told(1, 9).iter().any(says_settled), eq(false))?;
    }
    // And here its store.
    let mut world = settled(1);
    world.hello(1, 9, None, vec![]);
    world.run(600);
    world.nodes.get_mut(&1).expect("up").frozen = true;
    world.run(3_000);
    world.nodes.get_mut(&1).expect("up").store = None;
    _ = world.told(1, 9);
    world.nodes.get_mut(&1).expect("up").frozen = false;
    for _ in 0..5 {
        world.run_with(1, 9, 500);
        verify_that!(world.told(1, 9).iter().any(says_settled), eq(false))?;
    }
    Ok(())
}

fn says_settled(told: &ToProxy) -> bool {
    matches!(told, ToProxy::Confirmation { age: Some(_), .. })
}

#[gtest]
fn servers_of_a_dead_registry_are_claimed_or_expire() -> googletest::Result<()> {
    let mut world = settled(3);
    world.beats(1, "stays");
    world.beats(1, "goes");
    world.run(2_000);
    world.kill(1);
    world.servers.retain(|server| server.instance.id == "stays");
    world.servers[0].at = 2;
    world.run(EXPIRY - 700);
    verify_that!(world.status(3, "goes"), some(eq(Status::Up)))?;
    world.run(1_500);
    for at in [2, 3] {
        verify_that!(world.status(at, "goes"), some(eq(Status::Removed)))?;
        verify_that!(world.status(at, "stays"), some(eq(Status::Up)))?;
        let owner = world.nodes[&at]
            .registry
            .instances()
            .get("stays")
            .expect("known")
            .owner;
        verify_that!(owner, some(eq(ip(2))))?;
    }
    Ok(())
}

#[gtest]
fn whoever_does_not_hear_an_owner_takes_nobody_away_from_those_that_do() -> googletest::Result<()> {
    let mut world = settled(3);
    world.beats(1, "a");
    world.run(3_000);
    world.hello(2, 9, None, vec![]);
    world.cut(1, &[3], true);
    let mut held = Held::default();
    for _ in 0..30 {
        world.run_with(2, 9, 500);
        held.hear(&world.told(2, 9));
        verify_that!(held.instances.contains_key("a"), eq(true))?;
    }
    verify_that!(world.status(3, "a"), some(eq(Status::Removed)))?;
    world.cut(1, &[3], false);
    world.run(2_000);
    verify_that!(world.status(3, "a"), some(eq(Status::Up)))
}

#[gtest]
fn a_registry_that_lost_its_table_gives_its_servers_up() -> googletest::Result<()> {
    let mut world = settled(3);
    world.beats(1, "a");
    world.run(2_000);
    world.servers.clear();
    world.kill(1);
    world.start(1);
    world.run(2 * EXPIRY + 2_000);
    for at in 1..=3 {
        verify_that!(world.status(at, "a"), some(eq(Status::Removed)))?;
    }
    Ok(())
}

#[gtest]
fn servers_are_sent_to_a_registry_of_their_zone_that_is_settled() -> googletest::Result<()> {
    // Machines 1 and 4 are in the servers' zone.
    let mut world = settled(5);
    let mut seen = BTreeMap::new();
    for number in 0..40 {
        let call = world.heartbeat(2, instance(&format!("s-{number}"), 1));
        let Some((_, ServerReply::Acknowledged { heartbeat_target })) = world.answer(2, call)
        else {
            return fail!("no answer");
        };
        *seen.entry(heartbeat_target).or_insert(0) += 1;
    }
    verify_that!(
        seen.keys().copied().collect::<Vec<_>>(),
        eq(&vec![ip(1), ip(4)])
    )?;
    verify_that!(seen.values().all(|count| *count >= 10), eq(true))?;
    // All registries say the same.
    let call = world.heartbeat(3, instance("s-0", 2));
    let same = world.answer(3, call);
    let call = world.heartbeat(5, instance("s-0", 3));
    verify_that!(
        world.answer(5, call).map(|(_, answer)| answer),
        eq(same.map(|(_, answer)| answer))
    )?;
    world.kill(1);
    world.nodes.get_mut(&4).expect("up").store = Some(false);
    world.run(2_500);
    let call = world.heartbeat(2, instance("s-0", 4));
    let Some((_, ServerReply::Acknowledged { heartbeat_target })) = world.answer(2, call) else {
        return fail!("no answer");
    };
    verify_that!([ip(2), ip(3), ip(5)].contains(&heartbeat_target), eq(true))
}

#[gtest]
fn in_a_minority_servers_are_sent_on_but_known() -> googletest::Result<()> {
    let mut world = settled(3);
    world.cut(1, &[2, 3], true);
    world.run(2_000);
    let call = world.heartbeat(1, instance("a", 1));
    verify_that!(
        world.answer(1, call).map(|(_, answer)| answer),
        some(eq(ServerReply::NotAcknowledged))
    )?;
    verify_that!(world.status(1, "a"), some(eq(Status::Up)))?;
    let call = world.heartbeat(2, instance("a", 2));
    verify_that!(world.takes(2, call), eq(true))
}

#[gtest]
fn an_end_needs_a_majority_of_its_own() -> googletest::Result<()> {
    let mut world = settled(3);
    let call = world.heartbeat(1, drain("a", 1));
    verify_that!(world.takes(1, call), eq(true))?;
    world.cut(1, &[2, 3], true);
    let call = world.leave(1, "a");
    verify_that!(world.takes(1, call), eq(false))
}

#[gtest]
fn a_drain_is_asked_of_registries_that_come_meanwhile() -> googletest::Result<()> {
    let mut world = settled(3);
    world.cut(1, &[2, 3], true);
    world.run(3_000);
    let call = world.heartbeat(1, drain("a", 1));
    world.run(100);
    world.cut(1, &[2, 3], false);
    verify_that!(world.takes(1, call), eq(true))
}

#[gtest]
fn a_drain_is_passed_on_to_those_that_its_taker_does_not_reach() -> googletest::Result<()> {
    let mut world = settled(3);
    world.hello(3, 9, None, vec![]);
    for id in ["a", "b"] {
        world.heartbeat(1, instance(id, 1));
    }
    world.run(50);
    world.cut(1, &[3], true);
    for call in [
        world.heartbeat(1, drain("a", 2)),
        world.leave(1, "b"),
        world.heartbeat(1, drain("c", 1)),
    ] {
        verify_that!(world.takes(1, call), eq(true))?;
    }
    // With it, what it has not got through yet is lost.
    world.kill(1);
    world.run(50);
    verify_that!(world.status(3, "a"), some(eq(Status::Draining)))?;
    verify_that!(world.status(3, "b"), some(eq(Status::Removed)))?;
    verify_that!(world.status(3, "c"), some(eq(Status::Draining)))
}

#[gtest]
fn a_place_to_beat_that_changes_is_told_at_once() -> googletest::Result<()> {
    let mut world = settled(3);
    for (at, seq) in [(1, 1), (2, 2), (1, 3)] {
        world.heartbeat(at, instance("a", seq));
        world.run(20);
        for other in 1..=3 {
            let owner = world.nodes[&other]
                .registry
                .instances()
                .get("a")
                .expect("known")
                .owner;
            verify_that!((seq, other, owner), eq((seq, other, Some(ip(at)))))?;
        }
    }
    Ok(())
}

#[gtest]
fn servers_of_a_registry_that_stood_still_are_up_again() -> googletest::Result<()> {
    let mut world = settled(3);
    world.beats(1, "a");
    world.run(2_000);
    world.nodes.get_mut(&1).expect("up").frozen = true;
    world.run(EXPIRY + 2_000);
    verify_that!(world.status(2, "a"), some(eq(Status::Removed)))?;
    // It has noticed nothing: for it, the server is up as before.
    world.nodes.get_mut(&1).expect("up").frozen = false;
    world.run(2 * BEAT);
    for at in 1..=3 {
        verify_that!(world.status(at, "a"), some(eq(Status::Up)))?;
    }
    Ok(())
}

#[gtest]
fn a_server_that_an_owner_does_not_know_any_more_expires() -> googletest::Result<()> {
    let mut world = settled(3);
    world.beats(1, "a");
    world.run(2 * EXPIRY);
    // It goes to another registry, of which the third one hears nothing; then it dies.
    world.cut(2, &[3], true);
    world.run(2_000);
    world.servers[0].at = 2;
    world.run(2_000);
    world.servers.clear();
    world.run(1_500);
    verify_that!(world.status(3, "a"), some(eq(Status::Up)))?;
    world.run(2 * EXPIRY);
    for at in 1..=3 {
        verify_that!(world.status(at, "a"), some(eq(Status::Removed)))?;
    }
    Ok(())
}

#[gtest]
fn a_limiter_is_told_what_it_has_wrong() -> googletest::Result<()> {
    let mut world = settled(1);
    world.hello(1, 1, None, vec![]);
    let mut held = Held::default();
    held.hear(&world.told(1, 1));
    for status in [Status::Removed, Status::Draining] {
        let id = format!("{status:?}");
        world.heartbeat(
            1,
            Instance {
                status,
                ..instance(&id, 3)
            },
        );
        world.run(10);
        world.hello(1, 2, None, vec![]);
        held.hear(&world.told(1, 2));
        // Both with a snapshot and from its place.
        for (session, from) in [(3, None), (4, held.at)] {
            world.hello(1, session, from, vec![instance(&id, 1)]);
            let told = world.told(1, session);
            let named = told.iter().any(|told| match told {
                ToProxy::Snapshot { instances, .. } | ToProxy::Changes { instances, .. } => {
                    instances
                        .iter()
                        .any(|instance| instance.id == id && instance.status == status)
                }
                ToProxy::SnapshotPart { .. } | ToProxy::Confirmation { .. } => false,
            });
            verify_that!((session, named), eq((session, true)))?;
        }
    }
    Ok(())
}

#[gtest]
fn limiters_are_counted_once_and_for_a_while() -> googletest::Result<()> {
    let mut world = settled(3);
    let limiters = |world: &mut World| {
        let told = world.told(1, 1);
        told.iter().rev().find_map(|told| match told {
            ToProxy::Confirmation { proxies, .. } => Some(*proxies),
            _ => None,
        })
    };
    // Session 2 with two registries, as limiters do.
    for (at, session) in [(1, 1), (1, 2), (2, 2), (3, 3)] {
        world.hello(at, session, None, vec![]);
    }
    for _ in 0..4 {
        for (at, session) in [(1, 1), (1, 2), (2, 2), (3, 3)] {
            world.pulse(at, session);
        }
        world.run(500);
    }
    verify_that!(limiters(&mut world), some(eq(3)))?;
    world.event(
        3,
        Event::SessionClosed {
            session: SessionId(3),
        },
    );
    world.run_with(1, 1, 10_000);
    verify_that!(limiters(&mut world), some(eq(3)))?;
    world.run_with(1, 1, 35_000);
    verify_that!(limiters(&mut world), some(eq(1)))
}

#[gtest]
fn an_older_version_changes_nothing() -> googletest::Result<()> {
    let mut world = settled(1);
    let news = |ver, body| Event::Items(vec![item(ItemKind::Route, "r", ver, body)]);
    world.event(1, news(7, Some("{\"a\":7}")));
    world.event(1, news(6, Some("{\"a\":6}")));
    world.event(1, news(7, None));
    world.hello(1, 9, None, vec![]);
    let mut held = Held::default();
    held.hear(&world.told(1, 9));
    let bodies: Vec<_> = held
        .items
        .values()
        .map(|item| (item.version, item.body.as_deref()))
        .collect();
    verify_that!(bodies, eq(&vec![(Version(7), Some("{\"a\":7}"))]))
}

#[gtest]
fn ends_are_remembered_for_a_time_and_no_more_than_so_many() -> googletest::Result<()> {
    use emberpin_membership::instance_table::InstanceTable;
    let mut instances = InstanceTable::default();
    for number in 0..10_100 {
        instances.leave(Timestamp::from_millis(number), &format!("s-{number}"));
    }
    instances.prune_tombstones(Timestamp::from_millis(10_100));
    verify_that!(instances.iter().count(), eq(10_000))?;
    verify_that!(instances.get("s-99").is_none(), eq(true))?;
    instances.prune_tombstones(Timestamp::from_millis(600_000 + 5_000));
    verify_that!(instances.get("s-5001").is_some(), eq(true))?;
    verify_that!(instances.get("s-4999").is_none(), eq(true))?;
    // One that was raised is not forgotten for its first end.
    let mut instances = InstanceTable::default();
    let told = |seq| emberpin_membership::peers::InstanceRecord {
        instance: instance("a", seq),
        expired: false,
        owner: None,
    };
    instances.merge(Timestamp::from_millis(0), told(1));
    instances.evict(Timestamp::from_millis(10), "a");
    instances.merge(Timestamp::from_millis(20), told(2));
    instances.prune_tombstones(Timestamp::from_millis(700_000));
    verify_that!(instances.get("a").is_some(), eq(true))
}

// Cold servers.

fn cold(world: &World, at: u8, id: &str) -> u32 {
    world.nodes[&at]
        .registry
        .instances()
        .get(id)
        .expect("known")
        .instance(world.timestamp())
        .cold_ms
}

#[gtest]
fn cold_times_are_told_and_run_down() -> googletest::Result<()> {
    let mut world = settled(3);
    world.heartbeat(
        1,
        Instance {
            cold_ms: 3_000,
            ..instance("a", 1)
        },
    );
    world.run(1_000);
    for at in 1..=3 {
        verify_that!(cold(&world, at, "a"), all![ge(1_950), le(2_050)])?;
    }
    // Cold again, at any moment.
    world.run(3_000);
    world.heartbeat(
        1,
        Instance {
            cold_ms: 2_000,
            ..instance("a", 2)
        },
    );
    world.run(50);
    for at in 1..=3 {
        verify_that!(cold(&world, at, "a"), all![ge(1_900), le(2_000)])?;
    }
    Ok(())
}

#[gtest]
fn a_zone_that_was_taken_back_is_cold_until_a_fresh_word() -> googletest::Result<()> {
    let mut world = settled(1);
    let service = item(
        ItemKind::Service,
        "svc",
        1,
        Some("{\"name\":\"svc\",\"warmup\":\"4s\"}"),
    );
    world.event(
        1,
        Event::Items(vec![
            service,
            item(ItemKind::Evacuation, &common::zone(1), 1, Some("{}")),
        ]),
    );
    world.heartbeat(1, instance("a", 1));
    world.heartbeat(
        1,
        Instance {
            zone: "elsewhere".into(),
            ..instance("b", 1)
        },
    );
    world.hello(1, 9, None, vec![]);
    world.run(50);
    _ = world.told(1, 9);
    world.event(
        1,
        Event::Items(vec![item(ItemKind::Evacuation, &common::zone(1), 2, None)]),
    );
    world.run(20);
    verify_that!(
        (cold(&world, 1, "a") > 3_900, cold(&world, 1, "b")),
        eq((true, 0))
    )?;
    // The item and the cold instances come together.
    let told = world.told(1, 9);
    let together = |told: &ToProxy| {
        matches!(told, ToProxy::Changes { items, instances, .. }
        if items.len() == 1 && instances.len() == 1 && instances[0].cold_ms > 3_900)
    };
    verify_that!(told.iter().any(together), eq(true))?;
    // A word from before does not count, a later one does.
    world.run(BEAT / 2);
    world.heartbeat(1, instance("a", 2));
    verify_that!(cold(&world, 1, "a"), gt(3_000))?;
    world.run(BEAT / 2);
    world.heartbeat(1, instance("a", 3));
    verify_that!(cold(&world, 1, "a"), eq(0))
}

fn taken_back() -> Event {
    Event::Items(vec![item(ItemKind::Evacuation, &common::zone(1), 2, None)])
}

#[gtest]
fn a_registry_that_starts_long_after_takes_nobody_for_cold() -> googletest::Result<()> {
    let mut world = settled(3);
    world.beats(2, "a");
    world.run(2_000);
    world.kill(1);
    world.start(1);
    world.run(300);
    world.event(1, taken_back());
    world.hello(1, 9, None, vec![instance("a", 1)]);
    verify_that!(cold(&world, 1, "a"), eq(0))
}

#[gtest]
fn a_registry_that_starts_just_then_hears_of_cold_servers() -> googletest::Result<()> {
    let mut world = settled(3);
    world.event(
        2,
        Event::Items(vec![item(
            ItemKind::Evacuation,
            &common::zone(1),
            1,
            Some("{}"),
        )]),
    );
    world.heartbeat(2, instance("a", 1));
    world.run(50);
    world.kill(1);
    world.start(1);
    world.run(300);
    world.event(1, taken_back());
    verify_that!(cold(&world, 1, "a"), eq(0))?;
    world.event(2, taken_back());
    world.run(50);
    verify_that!(cold(&world, 1, "a"), gt(2_800))
}

#[gtest]
fn where_all_registries_are_new_what_limiters_tell_may_be_cold() -> googletest::Result<()> {
    for items_first in [true, false] {
        let mut world = World::new(3);
        world.run(300);
        if items_first {
            world.event(1, taken_back());
        }
        world.hello(
            1,
            9,
            None,
            vec![
                instance("a", 7),
                Instance {
                    zone: "elsewhere".into(),
                    ..instance("b", 7)
                },
            ],
        );
        if !items_first {
            world.event(1, taken_back());
        }
        verify_that!(
            (items_first, cold(&world, 1, "a") > 2_900),
            eq((items_first, true))
        )?;
        verify_that!(cold(&world, 1, "b"), eq(0))?;
        // InstanceRecord once more, it is no colder.
        world.run(BEAT / 2);
        world.hello(1, 11, None, vec![instance("a", 7), instance("d", 7)]);
        verify_that!(
            (cold(&world, 1, "a") < 2_500, cold(&world, 1, "d") > 2_900),
            eq((true, true))
        )?;
        // What the servers themselves say counts after a beat's time.
        world.run(BEAT);
        world.heartbeat(1, instance("a", 8));
        verify_that!(cold(&world, 1, "a"), eq(0))?;
        // What is told later is not from before.
        world.hello(1, 10, None, vec![instance("c", 7)]);
        verify_that!(cold(&world, 1, "c"), eq(0))?;
    }
    Ok(())
}

// Newcomers.

#[gtest]
fn a_newcomer_learns_and_is_told_but_does_not_count() -> googletest::Result<()> {
    let mut world = settled(3);
    world.beats(2, "a");
    world.start(4);
    world.run(1_500);
    verify_that!(world.status(4, "a"), some(eq(Status::Up)))?;
    let called = world.called;
    world.run(3_000);
    verify_that!(world.called, eq(called))?;
    world.cut(1, &[2, 3], true);
    let call = world.heartbeat(1, drain("b", 1));
    verify_that!(world.takes(1, call), eq(false))?;
    verify_that!(world.status(4, "b"), some(eq(Status::Draining)))?;
    world.cut(1, &[2, 3], false);
    world.run(3_000);
    verify_that!(
        world.nodes[&1]
            .registry
            .registries_in_contact(world.timestamp()),
        contains(eq(&ip(4)))
    )?;
    // Gone for long, it is not called any more.
    world.kill(4);
    verify_that!(world.calls(1, 4), eq(true))?;
    world.run(62_000);
    verify_that!((world.calls(1, 4), world.calls(1, 2)), eq((false, true)))
}

// State.

#[gtest]
fn copies_that_heard_the_same_agree_in_any_order() -> googletest::Result<()> {
    use emberpin_membership::instance_table::InstanceTable;
    use emberpin_membership::peers::InstanceRecord;
    for seed in 0..2_000 {
        let mut random = oorandom::Rand32::new(seed);
        let mut words: Vec<InstanceRecord> = (0..6)
            .map(|_| {
                let seq = u64::from(random.rand_range(1..4));
                let status = [Status::Up, Status::Up, Status::Draining, Status::Removed];
                let status = status[random.rand_range(0..4) as usize];
                // Whoever expired it knew it by this seq; a server says one thing under one seq.
                let expired = random.rand_range(0..4) == 0;
                InstanceRecord {
                    instance: Instance {
                        status,
                        ..instance("a", seq)
                    },
                    expired,
                    owner: None,
                }
            })
            .collect();
        let mut seen = Vec::new();
        for _ in 0..6 {
            for at in (1..words.len()).rev() {
                words.swap(at, random.rand_range(0..at as u32 + 1) as usize);
            }
            let mut instances = InstanceTable::default();
            words
                .iter()
                .for_each(|told| _ = instances.merge(Timestamp::from_millis(0), told.clone()));
            let row = instances.get("a").expect("known");
            seen.push((
                row.status(),
                row.reported_status(),
                row.instance(Timestamp::ZERO).seq,
            ));
        }
        verify_that!(
            (seed, seen.iter().all(|one| *one == seen[0])),
            eq((seed, true))
        )?;
    }
    Ok(())
}

// Snapshots in parts.

/// Follows all parts, and says how many there were.
fn fetch(
    world: &mut World,
    session: u64,
    followed: &mut Option<SyncProgress>,
    items: &mut BTreeMap<ItemKey, Version>,
) -> usize {
    let mut parts = 0;
    loop {
        for told in world.told(1, session) {
            SyncProgress::advance(followed, &told);
            let (ToProxy::Snapshot { items: told, .. }
            | ToProxy::SnapshotPart { items: told, .. }
            | ToProxy::Changes { items: told, .. }) = told
            else {
                continue;
            };
            told.into_iter()
                .for_each(|item| _ = items.insert(item.key, item.version));
        }
        let rest = followed.as_ref().and_then(|known| known.next_part.clone());
        let Some(after) = rest else { return parts };
        parts += 1;
        world.event(
            1,
            Event::ProxyMessage {
                session: SessionId(session),
                message: FromProxy::FetchSnapshotPart { after },
            },
        );
    }
}

fn routes(from: usize, to: usize, ver: u64) -> Vec<Item> {
    let body = "x".repeat(300);
    (from..to)
        .map(|number| item(ItemKind::Route, &format!("r-{number:05}"), ver, Some(&body)))
        .collect()
}

/// Held for each size: the parts are bounded, and their number grows with the whole.
#[gtest]
fn a_snapshot_comes_in_parts_of_bounded_size() -> googletest::Result<()> {
    for size in [100, 1_000, 10_000] {
        let mut world = settled(1);
        world.event(1, Event::Items(routes(0, size, 1)));
        world.run(20);
        world.hello(1, 1, None, vec![]);
        let (mut followed, mut items) = (None, BTreeMap::new());
        let parts = fetch(&mut world, 1, &mut followed, &mut items);
        println!("{size} routes: {} parts", parts + 1);
        verify_that!(
            (items.len(), parts),
            eq((size, size * 355 / SNAPSHOT_PART_BYTES))
        )?;
    }
    Ok(())
}

/// Changes before and behind the cursor, breaks between parts, and more changes than the log holds.
#[gtest]
fn a_snapshot_is_taken_up_where_it_broke_off_while_changes_go_on() -> googletest::Result<()> {
    for seed in 0..20 {
        let mut random = oorandom::Rand32::new(seed);
        let mut world = World::new(1);
        world.part_bytes = 2_000;
        world.restart_with(1, Guards::default());
        world.run(EXPIRY + 1_000);
        world.event(1, Event::Items(routes(0, 100, 1)));
        world.run(20);
        let (mut followed, mut items, mut session, mut ver) =
            (None::<SyncProgress>, BTreeMap::new(), 0, 1);
        let mut asked = 0;
        while followed
            .as_ref()
            .and_then(SyncProgress::synced_revision)
            .is_none()
        {
            session += 1;
            let from = followed.as_ref().map(|known| known.revision);
            world.hello(1, session, from, vec![]);
            for _ in 0..random.rand_range(0..6) {
                ver += 1;
                let at = random.rand_range(0..110) as usize;
                let many = if random.rand_range(0..60) == 0 {
                    4_200
                } else {
                    1
                };
                world.event(1, Event::Items(routes(at, at + many, ver)));
                world.run(10);
                for told in world.told(1, session) {
                    SyncProgress::advance(&mut followed, &told);
                    let (ToProxy::Snapshot { items: told, .. }
                    | ToProxy::SnapshotPart { items: told, .. }
                    | ToProxy::Changes { items: told, .. }) = told
                    else {
                        continue;
                    };
                    told.into_iter()
                        .for_each(|item| _ = items.insert(item.key, item.version));
                }
                let Some(after) = followed.as_ref().and_then(|known| known.next_part.clone())
                else {
                    break;
                };
                asked += 1;
                world.event(
                    1,
                    Event::ProxyMessage {
                        session: SessionId(session),
                        message: FromProxy::FetchSnapshotPart { after },
                    },
                );
            }
            world.event(
                1,
                Event::SessionClosed {
                    session: SessionId(session),
                },
            );
            _ = world.told(1, session);
        }
        world.hello(1, 0, followed.as_ref().map(|known| known.revision), vec![]);
        world.run(20);
        fetch(&mut world, 0, &mut followed, &mut items);
        let stands: BTreeMap<ItemKey, Version> = world.nodes[&1]
            .registry
            .items()
            .map(|item| (item.key.clone(), item.version))
            .collect();
        verify_that!((seed, asked > 0, items == stands), eq((seed, true, true)))?;
    }
    Ok(())
}
