//! The interface between a replica and its host: options at the start, events in, actions out.

use crate::call::{Call, CallId, CoordinationReply};
use crate::message::Message;
use crate::storage::{WriteBatch, WriteToken};
use emberpin_config::Item;
use std::net::Ipv4Addr;

/// Options of a replica, fixed while its process runs.
#[derive(Clone, Debug)]
pub struct ReplicaOptions {
    /// The replica's own address, which identifies it to other replicas.
    pub address: Ipv4Addr,
    /// Addresses of replicas to contact while this one has no vote. At the bootstrap they are the voters of the first
    /// roster.
    pub seeds: Vec<Ipv4Addr>,
    /// Whether this is the first start of the whole system, at which the seeds agree on the first roster. Has no
    /// effect on a replica whose disk holds a roster.
    pub bootstrap: bool,
    /// How many disks may be lost at once. An item counts as chosen only once it is on more disks than this, and the
    /// roster is kept large enough that this many losses leave a majority.
    pub tolerated_failures: usize,
    /// Which replica proposes the next round.
    pub rounds: Rounds,
    /// Seed of the replica's pseudo-random numbers. It has to be drawn anew at each start, as ballots must not repeat.
    pub random_seed: u64,
}

/// Which replica proposes the next round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rounds {
    /// The replica that receives a call proposes it. Suits rare changes.
    Leaderless,
    /// The proposer of the last round leads: it begins the next round without phase 1, and other replicas redirect
    /// callers to it. Suits changes in quick succession.
    Led,
}

/// An input of [`Replica::handle`](crate::Replica::handle).
#[derive(Clone, Debug)]
pub enum Event {
    /// A timer is due; see [`Replica::next_tick_at`](crate::Replica::next_tick_at).
    Tick,
    /// A message from another replica arrived.
    Message {
        /// The sender's address.
        from: Ipv4Addr,
        /// The message.
        message: Message,
    },
    /// A write of [`Action::Persist`] and all writes before it are synced to the disk.
    Persisted {
        /// The token of the write.
        token: WriteToken,
    },
    /// A call of a client arrived.
    Call {
        /// Repeated in the reply.
        call_id: CallId,
        /// The call.
        call: Call,
    },
    /// The disk does not take writes. Writes without an [`Event::Persisted`] may be lost, and the replica requests no
    /// further writes until [`Event::DiskRestored`].
    DiskFailed {
        /// The reason, as shown to operators and clients.
        reason: String,
    },
    /// The disk takes writes again, and holds at least all that was synced to it.
    DiskRestored,
    /// The process shuts down: the replica leaves the roster if that stays large enough. See
    /// [`Replica::has_left`](crate::Replica::has_left).
    Leave,
}

/// An output of [`Replica::handle`](crate::Replica::handle). The host carries out actions in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write to the disk, and report [`Event::Persisted`] once the write is synced if [`WriteBatch::sync`] is set.
    Persist {
        /// Identifies the write.
        token: WriteToken,
        /// The write.
        write: WriteBatch,
    },
    /// Send a message to another replica.
    Send {
        /// The receiver's address.
        to: Ipv4Addr,
        /// The message.
        message: Message,
    },
    /// Reply to a client's call. Each call gets exactly one reply.
    Reply {
        /// The call.
        call_id: CallId,
        /// An HTTP status.
        status: u16,
        /// The body of the reply.
        body: String,
    },
    /// Reply to [`Call::Coordinate`]. Each such call gets exactly one reply.
    ReplyToApplication {
        /// The call.
        call_id: CallId,
        /// The reply.
        reply: CoordinationReply,
    },
    /// Notify the followers of the configuration that these items are chosen.
    Learned {
        /// The chosen items, without histories.
        items: Vec<Item>,
    },
}
