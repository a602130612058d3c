//! The table of keys of one limiter. It decides which request of a key is the first and is forwarded, which requests
//! wait for it, which reply each of them gets, and what is evicted when the table is full.
//!
//! An entry whose request has run, or may have run, is never removed before its retention period is over: without the
//! entry, a repeat would run a second time. Only the *answer* kept with an entry is evicted early; a repeat is
//! then told that the work is done and that its answer is not kept any more. When there is no capacity for another
//! entry, new work is rejected with the time until the oldest entry expires.
//!
//! After a start without the records of the previous incarnation, no request is forwarded during a *quiet* period, as
//! it may have run before the start.

use crate::fingerprint::Fingerprint;
use crate::key::Key;
use crate::record::{Customer, KeyStatus, Millis, Record};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Identifies one request to the host and the table. Never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// The size of an answer, for the limit of kept bytes.
pub trait SizeInBytes {
    /// The size in bytes.
    fn size_bytes(&self) -> usize;
}

/// The limits of a table. A customer may use at most its share of the table's limits, so that no customer can evict the
/// keys of others.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum number of entries, over all customers.
    pub entries: usize,
    /// Maximum size of the kept answers in bytes, over all customers.
    pub answer_bytes: usize,
    /// Maximum number of requests that wait for the first request of one key.
    pub waiters_per_key: usize,
    /// Maximum number of waiting requests of one customer.
    pub waiters_per_customer: usize,
    /// The share of `entries` and of `answer_bytes` that one customer may use, above 0 and at most 1. It is rounded
    /// down, with a minimum of one entry.
    pub customer_share: f64,
    /// How long an entry is kept after its outcome, in milliseconds.
    pub retention: Millis,
    /// For this long after the start, in milliseconds, no request is forwarded, as the table does not know what the
    /// previous incarnation forwarded.
    pub quiet: Millis,
    /// Whether a repeat waits for the first request. Otherwise it is told at once that the first one is in flight.
    pub wait: bool,
    /// Whether records are written to a log. If so, a first request is forwarded only once its record is durable.
    pub recorded: bool,
}

/// An input of [`Table::handle`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event<A> {
    /// A request with a key arrived.
    Arrived {
        /// Identifies the request from now on.
        ticket: Ticket,
        /// The customer that sent the request.
        customer: Customer,
        /// The key of the request.
        key: Key,
        /// The fingerprint of the request.
        fingerprint: Fingerprint,
    },
    /// A first request was served.
    Served {
        /// The ticket of the request.
        ticket: Ticket,
        /// The answer to the request.
        answer: A,
    },
    /// A first request was rejected, and is known not to have run.
    Rejected {
        /// The ticket of the request.
        ticket: Ticket,
        /// The answer to the request.
        answer: A,
    },
    /// A first request failed, and may have run.
    Failed {
        /// The ticket of the request.
        ticket: Ticket,
        /// The answer to the request.
        answer: A,
    },
    /// The client of a request disconnected or timed out: it gets no reply any more. A first request continues, a
    /// waiting one is dropped.
    ClientLeft {
        /// The ticket of the request.
        ticket: Ticket,
    },
    /// A first request was abandoned before anything of it was sent. The next waiting request takes its place. If the
    /// ticket is that of a waiting request, it is removed.
    Released {
        /// The ticket of the request.
        ticket: Ticket,
    },
    /// The outcome of a first request will never be known: it may have run. If the ticket is that of a waiting request,
    /// it is removed.
    Lost {
        /// The ticket of the request.
        ticket: Ticket,
    },
    /// The request of a key was served, no matter which limiter forwarded it.
    Learned {
        /// The customer that sent the request.
        customer: Customer,
        /// The key of the request.
        key: Key,
        /// The fingerprint of the request.
        fingerprint: Fingerprint,
        /// The answer to the request.
        answer: A,
    },
    /// The record of a first request is durable.
    Written {
        /// The ticket of the request.
        ticket: Ticket,
    },
    /// The record of a first request could not be written.
    Unwritten {
        /// The ticket of the request.
        ticket: Ticket,
    },
    /// Time has passed: expired entries are removed.
    Tick,
}

/// An output of [`Table::handle`], to be carried out by the host in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action<A> {
    /// Forward this request, the first of its key, and report its outcome.
    Forward(Ticket),
    /// Hold this request until a later action forwards, answers or drops it.
    Hold(Ticket),
    /// Discard this request: no client waits for it any more, and nothing of it was sent.
    Drop(Ticket),
    /// Append this record to the log. If there is a ticket, report with it whether the record became durable
    /// ([`Event::Written`] or [`Event::Unwritten`]).
    Record(Record<A>, Option<Ticket>),
    /// Send the one reply that this request gets.
    Reply(Ticket, TableReply<A>),
}

