//! Messages between replicas. Each may be lost, delayed, reordered or duplicated.
//!
//! A round takes [`Prepare`] and [`Promise`], then [`Accept`] and [`Accepted`]; [`Chosen`] spreads its result. Replicas
//! compare their chosen items by [`CompareDigest`] and the messages that answer it. The first roster is agreed on by
//! [`BootstrapQuery`], [`BootstrapReply`] and [`FirstRoster`]; [`CandidacyQuery`] and [`CandidacyReply`] may precede
//! these. In the rounds of a leader, [`AcceptLed`] and [`AcceptedLed`] take the place of both phases.
//!
//! The order of variants and of fields is the encoding on the wire.

use crate::ballot::{AcceptedProposal, Ballot};
use crate::bootstrap::BootstrapNonce;
use crate::incarnation::{Incarnation, LatestIncarnations};
use emberpin_config::{Item, ItemKey, Version};
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// Identifies one comparison of states, unique within the process that began it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ComparisonId(pub u64);

/// Identifies one version of an item.
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
    /// Phase 1 of a round: a proposer asks a voter for its promise.
    Prepare(Prepare),
    /// A voter promises a ballot.
    Promise(Promise),
    /// Phase 2 of a round: a proposer asks a voter to accept its proposal.
    Accept(Accept),
    /// A voter has accepted a proposal.
    Accepted(Accepted),
    /// A voter has promised a higher ballot.
    Rejected(Rejected),
    /// A replica does not vote, as it lost its disk and has not caught up.
    NotVoting(NotVoting),
    /// The roster of a round has been replaced.
    StaleRoster(StaleRoster),
    /// The initiator of the bootstrap asks whether a seed knows a roster.
    BootstrapQuery(BootstrapQuery),
    /// A seed knows no roster.
    BootstrapReply(BootstrapReply),
    /// The initiator has written the first roster.
    FirstRoster(FirstRoster),
    /// Items are known to be chosen.
    Chosen(Chosen),
    /// A replica compares its chosen items with another one; the heartbeat between replicas.
    CompareDigest(CompareDigest),
    /// Two replicas know the same chosen items.
    DigestMatches(DigestMatches),
    /// Two replicas know different chosen items.
    DigestDiffers(DigestDiffers),
    /// A replica asks for the chosen items of some buckets.
    FetchBuckets(FetchBuckets),
    /// The chosen items of some buckets.
    BucketItems(BucketItems),
    /// A voter cannot write to its disk.
    DiskUnavailable(DiskUnavailable),
    /// A seed that is not a candidate asks another seed whether it knows a roster.
    CandidacyQuery(CandidacyQuery),
    /// A seed knows no roster, and is configured with the seeds of the query.
    CandidacyReply(CandidacyReply),
    /// Phase 2 of a round of a leader, together with phase 1 of its next one.
    AcceptLed(AcceptLed),
    /// A voter has accepted a proposal of a leader, and promises the leader's next ballot.
    AcceptedLed(AcceptedLed),
    /// A replica asks for the chosen items of some buckets that are newer than its own.
    FetchNewer(FetchNewer),
}

/// Phase 1, from a proposer to all voters of its roster. A voter that has promised no higher ballot answers [`Promise`]
/// once its promise is on its disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prepare {
    /// The round's ballot.
    pub ballot: Ballot,
    /// The newest roster that the proposer knows to be chosen.
    pub roster: Item,
    /// Digests of the proposer's chosen items, one for each bucket of keys.
    pub digests: Vec<u64>,
    /// Whether the proposer lost its disk and catches up by this round; the voter then records the round as the
    /// proposer's incarnation.
    pub recovers: bool,
}

