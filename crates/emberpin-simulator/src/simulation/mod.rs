//! A running system: the simulated clock, the queue of scheduled events, and all machines.
//!
//! Each submodule implements one concern of [`Simulation`]. Events come from the queue, steps from the runner; both may
//! schedule further events.

mod clients;
mod connections;
mod contact;
mod core_nodes;
mod effects;
mod expectations;
mod faults;
mod final_checks;
mod operators;
mod proxy_sessions;
mod registries;
mod servers;
mod slow_start_load;
mod steps;
mod stores;

use crate::fault_effects::FaultEffects;
use crate::invariants::Record;
use crate::machine::{CoreId, Machine, ProxyId};
use crate::mutants::Guards;
use crate::scenario::Scenario;
use crate::state::core_node::{CoreNode, CoreProcess};
use crate::state::event::Event;
use crate::state::network::Network;
use crate::state::operator::Operators;
use crate::state::process::{Process, ProcessIncarnation};
use crate::state::proxy::{ProxyNode, ProxyProcess};
use crate::state::server::{Server, ServerCall};
use crate::state::DEFAULT_SYNC_TIME;
use crate::violation::Violation;
use oorandom::Rand64;
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

/// The time at which a run begins. Not zero, since zero means "never" in some fields.
const START: Duration = Duration::from_millis(1);
/// The number of seeds unless a scenario names others: the first machines in use.
const DEFAULT_SEED_COUNT: usize = 3;

/// Counters of a run, for its statistics.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    /// The number of events that were handled.
    pub events: u64,
    /// Requests that were sent to warming servers.
    pub slow_start_requests: usize,
    /// Checks that a proxy in contact has applied an acknowledged change.
    pub effect_checks: usize,
    /// Operations in histories that were checked for linearizability.
    pub checked_operations: usize,
    /// Operations in histories that were too long to be checked.
    pub unchecked_operations: usize,
    /// How often faults took effect.
    pub fault_effects: FaultEffects,
}

/// A violation, and when it was found.
#[derive(Debug)]
pub(crate) struct TimedViolation {
    pub at: Duration,
    pub violation: Violation,
}

/// The state of a run.
pub(crate) struct Simulation {
    /// The simulated time, in whole milliseconds since the start of the run.
    pub now: Duration,
    random: Rand64,
    guards: Guards,
    tolerance: usize,
    cores: BTreeMap<CoreId, CoreNode>,
    proxies: BTreeMap<ProxyId, ProxyNode>,
    servers: BTreeMap<String, Server>,
    pub operators: Operators,
    record: Record,
    pub counters: Counters,
    network: Network,
    /// The duration of a disk sync.
    sync_time: Range<Duration>,
    /// Whether messages or disks are so slow that time limits are not checked.
    skips_time_limits: bool,
    is_slow_start_load_scheduled: bool,
    /// The percentage of responses to operators that are lost.
    response_loss_percent: u64,
    /// The seeds in the settings of processes that start; `None`: the first machines in use.
    seeds: Option<Vec<CoreId>>,
    /// The pending calls of servers, by their ids at registries.
    pending_server_calls: BTreeMap<u64, ServerCall>,
    /// The scheduled events by time, and in the order in which they were scheduled.
    queue: BTreeMap<(Duration, u64), Event>,
    last_event_number: u64,
    /// The first violation, with which the run ends.
    pub violation: Option<TimedViolation>,
}

impl Simulation {
    pub fn new(scenario: &Scenario, guards: Guards) -> Simulation {
        let mut simulation = Simulation {
            now: START,
            random: Rand64::new(u128::from(scenario.seed) + 1),
            guards,
            tolerance: scenario.tolerance,
            cores: BTreeMap::new(),
            proxies: BTreeMap::new(),
            servers: BTreeMap::new(),
            operators: Operators::default(),
            record: Record::default(),
            counters: Counters::default(),
            network: Network::default(),
            sync_time: DEFAULT_SYNC_TIME,
            skips_time_limits: false,
            is_slow_start_load_scheduled: false,
            response_loss_percent: 0,
            seeds: None,
            pending_server_calls: BTreeMap::new(),
            queue: BTreeMap::new(),
            last_event_number: 0,
            violation: None,
        };
        simulation.add_machines(scenario);
        simulation
    }

