//! Core machines: their start, their disks, and the dispatch of their stores' and registries' events.

use super::Simulation;
use crate::machine::CoreId;
use crate::state::core_node::CoreProcess;
use crate::state::event::Event;
use crate::state::process::ProcessIncarnation;
use crate::state::HEARTBEAT_INTERVAL;
use emberpin_config::Item;
use emberpin_consensus::{Replica, ReplicaOptions, Rounds, WriteBatch, WriteToken};
use emberpin_membership::clock::Timestamp;
use emberpin_membership::ids::Incarnation;
use emberpin_membership::ids::WriteNumber;
use emberpin_membership::peers::InstanceRecord;
use emberpin_membership::registry::{self, Registry, RegistryConfig, WriteMode};
use std::time::Duration;

/// The delay between a store and the registry on its machine.
pub(super) const LOCAL_DELAY: Duration = Duration::from_millis(1);
/// The maximum size of a snapshot's parts: small, so that each contains only one or two items.
const SNAPSHOT_PART_BYTES: usize = 200;

impl Simulation {
    pub(super) fn start_core(&mut self, core: CoreId, bootstrap: bool) {
        let (now, guards, tolerated_failures) = (self.now, self.guards, self.tolerance);
        let (random_seed, registry_incarnation) = (self.random.rand_u64(), self.random.rand_u64());
        let seeds = self.configured_seeds();
        let seeds: Vec<_> = seeds.into_iter().map(CoreId::address).collect();
        let Some(node) = self.cores.get_mut(&core) else {
            return;
        };
        if node.running.is_some() || node.process.is_removed {
            return;
        }
        node.process.start(now);
        let mut actions = Vec::new();
        let store = Replica::with_guards(
            emberpin_consensus::Timestamp::ZERO,
            ReplicaOptions {
                address: core.address(),
                seeds: seeds.clone(),
                bootstrap,
                tolerated_failures,
                rounds: Rounds::Leaderless,
                random_seed,
            },
            node.disk.recover(),
            guards.consensus,
            &mut actions,
        );
        let registry = Registry::with_guards(
            Timestamp::ZERO,
            RegistryConfig {
                address: core.address(),
                zone: node.process.zone.clone(),
                incarnation: Incarnation(registry_incarnation),
                heartbeat_interval: HEARTBEAT_INTERVAL,
                seeds,
                snapshot_part_bytes: SNAPSHOT_PART_BYTES,
            },
            guards.membership,
        );
        let items: Vec<Item> = store.state().follower_items().cloned().collect();
        node.running = Some(CoreProcess::new(store, registry));
        let incarnation = node.process.incarnation;
        let shutdowns = node.disk.recover_shutdowns();
        self.apply_store_actions(core, actions);
        self.handle_registry_event(core, registry::Event::ShutdownsRestored(shutdowns));
        self.handle_registry_event(core, registry::Event::ShutdownLogOpened);
        let at = now + LOCAL_DELAY;
        self.schedule(
            at,
            Event::ItemsChosen {
                core,
                incarnation,
                items,
            },
        );
        self.schedule(at, Event::VotersReport { core, incarnation });
    }

    /// The running state of a core machine, if it still is the given incarnation.
    pub(super) fn running_incarnation(
        &mut self,
        core: CoreId,
        incarnation: ProcessIncarnation,
    ) -> Option<&mut CoreProcess> {
        let node = self.cores.get_mut(&core)?;
        if node.process.incarnation != incarnation {
            return None;
        }
        node.running.as_mut()
    }

    pub(super) fn on_core_event(&mut self, event: Event) {
        match event {
            Event::StoreMessage { from, to, message } => self.on_store_message(from, to, message),
            Event::DiskSynced {
                core,
                incarnation,
                token,
                writes,
            } => self.on_disk_synced(core, incarnation, token, writes),
            Event::ShutdownsSynced {
                core,
                incarnation,
                write,
                writes,
            } => self.on_shutdowns_synced(core, incarnation, write, writes),
            Event::StoreTimer { core, incarnation } => self.on_store_timer(core, incarnation),
            Event::RegistryTimer { core, incarnation } => self.on_registry_timer(core, incarnation),
            Event::ItemsChosen {
                core,
                incarnation,
                items,
            } => self.on_items_chosen(core, incarnation, items),
            Event::StoreAge {
                core,
                incarnation,
                nonce,
                age,
            } => self.on_store_age(core, incarnation, nonce, age),
            Event::VotersReport { core, incarnation } => self.on_voters_report(core, incarnation),
            Event::PeerDial {
                core,
                incarnation,
                peer,
            } => self.dial_peer(core, incarnation, peer),
            _ => {}
        }
    }

    /// Writes to a disk, and schedules the end of the sync if the write requires one.
    pub(super) fn write_to_disk(&mut self, core: CoreId, token: WriteToken, write: WriteBatch) {
        let range = self.sync_time.clone();
        let sync_time = self.draw_time(&range);
        let now = self.now;
        let Some(node) = self.cores.get_mut(&core) else {
            return;
        };
        let is_stalled = node.disk.stalled_until > now;
        let at = node.disk.stalled_until.max(now) + sync_time;
        let is_synced = write.sync;
        node.disk.write(write);
        if !is_synced {
            return;
        }
        self.counters.fault_effects.delayed_syncs += u64::from(is_stalled);
        let event = Event::DiskSynced {
            core,
            incarnation: node.process.incarnation,
            token,
            writes: node.disk.write_count(),
        };
        self.schedule(at, event);
    }

    fn on_disk_synced(
        &mut self,
        core: CoreId,
        incarnation: ProcessIncarnation,
        token: WriteToken,
        writes: usize,
    ) {
        if self.running_incarnation(core, incarnation).is_none() {
            return;
        }
        if let Some(node) = self.cores.get_mut(&core) {
            node.disk.mark_synced(writes);
        }
        self.handle_store_event(core, emberpin_consensus::Event::Persisted { token });
    }

    /// Writes to the shutdown log of a registry, and schedules the end of the sync.
    pub(super) fn write_shutdowns(
        &mut self,
        core: CoreId,
        write: WriteNumber,
        mode: WriteMode,
        records: Vec<InstanceRecord>,
    ) {
        let (now, sync_time) = (self.now, self.sync_time.start);
        let Some(node) = self.cores.get_mut(&core) else {
            return;
        };
        let writes = node.disk.write_shutdowns(mode, records);
        let at = node.disk.stalled_until.max(now) + sync_time;
        let event = Event::ShutdownsSynced {
            core,
            incarnation: node.process.incarnation,
            write,
            writes,
        };
        self.schedule(at, event);
    }

    fn on_shutdowns_synced(
        &mut self,
        core: CoreId,
        incarnation: ProcessIncarnation,
        write: WriteNumber,
        writes: usize,
    ) {
        if self.running_incarnation(core, incarnation).is_none() {
            return;
        }
        if let Some(node) = self.cores.get_mut(&core) {
            node.disk.mark_shutdowns_synced(writes);
        }
        self.handle_registry_event(core, registry::Event::ShutdownsSynced { write });
    }
}
