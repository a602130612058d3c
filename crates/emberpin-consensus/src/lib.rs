//! Ballots: which items are chosen, and who votes.
//!
//! No I/O, no clock, no randomness of its own. There is one register, decided by ballots: a set of items that
//! is to join what is chosen already. Whoever takes a call asks a majority of the voters to promise its
//! ballot, hears what is chosen and what may be, judges the call on that, and proposes the call's items
//! together with whatever it heard that may be chosen. So each call is judged on everything that was
//! acknowledged before it, and takes effect whole or not at all. What is chosen merges item by item, and
//! copies of it spread by digests.
#![forbid(unsafe_code)]

mod acceptor;
mod call;
mod message;
mod renewals;
mod replica;
mod round;
mod state;

pub use acceptor::{Guards, Kept, Write};
pub use call::Call;
pub use message::{Ballot, Message, Pending};
pub use renewals::{Incarnation, Renewals};
pub use replica::{Action, Candidacy, Event, Options, Replica, EXCHANGE};
pub use state::State;
