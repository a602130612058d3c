//! Periodic and timed work: heartbeats to the peers, queries to the store, batches of changes, time-outs.

use super::{Action, Registry};
use crate::change_log::Change;
use crate::clock::{millis, Timestamp};
use crate::ids::SessionId;
use crate::instance::Status;
use crate::peers::RegistryMessage;
use crate::timing::{CHANGE_BATCH_DELAY, PEER_HEARTBEAT_INTERVAL, STORE_QUERY_INTERVAL};
use std::time::Duration;

/// A session in which no message has arrived for this long is closed.
const SESSION_TIMEOUT: Duration = Duration::from_millis(2_000);
/// A process that has handled no event for this long is considered to have been paused, and to have missed what
/// happened meanwhile. Leases need no such check, as they expire by themselves.
const PAUSE_DETECTION_THRESHOLD: Duration = Duration::from_millis(1_000);
/// An instance is evicted after this number of heartbeat intervals without a heartbeat.
const EVICTION_HEARTBEATS: u32 = 4;
/// The shortest eviction timeout, whatever the heartbeat interval.
const MIN_EVICTION_TIMEOUT: Duration = Duration::from_millis(4_000);

impl Registry {
    /// When [`super::Event::Tick`] is due, if no other event comes first.
    pub fn next_deadline(&self) -> Timestamp {
        let pending = self
            .pending_shutdowns
            .iter()
            .map(|pending| pending.deadline(self.last_event_at));
        pending.chain(self.flush_at).fold(
            self.peer_heartbeat_at.min(self.store_query_at),
            Timestamp::min,
        )
    }

    /// Does all work that is due. Called after every event.
    pub(super) fn run_timers(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        self.write_shutdowns(now, actions);
        if !self.pending_shutdowns.is_empty() {
            self.check_pending_shutdowns(now, actions);
        }
        if now >= self.store_query_at {
            self.store_query_at = now + STORE_QUERY_INTERVAL;
            self.query_store(now, actions);
        }
        if now >= self.peer_heartbeat_at {
            self.peer_heartbeat_at = now + PEER_HEARTBEAT_INTERVAL;
            self.on_peer_heartbeat_due(now, actions);
        }
        if self.flush_at.is_some_and(|flush_at| now >= flush_at) {
            self.flush_at = None;
            self.send_unsent_changes(now, actions);
        }
    }

    /// Detects that the process was paused. If so, the time-out of every session starts anew, as messages may still be
    /// queued unread, and so does the time for which the registry must have been confirmed before it evicts instances.
    pub(super) fn detect_pause(&mut self, now: Timestamp) {
        if now.duration_since(self.last_event_at) >= PAUSE_DETECTION_THRESHOLD {
            for session in self.sessions.values_mut() {
                session.last_message_at = now;
            }
            self.confirmed_since = None;
        }
        self.last_event_at = now;
    }

    /// The time without a heartbeat after which an instance is evicted.
    pub(super) fn eviction_timeout(&self) -> Duration {
        (EVICTION_HEARTBEATS * self.config.heartbeat_interval).max(MIN_EVICTION_TIMEOUT)
    }

    /// The time for which a registry must have been confirmed before its table counts as complete: two and a half
    /// heartbeat intervals. Every live server has sent two heartbeats by then, with half an interval for them to
    /// arrive.
    pub(super) fn completeness_delay(&self) -> Duration {
        // Calculated in whole milliseconds, the precision of timestamps.
        Duration::from_millis(5 * millis(self.config.heartbeat_interval) / 2)
    }

    /// Does the work of each heartbeat interval: maintains peers, tables and sessions, and sends a heartbeat to the
    /// peers.
    fn on_peer_heartbeat_due(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        self.update_peers(now, actions);
        self.confirmed_since = self
            .is_confirmed(now)
            .then(|| self.confirmed_since.unwrap_or(now));
        self.evict_expired_instances(now, actions);
        self.instances.prune_tombstones(now);
        self.send_heartbeats(now, actions);
        self.close_idle_sessions(now, actions);
        self.count_proxies(now);
    }

    fn send_heartbeats(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let peers = self.connected_peers();
        if peers.is_empty() {
            return;
        }
        for peer in &peers {
            self.send_heartbeat(now, *peer, actions);
        }
        if std::mem::take(&mut self.sessions_changed) {
            let proxies = self.own_proxies();
            actions.push(Action::SendToPeers {
                peers,
                message: RegistryMessage::ProxySessions { proxies },
            });
        }
    }

    /// Evicts instances whose heartbeats have stopped, unless the registry may have missed heartbeats itself: it must
    /// have been confirmed for a whole eviction timeout.
    fn evict_expired_instances(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let timeout = self.eviction_timeout();
        let is_reliable = self
            .confirmed_since
            .is_some_and(|since| now.duration_since(since) >= timeout);
        if !is_reliable && self.guards.confirmed_eviction {
            return;
        }
        let expired: Vec<String> = self
            .instances
            .iter()
            .filter(|(_, entry)| entry.status() != Status::Removed)
            .filter(|(_, entry)| now.duration_since(self.last_contact(entry)) >= timeout)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.instances.evict(now, id);
            self.record_change(now, Change::Instance(id.clone()));
        }
        self.replicate(now, &expired, actions);
    }

    fn close_idle_sessions(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let idle: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, session)| now.duration_since(session.last_message_at) >= SESSION_TIMEOUT)
            .map(|(id, _)| *id)
            .collect();
        for session in idle {
            self.on_session_closed(session);
            actions.push(Action::CloseSession { session });
        }
    }

    /// Appends a change to the log. It is sent to the sessions in one batch with the changes of the next
    /// [`CHANGE_BATCH_DELAY`].
    pub(super) fn record_change(&mut self, now: Timestamp, change: Change) {
        self.change_log.append(change);
        self.flush_at.get_or_insert(now + CHANGE_BATCH_DELAY);
    }
}
