//! The worker thread that owns the disk, so that the event loop never waits for the disk.
//!
//! The worker writes all queued batches, syncs once for all of them (group commit), and reports the last token that is
//! synced. After a failure it reopens the disk with an exponential backoff, and checks that no synced write is missing.
//! Batches submitted before the event loop received the failure are dropped, as the replica drops the messages that wait
//! for them.

use super::usage::used_bytes;
use super::{Disk, DiskError};
use crate::fault_injection;
use emberpin_consensus::{WriteBatch, WriteToken};
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc as events;

/// Maximum number of batches that share a sync.
pub const MAX_BATCHES_PER_SYNC: usize = 64;
/// Range of the backoff before attempts to reopen a failed disk, which doubles with each attempt.
const MIN_REOPEN_BACKOFF: Duration = Duration::from_millis(500);
const MAX_REOPEN_BACKOFF: Duration = Duration::from_secs(8);
/// Minimum time between updates of the sync record with [`SyncRecording::Periodic`].
const SYNC_RECORDING_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum time between measurements of the disk's usage after writes.
const MEASURE_INTERVAL: Duration = Duration::from_millis(450);
/// Time between measurements while nothing is written: `fjall` merges tables in the background, which changes the usage.
const IDLE_MEASURE_INTERVAL: Duration = Duration::from_secs(10);

/// Counts the failures of the disk. A batch of an earlier generation is dropped: it was submitted before the event loop
/// received the last failure, and builds on writes that are lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Generation(u64);

impl Generation {
    /// Returns the generation after another failure.
    pub fn next(self) -> Generation {
        Generation(self.0 + 1)
    }
}

/// A command from the event loop to the worker.
pub enum DiskCommand {
    /// Write a batch.
    Write {
        /// The generation of the disk that the batch builds on.
        generation: Generation,
        /// The writes, in their order.
        writes: Vec<WriteBatch>,
        /// The token to report once the batch is synced; `None` if the batch needs no sync.
        sync_token: Option<WriteToken>,
    },
    /// Sync all writes, and end the worker.
    Close,
}

/// An event that the worker reports to the event loop.
#[derive(Debug)]
pub enum DiskEvent {
    /// All writes up to and including those of this token are synced.
    Synced {
        /// The last token that is synced.
        token: WriteToken,
    },
    /// A write or a sync failed. It is unknown whether writes after the last [`DiskEvent::Synced`] are on the disk.
    Failed(DiskError),
    /// The disk was reopened, and no synced write is missing.
    Reopened,
    /// The disk lost data, or does not belong to this store. The worker ends.
    Damaged(DiskError),
    /// The worker ends after [`DiskCommand::Close`]. All earlier writes are synced, unless the disk had failed.
    Closed,
}

/// Counters that the event loop reads without waiting for the worker.
#[derive(Default)]
pub struct Progress {
    /// Number of batches that were synced, failed or dropped.
    pub completed_batches: AtomicU64,
    /// Bytes of items in queued batches.
    pub queued_bytes: AtomicUsize,
    /// Bytes that the files occupied when they were last measured.
    pub used_bytes: AtomicU64,
}

/// Whether the worker measures the disk usage of the files.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UsageMeasurement {
    /// At the start, after writes, and every [`IDLE_MEASURE_INTERVAL`] without writes.
    Periodic,
    /// Never, as no limit applies or another worker's measurement covers the folder.
    Off,
}

/// When a sync is recorded in the sync record. Opening a disk with fewer writes than recorded detects the loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncRecording {
    /// With each sync, which costs a second sync. Suitable for rare writes.
    Immediate,
    /// At most once per [`SYNC_RECORDING_INTERVAL`]. Suitable for frequent writes.
    Periodic,
}

/// Returns the bytes of the items' bodies in a batch, which dominate its size.
pub fn item_bytes(writes: &[WriteBatch]) -> usize {
    let item_bytes = |write: &WriteBatch| {
        let accepted = write.accepted.iter().flat_map(|accepted| &accepted.items);
        let sizes = write
            .chosen
            .iter()
            .chain(accepted)
            .map(|item| item.body.as_ref().map_or(0, String::len));
        sizes.sum::<usize>()
    };
    writes.iter().map(item_bytes).sum()
}

