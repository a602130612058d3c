//! The only owner of the decision module: takes inputs, the list of servers, orders by hand and what another process
//! tells, and gives them to the engine that hosts it. No decision is taken here.

use crate::between::handover::{Given, Pairing, Shared};
use crate::between::peers::Peers;
use crate::messages::Input;
use crate::operate::clock::Clock;
use crate::operate::config::Config;
use crate::operate::door::{Order, Unknown};
use crate::operate::figures::Figures;
use crate::upstream::asking::Asking;
use crate::upstream::believed::Believed;
use crate::upstream::engine::Engine;
use crate::upstream::fed::Fed;
use crate::upstream::listing::{server_id, Entry, Listing, State, Teller};
use crate::upstream::roster::Roster;
use crate::upstream::server::{Pool, Upstream};
use emberpin_balancer::host_config::IndexNames;
use emberpin_balancer::*;
use emberpin_startup::list_guard::{ListScope, ListSummary, Verdict};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{mpsc, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep_until, Instant};

pub struct Driver {
    engine: Engine,
    names: IndexNames,
    pool: Rc<Pool>,
    roster: Roster,
    figures: Arc<Figures>,
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
        let Parts {
            clock,
            inputs,
            peers,
            asking,
            believed,
            fed,
            refetch,
            figures,
            pool,
        } = parts;
        spawn_local(pool.clone().retire());
        let mut roster = Roster::default();
        let (gateway, known) = match given {
            None => (
                Gateway::new(config.settings, config.seed, clock.now()),
                config.known,
            ),
            Some(given) => {
                given
                    .names
                    .iter()
                    .for_each(|name| roster.name(server_id(name), name));
                let targets = given.targets();
                let lines = targets
                    .iter()
                    .filter_map(|target| target.server(&config.names).ok())
                    .collect();
                let (settings, seed) = (config.settings, config.seed);
                let (gateway, whole) =
                    Gateway::from_handover(settings, seed, clock.now(), given.gateway, lines);
                let what = if whole {
                    "all"
                } else {
                    "the list and what is out by hand, as the settings differ"
                };
                eprintln!("emberpin: taken over from the process before: {what}");
                let targets = targets.into_iter().map(Entry::Target).collect();
                (
                    gateway,
                    Listing {
                        rev: given.rev,
                        whole: true,
                        targets,
                        place: 0,
                        teller: Teller::Service,
                    },
                )
            }
        };
        let mut driver = Driver {
            pool,
            engine: Engine::new(gateway, clock, inputs),
            rev: known.rev,
            place: 0,
            other: None,
            names: config.names,
            roster,
            figures,
            peers,
            asking,
            believed,
            fed,
            refetch,
        };
        driver.list(Listing {
            whole: true,
            ..known
        });
        driver
    }

    /// Takes inputs, timers and what callers want for as long as there is anybody to send inputs.
    pub async fn run(mut self, mut inputs: mpsc::Receiver<Input>, mut callers: Callers) {
        let timer = sleep_until(Instant::now());
        tokio::pin!(timer);
        loop {
            let due = self.engine.next_timer();
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
                    Some(input) => {
                        self.take(input);
                        self.carry_on();
                    }
                    None => return,
                },
            }
        }
    }

    fn fire(&mut self) {
        self.engine.fire_timers();
        self.carry_on();
        self.show_pool();
    }

    /// The module's timer comes often enough for figures that may be half a second late.
    fn show_pool(&self) {
        let PoolSize { listed, avoided } = self.engine.gateway.pool_size(self.engine.clock.now());
        self.figures.pool_size.set(listed as i64);
        self.figures.pool_ejected.set(avoided as i64);
    }

    /// Takes a server out of service by hand, or puts it back; both may be said again.
    fn carry_out_order(&mut self, order: Order) {
        let Order {
            server: name,
            out,
            done,
        } = order;
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
        if self.engine.gateway.is_in_maintenance(server) != out {
            eprintln!(
                "server {name} {} by hand",
                if out {
                    "taken out of service"
                } else {
                    "put back into service"
                }
            );
        }
        self.feed(Event::Maintenance {
            server,
            out_of_service: out,
        });
        self.reach(server);
        self.show_pool();
    }

    /// Another process of this limiter came, went, or told something.
    fn pair(&mut self, pairing: Pairing) {
        match pairing {
            Pairing::Give(give, other) => {
                self.other = Some(other);
                self.feed(Event::SiblingChanged { running: true });
                let (targets, names) = self.roster.all();
                let (clock, gateway) = (self.engine.clock.now(), self.engine.gateway.to_handover());
                // Nobody waits for it any more if the next process has died: its end is told, too.
                _ = give.send(Given::new(clock, self.rev, &targets, names, gateway));
            }
            Pairing::Paired(other) => {
                self.other = Some(other);
                self.feed(Event::SiblingChanged { running: true });
            }
            Pairing::Heard(Shared::Spent(spent)) => self.feed(Event::SiblingUsage(spent)),
            Pairing::Heard(Shared::Order { server: name, out }) => {
                let server = server_id(&name);
                self.roster.name(server, &name);
                self.maintain(server, &name, out);
            }
            // The host of the upgrade has it.
            Pairing::Heard(Shared::Held(_)) => {}
            Pairing::Alone => {
                self.other = None;
                self.feed(Event::SiblingChanged { running: false });
            }
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Request(request) => self.engine.on_request(request),
            Input::ClientGone(request) => self.engine.on_client_gone(request),
            Input::AttemptEnded {
                request,
                attempt,
                server,
                ended,
            } => {
                self.engine
                    .on_attempt_ended(request, attempt, server, ended, true);
            }
            // Attempts here end with the time that the module gives them.
            Input::Overdue { .. } => {}
            Input::ProbeEnded { server, ended } => self.engine.handle_event(Event::ProbeEnded {
                server,
                outcome: ended.outcome,
                elapsed: ended.elapsed,
                load: ended.load,
            }),
            Input::Listing(listing) => self.told(listing),
            Input::Peer { from, bytes } => {
                self.asking.heard(from, &bytes);
                self.feed(Event::PeerMessage { from, bytes });
            }
        }
    }

    /// Gives the module an event and does what it says.
    fn feed(&mut self, event: Event) {
        self.engine.handle_event(event);
        self.carry_on();
    }

    /// Does what the module wants that concerns no request.
    fn carry_on(&mut self) {
        self.engine.sent_attempts.clear();
        for action in std::mem::take(&mut self.engine.other_actions) {
            match action {
                Action::SendToPeer { to, bytes } => {
                    if let Some(peers) = &self.peers {
                        peers.tell(to, &bytes);
                    }
                }
                Action::FetchServers => self.refetch.notify_one(),
                Action::ShareUsage(spent) => {
                    // A line that is full is that of a process that does not read: its end is told soon.
                    if let Some(other) = &self.other {
                        _ = other.try_send(Shared::Spent(spent));
                    }
                }
                // The watch is always on, and the rest was carried out.
                _ => {}
            }
        }
    }

    /// Discovery has told something: where lists may be doubted, it holds as far as it is believed.
    fn told(&mut self, listing: Listing) {
        let Some(believed) = self.believed.clone() else {
            return self.list(listing);
        };
        let here =
            |entry: &&Entry| matches!(entry, Entry::Target(target) if target.state != State::Gone);
        let servers = listing.targets.iter().filter(here).count();
        let told = ListSummary {
            service_generation: listing.place,
            revision: listing.rev,
            servers,
        };
        let held = ListSummary {
            service_generation: self.place,
            revision: self.rev,
            servers: self.roster.count(),
        };
        let teller = listing.teller;
        let sure = matches!(teller, Teller::Peer { sure: true, .. });
        // A peer may be behind: only the service's word, or a word on it, makes a list older.
        let behind =
            listing.place < self.place || (listing.place == self.place && listing.rev < self.rev);
        if teller != Teller::Service && behind && !sure {
            return;
        }
        let scope = match listing.whole {
            true => ListScope::Full,
            false => ListScope::Delta,
        };
        let verdict = match sure {
            true => {
                believed.take();
                Verdict::Accept
            }
            false => believed.judge(held, told, scope),
        };
        match verdict {
            Verdict::Accept | Verdict::AcceptDespiteDoubt => self.list(listing),
            Verdict::Merge => self.list(Listing {
                whole: false,
                ..listing
            }),
            Verdict::Reject => return,
        }
        believed.keep(self.rev, || self.roster.listed());
        if let (Some(fed), false) = (&self.fed, believed.doubts()) {
            fed.hold(
                self.rev,
                teller,
                verdict == Verdict::AcceptDespiteDoubt,
                &self.roster.listed(),
            );
        }
    }

    /// Applies the list to the servers here first, so that what is being sent sees a drain at once.
    fn list(&mut self, listing: Listing) {
        (self.rev, self.place) = (listing.rev, listing.place);
        let mut named = BTreeSet::new();
        let mut lines = Vec::new();
        for entry in &listing.targets {
            let Entry::Target(target) = entry else {
                continue;
            };
            let id = target.id();
            named.insert(id);
            let line = target.server(&self.names);
            self.roster.note(id, target);
            self.reach(id);
            lines.extend(line);
        }
        if listing.whole {
            self.roster.keep(|id| named.contains(id));
            let missing: Vec<ServerId> = self
                .engine
                .upstreams
                .keys()
                .filter(|id| !named.contains(id))
                .copied()
                .collect();
            missing.into_iter().for_each(|id| self.reach(id));
        }
        self.feed(Event::Membership(match listing.whole {
            true => MembershipUpdate::Full(lines),
            false => MembershipUpdate::Changes(lines),
        }));
        if let Some(believed) = &self.believed {
            believed.see(self.engine.upstreams.len());
        }
    }

    /// Opens or shuts the way to a server, by the list and by hand; a new life or address of it starts without
    /// connections.
    fn reach(&mut self, id: ServerId) {
        let place = self
            .roster
            .place(id)
            .filter(|_| !self.engine.gateway.is_in_maintenance(id));
        if place.is_some()
            && self
                .engine
                .upstreams
                .get(&id)
                .map(|upstream| upstream.place)
                == place
        {
            return;
        }
        if let Some(known) = self.engine.upstreams.remove(&id) {
            known.shut();
        }
        if let Some(place) = place {
            self.engine
                .upstreams
                .insert(id, Upstream::new(place, self.pool.clone()));
        }
    }
}
