//! One key, one first, over several limiters: a request goes on only once a majority of the limiters that hold its
//! customer's keys has granted it the key, each with its record on disk.
//!
//! Any two majorities share a limiter, and a limiter grants a key once within its retention. So two requests of a key
//! are never both let on, whoever is cut off, paused or away; and one limiter of three may be gone for long without
//! a request being refused for it. There is no leader to lose, no lease to run out, and no clock that two must share.
//!
//! Each limiter plays two parts. As a *holder* it has a [`Table`], in which other limiters' claims stand where requests
//! stand at a limiter alone. As a *claimant* it asks the holders for the keys of the requests that came to it, and gathers
//! the repeats that come meanwhile, so that a thousand of them ask once.

use crate::fingerprint::Fingerprint;
use crate::key::Key;
use crate::record::{Customer, Millis, Record};
use crate::table::{self, Limits, Table, Telling, Ticket, Weight};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A limiter, by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member(pub u32);

/// One claim of a limiter's; never used again in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Claim(pub u64);

/// Whose claim holds a key.
pub type ClaimId = (Member, Claim);

/// What limiters tell each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message<A> {
    /// The claimant wants this key.
    Request {
        /// Its claim.
        claim: Claim,
        /// Whose key it is.
        customer: Customer,
        /// The key.
        key: Key,
        /// What the request looks like.
        fingerprint: Fingerprint,
        /// No attempt is begun under this claim later than so long from its sending.
        within: Millis,
    },
    /// The holder grants it.
    Granted(Claim),
    /// Another claim has it and no outcome yet; the holder tells what becomes of it.
    Queued(Claim, ClaimId),
    /// The holder cannot grant it.
    Denied(Claim, Denial<A>),
    /// The claimant gives it up; nothing was sent under it.
    Released(Claim),
    /// It may have run, and more will not be heard.
    Lost(Claim),
    /// It was served.
    Served {
        /// Under which claim.
        claim: Claim,
        /// Whose key it is.
        customer: Customer,
        /// The key.
        key: Key,
        /// What the request looks like.
        fingerprint: Fingerprint,
        /// With what.
        answer: A,
    },
}

/// Why a holder does not grant a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Denial<A> {
    /// Its outcome is known.
    Replay(A),
    /// It was served, and the answer is not kept.
    NotKept,
    /// It stands for another request.
    Mismatch,
    /// It may have run.
    Unknown,
    /// As many wait as may.
    InFlight,
    /// The holder does not know what ran before its start.
    Quiet,
    /// The holder has no place for it for so long.
    Full(Millis),
    /// The holder cannot write it down.
    NotWritten,
}

/// How claims are made.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimConfig {
    /// This limiter.
    pub me: Member,
    /// All limiters, this one among them.
    pub members: Vec<Member>,
    /// How many hold each customer's keys: 1, or an odd number.
    pub copies: usize,
    /// A holder that has not answered by then counts as not there.
    pub ask_within: Millis,
    /// What a clock may gain on another's, and a message take, while a claim is out.
    pub slack: Millis,
    /// Requests that wait for one claim at its claimant.
    pub waiters_per_key: usize,
    /// Outcomes that are kept for a holder that is not there; the oldest gives way, and its key stays as what may have run.
    pub max_queued_outcomes: usize,
    /// Work outlives its limiter: what a life that is gone was granted stays in flight until it is said what became of it,
    /// or its time is over.
    pub takeover_enabled: bool,
    /// Claims are numbered from here on; those of two lives must not meet where work outlives them.
    pub first_claim: u64,
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
        /// So long from now its client gives up, and nothing is begun for it.
        within: Millis,
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
    /// A request's client left.
    ClientLeft {
        /// Which.
        ticket: Ticket,
    },
    /// A record counts.
    Written {
        /// By the name that it was given.
        ticket: Ticket,
    },
    /// A record could not be written.
    WriteFailed {
        /// By the name that it was given.
        ticket: Ticket,
    },
    /// A member said something.
    Received {
        /// Who.
        from: Member,
        /// What.
        message: Message<A>,
    },
    /// Whether something can be told to a member.
    ReachabilityChanged {
        /// Whom.
        member: Member,
        /// Whether.
        reachable: bool,
    },
    /// A member has started anew: what it had out may run yet, and nobody will tell.
    NewIncarnation {
        /// Who.
        member: Member,
    },
    /// Nobody goes on with what a claim was granted for.
    ClaimEnded {
        /// Whose claim, and which.
        claim_id: ClaimId,
        /// It may have run; else nothing of it was ever sent.
        may_have_run: bool,
    },
    /// What another's claim was granted for was served here.
    ServedAfterTakeover {
        /// Whose key it is.
        customer: Customer,
        /// The key.
        key: Key,
        /// What the request looks like.
        fingerprint: Fingerprint,
        /// With what.
        answer: A,
    },
    /// Time has passed.
    Tick,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action<A> {
    /// Let this first request on, and say what came of it.
    Forward(Ticket),
    /// Keep it until it is told something, or leaves.
    Hold(Ticket),
    /// Nobody wants this request any more, and nothing of it was sent.
    Drop(Ticket),
    /// Its one answer.
    Reply(Ticket, Reply<A>),
    /// Append this to the log. With a name, say whether it counts.
    Record(Record<A>, Option<Ticket>),
    /// Tell a member.
    Send(Member, Message<A>),
}

