//! Work, its identity, and who may run it. These types are part of messages: their fields keep their order.

use emberpin_peering::Incarnation;
use serde::{Deserialize, Serialize};

/// The number of a limiter, the same in the settings of all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member(pub u32);

/// The identity of a work: a claim to an idempotency key, made by one incarnation of a limiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkId {
    /// The limiter that received the request.
    pub claimant: Member,
    /// The claimant's incarnation at that time. When this incarnation ends, the work may be taken over.
    pub incarnation: Incarnation,
    /// Number of the claim, unique within that incarnation.
    pub claim_number: u64,
}

/// Who may run a work: the proposer of the highest ballot that a majority has promised.
///
/// The order of the fields is the order of ballots. The claimant's own has round 0 and is the lowest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Higher than all rounds that the proposer has seen for this work.
    pub round: u32,
    /// The limiter that runs the work, if the ballot wins.
    pub proposer: Member,
}

/// The servers that drop duplicates of a request together, as numbered in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerGroup {
    /// Number of the zone.
    pub zone: u32,
    /// Number of the cell within its zone.
    pub cell: u32,
}

/// The first attempt of a work, from which the deduplication window counts.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct FirstAttempt {
    /// The servers it was sent to, or was about to be.
    pub group: ServerGroup,
    /// Upper bound of its age.
    pub age_ms: f64,
}

/// A request, in the form that another limiter needs to send it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Work {
    /// The request as the host encodes it; opaque here.
    pub payload: Vec<u8>,
    /// How long the servers drop duplicates of the request. Without it, a work that may have run is never sent again.
    pub deduplication_window_ms: Option<f64>,
    /// Time left for the request; no attempt begins after it.
    pub time_left_ms: f64,
}

/// Why a work of a lost limiter is abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It was not sent and never will be: its key is free again.
    NotSent,
    /// It may have run, and must not be sent again.
    MayHaveRun,
}
