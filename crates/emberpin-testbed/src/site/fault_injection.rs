//! Injects the faults of a scenario into a running site, and ends them when their time is over.

use super::{RunningSite, TICK};
use crate::error::{SiteError, StandIn};
use crate::peers::NetworkSplit;
use crate::scenario::{Fault, LinkDirection};
use crate::servers::{Process, Server};
use crate::trace::{Micros, ServerState};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// How long a server keeps draining after all limiters were notified, to finish its pending requests.
const DRAIN_REMAINDER: Duration = Duration::from_millis(900);
/// Maximum further time that a draining server gets to finish its pending requests.
const MAX_DRAIN: Duration = Duration::from_secs(4);
/// The pause between the end of a replaced server and the start of its successor.
const SUCCESSOR_DELAY: Duration = Duration::from_millis(200);
/// For how long a moved server still answers at its old address after limiters were notified.
const OLD_ADDRESS_GRACE: Duration = Duration::from_secs(1);

/// Whether the end of a fault is recorded in the trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultEnd {
    /// The fault took effect and ended.
    Recorded,
    /// The fault had no effect that could end, or its end is not recorded.
    NotRecorded,
}

fn duration(length: Micros) -> Duration {
    Duration::from_micros(length)
}

impl RunningSite {
    /// Injects a fault and returns once it is over.
    pub(super) async fn inject(self: Rc<Self>, fault: Fault) {
        self.record_fault(fault.to_string());
        let end = match &fault {
            Fault::LimiterKilled { .. }
            | Fault::LimiterRestarted { .. }
            | Fault::LimiterPaused { .. }
            | Fault::DiskFaulty { .. }
            | Fault::LimiterStopsAtPoint { .. }
            | Fault::LimiterHungUp { .. }
            | Fault::DiscoveryCallersKilled { .. }
            | Fault::LimitersKilled { .. } => self.clone().inject_at_limiters(&fault).await,
            Fault::ServerKilled { .. }
            | Fault::ServerReplaced { .. }
            | Fault::ServerDrained { .. }
            | Fault::ServerStalled { .. }
            | Fault::ServerResponsesFaulty { .. }
            | Fault::ServerRefuses { .. }
            | Fault::ServerMoved { .. }
            | Fault::ZoneLost { .. } => self.inject_at_servers(&fault).await,
            Fault::LinkCut { .. }
            | Fault::LinkSlow { .. }
            | Fault::PeersSplit { .. }
            | Fault::PeersLossy { .. } => self.inject_at_links(&fault).await,
            Fault::DiscoverySilent { .. }
            | Fault::DiscoveryDead { .. }
            | Fault::DiscoveryListFaulty { .. } => self.inject_at_discovery(&fault).await,
            // Already part of the schedule; only their duration passes here.
            Fault::CustomerFloods { length, .. } | Fault::LoadSpike { length, .. } => {
                sleep(duration(*length)).await;
                FaultEnd::Recorded
            }
            Fault::CustomersMove { .. } => FaultEnd::NotRecorded,
        };
        if end == FaultEnd::Recorded {
            self.record_fault(format!("over: {fault}"));
        }
    }

    async fn inject_at_limiters(self: Rc<Self>, fault: &Fault) -> FaultEnd {
        match fault {
            Fault::LimiterKilled {
                limiter,
                restart_after,
            } => {
                self.kill_limiter(*limiter, duration(*restart_after)).await;
            }
            Fault::LimiterRestarted { limiter } => self.restart_limiter(*limiter).await,
            Fault::LimiterPaused { limiter, length } => {
                self.pause_limiter(*limiter, duration(*length)).await;
            }
            Fault::DiskFaulty {
                limiter,
                disk_fault,
            } => {
                self.wait_for_disk_fault(*limiter, disk_fault).await;
                return FaultEnd::NotRecorded;
            }
            Fault::LimiterStopsAtPoint {
                limiter,
                point,
                length,
                restart_after,
            } => {
                let restart_after = restart_after.map(duration);
                return self
                    .stop_limiter_at(*limiter, point, duration(*length), restart_after)
                    .await;
            }
            Fault::LimiterHungUp { limiter } => self.limiters[*limiter].send_sighup(),
            Fault::DiscoveryCallersKilled {
                count,
                restart_after,
            } => {
                self.kill_discovery_callers(*count, duration(*restart_after))
                    .await;
            }
            Fault::LimitersKilled {
                count,
                restart_after,
            } => {
                self.kill_limiters(*count, duration(*restart_after)).await;
            }
            _ => return FaultEnd::NotRecorded,
        }
        FaultEnd::Recorded
    }

