//! Messages between a registry and a store, and the envelope of everything that a store receives.
//!
//! Both directions share one TCP connection that the registry opens: it sends [`ToStore::Request`] frames, and the
//! store sends [`StoreReply`] frames back. Stores send each other [`ToStore::Consensus`] frames on connections of
//! their own, which carry nothing in the other direction.
//!
//! The encoding is `postcard`, which writes the position of a variant or field and not its name. Names can therefore
//! change, but their order must not as long as peers of this protocol version are in service.

use emberpin_config::{Item, Version};
use emberpin_consensus::{CoordinationReply, EvacuationChange, Message, WhenLed};
use emberpin_coordination::Operation;
use emberpin_runtime::protocol_version::ProtocolVersion;
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// A frame that a store receives.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToStore {
    /// Sent by a registry. Replies come back on the same connection as [`StoreReply`].
    Request(StoreRequest),
    /// Sent by another store. Replies never come back on this connection: a reply is a `Consensus` frame on the
    /// connection that the receiver opens to the sender.
    Consensus {
        /// The sender's address, which identifies it in the roster.
        from: Ipv4Addr,
        /// The consensus message itself.
        message: Message,
    },
    /// Like [`ToStore::Consensus`], between the replicas of the registers of applications.
    RegisterConsensus {
        /// The sender's address, which identifies it in the roster.
        from: Ipv4Addr,
        /// The consensus message itself.
        message: Message,
    },
}

/// Correlates a response with its request; unique among the pending requests of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub u64);

/// Correlates a [`StoreReply::FreshnessConfirmed`] with its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FreshnessNonce(pub u64);

/// A request from a registry to a store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StoreRequest {
    /// Sent for `POST /config/patch`. The store replies with one [`StoreReply::Response`] of the same id, unless the
    /// connection breaks first.
    Patch {
        /// Repeated in the response.
        id: RequestId,
        /// The HTTP body, not yet parsed.
        body: Vec<u8>,
    },
    /// Sent for `GET /config/get`. Answered like [`StoreRequest::Patch`].
    Get {
        /// Repeated in the response.
        id: RequestId,
    },
    /// Sent by registries of earlier builds in place of [`StoreRequest::ChangeEvacuation`]. The response is 503, as the
    /// store cannot determine whether the operator still waits for the change.
    Evacuate {
        /// Repeated in the response.
        id: RequestId,
        /// Name of the zone.
        zone: String,
        /// `true` to begin the evacuation, `false` to finish it.
        begin: bool,
    },
    /// Sent once after connecting. The store replies at once with all chosen items in one or more
    /// [`StoreReply::Items`] and a [`StoreReply::Status`]. Afterwards it sends each change, and its status, in further
    /// such messages.
    Subscribe,
    /// Sent to learn the maximum age of the items received on this connection. The store replies with one
    /// [`StoreReply::FreshnessConfirmed`].
    ConfirmFreshness {
        /// Repeated in the reply, so that the registry knows when it sent the request.
        nonce: FreshnessNonce,
    },
    /// Sent for `POST /evac/ZONE/begin` and `POST /evac/ZONE/finish`. Answered like [`StoreRequest::Patch`].
    ChangeEvacuation {
        /// Repeated in the response.
        id: RequestId,
        /// Name of the zone. The store replies 404 if its settings do not list the zone.
        zone: String,
        /// Whether the evacuation begins or ends.
        change: EvacuationChange,
        /// The version of the zone's evacuation that the operator last received. The store replies 503 once another
        /// version is chosen.
        precondition: Version,
    },
    /// Sent for calls of applications. The store replies with one [`StoreReply::Coordinated`] of the same id, unless the
    /// connection breaks first.
    Coordinate {
        /// Repeated in the reply.
        id: RequestId,
        /// The operation that the application requests.
        operation: Operation,
        /// How the operation is handled if another store is the leader.
        when_led: WhenLed,
    },
}

