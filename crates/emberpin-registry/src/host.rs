//! The event loop of the registry, the only owner of the membership state machine.
//!
//! Other tasks put commands on its queue. The loop handles one command after the other: it passes events to the state
//! machine, and applies the actions that the state machine returns, such as to reply to a call or to send a message.

use crate::commands::{Command, CommandSender};
use crate::connection::{FrameSender, UnreadableFrames};
use crate::metrics::RegistryMetrics;
use crate::outbound::PeerConnection;
use crate::shutdown_log::{ShutdownLog, ShutdownWrite};
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

/// The most commands that are received from the queue in one batch. The timer is checked between batches.
const MAX_COMMANDS_PER_TURN: usize = 64;

/// The event loop's process and machine.
pub struct HostIdentity {
    /// The machine's name, as the status reports it.
    pub node_name: String,
    /// The port at which all registries accept peers and proxies.
    pub registry_port: u16,
    /// The identity that this process sends in its preamble.
    pub process: Arc<ProcessIdentity>,
    /// Counts connections with peers and proxies that ended because a frame could not be read.
    pub unreadable_frames: Arc<UnreadableFrames>,
}

/// A connection that this registry keeps open to another one.
struct OutboundPeer {
    /// Opens the connection, and opens it again whenever it closes, until the task is aborted.
    task: JoinHandle<()>,
    /// Sends messages to the peer; `None` while the connection is not open.
    frames: Option<FrameSender>,
}

/// The event loop and the state that it owns.
pub struct Host {
    identity: HostIdentity,
    local_ip: Ipv4Addr,
    registry: Registry,
    stores: Arc<StoreState>,
    started_at: Instant,
    /// Cloned for the tasks of outbound connections, which send commands to this loop.
    commands: CommandSender,
    queue: mpsc::Receiver<Command>,
    /// The responders of server calls that the state machine has not replied to yet.
    pending_calls: HashMap<CallId, oneshot::Sender<ServerReply>>,
    last_call_id: u64,
    /// Senders to the proxies that have a session here; the connection closes once its sender is dropped.
    sessions: HashMap<SessionId, FrameSender>,
    /// Senders of acknowledgements to the other registries that are connected to this one.
    inbound_peers: HashMap<Ipv4Addr, FrameSender>,
    /// The connections on which this registry sends messages to other ones.
    outbound_peers: BTreeMap<Ipv4Addr, OutboundPeer>,
    /// Where drains and exits of servers are recorded.
    shutdown_log: ShutdownLog,
    /// The metrics whose gauges the loop updates; `None` if no metrics endpoint is set.
    gauges: Option<Arc<RegistryMetrics>>,
    /// Events caused by actions. They are handled after all actions of the current event are applied.
    deferred_events: VecDeque<Event>,
}

impl Host {
    /// Creates an event loop whose state machine starts now. The queue must be that of `commands`.
    pub fn new(
        identity: HostIdentity,
        config: RegistryConfig,
        stores: Arc<StoreState>,
        shutdown_log: ShutdownLog,
        commands: CommandSender,
        queue: mpsc::Receiver<Command>,
    ) -> Host {
        Host {
            identity,
            local_ip: config.address,
            registry: Registry::new(Timestamp::ZERO, config),
            stores,
            started_at: Instant::now(),
            commands,
            queue,
            pending_calls: HashMap::new(),
            last_call_id: 0,
            sessions: HashMap::new(),
            inbound_peers: HashMap::new(),
            outbound_peers: BTreeMap::new(),
            deferred_events: shutdown_log.first_events().into(),
            shutdown_log,
            gauges: None,
        }
    }

    /// The current time on the state machine's clock, which is 0 at the start of the event loop.
    fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.started_at.elapsed()
    }

    /// Has [`Host::run`] update the gauges of these metrics every [`GAUGE_PERIOD`].
    pub fn update_gauges(&mut self, metrics: Arc<RegistryMetrics>) {
        self.gauges = Some(metrics);
    }

    /// Runs the event loop for as long as the process runs.
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
            Command::Heartbeat {
                instance,
                responder,
            } => {
                let call = self.register_call(responder);
                self.handle_event(Event::Heartbeat { call, instance });
            }
            Command::Leave {
                instance_id,
                responder,
            } => {
                let call = self.register_call(responder);
                self.handle_event(Event::Leave { call, instance_id });
            }
            Command::FindOperatorCallTarget { responder } => {
                _ = responder.send(self.registry.operator_call_target(self.now()));
            }
            Command::FindEvacuationStep {
                zone,
                requested_version,
                responder,
            } => _ = responder.send(self.registry.evacuation_step(&zone, requested_version)),
            Command::Status {
                local_disk,
                responder,
            } => _ = responder.send(self.status(local_disk)),
            Command::ProxyConnected { session, frames } => {
                self.sessions.insert(session, frames);
            }
            Command::InboundPeerConnected { peer, frames } => {
                self.inbound_peers.insert(peer, frames);
            }
            Command::OutboundPeerConnected { peer, frames } => {
                self.set_peer_sender(peer, Some(frames));
            }
            Command::OutboundPeerDisconnected { peer } => self.set_peer_sender(peer, None),
            Command::Event(event) => {
                if let Event::SessionClosed { session } = event {
                    self.sessions.remove(&session);
                }
                self.handle_event(event);
            }
        }
    }

    /// Stores the responder of a server's call, and returns the id that the state machine's reply will have.
    fn register_call(&mut self, responder: oneshot::Sender<ServerReply>) -> CallId {
        self.last_call_id += 1;
        let call = CallId(self.last_call_id);
        self.pending_calls.insert(call, responder);
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

    /// Sets the sender to a peer, `None` if the connection has closed, and notifies the state machine.
    fn set_peer_sender(&mut self, peer: Ipv4Addr, frames: Option<FrameSender>) {
        // The state machine may have disconnected the peer while this command was queued.
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

    /// Passes an event to the state machine, applies the resulting actions, and then handles the events that these
    /// actions caused.
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
            Action::WriteShutdowns {
                write: number,
                mode,
                records,
            } => {
                let write = ShutdownWrite {
                    number,
                    mode,
                    records,
                };
                self.deferred_events.extend(self.shutdown_log.write(write));
            }
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
        if let Some(responder) = self.pending_calls.remove(&call) {
            _ = responder.send(reply);
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
                // The queue is full or closed. A lost frame is never repeated on the same connection, so the connection
                // is closed; the next one begins with the complete state.
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
