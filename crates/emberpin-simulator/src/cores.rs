//! Core machines: a disk, and while they run a store and a registry.

use crate::net::{ip, number, Frame};
use crate::text::Machine;
use crate::world::{Due, Process, World};
use emberpin_config::{Item, ItemKey, Version};
use emberpin_consensus::{
    Action, Event, Message, PersistedState, Replica, ReplicaOptions, WriteBatch, WriteToken,
};
use emberpin_membership::clock::Timestamp;
use emberpin_membership::ids::{Incarnation, Nonce, SessionId};
use emberpin_membership::registry::{self, Registry, RegistryConfig};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How often servers beat.
pub(crate) const BEAT: u64 = 1_300;
/// How often a registry is told how its store stands.
const STATUS: u64 = 450;
/// Parts of a snapshot hold an item or two.
const PART: usize = 200;
/// Between two calls of one registry to another.
const PAUSE: u64 = 200;

/// What runs on a core machine.
pub(crate) struct Running {
    pub store: Replica,
    pub registry: Registry,
    /// The registries that this one wants to speak to, and over which connection it does.
    peers: BTreeMap<u8, Option<u64>>,
    /// The connections on which others speak to it.
    pub incoming: BTreeMap<u8, u64>,
    pub sessions: BTreeSet<u64>,
    store_wake: u64,
    registry_wake: u64,
    /// The versions of which the store told news.
    told: BTreeMap<ItemKey, Version>,
}

/// A core machine.
pub(crate) struct Core {
    pub process: Process,
    pub up: Option<Running>,
    disk: Vec<WriteBatch>,
    synced: usize,
    /// The disk answers nothing before.
    pub stalled_until: u64,
}

impl Core {
    pub fn new(process: Process) -> Core {
        Core {
            process,
            up: None,
            disk: Vec::new(),
            synced: 0,
            stalled_until: 0,
        }
    }

    /// Of what was not synced, some of the first writes stay, or none; the one behind them may be torn, and counts as
    /// none then.
    pub fn lose_power(&mut self, kept: Option<u64>) {
        let unsynced = (self.disk.len() - self.synced) as u64;
        let stay = kept.map_or(0, |kept| kept % (unsynced + 1)) as usize;
        self.disk.truncate(self.synced + stay);
        self.synced = self.disk.len();
    }

    pub fn wipe(&mut self) {
        self.disk.clear();
        self.synced = 0;
    }

    fn kept(&self) -> Option<PersistedState> {
        if self.disk.is_empty() {
            return None;
        }
        let mut kept = PersistedState::default();
        for write in &self.disk {
            kept.chosen.extend(write.chosen.iter().cloned());
            kept.chosen
                .retain(|item| !write.removed.contains(&item.key));
            kept.promised = write.promised;
            kept.voting = write.voting;
            kept.incarnation = write.incarnation;
            kept.latest_incarnations = write.latest_incarnations.clone();
            kept.bootstrap_candidate = write.bootstrap_candidate.clone();
            if let Some(accepted) = &write.accepted {
                kept.accepted = accepted.clone();
            }
        }
        Some(kept)
    }
}

impl World {
    pub fn start_core(&mut self, core: u8, bootstrap: bool) {
        let (now, build, tolerated) = (self.now, self.build, self.tolerance);
        let (seed, incarnation) = (self.rand.rand_u64(), self.rand.rand_u64());
        let seeds: Vec<_> = self.told_seeds().into_iter().map(ip).collect();
        let Some(machine) = self.cores.get_mut(&core) else {
            return;
        };
        if machine.up.is_some() || machine.process.removed {
            return;
        }
        machine.process.begins(now);
        let mut actions = Vec::new();
        let me = ip(core);
        let options = ReplicaOptions {
            address: me,
            seeds: seeds.clone(),
            bootstrap,
            tolerated_failures: tolerated,
            random_seed: seed,
        };
        let store = Replica::with_guards(
            emberpin_consensus::Timestamp::ZERO,
            options,
            machine.kept(),
            build.consensus,
            &mut actions,
        );
        let config = RegistryConfig {
            address: me,
            zone: machine.process.zone.clone(),
            incarnation: Incarnation(incarnation),
            heartbeat_interval: Duration::from_millis(BEAT),
            seeds,
            snapshot_part_bytes: PART,
        };
        let registry = Registry::with_guards(Timestamp::ZERO, config, build.watch);
        let items: Vec<Item> = store.state().follower_items().cloned().collect();
        machine.up = Some(Running {
            store,
            registry,
            peers: BTreeMap::new(),
            incoming: BTreeMap::new(),
            sessions: BTreeSet::new(),
            store_wake: 0,
            registry_wake: 0,
            told: BTreeMap::new(),
        });
        let incarnation = machine.process.incarnation;
        self.act(core, actions);
        self.at(
            now + 1,
            Due::News {
                core,
                incarnation,
                items,
            },
        );
        self.at(now + 1, Due::Stand { core, incarnation });
    }

