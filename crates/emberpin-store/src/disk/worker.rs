//! The thread that owns the disk, so that the loop never waits for it.
//!
//! The loop submits batches of writes to a bounded queue; the thread writes all that wait, syncs once for all
//! of them (group commit), and reports the last token that is synced. A disk that failed is opened anew, and
//! checked against what was synced to it, at growing pauses; batches from before the failure are dropped, as
//! the replica has dropped what it owed after them.

use super::usage::used_bytes;
use super::{Disk, DiskError};
use crate::faults;
use emberpin_consensus::Write;
use std::io;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc as events;

/// Batches that wait for the disk; one more, and the disk counts as failed.
const QUEUE: usize = 64;
/// Bytes of items in these, likewise; a batch that finds the queue empty may be larger.
const QUEUE_BYTES: usize = 16 << 20;
/// Batches that share a sync.
const GROUP: usize = QUEUE;
/// A disk that has finished nothing for so long, in milliseconds, while batches wait, is stalled.
const STALLED: u64 = 1_000;
/// Pauses between tries to open a disk that failed grow from the first to the second.
const PAUSES: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(8));
/// How often at most the files are measured after writes.
const MEASURE: Duration = Duration::from_millis(450);
/// How often they are measured without any write, as tables may have been merged since.
const MEASURE_IDLE: Duration = Duration::from_secs(10);

/// What the loop submits.
enum Command {
    /// Writes in their order; the token is to be reported once they are synced.
    Commit {
        failures: u64,
        writes: Vec<Write>,
        sync: Option<u64>,
    },
    /// Sync everything, and end.
    Close,
}

/// What the thread reports.
#[derive(Debug)]
pub enum DiskEvent {
    /// All writes up to this token are synced.
    Synced {
        /// The last one.
        token: u64,
    },
    /// A write or a sync failed: nothing after the last [`DiskEvent::Synced`] is known to be on the disk.
    Failed(DiskError),
    /// The disk was opened anew and holds all that was synced.
    Reopened,
    /// The disk holds less than was synced to it, or is not this store's.
    Damaged(DiskError),
    /// All that was submitted before the end is synced.
    Closed,
}

/// What the thread tells in passing.
#[derive(Default)]
struct Progress {
    /// Batches that are done or dropped.
    done: AtomicU64,
    /// Bytes of items that wait.
    bytes: AtomicUsize,
    /// Bytes that the files take.
    used: AtomicU64,
}

/// The queue is full: the batch was not taken.
#[derive(Debug, PartialEq, Eq)]
pub struct Overflow;

/// The loop's end of the queue.
pub struct DiskQueue {
    commands: SyncSender<Command>,
    progress: Arc<Progress>,
    failures: u64,
    submitted: u64,
    /// Of the batches, how many were seen done, and when that last changed.
    seen: (u64, u64),
}

impl DiskQueue {
    /// Starts the thread with an open disk; `measured`, if the bytes that its files take are of interest.
    ///
    /// # Errors
    ///
    /// No thread could be started.
    pub fn start(
        disk: Disk,
        folder: PathBuf,
        me: Ipv4Addr,
        measured: bool,
    ) -> io::Result<(DiskQueue, events::Receiver<DiskEvent>)> {
        let (commands, waiting) = mpsc::sync_channel(QUEUE);
        let (events, reported) = events::channel(QUEUE);
        let progress = Arc::<Progress>::default();
        let mut owner = Owner {
            folder,
            me,
            commands: waiting,
            events,
            progress: progress.clone(),
            failures: 0,
            pause: PAUSES.0,
            measured: measured.then(Instant::now),
        };
        owner.measure();
        std::thread::Builder::new()
            .name("disk".into())
            .spawn(move || owner.run(disk))?;
        Ok((
            DiskQueue {
                commands,
                progress,
                failures: 0,
                submitted: 0,
                seen: (0, 0),
            },
            reported,
        ))
    }

    /// Submits writes; the token is reported once they and all before them are synced.
    ///
    /// # Errors
    ///
    /// [`Overflow`].
    pub fn submit(
        &mut self,
        now: u64,
        writes: Vec<Write>,
        sync: Option<u64>,
    ) -> Result<(), Overflow> {
        self.observe(now);
        let waits = self.seen.0 < self.submitted;
        let size = weight(&writes);
        if waits && self.progress.bytes.load(Ordering::Relaxed) + size > QUEUE_BYTES {
            return Err(Overflow);
        }
        self.progress.bytes.fetch_add(size, Ordering::Relaxed);
        let command = Command::Commit {
            failures: self.failures,
            writes,
            sync,
        };
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.commands.try_send(command)
        {
            self.progress.bytes.fetch_sub(size, Ordering::Relaxed);
            return Err(Overflow);
        }
        self.submitted += 1;
        if !waits {
            self.seen.1 = now;
        }
        Ok(())
    }

    /// After [`DiskEvent::Failed`]: what was submitted before is dropped, what is submitted from now on is not.
    pub fn failed(&mut self) {
        self.failures += 1;
    }

    /// Whether batches wait and none was finished for a second.
    pub fn is_stalled(&mut self, now: u64) -> bool {
        self.observe(now);
        self.seen.0 < self.submitted && now.saturating_sub(self.seen.1) >= STALLED
    }

    /// Whether nothing waits.
    pub fn is_idle(&self) -> bool {
        self.progress.done.load(Ordering::Acquire) == self.submitted
    }

    /// How many bytes the files took when they were last measured.
    pub fn used(&self) -> u64 {
        self.progress.used.load(Ordering::Relaxed)
    }

    /// Asks for [`DiskEvent::Closed`]; `false`, if the queue is full.
    pub fn close(&self) -> bool {
        self.commands.try_send(Command::Close).is_ok()
    }

