//! The state that a disk persists across restarts, and the folders that it rejects.

mod common;

use common::disk_fixtures::{
    item, journal_bytes, read, replace_journal, state_after, try_read, write, write_synced,
};
use emberpin_config::{History, Version, MAX_NAME_BYTES};
use emberpin_consensus::WriteBatch;
use emberpin_store::disk::{Disk, DiskError, FileOperation, FolderMismatch};
use googletest::prelude::*;
use std::error::Error;
use std::fs;
use std::net::Ipv4Addr;
use std::path::Path;
use xxhash_rust::xxh3::xxh3_64;

/// The last bytes of each batch in a journal of `fjall`.
const TRAILER: &[u8] = b"FJL\x02";
/// Length of the tag and the checksum between the entries and the trailer: one byte and eight bytes.
const END_BYTES_BEFORE_TRAILER: usize = 9;
/// Length of a batch's start, before its entries.
const START_BYTES: usize = 15;
/// The address of a machine that does not own the disks.
const OTHER_MACHINE: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);

#[gtest]
fn an_empty_folder_becomes_a_disk_that_returns_the_last_write() {
    let folder = tempfile::tempdir().expect("a folder");
    expect_that!(read(folder.path()), none());
    expect_that!(read(folder.path()), none());
    write_synced(folder.path(), &[write(1, 10), write(2, 20_000)]);
    expect_that!(read(folder.path()), some(eq(&state_after(2, 20_000))));
}

#[gtest]
fn a_folder_of_another_machine_or_program_is_rejected() {
    let folder = tempfile::tempdir().expect("a folder");
    write_synced(folder.path(), &[write(1, 10)]);
    let other = Disk::open(folder.path(), OTHER_MACHINE).err();
    expect_that!(
        other,
        some(matches_pattern!(DiskError::Mismatch {
            mismatch: eq(&FolderMismatch::OtherMachine {
                own_ip: OTHER_MACHINE
            }),
            ..
        }))
    );
    expect_that!(read(folder.path()), some(eq(&state_after(1, 10))));
    let version = folder.path().join("store/version");
    fs::write(version, b"else").expect("a file");
    expect_that!(try_read(folder.path()).err(), some(anything()));
    fs::remove_dir_all(folder.path().join("store")).expect("a folder");
    fs::write(folder.path().join("store"), b"a file").expect("a file");
    expect_that!(try_read(folder.path()).err(), some(anything()));
}

#[gtest]
fn an_error_names_the_operation_and_the_path_and_keeps_its_cause() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("a file");
    fs::write(&file, b"").expect("a file");
    let error = try_read(&file).expect_err("a file is no folder");
    expect_that!(
        error,
        matches_pattern!(DiskError::File {
            operation: eq(&FileOperation::CreateFolder),
            path: eq(&file),
            ..
        })
    );
    expect_that!(error.source(), some(anything()));
    expect_that!(
        error.to_string(),
        starts_with(format!("{}: cannot create the folder: ", file.display()))
    );
    expect_that!(error.is_damage(), eq(false));
}

#[gtest]
fn an_interrupted_creation_is_repeated() {
    let folder = tempfile::tempdir().expect("a folder");
    fs::create_dir_all(folder.path().join("forming/journals")).expect("a folder");
    fs::write(folder.path().join("forming/version"), b"").expect("a file");
    expect_that!(read(folder.path()), none());
    expect_that!(folder.path().join("forming").exists(), eq(false));
}

#[gtest]
fn writes_survive_new_journals_and_table_flushes() {
    let folder = tempfile::tempdir().expect("a folder");
    let writes: Vec<WriteBatch> = (1..=60).map(|counter| write(counter, 200_000)).collect();
    write_synced(folder.path(), &writes);
    expect_that!(read(folder.path()), some(eq(&state_after(60, 200_000))));
    write_synced(folder.path(), &[write(61, 200_000)]);
    expect_that!(read(folder.path()), some(eq(&state_after(61, 200_000))));
    let journals = fs::read_dir(folder.path().join("store/journals"))
        .expect("a folder")
        .count();
    expect_that!(journals, le(3));
}

