//! The messages of a session: the connection over which a proxy receives the configuration and the instances that one
//! registry knows.
//!
//! A session begins with [`FromProxy::Hello`]. The registry answers with the changes since the revision that the
//! proxy resumes from, or with a snapshot in parts, and from then on sends every change. Twice a second the proxy
//! sends [`FromProxy::KeepAlive`]; the answer, [`ToProxy::Confirmation`], renews its read lease
//! ([`crate::lease`]).
//!
//! The order of the variants and of their fields is the wire format (postcard): new ones are appended, and only with a
//! new protocol version.

use crate::ids::{Incarnation, Nonce};
use crate::instance::Instance;
use emberpin_config::{Item, ItemKey};
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;
use std::time::Duration;

/// The first message on every connection to a registry's port. It states whether a proxy or a registry has opened the
/// connection.
///
/// Sent by the side that connects, once, right after the preamble. The registry decodes all further frames of the
/// connection as messages of that role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConnectionRole {
    /// A proxy; [`FromProxy::Hello`] is its next message.
    Proxy,
    /// The registry on the machine of this address; [`crate::peers::RegistryMessage::Hello`] is its next message.
    Registry(Ipv4Addr),
}

/// A position in one registry's log of changes ([`crate::change_log::ChangeLog`]).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Revision {
    /// The incarnation of the registry that wrote the log. Revisions of different incarnations cannot be compared.
    pub incarnation: Incarnation,
    /// The number of the last change that is included. Changes are numbered from 1; 0 includes none.
    pub number: u64,
}

/// The last entry of a snapshot part. The snapshot lists all items in the order of their keys, then all instances in
/// the order of their ids, so the cursor determines where the next part begins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SnapshotCursor {
    /// The part ended with the item of this key.
    Item(ItemKey),
    /// The part ended with the instance of this id, after all items.
    Instance(String),
}

/// How far a proxy has synchronized with one registry. It outlives the session, so that the next session with the
/// same registry resumes from it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SyncProgress {
    /// The revision up to which every change has been received, for entries before the cursor `next_part`.
    pub revision: Revision,
    /// The cursor after which the next snapshot part begins; `None` once all parts have been received.
    pub next_part: Option<SnapshotCursor>,
}

impl SyncProgress {
    /// The revision up to which all entries are known; `None` while parts of the snapshot are missing.
    pub fn synced_revision(&self) -> Option<Revision> {
        self.next_part.is_none().then_some(self.revision)
    }

    /// Updates `progress` for a message received from the registry. The caller applies the contents of the message
    /// itself. If `next_part` is set afterwards, the proxy must fetch that part.
    pub fn advance(progress: &mut Option<SyncProgress>, message: &ToProxy) {
        match (message, progress) {
            (
                ToProxy::Snapshot {
                    revision,
                    next_part,
                    ..
                },
                progress,
            ) => {
                *progress = Some(SyncProgress {
                    revision: *revision,
                    next_part: next_part.clone(),
                });
            }
            (ToProxy::SnapshotPart { next_part, .. }, Some(known)) => {
                known.next_part.clone_from(next_part);
            }
            (ToProxy::Changes { revision, .. }, Some(known)) => known.revision = *revision,
            (ToProxy::Changes { revision, .. }, progress) => {
                *progress = Some(SyncProgress {
                    revision: *revision,
                    next_part: None,
                });
            }
            (ToProxy::SnapshotPart { .. } | ToProxy::Confirmation { .. }, _) => {}
        }
    }
}

/// A message from a proxy to a registry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromProxy {
    /// The first message of a session. The registry adds the instances that it does not know to its table, and answers
    /// with [`ToProxy::Changes`] if its log reaches back to `resume_from`, else with [`ToProxy::Snapshot`].
    Hello {
        /// The proxy's incarnation, drawn at random when its process starts.
        incarnation: Incarnation,
        /// The name of the proxy's machine; proxies are counted by it.
        name: String,
        /// The zone of the proxy's machine.
        zone: String,
        /// The revision that the proxy reached in an earlier session with this registry, if any.
        resume_from: Option<Revision>,
        /// The instances that the proxy knows, from which a registry that has lost its table restores it.
        instances: Vec<Instance>,
    },
    /// Sent every [`crate::timing::KEEP_ALIVE_INTERVAL`] while the session lasts, and answered by
    /// [`ToProxy::Confirmation`]. A registry closes a session in which it has received no message for two seconds.
    KeepAlive {
        /// The revision up to which every change is in force at the proxy; `None` until its snapshot is complete.
        applied: Option<Revision>,
        /// Identifies the lease query; repeated in the answer.
        nonce: Nonce,
    },
    /// Requests the next part of the snapshot; answered by [`ToProxy::SnapshotPart`]. Sent after each part that has set
    /// `next_part`, so at most one part is in flight.
    FetchSnapshotPart {
        /// The cursor that the previous part named.
        after: SnapshotCursor,
    },
}

/// A message from a registry to a proxy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToProxy {
    /// Answers [`FromProxy::Hello`] if the registry's log does not reach back to the proxy's revision. Contains the
    /// whole state, or its first part. The proxy merges it, and drops instances that are not listed only if the
    /// snapshot is `complete`.
    Snapshot {
        /// The revision at which the snapshot begins; later changes follow as [`ToProxy::Changes`].
        revision: Revision,
        /// Configuration items, including tombstones of deleted ones.
        items: Vec<Item>,
        /// Instances that are up or draining, and those that are removed although the proxy's hello lists them with
        /// another status.
        instances: Vec<Instance>,
        /// Whether the registry has been confirmed for long enough to have received a heartbeat from every live server.
        complete: bool,
        /// Set if more parts follow: the cursor that the proxy sends in [`FromProxy::FetchSnapshotPart`].
        next_part: Option<SnapshotCursor>,
    },
    /// The changes since the last message with a revision. Sent in answer to [`FromProxy::Hello`] and then whenever
    /// something changes, batched for [`crate::timing::CHANGE_BATCH_DELAY`].
    Changes {
        /// The revision that the proxy has reached with these changes.
        revision: Revision,
        /// Changed items, including tombstones of deleted ones.
        items: Vec<Item>,
        /// Changed instances, including removed ones.
        instances: Vec<Instance>,
    },
    /// Answers [`FromProxy::KeepAlive`], and renews the proxy's lease unless `age` is `None`.
    Confirmation {
        /// The nonce of the keep-alive.
        nonce: Nonce,
        /// The greatest age of the state that this session has received: everything that a majority knew that long ago
        /// has been sent in the session. In milliseconds on the wire; `None` if the registry can confirm nothing, as
        /// its contact with a majority is missing or too old.
        #[serde(with = "crate::clock::optional_millis_encoding")]
        age: Option<Duration>,
        /// The number of proxies that have a session with any registry; each proxy enforces its share of the limits
        /// that they have in common.
        proxies: u32,
        /// The machines whose registries are in contact with this one, its own among them. If the registry can confirm
        /// nothing, all its peers are listed, in contact or not.
        registries: Vec<Ipv4Addr>,
    },
    /// Answers [`FromProxy::FetchSnapshotPart`] with the next part of the snapshot.
    SnapshotPart {
        /// Items after the requested cursor.
        items: Vec<Item>,
        /// Instances after the requested cursor.
        instances: Vec<Instance>,
        /// Set if more parts follow, as in [`ToProxy::Snapshot`].
        next_part: Option<SnapshotCursor>,
    },
}
