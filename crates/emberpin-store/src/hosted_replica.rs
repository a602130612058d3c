//! A replica with its clock and its disk, and the encoding of its messages to other stores.

use crate::disk::worker::DiskEvent;
use crate::disk::DiskError;
use crate::disk_monitor::{DiskMonitor, DISK_FULL_REASON, DISK_STALLED_REASON};
use crate::metrics::SyncMetrics;
use crate::peer_links::PeerLinks;
use crate::protocol::{oldest_version, DiskState, ToStore};
use crate::send_queue::Frame;
use emberpin_consensus::{Action, Event, Message, Replica, Timestamp, WriteBatch, WriteToken};
use emberpin_runtime::frames;
use emberpin_runtime::protocol_version::ProtocolVersion;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

/// The data that a replica replicates. A store has one replica of each kind, if its deployment has registers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaKind {
    /// The configuration.
    Configuration,
    /// The registers, which are the coordination state of applications.
    Registers,
}

impl ReplicaKind {
    /// Wraps a message to another store's replica of the same kind.
    fn wrap_message(self, from: Ipv4Addr, message: Message) -> ToStore {
        match self {
            ReplicaKind::Configuration => ToStore::Consensus { from, message },
            ReplicaKind::Registers => ToStore::RegisterConsensus { from, message },
        }
    }

    /// The name of the kind in log lines.
    fn as_str(self) -> &'static str {
        match self {
            ReplicaKind::Configuration => "configuration",
            ReplicaKind::Registers => "registers",
        }
    }
}

/// A replica with its clock and its disk.
pub struct HostedReplica {
    kind: ReplicaKind,
    address: Ipv4Addr,
    pub replica: Replica,
    pub disk: DiskMonitor,
    syncs: SyncMetrics,
    /// The origin of the replica's clock.
    started_at: Instant,
}

impl HostedReplica {
    /// Takes a replica that was just created at [`Timestamp::ZERO`], and starts its clock.
    pub fn new(
        kind: ReplicaKind,
        address: Ipv4Addr,
        replica: Replica,
        disk: DiskMonitor,
        syncs: SyncMetrics,
    ) -> HostedReplica {
        HostedReplica {
            kind,
            address,
            replica,
            disk,
            syncs,
            started_at: Instant::now(),
        }
    }

    /// Returns the current time of the replica's clock.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.started_at.elapsed()
    }

    /// Returns the time until the replica's next timer.
    pub fn time_until_due(&self) -> Duration {
        let due = Duration::from_millis(self.replica.next_tick_at().as_millis());
        due.saturating_sub(self.started_at.elapsed())
    }

    /// Passes an event to the replica, and appends the actions that it returns.
    pub fn handle(&mut self, event: Event, actions: &mut Vec<Action>) {
        let now = self.now();
        self.replica.handle(now, event, actions);
    }

    /// Sends messages, and submits all writes as one batch. If the disk's queue rejects the batch, informs the replica,
    /// and carries out the resulting actions. Returns the remaining actions: replies and notifications.
    pub fn carry_out(&mut self, actions: Vec<Action>, peers: &mut PeerLinks) -> Vec<Action> {
        let mut remaining = Vec::new();
        let mut pending = actions;
        while !pending.is_empty() {
            let (mut writes, mut sync_token) = (Vec::new(), None);
            for action in std::mem::take(&mut pending) {
                match action {
                    Action::Persist { token, write } => {
                        sync_token = write.sync.then_some(token).or(sync_token);
                        writes.push(write);
                    }
                    Action::Send { to, message } => self.send(to, message, peers),
                    other => remaining.push(other),
                }
            }
            if !self.submit(writes, sync_token) {
                let reason = DISK_STALLED_REASON.into();
                self.handle(Event::DiskFailed { reason }, &mut pending);
            }
        }
        remaining
    }

    /// Submits writes to the disk; `false` if its queue is full.
    fn submit(&mut self, writes: Vec<WriteBatch>, sync_token: Option<WriteToken>) -> bool {
        if writes.is_empty() {
            return true;
        }
        if let Some(token) = sync_token {
            self.syncs.on_submitted(token);
        }
        let submitted = self.disk.submit(writes, sync_token).is_ok();
        if !submitted {
            self.syncs.on_disk_failed();
        }
        submitted
    }

    fn send(&self, peer: Ipv4Addr, message: Message, peers: &mut PeerLinks) {
        let oldest_version = match self.kind {
            ReplicaKind::Configuration => oldest_version(&message),
            ReplicaKind::Registers => ProtocolVersion::V4,
        };
        match frames::encode(&self.kind.wrap_message(self.address, message)) {
            Ok(frame) => peers.send(peer, Frame::with_oldest_version(oldest_version, frame)),
            Err(error) => {
                log::warn!("message to another store cannot be encoded: peer={peer} error={error}");
            }
        }
    }

    /// Passes an event of the disk to the replica.
    ///
    /// # Errors
    ///
    /// [`DiskError`]: the disk was found damaged.
    pub fn handle_disk_event(
        &mut self,
        event: DiskEvent,
        actions: &mut Vec<Action>,
    ) -> Result<(), DiskError> {
        match event {
            DiskEvent::Synced { token } => {
                self.syncs.on_synced(token);
                self.handle(Event::Persisted { token }, actions);
            }
            DiskEvent::Failed(error) => {
                log::error!(
                    "disk failed, votes and changes are rejected until it is restored: replica={} error={error}",
                    self.kind.as_str()
                );
                self.disk.on_failed();
                self.syncs.on_disk_failed();
                let reason = DISK_FULL_REASON.into();
                self.handle(Event::DiskFailed { reason }, actions);
            }
            DiskEvent::Reopened => {
                self.disk.on_reopened();
                self.handle(Event::DiskRestored, actions);
            }
            DiskEvent::Damaged(error) => return Err(error),
            DiskEvent::Closed => {}
        }
        Ok(())
    }

    /// Restores the replica once the disk's queue, which had overflowed, is empty.
    pub fn restore_after_overflow(&mut self, actions: &mut Vec<Action>) {
        if self.disk.take_drained_overflow() {
            self.handle(Event::DiskRestored, actions);
        }
    }

    /// Returns which writes the disk accepts.
    pub fn disk_state(&mut self) -> DiskState {
        let replica_rejects = self.replica.disk_unavailable_reason().is_some();
        self.disk.state(replica_rejects)
    }
}
