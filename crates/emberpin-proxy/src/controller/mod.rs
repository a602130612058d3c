//! The one owner of the routes, the servers, the budget and the modules: works through a queue of commands.

mod configuration;
mod control_sessions;
mod in_flight;
mod limits;
mod probing;
mod routing;
mod servers;
mod slow_start;

use crate::command::Command;
use crate::published_state::View;
use crate::random::drawn;
use crate::service::Service;
use emberpin_balancer::RequestId;
use emberpin_config::Configuration;
use emberpin_limiter::host::{Input, Pool, Reception, HEAD_BYTES};
use emberpin_routing::{RetryBudget, Router, WarmupTolerance};
use emberpin_runtime::settings::Settings;
use in_flight::Going;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{interval, sleep_until, Instant, MissedTickBehavior};

/// How often it is looked at whether cold servers may get something again.
const COLD_LOOK: Duration = Duration::from_millis(100);

/// Most ends of attempts that wait.
const INPUTS: usize = 1024;

/// The longest body where the configuration does not say.
const BODY_MAX: u64 = 64 << 20;

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
        let rule = WarmupTolerance {
            excess_factor: bounds.slow_start_factor,
            extra_requests: bounds.slow_start_allowance,
        };
        let (inputs, ends) = mpsc::channel(INPUTS);
        let mut zones: Vec<String> = vec![settings.zone.clone()];
        zones.extend(
            settings
                .zone_regions
                .keys()
                .filter(|zone| **zone != settings.zone)
                .cloned(),
        );
        Controller {
            begun: Instant::now(),
            router: Router::new(
                Duration::ZERO,
                &settings.node_name,
                rule,
                settings.heartbeat_interval,
            ),
            configuration: Configuration::new(),
            budget: RetryBudget::new(
                Duration::ZERO,
                bounds.retry_ratio,
                bounds.retry_window,
                bounds.retry_allowance,
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

    fn now(&self) -> Duration {
        self.begun.elapsed()
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
}
