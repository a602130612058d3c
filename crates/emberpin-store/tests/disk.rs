//! What a store finds on its disk after its end, a loss of power in mid-write, or when the folder isn't its
//! own.

use emberpin_config::{History, Item, ItemKey, ItemKind, Version, MAX_NAME_BYTES};
use emberpin_consensus::{
    AcceptedProposal, Ballot, BootstrapCandidate, Incarnation, LatestIncarnations, PersistedState,
    WriteBatch,
};
use emberpin_store::disk::{Disk, DiskError, FolderMismatch};
use googletest::prelude::*;
use std::fs;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};

const ME: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);

fn item(name: &str, ver: u64, size: usize) -> Item {
    Item {
        key: ItemKey {
            kind: ItemKind::Service,
            name: name.into(),
        },
        version: Version(ver),
        body: Some("x".repeat(size)),
    }
}

fn ballot(counter: u64) -> Ballot {
    Ballot {
        counter,
        proposer: 7,
        start_nonce: 9,
    }
}

fn write(counter: u64, size: usize) -> WriteBatch {
    let mut latest_incarnations = LatestIncarnations::default();
    latest_incarnations.record(ME, Incarnation(ballot(counter + 1)));
    WriteBatch {
        chosen: vec![item("a", counter, size), item("b", counter, size)],
        removed: Vec::new(),
        promised: ballot(counter),
        accepted: Some(AcceptedProposal {
            ballot: ballot(counter),
            items: vec![item("c", counter, size)],
        }),
        voting: true,
        incarnation: Incarnation(ballot(counter)),
        latest_incarnations,
        bootstrap_candidate: Some(BootstrapCandidate {
            nonce: counter,
            seeds: vec![ME],
        }),
        sync: true,
    }
}

fn kept(counter: u64, size: usize) -> PersistedState {
    let WriteBatch {
        chosen,
        promised,
        accepted,
        voting,
        incarnation,
        latest_incarnations,
        bootstrap_candidate,
        ..
    } = write(counter, size);
    PersistedState {
        chosen,
        promised,
        accepted: accepted.unwrap_or_default(),
        voting,
        incarnation,
        latest_incarnations,
        bootstrap_candidate,
    }
}

/// Writes each without a sync, and ends.
fn unsynced(folder: &Path, writes: &[WriteBatch]) {
    let (mut disk, _) = Disk::open(folder, ME).expect("a disk");
    writes
        .iter()
        .for_each(|write| disk.write(write).expect("a write"));
}

/// Writes and syncs each, and ends.
fn written(folder: &Path, writes: &[WriteBatch]) {
    let (mut disk, _) = Disk::open(folder, ME).expect("a disk");
    for write in writes {
        disk.write(write).expect("a write");
        disk.sync().expect("a sync");
    }
}

fn found(folder: &Path) -> std::result::Result<Option<PersistedState>, DiskError> {
    Disk::open(folder, ME).map(|(_, kept)| kept)
}

fn journal(folder: &Path) -> PathBuf {
    folder.join("store/journals/0")
}

#[gtest]
fn an_empty_folder_holds_nothing_and_then_what_was_written() {
    let folder = tempfile::tempdir().expect("a folder");
    expect_that!(found(folder.path()).expect("a disk"), none());
    expect_that!(found(folder.path()).expect("a disk"), none());
    written(folder.path(), &[write(1, 10), write(2, 20_000)]);
    expect_that!(
        found(folder.path()).expect("a disk"),
        some(eq(&kept(2, 20_000)))
    );
}

#[gtest]
fn a_last_write_that_is_cut_short_anywhere_never_was() {
    for size in [10, 20_000] {
        let folder = tempfile::tempdir().expect("a folder");
        written(folder.path(), &[write(1, size)]);
        let before = fs::metadata(journal(folder.path()))
            .expect("a journal")
            .len();
        unsynced(folder.path(), &[write(2, size)]);
        let whole = fs::read(journal(folder.path())).expect("a journal");
        let step = (whole.len() - before as usize) / 37 + 1;
        for end in (before as usize..whole.len()).step_by(step) {
            fs::write(journal(folder.path()), &whole[..end]).expect("a journal");
            expect_that!(
                found(folder.path()).expect("a disk"),
                some(eq(&kept(1, size))),
                "cut at {end}"
            );
        }
    }
}

