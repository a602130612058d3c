//! What is scheduled to happen.

use super::network::{ConnectionId, Direction, Frame};
use super::operator::OperatorAttempt;
use super::process::ProcessIncarnation;
use super::server::ServerCall;
use crate::machine::{CoreId, Machine, ProxyId};
use emberpin_config::{Item, Version};
use emberpin_consensus::{Message, WriteToken};
use emberpin_membership::ids::Nonce;
use emberpin_membership::registry::ServerReply;
use std::time::Duration;

/// An event. Where it names an incarnation that is over, it has no effect.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// A message of one store arrives at another one.
    StoreMessage {
        from: CoreId,
        to: CoreId,
        message: Message,
    },
    /// A disk has synced its first `writes` writes.
    DiskSynced {
        core: CoreId,
        incarnation: ProcessIncarnation,
        token: WriteToken,
        writes: usize,
    },
    StoreTimer {
        core: CoreId,
        incarnation: ProcessIncarnation,
    },
    RegistryTimer {
        core: CoreId,
        incarnation: ProcessIncarnation,
    },
    /// Chosen items arrive at a registry from the store beside it.
    ItemsChosen {
        core: CoreId,
        incarnation: ProcessIncarnation,
        items: Vec<Item>,
    },
    /// A store reports its voters to the registry beside it.
    VotersReport {
        core: CoreId,
        incarnation: ProcessIncarnation,
    },
    /// A store answers its registry how old its state is.
    StoreAge {
        core: CoreId,
        incarnation: ProcessIncarnation,
        nonce: Nonce,
        age: Option<Duration>,
    },
    /// A registry connects to another one.
    PeerDial {
        core: CoreId,
        incarnation: ProcessIncarnation,
        peer: CoreId,
    },
    FrameArrives {
        connection: ConnectionId,
        direction: Direction,
        frame: Box<Frame>,
    },
    /// A connection over a partitioned link breaks, if the link still is partitioned.
    UnacknowledgedTimeout {
        connection: ConnectionId,
    },
    /// One end of a connection learns that it is broken.
    ConnectionBroken {
        connection: ConnectionId,
        machine: Machine,
        incarnation: ProcessIncarnation,
        other: Machine,
    },
    /// A proxy checks its sessions.
    ProxyTimer {
        proxy: ProxyId,
        incarnation: ProcessIncarnation,
    },
    /// An operator's call arrives at a core machine.
    OperatorCall {
        attempt: OperatorAttempt,
        core: CoreId,
        /// The version of the evacuation that the operator was told, if the call changes one.
        evacuation_version: Option<Version>,
    },
    /// An operator is told the version of the evacuation that its call changes, and repeats the call with it.
    OperatorRedirect {
        attempt: OperatorAttempt,
        core: CoreId,
        evacuation_version: Version,
    },
    OperatorResponse {
        attempt: OperatorAttempt,
        status: u16,
        body: String,
    },
    /// An attempt of an operator's call has timed out or failed.
    OperatorRetry {
        attempt: OperatorAttempt,
    },
    ServerHeartbeat {
        server: String,
        incarnation: u32,
    },
    /// A server's call arrives at a core machine.
    ServerCall {
        core: CoreId,
        call: ServerCall,
    },
    ServerResponse {
        call: ServerCall,
        reply: ServerReply,
    },
    /// A server's call has timed out or failed.
    ServerTimeout {
        server: String,
        incarnation: u32,
        attempt: u64,
    },
    /// Proxies send as many requests to warming servers as they may.
    SlowStartLoad,
    /// What was acknowledged at a time must be in force on proxies in contact.
    CheckEffect {
        effect: Effect,
        acknowledged_at: Duration,
    },
}

/// What must be in force after an acknowledgement.
#[derive(Clone, Debug)]
pub(crate) enum Effect {
    /// These versions of items, or later ones.
    Items(Vec<Item>),
    /// The server of this name gets no new requests.
    Drained(String),
    /// The servers of this zone get no requests.
    Evacuated(String),
}
