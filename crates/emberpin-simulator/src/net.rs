//! Cuts, messages between stores, and connections: registries' among each other, and limiters' sessions.

use crate::text::{Machine, Sort};
use crate::world::{Due, World};
use emberpin_config::ItemKind;
use emberpin_consensus::message::Accept;
use emberpin_consensus::Message;
use emberpin_membership::ids::SessionId;
use emberpin_membership::peers::{Ack, RegistryMessage};
use emberpin_membership::registry::Event;
use emberpin_membership::session::{FromProxy, ToProxy};
use std::collections::{BTreeMap, BTreeSet};

/// Bytes that nobody takes end a connection after so long.
const UNTAKEN: u64 = 1_500;

/// What goes over a connection.
#[derive(Clone, Debug)]
pub(crate) enum Frame {
    RegistryMessage(RegistryMessage),
    Ack(Ack),
    From(FromProxy),
    To(ToProxy),
}

/// A connection; what goes over it keeps its order.
#[derive(Debug)]
struct Conn {
    caller: Machine,
    callee: Machine,
    /// When the last frame arrives, back and forth.
    last: [u64; 2],
    /// What a cut holds up.
    held: Vec<(bool, Frame)>,
}

/// The network.
#[derive(Debug)]
pub(crate) struct Net {
    cuts: BTreeSet<(Machine, Machine)>,
    /// Links that deliver later, by so much.
    slow: BTreeMap<(Machine, Machine), (u64, u64)>,
    /// When the last of what they took arrives.
    pub slow_until: u64,
    losses: Vec<(Sort, Machine, Machine)>,
    conns: BTreeMap<u64, Conn>,
    next: u64,
    /// Of messages between stores, from and below.
    pub delay: (u64, u64),
    /// Of a hundred of them, so many are late by much.
    pub late: u64,
    /// And so many come twice.
    pub twice: u64,
}

impl Default for Net {
    fn default() -> Net {
        Net {
            cuts: BTreeSet::new(),
            slow: BTreeMap::new(),
            slow_until: 0,
            losses: Vec::new(),
            conns: BTreeMap::new(),
            next: 0,
            delay: (1, 5),
            late: 0,
            twice: 0,
        }
    }
}

impl Net {
    pub fn is_cut(&self, from: Machine, to: Machine) -> bool {
        self.cuts.contains(&(from, to))
    }

    pub fn is_slow(&self, one: Machine, other: Machine) -> bool {
        self.slow.contains_key(&(one, other)) || self.slow.contains_key(&(other, one))
    }

    pub fn calm(&mut self) {
        (self.delay, self.late, self.twice) = ((1, 5), 0, 0);
    }

    pub fn receiver(&self, conn: u64, forth: bool) -> Option<Machine> {
        self.conns
            .get(&conn)
            .map(|conn| if forth { conn.callee } else { conn.caller })
    }

    pub fn lose_nothing(&mut self) {
        self.losses.clear();
    }

    pub fn lose(&mut self, sort: Sort, from: Machine, to: Machine) {
        self.losses.push((sort, from, to));
    }

    fn loses(&self, from: Machine, to: Machine, message: &Message) -> bool {
        let sort = match message {
            Message::Prepare(_) => Sort::Prepare,
            Message::Accept(Accept { items, .. })
                if items.iter().any(|item| item.key.kind == ItemKind::Roster) =>
            {
                if self.losses.contains(&(Sort::Seats, from, to)) {
                    return true;
                }
                Sort::Accept
            }
            Message::Accept(_) => Sort::Accept,
            Message::Promise(_) => Sort::Promise,
            Message::Chosen(_) => Sort::Chosen,
            Message::CompareDigest(_) => Sort::Exchange,
            _ => return false,
        };
        self.losses.contains(&(sort, from, to))
    }
}

impl World {
    pub fn cut(&mut self, from: &[Machine], to: &[Machine], one_way: bool) {
        for one in from {
            for other in to.iter().filter(|other| *other != one) {
                self.net.cuts.insert((*one, *other));
                if !one_way {
                    self.net.cuts.insert((*other, *one));
                }
            }
        }
        let cuts = &self.net.cuts;
        let cut = |conn: &Conn| {
            cuts.contains(&(conn.caller, conn.callee)) || cuts.contains(&(conn.callee, conn.caller))
        };
        let conns: Vec<u64> = self
            .net
            .conns
            .iter()
            .filter(|(_, conn)| cut(conn))
            .map(|(id, _)| *id)
            .collect();
        let at = self.now + UNTAKEN;
        conns
            .into_iter()
            .for_each(|conn| self.at(at, Due::Untaken { conn }));
    }

