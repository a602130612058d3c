//! A small world of stores on simulated time: delays, cuts, kills, losses of power and of disks, all drawn
//! from a seed.
#![allow(dead_code, reason = "each test file uses a part of it")]

use emberpin_config::{Checkpoint, Configuration, Item, ItemKey, ItemKind, Version};
use emberpin_consensus::{
    Action, Ballot, Call, CallId, Event, Guards, Message, PersistedState, Replica, ReplicaOptions,
    Timestamp, WriteBatch, WriteToken,
};
use oorandom::Rand64;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::net::Ipv4Addr;

/// How long an answer may take: the patience of a call, and a timer.
const ANSWERED: u64 = 3_000 + 2;

/// How long a process that is to end waits for its store to leave.
const LEAVE: u64 = 700;

/// How many events a host takes at once, so that they share a sync.
const AT_ONCE: usize = 32;
/// What callers are told of a disk without room.
pub const DISK_FULL: &str = "the disk is full";

/// What will happen.
#[derive(Clone, Debug)]
enum Due {
    Deliver {
        from: Ipv4Addr,
        to: Ipv4Addr,
        incarnation: u64,
        message: Message,
    },
    Synced {
        node: Ipv4Addr,
        incarnation: u64,
        failures: u64,
        token: WriteToken,
        writes: usize,
    },
    Wake {
        node: Ipv4Addr,
        incarnation: u64,
    },
}

/// A machine: its disk, and its store while it runs.
pub struct Node {
    pub store: Option<Replica>,
    incarnation: u64,
    disk: Vec<WriteBatch>,
    synced: usize,
    /// No sync of its disk ends before that.
    pub stalled_until: u64,
    /// Its disk takes no writes.
    full: bool,
    /// How often its disk failed: a sync that began before is not told.
    failures: u64,
    /// Its disk was lost, and it hasn't said on its disk that it caught up.
    pub wiped: bool,
    /// It never comes back.
    pub removed: bool,
    /// The operator has taken it off the list: no seeds name it.
    pub unlisted: bool,
    wake: u64,
    /// The host stands still while its disk syncs; see [`World::blocking`].
    syncing: bool,
    /// What comes in meanwhile.
    queue: VecDeque<Event>,
    /// The versions of which news were told in this incarnation.
    told: BTreeMap<ItemKey, Version>,
}

/// A call that was sent.
#[derive(Clone, Debug)]
pub struct Sent {
    pub to: Ipv4Addr,
    pub call: Call,
    pub items: Vec<Item>,
    pub at: u64,
    incarnation: u64,
    /// The status and body, once they came.
    pub answer: Option<(u16, String)>,
}

pub struct World {
    pub now: u64,
    pub nodes: BTreeMap<Ipv4Addr, Node>,
    pub cuts: BTreeSet<(Ipv4Addr, Ipv4Addr)>,
    pub calls: Vec<Sent>,
    /// The one content of each version that was told as news or acknowledged.
    pub contents: BTreeMap<(ItemKey, Version), Option<String>>,
    /// The highest version of each name that was acknowledged.
    pub acknowledged: BTreeMap<ItemKey, Version>,
    /// The one content of each number that was acknowledged, superseded ones included.
    taken: BTreeMap<(ItemKey, Version), Option<String>>,
    /// Which calls were acknowledged, and which refused because of a version, by their bodies.
    verdicts: BTreeMap<Vec<u8>, (bool, bool)>,
    /// Calls and answers in their order: which call, and whether it is the answer.
    pub order: Vec<(usize, bool)>,
    /// What went wrong first.
    pub wrong: Option<String>,
    /// Messages that a test holds back.
    pub hold: Option<fn(&Message) -> bool>,
    /// Those that were held back: from whom, to whom.
    pub held: Vec<(Ipv4Addr, Ipv4Addr, Message)>,
    /// All that was ever chosen.
    whole: Configuration,
    pub rand: Rand64,
    guards: Guards,
    seeds: Vec<Ipv4Addr>,
    tolerated: usize,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    dues: BTreeMap<u64, Due>,
    number: u64,
    /// Delays in milliseconds, from and below; and of a hundred messages, how many are late by much, or come
    /// twice.
    pub delay: (u64, u64),
    /// How long a sync takes, likewise.
    pub disk: (u64, u64),
    /// Of a hundred syncs, how many take how much longer.
    pub stalls: (u64, u64),
    pub late: u64,
    pub twice: u64,
    /// Whether a host does nothing while its disk syncs, as the program's loop; then what came in meanwhile is
    /// taken at once, and shares the next sync.
    pub blocking: bool,
}

