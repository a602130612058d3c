//! Proxies: their sessions with registries, and the updates that they receive on them.

use super::connections::BreakNotice;
use super::Simulation;
use crate::machine::{CoreId, Machine, ProxyId};
use crate::state::event::Event;
use crate::state::network::{ConnectionId, Direction, Frame};
use crate::state::process::ProcessIncarnation;
use crate::state::proxy::{timestamp, ProxyProcess, SESSION_COUNT};
use crate::violation::{ProxyViolation, Violation};
use emberpin_membership::candidates::Confirmation;
use emberpin_membership::ids::Incarnation;
use emberpin_membership::instance::Status;
use emberpin_membership::session::{FromProxy, SyncProgress, ToProxy};
use emberpin_membership::timing::{
    CONNECT_TIMEOUT, KEEP_ALIVE_INTERVAL, LEASE_CHECK_INTERVAL, PROXY_LEASE_DURATION,
    RECONNECT_BACKOFF,
};
use std::time::Duration;

fn proxy_name(proxy: ProxyId) -> String {
    proxy.to_string()
}

fn confirmation(is_confirmed: bool) -> Confirmation {
    if is_confirmed {
        Confirmation::Confirmed
    } else {
        Confirmation::Unconfirmed
    }
}

impl Simulation {
    pub(super) fn start_proxy(&mut self, proxy: ProxyId) {
        let (now, guards) = (self.now, self.guards);
        let Some(node) = self.proxies.get_mut(&proxy) else {
            return;
        };
        if node.running.is_some() {
            return;
        }
        node.process.start(now);
        node.running = Some(ProxyProcess::new(&proxy_name(proxy), &guards));
        let incarnation = node.process.incarnation;
        let at = now + self.draw_time_below(LEASE_CHECK_INTERVAL);
        self.schedule(at, Event::ProxyTimer { proxy, incarnation });
    }

    /// Ends sessions without messages and sessions whose lease has expired, sends keep-alives, and begins new sessions.
    pub(super) fn on_proxy_timer(&mut self, proxy: ProxyId, incarnation: ProcessIncarnation) {
        if self.incarnation(Machine::Proxy(proxy)) != incarnation {
            return;
        }
        for index in 0..SESSION_COUNT {
            if self.running_proxy(proxy).is_none() {
                return;
            }
            self.check_session(proxy, index);
        }
        let at = self.now + LEASE_CHECK_INTERVAL;
        self.schedule(at, Event::ProxyTimer { proxy, incarnation });
    }

    fn check_session(&mut self, proxy: ProxyId, index: usize) {
        let expired_sessions_end = self.guards.proxy.expired_sessions_end;
        let Some((now, running)) = self.running_proxy(proxy) else {
            return;
        };
        let session = &mut running.sessions[index];
        let Some((connection, core)) = session.connection.zip(session.core) else {
            if now >= session.next_attempt_at {
                self.begin_session(proxy, index);
            }
            return;
        };
        let is_silent = now > session.last_message_at + PROXY_LEASE_DURATION;
        let is_expired = session.lease.is_expired(timestamp(now)) && expired_sessions_end;
        if is_silent || is_expired {
            self.break_connection(connection, BreakNotice::Sent);
            self.on_session_broken(proxy, connection);
        } else if now >= session.next_keep_alive_at {
            session.next_keep_alive_at = now + KEEP_ALIVE_INTERVAL;
            let nonce = session.lease.begin_query(timestamp(now));
            let progress = running.progress.get(&core);
            let applied = progress.and_then(SyncProgress::synced_revision);
            let message = FromProxy::KeepAlive { applied, nonce };
            self.send_to_registry(connection, message);
        }
    }

    fn send_to_registry(&mut self, connection: ConnectionId, message: FromProxy) {
        let frame = Frame::FromProxy(message);
        self.send_frame(connection, Direction::ToCallee, frame);
    }

    fn begin_session(&mut self, proxy: ProxyId, index: usize) {
        let Some(core) = self.choose_registry(proxy, index) else {
            return;
        };
        let Some(hello) = self.hello(proxy, core) else {
            return;
        };
        let connection = self.connect(Machine::Proxy(proxy), Machine::Core(core));
        let Some((now, running)) = self.running_proxy(proxy) else {
            return;
        };
        let session = &mut running.sessions[index];
        session.last_core = Some(core);
        if let Some(connection) = connection {
            session.begin(now, connection, core);
            self.send_to_registry(connection, hello);
            return;
        }
        session.next_attempt_at = now + CONNECT_TIMEOUT + session.backoff;
        session.backoff = (session.backoff * 2).min(RECONNECT_BACKOFF.max);
        running
            .candidates
            .on_session_ended(timestamp(now), index, Confirmation::Unconfirmed);
    }

    /// Chooses the registry for a session. If there is no candidate, schedules the next attempt.
    fn choose_registry(&mut self, proxy: ProxyId, index: usize) -> Option<CoreId> {
        let seeds = self.configured_seeds();
        let seeds = seeds.into_iter().map(CoreId::address);
        let draw = self.random.rand_u64();
        let (now, running) = self.running_proxy(proxy)?;
        let session = &mut running.sessions[index];
        let last = session.last_core.map(CoreId::address);
        let address = running
            .candidates
            .choose(timestamp(now), index, seeds, last, draw);
        if address.is_none() {
            session.next_attempt_at = now + RECONNECT_BACKOFF.max;
        }
        address.map(CoreId::from_address)
    }

