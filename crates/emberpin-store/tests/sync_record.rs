//! The sync record: opening a disk reports data loss if the record or the keyspace is missing, and one valid slot of the
//! record is enough.

mod common;

use common::disk_fixtures::{read, state_after, try_read, write, write_synced};
use emberpin_store::disk::{DataLoss, DiskError, WriteNumber};
use googletest::prelude::*;
use std::fs;

#[gtest]
fn a_missing_keyspace_or_sync_record_is_data_loss() {
    let folder = tempfile::tempdir().expect("a folder");
    write_synced(folder.path(), &[write(1, 10)]);
    let (record, moved_record) = (folder.path().join("synced"), folder.path().join("aside"));
    fs::rename(&record, &moved_record).expect("a file");
    for _ in 0..2 {
        expect_that!(
            try_read(folder.path()).err(),
            some(matches_pattern!(DiskError::DataLoss {
                loss: eq(&DataLoss::SyncRecord {
                    found: WriteNumber(1)
                }),
                ..
            }))
        );
    }
    fs::rename(&moved_record, &record).expect("a file");
    expect_that!(read(folder.path()), some(eq(&state_after(1, 10))));
    fs::remove_dir_all(folder.path().join("store")).expect("a folder");
    expect_that!(
        try_read(folder.path()).err(),
        some(matches_pattern!(DiskError::DataLoss {
            loss: eq(&DataLoss::Writes {
                synced: WriteNumber(1),
                found: WriteNumber(0)
            }),
            ..
        }))
    );
}

#[gtest]
fn a_damaged_slot_of_the_sync_record_is_tolerated_if_the_other_is_valid() {
    let folder = tempfile::tempdir().expect("a folder");
    write_synced(folder.path(), &[write(1, 10), write(2, 10), write(3, 10)]);
    let record = folder.path().join("synced");
    let intact = fs::read(&record).expect("a record");
    for slot in [0, 4096] {
        let mut torn = intact.clone();
        torn[slot + 5..slot + 20].fill(0xff);
        fs::write(&record, &torn).expect("a record");
        expect_that!(read(folder.path()), some(eq(&state_after(3, 10))));
    }
    fs::write(&record, [0xff; 5_000]).expect("a record");
    expect_that!(
        try_read(folder.path()).err(),
        some(matches_pattern!(DiskError::DataLoss {
            loss: eq(&DataLoss::SyncRecord {
                found: WriteNumber(3)
            }),
            ..
        }))
    );
}