/// What a request is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply<A> {
    /// As a limiter alone would tell it.
    Standard(Telling<A>),
    /// Too few of those that hold its keys are there; nothing was sent.
    NoMajority,
}

/// What a claimant knows from one holder.
#[derive(Clone, Debug, PartialEq)]
enum Vote<A> {
    /// Not asked yet: a majority may do without it.
    NotAsked,
    Asked,
    Granted,
    Queued(ClaimId),
    Denied(Denial<A>),
    /// Its grant was given back, for a lower claim; it may be asked again.
    Withdrawn,
    /// Not there.
    Unavailable,
}

impl<A> Vote<A> {
    fn is_asked(&self) -> bool {
        matches!(self, Vote::Asked)
    }

    fn is_granted(&self) -> bool {
        matches!(self, Vote::Granted)
    }

    fn is_withdrawn(&self) -> bool {
        matches!(self, Vote::Withdrawn)
    }
}

/// A key that requests here want.
#[derive(Clone)]
struct PendingClaim<A> {
    claim: Claim,
    fingerprint: Fingerprint,
    /// The request that goes on if the key is granted.
    lead: Ticket,
    /// Its client is there.
    lead_connected: bool,
    waiters: Vec<Ticket>,
    votes: BTreeMap<Member, Vote<A>>,
    /// Until then holders may answer.
    deadline: Millis,
    /// Nothing is begun for it later.
    start_deadline: Millis,
    forwarded: bool,
}

/// A claim that stands in this holder's table.
#[derive(Clone)]
struct ReceivedClaim {
    claim_id: ClaimId,
    customer: Customer,
    key: Key,
    /// Whatever its claimant begins under it is begun by then.
    deadline: Millis,
    granted: bool,
}

type CustomerKey = (Customer, Key);

/// The claims of one limiter.
#[derive(Clone)]
pub struct Claims<A> {
    config: ClaimConfig,
    now: Millis,
    table: Table<A>,
    pending_claims: BTreeMap<CustomerKey, PendingClaim<A>>,
    key_by_claim: BTreeMap<Claim, CustomerKey>,
    key_by_ticket: BTreeMap<Ticket, CustomerKey>,
    received: BTreeMap<Ticket, ReceivedClaim>,
    ticket_by_claim: BTreeMap<ClaimId, Ticket>,
    unreachable: BTreeSet<Member>,
    /// What members that are away are to be told.
    queued_outcomes: BTreeMap<Member, Vec<Message<A>>>,
    last_claim: u64,
    /// What this limiter says to itself, in order.
    loopback: Vec<Message<A>>,
}

