//! What registries say to each other. Each speaks over the connection that it opened, and hears [`Ack`] on
//! it.

use crate::instance::Instance;
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// A instance, as one registry knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// With the standing that the server itself said, whether or not it is heard.
    pub instance: Instance,
    /// It was not heard for too long after this `seq`; a later beat raises it again.
    pub expired: bool,
    /// The registry that it beats at, if that is known.
    pub owner: Option<Ipv4Addr>,
}

/// A limiter that has a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limiter {
    /// Its instance.
    pub incarnation: u64,
    /// The machine's name.
    pub name: String,
    /// Its zone.
    pub zone: String,
}

/// From one registry to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RegistryMessage {
    /// The first message of a connection.
    Hello {
        /// The sender's zone.
        zone: String,
        /// See [`RegistryMessage::Pulse`].
        settled: bool,
        /// All instances that the sender knows.
        instances: Vec<InstanceRecord>,
        /// The limiters that have a session with the sender.
        limiters: Vec<Limiter>,
    },
    /// Instances that have changed.
    Changed {
        /// An [`Ack`] with this number is owed.
        ask: Option<u64>,
        /// The instances.
        instances: Vec<InstanceRecord>,
    },
    /// Comes twice a second, in place of all the beats: the instances that the sender owns are heard.
    Pulse {
        /// The sender is settled.
        settled: bool,
        /// The nonce of a question; a [`RegistryMessage::Alive`] with it is owed.
        question: u64,
        /// Of the instances that it owns; see [`crate::instances::Instances::digest`].
        digest: u64,
    },
    /// Answers a pulse: all that the sender had to tell before has come on this connection.
    Alive {
        /// The pulse's.
        question: u64,
    },
    /// The digest of the receiver's pulse is not the one that the sender finds.
    Want,
    /// All instances that the sender owns, after [`RegistryMessage::Want`].
    Owned {
        /// The instances.
        instances: Vec<InstanceRecord>,
    },
    /// The limiters that have a session with the sender, whenever they change.
    Sessions {
        /// The limiters.
        limiters: Vec<Limiter>,
    },
}

/// Answers [`RegistryMessage::Changed`]: the instances are taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// Which.
    pub ask: u64,
}
