//! The inputs of a registry's state machine, and the actions that it asks its host for.

use crate::ids::{CallId, Incarnation, Nonce, SessionId};
use crate::instance::Instance;
use crate::peers::{Ack, RegistryMessage};
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
    /// The registry's incarnation, drawn at random when its process starts. It tells revisions of its change log from
    /// those of an earlier process.
    pub incarnation: Incarnation,
    /// The interval at which servers send heartbeats. An instance without one for four intervals, and at least four
    /// seconds, is evicted.
    pub heartbeat_interval: Duration,
    /// The machines that are taken for those with registries until a store has named the voters.
    pub seeds: Vec<Ipv4Addr>,
    /// The size at which a part of a snapshot is closed, in bytes. [`super::SNAPSHOT_PART_BYTES`] in production; tests
    /// lower it to get many parts.
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
    /// A server has announced that it shuts down. Answered by [`Action::Reply`].
    Leave {
        /// Identifies the call in [`Action::Reply`].
        call: CallId,
        /// The id of the server's instance.
        instance_id: String,
    },
    /// The store that is followed has delivered configuration items. An item that is no newer than the known
    /// one is ignored.
    Items(Vec<Item>),
    /// The store that is followed has named the machines whose stores vote. Their registries make up the majority.
    VotersChanged(Vec<Ipv4Addr>),
    /// The store that is followed has answered [`Action::QueryStore`], after all items that it had by then.
    StoreConfirmed {
        /// The nonce of the query.
        nonce: Nonce,
        /// The age of the store's comparison with a majority; `None` if it can confirm nothing.
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
        /// Which message it acknowledges.
        ack: Ack,
    },
    /// A message from a proxy has arrived.
    ProxyMessage {
        /// The session of the proxy.
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
    /// The registry has taken the call in; a drain or an end is known to a majority of the registries.
    Acknowledged {
        /// The registry that the server is to send its next heartbeat to.
        heartbeat_target: Ipv4Addr,
    },
    /// The call is not acknowledged; the server is to retry at another registry.
    NotAcknowledged,
}

/// What the host is to do for the registry.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Reply to a server's call.
    Reply {
        /// The call, as named by [`Event::Heartbeat`] or [`Event::Leave`].
        call: CallId,
        /// What the server is answered.
        reply: ServerReply,
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
        /// Names the message that is acknowledged.
        ack: Ack,
    },
    /// Send a message to proxies. A session whose queue is full is closed instead.
    SendToProxies {
        /// The sessions of the proxies.
        sessions: Vec<SessionId>,
        /// The message, the same for all of them.
        message: ToProxy,
    },
    /// Ask the store that is followed for the age of its state. Answered by [`Event::StoreConfirmed`].
    QueryStore {
        /// Identifies the query.
        nonce: Nonce,
    },
    /// Close a proxy's connection. The registry does not know the session any more.
    CloseSession {
        /// The session to close.
        session: SessionId,
    },
}
