//! A network in memory between hosts that each run a [`Peering`]: it partitions hosts in one direction or both, pauses
//! and kills them, and lets a test send messages on a connection that no host opened.
#![allow(dead_code, missing_docs, reason = "each test file uses a part of it")]

use emberpin_peering::{
    encode_frame, Action, Backoff, CloseReason, ConnectionId, Event, Incarnation, Liveness,
    MembershipEpoch, Message, PeerState, Peering, SendError, Settings, Timestamp,
    SUPPORTED_VERSIONS,
};
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

const LATENCY: Duration = Duration::from_millis(1);
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Bound of the accepted connections whose handshake is not complete.
pub const MAX_PENDING_HANDSHAKES: usize = 8;

pub const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The name of a host, by its index.
pub fn name(host: usize) -> String {
    format!("n{host}")
}

/// The incarnation that each host starts with.
pub fn first_incarnation(host: usize) -> Incarnation {
    Incarnation {
        number: 100,
        nonce: 1000 + host as u64,
    }
}

fn settings(host: usize, hosts: usize, incarnation: Incarnation) -> Settings {
    Settings {
        cluster: "norr".into(),
        local_name: name(host),
        incarnation,
        epoch: MembershipEpoch(1),
        peers: (0..hosts).filter(|peer| *peer != host).map(name).collect(),
        heartbeat_interval: millis(100),
        suspect_after: millis(350),
        dead_after: millis(1500),
        handshake_timeout: millis(500),
        reconnect_backoff: Backoff {
            initial: millis(50),
            max: millis(400),
        },
        max_unacknowledged_bytes: 4000,
        max_frame_bytes: 1000,
        max_pending_handshakes: MAX_PENDING_HANDSHAKES,
    }
}

/// One direction of a connection: bytes in flight, and whether the writer has closed it.
#[derive(Clone, Default)]
struct Direction {
    bytes: VecDeque<(Duration, Vec<u8>)>,
    closed: bool,
}

/// The end of a connection at one host.
#[derive(Clone, Copy)]
struct End {
    host: usize,
    connection: ConnectionId,
}

/// A connection between two hosts.
struct Link {
    ends: [End; 2],
    /// `directions[0]` leads from the first end to the second.
    directions: [Direction; 2],
    open: [bool; 2],
}

/// A message that a host received.
pub struct Delivery {
    pub sender: String,
    pub sender_incarnation: Incarnation,
    pub body: Vec<u8>,
    /// Nonce of the receiving host's incarnation at the time.
    pub recipient_nonce: u64,
}

pub struct Host {
    /// `None` while the host's process is not running.
    pub peering: Option<Peering>,
    pub paused: bool,
    pub incarnation: Incarnation,
    pub delivered: Vec<Delivery>,
    pub send_errors: Vec<SendError>,
    pub superseded: bool,
    pub close_reasons: Vec<CloseReason>,
    /// How far this host's clock is ahead of the network's, in milliseconds.
    pub clock_offset_millis: i64,
}

pub struct Network {
    now: Duration,
    pub hosts: Vec<Host>,
    links: Vec<Link>,
    last_connection_id: u64,
    /// No bytes arrive at the second host of a pair from the first.
    pub partitioned: BTreeSet<(usize, usize)>,
}

impl Network {
    /// Hosts that all have each other as peers, with no connections yet.
    pub fn new(hosts: usize) -> Network {
        let mut network = Network {
            now: millis(1000),
            hosts: Vec::new(),
            links: Vec::new(),
            last_connection_id: 0,
            partitioned: BTreeSet::new(),
        };
        for host in 0..hosts {
            let incarnation = first_incarnation(host);
            let start = Timestamp::ZERO + network.now;
            network.hosts.push(Host {
                peering: Some(Peering::new(settings(host, hosts, incarnation), start)),
                paused: false,
                incarnation,
                delivered: Vec::new(),
                send_errors: Vec::new(),
                superseded: false,
                close_reasons: Vec::new(),
                clock_offset_millis: 0,
            });
        }
        network
    }

    /// Hosts that have all connected to each other.
    pub fn connected(hosts: usize) -> Network {
        let mut network = Network::new(hosts);
        network.run(millis(300));
        network
    }

    fn clock_of(&self, host: usize) -> Timestamp {
        let offset = self.hosts[host].clock_offset_millis;
        let now = self.now.as_secs_f64() * 1000.0;
        Timestamp::from_millis(now + offset as f64)
    }

