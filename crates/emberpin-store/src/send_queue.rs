//! A bounded queue of encoded frames for one connection.

use emberpin_runtime::frames;
use emberpin_runtime::protocol_version::{ProtocolVersion, VersionRange};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::{mpsc, Notify};
use tokio::time::{timeout, Duration};

/// Most frames that may wait for a connection, and most bytes of these.
const MAX_QUEUED_FRAMES: usize = 512;
const MAX_QUEUED_BYTES: usize = 12 << 20;
/// A peer that accepts a frame no sooner than this is unreachable.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// An encoded message, whose bytes are shared by the queues of all its receivers.
#[derive(Clone, Debug)]
pub struct Frame {
    bytes: Arc<Vec<u8>>,
    /// A peer that speaks an older version of the protocol is not sent the message.
    oldest_version: ProtocolVersion,
}

impl Frame {
    /// The frames of a message that every peer understands.
    pub fn new(bytes: Vec<u8>) -> Frame {
        Frame::since(VersionRange::SUPPORTED.oldest, bytes)
    }

    /// The frames of a message that the protocol has had since this version.
    pub fn since(oldest_version: ProtocolVersion, bytes: Vec<u8>) -> Frame {
        Frame {
            bytes: Arc::new(bytes),
            oldest_version,
        }
    }

    /// How many bytes the frames are.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }
}

/// The queue is full, or nobody reads from it any more. The frame is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the send queue is full or closed")]
pub struct SendQueueFull;

/// The sending end.
#[derive(Clone)]
pub struct SendQueue {
    frames: mpsc::Sender<Frame>,
    queued_bytes: Arc<AtomicUsize>,
    close_requested: Arc<Notify>,
}

/// The end that writes the frames to the connection.
pub struct QueuedFrames {
    frames: mpsc::Receiver<Frame>,
    queued_bytes: Arc<AtomicUsize>,
}

impl SendQueue {
    /// An empty queue.
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
    /// [`SendQueueFull`].
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

    /// Returns once the other end is gone or a close was requested.
    pub async fn closed(&self) {
        tokio::select! {
            () = self.frames.closed() => {}
            () = self.close_requested.notified() => {}
        }
    }
}

impl QueuedFrames {
    /// Waits for the next frame; `None` once all senders are gone.
    pub async fn next(&mut self) -> Option<Frame> {
        let frame = self.frames.recv().await?;
        self.release(&frame);
        Some(frame)
    }

    /// Drops all frames that wait.
    pub fn discard(&mut self) {
        while let Ok(frame) = self.frames.try_recv() {
            self.release(&frame);
        }
    }

    /// Whether all senders are gone.
    pub fn is_closed(&self) -> bool {
        self.frames.is_closed()
    }

    fn release(&self, frame: &Frame) {
        self.queued_bytes.fetch_sub(frame.len(), Ordering::Relaxed);
    }
}

/// Writes a frame to a peer with this version of the protocol, unless the peer would not understand it; `false` if the
/// connection broke or the peer accepted it too late.
pub async fn write_frame(
    writer: &mut (impl AsyncWrite + Unpin),
    frame: &Frame,
    version: ProtocolVersion,
) -> bool {
    if version < frame.oldest_version {
        return true;
    }
    let bytes = frames::for_version(&frame.bytes, version);
    matches!(
        timeout(WRITE_TIMEOUT, writer.write_all(&bytes)).await,
        Ok(Ok(()))
    )
}
