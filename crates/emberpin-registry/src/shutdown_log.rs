//! The shutdown log on this machine's disk: the drains and exits of servers that the registry has recorded, in a
//! write-ahead log ([`emberpin_wal`]).
//!
//! A thread of its own reads and writes the log, so that the event loop never waits for the disk. Whenever it has opened
//! the log, it passes the records in it to the event loop ([`Event::ShutdownsRestored`]), and then
//! [`Event::ShutdownLogOpened`]. After a failure it opens the log again, with an exponential backoff.

use crate::commands::CommandSender;
use emberpin_membership::ids::WriteNumber;
use emberpin_membership::peers::InstanceRecord;
use emberpin_membership::registry::{Event, WriteMode};
use emberpin_membership::timing::Backoff;
use emberpin_wal::{DataLoss, Files, Identity, Log, OpenError, Record, WriteError};
use std::fs::File;
use std::io;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender};
use std::time::{Duration, Instant};

/// Name of the log's folder in the machine's data folder.
const LOG_FOLDER: &str = "shutdowns";
/// The format of the records, which is the first byte of each. Records of another format are skipped.
const RECORD_FORMAT: u8 = 1;
/// The state machine begins a write only once the last one is synced or the log was opened again.
const MAX_QUEUED_WRITES: usize = 1;
/// The pauses between attempts to open the log.
const REOPEN_BACKOFF: Backoff = Backoff {
    initial: Duration::from_millis(100),
    max: Duration::from_secs(4),
};

/// If the log cannot be opened for this long after the start, the registry goes on without what it contains. Longer than
/// the process before, which may still hold the lock, takes to end.
const RESTORE_TIMEOUT: Duration = Duration::from_secs(2);

/// A write of [`emberpin_membership::registry::Action::WriteShutdowns`].
pub struct ShutdownWrite {
    /// Identifies the write in [`Event::ShutdownsSynced`].
    pub number: WriteNumber,
    /// Whether the records are added or replace the log's content.
    pub mode: WriteMode,
    /// The records to write.
    pub records: Vec<InstanceRecord>,
}