pub fn ip(host: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, host)
}

impl World {
    /// So many seeds, all started for the first time.
    pub fn new(seed: u64, count: u8, tolerated: usize, guards: Guards) -> World {
        let seeds: Vec<Ipv4Addr> = (1..=count).map(ip).collect();
        let mut world = World {
            now: 1,
            nodes: BTreeMap::new(),
            cuts: BTreeSet::new(),
            calls: Vec::new(),
            contents: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            taken: BTreeMap::new(),
            verdicts: BTreeMap::new(),
            order: Vec::new(),
            wrong: None,
            hold: None,
            held: Vec::new(),
            whole: Configuration::new(),
            rand: Rand64::new(u128::from(seed) + 1),
            guards,
            seeds: seeds.clone(),
            tolerated,
            due: BinaryHeap::new(),
            dues: BTreeMap::new(),
            number: 0,
            delay: (1, 4),
            disk: (2, 6),
            stalls: (0, 0),
            late: 0,
            twice: 0,
            blocking: false,
        };
        for seed in seeds {
            world.add(seed);
            world.start(seed, true);
        }
        world
    }

    /// A machine with an empty disk, not started.
    pub fn add(&mut self, node: Ipv4Addr) {
        let empty = Node {
            store: None,
            incarnation: 0,
            disk: Vec::new(),
            synced: 0,
            stalled_until: 0,
            full: false,
            failures: 0,
            wiped: false,
            removed: false,
            unlisted: false,
            wake: 0,
            syncing: false,
            queue: VecDeque::new(),
            told: BTreeMap::new(),
        };
        self.nodes.insert(node, empty);
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.rand.rand_range(0..bound)
    }

    fn at(&mut self, at: u64, due: Due) {
        self.number += 1;
        self.due.push(Reverse((at, self.number)));
        self.dues.insert(self.number, due);
    }

    fn node(&mut self, node: Ipv4Addr) -> &mut Node {
        self.nodes.get_mut(&node).expect("a machine")
    }

    pub fn up(&self) -> Vec<Ipv4Addr> {
        self.nodes
            .iter()
            .filter(|(_, node)| node.store.is_some())
            .map(|(ip, _)| *ip)
            .collect()
    }

    pub fn start(&mut self, ip: Ipv4Addr, bootstrap: bool) {
        let (now, guards, seed) = (self.now, self.guards, self.rand.rand_u64());
        // As the operator's list stands when the settings are written: some may be down, none is gone for good.
        let listed = self
            .nodes
            .iter()
            .filter(|(_, node)| !node.removed && !node.unlisted)
            .map(|(ip, _)| *ip);
        let seeds = match bootstrap {
            true => self.seeds.clone(),
            false => listed.take(self.seeds.len()).collect(),
        };
        let options = ReplicaOptions {
            address: ip,
            seeds,
            bootstrap,
            tolerated_failures: self.tolerated,
            random_seed: seed,
        };
        let node = self.node(ip);
        if node.store.is_some() || node.removed {
            return;
        }
        node.incarnation += 1;
        node.wake = 0;
        node.syncing = false;
        node.queue.clear();
        node.told.clear();
        let kept = kept(&node.disk);
        let mut actions = Vec::new();
        node.store = Some(Replica::with_guards(
            Timestamp::from_millis(now),
            options,
            kept,
            guards,
            &mut actions,
        ));
        self.act(ip, actions);
    }

