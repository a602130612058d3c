//! The event loop around a replica: it passes events to the replica, and carries out the actions that come back.
//!
//! What is decided, and when, is up to [`Replica`]. The host has the clock, the sockets and the disk.

use crate::disk::worker::DiskEvent;
use crate::disk::DiskError;
use crate::disk_monitor::{rejection_reason, DiskMonitor, DISK_FULL_REASON, DISK_STALLED_REASON};
use crate::error::StoreError;
use crate::input::{ConnectionId, Input};
use crate::item_batches::item_batches;
use crate::loop_event::{EventSources, LoopEvent};
use crate::metrics::StoreMetrics;
use crate::peer_links::PeerLinks;
use crate::protocol::{oldest_version, DiskState, StoreReply, StoreRequest, ToStore};
use crate::registry_sessions::RegistrySessions;
use crate::send_queue::Frame;
use crate::signals::Signal;
use crate::system_record::{self, SystemRecord};
use emberpin_consensus::{Action, Call, Event, Message, Replica, Timestamp};
use emberpin_runtime::frames;
use emberpin_runtime::identity::ProcessIdentity;
use emberpin_runtime::settings::Settings;
use emberpin_runtime::system_id::SystemId;
use std::net::Ipv4Addr;
use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Most inputs that are handled before their actions are carried out, so that they share a sync.
const MAX_EVENTS_PER_SYNC: usize = 32;
/// Longest time between two statuses to subscribers.
const STATUS_INTERVAL: Duration = Duration::from_millis(450);
/// Links to other stores that are unused for this long are closed.
const LINK_IDLE_INTERVAL: Duration = Duration::from_secs(10);
/// Longest wait to be removed from the roster after SIGTERM.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(700);
/// Shortest sleep of the event loop: the timers have a resolution of a millisecond.
const MIN_SLEEP: Duration = Duration::from_millis(2);

/// Health of the store, as subscribers know it.
#[derive(Clone, Debug, Default, PartialEq)]
struct Health {
    up_to_date: bool,
    voters: Vec<Ipv4Addr>,
    disk: DiskState,
}

/// The replica with everything around it.
pub struct Host<'a> {
    settings: &'a Settings,
    /// The origin of the replica's clock.
    started_at: Instant,
    replica: Replica,
    pub disk: DiskMonitor,
    peers: PeerLinks,
    registries: RegistrySessions,
    identity: Arc<ProcessIdentity>,
    system: SystemRecord,
    metrics: StoreMetrics,
    /// The health that was published last.
    health: Health,
    next_status_at: Instant,
    next_link_check_at: Instant,
    /// When the store ends even if it is still on the roster; `None` before SIGTERM.
    leave_deadline: Option<Instant>,
}

