//! What a registry is told, and what its host is to do.

use crate::instance::Instance;
use crate::peers::{Ack, RegistryMessage};
use crate::session::{FromLimiter, ToLimiter};
use emberpin_config::Item;
use std::net::Ipv4Addr;

/// How a registry works.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Its machine.
    pub me: Ipv4Addr,
    /// Its zone.
    pub zone: String,
    /// Its instance, drawn at its start.
    pub incarnation: u64,
    /// How often servers beat.
    pub beat_ms: u64,
    /// Machines with registries, until the voters are known.
    pub seeds: Vec<Ipv4Addr>,
    /// The size of a snapshot's parts, [`super::PART_BYTES`].
    pub part_bytes: usize,
}

/// What comes.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A server's beat; [`Action::Answer`] is owed.
    Heartbeat {
        /// Names the answer.
        call: u64,
        /// What it says; `cold_ms` counts from now.
        instance: Instance,
    },
    /// A server ends; [`Action::Answer`] is owed.
    Leave {
        /// Names the answer.
        call: u64,
        /// Which.
        id: String,
    },
    /// Items from a store.
    Items(Vec<Item>),
    /// The machines whose stores vote, as a store says.
    Voters(Vec<Ipv4Addr>),
    /// A store's answer to [`Action::AskStore`], behind all items that it told before.
    StoreConfirmed {
        /// Which question.
        question: u64,
        /// See [`crate::lease::Lease::answer`].
        age: Option<u64>,
    },
    /// This registry's connection to another one is open, or not any more.
    Reached {
        /// Which.
        peer: Ipv4Addr,
        /// It is open.
        open: bool,
    },
    /// Another registry says something.
    Peer {
        /// Which.
        peer: Ipv4Addr,
        /// What.
        said: RegistryMessage,
    },
    /// Another registry has taken what it was told.
    Acked {
        /// Which.
        peer: Ipv4Addr,
        /// What.
        ack: Ack,
    },
    /// A limiter says something in a session of this number.
    Limiter {
        /// Which session.
        session: u64,
        /// What.
        said: FromLimiter,
    },
    /// A session is over.
    Ended {
        /// Which.
        session: u64,
    },
    /// Nothing; see [`super::Registry::due`].
    Tick,
}

/// An answer to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Acknowledged.
    Taken {
        /// The registry at which it is to beat.
        beat_at: Ipv4Addr,
    },
    /// Not acknowledged: it is to try another registry.
    Elsewhere,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answer a server's call.
    Answer {
        /// Which.
        call: u64,
        /// What.
        answer: Answer,
    },
    /// Keep a connection to this registry open.
    Call {
        /// Which.
        peer: Ipv4Addr,
    },
    /// And now no longer.
    Drop {
        /// Which.
        peer: Ipv4Addr,
    },
    /// Say something to another registry.
    Say {
        /// Which ones.
        to: Vec<Ipv4Addr>,
        /// What.
        said: RegistryMessage,
    },
    /// Acknowledge what another registry told, on its connection.
    Ack {
        /// Which.
        to: Ipv4Addr,
        /// What.
        ack: Ack,
    },
    /// Tell limiters.
    Tell {
        /// Their sessions.
        to: Vec<u64>,
        /// What.
        told: ToLimiter,
    },
    /// Ask the store that is followed how old what it tells is; [`Event::StoreConfirmed`] is owed.
    AskStore {
        /// The question's nonce.
        question: u64,
    },
    /// End a session.
    Close {
        /// Which.
        session: u64,
    },
}
