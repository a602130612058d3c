//! Several registries, their servers and limiters over a network in memory, in simulated time.
#![allow(dead_code, missing_docs, reason = "each test file uses a part of it")]

use emberpin_config::{Item, ItemKey, ItemKind, Version};
use emberpin_membership::clock::Timestamp;
use emberpin_membership::guards::Guards;
use emberpin_membership::ids::{CallId, Incarnation, Nonce, SessionId};
use emberpin_membership::instance::{Instance, Status};
use emberpin_membership::peers::{Ack, RegistryMessage};
use emberpin_membership::registry::{
    Action, Event, Registry, RegistryConfig, ServerReply, SNAPSHOT_PART_BYTES,
};
use emberpin_membership::session::{FromProxy, Revision, ToProxy};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

pub const STEP: u64 = 5;
pub const DELAY: u64 = 10;
pub const BEAT: u64 = 1_300;
pub const EXPIRY: u64 = 5_200;
/// Bytes that nobody acknowledges for so long end their connection.
const UNACKNOWLEDGED: u64 = 1_500;

pub fn ip(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, number, 0, 1)
}

/// Machine `number` is in the zone of this name.
pub fn zone(number: u8) -> String {
    format!("zone-{}", number % 3)
}

pub fn instance(id: &str, seq: u64) -> Instance {
    let port = 8000 + id.bytes().fold(0, |sum, byte| sum + u16::from(byte));
    Instance {
        id: id.into(),
        service: "svc".into(),
        address: SocketAddr::from((Ipv4Addr::new(10, 128, 0, 1), port)),
        zone: zone(1),
        slots: 4,
        status: Status::Up,
        seq,
        cold_ms: 0,
    }
}

pub fn drain(id: &str, seq: u64) -> Instance {
    Instance {
        status: Status::Draining,
        ..instance(id, seq)
    }
}

pub fn item(kind: ItemKind, name: &str, ver: u64, body: Option<&str>) -> Item {
    Item {
        key: ItemKey {
            kind,
            name: name.into(),
        },
        version: Version(ver),
        body: body.map(str::to_string),
    }
}

enum Message {
    RegistryMessage(RegistryMessage),
    Ack(Ack),
}

/// A connection that one registry has opened to another.
#[derive(Default)]
struct Wire {
    open: bool,
    /// For the callee, and back; with the time when it arrives.
    there: VecDeque<(u64, Message)>,
    back: VecDeque<(u64, Message)>,
    cut_since: Option<u64>,
}

pub struct Node {
    pub registry: Registry,
    pub store: Option<bool>,
    pub frozen: bool,
    queue: VecDeque<Event>,
    pub answers: BTreeMap<u64, (u64, ServerReply)>,
    pub told: BTreeMap<u64, Vec<ToProxy>>,
    pub closed: BTreeSet<u64>,
}

/// A server that beats by itself.
pub struct Server {
    pub instance: Instance,
    pub at: u8,
    pub next: u64,
}

pub struct World {
    pub now: u64,
    pub voters: Vec<Ipv4Addr>,
    pub nodes: BTreeMap<u8, Node>,
    pub servers: Vec<Server>,
    wires: BTreeMap<(u8, u8), Wire>,
    cuts: BTreeSet<(u8, u8)>,
    held: BTreeSet<(u8, u8)>,
    pub part_bytes: usize,
    calls: u64,
    questions: u64,
    instances: u64,
    /// Messages between registries, answers to pulses aside.
    pub said: u64,
    /// Answers to pulses.
    pub answered: u64,
    /// Connections that were wanted.
    pub called: u64,
}

fn number(ip: Ipv4Addr) -> u8 {
    ip.octets()[1]
}

impl World {
    /// Machines 1 to `size`, all with stores that are settled, running for a while.
    pub fn new(size: u8) -> World {
        let mut world = World {
            now: 0,
            voters: (1..=size).map(ip).collect(),
            nodes: BTreeMap::new(),
            servers: Vec::new(),
            wires: BTreeMap::new(),
            cuts: BTreeSet::new(),
            held: BTreeSet::new(),
            part_bytes: SNAPSHOT_PART_BYTES,
            calls: 0,
            questions: 0,
            instances: 0,
            said: 0,
            answered: 0,
            called: 0,
        };
        for number in 1..=size {
            world.start(number);
        }
        world
    }

