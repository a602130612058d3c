//! Registries that are connected: their subscriptions, their pending calls, and replies that wait.

use crate::input::ConnectionId;
use crate::item_batches::item_batches;
use crate::protocol::{FreshnessNonce, RequestId, StoreReply};
use crate::send_queue::{Frame, SendQueue};
use emberpin_config::Item;
use emberpin_consensus::{CallId, CoordinationReply};
use emberpin_runtime::frames;
use emberpin_runtime::protocol_version::ProtocolVersion;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

/// One connected registry.
struct Session {
    peer: IpAddr,
    version: ProtocolVersion,
    replies: SendQueue,
    /// Whether it receives changes and the store's status.
    is_subscribed: bool,
}

impl Session {
    /// Sends a reply; `false` if the registry does not read its replies, whose connection is then closed. It connects
    /// again, subscribes, and receives the complete configuration.
    fn send(&self, reply: &StoreReply) -> bool {
        let sent = match frames::encode(reply) {
            Ok(frame) => self.replies.try_send(Frame::new(frame)).is_ok(),
            Err(error) => {
                log::warn!(
                    "reply to a registry cannot be encoded: peer={} error={error}",
                    self.peer
                );
                false
            }
        };
        if !sent {
            self.replies.request_close();
        }
        sent
    }
}

/// A call that the replica has not replied to yet.
struct PendingCall {
    connection: ConnectionId,
    /// The id of the request on its connection.
    request_id: RequestId,
    /// The name of an operation on registers, for metrics; `None` for other calls.
    operation: Option<&'static str>,
}

/// A confirmation that is sent after all items that the store knew when the registry asked.
struct DeferredConfirmation {
    connection: ConnectionId,
    nonce: FreshnessNonce,
    age: Option<Duration>,
}

/// All connected registries.
#[derive(Default)]
pub struct RegistrySessions {
    sessions: BTreeMap<ConnectionId, Session>,
    /// Calls that the replica has not replied to.
    pending_calls: BTreeMap<CallId, PendingCall>,
    last_call_id: CallId,
    deferred_confirmations: Vec<DeferredConfirmation>,
}

impl RegistrySessions {
    /// Notes a connection at its first request.
    pub fn open(
        &mut self,
        connection: ConnectionId,
        peer: IpAddr,
        version: ProtocolVersion,
        replies: SendQueue,
    ) {
        self.sessions.entry(connection).or_insert(Session {
            peer,
            version,
            replies,
            is_subscribed: false,
        });
    }

    /// Forgets a connection that ended, with its pending calls.
    pub fn close(&mut self, connection: ConnectionId) {
        self.sessions.remove(&connection);
        self.pending_calls
            .retain(|_, call| call.connection != connection);
    }

    /// Sends changes and the status to this connection from now on.
    pub fn subscribe(&mut self, connection: ConnectionId) {
        if let Some(session) = self.sessions.get_mut(&connection) {
            session.is_subscribed = true;
        }
    }

    /// Sends a reply on a connection, if it is still open.
    pub fn send(&mut self, connection: ConnectionId, reply: &StoreReply) {
        if self
            .sessions
            .get(&connection)
            .is_some_and(|session| !session.send(reply))
        {
            self.sessions.remove(&connection);
        }
    }

    /// Sends the complete configuration: in batches or, to a registry of version 2 of the protocol, in one message, as it
    /// takes the first one for all.
    pub fn send_all_items(&mut self, connection: ConnectionId, items: Vec<Item>) {
        let Some(session) = self.sessions.get(&connection) else {
            return;
        };
        let batches = if session.version < ProtocolVersion::V3 {
            vec![items]
        } else {
            item_batches(items)
        };
        for items in batches {
            self.send(connection, &StoreReply::Items { items });
        }
    }

    /// Sends a notification to all subscribers.
    pub fn publish(&mut self, notification: &StoreReply) {
        self.sessions
            .retain(|_, session| !session.is_subscribed || session.send(notification));
    }

    /// Notes a call that goes to the replica, and returns its id there.
    pub fn add_call(&mut self, connection: ConnectionId, request_id: RequestId) -> CallId {
        self.add_pending(PendingCall {
            connection,
            request_id,
            operation: None,
        })
    }

    /// As [`RegistrySessions::add_call`], for an operation on registers.
    pub fn add_operation(
        &mut self,
        connection: ConnectionId,
        request_id: RequestId,
        operation: &'static str,
    ) -> CallId {
        self.add_pending(PendingCall {
            connection,
            request_id,
            operation: Some(operation),
        })
    }

    fn add_pending(&mut self, call: PendingCall) -> CallId {
        self.last_call_id = CallId(self.last_call_id.0 + 1);
        self.pending_calls.insert(self.last_call_id, call);
        self.last_call_id
    }

    /// The name of an operation that waits for its reply.
    pub fn operation_name(&self, call_id: CallId) -> Option<&'static str> {
        self.pending_calls.get(&call_id)?.operation
    }

    /// Sends the reply to an operation to whoever asked for it.
    pub fn complete_operation(&mut self, call_id: CallId, reply: CoordinationReply) {
        if let Some(call) = self.pending_calls.remove(&call_id) {
            let id = call.request_id;
            self.send(call.connection, &StoreReply::Coordinated { id, reply });
        }
    }

    /// Sends the replica's reply to whoever made the call.
    pub fn complete_call(&mut self, call_id: CallId, status: u16, body: String) {
        if let Some(call) = self.pending_calls.remove(&call_id) {
            self.respond(call.connection, call.request_id, status, body);
        }
    }

    /// Sends the response to a request.
    pub fn respond(
        &mut self,
        connection: ConnectionId,
        request_id: RequestId,
        status: u16,
        body: String,
    ) {
        let response = StoreReply::Response {
            id: request_id,
            status,
            body,
        };
        self.send(connection, &response);
    }

    /// Notes a confirmation for [`RegistrySessions::send_confirmations`].
    pub fn defer_confirmation(
        &mut self,
        connection: ConnectionId,
        nonce: FreshnessNonce,
        age: Option<Duration>,
    ) {
        self.deferred_confirmations.push(DeferredConfirmation {
            connection,
            nonce,
            age,
        });
    }

    /// Sends the confirmations that wait. To be called once the items known so far are sent.
    pub fn send_confirmations(&mut self) {
        for confirmation in std::mem::take(&mut self.deferred_confirmations) {
            let reply = StoreReply::FreshnessConfirmed {
                nonce: confirmation.nonce,
                age_ms: confirmation.age.map(full_millis),
            };
            self.send(confirmation.connection, &reply);
        }
    }
}

fn full_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
