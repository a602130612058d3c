//! The thread that owns the disk, so that the event loop never waits for it.
//!
//! The worker writes all batches that wait, syncs once for all of them (group commit), and reports the last token that
//! is synced. After a failure it reopens the disk with a growing backoff, and checks that nothing that was synced is
//! missing. Batches submitted before the event loop learned of the failure are dropped, as the replica drops the messages
//! that wait for them.

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

/// Most batches that share a sync.
pub const MAX_BATCHES_PER_SYNC: usize = 64;
/// Backoff between attempts to reopen a disk that failed, doubled from the first to the last.
const MIN_REOPEN_BACKOFF: Duration = Duration::from_millis(500);
const MAX_REOPEN_BACKOFF: Duration = Duration::from_secs(8);
/// Shortest time between records of syncs that are recorded periodically.
const SYNC_RECORDING_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time between measurements of the disk's usage after writes.
const MEASURE_INTERVAL: Duration = Duration::from_millis(450);
/// Time between measurements while nothing is written, as `fjall` may have merged tables since.
const IDLE_MEASURE_INTERVAL: Duration = Duration::from_secs(10);

/// Counts how often the disk failed. A batch of an earlier generation is dropped: it was submitted before the event
/// loop learned of the last failure, and builds on writes that are lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Generation(u64);

impl Generation {
    /// The generation after another failure.
    pub fn next(self) -> Generation {
        Generation(self.0 + 1)
    }
}

/// What the event loop asks of the worker.
pub enum DiskCommand {
    /// Write a batch.
    Write {
        /// The generation of the disk that the batch builds on.
        generation: Generation,
        /// The writes, in their order.
        writes: Vec<WriteBatch>,
        /// Report this token once the batch is synced; `None` if no sync is needed.
        sync_token: Option<WriteToken>,
    },
    /// Sync everything, and end.
    Close,
}

/// What the worker reports to the event loop.
#[derive(Debug)]
pub enum DiskEvent {
    /// All writes up to this token are synced.
    Synced {
        /// The last token.
        token: WriteToken,
    },
    /// A write or a sync failed: nothing after the last [`DiskEvent::Synced`] is known to be on the disk.
    Failed(DiskError),
    /// The disk was opened again and holds all that was synced to it.
    Reopened,
    /// The disk lost data or is not this store's. The worker ends.
    Damaged(DiskError),
    /// All that was submitted before [`DiskCommand::Close`] is synced. The worker ends.
    Closed,
}

/// Counters that the event loop reads without waiting for the worker.
#[derive(Default)]
pub struct Progress {
    /// Batches that are synced, failed or dropped.
    pub completed_batches: AtomicU64,
    /// Bytes of items in batches that wait.
    pub queued_bytes: AtomicUsize,
    /// Bytes that the files took when they were last measured.
    pub used_bytes: AtomicU64,
}

/// Whether the worker measures how much room the files take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UsageMeasurement {
    /// At the start, after writes, and now and then.
    Periodic,
    /// Not at all, as the settings limit nothing.
    Off,
}

/// How soon a sync is recorded. A start that finds fewer writes than were recorded knows that the disk lost some.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncRecording {
    /// With each sync, which takes another one. Suits writes that are rare.
    Immediate,
    /// At most once in [`SYNC_RECORDING_INTERVAL`]. Suits writes that follow one another.
    Periodic,
}

/// Bytes of the items in a batch, which dominate its size.
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

/// What the worker does after a group of commands.
enum NextStep {
    Continue,
    Reopen,
    End,
}

/// Commands that share a sync, carried out up to it.
struct Group {
    batches: u64,
    /// The last token to report once the group is synced.
    sync_token: Option<WriteToken>,
    closes: bool,
    result: Result<(), DiskError>,
}

/// The state of the thread.
pub struct DiskWorker {
    folder: PathBuf,
    own_ip: Ipv4Addr,
    commands: Receiver<DiskCommand>,
    events: events::Sender<DiskEvent>,
    progress: Arc<Progress>,
    generation: Generation,
    reopen_backoff: Duration,
    sync_recording: SyncRecording,
    /// When a sync was recorded last.
    recorded_at: Instant,
    /// When the usage was last measured; `None` if it is not measured.
    measured_at: Option<Instant>,
}