    pub fn timestamp(&self) -> Timestamp {
        Timestamp::from_millis(self.now)
    }

    pub fn start(&mut self, number: u8) {
        self.instances += 1;
        let node = Node {
            registry: Registry::new(self.timestamp(), self.limits(number)),
            store: Some(true),
            frozen: false,
            queue: VecDeque::new(),
            answers: BTreeMap::new(),
            told: BTreeMap::new(),
            closed: BTreeSet::new(),
        };
        self.nodes.insert(number, node);
    }

    fn limits(&self, number: u8) -> RegistryConfig {
        RegistryConfig {
            address: ip(number),
            zone: zone(number),
            incarnation: Incarnation(self.instances),
            heartbeat_interval: Duration::from_millis(BEAT),
            seeds: self.voters.clone(),
            snapshot_part_bytes: self.part_bytes,
        }
    }

    /// Starts a machine anew, as a wrong build.
    pub fn restart_with(&mut self, number: u8, guards: Guards) {
        self.kill(number);
        self.start(number);
        let registry = Registry::with_guards(self.timestamp(), self.limits(number), guards);
        self.nodes.get_mut(&number).expect("started").registry = registry;
    }

    /// Links hold what goes over them, and stay; or let it go.
    pub fn hold(&mut self, one: u8, others: &[u8], hold: bool) {
        for other in others {
            for pair in [(one, *other), (*other, one)] {
                match hold {
                    true => _ = self.held.insert(pair),
                    false => _ = self.held.remove(&pair),
                }
            }
        }
    }

    pub fn kill(&mut self, number: u8) {
        self.nodes.remove(&number);
        let (mine, theirs): (Vec<_>, Vec<_>) = self
            .wires
            .keys()
            .copied()
            .filter(|(from, to)| *from == number || *to == number)
            .partition(|(from, _)| *from == number);
        mine.into_iter()
            .for_each(|wire| _ = self.wires.remove(&wire));
        for wire in theirs {
            self.close(wire);
        }
    }

    /// Cuts a machine from these others, or joins them again.
    pub fn cut(&mut self, one: u8, others: &[u8], cut: bool) {
        for other in others {
            for pair in [(one, *other), (*other, one)] {
                match cut {
                    true => _ = self.cuts.insert(pair),
                    false => _ = self.cuts.remove(&pair),
                }
            }
        }
    }

    /// Whether one registry keeps a connection to another, or tries to.
    pub fn calls(&self, from: u8, to: u8) -> bool {
        self.wires.contains_key(&(from, to))
    }

    fn close(&mut self, wire: (u8, u8)) {
        let Some(link) = self.wires.get_mut(&wire) else {
            return;
        };
        let was = std::mem::take(link);
        if was.open {
            if let Some(node) = self.nodes.get_mut(&wire.0) {
                node.queue
                    .push_back(Event::PeerDisconnected { peer: ip(wire.1) });
            }
        }
    }

    /// Something happens at a machine.
    pub fn event(&mut self, at: u8, event: Event) {
        if let Some(node) = self.nodes.get_mut(&at) {
            node.queue.push_back(event);
        }
        self.work(at);
    }

    fn work(&mut self, at: u8) {
        let mut actions = Vec::new();
        let Some(node) = self.nodes.get_mut(&at).filter(|node| !node.frozen) else {
            return;
        };
        let now = Timestamp::from_millis(self.now);
        if node.registry.next_deadline() <= now {
            node.queue.push_back(Event::Tick);
        }
        while let Some(event) = node.queue.pop_front() {
            node.registry.handle(now, event, &mut actions);
        }
        for action in actions {
            self.act(at, action);
        }
    }

