//! What stores of configuration say to each other.

use crate::renewals::{Incarnation, Renewals};
use emberpin_config::{Item, ItemKey};
use serde::{Deserialize, Serialize};

/// Names a round; the higher one prevails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    /// Above all that the proposer has heard of.
    pub counter: u64,
    /// The proposer's address.
    pub node: u32,
    /// Drawn at each start of the proposer: a store that forgot its ballots must not use one twice.
    pub incarnation: u32,
}

/// What a voter has accepted last.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pending {
    /// The round that proposed them.
    pub ballot: Ballot,
    /// All that this round proposed; nothing, once the voter knows that to be chosen.
    pub items: Vec<Item>,
}

/// One message; each may be lost, late, or come twice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a promise.
    Prepare {
        /// The round.
        ballot: Ballot,
        /// The newest roster that the proposer knows to be chosen.
        roster: Item,
        /// Of the proposer's chosen items, by bucket.
        digests: Vec<u64>,
        /// Whether the proposer lost its disk, and catches up by this round.
        recovers: bool,
    },
    /// Accepts nothing of a lower ballot from now on.
    Promise {
        /// The round.
        ballot: Ballot,
        /// The voter's.
        incarnation: Incarnation,
        /// Of the voters that asked this one to catch up.
        renewals: Renewals,
        /// What the voter has accepted last, and that may be chosen.
        pending: Pending,
        /// In which buckets the voter's chosen items differ from the proposer's.
        buckets: Vec<u8>,
        /// The voter's chosen items in these buckets.
        chosen: Vec<Item>,
    },
    /// Proposes.
    Accept {
        /// The round.
        ballot: Ballot,
        /// As in [`Message::Prepare`].
        roster: Item,
        /// Chosen items that some voter lacked.
        chosen: Vec<Item>,
        /// The items that are proposed, those of earlier rounds that may be chosen among them.
        items: Vec<Item>,
    },
    /// The voter has it on its disk.
    Accepted {
        /// The round.
        ballot: Ballot,
    },
    /// The voter has promised a higher ballot.
    Refused {
        /// The round.
        ballot: Ballot,
        /// What was promised.
        promised: Ballot,
    },
    /// The store lost its disk and has not caught up: it counts in no quorum.
    NotVoting {
        /// The round.
        ballot: Ballot,
    },
    /// The round went by a roster that has been replaced.
    Roster {
        /// The round.
        ballot: Ballot,
        /// The newer one; it is chosen.
        roster: Item,
    },
    /// At the first start: asks a seed for its word that it knows no roster. One that knows a roster tells it.
    Candidacy {
        /// The number of the asker's candidacy.
        asker: u64,
    },
    /// Answers [`Message::Candidacy`]: the sender knows no roster.
    Word {
        /// Whom it answers.
        asker: u64,
        /// The number of its own candidacy, if it is a candidate.
        candidate: Option<u64>,
    },
    /// The first roster is written.
    Founded {
        /// The number of the founder's candidacy.
        asker: u64,
        /// The roster.
        roster: Item,
    },
    /// These items are chosen.
    Chosen {
        /// The items.
        items: Vec<Item>,
    },
    /// Compares what is chosen; also tells that the sender lives.
    Exchange {
        /// Names the answer.
        seq: u64,
        /// Of all the sender's chosen items.
        digest: u64,
    },
    /// Answers [`Message::Exchange`]: nothing differs.
    Same {
        /// Which.
        seq: u64,
        /// Whether the sender counts in quorums.
        voting: bool,
        /// Names and versions that the sender has accepted and does not know to be chosen.
        open: Vec<(ItemKey, u64)>,
    },
    /// Answers [`Message::Exchange`]: something differs.
    Differ {
        /// Which.
        seq: u64,
        /// By bucket.
        digests: Vec<u64>,
        /// As in [`Message::Same`].
        open: Vec<(ItemKey, u64)>,
    },
    /// Wants the chosen items of these buckets.
    Fetch {
        /// Names the answer.
        seq: u64,
        /// Which buckets.
        buckets: Vec<u8>,
    },
    /// Answers [`Message::Fetch`].
    Items {
        /// Which.
        seq: u64,
        /// The items.
        items: Vec<Item>,
        /// Whether the sender counts in quorums.
        voting: bool,
    },
    /// The voter's disk takes no writes: it neither promises nor accepts.
    DiskUnavailable {
        /// The round.
        ballot: Ballot,
    },
}
