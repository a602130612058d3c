//! The table of instances: limits of tombstones, and merging in any order.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::instance;
use emberpin_membership::clock::Timestamp;
use emberpin_membership::instance::{Instance, Status};
use emberpin_membership::instance_table::InstanceTable;
use emberpin_membership::peers::InstanceRecord;
use googletest::prelude::*;

#[gtest]
fn tombstones_are_bounded_in_time_and_number() -> googletest::Result<()> {
    let mut instances = InstanceTable::default();
    for number in 0..10_100 {
        instances.record_exit(Timestamp::from_millis(number), &format!("s-{number}"));
    }
    instances.prune_tombstones(Timestamp::from_millis(10_100));
    verify_that!(instances.iter().count(), eq(10_000))?;
    verify_that!(instances.get("s-99").is_none(), eq(true))?;
    instances.prune_tombstones(Timestamp::from_millis(600_000 + 5_000));
    verify_that!(instances.get("s-5001").is_some(), eq(true))?;
    verify_that!(instances.get("s-4999").is_none(), eq(true))?;
    // An instance that was revived is not deleted by the tombstone of its earlier removal.
    let mut instances = InstanceTable::default();
    let record = |seq| InstanceRecord {
        instance: instance("a", seq),
        expired: false,
        owner: None,
    };
    instances.merge(Timestamp::ZERO, record(1));
    instances.evict(Timestamp::from_millis(10), "a");
    instances.merge(Timestamp::from_millis(20), record(2));
    instances.prune_tombstones(Timestamp::from_millis(700_000));
    verify_that!(instances.get("a").is_some(), eq(true))
}

#[gtest]
fn tables_that_merged_the_same_records_agree_in_any_order() -> googletest::Result<()> {
    for seed in 0..2_000 {
        let mut random = oorandom::Rand32::new(seed);
        let mut records: Vec<InstanceRecord> = (0..6)
            .map(|_| {
                let seq = u64::from(random.rand_range(1..4));
                let status = [Status::Up, Status::Up, Status::Draining, Status::Removed];
                let status = status[random.rand_range(0..4) as usize];
                // Whether the registry that sent the record had evicted the instance after the heartbeat with this
                // `seq`. A server reports one status under one `seq`; the records drawn here need not.
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
        let mut outcomes = Vec::new();
        for _ in 0..6 {
            for last in (1..records.len()).rev() {
                records.swap(last, random.rand_range(0..last as u32 + 1) as usize);
            }
            let mut instances = InstanceTable::default();
            records
                .iter()
                .for_each(|record| _ = instances.merge(Timestamp::ZERO, record.clone()));
            let entry = instances.get("a").expect("known");
            outcomes.push((
                entry.status(),
                entry.reported_status(),
                entry.instance(Timestamp::ZERO).seq,
            ));
        }
        verify_that!(
            (seed, outcomes.iter().all(|outcome| *outcome == outcomes[0])),
            eq((seed, true))
        )?;
    }
    Ok(())
}
