//! Writes with known contents, and disks that contain them.

use emberpin_config::{Item, ItemKey, ItemKind, Version};
use emberpin_consensus::{
    AcceptedProposal, Ballot, BootstrapCandidate, BootstrapNonce, Incarnation, LatestIncarnations,
    PersistedState, WriteBatch,
};
use emberpin_store::disk::{Disk, DiskError};
use std::fs;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};

/// The address of the machine that the disks belong to.
pub const OWNER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);

/// Returns a service whose body has this length.
pub fn item(name: &str, version: u64, body_bytes: usize) -> Item {
    Item {
        key: ItemKey {
            kind: ItemKind::Service,
            name: name.into(),
        },
        version: Version(version),
        body: Some("x".repeat(body_bytes)),
    }
}

/// Returns a write that sets the items `a` and `b` and accepts a proposal with the item `c`. The ballots, versions,
/// incarnations and nonce depend on `counter`, so that they differ between writes. The items' bodies have this length.
pub fn write(counter: u64, body_bytes: usize) -> WriteBatch {
    let mut latest_incarnations = LatestIncarnations::default();
    latest_incarnations.record(OWNER, Incarnation(ballot(counter + 1)));
    WriteBatch {
        chosen: vec![
            item("a", counter, body_bytes),
            item("b", counter, body_bytes),
        ],
        removed: Vec::new(),
        promised: ballot(counter),
        accepted: Some(AcceptedProposal {
            ballot: ballot(counter),
            items: vec![item("c", counter, body_bytes)],
        }),
        voting: true,
        incarnation: Incarnation(ballot(counter)),
        latest_incarnations,
        bootstrap_candidate: Some(BootstrapCandidate {
            nonce: BootstrapNonce(counter),
            seeds: vec![OWNER],
        }),
        sync: true,
    }
}

fn ballot(counter: u64) -> Ballot {
    Ballot {
        counter,
        proposer: 7,
        start_nonce: 9,
    }
}

/// Returns the state of a disk whose last write is [`write`] with the same arguments.
pub fn state_after(counter: u64, body_bytes: usize) -> PersistedState {
    let WriteBatch {
        chosen,
        promised,
        accepted,
        voting,
        incarnation,
        latest_incarnations,
        bootstrap_candidate,
        ..
    } = write(counter, body_bytes);
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

/// Opens the disk, writes without syncs, and closes the disk.
pub fn write_unsynced(folder: &Path, writes: &[WriteBatch]) {
    let (mut disk, _) = Disk::open(folder, OWNER).expect("a disk");
    for write in writes {
        disk.write(write).expect("a write");
    }
}

/// Opens the disk, writes and syncs each write, and closes the disk.
pub fn write_synced(folder: &Path, writes: &[WriteBatch]) {
    let (mut disk, _) = Disk::open(folder, OWNER).expect("a disk");
    for write in writes {
        disk.write(write).expect("a write");
        disk.sync().expect("a sync");
    }
}

/// Opens the disk, returns its state, and closes it.
pub fn try_read(folder: &Path) -> Result<Option<PersistedState>, DiskError> {
    Disk::open(folder, OWNER).map(|(_, state)| state)
}

/// Like [`try_read`], for a disk that must open.
pub fn read(folder: &Path) -> Option<PersistedState> {
    try_read(folder).expect("a disk")
}

/// Returns the path of a disk's first journal.
pub fn journal_path(folder: &Path) -> PathBuf {
    folder.join("store/journals/0")
}

/// Returns the bytes of the first journal.
pub fn journal_bytes(folder: &Path) -> Vec<u8> {
    fs::read(journal_path(folder)).expect("a journal")
}

/// Returns the length of the first journal in bytes.
pub fn journal_length(folder: &Path) -> usize {
    journal_bytes(folder).len()
}

/// Replaces the first journal.
pub fn replace_journal(folder: &Path, bytes: &[u8]) {
    fs::write(journal_path(folder), bytes).expect("a journal");
}
