//! The link of one instance with all others: which connections are opened, which are taken, what is believed of whom.
//!
//! Each member opens one connection to each other, and speaks on its own only: what A tells B goes over the connection
//! that A opened, and B answers there no more than that it is alive and how much it has taken. Two that open at the same
//! instant need not agree on anything, and a cut in one direction shows at both ends: the one does not hear, the other
//! is not heard.

use crate::frame::{Frames, TooLong};
use crate::message::{Incarnation, Message, Rejection, Unreadable, VERSIONS};
use std::collections::{BTreeMap, VecDeque};

/// Milliseconds of the host's steady clock; only differences have a meaning.
pub type Millis = f64;

/// A connection as the host names it; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// How a link behaves.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The site; members of another one are not heard.
    pub cluster: String,
    /// This instance's name.
    pub me: String,
    /// Its life.
    pub life: Incarnation,
    /// The epoch of the set of members.
    pub epoch: u64,
    /// The names of the others.
    pub members: Vec<String>,
    /// How often each is told that this one is alive.
    pub beat: Millis,
    /// A member not heard of for so long is suspected.
    pub suspect_after: Millis,
    /// And is taken for dead after so long.
    pub dead_after: Millis,
    /// A connection that has not said who it is by then ends.
    pub hello_within: Millis,
    /// Between two tries to open a connection: the first pause; each further one is twice as long, up to the last.
    pub redial: (Millis, Millis),
    /// Bytes that may be handed over to one member before it says that it has taken them.
    pub window: usize,
    /// Most bytes of one frame.
    pub longest: usize,
    /// Connections that may be open without having said who they are.
    pub strangers: usize,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A connection that was asked for by [`Action::Dial`] stands.
    Dialed {
        /// Its name.
        connection: ConnectionId,
        /// To whom.
        to: String,
    },
    /// It does not stand.
    NotDialed {
        /// To whom.
        to: String,
    },
    /// Somebody opened a connection.
    Accepted {
        /// Its name.
        connection: ConnectionId,
        /// The names that its certificate is good for; `None` where there are no certificates.
        certified: Option<Vec<String>>,
    },
    /// Bytes came.
    Bytes {
        /// On which.
        connection: ConnectionId,
        /// What.
        bytes: Vec<u8>,
    },
    /// A connection ended.
    Closed {
        /// Which.
        connection: ConnectionId,
    },
    /// Others want something told to a member.
    Send {
        /// To whom.
        to: String,
        /// Whose it is.
        kind: u16,
        /// What.
        body: Vec<u8>,
    },
    /// The set of members is another from now on.
    Members {
        /// Its epoch, above the one before.
        epoch: u64,
        /// The names of the others.
        members: Vec<String>,
    },
    /// Time has passed; at least each half beat.
    Tick,
}

/// Why a connection is ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Closing {
    /// It was rejected here.
    Rejected(Rejection),
    /// It was rejected there.
    RejectedByPeer(Rejection),
    /// A frame is too long.
    TooLong(u32),
    /// A frame is no message.
    Unreadable(Unreadable),
    /// A message has no place where it came.
    OutOfPlace,
    /// Data came again, or some in between is missing.
    Replayed {
        /// The number that it had.
        seq: u64,
        /// The number that it should have had.
        expected: u64,
    },
    /// Data meant for another life.
    OtherLife,
    /// Another connection, or a later life, of the same member stands in its place.
    Replaced,
    /// Too long without a word.
    Silent,
    /// Too many that have not said who they are.
    TooMany,
    /// It is no member any more.
    NoMember,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Open a connection to a member.
    Dial {
        /// To whom.
        to: String,
    },
    /// Write bytes.
    Write {
        /// On which connection.
        connection: ConnectionId,
        /// What.
        bytes: Vec<u8>,
    },
    /// End a connection, once what is to be written on it is written.
    Close {
        /// Which.
        connection: ConnectionId,
        /// Why, for the host's log.
        why: Closing,
    },
    /// A member told something.
    Deliver {
        /// Who.
        from: String,
        /// In which life.
        life: Incarnation,
        /// Whose it is.
        kind: u16,
        /// What.
        body: Vec<u8>,
    },
    /// What is believed of a member has changed.
    Changed {
        /// Of whom.
        member: String,
        /// What.
        belief: Belief,
    },
    /// Another life of this very instance is known to a member: this one is not to act as it any more.
    Superseded {
        /// That life's number.
        by: u64,
    },
    /// What was to be told was not, and nothing of it was written.
    NotSent {
        /// To whom.
        to: String,
        /// Whose it is.
        kind: u16,
        /// Why.
        why: Refused,
    },
}

