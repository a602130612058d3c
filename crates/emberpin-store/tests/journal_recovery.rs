//! Opens disks whose journal has incomplete or damaged batches. Unsynced batches must be discarded, and damage to synced
//! ones must be reported as data loss.

mod common;

use common::disk_fixtures::{
    journal_bytes, journal_length, read, replace_journal, state_after, try_read, write,
    write_synced, write_unsynced,
};
use emberpin_store::disk::DiskError;
use googletest::prelude::*;

#[gtest]
fn an_unsynced_batch_that_is_truncated_anywhere_is_discarded() {
    for size in [10, 20_000] {
        let folder = tempfile::tempdir().expect("a folder");
        write_synced(folder.path(), &[write(1, size)]);
        let before = journal_length(folder.path());
        write_unsynced(folder.path(), &[write(2, size)]);
        let intact = journal_bytes(folder.path());
        let step = (intact.len() - before) / 37 + 1;
        for end in (before..intact.len()).step_by(step) {
            replace_journal(folder.path(), &intact[..end]);
            expect_that!(
                read(folder.path()),
                some(eq(&state_after(1, size))),
                "truncated at {end}"
            );
        }
    }
}

#[gtest]
fn an_unsynced_batch_with_a_gap_is_discarded_and_later_writes_follow() {
    let folder = tempfile::tempdir().expect("a folder");
    write_synced(folder.path(), &[write(1, 20_000)]);
    let before = journal_length(folder.path());
    write_unsynced(folder.path(), &[write(2, 20_000)]);
    let intact = journal_bytes(folder.path());
    for (from, length) in [
        (before, 4096),
        (before + 30, 100),
        (before + 8192, 8192),
        (intact.len() - 600, 500),
    ] {
        for zeros_after in [0, 5_000] {
            let mut torn = intact.clone();
            torn[from..from + length].fill(0);
            torn.resize(torn.len() + zeros_after, 0);
            replace_journal(folder.path(), &torn);
            expect_that!(
                read(folder.path()),
                some(eq(&state_after(1, 20_000))),
                "{length} zeros from {from}, {zeros_after} appended"
            );
        }
    }
    write_synced(folder.path(), &[write(3, 20_000)]);
    expect_that!(read(folder.path()), some(eq(&state_after(3, 20_000))));
}

#[gtest]
fn all_unsynced_batches_behind_a_gap_are_discarded() {
    let folder = tempfile::tempdir().expect("a folder");
    write_synced(folder.path(), &[write(1, 9_000)]);
    let before = journal_length(folder.path());
    write_unsynced(
        folder.path(),
        &[write(2, 9_000), write(3, 9_000), write(4, 9_000)],
    );
    let intact = journal_bytes(folder.path());
    for (from, length) in [(before, 15), (before + 100, 4_000), (before + 20_000, 300)] {
        let mut torn = intact.clone();
        torn[from..from + length].fill(0);
        replace_journal(folder.path(), &torn);
        expect_that!(
            read(folder.path()),
            some(eq(&state_after(1, 9_000))),
            "from {from}"
        );
    }
}

#[gtest]
fn a_changed_byte_in_a_synced_batch_is_data_loss() {
    let folder = tempfile::tempdir().expect("a folder");
    write_synced(
        folder.path(),
        &[write(1, 2_000), write(2, 2_000), write(3, 2_000)],
    );
    let mut bytes = journal_bytes(folder.path());
    let changed = bytes
        .windows(20)
        .position(|part| part == [b'x'; 20])
        .expect("an item");
    bytes[changed + 100] = b'y';
    replace_journal(folder.path(), &bytes);
    expect_that!(
        try_read(folder.path()).err(),
        some(matches_pattern!(DiskError::DataLoss { .. }))
    );
}

#[gtest]
fn a_truncated_or_damaged_synced_batch_is_data_loss_and_the_journal_is_left_as_it_is() {
    let folder = tempfile::tempdir().expect("a folder");
    write_synced(folder.path(), &[write(1, 5_000)]);
    let before = journal_length(folder.path());
    write_synced(folder.path(), &[write(2, 5_000)]);
    let intact = journal_bytes(folder.path());
    // Offsets in each part of the batch but the sequence number. No checksum covers that, and a change of it in the last
    // batch loses nothing.
    for at in [
        before,
        before + 3,
        before + 14,
        before + 600,
        intact.len() - 1,
    ] {
        let mut torn = intact.clone();
        torn[at] ^= 0x40;
        for bytes in [&intact[..at], &torn[..]] {
            replace_journal(folder.path(), bytes);
            let error = try_read(folder.path()).err().map(|error| error.to_string());
            expect_that!(
                error,
                some(contains_substring("less than was synced")),
                "at {at}"
            );
            expect_that!(journal_bytes(folder.path()) == bytes, eq(true));
        }
    }
    replace_journal(folder.path(), &intact);
    expect_that!(read(folder.path()), some(eq(&state_after(2, 5_000))));
}

#[gtest]
fn a_changed_tag_in_a_synced_batch_is_data_loss() {
    let folder = tempfile::tempdir().expect("a folder");
    write_synced(folder.path(), &[write(1, 2_000)]);
    let second = journal_length(folder.path());
    write_synced(folder.path(), &[write(2, 2_000), write(3, 2_000)]);
    write_unsynced(folder.path(), &[write(4, 2_000)]);
    let intact = journal_bytes(folder.path());
    // Offsets of the start's tag, of the number of entries, and of the first entry's tag.
    for at in [second, second + 4, second + 15] {
        let mut changed = intact.clone();
        changed[at] = 9;
        replace_journal(folder.path(), &changed);
        expect_that!(
            try_read(folder.path()).err(),
            some(matches_pattern!(DiskError::DataLoss { .. })),
            "at {at}"
        );
    }
}

#[gtest]
fn a_changed_sequence_number_before_a_later_synced_batch_is_data_loss() {
    let folder = tempfile::tempdir().expect("a folder");
    write_synced(folder.path(), &[write(1, 2_000)]);
    let second = journal_length(folder.path());
    write_synced(folder.path(), &[write(2, 2_000), write(3, 2_000)]);
    let mut changed = journal_bytes(folder.path());
    changed[second + 7] ^= 0x40;
    replace_journal(folder.path(), &changed);
    expect_that!(
        try_read(folder.path()).err(),
        some(matches_pattern!(DiskError::DataLoss { .. }))
    );
}