    /// The process ends; what it wrote stays.
    pub fn kill(&mut self, ip: Ipv4Addr) {
        self.node(ip).store = None;
    }

    /// The process ends, and of what was not synced some of the first writes stay, or none.
    pub fn power_off(&mut self, ip: Ipv4Addr) {
        let unsynced = (self.node(ip).disk.len() - self.node(ip).synced) as u64;
        let stay = self.below(unsynced + 1) as usize;
        let node = self.node(ip);
        node.store = None;
        node.disk.truncate(node.synced + stay);
        node.synced = node.disk.len();
    }

    /// The process ends, and nothing stays of what was not synced.
    pub fn power_off_hard(&mut self, ip: Ipv4Addr) {
        let node = self.node(ip);
        node.store = None;
        node.disk.truncate(node.synced);
    }

    /// Its disk takes no more writes, and those on their way are lost; the store finds out at its next write.
    pub fn fill_disk(&mut self, ip: Ipv4Addr) {
        self.node(ip).full = true;
    }

    /// There is room again; the store is told.
    pub fn free_disk(&mut self, ip: Ipv4Addr) {
        if std::mem::take(&mut self.node(ip).full) {
            self.handle(ip, Event::DiskRestored);
        }
    }

    /// What is not synced is lost, and so is what the store was to say after it.
    fn lose_writes(&mut self, ip: Ipv4Addr) {
        let node = self.node(ip);
        node.disk.truncate(node.synced);
        node.failures += 1;
        self.handle(
            ip,
            Event::DiskFailed {
                reason: DISK_FULL.into(),
            },
        );
    }

    /// The store is told to leave.
    pub fn leave(&mut self, ip: Ipv4Addr) {
        self.handle(ip, Event::Leave);
    }

    /// The process is told to end, as by SIGTERM, and does when its store has left or after a while.
    pub fn terminate(&mut self, ip: Ipv4Addr) {
        self.leave(ip);
        let left = |world: &World| {
            world.nodes[&ip]
                .store
                .as_ref()
                .is_none_or(emberpin_consensus::Replica::has_left)
        };
        self.run_while(LEAVE, |world| !left(world));
        self.kill(ip);
    }

    pub fn wipe(&mut self, ip: Ipv4Addr) {
        let node = self.node(ip);
        node.store = None;
        node.disk.clear();
        node.synced = 0;
        node.wiped = true;
    }

    pub fn remove(&mut self, ip: Ipv4Addr) {
        self.wipe(ip);
        self.node(ip).removed = true;
    }

    /// The newest roster that anybody was told of.
    pub fn roster(&self) -> Vec<Ipv4Addr> {
        let rosters = self
            .contents
            .iter()
            .filter(|((key, _), _)| key.kind == ItemKind::Roster);
        let newest = rosters.max_by_key(|((_, version), _)| *version);
        let text = newest
            .and_then(|(_, body)| body.clone())
            .unwrap_or_default();
        text.split(['[', ']', '"', ','])
            .filter_map(|part| part.parse().ok())
            .collect()
    }

    /// The newest roster that a majority of its own voters holds on its disks.
    ///
    /// A removed machine counts as lost until `sync_time` after the start of the one in its place, and only
    /// then may another disk be lost. This is sooner, as soon as the stores can bear it: of a roster that is
    /// chosen and that one store alone knows of, that store's disk may not be the next.
    pub fn in_force(&self) -> Vec<Ipv4Addr> {
        let mut rosters: Vec<(Version, Vec<Ipv4Addr>)> = Vec::new();
        for ((key, version), body) in &self.contents {
            if key.kind == ItemKind::Roster {
                let text = body.as_deref().unwrap_or_default();
                let voters = text
                    .split(['[', ']', '"', ','])
                    .filter_map(|part| part.parse().ok());
                rosters.push((*version, voters.collect()));
            }
        }
        rosters.sort_unstable();
        let on_disk = |ip: &Ipv4Addr| {
            let disk = self
                .nodes
                .get(ip)
                .map_or(&[][..], |node| &node.disk[..node.synced]);
            let items = disk.iter().flat_map(|write| &write.chosen);
            items
                .filter(|item| item.key.kind == ItemKind::Roster)
                .map(|item| item.version)
                .max()
                .unwrap_or_default()
        };
        let holds = |version: Version, voters: &[Ipv4Addr]| {
            voters.iter().filter(|ip| on_disk(ip) >= version).count() > voters.len() / 2
        };
        let newest = rosters
            .iter()
            .rev()
            .find(|(version, voters)| holds(*version, voters))
            .or(rosters.first());
        newest.map(|(_, voters)| voters.clone()).unwrap_or_default()
    }