impl<A: Clone + Weight> Claims<A> {
    /// The claims of a limiter that starts now. All other members are away until it is told otherwise.
    pub fn new(config: ClaimConfig, limits: Limits, now: Millis) -> Claims<A> {
        let unreachable = config
            .members
            .iter()
            .copied()
            .filter(|member| *member != config.me)
            .collect();
        let first_claim = config.first_claim;
        Claims {
            table: Table::new(limits, now),
            config,
            now,
            pending_claims: BTreeMap::new(),
            key_by_claim: BTreeMap::new(),
            key_by_ticket: BTreeMap::new(),
            received: BTreeMap::new(),
            ticket_by_claim: BTreeMap::new(),
            unreachable,
            queued_outcomes: BTreeMap::new(),
            last_claim: first_claim,
            loopback: Vec::new(),
        }
    }

    /// What this limiter holds.
    pub fn table(&self) -> &Table<A> {
        &self.table
    }

    /// The same, to restore it before the first event.
    pub fn table_mut(&mut self) -> &mut Table<A> {
        &mut self.table
    }

    /// Who holds a customer's keys: the heaviest by rendezvous hashing, the same whoever asks.
    pub fn holders(&self, customer: Customer) -> Vec<Member> {
        let mut members: Vec<(u64, Member)> = self
            .config
            .members
            .iter()
            .map(|member| (crate::owner::weight(customer, member.0), *member))
            .collect();
        members.sort_unstable_by(|one, other| other.cmp(one));
        members
            .into_iter()
            .take(self.config.copies)
            .map(|(_, member)| member)
            .collect()
    }

    /// The claim under which a request of this limiter goes on, and whose key it is.
    pub fn claim_of(&self, ticket: Ticket) -> Option<(Claim, Customer)> {
        let customer_key = self.key_by_ticket.get(&ticket)?;
        self.pending_claims
            .get(customer_key)
            .map(|pending| (pending.claim, customer_key.0))
    }

    /// Whose key a claim holds here.
    pub fn customer_of(&self, claim_id: ClaimId) -> Option<Customer> {
        self.received
            .get(self.ticket_by_claim.get(&claim_id)?)
            .map(|received| received.customer)
    }

    /// Takes an event, and appends what is to be done about it.
    pub fn handle(&mut self, now: Millis, event: Event<A>, actions: &mut Vec<Action<A>>) {
        self.now = self.now.max(now);
        match event {
            Event::Arrived {
                ticket,
                customer,
                key,
                fingerprint,
                within,
            } => {
                self.on_arrival(ticket, customer, key, fingerprint, within, actions);
            }
            Event::Served { ticket, answer } => {
                self.conclude(ticket, answer, Outcome::Served, actions);
            }
            Event::Rejected { ticket, answer } => {
                self.conclude(ticket, answer, Outcome::Rejected, actions);
            }
            Event::Failed { ticket, answer } => {
                self.conclude(ticket, answer, Outcome::Failed, actions);
            }
            Event::ClientLeft { ticket } => self.on_client_left(ticket, actions),
            Event::Written { ticket } => {
                self.apply_to_table(table::Event::Written { ticket }, actions)
            }
            Event::WriteFailed { ticket } => {
                self.apply_to_table(table::Event::WriteFailed { ticket }, actions)
            }
            Event::Received { from, message } => self.on_message(from, message, actions),
            Event::ReachabilityChanged { member, reachable } => {
                self.set_reachable(member, reachable, actions)
            }
            Event::NewIncarnation { member } => self.end_previous_incarnation(member, actions),
            Event::ClaimEnded {
                claim_id,
                may_have_run: false,
            } => {
                self.end_claim(
                    claim_id,
                    |ticket| table::Event::Released { ticket },
                    actions,
                );
            }
            Event::ClaimEnded {
                claim_id,
                may_have_run: true,
            } => {
                self.end_claim(claim_id, |ticket| table::Event::Lost { ticket }, actions);
            }
            Event::ServedAfterTakeover {
                customer,
                key,
                fingerprint,
                answer,
            } => {
                self.last_claim += 1;
                let claim = Claim(self.last_claim);
                for holder in self.holders(customer) {
                    let (key, answer) = (key.clone(), answer.clone());
                    self.send(
                        holder,
                        Message::Served {
                            claim,
                            customer,
                            key,
                            fingerprint,
                            answer,
                        },
                        actions,
                    );
                }
            }
            Event::Tick => self.tick(actions),
        }
        // What is said to oneself is heard at once, in order, until nothing more comes of it.
        while !self.loopback.is_empty() {
            for message in std::mem::take(&mut self.loopback) {
                self.on_message(self.config.me, message, actions);
            }
        }
    }

