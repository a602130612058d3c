//! What a replica is told, and what its host is to do.

use crate::acceptor::Write;
use crate::call::Call;
use crate::message::Message;
use emberpin_config::Item;
use std::net::Ipv4Addr;

/// What a store is told at its start.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its address.
    pub me: Ipv4Addr,
    /// The machines that were up when the settings were written.
    pub seeds: Vec<Ipv4Addr>,
    /// The first start of the whole system: the seeds are the first roster.
    pub bootstrap: bool,
    /// How many disks may be lost at once.
    pub tolerated: usize,
    /// Drawn at each start.
    pub seed: u64,
}

/// What a store hears.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Wake,
    /// From another store.
    Message {
        /// Who.
        from: Ipv4Addr,
        /// What.
        message: Message,
    },
    /// An [`Action::Persist`] is done.
    Persisted {
        /// Which.
        token: u64,
    },
    /// A call came.
    Call {
        /// Names the answer.
        id: u64,
        /// What is asked.
        call: Call,
    },
    /// The disk does not take writes: those whose [`Event::Persisted`] is still owed may be lost, and none is
    /// asked for until [`Event::DiskRestored`].
    DiskFailed {
        /// Why, in words for a caller.
        reason: String,
    },
    /// The disk takes writes again, and holds at least all that was synced to it.
    DiskRestored,
    /// The process is to end: the store leaves the roster, if that stays large enough.
    Leave,
}

/// What the host is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write this; [`Event::Persisted`] is owed if it is to be synced.
    Persist {
        /// Names it.
        token: u64,
        /// What.
        write: Write,
    },
    /// Send this to another store.
    Send {
        /// To whom.
        to: Ipv4Addr,
        /// What.
        message: Message,
    },
    /// The one answer to a call.
    Answer {
        /// Which.
        id: u64,
        /// An HTTP status.
        status: u16,
        /// The answer's body.
        body: String,
    },
    /// These items were learned to be chosen.
    Learned {
        /// The items.
        items: Vec<Item>,
    },
}
