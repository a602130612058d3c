//! Events that the host passes in, and actions that it carries out.

use crate::error::{CloseReason, SendError};
use crate::ids::{ConnectionId, Incarnation, MembershipEpoch};
use crate::peer::PeerState;

/// An input of the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The connection requested by [`Action::Connect`] is open.
    Connected {
        /// Id of the new connection.
        connection: ConnectionId,
        /// Name of the peer that was to be connected to.
        peer: String,
    },
    /// The connection requested by [`Action::Connect`] could not be opened.
    ConnectFailed {
        /// Name of the peer that was to be connected to.
        peer: String,
    },
    /// A connection was accepted. Who opened it is known only after the handshake.
    Accepted {
        /// Id of the new connection.
        connection: ConnectionId,
        /// Names that the remote certificate is valid for; `None` on a transport without certificates.
        certificate_names: Option<Vec<String>>,
    },
    /// Bytes were read from a connection.
    Received {
        /// Connection that was read from.
        connection: ConnectionId,
        /// The next bytes of its stream, which may be split at any point.
        bytes: Vec<u8>,
    },
    /// The remote side has ended a connection, or it has failed.
    Closed {
        /// Connection that ended.
        connection: ConnectionId,
    },
    /// A layer above sends a message. The result is [`Action::Write`] or [`Action::SendFailed`].
    Send {
        /// Name of the recipient.
        peer: String,
        /// Which layer the message belongs to.
        kind: u16,
        /// The encoded message.
        body: Vec<u8>,
    },
    /// The membership has changed. An epoch that is not above the current one is ignored.
    MembershipChanged {
        /// Epoch of the new membership.
        epoch: MembershipEpoch,
        /// Names of all other members.
        peers: Vec<String>,
    },
    /// Time has passed. The host passes it in at least twice in each heartbeat interval.
    Tick,
}

/// An output of the state machine, to be carried out by the host in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Open a connection, and report [`Event::Connected`] or [`Event::ConnectFailed`].
    Connect {
        /// Name of the peer to connect to.
        peer: String,
    },
    /// Write bytes to a connection.
    Write {
        /// Connection to write to.
        connection: ConnectionId,
        /// The encoded frame.
        bytes: Vec<u8>,
    },
    /// Close a connection once all earlier writes to it are done. No [`Event::Closed`] is needed for it.
    Close {
        /// Connection to close.
        connection: ConnectionId,
        /// Why, for the host's log.
        reason: CloseReason,
    },
    /// Pass a received message to the layer that it belongs to.
    Deliver {
        /// Name of the sender.
        peer: String,
        /// Incarnation of the sender that sent it.
        incarnation: Incarnation,
        /// Which layer the message belongs to.
        kind: u16,
        /// The encoded message.
        body: Vec<u8>,
    },
    /// The state of a peer has changed.
    PeerChanged {
        /// Name of the peer.
        peer: String,
        /// Its new state.
        state: PeerState,
    },
    /// A later incarnation of this instance is known to a peer. This process must stop acting as the instance.
    Superseded {
        /// The number of the later [`Incarnation`].
        by: u64,
    },
    /// A message was not sent; no byte of it was written.
    SendFailed {
        /// Name of the recipient.
        peer: String,
        /// Which layer the message belongs to.
        kind: u16,
        /// Why it was not sent.
        error: SendError,
    },
}