    fn next_connection_id(&mut self) -> ConnectionId {
        self.last_connection_id += 1;
        ConnectionId(self.last_connection_id)
    }

    /// Passes an event to a host, and carries out its actions.
    pub fn handle_event(&mut self, host: usize, event: Event) {
        let mut actions = Vec::new();
        let now = self.clock_of(host);
        let Some(peering) = self.hosts[host].peering.as_mut() else {
            return;
        };
        peering.handle_event(now, event, &mut actions);
        for action in actions {
            self.carry_out(host, action);
        }
    }

    fn carry_out(&mut self, host: usize, action: Action) {
        match action {
            Action::Connect { peer } => self.connect(host, peer),
            Action::Write { connection, bytes } => {
                let arrival = self.now + LATENCY;
                if let Some((link, end)) = self.link(connection) {
                    link.directions[end].bytes.push_back((arrival, bytes));
                }
            }
            Action::Close { connection, reason } => {
                self.hosts[host].close_reasons.push(reason);
                if let Some((link, end)) = self.link(connection) {
                    link.directions[end].closed = true;
                    link.open[end] = false;
                }
            }
            Action::Deliver {
                peer,
                incarnation,
                body,
                ..
            } => {
                let recipient_nonce = self.hosts[host].incarnation.nonce;
                self.hosts[host].delivered.push(Delivery {
                    sender: peer,
                    sender_incarnation: incarnation,
                    body,
                    recipient_nonce,
                });
            }
            Action::SendFailed { error, .. } => self.hosts[host].send_errors.push(error),
            Action::Superseded { .. } => self.hosts[host].superseded = true,
            Action::PeerChanged { .. } => {}
        }
    }

    fn connect(&mut self, host: usize, peer: String) {
        let other: usize = peer[1..].parse().expect("a host name ends in its index");
        let unreachable = self.hosts[other].peering.is_none()
            || self.partitioned.contains(&(host, other))
            || self.partitioned.contains(&(other, host));
        if unreachable {
            return self.handle_event(host, Event::ConnectFailed { peer });
        }
        let local = self.next_connection_id();
        let remote = self.next_connection_id();
        self.links.push(Link {
            ends: [
                End {
                    host,
                    connection: local,
                },
                End {
                    host: other,
                    connection: remote,
                },
            ],
            directions: [Direction::default(), Direction::default()],
            open: [true, true],
        });
        let accepted = Event::Accepted {
            connection: remote,
            certificate_names: Some(vec![name(host)]),
        };
        self.handle_event(other, accepted);
        let connected = Event::Connected {
            connection: local,
            peer,
        };
        self.handle_event(host, connected);
    }

    /// The link of a connection, and the index of the end that the id belongs to.
    fn link(&mut self, connection: ConnectionId) -> Option<(&mut Link, usize)> {
        self.links.iter_mut().find_map(|link| {
            let end = link
                .ends
                .iter()
                .position(|end| end.connection == connection)?;
            Some((link, end))
        })
    }

