//! Coordinates the keys of several limiters: a request is forwarded only once a majority of the limiters that hold its
//! customer's keys has granted it the key, each with its record on disk.
//!
//! Any two majorities have a limiter in common, and a limiter grants a key once within its retention period. So two
//! requests of one key are never both forwarded, whichever limiters are partitioned, paused or down. One limiter of
//! three may be down for long without a request being rejected for it. There is no leader that can fail, no lease that
//! can expire, and no clock that limiters must share.
//!
//! Each limiter has two roles. As a *holder* it has a [`Table`], in which the claims of limiters take the place of the
//! requests that a single limiter would enter. As a *claimant* it requests the keys of the requests that it received
//! from their holders. Repeats that arrive at the claimant meanwhile wait for the same claim, so that a thousand of
//! them send its messages once.
//!
//! If two claimants are each granted a part of the holders, so that neither has a majority, the one with the higher
//! [`ClaimId`] withdraws its claim and waits for the other.

use crate::fingerprint::Fingerprint;
use crate::key::Key;
use crate::record::{Customer, Millis, Record};
use crate::table::{self, Limits, SizeInBytes, Table, TableReply, Ticket};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The number of a limiter, the same in the settings of all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member(pub u32);

/// The number of a claim, unique within an incarnation of its claimant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Claim(pub u64);

/// Identifies a claim among all limiters: its claimant and its number.
pub type ClaimId = (Member, Claim);

/// A message between limiters about a claim. Encoded by position (postcard): the order of variants and fields is the
/// wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message<A> {
    /// From claimant to holder: requests a key.
    Request {
        /// The claim that the key is requested for.
        claim: Claim,
        /// The customer that the key belongs to.
        customer: Customer,
        /// The key.
        key: Key,
        /// The fingerprint of the request.
        fingerprint: Fingerprint,
        /// Attempts under the claim start within this many milliseconds after the message is sent, none later.
        within: Millis,
    },
    /// From holder to claimant: the key is granted.
    Granted(Claim),
    /// From holder to claimant: another claim has the key and no outcome yet. The holder sends another message once
    /// that claim ends.
    Queued(Claim, ClaimId),
    /// From holder to claimant: the key is not granted, and the claim has ended at this holder.
    Denied(Claim, Denial<A>),
    /// From claimant to holder: the claim is withdrawn; nothing was sent under it.
    Released(Claim),
    /// From claimant to holder: the request may have run, and no outcome will follow.
    Lost(Claim),
    /// To the holder, from the claimant or the limiter that took the work over: the request was served.
    Served {
        /// The claim under which the request was forwarded. After a takeover, a new number that stands for no claim.
        claim: Claim,
        /// The customer that the key belongs to.
        customer: Customer,
        /// The key.
        key: Key,
        /// The fingerprint of the request.
        fingerprint: Fingerprint,
        /// The answer to the request.
        answer: A,
    },
}

/// Why a holder does not grant a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Denial<A> {
    /// The key's request was served, with this answer.
    Replay(A),
    /// The key's request was served, and its answer is not kept any more.
    NotKept,
    /// The key was used for a request with another fingerprint.
    Mismatch,
    /// The key's request may have run.
    Unknown,
    /// The maximum number of claims waits for the key already.
    InFlight,
    /// The holder has started recently and does not know what ran before its start.
    Quiet,
    /// The holder has no capacity for another key for this many milliseconds.
    Full(Millis),
    /// The holder could not write its record.
    NotWritten,
}

/// Configuration of [`Claims`]. There are no defaults.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimConfig {
    /// The number of this limiter.
    pub me: Member,
    /// All limiters, including this one.
    pub members: Vec<Member>,
    /// The number of holders of each customer's keys: 1, or an odd number.
    pub copies: usize,
    /// A holder that has not answered within this many milliseconds counts as unavailable for the claim.
    pub ask_within: Millis,
    /// The margin, in milliseconds, that a holder adds to the time in which attempts may start under a claim. It covers
    /// the delay of a message and the drift between two clocks during that time.
    pub slack: Millis,
    /// Maximum number of requests that wait for one claim at its claimant.
    pub waiters_per_key: usize,
    /// Maximum number of outcomes that are queued for one unreachable holder. Beyond it the oldest is dropped, and the
    /// holder then treats the key as one whose request may have run.
    pub max_queued_outcomes: usize,
    /// Whether another limiter may take over work of a lost one. If so, a granted claim of an ended incarnation stays
    /// in flight until its outcome is reported or its time is over.
    pub takeover_enabled: bool,
    /// Claims get the numbers above this one. If `takeover_enabled`, numbers of two incarnations must not overlap.
    pub first_claim: u64,
}

