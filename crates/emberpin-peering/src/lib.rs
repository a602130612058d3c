//! How instances talk where they may: who is a member, in which life, since when; bounded frames, versions, back
//! pressure; replay kept out; silence found.
//!
//! [`Link`] is a state machine like `emberpin-balancer`'s: it has no I/O, no clock and no randomness. Its host opens connections
//! (over mutual TLS, except on loopback), feeds bytes and time, and writes what it is told to. It carries messages of
//! others as a kind and bytes, and knows nothing of what they mean.
//!
//! It is not a broadcast, keeps nothing for a member that is not there, and delivers at most once: what was handed over
//! may or may not have arrived when a connection ends, and only the other side can tell.
#![forbid(unsafe_code)]

mod frame;
mod link;
mod message;

pub use frame::{Frames, TooLong};
pub use link::{
    Action, Belief, Closing, ConnectionId, Event, Link, Member, Millis, Refused, Settings, Standing,
};
pub use message::{Incarnation, Message, Rejection, Unreadable, OPTIONAL, VERSIONS};

/// The former name of [`Incarnation`], until `emberpin-failover` has moved on.
pub type Life = Incarnation;
