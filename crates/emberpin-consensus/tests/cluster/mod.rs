//! A cluster of replicas on simulated time, with delays and faults drawn from a seed, and invariant checks of
//! everything that its replicas report to their clients and followers.
//!
//! Times are milliseconds. Running a cluster stops at the first violation, which [`Cluster::violation`] describes.
#![allow(dead_code, reason = "each test file uses a part of it")]

mod applications;
pub mod calls;
mod checks;
mod clients;
pub mod faults;
mod node;
pub mod replica;
pub mod seeds;

pub use clients::{ClientCall, HistoryEvent, Reply};

use checks::Observations;
use emberpin_config::{
    Item, ItemKey, ItemKind, Retention, MAX_CONFIGURATION_BYTES, MAX_HISTORY_BYTES,
};
use emberpin_consensus::{
    Action, Ballot, CoordinationReply, Event, Guards, Message, Replica, ReplicaOptions, Rounds,
    Timestamp, WriteBatch, WriteToken,
};
use node::Node;
use oorandom::Rand64;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::Ipv4Addr;
use std::ops::Range;

/// The longest time until a call is answered: the timeout of a call, and the delay of a timer.
const MAX_REPLY_TIME: u64 = 3_000 + 2;

/// How long a process that shuts down waits for its replica to leave the roster.
const LEAVE_TIMEOUT: u64 = 700;

/// How many events a host handles before it syncs once for all of them.
const MAX_EVENTS_PER_SYNC: usize = 32;

/// Retention limits that are reached after few changes.
pub const SMALL_RETENTION: Retention = Retention {
    max_versions: 3,
    max_tombstones: 4,
    max_history_bytes: MAX_HISTORY_BYTES,
    max_configuration_bytes: MAX_CONFIGURATION_BYTES,
};

/// The reason that is reported to clients while a disk is full.
pub const DISK_FULL: &str = "the disk is full";

/// An event that is scheduled on simulated time.
#[derive(Clone, Debug)]
enum ScheduledEvent {
    Deliver {
        from: Ipv4Addr,
        to: Ipv4Addr,
        /// The receiver's process when the message was sent. The connection closes when this process ends, so the
        /// message is then lost.
        process: u64,
        message: Message,
    },
    Synced {
        node: Ipv4Addr,
        process: u64,
        disk_failures: u64,
        token: WriteToken,
        /// How many writes of the disk are synced by this sync.
        writes: usize,
    },
    Tick {
        node: Ipv4Addr,
        process: u64,
    },
}

/// How a process is started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// Its settings ask for the bootstrap of the system.
    Bootstrap,
    /// Its settings name the seeds of a system that exists.
    Normal,
}

/// A message that a test has held back.
#[derive(Clone, Debug)]
pub struct HeldBackMessage {
    pub from: Ipv4Addr,
    pub to: Ipv4Addr,
    pub message: Message,
}

/// Random stalls of syncs.
#[derive(Clone, Copy, Debug, Default)]
pub struct SyncStalls {
    /// The percentage of syncs that stall.
    pub percent: u64,
    /// How much longer a stalled sync takes.
    pub duration: u64,
}

pub struct Cluster {
    pub now: u64,
    pub nodes: BTreeMap<Ipv4Addr, Node>,
    /// Links on which messages are lost, each from the first machine to the second.
    pub partitions: BTreeSet<(Ipv4Addr, Ipv4Addr)>,
    pub calls: Vec<ClientCall>,
    pub history: Vec<HistoryEvent>,
    /// The replies to the operations of applications, in the order in which these were sent.
    pub operations: Vec<Option<CoordinationReply>>,
    /// The observations so far, against which further ones are checked.
    pub observed: Observations,
    /// The first violation.
    pub violation: Option<String>,
    /// Selects the messages that a test holds back.
    pub hold_back: Option<fn(&Message) -> bool>,
    pub held_back: Vec<HeldBackMessage>,
    /// The source of all random numbers of a run.
    pub random: Rand64,
    guards: Guards,
    rounds: Rounds,
    /// The machines of the bootstrap, which its settings name as seeds.
    seeds: Vec<Ipv4Addr>,
    tolerated_failures: usize,
    /// The times and numbers of scheduled events, the earliest first; the numbers are keys of `scheduled`.
    schedule: BinaryHeap<Reverse<(u64, u64)>>,
    scheduled: BTreeMap<u64, ScheduledEvent>,
    last_scheduled: u64,
    /// The delay of a message.
    pub network_delay: Range<u64>,
    /// The duration of a sync.
    pub sync_time: Range<u64>,
    pub sync_stalls: SyncStalls,
    /// The percentage of messages that are late by up to 1.5 s.
    pub late_percent: u64,
    /// The percentage of messages that arrive twice.
    pub duplicate_percent: u64,
    /// Whether a host handles nothing while its disk syncs, and afterwards handles the events that arrived meanwhile
    /// with one further sync.
    pub host_blocks_on_sync: bool,
}

