//! Commands on the queue of the registry's event loop, and the sending half of that queue.
//!
//! The connections, the HTTP API and [`crate::host`] depend on this module, so that they need not depend on one
//! another.

use crate::connection::FrameSender;
use emberpin_config::Version;
use emberpin_membership::ids::SessionId;
use emberpin_membership::instance::Instance;
use emberpin_membership::registry::{EvacuationStep, Event, OperatorCallTarget, ServerReply};
use emberpin_store::protocol::DiskStatus;
use std::net::Ipv4Addr;
use tokio::sync::{mpsc, oneshot};

/// The most commands in the queue. While it is full, senders wait, and so read nothing from their connections.
const QUEUE_CAPACITY: usize = 1024;

/// One entry of the event loop's queue.
pub enum Command {
    /// A server sent a heartbeat.
    Heartbeat {
        /// The instance as the heartbeat describes it.
        instance: Instance,
        /// Receives the reply. If it is dropped instead, the server is answered with 503.
        responder: oneshot::Sender<ServerReply>,
    },
    /// A server asks for the removal of its instance (`POST /instances/ID/leave`).
    Leave {
        /// The id of the server's instance.
        instance_id: String,
        /// Receives the reply. If it is dropped instead, the server is answered with 503.
        responder: oneshot::Sender<ServerReply>,
    },
    /// An operator's call was received: asks whether this registry serves it, and otherwise which one does.
    FindOperatorCallTarget {
        /// Receives the target.
        responder: oneshot::Sender<OperatorCallTarget>,
    },
    /// An operator's request to change the evacuation of a zone was received: asks for the next step.
    FindEvacuationStep {
        /// The zone's name.
        zone: String,
        /// The version of the evacuation that the request names; `None` if it names none.
        requested_version: Option<Version>,
        /// Receives the step: whether to forward the request to a store or to redirect the caller.
        responder: oneshot::Sender<EvacuationStep>,
    },
    /// An operator's `GET /status` was received.
    Status {
        /// The disk of the store on this machine, once that store has reported it.
        local_disk: Option<DiskStatus>,
        /// Receives the status as JSON.
        responder: oneshot::Sender<String>,
    },
    /// A proxy opened a session.
    ProxyConnected {
        /// The new session.
        session: SessionId,
        /// Sends frames to the proxy; the connection closes once it is dropped.
        frames: FrameSender,
    },
    /// Another registry connected to this one.
    InboundPeerConnected {
        /// The other registry's machine.
        peer: Ipv4Addr,
        /// Sends acknowledgements to the peer; the connection closes once it is dropped.
        frames: FrameSender,
    },
    /// The connection from this registry to another one was opened.
    OutboundPeerConnected {
        /// The other registry's machine.
        peer: Ipv4Addr,
        /// Sends messages to the peer; the connection closes once it is dropped.
        frames: FrameSender,
    },
    /// The connection from this registry to another one closed.
    OutboundPeerDisconnected {
        /// The other registry's machine.
        peer: Ipv4Addr,
    },
    /// An event that is passed to the state machine unchanged.
    Event(Event),
}

/// The sending half of the event loop's queue.
#[derive(Clone)]
pub struct CommandSender(mpsc::Sender<Command>);

impl CommandSender {
    /// Puts a command on the queue; waits while the queue is full.
    ///
    /// The event loop runs for as long as the process, so a closed queue means that the process is about to exit, and
    /// the command is dropped.
    pub async fn send(&self, command: Command) {
        _ = self.0.send(command).await;
    }

    /// Puts an event for the state machine on the queue; see [`CommandSender::send`].
    pub async fn send_event(&self, event: Event) {
        self.send(Command::Event(event)).await;
    }

    /// Puts an event for the state machine on the queue, from a thread outside of the runtime; see
    /// [`CommandSender::send`].
    pub fn send_event_blocking(&self, event: Event) {
        _ = self.0.blocking_send(Command::Event(event));
    }
}

/// Creates the queue of the event loop.
pub fn queue() -> (CommandSender, mpsc::Receiver<Command>) {
    let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
    (CommandSender(sender), receiver)
}
