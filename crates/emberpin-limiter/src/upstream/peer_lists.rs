//! Lists told by peers over the link: the decisions of `emberpin_startup::list_dissemination` with a clock, the link and
//! the list.

use crate::between::link::{Link, News, LISTS, LONGEST};
use crate::messages::Input;
use crate::operate::config::Config;
use crate::upstream::endpoint_list::{Entry, Listing, Target, Teller};
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

/// How often a caller says that its watch lives, and after how many of these it is missed.
const PULSE: Duration = Duration::from_millis(1_000);
const MISSED: f64 = 3.5;
const TICK: Duration = Duration::from_millis(200);
/// What stands around the entries of a list in a message.
const AROUND: usize = 1024;

/// What peers and this limiter tell each other of the list.
pub struct PeerLists {
    core: RefCell<ListDissemination>,
    link: Rc<Link>,
    began: Instant,
    /// Which list service versions are of.
    service: RefCell<String>,
    place: Cell<u32>,
    /// The list that is held, as it is told.
    list: RefCell<Told>,
    inputs: mpsc::Sender<Input>,
    changed: Notify,
    too_long: Cell<bool>,
}

#[derive(Default)]
struct Told {
    version: ListVersion,
    entries: Vec<u8>,
}

/// Whom an instance's link leads to: all members where keys are kept there, else its neighbours in the telling of lists.
pub fn spoken_to(config: &Config, number: u32) -> BTreeSet<u32> {
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
    /// `None` where lists are not told over the link.
    pub fn start(
        config: &Config,
        link: Option<&Rc<Link>>,
        superseded: mpsc::UnboundedSender<()>,
        inputs: mpsc::Sender<Input>,
    ) -> Option<Rc<PeerLists>> {
        let callers = config.start.as_ref()?.callers?;
        let ((settings, number), link) = (config.link.as_ref()?, link?);
        let members: BTreeSet<u32> = settings
            .members
            .iter()
            .map(|member| member.number)
            .collect();
        let limits = DisseminationConfig {
            watchers: callers,
            heartbeat_interval: PULSE,
            watcher_timeout: PULSE.mul_f64(MISSED),
        };
        let life = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis();
        let known = Some(config.known.rev).filter(|_| !config.known.targets.is_empty());
        let core = ListDissemination::new(
            *number,
            Incarnation(u64::try_from(life).unwrap_or(u64::MAX)),
            &members,
            limits,
            known,
        );
        let named = config
            .start
            .as_ref()
            .and_then(|start| start.list_service.clone());
        let fed = Rc::new(PeerLists {
            core: RefCell::new(core),
            link: link.clone(),
            began: Instant::now(),
            service: RefCell::new(named.unwrap_or_else(|| config.discovery.to_string())),
            place: Cell::new(0),
            list: RefCell::default(),
            inputs,
            changed: Notify::new(),
            too_long: Cell::new(false),
        });
        let near = neighbours(*number, &members);
        spawn_local(listen(
            Rc::downgrade(&fed),
            link.subscribe(LISTS),
            near,
            superseded,
        ));
        Some(fed)
    }

    /// Returns when this limiter is to call the service itself.
    pub async fn turn(&self, asking: &ListCalls) {
        loop {
            let due = self.core.borrow().call_due_at(asking.slot());
            let due = async {
                match due {
                    Some(due) => sleep_until(self.began + due).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = due => return asking.ask(),
                () = self.changed.notified() => {}
                () = asking.heard_more() => {}
            }
        }
    }

    /// Returns when this limiter's watch is one too many.
    pub async fn surplus(&self) {
        while !self.core.borrow().is_surplus_watcher(self.began.elapsed()) {
            self.changed.notified().await;
        }
    }

    /// The version that a call may ask the changes after.
    pub fn held(&self) -> Option<u64> {
        self.core.borrow().version().map(|held| held.revision)
    }

    /// This limiter's own watch tells, or does not any more.
    pub fn watch(&self, on: bool) {
        // A list that does not fit into a message is told to nobody: each asks for itself.
        let on = on && !self.too_long.get();
        self.with(|core, now, actions| match on {
            true => core.on_watch_started(now, actions),
            false => core.on_watch_ended(now),
        });
    }

    /// This list is held, and not doubted any more if it was.
    pub fn hold(&self, rev: u64, teller: Teller, doubted: bool, targets: &[Target]) {
        let Ok(entries) = serde_json::to_vec(targets) else {
            return;
        };
        let too_long = entries.len() + AROUND > LONGEST;
        if too_long && !self.too_long.replace(too_long) {
            eprintln!(
                "emberpin: the list has {} bytes, more than the {LONGEST} that the link carries: each limiter asks for it",
                entries.len()
            );
        }
        self.too_long.set(too_long);
        if too_long {
            return self.watch(false);
        }
        let word = match teller {
            Teller::Peer { word, .. } => word,
            Teller::Service => {
                let held = self.core.borrow().version().map_or(0, |held| held.epoch);
                held.saturating_add(u32::from(doubted))
            }
        };
        let version = ListVersion {
            epoch: word,
            revision: rev,
        };
        *self.list.borrow_mut() = Told { version, entries };
        self.with(|core, now, actions| core.on_list_accepted(now, version, actions));
    }

    /// The service is another one from now on.
    pub fn moved(&self, address: SocketAddr) {
        *self.service.borrow_mut() = address.to_string();
        self.place.set(self.place.get() + 1);
        self.with(|core, now, _| core.on_service_changed(now));
    }

    fn hear(&self, from: u32, body: &[u8]) {
        match postcard::from_bytes::<(String, ListMessage)>(body) {
            Ok((service, said)) if service == *self.service.borrow() => {
                self.with(|core, now, actions| core.on_message(now, from, said, actions));
            }
            // Of another service, its versions mean nothing here.
            Ok(_) => {}
            Err(e) => eprintln!(
                "emberpin: link: member {from} said of the list what is not understood: {e}"
            ),
        }
    }

    /// Feeds the core and carries out what it says.
    fn with(&self, feed: impl FnOnce(&mut ListDissemination, Duration, &mut Vec<Action>)) {
        let mut actions = Vec::new();
        feed(
            &mut self.core.borrow_mut(),
            self.began.elapsed(),
            &mut actions,
        );
        self.changed.notify_one();
        for action in actions {
            match action {
                Action::Send { to, message } => self.say(to, &message),
                Action::SendList { to } => {
                    let Told { version, entries } = &*self.list.borrow();
                    self.say(
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
                } => self.offer(version, confirmed, &entries),
            }
        }
    }

    fn say(&self, to: u32, said: &ListMessage) {
        if let Ok(body) = postcard::to_allocvec(&(&*self.service.borrow(), said)) {
            self.link.tell(to, LISTS, body);
        }
    }

    fn offer(&self, version: ListVersion, sure: bool, entries: &[u8]) {
        match serde_json::from_slice::<Vec<Entry>>(entries) {
            Ok(targets) => {
                let word = version.epoch;
                let (place, teller) = (self.place.get(), Teller::Peer { word, sure });
                let listing = Listing {
                    rev: version.revision,
                    whole: true,
                    targets,
                    place,
                    teller,
                };
                // One that finds no room is asked for again.
                _ = self.inputs.try_send(Input::Listing(listing));
            }
            Err(e) => {
                eprintln!(
                    "emberpin: link: a list of version {} cannot be read: {e}; not used",
                    version.revision
                );
            }
        }
    }
}

/// Carries out what neighbours tell, and lets time pass.
async fn listen(
    fed: Weak<PeerLists>,
    mut heard: mpsc::UnboundedReceiver<News>,
    near: BTreeSet<u32>,
    superseded: mpsc::UnboundedSender<()>,
) {
    let mut next = Instant::now();
    loop {
        let news = timeout(TICK, heard.recv()).await;
        let Some(fed) = fed.upgrade() else { return };
        match news {
            Ok(Some(News::Told { from, body })) if near.contains(&from) => fed.hear(from, &body),
            Ok(Some(News::Changed { member, state })) if near.contains(&member) => {
                fed.with(|core, now, actions| match state.reachable {
                    true => core.on_neighbour_reachable(now, member, actions),
                    false => core.on_neighbour_unreachable(member),
                });
            }
            Ok(Some(News::Superseded)) => _ = superseded.send(()),
            Ok(None) => return,
            Ok(Some(_)) | Err(_) => {}
        }
        if Instant::now() >= next {
            next = Instant::now() + TICK;
            fed.with(ListDissemination::on_tick);
        }
    }
}