#[gtest]
fn a_last_write_with_a_gap_anywhere_never_was_and_another_can_follow() {
    let folder = tempfile::tempdir().expect("a folder");
    written(folder.path(), &[write(1, 20_000)]);
    let before = fs::metadata(journal(folder.path()))
        .expect("a journal")
        .len() as usize;
    unsynced(folder.path(), &[write(2, 20_000)]);
    let whole = fs::read(journal(folder.path())).expect("a journal");
    for (from, length) in [
        (before, 4096),
        (before + 30, 100),
        (before + 8192, 8192),
        (whole.len() - 600, 500),
    ] {
        for zeros_after in [0, 5_000] {
            let mut torn = whole.clone();
            torn[from..from + length].fill(0);
            torn.resize(torn.len() + zeros_after, 0);
            fs::write(journal(folder.path()), &torn).expect("a journal");
            let found_now = found(folder.path()).expect("a disk");
            expect_that!(
                found_now,
                some(eq(&kept(1, 20_000))),
                "{length} from {from}"
            );
        }
    }
    written(folder.path(), &[write(3, 20_000)]);
    expect_that!(
        found(folder.path()).expect("a disk"),
        some(eq(&kept(3, 20_000)))
    );
}

#[gtest]
fn an_earlier_write_that_has_changed_is_an_error() {
    let folder = tempfile::tempdir().expect("a folder");
    written(
        folder.path(),
        &[write(1, 2_000), write(2, 2_000), write(3, 2_000)],
    );
    let mut journal_bytes = fs::read(journal(folder.path())).expect("a journal");
    let changed = journal_bytes
        .windows(20)
        .position(|part| part == [b'x'; 20])
        .expect("an item");
    journal_bytes[changed + 100] = b'y';
    fs::write(journal(folder.path()), &journal_bytes).expect("a journal");
    expect_that!(
        found(folder.path()).err(),
        some(matches_pattern!(DiskError::DataLoss { .. }))
    );
}

#[gtest]
fn unsynced_writes_with_a_gap_in_the_first_never_were() {
    let folder = tempfile::tempdir().expect("a folder");
    written(folder.path(), &[write(1, 9_000)]);
    let before = fs::metadata(journal(folder.path()))
        .expect("a journal")
        .len() as usize;
    unsynced(
        folder.path(),
        &[write(2, 9_000), write(3, 9_000), write(4, 9_000)],
    );
    let whole = fs::read(journal(folder.path())).expect("a journal");
    for (from, length) in [(before, 15), (before + 100, 4_000), (before + 20_000, 300)] {
        let mut torn = whole.clone();
        torn[from..from + length].fill(0);
        fs::write(journal(folder.path()), &torn).expect("a journal");
        expect_that!(
            found(folder.path()).expect("a disk"),
            some(eq(&kept(1, 9_000))),
            "from {from}"
        );
    }
}

#[gtest]
fn a_synced_write_that_is_cut_short_or_has_a_gap_is_an_error_and_is_left_alone() {
    let folder = tempfile::tempdir().expect("a folder");
    written(folder.path(), &[write(1, 5_000)]);
    let before = fs::metadata(journal(folder.path()))
        .expect("a journal")
        .len() as usize;
    written(folder.path(), &[write(2, 5_000)]);
    let whole = fs::read(journal(folder.path())).expect("a journal");
    // Not its sequence number, which no checksum covers: changed in the last write, it hides nothing.
    for at in [
        before,
        before + 3,
        before + 14,
        before + 600,
        whole.len() - 1,
    ] {
        let mut torn = whole.clone();
        torn[at] ^= 0x40;
        for bytes in [&whole[..at], &torn[..]] {
            fs::write(journal(folder.path()), bytes).expect("a journal");
            let wrong = found(folder.path()).err().map(|wrong| wrong.to_string());
            expect_that!(
                wrong,
                some(contains_substring("less than was synced")),
                "at {at}"
            );
            expect_that!(
                fs::read(journal(folder.path())).expect("a journal") == bytes,
                eq(true)
            );
        }
    }
    fs::write(journal(folder.path()), &whole).expect("a journal");
    expect_that!(
        found(folder.path()).expect("a disk"),
        some(eq(&kept(2, 5_000)))
    );
}

#[gtest]
fn a_marker_that_has_changed_in_the_middle_is_an_error() {
    let folder = tempfile::tempdir().expect("a folder");
    written(folder.path(), &[write(1, 2_000)]);
    let second = fs::metadata(journal(folder.path()))
        .expect("a journal")
        .len() as usize;
    written(folder.path(), &[write(2, 2_000), write(3, 2_000)]);
    unsynced(folder.path(), &[write(4, 2_000)]);
    let whole = fs::read(journal(folder.path())).expect("a journal");
    // The tag, the number of items, and the tag of the first item.
    for at in [second, second + 4, second + 15] {
        let mut changed = whole.clone();
        changed[at] = 9;
        fs::write(journal(folder.path()), &changed).expect("a journal");
        expect_that!(
            found(folder.path()).err(),
            some(matches_pattern!(DiskError::DataLoss { .. })),
            "at {at}"
        );
    }
}

