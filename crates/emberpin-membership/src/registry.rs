//! One registry: the owner of all tables. Whatever comes is an [`Event`]; what is to be done is an
//! [`Action`].
//!
//! Each instance is owned by the registry that it beats at. The others hear of changes and, twice a second, a
//! digest of what it owns, not the beats: bytes between zones have a price.

use crate::change_log::{Change, ChangeLog};
use crate::choice;
use crate::guards::Guards;
use crate::instance::{Instance, Status};
use crate::instances::{Effect, Instances, Row};
use crate::peers::{Ack, InstanceRecord, Limiter, RegistryMessage};
use crate::session::{FromLimiter, Revision, ToLimiter};
use emberpin_config::{Item, Key, Kind};
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

/// What pulses and digests are sent in.
const PULSE_MS: u64 = 500;
/// Somebody was heard, if not longer ago.
const CONTACT_MS: u64 = 1_200;
/// A session that is silent for longer ends.
const SILENCE_MS: u64 = 2_000;
/// Changes that come together are told together.
const BATCH_MS: u64 = 5;
/// A drain waits so long for all registries that can be reached: each that has it tells its limiters.
const ALL_MS: u64 = 150;
/// And so long for a majority of them: the server calls the next one after a second of silence.
const MAJORITY_MS: u64 = 600;
/// A process that does not run for so long has missed what was said meanwhile.
const STILL_MS: u64 = 1_000;
/// What was said meanwhile waits in its sockets, and is no sign that anybody is there now.
const DEAF_MS: u64 = 300;
/// Limiters count for so long after their last session ended: they go on sending.
const COUNTED_MS: u64 = 30_000;
/// So many registries beside those of the voters are spoken to: newcomers. They are dropped after a silence.
const NEWCOMERS: usize = 16;
const NEWCOMER_MS: u64 = 60_000;
/// What a service's servers need to get warm, where its item does not say.
const WARMUP_MS: u64 = 3_000;

/// How a registry works.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Its machine.
    pub me: Ipv4Addr,
    /// Its zone.
    pub zone: String,
    /// Its instance, drawn at its start.
    pub incarnation: u64,
    /// How often servers beat.
    pub beat_ms: u64,
    /// Machines with registries, until the voters are known.
    pub seeds: Vec<Ipv4Addr>,
}

/// What comes.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A server's beat; [`Action::Answer`] is owed.
    Heartbeat {
        /// Names the answer.
        call: u64,
        /// What it says; `cold_ms` counts from now.
        instance: Instance,
    },
    /// A server ends; [`Action::Answer`] is owed.
    Leave {
        /// Names the answer.
        call: u64,
        /// Which.
        id: String,
    },
    /// Items from a store.
    Items(Vec<Item>),
    /// How a store stands.
    Status {
        /// It is settled.
        settled: bool,
        /// Its voters.
        voters: Vec<Ipv4Addr>,
    },
    /// This registry's connection to another one is open, or not any more.
    Reached {
        /// Which.
        peer: Ipv4Addr,
        /// It is open.
        open: bool,
    },
    /// Another registry says something.
    Peer {
        /// Which.
        peer: Ipv4Addr,
        /// What.
        said: RegistryMessage,
    },
    /// Another registry has taken what it was told.
    Acked {
        /// Which.
        peer: Ipv4Addr,
        /// What.
        ack: Ack,
    },
    /// A limiter says something in a session of this number.
    Limiter {
        /// Which session.
        session: u64,
        /// What.
        said: FromLimiter,
    },
    /// A session is over.
    Ended {
        /// Which.
        session: u64,
    },
    /// Nothing; see [`Registry::due`].
    Tick,
}

/// An answer to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Acknowledged.
    Taken {
        /// The registry at which it is to beat.
        beat_at: Ipv4Addr,
    },
    /// Not acknowledged: it is to try another registry.
    Elsewhere,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answer a server's call.
    Answer {
        /// Which.
        call: u64,
        /// What.
        answer: Answer,
    },
    /// Keep a connection to this registry open.
    Call {
        /// Which.
        peer: Ipv4Addr,
    },
    /// And now no longer.
    Drop {
        /// Which.
        peer: Ipv4Addr,
    },
    /// Say something to another registry.
    Say {
        /// Which ones.
        to: Vec<Ipv4Addr>,
        /// What.
        said: RegistryMessage,
    },
    /// Acknowledge what another registry told, on its connection.
    Ack {
        /// Which.
        to: Ipv4Addr,
        /// What.
        ack: Ack,
    },
    /// Tell limiters.
    Tell {
        /// Their sessions.
        to: Vec<u64>,
        /// What.
        told: ToLimiter,
    },
    /// End a session.
    Close {
        /// Which.
        session: u64,
    },
}