impl DiskWorker {
    /// A worker for the disk in a data folder. Measures the usage at once, if it is to be measured.
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

    /// Carries out commands until the event loop closes the disk or is gone, or the disk is found damaged.
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
                    // Its files are closed first: what they still buffer is written or lost by then.
                    drop(disk);
                    match self.reopen() {
                        Some(reopened) => disk = reopened,
                        None => return,
                    }
                }
            }
        }
    }

    /// Waits for a command; times out when the usage is due to be measured.
    fn next_command(&self) -> Result<DiskCommand, RecvTimeoutError> {
        match self.measured_at {
            None => self
                .commands
                .recv()
                .map_err(|_| RecvTimeoutError::Disconnected),
            Some(_) => self.commands.recv_timeout(IDLE_MEASURE_INTERVAL),
        }
    }

    /// Carries out a command and those that wait behind it, with one sync.
    fn process_group(&mut self, disk: &mut Disk, first: DiskCommand) -> NextStep {
        let mut group = self.write_group(disk, first);
        if group.result.is_ok() && (group.sync_token.is_some() || group.closes) {
            fault_injection::delay_sync();
            group.result = self.sync(disk, group.closes);
        }
        self.progress
            .completed_batches
            .fetch_add(group.batches, Ordering::Release);
        self.measure_if_due();
        self.report_group(group)
    }

    /// Syncs all writes, and records that if it is due.
    fn sync(&mut self, disk: &mut Disk, closes: bool) -> Result<(), DiskError> {
        disk.sync_journal()?;
        let is_due = match self.sync_recording {
            SyncRecording::Immediate => true,
            SyncRecording::Periodic => {
                closes || self.recorded_at.elapsed() >= SYNC_RECORDING_INTERVAL
            }
        };
        if is_due {
            disk.record_sync()?;
            self.recorded_at = Instant::now();
        }
        Ok(())
    }

    /// Writes the batches of a group, without a sync. Stops writing at the first failure.
    fn write_group(&mut self, disk: &mut Disk, first: DiskCommand) -> Group {
        let mut group = Group {
            batches: 0,
            sync_token: None,
            closes: false,
            result: Ok(()),
        };
        let mut next = Some(first);
        while let Some(command) = next.take() {
            match command {
                DiskCommand::Close => group.closes = true,
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
            if !group.closes && group.batches < MAX_BATCHES_PER_SYNC as u64 {
                next = self.commands.try_recv().ok();
            }
        }
        group
    }

    /// Reports the outcome of a group, and decides what comes next.
    fn report_group(&mut self, group: Group) -> NextStep {
        let is_synced = group.sync_token.is_some();
        match group.result {
            Err(failed) => {
                self.generation = self.generation.next();
                let ends = group.closes || !self.report(DiskEvent::Failed(failed));
                return if ends {
                    NextStep::End
                } else {
                    NextStep::Reopen
                };
            }
            Ok(()) if is_synced => self.reopen_backoff = MIN_REOPEN_BACKOFF,
            Ok(()) => {}
        }
        let is_heard = group
            .sync_token
            .is_none_or(|token| self.report(DiskEvent::Synced { token }));
        if group.closes {
            self.report(DiskEvent::Closed);
        }
        if is_heard && !group.closes {
            NextStep::Continue
        } else {
            NextStep::End
        }
    }

    /// Reopens the disk once that succeeds; `None` if the worker is to end instead.
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

    /// Waits for the backoff, and drops batches that come meanwhile; `None` if the worker is to end.
    fn back_off(&mut self) -> Option<()> {
        let until = Instant::now() + self.reopen_backoff;
        self.reopen_backoff = (self.reopen_backoff * 2).min(MAX_REOPEN_BACKOFF);
        loop {
            match self
                .commands
                .recv_timeout(until.saturating_duration_since(Instant::now()))
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

    fn release_queued_bytes(&self, writes: &[WriteBatch]) {
        self.progress
            .queued_bytes
            .fetch_sub(item_bytes(writes), Ordering::Relaxed);
    }

    /// Reports an event; `false` if the event loop is gone.
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
