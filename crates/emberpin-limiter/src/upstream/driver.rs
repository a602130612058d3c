//! The driver, the only owner of the engine: receives inputs, endpoint lists, operators' commands and the messages of a
//! sibling process, and passes them to the decision module. No decision is taken here.

use crate::between::handover::{HandoverState, SiblingEvent, Update};
use crate::between::peers::Peers;
use crate::messages::Input;
use crate::operate::clock::Clock;
use crate::operate::config::Config;
use crate::operate::figures::LimiterMetrics;
use crate::operate::operator_api::{ServerCommand, UnknownServer};
use crate::upstream::endpoint_list::{server_id, EndpointList, Entry, ListSource, State};
use crate::upstream::engine::Engine;
use crate::upstream::list_calls::ListCalls;
use crate::upstream::list_trust::ListTrust;
use crate::upstream::peer_lists::PeerLists;
use crate::upstream::roster::Roster;
use crate::upstream::server::{Pool, Upstream};
use emberpin_balancer::host_config::NameIndex;
use emberpin_balancer::{Action, Event, Gateway, MembershipUpdate, PoolSize, ServerId, Settings};
use emberpin_startup::list_guard::{ListScope, ListSummary, Verdict};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{mpsc, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep_until, Instant};

/// The engine, and the parts of the limiter that concern no single request.
pub struct Driver {
    engine: Engine,
    names: NameIndex,
    pool: Rc<Pool>,
    roster: Roster,
    metrics: Arc<LimiterMetrics>,
    peers: Option<Rc<Peers>>,
    list_calls: Rc<ListCalls>,
    /// Notified to fetch the full list again from the discovery service.
    refetch: Rc<Notify>,
    /// Decides which lists are accepted, where `[start]` is on.
    list_trust: Option<Rc<ListTrust>>,
    peer_lists: Option<Rc<PeerLists>>,
    /// The revision of the applied list.
    revision: u64,
    /// Which discovery service that list is from, see [`EndpointList::service_generation`].
    service_generation: u32,
    /// Messages to the sibling process of this limiter, during an upgrade.
    sibling: Option<mpsc::Sender<Update>>,
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
    pub metrics: Arc<LimiterMetrics>,
    pub pool: Rc<Pool>,
}

/// The channels whose messages the driver handles before its inputs.
pub struct PriorityChannels {
    /// Commands of operators.
    pub commands: mpsc::Receiver<ServerCommand>,
    /// Events about a sibling process, during an upgrade.
    pub sibling_events: mpsc::Receiver<SiblingEvent>,
}

impl Driver {
    /// Creates the driver, with the state that the previous process handed over, if there was one.
    pub fn new(config: Config, parts: Parts, state: Option<HandoverState>) -> Driver {
        let Parts {
            clock,
            inputs,
            peers,
            list_calls,
            list_trust,
            peer_lists,
            refetch,
            metrics,
            pool,
        } = parts;
        spawn_local(pool.clone().expire_idle());
        let mut roster = Roster::default();
        let (gateway, initial_list) = match state {
            None => (
                Gateway::new(config.settings, config.seed, clock.now()),
                config.initial_list,
            ),
            Some(state) => {
                let Config { settings, seed, .. } = config;
                resume(state, settings, seed, &config.names, clock, &mut roster)
            }
        };
        let mut driver = Driver {
            pool,
            engine: Engine::new(gateway, clock, inputs),
            revision: initial_list.revision,
            service_generation: 0,
            sibling: None,
            names: config.names,
            roster,
            metrics,
            peers,
            list_calls,
            list_trust,
            peer_lists,
            refetch,
        };
        driver.apply_list(EndpointList {
            full: true,
            ..initial_list
        });
        driver
    }

    /// Handles inputs, timers and the priority channels until all senders of inputs are dropped.
    pub async fn run(mut self, mut inputs: mpsc::Receiver<Input>, mut channels: PriorityChannels) {
        let timer = sleep_until(Instant::now());
        tokio::pin!(timer);
        loop {
            let next_due = self.engine.next_timer();
            if let Some(due) = next_due.filter(|due| *due != timer.deadline()) {
                timer.as_mut().reset(due);
            }
            tokio::select! {
                biased;
                // First, since operators and the sibling process must be answered however many inputs are queued.
                Some(command) = channels.commands.recv() => self.carry_out_command(command),
                Some(event) = channels.sibling_events.recv() => self.on_sibling_event(event),
                () = timer.as_mut(), if next_due.is_some() => self.on_timer(),
                input = inputs.recv() => match input {
                    Some(input) => {
                        self.on_input(input);
                        self.carry_out_owner_actions();
                    }
                    None => return,
                },
            }
        }
    }

