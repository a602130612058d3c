//! The only owner of the decision module: feeds it what happened and carries out what it says. Keeps
//! its timers and the table of requests and attempts. No decision is taken here.

use crate::between::handover::{Given, Pairing, Shared};
use crate::between::peers::Peers;
use crate::messages::{Answer, Call, Ended, Input, Outgoing, Reply};
use crate::operate::clock::Clock;
use crate::operate::config::Config;
use crate::operate::door::{Order, Unknown};
use crate::operate::figures::Figures;
use crate::upstream::asking::Asking;
use crate::upstream::believed::Believed;
use crate::upstream::fed::Fed;
use crate::upstream::listing::{server_id, Entry, Listing, State, Teller};
use crate::upstream::roster::Roster;
use crate::upstream::servers::{Pool, Upstream};
use dillpass::settings::Names;
use dillpass::*;
use emberpin_start::trust::{List, Verdict};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep_until, Instant};

/// A request that is owed an answer or still has an attempt out.
struct Held {
    outgoing: Rc<Outgoing>,
    expires: Instant,
    answer: Option<oneshot::Sender<Reply>>,
    attempts: u32,
    /// The attempt that is out.
    out: Option<Out>,
}

/// An attempt that is out until its end was heard; the sender, once dropped, cancels it.
struct Out {
    cancel: Option<oneshot::Sender<()>>,
}

pub struct Driver {
    gateway: Gateway,
    clock: Clock,
    names: Names,
    pool: Rc<Pool>,
    roster: Roster,
    /// The ways to servers that may get something new.
    upstreams: BTreeMap<ServerId, Rc<Upstream>>,
    figures: Arc<Figures>,
    requests: BTreeMap<RequestId, Held>,
    timers: BinaryHeap<Reverse<(Instant, u64)>>,
    /// Events that carrying out an action brought about at once.
    pending: VecDeque<Event>,
    inputs: mpsc::Sender<Input>,
    peers: Option<Rc<Peers>>,
    asking: Rc<Asking>,
    refetch: Rc<Notify>,
    /// Where `[start]` is on: which lists hold.
    believed: Option<Rc<Believed>>,
    fed: Option<Rc<Fed>>,
    /// The version of the list, and which list service it is from.
    rev: u64,
    place: u32,
    /// The other process of this limiter, during an upgrade.
    other: Option<mpsc::Sender<Shared>>,
}

/// What the driver works with.
pub struct Parts {
    pub clock: Clock,
    pub inputs: mpsc::Sender<Input>,
    pub peers: Option<Rc<Peers>>,
    pub asking: Rc<Asking>,
    pub believed: Option<Rc<Believed>>,
    pub fed: Option<Rc<Fed>>,
    pub refetch: Rc<Notify>,
    pub figures: Arc<Figures>,
    pub pool: Rc<Pool>,
}

/// What the driver takes beside inputs, and before them.
pub struct Callers {
    /// From the operators' door.
    pub orders: mpsc::Receiver<Order>,
    /// From the host of an upgrade.
    pub pairings: mpsc::Receiver<Pairing>,
}

impl Driver {
    /// Knows what the process before this one gave, if it did.
    pub fn new(config: Config, parts: Parts, given: Option<Given>) -> Driver {
        let Parts { clock, inputs, peers, asking, believed, fed, refetch, figures, pool } = parts;
        spawn_local(pool.clone().retire());
        let mut roster = Roster::default();
        let (gateway, known) = match given {
            None => (Gateway::new(config.settings, config.seed, clock.now()), config.known),
            Some(given) => {
                given.names.iter().for_each(|name| roster.name(server_id(name), name));
                let targets = given.targets();
                let lines = targets.iter().filter_map(|target| target.server(&config.names).ok()).collect();
                let (settings, seed) = (config.settings, config.seed);
                let (gateway, whole) = Gateway::take_over(settings, seed, clock.now(), given.gateway, lines);
                let what =
                    if whole { "all" } else { "the list and what is out by hand, as the settings differ" };
                eprintln!("emberpin: taken over from the process before: {what}");
                let targets = targets.into_iter().map(Entry::Target).collect();
                (gateway, Listing { rev: given.rev, whole: true, targets, place: 0, teller: Teller::Service })
            }
        };
        let mut driver = Driver {
            pool,
            gateway,
            rev: known.rev,
            place: 0,
            other: None,
            clock,
            names: config.names,
            roster,
            upstreams: BTreeMap::new(),
            figures,
            requests: BTreeMap::new(),
            timers: BinaryHeap::new(),
            pending: VecDeque::new(),
            inputs,
            peers,
            asking,
            believed,
            fed,
            refetch,
        };
        driver.list(Listing { whole: true, ..known });
        driver
    }

