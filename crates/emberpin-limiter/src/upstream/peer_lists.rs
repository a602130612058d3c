//! Endpoint lists that limiters send each other over the link, so that only a few of them watch the list service. Runs the
//! decisions of `emberpin_startup::list_dissemination` (the core) with a clock, the link and the list.
//!
//! A list that would remove many servers is doubted: it is not accepted until the doubt expires or an operator overrides
//! it, see `list_trust`. A list that is accepted after a doubt gets a higher epoch, and peers accept it without a doubt of
//! their own.

use crate::between::link::{Link, LinkEvent, LIST_MESSAGES, MAX_MESSAGE_BYTES};
use crate::messages::Input;
use crate::operate::config::Config;
use crate::upstream::endpoint_list::{EndpointList, Entry, ListSource, Target};
use crate::upstream::list_calls::ListCalls;
use emberpin_startup::list_dissemination::{Action, DisseminationConfig, ListDissemination};
use emberpin_startup::list_messages::{Incarnation, ListMessage, ListVersion};
use emberpin_startup::topology::neighbours;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout, Instant};

/// How often a limiter that watches the list service sends a heartbeat, and after how many intervals without one its watch
/// counts as lost.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);
const MISSED_HEARTBEATS: f64 = 3.5;
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Bytes of a message that are reserved for what surrounds the entries of a list.
const MESSAGE_OVERHEAD_BYTES: usize = 1024;

/// The exchange of endpoint lists between this limiter and its peers.
pub struct PeerLists {
    core: RefCell<ListDissemination>,
    link: Rc<Link>,
    started_at: Instant,
    /// The name of the list service whose revisions are exchanged.
    service: RefCell<String>,
    service_generation: Cell<u32>,
    /// The accepted list, as it is sent to peers.
    list: RefCell<SharedList>,
    /// The queue of the driver, which decides whether a received list is accepted.
    inputs: mpsc::Sender<Input>,
    /// Notified after each event that the core has handled.
    changed: Notify,
    /// Whether the accepted list is too long for a message of the link.
    too_long: Cell<bool>,
}

/// A list as it is sent to peers; the entries are JSON.
#[derive(Default)]
struct SharedList {
    version: ListVersion,
    entries: Vec<u8>,
}

/// The members that an instance's link connects to: all others where keys are replicated, else its neighbours in the
/// dissemination of lists.
pub fn link_members(config: &Config, number: u32) -> BTreeSet<u32> {
    let Some((link, _)) = &config.link else {
        return BTreeSet::new();
    };
    let members: BTreeSet<u32> = link.members.iter().map(|member| member.number).collect();
    match config.idempotency {
        Some(_) => members
            .into_iter()
            .filter(|member| *member != number)
            .collect(),
        None => neighbours(number, &members),
    }
}

impl PeerLists {
    /// Starts the exchange; `None` where lists are not sent over the link. `superseded` receives a message once a later
    /// incarnation of this instance runs.
    pub fn start(
        config: &Config,
        link: Option<&Rc<Link>>,
        superseded: mpsc::UnboundedSender<()>,
        inputs: mpsc::Sender<Input>,
    ) -> Option<Rc<PeerLists>> {
        let watchers = config.start.as_ref()?.callers?;
        let ((settings, number), link) = (config.link.as_ref()?, link?);
        let members: BTreeSet<u32> = settings
            .members
            .iter()
            .map(|member| member.number)
            .collect();
        let limits = DisseminationConfig {
            watchers,
            heartbeat_interval: HEARTBEAT_INTERVAL,
            watcher_timeout: HEARTBEAT_INTERVAL.mul_f64(MISSED_HEARTBEATS),
        };
        let started = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis();
        let configured_revision =
            Some(config.known.rev).filter(|_| !config.known.targets.is_empty());
        let core = ListDissemination::new(
            *number,
            Incarnation(u64::try_from(started).unwrap_or(u64::MAX)),
            &members,
            limits,
            configured_revision,
        );
        let service_name = config
            .start
            .as_ref()
            .and_then(|start| start.list_service.clone());
        let peer_lists = Rc::new(PeerLists {
            core: RefCell::new(core),
            link: link.clone(),
            started_at: Instant::now(),
            service: RefCell::new(service_name.unwrap_or_else(|| config.discovery.to_string())),
            service_generation: Cell::new(0),
            list: RefCell::default(),
            inputs,
            changed: Notify::new(),
            too_long: Cell::new(false),
        });
        let neighbour_set = neighbours(*number, &members);
        spawn_local(receive_link_events(
            Rc::downgrade(&peer_lists),
            link.subscribe(LIST_MESSAGES),
            neighbour_set,
            superseded,
        ));
        Some(peer_lists)
    }

