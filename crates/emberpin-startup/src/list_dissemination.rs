//! Dissemination of the endpoint list among limiters: a few limiters, the watchers, keep a watch of the discovery
//! service open, and the others receive its list from them over peer links.
//!
//! Watchers are not appointed. A limiter that knows of too few watchers calls the discovery service when its slot
//! comes; a limiter that knows of enough waits. A watcher whose watch works sends a heartbeat each
//! [`DisseminationConfig::heartbeat_interval`] with the version of its list. Heartbeats are forwarded from neighbour to
//! neighbour, and a limiter with an older list requests the list from the neighbour that forwarded the heartbeat. A
//! watcher that crashes, stalls, is partitioned off or loses its watch is considered lost after
//! [`DisseminationConfig::watcher_timeout`]. Limiters replace it in the order of their slots, so that even the loss of
//! all watchers costs no more calls than their replacement.
//!
//! Versions only increase. A list that was doubted, because its revision is older or for another reason, and is
//! accepted on an operator's override or because the doubt expired, gets a higher epoch, which makes the other limiters
//! accept it too: an override at one limiter is enough.

use crate::list_messages::{Incarnation, ListMessage, ListVersion, WatcherHeartbeat};
use crate::slots::slot_of;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long an unanswered request suppresses further requests for the same version.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);
/// The delay before a list that was received and not accepted is requested again.
const REJECTED_LIST_DELAY: Duration = Duration::from_secs(5);
/// How long a limiter that lacks watchers waits for heartbeats before its slot begins. It gives its links time
/// to come up: without it, each limiter of a group that starts would call.
pub const HEARTBEAT_GRACE: Duration = Duration::from_millis(300);

/// How many limiters watch the discovery service, and how the loss of one is detected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DisseminationConfig {
    /// How many watchers are enough; a limiter calls the discovery service only while it knows of fewer.
    pub watchers: usize,
    /// How often a watcher sends a heartbeat.
    pub heartbeat_interval: Duration,
    /// The time after its last heartbeat at which a watcher counts as lost. Should be several heartbeat intervals:
    /// otherwise late heartbeats cost calls to the discovery service.
    pub watcher_timeout: Duration,
}

/// An action that the host carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a neighbour.
    Send {
        /// The neighbour's member number.
        to: u32,
        /// The message, to be passed to the neighbour's [`ListDissemination::on_message`].
        message: ListMessage,
    },
    /// Send the current list to a neighbour, as [`ListMessage::List`].
    SendList {
        /// The neighbour's member number.
        to: u32,
    },
    /// Decide about a list that a peer sent, and call [`ListDissemination::on_list_accepted`] if it was accepted.
    EvaluateList {
        /// The version of the list, newer than the current one.
        version: ListVersion,
        /// Whether the list's epoch is higher than the current one: the doubt about the list has ended at another
        /// limiter, and the host is to accept it.
        confirmed: bool,
        /// The servers, in the host's encoding.
        entries: Vec<u8>,
    },
}

/// The state of a watcher, as observed by this limiter.
#[derive(Clone, Copy, Debug)]
struct WatcherState {
    last_heartbeat: WatcherHeartbeat,
    received_at: Duration,
    /// Since when heartbeats have come without a gap of [`DisseminationConfig::watcher_timeout`].
    live_since: Duration,
    /// The neighbour that sent the last heartbeat, while forwarding it waits for a list as new as the heartbeat's.
    pending_from: Option<u32>,
}

/// A request for a list that has not been accepted yet.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    version: ListVersion,
    /// The time before which no neighbour is asked for this version again.
    retry_at: Duration,
}

