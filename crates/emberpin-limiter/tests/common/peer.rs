//! A peer of a limiter, played by the test: the link's decisions on plain sockets, with what is told handed over.
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

const LONG: Duration = Duration::from_secs(20);
const LIMITER: &str = "n0";

/// Data that the limiter told.
#[derive(Clone, Debug)]
pub struct Told {
    pub kind: u16,
    pub body: Vec<u8>,
    /// The limiter's life that told it.
    pub life: Incarnation,
}

enum Input {
    Accepted(TcpStream),
    Bytes(ConnectionId, Vec<u8>),
    Closed(ConnectionId),
    Say(u16, Vec<u8>),
    End,
}

pub struct Peer {
    pub life: Incarnation,
    inputs: Sender<Input>,
    told: Receiver<Told>,
    reached: Receiver<Incarnation>,
    limiter: std::cell::OnceCell<Incarnation>,
}

impl Peer {
    /// A peer of this name that listens here, and dials the limiter there.
    pub fn start(name: &str, listener: TcpListener, limiter: SocketAddr) -> Peer {
        let life = Incarnation {
            number: 1_700_000_000_123,
            nonce: 7,
        };
        let (inputs, received) = channel();
        let (tell, told) = channel();
        let (reach, reached) = channel();
        let accepted = inputs.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepted.send(Input::Accepted(stream)).is_err() {
                    return;
                }
            }
        });
        let link = Peering::new(settings(name, life), Timestamp::ZERO);
        let streams = HashMap::new();
        let host = Host {
            link,
            limiter,
            streams,
            next: 0,
            inputs: inputs.clone(),
            tell,
            reach,
        };
        std::thread::spawn(move || host.run(&received));
        Peer {
            life,
            inputs,
            told,
            reached,
            limiter: std::cell::OnceCell::new(),
        }
    }

    /// Returns once the limiter can be told something.
    pub fn reaches(&self) {
        let life = self
            .reached
            .recv_timeout(LONG)
            .expect("the limiter is reached");
        self.limiter.set(life).expect("once");
    }

    pub fn life_of_limiter(&self) -> Incarnation {
        *self.limiter.get().expect("reached")
    }

    pub fn say(&self, kind: u16, body: Vec<u8>) {
        self.inputs.send(Input::Say(kind, body)).expect("there");
    }

    pub fn next(&self) -> Told {
        self.told.recv_timeout(LONG).expect("something is told")
    }

    /// What is told next, if that is within a moment.
    pub fn soon(&self) -> Option<Told> {
        self.told.recv_timeout(Duration::from_millis(5)).ok()
    }

    /// Ends it: its connections close.
    pub fn end(&mut self) {
        self.inputs.send(Input::End).expect("there");
    }
}

impl Drop for Peer {
    fn drop(&mut self) {
        _ = self.inputs.send(Input::End);
    }
}

fn settings(name: &str, life: Incarnation) -> Settings {
    Settings {
        cluster: "norr".into(),
        local_name: name.into(),
        incarnation: life,
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

/// The peer's thread.
struct Host {
    link: Peering,
    limiter: SocketAddr,
    streams: HashMap<ConnectionId, TcpStream>,
    next: u64,
    inputs: Sender<Input>,
    tell: Sender<Told>,
    reach: Sender<Incarnation>,
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
                Ok(Input::Say(kind, body)) => Event::Send {
                    peer: LIMITER.into(),
                    kind,
                    body,
                },
                Ok(Input::End) | Err(RecvTimeoutError::Disconnected) => return self.close_all(),
                Err(RecvTimeoutError::Timeout) => Event::Tick,
            };
            self.feed(began, event);
        }
    }

    fn feed(&mut self, began: Instant, event: Event) {
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

    /// Does what the link says; what happened with that at once.
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
                    // One that has ended is heard of.
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
                _ = self.tell.send(Told {
                    kind,
                    body,
                    life: incarnation,
                });
            }
            Action::PeerChanged { state, .. } => {
                if let (true, Some(life)) = (state.reachable, state.incarnation) {
                    _ = self.reach.send(life);
                }
            }
            Action::SendFailed { error, .. } => panic!("not sent: {error:?}"),
            Action::Superseded { .. } => {}
        }
        None
    }

    fn open(&mut self, stream: TcpStream) -> ConnectionId {
        self.next += 1;
        let connection = ConnectionId(self.next);
        let (mut reader, inputs) = (stream.try_clone().expect("cloned"), self.inputs.clone());
        std::thread::spawn(move || {
            let mut bytes = [0; 4096];
            while let Ok(n @ 1..) = reader.read(&mut bytes) {
                if inputs
                    .send(Input::Bytes(connection, bytes[..n].to_vec()))
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