    fn observe(&mut self, now: u64) {
        let done = self.progress.done.load(Ordering::Acquire);
        if done != self.seen.0 {
            self.seen = (done, now);
        }
    }
}

fn weight(writes: &[Write]) -> usize {
    let items = |write: &Write| {
        let pending = write.pending.iter().flat_map(|pending| &pending.items);
        let sizes = write
            .chosen
            .iter()
            .chain(pending)
            .map(|item| item.body.as_ref().map_or(0, String::len));
        sizes.sum::<usize>()
    };
    writes.iter().map(items).sum()
}

/// Whether the owner goes on.
enum Next {
    Continue,
    Reopen,
    End,
}

/// The thread's end of the queue.
struct Owner {
    folder: PathBuf,
    me: Ipv4Addr,
    commands: Receiver<Command>,
    events: events::Sender<DiskEvent>,
    progress: Arc<Progress>,
    /// How often the disk failed; batches that were submitted before the loop heard of the last time are
    /// dropped.
    failures: u64,
    pause: Duration,
    /// When the files were last measured, if they are.
    measured: Option<Instant>,
}

impl Owner {
    fn run(mut self, mut disk: Disk) {
        loop {
            let first = match self.measured {
                None => self
                    .commands
                    .recv()
                    .map_err(|_| RecvTimeoutError::Disconnected),
                Some(_) => self.commands.recv_timeout(MEASURE_IDLE),
            };
            let next = match first {
                Ok(first) => self.group(&mut disk, first),
                Err(RecvTimeoutError::Timeout) => {
                    self.measure();
                    Next::Continue
                }
                Err(RecvTimeoutError::Disconnected) => Next::End,
            };
            match next {
                Next::Continue => {}
                Next::End => return,
                Next::Reopen => {
                    // Its files are closed first, and what they still buffer is written or lost.
                    drop(disk);
                    match self.reopen() {
                        Some(opened) => disk = opened,
                        None => return,
                    }
                }
            }
        }
    }

    /// Carries out a command and all that wait behind it, with one sync.
    fn group(&mut self, disk: &mut Disk, first: Command) -> Next {
        let (mut token, mut closes, mut done) = (None, false, 0);
        let mut result = Ok(());
        let mut next = Some(first);
        while let Some(command) = next.take() {
            match command {
                Command::Close => closes = true,
                Command::Commit {
                    failures,
                    writes,
                    sync,
                } => {
                    done += 1;
                    self.progress
                        .bytes
                        .fetch_sub(weight(&writes), Ordering::Relaxed);
                    if failures == self.failures && result.is_ok() {
                        result = writes.iter().try_for_each(|write| disk.write(write));
                        token = sync.or(token);
                    }
                }
            }
            if !closes && done < GROUP as u64 {
                next = self.commands.try_recv().ok();
            }
        }
        if result.is_ok() && (token.is_some() || closes) {
            faults::before_sync();
            result = disk.sync();
        }
        self.progress.done.fetch_add(done, Ordering::Release);
        self.measure_if_due();
        match result {
            Err(failed) => {
                self.failures += 1;
                let ends = closes || !self.report(DiskEvent::Failed(failed));
                return if ends { Next::End } else { Next::Reopen };
            }
            Ok(()) if token.is_some() => self.pause = PAUSES.0,
            Ok(()) => {}
        }
        let told = token.is_none_or(|token| self.report(DiskEvent::Synced { token }));
        if closes {
            self.report(DiskEvent::Closed);
        }
        if told && !closes {
            Next::Continue
        } else {
            Next::End
        }
    }

    /// Opens the disk again, once it can be; `None`, if there is nothing more to do.
    fn reopen(&mut self) -> Option<Disk> {
        loop {
            self.wait()?;
            match Disk::open(&self.folder, self.me) {
                Ok((disk, _)) => return self.report(DiskEvent::Reopened).then_some(disk),
                Err(damaged) if damaged.is_damage() => {
                    self.report(DiskEvent::Damaged(damaged));
                    return None;
                }
                Err(unusable) => log::warn!("the disk is still of no use: {unusable}"),
            }
        }
    }

    /// Lets a pause go by, longer from time to time, and drops what is submitted; `None`, if the process ends.
    fn wait(&mut self) -> Option<()> {
        let until = Instant::now() + self.pause;
        self.pause = (self.pause * 2).min(PAUSES.1);
        loop {
            match self
                .commands
                .recv_timeout(until.saturating_duration_since(Instant::now()))
            {
                Ok(Command::Commit { writes, .. }) => {
                    self.progress
                        .bytes
                        .fetch_sub(weight(&writes), Ordering::Relaxed);
                    self.progress.done.fetch_add(1, Ordering::Release);
                }
                Ok(Command::Close) => {
                    self.report(DiskEvent::Closed);
                    return None;
                }
                Err(RecvTimeoutError::Timeout) => return Some(()),
                Err(RecvTimeoutError::Disconnected) => return None,
            }
        }
    }

    /// `false`, if nobody hears it any more.
    fn report(&self, event: DiskEvent) -> bool {
        self.events.blocking_send(event).is_ok()
    }

    fn measure_if_due(&mut self) {
        if self.measured.is_some_and(|at| at.elapsed() >= MEASURE) {
            self.measure();
        }
    }

    fn measure(&mut self) {
        if self.measured.is_none() {
            return;
        }
        self.measured = Some(Instant::now());
        match used_bytes(&self.folder) {
            Ok(bytes) => self.progress.used.store(bytes, Ordering::Relaxed),
            Err(error) => log::warn!("the disk can't be measured: {error}"),
        }
    }
}