    fn send(&mut self, to: Member, message: Message<A>, actions: &mut Vec<Action<A>>) {
        if to == self.config.me {
            self.loopback.push(message);
        } else if !self.unreachable.contains(&to) {
            actions.push(Action::Send(to, message));
        } else if matches!(
            message,
            Message::Released(_) | Message::Lost(_) | Message::Served { .. }
        ) {
            // An outcome is worth telling late: it turns "may have run" into an answer.
            let queue = self.queued_outcomes.entry(to).or_default();
            if queue.len() >= self.config.max_queued_outcomes && !queue.is_empty() {
                queue.remove(0);
            }
            if self.config.max_queued_outcomes > 0 {
                queue.push(message);
            }
        }
    }

    // As a claimant.

    fn on_arrival(
        &mut self,
        ticket: Ticket,
        customer: Customer,
        key: Key,
        fingerprint: Fingerprint,
        within: Millis,
        actions: &mut Vec<Action<A>>,
    ) {
        let customer_key = (customer, key);
        if let Some(pending) = self.pending_claims.get_mut(&customer_key) {
            let telling = if pending.fingerprint != fingerprint {
                Telling::Mismatch
            } else if pending.waiters.len() >= self.config.waiters_per_key {
                Telling::InFlight
            } else {
                pending.waiters.push(ticket);
                self.key_by_ticket.insert(ticket, customer_key);
                return actions.push(Action::Hold(ticket));
            };
            return actions.push(Action::Reply(ticket, Reply::Standard(telling)));
        }
        self.last_claim += 1;
        let claim = Claim(self.last_claim);
        let votes = self
            .holders(customer)
            .into_iter()
            .map(|holder| (holder, Vote::NotAsked))
            .collect();
        let (deadline, forwarded) = (self.now + self.config.ask_within, false);
        let (lead, lead_connected, waiters) = (ticket, true, Vec::new());
        let start_deadline = self.now + within;
        let pending = PendingClaim {
            claim,
            fingerprint,
            lead,
            lead_connected,
            waiters,
            votes,
            deadline,
            start_deadline,
            forwarded,
        };
        self.pending_claims.insert(customer_key.clone(), pending);
        self.key_by_claim.insert(claim, customer_key.clone());
        self.key_by_ticket.insert(ticket, customer_key.clone());
        actions.push(Action::Hold(ticket));
        self.evaluate(&customer_key, actions);
    }

    /// Asks the next holder that was not asked yet, this limiter first and then in the customer's own order, so that
    /// claims of one key meet; false if there is none.
    fn ask_next_holder(
        &mut self,
        customer_key: &CustomerKey,
        actions: &mut Vec<Action<A>>,
    ) -> bool {
        let (now, me) = (self.now, self.config.me);
        let mut order = self.holders(customer_key.0);
        order.sort_by_key(|holder| *holder != me);
        let Some(pending) = self.pending_claims.get_mut(customer_key) else {
            return false;
        };
        let not_asked = |holder: &Member| matches!(pending.votes.get(holder), Some(Vote::NotAsked));
        let next = order
            .into_iter()
            .filter(|holder| !self.unreachable.contains(holder))
            .find(not_asked);
        let Some(holder) = next else { return false };
        pending.votes.insert(holder, Vote::Asked);
        pending.deadline = now + self.config.ask_within;
        let (claim, fingerprint, within) = (
            pending.claim,
            pending.fingerprint,
            (pending.start_deadline - now).max(0.0),
        );
        let (customer, key) = customer_key.clone();
        self.send(
            holder,
            Message::Request {
                claim,
                customer,
                key,
                fingerprint,
                within,
            },
            actions,
        );
        true
    }

