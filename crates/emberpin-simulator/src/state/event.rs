//! Events that are scheduled in simulated time.

use super::network::{ConnectionId, Direction, Frame};
use super::operator::OperatorAttempt;
use super::process::ProcessIncarnation;
use super::server::ServerCall;
use crate::machine::{CoreId, Machine, ProxyId};
use emberpin_config::{Item, Version};
use emberpin_consensus::{Message, WriteToken};
use emberpin_membership::ids::{Nonce, WriteNumber};
use emberpin_membership::registry::ServerReply;
use std::time::Duration;

/// A scheduled event. An event for an earlier incarnation has no effect.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// A message from one store arrives at another one.
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
    /// A disk has synced the first `writes` writes to the shutdown log since it was empty.
    ShutdownsSynced {
        core: CoreId,
        incarnation: ProcessIncarnation,
        write: WriteNumber,
        writes: usize,
    },
    /// The timer of a store fires.
    StoreTimer {
        core: CoreId,
        incarnation: ProcessIncarnation,
    },
    /// The timer of a registry fires.
    RegistryTimer {
        core: CoreId,
        incarnation: ProcessIncarnation,
    },
    /// Chosen items arrive at a registry from the store on its machine.
    ItemsChosen {
        core: CoreId,
        incarnation: ProcessIncarnation,
        items: Vec<Item>,
    },
    /// A store reports its voters to the registry on its machine.
    VotersReport {
        core: CoreId,
        incarnation: ProcessIncarnation,
    },
    /// A store replies to its registry's query for the age of its state; `None` if the age is unknown.
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
    /// A frame arrives at one end of a connection.
    FrameArrives {
        connection: ConnectionId,
        direction: Direction,
        frame: Box<Frame>,
    },
    /// A connection over a partitioned link times out and breaks, if the link is still partitioned.
    UnacknowledgedTimeout { connection: ConnectionId },
    /// One end of a connection detects that the connection is broken.
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
        /// The version of the evacuation that an earlier redirect stated, if there was one.
        evacuation_version: Option<Version>,
    },
    /// A registry's redirect, which states the version of the evacuation, arrives at an operator, which repeats its
    /// call.
    OperatorRedirect {
        attempt: OperatorAttempt,
        core: CoreId,
        evacuation_version: Version,
    },
    /// The response to an operator's call arrives.
    OperatorResponse {
        attempt: OperatorAttempt,
        status: u16,
        body: String,
    },
    /// An attempt of an operator's call has timed out or failed.
    OperatorRetry { attempt: OperatorAttempt },
    /// A server's next heartbeat is due.
    ServerHeartbeat { server: String, incarnation: u32 },
    /// A server's call arrives at a core machine.
    ServerCall { core: CoreId, call: ServerCall },
    /// The response to a server's call arrives.
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
    /// Proxies send as many requests to warming servers as slow start admits.
    SlowStartLoad,
    /// The time limit of an acknowledged effect ends: it must be in force on proxies in contact.
    CheckEffect {
        effect: Effect,
        acknowledged_at: Duration,
    },
}

/// The effect of an acknowledged change that proxies must apply.
#[derive(Clone, Debug)]
pub(crate) enum Effect {
    /// These versions of items, or later ones.
    Items(Vec<Item>),
    /// The server of this name gets no new requests.
    Drained(String),
    /// The servers of this zone get no requests.
    Evacuated(String),
}
