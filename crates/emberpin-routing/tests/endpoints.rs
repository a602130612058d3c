//! Which servers may get work, whatever comes in whatever order.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::instance;
use emberpin_membership::instance::{Instance, Status};
use emberpin_routing::{Availability, EndpointChange, EndpointTable, WarmupProfile};
use googletest::prelude::*;
use proptest::prelude::*;
use std::collections::{BTreeSet, HashMap};
use Status::{Drain, Gone, Up};

const BEAT: f64 = 1_300.0;
const WARMUP: f64 = 3_000.0;

fn endpoints() -> EndpointTable {
    let mut endpoints = EndpointTable::new(BEAT);
    endpoints.set_warmup_profiles(HashMap::from([(
        "s".into(),
        WarmupProfile {
            warmup_ms: WARMUP,
            requests_per_second: 10.0,
        },
    )]));
    endpoints
}

fn zones(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).into()).collect()
}

fn told(endpoints: &mut EndpointTable) -> Vec<(String, Availability)> {
    endpoints
        .take_changes()
        .into_iter()
        .map(
            |EndpointChange {
                 id, availability, ..
             }| (id, availability),
        )
        .collect()
}

/// Holds `told < known`.
#[gtest]
fn an_up_after_a_drain_has_no_effect() {
    let mut endpoints = endpoints();
    endpoints.update(0.0, &[instance("i", Up, 4)]);
    expect_that!(endpoints.availability("i"), eq(Availability::Available));
    expect_true!(endpoints.has_available("s"));
    endpoints.update(0.0, &[instance("i", Drain, 5)]);
    expect_that!(endpoints.availability("i"), eq(Availability::Draining));
    endpoints.update(0.0, &[instance("i", Up, 9)]);
    expect_that!(endpoints.availability("i"), eq(Availability::Draining));
    expect_false!(endpoints.has_available("s"));
}

/// Holds the order of `(standing, seq)`: a drain that overtook a beat has the lower number.
#[gtest]
fn a_drain_with_a_lower_number_still_stands() {
    let mut endpoints = endpoints();
    endpoints.update(0.0, &[instance("i", Up, 9), instance("i", Drain, 5)]);
    expect_that!(endpoints.availability("i"), eq(Availability::Draining));
}

/// Holds `self.left` in `merge`, in the arm of `Gone` and in `enter`.
#[gtest]
fn who_has_left_is_not_raised() {
    let mut endpoints = endpoints();
    endpoints.update(
        0.0,
        &[
            instance("i", Up, 4),
            instance("i", Gone, 5),
            instance("i", Up, 9),
        ],
    );
    expect_that!(endpoints.availability("i"), eq(Availability::Removed));
    // Its leave came before any beat.
    endpoints.update(0.0, &[instance("j", Gone, 5), instance("j", Up, 4)]);
    expect_that!(endpoints.availability("j"), eq(Availability::Removed));
    expect_that!(endpoints.take_changes(), is_empty());
}

/// Holds `if !complete`, the removal behind it, and `told <= *left`.
#[gtest]
fn only_a_complete_snapshot_takes_away_what_it_does_not_name() {
    let mut endpoints = endpoints();
    endpoints.update(0.0, &[instance("i", Up, 4), instance("j", Up, 4)]);
    endpoints.apply_snapshot(0.0, &[instance("j", Up, 5)], false);
    expect_that!(endpoints.availability("i"), eq(Availability::Available));
    endpoints.apply_snapshot(0.0, &[instance("j", Up, 5)], true);
    expect_that!(endpoints.availability("i"), eq(Availability::Removed));
    expect_that!(endpoints.availability("j"), eq(Availability::Available));
    endpoints.update(0.0, &[instance("i", Up, 4)]);
    expect_that!(endpoints.availability("i"), eq(Availability::Removed));
    // A beat behind the one that was known shows that it lives.
    endpoints.update(0.0, &[instance("i", Up, 5)]);
    expect_that!(endpoints.availability("i"), eq(Availability::Available));
}

/// Holds `REMEMBERED`.
#[gtest]
fn few_that_have_left_are_remembered() {
    let mut endpoints = endpoints();
    (0..5_000).for_each(|k| endpoints.update(0.0, &[instance(&format!("i-{k}"), Gone, 1)]));
    expect_that!(endpoints.tombstones(), eq(4_096));
    endpoints.update(0.0, &[instance("i-4999", Up, 9)]);
    expect_that!(endpoints.availability("i-4999"), eq(Availability::Removed));
}

