//! One service: the decision module that chooses servers for its requests, and the connections to those servers.

mod endpoint;
mod settings;
mod traffic_class;

use emberpin_balancer::{Event, Gateway, MembershipUpdate, RequestId, Server, ServerId};
use emberpin_limiter::host::{
    Clock, Engine, Input, OverdueAttempts, Pool, SentAttempt, ServerInstance, TimerGrid, Upstream,
};
use emberpin_routing::{Availability, Route};
use endpoint::KnownEndpoint;
use hyper::header::HeaderValue;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;
use traffic_class::TrafficClasses;

pub use endpoint::Endpoint;
pub use traffic_class::{ClassCounts, ClassLease, Repeatability};

/// Attempts in flight per slot of the servers up to which this proxy is never considered congested: as many queued as
/// being processed. A queued request then waits for about one typical response, for which every latency target has
/// time.
const UNCONGESTED_ATTEMPTS_PER_SLOT: f64 = 2.0;
/// Lower bound of one proxy's congestion threshold, in attempts in flight: a smaller one would be exceeded by chance
/// alone.
const MIN_UNCONGESTED_ATTEMPTS: f64 = 3.0;
/// Grid to which the timers of all decision modules are aligned, so that they do not wake the process separately.
const TIMER_GRID: Duration = Duration::from_millis(100);

/// The servers of one service, and the decision module that distributes its requests over them.
pub struct Service {
    /// Hosts the decision module and carries out its decisions.
    pub engine: Engine,
    pool: Rc<Pool>,
    classes: TrafficClasses,
    /// Instances that the decision module knows, by instance id.
    endpoints: BTreeMap<String, KnownEndpoint>,
    /// Instance ids by the decision module's id of the server.
    instance_ids: BTreeMap<ServerId, String>,
    /// Server ids are never reused, so that a late event cannot be attributed to another instance.
    last_server_id: u32,
    /// Proxies that share the servers, at least 1.
    proxy_count: u32,
    /// Endpoints that registries report as available, whether or not they are reachable from this proxy.
    available_count: usize,
}

impl Service {
    /// A service without servers. The ends of its attempts are sent to `inputs`; `started_at` is the origin of the grid
    /// on which timers of all services fall.
    pub fn new(
        pool: Rc<Pool>,
        inputs: mpsc::Sender<Input>,
        seed: u64,
        started_at: Instant,
    ) -> Service {
        let clock = Clock::start();
        let gateway = Gateway::new(settings::decision_settings(), seed, clock.now());
        let mut engine = Engine::new(gateway, clock, inputs);
        // A 503 of the gateway promises its client that the request has not run.
        engine.reject_only_unexecuted = true;
        // The controller abandons overdue attempts itself, and only where its limits allow a retry.
        engine.overdue_attempts = OverdueAttempts::Report;
        engine.timer_grid = Some(TimerGrid {
            origin: started_at,
            step: TIMER_GRID,
        });
        Service {
            engine,
            pool,
            classes: TrafficClasses::default(),
            endpoints: BTreeMap::new(),
            instance_ids: BTreeMap::new(),
            last_server_id: 0,
            proxy_count: 1,
            available_count: 0,
        }
    }

    /// The traffic class of requests of this repeatability on this route. A request must keep the lease until the
    /// decision module no longer knows it.
    pub fn class(&mut self, route: &Route, repeatability: Repeatability) -> ClassLease {
        self.classes
            .lease(route, repeatability, &mut self.engine.gateway)
    }