    /// The ballot that a machine's disk holds a promise of.
    pub fn promised(&self, ip: Ipv4Addr) -> Option<Ballot> {
        self.nodes[&ip].disk.last().map(|write| write.promised)
    }

    /// How many machines have no disk, or have not caught up: all that run count, whether or not they have a
    /// place on the roster, as `tolerance` counts machines; one that is removed counts as long as it has its
    /// place.
    pub fn lost(&self) -> usize {
        let roster = self.in_force();
        let gone = |ip: &Ipv4Addr, node: &Node| match node.removed {
            true => roster.contains(ip),
            false => node.wiped,
        };
        self.nodes
            .iter()
            .filter(|(ip, node)| gone(ip, node))
            .count()
    }

    pub fn cut(&mut self, one: Ipv4Addr, other: Ipv4Addr) {
        self.cuts.insert((one, other));
        self.cuts.insert((other, one));
    }

    /// Sends a call to a store that runs; returns its number.
    pub fn call(&mut self, to: Ipv4Addr, call: Call) -> usize {
        let items = match &call {
            Call::Patch(body) => emberpin_config::parse_patch(body)
                .map(|patch| patch.items)
                .unwrap_or_default(),
            _ => Vec::new(),
        };
        let id = self.calls.len();
        self.order.push((id, false));
        let incarnation = self.node(to).incarnation;
        self.calls.push(Sent {
            to,
            call: call.clone(),
            items,
            at: self.now,
            incarnation,
            answer: None,
        });
        self.handle(
            to,
            Event::Call {
                call_id: CallId(id as u64),
                call,
            },
        );
        id
    }

    /// Calls, and waits for the answer, sending again after a 503.
    pub fn answer(&mut self, to: Ipv4Addr, call: Call) -> (u16, String) {
        for _ in 0..20 {
            let id = self.call(to, call.clone());
            self.run_while(ANSWERED, |world| world.calls[id].answer.is_none());
            match self.calls[id].answer.clone() {
                Some(answer) if answer.0 != 503 => return answer,
                _ => {}
            }
        }
        (503, "never answered".into())
    }

    fn handle(&mut self, ip: Ipv4Addr, event: Event) {
        let node = self.node(ip);
        if node.syncing {
            node.queue.push_back(event);
            return;
        }
        self.handle_all(ip, [event]);
    }

    fn handle_all(&mut self, ip: Ipv4Addr, events: impl IntoIterator<Item = Event>) {
        let now = self.now;
        let Some(store) = self.node(ip).store.as_mut() else {
            return;
        };
        let mut actions = Vec::new();
        events
            .into_iter()
            .for_each(|event| store.handle(Timestamp::from_millis(now), event, &mut actions));
        self.act(ip, actions);
    }

    /// The host's sync is over: it says what it owes, and takes what came in meanwhile.
    fn synced(&mut self, ip: Ipv4Addr, token: WriteToken) {
        let node = self.node(ip);
        node.syncing = false;
        let waiting = node.queue.len().min(AT_ONCE);
        let waiting: Vec<Event> = node.queue.drain(..waiting).collect();
        self.handle_all(
            ip,
            std::iter::once(Event::Persisted { token }).chain(waiting),
        );
        // Without a sync of their own, the next ones follow at once.
        while !self.node(ip).syncing && !self.node(ip).queue.is_empty() {
            let node = self.node(ip);
            let waiting = node.queue.len().min(AT_ONCE);
            let waiting: Vec<Event> = node.queue.drain(..waiting).collect();
            self.handle_all(ip, waiting);
        }
    }

