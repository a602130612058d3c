//! Runs the link between limiters: opens and accepts connections, reads and writes them, and passes each received
//! message to the subscriber of its kind. `emberpin_peering` encodes the messages and determines each peer's state.

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

/// Size of the read buffer of one connection.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Maximum number of accepted connections whose handshake is not finished.
const MAX_PENDING_HANDSHAKES: usize = 64;
/// Maximum number of queued inputs. While the queue is full, connections are not read, which applies backpressure to
/// the peers.
const MAX_QUEUED_INPUTS: usize = 256;
/// Maximum size of one message: enough for the longest answer with its key.
pub const MAX_MESSAGE_BYTES: usize = 256 * 1024;
/// Maximum number of bytes sent to one member that it has not acknowledged.
const MAX_UNACKNOWLEDGED_BYTES: usize = 4 << 20;

/// The kind of messages about idempotency keys.
pub const KEY_MESSAGES: u16 = 1;
/// The kind of messages about endpoint lists.
pub const LIST_MESSAGES: u16 = 2;
/// The kind of messages about requests in flight, which another limiter may take over.
pub const TAKEOVER_MESSAGES: u16 = 3;

/// An event that the link reports to its subscribers.
#[derive(Clone, Debug)]
pub enum LinkEvent {
    /// The member with this number sent a message of the subscribed kind.
    MessageReceived { from: u32, body: Vec<u8> },
    /// The state of the member with this number has changed.
    PeerChanged { member: u32, state: PeerState },
    /// A later incarnation of this instance exists: this one must stop.
    Superseded,
}

/// An event of a connection, for the task that runs the link.
enum Input {
    Dialed {
        to: String,
        streams: Option<Streams>,
    },
    Accepted {
        streams: Streams,
        dns_names: Option<Vec<String>>,
    },
    Bytes {
        connection: ConnectionId,
        bytes: Vec<u8>,
    },
    Closed {
        connection: ConnectionId,
    },
}

/// The connections of this limiter to the other members, and the subscribers of their messages.
pub struct Link {
    peering: RefCell<Peering>,
    tls: Option<Tls>,
    /// All members by name.
    members: BTreeMap<String, Member>,
    /// The names of all members by number.
    names: BTreeMap<u32, String>,
    /// Queues of bytes to be written to each connection.
    writers: RefCell<HashMap<ConnectionId, mpsc::UnboundedSender<Vec<u8>>>>,
    next_connection: std::cell::Cell<u64>,
    inputs: mpsc::Sender<Input>,
    /// The subscriber of each kind of message.
    subscribers: RefCell<BTreeMap<u16, mpsc::UnboundedSender<LinkEvent>>>,
    handshake_time_limit: Duration,
    own_incarnation: Incarnation,
}

impl Link {
    /// Starts the link of member `number`, which listens at this member's own address and connects to the members in
    /// `link_peers`.
    ///
    /// # Errors
    ///
    /// One line, if the keys are unusable or the address cannot be listened on.
    pub fn start(
        settings: &operator::Link,
        number: u32,
        config: &Config,
        link_peers: &BTreeSet<u32>,
    ) -> Result<Rc<Link>, String> {
        let local = settings
            .members
            .iter()
            .find(|member| member.number == number);
        let local = local.ok_or_else(|| format!("[link] has no member {number}"))?;
        let tls = match settings.plain {
            true => None,
            false => Some(Tls::read(Path::new(&settings.keys), &config.name)?),
        };
        let listener = listen(local.address)
            .map_err(|e| format!("[link] cannot listen on {}: {e}", local.address))?;
        let started = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let own_incarnation = Incarnation {
            number: u64::try_from(started.as_millis()).unwrap_or(u64::MAX),
            nonce: u64::from_le_bytes(random()?),
        };
        let peering = Peering::new(
            Settings {
                cluster: settings.cluster.clone(),
                local_name: local.name.clone(),
                incarnation: own_incarnation,
                epoch: MembershipEpoch(settings.epoch),
                peers: settings
                    .members
                    .iter()
                    .filter(|member| link_peers.contains(&member.number))
                    .map(|member| member.name.clone())
                    .collect(),
                heartbeat_interval: settings.heartbeat,
                suspect_after: settings.suspect_after,
                dead_after: settings.dead_after,
                handshake_timeout: settings.dead_after,
                reconnect_backoff: Backoff {
                    initial: settings.heartbeat / 2,
                    max: settings.dead_after / 2,
                },
                max_unacknowledged_bytes: MAX_UNACKNOWLEDGED_BYTES,
                max_frame_bytes: MAX_MESSAGE_BYTES,
                max_pending_handshakes: MAX_PENDING_HANDSHAKES,
            },
            Timestamp::from_millis(boot_clock()),
        );
        let (inputs, received) = mpsc::channel(MAX_QUEUED_INPUTS);
        let link = Rc::new(Link {
            peering: RefCell::new(peering),
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
            next_connection: std::cell::Cell::new(0),
            inputs,
            subscribers: RefCell::default(),
            handshake_time_limit: settings.dead_after,
            own_incarnation,
        });
        spawn_local(link.clone().accept(listener));
        spawn_local(link.clone().run(received, settings.heartbeat / 2));
        Ok(link)
    }