/// Holds `entry.wrong()` in `work`, and its `<=`.
#[gtest]
fn a_life_that_is_not_at_its_address_gets_nothing_until_a_later_beat() {
    let mut endpoints = endpoints();
    endpoints.update(0.0, &[instance("i", Up, 4)]);
    endpoints.mark_misdirected("i");
    expect_that!(endpoints.availability("i"), eq(Availability::Removed));
    endpoints.update(0.0, &[instance("i", Up, 4)]);
    expect_that!(endpoints.availability("i"), eq(Availability::Removed));
    // Holds the filter of `instances`: a registry is not told what was found wrong.
    expect_that!(endpoints.known_instances(0.0), is_empty());
    endpoints.update(0.0, &[instance("i", Up, 5)]);
    expect_that!(endpoints.availability("i"), eq(Availability::Available));
    expect_that!(endpoints.known_instances(0.0), len(eq(1)));
}

/// Holds the check of the zone in `work`.
#[gtest]
fn a_zone_that_is_evacuated_gets_nothing() {
    let mut endpoints = endpoints();
    endpoints.update(
        0.0,
        &[
            instance("i", Up, 4),
            Instance {
                zone: "lulea".into(),
                ..instance("j", Up, 4)
            },
        ],
    );
    endpoints.set_evacuated_zones(0.0, zones(&["umea"]));
    expect_that!(endpoints.availability("i"), eq(Availability::Draining));
    expect_that!(endpoints.availability("j"), eq(Availability::Available));
    // One that comes into the zone during its evacuation.
    endpoints.update(0.0, &[instance("k", Up, 1)]);
    expect_that!(endpoints.availability("k"), eq(Availability::Draining));
    endpoints.set_evacuated_zones(0.0, zones(&[]));
    expect_that!(endpoints.availability("i"), eq(Availability::Available));
}

/// Holds `entry.returned = Some(..)`: the zone's servers may have become cold shortly before.
#[gtest]
fn after_an_evacuation_all_servers_of_the_zone_are_cold_for_their_warmup() {
    let mut endpoints = endpoints();
    endpoints.update(
        0.0,
        &[
            instance("i", Up, 4),
            Instance {
                zone: "lulea".into(),
                ..instance("j", Up, 4)
            },
        ],
    );
    endpoints.set_evacuated_zones(0.0, zones(&["umea"]));
    endpoints.set_evacuated_zones(10_000.0, zones(&[]));
    expect_true!(endpoints.is_warming_up(10_000.0, "i"));
    expect_true!(endpoints.is_warming_up(10_000.0 + WARMUP - 1.0, "i"));
    expect_false!(endpoints.is_warming_up(10_000.0 + WARMUP, "i"));
    expect_false!(endpoints.is_warming_up(10_000.0, "j"));
}

/// Holds `WARMUP_MS`, for a server of a service that is not known.
#[gtest]
fn a_server_of_an_unknown_service_stays_cold_for_long() {
    let mut endpoints = EndpointTable::new(BEAT);
    endpoints.update(0.0, &[instance("i", Up, 4)]);
    endpoints.set_evacuated_zones(0.0, zones(&["umea"]));
    endpoints.set_evacuated_zones(1.0, zones(&[]));
    expect_true!(endpoints.is_warming_up(10_000.0, "i"));
}

/// Holds `instance.seq > returned.seq` and `now >= returned.heard_from`: a beat may be from before the end of the
/// evacuation.
#[gtest]
fn only_a_beat_from_behind_the_end_says_that_a_server_is_warm() {
    let mut endpoints = endpoints();
    endpoints.update(0.0, &[instance("i", Up, 4)]);
    endpoints.set_evacuated_zones(0.0, zones(&["umea"]));
    endpoints.set_evacuated_zones(10_000.0, zones(&[]));
    endpoints.update(10_000.0 + BEAT - 1.0, &[instance("i", Up, 5)]);
    expect_true!(endpoints.is_warming_up(11_400.0, "i"), "told too early");
    let mut twin = self::endpoints();
    twin.update(0.0, &[instance("i", Up, 4)]);
    twin.set_evacuated_zones(0.0, zones(&["umea"]));
    twin.set_evacuated_zones(10_000.0, zones(&[]));
    twin.update(11_400.0, &[instance("i", Up, 4)]);
    expect_true!(twin.is_warming_up(11_400.0, "i"), "the same beat again");
    twin.update(11_400.0, &[instance("i", Up, 5)]);
    expect_false!(
        twin.is_warming_up(11_400.0, "i"),
        "a later beat, told late enough"
    );
    twin.update(
        12_000.0,
        &[Instance {
            cold_ms: 500,
            ..instance("i", Up, 6)
        }],
    );
    expect_true!(twin.is_warming_up(12_400.0, "i"), "its own word counts");
}

