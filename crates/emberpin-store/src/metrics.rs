//! The store's metrics.

use crate::hosted_replica::ReplicaKind;
use crate::protocol::{DiskState, DiskStatus};
use emberpin_consensus::{CoordinationReply, PossibleEffect, Replica, WriteToken};
use emberpin_coordination::Outcome;
use emberpin_runtime::metrics::MetricSet;
use prometheus::{Histogram, IntCounterVec, IntGauge, IntGaugeVec};
use std::collections::BTreeMap;
use std::time::Instant;

/// Maximum number of unsynced writes that are timed. Writes beyond it are not timed.
const MAX_TIMED_SYNCS: usize = 256;

/// The metrics of one store.
pub struct StoreMetrics {
    calls: IntCounterVec,
    operations: IntCounterVec,
    voters: IntGauge,
    is_voter: IntGauge,
    up_to_date: IntGauge,
    disk_states: IntGaugeVec,
    disk_used: IntGauge,
    disk_limit: IntGauge,
    items: IntGauge,
    configuration_bytes: IntGauge,
    rejected_peers: IntGauge,
}

/// Measures the times from submission to sync of one replica's writes.
pub struct SyncMetrics {
    sync_time: Histogram,
    /// Submission times of the unsynced writes.
    submitted_at_by_token: BTreeMap<WriteToken, Instant>,
}

impl StoreMetrics {
    /// Registers the store's metrics in a set.
    pub fn new(set: &MetricSet) -> StoreMetrics {
        StoreMetrics {
            calls: set.counters(
                "calls_total",
                "Calls, by the status of the answer",
                &["status"],
            ),
            operations: set.counters(
                "register_operations_total",
                "Operations on registers, by kind and result",
                &["operation", "result"],
            ),
            voters: set.gauge("voters", "Voters of the newest roster"),
            is_voter: set.gauge("is_voter", "1 while this store is on the roster"),
            up_to_date: set.gauge(
                "up_to_date",
                "1 while everything acknowledged is known here",
            ),
            disk_states: set.gauges("disk_state", "1 for the state of the disk", &["state"]),
            disk_used: set.gauge("disk_used_bytes", "Bytes that the files take"),
            disk_limit: set.gauge(
                "disk_limit_bytes",
                "Bytes that the files may take; 0 for no limit",
            ),
            items: set.gauge(
                "items",
                "Items of the configuration, with histories and tombstones",
            ),
            configuration_bytes: set.gauge(
                "configuration_bytes",
                "Size of the configuration; calls that enlarge it beyond 6291456 get 507",
            ),
            rejected_peers: set.gauge(
                "rejected_peers",
                "Peers of another version or system, since the start",
            ),
        }
    }

    /// Counts the response to a call by its HTTP status.
    pub fn count_call(&self, status: u16) {
        self.calls.with_label_values(&[&status.to_string()]).inc();
    }

    /// Counts the reply to an operation on registers.
    pub fn count_operation(&self, operation: &'static str, reply: &CoordinationReply) {
        let result = match reply {
            CoordinationReply::Done(outcome) => outcome_name(outcome),
            CoordinationReply::NotLeader { .. } => "not_leader",
            CoordinationReply::Undecided {
                effect: PossibleEffect::None,
            } => "rejected",
            CoordinationReply::Undecided {
                effect: PossibleEffect::Unknown,
            } => "undecided",
        };
        self.operations
            .with_label_values(&[operation, result])
            .inc();
    }

    /// Updates the gauges.
    pub fn set_gauges(&self, replica: &Replica, up_to_date: bool, disk: DiskStatus, rejected: u64) {
        self.voters.set(replica.voters().len() as i64);
        self.is_voter.set(i64::from(replica.is_voter()));
        self.up_to_date.set(i64::from(up_to_date));
        for state in DiskState::ALL {
            let is_current = i64::from(state == disk.state);
            self.disk_states
                .with_label_values(&[state.as_str()])
                .set(is_current);
        }
        self.disk_used.set(disk.used_bytes as i64);
        self.disk_limit.set(disk.limit_bytes as i64);
        self.items.set(replica.state().item_count() as i64);
        self.configuration_bytes
            .set(replica.state().encoded_len() as i64);
        self.rejected_peers.set(rejected as i64);
    }
}

impl SyncMetrics {
    /// Registers the sync times of a replica of this kind in a set.
    pub fn new(set: &MetricSet, kind: ReplicaKind) -> SyncMetrics {
        let (name, help) = match kind {
            ReplicaKind::Configuration => (
                "sync_seconds",
                "Time from the submission of a write to its sync",
            ),
            ReplicaKind::Registers => (
                "register_sync_seconds",
                "Time from the submission of a write of registers to its sync",
            ),
        };
        SyncMetrics {
            sync_time: set.latencies(name, help),
            submitted_at_by_token: BTreeMap::new(),
        }
    }

    /// Records that a write that needs a sync was submitted.
    pub fn on_submitted(&mut self, token: WriteToken) {
        if self.submitted_at_by_token.len() < MAX_TIMED_SYNCS {
            self.submitted_at_by_token.insert(token, Instant::now());
        }
    }

    /// Observes the sync times of all writes up to and including this one.
    pub fn on_synced(&mut self, token: WriteToken) {
        let unsynced = self.submitted_at_by_token.split_off(&token.next());
        for submitted_at in
            std::mem::replace(&mut self.submitted_at_by_token, unsynced).into_values()
        {
            self.sync_time.observe(submitted_at.elapsed().as_secs_f64());
        }
    }

    /// Discards all unsynced writes, which a failed disk will not sync.
    pub fn on_disk_failed(&mut self) {
        self.submitted_at_by_token.clear();
    }
}

/// Returns the outcome's name in metrics.
fn outcome_name(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::LockGranted { .. } => "granted",
        Outcome::LockRenewed => "renewed",
        Outcome::LockReleased => "finished",
        Outcome::LockDenied => "denied",
        Outcome::Number { .. } => "number",
        Outcome::CellWritten { .. } => "written",
        Outcome::CellChanged { .. } => "changed",
        Outcome::Cell { .. } => "cell",
        Outcome::NoCell => "no_cell",
        Outcome::Events { .. } => "events",
        Outcome::EventsDropped => "dropped",
        Outcome::OutOfSpace => "out_of_space",
        Outcome::Locks { .. } => "locks",
    }
}
