//! The event loop of the registry: the only owner of the state machine. It handles commands one after the
//! other, and applies the actions that the state machine requests.

use crate::commands::{self, Command, CommandSender};
use crate::connection::{FrameSender, UnreadableFrames};
use crate::metrics::RegistryMetrics;
use crate::outbound::PeerConnection;
use crate::status_report::{self, ProcessStatus};
use crate::store_state::StoreState;
use bytes::Bytes;
use emberpin_membership::clock::Timestamp;
use emberpin_membership::ids::{CallId, SessionId};
use emberpin_membership::peers::{Ack, RegistryMessage};
use emberpin_membership::registry::{Action, Event, Registry, RegistryConfig, ServerReply};
use emberpin_membership::session::ToProxy;
use emberpin_runtime::frames;
use emberpin_runtime::identity::ProcessIdentity;
use emberpin_runtime::metrics::GAUGE_PERIOD;
use emberpin_store::protocol::DiskStatus;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::Ipv4Addr;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::{interval, sleep_until, Instant, MissedTickBehavior};

/// Commands that are taken from the queue at once. The timer is checked between such batches.
const MAX_COMMANDS_PER_TURN: usize = 64;

/// What the event loop knows of its process and machine.
pub struct HostIdentity {
    /// The machine's name, for the operator.
    pub node_name: String,
    /// The port of all registries.
    pub registry_port: u16,
    /// This process, as its preamble describes it.
    pub process: Arc<ProcessIdentity>,
    /// Counts frames of peers and proxies that could not be read.
    pub unreadable_frames: Arc<UnreadableFrames>,
}

/// The connection that this registry keeps open to another one.
struct OutboundPeer {
    /// Opens the connection again and again until it is aborted.
    task: JoinHandle<()>,
    /// Takes messages for the peer while the connection is open.
    frames: Option<FrameSender>,
}

/// The event loop and what it owns.
pub struct Host {
    identity: HostIdentity,
    local_ip: Ipv4Addr,
    registry: Registry,
    stores: Arc<StoreState>,
    started_at: Instant,
    /// Given to the tasks of outbound connections.
    commands: CommandSender,
    queue: mpsc::Receiver<Command>,
    /// Calls of servers that the state machine has not replied to yet.
    pending_calls: HashMap<CallId, oneshot::Sender<ServerReply>>,
    last_call_id: u64,
    /// Sessions of proxies; a dropped sender closes the connection.
    sessions: HashMap<SessionId, FrameSender>,
    /// Other registries that are connected to this one, for acknowledgements.
    inbound_peers: HashMap<Ipv4Addr, FrameSender>,
    /// Other registries that this one connects to, for messages.
    outbound_peers: BTreeMap<Ipv4Addr, OutboundPeer>,
    /// The gauges that are kept up to date, if somebody may read them.
    gauges: Option<Arc<RegistryMetrics>>,
    /// Events that were caused by actions; handled once all actions of the current event are applied.
    deferred_events: VecDeque<Event>,
}

impl Host {
    /// An event loop whose registry starts now, and the sender of commands to it.
    pub fn new(
        identity: HostIdentity,
        config: RegistryConfig,
        stores: Arc<StoreState>,
    ) -> (Host, CommandSender) {
        let (commands, queue) = commands::queue();
        let host = Host {
            identity,
            local_ip: config.address,
            registry: Registry::new(Timestamp::ZERO, config),
            stores,
            started_at: Instant::now(),
            commands: commands.clone(),
            queue,
            pending_calls: HashMap::new(),
            last_call_id: 0,
            sessions: HashMap::new(),
            inbound_peers: HashMap::new(),
            outbound_peers: BTreeMap::new(),
            gauges: None,
            deferred_events: VecDeque::new(),
        };
        (host, commands)
    }