    /// Frees the traffic classes that none of `routes` uses and no request holds a lease of. `routes` must contain all
    /// routes in force. The statistics of a freed class are discarded.
    pub fn retain_classes<'a>(&mut self, routes: impl Iterator<Item = &'a Route>) {
        self.classes.retain(routes);
    }

    /// The sizes of the tables of traffic classes.
    pub fn class_counts(&self) -> ClassCounts {
        self.classes.counts(&self.engine.gateway)
    }

    /// Whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Whether registries report any endpoint as available.
    pub fn has_available_server(&self) -> bool {
        self.available_count > 0
    }

    /// How many endpoints registries report as available, and how many others are known.
    pub fn server_counts(&self) -> (usize, usize) {
        let unavailable = self.endpoints.len().saturating_sub(self.available_count);
        (self.available_count, unavailable)
    }

    /// Sets how many proxies share the servers, which scales the congestion threshold.
    pub fn set_proxy_count(&mut self, proxy_count: u32) {
        self.proxy_count = proxy_count.max(1);
        self.update_min_congestion_threshold();
    }

    /// Id of the instance that the decision module knows by this server id.
    pub fn instance_id(&self, server: ServerId) -> Option<&str> {
        self.instance_ids.get(&server).map(String::as_str)
    }

    /// The endpoint of this instance, as last updated.
    pub fn endpoint(&self, instance: &str) -> Option<&Endpoint> {
        self.endpoints.get(instance).map(|known| &known.endpoint)
    }

    /// Attempts that were sent since the last call, each as its request and the id of the instance that it went to.
    pub fn take_sent_attempts(&mut self) -> Vec<(RequestId, String)> {
        let sent = std::mem::take(&mut self.engine.sent_attempts);
        let with_instance = |attempt: SentAttempt| {
            let instance = self.instance_ids.get(&attempt.server)?.clone();
            Some((attempt.request, instance))
        };
        sent.into_iter().filter_map(with_instance).collect()
    }

    /// Adds, changes or removes an endpoint, and notifies the decision module.
    pub fn update_endpoint(&mut self, endpoint: Endpoint) {
        let known = self.endpoints.get(&endpoint.change.id);
        if endpoint.change.availability == Availability::Removed && known.is_none() {
            return;
        }
        let available = endpoint.is_available();
        let was_available = known.is_some_and(|known| known.endpoint.is_available());
        let moved =
            known.is_some_and(|known| known.endpoint.change.address != endpoint.change.address);
        // Closing the connections ends the health check. The endpoint then counts as reachable again; once it is
        // available, an attempt shows whether it is reachable.
        let unreachable = known.is_some_and(|known| known.unreachable) && available && !moved;
        let server = match known {
            Some(known) => known.server,
            None => self.next_server_id(),
        };
        if !available || moved {
            self.close_connections(server);
        }
        if available {
            self.open_connections(server, &endpoint);
        }
        self.available_count =
            self.available_count + usize::from(available) - usize::from(was_available);
        let known = KnownEndpoint {
            endpoint,
            server,
            unreachable,
        };
        let entry = known.membership_entry();
        self.store_endpoint(known);
        self.notify_membership(entry);
    }

    fn next_server_id(&mut self) -> ServerId {
        self.last_server_id += 1;
        ServerId(self.last_server_id)
    }

    fn close_connections(&mut self, server: ServerId) {
        if let Some(upstream) = self.engine.upstreams.remove(&server) {
            upstream.close();
        }
    }

    fn open_connections(&mut self, server: ServerId, endpoint: &Endpoint) {
        if self.engine.upstreams.contains_key(&server) {
            return;
        }
        let server_instance = ServerInstance {
            address: endpoint.change.address,
            boot_ms: 0.0,
        };
        // An instance whose id is not a valid header value cannot be named in a request, so nothing is ever sent to it.
        if let Ok(instance) = HeaderValue::try_from(endpoint.change.id.as_str()) {
            let upstream =
                Upstream::with_instance(server_instance, Some(instance), self.pool.clone());
            self.engine.upstreams.insert(server, upstream);
        }
    }

    fn store_endpoint(&mut self, known: KnownEndpoint) {
        let instance = known.endpoint.change.id.clone();
        if known.endpoint.change.availability == Availability::Removed {
            self.endpoints.remove(&instance);
            self.instance_ids.remove(&known.server);
        } else {
            self.instance_ids.insert(known.server, instance.clone());
            self.endpoints.insert(instance, known);
        }
    }

    /// Takes an endpoint out of service until [`mark_reachable`](Self::mark_reachable). Returns its connections, for a
    /// health check, unless one is already under way or the endpoint is unknown.
    pub fn mark_unreachable(&mut self, server: ServerId) -> Option<Rc<Upstream>> {
        let known = self.endpoints.get_mut(self.instance_ids.get(&server)?)?;
        if std::mem::replace(&mut known.unreachable, true) {
            return None;
        }
        let entry = known.membership_entry();
        self.notify_membership(entry);
        self.engine.upstreams.get(&server).cloned()
    }

    /// Puts an endpoint back into service after its health check succeeded.
    pub fn mark_reachable(&mut self, server: ServerId) {
        let Some(known) = self
            .instance_ids
            .get(&server)
            .and_then(|instance| self.endpoints.get_mut(instance))
        else {
            return;
        };
        known.unreachable = false;
        let entry = known.membership_entry();
        self.notify_membership(entry);
    }

    fn notify_membership(&mut self, entry: Server) {
        self.engine
            .handle_event(Event::Membership(MembershipUpdate::Changes(vec![entry])));
        self.update_min_congestion_threshold();
    }

    /// Sets the lower bound of the number of attempts in flight above which the decision module calls this proxy
    /// congested: its share of the requests that the servers in service accept according to their reported slots.
    fn update_min_congestion_threshold(&mut self) {
        let in_service = self
            .endpoints
            .values()
            .filter(|known| known.is_in_service());
        let slots: u32 = in_service.map(|known| known.endpoint.slots()).sum();
        let threshold =
            f64::from(slots) * UNCONGESTED_ATTEMPTS_PER_SLOT / f64::from(self.proxy_count);
        self.engine
            .gateway
            .set_reported_capacity(threshold.max(MIN_UNCONGESTED_ATTEMPTS));
    }
}
