//! The one owner of the routes, the servers, the budget and the modules: works through a queue of commands.

use crate::requests::own;
use crate::service::Service;
use crate::wire::TRY_ID;
use emberpin_balancer::{CustomerId, GatewayId, PlanId, RequestId, ServerId};
use emberpin_config::{routes_in_force, Configuration, Item, Kind, Limits, Service as Listed};
use emberpin_limiter::host::{
    Answer, Call, ClientLimits, Ended, Input, Outgoing, Pool, Reception, Reply, Upstream,
    Upstreamed, HEAD_BYTES,
};
use emberpin_membership::instance::Instance;
use emberpin_membership::session::ToLimiter;
use emberpin_routing::{
    traffic_split, RetryBudget, Route, RouteKind, Router, WarmupProfile, WarmupTolerance,
};
use emberpin_runtime::settings::Settings;
use hyper::StatusCode;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, sleep_until, Instant, MissedTickBehavior};

/// A deadline counts from the client's sending: so much earlier the answer must be on its way.
const MARGIN: Duration = Duration::from_millis(12);
/// A body that is still coming: its request's time counts from its last byte, which comes within this.
const UPLOAD_LIMIT: Duration = Duration::from_secs(900);
/// Where no server of a service is known, a client may come back after so many milliseconds.
const NO_SERVER: f64 = 300.0;
/// And where nothing is known of the configuration.
const NO_ROUTES: f64 = 500.0;
/// How often it is looked at whether cold servers may get something again.
const COLD_LOOK: Duration = Duration::from_millis(100);
/// Pauses between questions to a silent server, at first and at most.
const ASK_ON: (Duration, Duration) = (Duration::from_millis(200), Duration::from_millis(800));
/// How soon it is looked at again whether another attempt may follow one that has had its time.
const LOOK_AGAIN: Duration = Duration::from_millis(150);
/// What may run once only goes on no connection that was idle for longer: a server that is gone or has forgotten the
/// connection would leave it in doubt, where a connection that comes up shows that the server is there.
const FRESHNESS: Duration = Duration::from_millis(50);
/// Most ends of attempts that wait.
const INPUTS: usize = 1024;
/// The longest body where the configuration does not say.
const BODY_MAX: u64 = 64 << 20;
/// The longest head that is ever read, whatever the configuration says: each client's connection may hold one.
const MOST_HEAD_BYTES: usize = 256 << 10;
/// Heads may take so much longer than the limit says, as the client counts from its own sending; twice if they grow.
const HEAD_SLACK: Duration = Duration::from_millis(500);
/// Idle connections stay so much longer than the limit says: a request may be on its way.
const IDLE_SLACK: Duration = Duration::from_secs(1);

/// What the request handler reads without asking.
pub struct View {
    ready: Cell<bool>,
    leaving: Cell<bool>,
    body_max: Cell<u64>,
    head_max: Cell<u64>,
}

impl View {
    /// Whether new connections are wanted.
    pub fn is_ready(&self) -> bool {
        self.ready.get() && !self.leaving.get()
    }

    /// No new connections are wanted any more.
    pub fn leave(&self) {
        self.leaving.set(true);
    }

    /// The longest body that a client may send.
    pub fn body_max(&self) -> u64 {
        self.body_max.get()
    }

    /// The longest head that a client may send, in bytes.
    pub fn head_max(&self) -> u64 {
        self.head_max.get()
    }
}

/// A request that a client made.
pub struct Ask {
    /// Names it here.
    pub id: RequestId,
    /// The host that it is for.
    pub host: String,
    /// What goes on to a server.
    pub outgoing: Outgoing,
    /// When its head had come.
    pub arrived: Instant,
    /// For how long the client waits, if it says.
    pub deadline: Option<Duration>,
    /// How often it went out before, if it was taken back from a service that it may not go to any more.
    pub sends: u32,
    /// Who waits for the one answer.
    pub answer: oneshot::Sender<Reply>,
}

/// What the controller works through.
pub enum Command {
    /// A client's request.
    Ask(Box<Ask>),
    /// Its client has gone.
    Gone(RequestId),
    /// A registry has told something, in this session.
    News { session: usize, message: ToLimiter },
    /// What a session told is confirmed; so many limiters have sessions.
    Confirmed { session: usize, limiters: u32 },
    /// A session begins; `resumed`: with a place of an earlier one with the same registry.
    Begun { session: usize, resumed: bool },
    /// A session has ended.
    Lost { session: usize },
    /// A server that was silent takes connections again.
    Heard { service: String, server: ServerId },
    /// Wants all instances that are known.
    Instances(oneshot::Sender<Vec<Instance>>),
}

