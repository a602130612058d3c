//! One log on a thread of its own, with group commit: what comes while one fsync runs shares the next.

use crate::log::{Log, WriteProblem};
use crate::storage::Storage;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::Arc;
use std::thread::JoinHandle;

/// Commands that wait for the thread, at most.
const QUEUE: usize = 8192;
/// Bytes of records that wait, at most.
const QUEUED_BYTES: usize = 16 << 20;
/// Bytes that share one write, about at most.
const GROUP_BYTES: usize = 1 << 20;

/// What the writer knows a record by until it counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// The queue is full: nothing was taken. Of all that wait, it is the newest that gives way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Busy;

enum Command {
    Append {
        payload: Vec<u8>,
        ticket: Option<Ticket>,
    },
    Rotate,
    Retire(u64),
}

/// What the thread tells.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// These records count.
    Durable(Vec<Ticket>),
    /// None of these counts, and why.
    Unwritten(Vec<Ticket>, WriteProblem),
    /// What is appended from now on goes to this segment, or why it does not.
    Rotated(Result<u64, WriteProblem>),
}

/// The writer's end. The thread ends, with all that was taken written, when this goes.
pub struct Service {
    commands: Option<SyncSender<Command>>,
    thread: Option<JoinHandle<()>>,
    queued: Arc<AtomicUsize>,
    bytes: Arc<AtomicU64>,
    syncs: Arc<AtomicU64>,
}

impl Service {
    /// Starts the thread; it calls `tell` with what it has to tell.
    ///
    /// # Errors
    ///
    /// The operating system gives no thread.
    pub fn start<S: Storage + Send + 'static>(
        log: Log<S>,
        tell: impl Fn(Note) + Send + 'static,
    ) -> std::io::Result<Service> {
        let (commands, received) = sync_channel(QUEUE);
        let queued = Arc::new(AtomicUsize::new(0));
        let bytes = Arc::new(AtomicU64::new(log.bytes()));
        let syncs = Arc::new(AtomicU64::new(0));
        let worker = Worker {
            log,
            received,
            queued: queued.clone(),
            bytes: bytes.clone(),
            syncs: syncs.clone(),
        };
        let thread = std::thread::Builder::new()
            .name("emberpin-wal".into())
            .spawn(move || worker.run(&tell))?;
        Ok(Service {
            commands: Some(commands),
            thread: Some(thread),
            queued,
            bytes,
            syncs,
        })
    }

    /// Appends a record. With a ticket it is told when the record counts, or that it does not; without one it is
    /// written soon, and counts with the next that has one.
    ///
    /// # Errors
    ///
    /// Too much waits already.
    pub fn append(&self, payload: Vec<u8>, ticket: Option<Ticket>) -> Result<(), Busy> {
        let size = payload.len();
        if self.queued.fetch_add(size, Ordering::Relaxed) + size > QUEUED_BYTES {
            self.queued.fetch_sub(size, Ordering::Relaxed);
            return Err(Busy);
        }
        self.send(Command::Append { payload, ticket })
            .inspect_err(|_| {
                self.queued.fetch_sub(size, Ordering::Relaxed);
            })
    }

    /// Turns to a new segment; [`Note::Rotated`] tells which.
    ///
    /// # Errors
    ///
    /// Too much waits already.
    pub fn rotate(&self) -> Result<(), Busy> {
        self.send(Command::Rotate)
    }

    /// Lets go of the segments before this one, once all that was appended before counts.
    ///
    /// # Errors
    ///
    /// Too much waits already.
    pub fn retire(&self, before: u64) -> Result<(), Busy> {
        self.send(Command::Retire(before))
    }

    fn send(&self, command: Command) -> Result<(), Busy> {
        let Some(commands) = &self.commands else {
            return Err(Busy);
        };
        commands.try_send(command).map_err(|problem| match problem {
            TrySendError::Full(_) | TrySendError::Disconnected(_) => Busy,
        })
    }

    /// Bytes of all segments.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Groups that were made to count, so far.
    pub fn groups(&self) -> u64 {
        self.syncs.load(Ordering::Relaxed)
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.commands = None;
        if let Some(thread) = self.thread.take() {
            // One that panicked has nothing left to say.
            _ = thread.join();
        }
    }
}

struct Worker<S> {
    log: Log<S>,
    received: Receiver<Command>,
    queued: Arc<AtomicUsize>,
    bytes: Arc<AtomicU64>,
    syncs: Arc<AtomicU64>,
}

impl<S: Storage> Worker<S> {
    fn run(mut self, tell: &dyn Fn(Note)) {
        let mut held = None;
        while let Some(command) = held.take().or_else(|| self.received.recv().ok()) {
            match command {
                Command::Append { payload, ticket } => held = self.group(payload, ticket, tell),
                Command::Rotate => tell(Note::Rotated(self.log.rotate())),
                // What is left goes the next time.
                Command::Retire(before) => _ = self.log.retire(before),
            }
            self.bytes.store(self.log.bytes(), Ordering::Relaxed);
        }
        // The last records without a ticket.
        _ = self.log.write(&[] as &[Vec<u8>], true);
    }

    /// Writes what waits as one; returns the first command that is no record.
    fn group(
        &mut self,
        payload: Vec<u8>,
        ticket: Option<Ticket>,
        tell: &dyn Fn(Note),
    ) -> Option<Command> {
        let mut size = payload.len();
        let (mut payloads, mut tickets) = (vec![payload], Vec::from_iter(ticket));
        let mut other = None;
        while size < GROUP_BYTES {
            match self.received.try_recv() {
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
        self.queued.fetch_sub(size, Ordering::Relaxed);
        if !tickets.is_empty() {
            self.syncs.fetch_add(1, Ordering::Relaxed);
            tell(match written {
                Ok(()) => Note::Durable(tickets),
                Err(problem) => Note::Unwritten(tickets, problem),
            });
        }
        other
    }
}