/// The state of one limiter's part in the dissemination: the watchers that it knows of, and the version of its list.
/// Holds at most one record per member.
#[derive(Clone, Debug)]
pub struct ListDissemination {
    member: u32,
    incarnation: Incarnation,
    /// The position of each member in the order in which limiters become watchers.
    slots: BTreeMap<u32, u32>,
    config: DisseminationConfig,
    reachable: BTreeSet<u32>,
    watchers: BTreeMap<u32, WatcherState>,
    version: Option<ListVersion>,
    /// Whether this limiter is a watcher itself.
    watching: bool,
    /// The sequence number of its last heartbeat.
    sequence: u64,
    last_heartbeat_at: Option<Duration>,
    /// Since when this limiter has known of too few watchers; `None` while it knows of enough.
    lacking_since: Option<Duration>,
    pending_request: Option<PendingRequest>,
}

impl ListDissemination {
    /// The state of a process of `member` that starts now. `revision` is that of the list in its settings, if there is
    /// one.
    pub fn new(
        member: u32,
        incarnation: Incarnation,
        members: &BTreeSet<u32>,
        config: DisseminationConfig,
        revision: Option<u64>,
    ) -> ListDissemination {
        let size = u32::try_from(members.len()).unwrap_or(u32::MAX).max(1);
        let with_slot =
            |(position, number): (usize, &u32)| (*number, slot_of(position as u32, size));
        ListDissemination {
            member,
            incarnation,
            slots: members.iter().enumerate().map(with_slot).collect(),
            config,
            reachable: BTreeSet::new(),
            watchers: BTreeMap::new(),
            version: revision.map(|revision| ListVersion { epoch: 0, revision }),
            watching: false,
            sequence: 0,
            last_heartbeat_at: None,
            lacking_since: Some(Duration::ZERO),
            pending_request: None,
        }
    }

    /// The version of the current list.
    pub fn version(&self) -> Option<ListVersion> {
        self.version
    }

    /// How many other limiters are live watchers with the current list.
    pub fn watcher_count(&self, now: Duration) -> usize {
        self.live_watchers(now).count()
    }

    /// When this limiter is to call the discovery service, in time since the start, unless it receives heartbeats of
    /// enough watchers before; `slot` is its offset within a cycle of the whole group. `None` while it
    /// watches or knows of enough watchers.
    pub fn call_due_at(&self, slot: Duration) -> Option<Duration> {
        self.lacking_since
            .filter(|_| !self.watching)
            .map(|since| since + HEARTBEAT_GRACE + slot)
    }

    /// Whether this limiter's watch is to end because enough watchers precede it by slot. Only watchers that have been
    /// live for [`DisseminationConfig::watcher_timeout`] count, so that two watchers do not end their watches in favour
    /// of each other.
    pub fn is_surplus_watcher(&self, now: Duration) -> bool {
        let is_stable = |watcher: &&WatcherState| {
            now.saturating_sub(watcher.live_since) >= self.config.watcher_timeout
        };
        let preceding = self.watchers_before(now, self.member).filter(is_stable);
        self.watching && preceding.count() >= self.config.watchers
    }

    /// Handles the start of this limiter's own watch of the discovery service.
    pub fn on_watch_started(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.watching = true;
        self.send_heartbeat(now, actions);
        self.update_lack_of_watchers(now);
    }

    /// Handles the end of this limiter's own watch of the discovery service.
    pub fn on_watch_ended(&mut self, now: Duration) {
        self.watching = false;
        self.update_lack_of_watchers(now);
    }

    /// Records that the host has accepted the list of this version. A version that is not newer than the current one is
    /// ignored.
    pub fn on_list_accepted(
        &mut self,
        now: Duration,
        version: ListVersion,
        actions: &mut Vec<Action>,
    ) {
        if self.version.is_some_and(|current| version <= current) {
            return;
        }
        self.version = Some(version);
        self.pending_request = None;
        self.forward_pending_heartbeats(version, actions);
        self.send_heartbeat(now, actions);
        self.update_lack_of_watchers(now);
    }

    /// Resets the state: the limiter has been configured with another discovery service, whose versions start anew.
    pub fn on_service_changed(&mut self, now: Duration) {
        self.watchers.clear();
        self.version = None;
        self.pending_request = None;
        self.lacking_since = Some(now);
    }