/// A request that is owed an answer or has an attempt out.
struct Going {
    /// The newest one under which it may go to its service.
    route: Rc<Route>,
    service: String,
    host: String,
    outgoing: Rc<Outgoing>,
    arrived: Instant,
    deadline: Option<Duration>,
    /// How often it went out.
    sends: u32,
}

impl Going {
    /// As it came, for its client waits on for the one answer.
    fn anew(&self, id: RequestId, answer: oneshot::Sender<Reply>) -> Ask {
        let outgoing = Outgoing {
            withdrawn: Cell::new(false),
            ..(*self.outgoing).clone()
        };
        let (host, arrived, deadline, sends) =
            (self.host.clone(), self.arrived, self.deadline, self.sends);
        Ask {
            id,
            host,
            outgoing,
            arrived,
            deadline,
            sends,
            answer,
        }
    }
}

/// The owner.
pub struct Controller {
    begun: Instant,
    router: Router,
    configuration: Configuration,
    budget: RetryBudget,
    limiters: u32,
    services: BTreeMap<String, Service>,
    requests: BTreeMap<RequestId, Going>,
    /// Instances that were cold when last looked at.
    cold: BTreeSet<String>,
    zones: Vec<String>,
    evacuated: BTreeSet<String>,
    /// Sessions that have told all that there is.
    told: BTreeSet<usize>,
    /// Sessions that have gone on from a place and told nothing yet.
    resumed: BTreeSet<usize>,
    random: oorandom::Rand64,
    view: Rc<View>,
    reception: Rc<Reception>,
    pool: Rc<Pool>,
    commands: mpsc::WeakSender<Command>,
    inputs: mpsc::Sender<Input>,
    ends: mpsc::Receiver<Input>,
}

impl Controller {
    /// Knows nothing but its settings.
    pub fn new(
        settings: &Settings,
        pool: Rc<Pool>,
        reception: Rc<Reception>,
        commands: &mpsc::Sender<Command>,
    ) -> Controller {
        let bounds = &settings.bounds;
        let millis = |time: Duration| time.as_secs_f64() * 1000.0;
        let rule = WarmupTolerance {
            excess_factor: bounds.warm_excess,
            extra_requests: bounds.warm_extra,
        };
        let (inputs, ends) = mpsc::channel(INPUTS);
        let mut zones: Vec<String> = vec![settings.zone.clone()];
        zones.extend(
            settings
                .zones
                .keys()
                .filter(|zone| **zone != settings.zone)
                .cloned(),
        );
        Controller {
            begun: Instant::now(),
            router: Router::new(0.0, &settings.nodename, rule, millis(settings.beat)),
            configuration: Configuration::new(),
            budget: RetryBudget::new(
                0.0,
                bounds.retry_ratio,
                millis(bounds.retry_win),
                bounds.retry_extra,
            ),
            limiters: 0,
            services: BTreeMap::new(),
            requests: BTreeMap::new(),
            cold: BTreeSet::new(),
            zones,
            evacuated: BTreeSet::new(),
            told: BTreeSet::new(),
            resumed: BTreeSet::new(),
            random: oorandom::Rand64::new(u128::from(drawn())),
            view: Rc::new(View {
                ready: Cell::new(false),
                leaving: Cell::new(false),
                body_max: Cell::new(BODY_MAX),
                head_max: Cell::new(HEAD_BYTES as u64),
            }),
            reception,
            pool,
            commands: commands.downgrade(),
            inputs,
            ends,
        }
    }

    /// What the request handler reads.
    pub fn view(&self) -> Rc<View> {
        self.view.clone()
    }

