//! What the event loop receives from connections.

use crate::protocol::StoreRequest;
use crate::send_queue::SendQueue;
use emberpin_consensus::Message;
use emberpin_runtime::protocol_version::ProtocolVersion;
use std::net::{IpAddr, Ipv4Addr};

/// Number of an accepted connection, unique within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// A frame that arrived, or the end of a connection.
pub enum Input {
    /// A consensus message from another store.
    PeerMessage {
        /// The address by which the roster knows the sender.
        from: Ipv4Addr,
        /// Passed to the replica as it is.
        message: Message,
    },
    /// A message from another store's replica of the registers.
    PeerRegisterMessage {
        /// The address by which the roster knows the sender.
        from: Ipv4Addr,
        /// Passed to the replica as it is.
        message: Message,
    },
    /// A request from a registry.
    Request {
        /// The connection it arrived on.
        connection: ConnectionId,
        /// The address of the registry, for log lines.
        peer: IpAddr,
        /// The version of the protocol that the registry speaks with this store.
        version: ProtocolVersion,
        /// What the registry asks for.
        request: StoreRequest,
        /// Where replies go.
        replies: SendQueue,
    },
    /// A connection ended. Nothing more arrives on it.
    Closed {
        /// Its pending calls and its subscription end with it.
        connection: ConnectionId,
    },
}
