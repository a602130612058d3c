//! Orders that are sent again, and numbers that are used twice, over three to five stores with faults: what was
//! taken is acknowledged again or left open, never refused, and of two contents of a number one is.
//! `EMBERPIN_RUNS` sets how many runs there are.

mod world;

use emberpin_config::{History, Item, ItemKey, ItemKind, Retention, Version};
use emberpin_consensus::{Call, Guards, Message};
use googletest::prelude::*;
use stateright::semantics::{ConsistencyTester, LinearizabilityTester, SequentialSpec};
use std::collections::BTreeMap;
use world::{drop_service, ip, services, World};

const SMALL: Retention = Retention {
    max_versions: 3,
    max_tombstones: 4,
};

fn sound() -> Guards {
    Guards::default()
}

fn small() -> Guards {
    Guards {
        bounds: SMALL,
        ..sound()
    }
}

fn calm(seed: u64, guards: Guards) -> World {
    let mut world = World::new(seed, 3, 1, guards);
    world.run(100);
    world
}

fn status(world: &mut World, host: u8, call: &Call) -> u16 {
    world.answer(ip(host), call.clone()).0
}

/// x at 5, 6, dropped at 7 and set again at 8, each at another store.
fn taken() -> [Call; 4] {
    [
        services(&[("x", 5, 1)]),
        services(&[("x", 6, 2)]),
        drop_service("x", 7),
        services(&[("x", 8, 3)]),
    ]
}

/// Takes four versions, lets something happen, and sends all of them again, and other contents.
fn outlast(guards: Guards, happens: fn(&mut World)) -> Option<String> {
    let mut world = calm(1, guards);
    for (nth, call) in taken().iter().enumerate() {
        let status = status(&mut world, 1 + nth as u8 % 3, call);
        if status != 200 {
            return Some(format!("order {nth} at first: {status}"));
        }
    }
    happens(&mut world);
    let host = *world.up().last()?;
    for (nth, call) in taken().iter().enumerate() {
        let again = world.answer(host, call.clone()).0;
        if again != 200 {
            return Some(format!("order {nth} again: {again}"));
        }
    }
    let beside = |ver| services(&[("x", ver, 9), ("y", 1, 1)]);
    for call in [
        services(&[("x", 5, 9)]),
        drop_service("x", 6),
        beside(5),
        beside(6),
        beside(7),
        beside(8),
    ] {
        let other = world.answer(host, call.clone()).0;
        if other != 409 {
            return Some(format!("another content, {call:?}: {other}"));
        }
    }
    world.settle_and_check();
    world.wrong
}

fn restart_all(world: &mut World) {
    world.run(100);
    (1..=3).for_each(|host| world.kill(ip(host)));
    (1..=3).for_each(|host| world.start(ip(host), false));
    world.run(2_000);
}

fn lose_power_and_a_disk(world: &mut World) {
    (1..=3).for_each(|host| world.power_off_hard(ip(host)));
    world.wipe(ip(3));
    (1..=3).for_each(|host| world.start(ip(host), false));
    world.run(6_000);
}

fn replace_a_machine(world: &mut World) {
    world.run(1_000);
    world.remove(ip(2));
    world.add(ip(4));
    world.start(ip(4), false);
    world.run(16_000);
    world.power_off(ip(1));
}

#[gtest]
fn what_was_taken_is_known_again_whatever_happens_in_between() {
    for happens in [
        |_: &mut World| {},
        restart_all,
        lose_power_and_a_disk,
        replace_a_machine,
    ] {
        expect_that!(outlast(sound(), happens), none());
    }
}

#[gtest]
fn without_a_history_a_repeat_is_refused() {
    let wrong = outlast(
        Guards {
            propose_history: false,
            ..sound()
        },
        |_| {},
    );
    expect_that!(wrong, some(eq("order 0 again: 409")));
}

#[gtest]
fn a_history_that_is_lost_at_a_restart_of_all_is_missed() {
    let wrong = outlast(
        Guards {
            restore_history: false,
            ..sound()
        },
        restart_all,
    );
    expect_that!(wrong, some(eq("order 0 again: 409")));
}