    /// Works for as long as there is anybody to send commands.
    pub async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        let timer = sleep_until(Instant::now());
        tokio::pin!(timer);
        let mut looks = interval(COLD_LOOK);
        looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let due = self
                .services
                .values()
                .filter_map(|service| service.engine.due())
                .min();
            if let Some(due) = due.filter(|due| *due != timer.deadline()) {
                timer.as_mut().reset(due);
            }
            tokio::select! {
                biased;
                () = timer.as_mut(), if due.is_some() => self.fire(),
                Some(input) = self.ends.recv() => self.end(input),
                command = commands.recv() => match command {
                    Some(command) => self.take(command),
                    None => return,
                },
                _ = looks.tick(), if !self.cold.is_empty() => self.look_at_cold(),
            }
        }
    }

    fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64() * 1000.0
    }

    fn fire(&mut self) {
        let now = Instant::now();
        let due: Vec<String> = self
            .services
            .iter()
            .filter(|(_, service)| service.engine.due().is_some_and(|due| due <= now))
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            if let Some(service) = self.services.get_mut(&name) {
                service.engine.fire();
            }
            self.follow_up(&name);
        }
    }

    fn take(&mut self, command: Command) {
        match command {
            Command::Ask(ask) => self.ask(*ask),
            Command::Gone(request) => {
                let Some(going) = self.requests.get(&request) else {
                    return;
                };
                let name = going.service.clone();
                if let Some(service) = self.services.get_mut(&name) {
                    service.engine.gone(request);
                }
                self.follow_up(&name);
                self.forget(request);
            }
            Command::News { session, message } => self.hear(session, message),
            Command::Confirmed { session, limiters } => self.confirmed(session, limiters),
            Command::Begun { session, resumed } => {
                self.told.remove(&session);
                self.resumed.remove(&session);
                if resumed {
                    self.resumed.insert(session);
                }
            }
            Command::Lost { session } => {
                self.told.remove(&session);
                self.resumed.remove(&session);
            }
            Command::Heard {
                service: name,
                server,
            } => {
                if let Some(service) = self.services.get_mut(&name) {
                    service.heard(server);
                }
                self.follow_up(&name);
            }
            Command::Instances(answer) => {
                _ = answer.send(self.router.endpoints.known_instances(self.now()))
            }
        }
    }

    // ---- Requests ----

    fn ask(&mut self, ask: Ask) {
        let now = self.now();
        let refuse = |retry_after| Reply::Answer(Answer::Refused { retry_after });
        let Some(route) = self
            .router
            .routes
            .find(&ask.host, ask.outgoing.uri.path())
            .cloned()
        else {
            // Guards requests that come before the configuration: nobody has said that there is no such route.
            let unknown = self.configuration.is_empty();
            _ = ask.answer.send(if unknown {
                refuse(NO_ROUTES)
            } else {
                own(StatusCode::NOT_FOUND)
            });
            return;
        };
        let services = &self.services;
        let usable = |service: &str| services.get(service).is_some_and(Service::is_usable);
        let draw = self.random.rand_float();
        let target = traffic_split::choose_service(&route.targets, draw, usable);
        let Some(name) = target.map(str::to_string) else {
            _ = ask.answer.send(refuse(NO_SERVER));
            return;
        };
        let Some(service) = self.services.get_mut(&name) else {
            _ = ask.answer.send(refuse(NO_SERVER));
            return;
        };
        if ask.sends == 0 {
            self.budget.record_request(now, &name);
        } else if ask.sends >= route.tries || !self.budget.allows_retry(now, &name, self.limiters) {
            _ = ask.answer.send(refuse(NO_SERVER));
            return;
        }
        let whole = ask
            .deadline
            .map_or(route.timeout, |deadline| deadline.min(route.timeout));
        let patience = whole.saturating_sub(MARGIN).max(whole / 2);
        let mut outgoing = ask.outgoing;
        outgoing.freshness = freshness(&outgoing, route.kind);
        let expires = match &outgoing.body {
            Upstreamed::Whole(_) => ask.arrived + patience,
            Upstreamed::Coming(_) => Instant::now() + UPLOAD_LIMIT,
        };
        let outgoing = Rc::new(outgoing);
        let call = Call {
            id: ask.id,
            class: service.class(&route),
            plan: PlanId(0),
            customer: CustomerId(0),
            units: 1.0,
            set_size: 1,
            set_first: GatewayId(0),
            ran: None,
            patience,
            expires,
            outgoing: outgoing.clone(),
            answer: ask.answer,
        };
        let (host, arrived, deadline, sends) = (ask.host, ask.arrived, ask.deadline, ask.sends);
        let going = Going {
            route,
            service: name.clone(),
            host,
            outgoing,
            arrived,
            deadline,
            sends,
        };
        self.requests.insert(ask.id, going);
        service.engine.call(call);
        self.follow_up(&name);
        self.forget(ask.id);
    }

    fn end(&mut self, input: Input) {
        let (request, attempt, server, ended) = match input {
            Input::Ended {
                request,
                attempt,
                server,
                ended,
            } => (request, attempt, server, ended),
            Input::Overdue { request, attempt } => return self.overdue(request, attempt),
            _ => return,
        };
        let Some(going) = self.requests.get(&request) else {
            return;
        };
        let (now, name) = (self.now(), going.service.clone());
        // What never went out was no try of a server's: what follows it is the first, and not the budget's.
        let sends = going.sends.saturating_sub(u32::from(!ended.sent));
        let may = sends == 0 || self.budget.allows_retry(now, &name, self.limiters);
        let withdrawn = going.outgoing.withdrawn.get();
        let again = sends < going.route.tries && may && !withdrawn;
        let misdirected = ended.misdirected;
        if let Some(going) = self.requests.get_mut(&request) {
            going.sends = sends;
        }
        let Some(service) = self.services.get_mut(&name) else {
            return;
        };
        if ended.unreachable {
            if let Some(upstream) = service.silent(server) {
                spawn_local(ask_on(
                    upstream,
                    name.clone(),
                    server,
                    self.commands.clone(),
                ));
            }
        }
        if misdirected {
            if let Some(instance) = service.instance(server) {
                self.router.endpoints.mark_misdirected(instance);
            }
            // Before the module chooses again, so that it does not choose that one.
            self.apply_changes();
        }
        // Guards requests whose route has changed: what has not run goes where the newest routes say.
        let anew = withdrawn
            .then(|| self.take_back(&name, request, &ended))
            .flatten();
        self.ended(&name, request, attempt, server, ended, again);
        if let Some(ask) = anew {
            self.ask(ask);
        }
    }

    /// The request as it came, if this end of its attempt leaves none that may have run.
    fn take_back(&mut self, name: &str, request: RequestId, ended: &Ended) -> Option<Ask> {
        if !ended.outcome.never_ran() {
            return None;
        }
        let answer = self.services.get_mut(name)?.engine.take_back(request)?;
        Some(self.requests.get(&request)?.anew(request, answer))
    }

    /// An attempt has had its time: it is broken off only where another one can follow, as its server may be at work, and
    /// not by a limiter that leaves.
    fn overdue(&mut self, request: RequestId, attempt: u32) {
        let Some(going) = self.requests.get(&request) else {
            return;
        };
        let now = self.now();
        if going.sends >= going.route.tries
            || going.outgoing.withdrawn.get()
            || self.view.leaving.get()
        {
            return;
        }
        let affords = self.budget.allows_retry(now, &going.service, self.limiters);
        let Some(Service { engine, .. }) = self.services.get_mut(&going.service) else {
            return;
        };
        if affords && engine.gateway.would_repeat(engine.clock.now(), request) {
            engine.give_up(request, attempt);
        } else if engine.is_out(request, attempt) {
            // A moment's congestion, or a budget that is spent, is over before most deadlines are.
            let inputs = self.inputs.clone();
            spawn_local(async move {
                sleep(LOOK_AGAIN).await;
                _ = inputs.send(Input::Overdue { request, attempt }).await;
            });
        }
    }

    fn ended(
        &mut self,
        name: &str,
        request: RequestId,
        attempt: u32,
        server: ServerId,
        ended: Ended,
        again: bool,
    ) {
        if let Some(service) = self.services.get_mut(name) {
            service.engine.ended(request, attempt, server, ended, again);
        }
        self.follow_up(name);
        self.forget(request);
    }

    /// Books what a service's module has just sent.
    fn follow_up(&mut self, name: &str) {
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        service.engine.beyond.clear();
        for (request, _, instance) in service.sent() {
            let now = self.now();
            if let Some(going) = self.requests.get_mut(&request) {
                going.sends += 1;
                if going.sends > 1 {
                    self.budget.record_retry(now, name);
                }
            }
            self.router.record_send(now, &instance);
            if self.cold.contains(&instance) {
                self.look_at(&instance);
            }
        }
    }

    fn forget(&mut self, request: RequestId) {
        let Some(going) = self.requests.get(&request) else {
            return;
        };
        if !self
            .services
            .get(&going.service)
            .is_some_and(|service| service.engine.holds(request))
        {
            self.requests.remove(&request);
        }
    }

    // ---- News ----

    fn hear(&mut self, session: usize, message: ToLimiter) {
        match message {
            ToLimiter::Snapshot {
                items,
                instances,
                rest,
                ..
            }
            | ToLimiter::SnapshotPart {
                items,
                instances,
                rest,
            } => {
                self.learn(items, &instances);
                if rest.is_none() {
                    self.told.insert(session);
                }
            }
            ToLimiter::Changes {
                items, instances, ..
            } => {
                self.learn(items, &instances);
                // Where a session goes on from a place up to which this registry had told everything, it knows all now.
                if self.resumed.remove(&session) {
                    self.told.insert(session);
                }
            }
            // Is the session's own concern, which says what of it is confirmed.
            ToLimiter::Pulse { .. } => {}
        }
    }

    /// What a session has told is as young as it is to be.
    fn confirmed(&mut self, session: usize, limiters: u32) {
        if limiters != self.limiters {
            self.limiters = limiters;
            self.services
                .values_mut()
                .for_each(|service| service.shared_by(limiters));
        }
        self.router.set_limiter_count(self.now(), limiters);
        // Guards a new instance against serving what is older than a majority's word.
        let knows = !self.configuration.is_empty() && !self.services.is_empty();
        if self.told.contains(&session) && knows && !self.view.ready.replace(true) {
            log::info!("ready, with {} items", self.configuration.len());
        }
    }

    fn learn(&mut self, items: Vec<Item>, instances: &[Instance]) {
        let mut changed = false;
        for item in items {
            changed |= self.configuration.merge(item);
        }
        if changed {
            self.configure();
        }
        let now = self.now();
        // What a registry does not name is kept: it may be behind another one. Who is gone is told by name.
        self.router.endpoints.update(now, instances);
        self.apply_changes();
        for instance in instances.iter().filter(|instance| instance.cold_ms > 0) {
            self.look_at(&instance.id);
        }
    }

    /// The configuration has changed.
    fn configure(&mut self) {
        let routes: Vec<Route> = routes_in_force(&self.configuration);
        self.router.routes.replace(routes);
        self.follow_routes();
        let mut warmth = HashMap::new();
        let mut evacuated = BTreeSet::new();
        for item in self.configuration.live() {
            match item.key.kind {
                Kind::Service => {
                    if let Ok(listed) = Listed::from_item(item) {
                        let warmup_ms = listed.warmup.as_secs_f64() * 1000.0;
                        warmth.insert(
                            listed.name,
                            WarmupProfile {
                                warmup_ms,
                                requests_per_second: listed.warmup_per_s,
                            },
                        );
                    }
                }
                Kind::Evacuation => _ = evacuated.insert(item.key.name.clone()),
                Kind::Limits => {
                    if let Ok(limits) = Limits::from_item(item) {
                        self.view.body_max.set(limits.body_max_bytes);
                        self.view.head_max.set(limits.hdr_max_bytes);
                        self.reception.limit(client_limits(&limits));
                    }
                }
                Kind::Route | Kind::Roster | Kind::History | Kind::Checkpoint => {}
            }
        }
        self.free_unused(&warmth);
        self.router.endpoints.set_warmup_profiles(warmth);
        let returned = self.evacuated.iter().any(|zone| !evacuated.contains(zone));
        self.evacuated.clone_from(&evacuated);
        self.router
            .endpoints
            .set_evacuated_zones(self.now(), evacuated);
        self.apply_changes();
        if !returned {
            return;
        }
        let now = self.now();
        // A zone that has come back is cold.
        let instances: Vec<String> = self
            .router
            .endpoints
            .known_instances(now)
            .into_iter()
            .map(|instance| instance.id)
            .collect();
        for id in instances {
            if self.router.endpoints.is_warming_up(now, &id) {
                self.look_at(&id);
            }
        }
    }

    /// Holds the requests that are going on against the newest routes.
    fn follow_routes(&mut self) {
        for going in self.requests.values_mut() {
            let path = going.outgoing.uri.path();
            let newest = self
                .router
                .current_route(&going.host, path, &going.route, &going.service);
            going.outgoing.withdrawn.set(newest.is_none());
            if let Some(newest) = newest {
                going.route = newest;
            }
        }
    }

    /// Frees what was kept for routes and services that there are no more.
    fn free_unused(&mut self, listed: &HashMap<String, WarmupProfile>) {
        let mut routes: HashMap<&str, Vec<&Route>> = HashMap::new();
        for route in self.router.routes.iter() {
            for (target, _) in &route.targets {
                routes.entry(target).or_default().push(route);
            }
        }
        for going in self.requests.values() {
            routes.entry(&going.service).or_default().push(&going.route);
        }
        self.services.retain(|name, service| {
            listed.contains_key(name) || !service.is_empty() || routes.contains_key(name.as_str())
        });
        for (name, service) in &mut self.services {
            service.keep_classes(routes.get(name.as_str()).into_iter().flatten().copied());
        }
    }

    /// Tells the modules what has changed about servers.
    fn apply_changes(&mut self) {
        for change in self.router.endpoints.take_changes() {
            let now = self.now();
            let bears = self
                .router
                .slow_start_admits(&change.service, &change.id, now);
            if self.router.endpoints.is_warming_up(now, &change.id) {
                self.cold.insert(change.id.clone());
            }
            let zone = self.zone(&change.zone);
            let name = change.service.clone();
            if !self.services.contains_key(&name) {
                let mut service =
                    Service::new(self.pool.clone(), self.inputs.clone(), drawn(), self.begun);
                service.shared_by(self.limiters);
                self.services.insert(name.clone(), service);
            }
            if let Some(service) = self.services.get_mut(&name) {
                service.change(change, zone, bears);
            }
            self.follow_up(&name);
        }
    }

    /// The number of a zone, this limiter's own being 0.
    fn zone(&mut self, name: &str) -> usize {
        if let Some(at) = self.zones.iter().position(|zone| zone == name) {
            return at;
        }
        self.zones.push(name.to_string());
        self.zones.len() - 1
    }

    fn look_at_cold(&mut self) {
        for id in self.cold.clone() {
            self.look_at(&id);
        }
    }

    /// Whether a server may get something from here, if it is or was cold.
    fn look_at(&mut self, id: &str) {
        let now = self.now();
        if self.router.endpoints.is_warming_up(now, id) {
            self.cold.insert(id.to_string());
        } else {
            self.cold.remove(id);
        }
        let Some(instance) = self.router.endpoints.instance(id) else {
            return;
        };
        let name = instance.service.clone();
        let bears = self.router.slow_start_admits(&name, id, now);
        let known = self
            .services
            .get(&name)
            .and_then(|service| service.told(id));
        let Some(change) = known
            .filter(|(_, bore)| *bore != bears)
            .map(|(change, _)| change.clone())
        else {
            return;
        };
        let zone = self.zone(&change.zone);
        if let Some(service) = self.services.get_mut(&name) {
            service.change(change, zone, bears);
        }
    }
}