/// The reply to a request. The numbers are the HTTP statuses that the host answers with.
#[derive(Clone, Debug, PartialEq)]
pub enum TableReply<A> {
    /// For the first request: its own outcome.
    Own(A),
    /// For a repeat: the outcome of the first request, unchanged.
    Replay(A),
    /// The key was used for a request with another fingerprint: 422.
    Mismatch,
    /// The first request is in flight: 409. Also sent when the maximum number of requests waits already.
    InFlight,
    /// The first request failed and may have run. No request is sent again under this key: 409.
    Unknown,
    /// The first request was served, and its answer is not kept any more: 409.
    NotKept,
    /// There is no capacity for another key. The client may retry after `retry_after`.
    Full {
        /// Milliseconds until the blocking entry expires.
        retry_after: Millis,
    },
    /// The request arrived in the quiet period after a start, so it is unknown whether it ran before. It is never sent
    /// under this key: 409.
    Quiet,
    /// The log could not be written, so nothing was sent. The client may retry later.
    NotWritten,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EntryId(u64);

/// The state of an entry.
#[derive(Clone)]
enum State<A> {
    /// The first request is in flight, or waits for its record to become durable (`record_pending`). `first` is `None`
    /// once its client has disconnected: its outcome is then sent to `waiters` only.
    InFlight {
        first: Option<Ticket>,
        waiters: Vec<Ticket>,
        record_pending: bool,
    },
    /// The request was served. The answer is `None` if it was not kept or was evicted.
    Served { answer: Option<A> },
    /// The request may have run.
    Unknown,
}

#[derive(Clone)]
struct Entry<A> {
    customer: Customer,
    key: Key,
    fingerprint: Fingerprint,
    state: State<A>,
    /// When the entry is removed. Meaningful only once there is an outcome.
    expires: Millis,
}

/// The part of the table that one customer uses.
#[derive(Clone, Default)]
struct CustomerUsage {
    entries: usize,
    bytes: usize,
    waiters: usize,
    /// The customer's entries with an outcome, the oldest first.
    concluded: VecDeque<EntryId>,
    /// The entries of `concluded` whose answer is kept, the oldest first.
    answers: VecDeque<EntryId>,
}

/// The position of a sweep over all entries, from which [`Table::sweep`] continues. The default is the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SweepCursor(u64);

/// The key table of one limiter. A state machine: see [`Table::handle`].
#[derive(Clone)]
pub struct Table<A> {
    limits: Limits,
    /// The latest time passed in. An earlier time than this is ignored.
    now: Millis,
    /// The end of the quiet period after the start.
    quiet_until: Millis,
    /// Later ends of the quiet period for customers whose share of entries was full during it.
    extended_quiet: BTreeMap<Customer, Millis>,
    next_id: u64,
    bytes: usize,
    entries: BTreeMap<EntryId, Entry<A>>,
    by_key: BTreeMap<(Customer, Key), EntryId>,
    /// The entries of first requests in flight and of waiting requests.
    tickets: BTreeMap<Ticket, EntryId>,
    customers: BTreeMap<Customer, CustomerUsage>,
    /// Entries with an outcome, the oldest first. All are kept for the same time, so they expire in this order.
    concluded: VecDeque<EntryId>,
    /// Customers by the size of their kept answers.
    by_bytes: BTreeSet<(usize, Customer)>,
}

impl<A: Clone + SizeInBytes> Table<A> {
    /// Creates an empty table for a process that starts at `now`.
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

    /// The number of entries.
    pub fn entries(&self) -> usize {
        self.entries.len()
    }

    /// The size of the kept answers, in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.bytes
    }

