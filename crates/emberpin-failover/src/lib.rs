//! Failover of requests in flight: when a limiter is lost, another one takes over its work, at most once.
//!
//! A *work* is one request that runs under an idempotency key; its *owner* is the limiter that runs it. The members
//! that hold a customer's idempotency keys are the *acceptors* of the works under these keys. Before each attempt the
//! owner asks them to accept the server group that the attempt is sent to, and sends the attempt once a majority has
//! accepted. When a limiter is lost, an acceptor becomes a candidate: it asks the acceptors to promise a higher ballot.
//! An acceptor that has promised a ballot accepts no attempt of a lower one. The attempts that a majority has accepted
//! show whether the work was sent, and where, and so whether it may be sent again.
//!
//! This is single-decree Paxos for each work (Lamport, "Paxos Made Simple", 2001). The value is the server group of the
//! first attempt.
//!
//! State is kept in memory only, for as long as a request may take. An acceptor that has restarted is recognised by its
//! new incarnation, and does not count for work that began before.
//!
//! There is no I/O, no clock and no source of randomness in this crate: the host passes time and events to
//! [`Failover::handle`], and carries out the [`Action`]s that it returns. The design is described in
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
