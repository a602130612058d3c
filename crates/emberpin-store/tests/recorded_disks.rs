//! Disks recorded by the build of 2 December 2026 are read whole, and written on. The recordings in `fixtures/` are
//! never made anew: a build that can't read one of them has lost what some store keeps.
//!
//! What is missing of them, nothing at present, is recorded by
//! `EMBERPIN_RECORD_DISK=1 cargo test -p emberpin-store --test recorded_disks recording`

mod packed;
mod program;
mod recorder;

use emberpin_config::{Item, ItemKey, ItemKind, Version};
use emberpin_consensus::{
    AcceptedProposal, Ballot, BootstrapCandidate, Incarnation, LatestIncarnations, PersistedState,
    WriteBatch,
};
use emberpin_store::disk::{Disk, DiskError, FolderMismatch};
use googletest::prelude::*;
use program::Program;
use std::fs;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use tempfile::TempDir;

/// Whose disks they are, and the other seeds.
const ME: Ipv4Addr = Ipv4Addr::new(127, 9, 40, 1);
const OTHERS: [Ipv4Addr; 2] = [Ipv4Addr::new(127, 9, 40, 2), Ipv4Addr::new(127, 9, 40, 3)];
/// The number that the candidate drew.
const CANDIDATE: u64 = 489_215_147_674_969_543;

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

fn text(name: &str) -> String {
    fs::read_to_string(fixture(name)).expect("a fixture")
}

/// A folder with what was recorded.
fn unpacked(name: &str) -> TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    packed::unpack(&text(name), folder.path());
    folder
}

fn opened(folder: &TempDir) -> (Disk, Option<PersistedState>) {
    Disk::open(folder.path(), ME).expect("a disk")
}

fn found(folder: &TempDir) -> PersistedState {
    opened(folder).1.expect("what was written")
}

/// A line for each item: the number of its kind, its version, its name and its content.
fn lines(items: &[Item]) -> String {
    let line = |item: &Item| {
        let content = item
            .body
            .as_ref()
            .map_or("dropped".into(), |body| format!("{body:?}"));
        format!(
            "{} {} {:?} {content}\n",
            item.key.kind as u8, item.version, item.key.name
        )
    };
    items.iter().map(line).collect()
}

fn ballot(counter: u64, node: Ipv4Addr, start_nonce: u32) -> Ballot {
    Ballot {
        counter,
        proposer: node.to_bits(),
        start_nonce,
    }
}

fn service(name: &str, ver: u64, body: Option<&str>) -> Item {
    let key = ItemKey {
        kind: ItemKind::Service,
        name: name.into(),
    };
    Item {
        key,
        version: Version(ver),
        body: body.map(str::to_owned),
    }
}

/// A write that changes one item, and leaves all else as it was found.
fn next_write(kept: &PersistedState, item: Item) -> WriteBatch {
    let PersistedState {
        promised,
        voting,
        incarnation,
        latest_incarnations,
        bootstrap_candidate,
        ..
    } = kept.clone();
    let (chosen, removed, accepted) = (vec![item], Vec::new(), None);
    WriteBatch {
        chosen,
        removed,
        promised,
        accepted,
        voting,
        incarnation,
        latest_incarnations,
        bootstrap_candidate,
        sync: true,
    }
}

/// Writes and syncs one more item, and opens the disk again.
fn expect_to_be_written_on(folder: &TempDir) {
    let before = {
        let (mut disk, kept) = opened(folder);
        let kept = kept.unwrap_or_default();
        disk.write(&next_write(&kept, service("~new", 1, Some("{}"))))
            .expect("a write");
        disk.sync().expect("a sync");
        kept
    };
    let mut after = found(folder);
    let new = after
        .chosen
        .iter()
        .position(|item| item.key.name == "~new")
        .expect("the new item");
    expect_that!(
        after.chosen.remove(new),
        eq(&service("~new", 1, Some("{}")))
    );
    expect_that!(after, eq(&before));
}

#[gtest]
fn the_recordings_are_there() {
    if std::env::var_os("EMBERPIN_RECORD_DISK").is_some() {
        recorder::record("voter.disk.txt", recorder::record_voter);
        recorder::record("candidate.disk.txt", recorder::record_candidate);
        recorder::record("empty.disk.txt", recorder::record_empty);
        recorder::record("former.disk.txt", recorder::record_former);
        recorder::record_configuration(unpacked("voter.disk.txt").path());
    }
    for name in ["voter", "candidate", "empty", "former"] {
        expect_that!(
            fixture(&format!("{name}.disk.txt")).exists(),
            eq(true),
            "{name}"
        );
    }
}

#[gtest]
fn a_packed_folder_holds_the_same_bytes_once_it_is_unpacked() {
    for name in ["voter", "candidate", "empty", "former"] {
        let name = format!("{name}.disk.txt");
        expect_that!(
            packed::pack(unpacked(&name).path()) == text(&name),
            eq(true),
            "{name}"
        );
    }
}

#[gtest]
fn a_recorded_voter_is_read_with_every_item_in_its_version() {
    let kept = found(&unpacked("voter.disk.txt"));
    let (read, expected) = (lines(&kept.chosen), text("voter.items.txt"));
    expect_that!(read.lines().count(), eq(expected.lines().count()));
    for (read, expected) in read.lines().zip(expected.lines()) {
        expect_that!(read, eq(expected));
    }
}