    /// Whether what the holders have said so far decides about a key.
    fn evaluate(&mut self, customer_key: &CustomerKey, actions: &mut Vec<Action<A>>) {
        let Some(pending) = self
            .pending_claims
            .get_mut(customer_key)
            .filter(|pending| !pending.forwarded)
        else {
            return;
        };
        let majority = pending.votes.len() / 2 + 1;
        let count = |wanted: fn(&Vote<A>) -> bool| {
            pending.votes.values().filter(|vote| wanted(vote)).count()
        };
        let granted = count(Vote::is_granted);
        if granted >= majority {
            pending.forwarded = true;
            return actions.push(Action::Forward(pending.lead));
        }
        // What has an outcome has it, whoever else would grant it.
        let replay = pending.votes.values().find_map(|vote| match vote {
            Vote::Denied(Denial::Replay(answer)) => Some(answer.clone()),
            _ => None,
        });
        if let Some(answer) = replay {
            return self.end_unsent(
                customer_key,
                &Reply::Standard(Telling::Replay(answer)),
                actions,
            );
        }
        if granted + count(Vote::is_asked) >= majority {
            return;
        }
        if self.ask_next_holder(customer_key, actions) {
            return self.evaluate(customer_key, actions);
        }
        let Some(pending) = self.pending_claims.get(customer_key) else {
            return;
        };
        let own_id = (self.config.me, pending.claim);
        let competing: Vec<ClaimId> = pending
            .votes
            .values()
            .filter_map(|vote| match vote {
                Vote::Queued(claim_id) => Some(*claim_id),
                _ => None,
            })
            .collect();
        if competing.is_empty() {
            if pending.votes.values().any(Vote::is_withdrawn) {
                return self.ask_withdrawn_again(customer_key, actions);
            }
            let reply = reply_from_denials(pending.votes.values());
            return self.end_unsent(customer_key, &reply, actions);
        }
        // Neither has a majority while each keeps what it has: the lower claim keeps it, the other gives way and waits.
        if competing.iter().any(|other| *other < own_id) {
            self.withdraw_grants(customer_key, actions);
        }
    }

    /// Gives back what was granted.
    fn withdraw_grants(&mut self, customer_key: &CustomerKey, actions: &mut Vec<Action<A>>) {
        let Some(pending) = self.pending_claims.get_mut(customer_key) else {
            return;
        };
        let claim = pending.claim;
        let mut granted = Vec::new();
        for (holder, vote) in &mut pending.votes {
            if vote.is_granted() {
                *vote = Vote::Withdrawn;
                granted.push(*holder);
            }
        }
        for holder in granted {
            self.send(holder, Message::Released(claim), actions);
        }
    }

    /// Whoever this one gave way to has given up: asks again where it gave a grant back.
    fn ask_withdrawn_again(&mut self, customer_key: &CustomerKey, actions: &mut Vec<Action<A>>) {
        let Some(pending) = self.pending_claims.get_mut(customer_key) else {
            return;
        };
        pending.deadline = self.now + self.config.ask_within;
        let (claim, fingerprint, within) = (
            pending.claim,
            pending.fingerprint,
            (pending.start_deadline - self.now).max(0.0),
        );
        let mut again = Vec::new();
        for (holder, vote) in &mut pending.votes {
            if vote.is_withdrawn() {
                let unreachable = self.unreachable.contains(holder);
                *vote = if unreachable {
                    Vote::Unavailable
                } else {
                    Vote::Asked
                };
                again.extend((!unreachable).then_some(*holder));
            }
        }
        for holder in again {
            let (customer, key) = customer_key.clone();
            self.send(
                holder,
                Message::Request {
                    claim,
                    customer,
                    key,
                    fingerprint,
                    within,
                },
                actions,
            );
        }
        self.evaluate(customer_key, actions);
    }

    /// Nobody here wants a key any more, or all are told.
    fn end_unsent(
        &mut self,
        customer_key: &CustomerKey,
        reply: &Reply<A>,
        actions: &mut Vec<Action<A>>,
    ) {
        let Some(pending) = self.pending_claims.remove(customer_key) else {
            return;
        };
        self.key_by_claim.remove(&pending.claim);
        self.key_by_ticket.remove(&pending.lead);
        actions.push(Action::Drop(pending.lead));
        if pending.lead_connected {
            actions.push(Action::Reply(pending.lead, reply.clone()));
        }
        for waiter in &pending.waiters {
            self.key_by_ticket.remove(waiter);
            actions.push(Action::Reply(*waiter, reply.clone()));
        }
        // Each holder that may have it in its table; one that is away is told later.
        for (holder, vote) in pending.votes {
            if !matches!(vote, Vote::Denied(_) | Vote::NotAsked) {
                self.send(holder, Message::Released(pending.claim), actions);
            }
        }
    }