    /// Adds the scenario's machines, in its zones in turn, and starts them.
    fn add_machines(&mut self, scenario: &Scenario) {
        let zones = &scenario.zones;
        let process = |number: u8| Process::new(&zones[usize::from(number - 1) % zones.len()]);
        for number in 1..=scenario.cores {
            let node = CoreNode::new(process(number));
            self.cores.insert(CoreId(number), node);
        }
        for number in 1..=scenario.proxies {
            let node = ProxyNode::new(process(number));
            self.proxies.insert(ProxyId(number), node);
        }
        for number in 1..=scenario.cores {
            self.start_core(CoreId(number), true);
        }
        for number in 1..=scenario.proxies {
            self.start_proxy(ProxyId(number));
        }
    }

    // ---- draws

    /// A number below `bound`; 0 if `bound` is 0.
    fn draw_below(&mut self, bound: u64) -> u64 {
        self.random.rand_range(0..bound.max(1))
    }

    /// A time below `bound`, in whole milliseconds.
    fn draw_time_below(&mut self, bound: Duration) -> Duration {
        Duration::from_millis(self.draw_below(bound.as_millis() as u64))
    }

    /// A time in this range, in whole milliseconds.
    fn draw_time(&mut self, range: &Range<Duration>) -> Duration {
        range.start + self.draw_time_below(range.end.saturating_sub(range.start))
    }

    /// True for `percent` of a hundred draws on average.
    fn draw_percent(&mut self, percent: u64) -> bool {
        self.draw_below(100) < percent
    }

    /// One of the core machines in use.
    fn draw_core(&mut self) -> CoreId {
        let cores = self.cores_in_use();
        cores[self.draw_below(cores.len() as u64) as usize]
    }

    // ---- events

    /// Schedules an event at `at`, or now if `at` has passed.
    fn schedule(&mut self, at: Duration, event: Event) {
        self.last_event_number += 1;
        let key = (at.max(self.now), self.last_event_number);
        self.queue.insert(key, event);
    }

    /// Ends the run with this violation, unless it has ended already.
    pub fn fail(&mut self, violation: impl Into<Violation>) {
        if self.violation.is_none() {
            self.violation = Some(TimedViolation {
                at: self.now,
                violation: violation.into(),
            });
        }
    }

    /// Ends the run if the result is a violation.
    fn fail_on_violation(&mut self, result: Result<(), Violation>) {
        if let Err(violation) = result {
            self.fail(violation);
        }
    }

    /// Handles the events up to `until`, and stops at the first violation.
    pub fn run_until(&mut self, until: Duration) {
        while self.violation.is_none() {
            let next = self.queue.first_entry();
            let Some(entry) = next.filter(|entry| entry.key().0 <= until) else {
                break;
            };
            self.now = self.now.max(entry.key().0);
            let event = entry.remove();
            self.counters.events += 1;
            self.handle(event);
        }
        if self.violation.is_none() {
            self.now = self.now.max(until);
        }
    }

    /// The machine whose process handles an event; the event is deferred while that process is frozen.
    fn handling_machine(&self, event: &Event) -> Option<Machine> {
        match event {
            Event::StoreMessage { to: core, .. }
            | Event::DiskSynced { core, .. }
            | Event::ShutdownsSynced { core, .. }
            | Event::StoreTimer { core, .. }
            | Event::RegistryTimer { core, .. }
            | Event::ItemsChosen { core, .. }
            | Event::StoreAge { core, .. }
            | Event::VotersReport { core, .. }
            | Event::PeerDial { core, .. }
            | Event::OperatorCall { core, .. }
            | Event::ServerCall { core, .. } => Some(Machine::Core(*core)),
            Event::ProxyTimer { proxy, .. } => Some(Machine::Proxy(*proxy)),
            Event::ConnectionBroken { machine, .. } => Some(*machine),
            Event::FrameArrives {
                connection,
                direction,
                ..
            } => self.network.receiver(*connection, *direction),
            Event::UnacknowledgedTimeout { .. }
            | Event::OperatorRedirect { .. }
            | Event::OperatorResponse { .. }
            | Event::OperatorRetry { .. }
            | Event::ServerHeartbeat { .. }
            | Event::ServerResponse { .. }
            | Event::ServerTimeout { .. }
            | Event::SlowStartLoad
            | Event::CheckEffect { .. } => None,
        }
    }

