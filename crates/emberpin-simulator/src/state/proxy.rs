//! A model of a proxy. It keeps sessions with registries as the real proxy does, and routes by the updates it receives.

use super::network::ConnectionId;
use super::process::Process;
use super::HEARTBEAT_INTERVAL;
use crate::machine::CoreId;
use crate::mutants::Guards;
use crate::violation::ProxyViolation;
use emberpin_config::{effective_routes, Configuration, Item, ItemKind, Route, Service, Version};
use emberpin_membership::candidates::RegistryCandidates;
use emberpin_membership::clock::Timestamp;
use emberpin_membership::instance::Instance;
use emberpin_membership::lease::SessionLease;
use emberpin_membership::session::SyncProgress;
use emberpin_membership::timing::RECONNECT_BACKOFF;
use emberpin_routing::{Availability, Router, WarmupProfile, WarmupTolerance};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// The number of sessions of a proxy, the same as in the real one.
pub(crate) const SESSION_COUNT: usize = 2;
/// The settings `warm_excess` and `warm_extra`.
const TOLERANCE: WarmupTolerance = WarmupTolerance {
    excess_factor: 1.5,
    extra_requests: 5.0,
};

/// A session with a registry, or the slot for one while there is none. All times are on the proxy's clock.
#[derive(Clone, Debug)]
pub(crate) struct Session {
    pub connection: Option<ConnectionId>,
    pub core: Option<CoreId>,
    /// The registry of the last attempt to begin a session.
    pub last_core: Option<CoreId>,
    pub last_message_at: Duration,
    pub began_at: Duration,
    pub lease: SessionLease,
    pub backoff: Duration,
    pub next_attempt_at: Duration,
    pub next_keep_alive_at: Duration,
    /// Whether the proxy has received the registry's complete state.
    pub is_synced: bool,
    /// Whether a further part of a snapshot is expected; `None` before the first message with state.
    pub awaits_part: Option<bool>,
}

impl Session {
    fn new() -> Session {
        Session {
            connection: None,
            core: None,
            last_core: None,
            last_message_at: Duration::ZERO,
            began_at: Duration::ZERO,
            lease: SessionLease::new(Timestamp::ZERO),
            backoff: RECONNECT_BACKOFF.initial,
            next_attempt_at: Duration::ZERO,
            next_keep_alive_at: Duration::ZERO,
            is_synced: false,
            awaits_part: None,
        }
    }

    pub fn begin(&mut self, now: Duration, connection: ConnectionId, core: CoreId) {
        (self.connection, self.core) = (Some(connection), Some(core));
        (self.last_message_at, self.began_at) = (now, now);
        self.lease = SessionLease::new(timestamp(now));
        self.next_keep_alive_at = now;
        self.is_synced = false;
        self.awaits_part = None;
    }

    pub fn end(&mut self) {
        (self.connection, self.core) = (None, None);
        self.is_synced = false;
    }
}

/// The running state of a proxy's machine.
pub(crate) struct ProxyProcess {
    pub router: Router,
    pub configuration: Configuration,
    pub is_ready: bool,
    pub sessions: Vec<Session>,
    /// How much of each registry's state was received, including in earlier sessions.
    pub progress: BTreeMap<CoreId, SyncProgress>,
    pub candidates: RegistryCandidates,
    /// The highest version of each route that took effect in this incarnation.
    highest_route_versions: BTreeMap<String, Version>,
    /// The ids of the instances that were known to be draining.
    pub drained_instances: BTreeSet<String>,
}

impl ProxyProcess {
    pub fn new(name: &str, guards: &Guards) -> ProxyProcess {
        ProxyProcess {
            router: Router::with_guards(
                Duration::ZERO,
                name,
                TOLERANCE,
                HEARTBEAT_INTERVAL,
                guards.routing,
            ),
            configuration: Configuration::new(),
            is_ready: false,
            sessions: vec![Session::new(); SESSION_COUNT],
            progress: BTreeMap::new(),
            candidates: RegistryCandidates::default(),
            highest_route_versions: BTreeMap::new(),
            drained_instances: BTreeSet::new(),
        }
    }