    fn conclude(
        &mut self,
        ticket: Ticket,
        answer: A,
        outcome: Outcome,
        actions: &mut Vec<Action<A>>,
    ) {
        let Some(customer_key) = self.key_by_ticket.remove(&ticket) else {
            return;
        };
        if !self
            .pending_claims
            .get(&customer_key)
            .is_some_and(|pending| pending.forwarded && pending.lead == ticket)
        {
            return;
        }
        let Some(pending) = self.pending_claims.remove(&customer_key) else {
            return;
        };
        self.key_by_claim.remove(&pending.claim);
        if pending.lead_connected {
            actions.push(Action::Reply(
                ticket,
                Reply::Standard(Telling::Own(answer.clone())),
            ));
        }
        for waiter in pending.waiters {
            self.key_by_ticket.remove(&waiter);
            actions.push(Action::Reply(
                waiter,
                Reply::Standard(Telling::Replay(answer.clone())),
            ));
        }
        let (claim, fingerprint, (customer, key)) =
            (pending.claim, pending.fingerprint, customer_key);
        for holder in pending.votes.into_keys() {
            let message = match outcome {
                Outcome::Served => Message::Served {
                    claim,
                    customer,
                    key: key.clone(),
                    fingerprint,
                    answer: answer.clone(),
                },
                Outcome::Rejected => Message::Released(claim),
                Outcome::Failed => Message::Lost(claim),
            };
            self.send(holder, message, actions);
        }
    }

    fn on_client_left(&mut self, ticket: Ticket, actions: &mut Vec<Action<A>>) {
        let Some(customer_key) = self.key_by_ticket.get(&ticket).cloned() else {
            return;
        };
        let Some(pending) = self.pending_claims.get_mut(&customer_key) else {
            return;
        };
        if pending.lead == ticket {
            pending.lead_connected = false;
        } else {
            pending.waiters.retain(|waiter| *waiter != ticket);
            self.key_by_ticket.remove(&ticket);
            actions.push(Action::Drop(ticket));
        }
        // What is out goes on, so that a repeat has its outcome; what is not is dropped with the last who wants it.
        if !pending.forwarded && !pending.lead_connected && pending.waiters.is_empty() {
            self.end_unsent(&customer_key, &Reply::NoMajority, actions);
        }
    }

    // As a holder.

    fn on_message(&mut self, from: Member, message: Message<A>, actions: &mut Vec<Action<A>>) {
        match message {
            Message::Request {
                claim,
                customer,
                key,
                fingerprint,
                within,
            } => {
                let claim_id = (from, claim);
                if self.ticket_by_claim.contains_key(&claim_id) {
                    return;
                }
                self.last_claim += 1;
                let ticket = Ticket(self.last_claim);
                let deadline = self.now + within.clamp(0.0, 600_000.0) + self.config.slack;
                let received = ReceivedClaim {
                    claim_id,
                    customer,
                    key: key.clone(),
                    deadline,
                    granted: false,
                };
                self.received.insert(ticket, received);
                self.ticket_by_claim.insert(claim_id, ticket);
                self.apply_to_table(
                    table::Event::Arrived {
                        ticket,
                        customer,
                        key,
                        fingerprint,
                    },
                    actions,
                );
            }
            Message::Released(claim) => self.end_claim(
                (from, claim),
                |ticket| table::Event::Released { ticket },
                actions,
            ),
            Message::Lost(claim) => self.end_claim(
                (from, claim),
                |ticket| table::Event::Lost { ticket },
                actions,
            ),
            Message::Served {
                claim,
                customer,
                key,
                fingerprint,
                answer,
            } => {
                if let Some(ticket) = self.ticket_by_claim.remove(&(from, claim)) {
                    self.received.remove(&ticket);
                }
                self.apply_to_table(
                    table::Event::Learned {
                        customer,
                        key,
                        fingerprint,
                        answer,
                    },
                    actions,
                );
            }
            Message::Granted(claim) => self.record_vote(from, claim, Vote::Granted, actions),
            Message::Queued(claim, claim_id) => {
                self.record_vote(from, claim, Vote::Queued(claim_id), actions)
            }
            Message::Denied(claim, denial) => {
                self.record_vote(from, claim, Vote::Denied(denial), actions)
            }
        }
    }

