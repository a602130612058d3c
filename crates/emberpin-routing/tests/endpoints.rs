//! The endpoint table: which servers may get requests, in whatever order reports about them arrive.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{instance, ms};
use emberpin_membership::instance::{Instance, Status};
use emberpin_routing::{Availability, EndpointChange, EndpointTable, SnapshotScope, WarmupProfile};
use googletest::prelude::*;
use proptest::prelude::*;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;
use Status::{Draining, Removed, Up};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_300);
const WARMUP: Duration = Duration::from_millis(3_000);

fn endpoint_table() -> EndpointTable {
    let mut endpoints = EndpointTable::new(HEARTBEAT_INTERVAL);
    endpoints.set_warmup_profiles(HashMap::from([(
        "s".into(),
        WarmupProfile {
            duration: WARMUP,
            requests_per_second: 10.0,
        },
    )]));
    endpoints
}

fn zones(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).into()).collect()
}

/// The ids and availabilities of the changes since the last call.
fn taken_changes(endpoints: &mut EndpointTable) -> Vec<(String, Availability)> {
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

/// Covers `reported < known`.
#[gtest]
fn an_up_after_a_drain_has_no_effect() {
    let mut endpoints = endpoint_table();
    endpoints.update(Duration::ZERO, &[instance("i", Up, 4)]);
    expect_that!(endpoints.availability("i"), eq(Availability::Available));
    expect_true!(endpoints.has_available("s"));
    endpoints.update(Duration::ZERO, &[instance("i", Draining, 5)]);
    expect_that!(endpoints.availability("i"), eq(Availability::Draining));
    endpoints.update(Duration::ZERO, &[instance("i", Up, 9)]);
    expect_that!(endpoints.availability("i"), eq(Availability::Draining));
    expect_false!(endpoints.has_available("s"));
}

/// Covers the order of `ReportOrder`: a drain report can have a lower sequence number than a heartbeat that arrived
/// before it.
#[gtest]
fn a_drain_with_a_lower_sequence_number_still_wins() {
    let mut endpoints = endpoint_table();
    endpoints.update(
        Duration::ZERO,
        &[instance("i", Up, 9), instance("i", Draining, 5)],
    );
    expect_that!(endpoints.availability("i"), eq(Availability::Draining));
}

/// Covers the tombstones in `merge` and in `insert`.
#[gtest]
fn an_older_report_does_not_bring_a_removed_instance_back() {
    let mut endpoints = endpoint_table();
    endpoints.update(
        Duration::ZERO,
        &[
            instance("i", Up, 4),
            instance("i", Removed, 5),
            instance("i", Up, 9),
        ],
    );
    expect_that!(endpoints.availability("i"), eq(Availability::Removed));
    // The removal is also remembered if it is the first report about an instance.
    endpoints.update(
        Duration::ZERO,
        &[instance("j", Removed, 5), instance("j", Up, 4)],
    );
    expect_that!(endpoints.availability("j"), eq(Availability::Removed));
    expect_that!(endpoints.take_changes(), is_empty());
}

/// Covers `remove_all_except` and `reported <= last`.
#[gtest]
fn only_a_complete_snapshot_removes_the_instances_that_it_does_not_contain() {
    let mut endpoints = endpoint_table();
    endpoints.update(
        Duration::ZERO,
        &[instance("i", Up, 4), instance("j", Up, 4)],
    );
    endpoints.apply_snapshot(
        Duration::ZERO,
        &[instance("j", Up, 5)],
        SnapshotScope::Partial,
    );
    expect_that!(endpoints.availability("i"), eq(Availability::Available));
    endpoints.apply_snapshot(
        Duration::ZERO,
        &[instance("j", Up, 5)],
        SnapshotScope::Complete,
    );
    expect_that!(endpoints.availability("i"), eq(Availability::Removed));
    expect_that!(endpoints.availability("j"), eq(Availability::Available));
    endpoints.update(Duration::ZERO, &[instance("i", Up, 4)]);
    expect_that!(endpoints.availability("i"), eq(Availability::Removed));
    // A later heartbeat than the last known one shows that the instance is up.
    endpoints.update(Duration::ZERO, &[instance("i", Up, 5)]);
    expect_that!(endpoints.availability("i"), eq(Availability::Available));
}

/// Covers `MAX_TOMBSTONES`.
#[gtest]
fn the_number_of_tombstones_is_bounded() {
    let mut endpoints = endpoint_table();
    (0..5_000)
        .for_each(|k| endpoints.update(Duration::ZERO, &[instance(&format!("i-{k}"), Removed, 1)]));
    expect_that!(endpoints.tombstones(), eq(4_096));
    endpoints.update(Duration::ZERO, &[instance("i-4999", Up, 9)]);
    expect_that!(endpoints.availability("i-4999"), eq(Availability::Removed));
}

/// Covers `is_misdirected` in `availability`, and its `<=`.
#[gtest]
fn a_misdirected_instance_gets_no_requests_until_a_later_heartbeat() {
    let mut endpoints = endpoint_table();
    endpoints.update(Duration::ZERO, &[instance("i", Up, 4)]);
    endpoints.mark_misdirected("i");
    expect_that!(endpoints.availability("i"), eq(Availability::Removed));
    endpoints.update(Duration::ZERO, &[instance("i", Up, 4)]);
    expect_that!(endpoints.availability("i"), eq(Availability::Removed));
    // Covers the filter of `known_instances`: a misdirected instance is not reported to registries.
    expect_that!(endpoints.known_instances(Duration::ZERO), is_empty());
    endpoints.update(Duration::ZERO, &[instance("i", Up, 5)]);
    expect_that!(endpoints.availability("i"), eq(Availability::Available));
    expect_that!(endpoints.known_instances(Duration::ZERO), len(eq(1)));
}

/// Covers the check of the zone in `availability`.
#[gtest]
fn an_evacuated_zone_gets_no_requests() {
    let mut endpoints = endpoint_table();
    endpoints.update(
        Duration::ZERO,
        &[
            instance("i", Up, 4),
            Instance {
                zone: "lulea".into(),
                ..instance("j", Up, 4)
            },
        ],
    );
    endpoints.set_evacuated_zones(Duration::ZERO, zones(&["umea"]));
    expect_that!(endpoints.availability("i"), eq(Availability::Draining));
    expect_that!(endpoints.availability("j"), eq(Availability::Available));
    // The same holds for a server that starts in the zone during its evacuation.
    endpoints.update(Duration::ZERO, &[instance("k", Up, 1)]);
    expect_that!(endpoints.availability("k"), eq(Availability::Draining));
    endpoints.set_evacuated_zones(Duration::ZERO, zones(&[]));
    expect_that!(endpoints.availability("i"), eq(Availability::Available));
}

/// Covers `begin_warmup_after_evacuation`: the servers of the zone may have begun to warm up shortly before the
/// evacuation ended.
#[gtest]
fn after_an_evacuation_all_servers_of_the_zone_warm_up() {
    let mut endpoints = endpoint_table();
    endpoints.update(
        Duration::ZERO,
        &[
            instance("i", Up, 4),
            Instance {
                zone: "lulea".into(),
                ..instance("j", Up, 4)
            },
        ],
    );
    endpoints.set_evacuated_zones(Duration::ZERO, zones(&["umea"]));
    endpoints.set_evacuated_zones(ms(10_000), zones(&[]));
    expect_true!(endpoints.is_warming_up(ms(10_000), "i"));
    expect_true!(endpoints.is_warming_up(ms(10_000) + WARMUP - ms(1), "i"));
    expect_false!(endpoints.is_warming_up(ms(10_000) + WARMUP, "i"));
    expect_false!(endpoints.is_warming_up(ms(10_000), "j"));
}

/// Covers `DEFAULT_WARMUP`, for a server of a service without a profile.
#[gtest]
fn a_server_of_an_unknown_service_warms_up_for_the_default_time() {
    let mut endpoints = EndpointTable::new(HEARTBEAT_INTERVAL);
    endpoints.update(Duration::ZERO, &[instance("i", Up, 4)]);
    endpoints.set_evacuated_zones(Duration::ZERO, zones(&["umea"]));
    endpoints.set_evacuated_zones(ms(1), zones(&[]));
    expect_true!(endpoints.is_warming_up(ms(10_000), "i"));
}

/// Covers `is_superseded` in `merge_warmup`: the server may have sent a heartbeat before the end of the evacuation.
#[gtest]
fn only_a_heartbeat_sent_after_an_evacuation_ends_the_assumed_warmup() {
    let mut endpoints = endpoint_table();
    endpoints.update(Duration::ZERO, &[instance("i", Up, 4)]);
    endpoints.set_evacuated_zones(Duration::ZERO, zones(&["umea"]));
    endpoints.set_evacuated_zones(ms(10_000), zones(&[]));
    endpoints.update(
        ms(10_000) + HEARTBEAT_INTERVAL - ms(1),
        &[instance("i", Up, 5)],
    );
    expect_true!(
        endpoints.is_warming_up(ms(11_400), "i"),
        "reported too early"
    );
    let mut other = endpoint_table();
    other.update(Duration::ZERO, &[instance("i", Up, 4)]);
    other.set_evacuated_zones(Duration::ZERO, zones(&["umea"]));
    other.set_evacuated_zones(ms(10_000), zones(&[]));
    other.update(ms(11_400), &[instance("i", Up, 4)]);
    expect_true!(
        other.is_warming_up(ms(11_400), "i"),
        "the same heartbeat again"
    );
    other.update(ms(11_400), &[instance("i", Up, 5)]);
    expect_false!(
        other.is_warming_up(ms(11_400), "i"),
        "a later heartbeat, reported late enough"
    );
    other.update(
        ms(12_000),
        &[Instance {
            warmup_left: ms(500),
            ..instance("i", Up, 6)
        }],
    );
    expect_true!(
        other.is_warming_up(ms(12_400), "i"),
        "the warm-up that the server reports"
    );
}

/// Covers `until.max(self.reported_warmup_until)` for a repeated heartbeat, and that a later heartbeat can shorten the
/// warm-up.
#[gtest]
fn a_remaining_warmup_counts_from_the_arrival_of_its_report() {
    let mut endpoints = endpoint_table();
    endpoints.update(
        ms(1_000),
        &[Instance {
            warmup_left: ms(500),
            ..instance("i", Up, 4)
        }],
    );
    expect_true!(endpoints.is_warming_up(ms(1_499), "i"));
    expect_false!(endpoints.is_warming_up(ms(1_500), "i"));
    endpoints.update(
        ms(1_100),
        &[Instance {
            warmup_left: Duration::ZERO,
            ..instance("i", Up, 4)
        }],
    );
    expect_true!(endpoints.is_warming_up(ms(1_499), "i"));
    expect_that!(
        endpoints.known_instances(ms(1_100)),
        elements_are![field!(Instance.warmup_left, eq(&ms(400)))]
    );
    endpoints.update(
        ms(1_200),
        &[Instance {
            warmup_left: Duration::ZERO,
            ..instance("i", Up, 5)
        }],
    );
    expect_false!(endpoints.is_warming_up(ms(1_200), "i"));
    // A response of the server can extend its warm-up at any time, but not shorten it.
    endpoints.extend_warmup(ms(2_000), "i", ms(300));
    expect_true!(endpoints.is_warming_up(ms(2_299), "i"));
    endpoints.extend_warmup(ms(2_000), "i", Duration::ZERO);
    expect_true!(endpoints.is_warming_up(ms(2_299), "i"));
}

/// Covers the comparison in `ChangeTracker::report`, and that the removal of an unreported instance is not reported.
#[gtest]
fn each_change_is_reported_once() {
    let mut endpoints = endpoint_table();
    let heartbeat = |seq, slots| Instance {
        slots,
        ..instance("i", Up, seq)
    };
    endpoints.update(
        Duration::ZERO,
        &[heartbeat(1, 2), instance("j", Draining, 1)],
    );
    let all = [
        ("i".into(), Availability::Available),
        ("j".into(), Availability::Draining),
    ];
    expect_that!(taken_changes(&mut endpoints), container_eq(all));
    endpoints.update(Duration::ZERO, &[heartbeat(2, 2)]);
    expect_that!(taken_changes(&mut endpoints), is_empty());
    endpoints.update(Duration::ZERO, &[heartbeat(3, 4)]);
    expect_that!(
        endpoints.take_changes(),
        elements_are![field!(EndpointChange.slots, eq(&4))]
    );
    endpoints.mark_misdirected("i");
    expect_that!(
        taken_changes(&mut endpoints),
        container_eq([("i".into(), Availability::Removed)])
    );
    endpoints.update(Duration::ZERO, &[heartbeat(4, 4)]);
    expect_that!(
        taken_changes(&mut endpoints),
        container_eq([("i".into(), Availability::Available)])
    );
    endpoints.update(
        Duration::ZERO,
        &[
            instance("i", Removed, 5),
            instance("j", Removed, 5),
            instance("k", Up, 1),
            instance("k", Removed, 2),
        ],
    );
    expect_that!(
        taken_changes(&mut endpoints),
        container_eq([
            ("i".into(), Availability::Removed),
            ("j".into(), Availability::Removed)
        ])
    );
    expect_that!(taken_changes(&mut endpoints), is_empty());
}

/// Covers `self.generation += 1` in `mark_changed`, in `merge` and in `extend_warmup`.
#[gtest]
fn the_generation_increases_with_each_change_that_could_forbid_a_request() {
    let mut endpoints = endpoint_table();
    endpoints.update(
        Duration::ZERO,
        &[
            instance("i", Up, 4),
            instance("j", Up, 4),
            instance("k", Up, 4),
        ],
    );
    let mut last = endpoints.generation();
    let mut expect_increase = |endpoints: &EndpointTable, what: &str| {
        expect_that!(endpoints.generation(), gt(last), "{what}");
        last = endpoints.generation();
    };
    endpoints.update(
        Duration::ZERO,
        &[Instance {
            warmup_left: ms(100),
            ..instance("i", Up, 4)
        }],
    );
    expect_increase(&endpoints, "warming up");
    endpoints.extend_warmup(Duration::ZERO, "i", ms(200));
    expect_increase(&endpoints, "warm-up extended by a response");
    endpoints.set_evacuated_zones(Duration::ZERO, zones(&["umea"]));
    expect_increase(&endpoints, "evacuated");
    endpoints.set_evacuated_zones(Duration::ZERO, zones(&[]));
    expect_increase(&endpoints, "warming up after an evacuation");
    endpoints.update(Duration::ZERO, &[instance("i", Draining, 5)]);
    expect_increase(&endpoints, "drain");
    endpoints.mark_misdirected("j");
    expect_increase(&endpoints, "misdirected");
    endpoints.apply_snapshot(Duration::ZERO, &[], SnapshotScope::Complete);
    expect_increase(&endpoints, "not in a complete snapshot");
}

/// Covers that the removal by a snapshot leaves a tombstone.
#[gtest]
fn a_misdirected_instance_that_a_snapshot_removes_stays_removed() {
    let mut endpoints = endpoint_table();
    endpoints.update(Duration::ZERO, &[instance("i", Up, 4)]);
    endpoints.mark_misdirected("i");
    endpoints.apply_snapshot(Duration::ZERO, &[], SnapshotScope::Complete);
    endpoints.update(Duration::ZERO, &[instance("i", Up, 4)]);
    expect_that!(endpoints.availability("i"), eq(Availability::Removed));
}

fn report() -> impl Strategy<Value = Instance> {
    let status = prop_oneof![4 => Just(Up), 2 => Just(Draining), 1 => Just(Removed)];
    (0..4, status, 1u64..6).prop_map(|(id, status, seq)| instance(&format!("i-{id}"), status, seq))
}

proptest! {
    /// Covers the order in `merge`: the same reports result in the same availabilities, regardless of order and
    /// repetition.
    #[test]
    fn reports_in_any_order_result_in_the_same_availabilities(
        (one, other) in proptest::collection::vec(report(), 0..24)
            .prop_flat_map(|reports| (Just(reports.clone()), Just([reports.clone(), reports].concat()).prop_shuffle())),
    ) {
        let (mut left, mut right) = (endpoint_table(), endpoint_table());
        left.update(Duration::ZERO, &one);
        other.chunks(3).for_each(|some| right.update(Duration::ZERO, some));
        for id in ["i-0", "i-1", "i-2", "i-3"] {
            prop_assert_eq!(left.availability(id), right.availability(id));
            let top = one.iter().filter(|instance| instance.id == id).map(|instance| (instance.status, instance.seq)).max();
            let expected = match top {
                None | Some((Removed, _)) => Availability::Removed,
                Some((Draining, _)) => Availability::Draining,
                Some((Up, _)) => Availability::Available,
            };
            prop_assert_eq!(left.availability(id), expected);
        }
    }

    /// Covers the comparison in `ChangeTracker::report`: a caller that applies all changes has the same availabilities
    /// as the table.
    #[test]
    fn applying_all_changes_results_in_the_availability_of_all_instances(steps in proptest::collection::vec((0..5, report()), 0..40)) {
        let mut endpoints = endpoint_table();
        let mut follower: HashMap<String, Availability> = HashMap::new();
        for (what, instance) in &steps {
            match what {
                0 => endpoints.mark_misdirected(&instance.id),
                1 => endpoints.set_evacuated_zones(Duration::ZERO, zones(if instance.seq > 3 { &["umea"] } else { &[] })),
                2 => {
                    let scope = if instance.seq > 3 { SnapshotScope::Complete } else { SnapshotScope::Partial };
                    endpoints.apply_snapshot(Duration::ZERO, std::slice::from_ref(instance), scope);
                }
                _ => endpoints.update(Duration::ZERO, std::slice::from_ref(instance)),
            }
            for change in endpoints.take_changes() {
                let before = follower.insert(change.id.clone(), change.availability);
                prop_assert_ne!(before, Some(change.availability), "{} is reported twice", change.id);
            }
            for id in ["i-0", "i-1", "i-2", "i-3"] {
                prop_assert_eq!(follower.get(id).copied().unwrap_or(Availability::Removed), endpoints.availability(id));
            }
        }
    }
}

/// Covers `reported < known` for the warm-up: the remaining time in an older heartbeat is out of date.
#[gtest]
fn an_older_heartbeat_does_not_extend_the_warmup() {
    let mut endpoints = endpoint_table();
    endpoints.update(
        Duration::ZERO,
        &[
            instance("i", Up, 5),
            Instance {
                warmup_left: ms(9_000),
                ..instance("i", Up, 4)
            },
        ],
    );
    expect_false!(endpoints.is_warming_up(ms(1_000), "i"));
}

/// Covers `max(report.seq)`: a drain report with a lower sequence number does not lower the known one.
#[gtest]
fn the_highest_sequence_number_is_kept() {
    let mut endpoints = endpoint_table();
    endpoints.update(
        Duration::ZERO,
        &[instance("i", Up, 9), instance("i", Draining, 5)],
    );
    expect_that!(
        endpoints.known_instances(Duration::ZERO),
        elements_are![field!(Instance.seq, eq(&9))]
    );
}

/// Covers the comparison of services in `has_available`.
#[gtest]
fn a_server_makes_only_its_own_service_available() {
    let mut endpoints = endpoint_table();
    endpoints.update(Duration::ZERO, &[instance("i", Up, 1)]);
    expect_true!(endpoints.has_available("s"));
    expect_false!(endpoints.has_available("t"));
}
