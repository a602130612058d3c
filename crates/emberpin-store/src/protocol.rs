//! What a registry and a store of configuration say to each other.

use emberpin_config::Item;
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// Every frame towards a store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToStore {
    /// From a registry; what it is told comes back on the same connection, as [`StoreReply`].
    StoreRequest(StoreRequest),
    /// From another store; nothing comes back on this connection.
    Consensus {
        /// The sender's address, by which it is known on the roster.
        from: Ipv4Addr,
        /// What it says.
        message: emberpin_consensus::Message,
    },
}

/// From a registry to a store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StoreRequest {
    /// The body of `POST /config/patch`; one [`StoreReply::Answer`] with the same number is owed.
    Patch {
        /// Names the answer.
        id: u64,
        /// As it came.
        body: Vec<u8>,
    },
    /// `GET /config/get`; answered like [`StoreRequest::Patch`].
    Get {
        /// Names the answer.
        id: u64,
    },
    /// `POST /evac/ZONE/begin` or `finish`; answered like [`StoreRequest::Patch`].
    Evacuate {
        /// Names the answer.
        id: u64,
        /// Which zone.
        zone: String,
        /// Begin, or finish.
        begin: bool,
    },
    /// Wants all chosen items now and each change from then on, as [`StoreReply::Items`], and [`StoreReply::Status`] on
    /// the way.
    Follow,
    /// Asks how old what was told on this connection is; one [`StoreReply::Confirmed`] is owed.
    Confirm {
        /// The question's nonce.
        question: u64,
    },
}

/// From a store to a registry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StoreReply {
    /// The answer to a call.
    Answer {
        /// Which call.
        id: u64,
        /// An HTTP status: 200, 4xx for what will never be taken, 503 for what may be sent again.
        status: u16,
        /// The answer's body; of a 4xx, one line that says where and why.
        body: String,
    },
    /// Items that are chosen, drops among them. The first one after [`StoreRequest::Follow`] holds all that there are.
    Items {
        /// The items.
        items: Vec<Item>,
    },
    /// How the store stands; comes at least twice a second.
    Status {
        /// What it knows is no older than what a majority of the voters had a second ago.
        settled: bool,
        /// The machines whose stores vote.
        voters: Vec<Ipv4Addr>,
        /// Its disk.
        disk: DiskReport,
        /// Peers of another version or system that it has refused since its start.
        refused: u64,
    },
    /// Answers [`StoreRequest::Confirm`], behind all items that were known by then.
    Confirmed {
        /// The question's nonce.
        question: u64,
        /// So many milliseconds ago a majority of the voters had nothing that has not been told; `None`: nothing can be
        /// confirmed.
        age: Option<u64>,
    },
}

/// What a store's disk takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum DiskState {
    /// Everything.
    #[default]
    Writable,
    /// Votes and what others have chosen; changes are refused.
    NearlyFull,
    /// Nothing: a write failed. The store refuses votes and changes until all that it knows is synced again.
    Full,
    /// Nothing for a second or more, and no failure either. The store refuses changes meanwhile.
    Stalled,
}

impl DiskState {
    /// Its name for the operator.
    pub fn name(self) -> &'static str {
        match self {
            DiskState::Writable => "writable",
            DiskState::NearlyFull => "nearly full",
            DiskState::Full => "full",
            DiskState::Stalled => "stalled",
        }
    }

    /// Whether changes are taken.
    pub fn takes_changes(self) -> bool {
        self == DiskState::Writable
    }
}

/// How a store's disk stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiskReport {
    /// What it takes.
    pub state: DiskState,
    /// Bytes that the store's files take.
    pub used: u64,
    /// Bytes that they may take, as the settings say; 0, if they don't, and nothing is measured.
    pub size: u64,
}