    /// Returns once this limiter has to watch the service itself.
    pub async fn wait_for_turn(&self, list_calls: &ListCalls) {
        loop {
            let due = self
                .core
                .borrow()
                .call_due_at(list_calls.first_call_delay());
            let due = async {
                match due {
                    Some(due) => sleep_until(self.started_at + due).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = due => return list_calls.mark_called(),
                () = self.changed.notified() => {}
                () = list_calls.peer_observed() => {}
            }
        }
    }

    /// Returns once enough other limiters watch the service, so that this limiter's watch is not needed.
    pub async fn wait_for_surplus(&self) {
        while !self
            .core
            .borrow()
            .is_surplus_watcher(self.started_at.elapsed())
        {
            self.changed.notified().await;
        }
    }

    /// The revision of the accepted list; a watch can start from it.
    pub fn revision(&self) -> Option<u64> {
        self.core
            .borrow()
            .version()
            .map(|accepted| accepted.revision)
    }

    /// Records whether this limiter's own watch of the service works.
    pub fn set_watching(&self, on: bool) {
        // A list that does not fit into a message is not sent: each limiter fetches it itself.
        let on = on && !self.too_long.get();
        self.update_core(|core, now, actions| match on {
            true => core.on_watch_started(now, actions),
            false => core.on_watch_ended(now),
        });
    }

    /// Records that this list was accepted, and sends it to peers. `doubted` says that it was accepted although it was
    /// doubted; if it came from the service, this begins a new epoch.
    pub fn on_list_accepted(
        &self,
        rev: u64,
        source: ListSource,
        doubted: bool,
        targets: &[Target],
    ) {
        let Ok(entries) = serde_json::to_vec(targets) else {
            return;
        };
        let too_long = entries.len() + MESSAGE_OVERHEAD_BYTES > MAX_MESSAGE_BYTES;
        if too_long && !self.too_long.replace(too_long) {
            eprintln!(
                "emberpin: the endpoint list has {} bytes, more than the {MAX_MESSAGE_BYTES} that the link carries: each limiter fetches it",
                entries.len()
            );
        }
        self.too_long.set(too_long);
        if too_long {
            return self.set_watching(false);
        }
        let list_epoch = match source {
            ListSource::Peer { epoch, .. } => epoch,
            ListSource::Service => {
                let accepted = self
                    .core
                    .borrow()
                    .version()
                    .map_or(0, |accepted| accepted.epoch);
                accepted.saturating_add(u32::from(doubted))
            }
        };
        let version = ListVersion {
            epoch: list_epoch,
            revision: rev,
        };
        *self.list.borrow_mut() = SharedList { version, entries };
        self.update_core(|core, now, actions| core.on_list_accepted(now, version, actions));
    }

    /// Records that the list service at another address is used from now on.
    pub fn on_service_changed(&self, address: SocketAddr) {
        *self.service.borrow_mut() = address.to_string();
        self.service_generation
            .set(self.service_generation.get() + 1);
        self.update_core(|core, now, _| core.on_service_changed(now));
    }

    fn on_message(&self, from: u32, body: &[u8]) {
        match postcard::from_bytes::<(String, ListMessage)>(body) {
            Ok((service, message)) if service == *self.service.borrow() => {
                self.update_core(|core, now, actions| core.on_message(now, from, message, actions));
            }
            // From another list service, whose revisions mean nothing here.
            Ok(_) => {}
            Err(e) => eprintln!(
                "emberpin: link: message of member {from} about the endpoint list cannot be decoded: {e}"
            ),
        }
    }

    /// Passes an event to the core and carries out its actions.
    fn update_core(
        &self,
        pass_event: impl FnOnce(&mut ListDissemination, Duration, &mut Vec<Action>),
    ) {
        let mut actions = Vec::new();
        pass_event(
            &mut self.core.borrow_mut(),
            self.started_at.elapsed(),
            &mut actions,
        );
        self.changed.notify_one();
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(to, &message),
                Action::SendList { to } => {
                    let SharedList { version, entries } = &*self.list.borrow();
                    self.send(
                        to,
                        &ListMessage::List {
                            version: *version,
                            entries: entries.clone(),
                        },
                    );
                }
                Action::EvaluateList {
                    version,
                    confirmed,
                    entries,
                } => self.on_list_received(version, confirmed, &entries),
            }
        }
    }

    fn send(&self, to: u32, message: &ListMessage) {
        if let Ok(body) = postcard::to_allocvec(&(&*self.service.borrow(), message)) {
            self.link.send(to, LIST_MESSAGES, body);
        }
    }

    /// Passes a list from a peer to the driver. `confirmed` if its epoch is higher than that of the current list: a peer
    /// accepted it after a doubt, so that this limiter accepts it as well.
    fn on_list_received(&self, version: ListVersion, confirmed: bool, entries: &[u8]) {
        match serde_json::from_slice::<Vec<Entry>>(entries) {
            Ok(targets) => {
                let epoch = version.epoch;
                let (service_generation, source) = (
                    self.service_generation.get(),
                    ListSource::Peer { epoch, confirmed },
                );
                let list = EndpointList {
                    rev: version.revision,
                    full: true,
                    targets,
                    service_generation,
                    source,
                };
                // If the driver's queue is full, the list is dropped. The core then requests it again from a neighbour.
                _ = self.inputs.try_send(Input::Listing(list));
            }
            Err(e) => {
                eprintln!(
                    "emberpin: link: endpoint list at revision {} cannot be decoded: {e}; not used",
                    version.revision
                );
            }
        }
    }
}

