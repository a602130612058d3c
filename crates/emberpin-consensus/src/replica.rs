//! One store: takes calls, runs rounds, votes, repairs, and keeps the roster.

mod comparison;
mod disk;
mod events;
mod founding;
mod messages;
mod pacing;
mod roster;
mod rounds;

pub use events::{Action, Event, Options};
pub use founding::Candidacy;

use crate::acceptor::{Acceptor, Guards, Kept, Learned, Write};
use crate::call::{Call, Work};
use crate::message::Message;
use crate::round::{majority, Round, Task};
use crate::state::{is_told, mixed, voters, State};
use comparison::{Comparisons, Version};
use disk::Storage;
use emberpin_config::{parse_patch, Item, ItemKey};
use founding::Founding;
use pacing::Pacing;
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
/// How often stores compare what they hold, in milliseconds.
pub const EXCHANGE: u64 = 500;
/// A comparison counts for so long.
const FRESH: u64 = 1_200;
/// One that was silent for so long isn't there to be compared with.
const SILENT: u64 = 6_000;
/// A store without a place listens for so long before it asks for one, and asks for none while a voter has been
/// silent for so long, and not yet for [`VACANT`].
const PLACELESS: u64 = 3 * EXCHANGE;
/// A voter that was silent for so long gives its place to a store that has none: well before `sync_time`,
/// from the new one's start on, is over and another disk may be lost.
const VACANT: u64 = 3_000;
/// And after so long it is taken off the roster, as long as the others can bear further losses.
const GONE: u64 = 12_000;
/// A roster isn't made smaller than this, nor than what may be lost at once leaves a majority of.
const FEWEST: usize = 3;

/// What another store last told.
#[derive(Clone, Debug, Default)]
struct Peer {
    /// When it was last heard; 0 for never.
    heard: u64,
    compared: Comparisons,
    /// What it named as open in the comparison that is under way, where something differed.
    open: Vec<Version>,
    /// The comparison that is under way, and when it began.
    asked: (u64, u64),
}