    fn act(&mut self, ip: Ipv4Addr, actions: Vec<Action>) {
        let mut owed = None;
        let mut write_lost = false;
        for action in actions {
            match action {
                Action::Persist { token, write } => {
                    let stalls = self.stalls.0 > 0 && self.below(100) < self.stalls.0;
                    let stall = if stalls { self.stalls.1 } else { 0 };
                    let (now, wait) = (
                        self.now,
                        self.disk.0 + self.below(self.disk.1 - self.disk.0) + stall,
                    );
                    let node = self.node(ip);
                    if node.full {
                        write_lost = true;
                        continue;
                    }
                    let (sync, stalled_until) = (write.sync, node.stalled_until);
                    node.disk.push(write);
                    let (incarnation, failures, writes) =
                        (node.incarnation, node.failures, node.disk.len());
                    let synced = Due::Synced {
                        node: ip,
                        incarnation,
                        failures,
                        token,
                        writes,
                    };
                    let at = (now + wait).max(stalled_until);
                    if sync && self.blocking {
                        owed = Some((at, synced));
                    } else if sync {
                        self.at(at, synced);
                    }
                }
                Action::Send { to, message } => self.send(ip, to, message),
                Action::Reply {
                    call_id,
                    status,
                    body,
                } => self.answered(call_id.0 as usize, status, body),
                Action::Learned { items } => self.news(ip, &items),
            }
        }
        if write_lost {
            return self.lose_writes(ip);
        }
        if let Some((at, due)) = owed {
            self.node(ip).syncing = true;
            self.at(at, due);
        }
        let now = self.now;
        let Some(at) = self
            .node(ip)
            .store
            .as_ref()
            .map(|store| store.next_tick_at().as_millis().max(now + 1))
        else {
            return;
        };
        let node = self.node(ip);
        if node.wake != at {
            node.wake = at;
            let incarnation = node.incarnation;
            self.at(
                at,
                Due::Wake {
                    node: ip,
                    incarnation,
                },
            );
        }
    }

    fn send(&mut self, from: Ipv4Addr, to: Ipv4Addr, message: Message) {
        if self.cuts.contains(&(from, to)) {
            return;
        }
        if self.hold.is_some_and(|hold| hold(&message)) {
            return self.held.push((from, to, message));
        }
        let times = if self.below(100) < self.twice { 2 } else { 1 };
        for _ in 0..times {
            let mut delay = self.delay.0 + self.below(self.delay.1 - self.delay.0);
            if self.below(100) < self.late {
                delay += self.below(1500);
            }
            // A connection ends with the process at its other end.
            let (at, incarnation) = (
                self.now + delay,
                self.nodes.get(&to).map_or(0, |node| node.incarnation),
            );
            self.at(
                at,
                Due::Deliver {
                    from,
                    to,
                    incarnation,
                    message: message.clone(),
                },
            );
        }
    }

    /// Delivers a message that was held back.
    pub fn release(&mut self, from: Ipv4Addr, to: Ipv4Addr) {
        let held = self
            .held
            .iter()
            .position(|held| (held.0, held.1) == (from, to));
        if let Some((from, to, message)) = held.map(|at| self.held.remove(at)) {
            self.handle(to, Event::Message { from, message });
        }
    }

    pub fn fail(&mut self, what: String) {
        let now = self.now;
        self.wrong
            .get_or_insert_with(|| format!("at {now} ms: {what}"));
    }

    fn only(&mut self, item: &Item) {
        let known = self
            .contents
            .entry((item.key.clone(), item.version))
            .or_insert_with(|| item.body.clone());
        if *known != item.body {
            let what = format!(
                "{:?} {} has two contents: {known:?} and {:?}",
                item.key, item.version, item.body
            );
            self.fail(what);
        }
    }

