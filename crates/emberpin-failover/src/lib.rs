//! Failover of requests in flight: when a limiter is lost, another one takes its work over, at most once.
//!
//! The members that hold a customer's idempotency keys are the *acceptors* of the work that runs under these keys.
//! Before each attempt the owner of a work asks them to accept where the attempt goes, and sends it once a majority
//! has. When a limiter is lost, an acceptor becomes a candidate: it asks the others to promise a higher ballot. Whoever
//! promises lets no attempt of a lower ballot through. What a majority has accepted tells whether the work was sent,
//! and where, and so whether it may be sent again.
//!
//! This is single-decree Paxos for each work (Lamport, "Paxos Made Simple", 2001). The value is the server group of the
//! first attempt.
//!
//! State lives in memory, for as long as a request may take. An acceptor that has restarted is recognised by its new
//! incarnation, and counts for no work that began before.
//!
//! There is no I/O, no clock and no source of randomness in this crate: the host passes time and events to
//! [`Failover::handle`], and carries out the [`Action`]s that come back. The design is described in
//! `docs/design/failover.md`.
#![forbid(unsafe_code)]

mod config;
mod event;
mod failover;
mod message;
mod time;
mod work;

pub use config::Config;
pub use event::{Action, Event};
pub use failover::{Failover, Usage};
pub use message::{AcceptedAttempt, Message};
pub use time::Timestamp;
pub use work::{Ballot, FirstAttempt, Member, ServerGroup, Verdict, Work, WorkId};
