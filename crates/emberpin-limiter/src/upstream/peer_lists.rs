//! Exchanges endpoint lists between limiters over the link, so that only a few of them watch the discovery service.
//! Hosts the state machine [`ListDissemination`]: passes events to it with the time, and carries out its actions.
//!
//! A list that would remove many servers is doubted: it is not accepted until the doubt expires or an operator
//! overrides it, see `list_trust`. A list that is accepted after a doubt gets a higher epoch, and peers then accept it
//! without a doubt of their own.

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

/// How often a limiter that watches the discovery service sends a heartbeat.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);
/// After how many heartbeat intervals without a heartbeat a watcher counts as lost.
const MISSED_HEARTBEATS: f64 = 3.5;
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Bytes of a link message that are reserved for everything but the entries of the list.
const MESSAGE_OVERHEAD_BYTES: usize = 1024;

/// The exchange of endpoint lists between this limiter and its peers.
pub struct PeerLists {
    /// Decides which messages are sent, and whether this limiter watches the discovery service.
    protocol: RefCell<ListDissemination>,
    link: Rc<Link>,
    started_at: Instant,
    /// The name or address of the discovery service that this limiter uses. Lists of other services are ignored.
    service_name: RefCell<String>,
    /// How many times the discovery service was replaced by another, see [`EndpointList::service_generation`].
    service_generation: Cell<u32>,
    /// The list that the driver accepted last, as it is sent to peers.
    accepted_list: RefCell<EncodedList>,
    /// The queue of the driver, which decides whether a received list is accepted.
    inputs: mpsc::Sender<Input>,
    /// Notified after each event that `protocol` has handled.
    state_changed: Notify,
    /// Whether the accepted list does not fit into a message of the link, and so cannot be sent to peers.
    exceeds_message: Cell<bool>,
}

/// A list as it is sent to peers; `entries` is a JSON array of [`Target`].
#[derive(Default)]
struct EncodedList {
    version: ListVersion,
    entries: Vec<u8>,
}

/// The numbers of the members that the link of instance `number` connects to: all others where idempotency keys are
/// replicated, otherwise only the neighbours that it exchanges lists with.
pub fn link_members(config: &Config, number: u32) -> BTreeSet<u32> {
    let Some((link_settings, _)) = &config.link else {
        return BTreeSet::new();
    };
    let members: BTreeSet<u32> = link_settings
        .members
        .iter()
        .map(|member| member.number)
        .collect();
    match config.idempotency {
        Some(_) => members
            .into_iter()
            .filter(|member| *member != number)
            .collect(),
        None => neighbours(number, &members),
    }
}

impl PeerLists {
    /// Starts the exchange; `None` where lists are not sent over the link. A message is sent to `superseded_tx` once a
    /// later incarnation of this instance runs.
    pub fn start(
        config: &Config,
        link: Option<&Rc<Link>>,
        superseded_tx: mpsc::UnboundedSender<()>,
        inputs: mpsc::Sender<Input>,
    ) -> Option<Rc<PeerLists>> {
        // The setting `callers` is the number of limiters that watch the discovery service.
        let watchers = config.start.as_ref()?.callers?;
        let ((link_settings, number), link) = (config.link.as_ref()?, link?);
        let members: BTreeSet<u32> = link_settings
            .members
            .iter()
            .map(|member| member.number)
            .collect();
        let protocol_config = DisseminationConfig {
            watchers,
            heartbeat_interval: HEARTBEAT_INTERVAL,
            watcher_timeout: HEARTBEAT_INTERVAL.mul_f64(MISSED_HEARTBEATS),
        };
        let started_at_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis();
        let configured_revision =
            Some(config.initial_list.revision).filter(|_| !config.initial_list.targets.is_empty());
        let protocol = ListDissemination::new(
            *number,
            Incarnation(u64::try_from(started_at_ms).unwrap_or(u64::MAX)),
            &members,
            protocol_config,
            configured_revision,
        );
        let configured_name = config
            .start
            .as_ref()
            .and_then(|start| start.list_service.clone());
        let peer_lists = Rc::new(PeerLists {
            protocol: RefCell::new(protocol),
            link: link.clone(),
            started_at: Instant::now(),
            service_name: RefCell::new(
                configured_name.unwrap_or_else(|| config.discovery.to_string()),
            ),
            service_generation: Cell::new(0),
            accepted_list: RefCell::default(),
            inputs,
            state_changed: Notify::new(),
            exceeds_message: Cell::new(false),
        });
        let neighbour_set = neighbours(*number, &members);
        spawn_local(receive_link_events(
            Rc::downgrade(&peer_lists),
            link.subscribe(LIST_MESSAGES),
            neighbour_set,
            superseded_tx,
        ));
        Some(peer_lists)
    }

