//! One registry: the owner of all tables. Whatever comes is an [`Event`]; what is to be done is an
//! [`Action`].
//!
//! Each instance is owned by the registry that it beats at. The others hear of changes and, twice a second, a
//! digest of what it owns, not the beats: bytes between zones have a price.

mod configuration;
mod events;
mod peers;
mod servers;
mod sessions;
mod snapshot;

pub use events::{Action, Answer, Event, Limits};
pub use snapshot::PART_BYTES;

use crate::change_log::ChangeLog;
use crate::guards::Guards;
use crate::instance::Status;
use crate::instances::{Instances, Row};
use crate::lease::Lease;
use crate::peers::Limiter;
use crate::session::Revision;
use crate::timing::{BATCH, PEER_QUESTION, REGISTRY_LEASE};
use emberpin_config::{Item, ItemKey};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

/// What pulses and digests are sent in.
const PULSE_MS: u64 = PEER_QUESTION;
/// A session that is silent for longer ends.
const SILENCE_MS: u64 = 2_000;
/// A drain waits so long for all registries that can be reached: each that has it tells its limiters.
const ALL_MS: u64 = 150;
/// And so long for a majority of them: the server calls the next one after a second of silence.
const MAJORITY_MS: u64 = 600;
/// A process that does not run for so long has missed what was said meanwhile; leases run out by themselves.
const STILL_MS: u64 = 1_000;
/// Limiters count for so long after their last session ended: they go on sending.
const COUNTED_MS: u64 = 30_000;
/// So many registries beside those of the voters are spoken to: newcomers. They are dropped after a silence.
const NEWCOMERS: usize = 16;
const NEWCOMER_MS: u64 = 60_000;
/// What a service's servers need to get warm, where its item does not say.
const WARMUP_MS: u64 = 3_000;

/// Another registry.
#[derive(Clone, Debug, Default)]
struct Peer {
    zone: String,
    settled: bool,
    /// That it is there, and has told all that it had to tell.
    lease: Lease,
    /// Something came from it, ever; a newcomer that says nothing is dropped.
    since: u64,
    open: bool,
    wanted: u64,
    limiters: Vec<Limiter>,
}

impl Peer {
    fn in_contact(&self, now: u64) -> bool {
        self.lease.holds(now, REGISTRY_LEASE)
    }
}

/// A limiter's session.
#[derive(Clone, Debug)]
struct Session {
    limiter: Limiter,
    at: Option<Revision>,
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

/// Who is to take a call of the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taker {
    /// The store that is followed here.
    Here,
    /// This registry, which was settled when it was heard last.
    Other(Ipv4Addr),
    /// None that is known.
    Nobody,
}

