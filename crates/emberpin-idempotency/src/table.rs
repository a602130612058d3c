//! The table of keys: who is first, who waits, who is told what came of it, and what gives way when it is full.
//!
//! An entry whose request has run, or may have, is never forgotten before its retention time is over: forgetting it
//! could sign twice. What gives way is the *answer* kept with it: a repeat is then told that the work is done
//! and that its answer is not kept any more. When no entry can be made, new work is refused with the time at
//! which the oldest entry goes.

use crate::fingerprint::Fingerprint;
use crate::key::Key;
use crate::record::{Customer, KeyStatus, Millis, Record};
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
    Rejected {
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
    ClientLeft {
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
    WriteFailed {
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
    Forward(Ticket),
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
        record_pending: bool,
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
struct CustomerUsage {
    entries: usize,
    bytes: usize,
    waiters: usize,
    /// Its entries with an outcome, the oldest first.
    concluded: VecDeque<EntryId>,
    /// Those of them whose answer is kept.
    answers: VecDeque<EntryId>,
}

/// How far a sweep over all entries has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SweepCursor(u64);

/// The table.
#[derive(Clone)]
pub struct Table<A> {
    limits: Limits,
    /// The latest time seen: a clock that steps back stands still here.
    now: Millis,
    /// The quiet time after the start ends then.
    quiet_until: Millis,
    /// Later for these customers, each of whom holds its whole share.
    extended_quiet: BTreeMap<Customer, Millis>,
    next_id: u64,
    bytes: usize,
    entries: BTreeMap<EntryId, Entry<A>>,
    by_key: BTreeMap<(Customer, Key), EntryId>,
    /// First requests that are out, and requests that wait.
    tickets: BTreeMap<Ticket, EntryId>,
    customers: BTreeMap<Customer, CustomerUsage>,
    /// Entries with an outcome, the oldest first: all are kept for the same time.
    concluded: VecDeque<EntryId>,
    /// Customers by the bytes that they hold.
    by_bytes: BTreeSet<(usize, Customer)>,
}

impl<A: Clone + Weight> Table<A> {
    /// An empty table of a process that starts now.
    pub fn new(limits: Limits, now: Millis) -> Table<A> {
        let quiet_until = now + limits.quiet;
        Table {
            limits,
            now,
            quiet_until,
            extended_quiet: BTreeMap::new(),
            next_id: 0,
            bytes: 0,
            entries: BTreeMap::new(),
            by_key: BTreeMap::new(),
            tickets: BTreeMap::new(),
            customers: BTreeMap::new(),
            concluded: VecDeque::new(),
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
                let action = self.on_arrival(ticket, customer, key, fingerprint);
                if let (Action::Hold(_), Some(record)) = (&action, self.claim_record(ticket)) {
                    actions.push(Action::Record(record, Some(ticket)));
                }
                actions.push(action);
            }
            Event::Released { ticket } => self.on_released(ticket, actions),
            Event::Lost { ticket } => self.mark_unknown(ticket, actions),
            Event::Learned {
                customer,
                key,
                fingerprint,
                answer,
            } => {
                self.on_served_elsewhere(customer, key, fingerprint, answer, actions);
            }
            Event::Written { ticket } => self.on_written(ticket, actions),
            Event::WriteFailed { ticket } => self.on_write_failed(ticket, actions),
            Event::Served { ticket, answer } => {
                self.conclude(ticket, answer, Outcome::Served, actions);
            }
            Event::Rejected { ticket, answer } => {
                self.conclude(ticket, answer, Outcome::Rejected, actions);
            }
            Event::Failed { ticket, answer } => {
                self.conclude(ticket, answer, Outcome::Failed, actions);
            }
            Event::ClientLeft { ticket } => {
                if self.remove_waiter(ticket) {
                    actions.push(Action::Drop(ticket));
                }
            }
            Event::Tick => {}
        }
    }

    fn on_arrival(
        &mut self,
        ticket: Ticket,
        customer: Customer,
        key: Key,
        fingerprint: Fingerprint,
    ) -> Action<A> {
        let known_id = self.by_key.get(&(customer, key.clone())).copied();
        let Some((id, entry)) = known_id.and_then(|id| Some((id, self.entries.get_mut(&id)?)))
        else {
            return self.handle_unknown_key(ticket, customer, key, fingerprint);
        };
        if entry.fingerprint != fingerprint {
            return Action::Tell(ticket, Telling::Mismatch);
        }
        let usage = self.customers.entry(customer).or_default();
        match &mut entry.state {
            State::Served {
                answer: Some(answer),
            } => Action::Tell(ticket, Telling::Replay(answer.clone())),
            State::Served { answer: None } => Action::Tell(ticket, Telling::NotKept),
            State::Unknown => Action::Tell(ticket, Telling::Unknown),
            State::InFlight { waiters, .. } => {
                let has_capacity = waiters.len() < self.limits.waiters_per_key
                    && usage.waiters < self.limits.waiters_per_customer;
                if !self.limits.wait || !has_capacity {
                    return Action::Tell(ticket, Telling::InFlight);
                }
                waiters.push(ticket);
                usage.waiters += 1;
                self.tickets.insert(ticket, id);
                Action::Hold(ticket)
            }
        }
    }

    /// A key that is not known: the first of it, if there is a place.
    fn handle_unknown_key(
        &mut self,
        ticket: Ticket,
        customer: Customer,
        key: Key,
        fingerprint: Fingerprint,
    ) -> Action<A> {
        let own_usage = self.customers.get(&customer);
        let full = self.entries.len() >= self.limits.entries;
        let own_full =
            own_usage.is_some_and(|own_usage| own_usage.entries >= self.share(self.limits.entries));
        let quiet_until = self
            .extended_quiet
            .get(&customer)
            .map_or(self.quiet_until, |quiet_until| {
                quiet_until.max(self.quiet_until)
            });
        if self.now < quiet_until {
            let later = self.now + self.limits.retention;
            // What is seen now may have run before the start. Told to come back, it would be taken for new work then:
            // so it is kept as what may have run. Where no place is left for that, the quiet lasts on, for whom
            // there is none.
            if full {
                self.quiet_until = later;
            } else if own_full {
                self.extended_quiet.insert(customer, later);
            } else {
                let id = self.insert(customer, key, fingerprint, State::Unknown, later);
                self.concluded.push_back(id);
                self.customers
                    .entry(customer)
                    .or_default()
                    .concluded
                    .push_back(id);
            }
            return Action::Tell(ticket, Telling::Quiet);
        }
        if full || own_full {
            // Of both that are in the way the later to go counts. While all are in flight, one of them goes, at
            // the soonest, a whole retention from now.
            let earliest_expiry = |concluded: Option<&VecDeque<EntryId>>| {
                let oldest = concluded
                    .and_then(|concluded| concluded.front())
                    .and_then(|id| self.entries.get(id));
                oldest.map_or(self.limits.retention, |entry| entry.expires - self.now)
            };
            let table_wait = if full {
                earliest_expiry(Some(&self.concluded))
            } else {
                0.0
            };
            let share_wait = if own_full {
                earliest_expiry(own_usage.map(|own_usage| &own_usage.concluded))
            } else {
                0.0
            };
            return Action::Tell(
                ticket,
                Telling::Full {
                    retry_after: table_wait.max(share_wait),
                },
            );
        }
        let record_pending = self.limits.recorded;
        let state = State::InFlight {
            first: Some(ticket),
            waiters: Vec::new(),
            record_pending,
        };
        let id = self.insert(customer, key, fingerprint, state, f64::INFINITY);
        self.tickets.insert(ticket, id);
        match record_pending {
            true => Action::Hold(ticket),
            false => Action::Forward(ticket),
        }
    }

    /// The record that a first request waits for; none for one that waits for something else.
    fn claim_record(&self, ticket: Ticket) -> Option<Record<A>> {
        let entry = self.entries.get(self.tickets.get(&ticket)?)?;
        match &entry.state {
            State::InFlight {
                first,
                record_pending: true,
                ..
            } if *first == Some(ticket) => Some(self.record(entry, KeyStatus::Claimed)),
            _ => None,
        }
    }

    fn record(&self, entry: &Entry<A>, status: KeyStatus<A>) -> Record<A> {
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
            status,
        }
    }

    fn on_written(&mut self, ticket: Ticket, actions: &mut Vec<Action<A>>) {
        let Some(id) = self.tickets.get(&ticket).copied() else {
            return;
        };
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let State::InFlight {
            first,
            waiters,
            record_pending,
        } = &mut entry.state
        else {
            return;
        };
        if !std::mem::take(record_pending) {
            return;
        }
        if first.is_some() || !waiters.is_empty() {
            actions.push(Action::Forward(ticket));
            return;
        }
        // Whoever wanted it left before anything was sent: the key is as if it had never come.
        self.tickets.remove(&ticket);
        if let Some(entry) = self.entries.get(&id) {
            actions.push(Action::Record(self.record(entry, KeyStatus::Removed), None));
        }
        actions.push(Action::Drop(ticket));
        self.remove_entry(id);
    }

    /// The request that holds a key that has no outcome yet.
    pub fn first_in_flight(&self, customer: Customer, key: &Key) -> Option<Ticket> {
        match &self
            .entries
            .get(self.by_key.get(&(customer, key.clone()))?)?
            .state
        {
            State::InFlight { first, .. } => *first,
            State::Served { .. } | State::Unknown => None,
        }
    }

    fn on_released(&mut self, ticket: Ticket, actions: &mut Vec<Action<A>>) {
        let Some(id) = self.tickets.get(&ticket).copied() else {
            return;
        };
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let State::InFlight {
            first,
            waiters,
            record_pending,
        } = &mut entry.state
        else {
            return;
        };
        if *first != Some(ticket) {
            self.remove_waiter(ticket);
            return;
        }
        self.tickets.remove(&ticket);
        if waiters.is_empty() {
            if self.limits.recorded {
                if let Some(entry) = self.entries.get(&id) {
                    actions.push(Action::Record(self.record(entry, KeyStatus::Removed), None));
                }
            }
            return self.remove_entry(id);
        }
        let next = waiters.remove(0);
        *first = Some(next);
        let record_pending = *record_pending;
        if let Some(usage) = self.customers.get_mut(&entry.customer) {
            usage.waiters -= 1;
        }
        match self.entries.get(&id) {
            Some(entry) if record_pending => {
                actions.push(Action::Record(
                    self.record(entry, KeyStatus::Claimed),
                    Some(next),
                ));
            }
            _ => actions.push(Action::Forward(next)),
        }
    }

    fn mark_unknown(&mut self, ticket: Ticket, actions: &mut Vec<Action<A>>) {
        let Some(id) = self.tickets.get(&ticket).copied() else {
            return;
        };
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        if !matches!(&entry.state, State::InFlight { first, .. } if *first == Some(ticket)) {
            self.remove_waiter(ticket);
            return;
        }
        let State::InFlight { waiters, .. } = std::mem::replace(&mut entry.state, State::Unknown)
        else {
            return;
        };
        self.tickets.remove(&ticket);
        self.conclude_with_reply(id, waiters, &Telling::Unknown, actions);
        if let (true, Some(entry)) = (self.limits.recorded, self.entries.get(&id)) {
            actions.push(Action::Record(self.record(entry, KeyStatus::Unknown), None));
        }
    }

    /// An entry has an outcome from now on, and these that waited are told so.
    fn conclude_with_reply(
        &mut self,
        id: EntryId,
        waiters: Vec<Ticket>,
        telling: &Telling<A>,
        actions: &mut Vec<Action<A>>,
    ) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        entry.expires = self.now + self.limits.retention;
        let usage = self.customers.entry(entry.customer).or_default();
        usage.waiters -= waiters.len();
        usage.concluded.push_back(id);
        self.concluded.push_back(id);
        for waiter in waiters {
            self.tickets.remove(&waiter);
            actions.push(Action::Tell(waiter, telling.clone()));
        }
    }

    fn on_served_elsewhere(
        &mut self,
        customer: Customer,
        key: Key,
        fingerprint: Fingerprint,
        answer: A,
        actions: &mut Vec<Action<A>>,
    ) {
        let known_id = self.by_key.get(&(customer, key.clone())).copied();
        let id = match known_id.and_then(|id| self.entries.get_mut(&id).map(|entry| (id, entry))) {
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
                    self.conclude_with_reply(
                        id,
                        waiters,
                        &Telling::Replay(answer.clone()),
                        actions,
                    );
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
                self.conclude_with_reply(id, Vec::new(), &Telling::NotKept, actions);
                id
            }
        };
        if let (true, Some(entry)) = (self.limits.recorded, self.entries.get(&id)) {
            actions.push(Action::Record(
                self.record(entry, KeyStatus::Served(Some(answer.clone()))),
                None,
            ));
        }
        self.store_answer(id, customer, answer);
    }

    fn on_write_failed(&mut self, ticket: Ticket, actions: &mut Vec<Action<A>>) {
        let Some(id) = self.tickets.get(&ticket).copied() else {
            return;
        };
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let State::InFlight {
            first,
            waiters,
            record_pending: true,
        } = &mut entry.state
        else {
            return;
        };
        let (first, waiters, customer) = (*first, std::mem::take(waiters), entry.customer);
        self.tickets.remove(&ticket);
        if let Some(usage) = self.customers.get_mut(&customer) {
            usage.waiters -= waiters.len();
        }
        actions.push(Action::Drop(ticket));
        for waiter in first.into_iter().chain(waiters) {
            self.tickets.remove(&waiter);
            actions.push(Action::Tell(waiter, Telling::NotWritten));
        }
        self.remove_entry(id);
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
            status,
        } = record;
        if let Some(id) = self.by_key.get(&(customer, key.clone())).copied() {
            self.remove_entry_with_answer(id);
        }
        let concluded_at = if same_clock {
            at.min(self.now)
        } else {
            self.now
        };
        let (expires, answer) = match status {
            KeyStatus::Removed => return,
            // It may have run until that life's end, which nothing tells.
            KeyStatus::Claimed => (self.now + self.limits.retention, None),
            KeyStatus::Unknown => (concluded_at + self.limits.retention, None),
            KeyStatus::Served(answer) => (concluded_at + self.limits.retention, Some(answer)),
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
            self.store_answer(id, customer, answer);
        }
    }

    /// All that earlier lives wrote has been taken.
    pub fn finish_restore(&mut self) {
        let mut ids: Vec<(Millis, EntryId)> = self
            .entries
            .iter()
            .map(|(id, entry)| (entry.expires, *id))
            .collect();
        ids.sort_by(|one, other| one.0.total_cmp(&other.0).then(one.1.cmp(&other.1)));
        for usage in self.customers.values_mut() {
            usage.concluded.clear();
            usage.answers.clear();
        }
        self.concluded = ids.iter().map(|(_, id)| *id).collect();
        for (_, id) in ids {
            let Some(entry) = self.entries.get(&id) else {
                continue;
            };
            let usage = self.customers.entry(entry.customer).or_default();
            usage.concluded.push_back(id);
            if matches!(entry.state, State::Served { answer: Some(_) }) {
                usage.answers.push_back(id);
            }
        }
    }

    /// The records of some entries more, and how far that is; all have been told when it comes back without a place.
    /// What is told to the log of changes meanwhile stands behind these there, and so holds.
    pub fn sweep(&self, cursor: SweepCursor, most: usize) -> (Vec<Record<A>>, Option<SweepCursor>) {
        let mut records = Vec::new();
        for (id, entry) in self.entries.range(EntryId(cursor.0)..) {
            if records.len() >= most {
                return (records, Some(SweepCursor(id.0)));
            }
            let (status, at) = match &entry.state {
                State::InFlight { .. } => (KeyStatus::Claimed, self.now),
                State::Served { answer } => (
                    KeyStatus::Served(answer.clone()),
                    entry.expires - self.limits.retention,
                ),
                State::Unknown => (KeyStatus::Unknown, entry.expires - self.limits.retention),
            };
            records.push(Record {
                at,
                ..self.record(entry, status)
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
        let id = EntryId(self.next_id);
        self.next_id += 1;
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
    fn share(&self, limit: usize) -> usize {
        ((limit as f64 * self.limits.customer_share) as usize).max(1)
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
            Outcome::Rejected | Outcome::Failed => State::Unknown,
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
        if let Some(usage) = self.customers.get_mut(&customer) {
            usage.waiters -= waiters.len();
        }
        for waiter in waiters {
            self.tickets.remove(&waiter);
            actions.push(Action::Tell(waiter, Telling::Replay(answer.clone())));
        }
        if let (true, Some(entry)) = (self.limits.recorded, self.entries.get(&id)) {
            let status = match outcome {
                Outcome::Served => KeyStatus::Served(Some(answer.clone())),
                Outcome::Rejected => KeyStatus::Removed,
                Outcome::Failed => KeyStatus::Unknown,
            };
            actions.push(Action::Record(self.record(entry, status), None));
        }
        match outcome {
            // It never ran: a repeat is new work.
            Outcome::Rejected => self.remove_entry(id),
            Outcome::Served | Outcome::Failed => {
                self.concluded.push_back(id);
                self.customers
                    .entry(customer)
                    .or_default()
                    .concluded
                    .push_back(id);
            }
        }
        if outcome == Outcome::Served {
            self.store_answer(id, customer, answer);
        }
    }

    /// Keeps an answer, within the customer's share and the whole; the oldest of its own gives way first, then the
    /// oldest of whoever holds most.
    fn store_answer(&mut self, id: EntryId, customer: Customer, answer: A) {
        let weight = answer.weight();
        let share = self
            .share(self.limits.answer_bytes)
            .min(self.limits.answer_bytes);
        if weight > share {
            return;
        }
        while self.answer_bytes_of(customer) + weight > share && self.evict_oldest_answer(customer)
        {
        }
        while self.bytes + weight > self.limits.answer_bytes {
            let largest = self.by_bytes.last().map(|(_, customer)| *customer);
            if !largest.is_some_and(|customer| self.evict_oldest_answer(customer)) {
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
            self.update_bytes(customer, weight, 0);
        }
    }

    fn answer_bytes_of(&self, customer: Customer) -> usize {
        self.customers.get(&customer).map_or(0, |usage| usage.bytes)
    }

    /// Lets go of a customer's oldest kept answer; false if there is none.
    fn evict_oldest_answer(&mut self, customer: Customer) -> bool {
        let oldest = self
            .customers
            .get_mut(&customer)
            .and_then(|usage| usage.answers.pop_front());
        let Some(entry) = oldest.and_then(|id| self.entries.get_mut(&id)) else {
            return false;
        };
        if let State::Served { answer } = &mut entry.state {
            let weight = answer.take().map_or(0, |answer| answer.weight());
            self.update_bytes(customer, 0, weight);
        }
        true
    }

    fn update_bytes(&mut self, customer: Customer, added: usize, removed: usize) {
        let usage = self.customers.entry(customer).or_default();
        self.by_bytes.remove(&(usage.bytes, customer));
        usage.bytes = usage.bytes + added - removed;
        self.bytes = self.bytes + added - removed;
        if usage.bytes > 0 {
            self.by_bytes.insert((usage.bytes, customer));
        }
    }

    /// Takes a request out that waits; false if it is a first, or none.
    fn remove_waiter(&mut self, ticket: Ticket) -> bool {
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
        let Some(position) = waiters.iter().position(|waiter| *waiter == ticket) else {
            return false;
        };
        waiters.remove(position);
        self.tickets.remove(&ticket);
        if let Some(usage) = self.customers.get_mut(&entry.customer) {
            usage.waiters -= 1;
        }
        true
    }

    /// Forgets what has been kept for its time.
    fn expire(&mut self) {
        if !self.extended_quiet.is_empty() {
            self.extended_quiet
                .retain(|_, quiet_until| *quiet_until > self.now);
        }
        while let Some(id) = self.concluded.front().copied() {
            let Some(entry) = self.entries.get(&id) else {
                return;
            };
            if entry.expires > self.now {
                return;
            }
            let customer = entry.customer;
            self.concluded.pop_front();
            if let Some(usage) = self.customers.get_mut(&customer) {
                usage.concluded.pop_front();
                if usage.answers.front() == Some(&id) {
                    self.evict_oldest_answer(customer);
                }
            }
            self.remove_entry(id);
        }
    }

    /// Forgets an entry whose answer may be kept and which stands in no order of outcomes.
    fn remove_entry_with_answer(&mut self, id: EntryId) {
        if let Some(Entry {
            customer,
            state: State::Served {
                answer: Some(answer),
            },
            ..
        }) = self.entries.get(&id)
        {
            let (customer, weight) = (*customer, answer.weight());
            self.update_bytes(customer, 0, weight);
            if let Some(usage) = self.customers.get_mut(&customer) {
                usage.answers.retain(|kept| *kept != id);
            }
        }
        self.remove_entry(id);
    }

    fn remove_entry(&mut self, id: EntryId) {
        let Some(entry) = self.entries.remove(&id) else {
            return;
        };
        self.by_key.remove(&(entry.customer, entry.key));
        if let Some(usage) = self.customers.get_mut(&entry.customer) {
            usage.entries -= 1;
            if usage.entries == 0 {
                self.customers.remove(&entry.customer);
            }
        }
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Outcome {
    Served,
    Rejected,
    Failed,
}
