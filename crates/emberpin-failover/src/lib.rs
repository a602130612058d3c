//! Work in hand survives the loss of its limiter: another takes it over, once.
//!
//! Those that hold a customer's keys keep the work itself while it is out. Before each attempt its limiter asks them, and
//! goes on once a majority has written down where the attempt goes. When a limiter is gone, one of them asks the others
//! under a higher ballot; whoever answers lets no attempt of a lower ballot through any more. From what a majority says
//! follows whether the work was sent, and where, and so whether it may go out again (single-decree Paxos for each work,
//! Lamport, "Paxos Made Simple", 2001; the value is the hall of the attempt).
//!
//! It is no log: what is kept lives as long as a request may take, in memory. A keeper that starts anew says so by its
//! life, and counts for no work that began before it.

mod hands;
mod word;

pub use hands::{Action, Event, Hands, Rules};
pub use word::{Ballot, Hall, Member, Millis, Said, Verdict, Went, Work, WorkId};
