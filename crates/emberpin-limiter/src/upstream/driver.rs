//! The only owner of the engine: takes inputs, the list of servers, operators' orders and the messages of a sibling
//! process, and passes them to the decision module. No decision is taken here.

use crate::between::handover::{Given, Pairing, Shared};
use crate::between::peers::Peers;
use crate::messages::Input;
use crate::operate::clock::Clock;
use crate::operate::config::Config;
use crate::operate::figures::Figures;
use crate::operate::operator_api::{ServerCommand, UnknownServer};
use crate::upstream::endpoint_list::{server_id, Entry, Listing, State, Teller};
use crate::upstream::engine::Engine;
use crate::upstream::list_calls::ListCalls;
use crate::upstream::list_trust::ListTrust;
use crate::upstream::peer_lists::PeerLists;
use crate::upstream::roster::Roster;
use crate::upstream::server::{Pool, Upstream};
use emberpin_balancer::host_config::IndexNames;
use emberpin_balancer::{Action, Event, Gateway, MembershipUpdate, PoolSize, ServerId, Settings};
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
    list_calls: Rc<ListCalls>,
    refetch: Rc<Notify>,
    /// Where `[start]` is on: which lists hold.
    list_trust: Option<Rc<ListTrust>>,
    peer_lists: Option<Rc<PeerLists>>,
    /// The version of the list, and which list service it is from.
    rev: u64,
    place: u32,
    /// The sibling process of this limiter, during an upgrade.
    other: Option<mpsc::Sender<Shared>>,
}

/// The limiter's parts that the driver uses.
pub struct Parts {
    pub clock: Clock,
    pub inputs: mpsc::Sender<Input>,
    pub peers: Option<Rc<Peers>>,
    pub list_calls: Rc<ListCalls>,
    pub list_trust: Option<Rc<ListTrust>>,
    pub peer_lists: Option<Rc<PeerLists>>,
    pub refetch: Rc<Notify>,
    pub figures: Arc<Figures>,
    pub pool: Rc<Pool>,
}

/// What the driver receives beside inputs, and before them.
pub struct Callers {
    /// Orders of operators.
    pub commands: mpsc::Receiver<ServerCommand>,
    /// Events of an upgrade to or from a sibling process.
    pub pairings: mpsc::Receiver<Pairing>,
}

impl Driver {
    /// Starts with the state that the previous process handed over, if there was one.
    pub fn new(config: Config, parts: Parts, given: Option<Given>) -> Driver {
        let Parts {
            clock,
            inputs,
            peers,
            list_calls,
            list_trust,
            peer_lists,
            refetch,
            figures,
            pool,
        } = parts;
        spawn_local(pool.clone().expire_idle());
        let mut roster = Roster::default();
        let (gateway, known) = match given {
            None => (
                Gateway::new(config.settings, config.seed, clock.now()),
                config.known,
            ),
            Some(given) => {
                let Config { settings, seed, .. } = config;
                resume(given, settings, seed, &config.names, clock, &mut roster)
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
            list_calls,
            list_trust,
            peer_lists,
            refetch,
        };
        driver.apply_list(Listing {
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
                Some(command) = callers.commands.recv() => self.carry_out_command(command),
                Some(pairing) = callers.pairings.recv() => self.on_pairing(pairing),
                () = timer.as_mut(), if due.is_some() => self.on_timer(),
                input = inputs.recv() => match input {
                    Some(input) => {
                        self.on_input(input);
                        self.carry_out_other_actions();
                    }
                    None => return,
                },
            }
        }
    }

    fn on_timer(&mut self) {
        self.engine.fire_timers();
        self.carry_out_other_actions();
        self.publish_pool_size();
    }

    /// Publishes the number of servers. The module's timers fire often enough for figures that may be half a second late.
    fn publish_pool_size(&self) {
        let PoolSize { listed, avoided } = self.engine.gateway.pool_size(self.engine.clock.now());
        self.figures.pool_size.set(listed as i64);
        self.figures.pool_ejected.set(avoided as i64);
    }

    /// Takes a server out of service for an operator, or puts it back; repeating either changes nothing.
    fn carry_out_command(&mut self, command: ServerCommand) {
        let ServerCommand {
            server: name,
            out_of_service,
            reply_to,
        } = command;
        // The caller has already received an error response.
        if reply_to.is_closed() {
            return;
        }
        let Some(server) = self.roster.find(&name) else {
            _ = reply_to.send(Err(UnknownServer));
            return;
        };
        self.set_maintenance(server, &name, out_of_service);
        if let Some(other) = &self.other {
            _ = other.try_send(Shared::Order {
                server: name,
                out: out_of_service,
            });
        }
        _ = reply_to.send(Ok(()));
    }

    fn set_maintenance(&mut self, server: ServerId, name: &str, out: bool) {
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
        self.handle_event(Event::Maintenance {
            server,
            out_of_service: out,
        });
        self.update_upstream(server);
        self.publish_pool_size();
    }

    /// A sibling process of this limiter came, went, or sent something.
    fn on_pairing(&mut self, pairing: Pairing) {
        match pairing {
            Pairing::Give(give, other) => {
                self.other = Some(other);
                self.handle_event(Event::SiblingChanged { running: true });
                let (targets, names) = self.roster.all();
                let (clock, gateway) = (self.engine.clock.now(), self.engine.gateway.to_handover());
                // Nobody waits for it any more if the next process has died: its end is told, too.
                _ = give.send(Given::new(clock, self.rev, &targets, names, gateway));
            }
            Pairing::Paired(other) => {
                self.other = Some(other);
                self.handle_event(Event::SiblingChanged { running: true });
            }
            Pairing::Heard(Shared::Spent(spent)) => self.handle_event(Event::SiblingUsage(spent)),
            Pairing::Heard(Shared::Order { server: name, out }) => {
                let server = server_id(&name);
                self.roster.name(server, &name);
                self.set_maintenance(server, &name, out);
            }
            // The host of the upgrade has it.
            Pairing::Heard(Shared::Held(_)) => {}
            Pairing::Alone => {
                self.other = None;
                self.handle_event(Event::SiblingChanged { running: false });
            }
        }
    }

    fn on_input(&mut self, input: Input) {
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
            Input::Listing(listing) => self.on_listing(listing),
            Input::Peer { from, bytes } => {
                self.list_calls.heard(from, &bytes);
                self.handle_event(Event::PeerMessage { from, bytes });
            }
        }
    }