/// One registry.
#[derive(Clone, Debug)]
pub struct Registry {
    limits: Limits,
    instances: Instances,
    items: BTreeMap<ItemKey, Item>,
    warmups: BTreeMap<String, u64>,
    /// Zones whose evacuation was over in the first items of this instance; until when that may be news.
    taken_back: BTreeMap<String, u64>,
    change_log: ChangeLog,
    voters: Vec<Ipv4Addr>,
    /// That a store compared itself with a majority, and told all that it knew then.
    store: Lease,
    ask_store_at: u64,
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
            store: Lease::default(),
            ask_store_at: now,
            settled_since: None,
            peers: BTreeMap::new(),
            sessions: BTreeMap::new(),
            sessions_changed: false,
            limiters: BTreeMap::new(),
            pending: Vec::new(),
            asks: 0,
            started: now,
            last: now,
            pulse_at: now,
            flush_at: None,
            guards: Guards::default(),
            limits,
        }
    }

    /// For tests.
    #[doc(hidden)]
    pub fn with_guards(now: u64, limits: Limits, guards: Guards) -> Registry {
        let mut registry = Registry {
            guards,
            ..Registry::new(now, limits)
        };
        registry.instances.falls = !guards.rises;
        registry
    }

    /// When [`Event::Tick`] is wanted, if nothing else comes.
    pub fn due(&self) -> u64 {
        let pending = self.pending.iter().map(|pending| {
            let waited = self.last.saturating_sub(pending.since);
            pending.since + if waited < ALL_MS { ALL_MS } else { MAJORITY_MS }
        });
        pending
            .chain(self.flush_at)
            .fold(self.pulse_at.min(self.ask_store_at), u64::min)
    }

    /// Takes what has come.
    pub fn handle(&mut self, now: u64, event: Event, actions: &mut Vec<Action>) {
        self.wake(now);
        match event {
            Event::Heartbeat { call, instance } => self.heartbeat(now, call, instance, actions),
            Event::Leave { call, id } => self.leave(now, call, id, actions),
            Event::Items(items) => self.news(now, items, actions),
            Event::Voters(voters) => self.voters_told(now, voters, actions),
            Event::StoreConfirmed { question, age } => self.store_confirmed(now, question, age),
            Event::Reached { peer, open } => self.reached(now, peer, open, actions),
            Event::Peer { peer, said } => self.peer(now, peer, said, actions),
            Event::Acked { peer, ack } => {
                for pending in self
                    .pending
                    .iter_mut()
                    .filter(|pending| pending.ask == ack.ask)
                {
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
        self.ask_store(now, actions);
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
            self.sessions
                .values_mut()
                .for_each(|session| session.heard = now);
            self.settled_since = None;
        }
        self.last = now;
    }

    fn expiry_ms(&self) -> u64 {
        (4 * self.limits.beat_ms).max(4_000)
    }

    /// The machines whose registries count.
    fn registries(&self) -> BTreeSet<Ipv4Addr> {
        match self.voters.is_empty() {
            true => self
                .limits
                .seeds
                .iter()
                .copied()
                .chain([self.limits.me])
                .collect(),
            false => self.voters.iter().copied().collect(),
        }
    }

    /// Whether those of which this holds, this one among them, are a majority.
    fn majority(&self, has: impl Fn(&Ipv4Addr) -> bool) -> bool {
        let registries = self.registries();
        let have = registries
            .iter()
            .filter(|peer| **peer == self.limits.me || has(peer))
            .count();
        have > registries.len() / 2
    }

    /// A majority of the registries is heard.
    pub fn is_connected(&self, now: u64) -> bool {
        self.contact_age(now)
            .is_some_and(|age| age <= REGISTRY_LEASE)
    }

    /// So long ago a majority of the registries had told all that they had to tell.
    fn contact_age(&self, now: u64) -> Option<u64> {
        let registries = self.registries();
        let age = |peer: &Ipv4Addr| match *peer == self.limits.me {
            true => Some(0),
            false => self.peers.get(peer).and_then(|peer| peer.lease.age(now)),
        };
        let mut ages: Vec<u64> = registries.iter().filter_map(age).collect();
        ages.sort_unstable();
        ages.get(registries.len() / 2).copied()
    }

    /// What this registry tells is no older than this: all that a majority of stores and of registries had by then has
    /// been told. `None`: it can confirm nothing, or nothing young enough.
    pub fn confirmed_age(&self, now: u64) -> Option<u64> {
        // Changes that wait to be told together were noted since then.
        let untold = self
            .flush_at
            .map_or(0, |at| now.saturating_sub(at.saturating_sub(BATCH)));
        let age = self.store.age(now)?.max(self.contact_age(now)?).max(untold);
        (age <= REGISTRY_LEASE).then_some(age)
    }

    /// It hears a majority: what it tells is confirmed.
    pub fn is_settled(&self, now: u64) -> bool {
        self.confirmed_age(now).is_some()
    }

    /// It has been there and settled for long enough to have heard of every server.
    fn is_complete(&self, now: u64) -> bool {
        let long = 5 * self.limits.beat_ms / 2;
        self.is_settled(now)
            && self
                .settled_since
                .is_some_and(|since| now.saturating_sub(since) >= long)
    }

    /// Who is to take a call of the operator: one that this registry's store cannot confirm would be held up for
    /// nothing.
    pub fn taker(&self, now: u64) -> Taker {
        if self.store.holds(now, REGISTRY_LEASE) || !self.guards.sends_on {
            return Taker::Here;
        }
        let registries = self.registries();
        let settled = self
            .peers
            .iter()
            .filter(|(ip, peer)| peer.settled && registries.contains(ip));
        let newest = settled.max_by_key(|(_, peer)| peer.lease.confirmed_from());
        newest.map_or(Taker::Nobody, |(ip, _)| Taker::Other(*ip))
    }

    // For the operator.

    /// The instances that are known.
    pub fn instances(&self) -> &Instances {
        &self.instances
    }

    /// The items that are known, drops among them.
    pub fn all_items(&self) -> impl Iterator<Item = &Item> {
        self.items.values()
    }

    /// How many items are known, drops among them.
    pub fn items(&self) -> usize {
        self.items.len()
    }

    /// When an instance was heard last: here, or by a registry that is heard itself.
    pub fn heard_life(&self, row: &Row) -> u64 {
        let owner = row.owner.and_then(|owner| self.peers.get(&owner));
        let owner = owner.and_then(|peer| peer.lease.confirmed_from());
        row.heard.max(owner.unwrap_or(0))
    }

    /// The machines whose stores vote, as far as a store has said.
    pub fn voters(&self) -> &[Ipv4Addr] {
        &self.voters
    }

    /// The registries that are heard, this one among them.
    pub fn heard(&self, now: u64) -> Vec<Ipv4Addr> {
        let peers = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.in_contact(now))
            .map(|(ip, _)| *ip);
        peers.chain([self.limits.me]).collect()
    }

    /// The limiters that have a session here.
    pub fn behind(&self) -> impl Iterator<Item = Behind> + '_ {
        let now = self.change_log.at();
        self.sessions.values().map(move |session| Behind {
            limiter: session.limiter.clone(),
            behind: now
                .number
                .saturating_sub(session.at.map_or(0, |at| at.number)),
        })
    }
}
