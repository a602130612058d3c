//! The single owner of routes, servers, retry budgets and in-flight requests: an event loop over a queue of commands.
//!
//! One decision module ([`Service`]) per service chooses the server of each attempt; the controller decides which
//! service a request is for and whether its route and the retry budget allow another attempt. One task changes all
//! state and handles one event at a time, so no event sees the partial effects of another.

mod attempts;
mod configuration;
mod control_sessions;
mod in_flight_request;
mod limits;
mod probing;
mod replies;
mod routing;
mod servers;
mod session_sync;
mod slow_start;
mod zone_table;

use crate::command::Command;
use crate::metrics::{gauge_value, ProxyMetrics};
use crate::published_state::PublishedState;
use crate::random_seed::random_seed;
use crate::service::Service;
use emberpin_balancer::RequestId;
use emberpin_config::Configuration;
use emberpin_limiter::host::{ClientListener, Input, Pool, DEFAULT_MAX_HEAD_BYTES};
use emberpin_routing::{DrawSequence, RetryBudget, Router, WarmupTolerance};
use emberpin_runtime::metrics::GAUGE_PERIOD;
use emberpin_runtime::settings::Settings;
use in_flight_request::InFlightRequest;
use session_sync::SessionSync;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{interval, sleep_until, Instant, MissedTickBehavior};
use zone_table::ZoneTable;

/// How often the controller checks whether a warming server may get another request. This proxy's share of its rate is
/// per second, so a coarser period would leave part of it unused.
const SLOW_START_CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Capacity of the queue of engines' reports about attempts; senders wait while it is full.
const MAX_QUEUED_INPUTS: usize = 1024;

/// Owner of the proxy's routing state. See the [module](self) documentation.
pub struct Controller {
    /// Origin of the clock that the router and the retry budget use.
    started_at: Instant,
    router: Router,
    configuration: Configuration,
    retry_budget: RetryBudget,
    /// Proxies that share the servers, as last counted by a registry; 0 before the first count.
    proxy_count: u32,
    services: BTreeMap<String, Service>,
    in_flight: BTreeMap<RequestId, InFlightRequest>,
    /// Instances that were warming up when last checked.
    warming_instances: BTreeSet<String>,
    zones: ZoneTable,
    evacuated_zones: BTreeSet<String>,
    session_sync: SessionSync,
    /// Whether a confirmed session has received its registry's whole state since the start. Until then, a route that is
    /// unknown to this proxy may exist.
    has_whole_configuration: bool,
    random: oorandom::Rand64,
    /// Draw sequences by route name, for the routes in force that split their requests among services.
    split_draws: BTreeMap<String, DrawSequence>,
    published: Rc<PublishedState>,
    metrics: Rc<ProxyMetrics>,
    /// Whether gauges are kept up to date; false without a metrics endpoint.
    updates_gauges: bool,
    client_listener: Rc<ClientListener>,
    pool: Rc<Pool>,
    /// Given to health checks. Weak, since the controller ends once all other senders are dropped.
    commands: mpsc::WeakSender<Command>,
    inputs: mpsc::Sender<Input>,
    queued_inputs: mpsc::Receiver<Input>,
}

impl Controller {
    /// Starts without configuration and servers, which registries send once their sessions are established.
    pub fn new(
        settings: &Settings,
        pool: Rc<Pool>,
        client_listener: Rc<ClientListener>,
        commands: &mpsc::Sender<Command>,
        metrics: Rc<ProxyMetrics>,
    ) -> Controller {
        let (inputs, queued_inputs) = mpsc::channel(MAX_QUEUED_INPUTS);
        Controller {
            started_at: Instant::now(),
            router: new_router(settings),
            configuration: Configuration::new(),
            retry_budget: new_retry_budget(settings),
            proxy_count: 0,
            services: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            warming_instances: BTreeSet::new(),
            zones: ZoneTable::new(&settings.zone, settings.zone_regions.keys()),
            evacuated_zones: BTreeSet::new(),
            session_sync: SessionSync::default(),
            has_whole_configuration: false,
            random: oorandom::Rand64::new(u128::from(random_seed())),
            split_draws: BTreeMap::new(),
            published: Rc::new(PublishedState::new(DEFAULT_MAX_HEAD_BYTES as u64)),
            metrics,
            updates_gauges: false,
            client_listener,
            pool,
            commands: commands.downgrade(),
            inputs,
            queued_inputs,
        }
    }