    fn news(&mut self, ip: Ipv4Addr, items: &[Item]) {
        // What is chosen is chosen set by set, and each leaves the whole valid. Whoever tells a set first
        // tells with it all that came before.
        let new = items
            .iter()
            .filter(|item| self.whole.merge((*item).clone()))
            .count();
        if let Some(wrong) = (new > 0).then(|| self.whole.check().err()).flatten() {
            self.fail(format!("what is chosen is not valid as a whole: {wrong}"));
        }
        for item in items {
            self.only(item);
            let told = self.node(ip).told.insert(item.key.clone(), item.version);
            if told.is_some_and(|told| told >= item.version) {
                self.fail(format!(
                    "news of {:?} went back to {} at {ip}",
                    item.key, item.version
                ));
            }
        }
    }

    fn answered(&mut self, id: usize, status: u16, body: String) {
        let sent = self.calls[id].clone();
        if sent.answer.is_some() {
            return self.fail(format!("call {id} was answered twice"));
        }
        // A host that stands still answers once its sync is over, and the one that it takes up then.
        let stands_still = if self.blocking {
            2 * (self.disk.1 + self.stalls.1)
        } else {
            0
        };
        if self.now > sent.at + ANSWERED + stands_still {
            self.fail(format!(
                "call {id} was answered after {} ms",
                self.now - sent.at
            ));
        }
        self.order.push((id, true));
        self.judge_versions(&sent, status);
        if status == 200 {
            for item in &sent.items {
                // A superseded item of a call may have been passed by before it was ever chosen.
                let highest = self.acknowledged.entry(item.key.clone()).or_default();
                *highest = item.version.max(*highest);
            }
        }
        self.calls[id].answer = Some((status, body));
    }

    /// One content for a number; and what was taken is never refused, nor the other way around. Of calls whose
    /// items stand in no other call.
    fn judge_versions(&mut self, sent: &Sent, status: u16) {
        let Call::Patch(body) = &sent.call else {
            return;
        };
        let verdict = self.verdicts.entry(body.clone()).or_default();
        verdict.0 |= status == 200;
        verdict.1 |= status == 409;
        if *verdict == (true, true) {
            let what = format!(
                "{:?} was acknowledged and refused",
                String::from_utf8_lossy(body)
            );
            self.fail(what);
        }
        for item in sent.items.iter().filter(|_| status == 200) {
            let number = (item.key.clone(), item.version);
            let known = self
                .taken
                .entry(number)
                .or_insert_with(|| item.body.clone());
            if *known != item.body {
                let what = format!(
                    "{:?} {} was acknowledged with two contents",
                    item.key, item.version
                );
                self.fail(what);
            }
        }
    }

    pub fn run(&mut self, span: u64) {
        let until = self.now + span;
        self.run_while(span, |_| true);
        self.now = self.now.max(until);
    }

    /// Lets time pass while this holds, at most so long.
    pub fn run_while(&mut self, span: u64, mut going: impl FnMut(&World) -> bool) {
        let until = self.now + span;
        while self.wrong.is_none() && going(self) {
            match self.due.peek() {
                Some(Reverse((at, _))) if *at <= until => {}
                _ => {
                    self.now = until;
                    return;
                }
            }
            let Some(Reverse((at, number))) = self.due.pop() else {
                return;
            };
            self.now = self.now.max(at);
            match self.dues.remove(&number) {
                Some(Due::Deliver {
                    from,
                    to,
                    incarnation,
                    message,
                }) => {
                    let same = self
                        .nodes
                        .get(&to)
                        .is_some_and(|node| node.incarnation == incarnation);
                    if same && !self.cuts.contains(&(from, to)) {
                        self.handle(to, Event::Message { from, message });
                    }
                }
                Some(Due::Synced {
                    node: ip,
                    incarnation,
                    failures,
                    token,
                    writes,
                }) => {
                    let node = self.node(ip);
                    if (node.incarnation, node.failures) == (incarnation, failures)
                        && node.store.is_some()
                    {
                        node.synced = node.synced.max(writes);
                        node.wiped &= !node.disk[..node.synced].iter().any(|write| write.voting);
                        self.synced(ip, token);
                    }
                }
                Some(Due::Wake {
                    node: ip,
                    incarnation,
                }) => {
                    let now = self.now;
                    let node = self.node(ip);
                    if node.incarnation == incarnation && node.wake == now {
                        node.wake = 0;
                        self.handle(ip, Event::Tick);
                    }
                }
                None => {}
            }
        }
    }

