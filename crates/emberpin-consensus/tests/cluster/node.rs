//! A machine of the cluster.

use emberpin_config::{Item, ItemKey, Version};
use emberpin_consensus::{Event, PersistedState, Replica, WriteBatch};
use std::collections::{BTreeMap, VecDeque};

/// A machine: its disk, and its replica while the process runs.
#[derive(Default)]
pub struct Node {
    pub replica: Option<Replica>,
    /// Counts the starts of its process.
    pub(super) process: u64,
    pub(super) disk: Vec<WriteBatch>,
    /// How many writes of the disk are synced.
    pub(super) synced: usize,
    /// No sync of its disk ends before this.
    pub stalled_until: u64,
    pub(super) disk_full: bool,
    /// Counts the failures of its disk: a sync that began before the last one is not reported.
    pub(super) disk_failures: u64,
    /// Its disk was lost, and does not say yet that the replica has caught up.
    pub disk_lost: bool,
    /// It never comes back.
    pub decommissioned: bool,
    /// The operator has taken it off the list of machines: no seeds name it.
    pub delisted: bool,
    /// When its next tick is scheduled; 0, if none is.
    pub(super) next_tick_at: u64,
    /// The host waits for a sync; see [`Cluster::host_blocks_on_sync`].
    pub(super) is_syncing: bool,
    /// Events that wait for the end of that sync.
    pub(super) waiting_events: VecDeque<Event>,
    /// Its process is frozen: it handles nothing until it wakes. What it wrote before is synced all the same.
    pub is_frozen: bool,
    /// Events that came meanwhile.
    pub(super) frozen_events: VecDeque<Event>,
    /// The versions that its followers were notified of by this process.
    pub(super) learned_versions: BTreeMap<ItemKey, Version>,
}

impl Node {
    /// What a replica reads from the disk at its start; `None`, if nothing is written.
    pub(super) fn persisted_state(&self) -> Option<PersistedState> {
        if self.disk.is_empty() {
            return None;
        }
        let mut state = PersistedState::default();
        let mut chosen: BTreeMap<ItemKey, Item> = BTreeMap::new();
        for write in &self.disk {
            for item in &write.chosen {
                chosen.insert(item.key.clone(), item.clone());
            }
            for key in &write.removed {
                chosen.remove(key);
            }
            state.promised = write.promised;
            state.voting = write.voting;
            state.incarnation = write.incarnation;
            state.latest_incarnations = write.latest_incarnations.clone();
            state.bootstrap_candidate = write.bootstrap_candidate.clone();
            if let Some(accepted) = &write.accepted {
                state.accepted = accepted.clone();
            }
        }
        state.chosen = chosen.into_values().collect();
        Some(state)
    }
}