/// Another registry.
#[derive(Clone, Debug, Default)]
struct Peer {
    zone: String,
    settled: bool,
    /// It said something; none since it was called, or since this process stood still.
    heard: Option<u64>,
    /// Something came from it, ever; a newcomer that says nothing is dropped.
    since: u64,
    open: bool,
    wanted: u64,
    limiters: Vec<Limiter>,
}

impl Peer {
    fn in_contact(&self, now: u64) -> bool {
        self.heard.is_some_and(|heard| now.saturating_sub(heard) <= CONTACT_MS)
    }
}

/// A limiter's session.
#[derive(Clone, Debug)]
struct Session {
    limiter: Limiter,
    at: Revision,
    heard: u64,
}

/// A drain or an end on its way to a majority.
#[derive(Clone, Debug)]
struct Pending {
    call: u64,
    id: String,
    status: Status,
    ask: u64,
    since: u64,
    /// Could be reached, and have not taken it yet.
    waits_for: BTreeSet<Ipv4Addr>,
    taken: BTreeSet<Ipv4Addr>,
}

/// A limiter, for the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Behind {
    /// Who.
    pub limiter: Limiter,
    /// So many changes were not in force there when it last said so.
    pub behind: u64,
}

/// One registry.
#[derive(Clone, Debug)]
pub struct Registry {
    limits: Limits,
    instances: Instances,
    items: BTreeMap<Key, Item>,
    warmups: BTreeMap<String, u64>,
    /// Zones whose evacuation was over in the first items of this instance; until when that may be news.
    taken_back: BTreeMap<String, u64>,
    change_log: ChangeLog,
    voters: Vec<Ipv4Addr>,
    /// When a store said that it was settled.
    store_settled: Option<u64>,
    /// Without a break.
    settled_since: Option<u64>,
    peers: BTreeMap<Ipv4Addr, Peer>,
    sessions: BTreeMap<u64, Session>,
    sessions_changed: bool,
    /// By name, when limiters last had a session with any registry.
    limiters: BTreeMap<String, u64>,
    pending: Vec<Pending>,
    asks: u64,
    started: u64,
    last: u64,
    deaf_until: u64,
    pulse_at: u64,
    flush_at: Option<u64>,
    guards: Guards,
}

impl Registry {
    /// One that starts now.
    pub fn new(now: u64, limits: Limits) -> Registry {
        Registry {
            change_log: ChangeLog::new(limits.incarnation),
            instances: Instances::default(),
            items: BTreeMap::new(),
            warmups: BTreeMap::new(),
            taken_back: BTreeMap::new(),
            voters: Vec::new(),
            store_settled: None,
            settled_since: None,
            peers: BTreeMap::new(),
            sessions: BTreeMap::new(),
            sessions_changed: false,
            limiters: BTreeMap::new(),
            pending: Vec::new(),
            asks: 0,
            started: now,
            last: now,
            deaf_until: 0,
            pulse_at: now,
            flush_at: None,
            guards: Guards::default(),
            limits,
        }
    }

    /// For tests.
    #[doc(hidden)]
    pub fn with_guards(now: u64, limits: Limits, guards: Guards) -> Registry {
        let mut registry = Registry { guards, ..Registry::new(now, limits) };
        registry.instances.falls = !guards.rises;
        registry
    }

    /// When [`Event::Tick`] is wanted, if nothing else comes.
    pub fn due(&self) -> u64 {
        let pending = self.pending.iter().map(|pending| {
            let waited = self.last.saturating_sub(pending.since);
            pending.since + if waited < ALL_MS { ALL_MS } else { MAJORITY_MS }
        });
        pending.chain(self.flush_at).fold(self.pulse_at, u64::min)
    }