/// Handles the link's events about neighbours, and ticks. Ends when the exchange is dropped.
async fn receive_link_events(
    lists: Weak<PeerLists>,
    mut events: mpsc::UnboundedReceiver<LinkEvent>,
    neighbour_set: BTreeSet<u32>,
    superseded: mpsc::UnboundedSender<()>,
) {
    let mut next_tick = Instant::now();
    loop {
        let event = timeout(TICK_INTERVAL, events.recv()).await;
        let Some(lists) = lists.upgrade() else { return };
        match event {
            Ok(Some(LinkEvent::MessageReceived { from, body }))
                if neighbour_set.contains(&from) =>
            {
                lists.on_message(from, &body);
            }
            Ok(Some(LinkEvent::PeerChanged { member, state }))
                if neighbour_set.contains(&member) =>
            {
                lists.update_core(|core, now, actions| match state.reachable {
                    true => core.on_neighbour_reachable(now, member, actions),
                    false => core.on_neighbour_unreachable(member),
                });
            }
            Ok(Some(LinkEvent::Superseded)) => _ = superseded.send(()),
            Ok(None) => return,
            Ok(Some(_)) | Err(_) => {}
        }
        if Instant::now() >= next_tick {
            next_tick = Instant::now() + TICK_INTERVAL;
            lists.update_core(ListDissemination::on_tick);
        }
    }
}
