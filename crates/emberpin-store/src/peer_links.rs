//! Outgoing connections to other stores, one per store. Each carries consensus messages in one direction only.

use crate::send_queue::{write_frame, Frame, QueuedFrames, SendQueue};
use crate::socket::{self, UNREACHABLE_TIMEOUT};
use emberpin_runtime::identity::ProcessIdentity;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Range of the backoff between attempts to connect, which doubles with each failed attempt.
const MIN_RECONNECT_BACKOFF: Duration = Duration::from_millis(100);
const MAX_RECONNECT_BACKOFF: Duration = Duration::from_secs(1);

/// Links to other stores. A link is opened at the first message to its store.
pub struct PeerLinks {
    port: u16,
    identity: Arc<ProcessIdentity>,
    /// Seeds from the settings. This store adopts the system id that they send.
    seeds: Vec<Ipv4Addr>,
    links: BTreeMap<Ipv4Addr, PeerLink>,
}

struct PeerLink {
    queue: SendQueue,
    /// Whether a message was sent since the last [`PeerLinks::close_idle`].
    is_used: bool,
}

impl PeerLinks {
    /// Creates a set without links. All stores listen on `port`.
    pub fn new(port: u16, identity: Arc<ProcessIdentity>, seeds: Vec<Ipv4Addr>) -> PeerLinks {
        PeerLinks {
            port,
            identity,
            seeds,
            links: BTreeMap::new(),
        }
    }

    /// Queues a frame for a store. The frame is lost if the queue is full or the connection breaks.
    pub fn send(&mut self, peer: Ipv4Addr, frame: Frame) {
        let PeerLinks {
            port,
            identity,
            seeds,
            links,
        } = self;
        let link = links.entry(peer).or_insert_with(|| {
            PeerLink::open(Connector {
                address: SocketAddrV4::new(peer, *port),
                identity: identity.clone(),
                is_seed: seeds.contains(&peer),
            })
        });
        link.is_used = true;
        if let Err(error) = link.queue.try_send(frame) {
            log::debug!("message to another store dropped: peer={peer} error={error}");
        }
    }

    /// Closes the links that were not used since the last call.
    pub fn close_idle(&mut self) {
        self.links
            .retain(|_, link| std::mem::take(&mut link.is_used));
    }
}

impl PeerLink {
    fn open(connector: Connector) -> PeerLink {
        let (queue, frames) = SendQueue::new();
        tokio::spawn(connector.run(frames));
        PeerLink {
            queue,
            is_used: false,
        }
    }
}

/// Why writing to a connection ended.
enum ConnectionEnd {
    /// The connection broke after at least one frame was written.
    BrokenAfterWrite,
    /// The connection broke before any frame was written, or the peer rejected it.
    BrokenUnused,
    /// The link was closed, so that no reconnection is needed.
    LinkClosed,
}

/// Keeps a link connected until it is closed.
struct Connector {
    address: SocketAddrV4,
    identity: Arc<ProcessIdentity>,
    /// Whether the peer is a seed from the settings, so that its system id is adopted.
    is_seed: bool,
}

impl Connector {
    /// Connects, writes frames, and reconnects with a backoff, until the link is closed.
    async fn run(self, mut frames: QueuedFrames) {
        let mut backoff = MIN_RECONNECT_BACKOFF;
        loop {
            match timeout(UNREACHABLE_TIMEOUT, TcpStream::connect(self.address)).await {
                Ok(Ok(stream)) if socket::configure(&stream).is_ok() => {
                    match self.write_frames(stream, &mut frames).await {
                        ConnectionEnd::LinkClosed => return,
                        ConnectionEnd::BrokenAfterWrite => backoff = MIN_RECONNECT_BACKOFF,
                        ConnectionEnd::BrokenUnused => {}
                    }
                }
                _ => log::debug!(
                    "another store cannot be reached: peer={}",
                    self.address.ip()
                ),
            }
            sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_RECONNECT_BACKOFF);
            // The consensus rounds that the queued messages belong to are over.
            frames.discard();
            if frames.is_closed() {
                return;
            }
        }
    }

    /// Writes frames until the connection breaks or the link is closed.
    async fn write_frames(
        &self,
        mut stream: TcpStream,
        frames: &mut QueuedFrames,
    ) -> ConnectionEnd {
        let (mut reader, mut writer) = stream.split();
        let handshake = self.identity.handshake(&mut reader, &mut writer);
        let Ok(Ok(preamble)) = timeout(UNREACHABLE_TIMEOUT, handshake).await else {
            return ConnectionEnd::BrokenUnused;
        };
        if let Some(system) = preamble.system.filter(|_| self.is_seed) {
            self.identity.set_system_if_unknown(system);
        }
        let version = self.identity.common_version(&preamble);
        let mut end = ConnectionEnd::BrokenUnused;
        loop {
            let frame = tokio::select! {
                frame = frames.next() => frame,
                () = closed_by_peer(&mut reader) => return end,
            };
            let Some(frame) = frame else {
                return ConnectionEnd::LinkClosed;
            };
            if !write_frame(&mut writer, &frame, version).await {
                return end;
            }
            end = ConnectionEnd::BrokenAfterWrite;
        }
    }
}

/// Waits until the peer closes the connection. After the handshake it sends nothing, so any result of a read means that
/// the connection is unusable.
async fn closed_by_peer(reader: &mut (impl AsyncRead + Unpin)) {
    _ = reader.read(&mut [0; 1]).await;
}
