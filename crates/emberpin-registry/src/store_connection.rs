//! A connection to one store, on which requests are multiplexed: each has an id, and replies arrive in any order.

use crate::connection::{write_frames, FrameSender};
use crate::store_state::lock;
use crate::tcp;
use bytes::Bytes;
use emberpin_runtime::frames::{self, ConnectionError};
use emberpin_runtime::identity::ProcessIdentity;
use emberpin_runtime::protocol_version::ProtocolVersion;
use emberpin_store::protocol::{RequestId, StoreReply};
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncRead, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{timeout, Instant};

/// The time-out for connecting to a store and receiving its preamble. Short enough that the next store can be tried
/// before the call that needs the connection times out.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The most requests that are queued to be written. While the queue is full, callers wait.
const REQUEST_QUEUE_CAPACITY: usize = 64;

/// The responders of callers that wait for a reply, by the ids of their requests.
type PendingRequests = Arc<Mutex<HashMap<RequestId, oneshot::Sender<StoreReply>>>>;

type StoreReader = BufReader<OwnedReadHalf>;

/// The store at the other end of a connection.
#[derive(Clone, Copy)]
struct Store {
    address: Ipv4Addr,
    version: ProtocolVersion,
}

/// A handle to a connection to one store. Clones share the connection.
#[derive(Clone)]
pub struct StoreConnection {
    frames: FrameSender,
    pending: PendingRequests,
    /// When the last reply was received or, before the first one, when the connection was opened.
    last_reply_at: Arc<Mutex<Instant>>,
    /// The protocol version that both ends use on this connection.
    pub version: ProtocolVersion,
}

impl StoreConnection {
    /// Connects to a store, and serves the connection in a task until it breaks or all clones are dropped. Returns
    /// `None` if the store cannot be reached in time.
    pub async fn open(
        store: Ipv4Addr,
        port: u16,
        identity: Arc<ProcessIdentity>,
    ) -> Option<StoreConnection> {
        let connected = connect(store, port, &identity);
        let (reader, writer, version) = timeout(CONNECT_TIMEOUT, connected).await.ok()?.ok()?;
        let (frames, queued_frames) = mpsc::channel(REQUEST_QUEUE_CAPACITY);
        let pending = PendingRequests::default();
        let last_reply_at = Arc::new(Mutex::new(Instant::now()));
        tokio::spawn(serve(
            reader,
            writer,
            Store {
                address: store,
                version,
            },
            queued_frames,
            pending.clone(),
            last_reply_at.clone(),
        ));
        Some(StoreConnection {
            frames,
            pending,
            last_reply_at,
            version,
        })
    }

    /// Whether the connection has broken.
    pub fn is_closed(&self) -> bool {
        self.frames.is_closed()
    }

    /// When the last reply was received or, before the first one, when the connection was opened.
    pub fn last_reply_at(&self) -> Instant {
        *lock(&self.last_reply_at)
    }

    /// Sends an encoded request, and waits for the reply. Returns `None` if the connection breaks first; whether the
    /// store has handled the request is then unknown.
    pub async fn request(&self, id: RequestId, frame: Bytes) -> Option<StoreReply> {
        let (responder, reply) = oneshot::channel();
        lock(&self.pending).insert(id, responder);
        let _pending = PendingRequest {
            requests: &self.pending,
            id,
        };
        self.frames.send(frame).await.ok()?;
        reply.await.ok()
    }
}

/// Removes a request from the pending requests when it is dropped: after the reply, or when the caller stops waiting.
struct PendingRequest<'a> {
    requests: &'a PendingRequests,
    id: RequestId,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        lock(self.requests).remove(&self.id);
    }
}

/// Connects to a store and exchanges preambles. Returns both halves of the connection, and the protocol version that
/// both ends use.
async fn connect(
    store: Ipv4Addr,
    port: u16,
    identity: &ProcessIdentity,
) -> Result<(StoreReader, OwnedWriteHalf, ProtocolVersion), ConnectionError> {
    let (reader, mut writer) = tcp::connect(store, port).await?.into_split();
    let mut reader = BufReader::new(reader);
    let preamble = identity.handshake(&mut reader, &mut writer).await?;
    Ok((reader, writer, identity.common_version(&preamble)))
}

/// Writes queued requests and delivers replies until the connection breaks or all its handles are dropped.
async fn serve(
    reader: StoreReader,
    mut writer: OwnedWriteHalf,
    store: Store,
    mut queued_frames: mpsc::Receiver<Bytes>,
    pending: PendingRequests,
    last_reply_at: Arc<Mutex<Instant>>,
) {
    let result = tokio::select! {
        result = write_frames(&mut writer, &mut queued_frames, store.version) => result,
        result = deliver_replies(reader, &pending, &last_reply_at) => result,
    };
    // The queue is closed before the responders are dropped: a request that is added afterwards fails to be queued, and
    // so does not wait for ever.
    drop(queued_frames);
    lock(&pending).clear();
    if let Err(error) = result {
        log::debug!(
            "connection for calls to a store closed: store={} error={error}",
            store.address
        );
    }
}

/// Delivers each reply to the caller that waits for it, until the connection breaks.
async fn deliver_replies(
    mut reader: impl AsyncRead + Unpin,
    pending: &PendingRequests,
    last_reply_at: &Mutex<Instant>,
) -> Result<(), ConnectionError> {
    loop {
        let reply: StoreReply = frames::read(&mut reader).await?;
        let (StoreReply::Response { id, .. } | StoreReply::Coordinated { id, .. }) = reply else {
            continue;
        };
        *lock(last_reply_at) = Instant::now();
        if let Some(responder) = lock(pending).remove(&id) {
            _ = responder.send(reply);
        }
    }
}
