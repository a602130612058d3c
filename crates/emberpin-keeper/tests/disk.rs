//! What a store finds on its disk after its end, a loss of power in mid-write, or when the folder isn't its own.

use emberpin_chart::{Item, Key, Kind};
use emberpin_keeper::disk::{Disk, Unusable};
use emberpin_muster::{Ballot, Kept, Pending, Write};
use googletest::prelude::*;
use std::fs;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};

const ME: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);

fn item(name: &str, ver: u64, size: usize) -> Item {
    Item { key: Key { kind: Kind::Service, name: name.into() }, ver, body: Some("x".repeat(size)) }
}

fn ballot(counter: u64) -> Ballot {
    Ballot { counter, node: 7, life: 9 }
}

fn write(counter: u64, size: usize) -> Write {
    Write {
        chosen: vec![item("a", counter, size), item("b", counter, size)],
        promised: ballot(counter),
        pending: Some(Pending { ballot: ballot(counter), items: vec![item("c", counter, size)] }),
        voting: true,
        sync: true,
    }
}

fn kept(counter: u64, size: usize) -> Kept {
    let Write { chosen, promised, pending, voting, .. } = write(counter, size);
    Kept { chosen, promised, pending: pending.unwrap_or_default(), voting }
}

/// Writes and syncs each, and ends.
fn written(folder: &Path, writes: &[Write]) {
    let (disk, _) = Disk::open(folder, ME).expect("a disk");
    for write in writes {
        disk.write(write).expect("a write");
        disk.sync().expect("a sync");
    }
}

fn found(folder: &Path) -> std::result::Result<Option<Kept>, Unusable> {
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
    expect_that!(found(folder.path()).expect("a disk"), some(eq(&kept(2, 20_000))));
}

#[gtest]
fn a_last_write_that_is_cut_short_anywhere_never_was() {
    for size in [10, 20_000] {
        let folder = tempfile::tempdir().expect("a folder");
        written(folder.path(), &[write(1, size)]);
        let before = fs::metadata(journal(folder.path())).expect("a journal").len();
        written(folder.path(), &[write(2, size)]);
        let whole = fs::read(journal(folder.path())).expect("a journal");
        let step = (whole.len() - before as usize) / 37 + 1;
        for end in (before as usize..whole.len()).step_by(step) {
            fs::write(journal(folder.path()), &whole[..end]).expect("a journal");
            expect_that!(found(folder.path()).expect("a disk"), some(eq(&kept(1, size))), "cut at {end}");
        }
    }
}

#[gtest]
fn a_last_write_with_a_gap_anywhere_never_was_and_another_can_follow() {
    let folder = tempfile::tempdir().expect("a folder");
    written(folder.path(), &[write(1, 20_000)]);
    let before = fs::metadata(journal(folder.path())).expect("a journal").len() as usize;
    written(folder.path(), &[write(2, 20_000)]);
    let whole = fs::read(journal(folder.path())).expect("a journal");
    for (from, length) in
        [(before, 4096), (before + 30, 100), (before + 8192, 8192), (whole.len() - 600, 500)]
    {
        for zeros_after in [0, 5_000] {
            let mut torn = whole.clone();
            torn[from..from + length].fill(0);
            torn.resize(torn.len() + zeros_after, 0);
            fs::write(journal(folder.path()), &torn).expect("a journal");
            let found_now = found(folder.path()).expect("a disk");
            expect_that!(found_now, some(eq(&kept(1, 20_000))), "{length} from {from}");
        }
    }
    written(folder.path(), &[write(3, 20_000)]);
    expect_that!(found(folder.path()).expect("a disk"), some(eq(&kept(3, 20_000))));
}

#[gtest]
fn an_earlier_write_that_has_changed_is_an_error() {
    let folder = tempfile::tempdir().expect("a folder");
    written(folder.path(), &[write(1, 2_000), write(2, 2_000), write(3, 2_000)]);
    let mut journal_bytes = fs::read(journal(folder.path())).expect("a journal");
    let changed = journal_bytes.windows(20).position(|part| part == [b'x'; 20]).expect("an item");
    journal_bytes[changed + 100] = b'y';
    fs::write(journal(folder.path()), &journal_bytes).expect("a journal");
    expect_that!(found(folder.path()).err(), some(matches_pattern!(Unusable::Keyspace(..))));
}

#[gtest]
fn a_folder_of_another_kind_or_machine_is_an_error() {
    let folder = tempfile::tempdir().expect("a folder");
    written(folder.path(), &[write(1, 10)]);
    let other = Disk::open(folder.path(), Ipv4Addr::new(10, 0, 0, 2)).err();
    expect_that!(other, some(matches_pattern!(Unusable::Foreign(..))));
    expect_that!(found(folder.path()).expect("a disk"), some(eq(&kept(1, 10))));
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
    let writes: Vec<Write> = (1..=60).map(|counter| write(counter, 200_000)).collect();
    written(folder.path(), &writes);
    expect_that!(found(folder.path()).expect("a disk"), some(eq(&kept(60, 200_000))));
    written(folder.path(), &[write(61, 200_000)]);
    expect_that!(found(folder.path()).expect("a disk"), some(eq(&kept(61, 200_000))));
    let journals = fs::read_dir(folder.path().join("store/journals")).expect("a folder").count();
    expect_that!(journals, le(3));
}
