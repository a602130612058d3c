//! A bounded queue of encoded frames for one connection.

use emberpin_runtime::frames;
use emberpin_runtime::protocol_version::{ProtocolVersion, VersionRange};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::{mpsc, Notify};
use tokio::time::{timeout, Duration};

/// Maximum number of queued frames of a connection, and of their bytes.
const MAX_QUEUED_FRAMES: usize = 512;
const MAX_QUEUED_BYTES: usize = 12 << 20;
/// A peer that has not accepted a frame within this time is unreachable.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// An encoded message: one frame, or several if the message is long. The send queues of all its receivers share the
/// bytes.
#[derive(Clone, Debug)]
pub struct Frame {
    bytes: Arc<Vec<u8>>,
    /// The message is not sent to a peer with an older protocol version.
    oldest_version: ProtocolVersion,
}

impl Frame {
    /// The frames of a message that all supported protocol versions have.
    pub fn new(bytes: Vec<u8>) -> Frame {
        Frame::with_oldest_version(VersionRange::SUPPORTED.oldest, bytes)
    }

    /// The frames of a message that exists only in this protocol version and newer ones.
    pub fn with_oldest_version(oldest_version: ProtocolVersion, bytes: Vec<u8>) -> Frame {
        Frame {
            bytes: Arc::new(bytes),
            oldest_version,
        }
    }

    /// The length of the frames in bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }
}

/// The queue is full, or its receiving end was dropped. The frame is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the send queue is full or closed")]
pub struct SendQueueFull;

/// The sending end of the queue.
#[derive(Clone)]
pub struct SendQueue {
    frames: mpsc::Sender<Frame>,
    queued_bytes: Arc<AtomicUsize>,
    close_requested: Arc<Notify>,
}

/// The receiving end, from which frames are written to the connection.
pub struct QueuedFrames {
    frames: mpsc::Receiver<Frame>,
    queued_bytes: Arc<AtomicUsize>,
}

impl SendQueue {
    /// Creates an empty queue.
    pub fn new() -> (SendQueue, QueuedFrames) {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
        let queued_bytes = Arc::<AtomicUsize>::default();
        let queue = SendQueue {
            frames: sender,
            queued_bytes: queued_bytes.clone(),
            close_requested: Arc::default(),
        };
        let queued_frames = QueuedFrames {
            frames: receiver,
            queued_bytes,
        };
        (queue, queued_frames)
    }

    /// Appends a frame.
    ///
    /// # Errors
    ///
    /// [`SendQueueFull`]: the frame is lost.
    pub fn try_send(&self, frame: Frame) -> Result<(), SendQueueFull> {
        let length = frame.len();
        if self.queued_bytes.load(Ordering::Relaxed) + length > MAX_QUEUED_BYTES {
            return Err(SendQueueFull);
        }
        self.frames.try_send(frame).map_err(|_| SendQueueFull)?;
        self.queued_bytes.fetch_add(length, Ordering::Relaxed);
        Ok(())
    }

    /// Asks the task that reads from the connection to close it.
    pub fn request_close(&self) {
        self.close_requested.notify_one();
    }

    /// Returns once the receiving end was dropped or a close was requested.
    pub async fn closed(&self) {
        tokio::select! {
            () = self.frames.closed() => {}
            () = self.close_requested.notified() => {}
        }
    }
}

impl QueuedFrames {
    /// Waits for the next frame; `None` once all senders were dropped and the queue is empty.
    pub async fn next(&mut self) -> Option<Frame> {
        let frame = self.frames.recv().await?;
        self.release(&frame);
        Some(frame)
    }

    /// Drops all queued frames.
    pub fn discard(&mut self) {
        while let Ok(frame) = self.frames.try_recv() {
            self.release(&frame);
        }
    }

    /// Whether all senders were dropped.
    pub fn is_closed(&self) -> bool {
        self.frames.is_closed()
    }

    /// Subtracts a frame that left the queue from the queued bytes.
    fn release(&self, frame: &Frame) {
        self.queued_bytes.fetch_sub(frame.len(), Ordering::Relaxed);
    }
}

/// Writes a frame to a peer with this protocol version, or skips a frame that exists only in newer versions. Returns
/// `false` if the connection broke or the peer did not accept the frame within [`WRITE_TIMEOUT`].
pub async fn write_frame(
    writer: &mut (impl AsyncWrite + Unpin),
    frame: &Frame,
    version: ProtocolVersion,
) -> bool {
    if version < frame.oldest_version {
        return true;
    }
    let bytes = frames::convert_for_version(&frame.bytes, version);
    matches!(
        timeout(WRITE_TIMEOUT, writer.write_all(&bytes)).await,
        Ok(Ok(()))
    )
}