    async fn inject_at_servers(&self, fault: &Fault) -> FaultEnd {
        let injected = match fault {
            Fault::ServerKilled {
                server,
                restart_after,
            } => self.kill_server(*server, *restart_after).await,
            Fault::ServerReplaced { server } => {
                self.replace_server(&self.servers[*server]).await;
                Some(())
            }
            Fault::ServerDrained { server, length } => {
                self.drain_server(*server, *length).await;
                Some(())
            }
            Fault::ServerStalled { server, length } => {
                let set_faulty = |process: &Process, stalled| process.set_stalled(stalled);
                self.make_server_faulty(*server, *length, set_faulty).await
            }
            Fault::ServerResponsesFaulty {
                server,
                response_fault,
                share,
                length,
            } => {
                let set_faulty = |process: &Process, faulty: bool| {
                    process.set_response_fault(faulty.then_some((*response_fault, *share)));
                };
                self.make_server_faulty(*server, *length, set_faulty).await
            }
            Fault::ServerRefuses { server, length } => {
                let set_faulty = |process: &Process, refusing| process.set_refusing(refusing);
                self.make_server_faulty(*server, *length, set_faulty).await
            }
            Fault::ServerMoved { server } => self.move_server(*server).await,
            Fault::ZoneLost {
                zone,
                restart_after,
            } => {
                self.lose_zone(*zone, *restart_after).await;
                Some(())
            }
            _ => None,
        };
        injected.map_or(FaultEnd::NotRecorded, |()| FaultEnd::Recorded)
    }

    async fn inject_at_links(&self, fault: &Fault) -> FaultEnd {
        match fault {
            Fault::LinkCut {
                limiter,
                zone,
                direction,
                length,
            } => {
                let link = &self.world.links[*limiter][*zone];
                link.set_cut(Some(*direction));
                sleep(duration(*length)).await;
                link.set_cut(None);
            }
            Fault::LinkSlow {
                limiter,
                zone,
                delay,
                length,
            } => {
                let link = &self.world.links[*limiter][*zone];
                link.set_delay(*delay);
                sleep(duration(*length)).await;
                link.set_delay(0);
            }
            Fault::PeersSplit {
                group,
                direction,
                length,
            } => {
                self.set_peer_split(Some(NetworkSplit {
                    group: group.clone(),
                    direction: *direction,
                }));
                sleep(duration(*length)).await;
                self.set_peer_split(None);
            }
            Fault::PeersLossy {
                loss,
                delay,
                length,
            } => {
                self.peers.set_loss(*loss, duration(*delay));
                sleep(duration(*length)).await;
                self.peers.set_loss(0.0, Duration::ZERO);
            }
            _ => return FaultEnd::NotRecorded,
        }
        FaultEnd::Recorded
    }

    async fn inject_at_discovery(&self, fault: &Fault) -> FaultEnd {
        let discovery = &self.discovery;
        match fault {
            Fault::DiscoverySilent { length } => {
                discovery.set_silent(true);
                sleep(duration(*length)).await;
                discovery.set_silent(false);
            }
            Fault::DiscoveryDead { length } => {
                discovery.set_dead(true);
                sleep(duration(*length)).await;
                discovery.set_dead(false);
            }
            Fault::DiscoveryListFaulty {
                list_fault,
                group,
                length,
            } => {
                discovery.set_list_fault(Some((*list_fault, group.clone())));
                sleep(duration(*length)).await;
                discovery.set_list_fault(None);
            }
            _ => return FaultEnd::NotRecorded,
        }
        FaultEnd::Recorded
    }