/// Why something is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// No such member.
    NoMember,
    /// No connection to it stands.
    NotConnected,
    /// So much was handed over already that it has not taken; the newest gives way.
    Full,
    /// It is longer than a frame may be.
    TooLong,
}

/// Whether a member is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Never heard of.
    Unheard,
    /// Heard of lately.
    Alive,
    /// Not heard of for a while; it may be back at once.
    Suspected,
    /// Not heard of for long.
    Dead,
}

/// What is believed of a member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Belief {
    /// Whether it is there.
    pub standing: Standing,
    /// Its life, as last heard.
    pub life: Option<Incarnation>,
    /// The epoch that it said it goes by.
    pub epoch: u64,
    /// When this came to be believed.
    pub since: Millis,
    /// Something can be told to it.
    pub reachable: bool,
    /// It ended the connection while it was well and could be told something, and none has come up since: it has most likely
    /// ended itself. A cut or a standstill is silence, and shows otherwise.
    pub ended: bool,
}

/// A member as it is seen.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// What is believed of it.
    pub belief: Belief,
}

/// The connection that this instance opened to a member.
#[derive(Clone, Debug)]
enum Outgoing {
    /// To be opened then.
    Idle { at: Millis },
    /// Being opened.
    Dialing,
    /// Opened; the other has not answered yet.
    Greeting { until: Millis },
    /// It stands.
    Up(Up),
}

/// A connection on which something can be told.
#[derive(Clone, Debug)]
struct Up {
    connection: ConnectionId,
    /// The number of the last data on it.
    seq: u64,
    /// Data that the other has not said it has taken, with their sizes.
    unseen: VecDeque<(u64, usize)>,
    bytes: usize,
    /// Whose life it leads to.
    nonce: u64,
    /// When the other last answered on it.
    answered: Millis,
}

#[derive(Clone, Debug)]
struct Peer {
    belief: Belief,
    heard: Millis,
    pause: Millis,
    outgoing: Outgoing,
    incoming: Option<ConnectionId>,
    /// It has taken this instance in this life.
    knows_me: bool,
}

/// What is known of an open connection.
#[derive(Clone, Debug)]
enum Role {
    /// This instance opened it.
    Opened { to: String },
    /// Somebody opened it, and has not said who.
    Stranger {
        until: Millis,
        certified: Option<Vec<String>>,
    },
    /// A member opened it.
    Taken {
        from: String,
        life: Incarnation,
        seen: u64,
        heard: Millis,
    },
}

#[derive(Clone, Debug)]
struct Connection {
    frames: Frames,
    role: Role,
}

/// The link.
#[derive(Clone, Debug)]
pub struct Link {
    settings: Settings,
    now: Millis,
    peers: BTreeMap<String, Peer>,
    connections: BTreeMap<ConnectionId, Connection>,
    next_beat: Millis,
    superseded: bool,
}

impl Link {
    /// The link of an instance that starts now.
    pub fn new(settings: Settings, now: Millis) -> Link {
        let peers = settings
            .members
            .iter()
            .map(|name| (name.clone(), Peer::new(now)))
            .collect();
        Link {
            settings,
            now,
            peers,
            connections: BTreeMap::new(),
            next_beat: now,
            superseded: false,
        }
    }

    /// This instance's life, as members know it.
    pub fn life(&self) -> Incarnation {
        self.settings.life
    }

    /// The epoch that it goes by.
    pub fn epoch(&self) -> u64 {
        self.settings.epoch
    }

    /// What is believed of each member.
    pub fn view(&self) -> Vec<Member> {
        self.peers
            .iter()
            .map(|(name, peer)| Member {
                name: name.clone(),
                belief: peer.belief,
            })
            .collect()
    }