    /// Takes inputs, timers and what callers want for as long as there is anybody to send inputs.
    pub async fn run(mut self, mut inputs: mpsc::Receiver<Input>, mut callers: Callers) {
        let timer = sleep_until(Instant::now());
        tokio::pin!(timer);
        loop {
            let due = self.timers.peek().map(|Reverse((at, _))| *at);
            if let Some(due) = due.filter(|due| *due != timer.deadline()) {
                timer.as_mut().reset(due);
            }
            tokio::select! {
                biased;
                // First, as answers to them are due however much else there is.
                Some(order) = callers.orders.recv() => self.carry_out_order(order),
                Some(pairing) = callers.pairings.recv() => self.pair(pairing),
                () = timer.as_mut(), if due.is_some() => self.fire(),
                input = inputs.recv() => match input {
                    Some(input) => self.take(input),
                    None => return,
                },
            }
        }
    }

    fn fire(&mut self) {
        let now = Instant::now();
        while let Some(Reverse((_, token))) = self.timers.peek().filter(|due| due.0 .0 <= now).copied() {
            self.timers.pop();
            self.feed(Event::Timer { token });
        }
        self.show_pool();
    }

    /// The module's timer comes often enough for figures that may be half a second late.
    fn show_pool(&self) {
        let (listed, avoided) = self.gateway.pool(self.clock.now());
        self.figures.pool_size.set(listed as i64);
        self.figures.pool_ejected.set(avoided as i64);
    }

    /// Takes a server out of service by hand, or puts it back; both may be said again.
    fn carry_out_order(&mut self, order: Order) {
        let Order { server: name, out, done } = order;
        // Whoever called was told no meanwhile.
        if done.is_closed() {
            return;
        }
        let Some(server) = self.roster.find(&name) else {
            _ = done.send(Err(Unknown));
            return;
        };
        self.maintain(server, &name, out);
        if let Some(other) = &self.other {
            _ = other.try_send(Shared::Order { server: name, out });
        }
        _ = done.send(Ok(()));
    }

    fn maintain(&mut self, server: ServerId, name: &str, out: bool) {
        if self.gateway.is_banned(server) != out {
            eprintln!(
                "server {name} {} by hand",
                if out { "taken out of service" } else { "put back into service" }
            );
        }
        self.feed(Event::Maintenance { server, out });
        self.reach(server);
        self.show_pool();
    }

    /// Another process of this limiter came, went, or told something.
    fn pair(&mut self, pairing: Pairing) {
        match pairing {
            Pairing::Give(give, other) => {
                self.other = Some(other);
                self.feed(Event::Paired { on: true });
                let (targets, names) = self.roster.all();
                let (clock, gateway) = (self.clock.now(), self.gateway.hand_over());
                // Nobody waits for it any more if the next process has died: its end is told, too.
                _ = give.send(Given::new(clock, self.rev, &targets, names, gateway));
            }
            Pairing::Paired(other) => {
                self.other = Some(other);
                self.feed(Event::Paired { on: true });
            }
            Pairing::Heard(Shared::Spent(spent)) => self.feed(Event::Shared(spent)),
            Pairing::Heard(Shared::Order { server: name, out }) => {
                let server = server_id(&name);
                self.roster.name(server, &name);
                self.maintain(server, &name, out);
            }
            // The host of the upgrade has it.
            Pairing::Heard(Shared::Held(_)) => {}
            Pairing::Alone => {
                self.other = None;
                self.feed(Event::Paired { on: false });
            }
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Call(call) => self.call(call),
            Input::Gone(request) => {
                let Some(held) = self.requests.get_mut(&request) else { return };
                if held.answer.take().is_some() {
                    self.feed(Event::Abandoned { request });
                    self.release(request);
                }
            }
            Input::Ended { request, attempt, server, ended } => self.ended(request, attempt, server, ended),
            Input::Probed { server, ended } => self.feed(Event::Probed {
                server,
                outcome: ended.outcome,
                elapsed: ended.elapsed,
                report: ended.report,
            }),
            Input::Listing(listing) => self.told(listing),
            Input::Peer { from, bytes } => {
                self.asking.heard(from, &bytes);
                self.feed(Event::Peer { from, bytes });
            }
        }
    }