    /// The time since the start, the clock of the state machine.
    fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.started_at.elapsed()
    }

    /// From now on gauges are kept up to date.
    pub fn update_gauges(&mut self, metrics: Arc<RegistryMetrics>) {
        self.gauges = Some(metrics);
    }

    /// Runs for as long as the process does.
    pub async fn run(mut self) {
        let mut gauge_updates = interval(GAUGE_PERIOD);
        gauge_updates.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut commands = Vec::new();
        loop {
            let deadline = self
                .registry
                .next_deadline()
                .duration_since(Timestamp::ZERO);
            tokio::select! {
                _ = self.queue.recv_many(&mut commands, MAX_COMMANDS_PER_TURN) => {
                    for command in commands.drain(..) {
                        self.handle_command(command);
                    }
                }
                () = sleep_until(self.started_at + deadline) => self.handle_event(Event::Tick),
                _ = gauge_updates.tick(), if self.gauges.is_some() => self.set_gauges(),
            }
        }
    }

    fn set_gauges(&self) {
        if let Some(metrics) = &self.gauges {
            metrics.set_gauges(&self.registry, self.now());
            metrics.set_rejections(
                self.identity.unreadable_frames.count(),
                self.identity.process.rejected_peers(),
            );
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Heartbeat { instance, response } => {
                let call = self.register_call(response);
                self.handle_event(Event::Heartbeat { call, instance });
            }
            Command::Leave {
                instance_id,
                response,
            } => {
                let call = self.register_call(response);
                self.handle_event(Event::Leave { call, instance_id });
            }
            Command::FindOperatorCallTarget { response } => {
                _ = response.send(self.registry.operator_call_target(self.now()));
            }
            Command::FindEvacuationStep {
                zone,
                stated,
                response,
            } => _ = response.send(self.registry.evacuation_step(&zone, stated)),
            Command::Status {
                local_disk,
                response,
            } => _ = response.send(self.status(local_disk)),
            Command::ProxyConnected { session, frames } => {
                self.sessions.insert(session, frames);
            }
            Command::InboundPeerConnected { peer, frames } => {
                self.inbound_peers.insert(peer, frames);
            }
            Command::OutboundPeerConnected { peer, frames } => {
                self.set_peer_frames(peer, Some(frames));
            }
            Command::OutboundPeerDisconnected { peer } => self.set_peer_frames(peer, None),
            Command::Event(event) => {
                if let Event::SessionClosed { session } = event {
                    self.sessions.remove(&session);
                }
                self.handle_event(event);
            }
        }
    }

    /// Stores who waits for the reply to a server's call, and returns the id by which the state machine replies.
    fn register_call(&mut self, response: oneshot::Sender<ServerReply>) -> CallId {
        self.last_call_id += 1;
        let call = CallId(self.last_call_id);
        self.pending_calls.insert(call, response);
        call
    }

    fn status(&self, local_disk: Option<DiskStatus>) -> String {
        let process = ProcessStatus {
            node_name: &self.identity.node_name,
            unreadable_frames: self.identity.unreadable_frames.count(),
            rejected_peers: self.identity.process.rejected_peers(),
            local_disk,
        };
        status_report::to_json(&self.registry, &process, self.now())
    }

    fn set_peer_frames(&mut self, peer: Ipv4Addr, frames: Option<FrameSender>) {
        // The state machine may have given up the peer while this command was queued.
        let Some(outbound) = self.outbound_peers.get_mut(&peer) else {
            return;
        };
        let event = if frames.is_some() {
            Event::PeerConnected { peer }
        } else {
            Event::PeerDisconnected { peer }
        };
        outbound.frames = frames;
        self.handle_event(event);
    }

    /// Passes an event to the state machine, applies its actions, and handles the events that these cause in turn.
    fn handle_event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.deferred_events.push_back(event);
        while let Some(event) = self.deferred_events.pop_front() {
            self.registry.handle(self.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.apply_action(action);
            }
        }
    }

    fn apply_action(&mut self, action: Action) {
        match action {
            Action::Reply { call, reply } => self.reply_to_call(call, reply),
            Action::ConnectPeer { peer } => self.connect_peer(peer),
            Action::DisconnectPeer { peer } => self.disconnect_peer(peer),
            Action::SendToPeers { peers, message } => self.send_to_peers(&peers, &message),
            Action::AcknowledgePeer { peer, ack } => self.acknowledge(peer, &ack),
            Action::SendToProxies { sessions, message } => {
                self.send_to_proxies(&sessions, &message);
            }
            Action::QueryStore { nonce } => self.stores.request_freshness_confirmation(nonce),
            Action::CloseSession { session } => _ = self.sessions.remove(&session),
        }
    }

    fn reply_to_call(&mut self, call: CallId, reply: ServerReply) {
        if let Some(response) = self.pending_calls.remove(&call) {
            _ = response.send(reply);
        }
    }

    fn connect_peer(&mut self, peer: Ipv4Addr) {
        let connection = PeerConnection {
            identity: self.identity.process.clone(),
            local_ip: self.local_ip,
            peer,
            port: self.identity.registry_port,
            commands: self.commands.clone(),
            unreadable_frames: self.identity.unreadable_frames.clone(),
        };
        let outbound = OutboundPeer {
            task: tokio::spawn(connection.run()),
            frames: None,
        };
        self.outbound_peers.insert(peer, outbound);
    }

    fn disconnect_peer(&mut self, peer: Ipv4Addr) {
        self.inbound_peers.remove(&peer);
        if let Some(outbound) = self.outbound_peers.remove(&peer) {
            outbound.task.abort();
        }
    }

    fn send_to_peers(&mut self, peers: &[Ipv4Addr], message: &RegistryMessage) {
        let frame: Bytes = match frames::encode(message) {
            Ok(frame) => frame.into(),
            Err(error) => {
                log::error!("message to peers cannot be encoded: peers={peers:?} error={error}");
                return;
            }
        };
        for &peer in peers {
            let Some(outbound) = self.outbound_peers.get_mut(&peer) else {
                continue;
            };
            let sent = outbound
                .frames
                .as_ref()
                .map(|frames| frames.try_send(frame.clone()));
            if matches!(sent, Some(Err(_))) {
                // The queue is full or closed. A frame left out would never be repeated on this connection, so it
                // ends; the next one begins with the whole state.
                outbound.frames = None;
                self.deferred_events
                    .push_back(Event::PeerDisconnected { peer });
            }
        }
    }

    fn acknowledge(&self, peer: Ipv4Addr, ack: &Ack) {
        let frame = match frames::encode(ack) {
            Ok(frame) => frame.into(),
            Err(error) => {
                log::error!("acknowledgement cannot be encoded: peer={peer} error={error}");
                return;
            }
        };
        if let Some(frames) = self.inbound_peers.get(&peer) {
            _ = frames.try_send(frame);
        }
    }

    fn send_to_proxies(&mut self, sessions: &[SessionId], message: &ToProxy) {
        let frame: Bytes = match frames::encode(message) {
            Ok(frame) => frame.into(),
            Err(error) => {
                let ids: Vec<u64> = sessions.iter().map(|session| session.0).collect();
                log::error!(
                    "message to proxies cannot be encoded, their sessions close: sessions={ids:?} error={error}"
                );
                for &session in sessions {
                    self.close_session(session);
                }
                return;
            }
        };
        for &session in sessions {
            let sent = self
                .sessions
                .get(&session)
                .map(|frames| frames.try_send(frame.clone()));
            if matches!(sent, Some(Err(_))) {
                self.close_session(session);
            }
        }
    }

    fn close_session(&mut self, session: SessionId) {
        self.sessions.remove(&session);
        self.deferred_events
            .push_back(Event::SessionClosed { session });
    }
}
