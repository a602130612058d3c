//! One store: takes calls, runs rounds, votes, repairs, and keeps the roster.

mod events;
mod messages;
mod roster;
mod rounds;

pub use events::{Action, Event, Options};

use crate::acceptor::{Acceptor, Guards, Kept, Write};
use crate::call::{Call, Work};
use crate::message::Message;
use crate::round::{majority, Round, Task};
use crate::state::{mixed, roster_item, voters, State};
use emberpin_config::{read_patch, Item};
use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;

/// A call that isn't done by then is told to be sent again.
const PATIENCE: u64 = 3_000;
/// And an evacuation, which has no version: its caller asks another store after a second of silence, and may then take
/// back what it asked for. It must not begin here after that.
const EVACUATION: u64 = 850;
/// One that wakes so much later than it was due has stood still: frozen, or without a processor.
const STOOD_STILL: u64 = 500;
/// So many calls wait at most; more are told to come again, or to go elsewhere.
const WAITING: usize = 64;
/// A round that isn't done by then gives way to a new one; nothing is proposed later than that.
const ROUND: u64 = 700;
/// Each round that failed gives the next one so much more, for slow disks, up to three times.
const MORE: u64 = 300;
/// A round that one voter refused gives way after so long: the others may be a majority, or may be gone.
const REFUSED: u64 = 150;
/// How often stores compare what they hold.
const EXCHANGE: u64 = 500;
/// What is accepted and not chosen after so long is finished by whoever holds it.
const OPEN: u64 = 300;
/// A comparison counts for so long.
const FRESH: u64 = 1_200;
/// A store that lost its disk waits so long before it catches up: rounds that it promised something are over
/// by then.
const FORGOTTEN: u64 = ROUND + 3 * MORE + 400;
/// One that was silent for so long isn't there to be compared with.
const SILENT: u64 = 6_000;
/// A voter that was silent for so long gives its place to a store that has none: well before `sync_time`,
/// from the new one's start on, is over and another disk may be lost.
const VACANT: u64 = 3_000;
/// And after so long it is taken off the roster.
const GONE: u64 = 12_000;
/// A roster isn't made smaller than this, nor than what may be lost at once leaves a majority of.
const FEWEST: usize = 3;

/// What another store last told.
#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    /// When it was last heard; 0 for never.
    heard: u64,
    /// Until when what it held was here; `None`, as long as it doesn't count.
    compared: Option<u64>,
    /// The comparison that is under way, and when it began.
    asked: (u64, u64),
}

/// One store.
#[derive(Debug)]
pub struct Replica {
    options: Options,
    acceptor: Acceptor,
    incarnation: u32,
    draws: u64,
    /// The highest counter heard of.
    counter: u64,
    started: u64,
    /// It may have stood still shortly before that.
    awake_at: u64,
    peers: BTreeMap<Ipv4Addr, Peer>,
    exchange_at: u64,
    seq: u64,
    tasks: VecDeque<Task>,
    round: Option<Round>,
    /// No round before that.
    round_at: u64,
    /// Rounds that failed in a row.
    failed: u32,
    /// A change of the roster that was seen accepted and has to be finished.
    next: Option<Item>,
    /// It is to end, and takes no place again.
    leaving: bool,
    /// A change of the roster that is chosen, and that a majority of its voters may not have on their disks.
    unconfirmed: bool,
    /// Since when something is accepted here and not known to be chosen, with a pause drawn onto it.
    open_until: Option<u64>,
    token: u64,
    /// What is said once something is on the disk.
    owed: BTreeMap<u64, (Ipv4Addr, Message)>,
    to_self: VecDeque<Message>,
}

impl Replica {
    /// A store with what it found on its disk; `None`, if the disk was empty.
    pub fn new(now: u64, options: Options, kept: Option<Kept>, out: &mut Vec<Action>) -> Replica {
        Replica::with_guards(now, options, kept, Guards::default(), out)
    }