#[gtest]
fn a_sequence_number_that_has_changed_hides_no_later_write() {
    let folder = tempfile::tempdir().expect("a folder");
    written(folder.path(), &[write(1, 2_000)]);
    let second = fs::metadata(journal(folder.path()))
        .expect("a journal")
        .len() as usize;
    written(folder.path(), &[write(2, 2_000), write(3, 2_000)]);
    let mut changed = fs::read(journal(folder.path())).expect("a journal");
    changed[second + 7] ^= 0x40;
    fs::write(journal(folder.path()), &changed).expect("a journal");
    expect_that!(
        found(folder.path()).err(),
        some(matches_pattern!(DiskError::DataLoss { .. }))
    );
}

#[gtest]
fn a_store_that_is_gone_beside_its_record_or_the_record_beside_its_store_is_an_error() {
    let folder = tempfile::tempdir().expect("a folder");
    written(folder.path(), &[write(1, 10)]);
    let (record, kept_record) = (folder.path().join("synced"), folder.path().join("aside"));
    fs::rename(&record, &kept_record).expect("a file");
    for _ in 0..2 {
        expect_that!(
            found(folder.path()).err(),
            some(matches_pattern!(DiskError::DataLoss { .. }))
        );
    }
    fs::rename(&kept_record, &record).expect("a file");
    expect_that!(
        found(folder.path()).expect("a disk"),
        some(eq(&kept(1, 10)))
    );
    fs::remove_dir_all(folder.path().join("store")).expect("a folder");
    expect_that!(
        found(folder.path()).err(),
        some(matches_pattern!(DiskError::DataLoss { .. }))
    );
}

#[gtest]
fn a_record_with_a_torn_place_goes_by_the_other() {
    let folder = tempfile::tempdir().expect("a folder");
    written(folder.path(), &[write(1, 10), write(2, 10), write(3, 10)]);
    let record = folder.path().join("synced");
    let whole = fs::read(&record).expect("a record");
    for place in [0, 4096] {
        let mut torn = whole.clone();
        torn[place + 5..place + 20].fill(0xff);
        fs::write(&record, &torn).expect("a record");
        expect_that!(
            found(folder.path()).expect("a disk"),
            some(eq(&kept(3, 10)))
        );
    }
    fs::write(&record, [0xff; 5_000]).expect("a record");
    expect_that!(
        found(folder.path()).err(),
        some(matches_pattern!(DiskError::DataLoss { .. }))
    );
}

#[gtest]
fn a_folder_of_another_kind_or_machine_is_an_error() {
    let folder = tempfile::tempdir().expect("a folder");
    written(folder.path(), &[write(1, 10)]);
    let other = Disk::open(folder.path(), Ipv4Addr::new(10, 0, 0, 2)).err();
    expect_that!(
        other,
        some(matches_pattern!(DiskError::Mismatch {
            mismatch: eq(&FolderMismatch::OtherMachine {
                own_ip: Ipv4Addr::new(10, 0, 0, 2)
            }),
            ..
        }))
    );
    expect_that!(
        found(folder.path()).expect("a disk"),
        some(eq(&kept(1, 10)))
    );
    let version = folder.path().join("store/version");
    fs::write(version, b"else").expect("a file");
    expect_that!(found(folder.path()).err(), some(anything()));
    fs::remove_dir_all(folder.path().join("store")).expect("a folder");
    fs::write(folder.path().join("store"), b"a file").expect("a file");
    expect_that!(found(folder.path()).err(), some(anything()));
}

#[gtest]
fn a_start_that_was_cut_off_is_begun_again() {
    let folder = tempfile::tempdir().expect("a folder");
    fs::create_dir_all(folder.path().join("forming/journals")).expect("a folder");
    fs::write(folder.path().join("forming/version"), b"").expect("a file");
    expect_that!(found(folder.path()).expect("a disk"), none());
    expect_that!(folder.path().join("forming").exists(), eq(false));
}

#[gtest]
fn what_is_written_over_and_over_outlasts_new_journals_and_tables() {
    let folder = tempfile::tempdir().expect("a folder");
    let writes: Vec<WriteBatch> = (1..=60).map(|counter| write(counter, 200_000)).collect();
    written(folder.path(), &writes);
    expect_that!(
        found(folder.path()).expect("a disk"),
        some(eq(&kept(60, 200_000)))
    );
    written(folder.path(), &[write(61, 200_000)]);
    expect_that!(
        found(folder.path()).expect("a disk"),
        some(eq(&kept(61, 200_000)))
    );
    let journals = fs::read_dir(folder.path().join("store/journals"))
        .expect("a folder")
        .count();
    expect_that!(journals, le(3));
}