/// Whether a message spreads chosen items outside of rounds. Without such messages, a replica learns items only in
/// rounds.
pub fn spreads_chosen_items(message: &Message) -> bool {
    matches!(
        message,
        Message::Chosen(_) | Message::CompareDigest(_) | Message::DigestDiffers(_)
    )
}

/// The address of the machine with this number.
pub fn ip(machine: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, machine)
}

impl Cluster {
    /// Creates a cluster of `seed_count` machines, whose settings name all of them as seeds, and starts them with
    /// [`Start::Bootstrap`]. The random choices of the run derive from `seed`.
    pub fn new(seed: u64, seed_count: u8, tolerated_failures: usize, guards: Guards) -> Cluster {
        Cluster::with_rounds(
            Rounds::Leaderless,
            seed,
            seed_count,
            tolerated_failures,
            guards,
        )
    }

    /// Like [`Cluster::new`], with or without a leader among the proposers.
    pub fn with_rounds(
        rounds: Rounds,
        seed: u64,
        seed_count: u8,
        tolerated_failures: usize,
        guards: Guards,
    ) -> Cluster {
        let seed_machines: Vec<Ipv4Addr> = (1..=seed_count).map(ip).collect();
        let mut cluster = Cluster {
            now: 1,
            nodes: BTreeMap::new(),
            partitions: BTreeSet::new(),
            calls: Vec::new(),
            history: Vec::new(),
            operations: Vec::new(),
            observed: Observations::default(),
            violation: None,
            hold_back: None,
            held_back: Vec::new(),
            random: Rand64::new(u128::from(seed) + 1),
            guards,
            rounds,
            seeds: seed_machines.clone(),
            tolerated_failures,
            schedule: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            last_scheduled: 0,
            network_delay: 1..4,
            sync_time: 2..6,
            sync_stalls: SyncStalls::default(),
            late_percent: 0,
            duplicate_percent: 0,
            host_blocks_on_sync: false,
        };
        for machine in seed_machines {
            cluster.add_machine(machine);
            cluster.start(machine, Start::Bootstrap);
        }
        cluster
    }

    /// Adds a machine with an empty disk, not started.
    pub fn add_machine(&mut self, ip: Ipv4Addr) {
        self.nodes.insert(ip, Node::default());
    }