    /// Takes what has come.
    pub fn handle(&mut self, now: u64, event: Event, actions: &mut Vec<Action>) {
        self.wake(now);
        match event {
            Event::Heartbeat { call, instance } => self.heartbeat(now, call, instance, actions),
            Event::Leave { call, id } => self.leave(now, call, id, actions),
            Event::Items(items) => self.news(now, items, actions),
            Event::Status { settled, voters } => self.status(now, settled, voters, actions),
            Event::Reached { peer, open } => self.reached(now, peer, open, actions),
            Event::Peer { peer, said } => self.peer(now, peer, said, actions),
            Event::Acked { peer, ack } => {
                for pending in self.pending.iter_mut().filter(|pending| pending.ask == ack.ask) {
                    pending.waits_for.remove(&peer);
                    pending.taken.insert(peer);
                }
            }
            Event::Limiter { session, said } => self.limiter(now, session, said, actions),
            Event::Ended { session } => self.ended(session),
            Event::Tick => {}
        }
        if !self.pending.is_empty() {
            self.settle_pending(now, actions);
        }
        if now >= self.pulse_at {
            self.pulse_at = now + PULSE_MS;
            self.beat(now, actions);
        }
        self.flush(now, actions);
    }

    /// A process that stood still knows nothing of the time between, though what was said then may wait for
    /// it.
    fn wake(&mut self, now: u64) {
        if now.saturating_sub(self.last) >= STILL_MS {
            self.store_settled = None;
            self.peers.values_mut().for_each(|peer| peer.heard = None);
            self.sessions.values_mut().for_each(|session| session.heard = now);
            self.settled_since = None;
            self.deaf_until = now + DEAF_MS;
        }
        self.last = now;
    }

    fn expiry_ms(&self) -> u64 {
        (4 * self.limits.beat_ms).max(4_000)
    }

    /// The machines whose registries count.
    fn registries(&self) -> BTreeSet<Ipv4Addr> {
        match self.voters.is_empty() {
            true => self.limits.seeds.iter().copied().chain([self.limits.me]).collect(),
            false => self.voters.iter().copied().collect(),
        }
    }

    /// Whether those of which this holds, this one among them, are a majority.
    fn majority(&self, has: impl Fn(&Ipv4Addr) -> bool) -> bool {
        let registries = self.registries();
        let have = registries.iter().filter(|peer| **peer == self.limits.me || has(peer)).count();
        have > registries.len() / 2
    }

    /// A majority of the registries is heard.
    pub fn is_connected(&self, now: u64) -> bool {
        self.majority(|peer| self.peers.get(peer).is_some_and(|peer| peer.in_contact(now)))
    }

    /// What this registry tells is no older than a second or so: its store, and a majority of the registries,
    /// are heard.
    pub fn is_settled(&self, now: u64) -> bool {
        let store = self.store_settled.is_some_and(|at| now.saturating_sub(at) <= CONTACT_MS);
        store && self.is_connected(now)
    }

    /// It has been there and settled for long enough to have heard of every server.
    fn is_complete(&self, now: u64) -> bool {
        let long = 5 * self.limits.beat_ms / 2;
        self.is_settled(now) && self.settled_since.is_some_and(|since| now.saturating_sub(since) >= long)
    }

    // Servers.

    fn beat_at(&self, now: u64, id: &str, zone: &str) -> Ipv4Addr {
        let me = (self.limits.me, self.limits.zone.as_str(), self.is_settled(now));
        let peers = self.peers.iter().filter(|(_, peer)| peer.open && peer.in_contact(now));
        let peers = peers.map(|(ip, peer)| (*ip, peer.zone.as_str(), peer.settled));
        let settled: Vec<(Ipv4Addr, &str)> =
            peers.chain([me]).filter(|(_, _, settled)| *settled).map(|(ip, zone, _)| (ip, zone)).collect();
        let near = settled.iter().filter(|(_, its)| *its == zone).map(|(ip, _)| *ip);
        choice::rendezvous(id, near)
            .or_else(|| choice::rendezvous(id, settled.iter().map(|(ip, _)| *ip)))
            .unwrap_or(self.limits.me)
    }

