//! The shutdown log: the drains and exits that are on this registry's disk.
//!
//! Registries lose their tables when all of them restart at once. What servers send again with their next heartbeat
//! needs no disk, but a server that has reported its drain or exit may never report it again, and a proxy that was not
//! told of it still lists the server as up. So a shutdown counts as recorded by a registry only once it is synced to
//! that registry's disk, from which the next process restores it.
//!
//! At most one write is in progress. Shutdowns that are reported meanwhile share the next one.

use super::servers::AddressConflict;
use super::{Action, Registry};
use crate::clock::Timestamp;
use crate::ids::WriteNumber;
use crate::peers::{Ack, InstanceRecord};
use std::collections::{BTreeSet, VecDeque};
use std::net::Ipv4Addr;

/// The minimum number of appended records before the log is replaced by the shutdowns that are still remembered.
const MIN_APPENDED_BEFORE_REPLACEMENT: usize = 1_024;
/// The maximum number of acknowledgements to peers that wait for a sync. Beyond it, the oldest is dropped; its sender
/// does without this registry, or reports the shutdown again.
const MAX_WAITING_ACKS: usize = 1_024;

/// How a write changes the shutdown log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteMode {
    /// The records are added.
    Append,
    /// The records replace the whole content of the log. Only once they are synced may the earlier content be dropped.
    Replace,
}

/// Whether the log accepts writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LogState {
    /// The shutdowns of the last process have not been restored yet.
    Unread,
    /// They have been restored, but the log has not been opened for writing.
    Closed,
    /// The log is open, and its content is unknown or partly obsolete: the next write replaces it.
    ReplacementDue,
    /// The log is open, and contains all shutdowns except the unwritten ones and those in the write in progress.
    Open,
}

/// An acknowledgement to a peer that must not be sent before a write is synced.
#[derive(Clone, Debug)]
struct WaitingAck {
    peer: Ipv4Addr,
    ack: Ack,
    write: WriteNumber,
}

/// The progress of the writes to the shutdown log.
#[derive(Clone, Debug)]
pub(super) struct ShutdownLog {
    state: LogState,
    /// The instances whose shutdown is not part of any write yet.
    unwritten: BTreeSet<String>,
    last_write: WriteNumber,
    /// The last write that is synced, with all earlier ones.
    synced: WriteNumber,
    /// The number of records in the write in progress; `None` if there is none.
    in_progress: Option<usize>,
    /// The number of records that were appended since the last replacement.
    appended: usize,
    waiting_acks: VecDeque<WaitingAck>,
}

impl Default for ShutdownLog {
    fn default() -> ShutdownLog {
        ShutdownLog {
            state: LogState::Unread,
            unwritten: BTreeSet::new(),
            last_write: WriteNumber(0),
            synced: WriteNumber(0),
            in_progress: None,
            appended: 0,
            waiting_acks: VecDeque::new(),
        }
    }
}

impl ShutdownLog {
    /// Has the next write include the shutdown of an instance.
    pub(super) fn add(&mut self, instance_id: &str) {
        self.unwritten.insert(instance_id.to_string());
    }

    /// The write by which all shutdowns that are known now are on the disk.
    pub(super) fn covering_write(&self) -> WriteNumber {
        if self.unwritten.is_empty() {
            self.last_write
        } else {
            self.last_write.next()
        }
    }

    pub(super) fn is_synced(&self, write: WriteNumber) -> bool {
        self.synced >= write
    }

    /// The number of shutdowns that were reported to this process and are not synced.
    pub(super) fn unsynced_count(&self) -> usize {
        self.unwritten.len() + self.in_progress.unwrap_or_default()
    }

    /// Whether the shutdowns of the last process have been restored.
    pub(super) fn is_restored(&self) -> bool {
        self.state != LogState::Unread
    }

    /// Whether a write is due and none is in progress.
    fn is_write_due(&self) -> bool {
        match self.state {
            LogState::Unread | LogState::Closed => false,
            LogState::ReplacementDue => true,
            LogState::Open => !self.unwritten.is_empty() && self.in_progress.is_none(),
        }
    }

