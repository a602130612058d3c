//! Opens disks that the build of 2 December 2026 recorded in `fixtures/`: they must have all their data, and accept
//! further writes. The recordings are never replaced: a build that cannot open one of them would lose a store's data.
//!
//! Missing recordings (there are none at present) are created by
//! `EMBERPIN_RECORD_DISK=1 cargo test -p emberpin-store --test recorded_disks recordings`

mod common;
mod recordings;

use common::{run, StoreNode};
use emberpin_config::{Item, ItemKey, ItemKind, Version};
use emberpin_consensus::{
    AcceptedProposal, Ballot, BootstrapCandidate, BootstrapNonce, Incarnation, LatestIncarnations,
    PersistedState, WriteBatch,
};
use emberpin_runtime::system_id::SystemId;
use emberpin_store::disk::{DataLoss, Disk, DiskError, FolderMismatch, WriteNumber};
use googletest::prelude::*;
use recordings::{
    disk_file, fixture, fixture_text, item_lines, packed_folder, recorder, unpack, DISKS, OWNER,
    PEERS,
};
use std::fs;
use std::net::Ipv4Addr;
use tempfile::TempDir;

/// The random nonce of the recorded candidate.
const CANDIDATE_NONCE: u64 = 489_215_147_674_969_543;
/// The system that the recorded voter belongs to.
const VOTER_SYSTEM: u64 = 0x0fed_cba9_8765_4321;

fn open_disk(folder: &TempDir) -> (Disk, Option<PersistedState>) {
    Disk::open(folder.path(), OWNER).expect("a disk")
}

fn read_state(folder: &TempDir) -> PersistedState {
    open_disk(folder).1.expect("what was written")
}

