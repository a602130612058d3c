//! The in-memory network between registries. Links deliver messages with a delay. A test can partition machines, which
//! breaks their links after a while, or have links queue their messages.

use super::{ip, machine};
use emberpin_membership::peers::{Ack, RegistryMessage};
use emberpin_membership::registry::Event;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;

/// The delay of each message, in milliseconds.
const DELAY_MS: u64 = 10;
/// A partitioned link breaks after this time, like a connection without acknowledgements.
const UNACKNOWLEDGED_TIMEOUT_MS: u64 = 1_500;
/// How often a machine tries to open a closed link.
const CONNECT_INTERVAL_MS: u64 = 100;

/// Identifies a link by the machine that opens it (the caller) and the one that it leads to (the callee).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId {
    pub caller: u8,
    pub callee: u8,
}

enum Payload {
    Message(RegistryMessage),
    Ack(Ack),
}

struct Packet {
    arrives_at: u64,
    payload: Payload,
}

#[derive(Default)]
struct Link {
    is_open: bool,
    to_callee: VecDeque<Packet>,
    to_caller: VecDeque<Packet>,
    partitioned_since: Option<u64>,
}

/// What has happened to a link in one step.
pub enum LinkProgress {
    Unchanged,
    Opened,
    Broken,
    /// The events that arrive, each with the machine that receives it.
    Delivered(Vec<(u8, Event)>),
}

#[derive(Default)]
pub struct Network {
    links: BTreeMap<LinkId, Link>,
    /// Pairs of caller and callee whose links deliver nothing, and break after a while.
    partitions: BTreeSet<(u8, u8)>,
    /// Pairs of caller and callee whose links queue their messages and stay open.
    queueing: BTreeSet<(u8, u8)>,
}

/// The pairs of a machine with each of the others, in both directions.
fn pairs(one: u8, others: &[u8]) -> impl Iterator<Item = (u8, u8)> + '_ {
    others
        .iter()
        .flat_map(move |other| [(one, *other), (*other, one)])
}

impl Network {
    pub fn partition(&mut self, one: u8, others: &[u8]) {
        self.partitions.extend(pairs(one, others));
    }

    pub fn heal(&mut self, one: u8, others: &[u8]) {
        for pair in pairs(one, others) {
            self.partitions.remove(&pair);
        }
    }

    pub fn queue_messages(&mut self, one: u8, others: &[u8]) {
        self.queueing.extend(pairs(one, others));
    }

    pub fn release_messages(&mut self, one: u8, others: &[u8]) {
        for pair in pairs(one, others) {
            self.queueing.remove(&pair);
        }
    }

    pub fn connect(&mut self, caller: u8, peer: Ipv4Addr) {
        let callee = machine(peer);
        self.links
            .insert(LinkId { caller, callee }, Link::default());
    }

    pub fn disconnect(&mut self, caller: u8, peer: Ipv4Addr) {
        let callee = machine(peer);
        self.links.remove(&LinkId { caller, callee });
    }

    pub fn has_link(&self, caller: u8, callee: u8) -> bool {
        self.links.contains_key(&LinkId { caller, callee })
    }

    pub fn link_ids(&self) -> Vec<LinkId> {
        self.links.keys().copied().collect()
    }

    /// Removes the links that a failed machine has opened. Returns the links that other machines have opened to it,
    /// which must then be closed with [`Network::close`].
    pub fn remove_machine(&mut self, machine: u8) -> Vec<LinkId> {
        self.links.retain(|id, _| id.caller != machine);
        let ids = self.links.keys().copied();
        ids.filter(|id| id.callee == machine).collect()
    }

    /// Closes a link, which loses the messages in flight. Returns whether it was open.
    pub fn close(&mut self, id: LinkId) -> bool {
        self.links
            .get_mut(&id)
            .is_some_and(|link| std::mem::take(link).is_open)
    }

    /// Sends a message over the caller's link. The message is lost if the link is not open.
    pub fn send(&mut self, now: u64, caller: u8, peer: Ipv4Addr, message: RegistryMessage) {
        let callee = machine(peer);
        let link = self.links.get_mut(&LinkId { caller, callee });
        if let Some(link) = link.filter(|link| link.is_open) {
            link.to_callee.push_back(Packet {
                arrives_at: now + DELAY_MS,
                payload: Payload::Message(message),
            });
        }
    }

    /// Sends an acknowledgement back over the link that the peer has opened. It is lost if the link is not open.
    pub fn acknowledge(&mut self, now: u64, callee: u8, peer: Ipv4Addr, ack: Ack) {
        let caller = machine(peer);
        let link = self.links.get_mut(&LinkId { caller, callee });
        if let Some(link) = link.filter(|link| link.is_open) {
            link.to_caller.push_back(Packet {
                arrives_at: now + DELAY_MS,
                payload: Payload::Ack(ack),
            });
        }
    }

    /// Advances a link to the time `now`. A machine is up unless it was killed, and running if it is up and not paused:
    /// a paused caller does not open a link, but a paused callee accepts one, and its events are queued.
    pub fn advance(
        &mut self,
        now: u64,
        id: LinkId,
        caller_is_running: bool,
        callee_is_up: bool,
    ) -> LinkProgress {
        let pair = (id.caller, id.callee);
        let is_partitioned = self.partitions.contains(&pair);
        let is_queueing = self.queueing.contains(&pair);
        let link = self.links.get_mut(&id).expect("the link exists");
        link.partitioned_since = is_partitioned.then(|| link.partitioned_since.unwrap_or(now));
        let is_timed_out = link
            .partitioned_since
            .is_some_and(|since| now - since >= UNACKNOWLEDGED_TIMEOUT_MS);
        if link.is_open && is_timed_out {
            return LinkProgress::Broken;
        }
        if is_partitioned || !callee_is_up || is_queueing {
            return LinkProgress::Unchanged;
        }
        if link.is_open {
            return LinkProgress::Delivered(link.deliver(now, id));
        }
        if now.is_multiple_of(CONNECT_INTERVAL_MS) && caller_is_running {
            link.is_open = true;
            return LinkProgress::Opened;
        }
        LinkProgress::Unchanged
    }
}

impl Link {
    fn deliver(&mut self, now: u64, id: LinkId) -> Vec<(u8, Event)> {
        let mut events = Vec::new();
        for (queue, receiver) in [
            (&mut self.to_callee, id.callee),
            (&mut self.to_caller, id.caller),
        ] {
            while queue.front().is_some_and(|packet| packet.arrives_at <= now) {
                let Some(packet) = queue.pop_front() else {
                    continue;
                };
                let event = match packet.payload {
                    Payload::Message(message) => Event::PeerMessage {
                        peer: ip(id.caller),
                        message,
                    },
                    Payload::Ack(ack) => Event::PeerAcknowledged {
                        peer: ip(id.callee),
                        ack,
                    },
                };
                events.push((receiver, event));
            }
        }
        events
    }
}