    fn record_vote(
        &mut self,
        from: Member,
        claim: Claim,
        vote: Vote<A>,
        actions: &mut Vec<Action<A>>,
    ) {
        let customer_key = self.key_by_claim.get(&claim).cloned();
        let pending = customer_key
            .as_ref()
            .and_then(|customer_key| self.pending_claims.get_mut(customer_key));
        let known = pending.and_then(|pending| pending.votes.get_mut(&from));
        match (known, customer_key) {
            // What was given back, or counted as not there, has been released there already, behind the asking.
            (Some(Vote::Unavailable | Vote::Withdrawn | Vote::NotAsked), _) => {}
            (Some(known), Some(customer_key)) => {
                *known = vote;
                self.evaluate(&customer_key, actions);
            }
            // Nobody here wants it any more.
            _ if vote.is_granted() => self.send(from, Message::Released(claim), actions),
            _ => {}
        }
    }

    fn end_claim(
        &mut self,
        claim_id: ClaimId,
        event: impl FnOnce(Ticket) -> table::Event<A>,
        actions: &mut Vec<Action<A>>,
    ) {
        if let Some(ticket) = self.ticket_by_claim.remove(&claim_id) {
            self.received.remove(&ticket);
            self.apply_to_table(event(ticket), actions);
        }
    }

    /// Feeds the table, and tells claimants what it says.
    fn apply_to_table(&mut self, event: table::Event<A>, actions: &mut Vec<Action<A>>) {
        let mut table_actions = Vec::new();
        self.table.handle(self.now, event, &mut table_actions);
        for action in table_actions {
            match action {
                table::Action::Record(record, ticket) => {
                    actions.push(Action::Record(record, ticket));
                }
                table::Action::Forward(ticket) => {
                    let Some(received) = self.received.get_mut(&ticket) else {
                        continue;
                    };
                    received.granted = true;
                    let (to, claim) = received.claim_id;
                    self.send(to, Message::Granted(claim), actions);
                }
                table::Action::Hold(ticket) => {
                    let Some(received) = self.received.get(&ticket) else {
                        continue;
                    };
                    let first = self
                        .table
                        .first_in_flight(received.customer, &received.key)
                        .filter(|first| *first != ticket);
                    let (to, claim) = received.claim_id;
                    // One that waits only for its own record is told when that counts.
                    if let Some(claim_id) = first
                        .and_then(|first| self.received.get(&first))
                        .map(|received| received.claim_id)
                    {
                        self.send(to, Message::Queued(claim, claim_id), actions);
                    }
                }
                table::Action::Drop(_) => {}
                table::Action::Tell(ticket, telling) => {
                    let Some(received) = self.received.remove(&ticket) else {
                        continue;
                    };
                    self.ticket_by_claim.remove(&received.claim_id);
                    let (to, claim) = received.claim_id;
                    self.send(to, Message::Denied(claim, denial_for(telling)), actions);
                }
            }
        }
    }

    fn set_reachable(&mut self, member: Member, reachable: bool, actions: &mut Vec<Action<A>>) {
        if reachable {
            self.unreachable.remove(&member);
            for message in self.queued_outcomes.remove(&member).unwrap_or_default() {
                self.send(member, message, actions);
            }
            return;
        }
        self.unreachable.insert(member);
        // Whatever it was asked may have reached it: it is told later that it was given up.
        let customer_keys: Vec<CustomerKey> = self
            .pending_claims
            .iter()
            .filter(|(_, pending)| !pending.forwarded)
            .map(|(customer_key, _)| customer_key.clone())
            .collect();
        for customer_key in customer_keys {
            self.mark_unavailable(&customer_key, member, actions);
        }
    }