/// An input of [`Claims::handle`].
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
        /// Milliseconds until the client times out. No attempt starts later.
        within: Millis,
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
    /// The client of a request disconnected.
    ClientLeft {
        /// The ticket of the request.
        ticket: Ticket,
    },
    /// A record is durable.
    Written {
        /// The ticket that the [`Action::Record`] named.
        ticket: Ticket,
    },
    /// A record could not be written.
    Unwritten {
        /// The ticket that the [`Action::Record`] named.
        ticket: Ticket,
    },
    /// A message from another limiter arrived.
    Received {
        /// The limiter that sent it.
        from: Member,
        /// The message.
        message: Message<A>,
    },
    /// A limiter has become reachable or unreachable.
    Reachable {
        /// The limiter in question.
        member: Member,
        /// Whether messages to it are delivered.
        reachable: bool,
    },
    /// A limiter has restarted. What its previous incarnation had in flight may still run, and it will not report the
    /// outcome.
    NewIncarnation {
        /// The limiter in question.
        member: Member,
    },
    /// No limiter continues the work of a claim.
    ClaimEnded {
        /// The claim that has ended.
        claim_id: ClaimId,
        /// Whether the work may have run. Otherwise nothing of it was ever sent.
        may_have_run: bool,
    },
    /// This limiter has taken over work of another limiter's claim, and it was served.
    ServedAfterTakeover {
        /// The customer that the key belongs to.
        customer: Customer,
        /// The key.
        key: Key,
        /// The fingerprint of the request.
        fingerprint: Fingerprint,
        /// The answer to the request.
        answer: A,
    },
    /// Time has passed: time-outs are checked and expired entries removed.
    Tick,
}

/// An output of [`Claims::handle`], to be carried out by the host in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action<A> {
    /// Forward this first request, and report its outcome.
    Forward(Ticket),
    /// Hold this request until a later action forwards, answers or drops it.
    Hold(Ticket),
    /// Discard this request: it will not be forwarded, and nothing of it was sent.
    Drop(Ticket),
    /// Send the one reply that this request gets.
    Reply(Ticket, Reply<A>),
    /// Append this record to the log. If there is a ticket, report with it whether the record became durable
    /// ([`Event::Written`] or [`Event::Unwritten`]).
    Record(Record<A>, Option<Ticket>),
    /// Send a message to another limiter.
    Send(Member, Message<A>),
}

/// The reply to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply<A> {
    /// A reply that a limiter deciding on its own could give too.
    Standard(TableReply<A>),
    /// Too few holders of the key are available for a majority; nothing was sent.
    NoMajority,
}