    fn act(&mut self, at: u8, action: Action) {
        let node = self.nodes.get_mut(&at).expect("it acts");
        match action {
            Action::Reply { call, reply } => _ = node.answers.insert(call.0, (self.now, reply)),
            Action::ConnectPeer { peer } => {
                self.called += 1;
                self.wires.insert((at, number(peer)), Wire::default());
            }
            Action::DisconnectPeer { peer } => _ = self.wires.remove(&(at, number(peer))),
            Action::SendToPeers { peers, message } => {
                for peer in peers {
                    match message {
                        RegistryMessage::HeartbeatAck { .. } => self.answered += 1,
                        _ => self.said += 1,
                    }
                    if let Some(wire) = self
                        .wires
                        .get_mut(&(at, number(peer)))
                        .filter(|wire| wire.open)
                    {
                        wire.there.push_back((
                            self.now + DELAY,
                            Message::RegistryMessage(message.clone()),
                        ));
                    }
                }
            }
            Action::AcknowledgePeer { peer, ack } => {
                if let Some(wire) = self
                    .wires
                    .get_mut(&(number(peer), at))
                    .filter(|wire| wire.open)
                {
                    wire.back.push_back((self.now + DELAY, Message::Ack(ack)));
                }
            }
            Action::SendToProxies { sessions, message } => {
                for session in sessions {
                    node.told
                        .entry(session.0)
                        .or_default()
                        .push(message.clone());
                }
            }
            Action::QueryStore { nonce } => {
                if let Some(settled) = node.store {
                    let age = settled.then_some(Duration::ZERO);
                    node.queue.push_back(Event::StoreConfirmed { nonce, age });
                }
            }
            Action::CloseSession { session } => _ = node.closed.insert(session.0),
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let pairs: Vec<(u8, u8)> = self.wires.keys().copied().collect();
        for (from, to) in pairs {
            let cut = self.cuts.contains(&(from, to));
            let up = self.nodes.contains_key(&to);
            let now = self.now;
            let wire = self.wires.get_mut(&(from, to)).expect("a wire");
            wire.cut_since = cut.then(|| wire.cut_since.unwrap_or(now));
            if wire.open
                && wire
                    .cut_since
                    .is_some_and(|since| now - since >= UNACKNOWLEDGED)
            {
                self.close((from, to));
                continue;
            }
            if cut || !up || self.held.contains(&(from, to)) {
                continue;
            }
            if !wire.open {
                if now.is_multiple_of(100) && !self.nodes[&from].frozen {
                    wire.open = true;
                    self.event(from, Event::PeerConnected { peer: ip(to) });
                }
                continue;
            }
            let mut events = Vec::new();
            for (queue, at) in [(&mut wire.there, to), (&mut wire.back, from)] {
                while queue.front().is_some_and(|(due, _)| *due <= now) {
                    let event = match queue.pop_front() {
                        Some((_, Message::RegistryMessage(message))) => Event::PeerMessage {
                            peer: ip(from),
                            message,
                        },
                        Some((_, Message::Ack(ack))) => {
                            Event::PeerAcknowledged { peer: ip(to), ack }
                        }
                        None => continue,
                    };
                    events.push((at, event));
                }
            }
            for (at, event) in events {
                self.event(at, event);
            }
        }
        for number in self.nodes.keys().copied().collect::<Vec<_>>() {
            let settled = self.nodes[&number].store;
            if self.now.is_multiple_of(500) {
                if let Some(settled) = settled {
                    _ = settled;
                    self.event(number, Event::VotersChanged(self.voters.clone()));
                }
            }
            self.work(number);
        }
        let mut beats = Vec::new();
        for server in self
            .servers
            .iter_mut()
            .filter(|server| server.next <= self.now)
        {
            server.instance.seq += 1;
            server.next = self.now + BEAT;
            beats.push((server.at, server.instance.clone()));
        }
        for (at, instance) in beats {
            self.heartbeat(at, instance);
        }
    }

    pub fn run(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.step();
        }
    }

    /// A beat; gives the call.
    pub fn heartbeat(&mut self, at: u8, instance: Instance) -> u64 {
        self.calls += 1;
        self.event(
            at,
            Event::Heartbeat {
                call: CallId(self.calls),
                instance,
            },
        );
        self.calls
    }

    pub fn leave(&mut self, at: u8, id: &str) -> u64 {
        self.calls += 1;
        self.event(
            at,
            Event::Leave {
                call: CallId(self.calls),
                instance_id: id.into(),
            },
        );
        self.calls
    }

