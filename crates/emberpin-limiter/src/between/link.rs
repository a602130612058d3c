//! The host of the link between limiters: opens and takes connections, moves bytes, and hands what is told over to
//! whoever it is for. What is believed of whom, and what a byte means, is decided in `emberpin_peering`.

use crate::between::tls::{Streams, Tls};
use crate::operate::config::Config;
use crate::operate::operator::{self, Member};
use crate::stages::key_log::{boot_clock, random};
use emberpin_peering::{
    Action, Backoff, CloseReason, ConnectionId, Event, Incarnation, MembershipEpoch, PeerState,
    Peering, SendError, Settings, Timestamp,
};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{interval, timeout, MissedTickBehavior};

/// Bytes read at a time.
const READ: usize = 16 * 1024;
/// Connections that are being taken, with their handshakes, at most.
const TAKING: usize = 64;
/// Inputs that wait, at most: whoever reads a connection waits then, and with it the other side.
const INPUTS: usize = 256;
/// Most bytes of one message: an answer of the largest size with its key fits.
pub const LONGEST: usize = 256 * 1024;
/// Bytes that one member may be behind with.
const WINDOW: usize = 4 << 20;

/// The kind of the messages about keys.
pub const KEYS: u16 = 1;
/// And of those about lists of servers.
pub const LISTS: u16 = 2;
/// And of those about work in hand.
pub const WORK: u16 = 3;

/// What the link tells whoever uses it.
#[derive(Clone, Debug)]
pub enum News {
    /// A member said something.
    Told { from: u32, body: Vec<u8> },
    /// The state of a member has changed.
    Changed { member: u32, state: PeerState },
    /// Another life of this instance is known: this one must not go on.
    Superseded,
}

enum Input {
    Dialed {
        to: String,
        streams: Option<Streams>,
    },
    Accepted {
        streams: Streams,
        certified: Option<Vec<String>>,
    },
    Bytes {
        connection: ConnectionId,
        bytes: Vec<u8>,
    },
    Closed {
        connection: ConnectionId,
    },
}

/// The link's handle.
pub struct Link {
    core: RefCell<Peering>,
    tls: Option<Tls>,
    members: BTreeMap<String, Member>,
    names: BTreeMap<u32, String>,
    writers: RefCell<HashMap<ConnectionId, mpsc::UnboundedSender<Vec<u8>>>>,
    next: std::cell::Cell<u64>,
    inputs: mpsc::Sender<Input>,
    /// By kind.
    users: RefCell<BTreeMap<u16, mpsc::UnboundedSender<News>>>,
    hello_within: Duration,
    life: Incarnation,
}

impl Link {
    /// Starts the link, which listens at this member's address and speaks to these members.
    ///
    /// # Errors
    ///
    /// One line: keys that cannot be used, an address that cannot be listened on.
    pub fn start(
        settings: &operator::Link,
        number: u32,
        config: &Config,
        spoken_to: &BTreeSet<u32>,
    ) -> Result<Rc<Link>, String> {
        let me = settings
            .members
            .iter()
            .find(|member| member.number == number);
        let me = me.ok_or_else(|| format!("[link] has no member {number}"))?;
        let tls = match settings.plain {
            true => None,
            false => Some(Tls::read(Path::new(&settings.keys), &config.name)?),
        };
        let listener = listen(me.address)
            .map_err(|e| format!("[link] cannot listen on {}: {e}", me.address))?;
        let started = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let life = Incarnation {
            number: u64::try_from(started.as_millis()).unwrap_or(u64::MAX),
            nonce: u64::from_le_bytes(random()?),
        };
        let core = Peering::new(
            Settings {
                cluster: settings.cluster.clone(),
                local_name: me.name.clone(),
                incarnation: life,
                epoch: MembershipEpoch(settings.epoch),
                peers: settings
                    .members
                    .iter()
                    .filter(|m| spoken_to.contains(&m.number))
                    .map(|m| m.name.clone())
                    .collect(),
                heartbeat_interval: settings.heartbeat,
                suspect_after: settings.suspect_after,
                dead_after: settings.dead_after,
                handshake_timeout: settings.dead_after,
                reconnect_backoff: Backoff {
                    initial: settings.heartbeat / 2,
                    max: settings.dead_after / 2,
                },
                max_unacknowledged_bytes: WINDOW,
                max_frame_bytes: LONGEST,
                max_pending_handshakes: TAKING,
            },
            Timestamp::from_millis(boot_clock()),
        );
        let (inputs, received) = mpsc::channel(INPUTS);
        let link = Rc::new(Link {
            core: RefCell::new(core),
            tls,
            members: settings
                .members
                .iter()
                .map(|member| (member.name.clone(), member.clone()))
                .collect(),
            names: settings
                .members
                .iter()
                .map(|member| (member.number, member.name.clone()))
                .collect(),
            writers: RefCell::default(),
            next: std::cell::Cell::new(0),
            inputs,
            users: RefCell::default(),
            hello_within: settings.dead_after,
            life,
        });
        spawn_local(link.clone().accept(listener));
        spawn_local(link.clone().run(received, settings.heartbeat / 2));
        Ok(link)
    }

