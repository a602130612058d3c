//! A log on a thread of its own, with group commit: records that arrive during one fsync share the next.

use crate::log::{Log, WriteError};
use crate::storage::Storage;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::Arc;
use std::thread::JoinHandle;

/// The maximum number of queued commands.
const MAX_QUEUED_COMMANDS: usize = 8192;
/// The maximum total size of the queued records, in bytes.
const MAX_QUEUED_BYTES: usize = 16 << 20;
/// The size in bytes from which on no further records are added to a group.
const MAX_GROUP_BYTES: usize = 1 << 20;

/// The caller's id of a record until it is durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// The queue is full, or its thread has ended; the command was not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueFull;

enum Command {
    Append {
        payload: Vec<u8>,
        ticket: Option<Ticket>,
    },
    Rotate,
    RemoveBefore(u64),
}

/// The outcome of queued commands.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// These records are durable.
    Durable(Vec<Ticket>),
    /// None of these records is durable, for this reason.
    Failed(Vec<Ticket>, WriteError),
    /// Records appended from now on go to this segment; or why the log was not rotated.
    Rotated(Result<u64, WriteError>),
}

/// Handle of the log's thread. When the handle is dropped, the thread writes all queued records and ends.
pub struct Service {
    commands: Option<SyncSender<Command>>,
    thread: Option<JoinHandle<()>>,
    queued_bytes: Arc<AtomicUsize>,
    bytes: Arc<AtomicU64>,
    synced_groups: Arc<AtomicU64>,
}

impl Service {
    /// Starts the thread, which calls `notify` for each event.
    ///
    /// # Errors
    ///
    /// If the operating system cannot start a thread.
    pub fn start<S: Storage + Send + 'static>(
        log: Log<S>,
        notify: impl Fn(LogEvent) + Send + 'static,
    ) -> std::io::Result<Service> {
        let (commands, receiver) = sync_channel(MAX_QUEUED_COMMANDS);
        let queued_bytes = Arc::new(AtomicUsize::new(0));
        let bytes = Arc::new(AtomicU64::new(log.bytes()));
        let synced_groups = Arc::new(AtomicU64::new(0));
        let worker = Worker {
            log,
            receiver,
            queued_bytes: queued_bytes.clone(),
            bytes: bytes.clone(),
            synced_groups: synced_groups.clone(),
        };
        let thread = std::thread::Builder::new()
            .name("emberpin-wal".into())
            .spawn(move || worker.run(&notify))?;
        Ok(Service {
            commands: Some(commands),
            thread: Some(thread),
            queued_bytes,
            bytes,
            synced_groups,
        })
    }

    /// Queues a record. With a ticket, [`LogEvent::Durable`] or [`LogEvent::Failed`] follows; without one, the record
    /// is written with the next group, and becomes durable with the next record that has a ticket.
    ///
    /// # Errors
    ///
    /// If the queue is full.
    pub fn append(&self, payload: Vec<u8>, ticket: Option<Ticket>) -> Result<(), QueueFull> {
        let size = payload.len();
        if self.queued_bytes.fetch_add(size, Ordering::Relaxed) + size > MAX_QUEUED_BYTES {
            self.queued_bytes.fetch_sub(size, Ordering::Relaxed);
            return Err(QueueFull);
        }
        self.send(Command::Append { payload, ticket })
            .inspect_err(|_| {
                self.queued_bytes.fetch_sub(size, Ordering::Relaxed);
            })
    }

    /// Queues a rotation to a new segment; [`LogEvent::Rotated`] follows.
    ///
    /// # Errors
    ///
    /// If the queue is full.
    pub fn rotate(&self) -> Result<(), QueueFull> {
        self.send(Command::Rotate)
    }

    /// Queues the removal of the segments before this one, once all records appended earlier are durable.
    ///
    /// # Errors
    ///
    /// If the queue is full.
    pub fn remove_segments_before(&self, before: u64) -> Result<(), QueueFull> {
        self.send(Command::RemoveBefore(before))
    }

    fn send(&self, command: Command) -> Result<(), QueueFull> {
        let Some(commands) = &self.commands else {
            return Err(QueueFull);
        };
        commands.try_send(command).map_err(|problem| match problem {
            TrySendError::Full(_) | TrySendError::Disconnected(_) => QueueFull,
        })
    }

    /// Total length of the segments, in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Number of groups synced so far, failed ones included.
    pub fn groups(&self) -> u64 {
        self.synced_groups.load(Ordering::Relaxed)
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.commands = None;
        if let Some(thread) = self.thread.take() {
            // The result of a thread that panicked is of no use here.
            _ = thread.join();
        }
    }
}

struct Worker<S> {
    log: Log<S>,
    receiver: Receiver<Command>,
    queued_bytes: Arc<AtomicUsize>,
    bytes: Arc<AtomicU64>,
    synced_groups: Arc<AtomicU64>,
}

impl<S: Storage> Worker<S> {
    fn run(mut self, notify: &dyn Fn(LogEvent)) {
        let mut next = None;
        while let Some(command) = next.take().or_else(|| self.receiver.recv().ok()) {
            match command {
                Command::Append { payload, ticket } => next = self.write(payload, ticket, notify),
                Command::Rotate => notify(LogEvent::Rotated(self.log.rotate())),
                // Segments that cannot be removed now are removed by the next such command.
                Command::RemoveBefore(before) => _ = self.log.remove_segments_before(before),
            }
            self.bytes.store(self.log.bytes(), Ordering::Relaxed);
        }
        // Makes the last records without a ticket durable.
        _ = self.log.write(&[] as &[Vec<u8>], true);
    }

    /// Writes the queued records as one group; returns the first command that is not a record.
    fn write(
        &mut self,
        payload: Vec<u8>,
        ticket: Option<Ticket>,
        notify: &dyn Fn(LogEvent),
    ) -> Option<Command> {
        let mut size = payload.len();
        let (mut payloads, mut tickets) = (vec![payload], Vec::from_iter(ticket));
        let mut other = None;
        while size < MAX_GROUP_BYTES {
            match self.receiver.try_recv() {
                Ok(Command::Append { payload, ticket }) => {
                    size += payload.len();
                    payloads.push(payload);
                    tickets.extend(ticket);
                }
                Ok(command) => {
                    other = Some(command);
                    break;
                }
                Err(_) => break,
            }
        }
        let written = self.log.write(&payloads, !tickets.is_empty());
        self.queued_bytes.fetch_sub(size, Ordering::Relaxed);
        if !tickets.is_empty() {
            self.synced_groups.fetch_add(1, Ordering::Relaxed);
            notify(match written {
                Ok(()) => LogEvent::Durable(tickets),
                Err(problem) => LogEvent::Failed(tickets, problem),
            });
        }
        other
    }
}