/// Of a call with a superseded item: what the same number with another content gets.
fn superseded_number(guards: Guards) -> u16 {
    let mut world = calm(2, guards);
    status(&mut world, 1, &services(&[("x", 6, 1)]));
    let first = status(&mut world, 2, &services(&[("x", 5, 1), ("y", 1, 1)]));
    assert_eq!(first, 200);
    status(&mut world, 3, &services(&[("x", 5, 2), ("z", 1, 1)]))
}

#[gtest]
fn a_superseded_number_is_taken_once_its_call_is_acknowledged() {
    expect_that!(superseded_number(sound()), eq(409));
    expect_that!(
        superseded_number(Guards {
            propose_superseded: false,
            ..sound()
        }),
        eq(200)
    );
}

/// Fills the tombstones until that of x gives way; what another content under an old number of it gets after
/// all were started anew.
fn removed_number(guards: Guards) -> (u16, u16) {
    let mut world = calm(3, guards);
    for call in [services(&[("x", 5, 1)]), drop_service("x", 6)] {
        status(&mut world, 1, &call);
    }
    for name in 0..8 {
        status(
            &mut world,
            2,
            &drop_service(&format!("d{name}"), 100 + name),
        );
    }
    restart_all(&mut world);
    let again = status(&mut world, 3, &services(&[("x", 5, 1)]));
    (
        again,
        status(&mut world, 3, &services(&[("x", 5, 2), ("y", 1_000, 1)])),
    )
}

#[gtest]
fn a_number_below_removed_tombstones_is_left_open() {
    expect_that!(removed_number(small()), eq((503, 503)));
    expect_that!(
        removed_number(Guards {
            restore_checkpoint: false,
            ..small()
        }),
        eq((200, 409))
    );
}

#[gtest]
fn versions_beyond_the_bound_are_left_open() {
    let mut world = calm(4, small());
    for ver in 1..=8 {
        expect_that!(
            status(
                &mut world,
                1 + (ver % 3) as u8,
                &services(&[("x", ver, ver)])
            ),
            eq(200)
        );
    }
    for (ver, content, expected) in [
        (4, 4, 503),
        (4, 5, 503),
        (5, 5, 200),
        (5, 4, 409),
        (8, 8, 200),
    ] {
        expect_that!(
            status(&mut world, 1, &services(&[("x", ver, content)])),
            eq(expected),
            "{ver}"
        );
    }
}

#[gtest]
fn of_many_operators_with_one_number_one_is_acknowledged_for_good() {
    for seed in 0..30 {
        let operators = 2 + seed % 7;
        let mut world = calm(seed, sound());
        world.delay = (1, 30);
        let calls: Vec<Call> = (0..operators)
            .map(|content| services(&[("x", 5, content), ("y", content, content)]))
            .collect();
        let host = |nth: usize| 1 + (nth % 3) as u8;
        for (nth, call) in calls.iter().enumerate() {
            world.call(ip(host(nth)), call.clone());
        }
        world.run(4_000);
        // None of them has heard an answer.
        let again: Vec<u16> = calls
            .iter()
            .enumerate()
            .map(|(nth, call)| status(&mut world, host(nth + 1), call))
            .collect();
        expect_that!(again.iter().filter(|status| **status == 200).count(), eq(1));
        expect_that!(
            again.iter().filter(|status| **status == 409).count(),
            eq(calls.len() - 1)
        );
        expect_that!(status(&mut world, 1, &services(&[("x", 9, 99)])), eq(200));
        let later: Vec<u16> = calls
            .iter()
            .enumerate()
            .map(|(nth, call)| status(&mut world, host(nth + 2), call))
            .collect();
        expect_that!(later, eq(&again));
        world.settle_and_check();
        expect_that!(world.wrong, none());
    }
}

/// The taker proposes x at 6, which only some hear of, and is killed before it answers.
fn taker_killed(hold: fn(&Message) -> bool) -> World {
    let mut world = calm(5, sound());
    status(&mut world, 2, &services(&[("x", 5, 1)]));
    world.hold = Some(hold);
    world.call(ip(1), services(&[("x", 6, 2)]));
    world.run(50);
    world.kill(ip(1));
    world.hold = None;
    world
}