    /// These links take bytes and deliver them later.
    pub fn slow(&mut self, from: &[Machine], to: &[Machine], one_way: bool, by: (u64, u64)) {
        for one in from {
            for other in to.iter().filter(|other| *other != one) {
                self.net.slow.insert((*one, *other), by);
                if !one_way {
                    self.net.slow.insert((*other, *one), by);
                }
            }
        }
    }

    /// By how much later something arrives on a link.
    fn lag(&mut self, from: Machine, to: Machine) -> u64 {
        let Some(by) = self.net.slow.get(&(from, to)).copied() else {
            return 0;
        };
        let lag = self.between(by);
        self.net.slow_until = self.net.slow_until.max(self.now + lag);
        lag
    }

    /// The cuts and slow links of these end, or all.
    pub fn heal(&mut self, machines: &[Machine]) {
        let of = |(one, other): &(Machine, Machine)| {
            machines.is_empty() || machines.contains(one) || machines.contains(other)
        };
        let (healed, cuts): (BTreeSet<_>, BTreeSet<_>) =
            std::mem::take(&mut self.net.cuts).into_iter().partition(of);
        self.net.cuts = cuts;
        self.net.slow.retain(|link, _| !of(link));
        // A cut between a limiter and a core machine is no trouble among the latter.
        for (one, other) in healed {
            match (one, other) {
                (Machine::Core(_), Machine::Limiter(_)) => self.troubled(&[other]),
                (Machine::Limiter(_), Machine::Core(_)) => self.troubled(&[one]),
                _ => self.troubled(&[one, other]),
            }
        }
        if machines.is_empty() {
            self.net.losses.clear();
        }
        let held: Vec<(u64, Vec<(bool, Frame)>)> = self
            .net
            .conns
            .iter_mut()
            .map(|(id, conn)| (*id, std::mem::take(&mut conn.held)))
            .collect();
        for (conn, frames) in held {
            frames
                .into_iter()
                .for_each(|(forth, frame)| self.send(conn, forth, frame));
        }
    }

    /// A message between stores: late, twice, and in any order.
    pub fn consensus(&mut self, from: u8, to: u8, message: Message) {
        let (one, other) = (Machine::Core(from), Machine::Core(to));
        if self.net.is_cut(one, other) || self.net.loses(one, other, &message) {
            return;
        }
        let times = if self.below(100) < self.net.twice {
            2
        } else {
            1
        };
        for _ in 0..times {
            let mut at = self.now + self.between(self.net.delay) + self.lag(one, other);
            if self.below(100) < self.net.late {
                at += self.below(1_500);
            }
            self.at(
                at,
                Due::Consensus {
                    from,
                    to,
                    message: message.clone(),
                },
            );
        }
    }

    /// Whether a connection comes up: 'no' is told at once, 'nothing' after the caller's patience.
    pub fn connect(&mut self, caller: Machine, callee: Machine) -> Option<u64> {
        let joined = !self.net.is_cut(caller, callee) && !self.net.is_cut(callee, caller);
        if !joined || !self.runs(callee) {
            return None;
        }
        self.net.next += 1;
        let at = self.now + 2 * self.net.delay.0;
        self.net.conns.insert(
            self.net.next,
            Conn {
                caller,
                callee,
                last: [at, at],
                held: Vec::new(),
            },
        );
        Some(self.net.next)
    }

    pub fn send(&mut self, id: u64, forth: bool, frame: Frame) {
        let delay = self.between(self.net.delay);
        let Some(conn) = self.net.conns.get(&id) else {
            return;
        };
        let (from, to) = if forth {
            (conn.caller, conn.callee)
        } else {
            (conn.callee, conn.caller)
        };
        let at = self.now + delay + self.lag(from, to);
        let Some(conn) = self.net.conns.get_mut(&id) else {
            return;
        };
        let last = &mut conn.last[usize::from(forth)];
        *last = at.max(*last);
        let at = *last;
        self.at(
            at,
            Due::Frame {
                conn: id,
                forth,
                frame: Box::new(frame),
            },
        );
    }