    /// Passes an event to the decision module, and carries out its actions.
    fn handle_event(&mut self, event: Event) {
        self.engine.handle_event(event);
        self.carry_out_other_actions();
    }

    /// Carries out the module's actions that concern no request.
    fn carry_out_other_actions(&mut self) {
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

    /// A list, or changes to it, arrived. Where lists may be doubted, it is applied only as far as it is trusted.
    fn on_listing(&mut self, listing: Listing) {
        let Some(list_trust) = self.list_trust.clone() else {
            return self.apply_list(listing);
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
                list_trust.take();
                Verdict::Accept
            }
            false => list_trust.judge(held, told, scope),
        };
        match verdict {
            Verdict::Accept | Verdict::AcceptDespiteDoubt => self.apply_list(listing),
            Verdict::Merge => self.apply_list(Listing {
                whole: false,
                ..listing
            }),
            Verdict::Reject => return,
        }
        list_trust.keep(self.rev, || self.roster.listed());
        if let (Some(peer_lists), false) = (&self.peer_lists, list_trust.doubts()) {
            peer_lists.hold(
                self.rev,
                teller,
                verdict == Verdict::AcceptDespiteDoubt,
                &self.roster.listed(),
            );
        }
    }

    /// Applies the list to the servers here first, so that what is being sent sees a drain at once.
    fn apply_list(&mut self, listing: Listing) {
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
            self.update_upstream(id);
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
            missing.into_iter().for_each(|id| self.update_upstream(id));
        }
        self.handle_event(Event::Membership(match listing.whole {
            true => MembershipUpdate::Full(lines),
            false => MembershipUpdate::Changes(lines),
        }));
        if let Some(list_trust) = &self.list_trust {
            list_trust.see(self.engine.upstreams.len());
        }
    }

    /// Opens or closes the upstream of a server, by the list and by maintenance; a new incarnation or address of it starts
    /// without connections.
    fn update_upstream(&mut self, id: ServerId) {
        let place = self
            .roster
            .ready_instance(id)
            .filter(|_| !self.engine.gateway.is_in_maintenance(id));
        if place.is_some()
            && self
                .engine
                .upstreams
                .get(&id)
                .map(|upstream| upstream.server)
                == place
        {
            return;
        }
        if let Some(known) = self.engine.upstreams.remove(&id) {
            known.close();
        }
        if let Some(place) = place {
            self.engine
                .upstreams
                .insert(id, Upstream::new(place, self.pool.clone()));
        }
    }
}

/// The decision module and the list of servers that the previous process handed over. All names of servers that it knew go
/// to the roster.
fn resume(
    given: Given,
    settings: Settings,
    seed: u64,
    names: &IndexNames,
    clock: Clock,
    roster: &mut Roster,
) -> (Gateway, Listing) {
    for name in &given.names {
        roster.name(server_id(name), name);
    }
    let targets = given.targets();
    let lines = targets
        .iter()
        .filter_map(|target| target.server(names).ok())
        .collect();
    let (gateway, whole) =
        Gateway::from_handover(settings, seed, clock.now(), given.gateway, lines);
    let what = if whole {
        "all"
    } else {
        "the list and what is out by hand, as the settings differ"
    };
    eprintln!("emberpin: taken over from the process before: {what}");
    let listing = Listing {
        rev: given.rev,
        whole: true,
        targets: targets.into_iter().map(Entry::Target).collect(),
        place: 0,
        teller: Teller::Service,
    };
    (gateway, listing)
}