impl Host<'_> {
    /// A host whose replica was just created at the zero of its clock.
    pub fn new<'a>(
        settings: &'a Settings,
        replica: Replica,
        disk: DiskMonitor,
        peers: PeerLinks,
        identity: Arc<ProcessIdentity>,
        system: SystemRecord,
        metrics: StoreMetrics,
    ) -> Host<'a> {
        let started_at = Instant::now();
        Host {
            settings,
            started_at,
            replica,
            disk,
            peers,
            registries: RegistrySessions::default(),
            identity,
            system,
            metrics,
            health: Health::default(),
            next_status_at: started_at,
            next_link_check_at: started_at + LINK_IDLE_INTERVAL,
            leave_deadline: None,
        }
    }

    /// The time of the replica's clock.
    fn replica_now(&self) -> Timestamp {
        Timestamp::ZERO + self.started_at.elapsed()
    }

    /// Handles events until the store is to end.
    ///
    /// # Errors
    ///
    /// [`StoreError`]: the disk was found damaged, or its thread ended.
    pub async fn run_event_loop(&mut self, sources: &mut EventSources) -> Result<(), StoreError> {
        loop {
            let event = sources.next(self.time_until_due()).await;
            if self.handle_event(event, &mut sources.inputs)?.is_break() || self.has_left() {
                return Ok(());
            }
            self.publish_status();
        }
    }

    /// How long the event loop may sleep.
    fn time_until_due(&self) -> Duration {
        let replica_due = Duration::from_millis(self.replica.next_tick_at().as_millis());
        let replica = replica_due.saturating_sub(self.started_at.elapsed());
        let now = Instant::now();
        let status = self.next_status_at.saturating_duration_since(now);
        let leave = self
            .leave_deadline
            .map_or(Duration::MAX, |at| at.saturating_duration_since(now));
        replica.min(status).min(leave).max(MIN_SLEEP)
    }

    /// Whether the store shuts down and has left the roster, or waited for that long enough.
    fn has_left(&self) -> bool {
        self.leave_deadline
            .is_some_and(|at| self.replica.has_left() || Instant::now() >= at)
    }

    fn handle_event(
        &mut self,
        event: LoopEvent,
        inputs: &mut mpsc::Receiver<Input>,
    ) -> Result<ControlFlow<()>, StoreError> {
        match event {
            LoopEvent::Signal(Signal::Terminate) => return Ok(self.on_terminate()),
            LoopEvent::Signal(Signal::Interrupt) | LoopEvent::Input(None) => {
                return Ok(ControlFlow::Break(()));
            }
            LoopEvent::Signal(Signal::Hangup) => {}
            LoopEvent::Disk(Some(event)) => self.handle_disk_event(event)?,
            LoopEvent::Disk(None) => return Err(StoreError::DiskWorkerEnded),
            LoopEvent::Input(Some(first)) => self.handle_inputs(first, inputs),
            LoopEvent::Timer => self.handle_in_replica(Event::Tick),
        }
        Ok(ControlFlow::Continue(()))
    }

    /// Leaves the roster before the store ends. A second SIGTERM ends the store at once.
    fn on_terminate(&mut self) -> ControlFlow<()> {
        if self.leave_deadline.is_some() {
            return ControlFlow::Break(());
        }
        self.leave_deadline = Some(Instant::now() + LEAVE_TIMEOUT);
        self.handle_in_replica(Event::Leave);
        ControlFlow::Continue(())
    }

    /// Handles an input and those that wait behind it, and then carries out the actions of all.
    fn handle_inputs(&mut self, first: Input, inputs: &mut mpsc::Receiver<Input>) {
        let mut actions = Vec::new();
        self.handle_input(first, &mut actions);
        for _ in 1..MAX_EVENTS_PER_SYNC {
            let Ok(input) = inputs.try_recv() else { break };
            self.handle_input(input, &mut actions);
        }
        self.apply_actions(actions);
    }

    fn handle_input(&mut self, input: Input, actions: &mut Vec<Action>) {
        match input {
            Input::PeerMessage { from, message } => {
                let event = Event::Message { from, message };
                self.replica.handle(self.replica_now(), event, actions);
            }
            Input::Request {
                connection,
                peer,
                version,
                request,
                replies,
            } => {
                self.registries.open(connection, peer, version, replies);
                self.handle_request(connection, request, actions);
            }
            Input::Closed { connection } => self.registries.close(connection),
        }
    }

    fn handle_request(
        &mut self,
        connection: ConnectionId,
        request: StoreRequest,
        actions: &mut Vec<Action>,
    ) {
        let (request_id, call) = match request {
            StoreRequest::Patch { id, body } => (id, Call::Patch(body)),
            StoreRequest::Get { id } => (id, Call::Get),
            StoreRequest::Evacuate { id, .. } => {
                let reason = "the registry is of an earlier build".into();
                return self.registries.respond(connection, id, 503, reason);
            }
            StoreRequest::ChangeEvacuation {
                id,
                zone,
                change,
                precondition,
            } => {
                let call = Call::Evacuate {
                    zone,
                    change,
                    precondition,
                };
                (id, call)
            }
            StoreRequest::Coordinate { .. } => return,
            StoreRequest::Subscribe => return self.subscribe(connection),
            StoreRequest::ConfirmFreshness { nonce } => {
                let age = self.replica.confirmed_age(self.replica_now());
                return self.registries.defer_confirmation(connection, nonce, age);
            }
        };
        if let Some((status, reason)) = self.rejection(&call) {
            self.metrics.count_call(status);
            return self
                .registries
                .respond(connection, request_id, status, reason);
        }
        let call_id = self.registries.add_call(connection, request_id);
        self.replica
            .handle(self.replica_now(), Event::Call { call_id, call }, actions);
    }

    /// Sends the complete configuration and the status, and all changes from now on.
    fn subscribe(&mut self, connection: ConnectionId) {
        let items = self.replica.state().follower_items().cloned().collect();
        self.registries.subscribe(connection);
        self.registries.send_all_items(connection, items);
        let status = self.status_reply();
        self.registries.send(connection, &status);
    }

    /// The status and reason with which a call is rejected before the replica sees it.
    fn rejection(&mut self, call: &Call) -> Option<(u16, String)> {
        match call {
            Call::Evacuate { zone, .. } if !self.settings.zone_regions.contains_key(zone) => {
                return Some((404, format!("zone {zone:?}: is not known")));
            }
            Call::Get => return None,
            Call::Patch(_) | Call::Evacuate { .. } | Call::Coordinate { .. } => {}
        }
        rejection_reason(self.disk_state()).map(|reason| (503, reason.into()))
    }

    /// Passes an event to the replica and carries out its actions.
    fn handle_in_replica(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.replica.handle(self.replica_now(), event, &mut actions);
        self.apply_actions(actions);
    }

    /// Sends messages and answers, and submits all writes as one batch.
    pub fn apply_actions(&mut self, actions: Vec<Action>) {
        let (mut writes, mut sync_token) = (Vec::new(), None);
        for action in actions {
            match action {
                Action::Persist { token, write } => {
                    sync_token = write.sync.then_some(token).or(sync_token);
                    writes.push(write);
                }
                Action::Send { to, message } => self.send_to_peer(to, message),
                Action::Reply {
                    call_id,
                    status,
                    body,
                } => {
                    self.metrics.count_call(status);
                    self.registries.complete_call(call_id, status, body);
                }
                Action::ReplyToApplication { .. } => {}
                Action::Learned { items } => {
                    for items in item_batches(items) {
                        self.registries.publish(&StoreReply::Items { items });
                    }
                }
            }
        }
        if writes.is_empty() {
            return;
        }
        if let Some(token) = sync_token {
            self.metrics.on_submitted(token);
        }
        if self.disk.submit(writes, sync_token).is_err() {
            self.metrics.on_disk_failed();
            self.handle_in_replica(Event::DiskFailed {
                reason: DISK_STALLED_REASON.into(),
            });
        }
    }

    fn send_to_peer(&mut self, peer: Ipv4Addr, message: Message) {
        let oldest_version = oldest_version(&message);
        let frame = frames::encode(&ToStore::Consensus {
            from: self.settings.ip,
            message,
        });
        match frame {
            Ok(frame) => self.peers.send(peer, Frame::since(oldest_version, frame)),
            Err(error) => {
                log::warn!("message to another store cannot be encoded: peer={peer} error={error}");
            }
        }
    }

    pub fn handle_disk_event(&mut self, event: DiskEvent) -> Result<(), DiskError> {
        match event {
            DiskEvent::Synced { token } => {
                self.metrics.on_synced(token);
                self.handle_in_replica(Event::Persisted { token });
            }
            DiskEvent::Failed(error) => {
                log::error!(
                    "disk failed, votes and changes are rejected until it is restored: error={error}"
                );
                self.disk.on_failed();
                self.metrics.on_disk_failed();
                self.handle_in_replica(Event::DiskFailed {
                    reason: DISK_FULL_REASON.into(),
                });
            }
            DiskEvent::Reopened => {
                self.disk.on_reopened();
                self.handle_in_replica(Event::DiskRestored);
            }
            DiskEvent::Damaged(error) => return Err(error),
            DiskEvent::Closed => {}
        }
        Ok(())
    }

    /// Sends what is due after the actions of an event: confirmations, and the status if it changed or is due.
    fn publish_status(&mut self) {
        if self.disk.take_drained_overflow() {
            self.handle_in_replica(Event::DiskRestored);
        }
        self.registries.send_confirmations();
        self.update_system();
        let health = self.current_health();
        let now = Instant::now();
        if now >= self.next_status_at || health != self.health {
            self.next_status_at = now + STATUS_INTERVAL;
            self.replace_health(health);
            let status = self.status_reply();
            self.registries.publish(&status);
            self.set_gauges();
        }
        if now >= self.next_link_check_at {
            self.next_link_check_at = now + LINK_IDLE_INTERVAL;
            self.peers.close_idle();
        }
    }

    fn set_gauges(&self) {
        let disk = self.disk.status(self.health.disk);
        let rejected_peers = self.identity.rejected_peers();
        self.metrics
            .set_gauges(&self.replica, self.health.up_to_date, disk, rejected_peers);
    }

    fn current_health(&mut self) -> Health {
        Health {
            up_to_date: self.replica.is_up_to_date(self.replica_now()),
            voters: self.replica.voters(),
            disk: self.disk_state(),
        }
    }

    fn replace_health(&mut self, health: Health) {
        if health.disk != self.health.disk {
            log::warn!(
                "disk state changed: state={:?} previous={:?}",
                health.disk.as_str(),
                self.health.disk.as_str()
            );
        }
        self.health = health;
    }

    fn disk_state(&mut self) -> DiskState {
        let replica_rejects = self.replica.disk_unavailable_reason().is_some();
        self.disk.state(replica_rejects)
    }

    fn status_reply(&self) -> StoreReply {
        let Health {
            up_to_date,
            voters,
            disk,
        } = self.health.clone();
        StoreReply::Status {
            up_to_date,
            voters,
            disk: self.disk.status(disk),
            rejected_peers: self.identity.rejected_peers(),
        }
    }

    /// Records the system that this store belongs to, once it is known.
    fn update_system(&mut self) {
        let (replica, up_to_date) = (&self.replica, self.health.up_to_date);
        self.system.update(|| {
            if !up_to_date {
                return None;
            }
            founded_system(replica)
        });
    }
}

/// The system that the voters founded, if theirs is the first roster.
fn founded_system(replica: &Replica) -> Option<SystemId> {
    let roster = replica.state().roster()?;
    system_record::founded_by(roster.version, &replica.voters())
}
