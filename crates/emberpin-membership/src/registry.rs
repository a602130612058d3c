//! The state machine of one registry, which owns the tables of instances, configuration items and sessions. Its host
//! passes in [`Event`]s and carries out [`Action`]s.
//!
//! Each instance is owned by the registry that receives its heartbeats. The owner sends the other registries changes of
//! the instance and, twice a second, a digest of all instances that it owns. It does not forward heartbeats, because
//! traffic between zones costs money.
//!
//! The files:
//! - [`events`](Event): the inputs and the actions;
//! - `servers`: the calls of servers, `shutdown`: the acknowledgement of their drains and exits, and `shutdown_log`: the
//!   drains and exits on this registry's disk;
//! - `peers`: connections to the other registries, and `replication`: the exchange of instances with them;
//! - `sessions`, `snapshot` and `repair`: the proxies;
//! - `configuration`: items and voters from the store, and `evacuation`: the operator's requests to change an
//!   evacuation;
//! - `quorum`: contact with majorities, and the age up to which the state is confirmed;
//! - `timers`: periodic work;
//! - `status`: the state as reported to the operator.

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
mod shutdown_log;
mod snapshot;
mod status;
mod timers;

pub use evacuation::EvacuationStep;
pub use events::{Action, Event, RegistryConfig, ServerReply};
pub use quorum::OperatorCallTarget;
pub use shutdown_log::WriteMode;
pub use snapshot::SNAPSHOT_PART_BYTES;
pub use status::ProxyLag;

use crate::change_log::ChangeLog;
use crate::clock::Timestamp;
use crate::guards::Guards;
use crate::ids::{Incarnation, SessionId};
use crate::instance_table::InstanceTable;
use crate::lease::Lease;
use crate::rendezvous;
use emberpin_config::{Item, ItemKey};
use peers::Peer;
use sessions::Session;
use shutdown::PendingShutdown;
use shutdown_log::ShutdownLog;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

/// The state machine of one registry.
#[derive(Clone, Debug)]
pub struct Registry {
    config: RegistryConfig,
    guards: Guards,
    started_at: Timestamp,
    /// When the last event was handled. A long gap shows that the process was paused.
    last_event_at: Timestamp,

    /// The instances of servers.
    instances: InstanceTable,
    /// The configuration items, including tombstones of deleted ones.
    items: BTreeMap<ItemKey, Item>,
    /// The warm-up time of each service.
    warmups: BTreeMap<String, Duration>,
    /// The zones whose evacuation had already ended according to the first items that this incarnation received. How
    /// long before is not known: until the time given here, an instance learned from a proxy is taken to date from
    /// before the end of the evacuation.
    zones_after_evacuation: BTreeMap<String, Timestamp>,
    /// Every change of the tables above, in the order in which sessions receive them.
    change_log: ChangeLog,
    /// When the unsent changes of the log are sent to the sessions; `None` if there are none.
    flush_at: Option<Timestamp>,

    /// The machines whose stores vote, as last named by a store. Empty until a store has named them.
    voters: Vec<Ipv4Addr>,
    /// The lease on the state of the store that the registry follows: every item that a majority of the stores had at
    /// the time [`Lease::confirmed_at`] has been delivered to this registry.
    store_lease: Lease,
    /// When the store is next queried for the age of its state.
    store_query_at: Timestamp,
    /// Since when [`Registry::is_confirmed`] has held without interruption, as checked at each heartbeat to the peers;
    /// `None` if it does not hold.
    confirmed_since: Option<Timestamp>,

    /// The other registries.
    peers: BTreeMap<Ipv4Addr, Peer>,
    /// When the next heartbeat is sent to the peers.
    peer_heartbeat_at: Timestamp,
    /// Drains and exits that wait for the acknowledgement of a majority.
    pending_shutdowns: Vec<PendingShutdown>,
    /// The last [`crate::ids::AckId`] that was assigned.
    last_ack_id: u64,
    /// Which drains and exits are on this registry's disk.
    shutdown_log: ShutdownLog,

    /// The sessions of proxies with this registry.
    sessions: BTreeMap<SessionId, Session>,
    /// Whether the sessions have changed since the peers were last sent the list of proxies.
    sessions_changed: bool,
    /// When each proxy last had a session with any registry, by the name of its machine.
    proxies_seen: BTreeMap<String, Timestamp>,
    /// How many times an instance or its drain was learned from a proxy since the start.
    learned_from_proxies: u64,
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
            zones_after_evacuation: BTreeMap::new(),
            change_log: ChangeLog::new(config.incarnation),
            flush_at: None,
            voters: Vec::new(),
            store_lease: Lease::default(),
            store_query_at: now,
            confirmed_since: None,
            peers: BTreeMap::new(),
            peer_heartbeat_at: now,
            pending_shutdowns: Vec::new(),
            last_ack_id: first_ack_id(config.incarnation),
            shutdown_log: ShutdownLog::default(),
            sessions: BTreeMap::new(),
            sessions_changed: false,
            proxies_seen: BTreeMap::new(),
            learned_from_proxies: 0,
            config,
        }
    }

    /// A registry with some of its safety checks turned off, with which tests show that a missing check would be
    /// detected.
    #[doc(hidden)]
    pub fn with_guards(now: Timestamp, config: RegistryConfig, guards: Guards) -> Registry {
        let mut registry = Registry {
            guards,
            ..Registry::new(now, config)
        };
        registry.instances.accepts_status_regression = !guards.monotonic_status;
        registry
    }

    /// Handles one event, and appends to `actions` what the host must do. Timestamps must not decrease from call to
    /// call. The host calls again with [`Event::Tick`] at [`Registry::next_deadline`] unless another event comes first.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.detect_pause(now);
        match event {
            Event::Heartbeat { call, instance } => self.on_heartbeat(now, call, instance, actions),
            Event::Leave { call, instance_id } => self.on_leave(now, call, instance_id, actions),
            Event::ShutdownsRestored(records) => {
                self.on_shutdowns_restored(now, records, actions);
            }
            Event::ShutdownLogOpened => self.on_shutdown_log_opened(),
            Event::ShutdownsSynced { write } => self.on_shutdowns_synced(write, actions),
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

/// The number after which the ids of acknowledgements begin. It differs between incarnations, so that an acknowledgement
/// that a peer still owes to an earlier process on this machine is not taken for one of this process.
fn first_ack_id(incarnation: Incarnation) -> u64 {
    rendezvous::hash(&[&incarnation.0.to_be_bytes()])
}
