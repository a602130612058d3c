//! What a registry knows of one instance, and how a record of it merges.

use crate::clock::Timestamp;
use crate::instance::{Instance, Status};
use crate::peers::InstanceRecord;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Ends of a cold time that differ by no more than these come from one report that was delayed: a reported end may be
/// later than the known one by the first, and earlier by the second.
const COLD_END_TOLERANCE_LATER: Duration = Duration::from_millis(50);
const COLD_END_TOLERANCE_EARLIER: Duration = Duration::from_millis(250);

/// What the registry knows of one instance.
#[derive(Clone, Debug)]
pub struct InstanceEntry {
    /// The instance with the status that the server reported; its `cold_ms` is unused.
    pub(super) instance: Instance,
    /// Evicted, as no heartbeat has followed the one with `instance.seq`.
    pub(super) expired: bool,
    /// The registry that receives the instance's heartbeats, if it is known.
    pub owner: Option<Ipv4Addr>,
    /// When the server is expected to have warmed up.
    pub(super) cold_until: Timestamp,
    /// When the last heartbeat, or a record with a higher `seq`, was received, or the owner was cleared.
    pub(crate) last_contact: Timestamp,
    /// The zone's evacuation has just ended: until then, no report makes `cold_until` earlier, as it may be from before.
    pub(super) assumed_cold_until: Timestamp,
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
            cold_until: cold_until(now, &record),
            last_contact: now,
            assumed_cold_until: Timestamp::ZERO,
            is_replicated: false,
            removed_at: now,
            instance: without_cold_time(record.instance),
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
            cold_ms: self.cold_ms(now),
            ..self.instance.clone()
        }
    }

    /// The record that is replicated to other registries.
    pub fn record(&self, now: Timestamp) -> InstanceRecord {
        let instance = Instance {
            cold_ms: self.cold_ms(now),
            ..self.instance.clone()
        };
        InstanceRecord {
            instance,
            expired: self.expired,
            owner: self.owner,
        }
    }

    fn cold_ms(&self, now: Timestamp) -> u32 {
        let left = self.cold_until.duration_since(now).as_millis();
        u32::try_from(left).unwrap_or(u32::MAX)
    }

    /// What proxies see of the instance, its cold time aside.
    pub(super) fn visible_state(&self) -> (Status, SocketAddr, u32) {
        (self.status(), self.instance.address, self.instance.slots)
    }

    /// Merges a record of the same instance; whether the end of its cold time has changed. The status is left to the
    /// caller.
    pub(super) fn merge_record(&mut self, now: Timestamp, record: InstanceRecord) -> bool {
        let cold_until = cold_until(now, &record);
        let mut changed = false;
        if record.instance.seq > self.instance.seq {
            self.expired = record.expired;
            self.owner = record.owner.or(self.owner);
            self.last_contact = now;
            changed = self.update_cold_until(now, cold_until);
            // A record without a description, of an instance that left before it was known, takes nothing away.
            if !record.instance.service.is_empty() {
                self.instance = without_cold_time(record.instance);
            }
            return changed;
        }
        if record.instance.seq == self.instance.seq {
            self.expired |= record.expired;
            changed = self.update_cold_until(now, cold_until.max(self.cold_until));
        }
        if self.instance.service.is_empty() {
            self.instance = Instance {
                seq: self.instance.seq,
                ..without_cold_time(record.instance)
            };
        }
        changed
    }

    /// Takes a reported end of the cold time unless it is the known one with some delay; whether it differs.
    pub(super) fn update_cold_until(&mut self, now: Timestamp, reported: Timestamp) -> bool {
        let reported = if now < self.assumed_cold_until {
            reported.max(self.cold_until)
        } else {
            reported
        };
        let (reported, known) = (reported.max(now), self.cold_until.max(now));
        let differs = reported > known + COLD_END_TOLERANCE_LATER
            || known > reported + COLD_END_TOLERANCE_EARLIER;
        if differs {
            self.cold_until = reported;
        }
        differs
    }
}

/// When the instance of a record that is received now will have warmed up.
fn cold_until(now: Timestamp, record: &InstanceRecord) -> Timestamp {
    now + Duration::from_millis(u64::from(record.instance.cold_ms))
}

fn without_cold_time(instance: Instance) -> Instance {
    Instance {
        cold_ms: 0,
        ..instance
    }
}