    // ---- limiters

    /// Kills a limiter and restarts it after `restart_after`.
    async fn kill_limiter(&self, number: usize, restart_after: Duration) {
        let _lock = self.process_locks[number].lock().await;
        self.clients.mark_down(number);
        self.limiters[number].kill().await;
        sleep(restart_after).await;
        self.restart(number).await;
    }

    /// Kills a limiter that may still be starting. A start holds the limiter's process lock, so the first kill does not
    /// wait for the lock; it ends the start. The second kill takes the lock and restarts the limiter.
    async fn kill_starting_limiter(&self, number: usize, restart_after: Duration) {
        self.clients.mark_down(number);
        self.limiters[number].kill().await;
        self.kill_limiter(number, restart_after).await;
    }

    async fn restart_limiter(&self, number: usize) {
        let _lock = self.process_locks[number].lock().await;
        self.clients.mark_down(number);
        self.limiters[number].measure();
        self.limiters[number].shut_down().await;
        self.restart(number).await;
    }

    async fn pause_limiter(&self, number: usize, length: Duration) {
        let limiter = &self.limiters[number];
        limiter.set_paused(true);
        sleep(TICK).await;
        if !limiter.is_paused() {
            self.record_fault(format!("limiter {number} does not stand still"));
        }
        sleep(length).await;
        limiter.set_paused(false);
    }

    /// Waits until the limiter's disk fault has taken effect, or the run is over.
    async fn wait_for_disk_fault(&self, number: usize, disk_fault: &str) {
        while !self.limiters[number].disk_fault_marker().exists() {
            if self.shutting_down.get() {
                return;
            }
            sleep(TICK).await;
        }
        self.record_fault(format!("the disk of limiter {number} lies: {disk_fault}"));
    }

    /// Waits until the limiter stops itself at a point of its code, then kills it or resumes it after
    /// `length`.
    async fn stop_limiter_at(
        &self,
        number: usize,
        point: &str,
        length: Duration,
        restart_after: Option<Duration>,
    ) -> FaultEnd {
        let limiter = &self.limiters[number];
        while !limiter.is_paused() {
            if self.shutting_down.get() {
                return FaultEnd::NotRecorded;
            }
            sleep(TICK).await;
        }
        self.record_fault(format!("limiter {number} stands still at {point}"));
        sleep(length).await;
        match restart_after {
            Some(restart_after) => self.kill_limiter(number, restart_after).await,
            None => limiter.set_paused(false),
        }
        FaultEnd::Recorded
    }

    /// Kills the next `count` limiters that call the discovery service, each during its call, and restarts them.
    async fn kill_discovery_callers(self: Rc<Self>, count: usize, restart_after: Duration) {
        let mut calls = self.discovery.subscribe_to_calls();
        let mut kill_tasks = Vec::new();
        while let (true, Some(number)) = (kill_tasks.len() < count, calls.recv().await) {
            let site = self.clone();
            kill_tasks.push(spawn_local(async move {
                site.kill_starting_limiter(number, restart_after).await;
            }));
        }
        for task in kill_tasks {
            _ = task.await;
        }
    }

    /// Kills the first `count` limiters at the same time, and restarts them.
    async fn kill_limiters(self: Rc<Self>, count: usize, restart_after: Duration) {
        let kill = |number| {
            let site = self.clone();
            spawn_local(async move { site.kill_limiter(number, restart_after).await })
        };
        let kill_tasks: Vec<_> = (0..count).map(kill).collect();
        for task in kill_tasks {
            _ = task.await;
        }
    }

    // ---- servers

