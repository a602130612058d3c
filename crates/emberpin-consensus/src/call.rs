//! Calls of clients to a replica, and the replies to operations of applications.

use emberpin_config::Version;
use emberpin_coordination::{Operation, Outcome};
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// Identifies a call until it is replied to; chosen by the host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// A client's request to a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Change the items in this body, a patch as `emberpin-config` reads it.
    Patch(Vec<u8>),
    /// Read the whole configuration.
    Get,
    /// Begin or end the evacuation of a zone.
    Evacuate {
        /// The zone's name.
        zone: String,
        /// Whether the evacuation begins or ends.
        change: EvacuationChange,
        /// The version of the zone's evacuation that a registry knew when it first received the call; it redirects the
        /// caller to a URL with this version. [`Version::NEVER_SET`] if the zone had none. The call is rejected once
        /// another version is chosen, so that a call that its caller has abandoned changes nothing after a later one
        /// was acknowledged.
        precondition: Version,
    },
    /// An operation of an application on registers. Answered by [`Action::ReplyToApplication`].
    ///
    /// [`Action::ReplyToApplication`]: crate::Action::ReplyToApplication
    Coordinate {
        /// The operation.
        operation: Operation,
        /// How this replica handles the operation if another replica leads.
        when_led: WhenLed,
    },
}

/// How a replica handles an operation while another replica leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WhenLed {
    /// It replies with the leader's address, and does not carry out the operation.
    Redirect,
    /// It takes the lead: the caller has found the leader to be unreachable.
    TakeOver,
}

/// The reply to [`Call::Coordinate`]. The order of variants and fields is the encoding on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CoordinationReply {
    /// The operation is done.
    Done(Outcome),
    /// Another replica leads. The operation can be sent to it.
    NotLeader {
        /// The leader's address.
        leader: Ipv4Addr,
        /// Whether this replica may have carried the operation out.
        effect: PossibleEffect,
    },
    /// The operation was not decided.
    Undecided {
        /// Whether this replica may have carried the operation out.
        effect: PossibleEffect,
    },
}

/// Whether an operation without an outcome may have taken effect, or may still do so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum PossibleEffect {
    /// It has had no effect, and never will have one.
    None,
    /// It was proposed, and may be chosen.
    Unknown,
}

/// Whether an evacuation begins or ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EvacuationChange {
    /// The evacuation of the zone begins.
    Begin,
    /// The evacuation ends: the zone may be used again.
    End,
}
