//! The stand-in discovery service. Each limiter has an agent that serves the endpoint list it has received, delayed as
//! the scenario says; all agents share the capacity of one service. Faults make the service silent or unreachable, or
//! falsify its lists.

use crate::figures::zone_name;
use crate::http::Wire;
use crate::scenario::EndpointListFault;
use crate::servers::{Server, World};
use crate::shared_capacity::SharedCapacity;
use crate::trace::{EventKind, Incarnation, ServerState};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Interval of the empty lines that are sent on a watch as a heartbeat while nothing changes.
const HEARTBEAT: Duration = Duration::from_secs(2);

/// A server's entry in the endpoint list of one limiter.
#[derive(Clone)]
struct Entry {
    incarnation: Incarnation,
    state: ServerState,
    json: Value,
    /// The list version with which the entry was added, the same at all agents; 0 until then.
    version: u64,
}

/// The endpoint list of one limiter's agent.
struct Agent {
    address: SocketAddr,
    /// The current version of the list.
    rev: Cell<u64>,
    /// When the last scheduled update arrives; later updates do not overtake it.
    last_due: Cell<Instant>,
    /// The entries by server id.
    listed: RefCell<BTreeMap<String, Entry>>,
    /// The entries that were present at the start.
    initial: RefCell<Vec<Entry>>,
    /// Notified after each change of the list.
    changed: Notify,
}

/// The discovery service and its agents.
pub struct Discovery {
    world: Rc<World>,
    agents: Vec<Rc<Agent>>,
    silent: watch::Sender<bool>,
    dead: watch::Sender<bool>,
    /// The active falsification of full lists, and the limiters that it applies to (all if `None`).
    list_fault: RefCell<Option<(EndpointListFault, Option<Vec<usize>>)>>,
    /// The subscriber to calls, if any.
    calls: RefCell<Option<mpsc::UnboundedSender<usize>>>,
    capacity: Rc<SharedCapacity>,
    /// Versions whose notification has been recorded; only used if limiters exchange endpoint lists.
    recorded_versions: RefCell<HashSet<u64>>,
    rng: RefCell<ChaCha8Rng>,
}

impl Discovery {
    /// Starts an agent for each limiter.
    ///
    /// # Errors
    ///
    /// No free port.
    pub async fn start(world: Rc<World>) -> std::io::Result<Rc<Discovery>> {
        let mut agents = Vec::new();
        let mut listeners = Vec::new();
        for _ in 0..world.scenario.site.limiters {
            let listener = TcpListener::bind((world.host, 0)).await?;
            agents.push(Rc::new(Agent {
                address: listener.local_addr()?,
                rev: Cell::new(1),
                last_due: Cell::new(Instant::now()),
                listed: RefCell::default(),
                initial: RefCell::default(),
                changed: Notify::new(),
            }));
            listeners.push(listener);
        }
        let rng = ChaCha8Rng::seed_from_u64(world.scenario.seed ^ 0xd15c);
        let silent = watch::Sender::new(false);
        let site = &world.scenario.site;
        let capacity = SharedCapacity::new(
            site.discovery_rate,
            site.discovery_timeout_s,
            site.discovery_warmup_s,
        );
        let (dead, list_fault) = (watch::Sender::new(false), RefCell::default());
        let rng = RefCell::new(rng);
        let discovery = Rc::new(Discovery {
            world,
            agents,
            silent,
            dead,
            list_fault,
            calls: RefCell::default(),
            capacity,
            recorded_versions: RefCell::default(),
            rng,
        });
        for (limiter, listener) in listeners.into_iter().enumerate() {
            spawn_local(discovery.clone().accept(limiter, listener));
        }
        Ok(discovery)
    }

    /// The address of a limiter's agent.
    pub fn address(&self, limiter: usize) -> SocketAddr {
        self.agents[limiter].address
    }

    /// Stops sending updates, or resumes.
    pub fn set_silent(&self, silent: bool) {
        self.silent.send_replace(silent);
    }