    fn heartbeat(&mut self, now: u64, call: u64, instance: Instance, actions: &mut Vec<Action>) {
        let (id, zone, said) = (instance.id.clone(), instance.zone.clone(), instance.status);
        let told = InstanceRecord { instance, expired: false, owner: Some(self.limits.me) };
        let effect = self.instances.merge(now, told);
        let mut changed = self.take(now, &id, effect, true);
        let row = self.instances.get(&id);
        let kept = said == Status::Up || row.is_some_and(|row| row.kept || row.said() == Status::Gone);
        if kept && (effect.changed || effect.moved) {
            changed.push(id.clone());
        }
        self.say_changed(now, &changed, actions);
        if !kept {
            self.ask(now, call, id, said, actions);
            return;
        }
        // Where the others are not heard, they do not hear of this server either: it is to try them itself.
        // What it says is known to the limiters that are on this side.
        let young = now.saturating_sub(self.started) < self.expiry_ms();
        let answer = match said == Status::Up && !young && !self.is_connected(now) {
            true => Answer::Elsewhere,
            false => Answer::Taken { beat_at: self.beat_at(now, &id, &zone) },
        };
        actions.push(Action::Answer { call, answer });
    }

    fn leave(&mut self, now: u64, call: u64, id: String, actions: &mut Vec<Action>) {
        let effect = self.instances.leave(now, &id);
        self.take(now, &id, effect, false);
        match self.instances.get(&id).is_some_and(|row| row.kept) {
            true => {
                let beat_at = self.limits.me;
                actions.push(Action::Answer { call, answer: Answer::Taken { beat_at } });
            }
            false => self.ask(now, call, id, Status::Gone, actions),
        }
    }

    /// Tells the limiters what a merge has changed, and finds out who had the address of a new instance before;
    /// those are given back.
    fn take(&mut self, now: u64, id: &str, effect: Effect, displaces: bool) -> Vec<String> {
        if effect.changed {
            self.note(now, Change::Instance(id.to_string()));
        }
        let up = self.instances.get(id).is_some_and(|row| row.status() == Status::Up);
        if !(effect.new && displaces && up && self.guards.displace) {
            return Vec::new();
        }
        let displaced = self.instances.displace(now, id);
        for id in &displaced {
            self.note(now, Change::Instance(id.clone()));
        }
        displaced
    }

    fn say_changed(&self, now: u64, ids: &[String], actions: &mut Vec<Action>) {
        self.say_changed_to(now, self.open(), ids, actions);
    }

    fn say_changed_to(&self, now: u64, to: Vec<Ipv4Addr>, ids: &[String], actions: &mut Vec<Action>) {
        if !ids.is_empty() && !to.is_empty() {
            let instances =
                ids.iter().filter_map(|id| self.instances.get(id)).map(|row| row.told(now)).collect();
            actions.push(Action::Say { to, said: RegistryMessage::Changed { ask: None, instances } });
        }
    }

    fn open(&self) -> Vec<Ipv4Addr> {
        self.peers.iter().filter(|(_, peer)| peer.open).map(|(ip, _)| *ip).collect()
    }

    /// What a server says of its end is acknowledged once a majority has it: whoever dies then, it is known.
    fn ask(&mut self, now: u64, call: u64, id: String, status: Status, actions: &mut Vec<Action>) {
        let Some(row) = self.instances.get(&id) else { return };
        self.asks += 1;
        let (ask, to) = (self.asks, self.open());
        let instances = vec![row.told(now)];
        let waits_for = to.iter().copied().collect();
        if !to.is_empty() {
            actions.push(Action::Say { to, said: RegistryMessage::Changed { ask: Some(ask), instances } });
        }
        let taken = BTreeSet::new();
        self.pending.push(Pending { call, id, status, ask, since: now, waits_for, taken });
    }

    fn settle_pending(&mut self, now: u64, actions: &mut Vec<Action>) {
        for pending in std::mem::take(&mut self.pending) {
            let waited = now.saturating_sub(pending.since);
            let enough = self.majority(|peer| pending.taken.contains(peer));
            let enough = enough || !self.guards.majority;
            if enough && (pending.waits_for.is_empty() || waited >= ALL_MS || !self.guards.majority) {
                self.instances.keep(&pending.id, pending.status);
                let zone = self.instances.instance(now, &pending.id).zone;
                let beat_at = self.beat_at(now, &pending.id, &zone);
                actions.push(Action::Answer { call: pending.call, answer: Answer::Taken { beat_at } });
            } else if waited >= MAJORITY_MS {
                actions.push(Action::Answer { call: pending.call, answer: Answer::Elsewhere });
            } else {
                self.pending.push(pending);
            }
        }
    }

