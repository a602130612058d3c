//! One store: takes calls, runs rounds, votes, repairs, and keeps the roster.

use crate::acceptor::{Acceptor, Guards, Kept, Write};
use crate::call::{Call, Verdict, Work};
use crate::message::{Ballot, Message, Pending};
use crate::round::{majority, Outcome, Promised, Round, Task};
use crate::state::{mixed, roster_item, roster_key, voters, State};
use emberpin_config::{read_patch, Item};
use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;

/// A call that isn't done by then is told to be sent again.
const PATIENCE: u64 = 3_000;
/// And an evacuation, which has no version: its caller asks another store after a second of silence, and may then take
/// back what it asked for. It must not begin here after that.
const EVACUATION: u64 = 850;
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

/// What a store is told at its start.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its address.
    pub me: Ipv4Addr,
    /// The machines that were up when the settings were written.
    pub seeds: Vec<Ipv4Addr>,
    /// The first start of the whole system: the seeds are the first roster.
    pub bootstrap: bool,
    /// How many disks may be lost at once.
    pub tolerated: usize,
    /// Drawn at each start.
    pub seed: u64,
}

/// What a store hears.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Wake,
    /// From another store.
    Message {
        /// Who.
        from: Ipv4Addr,
        /// What.
        message: Message,
    },
    /// An [`Action::Persist`] is done.
    Persisted {
        /// Which.
        token: u64,
    },
    /// A call came.
    Call {
        /// Names the answer.
        id: u64,
        /// What is asked.
        call: Call,
    },
    /// The process is to end: the store leaves the roster, if that stays large enough.
    Leave,
}