    fn running(&mut self, core: u8, incarnation: u64) -> Option<&mut Running> {
        let machine = self
            .cores
            .get_mut(&core)
            .filter(|machine| machine.process.incarnation == incarnation)?;
        machine.up.as_mut()
    }

    // ---- the store

    pub fn hear_store(&mut self, from: u8, to: u8, message: Message) {
        if !self.net.is_cut(Machine::Core(from), Machine::Core(to)) {
            self.store(
                to,
                Event::Message {
                    from: ip(from),
                    message,
                },
            );
        }
    }

    pub fn synced(&mut self, core: u8, incarnation: u64, token: WriteToken, writes: usize) {
        let Some(machine) = self.cores.get_mut(&core) else {
            return;
        };
        if machine.process.incarnation == incarnation && machine.up.is_some() {
            machine.synced = machine.synced.max(writes);
            self.store(core, Event::Persisted { token });
        }
    }

    pub fn wake_store(&mut self, core: u8, incarnation: u64) {
        let now = self.now;
        let Some(running) = self
            .running(core, incarnation)
            .filter(|running| running.store_wake <= now)
        else {
            return;
        };
        running.store_wake = 0;
        self.store(core, Event::Tick);
    }

    pub fn store(&mut self, core: u8, event: Event) {
        let now = self.now;
        let Some(machine) = self.cores.get_mut(&core) else {
            return;
        };
        let local = machine.process.local(now);
        let Some(running) = machine.up.as_mut() else {
            return;
        };
        let mut actions = Vec::new();
        let local = emberpin_consensus::Timestamp::from_millis(local);
        running.store.handle(local, event, &mut actions);
        self.act(core, actions);
    }

