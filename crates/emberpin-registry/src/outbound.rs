//! A connection that this registry keeps open to another one: it sends messages and receives acknowledgements.

use crate::backoff::ReconnectDelay;
use crate::commands::{Command, CommandSender};
use crate::connection::{receive_preamble, write_frames, UnreadableFrames, FRAME_QUEUE_CAPACITY};
use crate::tcp;
use emberpin_membership::peers::Ack;
use emberpin_membership::registry::Event;
use emberpin_membership::session::ConnectionRole;
use emberpin_runtime::frames::{self, ConnectionError};
use emberpin_runtime::identity::ProcessIdentity;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::BufReader;
use tokio::sync::mpsc;
use tokio::time::{sleep, Instant};

/// The time limit for receiving the peer's preamble.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection to another registry that is opened again whenever it closes.
pub struct PeerConnection {
    /// The identity that this process sends in its preamble.
    pub identity: Arc<ProcessIdentity>,
    /// The address of this registry's machine.
    pub local_ip: Ipv4Addr,
    /// The address of the other registry's machine.
    pub peer: Ipv4Addr,
    /// The port at which all registries accept peers.
    pub port: u16,
    /// Sends commands to the event loop.
    pub commands: CommandSender,
    /// Counts connections that end because a frame could not be read.
    pub unreadable_frames: Arc<UnreadableFrames>,
}

impl PeerConnection {
    /// Keeps the connection open until the task is aborted.
    pub async fn run(self) {
        let mut delay = ReconnectDelay::default();
        loop {
            let attempted_at = Instant::now();
            let result = self.connect_and_serve().await;
            self.unreadable_frames.record_end(self.peer.into(), result);
            sleep(delay.next(attempted_at.elapsed())).await;
        }
    }

    /// Opens the connection and serves it until it closes.
    async fn connect_and_serve(&self) -> Result<(), ConnectionError> {
        let peer = self.peer;
        let stream = tcp::connect(peer, self.port).await?;
        let (reader, mut writer) = stream.into_split();
        let mut reader = BufReader::new(reader);
        self.identity.send_preamble(&mut writer).await?;
        frames::write(&mut writer, &ConnectionRole::Registry(self.local_ip)).await?;
        let preamble = receive_preamble(&self.identity, &mut reader, HANDSHAKE_TIMEOUT).await?;
        let version = self.identity.common_version(&preamble);
        let (frames, mut queued_frames) = mpsc::channel(FRAME_QUEUE_CAPACITY);
        self.commands
            .send(Command::OutboundPeerConnected { peer, frames })
            .await;
        let receive = async {
            loop {
                // No time limit: the peer sends an acknowledgement only if a message requests one. TCP keepalive and
                // the TCP user time-out detect an unreachable peer.
                let ack: Ack = frames::read(&mut reader).await?;
                self.commands
                    .send_event(Event::PeerAcknowledged { peer, ack })
                    .await;
            }
        };
        let result = tokio::select! {
            result = receive => result,
            result = write_frames(&mut writer, &mut queued_frames, version) => result,
        };
        self.commands
            .send(Command::OutboundPeerDisconnected { peer })
            .await;
        result
    }
}