    /// This limiter's own life.
    pub fn life(&self) -> Incarnation {
        self.life
    }

    /// What is told of this kind from now on, and what changes about members.
    pub fn subscribe(&self, kind: u16) -> mpsc::UnboundedReceiver<News> {
        let (user, news) = mpsc::unbounded_channel();
        self.users.borrow_mut().insert(kind, user);
        news
    }

    /// Tells a member something; if it cannot be told, the news say soon that it is not reached, or nothing is lost
    /// that was not lost before.
    pub fn tell(&self, member: u32, kind: u16, body: Vec<u8>) {
        if let Some(name) = self.names.get(&member) {
            self.feed(Event::Send {
                peer: name.clone(),
                kind,
                body,
            });
        }
    }

    async fn run(self: Rc<Self>, mut received: mpsc::Receiver<Input>, tick: Duration) {
        let mut ticks = interval(tick);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.feed(Event::Tick),
                input = received.recv() => match input {
                    Some(input) => self.take(input),
                    None => return,
                },
            }
        }
    }

    fn take(self: &Rc<Self>, input: Input) {
        match input {
            Input::Dialed { to, streams: None } => self.feed(Event::ConnectFailed { peer: to }),
            Input::Dialed {
                to,
                streams: Some(streams),
            } => {
                let connection = self.open(streams);
                self.feed(Event::Connected {
                    connection,
                    peer: to,
                });
            }
            Input::Accepted { streams, certified } => {
                let connection = self.open(streams);
                self.feed(Event::Accepted {
                    connection,
                    certificate_names: certified,
                });
            }
            Input::Bytes { connection, bytes } => self.feed(Event::Received { connection, bytes }),
            Input::Closed { connection } => {
                self.writers.borrow_mut().remove(&connection);
                self.feed(Event::Closed { connection });
            }
        }
    }

    /// Gives a connection its name, and moves its bytes both ways until either side ends it.
    fn open(self: &Rc<Self>, (mut reader, mut writer): Streams) -> ConnectionId {
        let connection = ConnectionId(self.next.replace(self.next.get() + 1));
        let (write, mut written) = mpsc::unbounded_channel::<Vec<u8>>();
        self.writers.borrow_mut().insert(connection, write);
        let inputs = self.inputs.clone();
        spawn_local(async move {
            let writing = async {
                while let Some(bytes) = written.recv().await {
                    if writer.write_all(&bytes).await.is_err() || writer.flush().await.is_err() {
                        return;
                    }
                }
                _ = writer.shutdown().await;
            };
            let reading = async {
                let mut bytes = vec![0; READ];
                while let Ok(n @ 1..) = reader.read(&mut bytes).await {
                    let input = Input::Bytes {
                        connection,
                        bytes: bytes[..n].to_vec(),
                    };
                    if inputs.send(input).await.is_err() {
                        return;
                    }
                }
            };
            // Either end is the connection's.
            tokio::select! {
                () = writing => {}
                () = reading => {}
            }
            _ = inputs.send(Input::Closed { connection }).await;
        });
        connection
    }

    fn feed(&self, event: Event) {
        let mut actions = Vec::new();
        self.core.borrow_mut().handle_event(
            Timestamp::from_millis(boot_clock()),
            event,
            &mut actions,
        );
        for action in actions {
            match action {
                Action::Connect { peer } => self.dial(peer),
                Action::Write { connection, bytes } => {
                    if let Some(writer) = self.writers.borrow().get(&connection) {
                        // One that has just ended is heard of.
                        _ = writer.send(bytes);
                    }
                }
                Action::Close { connection, reason } => {
                    if !matches!(reason, CloseReason::Replaced | CloseReason::TimedOut) {
                        eprintln!("emberpin: link: a connection ended: {reason}");
                    }
                    self.writers.borrow_mut().remove(&connection);
                }
                // Of a kind that nobody here uses, a later version has it.
                Action::Deliver {
                    peer, kind, body, ..
                } => {
                    if let (Some(member), Some(user)) =
                        (self.members.get(&peer), self.users.borrow().get(&kind))
                    {
                        _ = user.send(News::Told {
                            from: member.number,
                            body,
                        });
                    }
                }
                Action::PeerChanged { peer, state } => {
                    if let Some(member) = self.members.get(&peer) {
                        self.tell_all(&News::Changed {
                            member: member.number,
                            state,
                        });
                    }
                }
                Action::Superseded { by } => {
                    eprintln!(
                        "emberpin: link: a later life of this instance is there, number {by}"
                    );
                    self.tell_all(&News::Superseded);
                }
                // Of who is away the news tell.
                Action::SendFailed {
                    error: SendError::NotConnected | SendError::UnknownPeer,
                    ..
                } => {}
                Action::SendFailed { peer, error, .. } => {
                    eprintln!("emberpin: link: not told to {peer}: {error}");
                }
            }
        }
    }

    fn tell_all(&self, news: &News) {
        for user in self.users.borrow().values() {
            _ = user.send(news.clone());
        }
    }

    fn dial(&self, to: String) {
        let Some(address) = self.members.get(&to).map(|member| member.address) else {
            return;
        };
        let (inputs, tls, within) = (self.inputs.clone(), self.tls.clone(), self.hello_within);
        spawn_local(async move {
            let dialing = async {
                let stream = TcpStream::connect(address).await.ok()?;
                _ = stream.set_nodelay(true);
                match tls {
                    Some(tls) => tls.dial(&to, stream).await,
                    None => Some(split(stream)),
                }
            };
            let streams = timeout(within, dialing).await.ok().flatten();
            _ = inputs.send(Input::Dialed { to, streams }).await;
        });
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        let places = Arc::new(tokio::sync::Semaphore::new(TAKING));
        loop {
            let Ok(place) = places.clone().acquire_owned().await else {
                return;
            };
            let Ok((stream, _)) = listener.accept().await else {
                // Out of descriptors, say: those that there are go on.
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            _ = stream.set_nodelay(true);
            let (inputs, tls, within) = (self.inputs.clone(), self.tls.clone(), self.hello_within);
            spawn_local(async move {
                let taken = match tls {
                    Some(tls) => match timeout(within, tls.take(stream)).await {
                        Ok(Some((streams, certified))) => Some((streams, Some(certified))),
                        Ok(None) | Err(_) => None,
                    },
                    None => Some((split(stream), None)),
                };
                drop(place);
                if let Some((streams, certified)) = taken {
                    _ = inputs.send(Input::Accepted { streams, certified }).await;
                }
            });
        }
    }
}

fn split(stream: TcpStream) -> Streams {
    let (reader, writer) = stream.into_split();
    (Box::new(reader), Box::new(writer))
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    // A killed life before leaves connections in TIME_WAIT.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(128)
}