    fn handle(&mut self, event: Event) {
        let handling_machine = self.handling_machine(&event);
        if let Some(process) = handling_machine.and_then(|machine| self.process_mut(machine)) {
            if process.is_frozen {
                process.deferred.push(event);
                self.counters.fault_effects.deferred_events += 1;
                return;
            }
        }
        match event {
            Event::StoreMessage { .. }
            | Event::DiskSynced { .. }
            | Event::ShutdownsSynced { .. }
            | Event::StoreTimer { .. }
            | Event::RegistryTimer { .. }
            | Event::ItemsChosen { .. }
            | Event::StoreAge { .. }
            | Event::VotersReport { .. }
            | Event::PeerDial { .. } => self.on_core_event(event),
            Event::FrameArrives {
                connection,
                direction,
                frame,
            } => self.on_frame(connection, direction, *frame),
            Event::UnacknowledgedTimeout { connection } => {
                self.on_unacknowledged_timeout(connection);
            }
            Event::ConnectionBroken {
                connection,
                machine,
                incarnation,
                other,
            } => self.on_connection_broken(connection, machine, incarnation, other),
            Event::ProxyTimer { proxy, incarnation } => self.on_proxy_timer(proxy, incarnation),
            Event::SlowStartLoad => self.send_slow_start_load(),
            Event::CheckEffect {
                effect,
                acknowledged_at,
            } => self.check_effect(&effect, acknowledged_at),
            Event::OperatorCall { .. }
            | Event::OperatorRedirect { .. }
            | Event::OperatorResponse { .. }
            | Event::OperatorRetry { .. }
            | Event::ServerHeartbeat { .. }
            | Event::ServerCall { .. }
            | Event::ServerResponse { .. }
            | Event::ServerTimeout { .. } => self.on_client_event(event),
        }
    }

    // ---- machines

    fn process_mut(&mut self, machine: Machine) -> Option<&mut Process> {
        match machine {
            Machine::Core(core) => self.cores.get_mut(&core).map(|node| &mut node.process),
            Machine::Proxy(proxy) => self.proxies.get_mut(&proxy).map(|node| &mut node.process),
        }
    }

    fn running_core(&mut self, core: CoreId) -> Option<&mut CoreProcess> {
        self.cores.get_mut(&core)?.running.as_mut()
    }

    /// The time on a proxy's clock, and the proxy's running state.
    fn running_proxy(&mut self, proxy: ProxyId) -> Option<(Duration, &mut ProxyProcess)> {
        let node = self.proxies.get_mut(&proxy)?;
        let local = node.process.local_time(self.now);
        node.running.as_mut().map(|running| (local, running))
    }

    fn is_running(&self, machine: Machine) -> bool {
        match machine {
            Machine::Core(core) => self
                .cores
                .get(&core)
                .is_some_and(|node| node.running.is_some()),
            Machine::Proxy(proxy) => self
                .proxies
                .get(&proxy)
                .is_some_and(|node| node.running.is_some()),
        }
    }

    fn incarnation(&self, machine: Machine) -> ProcessIncarnation {
        match machine {
            Machine::Core(core) => self
                .cores
                .get(&core)
                .map_or(ProcessIncarnation::default(), |node| {
                    node.process.incarnation
                }),
            Machine::Proxy(proxy) => self
                .proxies
                .get(&proxy)
                .map_or(ProcessIncarnation::default(), |node| {
                    node.process.incarnation
                }),
        }
    }

    /// The core machines that were not replaced, which are those that operators and settings know.
    fn cores_in_use(&self) -> Vec<CoreId> {
        self.cores
            .iter()
            .filter(|(_, node)| !node.process.is_removed)
            .map(|(core, _)| *core)
            .collect()
    }

    /// The seeds in the settings of a process that starts now.
    fn configured_seeds(&self) -> Vec<CoreId> {
        match &self.seeds {
            Some(seeds) => seeds.clone(),
            None => self
                .cores_in_use()
                .into_iter()
                .take(DEFAULT_SEED_COUNT)
                .collect(),
        }
    }
}