    /// Finds instances that were not heard for too long; only while what is heard can be trusted to be all.
    fn expire(&mut self, now: u64, actions: &mut Vec<Action>) {
        let expiry = self.expiry_ms();
        let trusted = self.settled_since.is_some_and(|since| now.saturating_sub(since) >= expiry);
        if !trusted && self.guards.silence {
            return;
        }
        let silent: Vec<String> = self
            .instances
            .iter()
            .filter(|(_, row)| row.status() != Status::Gone)
            .filter(|(_, row)| now.saturating_sub(self.heard_life(row)) >= expiry)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &silent {
            self.instances.expire(now, id);
            self.note(now, Change::Instance(id.clone()));
        }
        self.say_changed(now, &silent, actions);
    }

    // The store.

    fn news(&mut self, now: u64, items: Vec<Item>, actions: &mut Vec<Action>) {
        let first = self.items.is_empty();
        for item in items {
            match self.items.entry(item.key.clone()) {
                Entry::Occupied(mut known) if known.get().ver < item.ver => _ = known.insert(item.clone()),
                Entry::Occupied(_) => continue,
                Entry::Vacant(place) => _ = place.insert(item.clone()),
            }
            match (item.key.kind, &item.body) {
                (Kind::Service, Some(body)) => {
                    let warmup = warmup_ms(body).unwrap_or(WARMUP_MS);
                    self.warmups.insert(item.key.name.clone(), warmup);
                }
                (Kind::Evacuation, None) => self.taken_back(now, &item.key.name, first, actions),
                _ => {}
            }
            self.note(now, Change::Item(item.key));
        }
    }

    /// An evacuation is over; the zone's servers may have become cold while nobody asked them.
    ///
    /// What the first items of this instance tell may be long over. Then the other registries know how cold their
    /// servers are; but what limiters tell where all registries have begun anew may be from before.
    fn taken_back(&mut self, now: u64, zone: &str, first: bool, actions: &mut Vec<Action>) {
        if !self.guards.returned {
            return;
        }
        if first {
            self.taken_back.insert(zone.to_string(), now + self.limits.beat_ms);
        }
        let presumed = self.presume_cold(now, zone, |_, row| !first || row.owner.is_none());
        let owned = |id: &String| self.instances.get(id).is_some_and(|row| row.owner == Some(self.limits.me));
        let owned: Vec<String> = presumed.into_iter().filter(owned).collect();
        // To registries that have just started, which cannot know it from the items.
        self.say_changed(now, &owned, actions);
    }

    fn presume_cold(&mut self, now: u64, zone: &str, which: impl Fn(&str, &Row) -> bool) -> Vec<String> {
        let warmups = &self.warmups;
        let warmup = |service: &str| warmups.get(service).copied().unwrap_or(WARMUP_MS);
        let presumed = self.instances.presume_cold(now, zone, now + self.limits.beat_ms, which, warmup);
        for id in &presumed {
            self.note(now, Change::Instance(id.clone()));
        }
        presumed
    }

    fn status(&mut self, now: u64, settled: bool, voters: Vec<Ipv4Addr>, actions: &mut Vec<Action>) {
        if now < self.deaf_until {
            return;
        }
        self.store_settled = settled.then_some(now);
        if !voters.is_empty() && voters != self.voters {
            self.voters = voters;
            self.meet(now, actions);
        }
    }

    // Other registries.

    /// Speaks to those that count, and not to those that do not.
    fn meet(&mut self, now: u64, actions: &mut Vec<Action>) {
        let registries = self.registries();
        for peer in registries.iter().filter(|peer| **peer != self.limits.me) {
            if let Entry::Vacant(place) = self.peers.entry(*peer) {
                place.insert(Peer { since: now, ..Peer::default() });
                actions.push(Action::Call { peer: *peer });
            }
        }
        self.peers.retain(|ip, peer| {
            let heard = peer.heard.unwrap_or(0).max(peer.since);
            let stays = registries.contains(ip) || now.saturating_sub(heard) < NEWCOMER_MS;
            if !stays {
                actions.push(Action::Drop { peer: *ip });
            }
            stays
        });
    }