#[gtest]
fn what_is_removed_is_gone_after_a_start_and_may_come_again() {
    let folder = tempfile::tempdir().expect("a folder");
    let removes = WriteBatch {
        chosen: vec![],
        removed: vec![item("a", 0, 0).key],
        accepted: None,
        ..write(2, 10)
    };
    written(folder.path(), &[write(1, 10), removes]);
    let names = |folder: &Path| {
        let kept = found(folder).expect("a disk").expect("what was written");
        kept.chosen
            .into_iter()
            .map(|item| (item.key.name, item.version))
            .collect::<Vec<_>>()
    };
    expect_that!(
        names(folder.path()),
        elements_are![eq(&("b".to_string(), Version(1)))]
    );
    // What is both written and removed by one write is gone.
    let both = WriteBatch {
        removed: vec![item("b", 0, 0).key],
        accepted: None,
        ..write(3, 10)
    };
    written(folder.path(), &[both]);
    expect_that!(
        names(folder.path()),
        elements_are![eq(&("a".to_string(), Version(3)))]
    );
    written(folder.path(), &[write(4, 10)]);
    expect_that!(names(folder.path()).len(), eq(2));
}

/// How often a text stands in the journal's batches.
fn count(folder: &Path, text: &[u8]) -> usize {
    let bytes = fs::read(journal(folder)).expect("a journal");
    bytes
        .windows(text.len())
        .filter(|part| *part == text)
        .count()
}

/// What the build before this one left: the same, but for the number of its format, and without histories. Its
/// journal's first batch is rewritten, with the checksum that goes with it.
fn of_the_former_format(folder: &Path) {
    let mut bytes = fs::read(journal(folder)).expect("a journal");
    let at = bytes
        .windows(16)
        .position(|part| part == b"emberpin-store 2")
        .expect("the format");
    bytes[at + 15] = b'1';
    let end = bytes
        .windows(TRAILER.len())
        .position(|part| part == TRAILER)
        .expect("a batch");
    let sum = xxhash_rust::xxh3::xxh3_64(&bytes[BATCH_START..end - BATCH_END]);
    bytes[end - 8..end].copy_from_slice(&sum.to_be_bytes());
    fs::write(journal(folder), bytes).expect("a journal");
}

/// How `fjall` ends a batch, after a tag and a checksum of eight bytes; and how long a batch's start is.
const TRAILER: &[u8] = &[b'F', b'J', b'L', 2];
const BATCH_END: usize = 9;
const BATCH_START: usize = 15;

#[gtest]
fn a_disk_of_the_former_format_is_read_and_becomes_the_new_one_with_the_next_write() {
    let folder = tempfile::tempdir().expect("a folder");
    written(folder.path(), &[write(1, 10)]);
    of_the_former_format(folder.path());
    expect_that!(count(folder.path(), b"emberpin-store 2"), eq(0));
    expect_that!(
        found(folder.path()).expect("a disk"),
        some(eq(&kept(1, 10)))
    );
    expect_that!(count(folder.path(), b"emberpin-store 2"), eq(0));
    let history = History::new(item("a", 2, 10).key, Version(2), None).to_item(Version(1));
    let with_history = WriteBatch {
        chosen: vec![history.clone()],
        accepted: None,
        ..write(2, 10)
    };
    written(folder.path(), &[with_history]);
    expect_that!(count(folder.path(), b"emberpin-store 2"), eq(1));
    let found = found(folder.path())
        .expect("a disk")
        .expect("what was written");
    expect_that!(found.chosen, contains(eq(&history)));
    expect_that!(found.chosen.len(), eq(3));
}

#[gtest]
fn the_longest_names_are_kept_with_their_histories() {
    let folder = tempfile::tempdir().expect("a folder");
    let longest = item(&"n".repeat(MAX_NAME_BYTES), 7, 10);
    let history = History::new(longest.key.clone(), Version(7), None).to_item(Version(1));
    let chosen = vec![longest, history];
    written(
        folder.path(),
        &[WriteBatch {
            chosen: chosen.clone(),
            accepted: None,
            ..write(1, 10)
        }],
    );
    expect_that!(
        found(folder.path())
            .expect("a disk")
            .map(|kept| kept.chosen),
        some(eq(&chosen))
    );
}