#[gtest]
fn an_order_whose_taker_was_killed_after_the_proposal_is_known_again() {
    let mut world = taker_killed(|message| matches!(message, Message::Accepted(_)));
    // Another number comes first: it carries what may have been chosen.
    expect_that!(status(&mut world, 2, &services(&[("x", 7, 3)])), eq(200));
    expect_that!(status(&mut world, 3, &services(&[("x", 6, 2)])), eq(200));
    expect_that!(
        status(&mut world, 3, &services(&[("x", 6, 9), ("y", 1, 1)])),
        eq(409)
    );
    world.settle_and_check();
    expect_that!(world.wrong, none());
}

#[gtest]
fn an_order_that_only_its_killed_taker_held_was_never_taken() {
    let mut world = taker_killed(|message| matches!(message, Message::Accept(_)));
    expect_that!(status(&mut world, 2, &services(&[("x", 7, 3)])), eq(200));
    expect_that!(status(&mut world, 3, &services(&[("x", 6, 2)])), eq(409));
    world.start(ip(1), false);
    world.run(2_000);
    expect_that!(status(&mut world, 1, &services(&[("x", 6, 2)])), eq(409));
    world.settle_and_check();
    expect_that!(world.wrong, none());
}

#[gtest]
fn a_repeat_that_meets_its_own_half_chosen_call_is_taken_once() {
    let mut world = calm(6, sound());
    status(&mut world, 2, &services(&[("x", 5, 1)]));
    world.hold = Some(|message| matches!(message, Message::Accepted(_)));
    let order = services(&[("x", 6, 2)]);
    let first = world.call(ip(1), order.clone());
    world.run(50);
    world.hold = None;
    expect_that!(status(&mut world, 2, &order), eq(200));
    world.run(4_000);
    let first = world.calls[first].answer.clone().map(|(status, _)| status);
    expect_that!(first, some(any![eq(200), eq(503)]));
    let x = ItemKey {
        kind: ItemKind::Service,
        name: "x".into(),
    };
    for host in 1..=3 {
        let store = world.nodes[&ip(host)].store.as_ref().expect("a store");
        let history = store.state().get(&History::key(&x)).cloned();
        expect_that!(
            history.as_ref().map(|item| item.version),
            some(eq(Version(1))),
            "one change, at {host}"
        );
    }
}

/// Items as operators know them: every number that was acknowledged, for ever.
#[derive(Clone, Default)]
struct Ledger {
    numbers: BTreeMap<(ItemKey, Version), Option<String>>,
    newest: BTreeMap<ItemKey, Version>,
}

#[derive(Clone, Debug, PartialEq)]
enum Operation {
    Order(Vec<Item>),
    Read,
}

#[derive(Clone, Debug, PartialEq)]
enum Outcome {
    Status(u16),
    Live(Vec<(ItemKey, Version)>),
}

impl Ledger {
    fn order(&mut self, items: &[Item]) -> u16 {
        let number = |item: &Item| (item.key.clone(), item.version);
        let known = |item: &&Item| self.numbers.get(&number(item)) == Some(&item.body);
        let newer = |item: &&Item| {
            self.newest
                .get(&item.key)
                .is_none_or(|newest| item.version > *newest)
        };
        let conflicts = |item: &&Item| self.numbers.contains_key(&number(item)) && !known(item);
        let has_effect = items.iter().any(|item| known(&item) || newer(&item));
        if items.iter().any(|item| conflicts(&item)) || !has_effect {
            return 409;
        }
        for item in items {
            self.numbers.insert(number(item), item.body.clone());
            let newest = self.newest.entry(item.key.clone()).or_default();
            *newest = item.version.max(*newest);
        }
        200
    }

    fn live(&self) -> Vec<(ItemKey, Version)> {
        let live =
            |(key, ver): &(&ItemKey, &Version)| self.numbers[&((*key).clone(), **ver)].is_some();
        self.newest
            .iter()
            .filter(live)
            .map(|(key, ver)| (key.clone(), *ver))
            .collect()
    }
}

impl SequentialSpec for Ledger {
    type Op = Operation;
    type Ret = Outcome;

    fn invoke(&mut self, operation: &Operation) -> Outcome {
        match operation {
            Operation::Order(items) => Outcome::Status(self.order(items)),
            Operation::Read => Outcome::Live(self.live()),
        }
    }
}