    fn reached(&mut self, now: u64, ip: Ipv4Addr, open: bool, actions: &mut Vec<Action>) {
        let Some(peer) = self.peers.get_mut(&ip) else { return };
        peer.open = open;
        if !open {
            self.pending.iter_mut().for_each(|pending| _ = pending.waits_for.remove(&ip));
            return;
        }
        let hello = RegistryMessage::Hello {
            zone: self.limits.zone.clone(),
            settled: self.is_settled(now),
            instances: self.instances.table(now),
            limiters: self.own_limiters(),
        };
        actions.push(Action::Say { to: vec![ip], said: hello });
        for pending in &mut self.pending {
            if let Some(row) = self.instances.get(&pending.id) {
                let said =
                    RegistryMessage::Changed { ask: Some(pending.ask), instances: vec![row.told(now)] };
                actions.push(Action::Say { to: vec![ip], said });
                pending.waits_for.insert(ip);
            }
        }
    }

    fn peer(&mut self, now: u64, ip: Ipv4Addr, said: RegistryMessage, actions: &mut Vec<Action>) {
        if ip == self.limits.me {
            return;
        }
        if !self.peers.contains_key(&ip) {
            if self.peers.len() >= self.registries().len() + NEWCOMERS {
                return;
            }
            self.peers.insert(ip, Peer { since: now, ..Peer::default() });
            actions.push(Action::Call { peer: ip });
        }
        let deaf = now < self.deaf_until;
        let Some(peer) = self.peers.get_mut(&ip) else { return };
        if !deaf {
            peer.heard = Some(now);
        }
        match said {
            RegistryMessage::Hello { zone, settled, instances, limiters } => {
                (peer.zone, peer.settled, peer.limiters) = (zone, settled, limiters);
                self.merge(now, ip, instances, false, actions);
            }
            RegistryMessage::Changed { ask, instances } => {
                self.merge(now, ip, instances, true, actions);
                if let Some(ask) = ask {
                    actions.push(Action::Ack { to: ip, ack: Ack { ask } });
                }
            }
            RegistryMessage::Pulse { settled, digest } => {
                peer.settled = settled;
                // Asked once in a while: what the sender says meanwhile is on its way.
                if self.instances.digest(ip) != digest && now.saturating_sub(peer.wanted) >= PULSE_MS {
                    peer.wanted = now;
                    actions.push(Action::Say { to: vec![ip], said: RegistryMessage::Want });
                }
            }
            RegistryMessage::Want => {
                let instances = self.instances.owned(self.limits.me).map(|(_, row)| row.told(now)).collect();
                actions.push(Action::Say { to: vec![ip], said: RegistryMessage::Owned { instances } });
            }
            RegistryMessage::Owned { instances } => {
                let named: BTreeSet<&str> = instances.iter().map(|told| told.instance.id.as_str()).collect();
                let owned = self.instances.owned(ip).map(|(id, _)| id.clone());
                let others: Vec<String> = owned.filter(|id| !named.contains(id.as_str())).collect();
                for id in others {
                    self.instances.disown(now, &id);
                }
                self.merge(now, ip, instances, false, actions);
            }
            RegistryMessage::Sessions { limiters } => peer.limiters = limiters,
        }
    }

    /// Takes instances that another registry tells.
    fn merge(
        &mut self,
        now: u64,
        from: Ipv4Addr,
        instances: Vec<InstanceRecord>,
        displaces: bool,
        actions: &mut Vec<Action>,
    ) {
        let mut ends = Vec::new();
        for mut told in instances {
            let id = told.instance.id.clone();
            // Whoever does not hear an instance's owner has not heard the instance; it is the owner's word that counts
            // here.
            let owner = self.instances.get(&id).and_then(|row| row.owner).filter(|owner| *owner != from);
            let hears = |owner| {
                owner == self.limits.me || self.peers.get(&owner).is_some_and(|peer| peer.in_contact(now))
            };
            told.expired &= !owner.is_some_and(hears);
            let effect = self.instances.merge(now, told);
            self.take(now, &id, effect, displaces);
            // Whole tables name many ends that everybody knows.
            if effect.ends && (displaces || !effect.new) {
                ends.push(id);
            }
        }
        // Whoever told them may be dead before all have heard: whoever has them passes them on, once.
        let to: Vec<Ipv4Addr> = self.open().into_iter().filter(|ip| *ip != from).collect();
        self.say_changed_to(now, to, &ends, actions);
    }