    /// One fault, or the end of some, drawn from the seed.
    pub fn trouble_once(&mut self, hosts: &mut u8, tolerated: usize, long: bool) {
        let all: Vec<_> = self
            .nodes
            .keys()
            .copied()
            .filter(|ip| !self.nodes[ip].removed)
            .collect();
        let one = all[self.below(all.len() as u64) as usize];
        let other = all[self.below(all.len() as u64) as usize];
        let tolerated = if self.roster().len() > 2 * tolerated {
            tolerated
        } else {
            1
        };
        match self.below(22) {
            0..3 => self.kill(one),
            3..8 => all.iter().for_each(|ip| self.start(*ip, false)),
            8..10 => self.power_off(one),
            10 => all.iter().for_each(|ip| self.power_off(*ip)),
            11 => {
                all.iter().for_each(|ip| self.kill(*ip));
                all.iter().for_each(|ip| self.start(*ip, false));
            }
            12..15 if self.lost() < tolerated || self.nodes[&one].wiped => {
                if self.below(2) == 0 {
                    all.iter().for_each(|ip| self.power_off(*ip));
                }
                self.wipe(one);
                // Now and then its settings still speak of the first start.
                let first = self.now.is_multiple_of(3);
                self.start(one, first);
            }
            15 if self.lost() < tolerated && *hosts < 14 => {
                self.remove(one);
                *hosts += 1;
                self.add(ip(*hosts));
                self.start(ip(*hosts), false);
            }
            16..18 if one != other => _ = self.cuts.insert((one, other)),
            18 => all
                .iter()
                .filter(|ip| **ip != one)
                .for_each(|ip| self.cut(one, *ip)),
            _ if long && self.below(5) > 0 => {}
            _ => self.cuts.clear(),
        }
    }

    /// Ends all trouble, and checks that what was acknowledged is there, and that the whole is valid.
    pub fn settle_and_check(&mut self) {
        self.cuts.clear();
        self.hold = None;
        (self.late, self.twice) = (0, 0);
        for ip in self.nodes.keys().copied().collect::<Vec<_>>() {
            self.free_disk(ip);
            self.start(ip, false);
        }
        let calm = |world: &World| {
            let up = world.up();
            up.iter().all(|ip| {
                world.nodes[ip]
                    .store
                    .as_ref()
                    .is_some_and(|store| store.is_up_to_date(Timestamp::from_millis(world.now)))
            })
        };
        self.run(1500);
        self.run_while(60_000, |world| !calm(world));
        if !calm(self) {
            return self.fail("the stores don't settle".into());
        }
        for ip in self.up() {
            if self.wrong.is_some() {
                return;
            }
            let (status, _) = self.answer(ip, Call::Get);
            if status != 200 {
                return self.fail(format!("{ip} doesn't answer a get"));
            }
            self.check(ip);
        }
        let refused = self.refused_only();
        for item in refused {
            if self.contents.get(&(item.key.clone(), item.version)) == Some(&item.body) {
                self.fail(format!(
                    "{:?} {} was refused and is chosen",
                    item.key, item.version
                ));
            }
        }
    }

