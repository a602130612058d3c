//! A cluster of registries with their servers and proxies, in simulated time.

use super::network::{LinkId, LinkProgress, Network};
use super::{instance, ip, zone};
use emberpin_membership::clock::Timestamp;
use emberpin_membership::guards::Guards;
use emberpin_membership::ids::{CallId, Incarnation, Nonce, SessionId};
use emberpin_membership::instance::{Instance, Status};
use emberpin_membership::instance_table::InstanceEntry;
use emberpin_membership::peers::{InstanceRecord, RegistryMessage};
use emberpin_membership::registry::{
    Action, Event, Registry, RegistryConfig, ServerReply, WriteMode, SNAPSHOT_PART_BYTES,
};
use emberpin_membership::session::{FromProxy, Revision, ToProxy};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;
use std::time::Duration;

pub const HEARTBEAT_INTERVAL_MS: u64 = 1_300;
/// Four heartbeat intervals.
pub const EVICTION_TIMEOUT_MS: u64 = 5_200;
/// The step of the simulated time.
const STEP_MS: u64 = 5;
/// How often a store names the voters.
const STORE_STATUS_INTERVAL_MS: u64 = 500;
/// How often a session sends keep-alives in [`Cluster::run_with_session`].
const KEEP_ALIVE_INTERVAL_MS: u64 = 500;
/// How long a server waits for the reply to its call.
const REPLY_TIMEOUT_MS: u64 = 700;

/// How the store on a machine answers the queries of its registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreState {
    /// It confirms that its items are current: it has just compared them with those of a majority.
    Confirming,
    /// It answers that it cannot confirm that its items are current, as a store without contact with a majority does.
    Unconfirmed,
    /// It does not answer.
    Silent,
}

struct Node {
    registry: Registry,
    store: StoreState,
    /// Whether the process is paused; events are then queued.
    is_paused: bool,
    events: VecDeque<Event>,
    /// The replies to calls of servers, each with the time at which it was sent.
    replies: BTreeMap<CallId, (u64, ServerReply)>,
    /// Messages to proxies that the test has not read yet, by session.
    messages: BTreeMap<u64, Vec<ToProxy>>,
    closed_sessions: BTreeSet<u64>,
}

/// A server that sends heartbeats automatically.
pub struct Server {
    pub instance: Instance,
    /// The machine whose registry receives its heartbeats.
    pub target: u8,
    next_heartbeat_at: u64,
}

pub struct Cluster {
    /// The simulated time in milliseconds since the start.
    pub now: u64,
    pub servers: Vec<Server>,
    /// The size in bytes of snapshot parts of registries that are started afterwards.
    pub snapshot_part_bytes: usize,
    /// The number of messages sent between registries, without answers to heartbeats.
    pub peer_message_count: u64,
    /// The number of answers to heartbeats sent between registries.
    pub heartbeat_ack_count: u64,
    /// The number of connections that registries have requested.
    pub connect_count: u64,
    voters: Vec<Ipv4Addr>,
    nodes: BTreeMap<u8, Node>,
    /// The shutdown log on the disk of each machine. It survives the processes of the machine.
    disks: BTreeMap<u8, Vec<InstanceRecord>>,
    /// Machines whose disks neither sync nor answer.
    stalled_disks: BTreeSet<u8>,
    network: Network,
    last_call: u64,
    last_nonce: u64,
    last_incarnation: u64,
}

impl Cluster {
    /// Machines 1 to `size`, which have just started, with stores in the state `Confirming`.
    pub fn new(size: u8) -> Cluster {
        let mut cluster = Cluster {
            now: 0,
            servers: Vec::new(),
            snapshot_part_bytes: SNAPSHOT_PART_BYTES,
            peer_message_count: 0,
            heartbeat_ack_count: 0,
            connect_count: 0,
            voters: (1..=size).map(ip).collect(),
            nodes: BTreeMap::new(),
            disks: BTreeMap::new(),
            stalled_disks: BTreeSet::new(),
            network: Network::default(),
            last_call: 0,
            last_nonce: 0,
            last_incarnation: 0,
        };
        for machine in 1..=size {
            cluster.start(machine);
        }
        cluster
    }

