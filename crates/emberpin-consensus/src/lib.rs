//! Consensus on the configuration: decides which items are chosen, and which replicas vote.
//!
//! A single register in the manner of `CASPaxos`, without a log and without a mandatory leader. Its value is a set of
//! items, one of which is the roster of voters. The replica that receives a call becomes the proposer of a *round*:
//!
//! 1. It asks the voters to promise its ballot. With its promise, each voter reports the items that it knows to be
//!    chosen and the proposal that it accepted last.
//! 2. With promises of a majority, it evaluates the call on top of all items that are chosen or may be chosen, and
//!    proposes the call's items together with those that may already be chosen.
//! 3. Once a quorum has accepted them, the items are chosen, and the caller gets its reply.
//!
//! Each call is therefore evaluated on everything that was acknowledged before it, and takes effect completely or not
//! at all. Chosen items merge by key and version. Replicas compare digests of their states to find and exchange the
//! chosen items that one of them lacks.
//!
//! This crate has no I/O, no clock and no source of randomness: the host passes time, messages and completed writes to
//! [`Replica::handle`], and carries out the [`Action`]s that it returns. The design is described in
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
