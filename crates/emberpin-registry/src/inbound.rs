//! The server for the connections that proxies and other registries open to this one.

use crate::commands::{Command, CommandSender};
use crate::connection::{
    read_message, receive_preamble, write_frames, UnreadableFrames, FRAME_QUEUE_CAPACITY,
};
use crate::tcp;
use emberpin_membership::ids::SessionId;
use emberpin_membership::peers::RegistryMessage;
use emberpin_membership::registry::Event;
use emberpin_membership::session::{ConnectionRole, FromProxy};
use emberpin_runtime::frames::ConnectionError;
use emberpin_runtime::identity::ProcessIdentity;
use emberpin_runtime::protocol_version::ProtocolVersion;
use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::sleep;

/// The idle time-out, after which a connection is closed: proxies send keep-alives, and registries heartbeats, twice a
/// second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// The time limit for receiving the preamble of a new connection, and again for its first message.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// The delay after `accept` has failed, as it does when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The most open connections; further ones are closed at once, which leaves file descriptors for the HTTP API.
const MAX_CONNECTIONS: u64 = 640;

/// Accepts the connections of proxies and of other registries.
pub struct InboundServer {
    identity: Arc<ProcessIdentity>,
    commands: CommandSender,
    unreadable_frames: Arc<UnreadableFrames>,
    open_connections: AtomicU64,
}

impl InboundServer {
    /// Creates a server that passes the messages it receives to the event loop, with `commands`.
    pub fn new(
        identity: Arc<ProcessIdentity>,
        commands: CommandSender,
        unreadable_frames: Arc<UnreadableFrames>,
    ) -> InboundServer {
        InboundServer {
            identity,
            commands,
            unreadable_frames,
            open_connections: AtomicU64::new(0),
        }
    }

    /// Accepts connections until the task is aborted.
    pub async fn serve(self: Arc<InboundServer>, listener: TcpListener) {
        let mut last_session_id = 0;
        loop {
            let Ok((stream, peer)) = listener.accept().await else {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            if self.open_connections.load(Ordering::Relaxed) >= MAX_CONNECTIONS {
                continue;
            }
            last_session_id += 1;
            let session = SessionId(last_session_id);
            self.open_connections.fetch_add(1, Ordering::Relaxed);
            let server = self.clone();
            tokio::spawn(async move {
                let result = server.serve_connection(stream, session).await;
                server.unreadable_frames.record_end(peer.ip(), result);
                server.open_connections.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }

    /// Serves one connection until either side closes it.
    async fn serve_connection(
        &self,
        stream: TcpStream,
        session: SessionId,
    ) -> Result<(), ConnectionError> {
        tcp::configure(&stream)?;
        let (reader, mut writer) = stream.into_split();
        let mut reader = BufReader::new(reader);
        let preamble = receive_preamble(&self.identity, &mut reader, HANDSHAKE_TIMEOUT).await?;
        let version = self.identity.common_version(&preamble);
        self.identity.send_preamble(&mut writer).await?;
        match read_message(&mut reader, HANDSHAKE_TIMEOUT).await? {
            ConnectionRole::Proxy => self.serve_proxy(session, version, reader, writer).await,
            ConnectionRole::Registry(peer) => self.serve_peer(peer, version, reader, writer).await,
        }
    }

    /// Serves the session of a proxy: passes its messages to the event loop, and writes the frames queued for it.
    async fn serve_proxy(
        &self,
        session: SessionId,
        version: ProtocolVersion,
        mut reader: impl AsyncRead + Unpin,
        mut writer: impl AsyncWrite + Unpin,
    ) -> Result<(), ConnectionError> {
        let (frames, mut queued_frames) = mpsc::channel(FRAME_QUEUE_CAPACITY);
        self.commands
            .send(Command::ProxyConnected { session, frames })
            .await;
        let receive = async {
            loop {
                let message: FromProxy = read_message(&mut reader, IDLE_TIMEOUT).await?;
                self.commands
                    .send_event(Event::ProxyMessage { session, message })
                    .await;
            }
        };
        let result = tokio::select! {
            result = receive => result,
            result = write_frames(&mut writer, &mut queued_frames, version) => result,
        };
        self.commands
            .send_event(Event::SessionClosed { session })
            .await;
        result
    }

    /// Serves another registry: passes its messages to the event loop, and writes the acknowledgements queued for it.
    async fn serve_peer(
        &self,
        peer: Ipv4Addr,
        version: ProtocolVersion,
        mut reader: impl AsyncRead + Unpin,
        mut writer: impl AsyncWrite + Unpin,
    ) -> Result<(), ConnectionError> {
        let (frames, mut queued_frames) = mpsc::channel(FRAME_QUEUE_CAPACITY);
        self.commands
            .send(Command::InboundPeerConnected { peer, frames })
            .await;
        let receive = async {
            loop {
                let message: RegistryMessage = read_message(&mut reader, IDLE_TIMEOUT).await?;
                self.commands
                    .send_event(Event::PeerMessage { peer, message })
                    .await;
            }
        };
        tokio::select! {
            result = receive => result,
            result = write_frames(&mut writer, &mut queued_frames, version) => result,
        }
    }
}
