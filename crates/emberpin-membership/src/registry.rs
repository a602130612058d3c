//! The state machine of one registry, which owns the tables of instances, configuration items and sessions. Its host
//! passes in [`Event`]s and carries out [`Action`]s.
//!
//! Each instance is owned by the registry that receives its heartbeats. The other registries are sent changes of the
//! instance and, twice a second, a digest of all that the owner owns, but not the heartbeats: traffic between zones is
//! paid for.
//!
//! One file for each concern: [`events`](Event) has the inputs and actions, `servers` the calls of servers, `shutdown`
//! the acknowledgement of their drains and ends, `peers` the other registries, `replication` what they send each other
//! about instances, `sessions`, `snapshot` and `repair` the proxies, `configuration` the store, `evacuation` the operator's evacuations, `quorum` what may be
//! confirmed, `timers` everything periodic, `status` what the operator sees.

mod configuration;
mod evacuation;
mod events;
mod peers;
mod quorum;
mod repair;
mod replication;
mod servers;
mod sessions;
mod shutdown;
mod snapshot;
mod status;
mod timers;

pub use evacuation::EvacuationStep;
pub use events::{Action, Event, RegistryConfig, ServerReply};
pub use quorum::OperatorCallTarget;
pub use snapshot::SNAPSHOT_PART_BYTES;
pub use status::ProxyLag;

use crate::change_log::ChangeLog;
use crate::clock::Timestamp;
use crate::guards::Guards;
use crate::ids::SessionId;
use crate::instance_table::InstanceTable;
use crate::lease::Lease;
use emberpin_config::{Item, ItemKey};
use peers::Peer;
use sessions::Session;
use shutdown::PendingShutdown;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

/// The state machine of one registry.
#[derive(Clone, Debug)]
pub struct Registry {
    config: RegistryConfig,
    guards: Guards,
    started_at: Timestamp,
    /// When the last event was handled. A gap reveals that the process was paused.
    last_event_at: Timestamp,

    /// The instances of servers.
    instances: InstanceTable,
    /// The configuration items, tombstones of deleted ones among them.
    items: BTreeMap<ItemKey, Item>,
    /// The warm-up time of each service.
    warmups: BTreeMap<String, Duration>,
    /// Zones whose evacuation had ended already in the first items of this incarnation, and until when that may have
    /// happened just now.
    returned_zones: BTreeMap<String, Timestamp>,
    /// Every change of the tables above, which sessions follow.
    change_log: ChangeLog,
    /// When the changes that wait in the log are sent to the sessions; `None` if none wait.
    flush_at: Option<Timestamp>,

    /// The machines whose stores vote, as a store has named them. Empty until then.
    voters: Vec<Ipv4Addr>,
    /// The lease on the followed store's state: it had compared itself with a majority, and delivered every item that
    /// it knew by then.
    store_lease: Lease,
    /// When the store is queried next.
    store_query_at: Timestamp,
    /// Since when the registry has been confirmed without a break, as of the last heartbeat to the peers.
    confirmed_since: Option<Timestamp>,

    /// The other registries.
    peers: BTreeMap<Ipv4Addr, Peer>,
    /// When the next heartbeat is sent to the peers.
    peer_heartbeat_at: Timestamp,
    /// Drains and ends that wait for a majority.
    pending_shutdowns: Vec<PendingShutdown>,
    /// The last [`crate::ids::AckId`] that was used.
    last_ack_id: u64,

    /// The sessions of proxies with this registry.
    sessions: BTreeMap<SessionId, Session>,
    /// The sessions have changed since the peers were sent the list of proxies.
    sessions_changed: bool,
    /// When each proxy last had a session with any registry, by the name of its machine.
    proxies_seen: BTreeMap<String, Timestamp>,
}

impl Registry {
    /// A registry that starts now with empty tables.
    pub fn new(now: Timestamp, config: RegistryConfig) -> Registry {
        Registry {
            guards: Guards::default(),
            started_at: now,
            last_event_at: now,
            instances: InstanceTable::default(),
            items: BTreeMap::new(),
            warmups: BTreeMap::new(),
            returned_zones: BTreeMap::new(),
            change_log: ChangeLog::new(config.incarnation),
            flush_at: None,
            voters: Vec::new(),
            store_lease: Lease::default(),
            store_query_at: now,
            confirmed_since: None,
            peers: BTreeMap::new(),
            peer_heartbeat_at: now,
            pending_shutdowns: Vec::new(),
            last_ack_id: 0,
            sessions: BTreeMap::new(),
            sessions_changed: false,
            proxies_seen: BTreeMap::new(),
            config,
        }
    }

    /// A registry without some of its safety checks, for tests that show that they would notice.
    #[doc(hidden)]
    pub fn with_guards(now: Timestamp, config: RegistryConfig, guards: Guards) -> Registry {
        let mut registry = Registry {
            guards,
            ..Registry::new(now, config)
        };
        registry.instances.accepts_status_regression = !guards.monotonic_status;
        registry
    }

    /// Handles one event and appends what the host is to do to `actions`. Timestamps must not decrease from call to
    /// call. The host calls again with [`Event::Tick`] at [`Registry::next_deadline`] unless another event comes first.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.detect_pause(now);
        match event {
            Event::Heartbeat { call, instance } => self.on_heartbeat(now, call, instance, actions),
            Event::Leave { call, instance_id } => self.on_leave(now, call, instance_id, actions),
            Event::Items(items) => self.on_items(now, items, actions),
            Event::VotersChanged(voters) => self.on_voters_changed(now, voters, actions),
            Event::StoreConfirmed { nonce, age } => self.on_store_confirmed(now, nonce, age),
            Event::PeerConnected { peer } => self.on_peer_connected(now, peer, actions),
            Event::PeerDisconnected { peer } => self.on_peer_disconnected(peer),
            Event::PeerMessage { peer, message } => {
                self.on_peer_message(now, peer, message, actions);
            }
            Event::PeerAcknowledged { peer, ack } => self.on_peer_acknowledged(peer, ack),
            Event::ProxyMessage { session, message } => {
                self.on_proxy_message(now, session, message, actions);
            }
            Event::SessionClosed { session } => self.on_session_closed(session),
            Event::Tick => {}
        }
        self.run_timers(now, actions);
    }
}