    /// Twice a second: says that this registry is there, and looks after the tables.
    fn beat(&mut self, now: u64, actions: &mut Vec<Action>) {
        self.meet(now, actions);
        let settled = self.is_settled(now);
        self.settled_since = settled.then(|| self.settled_since.unwrap_or(now));
        self.expire(now, actions);
        self.instances.forget(now);
        let to = self.open();
        if !to.is_empty() {
            let digest = self.instances.digest(self.limits.me);
            actions.push(Action::Say { to: to.clone(), said: RegistryMessage::Pulse { settled, digest } });
            if std::mem::take(&mut self.sessions_changed) {
                let limiters = self.own_limiters();
                actions.push(Action::Say { to, said: RegistryMessage::Sessions { limiters } });
            }
        }
        let silent: Vec<u64> = self
            .sessions
            .iter()
            .filter(|(_, session)| now.saturating_sub(session.heard) >= SILENCE_MS)
            .map(|(number, _)| *number)
            .collect();
        for session in silent {
            self.ended(session);
            actions.push(Action::Close { session });
        }
        let limiters = self.count_limiters(now);
        if !self.sessions.is_empty() {
            let peers = self.peers.iter().filter(|(_, peer)| peer.in_contact(now)).map(|(ip, _)| *ip);
            let registries = peers.chain([self.limits.me]).collect();
            let told = ToLimiter::Pulse { settled, limiters, registries };
            actions.push(Action::Tell { to: self.sessions.keys().copied().collect(), told });
        }
    }

    // Limiters.

    fn own_limiters(&self) -> Vec<Limiter> {
        self.sessions.values().map(|session| session.limiter.clone()).collect()
    }

    /// Too many do no harm; with too few, what is shared among all would be spent twice.
    fn count_limiters(&mut self, now: u64) -> u32 {
        let peers = self.peers.values().filter(|peer| peer.in_contact(now));
        let theirs = peers.flat_map(|peer| &peer.limiters).map(|limiter| &limiter.name);
        let own = self.sessions.values().map(|session| &session.limiter.name);
        for name in theirs.chain(own) {
            match self.limiters.get_mut(name) {
                Some(at) => *at = now,
                None => _ = self.limiters.insert(name.clone(), now),
            }
        }
        self.limiters.retain(|_, at| now.saturating_sub(*at) < COUNTED_MS);
        u32::try_from(self.limiters.len()).unwrap_or(u32::MAX)
    }

    fn limiter(&mut self, now: u64, session: u64, said: FromLimiter, actions: &mut Vec<Action>) {
        match said {
            FromLimiter::Hello { incarnation, name, zone, from, instances } => {
                let instances = if self.guards.repair { instances } else { Vec::new() };
                let corrects = self.repair(now, instances, actions);
                self.say_at_place(now, session, from, corrects, actions);
                let at = self.change_log.at();
                let limiter = Limiter { incarnation, name, zone };
                self.sessions.insert(session, Session { limiter, at, heard: now });
                self.sessions_changed = true;
            }
            FromLimiter::Pulse { at } => match self.sessions.get_mut(&session) {
                Some(session) => (session.heard, session.at) = (now, at),
                None => actions.push(Action::Close { session }),
            },
        }
    }

    /// A limiter keeps what it was told when registries lose it. What it has wrong is given back.
    fn repair(&mut self, now: u64, instances: Vec<Instance>, actions: &mut Vec<Action>) -> Vec<String> {
        let (mut learned, mut wrong) = (Vec::new(), Vec::new());
        for instance in instances {
            let id = instance.id.clone();
            match self.instances.get(&id) {
                None => {
                    // That it was gone may have been mere silence.
                    let expired = instance.status == Status::Gone;
                    let status = if expired { Status::Up } else { instance.status };
                    let instance = Instance { status, ..instance };
                    let effect = self.instances.merge(now, InstanceRecord { instance, expired, owner: None });
                    self.take(now, &id, effect, false);
                    learned.push(id);
                }
                Some(row) if instance.status == Status::Drain && row.said() == Status::Up => {
                    let seq = instance.seq.min(row.told(now).instance.seq);
                    let told = InstanceRecord {
                        instance: Instance { seq, ..instance },
                        expired: false,
                        owner: None,
                    };
                    let effect = self.instances.merge(now, told);
                    self.take(now, &id, effect, false);
                    learned.push(id);
                }
                Some(row) if row.status() != instance.status => wrong.push(id),
                Some(_) => {}
            }
        }
        self.taken_back.retain(|_, until| now < *until);
        for zone in self.taken_back.keys().cloned().collect::<Vec<_>>() {
            self.presume_cold(now, &zone, |id, row| {
                row.owner.is_none() && learned.iter().any(|one| one == id)
            });
        }
        self.say_changed(now, &learned, actions);
        wrong
    }

