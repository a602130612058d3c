//! The table of servers' instances, and how reports about one instance merge: registries that have received the same
//! reports agree, in whatever order they received them.
//!
//! The status that a server reports only advances (up, draining, removed), and so does its `seq`. An eviction is not
//! reported by the server: it sets a flag for the `seq` of the last heartbeat. A heartbeat with a higher `seq` clears
//! the flag, whereas an instance whose server has reported its exit stays removed.

mod entry;

pub use entry::InstanceEntry;

use crate::clock::Timestamp;
use crate::ids::Digest;
use crate::instance::{Instance, Status};
use crate::peers::InstanceRecord;
use crate::rendezvous;
use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::Bound;
use std::time::Duration;

/// How long a removed instance is remembered, so that a heartbeat that arrives late does not revive it.
const TOMBSTONE_RETENTION: Duration = Duration::from_millis(600_000);
/// The maximum number of removed instances that are remembered; beyond it, the oldest are dropped.
const MAX_TOMBSTONES: usize = 10_000;
/// How long after its removal an instance is included in the table that a new peer gets. No heartbeat is delayed by
/// more than that.
const TOMBSTONE_REPLICATION: Duration = Duration::from_millis(60_000);

/// The changes that merging a report has made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MergeOutcome {
    /// Whether the instance was not known before.
    pub is_new: bool,
    /// Whether the state of the instance that is sent to proxies has changed.
    pub visibly_changed: bool,
    /// Whether another registry than before receives the instance's heartbeats.
    pub owner_changed: bool,
    /// Whether the report is the first of this drain or exit of the server.
    pub shutdown_reported: bool,
}

/// The record of a removal, by which the instance is deleted from the table some time later.
#[derive(Clone, Debug)]
struct Tombstone {
    removed_at: Timestamp,
    instance_id: String,
}

/// All known instances, by id.
#[derive(Clone, Debug, Default)]
pub struct InstanceTable {
    entries: BTreeMap<String, InstanceEntry>,
    /// The removals, the oldest first.
    tombstones: VecDeque<Tombstone>,
    /// Whether a report may move the status back; see [`crate::guards::Guards::monotonic_status`].
    pub(crate) accepts_status_regression: bool,
}

impl InstanceTable {
    /// The entry of an instance.
    pub fn get(&self, instance_id: &str) -> Option<&InstanceEntry> {
        self.entries.get(instance_id)
    }