    /// The state that request handlers read.
    pub fn published_state(&self) -> Rc<PublishedState> {
        self.published.clone()
    }

    /// Keeps gauges up to date from now on.
    pub fn enable_gauge_updates(&mut self) {
        self.updates_gauges = true;
    }

    /// Handles events until the last sender of commands is dropped.
    ///
    /// Timers are handled before ends of attempts, and those before new commands, so that a decision about a new
    /// request takes account of everything that has ended before it.
    pub async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        let timer = sleep_until(Instant::now());
        tokio::pin!(timer);
        let mut slow_start_checks = interval(SLOW_START_CHECK_PERIOD);
        slow_start_checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut gauge_updates = interval(GAUGE_PERIOD);
        gauge_updates.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let next_timer = self.next_timer();
            if let Some(due) = next_timer.filter(|due| *due != timer.deadline()) {
                timer.as_mut().reset(due);
            }
            tokio::select! {
                biased;
                () = timer.as_mut(), if next_timer.is_some() => self.on_timer(),
                Some(input) = self.queued_inputs.recv() => self.on_input(input),
                command = commands.recv() => match command {
                    Some(command) => self.on_command(command),
                    None => return,
                },
                _ = slow_start_checks.tick(), if !self.warming_instances.is_empty() => {
                    self.refresh_warming_instances();
                }
                _ = gauge_updates.tick(), if self.updates_gauges => self.set_gauges(),
            }
        }
    }

    fn set_gauges(&self) {
        let metrics = &self.metrics;
        let counts = [
            (&metrics.requests_in_flight, self.in_flight.len()),
            (&metrics.warming_instances, self.warming_instances.len()),
            (&metrics.evacuated_zones, self.evacuated_zones.len()),
            (&metrics.ready, usize::from(self.published.is_ready())),
            (&metrics.proxies, self.proxy_count as usize),
        ];
        for (gauge, count) in counts {
            gauge.set(gauge_value(count));
        }
        for (name, service) in &self.services {
            let (available, unavailable) = service.server_counts();
            metrics.set_servers(name, available, unavailable);
        }
    }

    /// The time since the start, as passed to the router and the retry budget.
    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// When the earliest timer of any service's decision module is due.
    fn next_timer(&self) -> Option<Instant> {
        self.services
            .values()
            .filter_map(|service| service.engine.next_timer())
            .min()
    }

    fn on_timer(&mut self) {
        let now = Instant::now();
        let due: Vec<String> = self
            .services
            .iter()
            .filter(|(_, service)| service.engine.next_timer().is_some_and(|due| due <= now))
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            if let Some(service) = self.services.get_mut(&name) {
                service.engine.fire_timers();
            }
            self.record_sent_attempts(&name);
        }
    }

    fn on_command(&mut self, command: Command) {
        match command {
            Command::Route(request) => self.route_request(*request),
            Command::ClientDisconnected(request) => self.on_client_disconnected(request),
            Command::RegistryUpdate { session, message } => {
                self.on_registry_update(session, message);
            }
            Command::SessionConfirmed { session, proxies } => {
                self.on_session_confirmed(session, proxies);
            }
            Command::SessionStarted { session, resumed } => {
                self.session_sync.on_started(session, resumed);
            }
            Command::SessionEnded { session } => self.session_sync.on_ended(session),
            Command::ServerReachable { service, server } => {
                self.on_server_reachable(&service, server);
            }
            Command::ListInstances(reply_to) => {
                _ = reply_to.send(self.router.endpoints.known_instances(self.now()));
            }
        }
    }
}

fn new_router(settings: &Settings) -> Router {
    let tolerance = WarmupTolerance {
        excess_factor: settings.bounds.slow_start_factor,
        extra_requests: settings.bounds.slow_start_allowance,
    };
    Router::new(
        Duration::ZERO,
        &settings.node_name,
        tolerance,
        settings.heartbeat_interval,
    )
}

fn new_retry_budget(settings: &Settings) -> RetryBudget {
    let bounds = &settings.bounds;
    RetryBudget::new(
        Duration::ZERO,
        bounds.retry_ratio,
        bounds.retry_window,
        bounds.retry_allowance,
    )
}