    /// Machines 1 to `size`, confirmed for long enough that they evict instances.
    pub fn confirmed(size: u8) -> Cluster {
        let mut cluster = Cluster::new(size);
        cluster.run_until_confirmed();
        cluster
    }

    /// Runs until all registries have been confirmed for a whole eviction timeout.
    pub fn run_until_confirmed(&mut self) {
        self.run(EVICTION_TIMEOUT_MS + 1_000);
    }

    pub fn timestamp(&self) -> Timestamp {
        Timestamp::from_millis(self.now)
    }

    // Machines.

    /// Starts a machine with empty tables, and restores the shutdowns on its disk.
    pub fn start(&mut self, machine: u8) {
        self.start_with_unread_log(machine);
        self.open_shutdown_log(machine);
    }

    /// Starts a machine with empty tables, whose shutdown log is not read until [`Cluster::open_shutdown_log`].
    pub fn start_with_unread_log(&mut self, machine: u8) {
        self.last_incarnation += 1;
        let node = Node {
            registry: Registry::new(self.timestamp(), self.config(machine)),
            store: StoreState::Confirming,
            is_paused: false,
            events: VecDeque::new(),
            replies: BTreeMap::new(),
            messages: BTreeMap::new(),
            closed_sessions: BTreeSet::new(),
        };
        self.nodes.insert(machine, node);
    }

    /// Passes the shutdowns on the disk of a machine to its registry, and opens the log.
    pub fn open_shutdown_log(&mut self, machine: u8) {
        let records = self.disks.get(&machine).cloned().unwrap_or_default();
        self.handle_event(machine, Event::ShutdownsRestored(records));
        self.handle_event(machine, Event::ShutdownLogOpened);
    }

    /// Removes the content of a machine's disk.
    pub fn wipe_disk(&mut self, machine: u8) {
        self.disks.remove(&machine);
    }

    /// Has the disk of a machine lose all further writes, without an answer.
    pub fn stall_disk(&mut self, machine: u8) {
        self.stalled_disks.insert(machine);
    }

    /// Ends the failure of a machine's disk. The log is opened again.
    pub fn recover_disk(&mut self, machine: u8) {
        self.stalled_disks.remove(&machine);
        self.handle_event(machine, Event::ShutdownLogOpened);
    }

    /// The number of records in the shutdown log of a machine.
    pub fn shutdown_log_length(&self, machine: u8) -> usize {
        self.disks.get(&machine).map_or(0, Vec::len)
    }

    fn config(&self, machine: u8) -> RegistryConfig {
        RegistryConfig {
            address: ip(machine),
            zone: zone(machine),
            incarnation: Incarnation(self.last_incarnation),
            heartbeat_interval: Duration::from_millis(HEARTBEAT_INTERVAL_MS),
            seeds: self.voters.clone(),
            snapshot_part_bytes: self.snapshot_part_bytes,
        }
    }

    /// Restarts a machine with some safety checks switched off.
    pub fn restart_with_guards(&mut self, machine: u8, guards: Guards) {
        self.kill(machine);
        self.start(machine);
        let registry = Registry::with_guards(self.timestamp(), self.config(machine), guards);
        self.node_mut(machine).registry = registry;
        self.open_shutdown_log(machine);
    }

    /// Kills a machine; its tables are lost, and its disk remains.
    pub fn kill(&mut self, machine: u8) {
        self.nodes.remove(&machine);
        for link in self.network.remove_machine(machine) {
            self.close_link(link);
        }
    }

    /// Pauses the process of a machine: it handles no events, and messages to it are queued.
    pub fn pause(&mut self, machine: u8) {
        self.node_mut(machine).is_paused = true;
    }

    pub fn resume(&mut self, machine: u8) {
        self.node_mut(machine).is_paused = false;
    }