    /// For tests.
    #[doc(hidden)]
    pub fn with_guards(
        now: u64,
        options: Options,
        kept: Option<Kept>,
        guards: Guards,
        out: &mut Vec<Action>,
    ) -> Replica {
        let first = kept.is_none() && options.bootstrap;
        let acceptor = Acceptor::new(kept.unwrap_or_default(), guards);
        let counter = acceptor.promised.counter;
        let mut replica = Replica {
            incarnation: mixed(options.seed) as u32,
            draws: options.seed,
            options,
            counter,
            started: now,
            awake_at: now,
            peers: BTreeMap::new(),
            exchange_at: now,
            seq: 0,
            tasks: VecDeque::new(),
            round: None,
            round_at: now,
            failed: 0,
            next: None,
            leaving: false,
            unconfirmed: false,
            open_until: acceptor.open().then_some(now + OPEN),
            token: 0,
            owed: BTreeMap::new(),
            to_self: VecDeque::new(),
            acceptor,
        };
        if first {
            let mut seeds = replica.options.seeds.clone();
            seeds.sort_unstable();
            seeds.dedup();
            replica.acceptor.voting = seeds.contains(&replica.options.me);
            let roster = roster_item(1, &seeds);
            replica.learn(std::slice::from_ref(&roster), out);
            // All may be killed right after it, and start with settings that don't speak of a first start.
            replica.persist(Vec::new(), false, true, None, out);
        }
        replica
    }

    /// All that is known to be chosen.
    pub fn state(&self) -> &State {
        &self.acceptor.state
    }

    /// Whether it counts in quorums.
    pub fn votes(&self) -> bool {
        self.acceptor.voting && self.voters().contains(&self.options.me)
    }

    /// Who votes.
    pub fn voters(&self) -> Vec<Ipv4Addr> {
        self.state().roster().map(voters).unwrap_or_default()
    }

    /// Whether what it knows is no older than what a majority of the voters had a second ago.
    pub fn settled(&self, now: u64) -> bool {
        let voters = self.voters();
        let fresh = |voter: &&Ipv4Addr| match **voter == self.options.me {
            true => self.acceptor.voting,
            false => {
                let compared = self.peers.get(voter).and_then(|peer| peer.compared);
                compared.is_some_and(|at| now.saturating_sub(at) <= FRESH)
            }
        };
        !voters.is_empty() && voters.iter().filter(fresh).count() >= majority(&voters)
    }

    /// Whether a store that was told to leave has nothing left to wait for: it has no place on the roster,
    /// which a majority of the others has on its disks, or it has to keep it.
    pub fn left(&self) -> bool {
        let voters = self.voters();
        let keeps = voters.len() <= self.fewest();
        self.leaving && (keeps || !voters.contains(&self.options.me)) && !self.unconfirmed
    }

    /// A roster isn't made smaller than this.
    fn fewest(&self) -> usize {
        FEWEST.max(2 * self.options.tolerated + 1)
    }

    /// When [`Event::Wake`] is due, if nothing comes before.
    pub fn wake_at(&self) -> u64 {
        let proposed = self.round.iter().flat_map(|round| &round.outcomes).map(|outcome| &outcome.task);
        let tasks = self.tasks.iter().chain(proposed).map(|task| task.until);
        let round = self.round.as_ref().map(|round| round.until);
        let idle = self.round.is_none() && self.state().roster().is_some();
        let waits = !self.tasks.is_empty() || self.next.is_some() || self.unconfirmed;
        let begin = (idle && waits).then_some(self.round_at);
        let open = self.open_until.filter(|_| idle && self.votes()).map(|at| at.max(self.round_at));
        let recover =
            (idle && !self.acceptor.voting).then(|| self.round_at.max(self.started + self.forgotten()));
        tasks.chain(round).chain(begin).chain(open).chain(recover).fold(self.exchange_at, u64::min)
    }