    fn call(&mut self, call: Call) {
        let held = Held {
            outgoing: call.outgoing,
            expires: call.expires,
            answer: Some(call.answer),
            attempts: 0,
            out: None,
        };
        self.requests.insert(call.id, held);
        self.feed(Event::Request(Request {
            id: call.id,
            class: call.class,
            plan: call.plan,
            customer: call.customer,
            remaining: call.patience.min(left(call.expires)).as_secs_f64() * 1000.0,
            units: call.units,
            set_size: call.set_size,
            set_first: call.set_first,
            ran: call.ran,
        }));
    }

    fn ended(&mut self, request: RequestId, attempt: u32, server: ServerId, ended: Ended) {
        let Some(held) = self.requests.get_mut(&request) else { return };
        held.out = None;
        if let Some(served) = ended.served {
            if let Some(answer) = held.answer.take() {
                _ = answer.send(served);
            }
        }
        let event = Event::Attempt(Attempt {
            request,
            attempt,
            server,
            outcome: ended.outcome,
            elapsed: ended.elapsed,
            ended: held.answer.is_none(),
            repeatable: held.outgoing.is_held(),
            report: ended.report,
            units: None,
            metered: ended.metered,
        });
        self.feed(event);
        self.release(request);
    }

    /// Forgets a request that owes nothing and waits for nothing.
    fn release(&mut self, request: RequestId) {
        if self.requests.get(&request).is_some_and(|held| held.answer.is_none() && held.out.is_none()) {
            self.requests.remove(&request);
        }
    }