    /// Whether a store has all that was acknowledged.
    pub fn check(&mut self, ip: Ipv4Addr) {
        let Some(store) = &self.nodes[&ip].store else {
            return;
        };
        let held: BTreeMap<ItemKey, Item> = store
            .state()
            .iter()
            .map(|item| (item.key.clone(), item.clone()))
            .collect();
        let configuration: Configuration = held.values().cloned().collect();
        let mut wrong = configuration
            .check()
            .err()
            .map(|wrong| format!("the whole is invalid: {wrong}"));
        let checkpoint = held
            .get(&Checkpoint::key())
            .map(Checkpoint::from_item)
            .unwrap_or_default();
        for (key, version) in self
            .acknowledged
            .iter()
            .filter(|(key, version)| checkpoint.admits(key, **version))
        {
            if held.get(key).is_none_or(|item| item.version < *version) {
                wrong = Some(format!(
                    "{key:?} {version} was acknowledged and is lost at {ip}"
                ));
            }
        }
        for sent in self.calls.iter().filter(|sent| {
            sent.answer
                .as_ref()
                .is_some_and(|(status, _)| *status == 200)
        }) {
            for item in &sent.items {
                if held
                    .get(&item.key)
                    .is_some_and(|held| held.version == item.version && held.body != item.body)
                {
                    wrong = Some(format!(
                        "{:?} {} was acknowledged with another content",
                        item.key, item.version
                    ));
                }
            }
        }
        if let Some(wrong) = wrong {
            self.fail(wrong);
        }
    }

    /// Items of calls that were refused and had no other answer whenever they were sent.
    fn refused_only(&self) -> Vec<Item> {
        let refused = |sent: &Sent| matches!(&sent.answer, Some((400..=499, _)));
        let alone = |sent: &&Sent| {
            refused(sent)
                && self
                    .calls
                    .iter()
                    .filter(|other| other.call == sent.call)
                    .all(refused)
        };
        self.calls
            .iter()
            .filter(alone)
            .flat_map(|sent| sent.items.clone())
            .collect()
    }
}

/// What a store reads from what is written.
fn kept(disk: &[WriteBatch]) -> Option<PersistedState> {
    if disk.is_empty() {
        return None;
    }
    let mut kept = PersistedState::default();
    let mut chosen: BTreeMap<ItemKey, Item> = BTreeMap::new();
    for write in disk {
        chosen.extend(
            write
                .chosen
                .iter()
                .map(|item| (item.key.clone(), item.clone())),
        );
        write.removed.iter().for_each(|key| _ = chosen.remove(key));
        kept.promised = write.promised;
        kept.voting = write.voting;
        kept.incarnation = write.incarnation;
        kept.latest_incarnations = write.latest_incarnations.clone();
        kept.bootstrap_candidate = write.bootstrap_candidate.clone();
        if let Some(accepted) = &write.accepted {
            kept.accepted = accepted.clone();
        }
    }
    kept.chosen = chosen.into_values().collect();
    Some(kept)
}

/// A call that sets these services; the number makes the content.
pub fn services(services: &[(&str, u64, u64)]) -> Call {
    let service = |(name, version, content): &(&str, u64, u64)| {
        format!(
            "{{\"name\":\"{name}\",\"hcheck\":\"/h\",\"maxconn\":{},\"proto\":\"h1\",\"tls\":false,\
             \"warmup\":\"3s\",\"warmup_per_s\":10.0,\"ver\":{version}}}",
            content + 1
        )
    };
    let services: Vec<String> = services.iter().map(service).collect();
    Call::Patch(format!("{{\"upsert\":{{\"svcs\":[{}]}}}}", services.join(",")).into_bytes())
}

/// A call that sets a route to a service.
pub fn route(name: &str, service: &str, version: u64, content: u64) -> Call {
    let text = format!(
        "{{\"upsert\":{{\"vhosts\":[{{\"hostname\":\"{name}.example\",\"locs\":[{{\"name\":\"{name}\",\
         \"pfx\":\"/p/\",\"type\":\"readonly\",\"timeout\":\"{}ms\",\"target_time\":\"250ms\",\"prio\":2,\
         \"svc\":\"{service}\",\"tries\":2,\"ver\":{version}}}]}}]}}}}",
        content + 1000
    );
    Call::Patch(text.into_bytes())
}

/// A call that drops a service.
pub fn drop_service(name: &str, version: u64) -> Call {
    Call::Patch(
        format!("{{\"remove\":{{\"svcs\":[{{\"name\":\"{name}\",\"ver\":{version}}}]}}}}")
            .into_bytes(),
    )
}