/// A message that waits for a sync.
#[derive(Debug)]
struct Owed {
    to: Ipv4Addr,
    message: Message,
    /// Since when.
    since: u64,
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
    /// Comparisons with what this replica itself has accepted.
    own: Comparisons,
    exchange_at: u64,
    seq: u64,
    tasks: VecDeque<Task>,
    round: Option<Round>,
    /// No round before that.
    round_at: u64,
    /// No round before that either, as another store's is under way.
    yields_until: u64,
    pacing: Pacing,
    /// The time of the event that is being handled.
    now: u64,
    founding: Founding,
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
    owed: BTreeMap<u64, Owed>,
    to_self: VecDeque<Message>,
    /// Whether the disk takes writes.
    storage: Storage,
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
            own: Comparisons::default(),
            exchange_at: now,
            seq: 0,
            tasks: VecDeque::new(),
            round: None,
            round_at: now,
            yields_until: 0,
            pacing: Pacing::new(guards.pacing),
            now,
            founding: Founding::default(),
            next: None,
            leaving: false,
            unconfirmed: false,
            open_until: acceptor
                .open()
                .then_some(now + Pacing::new(guards.pacing).open_delay(now)),
            token: 0,
            owed: BTreeMap::new(),
            to_self: VecDeque::new(),
            storage: Storage::default(),
            acceptor,
        };
        // All may be killed right after it, and start with settings that don't speak of a first start.
        if replica.options.bootstrap && replica.state().roster().is_none() {
            replica.stand(out);
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
        self.confirmed_age(now).is_some_and(|age| age <= FRESH)
    }

    /// So many milliseconds ago it began to compare itself with a majority of the voters, and it holds all that they
    /// held then; `None`, if it never did.
    pub fn confirmed_age(&self, now: u64) -> Option<u64> {
        let voters = self.voters();
        let age = |voter: &Ipv4Addr| match *voter == self.options.me {
            true => self.own_age(now).filter(|_| self.acceptor.voting),
            false => self
                .peers
                .get(voter)?
                .compared
                .counted
                .map(|at| now.saturating_sub(at)),
        };
        let mut ages: Vec<u64> = voters.iter().filter_map(age).collect();
        ages.sort_unstable();
        ages.get(majority(&voters).checked_sub(1)?).copied()
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
        let proposed = self
            .round
            .iter()
            .flat_map(|round| &round.outcomes)
            .map(|outcome| &outcome.task);
        let tasks = self.tasks.iter().chain(proposed).map(|task| task.until);
        let round = self
            .round
            .as_ref()
            .map(|round| round.until.min(round.resend_at));
        let idle = self.round.is_none()
            && self.state().roster().is_some()
            && self.storage_refusal().is_none();
        let waits = !self.tasks.is_empty() || self.next.is_some() || self.unconfirmed;
        let earliest = self.earliest_round();
        let begin = (idle && waits).then_some(earliest);
        let open = self
            .open_until
            .filter(|_| idle && self.votes())
            .map(|at| at.max(earliest));
        let recover = (idle && !self.acceptor.voting).then_some(earliest);
        let due = tasks
            .chain(round)
            .chain(begin)
            .chain(open)
            .chain(recover)
            .chain(self.ask_at());
        due.fold(self.exchange_at, u64::min)
    }

    /// Takes one event at a time; `now`, in milliseconds, never falls.
    pub fn handle(&mut self, now: u64, event: Event, out: &mut Vec<Action>) {
        if now > self.wake_at() + STOOD_STILL {
            self.awake_at = now + EVACUATION;
        }
        self.now = now;
        // First, so that a process that stood still goes on with nothing that is over.
        self.settle_timers(now, out);
        match event {
            Event::Wake => {}
            Event::Call { id, call } => self.call(now, id, call, out),
            Event::Message { from, message } => self.hear(now, from, message, out),
            Event::Persisted { token } => self.persisted(now, token, out),
            Event::DiskFailed { reason } => self.disk_failed(now, reason, out),
            Event::DiskRestored => self.disk_restored(out),
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
        if let Some(reason) = self.storage_refusal() {
            return out.push(Action::Answer {
                id,
                status: 503,
                body: reason.into(),
            });
        }
        if self.tasks.len() >= WAITING {
            return out.push(Action::Answer {
                id,
                status: 503,
                body: "too many calls wait".into(),
            });
        }
        let work = match call {
            Call::Get => Work::Get { id },
            Call::Evacuate { zone, begin } => Work::Evacuate { id, zone, begin },
            Call::Patch(body) => match parse_patch(&body) {
                Ok(patch) => Work::Patch { id, patch },
                // That is refused wherever it comes in.
                Err(wrong) => {
                    return out.push(Action::Answer {
                        id,
                        status: 400,
                        body: wrong.to_string(),
                    });
                }
            },
        };
        let evacuates = matches!(work, Work::Evacuate { .. });
        if evacuates && now < self.awake_at && self.acceptor.guards.awake {
            // Its caller may have gone on to another machine long ago, and taken it back there.
            return out.push(Action::Answer {
                id,
                status: 503,
                body: "the store stood still".into(),
            });
        }
        let patience = if evacuates && self.acceptor.guards.late {
            EVACUATION
        } else {
            PATIENCE
        };
        self.tasks.push_back(Task {
            work,
            until: now + patience,
            proposed: false,
        });
    }

    fn persisted(&mut self, now: u64, token: u64, out: &mut Vec<Action>) {
        self.storage_synced(token);
        self.candidacy_synced(token);
        let later = self.owed.split_off(&(token + 1));
        for (_, Owed { to, message, since }) in std::mem::replace(&mut self.owed, later) {
            self.pacing.observe(now, now.saturating_sub(since));
            if matches!(message, Message::Accepted { .. }) && self.acceptor.guards.pacing {
                // Not from its arrival on: the round isn't late because this disk is.
                self.watch_open(now);
            }
            self.send(to, message, out);
        }
    }

    /// From now on it waits for what it accepted to be chosen, and then finishes it.
    fn watch_open(&mut self, now: u64) {
        let delay = self.pacing.open_delay(now);
        self.open_until = self.acceptor.open().then(|| now + delay + self.draw(delay));
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
        self.persist_and_remove(chosen, Vec::new(), pending, sync, owed, out);
    }

    fn persist_and_remove(
        &mut self,
        chosen: Vec<Item>,
        removed: Vec<ItemKey>,
        pending: bool,
        sync: bool,
        owed: Option<(Ipv4Addr, Message)>,
        out: &mut Vec<Action>,
    ) {
        if self.drops_writes() {
            return;
        }
        self.token += 1;
        let pending = pending.then(|| self.acceptor.pending.clone());
        let Acceptor {
            promised,
            voting,
            incarnation,
            ..
        } = self.acceptor;
        let (renewals, candidacy) = (
            self.acceptor.renewals.clone(),
            self.acceptor.candidacy.clone(),
        );
        let write = Write {
            chosen,
            removed,
            promised,
            pending,
            voting,
            incarnation,
            renewals,
            candidacy,
            sync,
        };
        out.push(Action::Persist {
            token: self.token,
            write,
        });
        match owed {
            Some((to, message)) if !self.acceptor.guards.sync => self.send(to, message, out),
            Some((to, message)) => {
                _ = self.owed.insert(
                    self.token,
                    Owed {
                        to,
                        message,
                        since: self.now,
                    },
                );
            }
            None => {}
        }
    }

    /// Takes chosen items, and has them written in passing.
    fn learn(&mut self, items: &[Item], out: &mut Vec<Action>) {
        let had = self.acceptor.open();
        let Learned { new, removed } = self.acceptor.learn(items);
        if new.is_empty() {
            return;
        }
        if let Some(round) = &mut self.round {
            round
                .learned
                .extend(new.iter().map(|item| item.key.clone()));
        }
        if !self.acceptor.open() {
            self.open_until = None;
        }
        self.count_comparisons();
        let closed = had && !self.acceptor.open();
        let told: Vec<Item> = new.iter().filter(|item| is_told(item)).cloned().collect();
        self.persist_and_remove(new, removed, closed, false, None, out);
        if !told.is_empty() {
            out.push(Action::Learned { items: told });
        }
        self.vote_as_founder(out);
    }

    fn guards(&self) -> Guards {
        self.acceptor.guards
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.draws = self.draws.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mixed(self.draws) % below.max(1)
    }
}