/// Starts a store on a recorded disk, as the only voter.
fn start_on_recorded_disk(disk: &str) -> StoreNode {
    let folder = tempfile::tempdir().expect("a folder");
    let data_dir = folder.path().join("data");
    fs::create_dir(&data_dir).expect("a folder");
    packed_folder::unpack(&fixture_text(&disk_file(disk)), &data_dir);
    let mut node = StoreNode::new(OWNER, folder);
    node.start();
    node
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

/// Returns a write that sets one item and keeps the rest of the state.
fn next_write(state: &PersistedState, item: Item) -> WriteBatch {
    let PersistedState {
        promised,
        voting,
        incarnation,
        latest_incarnations,
        bootstrap_candidate,
        ..
    } = state.clone();
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

/// Checks that one more item can be written and synced, and that the disk then has it besides its previous state.
fn expect_writable(folder: &TempDir) {
    let before = {
        let (mut disk, state) = open_disk(folder);
        let state = state.unwrap_or_default();
        disk.write(&next_write(&state, service("~new", 1, Some("{}"))))
            .expect("a write");
        disk.sync().expect("a sync");
        state
    };
    let mut after = read_state(folder);
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
fn all_recordings_exist() {
    if std::env::var_os("EMBERPIN_RECORD_DISK").is_some() {
        recorder::record_missing();
        recorder::record_missing_configuration(|| {
            let node = start_on_recorded_disk("voter");
            run(node.get())
        });
    }
    for disk in DISKS {
        expect_that!(fixture(&disk_file(disk)).exists(), eq(true), "{disk}");
    }
}

#[gtest]
fn a_folder_that_is_unpacked_and_packed_again_has_the_same_text() {
    for disk in DISKS {
        let text = packed_folder::pack(unpack(disk).path());
        expect_that!(text == fixture_text(&disk_file(disk)), eq(true), "{disk}");
    }
}

#[gtest]
fn a_recorded_voter_has_every_item_in_its_version() {
    let state = read_state(&unpack("voter"));
    let (lines, expected) = (item_lines(&state.chosen), fixture_text("voter.items.txt"));
    expect_that!(lines.lines().count(), eq(expected.lines().count()));
    for (line, expected) in lines.lines().zip(expected.lines()) {
        expect_that!(line, eq(expected));
    }
}

#[gtest]
fn a_recorded_voter_has_its_promise_and_its_accepted_proposal() {
    let [second, third] = PEERS;
    let state = read_state(&unpack("voter"));
    expect_that!(state.promised, eq(ballot(900_001, third, 77)));
    let content =
        "{\"name\":\"open\",\"hcheck\":\"/h\",\"maxconn\":709,\"proto\":\"h1\",\"tls\":false,\
                   \"warmup\":\"3s\",\"warmup_per_s\":10.0,\"ver\":700}";
    let items = vec![service("open", 700, Some(content))];
    expect_that!(
        state.accepted,
        eq(&AcceptedProposal {
            ballot: ballot(900_000, second, 77),
            items
        })
    );
    expect_that!(state.voting, eq(true));
}

#[gtest]
fn a_recorded_voter_has_its_incarnation_and_those_of_its_peers() {
    let [second, third] = PEERS;
    let state = read_state(&unpack("voter"));
    expect_that!(state.incarnation, eq(Incarnation(ballot(400, OWNER, 77))));
    let mut latest_incarnations = LatestIncarnations::default();
    latest_incarnations.record(second, Incarnation(ballot(500, second, 77)));
    latest_incarnations.record(third, Incarnation(ballot(70_000, third, 77)));
    expect_that!(state.latest_incarnations, eq(&latest_incarnations));
    let bootstrap_candidate = BootstrapCandidate {
        nonce: BootstrapNonce(0x0123_4567_89ab_cdef),
        seeds: vec![OWNER, second, third],
    };
    expect_that!(state.bootstrap_candidate, some(eq(&bootstrap_candidate)));
}

#[gtest]
fn a_recorded_candidate_has_its_nonce_and_seeds_and_does_not_vote() {
    let [second, third] = PEERS;
    let state = read_state(&unpack("candidate"));
    let bootstrap_candidate = Some(BootstrapCandidate {
        nonce: BootstrapNonce(CANDIDATE_NONCE),
        seeds: vec![OWNER, second, third],
    });
    expect_that!(
        state,
        eq(&PersistedState {
            bootstrap_candidate,
            ..PersistedState::default()
        })
    );
}

#[gtest]
fn a_recorded_disk_without_a_write_has_no_state() {
    expect_that!(open_disk(&unpack("empty")).1, none());
}

#[gtest]
fn a_recorded_disk_of_the_previous_format_is_read_completely() {
    let state = read_state(&unpack("former"));
    expect_that!(
        item_lines(&state.chosen),
        eq("0 1 \"\" \"[\\\"127.9.40.1\\\"]\"\n3 7 \"a\" \"{}\"\n4 128 \"b\" dropped\n")
    );
    let ballot = |counter| Ballot {
        counter,
        proposer: 7,
        start_nonce: 9,
    };
    expect_that!(state.promised, eq(ballot(300)));
    let items = vec![service("c", 5, Some("{}"))];
    expect_that!(
        state.accepted,
        eq(&AcceptedProposal {
            ballot: ballot(299),
            items
        })
    );
    expect_that!(state.voting, eq(true));
    expect_that!(state.incarnation, eq(Incarnation::default()));
    expect_that!(
        state.latest_incarnations,
        eq(&LatestIncarnations::default())
    );
    expect_that!(state.bootstrap_candidate, none());
}

#[gtest]
fn every_recorded_disk_accepts_a_write_and_opens_again() {
    for name in DISKS {
        expect_writable(&unpack(name));
    }
}

#[gtest]
fn a_recorded_disk_is_rejected_by_another_machine() {
    for name in DISKS {
        let folder = unpack(name);
        let other = Disk::open(folder.path(), PEERS[0]).err();
        expect_that!(
            other,
            some(matches_pattern!(DiskError::Mismatch {
                mismatch: eq(&FolderMismatch::OtherMachine { own_ip: PEERS[0] }),
                ..
            })),
            "{name}"
        );
    }
}

#[gtest]
fn a_recorded_disk_without_its_keyspace_is_data_loss() {
    for name in ["voter", "candidate"] {
        let folder = unpack(name);
        fs::remove_dir_all(folder.path().join("store")).expect("a folder");
        let opened = Disk::open(folder.path(), OWNER).err();
        expect_that!(
            opened,
            some(matches_pattern!(DiskError::DataLoss {
                loss: matches_pattern!(DataLoss::Writes {
                    found: eq(&WriteNumber(0)),
                    ..
                }),
                ..
            })),
            "{name}"
        );
    }
}

#[gtest]
fn a_store_on_a_recorded_disk_serves_its_configuration_with_the_accepted_item() {
    let node = start_on_recorded_disk("voter");
    let configuration = run(node.get());
    expect_that!(configuration, contains_substring("{\"name\":\"open\","));
    expect_that!(configuration, eq(&fixture_text("voter.get.json")));
}

#[gtest]
fn a_store_on_a_recorded_disk_belongs_to_the_recorded_system() {
    let node = start_on_recorded_disk("voter");
    let preamble = run(node.try_preamble()).expect("a preamble");
    expect_that!(preamble.system, eq(SystemId::new(VOTER_SYSTEM)));
}
