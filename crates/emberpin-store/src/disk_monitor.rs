//! Tracks the condition of a disk for the event loop.

use crate::disk::queue::{DiskQueue, QueueFull};
use crate::protocol::{DiskState, DiskStatus};
use emberpin_consensus::{WriteBatch, WriteToken};
use std::time::Instant;

/// Percentage of the disk's byte limit from which changes are rejected: items chosen by other stores, and compaction,
/// still need disk space.
const DISK_NEARLY_FULL_PERCENT: u64 = 80;

/// Reasons for rejecting changes, sent to callers in response bodies.
pub const DISK_FULL_REASON: &str = "the disk is full";
pub const DISK_STALLED_REASON: &str = "the disk does not answer";
const DISK_NEARLY_FULL_REASON: &str = "the disk is nearly full";

/// The queue of a disk, with the disk's limit and known failures.
pub struct DiskMonitor {
    pub queue: DiskQueue,
    /// Limit from the settings, in bytes; 0 for no limit.
    limit_bytes: u64,
    /// Whether a write failed and the disk has not been reopened since.
    has_failed: bool,
    /// Whether a batch did not fit into the queue, which the replica treats as a failure of the disk.
    has_overflowed: bool,
}

impl DiskMonitor {
    /// Monitors a disk that was just opened.
    pub fn new(queue: DiskQueue, limit_bytes: u64) -> DiskMonitor {
        DiskMonitor {
            queue,
            limit_bytes,
            has_failed: false,
            has_overflowed: false,
        }
    }

    /// Submits a batch of writes. The token, if there is one, is reported once the batch is synced.
    ///
    /// # Errors
    ///
    /// [`QueueFull`]: the disk counts as stalled until [`DiskMonitor::take_drained_overflow`] returns `true`.
    pub fn submit(
        &mut self,
        writes: Vec<WriteBatch>,
        sync_token: Option<WriteToken>,
    ) -> Result<(), QueueFull> {
        let submitted = self.queue.submit(Instant::now(), writes, sync_token);
        self.has_overflowed |= submitted.is_err();
        submitted
    }

    /// Records that a write or sync failed. The queued batches are dropped, which ends an overflow.
    pub fn on_failed(&mut self) {
        self.queue.on_disk_failed();
        self.has_failed = true;
        self.has_overflowed = false;
    }

    /// Records that the disk was reopened.
    pub fn on_reopened(&mut self) {
        self.has_failed = false;
    }

    /// Returns `true` once for each overflow, as soon as the queue is empty again.
    pub fn take_drained_overflow(&mut self) -> bool {
        let is_drained = self.has_overflowed && self.queue.is_idle();
        if is_drained {
            self.has_overflowed = false;
        }
        is_drained
    }

    /// Returns which writes the disk accepts. `replica_rejects` says that the replica itself rejects changes until its
    /// complete state is synced again.
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

    /// Returns the status for subscribers, with a state that [`DiskMonitor::state`] returned.
    pub fn status(&self, state: DiskState) -> DiskStatus {
        DiskStatus {
            state,
            used_bytes: self.queue.used_bytes(),
            limit_bytes: self.limit_bytes,
        }
    }

    fn is_nearly_full(&self) -> bool {
        let threshold = self.limit_bytes / 100 * DISK_NEARLY_FULL_PERCENT;
        threshold > 0 && self.queue.used_bytes() >= threshold
    }
}

/// Returns the reason for rejecting changes while the disk is in this state; `None` if they are accepted.
pub fn rejection_reason(state: DiskState) -> Option<&'static str> {
    match state {
        DiskState::Writable => None,
        DiskState::NearlyFull => Some(DISK_NEARLY_FULL_REASON),
        DiskState::Full => Some(DISK_FULL_REASON),
        DiskState::Stalled => Some(DISK_STALLED_REASON),
    }
}
