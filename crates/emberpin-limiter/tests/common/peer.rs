//! A peer of a limiter, simulated by the test: runs the link's protocol on plain sockets, and passes received messages
//! to the test.
#![allow(dead_code, missing_docs, reason = "each test file uses a part of it")]

use emberpin_peering::{
    Action, Backoff, ConnectionId, Event, Incarnation, MembershipEpoch, Peering, Settings,
    Timestamp,
};
use std::collections::{HashMap, VecDeque};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::time::{Duration, Instant};

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const LIMITER: &str = "n0";

/// A message that the limiter sent.
#[derive(Clone, Debug)]
pub struct ReceivedMessage {
    pub kind: u16,
    pub body: Vec<u8>,
    /// The limiter's incarnation that sent it.
    pub sender: Incarnation,
}

enum Input {
    Accepted(TcpStream),
    Bytes(ConnectionId, Vec<u8>),
    Closed(ConnectionId),
    Send(u16, Vec<u8>),
    Stop,
}

pub struct Peer {
    pub incarnation: Incarnation,
    inputs: Sender<Input>,
    received_messages: Receiver<ReceivedMessage>,
    became_reachable: Receiver<Incarnation>,
    limiter_incarnation: std::cell::OnceCell<Incarnation>,
}

impl Peer {
    /// Starts a peer of this name that listens on `listener`, and connects to the limiter at `limiter`.
    pub fn start(name: &str, listener: TcpListener, limiter: SocketAddr) -> Peer {
        let incarnation = Incarnation {
            number: 1_700_000_000_123,
            nonce: 7,
        };
        let (inputs, received) = channel();
        let (messages, received_messages) = channel();
        let (reachable, became_reachable) = channel();
        let accepted = inputs.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepted.send(Input::Accepted(stream)).is_err() {
                    return;
                }
            }
        });
        let link = Peering::new(settings(name, incarnation), Timestamp::ZERO);
        let streams = HashMap::new();
        let host = Host {
            link,
            limiter,
            streams,
            last_connection: 0,
            inputs: inputs.clone(),
            messages,
            reachable,
        };
        std::thread::spawn(move || host.run(&received));
        Peer {
            incarnation,
            inputs,
            received_messages,
            became_reachable,
            limiter_incarnation: std::cell::OnceCell::new(),
        }
    }

    /// Returns once messages can be sent to the limiter.
    pub fn wait_until_reachable(&self) {
        let incarnation = self
            .became_reachable
            .recv_timeout(WAIT_TIMEOUT)
            .expect("the limiter is reached");
        self.limiter_incarnation.set(incarnation).expect("once");
    }

    /// The limiter's incarnation when it became reachable.
    pub fn limiter_incarnation(&self) -> Incarnation {
        *self.limiter_incarnation.get().expect("reached")
    }

    /// Sends the limiter a message of this kind.
    pub fn send(&self, kind: u16, body: Vec<u8>) {
        self.inputs
            .send(Input::Send(kind, body))
            .expect("the peer's thread runs");
    }

    /// Waits for the limiter's next message.
    pub fn next(&self) -> ReceivedMessage {
        self.received_messages
            .recv_timeout(WAIT_TIMEOUT)
            .expect("a message of the limiter")
    }

    /// The limiter's next message, if it arrives within 5 ms.
    pub fn poll(&self) -> Option<ReceivedMessage> {
        self.received_messages
            .recv_timeout(Duration::from_millis(5))
            .ok()
    }

    /// Stops the peer, which closes its connections.
    pub fn stop(&mut self) {
        self.inputs
            .send(Input::Stop)
            .expect("the peer's thread runs");
    }
}

impl Drop for Peer {
    fn drop(&mut self) {
        _ = self.inputs.send(Input::Stop);
    }
}