impl StoreRequest {
    /// Returns the oldest protocol version that has the request.
    pub fn oldest_version(&self) -> ProtocolVersion {
        match self {
            StoreRequest::ChangeEvacuation { .. } => ProtocolVersion::V3,
            StoreRequest::Coordinate { .. } => ProtocolVersion::V4,
            _ => ProtocolVersion::V2,
        }
    }
}

/// A reply or notification from a store to a registry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StoreReply {
    /// Answers [`StoreRequest::Patch`], [`StoreRequest::Get`] and [`StoreRequest::ChangeEvacuation`].
    Response {
        /// The id of the request.
        id: RequestId,
        /// An HTTP status: 200, a 4xx that a retry does not change, or 503 if the request can be retried.
        status: u16,
        /// The HTTP body. For a 4xx, one line that names the field and the cause.
        body: String,
    },
    /// Chosen items and tombstones, sent to subscribers. The `Items` messages between [`StoreRequest::Subscribe`] and
    /// the first [`StoreReply::Status`] together contain the complete configuration, with all evacuations in the first
    /// message. Each later `Items` message contains changes.
    Items {
        /// The items, in no particular order.
        items: Vec<Item>,
    },
    /// Health of the store, sent to subscribers when it changes and at least twice a second.
    Status {
        /// Whether the store has everything that a majority of the voters had a short time ago; see
        /// [`Replica::is_up_to_date`](emberpin_consensus::Replica::is_up_to_date).
        up_to_date: bool,
        /// Addresses of the machines whose stores vote.
        voters: Vec<Ipv4Addr>,
        /// Condition and usage of the store's disk.
        disk: DiskStatus,
        /// Number of peers with another protocol version or system that were rejected since the store started.
        rejected_peers: u64,
    },
    /// Answers [`StoreRequest::ConfirmFreshness`]. It is sent after all items that the store knew when it received the
    /// request, so that the age applies to everything that the registry receives before it.
    FreshnessConfirmed {
        /// The nonce of the request.
        nonce: FreshnessNonce,
        /// Milliseconds since the store began the comparison that showed its items to be those of a majority of the
        /// voters; `None` if it has not completed such a comparison.
        age_ms: Option<u64>,
    },
    /// Answers [`StoreRequest::Coordinate`].
    Coordinated {
        /// The id of the request.
        id: RequestId,
        /// The reply.
        reply: CoordinationReply,
    },
}

/// Which writes a store's disk accepts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum DiskState {
    /// Every write is accepted.
    #[default]
    Writable,
    /// Changes are rejected, so that disk space remains for votes and for items that other stores have chosen.
    NearlyFull,
    /// A write failed. Votes and changes are rejected until the complete state is synced again.
    Full,
    /// The disk has completed no batch for a second although batches are queued, or its queue has overflowed. Changes
    /// are rejected until the disk has caught up.
    Stalled,
}

impl DiskState {
    /// All states.
    pub const ALL: [DiskState; 4] = [
        DiskState::Writable,
        DiskState::NearlyFull,
        DiskState::Full,
        DiskState::Stalled,
    ];

    /// Returns the state's name in `GET /status` and in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            DiskState::Writable => "writable",
            DiskState::NearlyFull => "nearly full",
            DiskState::Full => "full",
            DiskState::Stalled => "stalled",
        }
    }
}

/// Condition and usage of a store's disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiskStatus {
    /// Which writes the disk accepts.
    pub state: DiskState,
    /// Bytes that the store's files occupied when they were last measured.
    pub used_bytes: u64,
    /// Limit from `self.limits.disk_mb`, in bytes; 0 if the settings have no limit, in which case usage is not measured.
    pub limit_bytes: u64,
}

/// Returns the oldest protocol version that has this message between stores.
pub fn oldest_version(message: &Message) -> ProtocolVersion {
    match message {
        Message::CandidacyQuery(_) | Message::CandidacyReply(_) => ProtocolVersion::V3,
        _ => ProtocolVersion::V2,
    }
}
