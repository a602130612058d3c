//! The owner of the registry: takes commands one after the other, and does what it decides.

use crate::store::Stores;
use crate::{body, links};
use bytes::Bytes;
use emberpin_membership::instance::Instance;
use emberpin_membership::registry::{Action, Answer, Event, Limits, Registry, Taker};
use emberpin_runtime::frames;
use emberpin_runtime::preamble::ProcessIdentity;
use emberpin_store::protocol::DiskStatus;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::Ipv4Addr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::{sleep_until, Instant};

/// Commands that wait for the owner; whoever sends more waits.
const WAITING: usize = 1024;

/// What the owner is told.
pub enum Command {
    /// A server's beat.
    Heartbeat {
        /// What it says.
        instance: Instance,
        /// Where the answer goes.
        answer: oneshot::Sender<Answer>,
    },
    /// A server's end.
    Leave {
        /// Which.
        id: String,
        /// Where the answer goes.
        answer: oneshot::Sender<Answer>,
    },
    /// Who is to take a call of the operator?
    Taker {
        /// Where the answer goes.
        answer: oneshot::Sender<Taker>,
    },
    /// The operator asks how the registry stands.
    Status {
        /// The disk of the store on this machine, if that told.
        disk: Option<DiskStatus>,
        /// Where the answer goes.
        answer: oneshot::Sender<String>,
    },
    /// A limiter has connected.
    Session {
        /// The session's number.
        session: u64,
        /// Where frames for it go; dropped, it ends.
        out: mpsc::Sender<Bytes>,
    },
    /// Another registry has connected.
    Incoming {
        /// Which.
        peer: Ipv4Addr,
        /// Where acknowledgements for it go.
        out: mpsc::Sender<Bytes>,
    },
    /// The connection to another registry is open, or not any more.
    Outgoing {
        /// Which.
        peer: Ipv4Addr,
        /// Where frames for it go.
        out: Option<mpsc::Sender<Bytes>>,
    },
    /// Something for the registry itself.
    Event(Event),
}

/// Where commands go.
#[derive(Clone)]
pub struct Commands(mpsc::Sender<Command>);

impl Commands {
    /// Sends one. The owner lives as long as the process.
    pub async fn send(&self, command: Command) {
        _ = self.0.send(command).await;
    }

    /// Sends an event.
    pub async fn event(&self, event: Event) {
        self.send(Command::Event(event)).await;
    }
}

/// What a host is told of its machine.
pub struct Identity {
    /// Its name, for the operator.
    pub name: String,
    /// The port of all registries.
    pub port: u16,
    /// What it says first to other processes.
    pub process: Arc<ProcessIdentity>,
}

/// A connection to another registry.
struct Link {
    task: JoinHandle<()>,
    out: Option<mpsc::Sender<Bytes>>,
}

/// The owner.
pub struct Host {
    identity: Identity,
    me: Ipv4Addr,
    registry: Registry,
    stores: Arc<Stores>,
    begin: Instant,
    commands: Commands,
    queue: mpsc::Receiver<Command>,
    answers: HashMap<u64, oneshot::Sender<Answer>>,
    calls: u64,
    sessions: HashMap<u64, mpsc::Sender<Bytes>>,
    incoming: HashMap<Ipv4Addr, mpsc::Sender<Bytes>>,
    links: BTreeMap<Ipv4Addr, Link>,
    /// Found while actions were carried out.
    events: VecDeque<Event>,
}

impl Host {
    /// One that starts now.
    pub fn new(identity: Identity, limits: Limits, stores: Arc<Stores>) -> (Host, Commands) {
        let (send, queue) = mpsc::channel(WAITING);
        let commands = Commands(send);
        let host = Host {
            identity,
            me: limits.me,
            registry: Registry::new(0, limits),
            stores,
            begin: Instant::now(),
            commands: commands.clone(),
            queue,
            answers: HashMap::new(),
            calls: 0,
            sessions: HashMap::new(),
            incoming: HashMap::new(),
            links: BTreeMap::new(),
            events: VecDeque::new(),
        };
        (host, commands)
    }

