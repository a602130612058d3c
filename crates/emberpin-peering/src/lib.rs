//! Authenticated connections between the peers of a cluster: framing, version negotiation, the handshake that
//! establishes a peer's identity and incarnation, flow control, and failure detection by heartbeats.
//!
//! [`Peering`] is a state machine without I/O, clock or randomness. Its host opens and accepts connections (over mutual
//! TLS, except on loopback), passes in [`Event`]s with the current [`Timestamp`], and carries out the [`Action`]s that
//! come back. Messages of the layers above are a kind and bytes, and are not interpreted here.
//!
//! Delivery is at most once and in order for each connection. A message that was written when a connection ends may or
//! may not have arrived, and nothing is queued for a peer that is not connected: senders must tolerate the loss of
//! messages.
//!
//! - [`frame`]: length-prefixed frames on a stream of bytes;
//! - [`message`]: the messages in the frames, and their encoding;
//! - [`settings`], [`event`], [`error`]: the host's settings, the events and actions, and the errors;
//! - [`peer`]: the state of each peer;
//! - [`peering`]: the state machine.
#![forbid(unsafe_code)]

pub mod error;
pub mod event;
pub mod frame;
pub mod ids;
pub mod message;
pub mod peer;
pub mod peering;
pub mod settings;
pub mod time;

pub use error::{CloseReason, SendError};
pub use event::{Action, Event};
pub use frame::{encode_frame, FrameDecoder, FrameTooLong};
pub use ids::{ConnectionId, Incarnation, MembershipEpoch};
pub use message::{
    DecodeError, Message, RejectReason, VersionRange, FIRST_OPTIONAL_KIND, SUPPORTED_VERSIONS,
};
pub use peer::{Liveness, PeerState};
pub use peering::Peering;
pub use settings::{Backoff, Settings};
pub use time::Timestamp;
