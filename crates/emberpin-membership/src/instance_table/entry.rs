//! What a registry knows of one instance, and how a record of it merges.

use crate::clock::Timestamp;
use crate::instance::{Instance, Status};
use crate::peers::InstanceRecord;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// How much later than the known end of a warm-up a reported one may be and still count as the same: reports of one end
/// differ by their delays.
const WARM_AT_TOLERANCE_LATER: Duration = Duration::from_millis(50);
/// How much earlier it may be and still count as the same.
const WARM_AT_TOLERANCE_EARLIER: Duration = Duration::from_millis(250);

/// What the registry knows of one instance.
#[derive(Clone, Debug)]
pub struct InstanceEntry {
    /// The instance with the status that the server reported; its `warmup_left` is unused.
    pub(super) instance: Instance,
    /// Evicted, as no heartbeat has followed the one with `instance.seq`.
    pub(super) expired: bool,
    /// The registry that receives the instance's heartbeats, if it is known.
    pub owner: Option<Ipv4Addr>,
    /// When the server is expected to have warmed up.
    pub(super) warm_at: Timestamp,
    /// When the last heartbeat, or a record with a higher `seq`, was received, or the owner was cleared.
    pub(crate) last_contact: Timestamp,
    /// The zone's evacuation has just ended: until then, no report makes `warm_at` earlier, as it may be from before.
    pub(super) warmup_assumed_until: Timestamp,
    /// A majority of the registries has the status that the server reported.
    pub(crate) is_replicated: bool,
    /// When the instance was found to be removed.
    pub(super) removed_at: Timestamp,
}

impl InstanceEntry {
    /// The entry of an instance that was not known.
    pub(super) fn new(now: Timestamp, record: InstanceRecord) -> InstanceEntry {
        InstanceEntry {
            expired: record.expired,
            owner: record.owner,
            warm_at: warm_at(now, &record),
            last_contact: now,
            warmup_assumed_until: Timestamp::ZERO,
            is_replicated: false,
            removed_at: now,
            instance: without_warmup(record.instance),
        }
    }

    /// The effective status: removed if the instance has expired, else as reported.
    pub fn status(&self) -> Status {
        if self.expired {
            Status::Removed
        } else {
            self.instance.status
        }
    }

    /// The status that the server itself has reported, whether or not it has expired since.
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
            warmup_left: self.warm_at.duration_since(now),
            ..self.instance.clone()
        }
    }

    /// The record that is replicated to other registries.
    pub fn record(&self, now: Timestamp) -> InstanceRecord {
        let instance = Instance {
            warmup_left: self.warm_at.duration_since(now),
            ..self.instance.clone()
        };
        InstanceRecord {
            instance,
            expired: self.expired,
            owner: self.owner,
        }
    }

    /// What proxies see of the instance, its warm-up aside.
    pub(super) fn visible_state(&self) -> (Status, SocketAddr, u32) {
        (self.status(), self.instance.address, self.instance.slots)
    }

    /// Merges a record of the same instance; whether the end of its warm-up has changed. The status is left to the
    /// caller.
    pub(super) fn merge_record(&mut self, now: Timestamp, record: InstanceRecord) -> bool {
        let reported = warm_at(now, &record);
        let mut changed = false;
        if record.instance.seq > self.instance.seq {
            self.expired = record.expired;
            self.owner = record.owner.or(self.owner);
            self.last_contact = now;
            changed = self.update_warm_at(now, reported);
            // A record without a description, of an instance that left before it was known, takes nothing away.
            if !record.instance.service.is_empty() {
                self.instance = without_warmup(record.instance);
            }
            return changed;
        }
        if record.instance.seq == self.instance.seq {
            self.expired |= record.expired;
            changed = self.update_warm_at(now, reported.max(self.warm_at));
        }
        if self.instance.service.is_empty() {
            self.instance = Instance {
                seq: self.instance.seq,
                ..without_warmup(record.instance)
            };
        }
        changed
    }

    /// Takes a reported end of the warm-up unless it is the known one with some delay; whether it differs.
    pub(super) fn update_warm_at(&mut self, now: Timestamp, reported: Timestamp) -> bool {
        let reported = if now < self.warmup_assumed_until {
            reported.max(self.warm_at)
        } else {
            reported
        };
        let (reported, known) = (reported.max(now), self.warm_at.max(now));
        let differs = reported > known + WARM_AT_TOLERANCE_LATER
            || known > reported + WARM_AT_TOLERANCE_EARLIER;
        if differs {
            self.warm_at = reported;
        }
        differs
    }
}

/// When the instance of a record that is received now will have warmed up.
fn warm_at(now: Timestamp, record: &InstanceRecord) -> Timestamp {
    now + record.instance.warmup_left
}

fn without_warmup(instance: Instance) -> Instance {
    Instance {
        warmup_left: Duration::ZERO,
        ..instance
    }
}
