//! Tests that a group of limiters settles after random faults.
#![allow(missing_docs, reason = "a test has no public interface")]

mod simulated_group;

use proptest::prelude::*;
use simulated_group::{CutDirection, Fault, SimulatedGroup, STEP};
use std::ops::Range;

const SIZE: u32 = 24;

fn members() -> impl Strategy<Value = Vec<u32>> {
    proptest::collection::vec(0..SIZE, 1..20)
}

fn period() -> impl Strategy<Value = Range<u64>> {
    (0..20_000u64, 100..9_000u64).prop_map(|(start, length)| start / STEP * STEP..start + length)
}

fn direction() -> impl Strategy<Value = CutDirection> {
    prop_oneof![
        Just(CutDirection::Outbound),
        Just(CutDirection::Inbound),
        Just(CutDirection::Both),
    ]
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (members(), period()).prop_map(|(group, during)| Fault::Kill(group, during)),
        (members(), period()).prop_map(|(group, during)| Fault::Stall(group, during)),
        (members(), direction(), period())
            .prop_map(|(group, direction, during)| Fault::Partition(group, direction, during)),
        period().prop_map(Fault::ServiceOutage),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    /// Some seconds after the last fault, every limiter has the newest list, the configured number of limiters watch,
    /// and no limiter calls the discovery service any more.
    #[test]
    fn a_group_settles_and_stops_calling_after_any_faults(
        seed in any::<u64>(),
        faults in proptest::collection::vec(fault(), 0..6),
        mut changes in proptest::collection::vec(0..25_000u64, 0..5),
    ) {
        let mut group = SimulatedGroup::new(SIZE, seed, faults);
        changes.sort_unstable();
        for at in changes {
            group.run_until(at);
            group.revision += 1;
        }
        group.run_until(45_000);
        let settled = group.check_settled();
        prop_assert!(settled.is_ok(), "{:?}", settled);
        group.run_until(60_000);
        prop_assert_eq!(group.calls_since(45_000), 0);
    }
}