/// The worker's next step after a group of commands.
enum NextStep {
    Continue,
    Reopen,
    End,
}

/// A group of commands that share a sync, after its writes and before its sync.
struct CommandGroup {
    /// Number of batches in the group, including failed and dropped ones.
    batches: u64,
    /// The last token, to be reported once the group is synced; `None` if no sync is needed.
    sync_token: Option<WriteToken>,
    /// Whether the group contains [`DiskCommand::Close`].
    close_requested: bool,
    result: Result<(), DiskError>,
}

/// The state of the worker thread.
pub struct DiskWorker {
    folder: PathBuf,
    own_ip: Ipv4Addr,
    commands: Receiver<DiskCommand>,
    events: events::Sender<DiskEvent>,
    progress: Arc<Progress>,
    generation: Generation,
    reopen_backoff: Duration,
    sync_recording: SyncRecording,
    /// When a sync was last recorded.
    recorded_at: Instant,
    /// When the usage was last measured; `None` if it is never measured.
    measured_at: Option<Instant>,
}

impl DiskWorker {
    /// Creates a worker for the disk in a data folder, and measures the usage, if it is to be measured.
    pub fn new(
        folder: PathBuf,
        own_ip: Ipv4Addr,
        measurement: UsageMeasurement,
        sync_recording: SyncRecording,
        commands: Receiver<DiskCommand>,
        events: events::Sender<DiskEvent>,
        progress: Arc<Progress>,
    ) -> DiskWorker {
        let is_measured = measurement == UsageMeasurement::Periodic;
        let mut worker = DiskWorker {
            folder,
            own_ip,
            commands,
            events,
            progress,
            generation: Generation::default(),
            reopen_backoff: MIN_REOPEN_BACKOFF,
            sync_recording,
            recorded_at: Instant::now(),
            measured_at: is_measured.then(Instant::now),
        };
        worker.measure();
        worker
    }

    /// Carries out commands until the event loop closes the disk or ends, or the disk is found damaged.
    pub fn run(mut self, mut disk: Disk) {
        loop {
            let step = match self.next_command() {
                Ok(command) => self.process_group(&mut disk, command),
                Err(RecvTimeoutError::Timeout) => {
                    self.measure();
                    NextStep::Continue
                }
                Err(RecvTimeoutError::Disconnected) => NextStep::End,
            };
            match step {
                NextStep::Continue => {}
                NextStep::End => return,
                NextStep::Reopen => {
                    // Closes the old files first, so that their buffers are written or lost before the disk is reopened.
                    drop(disk);
                    match self.reopen() {
                        Some(reopened) => disk = reopened,
                        None => return,
                    }
                }
            }
        }
    }

    /// Waits for a command. Times out when the usage is due to be measured.
    fn next_command(&self) -> Result<DiskCommand, RecvTimeoutError> {
        match self.measured_at {
            None => self
                .commands
                .recv()
                .map_err(|_| RecvTimeoutError::Disconnected),
            Some(_) => self.commands.recv_timeout(IDLE_MEASURE_INTERVAL),
        }
    }

    /// Carries out a command and further queued ones, with at most one sync for all of them.
    fn process_group(&mut self, disk: &mut Disk, first: DiskCommand) -> NextStep {
        let mut group = self.write_group(disk, first);
        if group.result.is_ok() && (group.sync_token.is_some() || group.close_requested) {
            fault_injection::delay_sync();
            group.result = self.sync(disk, group.close_requested);
        }
        self.progress
            .completed_batches
            .fetch_add(group.batches, Ordering::Release);
        self.measure_if_due();
        self.report_group(group)
    }

    /// Syncs all writes, and updates the sync record if that is due.
    fn sync(&mut self, disk: &mut Disk, close_requested: bool) -> Result<(), DiskError> {
        disk.sync_journal()?;
        let is_due = match self.sync_recording {
            SyncRecording::Immediate => true,
            SyncRecording::Periodic => {
                close_requested || self.recorded_at.elapsed() >= SYNC_RECORDING_INTERVAL
            }
        };
        if is_due {
            disk.record_sync()?;
            self.recorded_at = Instant::now();
        }
        Ok(())
    }