#[gtest]
fn removed_items_stay_removed_until_they_are_written_again() {
    let folder = tempfile::tempdir().expect("a folder");
    let removal = WriteBatch {
        chosen: vec![],
        removed: vec![item("a", 0, 0).key],
        accepted: None,
        ..write(2, 10)
    };
    write_synced(folder.path(), &[write(1, 10), removal]);
    let names = |folder: &Path| {
        let state = read(folder).expect("what was written");
        state
            .chosen
            .into_iter()
            .map(|item| (item.key.name, item.version))
            .collect::<Vec<_>>()
    };
    expect_that!(
        names(folder.path()),
        elements_are![eq(&("b".to_string(), Version(1)))]
    );
    // A write that both sets and removes an item removes it.
    let both = WriteBatch {
        removed: vec![item("b", 0, 0).key],
        accepted: None,
        ..write(3, 10)
    };
    write_synced(folder.path(), &[both]);
    expect_that!(
        names(folder.path()),
        elements_are![eq(&("a".to_string(), Version(3)))]
    );
    write_synced(folder.path(), &[write(4, 10)]);
    expect_that!(names(folder.path()).len(), eq(2));
}

/// Counts the occurrences of a text in the journal.
fn count_in_journal(folder: &Path, text: &[u8]) -> usize {
    let bytes = journal_bytes(folder);
    bytes
        .windows(text.len())
        .filter(|part| *part == text)
        .count()
}

/// Converts a disk without histories to the previous format: changes the format number in the journal's first batch, and
/// updates that batch's checksum.
fn downgrade_to_previous_format(folder: &Path) {
    let mut bytes = journal_bytes(folder);
    let at = bytes
        .windows(16)
        .position(|part| part == b"emberpin-store 2")
        .expect("the format");
    bytes[at + 15] = b'1';
    let end = bytes
        .windows(TRAILER.len())
        .position(|part| part == TRAILER)
        .expect("a batch");
    let checksum = xxh3_64(&bytes[START_BYTES..end - END_BYTES_BEFORE_TRAILER]);
    bytes[end - 8..end].copy_from_slice(&checksum.to_be_bytes());
    replace_journal(folder, &bytes);
}

#[gtest]
fn a_disk_of_the_previous_format_is_read_and_upgraded_by_the_next_write() {
    let folder = tempfile::tempdir().expect("a folder");
    write_synced(folder.path(), &[write(1, 10)]);
    downgrade_to_previous_format(folder.path());
    expect_that!(count_in_journal(folder.path(), b"emberpin-store 2"), eq(0));
    expect_that!(read(folder.path()), some(eq(&state_after(1, 10))));
    expect_that!(count_in_journal(folder.path(), b"emberpin-store 2"), eq(0));
    let history = History::new(item("a", 2, 10).key, Version(2), None).to_item(Version(1));
    let with_history = WriteBatch {
        chosen: vec![history.clone()],
        accepted: None,
        ..write(2, 10)
    };
    write_synced(folder.path(), &[with_history]);
    expect_that!(count_in_journal(folder.path(), b"emberpin-store 2"), eq(1));
    let state = read(folder.path()).expect("what was written");
    expect_that!(state.chosen, contains(eq(&history)));
    expect_that!(state.chosen.len(), eq(3));
}

#[gtest]
fn names_of_the_maximum_length_are_persisted_with_their_histories() {
    let folder = tempfile::tempdir().expect("a folder");
    let longest = item(&"n".repeat(MAX_NAME_BYTES), 7, 10);
    let history = History::new(longest.key.clone(), Version(7), None).to_item(Version(1));
    let chosen = vec![longest, history];
    write_synced(
        folder.path(),
        &[WriteBatch {
            chosen: chosen.clone(),
            accepted: None,
            ..write(1, 10)
        }],
    );
    expect_that!(
        read(folder.path()).map(|state| state.chosen),
        some(eq(&chosen))
    );
}