/// The state of a claim at one holder, as its claimant knows it.
#[derive(Clone, Debug, PartialEq)]
enum Vote<A> {
    /// Not asked yet: a majority may be reached without it.
    NotAsked,
    Asked,
    Granted,
    Queued(ClaimId),
    Denied(Denial<A>),
    /// The claimant has withdrawn the claim after a grant, in favour of a lower claim. It may be requested again.
    Withdrawn,
    /// The holder is unreachable or did not answer in time.
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

/// A claim of this limiter, from the arrival of its first request to its outcome.
#[derive(Clone)]
struct PendingClaim<A> {
    claim: Claim,
    fingerprint: Fingerprint,
    /// The request that is forwarded if the key is granted.
    lead: Ticket,
    /// Whether the client of `lead` is still connected.
    lead_connected: bool,
    waiters: Vec<Ticket>,
    votes: BTreeMap<Member, Vote<A>>,
    /// Holders that have not answered by then count as unavailable.
    deadline: Millis,
    /// No attempt starts later than this.
    start_deadline: Millis,
    forwarded: bool,
}

/// A claim that this limiter has received as a holder, and that is in its table.
#[derive(Clone)]
struct ReceivedClaim {
    claim_id: ClaimId,
    customer: Customer,
    key: Key,
    /// All attempts under the claim have started by then. Without an outcome the claim ends then.
    deadline: Millis,
    granted: bool,
}

type CustomerKey = (Customer, Key);

/// Claimant and holder of one limiter. A state machine: see [`Claims::handle`].
#[derive(Clone)]
pub struct Claims<A> {
    config: ClaimConfig,
    now: Millis,
    table: Table<A>,
    /// The claims of this limiter as a claimant.
    pending_claims: BTreeMap<CustomerKey, PendingClaim<A>>,
    /// The keys in `pending_claims`, by the number of their claim.
    key_by_claim: BTreeMap<Claim, CustomerKey>,
    /// The keys in `pending_claims`, by the tickets of their requests.
    key_by_ticket: BTreeMap<Ticket, CustomerKey>,
    /// Claims in the table, by the ticket under which the table knows them.
    received: BTreeMap<Ticket, ReceivedClaim>,
    ticket_by_claim: BTreeMap<ClaimId, Ticket>,
    unreachable: BTreeSet<Member>,
    /// Outcomes to be sent to unreachable limiters once they are reachable again.
    queued_outcomes: BTreeMap<Member, Vec<Message<A>>>,
    /// The last number given to a claim of this limiter, or to a received claim as its ticket.
    last_id: u64,
    /// Messages of this limiter to itself, delivered in order before [`Claims::handle`] returns.
    loopback: Vec<Message<A>>,
}

impl<A: Clone + SizeInBytes> Claims<A> {
    /// Creates the state of a limiter that starts at `now`. All other limiters count as unreachable until
    /// [`Event::Reachable`] says otherwise.
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
            last_id: first_claim,
            loopback: Vec::new(),
        }
    }

    /// The table of this limiter as a holder.
    pub fn table(&self) -> &Table<A> {
        &self.table
    }

    /// The table, to be restored before the first event.
    pub fn table_mut(&mut self) -> &mut Table<A> {
        &mut self.table
    }

    /// The holders of a customer's keys: the limiters with the highest rendezvous weights, the same at every limiter.
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

    /// The claim of a request that this limiter received, and the customer of its key.
    pub fn claim_of(&self, ticket: Ticket) -> Option<(Claim, Customer)> {
        let customer_key = self.key_by_ticket.get(&ticket)?;
        self.pending_claims
            .get(customer_key)
            .map(|pending| (pending.claim, customer_key.0))
    }

    /// The customer of a claim that this limiter has received as a holder.
    pub fn customer_of(&self, claim_id: ClaimId) -> Option<Customer> {
        self.received
            .get(self.ticket_by_claim.get(&claim_id)?)
            .map(|received| received.customer)
    }

    /// Handles an event, and appends the actions that follow from it. A `now` before an earlier one counts as the
    /// earlier one.
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
            Event::Written { ticket } => self.apply(table::Event::Written { ticket }, actions),
            Event::Unwritten { ticket } => self.apply(table::Event::Unwritten { ticket }, actions),
            Event::Received { from, message } => self.on_message(from, message, actions),
            Event::Reachable { member, reachable } => self.on_reachable(member, reachable, actions),
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
                self.last_id += 1;
                let claim = Claim(self.last_id);
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
        // Delivers messages of this limiter to itself until there are no more.
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
            // An outcome is useful even if it is late: it turns "may have run" into an answer.
            let queue = self.queued_outcomes.entry(to).or_default();
            if queue.len() >= self.config.max_queued_outcomes && !queue.is_empty() {
                queue.remove(0);
            }
            if self.config.max_queued_outcomes > 0 {
                queue.push(message);
            }
        }
    }

    // Methods of the claimant.

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
            let table_reply = if pending.fingerprint != fingerprint {
                TableReply::Mismatch
            } else if pending.waiters.len() >= self.config.waiters_per_key {
                TableReply::InFlight
            } else {
                pending.waiters.push(ticket);
                self.key_by_ticket.insert(ticket, customer_key);
                return actions.push(Action::Hold(ticket));
            };
            return actions.push(Action::Reply(ticket, Reply::Standard(table_reply)));
        }
        self.last_id += 1;
        let claim = Claim(self.last_id);
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

    /// Requests the key from the next available holder that was not asked yet: this limiter first, then the others in
    /// the customer's order, so that concurrent claims of one key meet at the same holders. Returns false if there is
    /// none.
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

    /// Forwards the first request if a majority has granted the key. Otherwise asks another holder, replies or
    /// withdraws the claim, if the answers so far decide on that.
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
        // A known outcome takes precedence, whichever other holders would grant the key.
        let replay = pending.votes.values().find_map(|vote| match vote {
            Vote::Denied(Denial::Replay(answer)) => Some(answer.clone()),
            _ => None,
        });
        if let Some(answer) = replay {
            return self.end_unsent(
                customer_key,
                &Reply::Standard(TableReply::Replay(answer)),
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
        // Neither claim gets a majority while each keeps its grants. The lower claim keeps them; the other one
        // withdraws and waits.
        if competing.iter().any(|other| *other < own_id) {
            self.withdraw_grants(customer_key, actions);
        }
    }

    /// Withdraws the claim at the holders that have granted it.
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

    /// Requests the key again from the holders where the claim was withdrawn, as the claim that it gave way to has
    /// ended without an outcome.
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

    /// Ends a claim under which nothing was sent: replies to its requests, and withdraws it at the holders.
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
        // Sent to each holder that may have the claim in its table. For an unreachable one the message is queued.
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
                Reply::Standard(TableReply::Own(answer.clone())),
            ));
        }
        for waiter in pending.waiters {
            self.key_by_ticket.remove(&waiter);
            actions.push(Action::Reply(
                waiter,
                Reply::Standard(TableReply::Replay(answer.clone())),
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
        // A forwarded request continues, so that repeats get its outcome. One that was not forwarded is dropped once no
        // client waits for it.
        if !pending.forwarded && !pending.lead_connected && pending.waiters.is_empty() {
            self.end_unsent(&customer_key, &Reply::NoMajority, actions);
        }
    }

    // Methods of the holder.

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
                self.last_id += 1;
                let ticket = Ticket(self.last_id);
                // At most 10 minutes count, whatever the message says.
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
                self.apply(
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
                self.apply(
                    table::Event::Learned {
                        customer,
                        key,
                        fingerprint,
                        answer,
                    },
                    actions,
                );
            }
            Message::Granted(claim) => self.vote(from, claim, Vote::Granted, actions),
            Message::Queued(claim, other) => self.vote(from, claim, Vote::Queued(other), actions),
            Message::Denied(claim, denial) => self.vote(from, claim, Vote::Denied(denial), actions),
        }
    }

    /// Records the answer of a holder to a claim of this limiter.
    fn vote(&mut self, from: Member, claim: Claim, vote: Vote<A>, actions: &mut Vec<Action<A>>) {
        let customer_key = self.key_by_claim.get(&claim).cloned();
        let pending = customer_key
            .as_ref()
            .and_then(|customer_key| self.pending_claims.get_mut(customer_key));
        let known_vote = pending.and_then(|pending| pending.votes.get_mut(&from));
        match (known_vote, customer_key) {
            // A claim that was withdrawn or counted as unavailable has been released at the holder already, by a
            // message that follows the request.
            (Some(Vote::Unavailable | Vote::Withdrawn | Vote::NotAsked), _) => {}
            (Some(known_vote), Some(customer_key)) => {
                *known_vote = vote;
                self.evaluate(&customer_key, actions);
            }
            // The claim has ended here: its grant is released.
            _ if vote.is_granted() => self.send(from, Message::Released(claim), actions),
            _ => {}
        }
    }

    /// Ends a received claim, if it has not ended yet, and applies the event to the table under its ticket.
    fn end_claim(
        &mut self,
        claim_id: ClaimId,
        event: impl FnOnce(Ticket) -> table::Event<A>,
        actions: &mut Vec<Action<A>>,
    ) {
        if let Some(ticket) = self.ticket_by_claim.remove(&claim_id) {
            self.received.remove(&ticket);
            self.apply(event(ticket), actions);
        }
    }

    /// Applies an event to the table, and sends the resulting messages to the claimants.
    fn apply(&mut self, event: table::Event<A>, actions: &mut Vec<Action<A>>) {
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
                    // A claim that waits only for its own record gets its grant once the record is durable.
                    if let Some(claim_id) = first
                        .and_then(|first| self.received.get(&first))
                        .map(|received| received.claim_id)
                    {
                        self.send(to, Message::Queued(claim, claim_id), actions);
                    }
                }
                table::Action::Drop(_) => {}
                table::Action::Reply(ticket, table_reply) => {
                    let Some(received) = self.received.remove(&ticket) else {
                        continue;
                    };
                    self.ticket_by_claim.remove(&received.claim_id);
                    let (to, claim) = received.claim_id;
                    self.send(to, Message::Denied(claim, denial_for(table_reply)), actions);
                }
            }
        }
    }

    fn on_reachable(&mut self, member: Member, reachable: bool, actions: &mut Vec<Action<A>>) {
        if reachable {
            self.unreachable.remove(&member);
            for message in self.queued_outcomes.remove(&member).unwrap_or_default() {
                self.send(member, message, actions);
            }
            return;
        }
        self.unreachable.insert(member);
        // The holder may have received the requests, so the claims are released there.
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

    /// Counts a holder as unavailable for a claim, if it has not answered or has the claim queued behind another one.
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

    /// Ends the claims of a limiter's previous incarnation, except granted ones that another limiter may take over.
    fn end_previous_incarnation(&mut self, member: Member, actions: &mut Vec<Action<A>>) {
        let has_ended = |received: &ReceivedClaim| {
            received.claim_id.0 == member && !(received.granted && self.config.takeover_enabled)
        };
        let tickets: Vec<Ticket> = self
            .received
            .iter()
            .filter(|(_, received)| has_ended(received))
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in tickets {
            self.end_without_outcome(ticket, actions);
        }
    }

    /// Ends a claim without an outcome. If it was granted, its request may have run.
    fn end_without_outcome(&mut self, ticket: Ticket, actions: &mut Vec<Action<A>>) {
        let Some(received) = self.received.remove(&ticket) else {
            return;
        };
        self.ticket_by_claim.remove(&received.claim_id);
        let event = match received.granted {
            true => table::Event::Lost { ticket },
            false => table::Event::Released { ticket },
        };
        self.apply(event, actions);
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
        self.apply(table::Event::Tick, actions);
    }
}

/// The reply to a request whose key cannot be granted: that of the holder whose denial says most about the request, in
/// the order of `rank`.
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
        Denial::Replay(answer) => TableReply::Replay(answer),
        Denial::NotKept => TableReply::NotKept,
        Denial::Mismatch => TableReply::Mismatch,
        Denial::Unknown => TableReply::Unknown,
        Denial::InFlight => TableReply::InFlight,
        Denial::Quiet => TableReply::Quiet,
        Denial::Full(retry_after) => TableReply::Full { retry_after },
        Denial::NotWritten => TableReply::NotWritten,
    })
}

fn denial_for<A>(table_reply: TableReply<A>) -> Denial<A> {
    match table_reply {
        TableReply::Own(answer) | TableReply::Replay(answer) => Denial::Replay(answer),
        TableReply::Mismatch => Denial::Mismatch,
        TableReply::InFlight => Denial::InFlight,
        TableReply::Unknown => Denial::Unknown,
        TableReply::NotKept => Denial::NotKept,
        TableReply::Full { retry_after } => Denial::Full(retry_after),
        TableReply::Quiet => Denial::Quiet,
        TableReply::NotWritten => Denial::NotWritten,
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Outcome {
    Served,
    Rejected,
    Failed,
}