    /// The answer to a call, and how long it took from `since` on; runs until it is there, at most 700 ms.
    pub fn answer(&mut self, at: u8, call: u64) -> Option<(u64, ServerReply)> {
        let since = self.now;
        while self.now - since <= 700 {
            if let Some((when, answer)) =
                self.nodes.get(&at).and_then(|node| node.answers.get(&call))
            {
                return Some((when.saturating_sub(since), *answer));
            }
            self.step();
        }
        None
    }

    /// Whether a call is acknowledged.
    pub fn takes(&mut self, at: u8, call: u64) -> bool {
        matches!(
            self.answer(at, call),
            Some((_, ServerReply::Acknowledged { .. }))
        )
    }

    pub fn beats(&mut self, at: u8, id: &str) {
        self.servers.push(Server {
            instance: instance(id, 0),
            at,
            next: self.now,
        });
    }

    /// How an instance stands at a machine; `None`: it is not known there.
    pub fn status(&self, at: u8, id: &str) -> Option<Status> {
        self.nodes[&at]
            .registry
            .instances()
            .get(id)
            .map(emberpin_membership::instance_table::InstanceEntry::status)
    }

    pub fn hello(
        &mut self,
        at: u8,
        session: u64,
        from: Option<Revision>,
        instances: Vec<Instance>,
    ) {
        let said = FromProxy::Hello {
            incarnation: Incarnation(1),
            name: format!("edge-{session}"),
            zone: zone(1),
            resume_from: from,
            instances,
        };
        self.event(
            at,
            Event::ProxyMessage {
                session: SessionId(session),
                message: said,
            },
        );
    }

    pub fn pulse(&mut self, at: u8, session: u64) {
        self.questions += 1;
        let said = FromProxy::KeepAlive {
            applied: None,
            nonce: Nonce(self.questions),
        };
        self.event(
            at,
            Event::ProxyMessage {
                session: SessionId(session),
                message: said,
            },
        );
    }

    /// Runs while this session is kept alive.
    pub fn run_with(&mut self, at: u8, session: u64, ms: u64) {
        for _ in 0..ms / 500 {
            self.pulse(at, session);
            self.run(500);
        }
    }

    /// What was told in a session since the last time.
    pub fn told(&mut self, at: u8, session: u64) -> Vec<ToProxy> {
        self.nodes
            .get_mut(&at)
            .and_then(|node| node.told.remove(&session))
            .unwrap_or_default()
    }

    /// Whether the registry says to a session, when asked now, that it is settled.
    pub fn last_settled(&mut self, at: u8, session: u64) -> Option<bool> {
        self.pulse(at, session);
        self.told(at, session)
            .iter()
            .rev()
            .find_map(|told| match told {
                ToProxy::Confirmation { age, .. } => Some(age.is_some()),
                _ => None,
            })
    }
}

/// What a limiter holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Held {
    pub at: Option<Revision>,
    pub items: BTreeMap<ItemKey, Item>,
    pub instances: BTreeMap<String, Status>,
    pub snapshots: usize,
    pub complete: bool,
}

impl Held {
    pub fn hear(&mut self, told: &[ToProxy]) {
        for told in told {
            let (at, items, instances) = match told {
                ToProxy::Snapshot {
                    revision: at,
                    items,
                    instances,
                    complete,
                    ..
                } => {
                    self.snapshots += 1;
                    self.complete = *complete;
                    if *complete {
                        self.instances.clear();
                    }
                    (at, items, instances)
                }
                ToProxy::Changes {
                    revision: at,
                    items,
                    instances,
                } => (at, items, instances),
                ToProxy::SnapshotPart { .. } | ToProxy::Confirmation { .. } => continue,
            };
            self.at = Some(*at);
            for item in items {
                let known = self
                    .items
                    .entry(item.key.clone())
                    .or_insert_with(|| item.clone());
                assert!(known.version <= item.version, "goes back");
                *known = item.clone();
            }
            for instance in instances {
                match instance.status {
                    Status::Removed => _ = self.instances.remove(&instance.id),
                    status => _ = self.instances.insert(instance.id.clone(), status),
                }
            }
        }
    }

    /// What a limiter would hold that was told all.
    pub fn of(registry: &Registry) -> BTreeMap<String, Status> {
        let all = registry
            .instances()
            .iter()
            .map(|(id, row)| (id.clone(), row.status()));
        all.filter(|(_, status)| *status != Status::Removed)
            .collect()
    }
}