fn settings(name: &str, own_incarnation: Incarnation) -> Settings {
    Settings {
        cluster: "norr".into(),
        local_name: name.into(),
        incarnation: own_incarnation,
        epoch: MembershipEpoch(1),
        peers: vec![LIMITER.into()],
        heartbeat_interval: Duration::from_millis(20),
        suspect_after: Duration::from_millis(400),
        dead_after: Duration::from_millis(2_000),
        handshake_timeout: Duration::from_millis(2_000),
        reconnect_backoff: Backoff {
            initial: Duration::from_millis(10),
            max: Duration::from_millis(1_000),
        },
        max_unacknowledged_bytes: 16 << 20,
        max_frame_bytes: 4 << 20,
        max_pending_handshakes: 64,
    }
}

/// The state of the peer's thread.
struct Host {
    link: Peering,
    limiter: SocketAddr,
    streams: HashMap<ConnectionId, TcpStream>,
    /// Number of the last connection.
    last_connection: u64,
    inputs: Sender<Input>,
    messages: Sender<ReceivedMessage>,
    reachable: Sender<Incarnation>,
}

impl Host {
    fn run(mut self, received: &Receiver<Input>) {
        let began = Instant::now();
        loop {
            let event = match received.recv_timeout(Duration::from_millis(5)) {
                Ok(Input::Accepted(stream)) => Event::Accepted {
                    connection: self.open(stream),
                    certificate_names: None,
                },
                Ok(Input::Bytes(connection, bytes)) => Event::Received { connection, bytes },
                Ok(Input::Closed(connection)) => Event::Closed { connection },
                Ok(Input::Send(kind, body)) => Event::Send {
                    peer: LIMITER.into(),
                    kind,
                    body,
                },
                Ok(Input::Stop) | Err(RecvTimeoutError::Disconnected) => return self.close_all(),
                Err(RecvTimeoutError::Timeout) => Event::Tick,
            };
            self.handle(began, event);
        }
    }

    fn handle(&mut self, began: Instant, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            self.link
                .handle_event(Timestamp::ZERO + began.elapsed(), event, &mut actions);
            events.extend(
                actions
                    .into_iter()
                    .filter_map(|action| self.carry_out(action)),
            );
        }
    }

    /// Carries out an action of the link. Returns the event that it causes at once, if any.
    fn carry_out(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Connect { peer } => {
                return Some(match TcpStream::connect(self.limiter) {
                    Ok(stream) => Event::Connected {
                        connection: self.open(stream),
                        peer,
                    },
                    Err(_) => Event::ConnectFailed { peer },
                })
            }
            Action::Write { connection, bytes } => {
                if let Some(stream) = self.streams.get_mut(&connection) {
                    // For a connection that has ended, `Input::Closed` follows.
                    _ = stream.write_all(&bytes);
                }
            }
            Action::Close { connection, .. } => {
                if let Some(stream) = self.streams.remove(&connection) {
                    _ = stream.shutdown(Shutdown::Both);
                }
            }
            Action::Deliver {
                incarnation,
                kind,
                body,
                ..
            } => {
                _ = self.messages.send(ReceivedMessage {
                    kind,
                    body,
                    sender: incarnation,
                });
            }
            Action::PeerChanged { state, .. } => {
                if let (true, Some(incarnation)) = (state.reachable, state.incarnation) {
                    _ = self.reachable.send(incarnation);
                }
            }
            Action::SendFailed { error, .. } => panic!("not sent: {error:?}"),
            Action::Superseded { .. } => {}
        }
        None
    }

    fn open(&mut self, stream: TcpStream) -> ConnectionId {
        self.last_connection += 1;
        let connection = ConnectionId(self.last_connection);
        let (mut reader, inputs) = (stream.try_clone().expect("cloned"), self.inputs.clone());
        std::thread::spawn(move || {
            let mut bytes = [0; 4096];
            while let Ok(length @ 1..) = reader.read(&mut bytes) {
                if inputs
                    .send(Input::Bytes(connection, bytes[..length].to_vec()))
                    .is_err()
                {
                    return;
                }
            }
            _ = inputs.send(Input::Closed(connection));
        });
        self.streams.insert(connection, stream);
        connection
    }

    fn close_all(&mut self) {
        for stream in self.streams.values() {
            _ = stream.shutdown(Shutdown::Both);
        }
    }
}