    /// Takes the service down, or brings it back.
    pub fn set_dead(&self, dead: bool) {
        self.dead.send_replace(dead);
    }

    /// Falsifies full lists for the given limiters, or for all without them; `None` ends the fault.
    pub fn set_list_fault(&self, fault: Option<(EndpointListFault, Option<Vec<usize>>)>) {
        let previous = self.list_fault.replace(fault);
        if previous.is_some() && self.list_fault.borrow().is_none() {
            // All entries are sent again as changes, since the false lists may have lacked them.
            for agent in &self.agents {
                let listed = agent.listed.borrow().clone();
                listed
                    .into_iter()
                    .for_each(|(uid, entry)| agent.apply(uid, entry));
            }
        }
    }

    /// Subscribes to the limiters' calls from now on; replaces an earlier subscription.
    pub fn subscribe_to_calls(&self) -> mpsc::UnboundedReceiver<usize> {
        let (calls, receiver) = mpsc::unbounded_channel();
        *self.calls.borrow_mut() = Some(calls);
        receiver
    }

    fn record_call(&self, limiter: usize) {
        self.world
            .recorder
            .record(EventKind::DiscoveryCalled { limiter });
        if let Some(calls) = &*self.calls.borrow() {
            // The subscriber may be gone.
            _ = calls.send(limiter);
        }
    }

    /// Starts the warm-up of the service.
    pub fn start_warmup(&self) {
        self.capacity.start_warmup();
    }

    /// Sends a server's new state to each agent, with a delay.
    pub fn announce(self: &Rc<Self>, server: &Server, state: ServerState) {
        let Some(process) = server.process() else {
            return;
        };
        self.schedule_update(server, process.incarnation, process.boot_ms, state);
    }

    /// Marks the entry of an incarnation that has ended as removed.
    pub fn withdraw(self: &Rc<Self>, server: &Server, incarnation: Incarnation, boot_ms: f64) {
        self.schedule_update(server, incarnation, boot_ms, ServerState::Gone);
    }

    fn schedule_update(
        self: &Rc<Self>,
        server: &Server,
        incarnation: Incarnation,
        boot_ms: f64,
        state: ServerState,
    ) {
        let uid = server.uid();
        for limiter in 0..self.agents.len() {
            let entry = self.entry(server, limiter, incarnation, boot_ms, state);
            let [soonest, latest] = self.world.scenario.site.notice_ms;
            let delay_ms = soonest + (latest - soonest) * self.rng.borrow_mut().random::<f64>();
            let due = Instant::now() + Duration::from_secs_f64(delay_ms / 1000.0);
            let due = due.max(self.agents[limiter].last_due.get() + Duration::from_millis(1));
            self.agents[limiter].last_due.set(due);
            let (discovery, uid) = (self.clone(), uid.clone());
            spawn_local(async move {
                tokio::time::sleep_until(due).await;
                let mut silent = discovery.silent.subscribe();
                _ = silent.wait_for(|silent| !silent).await;
                discovery.agents[limiter].apply(uid, entry);
            });
        }
    }

    /// Adds a server to the lists of all agents without delay, before the load begins.
    pub fn preload(&self, server: &Server) {
        let Some(process) = server.process() else {
            return;
        };
        for (limiter, agent) in self.agents.iter().enumerate() {
            let entry = self.entry(
                server,
                limiter,
                process.incarnation,
                process.boot_ms,
                ServerState::Ready,
            );
            agent.initial.borrow_mut().push(entry.clone());
            agent.apply(server.uid(), entry);
        }
    }

    fn entry(
        &self,
        server: &Server,
        limiter: usize,
        incarnation: Incarnation,
        boot_ms: f64,
        state: ServerState,
    ) -> Entry {
        let json = json!({
            "uid": server.uid(), "endpoint": server.addresses.borrow()[limiter].to_string(),
            "az": zone_name(self.world.zone(server.number)), "model": "std-2c",
            "pod_group": server.number / self.world.scenario.site.zones,
            "state": match state {
                ServerState::Ready => "ready",
                ServerState::Draining => "draining",
                ServerState::Gone => "gone",
            },
            "capacity_hint": 1.0, "boot_ms": boot_ms,
        });
        Entry {
            incarnation,
            state,
            json,
            version: 0,
        }
    }

