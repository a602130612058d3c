//! The inputs of a registry's state machine, and the actions that its host must carry out.

use super::WriteMode;
use crate::ids::{CallId, Incarnation, Nonce, SessionId, WriteNumber};
use crate::instance::Instance;
use crate::peers::{Ack, InstanceRecord, RegistryMessage};
use crate::session::{FromProxy, ToProxy};
use emberpin_config::Item;
use std::net::Ipv4Addr;
use std::time::Duration;

/// The parameters of a registry. They do not change while its process runs.
#[derive(Clone, Debug)]
pub struct RegistryConfig {
    /// The address of the registry's machine, by which its peers know it.
    pub address: Ipv4Addr,
    /// The zone of the registry's machine. Servers are directed to registries of their own zone first.
    pub zone: String,
    /// The registry's incarnation, drawn at random when its process starts. It distinguishes revisions of its change
    /// log from those of an earlier process.
    pub incarnation: Incarnation,
    /// The interval at which servers send heartbeats. An instance is evicted when it has sent none for four intervals,
    /// and for at least four seconds.
    pub heartbeat_interval: Duration,
    /// The machines that are assumed to run registries until a store has named the voters.
    pub seeds: Vec<Ipv4Addr>,
    /// The size in bytes at which a part of a snapshot is closed. [`super::SNAPSHOT_PART_BYTES`] in production; tests
    /// use a smaller size to get many parts.
    pub snapshot_part_bytes: usize,
}

/// An input to [`super::Registry::handle`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A server has sent a heartbeat. Answered by [`Action::Reply`].
    Heartbeat {
        /// Identifies the call in [`Action::Reply`].
        call: CallId,
        /// The instance as the server describes it; `warmup_left` counts from now.
        instance: Instance,
    },
    /// A server has reported its exit. Answered by [`Action::Reply`].
    Leave {
        /// Identifies the call in [`Action::Reply`].
        call: CallId,
        /// The id of the server's instance.
        instance_id: String,
    },
    /// The shutdown log has been read: these are the drains and exits in it, as far as they could be read. Passed before
    /// each [`Event::ShutdownLogOpened`]; the registry confirms nothing before the first one.
    ShutdownsRestored(Vec<InstanceRecord>),
    /// The shutdown log has been opened for writing, or opened again after a write failed. It is unknown whether writes
    /// after the last [`Event::ShutdownsSynced`] are on the disk.
    ShutdownLogOpened,
    /// A write of [`Action::WriteShutdowns`] and all earlier ones are synced.
    ShutdownsSynced {
        /// The number of the write.
        write: WriteNumber,
    },
    /// The store that the registry follows has delivered configuration items. An item that is no newer than the known
    /// one is ignored.
    Items(Vec<Item>),
    /// The store that the registry follows has named the machines whose stores vote. Majorities are counted among the
    /// registries of these machines.
    VotersChanged(Vec<Ipv4Addr>),
    /// The store that the registry follows has answered [`Action::QueryStore`], and all items that it had by then have
    /// been delivered before.
    StoreConfirmed {
        /// The nonce of the query.
        nonce: Nonce,
        /// The time since the store compared itself with a majority; `None` if the store can confirm nothing.
        age: Option<Duration>,
    },
    /// The connection to a peer, requested by [`Action::ConnectPeer`], is open.
    PeerConnected {
        /// The peer's address.
        peer: Ipv4Addr,
    },
    /// The connection to a peer has closed. The host goes on trying to open it.
    PeerDisconnected {
        /// The peer's address.
        peer: Ipv4Addr,
    },
    /// A message from another registry has arrived over the connection that it opened.
    PeerMessage {
        /// The sender's address.
        peer: Ipv4Addr,
        /// The decoded message.
        message: RegistryMessage,
    },
    /// Another registry has acknowledged a message of this one.
    PeerAcknowledged {
        /// The peer's address.
        peer: Ipv4Addr,
        /// The acknowledgement, which names the message.
        ack: Ack,
    },
    /// A message from a proxy has arrived.
    ProxyMessage {
        /// The session in which it arrived.
        session: SessionId,
        /// The decoded message.
        message: FromProxy,
    },
    /// A proxy's connection has closed.
    SessionClosed {
        /// The session that has ended.
        session: SessionId,
    },
    /// The deadline of [`super::Registry::next_deadline`] has passed.
    Tick,
}

/// The reply to a server's heartbeat or leave call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerReply {
    /// The registry has recorded the call; a drain or exit is on the disks of a majority of the registries.
    Acknowledged {
        /// The registry to which the server must send its next heartbeat.
        heartbeat_target: Ipv4Addr,
    },
    /// The call is not acknowledged; the server must retry at another registry.
    NotAcknowledged,
}

/// An action that the host must carry out for the registry.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Reply to a server's call.
    Reply {
        /// The call of [`Event::Heartbeat`] or [`Event::Leave`].
        call: CallId,
        /// The reply to send to the server.
        reply: ServerReply,
    },
    /// Write drains and exits to the shutdown log on this registry's disk, and sync them. Answered by
    /// [`Event::ShutdownsSynced`]; no other write is requested before that or [`Event::ShutdownLogOpened`].
    WriteShutdowns {
        /// Identifies the write.
        write: WriteNumber,
        /// Whether the records are added or replace the log's content.
        mode: WriteMode,
        /// The records to write.
        records: Vec<InstanceRecord>,
    },
    /// Open a connection to a peer, and reopen it whenever it closes.
    ConnectPeer {
        /// The peer's address.
        peer: Ipv4Addr,
    },
    /// Close the connection to a peer and do not reopen it.
    DisconnectPeer {
        /// The peer's address.
        peer: Ipv4Addr,
    },
    /// Send a message over the connections to these peers. Dropped for a peer that is not connected.
    SendToPeers {
        /// The addresses of the peers.
        peers: Vec<Ipv4Addr>,
        /// The message, the same for all of them.
        message: RegistryMessage,
    },
    /// Send an acknowledgement back over the connection that a peer has opened.
    AcknowledgePeer {
        /// The peer's address.
        peer: Ipv4Addr,
        /// The acknowledgement, which names the message.
        ack: Ack,
    },
    /// Send a message to proxies. A session whose queue is full is closed instead.
    SendToProxies {
        /// The sessions of the proxies.
        sessions: Vec<SessionId>,
        /// The message, the same for all of them.
        message: ToProxy,
    },
    /// Query the store that the registry follows for the age of its state. Answered by [`Event::StoreConfirmed`].
    QueryStore {
        /// Identifies the query; repeated in the answer.
        nonce: Nonce,
    },
    /// Close a proxy's connection. The registry has already dropped the session, or does not know it.
    CloseSession {
        /// The session to close.
        session: SessionId,
    },
}
