//! Messages between replicas. Each may be lost, delayed, reordered or duplicated.
//!
//! The order of variants and of fields is the encoding on the wire.

use crate::ballot::{AcceptedProposal, Ballot};
use crate::incarnation::{Incarnation, LatestIncarnations};
use emberpin_config::{Item, ItemKey, Version};
use serde::{Deserialize, Serialize};

/// Identifies one comparison of states, unique within the process that began it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ComparisonId(pub u64);

/// Names one version of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemVersion {
    /// The item's key.
    pub key: ItemKey,
    /// Its version.
    pub version: Version,
}

/// A message from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Phase 1, from a proposer to all voters of its roster. A voter that has promised no higher ballot answers
    /// [`Message::Promise`] once its promise is on its disk.
    Prepare {
        /// The round's ballot.
        ballot: Ballot,
        /// The newest roster that the proposer knows to be chosen.
        roster: Item,
        /// Digests of the proposer's chosen items, one for each bucket of keys.
        digests: Vec<u64>,
        /// Whether the proposer lost its disk and catches up by this round; the voter then records the round as the
        /// proposer's incarnation.
        recovers: bool,
    },
    /// Answers [`Message::Prepare`]: from now on the voter accepts nothing at a lower ballot. With promises of a
    /// majority the proposer goes on to [`Message::Accept`].
    Promise {
        /// The round's ballot.
        ballot: Ballot,
        /// The incarnation in which the voter promises.
        incarnation: Incarnation,
        /// The incarnations that the voter knows of others; they void earlier promises of theirs.
        latest_incarnations: LatestIncarnations,
        /// The proposal that the voter accepted last. Of all that are told to it, the proposer has to propose the one
        /// of the highest ballot again, as it may be chosen.
        accepted: AcceptedProposal,
        /// The buckets in which the voter's chosen items differ from the proposer's.
        buckets: Vec<u8>,
        /// The voter's chosen items in these buckets.
        chosen: Vec<Item>,
    },
    /// Phase 2, from a proposer to all voters of its roster. A voter that has promised no higher ballot answers
    /// [`Message::Accepted`] once the proposal is on its disk.
    Accept {
        /// The round's ballot.
        ballot: Ballot,
        /// As in [`Message::Prepare`].
        roster: Item,
        /// Chosen items that some voter lacked when it promised.
        chosen: Vec<Item>,
        /// The proposed items, including those of earlier rounds that may be chosen.
        items: Vec<Item>,
    },
    /// Answers [`Message::Accept`]: the proposal is on the voter's disk. Once a quorum has accepted, the items are
    /// chosen, and the proposer replies to its callers.
    Accepted {
        /// The round's ballot.
        ballot: Ballot,
    },
    /// Answers [`Message::Prepare`] or [`Message::Accept`]: the voter has promised a higher ballot. The proposer's
    /// next round starts above it.
    Rejected {
        /// The round's ballot.
        ballot: Ballot,
        /// The ballot that the voter has promised.
        promised: Ballot,
    },
    /// Answers [`Message::Prepare`] or [`Message::Accept`]: the replica lost its disk and has not caught up, so it
    /// counts in no quorum. The proposer goes on with the other voters.
    NotVoting {
        /// The round's ballot.
        ballot: Ballot,
    },
    /// Answers [`Message::Prepare`] or [`Message::Accept`]: the round's roster has been replaced. The proposer learns
    /// the newer roster and starts over.
    StaleRoster {
        /// The round's ballot.
        ballot: Ballot,
        /// The newer roster; it is chosen.
        roster: Item,
    },
    /// From the seed of the lowest address to all other seeds, at the bootstrap of the system. A seed that knows a
    /// roster answers with [`Message::Chosen`], any other with [`Message::BootstrapReply`].
    BootstrapQuery {
        /// The sender's [`BootstrapCandidate::nonce`](crate::BootstrapCandidate::nonce).
        query_nonce: u64,
    },
    /// Answers [`Message::BootstrapQuery`]: the sender knows no roster. Once all seeds have said so, and most of them
    /// are candidates, the seed that asked writes the first roster.
    BootstrapReply {
        /// The nonce of the query.
        query_nonce: u64,
        /// The sender's own nonce, if it is a candidate.
        candidate_nonce: Option<u64>,
    },
    /// From the seed of the lowest address to all other seeds, once the first roster is on its disk. The receiver
    /// learns the roster, and votes at once if it names the receiver's own nonce.
    FirstRoster {
        /// The nonce of the query that led to it.
        query_nonce: u64,
        /// The first roster.
        roster: Item,
    },
    /// Tells items that are known to be chosen: from a proposer to all replicas that it knows when its round is over,
    /// and from any replica to one that lacks them. The receiver learns them; there is no answer.
    Chosen {
        /// The chosen items.
        items: Vec<Item>,
    },
    /// From each replica to the others, once in [`COMPARISON_INTERVAL`](crate::COMPARISON_INTERVAL): compares what
    /// they know to be chosen. It is also the heartbeat by which the receiver knows the sender to be alive.
    CompareDigest {
        /// Repeated in the answer.
        comparison_id: ComparisonId,
        /// Digest of all of the sender's chosen items.
        digest: u64,
    },
    /// Answers [`Message::CompareDigest`]: both replicas know the same chosen items.
    DigestMatches {
        /// The comparison that this answers.
        comparison_id: ComparisonId,
        /// Whether the sender counts in quorums.
        voting: bool,
        /// What the sender has accepted and does not know to be chosen. It may have been acknowledged to a caller, so
        /// the comparison counts only once the receiver knows these versions, or newer ones, to be chosen.
        unchosen: Vec<ItemVersion>,
    },
    /// Answers [`Message::CompareDigest`]: the chosen items differ. The receiver sends the items that it has in the
    /// differing buckets by [`Message::Chosen`], and asks for the sender's by [`Message::FetchBuckets`].
    DigestDiffers {
        /// The comparison that this answers.
        comparison_id: ComparisonId,
        /// Digests of the sender's chosen items, one for each bucket of keys.
        digests: Vec<u64>,
        /// As in [`Message::DigestMatches`].
        unchosen: Vec<ItemVersion>,
    },
    /// Answers [`Message::DigestDiffers`]: asks for the chosen items of the differing buckets.
    FetchBuckets {
        /// The comparison that this belongs to.
        comparison_id: ComparisonId,
        /// The differing buckets.
        buckets: Vec<u8>,
    },
    /// Answers [`Message::FetchBuckets`]. The receiver learns the items, which completes the comparison.
    BucketItems {
        /// The comparison that this belongs to.
        comparison_id: ComparisonId,
        /// All chosen items that the sender has in the buckets.
        items: Vec<Item>,
        /// Whether the sender counts in quorums.
        voting: bool,
    },
    /// Answers [`Message::Prepare`] or [`Message::Accept`]: the voter's disk takes no writes, so it neither promises
    /// nor accepts. The proposer goes on with the other voters, as long as they are a majority.
    DiskUnavailable {
        /// The round's ballot.
        ballot: Ballot,
    },
}
