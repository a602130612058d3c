//! State that all registry sessions of this process share.

use super::replication::ReplicationProgress;
use crate::command::Command;
use emberpin_membership::candidates::RegistryCandidates;
use emberpin_membership::clock::Timestamp;
use emberpin_membership::ids::Incarnation;
use emberpin_runtime::identity::ProcessIdentity;
use emberpin_runtime::settings::Settings;
use std::cell::RefCell;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Shared by sessions on one thread; no borrow of a cell may last across an `await`.
pub(super) struct SharedState {
    pub(super) settings: RefCell<Settings>,
    pub(super) commands: mpsc::Sender<Command>,
    /// Drawn at the start of the process; registries distinguish a restarted proxy from the previous process by it.
    pub(super) incarnation: Incarnation,
    pub(super) process: ProcessIdentity,
    /// Origin of the clock for leases and candidates.
    started_at: Instant,
    pub(super) candidates: RefCell<RegistryCandidates>,
    /// Kept across sessions, so that a session with a known registry resumes where the last one with it ended.
    pub(super) progress: RefCell<ReplicationProgress>,
}

impl SharedState {
    pub(super) fn new(
        settings: Settings,
        commands: mpsc::Sender<Command>,
        incarnation: u64,
    ) -> SharedState {
        let process = ProcessIdentity::new(incarnation).with_versions(settings.protocol_versions);
        SharedState {
            settings: RefCell::new(settings),
            commands,
            incarnation: Incarnation(incarnation),
            process,
            started_at: Instant::now(),
            candidates: RefCell::default(),
            progress: RefCell::default(),
        }
    }

    /// The time since the start, as used for leases and candidates.
    pub(super) fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.started_at.elapsed()
    }
}
