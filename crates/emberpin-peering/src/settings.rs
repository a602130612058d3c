//! Settings of the connections to the peers.

use crate::ids::{Incarnation, MembershipEpoch};
use std::time::Duration;

/// Pauses between attempts to connect to a peer: exponential, without jitter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Pause after the first connection that failed or ended since the last successful handshake.
    pub initial: Duration,
    /// Upper bound of the pause, which doubles with each further failure.
    pub max: Duration,
}

/// Settings of a [`Peering`](crate::Peering).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the cluster. Peers that name another one are rejected in the handshake.
    pub cluster: String,
    /// This instance's name, as it is listed in the peers' settings.
    pub local_name: String,
    /// This instance's incarnation. Its number is raised if a peer knows a higher one from before the start.
    pub incarnation: Incarnation,
    /// Epoch of `peers`.
    pub epoch: MembershipEpoch,
    /// Names of the other members.
    pub peers: Vec<String>,
    /// Interval between two heartbeats to each connected peer.
    pub heartbeat_interval: Duration,
    /// A peer is suspected if nothing was received from it for this long, and unreachable if it acknowledged nothing
    /// for this long.
    pub suspect_after: Duration,
    /// A peer is considered dead, and a connection closed, if nothing was received for this long.
    pub dead_after: Duration,
    /// A connection is closed if its handshake takes longer.
    pub handshake_timeout: Duration,
    /// Pauses between attempts to connect to a peer.
    pub reconnect_backoff: Backoff,
    /// Bound of the bytes sent to one peer and not acknowledged yet; a message beyond it is not sent.
    pub max_unacknowledged_bytes: usize,
    /// Bound of the payload of one frame, sent or received.
    pub max_frame_bytes: usize,
    /// Bound of the accepted connections whose handshake is not complete.
    pub max_pending_handshakes: usize,
}