/// For how long the connection that carries a request may have been idle, where that is bounded.
fn freshness(outgoing: &Outgoing, kind: RouteKind) -> Option<Duration> {
    match kind {
        // Guards requests without an id: a late answer without one could not be told from theirs.
        _ if !outgoing.headers.contains_key(TRY_ID) => Some(Duration::ZERO),
        RouteKind::Mutating => Some(FRESHNESS),
        RouteKind::Readonly | RouteKind::Pull => None,
    }
}

/// What the configuration leaves each client's connection.
fn client_limits(limits: &Limits) -> ClientLimits {
    let head = limits.hdr_read + HEAD_SLACK;
    let idle = limits.idle + IDLE_SLACK;
    let head_bytes = usize::try_from(limits.hdr_max_bytes).unwrap_or(MOST_HEAD_BYTES);
    ClientLimits {
        head: (head, head + HEAD_SLACK * 2),
        silence: idle,
        idle: Some(idle),
        // A shorter limit is held against heads that have come whole: the HTTP library reads no less.
        head_bytes: head_bytes.clamp(HEAD_BYTES, MOST_HEAD_BYTES),
    }
}

/// Asks a silent server for a sign of instance until it gives one or nothing may go there any more.
async fn ask_on(
    upstream: Rc<Upstream>,
    service: String,
    server: ServerId,
    commands: mpsc::WeakSender<Command>,
) {
    let mut pause = ASK_ON.0;
    loop {
        sleep(pause).await;
        if !upstream.is_open() {
            return;
        }
        if upstream.answers().await {
            break;
        }
        pause = (pause * 2).min(ASK_ON.1);
    }
    if let Some(commands) = commands.upgrade() {
        _ = commands.send(Command::Heard { service, server }).await;
    }
}

/// Drawn from the system; a fixed number where that fails, as only spread is wanted.
pub fn drawn() -> u64 {
    let mut bytes = [0; 8];
    getrandom::fill(&mut bytes).map_or(0x9e37_79b9_7f4a_7c15, |()| u64::from_le_bytes(bytes))
}
