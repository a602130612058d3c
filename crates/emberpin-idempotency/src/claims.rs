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
pub type Holding = (Member, Claim);

/// What limiters tell each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Said<A> {
    /// The claimant wants this key.
    Wants {
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
    Waits(Claim, Holding),
    /// The holder cannot grant it.
    Told(Claim, Verdict<A>),
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
pub enum Verdict<A> {
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
pub struct Rules {
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
    pub owed: usize,
    /// Work outlives its limiter: what a life that is gone was granted stays in flight until it is said what became of it,
    /// or its time is over.
    pub takes_over: bool,
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
    /// A request's client left.
    Left {
        /// Which.
        ticket: Ticket,
    },
    /// A record counts.
    Written {
        /// By the name that it was given.
        ticket: Ticket,
    },
    /// A record could not be written.
    Unwritten {
        /// By the name that it was given.
        ticket: Ticket,
    },
    /// A member said something.
    Heard {
        /// Who.
        from: Member,
        /// What.
        said: Said<A>,
    },
    /// Whether something can be told to a member.
    Reaches {
        /// Whom.
        member: Member,
        /// Whether.
        reaches: bool,
    },
    /// A member has started anew: what it had out may run yet, and nobody will tell.
    NewLife {
        /// Who.
        member: Member,
    },
    /// Nobody goes on with what a claim was granted for.
    Ended {
        /// Whose claim, and which.
        of: Holding,
        /// It may have run; else nothing of it was ever sent.
        ran: bool,
    },
    /// What another's claim was granted for was served here.
    Finished {
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
    Pass(Ticket),
    /// Keep it until it is told something, or leaves.
    Hold(Ticket),
    /// Nobody wants this request any more, and nothing of it was sent.
    Drop(Ticket),
    /// Its one answer.
    Tell(Ticket, Told<A>),
    /// Append this to the log. With a name, say whether it counts.
    Record(Record<A>, Option<Ticket>),
    /// Tell a member.
    Say(Member, Said<A>),
}

/// What a request is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Told<A> {
    /// As a limiter alone would tell it.
    Telling(Telling<A>),
    /// Too few of those that hold its keys are there; nothing was sent.
    NoMajority,
}

/// What a claimant knows from one holder.
#[derive(Clone, Debug, PartialEq)]
enum Vote<A> {
    /// Not asked yet: a majority may do without it.
    Spare,
    Asked,
    Granted,
    Waits(Holding),
    Told(Verdict<A>),
    /// Its grant was given back, for a lower claim; it may be asked again.
    Back,
    /// Not there.
    None,
}

impl<A> Vote<A> {
    fn is_asked(&self) -> bool {
        matches!(self, Vote::Asked)
    }

    fn is_granted(&self) -> bool {
        matches!(self, Vote::Granted)
    }

    fn is_back(&self) -> bool {
        matches!(self, Vote::Back)
    }
}

/// A key that requests here want.
#[derive(Clone)]
struct Ask<A> {
    claim: Claim,
    fingerprint: Fingerprint,
    /// The request that goes on if the key is granted.
    lead: Ticket,
    /// Its client is there.
    lead_there: bool,
    waiters: Vec<Ticket>,
    votes: BTreeMap<Member, Vote<A>>,
    /// Until then holders may answer.
    until: Millis,
    /// Nothing is begun for it later.
    expires: Millis,
    running: bool,
}

/// A claim that stands in this holder's table.
#[derive(Clone)]
struct Held {
    of: Holding,
    customer: Customer,
    key: Key,
    /// Whatever its claimant begins under it is begun by then.
    until: Millis,
    granted: bool,
}

type Name = (Customer, Key);

/// The claims of one limiter.
#[derive(Clone)]
pub struct Claims<A> {
    rules: Rules,
    now: Millis,
    table: Table<A>,
    asks: BTreeMap<Name, Ask<A>>,
    by_claim: BTreeMap<Claim, Name>,
    by_ticket: BTreeMap<Ticket, Name>,
    held: BTreeMap<Ticket, Held>,
    by_holding: BTreeMap<Holding, Ticket>,
    away: BTreeSet<Member>,
    /// What members that are away are to be told.
    owed: BTreeMap<Member, Vec<Said<A>>>,
    next: u64,
    /// What this limiter says to itself, in order.
    own: Vec<Said<A>>,
}

impl<A: Clone + Weight> Claims<A> {
    /// The claims of a limiter that starts now. All other members are away until it is told otherwise.
    pub fn new(rules: Rules, limits: Limits, now: Millis) -> Claims<A> {
        let away = rules
            .members
            .iter()
            .copied()
            .filter(|member| *member != rules.me)
            .collect();
        let first_claim = rules.first_claim;
        Claims {
            table: Table::new(limits, now),
            rules,
            now,
            asks: BTreeMap::new(),
            by_claim: BTreeMap::new(),
            by_ticket: BTreeMap::new(),
            held: BTreeMap::new(),
            by_holding: BTreeMap::new(),
            away,
            owed: BTreeMap::new(),
            next: first_claim,
            own: Vec::new(),
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
            .rules
            .members
            .iter()
            .map(|member| (crate::owner::weight(customer, member.0), *member))
            .collect();
        members.sort_unstable_by(|one, other| other.cmp(one));
        members
            .into_iter()
            .take(self.rules.copies)
            .map(|(_, member)| member)
            .collect()
    }

    /// The claim under which a request of this limiter goes on, and whose key it is.
    pub fn claim_of(&self, ticket: Ticket) -> Option<(Claim, Customer)> {
        let name = self.by_ticket.get(&ticket)?;
        self.asks.get(name).map(|ask| (ask.claim, name.0))
    }

    /// Whose key a claim holds here.
    pub fn customer_of(&self, of: Holding) -> Option<Customer> {
        self.held
            .get(self.by_holding.get(&of)?)
            .map(|held| held.customer)
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
                self.arrive(ticket, customer, key, fingerprint, within, actions);
            }
            Event::Served { ticket, answer } => {
                self.conclude(ticket, answer, Outcome::Served, actions);
            }
            Event::Refused { ticket, answer } => {
                self.conclude(ticket, answer, Outcome::Refused, actions);
            }
            Event::Failed { ticket, answer } => {
                self.conclude(ticket, answer, Outcome::Failed, actions);
            }
            Event::Left { ticket } => self.leave(ticket, actions),
            Event::Written { ticket } => self.hold(table::Event::Written { ticket }, actions),
            Event::Unwritten { ticket } => self.hold(table::Event::Unwritten { ticket }, actions),
            Event::Heard { from, said } => self.hear(from, said, actions),
            Event::Reaches { member, reaches } => self.reaches(member, reaches, actions),
            Event::NewLife { member } => self.bereave(member, actions),
            Event::Ended { of, ran: false } => {
                self.of_claim(of, |ticket| table::Event::Released { ticket }, actions);
            }
            Event::Ended { of, ran: true } => {
                self.of_claim(of, |ticket| table::Event::Lost { ticket }, actions);
            }
            Event::Finished {
                customer,
                key,
                fingerprint,
                answer,
            } => {
                self.next += 1;
                let claim = Claim(self.next);
                for holder in self.holders(customer) {
                    let (key, answer) = (key.clone(), answer.clone());
                    self.say(
                        holder,
                        Said::Served {
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
        while !self.own.is_empty() {
            for said in std::mem::take(&mut self.own) {
                self.hear(self.rules.me, said, actions);
            }
        }
    }

    fn say(&mut self, to: Member, said: Said<A>, actions: &mut Vec<Action<A>>) {
        if to == self.rules.me {
            self.own.push(said);
        } else if !self.away.contains(&to) {
            actions.push(Action::Say(to, said));
        } else if matches!(
            said,
            Said::Released(_) | Said::Lost(_) | Said::Served { .. }
        ) {
            // An outcome is worth telling late: it turns "may have run" into an answer.
            let owed = self.owed.entry(to).or_default();
            if owed.len() >= self.rules.owed && !owed.is_empty() {
                owed.remove(0);
            }
            if self.rules.owed > 0 {
                owed.push(said);
            }
        }
    }

    // As a claimant.

    fn arrive(
        &mut self,
        ticket: Ticket,
        customer: Customer,
        key: Key,
        fingerprint: Fingerprint,
        within: Millis,
        actions: &mut Vec<Action<A>>,
    ) {
        let name = (customer, key);
        if let Some(ask) = self.asks.get_mut(&name) {
            let telling = if ask.fingerprint != fingerprint {
                Telling::Mismatch
            } else if ask.waiters.len() >= self.rules.waiters_per_key {
                Telling::InFlight
            } else {
                ask.waiters.push(ticket);
                self.by_ticket.insert(ticket, name);
                return actions.push(Action::Hold(ticket));
            };
            return actions.push(Action::Tell(ticket, Told::Telling(telling)));
        }
        self.next += 1;
        let claim = Claim(self.next);
        let votes = self
            .holders(customer)
            .into_iter()
            .map(|holder| (holder, Vote::Spare))
            .collect();
        let (until, running) = (self.now + self.rules.ask_within, false);
        let (lead, lead_there, waiters) = (ticket, true, Vec::new());
        let expires = self.now + within;
        let ask = Ask {
            claim,
            fingerprint,
            lead,
            lead_there,
            waiters,
            votes,
            until,
            expires,
            running,
        };
        self.asks.insert(name.clone(), ask);
        self.by_claim.insert(claim, name.clone());
        self.by_ticket.insert(ticket, name.clone());
        actions.push(Action::Hold(ticket));
        self.weigh(&name, actions);
    }

    /// Asks the next holder that was not asked yet, this limiter first and then in the customer's own order, so that
    /// claims of one key meet; false if there is none.
    fn ask_another(&mut self, name: &Name, actions: &mut Vec<Action<A>>) -> bool {
        let (now, me) = (self.now, self.rules.me);
        let mut order = self.holders(name.0);
        order.sort_by_key(|holder| *holder != me);
        let Some(ask) = self.asks.get_mut(name) else {
            return false;
        };
        let spare = |holder: &Member| matches!(ask.votes.get(holder), Some(Vote::Spare));
        let next = order
            .into_iter()
            .filter(|holder| !self.away.contains(holder))
            .find(spare);
        let Some(holder) = next else { return false };
        ask.votes.insert(holder, Vote::Asked);
        ask.until = now + self.rules.ask_within;
        let (claim, fingerprint, within) =
            (ask.claim, ask.fingerprint, (ask.expires - now).max(0.0));
        let (customer, key) = name.clone();
        self.say(
            holder,
            Said::Wants {
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
    fn weigh(&mut self, name: &Name, actions: &mut Vec<Action<A>>) {
        let Some(ask) = self.asks.get_mut(name).filter(|ask| !ask.running) else {
            return;
        };
        let majority = ask.votes.len() / 2 + 1;
        let count =
            |wanted: fn(&Vote<A>) -> bool| ask.votes.values().filter(|vote| wanted(vote)).count();
        let granted = count(Vote::is_granted);
        if granted >= majority {
            ask.running = true;
            return actions.push(Action::Pass(ask.lead));
        }
        // What has an outcome has it, whoever else would grant it.
        let replay = ask.votes.values().find_map(|vote| match vote {
            Vote::Told(Verdict::Replay(answer)) => Some(answer.clone()),
            _ => None,
        });
        if let Some(answer) = replay {
            return self.resolve(name, &Told::Telling(Telling::Replay(answer)), actions);
        }
        if granted + count(Vote::is_asked) >= majority {
            return;
        }
        if self.ask_another(name, actions) {
            return self.weigh(name, actions);
        }
        let Some(ask) = self.asks.get(name) else {
            return;
        };
        let me = (self.rules.me, ask.claim);
        let others: Vec<Holding> = ask
            .votes
            .values()
            .filter_map(|vote| match vote {
                Vote::Waits(holding) => Some(*holding),
                _ => None,
            })
            .collect();
        if others.is_empty() {
            if ask.votes.values().any(Vote::is_back) {
                return self.ask_again(name, actions);
            }
            let told = last_word(ask.votes.values());
            return self.resolve(name, &told, actions);
        }
        // Neither has a majority while each keeps what it has: the lower claim keeps it, the other gives way and waits.
        if others.iter().any(|other| *other < me) {
            self.give_back(name, actions);
        }
    }

    /// Gives back what was granted.
    fn give_back(&mut self, name: &Name, actions: &mut Vec<Action<A>>) {
        let Some(ask) = self.asks.get_mut(name) else {
            return;
        };
        let claim = ask.claim;
        let mut granted = Vec::new();
        for (holder, vote) in &mut ask.votes {
            if vote.is_granted() {
                *vote = Vote::Back;
                granted.push(*holder);
            }
        }
        for holder in granted {
            self.say(holder, Said::Released(claim), actions);
        }
    }

    /// Whoever this one gave way to has given up: asks again where it gave a grant back.
    fn ask_again(&mut self, name: &Name, actions: &mut Vec<Action<A>>) {
        let Some(ask) = self.asks.get_mut(name) else {
            return;
        };
        ask.until = self.now + self.rules.ask_within;
        let (claim, fingerprint, within) = (
            ask.claim,
            ask.fingerprint,
            (ask.expires - self.now).max(0.0),
        );
        let mut again = Vec::new();
        for (holder, vote) in &mut ask.votes {
            if vote.is_back() {
                let away = self.away.contains(holder);
                *vote = if away { Vote::None } else { Vote::Asked };
                again.extend((!away).then_some(*holder));
            }
        }
        for holder in again {
            let (customer, key) = name.clone();
            self.say(
                holder,
                Said::Wants {
                    claim,
                    customer,
                    key,
                    fingerprint,
                    within,
                },
                actions,
            );
        }
        self.weigh(name, actions);
    }

    /// Nobody here wants a key any more, or all are told.
    fn resolve(&mut self, name: &Name, told: &Told<A>, actions: &mut Vec<Action<A>>) {
        let Some(ask) = self.asks.remove(name) else {
            return;
        };
        self.by_claim.remove(&ask.claim);
        self.by_ticket.remove(&ask.lead);
        actions.push(Action::Drop(ask.lead));
        if ask.lead_there {
            actions.push(Action::Tell(ask.lead, told.clone()));
        }
        for waiter in &ask.waiters {
            self.by_ticket.remove(waiter);
            actions.push(Action::Tell(*waiter, told.clone()));
        }
        // Each holder that may have it in its table; one that is away is told later.
        for (holder, vote) in ask.votes {
            if !matches!(vote, Vote::Told(_) | Vote::Spare) {
                self.say(holder, Said::Released(ask.claim), actions);
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
        let Some(name) = self.by_ticket.remove(&ticket) else {
            return;
        };
        if !self
            .asks
            .get(&name)
            .is_some_and(|ask| ask.running && ask.lead == ticket)
        {
            return;
        }
        let Some(ask) = self.asks.remove(&name) else {
            return;
        };
        self.by_claim.remove(&ask.claim);
        if ask.lead_there {
            actions.push(Action::Tell(
                ticket,
                Told::Telling(Telling::Own(answer.clone())),
            ));
        }
        for waiter in ask.waiters {
            self.by_ticket.remove(&waiter);
            actions.push(Action::Tell(
                waiter,
                Told::Telling(Telling::Replay(answer.clone())),
            ));
        }
        let (claim, fingerprint, (customer, key)) = (ask.claim, ask.fingerprint, name);
        for holder in ask.votes.into_keys() {
            let said = match outcome {
                Outcome::Served => Said::Served {
                    claim,
                    customer,
                    key: key.clone(),
                    fingerprint,
                    answer: answer.clone(),
                },
                Outcome::Refused => Said::Released(claim),
                Outcome::Failed => Said::Lost(claim),
            };
            self.say(holder, said, actions);
        }
    }

    fn leave(&mut self, ticket: Ticket, actions: &mut Vec<Action<A>>) {
        let Some(name) = self.by_ticket.get(&ticket).cloned() else {
            return;
        };
        let Some(ask) = self.asks.get_mut(&name) else {
            return;
        };
        if ask.lead == ticket {
            ask.lead_there = false;
        } else {
            ask.waiters.retain(|waiter| *waiter != ticket);
            self.by_ticket.remove(&ticket);
            actions.push(Action::Drop(ticket));
        }
        // What is out goes on, so that a repeat has its outcome; what is not is dropped with the last who wants it.
        if !ask.running && !ask.lead_there && ask.waiters.is_empty() {
            self.resolve(&name, &Told::NoMajority, actions);
        }
    }

    // As a holder.

    fn hear(&mut self, from: Member, said: Said<A>, actions: &mut Vec<Action<A>>) {
        match said {
            Said::Wants {
                claim,
                customer,
                key,
                fingerprint,
                within,
            } => {
                let of = (from, claim);
                if self.by_holding.contains_key(&of) {
                    return;
                }
                self.next += 1;
                let ticket = Ticket(self.next);
                let until = self.now + within.clamp(0.0, 600_000.0) + self.rules.slack;
                let held = Held {
                    of,
                    customer,
                    key: key.clone(),
                    until,
                    granted: false,
                };
                self.held.insert(ticket, held);
                self.by_holding.insert(of, ticket);
                self.hold(
                    table::Event::Arrived {
                        ticket,
                        customer,
                        key,
                        fingerprint,
                    },
                    actions,
                );
            }
            Said::Released(claim) => self.of_claim(
                (from, claim),
                |ticket| table::Event::Released { ticket },
                actions,
            ),
            Said::Lost(claim) => self.of_claim(
                (from, claim),
                |ticket| table::Event::Lost { ticket },
                actions,
            ),
            Said::Served {
                claim,
                customer,
                key,
                fingerprint,
                answer,
            } => {
                if let Some(ticket) = self.by_holding.remove(&(from, claim)) {
                    self.held.remove(&ticket);
                }
                self.hold(
                    table::Event::Learned {
                        customer,
                        key,
                        fingerprint,
                        answer,
                    },
                    actions,
                );
            }
            Said::Granted(claim) => self.vote(from, claim, Vote::Granted, actions),
            Said::Waits(claim, holding) => self.vote(from, claim, Vote::Waits(holding), actions),
            Said::Told(claim, verdict) => self.vote(from, claim, Vote::Told(verdict), actions),
        }
    }

    fn vote(&mut self, from: Member, claim: Claim, vote: Vote<A>, actions: &mut Vec<Action<A>>) {
        let name = self.by_claim.get(&claim).cloned();
        let ask = name.as_ref().and_then(|name| self.asks.get_mut(name));
        let known = ask.and_then(|ask| ask.votes.get_mut(&from));
        match (known, name) {
            // What was given back, or counted as not there, has been released there already, behind the asking.
            (Some(Vote::None | Vote::Back | Vote::Spare), _) => {}
            (Some(known), Some(name)) => {
                *known = vote;
                self.weigh(&name, actions);
            }
            // Nobody here wants it any more.
            _ if vote.is_granted() => self.say(from, Said::Released(claim), actions),
            _ => {}
        }
    }

    fn of_claim(
        &mut self,
        of: Holding,
        event: impl FnOnce(Ticket) -> table::Event<A>,
        actions: &mut Vec<Action<A>>,
    ) {
        if let Some(ticket) = self.by_holding.remove(&of) {
            self.held.remove(&ticket);
            self.hold(event(ticket), actions);
        }
    }

    /// Feeds the table, and tells claimants what it says.
    fn hold(&mut self, event: table::Event<A>, actions: &mut Vec<Action<A>>) {
        let mut told = Vec::new();
        self.table.handle(self.now, event, &mut told);
        for action in told {
            match action {
                table::Action::Record(record, ticket) => {
                    actions.push(Action::Record(record, ticket));
                }
                table::Action::Pass(ticket) => {
                    let Some(held) = self.held.get_mut(&ticket) else {
                        continue;
                    };
                    held.granted = true;
                    let (to, claim) = held.of;
                    self.say(to, Said::Granted(claim), actions);
                }
                table::Action::Hold(ticket) => {
                    let Some(held) = self.held.get(&ticket) else {
                        continue;
                    };
                    let first = self
                        .table
                        .first(held.customer, &held.key)
                        .filter(|first| *first != ticket);
                    let (to, claim) = held.of;
                    // One that waits only for its own record is told when that counts.
                    if let Some(holding) = first
                        .and_then(|first| self.held.get(&first))
                        .map(|held| held.of)
                    {
                        self.say(to, Said::Waits(claim, holding), actions);
                    }
                }
                table::Action::Drop(_) => {}
                table::Action::Tell(ticket, telling) => {
                    let Some(held) = self.held.remove(&ticket) else {
                        continue;
                    };
                    self.by_holding.remove(&held.of);
                    let (to, claim) = held.of;
                    self.say(to, Said::Told(claim, verdict(telling)), actions);
                }
            }
        }
    }

    fn reaches(&mut self, member: Member, reaches: bool, actions: &mut Vec<Action<A>>) {
        if reaches {
            self.away.remove(&member);
            for said in self.owed.remove(&member).unwrap_or_default() {
                self.say(member, said, actions);
            }
            return;
        }
        self.away.insert(member);
        // Whatever it was asked may have reached it: it is told later that it was given up.
        let names: Vec<Name> = self
            .asks
            .iter()
            .filter(|(_, ask)| !ask.running)
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            self.miss(&name, member, actions);
        }
    }

    /// A holder that has not answered, or that others are waited for at, is not there any more.
    fn miss(&mut self, name: &Name, member: Member, actions: &mut Vec<Action<A>>) {
        let Some(ask) = self.asks.get_mut(name) else {
            return;
        };
        let claim = ask.claim;
        match ask.votes.get_mut(&member) {
            Some(vote @ (Vote::Asked | Vote::Waits(_))) => *vote = Vote::None,
            _ => return,
        }
        self.say(member, Said::Released(claim), actions);
        self.weigh(name, actions);
    }

    /// A member's earlier life is over, with all that it had out or wanted.
    fn bereave(&mut self, member: Member, actions: &mut Vec<Action<A>>) {
        let over = |held: &Held| held.of.0 == member && !(held.granted && self.rules.takes_over);
        let of: Vec<Ticket> = self
            .held
            .iter()
            .filter(|(_, held)| over(held))
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in of {
            self.give_up(ticket, actions);
        }
    }

    /// Nothing more will be heard of a claim: it may have run if it was granted.
    fn give_up(&mut self, ticket: Ticket, actions: &mut Vec<Action<A>>) {
        let Some(held) = self.held.remove(&ticket) else {
            return;
        };
        self.by_holding.remove(&held.of);
        let event = match held.granted {
            true => table::Event::Lost { ticket },
            false => table::Event::Released { ticket },
        };
        self.hold(event, actions);
    }

    fn tick(&mut self, actions: &mut Vec<Action<A>>) {
        let late: Vec<(Name, Member)> = self
            .asks
            .iter()
            .filter(|(_, ask)| !ask.running && ask.until <= self.now)
            .flat_map(|(name, ask)| {
                let asked = ask.votes.iter().filter(|(_, vote)| vote.is_asked());
                asked.map(|(holder, _)| (name.clone(), *holder))
            })
            .collect();
        for (name, holder) in late {
            self.miss(&name, holder, actions);
        }
        let over: Vec<Ticket> = self
            .held
            .iter()
            .filter(|(_, held)| held.until <= self.now)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in over {
            self.give_up(ticket, actions);
        }
        self.hold(table::Event::Tick, actions);
    }
}

/// What a request is told when its key cannot be had: what says most of those who said anything.
fn last_word<'a, A: Clone + 'a>(votes: impl Iterator<Item = &'a Vote<A>>) -> Told<A> {
    let rank = |verdict: &Verdict<A>| match verdict {
        Verdict::Replay(_) => 0,
        Verdict::NotKept => 1,
        Verdict::Unknown => 2,
        Verdict::Mismatch => 3,
        Verdict::Quiet => 4,
        Verdict::InFlight => 5,
        Verdict::NotWritten => 6,
        Verdict::Full(_) => 7,
    };
    let told = votes.filter_map(|vote| match vote {
        Vote::Told(verdict) => Some(verdict),
        _ => None,
    });
    let Some(verdict) = told.min_by_key(|verdict| rank(verdict)) else {
        return Told::NoMajority;
    };
    Told::Telling(match verdict.clone() {
        Verdict::Replay(answer) => Telling::Replay(answer),
        Verdict::NotKept => Telling::NotKept,
        Verdict::Mismatch => Telling::Mismatch,
        Verdict::Unknown => Telling::Unknown,
        Verdict::InFlight => Telling::InFlight,
        Verdict::Quiet => Telling::Quiet,
        Verdict::Full(retry_after) => Telling::Full { retry_after },
        Verdict::NotWritten => Telling::NotWritten,
    })
}

fn verdict<A>(telling: Telling<A>) -> Verdict<A> {
    match telling {
        Telling::Own(answer) | Telling::Replay(answer) => Verdict::Replay(answer),
        Telling::Mismatch => Verdict::Mismatch,
        Telling::InFlight => Verdict::InFlight,
        Telling::Unknown => Verdict::Unknown,
        Telling::NotKept => Verdict::NotKept,
        Telling::Full { retry_after } => Verdict::Full(retry_after),
        Telling::Quiet => Verdict::Quiet,
        Telling::NotWritten => Verdict::NotWritten,
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Outcome {
    Served,
    Refused,
    Failed,
}