    /// Handles an event, and appends the actions that follow from it. A `now` before an earlier one counts as the
    /// earlier one.
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
            Event::Unwritten { ticket } => self.on_write_failed(ticket, actions),
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
            return Action::Reply(ticket, TableReply::Mismatch);
        }
        let usage = self.customers.entry(customer).or_default();
        match &mut entry.state {
            State::Served {
                answer: Some(answer),
            } => Action::Reply(ticket, TableReply::Replay(answer.clone())),
            State::Served { answer: None } => Action::Reply(ticket, TableReply::NotKept),
            State::Unknown => Action::Reply(ticket, TableReply::Unknown),
            State::InFlight { waiters, .. } => {
                let has_capacity = waiters.len() < self.limits.waiters_per_key
                    && usage.waiters < self.limits.waiters_per_customer;
                if !self.limits.wait || !has_capacity {
                    return Action::Reply(ticket, TableReply::InFlight);
                }
                waiters.push(ticket);
                usage.waiters += 1;
                self.tickets.insert(ticket, id);
                Action::Hold(ticket)
            }
        }
    }

    /// Handles the first request of an unknown key, if there is capacity for another entry.
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
            // The request may have run before the start. If its client were asked to retry, the retry would count as
            // new work after the quiet period. So the key is recorded as one that may have run. Where there is no
            // capacity for that, the quiet period is extended: for all customers if the table is full, or for this
            // customer if its share is.
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
            return Action::Reply(ticket, TableReply::Quiet);
        }
        if full || own_full {
            // If both limits are reached, the one that is freed later counts. If all entries are in flight, the
            // earliest that one can expire is a whole retention period from now.
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
            return Action::Reply(
                ticket,
                TableReply::Full {
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

    /// The record that a first request waits for. `None` for a request that waits for another one.
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
        // All clients disconnected before anything was sent, so the key is free again.
        self.tickets.remove(&ticket);
        if let Some(entry) = self.entries.get(&id) {
            actions.push(Action::Record(self.record(entry, KeyStatus::Removed), None));
        }
        actions.push(Action::Drop(ticket));
        self.remove_entry(id);
    }

    /// The first request of a key that has no outcome yet. `None` if its client has disconnected.
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
        self.conclude_with_reply(id, waiters, &TableReply::Unknown, actions);
        if let (true, Some(entry)) = (self.limits.recorded, self.entries.get(&id)) {
            actions.push(Action::Record(self.record(entry, KeyStatus::Unknown), None));
        }
    }

    /// Marks an entry as concluded now, and sends a reply to its waiting requests.
    fn conclude_with_reply(
        &mut self,
        id: EntryId,
        waiters: Vec<Ticket>,
        table_reply: &TableReply<A>,
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
            actions.push(Action::Reply(waiter, table_reply.clone()));
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
                // The entry is in the queues of concluded entries already.
                State::Unknown => {
                    entry.state = State::Served { answer: None };
                    id
                }
                State::InFlight { first, waiters, .. } => {
                    let (first, waiters) = (first.take(), std::mem::take(waiters));
                    entry.state = State::Served { answer: None };
                    if let Some(first) = first {
                        self.tickets.remove(&first);
                        actions.push(Action::Reply(first, TableReply::Own(answer.clone())));
                    }
                    self.conclude_with_reply(
                        id,
                        waiters,
                        &TableReply::Replay(answer.clone()),
                        actions,
                    );
                    id
                }
            },
            // Exceeds the entry limit if necessary: work that has run is always recorded.
            None => {
                let id = self.insert(
                    customer,
                    key,
                    fingerprint,
                    State::Served { answer: None },
                    0.0,
                );
                self.conclude_with_reply(id, Vec::new(), &TableReply::NotKept, actions);
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
            actions.push(Action::Reply(waiter, TableReply::NotWritten));
        }
        self.remove_entry(id);
    }

    /// Restores a record that an earlier incarnation wrote. Records are passed in the order in which they were written
    /// and before any event; [`Table::finish_restore`] follows the last one. `same_clock` says whether the clock of
    /// that incarnation is comparable with the current one.
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
            // The request may have run until the end of that incarnation, and the log does not contain that time.
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

    /// Ends the restore, after the last record: rebuilds the queues of concluded entries in the order of expiry.
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

    /// Returns the records of up to `most` entries from a position on, and the position of the next call, or `None`
    /// once all entries have been returned. The host uses them to rewrite its log. Records of changes during a sweep
    /// are appended behind those of the sweep, and so take precedence.
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

    /// A customer's share of a limit, at least 1.
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
            actions.push(Action::Reply(ticket, TableReply::Own(answer.clone())));
        }
        if let Some(usage) = self.customers.get_mut(&customer) {
            usage.waiters -= waiters.len();
        }
        for waiter in waiters {
            self.tickets.remove(&waiter);
            actions.push(Action::Reply(waiter, TableReply::Replay(answer.clone())));
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
            // The request never ran, so a repeat is new work.
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

    /// Keeps an answer within the customer's share and the total limit. If the share is full, the customer's own oldest
    /// answers are evicted; if the total is, the oldest answers of the customer that uses most bytes. An answer that is
    /// larger than the share is not kept.
    fn store_answer(&mut self, id: EntryId, customer: Customer, answer: A) {
        let weight = answer.size_bytes();
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

    /// Evicts a customer's oldest kept answer. Returns false if there is none.
    fn evict_oldest_answer(&mut self, customer: Customer) -> bool {
        let oldest = self
            .customers
            .get_mut(&customer)
            .and_then(|usage| usage.answers.pop_front());
        let Some(entry) = oldest.and_then(|id| self.entries.get_mut(&id)) else {
            return false;
        };
        if let State::Served { answer } = &mut entry.state {
            let weight = answer.take().map_or(0, |answer| answer.size_bytes());
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

    /// Removes a waiting request. Returns false for a first or an unknown one.
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
            // A request that was forwarded continues, so that repeats get its outcome. Its ticket stays valid for
            // reporting the outcome.
            *first = None;
            return false;
        }
        // A first request whose client has disconnected before is not among the waiting ones.
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

    /// Removes entries whose retention period is over.
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

    /// Removes an entry and its answer, if one is kept. The entry must not be in a queue of concluded entries.
    fn remove_entry_with_answer(&mut self, id: EntryId) {
        if let Some(Entry {
            customer,
            state: State::Served {
                answer: Some(answer),
            },
            ..
        }) = self.entries.get(&id)
        {
            let (customer, weight) = (*customer, answer.size_bytes());
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