    fn on_timer(&mut self) {
        self.engine.fire_timers();
        self.carry_out_owner_actions();
        self.publish_pool_size();
    }

    /// Publishes the number of servers. Called when the decision module's timers fire, which is often enough: the
    /// gauges may be half a second late.
    fn publish_pool_size(&self) {
        let PoolSize { listed, avoided } = self.engine.gateway.pool_size(self.engine.clock.now());
        self.metrics.pool_size.set(listed as i64);
        self.metrics.pool_ejected.set(avoided as i64);
    }

    /// Takes a server out of service for an operator, or puts it back; repeating either changes nothing.
    fn carry_out_command(&mut self, command: ServerCommand) {
        let ServerCommand {
            server: name,
            out_of_service,
            reply_to,
        } = command;
        // The operator no longer waits for the confirmation, so the command must not be executed.
        if reply_to.is_closed() {
            return;
        }
        let Some(server) = self.roster.find(&name) else {
            _ = reply_to.send(Err(UnknownServer));
            return;
        };
        self.set_maintenance(server, &name, out_of_service);
        if let Some(sibling) = &self.sibling {
            _ = sibling.try_send(Update::Maintenance {
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

    /// A sibling process of this limiter connected, disconnected or sent a message.
    fn on_sibling_event(&mut self, event: SiblingEvent) {
        match event {
            SiblingEvent::StateRequested(reply_to, sibling) => {
                self.sibling = Some(sibling);
                self.handle_event(Event::SiblingChanged { running: true });
                let (targets, names) = self.roster.entries_and_names();
                let (clock, gateway) = (self.engine.clock.now(), self.engine.gateway.to_handover());
                // Fails if the next process has exited; its disconnection is reported separately.
                _ = reply_to.send(HandoverState::new(
                    clock,
                    self.revision,
                    &targets,
                    names,
                    gateway,
                ));
            }
            SiblingEvent::Connected(sibling) => {
                self.sibling = Some(sibling);
                self.handle_event(Event::SiblingChanged { running: true });
            }
            SiblingEvent::Update(Update::Usage(usage)) => {
                self.handle_event(Event::SiblingUsage(usage));
            }
            SiblingEvent::Update(Update::Maintenance { server: name, out }) => {
                let server = server_id(&name);
                self.roster.remember_name(server, &name);
                self.set_maintenance(server, &name, out);
            }
            // `Upgrade` handles these.
            SiblingEvent::Update(Update::SocketCounts(_)) => {}
            SiblingEvent::Disconnected => {
                self.sibling = None;
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
            // Never sent here: this engine ends attempts that exceed their time itself, see `OverdueAttempts::End`.
            Input::Overdue { .. } => {}
            Input::ProbeEnded { server, ended } => self.engine.handle_event(Event::ProbeEnded {
                server,
                outcome: ended.outcome,
                elapsed: ended.elapsed,
                load: ended.load,
            }),
            Input::EndpointList(list) => self.on_list(list),
            Input::Peer { from, bytes } => {
                self.list_calls.on_peer_message(from, &bytes);
                self.handle_event(Event::PeerMessage { from, bytes });
            }
        }
    }

    /// Passes an event to the decision module, and carries out its actions.
    fn handle_event(&mut self, event: Event) {
        self.engine.handle_event(event);
        self.carry_out_owner_actions();
    }

    /// Carries out the decision module's actions that concern no request.
    fn carry_out_owner_actions(&mut self) {
        self.engine.sent_attempts.clear();
        for action in std::mem::take(&mut self.engine.owner_actions) {
            match action {
                Action::SendToPeer { to, bytes } => {
                    if let Some(peers) = &self.peers {
                        peers.send(to, &bytes);
                    }
                }
                Action::FetchServers => self.refetch.notify_one(),
                Action::ShareUsage(usage) => {
                    // The queue is full only if the sibling does not read; its disconnection follows soon.
                    if let Some(sibling) = &self.sibling {
                        _ = sibling.try_send(Update::Usage(usage));
                    }
                }
                // `WatchServers` needs nothing, as the watch of the discovery service always runs; the engine has
                // carried out all other actions.
                _ => {}
            }
        }
    }

    /// Handles a received list, or changes to it. Where lists may be doubted, it is applied only as far as it is
    /// accepted.
    fn on_list(&mut self, list: EndpointList) {
        let Some(list_trust) = self.list_trust.clone() else {
            return self.apply_list(list);
        };
        let is_present =
            |entry: &&Entry| matches!(entry, Entry::Target(target) if target.state != State::Gone);
        let servers = list.targets.iter().filter(is_present).count();
        let received = ListSummary {
            service_generation: list.service_generation,
            revision: list.revision,
            servers,
        };
        let current = ListSummary {
            service_generation: self.service_generation,
            revision: self.revision,
            servers: self.roster.count(),
        };
        let source = list.source;
        let confirmed = matches!(
            source,
            ListSource::Peer {
                confirmed: true,
                ..
            }
        );
        // A peer's list may be older than the current one. Such a list is ignored, unless the peer has confirmed it.
        let is_older = list.service_generation < self.service_generation
            || (list.service_generation == self.service_generation
                && list.revision < self.revision);
        if source != ListSource::Service && is_older && !confirmed {
            return;
        }
        let scope = match list.full {
            true => ListScope::Full,
            false => ListScope::Delta,
        };
        let verdict = match confirmed {
            true => {
                list_trust.on_confirmed_list();
                Verdict::Accept
            }
            false => list_trust.evaluate(current, received, scope),
        };
        match verdict {
            Verdict::Accept | Verdict::AcceptDespiteDoubt => self.apply_list(list),
            Verdict::Merge => self.apply_list(EndpointList {
                full: false,
                ..list
            }),
            Verdict::Reject => return,
        }
        list_trust.save(self.revision, || self.roster.listed());
        if let (Some(peer_lists), false) = (&self.peer_lists, list_trust.is_doubting()) {
            peer_lists.on_list_accepted(
                self.revision,
                source,
                verdict == Verdict::AcceptDespiteDoubt,
                &self.roster.listed(),
            );
        }
    }

    /// Applies the list to the upstreams first, so that attempts that are about to be sent observe a drain at once, and
    /// then passes it to the decision module.
    fn apply_list(&mut self, list: EndpointList) {
        (self.revision, self.service_generation) = (list.revision, list.service_generation);
        let mut listed = BTreeSet::new();
        let mut servers = Vec::new();
        for entry in &list.targets {
            let Entry::Target(target) = entry else {
                continue;
            };
            let id = target.id();
            listed.insert(id);
            let server = target.server(&self.names);
            self.roster.update(id, target);
            self.update_upstream(id);
            servers.extend(server);
        }
        if list.full {
            self.roster.retain(|id| listed.contains(id));
            let missing: Vec<ServerId> = self
                .engine
                .upstreams
                .keys()
                .filter(|id| !listed.contains(id))
                .copied()
                .collect();
            missing.into_iter().for_each(|id| self.update_upstream(id));
        }
        self.handle_event(Event::Membership(match list.full {
            true => MembershipUpdate::Full(servers),
            false => MembershipUpdate::Changes(servers),
        }));
        if let Some(list_trust) = &self.list_trust {
            list_trust.update_readiness(self.engine.upstreams.len());
        }
    }

    /// Opens or closes the upstream of a server, according to the list and to maintenance. A new incarnation or address
    /// of the server starts without connections.
    fn update_upstream(&mut self, id: ServerId) {
        let instance = self
            .roster
            .ready_instance(id)
            .filter(|_| !self.engine.gateway.is_in_maintenance(id));
        if instance.is_some()
            && self
                .engine
                .upstreams
                .get(&id)
                .map(|upstream| upstream.server)
                == instance
        {
            return;
        }
        if let Some(previous) = self.engine.upstreams.remove(&id) {
            previous.close();
        }
        if let Some(instance) = instance {
            self.engine
                .upstreams
                .insert(id, Upstream::new(instance, self.pool.clone()));
        }
    }
}

/// Restores the decision module and the endpoint list from the state that the previous process handed over, and adds
/// all server names that it knew to the roster.
fn resume(
    state: HandoverState,
    settings: Settings,
    seed: u64,
    names: &NameIndex,
    clock: Clock,
    roster: &mut Roster,
) -> (Gateway, EndpointList) {
    for name in &state.names {
        roster.remember_name(server_id(name), name);
    }
    let targets = state.targets();
    let servers = targets
        .iter()
        .filter_map(|target| target.server(names).ok())
        .collect();
    let (gateway, complete) =
        Gateway::from_handover(settings, seed, clock.now(), state.gateway, servers);
    let what = if complete {
        "all"
    } else {
        "only the endpoint list and the servers out of service by hand, as the settings differ"
    };
    eprintln!("emberpin: state taken over from the previous process: {what}");
    let list = EndpointList {
        revision: state.revision,
        full: true,
        targets: targets.into_iter().map(Entry::Target).collect(),
        service_generation: 0,
        source: ListSource::Service,
    };
    (gateway, list)
}