    /// Brings a limiter from the place where it was to the one where the feed is.
    fn say_at_place(
        &mut self,
        now: u64,
        session: u64,
        from: Option<Revision>,
        corrects: Vec<String>,
        actions: &mut Vec<Action>,
    ) {
        let corrects = corrects.into_iter().map(Change::Instance);
        let gap = (!self.guards.place).then(BTreeSet::new);
        let told = match from.and_then(|from| self.change_log.since(from).or(gap)) {
            Some(mut changes) => {
                changes.extend(corrects);
                self.changes(now, changes)
            }
            None => {
                let stands = self.instances.iter().filter(|(_, row)| row.status() != Status::Gone);
                let mut instances: Vec<Instance> = stands.map(|(_, row)| row.instance(now)).collect();
                // Those that are gone are named to whoever believes otherwise.
                let gone = corrects.filter_map(|change| match change {
                    Change::Instance(id) => Some(self.instances.instance(now, &id)),
                    Change::Item(_) => None,
                });
                instances.extend(gone.filter(|instance| instance.status == Status::Gone));
                ToLimiter::Snapshot {
                    at: self.change_log.at(),
                    items: self.items.values().cloned().collect(),
                    instances,
                    complete: self.is_complete(now),
                }
            }
        };
        actions.push(Action::Tell { to: vec![session], told });
    }

    fn changes(&self, now: u64, changes: BTreeSet<Change>) -> ToLimiter {
        let (mut items, mut instances) = (Vec::new(), Vec::new());
        for change in changes {
            match change {
                Change::Item(key) => items.extend(self.items.get(&key).cloned()),
                Change::Instance(id) => instances.push(self.instances.instance(now, &id)),
            }
        }
        ToLimiter::Changes { at: self.change_log.at(), items, instances }
    }

    fn ended(&mut self, session: u64) {
        self.sessions_changed |= self.sessions.remove(&session).is_some();
    }

    fn note(&mut self, now: u64, change: Change) {
        self.change_log.note(change);
        self.flush_at.get_or_insert(now + BATCH_MS);
    }

    fn flush(&mut self, now: u64, actions: &mut Vec<Action>) {
        if self.flush_at.is_none_or(|at| now < at) {
            return;
        }
        self.flush_at = None;
        let fresh = self.change_log.take();
        if !self.sessions.is_empty() {
            let told = self.changes(now, fresh);
            actions.push(Action::Tell { to: self.sessions.keys().copied().collect(), told });
        }
    }

    // For the operator.

    /// The instances that are known.
    pub fn instances(&self) -> &Instances {
        &self.instances
    }

    /// How many items are known, drops among them.
    pub fn items(&self) -> usize {
        self.items.len()
    }

    /// When an instance was heard last: here, or by a registry that is heard itself.
    pub fn heard_life(&self, row: &Row) -> u64 {
        let owner = row.owner.and_then(|owner| self.peers.get(&owner)).and_then(|peer| peer.heard);
        row.heard.max(owner.unwrap_or(0))
    }

    /// The machines whose stores vote, as far as a store has said.
    pub fn voters(&self) -> &[Ipv4Addr] {
        &self.voters
    }

    /// The registries that are heard, this one among them.
    pub fn heard(&self, now: u64) -> Vec<Ipv4Addr> {
        let peers = self.peers.iter().filter(|(_, peer)| peer.in_contact(now)).map(|(ip, _)| *ip);
        peers.chain([self.limits.me]).collect()
    }

    /// The limiters that have a session here.
    pub fn behind(&self) -> impl Iterator<Item = Behind> + '_ {
        let now = self.change_log.at();
        self.sessions.values().map(move |session| Behind {
            limiter: session.limiter.clone(),
            behind: now.number.saturating_sub(session.at.number),
        })
    }
}

/// The `warmup` of a service's item.
fn warmup_ms(body: &str) -> Option<u64> {
    let item = jzon::parse(body).ok()?;
    let text = item["warmup"].as_str()?;
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 1.0),
        None => (text.strip_suffix('s')?, 1_000.0),
    };
    let time = number.trim().parse::<f64>().ok()? * unit;
    (time.is_finite() && time >= 0.0).then_some(time as u64)
}
