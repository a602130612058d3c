//! The messages between registries, which replicate the table of instances by change notifications and anti-entropy
//! (comparison of digests).
//!
//! Each registry opens one connection to every other one, sends [`RegistryMessage`]s over it and receives only [`Ack`]s
//! on it. Any other answer to a message is itself a [`RegistryMessage`], which the receiver sends over its own
//! connection.
//!
//! The order of the variants and of their fields is the wire format (postcard): new ones are appended, and only with a
//! new protocol version.

use crate::ids::{AckId, Digest, Incarnation, Nonce};
use crate::instance::Instance;
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// The state of one instance as a registry knows it and replicates it to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// The instance with the status that its server reported last, even if it has been evicted since.
    pub instance: Instance,
    /// Whether the instance was evicted because no heartbeat followed the one with the `seq` of `instance`. A heartbeat
    /// with a higher `seq` revives the instance.
    pub expired: bool,
    /// The registry that receives the instance's heartbeats, or `None` if it is not known.
    pub owner: Option<Ipv4Addr>,
}

/// Identifies a proxy that has a session with a registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyIdentity {
    /// The proxy's incarnation, drawn at random when its process starts.
    pub incarnation: Incarnation,
    /// The name of the proxy's machine; proxies are counted by it.
    pub name: String,
    /// The zone of the proxy's machine.
    pub zone: String,
}

/// A message from one registry to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RegistryMessage {
    /// The first message of a connection, repeated for each further batch of the table. The receiver merges the
    /// records.
    Hello {
        /// The zone of the sender's machine; servers are directed to registries of their own zone.
        zone: String,
        /// As in [`RegistryMessage::Heartbeat`].
        confirmed: bool,
        /// A batch of the sender's table, without instances that were removed more than a minute ago.
        instances: Vec<InstanceRecord>,
        /// The proxies that have a session with the sender.
        proxies: Vec<ProxyIdentity>,
    },
    /// Sent when instances change. The receiver merges the records, and forwards a server's drain or exit to the other
    /// registries once.
    Changed {
        /// If set, the sender waits for an [`Ack`] with this id before it acknowledges a drain or an exit.
        ack_id: Option<AckId>,
        /// The records that have changed.
        instances: Vec<InstanceRecord>,
    },
    /// Sent every [`crate::timing::PEER_HEARTBEAT_INTERVAL`] in place of the heartbeats of all servers whose instances
    /// the sender owns. The receiver answers with [`RegistryMessage::HeartbeatAck`], and with
    /// [`RegistryMessage::FetchOwned`] if its own digest differs.
    Heartbeat {
        /// Whether the sender's state is confirmed by a majority ([`crate::registry::Registry::is_confirmed`]).
        confirmed: bool,
        /// Identifies the sender's lease query; repeated in the answer.
        nonce: Nonce,
        /// The digest of the instances that the sender owns
        /// ([`crate::instance_table::InstanceTable::digest`]).
        digest: Digest,
    },
    /// Answers [`RegistryMessage::Heartbeat`] and renews the receiver's lease on the sender: everything that the sender
    /// had to report when it answered was sent earlier on the same connection.
    HeartbeatAck {
        /// The nonce of the heartbeat.
        nonce: Nonce,
    },
    /// Requests all instances that the receiver owns, because the receiver's digest differs from the one that the
    /// sender computed. Answered by [`RegistryMessage::OwnedInstances`].
    FetchOwned,
    /// Answers [`RegistryMessage::FetchOwned`]. The receiver merges the records, and clears the owner of instances that
    /// its table lists as owned by the sender but that are not among the records.
    OwnedInstances {
        /// The records of all instances that the sender owns.
        instances: Vec<InstanceRecord>,
    },
    /// Sent with the next heartbeat after the sender's sessions have changed. The receiver counts the proxies of all
    /// registries.
    ProxySessions {
        /// The proxies that have a session with the sender.
        proxies: Vec<ProxyIdentity>,
    },
}

/// The size in bytes at which a batch of records is closed.
const RECORD_BATCH_BYTES: usize = 64 << 10;
/// The estimated size in bytes of a record without its strings.
const RECORD_OVERHEAD_BYTES: usize = 48;

/// Splits records into batches for messages of bounded size. Returns at least one batch, which may be empty.
pub(crate) fn record_batches(records: Vec<InstanceRecord>) -> Vec<Vec<InstanceRecord>> {
    let mut batches = vec![Vec::new()];
    let mut bytes = 0;
    for record in records {
        if bytes >= RECORD_BATCH_BYTES {
            batches.push(Vec::new());
            bytes = 0;
        }
        let instance = &record.instance;
        bytes += RECORD_OVERHEAD_BYTES
            + instance.id.len()
            + instance.service.len()
            + instance.zone.len();
        if let Some(batch) = batches.last_mut() {
            batch.push(record);
        }
    }
    batches
}

/// Answers a [`RegistryMessage::Changed`] that carries an `ack_id`, once the records are merged. Sent back over the
/// connection on which the message arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// The `ack_id` of the message.
    pub ack_id: AckId,
}
