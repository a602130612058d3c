//! Accepts connections from stores and registries, and passes their frames to the event loop.

use crate::input::{ConnectionId, Input};
use crate::protocol::ToStore;
use crate::send_queue::{write_frame, QueuedFrames, SendQueue};
use crate::socket;
use emberpin_runtime::frames::{self, ConnectionError};
use emberpin_runtime::identity::ProcessIdentity;
use emberpin_runtime::protocol_version::ProtocolVersion;
use std::future::Future;
use std::io;
use std::net::IpAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Semaphore};
use tokio::time::{sleep, timeout};

/// Maximum number of concurrent connections. Further ones are accepted once another ends.
const MAX_CONNECTIONS: usize = 256;
/// Time without a frame after which a connection is closed: before its first frame, and between the frames of a store.
/// Stores compare their states twice a second, whereas registries can be idle for any time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time before the next attempt after a connection could not be accepted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// Accepts connections until the process exits.
pub async fn listen(
    listener: TcpListener,
    identity: Arc<ProcessIdentity>,
    inputs: mpsc::Sender<Input>,
) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let malformed_frames = Arc::<AtomicU64>::default();
    for number in 0.. {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let (stream, peer) = match listener.accept().await {
            Ok((stream, address)) => (stream, address.ip()),
            Err(error) => {
                log::warn!("connection cannot be accepted: error={error}");
                sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        let connection = ConnectionId(number);
        let (identity, inputs) = (identity.clone(), inputs.clone());
        let malformed_frames = malformed_frames.clone();
        tokio::spawn(async move {
            let served = serve(stream, connection, peer, &identity, &inputs).await;
            if let Err(error) = served {
                log_if_malformed(peer, &error, &malformed_frames);
            }
            _ = inputs.send(Input::Closed { connection }).await;
            drop(permit);
        });
    }
}

/// Logs the end of a connection if a malformed frame caused it, which indicates a bug in this build or in the peer's.
/// Other ends are not logged. `malformed_frames` counts the malformed frames of all connections; the log field
/// `earlier` is the count before this frame.
fn log_if_malformed(peer: IpAddr, error: &ConnectionError, malformed_frames: &AtomicU64) {
    if let ConnectionError::Malformed(_)
    | ConnectionError::MessageTooLong(_)
    | ConnectionError::EmptyFrame = error
    {
        let earlier = malformed_frames.fetch_add(1, Ordering::Relaxed);
        log::warn!(
            "connection closed at an unreadable frame: peer={peer} error={error} earlier={earlier}"
        );
    }
}

/// Exchanges preambles, and passes frames to the event loop until the connection ends.
async fn serve(
    stream: TcpStream,
    id: ConnectionId,
    peer: IpAddr,
    identity: &ProcessIdentity,
    inputs: &mpsc::Sender<Input>,
) -> Result<(), ConnectionError> {
    socket::configure(&stream)?;
    let (mut reader, mut writer) = stream.into_split();
    let preamble = with_timeout(IDLE_TIMEOUT, identity.receive_preamble(&mut reader)).await?;
    identity.send_preamble(&mut writer).await?;
    let connection = Connection {
        id,
        peer,
        version: identity.common_version(&preamble),
        reader,
        writer: Some(writer),
        replies: None,
        peer_kind: PeerKind::Unknown,
    };
    connection.read_to_end(inputs).await
}

/// Kind of the process at the other end, known from its frames.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PeerKind {
    /// The peer has sent no frame yet.
    Unknown,
    Registry,
    Store,
}

/// An accepted connection after the handshake.
struct Connection {
    id: ConnectionId,
    peer: IpAddr,
    /// The newest protocol version that both ends support.
    version: ProtocolVersion,
    reader: OwnedReadHalf,
    /// Moved to the task that writes replies, which starts at the first request.
    writer: Option<OwnedWriteHalf>,
    /// Queue of the replies; `None` before the first request.
    replies: Option<SendQueue>,
    peer_kind: PeerKind,
}

impl Connection {
    /// Passes frames to the event loop until the connection ends, the peer stops reading replies, or the event loop has
    /// ended.
    async fn read_to_end(mut self, inputs: &mpsc::Sender<Input>) -> Result<(), ConnectionError> {
        while let Some(frame) = self.next_frame().await? {
            let input = match frame {
                ToStore::RegisterConsensus { from, message } => {
                    self.peer_kind = PeerKind::Store;
                    Input::PeerRegisterMessage { from, message }
                }
                ToStore::Consensus { from, message } => {
                    self.peer_kind = PeerKind::Store;
                    Input::PeerMessage { from, message }
                }
                ToStore::Request(request) => {
                    if self.peer_kind == PeerKind::Unknown {
                        self.peer_kind = PeerKind::Registry;
                    }
                    Input::Request {
                        connection: self.id,
                        peer: self.peer,
                        version: self.version,
                        request,
                        replies: self.reply_queue(),
                    }
                }
            };
            if inputs.send(input).await.is_err() {
                break;
            }
        }
        Ok(())
    }

    /// Reads a frame; `None` if a registry has stopped reading its replies.
    async fn next_frame(&mut self) -> Result<Option<ToStore>, ConnectionError> {
        let frame = frames::read(&mut self.reader);
        match (self.peer_kind, &self.replies) {
            (PeerKind::Registry, Some(replies)) => tokio::select! {
                frame = frame => frame.map(Some),
                () = replies.closed() => Ok(None),
            },
            _ => with_timeout(IDLE_TIMEOUT, frame).await.map(Some),
        }
    }

    /// Returns the queue of replies. The first call starts the task that writes them.
    fn reply_queue(&mut self) -> SendQueue {
        let (writer, version) = (&mut self.writer, self.version);
        self.replies
            .get_or_insert_with(|| {
                let (queue, frames) = SendQueue::new();
                if let Some(writer) = writer.take() {
                    tokio::spawn(write_replies(writer, frames, version));
                }
                queue
            })
            .clone()
    }
}

/// Awaits an operation, and fails with [`io::ErrorKind::TimedOut`] if it takes longer than `limit`.
async fn with_timeout<T>(
    limit: Duration,
    operation: impl Future<Output = Result<T, ConnectionError>>,
) -> Result<T, ConnectionError> {
    match timeout(limit, operation).await {
        Ok(result) => result,
        Err(_) => Err(io::Error::from(io::ErrorKind::TimedOut).into()),
    }
}

/// Writes replies until the connection breaks, a write times out, or the queue is closed.
async fn write_replies(
    mut writer: OwnedWriteHalf,
    mut frames: QueuedFrames,
    version: ProtocolVersion,
) {
    while let Some(frame) = frames.next().await {
        if !write_frame(&mut writer, &frame, version).await {
            return;
        }
    }
}
