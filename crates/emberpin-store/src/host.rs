//! The event loop around the replicas: passes events to them, and carries out the actions that they return.
//!
//! Decisions and their timing are up to [`Replica`]. The host provides the clocks, the sockets and the disks.

use crate::disk::worker::DiskEvent;
use crate::disk::DiskError;
use crate::disk_monitor::rejection_reason;
use crate::error::StoreError;
use crate::hosted_replica::HostedReplica;
use crate::input::{ConnectionId, Input};
use crate::item_batches::item_batches;
use crate::loop_event::{EventSources, LoopEvent};
use crate::metrics::StoreMetrics;
use crate::peer_links::PeerLinks;
use crate::protocol::{DiskState, RequestId, StoreReply, StoreRequest};
use crate::registry_sessions::RegistrySessions;
use crate::signals::Signal;
use crate::system_record::{self, SystemRecord};
use emberpin_consensus::{
    Action, Call, CoordinationReply, Event, PossibleEffect, Replica, WhenLed,
};
use emberpin_coordination::Operation;
use emberpin_runtime::identity::ProcessIdentity;
use emberpin_runtime::settings::Settings;
use emberpin_runtime::system_id::SystemId;
use std::net::Ipv4Addr;
use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Maximum number of inputs that are handled before their actions are carried out, so that they share a sync.
const MAX_INPUTS_PER_SYNC: usize = 32;
/// Maximum time between two status messages to subscribers.
const STATUS_INTERVAL: Duration = Duration::from_millis(450);
/// Interval between checks for unused links: a link to another store that carried no message in between is closed.
const LINK_CHECK_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum time to wait for removal from the roster after SIGTERM.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(700);
/// Minimum sleep of the event loop: timers have a resolution of one millisecond.
const MIN_SLEEP: Duration = Duration::from_millis(2);

/// Health of the store, as published to subscribers.
#[derive(Clone, Debug, Default, PartialEq)]
struct Health {
    up_to_date: bool,
    voters: Vec<Ipv4Addr>,
    disk: DiskState,
}

/// The actions that the replicas returned for a group of inputs.
#[derive(Default)]
struct ReplicaActions {
    configuration: Vec<Action>,
    registers: Vec<Action>,
}

/// The replicas of this store with their connections, metrics and health.
pub struct Host<'a> {
    settings: &'a Settings,
    /// The replica of the configuration.
    pub configuration: HostedReplica,
    /// The replica of the registers, the coordination state of applications; `None` if this deployment has no registers.
    pub registers: Option<HostedReplica>,
    peers: PeerLinks,
    registries: RegistrySessions,
    identity: Arc<ProcessIdentity>,
    system: SystemRecord,
    metrics: StoreMetrics,
    /// The last published health.
    health: Health,
    next_status_at: Instant,
    next_link_check_at: Instant,
    /// When the store exits even if it is still on the roster; `None` before SIGTERM.
    leave_deadline: Option<Instant>,
}