    /// The endpoint list in a limiter's configuration at its start; empty if the scenario says so.
    pub fn initial_list(&self, limiter: usize) -> Value {
        let agent = &self.agents[limiter];
        if !self.world.scenario.site.preload_lists {
            return json!({"rev": 0, "all": true, "targets": []});
        }
        self.render_update(limiter, agent.rev.get(), agent.full_list())
    }

    /// The answer to a call: the changes after a version or the full list, falsified if a fault is active; `None` if
    /// nothing has changed.
    fn response_after(
        &self,
        limiter: usize,
        since: Option<u64>,
    ) -> Option<(u64, (bool, Vec<Entry>))> {
        let agent = &self.agents[limiter];
        let rev = agent.rev.get();
        let (_, full_list) = agent.full_list();
        let list_fault = self.list_fault.borrow();
        let concerns = |group: &Option<Vec<usize>>| {
            group.as_ref().is_none_or(|group| group.contains(&limiter))
        };
        match (
            list_fault
                .as_ref()
                .filter(|(_, group)| concerns(group))
                .map(|(fault, _)| *fault),
            since,
        ) {
            (Some(EndpointListFault::Empty), _) => Some((rev, (true, Vec::new()))),
            (Some(EndpointListFault::Half), _) => {
                Some((rev, (true, full_list.into_iter().step_by(2).collect())))
            }
            (Some(EndpointListFault::Older), _) => {
                Some((1, (true, agent.initial.borrow().clone())))
            }
            (None, None) => Some((rev, (true, full_list))),
            // A version that was never sent cannot be the base of changes.
            (None, Some(known_version)) if known_version > rev => Some((rev, (true, full_list))),
            (None, Some(known_version)) if known_version < rev => {
                Some((rev, (false, agent.changed_after(known_version))))
            }
            (None, Some(_)) => None,
        }
    }

    /// Renders an update of version `rev`, with whether it is a full list (`all`) and its entries, and records that
    /// the limiter was notified of its entries.
    fn render_update(&self, limiter: usize, rev: u64, (all, entries): (bool, Vec<Entry>)) -> Value {
        for entry in &entries {
            let (incarnation, state) = (entry.incarnation, entry.state);
            let site = &self.world.scenario.site;
            // If limiters exchange endpoint lists, an entry that one of them gets counts as notified to all of them,
            // once for each version; an entry without a version is not recorded.
            let notified = match site.one_address {
                false => limiter..limiter + 1,
                true if entry.version > 0
                    && self.recorded_versions.borrow_mut().insert(entry.version) =>
                {
                    0..site.limiters
                }
                true => 0..0,
            };
            for limiter in notified {
                self.world.recorder.record(EventKind::LimiterNotified {
                    limiter,
                    incarnation,
                    state,
                });
            }
        }
        let targets: Vec<&Value> = entries.iter().map(|entry| &entry.json).collect();
        json!({"rev": rev, "all": all, "targets": targets})
    }

