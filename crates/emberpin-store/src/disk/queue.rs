//! The event loop's end of the queue of batches for the disk.

use super::worker::{
    item_bytes, DiskCommand, DiskEvent, DiskWorker, Generation, Progress, SyncRecording,
    UsageMeasurement, MAX_BATCHES_PER_SYNC,
};
use super::Disk;
use emberpin_consensus::{WriteBatch, WriteToken};
use std::io;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{self, SyncSender, TrySendError};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc as events;

/// Most batches that may wait; one more is rejected with [`QueueFull`].
const MAX_QUEUED_BATCHES: usize = MAX_BATCHES_PER_SYNC;
/// Most bytes of items that may wait. A larger batch is accepted while nothing else waits.
const MAX_QUEUED_BYTES: usize = 16 << 20;
/// A disk that completes no batch for this long while some wait is stalled.
const STALL_THRESHOLD: Duration = Duration::from_secs(1);

/// The batch was not accepted, as too much waits already.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("too many writes wait for the disk")]
pub struct QueueFull;

/// Submits batches to the disk's worker, and tells whether the worker keeps up.
pub struct DiskQueue {
    commands: SyncSender<DiskCommand>,
    progress: Arc<Progress>,
    generation: Generation,
    submitted_batches: u64,
    /// How many batches were completed when that was last looked at.
    completed_batches: u64,
    /// When a batch was last seen completed, or was submitted while none waited.
    progressed_at: Instant,
}

impl DiskQueue {
    /// Starts the worker with an open disk. Its events come on the receiver.
    ///
    /// # Errors
    ///
    /// The operating system started no thread.
    pub fn start(
        disk: Disk,
        folder: PathBuf,
        own_ip: Ipv4Addr,
        measurement: UsageMeasurement,
        sync_recording: SyncRecording,
    ) -> io::Result<(DiskQueue, events::Receiver<DiskEvent>)> {
        let (commands, queued_commands) = mpsc::sync_channel(MAX_QUEUED_BATCHES);
        let (events, reported_events) = events::channel(MAX_QUEUED_BATCHES);
        let progress = Arc::<Progress>::default();
        let worker = DiskWorker::new(
            folder,
            own_ip,
            measurement,
            sync_recording,
            queued_commands,
            events,
            progress.clone(),
        );
        std::thread::Builder::new()
            .name("disk".into())
            .spawn(move || worker.run(disk))?;
        let queue = DiskQueue {
            commands,
            progress,
            generation: Generation::default(),
            submitted_batches: 0,
            completed_batches: 0,
            progressed_at: Instant::now(),
        };
        Ok((queue, reported_events))
    }

    /// Submits a batch. The token, if there is one, is reported with [`DiskEvent::Synced`] once the batch and all
    /// before it are synced.
    ///
    /// # Errors
    ///
    /// [`QueueFull`]: nothing of the batch is written.
    pub fn submit(
        &mut self,
        now: Instant,
        writes: Vec<WriteBatch>,
        sync_token: Option<WriteToken>,
    ) -> Result<(), QueueFull> {
        self.observe_progress(now);
        let has_queued = self.has_queued();
        let bytes = item_bytes(&writes);
        let queued_bytes = &self.progress.queued_bytes;
        if has_queued && queued_bytes.load(Ordering::Relaxed) + bytes > MAX_QUEUED_BYTES {
            return Err(QueueFull);
        }
        queued_bytes.fetch_add(bytes, Ordering::Relaxed);
        let command = DiskCommand::Write {
            generation: self.generation,
            writes,
            sync_token,
        };
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.commands.try_send(command)
        {
            queued_bytes.fetch_sub(bytes, Ordering::Relaxed);
            return Err(QueueFull);
        }
        self.submitted_batches += 1;
        if !has_queued {
            self.progressed_at = now;
        }
        Ok(())
    }

    /// To be called for each [`DiskEvent::Failed`]: batches submitted before are dropped, later ones are written.
    pub fn on_disk_failed(&mut self) {
        self.generation = self.generation.next();
    }

    /// Whether batches wait and none was completed for [`STALL_THRESHOLD`].
    pub fn is_stalled(&mut self, now: Instant) -> bool {
        self.observe_progress(now);
        self.has_queued() && now.saturating_duration_since(self.progressed_at) >= STALL_THRESHOLD
    }

    /// Whether all submitted batches are completed.
    pub fn is_idle(&self) -> bool {
        self.progress.completed_batches.load(Ordering::Acquire) == self.submitted_batches
    }

    /// Bytes that the files took when they were last measured; 0 if they are not measured.
    pub fn used_bytes(&self) -> u64 {
        self.progress.used_bytes.load(Ordering::Relaxed)
    }

    /// Asks the worker to sync and end, which [`DiskEvent::Closed`] confirms.
    ///
    /// # Errors
    ///
    /// [`QueueFull`]: the worker goes on.
    pub fn close(&self) -> Result<(), QueueFull> {
        self.commands
            .try_send(DiskCommand::Close)
            .map_err(|_| QueueFull)
    }

    /// Whether batches waited when the progress was last observed.
    fn has_queued(&self) -> bool {
        self.completed_batches < self.submitted_batches
    }

    fn observe_progress(&mut self, now: Instant) {
        let completed = self.progress.completed_batches.load(Ordering::Acquire);
        if completed != self.completed_batches {
            self.completed_batches = completed;
            self.progressed_at = now;
        }
    }
}