/// What a call was answered, if that leaves nothing open.
fn outcome(call: &Call, status: u16, body: &str) -> Option<Outcome> {
    match call {
        _ if status == 503 => None,
        Call::Get => {
            let read =
                emberpin_config::parse_patch(format!("{{\"upsert\":{body}}}").as_bytes()).ok()?;
            Some(Outcome::Live(
                read.items
                    .into_iter()
                    .map(|item| (item.key, item.version))
                    .collect(),
            ))
        }
        _ => Some(Outcome::Status(status)),
    }
}

/// Whether the calls and answers of a run could have come about one after the other: of its beginning, up to
/// the call that is one too many of those that are left open.
fn is_linearizable(world: &World) -> bool {
    let mut tester = LinearizabilityTester::new(Ledger::default());
    let mut open = 0;
    for (id, answered) in &world.order {
        let sent = &world.calls[*id];
        let is_open = sent
            .answer
            .as_ref()
            .is_none_or(|(status, _)| *status == 503);
        open += usize::from(is_open && !answered);
        if open > MOST_OPEN {
            break;
        }
        let taken = match (answered, &sent.answer) {
            (false, _) if sent.call == Call::Get => tester.on_invoke(*id, Operation::Read),
            (false, _) => tester.on_invoke(*id, Operation::Order(sent.items.clone())),
            (true, Some((status, body))) => match outcome(&sent.call, *status, body) {
                Some(outcome) => tester.on_return(*id, outcome),
                None => continue,
            },
            (true, None) => continue,
        };
        taken.expect("a call, then its answer");
    }
    tester.is_consistent()
}

/// Few calls, as the checker tries all orders.
const CHECKED_CALLS: u64 = 12;
/// And fewer that may have taken effect at any time or never.
const MOST_OPEN: usize = 3;

/// Two to four operators with few names and numbers, of which each is used again; what is not linearizable.
fn checked_run(seed: u64, guards: Guards) -> Option<String> {
    let mut world = calm(seed, guards);
    world.delay = (1, 2 + world.below(40));
    let operators = 2 + world.below(3);
    let mut orders: Vec<Call> = Vec::new();
    for number in 0..CHECKED_CALLS {
        for ip in [ip(1), ip(2), ip(3)] {
            world.start(ip, false);
        }
        let pause = if number % operators == 0 {
            world.below(400)
        } else {
            world.below(8)
        };
        world.run(pause);
        let call = match world.below(8) {
            0 => Call::Get,
            1 => drop_service("x", 1 + world.below(5)),
            2..5 if !orders.is_empty() => orders[world.below(orders.len() as u64) as usize].clone(),
            _ => {
                let (ver, other) = (1 + world.below(5), 1 + world.below(3));
                services(&[("x", ver, number), ("y", other, number)][..1 + world.below(2) as usize])
            }
        };
        orders.push(call.clone());
        let taker = ip(1 + world.below(3) as u8);
        world.call(taker, call);
        if world.below(6) == 0 {
            let pause = world.below(20);
            world.run(pause);
            world.kill(taker);
        }
    }
    world.run(4_000);
    (!is_linearizable(&world)).then(|| format!("seed {seed}: no order explains the answers"))
}

/// How long a run's trouble lasts, in milliseconds.
const TROUBLE: u64 = 5_000;

/// One run with every kind of trouble; what went wrong, if something did.
fn run(seed: u64, guards: Guards) -> Option<String> {
    let (count, tolerated) = [(3, 1), (5, 2), (5, 1)][(seed % 3) as usize];
    let guards = if seed.is_multiple_of(2) {
        guards
    } else {
        Guards {
            bounds: SMALL,
            ..guards
        }
    };
    let mut world = World::new(seed, count, tolerated, guards);
    world.delay = (1, 2 + world.below(40));
    (world.late, world.twice) = (world.below(6), world.below(4));
    let (mut hosts, mut numbers, mut orders) = (count, 0, Vec::new());
    let operators = 2 + world.below(7);
    let trouble = 1 + world.below(6);
    world.run(300);
    let until = world.now + TROUBLE;
    while world.now < until && world.wrong.is_none() {
        let pause = if numbers % operators == 0 {
            world.below(300)
        } else {
            world.below(6)
        };
        world.run(pause);
        numbers += 1;
        let call = draw(&mut world, numbers, &mut orders);
        let up = world.up();
        if !up.is_empty() {
            let taker = up[world.below(up.len() as u64) as usize];
            world.call(taker, call);
            if world.below(12) == 0 {
                let pause = world.below(20);
                world.run(pause);
                world.kill(taker);
            }
        }
        if world.below(20) < trouble {
            world.trouble_once(&mut hosts, tolerated, false);
        }
    }
    world.settle_and_check();
    // Whatever was heard or not: each order once more.
    for order in orders {
        if world.wrong.is_none() {
            let up = world.up();
            let taker = up[world.below(up.len() as u64) as usize];
            world.answer(taker, order);
        }
    }
    world.wrong.map(|wrong| format!("seed {seed}: {wrong}"))
}