    /// Handles a link to a neighbour that came up, by sending the neighbour the heartbeats that it missed.
    pub fn on_neighbour_reachable(
        &mut self,
        now: Duration,
        neighbour: u32,
        actions: &mut Vec<Action>,
    ) {
        if !self.reachable.insert(neighbour) {
            return;
        }
        let send = |watcher: &WatcherState| Action::Send {
            to: neighbour,
            message: ListMessage::Heartbeat(watcher.last_heartbeat),
        };
        actions.extend(self.live_watchers(now).map(send));
        self.send_heartbeat(now, actions);
    }

    /// Handles a link to a neighbour that went down.
    pub fn on_neighbour_unreachable(&mut self, neighbour: u32) {
        self.reachable.remove(&neighbour);
    }

    /// Handles a message of a neighbour.
    pub fn on_message(
        &mut self,
        now: Duration,
        from: u32,
        message: ListMessage,
        actions: &mut Vec<Action>,
    ) {
        match message {
            ListMessage::Heartbeat(heartbeat) => self.on_heartbeat(now, from, heartbeat, actions),
            ListMessage::Request { version } => self.on_request(from, version, actions),
            ListMessage::List { version, entries } => self.on_list(now, version, entries, actions),
        }
        self.update_lack_of_watchers(now);
    }

