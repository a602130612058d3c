//! Sessions of connected registries: their subscriptions, pending calls, and deferred confirmations.

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

/// The connection of one registry.
struct Session {
    peer: IpAddr,
    version: ProtocolVersion,
    replies: SendQueue,
    /// Whether it receives changes and the store's status.
    is_subscribed: bool,
}

impl Session {
    /// Queues a reply. If the registry reads its replies too slowly, or the reply cannot be encoded, closes the
    /// connection and returns `false`. The registry then reconnects, subscribes, and receives the complete
    /// configuration.
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

/// A call to which the replica has not replied yet.
struct PendingCall {
    connection: ConnectionId,
    /// The id of the request on its connection.
    request_id: RequestId,
    /// The operation's name in metrics, if the call is an operation on registers; `None` for other calls.
    operation: Option<&'static str>,
}

/// A reply to a freshness request, to be sent after all items that the store knew when it received the request.
struct DeferredConfirmation {
    connection: ConnectionId,
    nonce: FreshnessNonce,
    /// The confirmed age of the items when the request arrived; `None` if the store had not confirmed them yet.
    age: Option<Duration>,
}

/// The sessions of all connected registries.
#[derive(Default)]
pub struct RegistrySessions {
    sessions: BTreeMap<ConnectionId, Session>,
    /// Calls to which the replica has not replied yet.
    pending_calls: BTreeMap<CallId, PendingCall>,
    last_call_id: CallId,
    deferred_confirmations: Vec<DeferredConfirmation>,
}

impl RegistrySessions {
    /// Opens a session at the first request of a connection. Has no effect on an open session.
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

    /// Removes the session of a connection that ended, with its pending calls.
    pub fn close(&mut self, connection: ConnectionId) {
        self.sessions.remove(&connection);
        self.pending_calls
            .retain(|_, call| call.connection != connection);
    }

    /// Makes a connection receive notifications, that is, changes and the status.
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

    /// Sends the complete configuration in batches. A registry of protocol version 2 receives it in one message, as it
    /// takes the first message for the complete configuration.
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

    /// Adds a pending call, and returns the id under which it is passed to the replica.
    pub fn add_call(&mut self, connection: ConnectionId, request_id: RequestId) -> CallId {
        self.add_pending(PendingCall {
            connection,
            request_id,
            operation: None,
        })
    }

    /// Like [`RegistrySessions::add_call`], for an operation on registers with this name in metrics.
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

    /// Returns the name of a pending operation on registers.
    pub fn operation_name(&self, call_id: CallId) -> Option<&'static str> {
        self.pending_calls.get(&call_id)?.operation
    }

    /// Sends the replica's reply to a pending operation to the registry that requested the operation.
    pub fn complete_operation(&mut self, call_id: CallId, reply: CoordinationReply) {
        if let Some(call) = self.pending_calls.remove(&call_id) {
            let id = call.request_id;
            self.send(call.connection, &StoreReply::Coordinated { id, reply });
        }
    }

    /// Sends the replica's reply to a pending call to the registry that made the call.
    pub fn complete_call(&mut self, call_id: CallId, status: u16, body: String) {
        if let Some(call) = self.pending_calls.remove(&call_id) {
            self.respond(call.connection, call.request_id, status, body);
        }
    }

    /// Sends the response to a request, with an HTTP status and body.
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

    /// Defers a confirmation until [`RegistrySessions::send_confirmations`].
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

    /// Sends the deferred confirmations. To be called once all items known so far are sent.
    pub fn send_confirmations(&mut self) {
        for confirmation in std::mem::take(&mut self.deferred_confirmations) {
            let reply = StoreReply::FreshnessConfirmed {
                nonce: confirmation.nonce,
                age_ms: confirmation.age.map(whole_millis),
            };
            self.send(confirmation.connection, &reply);
        }
    }
}

/// Returns the whole milliseconds of a duration, at most [`u64::MAX`].
fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