/// Answers [`Prepare`]: from now on the voter accepts nothing at a lower ballot. With promises of a majority the
/// proposer goes on to [`Accept`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promise {
    /// The round's ballot.
    pub ballot: Ballot,
    /// The incarnation in which the voter promises.
    pub incarnation: Incarnation,
    /// The incarnations of other voters that this voter knows. Promises that those voters made in earlier incarnations
    /// are void.
    pub latest_incarnations: LatestIncarnations,
    /// The proposal that the voter accepted last. Of the proposals reported by its quorum, the proposer has to propose
    /// the one with the highest ballot again, as it may be chosen.
    pub accepted: AcceptedProposal,
    /// The buckets in which the voter's chosen items differ from the proposer's.
    pub buckets: Vec<u8>,
    /// The voter's chosen items in these buckets.
    pub chosen: Vec<Item>,
}

/// Phase 2, from a proposer to all voters of its roster. A voter that has promised no higher ballot answers
/// [`Accepted`] once the proposal is on its disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accept {
    /// The round's ballot.
    pub ballot: Ballot,
    /// As in [`Prepare`].
    pub roster: Item,
    /// Chosen items that some voter lacked when it promised.
    pub chosen: Vec<Item>,
    /// The proposed items, including those of earlier rounds that may be chosen.
    pub items: Vec<Item>,
}

/// Answers [`Accept`]: the proposal is on the voter's disk. Once a quorum has accepted, the items are chosen, and the
/// proposer replies to its callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The round's ballot.
    pub ballot: Ballot,
}

/// Answers [`Prepare`] or [`Accept`]: the voter has promised a higher ballot. The proposer's next round starts above
/// it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejected {
    /// The round's ballot.
    pub ballot: Ballot,
    /// The ballot that the voter has promised.
    pub promised: Ballot,
}

/// Answers [`Prepare`] or [`Accept`]: the replica lost its disk and has not caught up, so it counts in no quorum. The
/// proposer goes on with the other voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotVoting {
    /// The round's ballot.
    pub ballot: Ballot,
}

/// Answers [`Prepare`] or [`Accept`]: the round's roster has been replaced. The proposer learns the newer roster and
/// starts over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StaleRoster {
    /// The round's ballot.
    pub ballot: Ballot,
    /// The newer roster; it is chosen.
    pub roster: Item,
}

/// From the seed of the lowest address to all other seeds, at the bootstrap of the system. A seed that knows a roster
/// answers with [`Chosen`], any other with [`BootstrapReply`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BootstrapQuery {
    /// The sender's [`BootstrapCandidate::nonce`](crate::BootstrapCandidate::nonce).
    pub query_nonce: BootstrapNonce,
}

/// Answers [`BootstrapQuery`]: the sender knows no roster. Once all seeds have answered this, and a majority of them
/// are candidates, the receiver writes the first roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BootstrapReply {
    /// The nonce of the query.
    pub query_nonce: BootstrapNonce,
    /// The sender's own nonce, if it is a candidate.
    pub candidate_nonce: Option<BootstrapNonce>,
}

/// From the seed of the lowest address to all other seeds, once the first roster is on its disk. The receiver learns
/// the roster, and votes at once if it names the receiver's own nonce.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FirstRoster {
    /// The nonce of the query that led to it.
    pub query_nonce: BootstrapNonce,
    /// The first roster.
    pub roster: Item,
}

/// From a seed that knows no roster and is not a candidate, to all other seeds. A seed that knows a roster answers with
/// [`Chosen`]. A seed without a roster answers with [`CandidacyReply`] if it is configured with the same seeds, and
/// otherwise not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CandidacyQuery {
    /// Distinguishes the answers to this query from those to other queries.
    pub query_nonce: BootstrapNonce,
    /// The seeds in the sender's settings, sorted.
    pub seeds: Vec<Ipv4Addr>,
}

/// Answers [`CandidacyQuery`]: the sender knows no roster, and is configured with the same seeds. Once all seeds have
/// answered this, and at least one of them is a candidate, the receiver becomes a candidate, too.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CandidacyReply {
    /// The nonce of the query.
    pub query_nonce: BootstrapNonce,
    /// Whether the sender is a candidate whose nonce is synced to its disk.
    pub is_candidate: bool,
}

/// Announces items that are known to be chosen: from a proposer to all replicas that it knows once its round is over,
/// and from any replica to a replica that lacks them. The receiver learns them; there is no answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chosen {
    /// The chosen items.
    pub items: Vec<Item>,
}