    /// The mode of the write that is due. `remembered` is the number of shutdowns in the table of instances.
    fn write_mode(&self, remembered: usize) -> WriteMode {
        let limit = MIN_APPENDED_BEFORE_REPLACEMENT.max(2 * remembered);
        let is_full = self.appended + self.unwritten.len() > limit;
        if is_full || self.state == LogState::ReplacementDue {
            WriteMode::Replace
        } else {
            WriteMode::Append
        }
    }

    /// Records that a write of all unwritten shutdowns begins. Returns its number and the ids of these instances.
    fn begin_write(&mut self, mode: WriteMode) -> (WriteNumber, BTreeSet<String>) {
        let ids = std::mem::take(&mut self.unwritten);
        self.last_write = self.last_write.next();
        self.in_progress = Some(ids.len());
        self.state = LogState::Open;
        self.appended = match mode {
            WriteMode::Append => self.appended + ids.len(),
            WriteMode::Replace => 0,
        };
        (self.last_write, ids)
    }
}

impl Registry {
    /// Merges the shutdowns in the log, which the last process on this machine had recorded, or this one had before the
    /// log was opened again.
    pub(super) fn on_shutdowns_restored(
        &mut self,
        now: Timestamp,
        records: Vec<InstanceRecord>,
        actions: &mut Vec<Action>,
    ) {
        let mut ids = Vec::new();
        for record in records {
            let id = record.instance.id.clone();
            // The owner may have changed since.
            let record = InstanceRecord {
                owner: None,
                ..record
            };
            let outcome = self.instances.merge(now, record);
            self.on_merged(now, &id, outcome, AddressConflict::Ignore);
            if outcome.shutdown_reported {
                ids.push(id);
            }
        }
        self.replicate(now, &ids, actions);
        if !self.shutdown_log.is_restored() {
            self.shutdown_log.state = LogState::Closed;
        }
    }

    /// Notes that the log has been opened, or opened again after a failure. A write that was in progress may be lost,
    /// so the whole log is replaced.
    pub(super) fn on_shutdown_log_opened(&mut self) {
        self.shutdown_log.state = LogState::ReplacementDue;
        self.shutdown_log.in_progress = None;
    }

    pub(super) fn on_shutdowns_synced(&mut self, write: WriteNumber, actions: &mut Vec<Action>) {
        let log = &mut self.shutdown_log;
        log.synced = log.synced.max(write);
        if write == log.last_write {
            log.in_progress = None;
        }
        while let Some(waiting) = log.waiting_acks.front() {
            if waiting.write > log.synced {
                break;
            }
            let (peer, ack) = (waiting.peer, waiting.ack);
            log.waiting_acks.pop_front();
            actions.push(Action::AcknowledgePeer { peer, ack });
        }
    }

    /// Acknowledges a message of a peer once all shutdowns that are known now are synced.
    pub(super) fn acknowledge_once_synced(
        &mut self,
        peer: Ipv4Addr,
        ack: Ack,
        actions: &mut Vec<Action>,
    ) {
        let write = self.shutdown_log.covering_write();
        if self.shutdown_log.is_synced(write) || !self.guards.durable_shutdowns {
            actions.push(Action::AcknowledgePeer { peer, ack });
            return;
        }
        let waiting = &mut self.shutdown_log.waiting_acks;
        if waiting.len() == MAX_WAITING_ACKS {
            waiting.pop_front();
        }
        waiting.push_back(WaitingAck { peer, ack, write });
    }

    /// Begins the write that is due, if any. Called after every event.
    pub(super) fn write_shutdowns(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if !self.shutdown_log.is_write_due() || !self.guards.durable_shutdowns {
            return;
        }
        let remembered = self.instances.shutdown_count();
        let mode = self.shutdown_log.write_mode(remembered);
        let (write, ids) = self.shutdown_log.begin_write(mode);
        let records = match mode {
            WriteMode::Replace => self.instances.shutdown_records(now),
            WriteMode::Append => ids
                .iter()
                .filter_map(|id| self.instances.get(id))
                .map(|entry| entry.record(now))
                .collect(),
        };
        actions.push(Action::WriteShutdowns {
            write,
            mode,
            records,
        });
    }
}