    /// Handles the passing of time. To be called at least once per tenth of [`DisseminationConfig::watcher_timeout`].
    pub fn on_tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let due = self
            .last_heartbeat_at
            .is_none_or(|last| now >= last + self.config.heartbeat_interval);
        if due {
            self.send_heartbeat(now, actions);
        }
        self.update_lack_of_watchers(now);
    }

    fn on_heartbeat(
        &mut self,
        now: Duration,
        from: u32,
        heartbeat: WatcherHeartbeat,
        actions: &mut Vec<Action>,
    ) {
        // Only members are recorded, which bounds the table.
        if heartbeat.watcher == self.member || !self.slots.contains_key(&heartbeat.watcher) {
            return;
        }
        let has_newer_list = self.version < Some(heartbeat.version);
        if self.is_new(&heartbeat) {
            self.record_heartbeat(now, heartbeat, has_newer_list.then_some(from));
            // Heartbeats of surplus watchers need not reach every limiter, and there are many of them where many
            // limiters called at once.
            let preceding = self.watchers_before(now, heartbeat.watcher).count();
            if !has_newer_list && preceding < self.config.watchers {
                self.forward_heartbeat(from, heartbeat, actions);
            }
        }
        // Also for a duplicate heartbeat: it came from another neighbour, which can be asked for the list too.
        if has_newer_list {
            self.request_list(now, from, heartbeat.version, actions);
        }
    }

    /// Whether a heartbeat is later than the last one of the same watcher.
    fn is_new(&self, heartbeat: &WatcherHeartbeat) -> bool {
        self.watchers.get(&heartbeat.watcher).is_none_or(|watcher| {
            let last = &watcher.last_heartbeat;
            (heartbeat.incarnation, heartbeat.sequence) > (last.incarnation, last.sequence)
        })
    }

    fn record_heartbeat(
        &mut self,
        now: Duration,
        heartbeat: WatcherHeartbeat,
        pending_from: Option<u32>,
    ) {
        let live_since = self
            .watchers
            .get(&heartbeat.watcher)
            .filter(|watcher| self.is_live(now, watcher))
            .map_or(now, |watcher| watcher.live_since);
        let watcher = WatcherState {
            last_heartbeat: heartbeat,
            received_at: now,
            live_since,
            pending_from,
        };
        self.watchers.insert(heartbeat.watcher, watcher);
    }

    fn on_request(&self, from: u32, version: ListVersion, actions: &mut Vec<Action>) {
        if self.version >= Some(version) {
            actions.push(Action::SendList { to: from });
        }
    }

    /// A list that was not requested, or is not newer than the current one, is dropped.
    fn on_list(
        &mut self,
        now: Duration,
        version: ListVersion,
        entries: Vec<u8>,
        actions: &mut Vec<Action>,
    ) {
        let requested = self
            .pending_request
            .is_some_and(|request| version >= request.version);
        if !requested || self.version >= Some(version) {
            return;
        }
        // The list counts as rejected until the host reports that it was accepted.
        self.pending_request = Some(PendingRequest {
            version,
            retry_at: now + REJECTED_LIST_DELAY,
        });
        let confirmed = version.epoch > self.version.map_or(0, |current| current.epoch);
        actions.push(Action::EvaluateList {
            version,
            confirmed,
            entries,
        });
    }

    /// Requests a list from a neighbour, unless a request for a list at least as new is pending.
    fn request_list(
        &mut self,
        now: Duration,
        from: u32,
        version: ListVersion,
        actions: &mut Vec<Action>,
    ) {
        let is_pending = self
            .pending_request
            .is_some_and(|request| now < request.retry_at && version <= request.version);
        if is_pending {
            return;
        }
        self.pending_request = Some(PendingRequest {
            version,
            retry_at: now + REQUEST_TIMEOUT,
        });
        actions.push(Action::Send {
            to: from,
            message: ListMessage::Request { version },
        });
    }

    /// Sends a heartbeat of this limiter itself to all reachable neighbours, if the limiter watches and has a list.
    fn send_heartbeat(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(version) = self.version.filter(|_| self.watching) else {
            return;
        };
        self.last_heartbeat_at = Some(now);
        self.sequence += 1;
        let heartbeat = WatcherHeartbeat {
            watcher: self.member,
            incarnation: self.incarnation,
            sequence: self.sequence,
            version,
        };
        self.forward_heartbeat(self.member, heartbeat, actions);
    }

    /// Forwards the heartbeats that waited until this limiter had a list of at least their version.
    fn forward_pending_heartbeats(&mut self, version: ListVersion, actions: &mut Vec<Action>) {
        let pending: Vec<(u32, WatcherHeartbeat)> = self
            .watchers
            .values_mut()
            .filter(|watcher| watcher.last_heartbeat.version <= version)
            .filter_map(|watcher| {
                let from = watcher.pending_from.take()?;
                Some((from, watcher.last_heartbeat))
            })
            .collect();
        for (from, heartbeat) in pending {
            self.forward_heartbeat(from, heartbeat, actions);
        }
    }

    /// Sends a heartbeat to all reachable neighbours except its watcher and the neighbour that it came from.
    fn forward_heartbeat(&self, from: u32, heartbeat: WatcherHeartbeat, actions: &mut Vec<Action>) {
        let receivers = self
            .reachable
            .iter()
            .filter(|to| **to != from && **to != heartbeat.watcher);
        actions.extend(receivers.map(|to| Action::Send {
            to: *to,
            message: ListMessage::Heartbeat(heartbeat),
        }));
    }

    fn update_lack_of_watchers(&mut self, now: Duration) {
        let watchers = self.watcher_count(now) + usize::from(self.watching);
        self.lacking_since = if watchers >= self.config.watchers {
            None
        } else {
            Some(self.lacking_since.unwrap_or(now))
        };
    }

    fn is_live(&self, now: Duration, watcher: &WatcherState) -> bool {
        now.saturating_sub(watcher.received_at) < self.config.watcher_timeout
    }

    /// Other limiters that are live watchers with the current list. A watcher with another list does not replace a call
    /// to the discovery service.
    fn live_watchers(&self, now: Duration) -> impl Iterator<Item = &WatcherState> {
        self.watchers.values().filter(move |watcher| {
            self.is_live(now, watcher) && self.version == Some(watcher.last_heartbeat.version)
        })
    }

    /// Live watchers that precede `member` by slot.
    fn watchers_before(&self, now: Duration, member: u32) -> impl Iterator<Item = &WatcherState> {
        let slot = |number: u32| self.slots.get(&number).copied().unwrap_or(u32::MAX);
        self.live_watchers(now)
            .filter(move |watcher| slot(watcher.last_heartbeat.watcher) < slot(member))
    }
}
