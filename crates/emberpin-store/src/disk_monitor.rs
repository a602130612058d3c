//! The condition of the disk, as the event loop sees it.

use crate::disk::queue::{DiskQueue, QueueFull};
use crate::protocol::{DiskState, DiskStatus};
use emberpin_consensus::{WriteBatch, WriteToken};
use std::time::Instant;

/// Percentage of the disk's limit from which changes are rejected: what other stores have chosen, and compaction, still
/// need room.
const DISK_FULL_PERCENT: u64 = 80;

/// Why a store rejects changes, as callers read it.
pub const DISK_FULL_REASON: &str = "the disk is full";
pub const DISK_STALLED_REASON: &str = "the disk does not answer";
const DISK_NEARLY_FULL_REASON: &str = "the disk is nearly full";

/// The queue of the disk, with what is known of its failures.
pub struct DiskMonitor {
    pub queue: DiskQueue,
    /// Limit from the settings in bytes; 0 for none.
    limit_bytes: u64,
    /// A write failed, and the disk was not reopened yet.
    has_failed: bool,
    /// A batch did not fit into the queue, which counts as a failure of the disk for the replica.
    has_overflowed: bool,
}

impl DiskMonitor {
    /// Watches a disk that works.
    pub fn new(queue: DiskQueue, limit_bytes: u64) -> DiskMonitor {
        DiskMonitor {
            queue,
            limit_bytes,
            has_failed: false,
            has_overflowed: false,
        }
    }

    /// Submits writes.
    ///
    /// # Errors
    ///
    /// [`QueueFull`]: the disk counts as stalled until [`DiskMonitor::take_drained_overflow`].
    pub fn submit(
        &mut self,
        writes: Vec<WriteBatch>,
        sync_token: Option<WriteToken>,
    ) -> Result<(), QueueFull> {
        let submitted = self.queue.submit(Instant::now(), writes, sync_token);
        self.has_overflowed |= submitted.is_err();
        submitted
    }

    /// Notes that a write or sync failed. It ends an overflow: the queue is dropped.
    pub fn on_failed(&mut self) {
        self.queue.on_disk_failed();
        self.has_failed = true;
        self.has_overflowed = false;
    }

    /// Notes that the disk was reopened.
    pub fn on_reopened(&mut self) {
        self.has_failed = false;
    }

    /// Whether the queue overflowed and is empty now; once for each overflow.
    pub fn take_drained_overflow(&mut self) -> bool {
        let is_drained = self.has_overflowed && self.queue.is_idle();
        if is_drained {
            self.has_overflowed = false;
        }
        is_drained
    }

    /// Which writes the disk accepts. `replica_rejects`: whether the replica itself does not write, until its complete
    /// state is synced again.
    pub fn state(&mut self, replica_rejects: bool) -> DiskState {
        if self.has_overflowed || self.queue.is_stalled(Instant::now()) {
            DiskState::Stalled
        } else if self.has_failed || replica_rejects {
            DiskState::Full
        } else if self.is_nearly_full() {
            DiskState::NearlyFull
        } else {
            DiskState::Writable
        }
    }

    /// The status for subscribers, with a state that was determined before.
    pub fn status(&self, state: DiskState) -> DiskStatus {
        DiskStatus {
            state,
            used_bytes: self.queue.used_bytes(),
            limit_bytes: self.limit_bytes,
        }
    }

    fn is_nearly_full(&self) -> bool {
        let threshold = self.limit_bytes / 100 * DISK_FULL_PERCENT;
        threshold > 0 && self.queue.used_bytes() >= threshold
    }
}

/// Why a change is rejected while the disk is in this state; `None` if it is accepted.
pub fn rejection_reason(state: DiskState) -> Option<&'static str> {
    match state {
        DiskState::Writable => None,
        DiskState::NearlyFull => Some(DISK_NEARLY_FULL_REASON),
        DiskState::Full => Some(DISK_FULL_REASON),
        DiskState::Stalled => Some(DISK_STALLED_REASON),
    }
}