    /// Returns once this limiter has to call the discovery service, which begins its own watch of the list.
    pub async fn wait_for_turn(&self, list_calls: &ListCalls) {
        loop {
            let due_at = self
                .protocol
                .borrow()
                .call_due_at(list_calls.first_call_delay());
            let due = async {
                match due_at {
                    Some(due_at) => sleep_until(self.started_at + due_at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = due => return list_calls.mark_called(),
                () = self.state_changed.notified() => {}
                () = list_calls.peer_observed() => {}
            }
        }
    }

    /// Returns once so many other limiters watch the discovery service that this limiter's watch is not needed.
    pub async fn wait_until_surplus(&self) {
        while !self
            .protocol
            .borrow()
            .is_surplus_watcher(self.started_at.elapsed())
        {
            self.state_changed.notified().await;
        }
    }

    /// The revision of the accepted list; a watch can start from it.
    pub fn revision(&self) -> Option<u64> {
        self.protocol
            .borrow()
            .version()
            .map(|version| version.revision)
    }

    /// Records whether this limiter's own watch of the discovery service works.
    pub fn set_watching(&self, watching: bool) {
        // A limiter that cannot send its list to peers must not count as a watcher: each limiter then watches the list
        // service itself.
        let is_watcher = watching && !self.exceeds_message.get();
        self.update(|protocol, now, actions| match is_watcher {
            true => protocol.on_watch_started(now, actions),
            false => protocol.on_watch_ended(now),
        });
    }

    /// Records that the driver has accepted this list, and announces it to peers. `despite_doubt` if it was doubted
    /// before; if such a list came from the discovery service, it begins a new epoch.
    pub fn on_list_accepted(
        &self,
        list_revision: u64,
        source: ListSource,
        despite_doubt: bool,
        targets: &[Target],
    ) {
        let Ok(entries) = serde_json::to_vec(targets) else {
            return;
        };
        let exceeds_message = entries.len() + MESSAGE_OVERHEAD_BYTES > MAX_MESSAGE_BYTES;
        if exceeds_message && !self.exceeds_message.replace(exceeds_message) {
            eprintln!(
                "emberpin: the endpoint list of {} bytes does not fit into a link message of {MAX_MESSAGE_BYTES} bytes: each limiter watches the list service itself",
                entries.len()
            );
        }
        self.exceeds_message.set(exceeds_message);
        if exceeds_message {
            return self.set_watching(false);
        }
        let list_epoch = match source {
            ListSource::Peer { epoch, .. } => epoch,
            ListSource::Service => {
                let current_epoch = self
                    .protocol
                    .borrow()
                    .version()
                    .map_or(0, |version| version.epoch);
                current_epoch.saturating_add(u32::from(despite_doubt))
            }
        };
        let version = ListVersion {
            epoch: list_epoch,
            revision: list_revision,
        };
        *self.accepted_list.borrow_mut() = EncodedList { version, entries };
        self.update(|protocol, now, actions| protocol.on_list_accepted(now, version, actions));
    }

    /// Records that the discovery service at `address` is used from now on, in place of the previous one.
    pub fn on_service_changed(&self, address: SocketAddr) {
        *self.service_name.borrow_mut() = address.to_string();
        self.service_generation
            .set(self.service_generation.get() + 1);
        self.update(|protocol, now, _| protocol.on_service_changed(now));
    }

    fn on_message(&self, from: u32, body: &[u8]) {
        match postcard::from_bytes::<(String, ListMessage)>(body) {
            Ok((service_name, message)) if service_name == *self.service_name.borrow() => {
                self.update(|protocol, now, actions| protocol.on_message(now, from, message, actions));
            }
            // The peer uses another discovery service, whose revisions cannot be compared with those of this one.
            Ok(_) => {}
            Err(e) => eprintln!(
                "emberpin: link: message of member {from} about the endpoint list cannot be decoded: {e}"
            ),
        }
    }

    /// Passes an event to `protocol`, and carries out the actions that it returns.
    fn update(&self, pass_event: impl FnOnce(&mut ListDissemination, Duration, &mut Vec<Action>)) {
        let mut actions = Vec::new();
        pass_event(
            &mut self.protocol.borrow_mut(),
            self.started_at.elapsed(),
            &mut actions,
        );
        self.state_changed.notify_one();
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(to, &message),
                Action::SendList { to } => {
                    let EncodedList { version, entries } = &*self.accepted_list.borrow();
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
        if let Ok(body) = postcard::to_allocvec(&(&*self.service_name.borrow(), message)) {
            self.link.send(to, LIST_MESSAGES, body);
        }
    }

    /// Passes a list from a peer to the driver. It is `confirmed` if its epoch is higher than that of the current list:
    /// a peer accepted it after a doubt, so this limiter accepts it without one.
    fn on_list_received(&self, version: ListVersion, confirmed: bool, entries: &[u8]) {
        match serde_json::from_slice::<Vec<Entry>>(entries) {
            Ok(targets) => {
                let epoch = version.epoch;
                let (service_generation, source) = (
                    self.service_generation.get(),
                    ListSource::Peer { epoch, confirmed },
                );
                let list = EndpointList {
                    revision: version.revision,
                    full: true,
                    targets,
                    service_generation,
                    source,
                };
                // If the driver's queue is full, the list is dropped. `protocol` then requests it again from a
                // neighbour.
                _ = self.inputs.try_send(Input::EndpointList(list));
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

/// Passes the link's events about neighbours to `lists`, and calls `on_tick` periodically. Ends once `lists` or the
/// link is dropped.
async fn receive_link_events(
    lists: Weak<PeerLists>,
    mut events: mpsc::UnboundedReceiver<LinkEvent>,
    neighbour_set: BTreeSet<u32>,
    superseded_tx: mpsc::UnboundedSender<()>,
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
                lists.update(|protocol, now, actions| match state.reachable {
                    true => protocol.on_neighbour_reachable(now, member, actions),
                    false => protocol.on_neighbour_unreachable(member),
                });
            }
            Ok(Some(LinkEvent::Superseded)) => _ = superseded_tx.send(()),
            Ok(None) => return,
            Ok(Some(_)) | Err(_) => {}
        }
        if Instant::now() >= next_tick {
            next_tick = Instant::now() + TICK_INTERVAL;
            lists.update(ListDissemination::on_tick);
        }
    }
}