    fn act(&mut self, core: u8, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Persist { token, write } => {
                    let takes = self.between(self.disk);
                    let Some(machine) = self.cores.get_mut(&core) else {
                        return;
                    };
                    let at = machine.stalled_until.max(self.now) + takes;
                    let sync = write.sync;
                    machine.disk.push(write);
                    let (incarnation, writes) = (machine.process.incarnation, machine.disk.len());
                    if sync {
                        self.at(
                            at,
                            Due::Synced {
                                core,
                                incarnation,
                                token,
                                writes,
                            },
                        );
                    }
                }
                Action::Send { to, message } => self.consensus(core, number(to), message),
                Action::Reply {
                    call_id,
                    status,
                    body,
                } => self.answered(call_id.0, status, body),
                Action::Learned { items } => {
                    self.tell(core, &items);
                    let (at, incarnation) = (self.now + 1, self.incarnation(Machine::Core(core)));
                    self.at(
                        at,
                        Due::News {
                            core,
                            incarnation,
                            items,
                        },
                    );
                }
            }
        }
        let now = self.now;
        let Some(machine) = self.cores.get_mut(&core) else {
            return;
        };
        let Some(running) = machine.up.as_mut() else {
            return;
        };
        let at = machine
            .process
            .when(now, running.store.next_tick_at().as_millis());
        if running.store_wake <= now || at < running.store_wake {
            running.store_wake = at;
            let incarnation = machine.process.incarnation;
            self.at(at, Due::Store { core, incarnation });
        }
    }

    /// What a store says is chosen has one content, and only rises.
    fn tell(&mut self, core: u8, items: &[Item]) {
        for item in items {
            if let Some(wrong) = self.ledger.chosen(item) {
                self.fail(wrong);
            }
            let Some(running) = self.cores.get_mut(&core).and_then(|core| core.up.as_mut()) else {
                return;
            };
            let told = running.told.insert(item.key.clone(), item.version);
            if told.is_some_and(|told| told >= item.version) {
                self.fail(format!(
                    "went back: core-{core} told {:?} {} again",
                    item.key, item.version
                ));
            }
        }
    }

    // ---- the registry

    pub fn news(&mut self, core: u8, incarnation: u64, items: Vec<Item>) {
        if self.running(core, incarnation).is_some() {
            self.registry(core, registry::Event::Items(items));
        }
    }

    pub fn stand(&mut self, core: u8, incarnation: u64) {
        let now = self.now;
        let Some(machine) = self
            .cores
            .get(&core)
            .filter(|machine| machine.process.incarnation == incarnation)
        else {
            return;
        };
        let local = machine.process.local(now);
        let Some(running) = &machine.up else { return };
        let voters = running.store.voters();
        let at = machine.process.when(now, local + STATUS);
        self.at(at, Due::Stand { core, incarnation });
        self.registry(core, registry::Event::VotersChanged(voters));
    }

    pub fn confirmed(&mut self, core: u8, incarnation: u64, question: u64, age: Option<u64>) {
        if self.running(core, incarnation).is_some() {
            self.registry(
                core,
                registry::Event::StoreConfirmed {
                    nonce: Nonce(question),
                    age: age.map(Duration::from_millis),
                },
            );
        }
    }

    pub fn wake_registry(&mut self, core: u8, incarnation: u64) {
        let now = self.now;
        let Some(running) = self
            .running(core, incarnation)
            .filter(|running| running.registry_wake <= now)
        else {
            return;
        };
        running.registry_wake = 0;
        self.registry(core, registry::Event::Tick);
    }

    pub fn registry(&mut self, core: u8, event: registry::Event) {
        let now = self.now;
        let Some(machine) = self.cores.get_mut(&core) else {
            return;
        };
        let (local, incarnation) = (machine.process.local(now), machine.process.incarnation);
        let Some(running) = machine.up.as_mut() else {
            return;
        };
        let mut actions = Vec::new();
        running
            .registry
            .handle(Timestamp::from_millis(local), event, &mut actions);
        for action in actions {
            self.act_registry(core, incarnation, action);
        }
        let Some(machine) = self.cores.get_mut(&core) else {
            return;
        };
        let Some(running) = machine.up.as_mut() else {
            return;
        };
        let at = machine
            .process
            .when(now, running.registry.next_deadline().as_millis());
        if running.registry_wake <= now || at < running.registry_wake {
            running.registry_wake = at;
            self.at(at, Due::Registry { core, incarnation });
        }
    }

    fn act_registry(&mut self, core: u8, incarnation: u64, action: registry::Action) {
        use registry::Action;
        let now = self.now;
        let Some(running) = self.cores.get_mut(&core).and_then(|core| core.up.as_mut()) else {
            return;
        };
        match action {
            Action::Reply { call, reply } => self.answer_server(call, reply),
            Action::ConnectPeer { peer } => {
                running.peers.insert(number(peer), None);
                self.at(
                    now,
                    Due::Dial {
                        core,
                        incarnation,
                        peer: number(peer),
                    },
                );
            }
            Action::DisconnectPeer { peer } => {
                running.incoming.remove(&number(peer));
                if let Some(Some(conn)) = running.peers.remove(&number(peer)) {
                    self.break_conn(conn, false);
                }
            }
            Action::SendToPeers { peers, message } => {
                let conns: Vec<u64> = peers
                    .iter()
                    .filter_map(|peer| running.peers.get(&number(*peer)).copied().flatten())
                    .collect();
                conns.into_iter().for_each(|conn| {
                    self.send(conn, true, Frame::RegistryMessage(message.clone()))
                });
            }
            Action::AcknowledgePeer { peer, ack } => {
                if let Some(conn) = running.incoming.get(&number(peer)).copied() {
                    self.send(conn, false, Frame::Ack(ack));
                }
            }
            Action::SendToProxies { sessions, message } => {
                sessions
                    .into_iter()
                    .for_each(|session| self.send(session.0, false, Frame::To(message.clone())));
            }
            Action::QueryStore { nonce } => {
                let Some(machine) = self.cores.get(&core) else {
                    return;
                };
                let Some(running) = &machine.up else { return };
                let local = emberpin_consensus::Timestamp::from_millis(machine.process.local(now));
                let age = running.store.confirmed_age(local);
                let age = age.map(|age| age.as_millis() as u64);
                // Behind the items that are on their way.
                self.at(
                    now + 1,
                    Due::Confirmed {
                        core,
                        incarnation,
                        question: nonce.0,
                        age,
                    },
                );
            }
            Action::CloseSession {
                session: SessionId(session),
            } => {
                running.sessions.remove(&session);
                self.break_conn(session, false);
            }
        }
    }

    pub fn dial(&mut self, core: u8, incarnation: u64, peer: u8) {
        let wanted = self
            .running(core, incarnation)
            .is_some_and(|running| running.peers.get(&peer) == Some(&None));
        if !wanted {
            return;
        }
        match self.connect(Machine::Core(core), Machine::Core(peer)) {
            None => {
                let at = self.now + PAUSE + self.below(PAUSE);
                self.at(
                    at,
                    Due::Dial {
                        core,
                        incarnation,
                        peer,
                    },
                );
            }
            Some(conn) => {
                if let Some(running) = self.running(core, incarnation) {
                    running.peers.insert(peer, Some(conn));
                }
                self.registry(core, registry::Event::PeerConnected { peer: ip(peer) });
            }
        }
    }

    pub fn peer_broken(&mut self, core: u8, peer: u8, conn: u64) {
        let incarnation = self.incarnation(Machine::Core(core));
        let Some(running) = self.running(core, incarnation) else {
            return;
        };
        if running.incoming.get(&peer) == Some(&conn) {
            running.incoming.remove(&peer);
        }
        if running.peers.get(&peer) == Some(&Some(conn)) {
            running.peers.insert(peer, None);
            self.registry(core, registry::Event::PeerDisconnected { peer: ip(peer) });
            let at = self.now + PAUSE / 2;
            self.at(
                at,
                Due::Dial {
                    core,
                    incarnation,
                    peer,
                },
            );
        }
    }
}
