//! Commands on the queue of the registry's event loop, and the sending half of that queue.
//!
//! This file lies beneath the connections, the HTTP API and [`crate::host`], so that none of them needs another.

use crate::connection::FrameSender;
use emberpin_config::Version;
use emberpin_membership::ids::SessionId;
use emberpin_membership::instance::Instance;
use emberpin_membership::registry::{EvacuationStep, Event, OperatorCallTarget, ServerReply};
use emberpin_store::protocol::DiskStatus;
use std::net::Ipv4Addr;
use tokio::sync::{mpsc, oneshot};

/// Commands that may wait in the queue. A sender beyond these waits, and so reads nothing from its connection.
const QUEUE_CAPACITY: usize = 1024;

/// One entry of the event loop's queue.
pub enum Command {
    /// A server sent a heartbeat.
    Heartbeat {
        /// The instance as the heartbeat describes it.
        instance: Instance,
        /// Receives the reply. If it is dropped instead, the server gets a 503.
        response: oneshot::Sender<ServerReply>,
    },
    /// A server leaves.
    Leave {
        /// The id of its instance.
        instance_id: String,
        /// Receives the reply. If it is dropped instead, the server gets a 503.
        response: oneshot::Sender<ServerReply>,
    },
    /// A call of the operator has arrived, which this registry serves or redirects.
    FindOperatorCallTarget {
        /// Receives the target.
        response: oneshot::Sender<OperatorCallTarget>,
    },
    /// The operator changes the evacuation of a zone.
    FindEvacuationStep {
        /// The zone's name.
        zone: String,
        /// The version that the request states.
        stated: Option<Version>,
        /// Receives what is to become of the request.
        response: oneshot::Sender<EvacuationStep>,
    },
    /// `GET /status` of the operator.
    Status {
        /// The disk of the store on this machine, once that store has reported it.
        local_disk: Option<DiskStatus>,
        /// Receives the status as JSON.
        response: oneshot::Sender<String>,
    },
    /// A proxy opened a session.
    ProxyConnected {
        /// The new session.
        session: SessionId,
        /// Takes frames for the proxy; once it is dropped, the connection closes.
        frames: FrameSender,
    },
    /// Another registry connected to this one.
    InboundPeerConnected {
        /// The other registry's machine.
        peer: Ipv4Addr,
        /// Takes acknowledgements for the peer; once it is dropped, the connection closes.
        frames: FrameSender,
    },
    /// The connection from this registry to another one opened.
    OutboundPeerConnected {
        /// The other registry's machine.
        peer: Ipv4Addr,
        /// Takes messages for the peer; once it is dropped, the connection closes.
        frames: FrameSender,
    },
    /// The connection from this registry to another one closed.
    OutboundPeerDisconnected {
        /// The other registry's machine.
        peer: Ipv4Addr,
    },
    /// An event that the state machine handles as it is.
    Event(Event),
}

/// The sending half of the event loop's queue.
#[derive(Clone)]
pub struct CommandSender(mpsc::Sender<Command>);

impl CommandSender {
    /// Puts a command on the queue; waits while the queue is full.
    ///
    /// The event loop lives as long as the process, so a closed queue means that the process is about to end and
    /// the command no longer matters.
    pub async fn send(&self, command: Command) {
        _ = self.0.send(command).await;
    }

    /// Puts an event for the state machine on the queue; see [`CommandSender::send`].
    pub async fn send_event(&self, event: Event) {
        self.send(Command::Event(event)).await;
    }
}

/// Creates the queue of the event loop.
pub fn queue() -> (CommandSender, mpsc::Receiver<Command>) {
    let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
    (CommandSender(sender), receiver)
}
