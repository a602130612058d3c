//! The entry of one instance in the table, and how a record is merged into it.

use crate::clock::Timestamp;
use crate::instance::{Instance, Status};
use crate::peers::InstanceRecord;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// A reported end of a warm-up that is later than the known one by no more than this counts as unchanged: reports of
/// the same warm-up differ by their delays.
const WARMUP_END_TOLERANCE_LATER: Duration = Duration::from_millis(50);
/// A reported end of a warm-up that is earlier than the known one by no more than this counts as unchanged.
const WARMUP_END_TOLERANCE_EARLIER: Duration = Duration::from_millis(250);

/// The state of one instance as the registry knows it.
#[derive(Clone, Debug)]
pub struct InstanceEntry {
    /// The instance with the status that the server reported; its `warmup_left` is unused.
    pub(super) instance: Instance,
    /// Whether the instance was evicted because no heartbeat followed the one with `instance.seq`.
    pub(super) expired: bool,
    /// The registry that receives the instance's heartbeats, or `None` if it is not known.
    pub owner: Option<Ipv4Addr>,
    /// When the server's warm-up ends.
    pub(super) warmup_ends_at: Timestamp,
    /// When the last heartbeat or record with a higher `seq` was received, or the owner was cleared, whichever is
    /// later.
    pub(crate) last_contact: Timestamp,
    /// Until this time no report makes `warmup_ends_at` earlier. Set when the evacuation of the zone ends, as reports
    /// may date from before that.
    pub(super) warmup_assumed_until: Timestamp,
    /// Whether a majority of the registries has the status that the server reported on disk.
    pub(crate) is_replicated: bool,
    /// When the instance was last removed, or first known if it was already removed then.
    pub(super) removed_at: Timestamp,
}

impl InstanceEntry {
    /// The entry of an instance that was not known.
    pub(super) fn new(now: Timestamp, record: InstanceRecord) -> InstanceEntry {
        InstanceEntry {
            expired: record.expired,
            owner: record.owner,
            warmup_ends_at: warmup_ends_at(now, &record),
            last_contact: now,
            warmup_assumed_until: Timestamp::ZERO,
            is_replicated: false,
            removed_at: now,
            instance: without_warmup(record.instance),
        }
    }

    /// The effective status: removed if the instance was evicted, else as reported.
    pub fn status(&self) -> Status {
        if self.expired {
            Status::Removed
        } else {
            self.instance.status
        }
    }

    /// The status that the server itself has reported, even if the instance has been evicted since.
    pub fn reported_status(&self) -> Status {
        self.instance.status
    }

    /// The sequence number of the last heartbeat that is known.
    pub(crate) fn seq(&self) -> u64 {
        self.instance.seq
    }

    /// The instance with its effective status, for proxies.
    pub fn instance(&self, now: Timestamp) -> Instance {
        Instance {
            status: self.status(),
            warmup_left: self.warmup_ends_at.duration_since(now),
            ..self.instance.clone()
        }
    }

    /// The record that is replicated to other registries.
    pub fn record(&self, now: Timestamp) -> InstanceRecord {
        let instance = Instance {
            warmup_left: self.warmup_ends_at.duration_since(now),
            ..self.instance.clone()
        };
        InstanceRecord {
            instance,
            expired: self.expired,
            owner: self.owner,
        }
    }

    /// The state of the instance that proxies depend on, except the warm-up: status, address and number of slots.
    pub(super) fn visible_state(&self) -> (Status, SocketAddr, u32) {
        (self.status(), self.instance.address, self.instance.slots)
    }

    /// Merges a record of the same instance, except for the reported status, which the caller sets. Returns whether the
    /// end of the warm-up has changed.
    pub(super) fn merge_record(&mut self, now: Timestamp, record: InstanceRecord) -> bool {
        let reported = warmup_ends_at(now, &record);
        let mut changed = false;
        if record.instance.seq > self.instance.seq {
            self.expired = record.expired;
            self.owner = record.owner.or(self.owner);
            self.last_contact = now;
            changed = self.update_warmup_end(now, reported);
            // A record without a service is of an instance whose exit was reported before anything else was known of
            // it; it must not overwrite the known description.
            if !record.instance.service.is_empty() {
                self.instance = without_warmup(record.instance);
            }
            return changed;
        }
        if record.instance.seq == self.instance.seq {
            self.expired |= record.expired;
            changed = self.update_warmup_end(now, reported.max(self.warmup_ends_at));
        }
        if self.instance.service.is_empty() {
            self.instance = Instance {
                seq: self.instance.seq,
                ..without_warmup(record.instance)
            };
        }
        changed
    }

    /// Sets the end of the warm-up to the reported one unless they differ by no more than the tolerances. Returns
    /// whether it was set.
    pub(super) fn update_warmup_end(&mut self, now: Timestamp, reported: Timestamp) -> bool {
        let reported = if now < self.warmup_assumed_until {
            reported.max(self.warmup_ends_at)
        } else {
            reported
        };
        let (reported, known) = (reported.max(now), self.warmup_ends_at.max(now));
        let differs = reported > known + WARMUP_END_TOLERANCE_LATER
            || known > reported + WARMUP_END_TOLERANCE_EARLIER;
        if differs {
            self.warmup_ends_at = reported;
        }
        differs
    }
}

/// When the warm-up ends of the instance of a record that is received now.
fn warmup_ends_at(now: Timestamp, record: &InstanceRecord) -> Timestamp {
    now + record.instance.warmup_left
}

fn without_warmup(instance: Instance) -> Instance {
    Instance {
        warmup_left: Duration::ZERO,
        ..instance
    }
}