impl Host<'_> {
    /// Creates a host without registers. The replica of the configuration must be newly created.
    pub fn new<'a>(
        settings: &'a Settings,
        configuration: HostedReplica,
        peers: PeerLinks,
        identity: Arc<ProcessIdentity>,
        system: SystemRecord,
        metrics: StoreMetrics,
    ) -> Host<'a> {
        let started_at = Instant::now();
        Host {
            settings,
            configuration,
            registers: None,
            peers,
            registries: RegistrySessions::default(),
            identity,
            system,
            metrics,
            health: Health::default(),
            next_status_at: started_at,
            next_link_check_at: started_at + LINK_CHECK_INTERVAL,
            leave_deadline: None,
        }
    }

    /// Handles events until the store is to exit.
    ///
    /// # Errors
    ///
    /// [`StoreError`]: a disk was found damaged, or its thread ended.
    pub async fn run_event_loop(&mut self, sources: &mut EventSources) -> Result<(), StoreError> {
        loop {
            let event = sources.next(self.time_until_due()).await;
            if self.handle_event(event, &mut sources.inputs)?.is_break() || self.has_left() {
                return Ok(());
            }
            self.finish_event();
        }
    }

    /// Returns how long the event loop can sleep until the next timer, but at least [`MIN_SLEEP`].
    fn time_until_due(&self) -> Duration {
        let configuration = self.configuration.time_until_due();
        let registers = self
            .registers
            .as_ref()
            .map_or(Duration::MAX, HostedReplica::time_until_due);
        let now = Instant::now();
        let status = self.next_status_at.saturating_duration_since(now);
        let leave = self
            .leave_deadline
            .map_or(Duration::MAX, |at| at.saturating_duration_since(now));
        configuration
            .min(registers)
            .min(status)
            .min(leave)
            .max(MIN_SLEEP)
    }

    /// Whether the store is shutting down and has left all rosters, or [`LEAVE_TIMEOUT`] has passed.
    fn has_left(&self) -> bool {
        let mut replicas = self.registers.iter().chain([&self.configuration]);
        self.leave_deadline.is_some_and(|at| {
            Instant::now() >= at || replicas.all(|hosted| hosted.replica.has_left())
        })
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
            LoopEvent::RegisterDisk(Some(event)) => self.handle_register_disk_event(event)?,
            LoopEvent::Disk(None) | LoopEvent::RegisterDisk(None) => {
                return Err(StoreError::DiskWorkerEnded)
            }
            LoopEvent::Input(Some(first)) => self.handle_inputs(first, inputs),
            LoopEvent::Timer => self.handle_in_replicas(&Event::Tick),
        }
        Ok(ControlFlow::Continue(()))
    }

    /// Begins to leave the rosters; the store exits afterwards. A second SIGTERM makes the store exit at once.
    fn on_terminate(&mut self) -> ControlFlow<()> {
        if self.leave_deadline.is_some() {
            return ControlFlow::Break(());
        }
        self.leave_deadline = Some(Instant::now() + LEAVE_TIMEOUT);
        self.handle_in_replicas(&Event::Leave);
        ControlFlow::Continue(())
    }

    /// Handles an input and further queued ones, up to [`MAX_INPUTS_PER_SYNC`], and then carries out the actions of all.
    fn handle_inputs(&mut self, first: Input, inputs: &mut mpsc::Receiver<Input>) {
        let mut actions = ReplicaActions::default();
        self.handle_input(first, &mut actions);
        for _ in 1..MAX_INPUTS_PER_SYNC {
            let Ok(input) = inputs.try_recv() else { break };
            self.handle_input(input, &mut actions);
        }
        self.apply_actions(actions.configuration);
        self.apply_register_actions(actions.registers);
    }

    fn handle_input(&mut self, input: Input, actions: &mut ReplicaActions) {
        match input {
            Input::PeerMessage { from, message } => {
                let event = Event::Message { from, message };
                self.configuration.handle(event, &mut actions.configuration);
            }
            Input::PeerRegisterMessage { from, message } => {
                if let Some(registers) = &mut self.registers {
                    registers.handle(Event::Message { from, message }, &mut actions.registers);
                }
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
        actions: &mut ReplicaActions,
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
            StoreRequest::Coordinate {
                id,
                operation,
                when_led,
            } => return self.coordinate(connection, id, operation, when_led, actions),
            StoreRequest::Subscribe => return self.subscribe(connection),
            StoreRequest::ConfirmFreshness { nonce } => {
                let now = self.configuration.now();
                let age = self.configuration.replica.confirmed_age(now);
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
        let event = Event::Call { call_id, call };
        self.configuration.handle(event, &mut actions.configuration);
    }

    /// Passes an application's operation to the replica of the registers. Replies that it had no effect if there are no
    /// registers or their disk rejects writes.
    fn coordinate(
        &mut self,
        connection: ConnectionId,
        id: RequestId,
        operation: Operation,
        when_led: WhenLed,
        actions: &mut ReplicaActions,
    ) {
        let registers = self.registers.as_mut().and_then(|registers| {
            rejection_reason(registers.disk_state())
                .is_none()
                .then_some(registers)
        });
        let Some(registers) = registers else {
            let effect = PossibleEffect::None;
            let reply = CoordinationReply::Undecided { effect };
            self.metrics.count_operation(operation.name(), &reply);
            let reply = StoreReply::Coordinated { id, reply };
            return self.registries.send(connection, &reply);
        };
        let call_id = self
            .registries
            .add_operation(connection, id, operation.name());
        let call = Call::Coordinate {
            operation,
            when_led,
        };
        registers.handle(Event::Call { call_id, call }, &mut actions.registers);
    }

    /// Subscribes a connection to changes, and sends it the complete configuration and the status.
    fn subscribe(&mut self, connection: ConnectionId) {
        let state = self.configuration.replica.state();
        let items = state.follower_items().cloned().collect();
        self.registries.subscribe(connection);
        self.registries.send_all_items(connection, items);
        let status = self.status_reply();
        self.registries.send(connection, &status);
    }

    /// Returns the HTTP status and reason for rejecting a call before the replica receives it; `None` if the call is
    /// passed on.
    fn rejection(&mut self, call: &Call) -> Option<(u16, String)> {
        match call {
            Call::Evacuate { zone, .. } if !self.settings.zone_regions.contains_key(zone) => {
                return Some((404, format!("zone {zone:?}: is not known")));
            }
            Call::Get => return None,
            Call::Patch(_) | Call::Evacuate { .. } | Call::Coordinate { .. } => {}
        }
        rejection_reason(self.configuration.disk_state()).map(|reason| (503, reason.into()))
    }

    /// Passes an event to all replicas and carries out their actions.
    fn handle_in_replicas(&mut self, event: &Event) {
        let mut actions = ReplicaActions::default();
        self.configuration
            .handle(event.clone(), &mut actions.configuration);
        if let Some(registers) = &mut self.registers {
            registers.handle(event.clone(), &mut actions.registers);
        }
        self.apply_actions(actions.configuration);
        self.apply_register_actions(actions.registers);
    }

    /// Carries out the actions of the replica of the configuration.
    pub fn apply_actions(&mut self, actions: Vec<Action>) {
        for action in self.configuration.carry_out(actions, &mut self.peers) {
            match action {
                Action::Reply {
                    call_id,
                    status,
                    body,
                } => {
                    self.metrics.count_call(status);
                    self.registries.complete_call(call_id, status, body);
                }
                Action::Learned { items } => {
                    for items in item_batches(items) {
                        self.registries.publish(&StoreReply::Items { items });
                    }
                }
                Action::Persist { .. }
                | Action::Send { .. }
                | Action::ReplyToApplication { .. } => {}
            }
        }
    }

    /// Carries out the actions of the replica of the registers. Learned items are not published, as registers have
    /// no subscribers.
    pub fn apply_register_actions(&mut self, actions: Vec<Action>) {
        let Some(registers) = &mut self.registers else {
            return;
        };
        for action in registers.carry_out(actions, &mut self.peers) {
            if let Action::ReplyToApplication { call_id, reply } = action {
                if let Some(operation) = self.registries.operation_name(call_id) {
                    self.metrics.count_operation(operation, &reply);
                }
                self.registries.complete_operation(call_id, reply);
            }
        }
    }

    /// Passes an event of the configuration's disk to its replica.
    pub fn handle_disk_event(&mut self, event: DiskEvent) -> Result<(), DiskError> {
        let mut actions = Vec::new();
        self.configuration.handle_disk_event(event, &mut actions)?;
        self.apply_actions(actions);
        Ok(())
    }

    /// Passes an event of the registers' disk to its replica.
    pub fn handle_register_disk_event(&mut self, event: DiskEvent) -> Result<(), DiskError> {
        let mut actions = Vec::new();
        if let Some(registers) = &mut self.registers {
            registers.handle_disk_event(event, &mut actions)?;
        }
        self.apply_register_actions(actions);
        Ok(())
    }

    /// Whether the registers' disk has queued writes.
    pub fn has_queued_register_writes(&self) -> bool {
        self.registers
            .as_ref()
            .is_some_and(|registers| !registers.disk.queue.is_idle())
    }

    /// Restores the replicas whose disk queues overflowed and are empty again.
    fn restore_after_overflow(&mut self) {
        let mut actions = ReplicaActions::default();
        self.configuration
            .restore_after_overflow(&mut actions.configuration);
        if let Some(registers) = &mut self.registers {
            registers.restore_after_overflow(&mut actions.registers);
        }
        self.apply_actions(actions.configuration);
        self.apply_register_actions(actions.registers);
    }

    /// Runs after the actions of an event: restores replicas after an overflow, sends the deferred confirmations, saves
    /// the system's id, sends the status if it changed or is due, and closes idle links if their check is due.
    fn finish_event(&mut self) {
        self.restore_after_overflow();
        self.registries.send_confirmations();
        self.update_system_record();
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
            self.next_link_check_at = now + LINK_CHECK_INTERVAL;
            self.peers.close_idle();
        }
    }

    fn set_gauges(&self) {
        let disk = self.configuration.disk.status(self.health.disk);
        let rejected_peers = self.identity.rejected_peers();
        let replica = &self.configuration.replica;
        self.metrics
            .set_gauges(replica, self.health.up_to_date, disk, rejected_peers);
    }

    fn current_health(&mut self) -> Health {
        Health {
            up_to_date: self
                .configuration
                .replica
                .is_up_to_date(self.configuration.now()),
            voters: self.configuration.replica.voters(),
            disk: self.configuration.disk_state(),
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

    fn status_reply(&self) -> StoreReply {
        let Health {
            up_to_date,
            voters,
            disk,
        } = self.health.clone();
        StoreReply::Status {
            up_to_date,
            voters,
            disk: self.configuration.disk.status(disk),
            rejected_peers: self.identity.rejected_peers(),
        }
    }

    /// Saves the id of the system that this store belongs to, once it is known.
    fn update_system_record(&mut self) {
        let (replica, up_to_date) = (&self.configuration.replica, self.health.up_to_date);
        self.system.update(|| {
            if !up_to_date {
                return None;
            }
            founded_system(replica)
        });
    }
}

/// Returns the id of the system that the voters founded, if their roster is the first one.
fn founded_system(replica: &Replica) -> Option<SystemId> {
    let roster = replica.state().roster()?;
    system_record::founded_by(roster.version, &replica.voters())
}
