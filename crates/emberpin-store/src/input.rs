//! The inputs that the event loop receives from accepted connections.

use crate::protocol::StoreRequest;
use crate::send_queue::SendQueue;
use emberpin_consensus::Message;
use emberpin_runtime::protocol_version::ProtocolVersion;
use std::net::{IpAddr, Ipv4Addr};

/// Identifies an accepted connection within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// A frame that arrived, or the end of a connection.
pub enum Input {
    /// A consensus message from another store.
    PeerMessage {
        /// The address by which the roster knows the sender.
        from: Ipv4Addr,
        /// The message, which is passed to the replica unchanged.
        message: Message,
    },
    /// A message from another store's replica of the registers (the coordination state of applications).
    PeerRegisterMessage {
        /// The address by which the roster knows the sender.
        from: Ipv4Addr,
        /// The message, which is passed to the replica unchanged.
        message: Message,
    },
    /// A request from a registry.
    Request {
        /// The connection it arrived on.
        connection: ConnectionId,
        /// The address of the registry, for log lines.
        peer: IpAddr,
        /// The protocol version that the registry and this store use on the connection.
        version: ProtocolVersion,
        /// The request itself.
        request: StoreRequest,
        /// The send queue for replies to this registry.
        replies: SendQueue,
    },
    /// A connection ended. It delivers no further inputs.
    Closed {
        /// The connection, whose pending calls and subscription are discarded.
        connection: ConnectionId,
    },
}