    /// Advances time by this duration. Bytes in flight arrive unless a partition or a paused host delays them.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += TICK_INTERVAL;
            for host in 0..self.hosts.len() {
                if !self.hosts[host].paused {
                    self.handle_event(host, Event::Tick);
                }
            }
            while let Some((host, event)) = self.next_arrival() {
                self.handle_event(host, event);
            }
            self.links.retain(|link| link.open.iter().any(|open| *open));
        }
    }

    fn next_arrival(&mut self) -> Option<(usize, Event)> {
        let now = self.now;
        let partitioned = &self.partitioned;
        let paused: Vec<bool> = self.hosts.iter().map(|host| host.paused).collect();
        for link in &mut self.links {
            for sender in 0..2 {
                let receiver = 1 - sender;
                let from = link.ends[sender].host;
                let End {
                    host: to,
                    connection,
                } = link.ends[receiver];
                if partitioned.contains(&(from, to)) || paused[to] || !link.open[receiver] {
                    continue;
                }
                let direction = &mut link.directions[sender];
                if direction
                    .bytes
                    .front()
                    .is_some_and(|(arrival, _)| *arrival <= now)
                {
                    let (_, bytes) = direction.bytes.pop_front()?;
                    return Some((to, Event::Received { connection, bytes }));
                }
                if direction.closed && direction.bytes.is_empty() {
                    link.open[receiver] = false;
                    return Some((to, Event::Closed { connection }));
                }
            }
        }
        None
    }

    /// Partitions two hosts in both directions.
    pub fn partition(&mut self, one: usize, other: usize) {
        self.partitioned.extend([(one, other), (other, one)]);
    }

    /// Ends a host's process; its connections close.
    pub fn kill(&mut self, host: usize) {
        self.hosts[host].peering = None;
        for link in &mut self.links {
            for end in 0..2 {
                if link.ends[end].host == host {
                    link.directions[end].closed = true;
                    link.open[end] = false;
                }
            }
        }
    }

    /// Starts a host's process in this incarnation.
    pub fn start(&mut self, host: usize, incarnation: Incarnation) {
        let settings = settings(host, self.hosts.len(), incarnation);
        let peering = Peering::new(settings, self.clock_of(host));
        self.hosts[host].incarnation = incarnation;
        self.hosts[host].peering = Some(peering);
    }

    pub fn send(&mut self, from: usize, to: usize, text: &str) {
        self.handle_event(
            from,
            Event::Send {
                peer: name(to),
                kind: 1,
                body: text.into(),
            },
        );
    }

    pub fn change_membership(&mut self, host: usize, epoch: u64, peers: &[usize]) {
        self.handle_event(
            host,
            Event::MembershipChanged {
                epoch: MembershipEpoch(epoch),
                peers: peers.iter().copied().map(name).collect(),
            },
        );
    }

    /// The state of a peer as a host sees it.
    pub fn state(&self, host: usize, peer: usize) -> PeerState {
        let peering = self.hosts[host].peering.as_ref().expect("running");
        let peer = name(peer);
        let mut peers = peering.peers();
        *peers.find(|(name, _)| *name == peer).expect("a peer").1
    }

    /// The liveness of a peer as a host sees it, and whether it is reachable.
    pub fn health(&self, host: usize, peer: usize) -> (Liveness, bool) {
        let state = self.state(host, peer);
        (state.liveness, state.reachable)
    }

    /// How many peers a host has.
    pub fn peer_count(&self, host: usize) -> usize {
        let peering = self.hosts[host].peering.as_ref().expect("running");
        peering.peers().count()
    }

    /// Asserts that all running hosts see each other alive and reachable, in their current incarnations.
    #[track_caller]
    pub fn assert_all_connected(&self) {
        let running: Vec<usize> = (0..self.hosts.len())
            .filter(|host| self.hosts[*host].peering.is_some())
            .collect();
        for host in &running {
            for peer in running.iter().filter(|peer| *peer != host) {
                assert_eq!(
                    self.health(*host, *peer),
                    (Liveness::Alive, true),
                    "{peer} as seen by {host}"
                );
                let incarnation = self.state(*host, *peer).incarnation;
                assert_eq!(
                    incarnation.map(|incarnation| incarnation.nonce),
                    Some(self.hosts[*peer].incarnation.nonce)
                );
            }
        }
    }

    /// The bodies that a host received, as text.
    pub fn bodies(&self, host: usize) -> Vec<String> {
        self.hosts[host]
            .delivered
            .iter()
            .map(|delivery| String::from_utf8_lossy(&delivery.body).into_owned())
            .collect()
    }

    /// Opens a connection to host 0 on which the test sends the messages.
    pub fn accept_raw(&mut self, certificate_names: Option<Vec<String>>) -> ConnectionId {
        let connection = self.next_connection_id();
        self.handle_event(
            0,
            Event::Accepted {
                connection,
                certificate_names,
            },
        );
        connection
    }

    /// Passes bytes to host 0 on a connection from [`accept_raw`](Self::accept_raw).
    pub fn receive_bytes(&mut self, connection: ConnectionId, bytes: &[u8]) {
        let bytes = bytes.to_vec();
        self.handle_event(0, Event::Received { connection, bytes });
    }

    /// Passes a message to host 0 on a connection from [`accept_raw`](Self::accept_raw).
    pub fn receive_message(&mut self, connection: ConnectionId, message: &Message) {
        self.receive_bytes(connection, &encode_frame(&message.encode()));
    }
}

/// A Hello to host 0 that is accepted if the sender is `n1`.
pub fn hello(sender: &str) -> Message {
    hello_of_incarnation(
        sender,
        Incarnation {
            number: 100,
            nonce: 1,
        },
    )
}

pub fn hello_of_incarnation(sender: &str, incarnation: Incarnation) -> Message {
    Message::Hello {
        versions: SUPPORTED_VERSIONS,
        cluster: "norr".into(),
        sender: sender.into(),
        recipient: name(0),
        incarnation,
        epoch: MembershipEpoch(1),
    }
}