    /// All entries in the order of their ids, including those of removed instances.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &InstanceEntry)> {
        self.entries.iter()
    }

    /// The entries from the bound `from` on, in the order of their ids.
    pub fn range_from(&self, from: Bound<&str>) -> impl Iterator<Item = (&String, &InstanceEntry)> {
        self.entries.range::<str, _>((from, Bound::Unbounded))
    }

    /// The instance as it is sent to proxies. If the table has no entry of it, a removed instance is returned.
    pub fn instance(&self, now: Timestamp, instance_id: &str) -> Instance {
        self.entries.get(instance_id).map_or_else(
            || removed_instance(instance_id),
            |entry| entry.instance(now),
        )
    }

    /// The records that a peer gets when it connects: all but those of instances that were removed more than a minute
    /// ago.
    pub fn records_for_new_peer(&self, now: Timestamp) -> Vec<InstanceRecord> {
        let is_included = |entry: &&InstanceEntry| {
            entry.status() != Status::Removed
                || now.duration_since(entry.removed_at) < TOMBSTONE_REPLICATION
        };
        self.entries
            .values()
            .filter(is_included)
            .map(|entry| entry.record(now))
            .collect()
    }

    /// The instances whose servers have reported a drain or exit, even if they were evicted since.
    fn shutdowns(&self) -> impl Iterator<Item = &InstanceEntry> {
        self.entries
            .values()
            .filter(|entry| entry.reported_status() > Status::Up)
    }

    /// The number of instances whose servers have reported a drain or exit.
    pub(crate) fn shutdown_count(&self) -> usize {
        self.shutdowns().count()
    }

    /// The records of all instances whose servers have reported a drain or exit.
    pub(crate) fn shutdown_records(&self, now: Timestamp) -> Vec<InstanceRecord> {
        self.shutdowns().map(|entry| entry.record(now)).collect()
    }

    /// The entries of instances that are not removed and whose heartbeats the registry `owner` receives.
    pub fn owned_by(&self, owner: Ipv4Addr) -> impl Iterator<Item = (&String, &InstanceEntry)> {
        self.entries.iter().filter(move |(_, entry)| {
            entry.owner == Some(owner) && entry.status() != Status::Removed
        })
    }

    /// A digest of the instances that a registry owns. Two tables that agree on the ids and status of these instances
    /// have equal digests.
    pub fn digest(&self, owner: Ipv4Addr) -> Digest {
        let combined = self
            .owned_by(owner)
            .map(|(id, entry)| rendezvous::hash(&[id.as_bytes(), &[entry.status() as u8]]))
            .fold(0, |combined, hash| combined ^ hash);
        Digest(combined)
    }

    /// Merges a record of an instance, which comes from a server's heartbeat (`owner` is this registry then), from
    /// another registry, or from a proxy.
    pub fn merge(&mut self, now: Timestamp, record: InstanceRecord) -> MergeOutcome {
        let Some(entry) = self.entries.get_mut(&record.instance.id) else {
            return self.insert(now, record);
        };
        let (visible_before, owner_before) = (entry.visible_state(), entry.owner);
        let status = if self.accepts_status_regression {
            record.instance.status
        } else {
            entry.instance.status.max(record.instance.status)
        };
        let shutdown_reported = status > entry.instance.status;
        entry.is_replicated &= !shutdown_reported;
        let warmup_changed = entry.merge_record(now, record);
        entry.instance.status = status;
        if visible_before.0 != Status::Removed && entry.status() == Status::Removed {
            entry.removed_at = now;
            self.tombstones.push_back(Tombstone {
                removed_at: now,
                instance_id: entry.instance.id.clone(),
            });
        }
        MergeOutcome {
            is_new: false,
            visibly_changed: warmup_changed || entry.visible_state() != visible_before,
            owner_changed: entry.owner != owner_before,
            shutdown_reported,
        }
    }

    /// Adds an instance that was not known.
    fn insert(&mut self, now: Timestamp, record: InstanceRecord) -> MergeOutcome {
        let entry = InstanceEntry::new(now, record);
        let outcome = MergeOutcome {
            is_new: true,
            visibly_changed: true,
            owner_changed: entry.owner.is_some(),
            shutdown_reported: entry.reported_status() > Status::Up,
        };
        let instance_id = entry.instance.id.clone();
        if entry.status() == Status::Removed {
            self.tombstones.push_back(Tombstone {
                removed_at: now,
                instance_id: instance_id.clone(),
            });
        }
        self.entries.insert(instance_id, entry);
        outcome
    }

    /// Records a server's report of its exit. The server need not have drained before, and its instance may be unknown.
    pub fn record_exit(&mut self, now: Timestamp, instance_id: &str) -> MergeOutcome {
        let known = match self.entries.get(instance_id) {
            Some(entry) => entry.record(now),
            None => InstanceRecord {
                instance: removed_instance(instance_id),
                expired: false,
                owner: None,
            },
        };
        let record = InstanceRecord {
            instance: Instance {
                status: Status::Removed,
                ..known.instance
            },
            expired: false,
            owner: known.owner,
        };
        self.merge(now, record)
    }

    /// Records that a majority of the registries has the status that a server reported, unless the status has advanced
    /// since.
    pub fn mark_replicated(&mut self, instance_id: &str, status: Status) {
        if let Some(entry) = self.entries.get_mut(instance_id) {
            if entry.instance.status == status {
                entry.is_replicated = true;
            }
        }
    }

    /// Clears the owner of an instance that its owner no longer knows. The instance's eviction timeout starts anew.
    pub fn clear_owner(&mut self, now: Timestamp, instance_id: &str) {
        if let Some(entry) = self.entries.get_mut(instance_id) {
            entry.owner = None;
            entry.last_contact = now;
        }
    }

    /// Evicts an instance whose heartbeats have stopped.
    pub fn evict(&mut self, now: Timestamp, instance_id: &str) {
        let Some(entry) = self.entries.get_mut(instance_id) else {
            return;
        };
        if entry.status() != Status::Removed {
            entry.expired = true;
            entry.removed_at = now;
            self.tombstones.push_back(Tombstone {
                removed_at: now,
                instance_id: instance_id.to_string(),
            });
        }
    }

    /// Evicts all other instances with the address of the new instance `instance_id`, even if their servers have not
    /// reported their exit. Returns the ids of the evicted instances.
    pub fn evict_displaced(&mut self, now: Timestamp, instance_id: &str) -> Vec<String> {
        let Some(address) = self
            .entries
            .get(instance_id)
            .map(|entry| entry.instance.address)
        else {
            return Vec::new();
        };
        let displaced: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.instance.address == address)
            .filter(|(id, entry)| *id != instance_id && entry.status() != Status::Removed)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &displaced {
            self.evict(now, id);
        }
        displaced
    }

    /// Restarts the warm-up of the servers of a zone whose evacuation has ended, as far as `is_affected` holds for
    /// them. Each warms up for the time that `warmup` returns for its service. Until `assumed_until` no report shortens
    /// the warm-up, as the report may date from before the end of the evacuation. Returns the ids of the instances
    /// whose end of the warm-up has changed.
    pub fn restart_warmup(
        &mut self,
        now: Timestamp,
        zone: &str,
        assumed_until: Timestamp,
        is_affected: impl Fn(&str, &InstanceEntry) -> bool,
        warmup: impl Fn(&str) -> Duration,
    ) -> Vec<String> {
        let mut changed = Vec::new();
        for (id, entry) in &mut self.entries {
            let is_in_zone = entry.instance.zone == zone && entry.status() != Status::Removed;
            if is_in_zone && is_affected(id, entry) {
                entry.warmup_assumed_until = assumed_until;
                let warmup_ends_at = now + warmup(&entry.instance.service);
                if entry.update_warmup_end(now, entry.warmup_ends_at.max(warmup_ends_at)) {
                    changed.push(id.clone());
                }
            }
        }
        changed
    }

    /// Deletes the entries of instances that were removed longer ago than `TOMBSTONE_RETENTION`, and the oldest removed
    /// ones beyond `MAX_TOMBSTONES`.
    pub fn prune_tombstones(&mut self, now: Timestamp) {
        while let Some(oldest) = self.tombstones.front() {
            let is_recent = now.duration_since(oldest.removed_at) < TOMBSTONE_RETENTION;
            if is_recent && self.tombstones.len() <= MAX_TOMBSTONES {
                break;
            }
            // An instance that was revived since is kept, and one that was also removed again has a later tombstone.
            let is_of_this_removal = |entry: &InstanceEntry| {
                entry.status() == Status::Removed && entry.removed_at == oldest.removed_at
            };
            if self
                .entries
                .get(&oldest.instance_id)
                .is_some_and(is_of_this_removal)
            {
                self.entries.remove(&oldest.instance_id);
            }
            self.tombstones.pop_front();
        }
    }
}

/// A removed instance of which only the id is known.
fn removed_instance(instance_id: &str) -> Instance {
    Instance {
        id: instance_id.to_string(),
        service: String::new(),
        address: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        zone: String::new(),
        slots: 0,
        status: Status::Removed,
        seq: 0,
        warmup_left: Duration::ZERO,
    }
}