#[gtest]
fn a_recorded_voter_is_read_with_its_promise_and_what_it_accepted() {
    let [second, third] = OTHERS;
    let kept = found(&unpacked("voter.disk.txt"));
    expect_that!(kept.promised, eq(ballot(900_001, third, 77)));
    let content =
        "{\"name\":\"open\",\"hcheck\":\"/h\",\"maxconn\":709,\"proto\":\"h1\",\"tls\":false,\
                   \"warmup\":\"3s\",\"warmup_per_s\":10.0,\"ver\":700}";
    let items = vec![service("open", 700, Some(content))];
    expect_that!(
        kept.accepted,
        eq(&AcceptedProposal {
            ballot: ballot(900_000, second, 77),
            items
        })
    );
    expect_that!(kept.voting, eq(true));
}

#[gtest]
fn a_recorded_voter_is_read_with_its_incarnation_and_those_of_others() {
    let [second, third] = OTHERS;
    let kept = found(&unpacked("voter.disk.txt"));
    expect_that!(kept.incarnation, eq(Incarnation(ballot(400, ME, 77))));
    let mut latest_incarnations = LatestIncarnations::default();
    latest_incarnations.record(second, Incarnation(ballot(500, second, 77)));
    latest_incarnations.record(third, Incarnation(ballot(70_000, third, 77)));
    expect_that!(kept.latest_incarnations, eq(&latest_incarnations));
    let bootstrap_candidate = BootstrapCandidate {
        nonce: 0x0123_4567_89ab_cdef,
        seeds: vec![ME, second, third],
    };
    expect_that!(kept.bootstrap_candidate, some(eq(&bootstrap_candidate)));
}

#[gtest]
fn a_recorded_candidate_is_read_with_its_number_and_seeds_and_votes_for_nobody() {
    let [second, third] = OTHERS;
    let kept = found(&unpacked("candidate.disk.txt"));
    let bootstrap_candidate = Some(BootstrapCandidate {
        nonce: CANDIDATE,
        seeds: vec![ME, second, third],
    });
    expect_that!(
        kept,
        eq(&PersistedState {
            bootstrap_candidate,
            ..PersistedState::default()
        })
    );
}

#[gtest]
fn a_recorded_disk_without_a_write_holds_nothing() {
    expect_that!(opened(&unpacked("empty.disk.txt")).1, none());
}

#[gtest]
fn a_recorded_disk_of_the_former_format_is_read_whole() {
    let kept = found(&unpacked("former.disk.txt"));
    expect_that!(
        lines(&kept.chosen),
        eq("0 1 \"\" \"[\\\"127.9.40.1\\\"]\"\n3 7 \"a\" \"{}\"\n4 128 \"b\" dropped\n")
    );
    let ballot = |counter| Ballot {
        counter,
        proposer: 7,
        start_nonce: 9,
    };
    expect_that!(kept.promised, eq(ballot(300)));
    let items = vec![service("c", 5, Some("{}"))];
    expect_that!(
        kept.accepted,
        eq(&AcceptedProposal {
            ballot: ballot(299),
            items
        })
    );
    expect_that!(kept.voting, eq(true));
    expect_that!(kept.incarnation, eq(Incarnation::default()));
    expect_that!(kept.latest_incarnations, eq(&LatestIncarnations::default()));
    expect_that!(kept.bootstrap_candidate, none());
}

#[gtest]
fn every_recorded_disk_is_written_on_and_opened_again() {
    for name in ["voter", "candidate", "empty", "former"] {
        expect_to_be_written_on(&unpacked(&format!("{name}.disk.txt")));
    }
}

#[gtest]
fn a_recorded_disk_belongs_to_its_machine_alone() {
    for name in ["voter", "candidate", "empty", "former"] {
        let folder = unpacked(&format!("{name}.disk.txt"));
        let other = Disk::open(folder.path(), OTHERS[0]).err();
        expect_that!(
            other,
            some(matches_pattern!(DiskError::Mismatch {
                mismatch: eq(&FolderMismatch::OtherMachine { own_ip: OTHERS[0] }),
                ..
            })),
            "{name}"
        );
    }
}

#[gtest]
fn a_recorded_disk_without_its_store_is_an_error_as_its_record_tells_of_writes() {
    for name in ["voter", "candidate"] {
        let folder = unpacked(&format!("{name}.disk.txt"));
        fs::remove_dir_all(folder.path().join("store")).expect("a folder");
        let lost = Disk::open(folder.path(), ME).err();
        expect_that!(
            lost,
            some(matches_pattern!(DiskError::DataLoss { .. })),
            "{name}"
        );
    }
}

#[gtest]
fn a_store_started_on_a_recorded_disk_tells_its_configuration_with_what_was_accepted_there() {
    let folder = unpacked("voter.disk.txt");
    let program = Program::start(folder.path());
    let told = run(program.configuration());
    expect_that!(told, contains_substring("{\"name\":\"open\","));
    expect_that!(told, eq(&text("voter.get.json")));
}

#[gtest]
fn a_store_started_on_a_recorded_disk_belongs_to_the_system_that_is_kept_there() {
    let folder = unpacked("voter.disk.txt");
    let program = Program::start(folder.path());
    expect_that!(run(program.system()), eq(0x0fed_cba9_8765_4321));
}

fn run<T>(test: impl std::future::Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime")
        .block_on(test)
}
