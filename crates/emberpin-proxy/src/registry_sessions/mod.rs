//! Sessions with two registries at a time. While one is established, this proxy is a member of the gateway and receives
//! changes of the configuration and of server instances.

mod replication;
mod session;
mod shared;

use crate::command::{Command, SessionId};
use crate::random_seed::random_seed;
use emberpin_membership::timing::{PROXY_LEASE_DURATION, RECONNECT_BACKOFF};
use emberpin_runtime::settings::Settings;
use session::Session;
use shared::SharedState;
use std::cell::{Cell, RefCell};
use std::net::{IpAddr, Ipv4Addr};
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Number of concurrent sessions. With two, changes still arrive in time if one registry fails, or is cut off from a
/// majority of the stores and registries.
const SESSION_COUNT: usize = 2;
/// A session that lasted for longer than this many lease durations resets the backoff before the next one.
const STABLE_SESSION_LEASES: u32 = 2;

/// Keeps the sessions of this process established.
pub struct RegistrySessions {
    shared: SharedState,
    random: RefCell<oorandom::Rand32>,
    /// Whether the settings file must be read again before the next session.
    settings_stale: Cell<bool>,
}

impl RegistrySessions {
    /// Starts the sessions. They are re-established for as long as the controller accepts commands.
    pub fn start(settings: Settings, commands: mpsc::Sender<Command>) -> Rc<RegistrySessions> {
        let sessions = Rc::new(RegistrySessions {
            shared: SharedState::new(settings, commands, random_seed()),
            random: RefCell::new(oorandom::Rand32::new(random_seed())),
            settings_stale: Cell::new(false),
        });
        for number in 0..SESSION_COUNT {
            spawn_local(sessions.clone().maintain(SessionId(number)));
        }
        sessions
    }

    /// Has the settings file read again before the next session is established.
    pub fn reload_settings(&self) {
        self.settings_stale.set(true);
    }

    /// Keeps one session established, with one registry after another, until the controller ends.
    async fn maintain(self: Rc<Self>, session: SessionId) {
        let mut backoff = RECONNECT_BACKOFF.initial;
        let mut last_registry = None;
        loop {
            let Some(registry) = self.choose_registry(session, last_registry) else {
                sleep(RECONNECT_BACKOFF.initial).await;
                self.settings_stale.set(true);
                continue;
            };
            last_registry = Some(registry);
            let started = self.shared.now();
            if !self.run_session(session, registry).await {
                return;
            }
            if self.shared.now() > started + STABLE_SESSION_LEASES * PROXY_LEASE_DURATION {
                backoff = RECONNECT_BACKOFF.initial;
            }
            // The file may have changed without a SIGHUP, and a proxy without a session may need its new seeds.
            self.settings_stale.set(true);
            let jitter = self.random.borrow_mut().rand_float();
            sleep(backoff.mul_f32(0.5 + jitter)).await;
            backoff = RECONNECT_BACKOFF.next(backoff);
        }
    }

    /// Runs one session until it ends. Returns whether the controller still accepts commands.
    async fn run_session(&self, id: SessionId, registry: Ipv4Addr) -> bool {
        let session = Session::new(&self.shared, id, registry);
        let error = session.run().await;
        let now = self.shared.now();
        let confirmation = session.confirmation(now);
        self.shared
            .candidates
            .borrow_mut()
            .on_session_ended(now, id.0, confirmation);
        let ended = Command::SessionEnded { session: id };
        if self.shared.commands.send(ended).await.is_err() {
            return false;
        }
        log::info!("registry session ended: session={id} registry={registry} error={error}");
        true
    }

    /// Chooses a registry from the settings' seeds and those that other registries have named.
    fn choose_registry(&self, session: SessionId, last: Option<Ipv4Addr>) -> Option<Ipv4Addr> {
        if self.settings_stale.replace(false) {
            self.read_settings();
        }
        let settings = self.shared.settings.borrow();
        let seeds = settings.seeds.iter().filter_map(|seed| match seed.ip() {
            IpAddr::V4(ip) => Some(ip),
            IpAddr::V6(_) => None,
        });
        let draw = u64::from(self.random.borrow_mut().rand_u32());
        self.shared
            .candidates
            .borrow_mut()
            .choose(self.shared.now(), session.0, seeds, last, draw)
    }

    /// Reads the settings file again. An unusable file leaves the settings as they were.
    fn read_settings(&self) {
        match Settings::from_env() {
            Ok(settings) => *self.shared.settings.borrow_mut() = settings,
            Err(error) => {
                log::warn!(
                    "could not reload the settings, keeping the previous ones: error={error}"
                );
            }
        }
    }
}