    /// The first message of a session; `None` if the proxy is not running.
    fn hello(&self, proxy: ProxyId, core: CoreId) -> Option<FromProxy> {
        let node = self.proxies.get(&proxy)?;
        let running = node.running.as_ref()?;
        let now = node.process.local_time(self.now);
        // Unique among all proxies and their runs.
        let incarnation = u64::from(proxy.0) << 32 | node.process.incarnation.0;
        let progress = running.progress.get(&core);
        let mut instances = running.router.endpoints.known_instances(now);
        // Sorted, because the hash map of the endpoint list gives a different order in each run.
        instances.sort_by(|one, other| one.id.cmp(&other.id));
        Some(FromProxy::Hello {
            incarnation: Incarnation(incarnation),
            name: proxy_name(proxy),
            zone: node.process.zone.clone(),
            resume_from: progress.map(|progress| progress.revision),
            instances,
        })
    }

    /// Ends a session. The next one begins after a pause of 50 % to 150 % of the backoff.
    pub(super) fn on_session_broken(&mut self, proxy: ProxyId, connection: ConnectionId) {
        let percent = 50 + self.draw_below(100);
        let Some((now, running)) = self.running_proxy(proxy) else {
            return;
        };
        let Some(index) = running.session_on(connection) else {
            return;
        };
        let session = &mut running.sessions[index];
        let confirmation = confirmation(session.lease.is_confirmed(timestamp(now)));
        session.end();
        if now > session.began_at + 2 * PROXY_LEASE_DURATION {
            session.backoff = RECONNECT_BACKOFF.initial;
        }
        session.next_attempt_at = now + part_of(session.backoff, percent);
        session.backoff = (session.backoff * 2).min(RECONNECT_BACKOFF.max);
        running
            .candidates
            .on_session_ended(timestamp(now), index, confirmation);
    }

    pub(super) fn on_session_message(
        &mut self,
        proxy: ProxyId,
        connection: ConnectionId,
        core: CoreId,
        message: ToProxy,
    ) {
        let guards = self.guards;
        let Some((now, running)) = self.running_proxy(proxy) else {
            return;
        };
        let Some(index) = running.session_on(connection) else {
            return;
        };
        let session = &mut running.sessions[index];
        session.last_message_at = now;
        let resumes = session.awaits_part.is_none() && matches!(message, ToProxy::Changes { .. });
        let is_snapshot = matches!(
            message,
            ToProxy::Snapshot { .. } | ToProxy::SnapshotPart { .. }
        );

        let mut progress = running.progress.remove(&core);
        SyncProgress::advance(&mut progress, &message);
        let next_part = progress
            .as_ref()
            .and_then(|progress| progress.next_part.clone())
            .filter(|_| guards.proxy.complete_snapshots_only);
        running
            .progress
            .extend(progress.map(|progress| (core, progress)));

        let brings_state = is_snapshot || resumes;
        if brings_state {
            session.lease.on_snapshot_progress(timestamp(now));
            // A resumed session continues from the state that this registry sent in an earlier session.
            let counts_as_synced = is_snapshot || guards.proxy.resumed_sessions_are_synced;
            session.is_synced |= next_part.is_none() && counts_as_synced;
            session.awaits_part = Some(next_part.is_some());
        }
        if let Err(violation) = self.apply_session_message(proxy, index, message) {
            return self.fail(Violation::Proxy { proxy, violation });
        }
        if let Some(after) = next_part.filter(|_| brings_state) {
            self.send_to_registry(connection, FromProxy::FetchSnapshotPart { after });
        }
        self.check_drained_servers(proxy);
    }

    fn apply_session_message(
        &mut self,
        proxy: ProxyId,
        index: usize,
        message: ToProxy,
    ) -> Result<(), ProxyViolation> {
        let guards = self.guards;
        let Some((now, running)) = self.running_proxy(proxy) else {
            return Ok(());
        };
        match message {
            ToProxy::Snapshot {
                items, instances, ..
            }
            | ToProxy::SnapshotPart {
                items, instances, ..
            }
            | ToProxy::Changes {
                items, instances, ..
            } => running.apply_update(now, items, &instances, &guards),
            ToProxy::Confirmation {
                nonce,
                age,
                proxies,
                registries,
            } => {
                let session = &mut running.sessions[index];
                session.lease.on_answer(nonce, age);
                let is_confirmed = age.is_some() && session.lease.is_confirmed(timestamp(now));
                if is_confirmed || guards.proxy.candidates_from_unconfirmed {
                    running
                        .candidates
                        .on_registries_named(registries, confirmation(is_confirmed));
                }
                if is_confirmed || !guards.proxy.confirmed_readiness {
                    running.router.set_proxy_count(now, proxies);
                    running.is_ready |= session.is_synced && !running.configuration.is_empty();
                }
                Ok(())
            }
        }
    }

    /// Checks that this incarnation of the proxy never makes a server available again that it knew to be draining.
    fn check_drained_servers(&mut self, proxy: ProxyId) {
        let draining: Vec<String> = self
            .servers
            .values()
            .filter(|server| server.is_draining)
            .map(|server| server.instance_id.clone())
            .collect();
        let Some((_, running)) = self.running_proxy(proxy) else {
            return;
        };
        for instance_id in draining {
            // An instance that the proxy does not know was not reported to it yet, or was evicted.
            let instance = running.router.endpoints.instance(&instance_id);
            match instance.map(|instance| instance.status) {
                Some(Status::Up) if running.drained_instances.contains(&instance_id) => {
                    let violation = ProxyViolation::DrainReverted { instance_id };
                    return self.fail(Violation::Proxy { proxy, violation });
                }
                Some(Status::Draining) => _ = running.drained_instances.insert(instance_id),
                _ => {}
            }
        }
    }
}

/// A percentage of a duration, in whole milliseconds.
fn part_of(duration: Duration, percent: u64) -> Duration {
    Duration::from_millis(duration.as_millis() as u64 * percent / 100)
}