/// What the host is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write this; [`Event::Persisted`] is owed if it is to be synced.
    Persist {
        /// Names it.
        token: u64,
        /// What.
        write: Write,
    },
    /// Send this to another store.
    Send {
        /// To whom.
        to: Ipv4Addr,
        /// What.
        message: Message,
    },
    /// The one answer to a call.
    Answer {
        /// Which.
        id: u64,
        /// An HTTP status.
        status: u16,
        /// The answer's body.
        body: String,
    },
    /// These items were learned to be chosen.
    Learned {
        /// The items.
        items: Vec<Item>,
    },
}

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

    // ---- what others say

    fn hear(&mut self, now: u64, from: Ipv4Addr, message: Message, out: &mut Vec<Action>) {
        if from != self.options.me {
            self.peers.entry(from).or_default().heard = now.max(1);
        }
        match message {
            Message::Prepare { ballot, roster, digests } => {
                if self.goes_by(from, ballot, &roster, out) {
                    let answer = self.acceptor.prepare(ballot, &digests);
                    self.counter = self.counter.max(ballot.counter);
                    self.answer(from, answer, false, out);
                }
            }
            Message::Accept { ballot, roster, chosen, items } => {
                if self.goes_by(from, ballot, &roster, out) {
                    let answer = self.acceptor.accept(ballot, items);
                    if matches!(answer, Message::Accepted { .. }) {
                        self.open_until = self.acceptor.open().then_some(now + OPEN);
                        if let Some(open) = self.open_until {
                            self.open_until = Some(open + self.draw(OPEN));
                        }
                    }
                    // Learned first or with it: in either order they are on the disk before the answer goes
                    // out.
                    self.learn(&chosen, out);
                    self.answer(from, answer, true, out);
                }
            }
            Message::Promise { ballot, pending, buckets, chosen } => {
                self.promise(now, from, ballot, pending, buckets, chosen, out);
            }
            Message::Accepted { ballot } => self.accepted(now, from, ballot, out),
            Message::Refused { ballot, promised } => {
                self.counter = self.counter.max(promised.counter);
                // One's own ballot comes back if a message came twice.
                if promised > ballot {
                    self.refused(now, from, ballot);
                }
            }
            Message::NotVoting { .. } => {}
            Message::Roster { ballot, roster } => {
                self.learn(std::slice::from_ref(&roster), out);
                if self
                    .round
                    .as_ref()
                    .is_some_and(|round| round.ballot == ballot && round.roster.ver < roster.ver)
                {
                    self.give_way(now, false);
                }
            }
            Message::Chosen { items } => self.learn(&items, out),
            Message::Exchange { seq, digest } => {
                let answer = match digest == self.state().digest() {
                    true => Message::Same { seq, voting: self.acceptor.voting },
                    false => Message::Differ { seq, digests: self.state().digests().to_vec() },
                };
                self.send(from, answer, out);
            }
            Message::Same { seq, voting } => self.compared(from, seq, voting),
            Message::Differ { seq, digests } => {
                let buckets = self.state().differing(&digests);
                let items = self.state().in_buckets(&buckets);
                if !items.is_empty() {
                    self.send(from, Message::Chosen { items }, out);
                }
                self.send(from, Message::Fetch { seq, buckets }, out);
            }
            Message::Fetch { seq, buckets } => {
                let items = self.state().in_buckets(&buckets);
                self.send(from, Message::Items { seq, items, voting: self.acceptor.voting }, out);
            }
            Message::Items { seq, items, voting } => {
                self.learn(&items, out);
                self.compared(from, seq, voting);
            }
        }
    }

    fn compared(&mut self, from: Ipv4Addr, seq: u64, voting: bool) {
        if let Some(peer) = self.peers.get_mut(&from).filter(|peer| peer.asked.0 == seq) {
            peer.compared = voting.then_some(peer.asked.1);
        }
    }

    /// Whether a round goes by the newest roster known here; what it goes by is chosen in any case.
    fn goes_by(&mut self, from: Ipv4Addr, ballot: Ballot, roster: &Item, out: &mut Vec<Action>) -> bool {
        match self.state().roster().cloned() {
            Some(newer) if newer.ver > roster.ver => {
                self.send(from, Message::Roster { ballot, roster: newer }, out);
                false
            }
            _ => {
                self.learn(std::slice::from_ref(roster), out);
                true
            }
        }
    }

    fn answer(&mut self, to: Ipv4Addr, answer: Message, pending: bool, out: &mut Vec<Action>) {
        match answer {
            Message::Promise { .. } | Message::Accepted { .. } => {
                self.persist(Vec::new(), pending, true, Some((to, answer)), out);
            }
            _ => self.send(to, answer, out),
        }
    }

    // ---- rounds

    fn settle_timers(&mut self, now: u64, out: &mut Vec<Action>) {
        if self.round.as_ref().is_some_and(|round| now >= round.until) {
            self.give_way(now, true);
        }
        let (due, kept) = self.tasks.drain(..).partition(|task| now >= task.until);
        self.tasks = kept;
        let due: VecDeque<Task> = due;
        due.into_iter().for_each(|task| again(task, out));
        // Also those whose items are proposed: they may come to be chosen, which 503 leaves open.
        if let Some(round) = &mut self.round {
            let (due, kept) = round.outcomes.drain(..).partition(|outcome| now >= outcome.task.until);
            round.outcomes = kept;
            let due: Vec<Outcome> = due;
            due.into_iter().for_each(|outcome| again(outcome.task, out));
        }
        if now >= self.exchange_at {
            self.exchange_at = now + EXCHANGE;
            self.exchange(now, out);
            self.tend_roster(now);
        }
        if self.leaving {
            // Another change may have come first.
            self.leave(now);
        }
        if self.round.is_none() && now >= self.round_at {
            self.begin(now, out);
        }
    }

    fn begin(&mut self, now: u64, out: &mut Vec<Action>) {
        let Some(roster) = self.state().roster().cloned() else { return };
        let me = self.options.me;
        self.tasks.retain(|task| !matches!(task.work, Work::Roster { ver, .. } if ver != roster.ver));
        self.next.take_if(|next| next.ver != roster.ver + 1);
        let recovers = !self.acceptor.voting && now >= self.started + self.forgotten();
        let repairs = self.open_until.is_some_and(|at| now >= at) && self.votes();
        if self.tasks.is_empty() && !recovers && !repairs && self.next.is_none() && !self.unconfirmed {
            return;
        }
        if repairs {
            self.open_until = Some(now + OPEN + self.draw(OPEN));
        }
        // A change of the roster goes alone, so that no call waits for machines that are yet to join.
        let mut next = self.next.take();
        if let (None, Some(Task { work: Work::Roster { ver, voters }, .. })) = (&next, self.tasks.front()) {
            next = Some(roster_item(ver + 1, voters));
        }
        self.counter += 1;
        let ballot = Ballot { counter: self.counter, node: me.to_bits(), incarnation: self.incarnation };
        let until = now + ROUND + MORE * u64::from(self.failed.min(3));
        let mut round =
            Round::new(ballot, until, roster.clone(), next.filter(|_| self.acceptor.guards.joint));
        round.recovers = recovers;
        round.known = (!self.acceptor.guards.newest).then(|| self.state().configuration().clone());
        let (targets, digests) = (round.targets(), self.state().digests().to_vec());
        self.round = Some(round);
        for to in targets {
            let (roster, digests) = (roster.clone(), digests.clone());
            self.send(to, Message::Prepare { ballot, roster, digests }, out);
        }
    }

    /// Rounds that a store promised something before it lost its disk are over after so long; there are none
    /// at first.
    fn forgotten(&self) -> u64 {
        if self.options.bootstrap {
            0
        } else {
            FORGOTTEN
        }
    }

    fn refused(&mut self, now: u64, from: Ipv4Addr, ballot: Ballot) {
        let Some(round) = self.round.as_mut().filter(|round| round.ballot == ballot) else { return };
        round.refused.insert(from);
        round.until = round.until.min(now + REFUSED);
        if round.lost() {
            self.give_way(now, true);
        }
    }

    /// Ends the round for a later one.
    fn give_way(&mut self, now: u64, pause: bool) {
        let Some(round) = self.round.take() else { return };
        for outcome in round.outcomes.into_iter().rev() {
            self.tasks.push_front(outcome.task);
        }
        self.failed = if pause { (self.failed + 1).min(6) } else { self.failed };
        let pause = if pause { self.draw(30 << self.failed.min(4)) } else { 0 };
        self.round_at = now + pause;
    }

    #[allow(clippy::too_many_arguments)]
    fn promise(
        &mut self,
        now: u64,
        from: Ipv4Addr,
        ballot: Ballot,
        pending: Pending,
        buckets: Vec<u8>,
        chosen: Vec<Item>,
        out: &mut Vec<Action>,
    ) {
        let Some(round) = self.round.as_mut().filter(|round| round.ballot == ballot) else { return };
        if round.proposal.is_some() {
            return;
        }
        let versions = chosen.iter().map(|item| (item.key.clone(), item.ver)).collect();
        round.promises.insert(from, Promised { buckets, versions });
        if pending.ballot > round.latest.ballot {
            round.latest = pending;
        }
        self.learn(&chosen, out);
        let Some(round) = self.round.as_ref().filter(|round| round.promised(self.options.me)) else { return };
        if self.state().roster().is_some_and(|roster| roster.ver > round.roster.ver) {
            return self.give_way(now, false);
        }
        // Whoever has promised by this roster has it on its disk.
        self.unconfirmed = false;
        self.propose(now, out);
    }

    /// Judges what is asked on all that is or may be chosen, and proposes.
    fn propose(&mut self, now: u64, out: &mut Vec<Action>) {
        let Some(mut round) = self.round.take() else { return };
        let open = round.latest.items.iter().filter(|item| !self.state().covers(item));
        let mut items: Vec<Item> = open.filter(|_| self.acceptor.guards.carry).cloned().collect();
        let change = items.iter().find(|item| item.key == roster_key()).cloned();
        if change.is_some() && change != round.next && self.acceptor.guards.joint {
            // Whoever it seats has to promise too.
            self.next = change;
            self.round = Some(round);
            return self.give_way(now, false);
        }
        if round.recovers {
            // All that this store may have had a part in is on one of those that promised.
            self.acceptor.promised = self.acceptor.promised.max(round.ballot);
            self.acceptor.pending = Pending { ballot: round.latest.ballot, items };
            self.open_until = self.acceptor.open().then_some(now + OPEN);
            self.acceptor.voting = true;
            let all = self.state().iter().cloned().collect();
            self.failed = 0;
            return self.persist(all, true, true, None, out);
        }
        let carried = !items.is_empty();
        let mut whole =
            round.known.take().map_or(Cow::Borrowed(self.acceptor.state.configuration()), Cow::Owned);
        items.iter().for_each(|item| _ = whole.to_mut().merge(item.clone()));
        for mut task in std::mem::take(&mut self.tasks) {
            // A change of the roster, and what it must not hold up, each have their own rounds.
            let waits = match &task.work {
                Work::Roster { ver, voters } => {
                    change.is_some() || round.next != Some(roster_item(ver + 1, voters))
                }
                _ => round.next.is_some(),
            };
            if waits && self.acceptor.guards.joint {
                self.tasks.push_back(task);
                continue;
            }
            let (status, body) = match task.work.evaluate(&whole) {
                Verdict::Choose(new) => {
                    new.iter().for_each(|item| _ = whole.to_mut().merge(item.clone()));
                    items.extend(new);
                    task.proposed = true;
                    (200, String::new())
                }
                Verdict::Done(body) => (200, body),
                // Something of it may be in force.
                Verdict::Refuse(..) if task.proposed => (503, "send it again".into()),
                Verdict::Refuse(status, body) => {
                    if !self.acceptor.guards.whole {
                        items.extend(task.work.alone(&whole));
                    }
                    (status, body)
                }
            };
            round.outcomes.push(Outcome { task, status, body });
        }
        if !carried && items.is_empty() {
            self.failed = 0;
            return tell(round.outcomes, out);
        }
        let chosen = if self.acceptor.guards.lacking { round.lacking(self.state()) } else { Vec::new() };
        let (ballot, roster, targets) = (round.ballot, round.roster.clone(), round.targets());
        round.proposal = Some(items.clone());
        self.round = Some(round);
        for to in targets {
            let (roster, chosen, items) = (roster.clone(), chosen.clone(), items.clone());
            self.send(to, Message::Accept { ballot, roster, chosen, items }, out);
        }
    }

    fn accepted(&mut self, now: u64, from: Ipv4Addr, ballot: Ballot, out: &mut Vec<Action>) {
        let Some(round) = self.round.as_mut().filter(|round| round.ballot == ballot) else { return };
        round.accepted.insert(from);
        if !round.chosen(self.options.tolerated) && self.acceptor.guards.spread {
            return;
        }
        let Some(round) = self.round.take() else { return };
        let items = round.proposal.clone().unwrap_or_default();
        self.learn(&items, out);
        // Until its own majority has it, a lost disk might leave none that knows, and of the old one too few.
        self.unconfirmed |= items.iter().any(|item| item.key == roster_key());
        let mut told: BTreeSet<Ipv4Addr> = round.targets();
        told.extend(self.others(now));
        told.remove(&self.options.me);
        for to in told {
            self.send(to, Message::Chosen { items: items.clone() }, out);
        }
        self.failed = 0;
        tell(round.outcomes, out);
    }

    // ---- copies and the roster

    /// With whom it compares.
    fn others(&self, now: u64) -> BTreeSet<Ipv4Addr> {
        let mut others: BTreeSet<Ipv4Addr> = self.voters().into_iter().collect();
        if !self.votes() {
            others.extend(&self.options.seeds);
        }
        let near = self.peers.iter().filter(|(_, peer)| peer.heard > 0 && now < peer.heard + SILENT);
        others.extend(near.map(|(peer, _)| *peer));
        others.remove(&self.options.me);
        others
    }

    fn exchange(&mut self, now: u64, out: &mut Vec<Action>) {
        let others = self.others(now);
        self.peers.retain(|peer, _| others.contains(peer));
        self.seq += 1;
        let (seq, digest) = (self.seq, self.state().digest());
        for to in others {
            self.peers.entry(to).or_default().asked = (seq, now);
            self.send(to, Message::Exchange { seq, digest }, out);
        }
    }

    /// Asks for the roster without itself, unless that is on its way or would be too small.
    fn leave(&mut self, now: u64) {
        let Some(roster) = self.state().roster() else { return };
        let (mut wanted, ver) = (voters(roster), roster.ver);
        let asked = |task: &Task| matches!(task.work, Work::Roster { ver: asked, .. } if asked == ver);
        let proposed = self.round.iter().flat_map(|round| &round.outcomes).map(|outcome| &outcome.task);
        if wanted.len() <= self.fewest() || self.tasks.iter().chain(proposed).any(asked) {
            return;
        }
        let had = wanted.len();
        wanted.retain(|voter| *voter != self.options.me);
        if wanted.len() < had {
            let work = Work::Roster { ver, voters: wanted };
            // Before calls: they can be sent to others.
            self.tasks.push_front(Task { work, until: now + PATIENCE, proposed: false });
        }
    }

    /// Takes a place on the roster if it has none, or frees the place of a machine that is gone.
    fn tend_roster(&mut self, now: u64) {
        let Some(roster) = self.state().roster() else { return };
        let (voters, ver, me) = (voters(roster), roster.ver, self.options.me);
        let busy = self.tasks.iter().any(|task| matches!(task.work, Work::Roster { .. }));
        if !self.acceptor.voting || busy || self.leaving || !self.settled(now) {
            return;
        }
        let silent = |voter: &Ipv4Addr, since: u64| {
            let heard = self.peers.get(voter).map_or(0, |peer| peer.heard).max(self.started);
            *voter != me && now >= heard + since
        };
        let fewest = self.fewest();
        let mut wanted = voters.clone();
        if voters.contains(&me) {
            if let Some(gone) = voters.iter().position(|voter| silent(voter, GONE)) {
                if voters.len() > fewest {
                    wanted.remove(gone);
                }
            }
        } else {
            // One that was just silent may be about to come back, or to be gone.
            if voters.iter().any(|voter| silent(voter, 3 * EXCHANGE) && !silent(voter, VACANT)) {
                return;
            }
            wanted.push(me);
            let mut spare = (voters.len() - majority(&voters)).min(wanted.len().saturating_sub(fewest));
            wanted.retain(|voter| {
                let leaves = spare > 0 && silent(voter, VACANT);
                spare -= usize::from(leaves);
                !leaves
            });
        }
        wanted.sort_unstable();
        if wanted != voters {
            let work = Work::Roster { ver, voters: wanted };
            self.tasks.push_back(Task { work, until: now + PATIENCE, proposed: false });
        }
    }
}

fn tell(outcomes: Vec<Outcome>, out: &mut Vec<Action>) {
    for Outcome { task, status, body } in outcomes {
        if let Some(id) = task.work.id() {
            out.push(Action::Answer { id, status, body });
        }
    }
}

fn again(task: Task, out: &mut Vec<Action>) {
    if let Some(id) = task.work.id() {
        out.push(Action::Answer {
            id,
            status: 503,
            body: "no majority of the stores answered in time".into(),
        });
    }
}