/// Why the log could not be opened or written.
#[derive(Debug, thiserror::Error)]
enum LogError {
    #[error("cannot use the folder {}: {source}", folder.display())]
    Folder { folder: PathBuf, source: io::Error },
    #[error("cannot draw a random number: {0}")]
    Random(#[source] getrandom::Error),
    #[error("cannot open the log: {0}")]
    Open(OpenError),
    #[error("cannot encode a record: {0}")]
    Encode(#[source] postcard::Error),
    #[error("cannot write to the log: {0}")]
    Write(WriteError),
}

/// The place where shutdowns are recorded.
pub enum ShutdownLog {
    /// On the disk of this machine, by a thread that receives the writes.
    OnDisk(SyncSender<ShutdownWrite>),
    /// Nowhere, as the machine has no disk: shutdowns are as durable as the memory of a majority.
    InMemory,
}

impl ShutdownLog {
    /// Starts the thread of the log in a data folder, or does without one if there is no data folder.
    ///
    /// # Errors
    ///
    /// The operating system cannot start a thread.
    pub fn start(
        data_folder: Option<&Path>,
        own_ip: Ipv4Addr,
        commands: CommandSender,
    ) -> io::Result<ShutdownLog> {
        let Some(data_folder) = data_folder else {
            return Ok(ShutdownLog::InMemory);
        };
        let (sender, writes) = sync_channel(MAX_QUEUED_WRITES);
        let worker = Worker {
            data_folder: data_folder.into(),
            own_ip,
            writes,
            commands,
        };
        std::thread::Builder::new()
            .name("shutdown-log".into())
            .spawn(move || worker.run())?;
        Ok(ShutdownLog::OnDisk(sender))
    }

    /// The events that the state machine must handle before any other.
    pub fn first_events(&self) -> Vec<Event> {
        match self {
            ShutdownLog::OnDisk(_) => Vec::new(),
            ShutdownLog::InMemory => vec![
                Event::ShutdownsRestored(Vec::new()),
                Event::ShutdownLogOpened,
            ],
        }
    }

    /// Queues a write. Returns the event that answers it if that is known already.
    pub fn write(&self, write: ShutdownWrite) -> Option<Event> {
        match self {
            ShutdownLog::OnDisk(writes) => {
                if let Err(error) = writes.try_send(write) {
                    log::error!("shutdowns cannot be written to disk: error={error}");
                }
                None
            }
            ShutdownLog::InMemory => Some(Event::ShutdownsSynced {
                write: write.number,
            }),
        }
    }
}

/// The thread that owns the log.
struct Worker {
    data_folder: PathBuf,
    own_ip: Ipv4Addr,
    writes: Receiver<ShutdownWrite>,
    commands: CommandSender,
}

impl Worker {
    /// Opens the log and writes to it, again and again, until the event loop ends.
    fn run(self) {
        let started_at = Instant::now();
        let mut is_restored = false;
        let mut pause = REOPEN_BACKOFF.initial;
        loop {
            let error = match self.open() {
                Ok((log, restored)) => {
                    is_restored = true;
                    self.send_event(Event::ShutdownsRestored(restored));
                    self.send_event(Event::ShutdownLogOpened);
                    pause = REOPEN_BACKOFF.initial;
                    match self.write_until_failure(log) {
                        Some(error) => error,
                        None => return,
                    }
                }
                Err(error) => error,
            };
            log::warn!(
                "shutdowns cannot be recorded on disk for now: retry_in={pause:?} error={error}"
            );
            if !is_restored && started_at.elapsed() >= RESTORE_TIMEOUT {
                is_restored = true;
                self.send_event(Event::ShutdownsRestored(Vec::new()));
            }
            if !self.wait(pause) {
                return;
            }
            pause = REOPEN_BACKOFF.next(pause);
        }
    }

    fn send_event(&self, event: Event) {
        self.commands.send_event_blocking(event);
    }

    /// Opens the log. Returns it with the records in it.
    fn open(&self) -> Result<(Log<Files>, Vec<InstanceRecord>), LogError> {
        let folder = self.data_folder.join(LOG_FOLDER);
        let files = self
            .lock_folder(&folder)
            .map_err(|source| LogError::Folder {
                folder: folder.clone(),
                source,
            })?;
        let mut new_log_id = [0; 16];
        getrandom::fill(&mut new_log_id).map_err(LogError::Random)?;
        let identity = Identity {
            instance: self.own_ip.to_string(),
            boot: [0; 16],
            new_log_id,
        };
        let mut restored = Vec::new();
        let visit = |record: Record<'_>| restored.extend(decode(record.payload));
        let (log, recovery) = Log::open(files, &identity, visit).map_err(LogError::Open)?;
        match recovery.lost {
            None | Some(DataLoss::NoLog) => {}
            Some(loss) => log::warn!("shutdowns on disk may be missing: cause={loss}"),
        }
        Ok((log, restored))
    }

    /// Locks the folder, creates it if it does not exist, and makes its name durable.
    fn lock_folder(&self, folder: &Path) -> io::Result<Files> {
        let is_new = !folder.try_exists()?;
        let files = Files::lock(folder)?;
        if is_new {
            File::open(&self.data_folder)?.sync_all()?;
        }
        Ok(files)
    }

    /// Carries out writes. Returns the error of the first that fails; `None` if the event loop has ended.
    fn write_until_failure(&self, mut log: Log<Files>) -> Option<LogError> {
        // The log begins a segment when it is opened, so the first replacement needs no new one.
        let mut is_segment_empty = true;
        while let Ok(write) = self.writes.recv() {
            let result = match write.mode {
                WriteMode::Append => append(&mut log, &write.records),
                WriteMode::Replace => replace(&mut log, &write.records, is_segment_empty),
            };
            if let Err(error) = result {
                return Some(error);
            }
            is_segment_empty = false;
            self.send_event(Event::ShutdownsSynced {
                write: write.number,
            });
        }
        None
    }

    /// Waits, and drops writes that arrive meanwhile. Returns whether the event loop still runs.
    fn wait(&self, pause: Duration) -> bool {
        let deadline = Instant::now() + pause;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            match self.writes.recv_timeout(left) {
                Ok(_) => {}
                Err(RecvTimeoutError::Timeout) => return true,
                Err(RecvTimeoutError::Disconnected) => return false,
            }
        }
    }
}

/// Appends records to the log, and syncs them.
fn append(log: &mut Log<Files>, records: &[InstanceRecord]) -> Result<(), LogError> {
    let payloads: Vec<Vec<u8>> = records.iter().map(encode).collect::<Result<_, _>>()?;
    log.write(&payloads, true).map_err(LogError::Write)
}

/// Writes records to a new segment, syncs them, and then removes all older segments.
fn replace(
    log: &mut Log<Files>,
    records: &[InstanceRecord],
    is_segment_empty: bool,
) -> Result<(), LogError> {
    if !is_segment_empty {
        log.rotate().map_err(LogError::Write)?;
    }
    append(log, records)?;
    let segment = log.segment();
    let is_first = segment == 1;
    if !is_first {
        log.remove_segments_before(segment)
            .map_err(LogError::Write)?;
    }
    Ok(())
}

/// Encodes a record for the log: the format, then the record as postcard.
fn encode(record: &InstanceRecord) -> Result<Vec<u8>, LogError> {
    postcard::to_extend(record, vec![RECORD_FORMAT]).map_err(LogError::Encode)
}

/// Decodes a record of the log; `None` if it is of another format.
fn decode(payload: &[u8]) -> Option<InstanceRecord> {
    let (format, record) = payload.split_first()?;
    let record = (*format == RECORD_FORMAT)
        .then(|| postcard::from_bytes(record).ok())
        .flatten();
    if record.is_none() {
        log::warn!("a shutdown on disk is not readable, and is skipped: format={format}");
    }
    record
}
