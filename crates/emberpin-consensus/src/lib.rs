//! Consensus on the configuration: which items are chosen, and who votes.
//!
//! A single register in the manner of `CASPaxos`, without a log and without a leader. Its value is a set of items, one
//! of which is the roster of voters. A replica that takes a call becomes the proposer of a *round*:
//!
//! 1. It asks the voters to promise its ballot. Each tells with its promise what it knows to be chosen and what it
//!    accepted last.
//! 2. With promises of a majority it judges the call on all that is chosen or may be, and proposes the call's items
//!    together with what may be chosen already.
//! 3. Once a quorum has accepted them, the items are chosen, and the caller gets its reply.
//!
//! So each call is judged on everything that was acknowledged before it, and takes effect completely or not at all.
//! Chosen items merge by key and version, and spread between replicas by comparison of digests.
//!
//! There is no I/O, no clock and no source of randomness in this crate: the host passes time, messages and
//! completed writes to [`Replica::handle`], and carries out the [`Action`]s that come back. The design is described in
//! `docs/design/consensus.md`.
#![forbid(unsafe_code)]

mod acceptor;
mod ballot;
mod bootstrap;
mod call;
mod error;
mod event;
mod guards;
mod hash;
mod incarnation;
pub mod message;
mod quorum;
mod replica;
mod roster;
mod round;
mod state;
mod storage;
mod task;
mod time;

pub use ballot::{AcceptedProposal, Ballot};
pub use bootstrap::{BootstrapCandidate, BootstrapNonce};
pub use call::{Call, CallId, CoordinationReply, EvacuationChange, PossibleEffect, WhenLed};
pub use event::{Action, Event, ReplicaOptions, Rounds};
pub use guards::Guards;
pub use incarnation::{Incarnation, LatestIncarnations};
pub use message::Message;
pub use replica::{Replica, COMPARISON_INTERVAL};
pub use state::State;
pub use storage::{PersistedState, WriteBatch, WriteToken};
pub use time::Timestamp;