/// Holds `until.max(entry.cold_until)` for the same beat, and that a later one may say less.
#[gtest]
fn a_cold_time_counts_from_when_it_is_told() {
    let mut endpoints = endpoints();
    endpoints.update(
        1_000.0,
        &[Instance {
            cold_ms: 500,
            ..instance("i", Up, 4)
        }],
    );
    expect_true!(endpoints.is_warming_up(1_499.0, "i"));
    expect_false!(endpoints.is_warming_up(1_500.0, "i"));
    endpoints.update(
        1_100.0,
        &[Instance {
            cold_ms: 0,
            ..instance("i", Up, 4)
        }],
    );
    expect_true!(endpoints.is_warming_up(1_499.0, "i"));
    expect_that!(
        endpoints.known_instances(1_100.0),
        elements_are![field!(Instance.cold_ms, eq(&400))]
    );
    endpoints.update(
        1_200.0,
        &[Instance {
            cold_ms: 0,
            ..instance("i", Up, 5)
        }],
    );
    expect_false!(endpoints.is_warming_up(1_200.0, "i"));
    // SlowStart again at any moment, by its own answer.
    endpoints.extend_warmup(2_000.0, "i", 300.0);
    expect_true!(endpoints.is_warming_up(2_299.0, "i"));
    endpoints.extend_warmup(2_000.0, "i", 0.0);
    expect_true!(endpoints.is_warming_up(2_299.0, "i"));
}

/// Holds the comparison with `known` in `changes`, and `unheard`.
#[gtest]
fn a_host_is_told_each_difference_once() {
    let mut endpoints = endpoints();
    let beat = |seq, slots| Instance {
        slots,
        ..instance("i", Up, seq)
    };
    endpoints.update(0.0, &[beat(1, 2), instance("j", Drain, 1)]);
    let all = [
        ("i".into(), Availability::Available),
        ("j".into(), Availability::Draining),
    ];
    expect_that!(told(&mut endpoints), container_eq(all));
    endpoints.update(0.0, &[beat(2, 2)]);
    expect_that!(told(&mut endpoints), is_empty());
    endpoints.update(0.0, &[beat(3, 4)]);
    expect_that!(
        endpoints.take_changes(),
        elements_are![field!(EndpointChange.slots, eq(&4))]
    );
    endpoints.mark_misdirected("i");
    expect_that!(
        told(&mut endpoints),
        container_eq([("i".into(), Availability::Removed)])
    );
    endpoints.update(0.0, &[beat(4, 4)]);
    expect_that!(
        told(&mut endpoints),
        container_eq([("i".into(), Availability::Available)])
    );
    endpoints.update(
        0.0,
        &[
            instance("i", Gone, 5),
            instance("j", Gone, 5),
            instance("k", Up, 1),
            instance("k", Gone, 2),
        ],
    );
    expect_that!(
        told(&mut endpoints),
        container_eq([
            ("i".into(), Availability::Removed),
            ("j".into(), Availability::Removed)
        ])
    );
    expect_that!(told(&mut endpoints), is_empty());
}

/// Holds `self.generation += 1` in `touch`, in `merge` and in `cold_for`.
#[gtest]
fn the_generation_rises_with_all_that_could_forbid_a_send() {
    let mut endpoints = endpoints();
    endpoints.update(
        0.0,
        &[
            instance("i", Up, 4),
            instance("j", Up, 4),
            instance("k", Up, 4),
        ],
    );
    let mut last = endpoints.generation();
    let mut rises = |endpoints: &EndpointTable, what: &str| {
        expect_that!(endpoints.generation(), gt(last), "{what}");
        last = endpoints.generation();
    };
    endpoints.update(
        0.0,
        &[Instance {
            cold_ms: 100,
            ..instance("i", Up, 4)
        }],
    );
    rises(&endpoints, "cold");
    endpoints.extend_warmup(0.0, "i", 200.0);
    rises(&endpoints, "cold by its answer");
    endpoints.set_evacuated_zones(0.0, zones(&["umea"]));
    rises(&endpoints, "evacuated");
    endpoints.set_evacuated_zones(0.0, zones(&[]));
    rises(&endpoints, "cold after an evacuation");
    endpoints.update(0.0, &[instance("i", Drain, 5)]);
    rises(&endpoints, "drain");
    endpoints.mark_misdirected("j");
    rises(&endpoints, "wrong");
    endpoints.apply_snapshot(0.0, &[], true);
    rises(&endpoints, "not named");
}