    /// Takes one event at a time; `now`, in milliseconds, never falls.
    pub fn handle(&mut self, now: u64, event: Event, out: &mut Vec<Action>) {
        if now > self.wake_at() + STOOD_STILL {
            self.awake_at = now + EVACUATION;
        }
        // First, so that a process that stood still goes on with nothing that is over.
        self.settle_timers(now, out);
        match event {
            Event::Wake => {}
            Event::Call { id, call } => self.call(now, id, call, out),
            Event::Message { from, message } => self.hear(now, from, message, out),
            Event::Persisted { token } => self.persisted(token, out),
            Event::Leave => {
                self.leaving = true;
                self.leave(now);
            }
        }
        self.settle_timers(now, out);
        while let Some(message) = self.to_self.pop_front() {
            self.hear(now, self.options.me, message, out);
            self.settle_timers(now, out);
        }
    }

    fn call(&mut self, now: u64, id: u64, call: Call, out: &mut Vec<Action>) {
        if self.tasks.len() >= WAITING {
            return out.push(Action::Answer { id, status: 503, body: "too many calls wait".into() });
        }
        let work = match call {
            Call::Get => Work::Get { id },
            Call::Evacuate { zone, begin } => Work::Evacuate { id, zone, begin },
            Call::Patch(body) => match read_patch(&body) {
                Ok(patch) => Work::Patch { id, patch },
                // That is refused wherever it comes in.
                Err(wrong) => {
                    return out.push(Action::Answer { id, status: 400, body: wrong.to_string() });
                }
            },
        };
        let evacuates = matches!(work, Work::Evacuate { .. });
        if evacuates && now < self.awake_at && self.acceptor.guards.awake {
            // Its caller may have gone on to another machine long ago, and taken it back there.
            return out.push(Action::Answer { id, status: 503, body: "the store stood still".into() });
        }
        let patience = if evacuates && self.acceptor.guards.late { EVACUATION } else { PATIENCE };
        self.tasks.push_back(Task { work, until: now + patience, proposed: false });
    }

    fn persisted(&mut self, token: u64, out: &mut Vec<Action>) {
        let later = self.owed.split_off(&(token + 1));
        for (_, (to, message)) in std::mem::replace(&mut self.owed, later) {
            self.send(to, message, out);
        }
    }

    fn send(&mut self, to: Ipv4Addr, message: Message, out: &mut Vec<Action>) {
        match to == self.options.me {
            true => self.to_self.push_back(message),
            false => out.push(Action::Send { to, message }),
        }
    }

    /// Says it once it and all before it is on the disk.
    fn persist(
        &mut self,
        chosen: Vec<Item>,
        pending: bool,
        sync: bool,
        owed: Option<(Ipv4Addr, Message)>,
        out: &mut Vec<Action>,
    ) {
        self.token += 1;
        let pending = pending.then(|| self.acceptor.pending.clone());
        let (promised, voting) = (self.acceptor.promised, self.acceptor.voting);
        let write = Write { chosen, promised, pending, voting, sync };
        out.push(Action::Persist { token: self.token, write });
        match owed {
            Some((to, message)) if !self.acceptor.guards.sync => self.send(to, message, out),
            Some(owed) => _ = self.owed.insert(self.token, owed),
            None => {}
        }
    }

    /// Takes chosen items, and has them written in passing.
    fn learn(&mut self, items: &[Item], out: &mut Vec<Action>) {
        let had = self.acceptor.open();
        let new = self.acceptor.learn(items);
        if new.is_empty() {
            return;
        }
        if let Some(round) = &mut self.round {
            round.learned.extend(new.iter().map(|item| item.key.clone()));
        }
        if !self.acceptor.open() {
            self.open_until = None;
        }
        self.persist(new.clone(), had && !self.acceptor.open(), false, None, out);
        out.push(Action::Learned { items: new });
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.draws = self.draws.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mixed(self.draws) % below.max(1)
    }
}
