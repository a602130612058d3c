//! The table of keys: who is first, who waits, who is told what came of it, and what gives way when it is full.
//!
//! An entry whose request has run, or may have, is never forgotten before its retention time is over: forgetting it
//! could sign twice. What gives way is the *answer* kept with it: a repeat is then told that the work is done
//! and that its answer is not kept any more. When no entry can be made, new work is refused with the time at
//! which the oldest entry goes.

use crate::fingerprint::Fingerprint;
use crate::key::Key;
use crate::record::{Customer, Known, Millis, Record};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// One request as the host names it; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What is kept of an answer has a size.
pub trait Weight {
    /// Bytes that it holds.
    fn weight(&self) -> usize;
}

/// The bounds. A customer's are its share of the table's, so that no one firm can push out the others' keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Entries in all.
    pub entries: usize,
    /// Bytes of kept answers in all.
    pub answer_bytes: usize,
    /// Requests that wait for the first of their key.
    pub waiters_per_key: usize,
    /// Requests of one customer that wait.
    pub waiters_per_customer: usize,
    /// The part of entries and of bytes that one customer may hold, above 0 and at most 1.
    pub customer_share: f64,
    /// How long an outcome is kept.
    pub retention: Millis,
    /// Nothing is let on so soon after the start, as what the life before let on is forgotten.
    pub quiet: Millis,
    /// A repeat waits for the first; else it is told that the first is in flight.
    pub wait: bool,
    /// Records are written to a log, and a first request goes on only once its record counts there.
    pub recorded: bool,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<A> {
    /// A keyed request came.
    Arrived {
        /// Its name from now on.
        ticket: Ticket,
        /// Whose it is.
        customer: Customer,
        /// Its key.
        key: Key,
        /// What it looks like.
        fingerprint: Fingerprint,
    },
    /// A first request was served.
    Served {
        /// Which.
        ticket: Ticket,
        /// With what.
        answer: A,
    },
    /// A first request was refused, and is known not to have run.
    Refused {
        /// Which.
        ticket: Ticket,
        /// With what.
        answer: A,
    },
    /// A first request failed, and may have run.
    Failed {
        /// Which.
        ticket: Ticket,
        /// With what.
        answer: A,
    },
    /// A request's client left, or its patience is over: it is owed nothing more. A first request goes on.
    Left {
        /// Which.
        ticket: Ticket,
    },
    /// A first request was given up before anything of it was sent; the next that waits stands in its place.
    Released {
        /// Which.
        ticket: Ticket,
    },
    /// What came of a first request will never be heard: it may have run.
    Lost {
        /// Which.
        ticket: Ticket,
    },
    /// A key's request was served, whoever let it on.
    Learned {
        /// Whose it is.
        customer: Customer,
        /// Its key.
        key: Key,
        /// What it looks like.
        fingerprint: Fingerprint,
        /// With what.
        answer: A,
    },
    /// The record of a first request counts.
    Written {
        /// Which.
        ticket: Ticket,
    },
    /// The record of a first request could not be written.
    Unwritten {
        /// Which.
        ticket: Ticket,
    },
    /// Time has passed.
    Tick,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action<A> {
    /// This is the first of its key: let it on, and say what came of it.
    Pass(Ticket),
    /// Keep it until it is told something, or leaves.
    Hold(Ticket),
    /// Nobody wants this request any more, and nothing of it was sent: forget it.
    Drop(Ticket),
    /// Append this to the log. With a ticket, say whether it counts.
    Record(Record<A>, Option<Ticket>),
    /// Its one answer.
    Tell(Ticket, Telling<A>),
}

/// What a request is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Telling<A> {
    /// To the first: its own outcome.
    Own(A),
    /// To a repeat: the outcome of the first, as it was.
    Replay(A),
    /// The key stands for another request: 422.
    Mismatch,
    /// The first is in flight: 409. Also when as many wait as may.
    InFlight,
    /// The first failed and may have run; it is never sent again under this key: 409.
    Unknown,
    /// The first was served, and its answer is not kept any more: 409.
    NotKept,
    /// There is no place for another key: come back after this time.
    Full {
        /// Until the entry that is in the way goes.
        retry_after: Millis,
    },
    /// Too soon after a start to know whether it ran before; it is never sent under this key: 409.
    Quiet,
    /// The log cannot be written, so nothing was sent: come back later.
    NotWritten,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EntryId(u64);

/// What is known of a key.
#[derive(Clone)]
enum State<A> {
    /// The first is out, and these wait for it; it is told its outcome unless it has left. It is not out yet while
    /// its record is being written.
    InFlight {
        first: Option<Ticket>,
        waiters: Vec<Ticket>,
        writing: bool,
    },
    /// Served; the answer unless it gave way.
    Served { answer: Option<A> },
    /// It may have run.
    Unknown,
}

#[derive(Clone)]
struct Entry<A> {
    customer: Customer,
    key: Key,
    fingerprint: Fingerprint,
    state: State<A>,
    /// When it is forgotten, once it has an outcome.
    expires: Millis,
}

/// What one customer holds.
#[derive(Clone, Default)]
struct Holding {
    entries: usize,
    bytes: usize,
    waiters: usize,
    /// Its entries with an outcome, the oldest first.
    done: VecDeque<EntryId>,
    /// Those of them whose answer is kept.
    answers: VecDeque<EntryId>,
}

/// How far a sweep over all entries has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sweep(u64);

/// The table.
#[derive(Clone)]
pub struct Table<A> {
    limits: Limits,
    /// The latest time seen: a clock that steps back stands still here.
    now: Millis,
    /// The quiet time after the start ends then.
    opens: Millis,
    /// Later for these customers, each of whom holds its whole share.
    extended: BTreeMap<Customer, Millis>,
    next: u64,
    bytes: usize,
    entries: BTreeMap<EntryId, Entry<A>>,
    by_key: BTreeMap<(Customer, Key), EntryId>,
    /// First requests that are out, and requests that wait.
    tickets: BTreeMap<Ticket, EntryId>,
    customers: BTreeMap<Customer, Holding>,
    /// Entries with an outcome, the oldest first: all are kept for the same time.
    done: VecDeque<EntryId>,
    /// Customers by the bytes that they hold.
    by_bytes: BTreeSet<(usize, Customer)>,
}

impl<A: Clone + Weight> Table<A> {
    /// An empty table of a process that starts now.
    pub fn new(limits: Limits, now: Millis) -> Table<A> {
        let opens = now + limits.quiet;
        Table {
            limits,
            now,
            opens,
            extended: BTreeMap::new(),
            next: 0,
            bytes: 0,
            entries: BTreeMap::new(),
            by_key: BTreeMap::new(),
            tickets: BTreeMap::new(),
            customers: BTreeMap::new(),
            done: VecDeque::new(),
            by_bytes: BTreeSet::new(),
        }
    }

    /// Entries that there are.
    pub fn entries(&self) -> usize {
        self.entries.len()
    }

    /// Bytes of answers that are kept.
    pub fn answer_bytes(&self) -> usize {
        self.bytes
    }

    /// Takes an event, and appends what is to be done about it.
    pub fn handle(&mut self, now: Millis, event: Event<A>, actions: &mut Vec<Action<A>>) {
        self.now = self.now.max(now);
        self.expire();
        match event {
            Event::Arrived {
                ticket,
                customer,
                key,
                fingerprint,
            } => {
                let action = self.arrive(ticket, customer, key, fingerprint);
                if let (Action::Hold(_), Some(record)) = (&action, self.claim(ticket)) {
                    actions.push(Action::Record(record, Some(ticket)));
                }
                actions.push(action);
            }
            Event::Released { ticket } => self.release(ticket, actions),
            Event::Lost { ticket } => self.lose(ticket, actions),
            Event::Learned {
                customer,
                key,
                fingerprint,
                answer,
            } => {
                self.learn(customer, key, fingerprint, answer, actions);
            }
            Event::Written { ticket } => self.written(ticket, actions),
            Event::Unwritten { ticket } => self.unwritten(ticket, actions),
            Event::Served { ticket, answer } => {
                self.conclude(ticket, answer, Outcome::Served, actions);
            }
            Event::Refused { ticket, answer } => {
                self.conclude(ticket, answer, Outcome::Refused, actions);
            }
            Event::Failed { ticket, answer } => {
                self.conclude(ticket, answer, Outcome::Failed, actions);
            }
            Event::Left { ticket } => {
                if self.leave(ticket) {
                    actions.push(Action::Drop(ticket));
                }
            }
            Event::Tick => {}
        }
    }

    fn arrive(
        &mut self,
        ticket: Ticket,
        customer: Customer,
        key: Key,
        fingerprint: Fingerprint,
    ) -> Action<A> {
        let known = self.by_key.get(&(customer, key.clone())).copied();
        let Some((id, entry)) = known.and_then(|id| Some((id, self.entries.get_mut(&id)?))) else {
            return self.begin(ticket, customer, key, fingerprint);
        };
        if entry.fingerprint != fingerprint {
            return Action::Tell(ticket, Telling::Mismatch);
        }
        let holding = self.customers.entry(customer).or_default();
        match &mut entry.state {
            State::Served {
                answer: Some(answer),
            } => Action::Tell(ticket, Telling::Replay(answer.clone())),
            State::Served { answer: None } => Action::Tell(ticket, Telling::NotKept),
            State::Unknown => Action::Tell(ticket, Telling::Unknown),
            State::InFlight { waiters, .. } => {
                let room = waiters.len() < self.limits.waiters_per_key
                    && holding.waiters < self.limits.waiters_per_customer;
                if !self.limits.wait || !room {
                    return Action::Tell(ticket, Telling::InFlight);
                }
                waiters.push(ticket);
                holding.waiters += 1;
                self.tickets.insert(ticket, id);
                Action::Hold(ticket)
            }
        }
    }

    /// A key that is not known: the first of it, if there is a place.
    fn begin(
        &mut self,
        ticket: Ticket,
        customer: Customer,
        key: Key,
        fingerprint: Fingerprint,
    ) -> Action<A> {
        let own = self.customers.get(&customer);
        let full = self.entries.len() >= self.limits.entries;
        let own_full = own.is_some_and(|own| own.entries >= self.share(self.limits.entries));
        let opens = self
            .extended
            .get(&customer)
            .map_or(self.opens, |opens| opens.max(self.opens));
        if self.now < opens {
            let later = self.now + self.limits.retention;
            // What is seen now may have run before the start. Told to come back, it would be taken for new work then:
            // so it is kept as what may have run. Where no place is left for that, the quiet lasts on, for whom
            // there is none.
            if full {
                self.opens = later;
            } else if own_full {
                self.extended.insert(customer, later);
            } else {
                let id = self.insert(customer, key, fingerprint, State::Unknown, later);
                self.done.push_back(id);
                self.customers
                    .entry(customer)
                    .or_default()
                    .done
                    .push_back(id);
            }
            return Action::Tell(ticket, Telling::Quiet);
        }
        if full || own_full {
            // Of both that are in the way the later to go counts. While all are in flight, one of them goes, at
            // the soonest, a whole retention from now.
            let goes = |done: Option<&VecDeque<EntryId>>| {
                let oldest = done
                    .and_then(|done| done.front())
                    .and_then(|id| self.entries.get(id));
                oldest.map_or(self.limits.retention, |entry| entry.expires - self.now)
            };
            let table = if full { goes(Some(&self.done)) } else { 0.0 };
            let share = if own_full {
                goes(own.map(|own| &own.done))
            } else {
                0.0
            };
            return Action::Tell(
                ticket,
                Telling::Full {
                    retry_after: table.max(share),
                },
            );
        }
        let writing = self.limits.recorded;
        let state = State::InFlight {
            first: Some(ticket),
            waiters: Vec::new(),
            writing,
        };
        let id = self.insert(customer, key, fingerprint, state, f64::INFINITY);
        self.tickets.insert(ticket, id);
        match writing {
            true => Action::Hold(ticket),
            false => Action::Pass(ticket),
        }
    }

    /// The record that a first request waits for; none for one that waits for something else.
    fn claim(&self, ticket: Ticket) -> Option<Record<A>> {
        let entry = self.entries.get(self.tickets.get(&ticket)?)?;
        match &entry.state {
            State::InFlight {
                first,
                writing: true,
                ..
            } if *first == Some(ticket) => Some(self.record(entry, Known::Claimed)),
            _ => None,
        }
    }

    fn record(&self, entry: &Entry<A>, known: Known<A>) -> Record<A> {
        let Entry {
            customer,
            key,
            fingerprint,
            ..
        } = entry;
        Record {
            customer: *customer,
            key: key.clone(),
            fingerprint: *fingerprint,
            at: self.now,
            known,
        }
    }

    fn written(&mut self, ticket: Ticket, actions: &mut Vec<Action<A>>) {
        let Some(id) = self.tickets.get(&ticket).copied() else {
            return;
        };
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let State::InFlight {
            first,
            waiters,
            writing,
        } = &mut entry.state
        else {
            return;
        };
        if !std::mem::take(writing) {
            return;
        }
        if first.is_some() || !waiters.is_empty() {
            actions.push(Action::Pass(ticket));
            return;
        }
        // Whoever wanted it left before anything was sent: the key is as if it had never come.
        self.tickets.remove(&ticket);
        if let Some(entry) = self.entries.get(&id) {
            actions.push(Action::Record(self.record(entry, Known::Gone), None));
        }
        actions.push(Action::Drop(ticket));
        self.forget(id);
    }

    /// The request that holds a key that has no outcome yet.
    pub fn first(&self, customer: Customer, key: &Key) -> Option<Ticket> {
        match &self
            .entries
            .get(self.by_key.get(&(customer, key.clone()))?)?
            .state
        {
            State::InFlight { first, .. } => *first,
            State::Served { .. } | State::Unknown => None,
        }
    }

    fn release(&mut self, ticket: Ticket, actions: &mut Vec<Action<A>>) {
        let Some(id) = self.tickets.get(&ticket).copied() else {
            return;
        };
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let State::InFlight {
            first,
            waiters,
            writing,
        } = &mut entry.state
        else {
            return;
        };
        if *first != Some(ticket) {
            self.leave(ticket);
            return;
        }
        self.tickets.remove(&ticket);
        if waiters.is_empty() {
            if self.limits.recorded {
                if let Some(entry) = self.entries.get(&id) {
                    actions.push(Action::Record(self.record(entry, Known::Gone), None));
                }
            }
            return self.forget(id);
        }
        let next = waiters.remove(0);
        *first = Some(next);
        let writing = *writing;
        if let Some(holding) = self.customers.get_mut(&entry.customer) {
            holding.waiters -= 1;
        }
        match self.entries.get(&id) {
            Some(entry) if writing => {
                actions.push(Action::Record(
                    self.record(entry, Known::Claimed),
                    Some(next),
                ));
            }
            _ => actions.push(Action::Pass(next)),
        }
    }

    fn lose(&mut self, ticket: Ticket, actions: &mut Vec<Action<A>>) {
        let Some(id) = self.tickets.get(&ticket).copied() else {
            return;
        };
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        if !matches!(&entry.state, State::InFlight { first, .. } if *first == Some(ticket)) {
            self.leave(ticket);
            return;
        }
        let State::InFlight { waiters, .. } = std::mem::replace(&mut entry.state, State::Unknown)
        else {
            return;
        };
        self.tickets.remove(&ticket);
        self.settle(id, waiters, &Telling::Unknown, actions);
        if let (true, Some(entry)) = (self.limits.recorded, self.entries.get(&id)) {
            actions.push(Action::Record(self.record(entry, Known::Unknown), None));
        }
    }

    /// An entry has an outcome from now on, and these that waited are told so.
    fn settle(
        &mut self,
        id: EntryId,
        waiters: Vec<Ticket>,
        told: &Telling<A>,
        actions: &mut Vec<Action<A>>,
    ) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        entry.expires = self.now + self.limits.retention;
        let holding = self.customers.entry(entry.customer).or_default();
        holding.waiters -= waiters.len();
        holding.done.push_back(id);
        self.done.push_back(id);
        for waiter in waiters {
            self.tickets.remove(&waiter);
            actions.push(Action::Tell(waiter, told.clone()));
        }
    }

    fn learn(
        &mut self,
        customer: Customer,
        key: Key,
        fingerprint: Fingerprint,
        answer: A,
        actions: &mut Vec<Action<A>>,
    ) {
        let known = self.by_key.get(&(customer, key.clone())).copied();
        let id = match known.and_then(|id| self.entries.get_mut(&id).map(|entry| (id, entry))) {
            Some((_, entry)) if entry.fingerprint != fingerprint => return,
            Some((id, entry)) => match &mut entry.state {
                State::Served { .. } => return,
                // It has its place among the outcomes already.
                State::Unknown => {
                    entry.state = State::Served { answer: None };
                    id
                }
                State::InFlight { first, waiters, .. } => {
                    let (first, waiters) = (first.take(), std::mem::take(waiters));
                    entry.state = State::Served { answer: None };
                    if let Some(first) = first {
                        self.tickets.remove(&first);
                        actions.push(Action::Tell(first, Telling::Own(answer.clone())));
                    }
                    self.settle(id, waiters, &Telling::Replay(answer.clone()), actions);
                    id
                }
            },
            // More than the bound if need be: what has run is never forgotten.
            None => {
                let id = self.insert(
                    customer,
                    key,
                    fingerprint,
                    State::Served { answer: None },
                    0.0,
                );
                self.settle(id, Vec::new(), &Telling::NotKept, actions);
                id
            }
        };
        if let (true, Some(entry)) = (self.limits.recorded, self.entries.get(&id)) {
            actions.push(Action::Record(
                self.record(entry, Known::Served(Some(answer.clone()))),
                None,
            ));
        }
        self.keep(id, customer, answer);
    }

    fn unwritten(&mut self, ticket: Ticket, actions: &mut Vec<Action<A>>) {
        let Some(id) = self.tickets.get(&ticket).copied() else {
            return;
        };
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let State::InFlight {
            first,
            waiters,
            writing: true,
        } = &mut entry.state
        else {
            return;
        };
        let (first, waiters, customer) = (*first, std::mem::take(waiters), entry.customer);
        self.tickets.remove(&ticket);
        if let Some(holding) = self.customers.get_mut(&customer) {
            holding.waiters -= waiters.len();
        }
        actions.push(Action::Drop(ticket));
        for waiter in first.into_iter().chain(waiters) {
            self.tickets.remove(&waiter);
            actions.push(Action::Tell(waiter, Telling::NotWritten));
        }
        self.forget(id);
    }

    /// Takes a record that an earlier life wrote. Records come in the order in which they were written, before any
    /// event; [`Table::restored`] follows the last. `same_clock` if that life's clock can be compared with this
    /// one's.
    pub fn restore(&mut self, record: Record<A>, same_clock: bool) {
        let Record {
            customer,
            key,
            fingerprint,
            at,
            known,
        } = record;
        if let Some(id) = self.by_key.get(&(customer, key.clone())).copied() {
            self.forget_with_answer(id);
        }
        let kept = if same_clock {
            at.min(self.now)
        } else {
            self.now
        };
        let (expires, answer) = match known {
            Known::Gone => return,
            // It may have run until that life's end, which nothing tells.
            Known::Claimed => (self.now + self.limits.retention, None),
            Known::Unknown => (kept + self.limits.retention, None),
            Known::Served(answer) => (kept + self.limits.retention, Some(answer)),
        };
        if expires <= self.now {
            return;
        }
        let state = match answer {
            Some(_) => State::Served { answer: None },
            None => State::Unknown,
        };
        let id = self.insert(customer, key, fingerprint, state, expires);
        if let Some(Some(answer)) = answer {
            self.keep(id, customer, answer);
        }
    }

    /// All that earlier lives wrote has been taken.
    pub fn restored(&mut self) {
        let mut ids: Vec<(Millis, EntryId)> = self
            .entries
            .iter()
            .map(|(id, entry)| (entry.expires, *id))
            .collect();
        ids.sort_by(|one, other| one.0.total_cmp(&other.0).then(one.1.cmp(&other.1)));
        for holding in self.customers.values_mut() {
            holding.done.clear();
            holding.answers.clear();
        }
        self.done = ids.iter().map(|(_, id)| *id).collect();
        for (_, id) in ids {
            let Some(entry) = self.entries.get(&id) else {
                continue;
            };
            let holding = self.customers.entry(entry.customer).or_default();
            holding.done.push_back(id);
            if matches!(entry.state, State::Served { answer: Some(_) }) {
                holding.answers.push_back(id);
            }
        }
    }

    /// The records of some entries more, and how far that is; all have been told when it comes back without a place.
    /// What is told to the log of changes meanwhile stands behind these there, and so holds.
    pub fn sweep(&self, from: Sweep, most: usize) -> (Vec<Record<A>>, Option<Sweep>) {
        let mut records = Vec::new();
        for (id, entry) in self.entries.range(EntryId(from.0)..) {
            if records.len() >= most {
                return (records, Some(Sweep(id.0)));
            }
            let (known, at) = match &entry.state {
                State::InFlight { .. } => (Known::Claimed, self.now),
                State::Served { answer } => (
                    Known::Served(answer.clone()),
                    entry.expires - self.limits.retention,
                ),
                State::Unknown => (Known::Unknown, entry.expires - self.limits.retention),
            };
            records.push(Record {
                at,
                ..self.record(entry, known)
            });
        }
        (records, None)
    }

    fn insert(
        &mut self,
        customer: Customer,
        key: Key,
        fingerprint: Fingerprint,
        state: State<A>,
        expires: Millis,
    ) -> EntryId {
        let id = EntryId(self.next);
        self.next += 1;
        self.entries.insert(
            id,
            Entry {
                customer,
                key: key.clone(),
                fingerprint,
                state,
                expires,
            },
        );
        self.by_key.insert((customer, key), id);
        self.customers.entry(customer).or_default().entries += 1;
        id
    }

    /// A customer's part of a bound: one at least.
    fn share(&self, of: usize) -> usize {
        ((of as f64 * self.limits.customer_share) as usize).max(1)
    }

    fn conclude(
        &mut self,
        ticket: Ticket,
        answer: A,
        outcome: Outcome,
        actions: &mut Vec<Action<A>>,
    ) {
        let Some(id) = self.tickets.remove(&ticket) else {
            return;
        };
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let state = match outcome {
            Outcome::Served => State::Served { answer: None },
            Outcome::Refused | Outcome::Failed => State::Unknown,
        };
        let State::InFlight { first, waiters, .. } = std::mem::replace(&mut entry.state, state)
        else {
            return;
        };
        let customer = entry.customer;
        entry.expires = self.now + self.limits.retention;
        if first.is_some() {
            actions.push(Action::Tell(ticket, Telling::Own(answer.clone())));
        }
        if let Some(holding) = self.customers.get_mut(&customer) {
            holding.waiters -= waiters.len();
        }
        for waiter in waiters {
            self.tickets.remove(&waiter);
            actions.push(Action::Tell(waiter, Telling::Replay(answer.clone())));
        }
        if let (true, Some(entry)) = (self.limits.recorded, self.entries.get(&id)) {
            let known = match outcome {
                Outcome::Served => Known::Served(Some(answer.clone())),
                Outcome::Refused => Known::Gone,
                Outcome::Failed => Known::Unknown,
            };
            actions.push(Action::Record(self.record(entry, known), None));
        }
        match outcome {
            // It never ran: a repeat is new work.
            Outcome::Refused => self.forget(id),
            Outcome::Served | Outcome::Failed => {
                self.done.push_back(id);
                self.customers
                    .entry(customer)
                    .or_default()
                    .done
                    .push_back(id);
            }
        }
        if outcome == Outcome::Served {
            self.keep(id, customer, answer);
        }
    }

    /// Keeps an answer, within the customer's share and the whole; the oldest of its own gives way first, then the
    /// oldest of whoever holds most.
    fn keep(&mut self, id: EntryId, customer: Customer, answer: A) {
        let weight = answer.weight();
        let share = self
            .share(self.limits.answer_bytes)
            .min(self.limits.answer_bytes);
        if weight > share {
            return;
        }
        while self.held(customer) + weight > share && self.let_go_of_answer(customer) {}
        while self.bytes + weight > self.limits.answer_bytes {
            let most = self.by_bytes.last().map(|(_, customer)| *customer);
            if !most.is_some_and(|customer| self.let_go_of_answer(customer)) {
                return;
            }
        }
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.state = State::Served {
                answer: Some(answer),
            };
            self.customers
                .entry(customer)
                .or_default()
                .answers
                .push_back(id);
            self.change_bytes(customer, weight, 0);
        }
    }

    fn held(&self, customer: Customer) -> usize {
        self.customers
            .get(&customer)
            .map_or(0, |holding| holding.bytes)
    }

    /// Lets go of a customer's oldest kept answer; false if there is none.
    fn let_go_of_answer(&mut self, customer: Customer) -> bool {
        let oldest = self
            .customers
            .get_mut(&customer)
            .and_then(|holding| holding.answers.pop_front());
        let Some(entry) = oldest.and_then(|id| self.entries.get_mut(&id)) else {
            return false;
        };
        if let State::Served { answer } = &mut entry.state {
            let weight = answer.take().map_or(0, |answer| answer.weight());
            self.change_bytes(customer, 0, weight);
        }
        true
    }

    fn change_bytes(&mut self, customer: Customer, more: usize, less: usize) {
        let holding = self.customers.entry(customer).or_default();
        self.by_bytes.remove(&(holding.bytes, customer));
        holding.bytes = holding.bytes + more - less;
        self.bytes = self.bytes + more - less;
        if holding.bytes > 0 {
            self.by_bytes.insert((holding.bytes, customer));
        }
    }

    /// Takes a request out that waits; false if it is a first, or none.
    fn leave(&mut self, ticket: Ticket) -> bool {
        let Some(id) = self.tickets.get(&ticket).copied() else {
            return false;
        };
        let Some(entry) = self.entries.get_mut(&id) else {
            return false;
        };
        let State::InFlight { first, waiters, .. } = &mut entry.state else {
            return false;
        };
        if *first == Some(ticket) {
            // It goes on if it is out, so that a repeat has its outcome; its ticket stays, to say what came of it.
            *first = None;
            return false;
        }
        // A first that has left already is none of the waiters.
        let Some(place) = waiters.iter().position(|waiter| *waiter == ticket) else {
            return false;
        };
        waiters.remove(place);
        self.tickets.remove(&ticket);
        if let Some(holding) = self.customers.get_mut(&entry.customer) {
            holding.waiters -= 1;
        }
        true
    }

    /// Forgets what has been kept for its time.
    fn expire(&mut self) {
        if !self.extended.is_empty() {
            self.extended.retain(|_, opens| *opens > self.now);
        }
        while let Some(id) = self.done.front().copied() {
            let Some(entry) = self.entries.get(&id) else {
                return;
            };
            if entry.expires > self.now {
                return;
            }
            let customer = entry.customer;
            self.done.pop_front();
            if let Some(holding) = self.customers.get_mut(&customer) {
                holding.done.pop_front();
                if holding.answers.front() == Some(&id) {
                    self.let_go_of_answer(customer);
                }
            }
            self.forget(id);
        }
    }

    /// Forgets an entry whose answer may be kept and which stands in no order of outcomes.
    fn forget_with_answer(&mut self, id: EntryId) {
        if let Some(Entry {
            customer,
            state: State::Served {
                answer: Some(answer),
            },
            ..
        }) = self.entries.get(&id)
        {
            let (customer, weight) = (*customer, answer.weight());
            self.change_bytes(customer, 0, weight);
            if let Some(holding) = self.customers.get_mut(&customer) {
                holding.answers.retain(|kept| *kept != id);
            }
        }
        self.forget(id);
    }

    fn forget(&mut self, id: EntryId) {
        let Some(entry) = self.entries.remove(&id) else {
            return;
        };
        self.by_key.remove(&(entry.customer, entry.key));
        if let Some(holding) = self.customers.get_mut(&entry.customer) {
            holding.entries -= 1;
            if holding.entries == 0 {
                self.customers.remove(&entry.customer);
            }
        }
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Outcome {
    Served,
    Refused,
    Failed,
}
