//! The state of one peer, and of the connection that this instance keeps open to it.

use crate::ids::{ConnectionId, Incarnation, MembershipEpoch};
use crate::settings::Backoff;
use crate::time::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Whether a peer is alive, judged by when messages were last received from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Liveness {
    /// Nothing was ever received from it.
    Unknown,
    /// Something was received within [`Settings::suspect_after`](crate::Settings::suspect_after).
    Alive,
    /// Nothing was received within [`Settings::suspect_after`](crate::Settings::suspect_after).
    Suspected,
    /// Nothing was received within [`Settings::dead_after`](crate::Settings::dead_after).
    Dead,
}

/// The state of a peer, as the layers above see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerState {
    /// Whether it is alive.
    pub liveness: Liveness,
    /// Its incarnation in the last completed handshake; `None` before the first.
    pub incarnation: Option<Incarnation>,
    /// Epoch of its membership, as last received.
    pub epoch: MembershipEpoch,
    /// When `liveness` or `incarnation` last changed.
    pub since: Timestamp,
    /// Whether messages to it arrive: a connection to it is open, and was answered within
    /// [`Settings::suspect_after`](crate::Settings::suspect_after).
    pub reachable: bool,
    /// The peer closed the connection while it was alive and reachable, and none was established since: most likely its
    /// process has ended. A partition or a paused process shows as a timeout instead.
    pub closed_by_peer: bool,
}

/// The connection that this instance opens to a peer.
#[derive(Clone, Debug)]
pub(crate) enum OutgoingConnection {
    /// Not connected; the next attempt starts at `retry_at`.
    Idle { retry_at: Timestamp },
    /// The host is opening the connection.
    Connecting,
    /// The connection is open and a Hello was sent.
    Handshaking { deadline: Timestamp },
    /// The handshake is complete.
    Established(OutgoingSession),
}

/// The sending side of an established connection.
#[derive(Clone, Debug)]
pub(crate) struct OutgoingSession {
    pub connection: ConnectionId,
    /// Sequence number of the last data sent.
    pub last_sequence: u64,
    /// Data sent and not acknowledged yet, the oldest first.
    pub unacknowledged: VecDeque<UnacknowledgedData>,
    /// Sum of the bytes in `unacknowledged`.
    pub unacknowledged_bytes: usize,
    /// Nonce of the peer's incarnation that the connection was established with.
    pub recipient_nonce: u64,
    /// When the peer last replied on this connection.
    pub last_reply_at: Timestamp,
}

/// The size of data that counts against the send window.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnacknowledgedData {
    pub sequence: u64,
    pub bytes: usize,
}

impl OutgoingSession {
    pub fn new(connection: ConnectionId, recipient_nonce: u64, now: Timestamp) -> OutgoingSession {
        OutgoingSession {
            connection,
            last_sequence: 0,
            unacknowledged: VecDeque::new(),
            unacknowledged_bytes: 0,
            recipient_nonce,
            last_reply_at: now,
        }
    }

    /// Records data that was sent with the next sequence number.
    pub fn record_sent(&mut self, bytes: usize) {
        self.last_sequence += 1;
        self.unacknowledged_bytes += bytes;
        self.unacknowledged.push_back(UnacknowledgedData {
            sequence: self.last_sequence,
            bytes,
        });
    }

    /// Frees the send window of all data up to this sequence number.
    pub fn acknowledge(&mut self, acknowledged: u64) {
        while let Some(oldest) = self.unacknowledged.front().copied() {
            if oldest.sequence > acknowledged {
                return;
            }
            self.unacknowledged.pop_front();
            self.unacknowledged_bytes -= oldest.bytes;
        }
    }
}

/// A peer, with the connections in both directions.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub state: PeerState,
    /// When something was last received from it, on either connection.
    pub last_contact_at: Timestamp,
    /// The last delay before an attempt to connect; reset to zero by a successful handshake.
    pub reconnect_delay: Duration,
    pub outgoing: OutgoingConnection,
    /// The connection that the peer opened, after its handshake.
    pub incoming: Option<ConnectionId>,
    /// Whether the peer has accepted a handshake of this incarnation. If it has, a rejection as stale means that a
    /// later incarnation was started; if not, that this one's number is too low.
    pub accepted_this_incarnation: bool,
}

impl Peer {
    pub fn new(now: Timestamp) -> Peer {
        Peer {
            state: PeerState {
                liveness: Liveness::Unknown,
                incarnation: None,
                epoch: MembershipEpoch(0),
                since: now,
                reachable: false,
                closed_by_peer: false,
            },
            last_contact_at: now,
            reconnect_delay: Duration::ZERO,
            outgoing: OutgoingConnection::Idle { retry_at: now },
            incoming: None,
            accepted_this_incarnation: false,
        }
    }

    /// Schedules the next attempt to connect, after an attempt failed or the connection ended.
    pub fn schedule_reconnect(&mut self, now: Timestamp, backoff: Backoff) {
        self.reconnect_delay = if self.reconnect_delay.is_zero() {
            backoff.initial
        } else {
            self.reconnect_delay.saturating_mul(2).min(backoff.max)
        };
        self.outgoing = OutgoingConnection::Idle {
            retry_at: now + self.reconnect_delay,
        };
    }
}