    fn now(&self) -> u64 {
        u64::try_from(self.begin.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Works for as long as the process runs.
    pub async fn run(mut self) {
        let mut commands = Vec::new();
        loop {
            let due = self.begin + Duration::from_millis(self.registry.due());
            tokio::select! {
                _ = self.queue.recv_many(&mut commands, 64) => {
                    for command in commands.drain(..) {
                        self.take(command);
                    }
                }
                () = sleep_until(due) => self.handle(Event::Tick),
            }
        }
    }

    fn take(&mut self, command: Command) {
        match command {
            Command::Heartbeat { instance, answer } => {
                let call = self.owe(answer);
                self.handle(Event::Heartbeat { call, instance });
            }
            Command::Leave { id, answer } => {
                let call = self.owe(answer);
                self.handle(Event::Leave { call, id });
            }
            Command::Taker { answer } => _ = answer.send(self.registry.taker(self.now())),
            Command::Status { disk, answer } => {
                let unreadable = links::UNREADABLE.load(Ordering::Relaxed);
                let about = body::About {
                    name: &self.identity.name,
                    unreadable,
                    refused: self.identity.process.refused(),
                    disk,
                };
                _ = answer.send(body::status(&self.registry, &about, self.now()));
            }
            Command::Session { session, out } => _ = self.sessions.insert(session, out),
            Command::Incoming { peer, out } => _ = self.incoming.insert(peer, out),
            Command::Outgoing { peer, out } => {
                let Some(link) = self.links.get_mut(&peer) else {
                    return;
                };
                let open = out.is_some();
                link.out = out;
                self.handle(Event::Reached { peer, open });
            }
            Command::Event(event) => {
                if let Event::Ended { session } = event {
                    self.sessions.remove(&session);
                }
                self.handle(event);
            }
        }
    }

    fn owe(&mut self, answer: oneshot::Sender<Answer>) -> u64 {
        self.calls += 1;
        self.answers.insert(self.calls, answer);
        self.calls
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            self.registry.handle(self.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.act(action);
            }
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Answer { call, answer } => {
                if let Some(owed) = self.answers.remove(&call) {
                    _ = owed.send(answer);
                }
            }
            Action::Call { peer } => {
                let task = tokio::spawn(links::call(
                    self.identity.process.clone(),
                    self.me,
                    peer,
                    self.identity.port,
                    self.commands.clone(),
                ));
                self.links.insert(peer, Link { task, out: None });
            }
            Action::Drop { peer } => {
                self.incoming.remove(&peer);
                if let Some(link) = self.links.remove(&peer) {
                    link.task.abort();
                }
            }
            Action::Say { to, said } => {
                let Some(frame) = frame(&said) else { return };
                for peer in to {
                    let Some(link) = self.links.get_mut(&peer) else {
                        continue;
                    };
                    // Full, or gone: a new connection begins with all that there is.
                    if link
                        .out
                        .as_ref()
                        .is_some_and(|out| out.try_send(frame.clone()).is_err())
                    {
                        link.out = None;
                        self.events.push_back(Event::Reached { peer, open: false });
                    }
                }
            }
            Action::Ack { to, ack } => {
                if let Some((out, frame)) = self.incoming.get(&to).zip(frame(&ack)) {
                    _ = out.try_send(frame);
                }
            }
            Action::Tell { to, told } => {
                let Some(frame) = frame(&told) else {
                    to.into_iter().for_each(|session| self.close(session));
                    return;
                };
                for session in to {
                    let full = |out: &mpsc::Sender<Bytes>| out.try_send(frame.clone()).is_err();
                    if self.sessions.get(&session).is_some_and(full) {
                        self.close(session);
                    }
                }
            }
            Action::AskStore { question } => self.stores.confirm(question),
            Action::Close { session } => _ = self.sessions.remove(&session),
        }
    }

    fn close(&mut self, session: u64) {
        self.sessions.remove(&session);
        self.events.push_back(Event::Ended { session });
    }
}

fn frame<T: Serialize>(message: &T) -> Option<Bytes> {
    match frames::frame(message) {
        Ok(frame) => Some(frame.into()),
        Err(e) => {
            log::error!("cannot be told: {e}");
            None
        }
    }
}
