//! A core machine: its disk and, while its process runs, a store and a registry.

use super::network::ConnectionId;
use super::process::Process;
use crate::machine::CoreId;
use emberpin_config::{ItemKey, Version};
use emberpin_consensus::{PersistedState, Replica, WriteBatch};
use emberpin_membership::peers::InstanceRecord;
use emberpin_membership::registry::{Registry, WriteMode};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The running state of a core machine.
pub(crate) struct CoreProcess {
    pub store: Replica,
    pub registry: Registry,
    /// The registries that this one sends messages to, with the connection; `None` until it is open.
    pub outgoing: BTreeMap<CoreId, Option<ConnectionId>>,
    /// The connections on which other registries send messages to this one.
    pub incoming: BTreeMap<CoreId, ConnectionId>,
    /// The connections of proxies' sessions.
    pub sessions: BTreeSet<ConnectionId>,
    /// When the store's timer fires; zero if none is scheduled.
    pub store_timer_at: Duration,
    /// When the registry's timer fires; zero if none is scheduled.
    pub registry_timer_at: Duration,
    /// The last version of each item that the store has reported as chosen.
    pub reported_versions: BTreeMap<ItemKey, Version>,
}

impl CoreProcess {
    pub fn new(store: Replica, registry: Registry) -> CoreProcess {
        CoreProcess {
            store,
            registry,
            outgoing: BTreeMap::new(),
            incoming: BTreeMap::new(),
            sessions: BTreeSet::new(),
            store_timer_at: Duration::ZERO,
            registry_timer_at: Duration::ZERO,
            reported_versions: BTreeMap::new(),
        }
    }
}

/// A write to the shutdown log of a registry.
#[derive(Debug)]
struct ShutdownWrite {
    mode: WriteMode,
    records: Vec<InstanceRecord>,
}

/// The disk of a core machine.
#[derive(Debug, Default)]
pub(crate) struct Disk {
    /// All writes since the disk was last empty.
    writes: Vec<WriteBatch>,
    /// The number of writes, from the first one on, that are synced and survive a power cut.
    synced: usize,
    /// All writes to the registry's shutdown log since the disk was last empty.
    shutdown_writes: Vec<ShutdownWrite>,
    /// The number of writes to the shutdown log, from the first one on, that are synced.
    synced_shutdown_writes: usize,
    /// The disk does not respond before this time.
    pub stalled_until: Duration,
}

impl Disk {
    pub fn write(&mut self, write: WriteBatch) {
        self.writes.push(write);
    }

    pub fn write_count(&self) -> usize {
        self.writes.len()
    }

    pub fn mark_synced(&mut self, writes: usize) {
        self.synced = self.synced.max(writes);
    }

    /// Adds a write to the shutdown log. Returns the number of writes to it.
    pub fn write_shutdowns(&mut self, mode: WriteMode, records: Vec<InstanceRecord>) -> usize {
        self.shutdown_writes.push(ShutdownWrite { mode, records });
        self.shutdown_writes.len()
    }

    pub fn mark_shutdowns_synced(&mut self, writes: usize) {
        self.synced_shutdown_writes = self.synced_shutdown_writes.max(writes);
    }

    /// The shutdowns that a registry restores from the disk when it starts.
    pub fn recover_shutdowns(&self) -> Vec<InstanceRecord> {
        let mut records = Vec::new();
        for write in &self.shutdown_writes {
            if write.mode == WriteMode::Replace {
                records.clear();
            }
            records.extend(write.records.iter().cloned());
        }
        records
    }

    /// Drops unsynced writes after a power cut. The random number `draw` determines how many of the first ones survive;
    /// without it, none do. A write that may be torn counts as lost. Returns the number of lost writes.
    pub fn lose_power(&mut self, draw: Option<u64>) -> u64 {
        let unsynced = (self.writes.len() - self.synced) as u64;
        let kept = draw.map_or(0, |draw| draw % (unsynced + 1)) as usize;
        self.writes.truncate(self.synced + kept);
        self.synced = self.writes.len();
        self.shutdown_writes.truncate(self.synced_shutdown_writes);
        unsynced - kept as u64
    }

    pub fn wipe(&mut self) {
        self.writes.clear();
        self.synced = 0;
        self.shutdown_writes.clear();
        self.synced_shutdown_writes = 0;
    }

    /// The state that a store recovers from the disk when it starts; `None` if the disk is empty.
    pub fn recover(&self) -> Option<PersistedState> {
        if self.writes.is_empty() {
            return None;
        }
        let mut state = PersistedState::default();
        for write in &self.writes {
            state.chosen.extend(write.chosen.iter().cloned());
            state
                .chosen
                .retain(|item| !write.removed.contains(&item.key));
            state.promised = write.promised;
            state.voting = write.voting;
            state.incarnation = write.incarnation;
            state.latest_incarnations = write.latest_incarnations.clone();
            state.bootstrap_candidate = write.bootstrap_candidate.clone();
            if let Some(accepted) = &write.accepted {
                state.accepted = accepted.clone();
            }
        }
        Some(state)
    }
}

/// A core machine.
pub(crate) struct CoreNode {
    pub process: Process,
    /// The running state; `None` while the process is stopped.
    pub running: Option<CoreProcess>,
    pub disk: Disk,
}

impl CoreNode {
    pub fn new(process: Process) -> CoreNode {
        CoreNode {
            process,
            running: None,
            disk: Disk::default(),
        }
    }
}