    /// Writes the batches of a group, without a sync. Stops writing at the first failure.
    fn write_group(&mut self, disk: &mut Disk, first: DiskCommand) -> CommandGroup {
        let mut group = CommandGroup {
            batches: 0,
            sync_token: None,
            close_requested: false,
            result: Ok(()),
        };
        let mut next = Some(first);
        while let Some(command) = next.take() {
            match command {
                DiskCommand::Close => group.close_requested = true,
                DiskCommand::Write {
                    generation,
                    writes,
                    sync_token,
                } => {
                    group.batches += 1;
                    self.release_queued_bytes(&writes);
                    if generation == self.generation && group.result.is_ok() {
                        group.result = writes.iter().try_for_each(|write| disk.write(write));
                        group.sync_token = sync_token.or(group.sync_token);
                    }
                }
            }
            if !group.close_requested && group.batches < MAX_BATCHES_PER_SYNC as u64 {
                next = self.commands.try_recv().ok();
            }
        }
        group
    }

    /// Reports the result of a group, and returns the next step.
    fn report_group(&mut self, group: CommandGroup) -> NextStep {
        let is_synced = group.sync_token.is_some();
        match group.result {
            Err(failed) => {
                self.generation = self.generation.next();
                let should_end = group.close_requested || !self.report(DiskEvent::Failed(failed));
                return if should_end {
                    NextStep::End
                } else {
                    NextStep::Reopen
                };
            }
            Ok(()) if is_synced => self.reopen_backoff = MIN_REOPEN_BACKOFF,
            Ok(()) => {}
        }
        let is_received = group
            .sync_token
            .is_none_or(|token| self.report(DiskEvent::Synced { token }));
        if group.close_requested {
            self.report(DiskEvent::Closed);
        }
        if is_received && !group.close_requested {
            NextStep::Continue
        } else {
            NextStep::End
        }
    }

    /// Attempts to reopen the disk until that succeeds; `None` if the worker is to end instead.
    fn reopen(&mut self) -> Option<Disk> {
        loop {
            self.back_off()?;
            match Disk::open(&self.folder, self.own_ip) {
                Ok((disk, _)) => return self.report(DiskEvent::Reopened).then_some(disk),
                Err(damage) if damage.is_damage() => {
                    self.report(DiskEvent::Damaged(damage));
                    return None;
                }
                Err(error) => log::warn!("disk cannot be reopened yet: error={error}"),
            }
        }
    }

    /// Waits for the backoff, and drops batches that arrive meanwhile; `None` if the worker is to end.
    fn back_off(&mut self) -> Option<()> {
        let deadline = Instant::now() + self.reopen_backoff;
        self.reopen_backoff = (self.reopen_backoff * 2).min(MAX_REOPEN_BACKOFF);
        loop {
            match self
                .commands
                .recv_timeout(deadline.saturating_duration_since(Instant::now()))
            {
                Ok(DiskCommand::Write { writes, .. }) => {
                    self.release_queued_bytes(&writes);
                    self.progress
                        .completed_batches
                        .fetch_add(1, Ordering::Release);
                }
                Ok(DiskCommand::Close) => {
                    self.report(DiskEvent::Closed);
                    return None;
                }
                Err(RecvTimeoutError::Timeout) => return Some(()),
                Err(RecvTimeoutError::Disconnected) => return None,
            }
        }
    }

    /// Subtracts a batch that left the queue from the queued bytes.
    fn release_queued_bytes(&self, writes: &[WriteBatch]) {
        self.progress
            .queued_bytes
            .fetch_sub(item_bytes(writes), Ordering::Relaxed);
    }

    /// Reports an event; `false` if the event loop has ended.
    fn report(&self, event: DiskEvent) -> bool {
        self.events.blocking_send(event).is_ok()
    }

    fn measure_if_due(&mut self) {
        if self
            .measured_at
            .is_some_and(|at| at.elapsed() >= MEASURE_INTERVAL)
        {
            self.measure();
        }
    }

    fn measure(&mut self) {
        if self.measured_at.is_none() {
            return;
        }
        self.measured_at = Some(Instant::now());
        match used_bytes(&self.folder) {
            Ok(bytes) => self.progress.used_bytes.store(bytes, Ordering::Relaxed),
            Err(error) => log::warn!("usage of the disk cannot be measured: error={error}"),
        }
    }
}