    /// This limiter's own incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.own_incarnation
    }

    /// Receives messages of this kind and changes of members' states from now on. Replaces an earlier subscriber of the
    /// same kind.
    pub fn subscribe(&self, kind: u16) -> mpsc::UnboundedReceiver<LinkEvent> {
        let (subscriber, events) = mpsc::unbounded_channel();
        self.subscribers.borrow_mut().insert(kind, subscriber);
        events
    }

    /// Sends a message to a member, without a guarantee of delivery. Subscribers learn from [`LinkEvent::PeerChanged`]
    /// which members are unreachable.
    pub fn send(&self, member: u32, kind: u16, body: Vec<u8>) {
        if let Some(name) = self.names.get(&member) {
            self.apply(Event::Send {
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
                _ = ticks.tick() => self.apply(Event::Tick),
                input = received.recv() => match input {
                    Some(input) => self.on_input(input),
                    None => return,
                },
            }
        }
    }

    fn on_input(self: &Rc<Self>, input: Input) {
        match input {
            Input::Dialed { to, streams: None } => self.apply(Event::ConnectFailed { peer: to }),
            Input::Dialed {
                to,
                streams: Some(streams),
            } => {
                let connection = self.open(streams);
                self.apply(Event::Connected {
                    connection,
                    peer: to,
                });
            }
            Input::Accepted { streams, dns_names } => {
                let connection = self.open(streams);
                self.apply(Event::Accepted {
                    connection,
                    certificate_names: dns_names,
                });
            }
            Input::Bytes { connection, bytes } => self.apply(Event::Received { connection, bytes }),
            Input::Closed { connection } => {
                self.writers.borrow_mut().remove(&connection);
                self.apply(Event::Closed { connection });
            }
        }
    }

    /// Assigns an id to a connection, and reads and writes it in a task until either direction ends.
    fn open(self: &Rc<Self>, (mut reader, mut writer): Streams) -> ConnectionId {
        let connection = ConnectionId(self.next_connection.replace(self.next_connection.get() + 1));
        let (writer_queue, mut queued) = mpsc::unbounded_channel::<Vec<u8>>();
        self.writers.borrow_mut().insert(connection, writer_queue);
        let inputs = self.inputs.clone();
        spawn_local(async move {
            let writing = async {
                while let Some(bytes) = queued.recv().await {
                    if writer.write_all(&bytes).await.is_err() || writer.flush().await.is_err() {
                        return;
                    }
                }
                _ = writer.shutdown().await;
            };
            let reading = async {
                let mut bytes = vec![0; READ_BUFFER_BYTES];
                while let Ok(length @ 1..) = reader.read(&mut bytes).await {
                    let input = Input::Bytes {
                        connection,
                        bytes: bytes[..length].to_vec(),
                    };
                    if inputs.send(input).await.is_err() {
                        return;
                    }
                }
            };
            // The connection ends as soon as either direction does.
            tokio::select! {
                () = writing => {}
                () = reading => {}
            }
            _ = inputs.send(Input::Closed { connection }).await;
        });
        connection
    }

    /// Passes an event to the peering state machine and carries out its actions.
    fn apply(&self, event: Event) {
        let mut actions = Vec::new();
        self.peering.borrow_mut().handle_event(
            Timestamp::from_millis(boot_clock()),
            event,
            &mut actions,
        );
        for action in actions {
            match action {
                Action::Connect { peer } => self.connect(peer),
                Action::Write { connection, bytes } => {
                    if let Some(writer) = self.writers.borrow().get(&connection) {
                        // For a connection that has just ended, `Input::Closed` follows.
                        _ = writer.send(bytes);
                    }
                }
                Action::Close { connection, reason } => {
                    if !matches!(reason, CloseReason::Replaced | CloseReason::TimedOut) {
                        eprintln!("emberpin: link: connection closed: {reason}");
                    }
                    self.writers.borrow_mut().remove(&connection);
                }
                // Messages of a kind without a subscriber are ignored: peers of a later version may send new kinds.
                Action::Deliver {
                    peer, kind, body, ..
                } => {
                    if let (Some(member), Some(subscriber)) = (
                        self.members.get(&peer),
                        self.subscribers.borrow().get(&kind),
                    ) {
                        _ = subscriber.send(LinkEvent::MessageReceived {
                            from: member.number,
                            body,
                        });
                    }
                }
                Action::PeerChanged { peer, state } => {
                    if let Some(member) = self.members.get(&peer) {
                        self.notify_all(&LinkEvent::PeerChanged {
                            member: member.number,
                            state,
                        });
                    }
                }
                Action::Superseded { by } => {
                    eprintln!(
                        "emberpin: link: a later incarnation of this instance exists, number {by}"
                    );
                    self.notify_all(&LinkEvent::Superseded);
                }
                // Subscribers learn from `LinkEvent::PeerChanged` which members are unreachable.
                Action::SendFailed {
                    error: SendError::NotConnected | SendError::UnknownPeer,
                    ..
                } => {}
                Action::SendFailed { peer, error, .. } => {
                    eprintln!("emberpin: link: message to {peer} not sent: {error}");
                }
            }
        }
    }

    fn notify_all(&self, event: &LinkEvent) {
        for subscriber in self.subscribers.borrow().values() {
            _ = subscriber.send(event.clone());
        }
    }

    fn connect(&self, to: String) {
        let Some(address) = self.members.get(&to).map(|member| member.address) else {
            return;
        };
        let (inputs, tls, time_limit) = (
            self.inputs.clone(),
            self.tls.clone(),
            self.handshake_time_limit,
        );
        spawn_local(async move {
            let dialing = async {
                let stream = TcpStream::connect(address).await.ok()?;
                _ = stream.set_nodelay(true);
                match tls {
                    Some(tls) => tls.connect(&to, stream).await,
                    None => Some(split(stream)),
                }
            };
            let streams = timeout(time_limit, dialing).await.ok().flatten();
            _ = inputs.send(Input::Dialed { to, streams }).await;
        });
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        let permits = Arc::new(tokio::sync::Semaphore::new(MAX_PENDING_HANDSHAKES));
        loop {
            let Ok(permit) = permits.clone().acquire_owned().await else {
                return;
            };
            let Ok((stream, _)) = listener.accept().await else {
                // For example, the process is out of descriptors; existing connections continue.
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            _ = stream.set_nodelay(true);
            let (inputs, tls, time_limit) = (
                self.inputs.clone(),
                self.tls.clone(),
                self.handshake_time_limit,
            );
            spawn_local(async move {
                let accepted = match tls {
                    Some(tls) => match timeout(time_limit, tls.accept(stream)).await {
                        Ok(Some((streams, dns_names))) => Some((streams, Some(dns_names))),
                        Ok(None) | Err(_) => None,
                    },
                    None => Some((split(stream), None)),
                };
                drop(permit);
                if let Some((streams, dns_names)) = accepted {
                    _ = inputs.send(Input::Accepted { streams, dns_names }).await;
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
    // Connections of a killed predecessor in TIME_WAIT would otherwise keep the address in use.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(128)
}
