//! A machine of the cluster.

use emberpin_config::{Item, ItemKey, Version};
use emberpin_consensus::{Event, PersistedState, Replica, WriteBatch};
use std::collections::{BTreeMap, VecDeque};

/// A machine: its disk, and its replica while the process runs.
#[derive(Default)]
pub struct Node {
    pub replica: Option<Replica>,
    /// The number of starts of its process, which identifies the process that runs now.
    pub(super) process: u64,
    pub(super) disk: Vec<WriteBatch>,
    /// How many writes of the disk are synced.
    pub(super) synced: usize,
    /// No sync of its disk ends before this.
    pub stalled_until: u64,
    pub(super) disk_full: bool,
    /// The number of failures of its disk. A sync that began before the last failure is not reported.
    pub(super) disk_failures: u64,
    /// Whether its disk was lost, and no synced write has recorded since then that the replica has caught up.
    pub unrecovered_disk_loss: bool,
    /// Whether it is gone for good.
    pub decommissioned: bool,
    /// Whether the operator has removed it from the list of machines, so that no settings name it as a seed.
    pub delisted: bool,
    /// When its next tick is scheduled; 0 if none is.
    pub(super) next_tick_at: u64,
    /// Whether the host waits for a sync; see [`Cluster::host_blocks_on_sync`].
    pub(super) is_syncing: bool,
    /// Events that wait for the end of that sync.
    pub(super) waiting_events: VecDeque<Event>,
    /// Whether its process is frozen: it handles nothing until it wakes. Its earlier writes are still synced.
    pub is_frozen: bool,
    /// Events that arrived while it was frozen.
    pub(super) frozen_events: VecDeque<Event>,
    /// The newest versions of which this process has notified its followers.
    pub(super) learned_versions: BTreeMap<ItemKey, Version>,
}

impl Node {
    /// The state that a replica reads from the disk at its start; `None` if nothing was written.
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