    pub fn arrive(&mut self, id: u64, forth: bool, frame: Frame) {
        let Some(conn) = self.net.conns.get_mut(&id) else {
            return;
        };
        let (from, to) = if forth {
            (conn.caller, conn.callee)
        } else {
            (conn.callee, conn.caller)
        };
        if self.net.cuts.contains(&(from, to)) || conn.held.iter().any(|(held, _)| *held == forth) {
            conn.held.push((forth, frame));
            return;
        }
        match (from, to, frame) {
            (Machine::Core(from), Machine::Core(to), Frame::RegistryMessage(message)) => {
                if let Some(up) = self.cores.get_mut(&to).and_then(|core| core.up.as_mut()) {
                    up.incoming.insert(from, id);
                }
                self.registry(
                    to,
                    Event::PeerMessage {
                        peer: ip(from),
                        message,
                    },
                );
            }
            (Machine::Core(from), Machine::Core(to), Frame::Ack(ack)) => {
                self.registry(
                    to,
                    Event::PeerAcknowledged {
                        peer: ip(from),
                        ack,
                    },
                );
            }
            (Machine::Limiter(_), Machine::Core(to), Frame::From(message)) => {
                if let Some(up) = self.cores.get_mut(&to).and_then(|core| core.up.as_mut()) {
                    up.sessions.insert(id);
                }
                self.registry(
                    to,
                    Event::ProxyMessage {
                        session: SessionId(id),
                        message,
                    },
                );
            }
            (Machine::Core(from), Machine::Limiter(to), Frame::To(told)) => {
                self.limiter_hears(to, id, from, told);
            }
            _ => {}
        }
    }

    pub fn untaken(&mut self, id: u64) {
        let Some(conn) = self.net.conns.get(&id) else {
            return;
        };
        if self.net.is_cut(conn.caller, conn.callee) || self.net.is_cut(conn.callee, conn.caller) {
            self.break_conn(id, false);
        }
    }

    /// A connection ends; both sides learn of it, unless the other one cannot say so.
    pub fn break_conn(&mut self, id: u64, silent: bool) {
        let Some(conn) = self.net.conns.remove(&id) else {
            return;
        };
        for (machine, other) in [(conn.caller, conn.callee), (conn.callee, conn.caller)] {
            let mute = silent || self.net.is_cut(other, machine);
            let wait = if mute { UNTAKEN } else { 1 + self.below(4) };
            let (at, incarnation) = (self.now + wait, self.incarnation(machine));
            self.at(
                at,
                Due::Broken {
                    conn: id,
                    machine,
                    incarnation,
                    other,
                },
            );
        }
    }

    pub fn break_all(&mut self, machine: Machine, silent: bool) {
        let of = |conn: &Conn| conn.caller == machine || conn.callee == machine;
        let conns: Vec<u64> = self
            .net
            .conns
            .iter()
            .filter(|(_, conn)| of(conn))
            .map(|(id, _)| *id)
            .collect();
        conns
            .into_iter()
            .for_each(|conn| self.break_conn(conn, silent));
    }

    pub fn broken(&mut self, id: u64, machine: Machine, incarnation: u64, other: Machine) {
        if self.incarnation(machine) != incarnation || !self.runs(machine) {
            return;
        }
        match (machine, other) {
            (Machine::Core(core), Machine::Core(peer)) => self.peer_broken(core, peer, id),
            (Machine::Core(core), Machine::Limiter(_)) => {
                let Some(up) = self.cores.get_mut(&core).and_then(|core| core.up.as_mut()) else {
                    return;
                };
                if up.sessions.remove(&id) {
                    self.registry(
                        core,
                        Event::SessionClosed {
                            session: SessionId(id),
                        },
                    );
                }
            }
            (Machine::Limiter(limiter), _) => self.session_broken(limiter, id),
        }
    }
}

/// A core machine's address.
pub(crate) fn ip(core: u8) -> std::net::Ipv4Addr {
    std::net::Ipv4Addr::new(10, 0, 0, core)
}

/// And back.
pub(crate) fn number(ip: std::net::Ipv4Addr) -> u8 {
    ip.octets()[3]
}