    async fn accept(self: Rc<Self>, limiter: usize, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let discovery = self.clone();
            spawn_local(async move { discovery.serve(limiter, Wire::new(stream)).await });
        }
    }

    /// Serves one connection of a limiter until it ends or the service goes down.
    async fn serve(&self, limiter: usize, mut wire: Wire) {
        let recorder = &self.world.recorder;
        let mut dead = self.dead.subscribe();
        // A connection to a dead service counts as one failed call.
        let call_pending = Cell::new(*dead.borrow());
        if call_pending.get() {
            self.record_call(limiter);
        }
        let all_answered = tokio::select! {
            biased;
            _ = dead.wait_for(|dead| *dead) => false,
            all_answered = self.serve_connection_calls(limiter, &mut wire, &call_pending) => all_answered,
        };
        if !all_answered {
            if call_pending.get() {
                recorder.record(EventKind::DiscoveryCallEnded {
                    limiter,
                    succeeded: false,
                });
            }
            wire.reset();
        }
    }

    /// Serves list calls until the connection ends, or one watch; returns `false` if a call failed.
    async fn serve_connection_calls(
        &self,
        limiter: usize,
        wire: &mut Wire,
        call_pending: &Cell<bool>,
    ) -> bool {
        let agent = &self.agents[limiter];
        let mut silent = self.silent.subscribe();
        while let Ok((head, _)) = wire.read(false).await {
            self.record_call(limiter);
            call_pending.set(true);
            let (path, query) = head.path.split_once('?').unwrap_or((&head.path, ""));
            if path != "/registry/instances" {
                _ = wire
                    .stream
                    .write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                    .await;
                continue;
            }
            if !self.capacity.process_call().await {
                return false;
            }
            _ = silent.wait_for(|silent| !silent).await;
            let value = |name: &str| {
                query
                    .split('&')
                    .filter_map(|pair| pair.split_once('='))
                    .find(|(key, _)| *key == name)
            };
            self.world.recorder.record(EventKind::DiscoveryCallEnded {
                limiter,
                succeeded: true,
            });
            call_pending.set(false);
            if value("follow").is_none() {
                let (rev, update) = self
                    .response_after(limiter, None)
                    .unwrap_or((agent.rev.get(), agent.full_list()));
                let body = self.render_update(limiter, rev, update).to_string();
                let text = format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                if wire.stream.write_all(text.as_bytes()).await.is_err() {
                    return true;
                }
                continue;
            }
            let since = value("since").and_then(|(_, rev)| rev.parse().ok());
            self.serve_watch(limiter, wire, since).await;
            return true;
        }
        true
    }

    /// Serves a watch: the changes after a version or the full list, then each change as it arrives.
    async fn serve_watch(&self, limiter: usize, wire: &mut Wire, since: Option<u64>) {
        let agent = &self.agents[limiter];
        let mut silent = self.silent.subscribe();
        let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        if wire.stream.write_all(head).await.is_err() {
            return;
        }
        let mut pending_update = self.response_after(limiter, since);
        let mut known_version = since.unwrap_or(0);
        loop {
            let changed = agent.changed.notified();
            if let Some((rev, listing)) = pending_update.take() {
                known_version = rev;
                let update_json = self.render_update(limiter, rev, listing);
                let line = if self.world.scenario.site.discovery_indented {
                    format!("{update_json:#}")
                } else {
                    update_json.to_string()
                };
                if write_line(wire, &line).await.is_err() {
                    return;
                }
            }
            tokio::select! {
                () = wire.wait_until_closed() => return,
                () = changed => pending_update = (agent.rev.get() > known_version).then(|| (agent.rev.get(), (false, agent.changed_after(known_version)))),
                () = tokio::time::sleep(HEARTBEAT) => {
                    if !*silent.borrow_and_update() && write_line(wire, "").await.is_err() {
                        return;
                    }
                }
            }
        }
    }
}

async fn write_line(wire: &mut Wire, line: &str) -> std::io::Result<()> {
    let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
    wire.stream.write_all(chunk.as_bytes()).await
}

impl Agent {
    fn apply(&self, uid: String, entry: Entry) {
        let version = self.rev.get() + 1;
        self.rev.set(version);
        self.listed
            .borrow_mut()
            .insert(uid, Entry { version, ..entry });
        self.changed.notify_waiters();
    }

    /// The full list as [`Discovery::render_update`] takes it: `true` for full, and all entries that are not removed.
    fn full_list(&self) -> (bool, Vec<Entry>) {
        let listed = self.listed.borrow();
        let present = listed
            .values()
            .filter(|entry| entry.state != ServerState::Gone);
        (true, present.cloned().collect())
    }

    fn changed_after(&self, rev: u64) -> Vec<Entry> {
        let listed = self.listed.borrow();
        listed
            .values()
            .filter(|entry| entry.version > rev)
            .cloned()
            .collect()
    }
}