/// From each replica to the others, once per [`COMPARISON_INTERVAL`](crate::COMPARISON_INTERVAL): compares the items
/// that they know to be chosen. It is also the heartbeat that shows the receiver that the sender is alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompareDigest {
    /// Repeated in the answer.
    pub comparison_id: ComparisonId,
    /// Digest of all of the sender's chosen items.
    pub digest: u64,
}

/// Answers [`CompareDigest`]: both replicas know the same chosen items.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestMatches {
    /// The comparison that this answers.
    pub comparison_id: ComparisonId,
    /// Whether the sender counts in quorums.
    pub voting: bool,
    /// The versions of the items that the sender has accepted and does not know to be chosen. They may have been
    /// acknowledged to a caller, so the comparison counts only once the receiver knows these versions, or newer ones,
    /// to be chosen.
    pub unchosen: Vec<ItemVersion>,
}

/// Answers [`CompareDigest`]: the chosen items differ. The receiver sends the items that it has in the differing
/// buckets by [`Chosen`], and asks for the sender's items by [`FetchBuckets`], or by [`FetchNewer`] with
/// [`Rounds::Led`](crate::Rounds::Led).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestDiffers {
    /// The comparison that this answers.
    pub comparison_id: ComparisonId,
    /// Digests of the sender's chosen items, one for each bucket of keys.
    pub digests: Vec<u64>,
    /// As in [`DigestMatches`].
    pub unchosen: Vec<ItemVersion>,
}

/// Answers [`DigestDiffers`]: asks for the chosen items of the differing buckets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchBuckets {
    /// The comparison that this belongs to.
    pub comparison_id: ComparisonId,
    /// The differing buckets.
    pub buckets: Vec<u8>,
}

/// Answers [`FetchBuckets`]. The receiver learns the items, which completes the comparison.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketItems {
    /// The comparison that this belongs to.
    pub comparison_id: ComparisonId,
    /// All chosen items that the sender has in the buckets.
    pub items: Vec<Item>,
    /// Whether the sender counts in quorums.
    pub voting: bool,
}

/// Answers [`Prepare`] or [`Accept`]: the voter's disk takes no writes, so it neither promises nor accepts. The
/// proposer goes on with the other voters as long as they are a majority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiskUnavailable {
    /// The round's ballot.
    pub ballot: Ballot,
}

/// Phase 2 of a leader's round together with phase 1 of its next one, from the leader to all voters of its roster. A
/// voter that has promised no higher ballot answers [`AcceptedLed`] once the proposal and the promise are on its disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptLed {
    /// The round's ballot.
    pub ballot: Ballot,
    /// The ballot of the leader's next round.
    pub next_ballot: Ballot,
    /// As in [`Prepare`].
    pub roster: Item,
    /// Chosen items that some voter may lack: those of the leader's last round, or those that some voter lacked when it
    /// promised.
    pub chosen: Vec<Item>,
    /// The proposed items; empty if the round only reads.
    pub items: Vec<Item>,
}

/// Answers [`AcceptLed`], and takes the place of [`Accepted`] for this round and of [`Promise`] for the leader's next
/// round. Once a quorum has answered, the items are chosen, and the next round needs no phase 1: the accepted proposal
/// that each of its promises would report is this one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedLed {
    /// The round's ballot.
    pub ballot: Ballot,
    /// The ballot that the voter promises.
    pub next_ballot: Ballot,
    /// As in [`Promise`].
    pub incarnation: Incarnation,
    /// As in [`Promise`].
    pub latest_incarnations: LatestIncarnations,
}

/// Answers [`DigestDiffers`] in place of [`FetchBuckets`] with [`Rounds::Led`](crate::Rounds::Led), where items change
/// all the time. Answered by [`BucketItems`] with only the items that are newer than `known`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchNewer {
    /// The comparison that this belongs to.
    pub comparison_id: ComparisonId,
    /// The differing buckets.
    pub buckets: Vec<u8>,
    /// The versions that the sender knows in these buckets.
    pub known: Vec<ItemVersion>,
}
