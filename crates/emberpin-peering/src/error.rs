//! Errors: the reasons why a connection is closed, and why a message is not sent.
//!
//! The texts of these errors are part of the log lines that operators look up (`docs/operators/link.md`). They must not
//! change, even if a variant is renamed.

use crate::frame::FrameTooLong;
use crate::message::{DecodeError, RejectReason};

/// Why a connection is closed by this side.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CloseReason {
    /// This side rejected the remote side's Hello.
    #[error("Rejected({0})")]
    Rejected(#[source] RejectReason),
    /// The remote side rejected this side's Hello.
    #[error("RejectedByPeer({0})")]
    RejectedByPeer(#[source] RejectReason),
    /// A received frame exceeds [`Settings::max_frame_bytes`](crate::Settings::max_frame_bytes).
    #[error("TooLong({length})", length = .0.length)]
    FrameTooLong(#[source] FrameTooLong),
    /// A received frame is not a valid message.
    #[error("Unreadable({0})")]
    InvalidMessage(#[source] DecodeError),
    /// A valid message that must not be sent in the connection's state, or in its direction.
    #[error("OutOfPlace")]
    UnexpectedMessage,
    /// Data was repeated, or some of it is missing.
    #[error("Replayed {{ seq: {received}, expected: {expected} }}")]
    SequenceMismatch {
        /// Sequence number of the received data.
        received: u64,
        /// Sequence number that comes next.
        expected: u64,
    },
    /// Data was addressed to another incarnation of this instance.
    #[error("OtherLife")]
    WrongIncarnation,
    /// A newer connection, or a later incarnation, of the same peer has replaced it.
    #[error("Replaced")]
    Replaced,
    /// Nothing was received within the time limit of the connection's state.
    #[error("Silent")]
    TimedOut,
    /// [`Settings::max_pending_handshakes`](crate::Settings::max_pending_handshakes) is reached.
    #[error("TooMany")]
    TooManyPendingHandshakes,
    /// The peer does not belong to the membership any more, or the connection to it is not wanted any more.
    #[error("NoMember")]
    NotAMember,
}

/// Why a message is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// The recipient does not belong to the membership.
    #[error("NoMember")]
    UnknownPeer,
    /// There is no connection to the recipient, or its handshake is not complete.
    #[error("NotConnected")]
    NotConnected,
    /// Too many bytes are unacknowledged by the recipient. The new message is dropped, not an older one.
    #[error("Full")]
    WindowFull,
    /// The message exceeds [`Settings::max_frame_bytes`](crate::Settings::max_frame_bytes).
    #[error("TooLong")]
    MessageTooLong,
}