    /// A random number below a bound.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.random.rand_range(0..bound)
    }

    /// A random element.
    pub fn choose<T: Clone>(&mut self, from: &[T]) -> T {
        from[self.below(from.len() as u64) as usize].clone()
    }

    fn random_in(&mut self, range: &Range<u64>) -> u64 {
        range.start + self.below(range.end - range.start)
    }

    fn schedule(&mut self, at: u64, event: ScheduledEvent) {
        self.last_scheduled += 1;
        self.schedule.push(Reverse((at, self.last_scheduled)));
        self.scheduled.insert(self.last_scheduled, event);
    }

    pub fn node(&mut self, ip: Ipv4Addr) -> &mut Node {
        self.nodes.get_mut(&ip).expect("a machine of the cluster")
    }

    /// The replica of a machine that runs.
    pub fn replica(&self, ip: Ipv4Addr) -> Option<&Replica> {
        self.nodes[&ip].replica.as_ref()
    }

    /// The newest version of an item that the replica of a machine knows.
    pub fn known_item(&self, machine: u8, kind: ItemKind, name: &str) -> Option<Item> {
        let key = ItemKey {
            kind,
            name: name.into(),
        };
        self.replica(ip(machine))?.state().get(&key).cloned()
    }

    /// The newest version of a service that the replica of a machine knows.
    pub fn service_version(&self, machine: u8, name: &str) -> Option<u64> {
        let service = self.known_item(machine, ItemKind::Service, name)?;
        Some(service.version.0)
    }

    /// The machines whose processes run.
    pub fn running(&self) -> Vec<Ipv4Addr> {
        self.nodes
            .iter()
            .filter(|(_, node)| node.replica.is_some())
            .map(|(ip, _)| *ip)
            .collect()
    }

    /// Starts a process, unless it runs or the machine is decommissioned.
    pub fn start(&mut self, ip: Ipv4Addr, start: Start) {
        let (now, guards, random_seed) = (self.now, self.guards, self.random.rand_u64());
        // The settings name machines from the operator's current list: some may be down, none is gone for good.
        let listed = self
            .nodes
            .iter()
            .filter(|(_, node)| !node.decommissioned && !node.delisted)
            .map(|(ip, _)| *ip);
        let seeds = match start {
            Start::Bootstrap => self.seeds.clone(),
            Start::Normal => listed.take(self.seeds.len()).collect(),
        };
        let options = ReplicaOptions {
            address: ip,
            seeds,
            bootstrap: start == Start::Bootstrap,
            tolerated_failures: self.tolerated_failures,
            rounds: self.rounds,
            random_seed,
        };
        let node = self.node(ip);
        if node.replica.is_some() || node.decommissioned {
            return;
        }
        node.process += 1;
        node.next_tick_at = 0;
        node.is_syncing = false;
        node.waiting_events.clear();
        node.is_frozen = false;
        node.frozen_events.clear();
        node.learned_versions.clear();
        let persisted = node.persisted_state();
        let mut actions = Vec::new();
        node.replica = Some(Replica::with_guards(
            Timestamp::from_millis(now),
            options,
            persisted,
            guards,
            &mut actions,
        ));
        self.apply(ip, actions);
    }

    /// Starts a process on each of these machines that has none.
    pub fn start_all(&mut self, ips: &[Ipv4Addr]) {
        for ip in ips {
            self.start(*ip, Start::Normal);
        }
    }

    /// The promised ballot on a machine's disk.
    pub fn promised_ballot(&self, ip: Ipv4Addr) -> Option<Ballot> {
        self.nodes[&ip].disk.last().map(|write| write.promised)
    }

    fn handle(&mut self, ip: Ipv4Addr, event: Event) {
        let node = self.node(ip);
        if node.is_frozen {
            node.frozen_events.push_back(event);
            return;
        }
        if node.is_syncing {
            node.waiting_events.push_back(event);
            return;
        }
        self.handle_all(ip, [event]);
    }

    fn handle_all(&mut self, ip: Ipv4Addr, events: impl IntoIterator<Item = Event>) {
        let now = Timestamp::from_millis(self.now);
        let Some(replica) = self.node(ip).replica.as_mut() else {
            return;
        };
        let mut actions = Vec::new();
        for event in events {
            replica.handle(now, event, &mut actions);
        }
        self.apply(ip, actions);
    }

    /// A sync has ended: the host handles this, and the events that arrived meanwhile.
    fn on_synced(&mut self, ip: Ipv4Addr, token: WriteToken) {
        let node = self.node(ip);
        node.is_syncing = false;
        if node.is_frozen {
            let synced = Event::Persisted { token };
            node.frozen_events.push_back(synced);
            node.frozen_events.extend(node.waiting_events.drain(..));
            return;
        }
        let waiting = self.take_waiting_events(ip);
        let synced = std::iter::once(Event::Persisted { token });
        self.handle_all(ip, synced.chain(waiting));
        // If the handled events led to no sync, the next ones follow at once.
        while !self.node(ip).is_syncing && !self.node(ip).waiting_events.is_empty() {
            let waiting = self.take_waiting_events(ip);
            self.handle_all(ip, waiting);
        }
    }

    fn take_waiting_events(&mut self, ip: Ipv4Addr) -> Vec<Event> {
        let waiting = &mut self.node(ip).waiting_events;
        let count = waiting.len().min(MAX_EVENTS_PER_SYNC);
        waiting.drain(..count).collect()
    }

    /// Carries out a replica's actions.
    fn apply(&mut self, ip: Ipv4Addr, actions: Vec<Action>) {
        let mut blocking_sync = None;
        let mut write_lost = false;
        for action in actions {
            match action {
                Action::Persist { token, write } => match self.write(ip, token, write) {
                    Written::Lost => write_lost = true,
                    Written::Buffered => {}
                    Written::Syncs(at, synced) if self.host_blocks_on_sync => {
                        blocking_sync = Some((at, synced));
                    }
                    Written::Syncs(at, synced) => self.schedule(at, synced),
                },
                Action::Send { to, message } => self.send(ip, to, message),
                Action::Reply {
                    call_id,
                    status,
                    body,
                } => self.on_reply(call_id.0 as usize, Reply { status, body }),
                Action::ReplyToApplication { call_id, reply } => {
                    self.on_application_reply(call_id, reply);
                }
                Action::Learned { items } => self.on_learned(ip, &items),
            }
        }
        if write_lost {
            return self.lose_unsynced_writes(ip);
        }
        if let Some((at, synced)) = blocking_sync {
            self.node(ip).is_syncing = true;
            self.schedule(at, synced);
        }
        self.schedule_tick(ip);
    }

    fn write(&mut self, ip: Ipv4Addr, token: WriteToken, write: WriteBatch) -> Written {
        let SyncStalls { percent, duration } = self.sync_stalls;
        let is_stalled = percent > 0 && self.below(100) < percent;
        let stall = if is_stalled { duration } else { 0 };
        let sync_time = self.random_in(&self.sync_time.clone()) + stall;
        let now = self.now;
        let node = self.node(ip);
        if node.disk_full {
            return Written::Lost;
        }
        let sync = write.sync;
        node.disk.push(write);
        if !sync {
            return Written::Buffered;
        }
        let synced = ScheduledEvent::Synced {
            node: ip,
            process: node.process,
            disk_failures: node.disk_failures,
            token,
            writes: node.disk.len(),
        };
        Written::Syncs((now + sync_time).max(node.stalled_until), synced)
    }

    fn schedule_tick(&mut self, ip: Ipv4Addr) {
        let now = self.now;
        let node = self.node(ip);
        let Some(replica) = &node.replica else { return };
        let at = replica.next_tick_at().as_millis().max(now + 1);
        if node.next_tick_at != at {
            node.next_tick_at = at;
            let process = node.process;
            self.schedule(at, ScheduledEvent::Tick { node: ip, process });
        }
    }

    fn send(&mut self, from: Ipv4Addr, to: Ipv4Addr, message: Message) {
        if self.partitions.contains(&(from, to)) {
            return;
        }
        if self.hold_back.is_some_and(|is_held| is_held(&message)) {
            self.held_back.push(HeldBackMessage { from, to, message });
            return;
        }
        let is_duplicated = self.below(100) < self.duplicate_percent;
        for _ in 0..if is_duplicated { 2 } else { 1 } {
            let mut delay = self.random_in(&self.network_delay.clone());
            if self.below(100) < self.late_percent {
                delay += self.below(1500);
            }
            let deliver = ScheduledEvent::Deliver {
                from,
                to,
                process: self.nodes.get(&to).map_or(0, |node| node.process),
                message: message.clone(),
            };
            self.schedule(self.now + delay, deliver);
        }
    }

    /// Delivers the first message from one machine to another that was held back.
    pub fn release(&mut self, from: Ipv4Addr, to: Ipv4Addr) {
        let is_on_link = |held: &HeldBackMessage| (held.from, held.to) == (from, to);
        if let Some(position) = self.held_back.iter().position(is_on_link) {
            let HeldBackMessage { from, to, message } = self.held_back.remove(position);
            self.handle(to, Event::Message { from, message });
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, span: u64) {
        let until = self.now + span;
        self.run_while(span, |_| true);
        self.now = self.now.max(until);
    }

    /// Lets time pass while a condition holds, up to a span.
    pub fn run_while(&mut self, span: u64, mut condition: impl FnMut(&Cluster) -> bool) {
        let until = self.now + span;
        while self.violation.is_none() && condition(self) {
            match self.schedule.peek() {
                Some(Reverse((at, _))) if *at <= until => {}
                _ => {
                    self.now = until;
                    return;
                }
            }
            let Some(Reverse((at, number))) = self.schedule.pop() else {
                return;
            };
            self.now = self.now.max(at);
            if let Some(event) = self.scheduled.remove(&number) {
                self.on_scheduled(event);
            }
        }
    }

    fn on_scheduled(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Deliver {
                from,
                to,
                process,
                message,
            } => {
                let receiver = self.nodes.get(&to);
                let is_connected = receiver.is_some_and(|node| node.process == process);
                if is_connected && !self.partitions.contains(&(from, to)) {
                    self.handle(to, Event::Message { from, message });
                }
            }
            ScheduledEvent::Synced {
                node: ip,
                process,
                disk_failures,
                token,
                writes,
            } => {
                let node = self.node(ip);
                let is_same = (node.process, node.disk_failures) == (process, disk_failures);
                if is_same && node.replica.is_some() {
                    node.synced = node.synced.max(writes);
                    let has_caught_up = node.disk[..node.synced].iter().any(|write| write.voting);
                    node.unrecovered_disk_loss &= !has_caught_up;
                    self.on_synced(ip, token);
                }
            }
            ScheduledEvent::Tick { node: ip, process } => {
                let now = self.now;
                let node = self.node(ip);
                if node.process == process && node.next_tick_at == now {
                    node.next_tick_at = 0;
                    self.handle(ip, Event::Tick);
                }
            }
        }
    }
}

/// The result of a write.
enum Written {
    /// The disk takes no writes.
    Lost,
    /// It waits for a later sync.
    Buffered,
    /// It is synced at this time.
    Syncs(u64, ScheduledEvent),
}