    pub fn session_on(&self, connection: ConnectionId) -> Option<usize> {
        self.sessions
            .iter()
            .position(|session| session.connection == Some(connection))
    }

    /// Applies items and instances that a registry sent.
    pub fn apply_update(
        &mut self,
        now: Duration,
        items: Vec<Item>,
        instances: &[Instance],
        guards: &Guards,
    ) -> Result<(), ProxyViolation> {
        let mut has_changed = false;
        for item in items {
            has_changed |= self.configuration.merge(item);
        }
        if has_changed {
            self.configure(now, guards)?;
        }
        self.router.endpoints.update(now, instances);
        // The host program of a real proxy maintains its connections to servers by these changes; the model discards
        // them.
        self.router.endpoints.take_changes();
        Ok(())
    }

    fn configure(&mut self, now: Duration, guards: &Guards) -> Result<(), ProxyViolation> {
        let routes: Vec<Route> = if guards.proxy.valid_routes_only {
            effective_routes(&self.configuration)
        } else {
            self.configuration.routes().cloned().collect()
        };
        self.check_routes(&routes)?;
        self.router.routes.replace(routes);
        let (mut profiles, mut evacuated_zones) = (HashMap::new(), BTreeSet::new());
        for item in self.configuration.live() {
            match item.key.kind {
                ItemKind::Service => {
                    if let Ok(service) = Service::from_item(item) {
                        let profile = WarmupProfile {
                            duration: service.warmup,
                            requests_per_second: service.warmup_requests_per_s,
                        };
                        profiles.insert(service.name, profile);
                    }
                }
                ItemKind::Evacuation => _ = evacuated_zones.insert(item.key.name.clone()),
                ItemKind::Route
                | ItemKind::Roster
                | ItemKind::Limits
                | ItemKind::History
                | ItemKind::Checkpoint
                | ItemKind::Register => {}
            }
        }
        self.router.endpoints.set_warmup_profiles(profiles);
        self.router
            .endpoints
            .set_evacuated_zones(now, evacuated_zones);
        Ok(())
    }

    /// Checks that no invalid route takes effect, and that no route regresses to an earlier version.
    fn check_routes(&mut self, routes: &[Route]) -> Result<(), ProxyViolation> {
        let mut used_prefixes = BTreeSet::new();
        for route in routes {
            let unknown = route
                .targets
                .iter()
                .find(|target| !self.configuration.has_service(&target.service));
            if let Some(target) = unknown {
                return Err(ProxyViolation::UnknownService {
                    route: route.name.clone(),
                    service: target.service.clone(),
                });
            }
            if !used_prefixes.insert((route.hostname.clone(), route.prefix.clone())) {
                return Err(ProxyViolation::DuplicateRoute {
                    route: route.name.clone(),
                });
            }
            let highest = self
                .highest_route_versions
                .entry(route.name.clone())
                .or_default();
            if route.version < *highest {
                return Err(ProxyViolation::RouteVersionRegressed {
                    route: route.name.clone(),
                    version: route.version,
                    highest: *highest,
                });
            }
            *highest = route.version;
        }
        Ok(())
    }

    /// The availability of an instance for requests.
    pub fn availability(&self, instance_id: &str) -> Availability {
        self.router.endpoints.availability(instance_id)
    }
}

/// A proxy's machine.
pub(crate) struct ProxyNode {
    pub process: Process,
    /// The running state; `None` while the process is stopped.
    pub running: Option<ProxyProcess>,
}

impl ProxyNode {
    pub fn new(process: Process) -> ProxyNode {
        ProxyNode {
            process,
            running: None,
        }
    }
}

/// Converts a time on a process's clock to a timestamp of the membership package.
pub(crate) fn timestamp(local: Duration) -> Timestamp {
    Timestamp::ZERO + local
}