/// Holds that a drop by a snapshot remembers the number of a 421.
#[gtest]
fn the_order_of_a_snapshot_and_a_421_does_not_matter() {
    let mut endpoints = endpoints();
    endpoints.update(0.0, &[instance("i", Up, 4)]);
    endpoints.mark_misdirected("i");
    endpoints.apply_snapshot(0.0, &[], true);
    endpoints.update(0.0, &[instance("i", Up, 4)]);
    expect_that!(endpoints.availability("i"), eq(Availability::Removed));
}

fn message() -> impl Strategy<Value = Instance> {
    let status = prop_oneof![4 => Just(Up), 2 => Just(Drain), 1 => Just(Gone)];
    (0..4, status, 1u64..6).prop_map(|(id, status, seq)| instance(&format!("i-{id}"), status, seq))
}

proptest! {
    /// Holds the order in `merge`: the same messages in any order, also repeated, lead to the same servers.
    #[test]
    fn messages_in_any_order_lead_to_the_same_servers(
        (one, other) in proptest::collection::vec(message(), 0..24)
            .prop_flat_map(|told| (Just(told.clone()), Just([told.clone(), told].concat()).prop_shuffle())),
    ) {
        let (mut left, mut right) = (endpoints(), endpoints());
        left.update(0.0, &one);
        other.chunks(3).for_each(|some| right.update(0.0, some));
        for id in ["i-0", "i-1", "i-2", "i-3"] {
            prop_assert_eq!(left.availability(id), right.availability(id));
            let top = one.iter().filter(|instance| instance.id == id).map(|instance| (instance.status, instance.seq)).max();
            let work = match top {
                None | Some((Gone, _)) => Availability::Removed,
                Some((Drain, _)) => Availability::Draining,
                Some((Up, _)) => Availability::Available,
            };
            prop_assert_eq!(left.availability(id), work);
        }
    }

    /// Holds the comparison in `changes`: who follows them knows what the endpoints knows.
    #[test]
    fn who_follows_the_changes_knows_all(steps in proptest::collection::vec((0..5, message()), 0..40)) {
        let mut endpoints = endpoints();
        let mut follower: HashMap<String, Availability> = HashMap::new();
        for (what, instance) in &steps {
            match what {
                0 => endpoints.mark_misdirected(&instance.id),
                1 => endpoints.set_evacuated_zones(0.0, zones(if instance.seq > 3 { &["umea"] } else { &[] })),
                2 => endpoints.apply_snapshot(0.0, std::slice::from_ref(instance), instance.seq > 3),
                _ => endpoints.update(0.0, std::slice::from_ref(instance)),
            }
            for change in endpoints.take_changes() {
                let before = follower.insert(change.id.clone(), change.availability);
                prop_assert_ne!(before, Some(change.availability), "{} is told twice", change.id);
            }
            for id in ["i-0", "i-1", "i-2", "i-3"] {
                prop_assert_eq!(follower.get(id).copied().unwrap_or(Availability::Removed), endpoints.availability(id));
            }
        }
    }
}

/// Holds `told < known` for the cold time: an older beat says nothing of now.
#[gtest]
fn an_older_beat_does_not_make_a_server_cold() {
    let mut endpoints = endpoints();
    endpoints.update(
        0.0,
        &[
            instance("i", Up, 5),
            Instance {
                cold_ms: 9_000,
                ..instance("i", Up, 4)
            },
        ],
    );
    expect_false!(endpoints.is_warming_up(1_000.0, "i"));
}

/// Holds `max(instance.seq)`: a drain with a lower number does not lower what is told on.
#[gtest]
fn the_highest_number_stays_known() {
    let mut endpoints = endpoints();
    endpoints.update(0.0, &[instance("i", Up, 9), instance("i", Drain, 5)]);
    expect_that!(
        endpoints.known_instances(0.0),
        elements_are![field!(Instance.seq, eq(&9))]
    );
}

/// Holds the comparison of services in `usable`.
#[gtest]
fn a_server_makes_only_its_own_service_usable() {
    let mut endpoints = endpoints();
    endpoints.update(0.0, &[instance("i", Up, 1)]);
    expect_true!(endpoints.has_available("s"));
    expect_false!(endpoints.has_available("t"));
}