    pub fn set_store(&mut self, machine: u8, store: StoreState) {
        self.node_mut(machine).store = store;
    }

    pub fn registry(&self, machine: u8) -> &Registry {
        &self.nodes[&machine].registry
    }

    /// The entry of an instance that the registry of a machine knows.
    pub fn entry(&self, machine: u8, id: &str) -> &InstanceEntry {
        let instances = self.registry(machine).instances();
        instances.get(id).expect("the instance is known")
    }

    /// The status of an instance at the registry of a machine; `None` if it is not known there.
    pub fn status(&self, machine: u8, id: &str) -> Option<Status> {
        let instances = self.registry(machine).instances();
        instances.get(id).map(InstanceEntry::status)
    }

    fn node_mut(&mut self, machine: u8) -> &mut Node {
        self.nodes.get_mut(&machine).expect("the machine is up")
    }

    // The network.

    /// Partitions a machine from others: no messages are delivered between them, and connections break after a while.
    pub fn partition(&mut self, one: u8, others: &[u8]) {
        self.network.partition(one, others);
    }

    pub fn heal(&mut self, one: u8, others: &[u8]) {
        self.network.heal(one, others);
    }

    /// Has the links between a machine and others queue their messages; connections stay open.
    pub fn queue_messages(&mut self, one: u8, others: &[u8]) {
        self.network.queue_messages(one, others);
    }

    pub fn release_messages(&mut self, one: u8, others: &[u8]) {
        self.network.release_messages(one, others);
    }

    /// Whether one registry keeps a connection to another, or tries to.
    pub fn has_link(&self, from: u8, to: u8) -> bool {
        self.network.has_link(from, to)
    }

    fn close_link(&mut self, link: LinkId) {
        let was_open = self.network.close(link);
        if let Some(node) = self.nodes.get_mut(&link.caller).filter(|_| was_open) {
            node.events.push_back(Event::PeerDisconnected {
                peer: ip(link.callee),
            });
        }
    }

    // Time.

    /// Runs for this many milliseconds.
    pub fn run(&mut self, millis: u64) {
        let until = self.now + millis;
        while self.now < until {
            self.step();
        }
    }

