//! The event loop's end of the queue of write batches for the disk worker.

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

/// Maximum number of queued batches; further ones are rejected with [`QueueFull`].
const MAX_QUEUED_BATCHES: usize = MAX_BATCHES_PER_SYNC;
/// Maximum number of queued item bytes. A batch that alone exceeds the limit is accepted while the queue is empty.
const MAX_QUEUED_BYTES: usize = 16 << 20;
/// A disk that completes no batch for this long while batches are queued is stalled.
const STALL_THRESHOLD: Duration = Duration::from_secs(1);

/// The queue is full: the batch or command was not accepted.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("too many writes wait for the disk")]
pub struct QueueFull;

/// Submits batches to the disk worker, and monitors its progress.
pub struct DiskQueue {
    commands: SyncSender<DiskCommand>,
    progress: Arc<Progress>,
    generation: Generation,
    /// Number of batches submitted so far.
    submitted_batches: u64,
    /// Number of completed batches when the progress was last observed.
    completed_batches: u64,
    /// When a completed batch was last observed, or a batch was submitted to an empty queue.
    progressed_at: Instant,
}

impl DiskQueue {
    /// Starts the worker thread with an open disk. Returns the queue, and a receiver for the worker's events.
    ///
    /// # Errors
    ///
    /// The operating system could not start the thread.
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

    /// Submits a batch. If there is a `sync_token`, [`DiskEvent::Synced`] reports it or the token of a later batch once
    /// the batch and all earlier ones are synced.
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

    /// To be called for each [`DiskEvent::Failed`]. The worker drops the batches submitted before this call, and writes
    /// later ones.
    pub fn on_disk_failed(&mut self) {
        self.generation = self.generation.next();
    }

    /// Whether batches are queued and none was completed for [`STALL_THRESHOLD`].
    pub fn is_stalled(&mut self, now: Instant) -> bool {
        self.observe_progress(now);
        self.has_queued() && now.saturating_duration_since(self.progressed_at) >= STALL_THRESHOLD
    }

    /// Whether all submitted batches are completed.
    pub fn is_idle(&self) -> bool {
        self.progress.completed_batches.load(Ordering::Acquire) == self.submitted_batches
    }

    /// Bytes that the files occupied when they were last measured; 0 if they are not measured.
    pub fn used_bytes(&self) -> u64 {
        self.progress.used_bytes.load(Ordering::Relaxed)
    }

    /// Asks the worker to sync all batches and end, which [`DiskEvent::Closed`] confirms.
    ///
    /// # Errors
    ///
    /// [`QueueFull`]: the worker keeps running.
    pub fn close(&self) -> Result<(), QueueFull> {
        self.commands
            .try_send(DiskCommand::Close)
            .map_err(|_| QueueFull)
    }

    /// Whether batches were queued when the progress was last observed.
    fn has_queued(&self) -> bool {
        self.completed_batches < self.submitted_batches
    }

    /// Updates the number of completed batches, and the time of the last progress.
    fn observe_progress(&mut self, now: Instant) {
        let completed = self.progress.completed_batches.load(Ordering::Acquire);
        if completed != self.completed_batches {
            self.completed_batches = completed;
            self.progressed_at = now;
        }
    }
}
