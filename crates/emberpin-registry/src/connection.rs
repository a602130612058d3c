//! Functions shared by all connections between processes: they receive preambles and messages within a time limit,
//! write queued frames, and log and count the ends of connections.

use bytes::Bytes;
use emberpin_runtime::frames::{self, ConnectionError};
use emberpin_runtime::identity::ProcessIdentity;
use emberpin_runtime::preamble::Preamble;
use emberpin_runtime::protocol_version::ProtocolVersion;
use serde::de::DeserializeOwned;
use std::io;
use std::net::IpAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// The most frames that are queued for one connection. A reader too slow for this is disconnected: it catches up faster
/// from the snapshot that a new connection begins with.
pub const FRAME_QUEUE_CAPACITY: usize = 128;

/// The sending half of the queue of encoded frames of one connection.
pub type FrameSender = mpsc::Sender<Bytes>;

/// Counts connections with other registries and proxies that ended because a frame could not be read.
#[derive(Debug, Default)]
pub struct UnreadableFrames(AtomicU64);

impl UnreadableFrames {
    /// The number of these connections since the start of the process.
    pub fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Logs why a connection ended, and counts it if an unreadable frame was the cause.
    pub fn record_end(&self, peer: IpAddr, result: Result<(), ConnectionError>) {
        match result {
            Err(ConnectionError::Io(error)) => {
                log::debug!("connection closed: peer={peer} error={error}");
            }
            // `ProcessIdentity` has counted and logged it when it rejected the peer.
            Err(ConnectionError::Handshake(_)) => {}
            Err(error) => {
                let earlier = self.0.fetch_add(1, Ordering::Relaxed);
                log::warn!(
                    "connection closed at an unreadable frame: peer={peer} error={error} earlier={earlier}"
                );
            }
            Ok(()) => {}
        }
    }
}

/// Receives the peer's preamble within a time limit.
///
/// # Errors
///
/// [`ConnectionError::Handshake`] if the peer has no protocol version in common with this process or belongs to another
/// system; [`ConnectionError::Io`] if the connection fails or the time limit passes.
pub async fn receive_preamble(
    identity: &ProcessIdentity,
    reader: &mut (impl AsyncRead + Unpin),
    time_limit: Duration,
) -> Result<Preamble, ConnectionError> {
    timeout(time_limit, identity.receive_preamble(reader))
        .await
        .map_err(io::Error::from)?
}

/// Reads the next message within a time limit.
///
/// # Errors
///
/// [`ConnectionError`]: the connection cannot be used after it. A time-out is a [`ConnectionError::Io`].
pub async fn read_message<T: DeserializeOwned>(
    reader: &mut (impl AsyncRead + Unpin),
    time_limit: Duration,
) -> Result<T, ConnectionError> {
    timeout(time_limit, frames::read(reader))
        .await
        .map_err(io::Error::from)?
}

/// Writes queued frames to a peer that speaks `version` of the protocol, until every sender of the queue is dropped.
///
/// # Errors
///
/// [`ConnectionError::Io`] if a write fails.
pub async fn write_frames(
    writer: &mut (impl AsyncWrite + Unpin),
    queue: &mut mpsc::Receiver<Bytes>,
    version: ProtocolVersion,
) -> Result<(), ConnectionError> {
    while let Some(frame) = queue.recv().await {
        writer
            .write_all(&frames::convert_for_version(&frame, version))
            .await?;
    }
    Ok(())
}