    /// A holder that has not answered, or that others are waited for at, is not there any more.
    fn mark_unavailable(
        &mut self,
        customer_key: &CustomerKey,
        member: Member,
        actions: &mut Vec<Action<A>>,
    ) {
        let Some(pending) = self.pending_claims.get_mut(customer_key) else {
            return;
        };
        let claim = pending.claim;
        match pending.votes.get_mut(&member) {
            Some(vote @ (Vote::Asked | Vote::Queued(_))) => *vote = Vote::Unavailable,
            _ => return,
        }
        self.send(member, Message::Released(claim), actions);
        self.evaluate(customer_key, actions);
    }

    /// A member's earlier life is over, with all that it had out or wanted.
    fn end_previous_incarnation(&mut self, member: Member, actions: &mut Vec<Action<A>>) {
        let expired = |received: &ReceivedClaim| {
            received.claim_id.0 == member && !(received.granted && self.config.takeover_enabled)
        };
        let tickets: Vec<Ticket> = self
            .received
            .iter()
            .filter(|(_, received)| expired(received))
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in tickets {
            self.end_without_outcome(ticket, actions);
        }
    }

    /// Nothing more will be heard of a claim: it may have run if it was granted.
    fn end_without_outcome(&mut self, ticket: Ticket, actions: &mut Vec<Action<A>>) {
        let Some(received) = self.received.remove(&ticket) else {
            return;
        };
        self.ticket_by_claim.remove(&received.claim_id);
        let event = match received.granted {
            true => table::Event::Lost { ticket },
            false => table::Event::Released { ticket },
        };
        self.apply_to_table(event, actions);
    }

    fn tick(&mut self, actions: &mut Vec<Action<A>>) {
        let overdue: Vec<(CustomerKey, Member)> = self
            .pending_claims
            .iter()
            .filter(|(_, pending)| !pending.forwarded && pending.deadline <= self.now)
            .flat_map(|(customer_key, pending)| {
                let asked = pending.votes.iter().filter(|(_, vote)| vote.is_asked());
                asked.map(|(holder, _)| (customer_key.clone(), *holder))
            })
            .collect();
        for (customer_key, holder) in overdue {
            self.mark_unavailable(&customer_key, holder, actions);
        }
        let expired: Vec<Ticket> = self
            .received
            .iter()
            .filter(|(_, received)| received.deadline <= self.now)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in expired {
            self.end_without_outcome(ticket, actions);
        }
        self.apply_to_table(table::Event::Tick, actions);
    }
}

/// What a request is told when its key cannot be had: what says most of those who said anything.
fn reply_from_denials<'a, A: Clone + 'a>(votes: impl Iterator<Item = &'a Vote<A>>) -> Reply<A> {
    let rank = |denial: &Denial<A>| match denial {
        Denial::Replay(_) => 0,
        Denial::NotKept => 1,
        Denial::Unknown => 2,
        Denial::Mismatch => 3,
        Denial::Quiet => 4,
        Denial::InFlight => 5,
        Denial::NotWritten => 6,
        Denial::Full(_) => 7,
    };
    let denials = votes.filter_map(|vote| match vote {
        Vote::Denied(denial) => Some(denial),
        _ => None,
    });
    let Some(denial) = denials.min_by_key(|denial| rank(denial)) else {
        return Reply::NoMajority;
    };
    Reply::Standard(match denial.clone() {
        Denial::Replay(answer) => Telling::Replay(answer),
        Denial::NotKept => Telling::NotKept,
        Denial::Mismatch => Telling::Mismatch,
        Denial::Unknown => Telling::Unknown,
        Denial::InFlight => Telling::InFlight,
        Denial::Quiet => Telling::Quiet,
        Denial::Full(retry_after) => Telling::Full { retry_after },
        Denial::NotWritten => Telling::NotWritten,
    })
}

fn denial_for<A>(telling: Telling<A>) -> Denial<A> {
    match telling {
        Telling::Own(answer) | Telling::Replay(answer) => Denial::Replay(answer),
        Telling::Mismatch => Denial::Mismatch,
        Telling::InFlight => Denial::InFlight,
        Telling::Unknown => Denial::Unknown,
        Telling::NotKept => Denial::NotKept,
        Telling::Full { retry_after } => Denial::Full(retry_after),
        Telling::Quiet => Denial::Quiet,
        Telling::NotWritten => Denial::NotWritten,
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Outcome {
    Served,
    Rejected,
    Failed,
}