/// An order, new or again; each new one has a content of its own.
fn draw(world: &mut World, number: u64, orders: &mut Vec<Call>) -> Call {
    let name = ["a", "b", "c", "d", "e", "f", "g", "h"][world.below(8) as usize];
    let ver = 1 + number / 6 + world.below(6);
    let call = match world.below(10) {
        0..4 if !orders.is_empty() => {
            return orders[world.below(orders.len() as u64) as usize].clone()
        }
        4..6 => drop_service(name, ver),
        6..8 => services(&[(name, ver, number)]),
        _ => services(&[(name, ver, number), ("z", ver + 3, number)]),
    };
    orders.push(call.clone());
    call
}

fn runs(most: u64) -> u64 {
    std::env::var("EMBERPIN_RUNS")
        .ok()
        .and_then(|runs| runs.parse().ok())
        .unwrap_or(most)
}

/// The first run that finds something, in the order of seeds.
fn search(what: &str, most: u64, run: impl Fn(u64) -> Option<String> + Sync) -> Option<String> {
    let next = std::sync::atomic::AtomicU64::new(0);
    let found = std::sync::Mutex::new(BTreeMap::new());
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                if seed >= most || !found.lock().expect("a lock").is_empty() {
                    return;
                }
                if let Some(wrong) = run(seed) {
                    found.lock().expect("a lock").insert(seed, wrong);
                }
            });
        }
    });
    let found = found.into_inner().expect("a lock").pop_first();
    match &found {
        Some((seed, _)) => println!("{what}: found with seed {seed}"),
        None => println!("{what}: nothing found in {most} runs"),
    }
    found.map(|(_, wrong)| wrong)
}

#[gtest]
fn no_taken_order_is_refused_whatever_happens() {
    expect_that!(
        search("sound", runs(150), |seed| run(seed, sound())),
        none()
    );
}

#[gtest]
fn answers_are_linearizable() {
    expect_that!(
        search("sound, checked", runs(150), |seed| checked_run(
            seed,
            sound()
        )),
        none()
    );
}

/// How many runs a wrong build may take to be found.
const WRONG_RUNS: u64 = 400;

#[gtest]
fn no_history_is_caught() {
    let wrong = Guards {
        propose_history: false,
        ..sound()
    };
    expect_that!(
        search("no history", WRONG_RUNS, |seed| run(seed, wrong)),
        some(anything())
    );
    expect_that!(
        search("no history, checked", WRONG_RUNS, |seed| checked_run(
            seed, wrong
        )),
        some(anything())
    );
}

#[gtest]
fn superseded_numbers_that_are_not_recorded_are_caught() {
    let wrong = Guards {
        propose_superseded: false,
        ..sound()
    };
    expect_that!(
        search("superseded", WRONG_RUNS, |seed| run(seed, wrong)),
        some(anything())
    );
    expect_that!(
        search("superseded, checked", WRONG_RUNS, |seed| checked_run(
            seed, wrong
        )),
        some(anything())
    );
}

#[gtest]
fn a_history_that_a_restart_loses_is_caught() {
    let wrong = Guards {
        restore_history: false,
        ..sound()
    };
    expect_that!(
        search("history lost", WRONG_RUNS, |seed| run(seed, wrong)),
        some(anything())
    );
}

#[gtest]
fn a_floor_that_a_restart_loses_is_caught() {
    let wrong = Guards {
        restore_checkpoint: false,
        ..sound()
    };
    expect_that!(
        search("floor lost", WRONG_RUNS, |seed| run(seed, wrong)),
        some(anything())
    );
}