    /// Makes a server's process faulty for this time with `set_faulty`; `None` if the server is not running.
    async fn make_server_faulty(
        &self,
        server: usize,
        length: Micros,
        set_faulty: impl Fn(&Process, bool),
    ) -> Option<()> {
        let process = self.servers[server].process()?;
        set_faulty(&process, true);
        sleep(duration(length)).await;
        set_faulty(&process, false);
        Some(())
    }

    async fn kill_server(&self, server: usize, restart_after: Micros) -> Option<()> {
        let server = &self.servers[server];
        let process = server.process()?;
        server.kill().await;
        self.discovery
            .withdraw(server, process.incarnation, process.boot_ms);
        sleep(duration(restart_after)).await;
        self.start_server(server).await;
        Some(())
    }

    async fn drain_server(&self, server: usize, length: Micros) {
        let server = &self.servers[server];
        self.discovery.announce(server, ServerState::Draining);
        sleep(duration(length)).await;
        self.discovery.announce(server, ServerState::Ready);
    }

    async fn move_server(&self, server: usize) -> Option<()> {
        let server = &self.servers[server];
        let process = server.process()?;
        if let Err(source) = server.move_to_new_addresses().await {
            self.fail(SiteError::stand_in(StandIn::NewAddress)(source));
            return None;
        }
        self.discovery.announce(server, ServerState::Ready);
        sleep(self.notification_time() + OLD_ADDRESS_GRACE).await;
        process.close_old_addresses();
        Some(())
    }

    /// Cuts a zone off, kills its servers, then restores the links and restarts the servers.
    async fn lose_zone(&self, zone: usize, restart_after: Micros) {
        let in_zone = |server: &&Rc<Server>| self.world.zone(server.number) == zone;
        let lost_servers: Vec<_> = self.servers.iter().filter(in_zone).collect();
        self.set_zone_cut(zone, Some(LinkDirection::Both));
        for server in &lost_servers {
            if let Some(process) = server.process() {
                self.discovery
                    .withdraw(server, process.incarnation, process.boot_ms);
            }
        }
        sleep(duration(restart_after)).await;
        for server in &lost_servers {
            server.kill().await;
        }
        self.set_zone_cut(zone, None);
        for server in &lost_servers {
            self.start_server(server).await;
        }
    }

    fn set_zone_cut(&self, zone: usize, direction: Option<LinkDirection>) {
        for links in &self.world.links {
            links[zone].set_cut(direction);
        }
    }

    /// Ends the run with this error.
    fn fail(&self, error: SiteError) {
        *self.fatal_error.borrow_mut() = Some(error);
    }

    /// Starts a server cold with its current id, unless it runs or the site is shutting down.
    async fn start_server(&self, server: &Rc<Server>) {
        if self.shutting_down.get() || server.process().is_some() {
            return;
        }
        match server.start(true).await {
            Ok(()) => self.discovery.announce(server, ServerState::Ready),
            Err(source) => self.fail(SiteError::stand_in(StandIn::Server(server.number))(source)),
        }
    }

    /// The maximum time until all limiters have been notified of a change.
    fn notification_time(&self) -> Duration {
        Duration::from_secs_f64(self.world.scenario.site.notice_ms[1] / 1000.0)
    }

    /// Drains a server, kills its process once it is idle or [`MAX_DRAIN`] is over, and starts a successor at the same
    /// addresses.
    async fn replace_server(&self, server: &Rc<Server>) {
        let Some(process) = server.process() else {
            return;
        };
        self.discovery.announce(server, ServerState::Draining);
        sleep(self.notification_time() + DRAIN_REMAINDER).await;
        let drain_deadline = Instant::now() + MAX_DRAIN;
        while !process.is_idle() && Instant::now() < drain_deadline {
            sleep(TICK).await;
        }
        server.kill().await;
        self.discovery
            .withdraw(server, process.incarnation, process.boot_ms);
        server.generation.set(server.generation.get() + 1);
        sleep(SUCCESSOR_DELAY).await;
        self.start_server(server).await;
    }
}
