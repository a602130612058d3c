//! A connection to one store over which calls are multiplexed: each has an id, and answers come in any order.

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

/// A store that is not connected or has not answered with its preamble by then is passed over, so that time is left for
/// the next one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Requests that may wait to be written; a caller beyond these waits.
const REQUEST_QUEUE_CAPACITY: usize = 64;

/// Callers that wait for a reply, by the id of their request.
type PendingRequests = Arc<Mutex<HashMap<RequestId, oneshot::Sender<StoreReply>>>>;

type StoreReader = BufReader<OwnedReadHalf>;

/// The store at the other end of a connection.
#[derive(Clone, Copy)]
struct Store {
    address: Ipv4Addr,
    version: ProtocolVersion,
}

/// A connection to one store; clones share it.
#[derive(Clone)]
pub struct StoreConnection {
    frames: FrameSender,
    pending: PendingRequests,
    /// When the store sent a reply last; until it did, when the connection was opened.
    last_reply_at: Arc<Mutex<Instant>>,
    /// The version of the protocol that both ends speak.
    pub version: ProtocolVersion,
}

impl StoreConnection {
    /// Connects to a store and serves the connection in a task until it breaks or all clones are dropped. `None` if
    /// the store cannot be reached in time.
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

    /// When the store sent a reply last; until it did, when the connection was opened.
    pub fn last_reply_at(&self) -> Instant {
        *lock(&self.last_reply_at)
    }

    /// Sends an encoded request and waits for the reply to it. `None` if the connection breaks first; the store
    /// may then have handled the request or not.
    pub async fn request(&self, id: RequestId, frame: Bytes) -> Option<StoreReply> {
        let (responder, response) = oneshot::channel();
        lock(&self.pending).insert(id, responder);
        let _pending = PendingRequest {
            requests: &self.pending,
            id,
        };
        self.frames.send(frame).await.ok()?;
        response.await.ok()
    }
}

/// Removes a request once its response has come or its caller no longer waits.
struct PendingRequest<'a> {
    requests: &'a PendingRequests,
    id: RequestId,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        lock(self.requests).remove(&self.id);
    }
}

/// Connects to a store and exchanges preambles. Returns the version of the protocol that both ends speak.
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

async fn serve(
    reader: StoreReader,
    mut writer: OwnedWriteHalf,
    store: Store,
    mut queued_frames: mpsc::Receiver<Bytes>,
    pending: PendingRequests,
    last_reply_at: Arc<Mutex<Instant>>,
) {
    let ended = tokio::select! {
        ended = write_frames(&mut writer, &mut queued_frames, store.version) => ended,
        ended = deliver_replies(reader, &pending, &last_reply_at) => ended,
    };
    // The queue closes before the callers are dropped: one that adds itself later fails at the queue instead of
    // waiting for ever.
    drop(queued_frames);
    lock(&pending).clear();
    if let Err(error) = ended {
        log::debug!(
            "connection for calls to a store closed: store={} error={error}",
            store.address
        );
    }
}

/// Hands each reply to its caller, until the connection breaks.
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
        if let Some(caller) = lock(pending).remove(&id) {
            _ = caller.send(reply);
        }
    }
}