    /// Takes an event, and appends what is to be done about it.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Dialed { connection, to } => self.dialed(connection, to, actions),
            Event::NotDialed { to } => {
                if let Some(peer) = self.peers.get_mut(&to) {
                    if matches!(peer.outgoing, Outgoing::Dialing) {
                        peer.rest(self.now, &self.settings);
                    }
                }
            }
            Event::Accepted {
                connection,
                certified,
            } => self.accepted(connection, certified, actions),
            Event::Bytes { connection, bytes } => self.bytes(connection, &bytes, actions),
            Event::Closed { connection } => {
                self.note_end(connection);
                self.forget(connection, actions);
            }
            Event::Send { to, kind, body } => self.send(to, kind, body, actions),
            Event::Members { epoch, members } => self.members(epoch, members, actions),
            Event::Tick => self.tick(actions),
        }
    }

    fn dialed(&mut self, connection: ConnectionId, to: String, actions: &mut Vec<Action>) {
        let wanted = self
            .peers
            .get_mut(&to)
            .filter(|peer| matches!(peer.outgoing, Outgoing::Dialing));
        let Some(peer) = wanted else {
            actions.push(Action::Close {
                connection,
                why: Closing::NoMember,
            });
            return;
        };
        peer.outgoing = Outgoing::Greeting {
            until: self.now + self.settings.hello_within,
        };
        let hello = Message::Hello {
            versions: VERSIONS,
            cluster: self.settings.cluster.clone(),
            from: self.settings.me.clone(),
            to: to.clone(),
            life: self.settings.life,
            epoch: self.settings.epoch,
        };
        let frames = Frames::new(self.settings.longest);
        self.connections.insert(
            connection,
            Connection {
                frames,
                role: Role::Opened { to },
            },
        );
        write(connection, &hello, actions);
    }

    fn accepted(
        &mut self,
        connection: ConnectionId,
        certified: Option<Vec<String>>,
        actions: &mut Vec<Action>,
    ) {
        let strangers = self
            .connections
            .values()
            .filter(|c| matches!(c.role, Role::Stranger { .. }))
            .count();
        if strangers >= self.settings.strangers {
            actions.push(Action::Close {
                connection,
                why: Closing::TooMany,
            });
            return;
        }
        let until = self.now + self.settings.hello_within;
        let frames = Frames::new(self.settings.longest);
        self.connections.insert(
            connection,
            Connection {
                frames,
                role: Role::Stranger { until, certified },
            },
        );
    }

    fn bytes(&mut self, connection: ConnectionId, bytes: &[u8], actions: &mut Vec<Action>) {
        // Of a connection that was ended here, whatever still comes is nobody's.
        let Some(open) = self.connections.get_mut(&connection) else {
            return;
        };
        open.frames.feed(bytes);
        loop {
            let Some(open) = self.connections.get_mut(&connection) else {
                return;
            };
            let message = match open.frames.next_frame() {
                Ok(None) => return,
                Ok(Some(frame)) => Message::decode(&frame),
                Err(TooLong { bytes }) => {
                    return self.close(connection, Closing::TooLong(bytes), actions)
                }
            };
            match message {
                Ok(message) => self.heard(connection, message, actions),
                Err(Unreadable::Skip(_)) => {}
                Err(why) => return self.close(connection, Closing::Unreadable(why), actions),
            }
        }
    }

    fn heard(&mut self, connection: ConnectionId, message: Message, actions: &mut Vec<Action>) {
        let Some(open) = self.connections.get_mut(&connection) else {
            return;
        };
        match (&mut open.role, message) {
            (Role::Opened { to }, message) => {
                let to = to.clone();
                self.answered(connection, &to, message, actions);
            }
            (
                Role::Stranger { certified, .. },
                Message::Hello {
                    versions,
                    cluster,
                    from,
                    to,
                    life,
                    epoch,
                },
            ) => {
                let certified = certified.clone();
                match self.check(versions, &cluster, &from, &to, life, certified.as_deref()) {
                    Ok(version) => self.take(connection, version, from, life, epoch, actions),
                    Err(why) => {
                        write(connection, &Message::Reject(why.clone()), actions);
                        self.close(connection, Closing::Rejected(why), actions);
                    }
                }
            }
            (
                Role::Taken {
                    from,
                    life,
                    seen,
                    heard,
                },
                Message::Data {
                    seq,
                    to,
                    kind,
                    body,
                },
            ) => {
                let expected = *seen + 1;
                if seq != expected {
                    return self.close(connection, Closing::Replayed { seq, expected }, actions);
                }
                if to != self.settings.life.nonce {
                    return self.close(connection, Closing::OtherLife, actions);
                }
                (*seen, *heard) = (seq, self.now);
                let (from, life) = (from.clone(), *life);
                self.hear_of(&from, life, None, actions);
                actions.push(Action::Deliver {
                    from,
                    life,
                    kind,
                    body,
                });
            }
            (
                Role::Taken {
                    from,
                    life,
                    seen,
                    heard,
                },
                Message::Beat { epoch },
            ) => {
                *heard = self.now;
                let (from, life, through) = (from.clone(), *life, *seen);
                self.hear_of(&from, life, Some(epoch), actions);
                write(
                    connection,
                    &Message::Seen {
                        through,
                        epoch: self.settings.epoch,
                    },
                    actions,
                );
            }
            _ => self.close(connection, Closing::OutOfPlace, actions),
        }
    }

    /// Whether a Hello can be taken, and in which version.
    fn check(
        &self,
        versions: (u16, u16),
        cluster: &str,
        from: &str,
        to: &str,
        life: Incarnation,
        certified: Option<&[String]>,
    ) -> Result<u16, Rejection> {
        let version = versions.1.min(VERSIONS.1);
        if version < versions.0.max(VERSIONS.0) {
            return Err(Rejection::Version(VERSIONS.1));
        }
        if cluster != self.settings.cluster {
            return Err(Rejection::Cluster);
        }
        if certified.is_some_and(|names| !names.iter().any(|name| name == from)) {
            return Err(Rejection::Name);
        }
        if to != self.settings.me {
            return Err(Rejection::NotMe);
        }
        let peer = self.peers.get(from).ok_or(Rejection::Name)?;
        match peer.belief.life {
            Some(known) if known.number > life.number => Err(Rejection::OldLife(known.number)),
            // Two that drew the same number: the one that is there stays, until it is dead.
            Some(known) if known.number == life.number && known != life => {
                Err(Rejection::OldLife(known.number))
            }
            _ => Ok(version),
        }
    }

    fn take(
        &mut self,
        connection: ConnectionId,
        version: u16,
        from: String,
        life: Incarnation,
        epoch: u64,
        actions: &mut Vec<Action>,
    ) {
        let before = self
            .peers
            .get_mut(&from)
            .and_then(|peer| peer.incoming.replace(connection));
        if let Some(before) = before {
            self.close(before, Closing::Replaced, actions);
        }
        if let Some(open) = self.connections.get_mut(&connection) {
            open.role = Role::Taken {
                from: from.clone(),
                life,
                seen: 0,
                heard: self.now,
            };
        }
        let welcome = Message::Welcome {
            version,
            life: self.settings.life,
            epoch: self.settings.epoch,
        };
        write(connection, &welcome, actions);
        self.hear_of(&from, life, Some(epoch), actions);
    }

    /// An answer on a connection that this instance opened.
    fn answered(
        &mut self,
        connection: ConnectionId,
        to: &str,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        let Some(peer) = self.peers.get_mut(to) else {
            return self.close(connection, Closing::NoMember, actions);
        };
        match (&mut peer.outgoing, message) {
            (
                Outgoing::Greeting { .. },
                Message::Welcome {
                    version,
                    life,
                    epoch,
                },
            ) => {
                let old = peer
                    .belief
                    .life
                    .is_some_and(|known| known.number > life.number);
                if version < VERSIONS.0 || version > VERSIONS.1 || old {
                    return self.close(connection, Closing::OutOfPlace, actions);
                }
                peer.outgoing = Outgoing::Up(Up {
                    connection,
                    seq: 0,
                    unseen: VecDeque::new(),
                    bytes: 0,
                    nonce: life.nonce,
                    answered: self.now,
                });
                (peer.pause, peer.knows_me) = (0.0, true);
                peer.belief.ended = false;
                self.hear_of(to, life, Some(epoch), actions);
                self.reach(to, actions);
            }
            (Outgoing::Greeting { .. }, Message::Reject(why)) => {
                if let Rejection::OldLife(number) = why {
                    let knew_me = peer.knows_me;
                    self.outlived(number, knew_me, actions);
                }
                self.close(connection, Closing::RejectedByPeer(why), actions);
            }
            (Outgoing::Up(up), Message::Seen { through, epoch }) => {
                up.answered = self.now;
                while let Some((_, size)) = up
                    .unseen
                    .front()
                    .copied()
                    .filter(|(seq, _)| *seq <= through)
                {
                    up.unseen.pop_front();
                    up.bytes -= size;
                }
                if let Some(life) = peer.belief.life {
                    self.hear_of(to, life, Some(epoch), actions);
                }
                self.reach(to, actions);
            }
            _ => self.close(connection, Closing::OutOfPlace, actions),
        }
    }

    /// A member knows a later life of this instance. If it had not taken this one before, a clock was put back, or two
    /// drew one number: this life goes on under a later one. If it had, this life was away while another began.
    fn outlived(&mut self, number: u64, knew_me: bool, actions: &mut Vec<Action>) {
        if !knew_me {
            self.settings.life.number = self.settings.life.number.max(number + 1);
        } else if !std::mem::replace(&mut self.superseded, true) {
            actions.push(Action::Superseded { by: number });
        }
    }

    /// A sign of life of a member.
    fn hear_of(
        &mut self,
        name: &str,
        life: Incarnation,
        epoch: Option<u64>,
        actions: &mut Vec<Action>,
    ) {
        let now = self.now;
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        peer.heard = now;
        let before = peer.belief;
        peer.belief.epoch = epoch.unwrap_or(before.epoch);
        if before.standing != Standing::Alive || before.life != Some(life) {
            (peer.belief.standing, peer.belief.life, peer.belief.since) =
                (Standing::Alive, Some(life), now);
        }
        let new_life = before.life.is_some_and(|known| known != life);
        if before != peer.belief {
            actions.push(Action::Changed {
                member: name.into(),
                belief: peer.belief,
            });
        }
        if new_life {
            // What leads to the life before, and what came from it, is over.
            let ends: Vec<ConnectionId> = self
                .connections
                .iter()
                .filter(|(_, open)| match &open.role {
                    Role::Taken {
                        from, life: taken, ..
                    } => from == name && *taken != life,
                    Role::Opened { to } => to == name && self.leads_to_another(name, life),
                    Role::Stranger { .. } => false,
                })
                .map(|(id, _)| *id)
                .collect();
            for connection in ends {
                self.close(connection, Closing::Replaced, actions);
            }
        }
    }

    fn leads_to_another(&self, name: &str, life: Incarnation) -> bool {
        let outgoing = self.peers.get(name).map(|peer| &peer.outgoing);
        matches!(outgoing, Some(Outgoing::Up(up)) if up.nonce != life.nonce)
    }

    /// Whether something can be told to a member has changed.
    fn reach(&mut self, name: &str, actions: &mut Vec<Action>) {
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        let latest = self.now - self.settings.suspect_after;
        let reachable = matches!(&peer.outgoing, Outgoing::Up(up) if up.answered > latest);
        if peer.belief.reachable != reachable {
            peer.belief.reachable = reachable;
            actions.push(Action::Changed {
                member: name.into(),
                belief: peer.belief,
            });
        }
    }

    fn send(&mut self, to: String, kind: u16, body: Vec<u8>, actions: &mut Vec<Action>) {
        let refused = |why| Action::NotSent {
            to: to.clone(),
            kind,
            why,
        };
        let Some(peer) = self.peers.get_mut(&to) else {
            return actions.push(refused(Refused::NoMember));
        };
        let Outgoing::Up(up) = &mut peer.outgoing else {
            return actions.push(refused(Refused::NotConnected));
        };
        let message = Message::Data {
            seq: up.seq + 1,
            to: up.nonce,
            kind,
            body,
        };
        let encoded = message.encode();
        if encoded.len() > self.settings.longest {
            return actions.push(refused(Refused::TooLong));
        }
        if up.bytes + encoded.len() > self.settings.window {
            return actions.push(refused(Refused::Full));
        }
        up.seq += 1;
        up.bytes += encoded.len();
        up.unseen.push_back((up.seq, encoded.len()));
        actions.push(Action::Write {
            connection: up.connection,
            bytes: Frames::encode(&encoded),
        });
    }

    fn members(&mut self, epoch: u64, members: Vec<String>, actions: &mut Vec<Action>) {
        if epoch <= self.settings.epoch {
            return;
        }
        self.settings.epoch = epoch;
        let gone: Vec<String> = self
            .peers
            .keys()
            .filter(|name| !members.contains(name))
            .cloned()
            .collect();
        for name in gone {
            let of = |open: &Connection| match &open.role {
                Role::Opened { to } => *to == name,
                Role::Taken { from, .. } => *from == name,
                Role::Stranger { .. } => false,
            };
            let ends: Vec<ConnectionId> = self
                .connections
                .iter()
                .filter(|(_, open)| of(open))
                .map(|(id, _)| *id)
                .collect();
            for connection in ends {
                self.close(connection, Closing::NoMember, actions);
            }
            self.peers.remove(&name);
        }
        for name in members.iter().filter(|name| **name != self.settings.me) {
            self.peers
                .entry(name.clone())
                .or_insert_with(|| Peer::new(self.now));
        }
        self.settings.members = members;
        self.next_beat = self.now;
        self.tick(actions);
    }

    fn tick(&mut self, actions: &mut Vec<Action>) {
        let late =
            |connection: &ConnectionId, until: Millis| (until <= self.now).then_some(*connection);
        let silent: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter_map(|(id, open)| match &open.role {
                Role::Stranger { until, .. } => late(id, *until),
                Role::Opened { to } => match self.peers.get(to).map(|peer| &peer.outgoing) {
                    Some(Outgoing::Greeting { until, .. }) => late(id, *until),
                    Some(Outgoing::Up(up)) => late(id, up.answered + self.settings.dead_after),
                    _ => None,
                },
                Role::Taken { heard, .. } => late(id, heard + self.settings.dead_after),
            })
            .collect();
        for connection in silent {
            self.close(connection, Closing::Silent, actions);
        }
        let beat = self.next_beat <= self.now;
        if beat {
            self.next_beat = self.now + self.settings.beat;
        }
        for (name, peer) in &mut self.peers {
            let quiet = self.now - peer.heard;
            let standing = match peer.belief.standing {
                Standing::Unheard => Standing::Unheard,
                _ if quiet >= self.settings.dead_after => Standing::Dead,
                _ if quiet >= self.settings.suspect_after => Standing::Suspected,
                standing => standing,
            };
            if standing != peer.belief.standing {
                (peer.belief.standing, peer.belief.since) = (standing, self.now);
                actions.push(Action::Changed {
                    member: name.clone(),
                    belief: peer.belief,
                });
            }
            match &peer.outgoing {
                Outgoing::Idle { at } if *at <= self.now && !self.superseded => {
                    peer.outgoing = Outgoing::Dialing;
                    actions.push(Action::Dial { to: name.clone() });
                }
                Outgoing::Up(up) if beat => {
                    write(
                        up.connection,
                        &Message::Beat {
                            epoch: self.settings.epoch,
                        },
                        actions,
                    );
                }
                _ => {}
            }
        }
        let names: Vec<String> = self.peers.keys().cloned().collect();
        for name in names {
            self.reach(&name, actions);
        }
    }

    /// Ends a connection, and forgets it.
    fn close(&mut self, connection: ConnectionId, why: Closing, actions: &mut Vec<Action>) {
        actions.push(Action::Close { connection, why });
        self.forget(connection, actions);
    }

    /// The other side has ended a connection.
    fn note_end(&mut self, connection: ConnectionId) {
        let Some(Role::Opened { to }) = self.connections.get(&connection).map(|open| &open.role)
        else {
            return;
        };
        if let Some(peer) = self.peers.get_mut(to) {
            let well = peer.belief.reachable && peer.belief.standing == Standing::Alive;
            peer.belief.ended = well && matches!(peer.outgoing, Outgoing::Up(_));
        }
    }

    fn forget(&mut self, connection: ConnectionId, actions: &mut Vec<Action>) {
        let Some(open) = self.connections.remove(&connection) else {
            return;
        };
        match open.role {
            Role::Stranger { .. } => {}
            Role::Taken { from, .. } => {
                if let Some(peer) = self
                    .peers
                    .get_mut(&from)
                    .filter(|peer| peer.incoming == Some(connection))
                {
                    peer.incoming = None;
                }
            }
            Role::Opened { to } => {
                if let Some(peer) = self.peers.get_mut(&to) {
                    peer.rest(self.now, &self.settings);
                }
                self.reach(&to, actions);
            }
        }
    }
}

impl Peer {
    fn new(now: Millis) -> Peer {
        let belief = Belief {
            standing: Standing::Unheard,
            life: None,
            epoch: 0,
            since: now,
            reachable: false,
            ended: false,
        };
        Peer {
            belief,
            heard: now,
            pause: 0.0,
            outgoing: Outgoing::Idle { at: now },
            incoming: None,
            knows_me: false,
        }
    }

    /// No connection stands; another is opened after a pause.
    fn rest(&mut self, now: Millis, settings: &Settings) {
        let (first, last) = settings.redial;
        self.pause = if self.pause == 0.0 {
            first
        } else {
            (self.pause * 2.0).min(last)
        };
        self.outgoing = Outgoing::Idle {
            at: now + self.pause,
        };
    }
}

fn write(connection: ConnectionId, message: &Message, actions: &mut Vec<Action>) {
    actions.push(Action::Write {
        connection,
        bytes: Frames::encode(&message.encode()),
    });
}