    /// Runs for this many milliseconds while a session sends its keep-alives.
    pub fn run_with_session(&mut self, machine: u8, session: u64, millis: u64) {
        for _ in 0..millis / KEEP_ALIVE_INTERVAL_MS {
            self.send_keep_alive(machine, session);
            self.run(KEEP_ALIVE_INTERVAL_MS);
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        for link in self.network.link_ids() {
            self.advance_link(link);
        }
        for machine in self.nodes.keys().copied().collect::<Vec<_>>() {
            let names_voters = self.now.is_multiple_of(STORE_STATUS_INTERVAL_MS);
            if names_voters && self.nodes[&machine].store != StoreState::Silent {
                self.handle_event(machine, Event::VotersChanged(self.voters.clone()));
            }
            self.process_events(machine);
        }
        self.send_due_heartbeats();
    }

    fn advance_link(&mut self, link: LinkId) {
        let caller_is_running = self
            .nodes
            .get(&link.caller)
            .is_some_and(|node| !node.is_paused);
        let callee_is_up = self.nodes.contains_key(&link.callee);
        let progress = self
            .network
            .advance(self.now, link, caller_is_running, callee_is_up);
        match progress {
            LinkProgress::Unchanged => {}
            LinkProgress::Opened => {
                let peer = ip(link.callee);
                self.handle_event(link.caller, Event::PeerConnected { peer });
            }
            LinkProgress::Broken => self.close_link(link),
            LinkProgress::Delivered(events) => {
                for (machine, event) in events {
                    self.handle_event(machine, event);
                }
            }
        }
    }

    fn send_due_heartbeats(&mut self) {
        let mut heartbeats = Vec::new();
        for server in &mut self.servers {
            if server.next_heartbeat_at <= self.now {
                server.instance.seq += 1;
                server.next_heartbeat_at = self.now + HEARTBEAT_INTERVAL_MS;
                heartbeats.push((server.target, server.instance.clone()));
            }
        }
        for (target, instance) in heartbeats {
            self.send_heartbeat(target, instance);
        }
    }

    // Events and actions.

    /// Passes an event to the registry of a machine. A paused one handles it after it resumes; one that is down loses
    /// it.
    pub fn handle_event(&mut self, machine: u8, event: Event) {
        if let Some(node) = self.nodes.get_mut(&machine) {
            node.events.push_back(event);
        }
        self.process_events(machine);
    }

    fn process_events(&mut self, machine: u8) {
        let now = self.timestamp();
        let mut actions = Vec::new();
        let Some(node) = self.nodes.get_mut(&machine).filter(|node| !node.is_paused) else {
            return;
        };
        if node.registry.next_deadline() <= now {
            node.events.push_back(Event::Tick);
        }
        while let Some(event) = node.events.pop_front() {
            node.registry.handle(now, event, &mut actions);
        }
        for action in actions {
            self.apply_action(machine, action);
        }
    }

    fn apply_action(&mut self, machine: u8, action: Action) {
        let now = self.now;
        match action {
            Action::Reply { call, reply } => {
                self.node_mut(machine).replies.insert(call, (now, reply));
            }
            Action::WriteShutdowns {
                write,
                mode,
                records,
            } => {
                if self.stalled_disks.contains(&machine) {
                    return;
                }
                let disk = self.disks.entry(machine).or_default();
                if mode == WriteMode::Replace {
                    disk.clear();
                }
                disk.extend(records);
                let synced = Event::ShutdownsSynced { write };
                self.node_mut(machine).events.push_back(synced);
            }
            Action::ConnectPeer { peer } => {
                self.connect_count += 1;
                self.network.connect(machine, peer);
            }
            Action::DisconnectPeer { peer } => self.network.disconnect(machine, peer),
            Action::SendToPeers { peers, message } => self.send_to_peers(machine, peers, &message),
            Action::AcknowledgePeer { peer, ack } => {
                self.network.acknowledge(now, machine, peer, ack);
            }
            Action::SendToProxies { sessions, message } => {
                let node = self.node_mut(machine);
                for session in sessions {
                    let messages = node.messages.entry(session.0).or_default();
                    messages.push(message.clone());
                }
            }
            Action::QueryStore { nonce } => self.answer_store_query(machine, nonce),
            Action::CloseSession { session } => {
                self.node_mut(machine).closed_sessions.insert(session.0);
            }
        }
    }

    fn send_to_peers(&mut self, machine: u8, peers: Vec<Ipv4Addr>, message: &RegistryMessage) {
        for peer in peers {
            match message {
                RegistryMessage::HeartbeatAck { .. } => self.heartbeat_ack_count += 1,
                _ => self.peer_message_count += 1,
            }
            self.network.send(self.now, machine, peer, message.clone());
        }
    }

    fn answer_store_query(&mut self, machine: u8, nonce: Nonce) {
        let node = self.node_mut(machine);
        let age = match node.store {
            StoreState::Confirming => Some(Duration::ZERO),
            StoreState::Unconfirmed => None,
            StoreState::Silent => return,
        };
        node.events.push_back(Event::StoreConfirmed { nonce, age });
    }

    // Servers.

    /// Adds a server that sends heartbeats to the registry of a machine, from now on.
    pub fn add_server(&mut self, machine: u8, id: &str) {
        self.servers.push(Server {
            instance: instance(id, 0),
            target: machine,
            next_heartbeat_at: self.now,
        });
    }

    /// Sends a heartbeat to the registry of a machine. Returns the id of the call.
    pub fn send_heartbeat(&mut self, machine: u8, instance: Instance) -> CallId {
        let call = self.next_call();
        self.handle_event(machine, Event::Heartbeat { call, instance });
        call
    }

    /// Sends a server's leave call to the registry of a machine. Returns the id of the call.
    pub fn send_leave(&mut self, machine: u8, id: &str) -> CallId {
        let call = self.next_call();
        let instance_id = id.into();
        self.handle_event(machine, Event::Leave { call, instance_id });
        call
    }

    fn next_call(&mut self) -> CallId {
        self.last_call += 1;
        CallId(self.last_call)
    }

    /// The time at which a call was replied to, and the reply; `None` if there is none yet.
    pub fn reply(&self, machine: u8, call: CallId) -> Option<(u64, ServerReply)> {
        self.nodes.get(&machine)?.replies.get(&call).copied()
    }

    /// Runs until a call is replied to, at most for `REPLY_TIMEOUT_MS`. Returns the milliseconds until the reply,
    /// counted from now, and the reply.
    pub fn await_reply(&mut self, machine: u8, call: CallId) -> Option<(u64, ServerReply)> {
        let since = self.now;
        while self.now - since <= REPLY_TIMEOUT_MS {
            if let Some((replied_at, reply)) = self.reply(machine, call) {
                return Some((replied_at.saturating_sub(since), reply));
            }
            self.step();
        }
        None
    }

    /// Runs as [`Cluster::await_reply`] does. Returns whether the call was acknowledged.
    pub fn is_acknowledged(&mut self, machine: u8, call: CallId) -> bool {
        matches!(
            self.await_reply(machine, call),
            Some((_, ServerReply::Acknowledged { .. }))
        )
    }

    /// The number of calls that were replied to without acknowledging them.
    pub fn unacknowledged_call_count(&self) -> usize {
        let replies = self.nodes.values().flat_map(|node| node.replies.values());
        replies
            .filter(|(_, reply)| *reply == ServerReply::NotAcknowledged)
            .count()
    }

    // Proxies.

    /// Opens a session of the proxy `edge-{session}`.
    pub fn open_session(
        &mut self,
        machine: u8,
        session: u64,
        resume_from: Option<Revision>,
        instances: Vec<Instance>,
    ) {
        let hello = FromProxy::Hello {
            incarnation: Incarnation(1),
            name: format!("edge-{session}"),
            zone: zone(1),
            resume_from,
            instances,
        };
        self.send_from_proxy(machine, session, hello);
    }

    pub fn send_keep_alive(&mut self, machine: u8, session: u64) {
        self.last_nonce += 1;
        let keep_alive = FromProxy::KeepAlive {
            applied: None,
            nonce: Nonce(self.last_nonce),
        };
        self.send_from_proxy(machine, session, keep_alive);
    }

    pub fn send_from_proxy(&mut self, machine: u8, session: u64, message: FromProxy) {
        let session = SessionId(session);
        self.handle_event(machine, Event::ProxyMessage { session, message });
    }

    /// Closes the connection of a session from the proxy's side.
    pub fn close_session(&mut self, machine: u8, session: u64) {
        let session = SessionId(session);
        self.handle_event(machine, Event::SessionClosed { session });
    }

    /// Returns the messages that were sent in a session since the last call.
    pub fn take_messages(&mut self, machine: u8, session: u64) -> Vec<ToProxy> {
        self.nodes
            .get_mut(&machine)
            .and_then(|node| node.messages.remove(&session))
            .unwrap_or_default()
    }

    /// The sessions that the registry of a machine has closed.
    pub fn closed_sessions(&self, machine: u8) -> &BTreeSet<u64> {
        &self.nodes[&machine].closed_sessions
    }

    /// Sends a keep-alive in a session. Returns whether the answer confirms the registry's state; `None` if there is no
    /// answer.
    pub fn query_confirmation(&mut self, machine: u8, session: u64) -> Option<bool> {
        self.send_keep_alive(machine, session);
        let messages = self.take_messages(machine, session);
        messages.iter().rev().find_map(|message| match message {
            ToProxy::Confirmation { age, .. } => Some(age.is_some()),
            _ => None,
        })
    }
}