    /// Gives the module an event and does what it says, also about the events that come of that.
    fn feed(&mut self, event: Event) {
        self.pending.push_back(event);
        let mut actions = Vec::new();
        while let Some(event) = self.pending.pop_front() {
            self.gateway.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(action);
            }
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { request, server, timeout } => self.send(request, server, timeout),
            Action::Refuse { request, retry_after } => self.answer(request, Answer::Refused { retry_after }),
            Action::Fail { request } => self.answer(request, Answer::Failed),
            Action::Cancel { request, attempt } => {
                let held = self.requests.get_mut(&request).filter(|held| held.attempts == attempt + 1);
                if let Some(out) = held.and_then(|held| held.out.as_mut()) {
                    out.cancel = None;
                }
            }
            Action::Probe { server } => {
                let Some(upstream) = self.upstreams.get(&server).cloned() else { return };
                let inputs = self.inputs.clone();
                spawn_local(async move {
                    let ended = upstream.probe().await;
                    _ = inputs.send(Input::Probed { server, ended }).await;
                });
            }
            Action::Close { server } => {
                if let Some(upstream) = self.upstreams.get(&server) {
                    upstream.close_idle();
                }
            }
            Action::Schedule { delay, token } => {
                let delay = Duration::try_from_secs_f64(delay / 1000.0).unwrap_or_default();
                self.timers.push(Reverse((Instant::now() + delay, token)));
            }
            Action::Tell { to, bytes } => {
                if let Some(peers) = &self.peers {
                    peers.tell(to, &bytes);
                }
            }
            Action::FetchServers => self.refetch.notify_one(),
            // The watch is always on.
            Action::WatchServers { .. } => {}
            // No deployment of the real limiter has the counter service.
            Action::Count { name, .. } => self.pending.push_back(Event::Counted { name, total: None }),
            Action::Share(spent) => {
                // A line that is full is that of a process that does not read: its end is told soon.
                if let Some(other) = &self.other {
                    _ = other.try_send(Shared::Spent(spent));
                }
            }
            Action::Log(text) => eprintln!("{text}"),
        }
    }

    fn send(&mut self, request: RequestId, server: ServerId, timeout: Millis) {
        let Some(held) = self.requests.get_mut(&request) else { return };
        let attempt = held.attempts;
        held.attempts += 1;
        let upstream = self.upstreams.get(&server).filter(|upstream| upstream.is_open());
        // Guards rules 1 to 3 whatever is asked for: nothing goes out for a request that is answered or
        // has an attempt out, nor to a server that drains.
        let (Some(upstream), true, None) = (upstream, held.answer.is_some(), &held.out) else {
            self.pending.push_back(Event::Attempt(Attempt {
                request,
                attempt,
                server,
                outcome: Outcome::Moot,
                elapsed: 0.0,
                ended: held.answer.is_none(),
                repeatable: held.outgoing.is_held(),
                report: Report::default(),
                units: None,
                metered: None,
            }));
            return;
        };
        let timeout = Duration::try_from_secs_f64(timeout / 1000.0).unwrap_or_default();
        let (cancel, cancelled) = oneshot::channel();
        held.out = Some(Out { cancel: Some(cancel) });
        let outgoing = held.outgoing.clone();
        let place = self.gateway.place(server).unwrap_or_default();
        let (upstream, timeout) = (upstream.clone(), timeout.min(left(held.expires)));
        let inputs = self.inputs.clone();
        spawn_local(async move {
            let asked = Instant::now();
            let may_go = match &outgoing.gate {
                None => true,
                // The way may have been shut meanwhile.
                Some(gate) => gate.opens(attempt, place, timeout).await && upstream.is_open(),
            };
            let left = timeout.saturating_sub(asked.elapsed());
            let ended = match may_go && !left.is_zero() {
                true => upstream.attempt(outgoing, left, cancelled).await,
                false => Ended::unsent(),
            };
            _ = inputs.send(Input::Ended { request, attempt, server, ended }).await;
        });
    }

    fn answer(&mut self, request: RequestId, answer: Answer) {
        let Some(held) = self.requests.get_mut(&request) else { return };
        // Guards rule 1: nothing is out for a request once it is answered.
        if let Some(out) = &mut held.out {
            out.cancel = None;
        }
        if let Some(client) = held.answer.take() {
            _ = client.send(Reply::Answer(answer));
        }
        self.release(request);
    }

    /// Discovery has told something: where lists may be doubted, it holds as far as it is believed.
    fn told(&mut self, listing: Listing) {
        let Some(believed) = self.believed.clone() else { return self.list(listing) };
        let here = |entry: &&Entry| matches!(entry, Entry::Target(target) if target.state != State::Gone);
        let servers = listing.targets.iter().filter(here).count();
        let told = List { place: listing.place, rev: listing.rev, servers };
        let held = List { place: self.place, rev: self.rev, servers: self.roster.count() };
        let teller = listing.teller;
        let sure = matches!(teller, Teller::Peer { sure: true, .. });
        // A peer may be behind: only the service's word, or a word on it, makes a list older.
        let behind = listing.place < self.place || (listing.place == self.place && listing.rev < self.rev);
        if teller != Teller::Service && behind && !sure {
            return;
        }
        let verdict = match sure {
            true => {
                believed.take();
                Verdict::Take
            }
            false => believed.judge(held, told, listing.whole),
        };
        match verdict {
            Verdict::Take | Verdict::Believe => self.list(listing),
            Verdict::Keep => self.list(Listing { whole: false, ..listing }),
            Verdict::Ignore => return,
        }
        believed.keep(self.rev, || self.roster.listed());
        if let (Some(fed), false) = (&self.fed, believed.doubts()) {
            fed.hold(self.rev, teller, verdict == Verdict::Believe, &self.roster.listed());
        }
    }

    /// Applies the list to the servers here first, so that what is being sent sees a drain at once.
    fn list(&mut self, listing: Listing) {
        (self.rev, self.place) = (listing.rev, listing.place);
        let mut named = BTreeSet::new();
        let mut lines = Vec::new();
        for entry in &listing.targets {
            let Entry::Target(target) = entry else { continue };
            let id = target.id();
            named.insert(id);
            let line = target.server(&self.names);
            self.roster.note(id, target);
            self.reach(id);
            lines.extend(line);
        }
        if listing.whole {
            self.roster.keep(|id| named.contains(id));
            let missing: Vec<ServerId> =
                self.upstreams.keys().filter(|id| !named.contains(id)).copied().collect();
            missing.into_iter().for_each(|id| self.reach(id));
        }
        self.feed(Event::Membership(match listing.whole {
            true => Membership::Full(lines),
            false => Membership::Changes(lines),
        }));
        if let Some(believed) = &self.believed {
            believed.see(self.upstreams.len());
        }
    }

    /// Opens or shuts the way to a server, by the list and by hand; a new life or address of it starts without
    /// connections.
    fn reach(&mut self, id: ServerId) {
        let place = self.roster.place(id).filter(|_| !self.gateway.is_banned(id));
        if place.is_some() && self.upstreams.get(&id).map(|upstream| upstream.place) == place {
            return;
        }
        if let Some(known) = self.upstreams.remove(&id) {
            known.shut();
        }
        if let Some(place) = place {
            self.upstreams.insert(id, Upstream::new(place, self.pool.clone()));
        }
    }
}

fn left(expires: Instant) -> Duration {
    expires.saturating_duration_since(Instant::now())
}
