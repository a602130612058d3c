//! The network: partitions, slow links, lost messages, and connections (between registries, and for proxies' sessions).

use crate::machine::Machine;
use crate::scenario::{Links, StoreMessageKind};
use emberpin_config::ItemKind;
use emberpin_consensus::message::Accept;
use emberpin_consensus::Message;
use emberpin_membership::peers::{Ack, RegistryMessage};
use emberpin_membership::session::{FromProxy, ToProxy};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::time::Duration;

/// The delay of messages without a fault.
const DEFAULT_DELAY: Range<Duration> = Duration::from_millis(1)..Duration::from_millis(5);

/// Identifies a connection, unique in the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ConnectionId(pub u64);

/// The direction of a frame on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Direction {
    ToCallee,
    ToCaller,
}

/// A message on a connection.
#[derive(Clone, Debug)]
pub(crate) enum Frame {
    RegistryMessage(RegistryMessage),
    RegistryAck(Ack),
    FromProxy(FromProxy),
    ToProxy(ToProxy),
}

/// A connection between two machines. Frames in the same direction arrive in the order in which they were sent.
#[derive(Debug)]
pub(crate) struct Connection {
    pub caller: Machine,
    pub callee: Machine,
    last_arrival_at_callee: Duration,
    last_arrival_at_caller: Duration,
    /// The frames that a partition holds back, in order.
    pub blocked: Vec<(Direction, Frame)>,
}

impl Connection {
    fn new(caller: Machine, callee: Machine, open_at: Duration) -> Connection {
        Connection {
            caller,
            callee,
            last_arrival_at_callee: open_at,
            last_arrival_at_caller: open_at,
            blocked: Vec::new(),
        }
    }

    /// The sender and the receiver of a direction.
    pub fn ends(&self, direction: Direction) -> (Machine, Machine) {
        match direction {
            Direction::ToCallee => (self.caller, self.callee),
            Direction::ToCaller => (self.callee, self.caller),
        }
    }

    pub fn connects(&self, machine: Machine) -> bool {
        self.caller == machine || self.callee == machine
    }

    /// The arrival time of a frame that is due at `at`: no earlier than that of the previous frame in its direction.
    pub fn order_arrival(&mut self, direction: Direction, at: Duration) -> Duration {
        let latest = match direction {
            Direction::ToCallee => &mut self.last_arrival_at_callee,
            Direction::ToCaller => &mut self.last_arrival_at_caller,
        };
        *latest = at.max(*latest);
        *latest
    }

    pub fn is_blocked(&self, direction: Direction) -> bool {
        self.blocked
            .iter()
            .any(|(blocked, _)| *blocked == direction)
    }
}

/// A directed link from the first machine to the second one.
pub(crate) type Link = (Machine, Machine);

/// All links and connections between machines.
#[derive(Debug)]
pub(crate) struct Network {
    partitioned_links: BTreeSet<Link>,
    /// Links with an additional delay, drawn from the range for each message.
    slow_links: BTreeMap<Link, Range<Duration>>,
    /// When the last message over a slow link arrives; zero if there was none.
    pub slow_until: Duration,
    /// The messages that are lost on purpose, by kind, sender and receiver.
    losses: Vec<(StoreMessageKind, Machine, Machine)>,
    connections: BTreeMap<ConnectionId, Connection>,
    last_connection: u64,
    /// The delay of a message.
    pub delay: Range<Duration>,
    /// The percentage of messages between stores that are late by up to 1.5 s more.
    pub late_percent: u64,
    /// The percentage of messages between stores that are duplicated.
    pub duplicate_percent: u64,
}

impl Default for Network {
    fn default() -> Network {
        Network {
            partitioned_links: BTreeSet::new(),
            slow_links: BTreeMap::new(),
            slow_until: Duration::ZERO,
            losses: Vec::new(),
            connections: BTreeMap::new(),
            last_connection: 0,
            delay: DEFAULT_DELAY,
            late_percent: 0,
            duplicate_percent: 0,
        }
    }
}

impl Network {
    /// Whether a partition blocks messages from one machine to another.
    pub fn is_partitioned(&self, from: Machine, to: Machine) -> bool {
        self.partitioned_links.contains(&(from, to))
    }

    /// Whether a partition blocks messages in at least one direction.
    pub fn is_partitioned_either_way(&self, one: Machine, other: Machine) -> bool {
        self.is_partitioned(one, other) || self.is_partitioned(other, one)
    }

    pub fn is_slow_either_way(&self, one: Machine, other: Machine) -> bool {
        self.slow_links.contains_key(&(one, other)) || self.slow_links.contains_key(&(other, one))
    }

    pub fn partition(&mut self, links: &Links) {
        self.partitioned_links.extend(directed_links(links));
    }

    pub fn slow_down(&mut self, links: &Links, delay: &Range<Duration>) {
        let slow = directed_links(links)
            .into_iter()
            .map(|link| (link, delay.clone()));
        self.slow_links.extend(slow);
    }

    pub fn extra_delay(&self, from: Machine, to: Machine) -> Option<Range<Duration>> {
        self.slow_links.get(&(from, to)).cloned()
    }

    /// Ends the partitions and slow links of these machines; with an empty list, all of them. Returns the links that
    /// were partitioned.
    pub fn heal(&mut self, machines: &[Machine]) -> BTreeSet<Link> {
        let concerns = |(one, other): &Link| {
            machines.is_empty() || machines.contains(one) || machines.contains(other)
        };
        let (healed, remaining) = std::mem::take(&mut self.partitioned_links)
            .into_iter()
            .partition(concerns);
        self.partitioned_links = remaining;
        self.slow_links.retain(|link, _| !concerns(link));
        healed
    }

    /// Resets the delay of messages to the default, without late or duplicated ones.
    pub fn reset_delivery(&mut self) {
        self.delay = DEFAULT_DELAY;
        self.late_percent = 0;
        self.duplicate_percent = 0;
    }

    // ---- losses

    pub fn lose(&mut self, kind: StoreMessageKind, from: Machine, to: Machine) {
        self.losses.push((kind, from, to));
    }

    pub fn end_losses(&mut self) {
        self.losses.clear();
    }

    /// The kind by which a message between stores is lost on purpose; `None` if it is not lost.
    pub fn matching_loss(
        &self,
        from: Machine,
        to: Machine,
        message: &Message,
    ) -> Option<StoreMessageKind> {
        loss_kinds(message)
            .iter()
            .copied()
            .find(|kind| self.losses.contains(&(*kind, from, to)))
    }

    // ---- connections

    pub fn open(&mut self, caller: Machine, callee: Machine, now: Duration) -> ConnectionId {
        self.last_connection += 1;
        let id = ConnectionId(self.last_connection);
        let open_at = now + 2 * self.delay.start;
        self.connections
            .insert(id, Connection::new(caller, callee, open_at));
        id
    }

    pub fn close(&mut self, id: ConnectionId) -> Option<Connection> {
        self.connections.remove(&id)
    }

    pub fn connection(&self, id: ConnectionId) -> Option<&Connection> {
        self.connections.get(&id)
    }

    pub fn connection_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.connections.get_mut(&id)
    }

    pub fn receiver(&self, id: ConnectionId, direction: Direction) -> Option<Machine> {
        let (_, receiver) = self.connection(id)?.ends(direction);
        Some(receiver)
    }

    pub fn partitioned_connections(&self) -> Vec<ConnectionId> {
        self.connections_where(|connection| {
            self.is_partitioned_either_way(connection.caller, connection.callee)
        })
    }

    pub fn connections_of(&self, machine: Machine) -> Vec<ConnectionId> {
        self.connections_where(|connection| connection.connects(machine))
    }

    fn connections_where(&self, matches: impl Fn(&Connection) -> bool) -> Vec<ConnectionId> {
        self.connections
            .iter()
            .filter(|(_, connection)| matches(connection))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Removes and returns all frames that partitions hold back.
    pub fn take_blocked(&mut self) -> Vec<(ConnectionId, Vec<(Direction, Frame)>)> {
        self.connections
            .iter_mut()
            .map(|(id, connection)| (*id, std::mem::take(&mut connection.blocked)))
            .collect()
    }
}

/// The kinds by which a message can be lost on purpose. An accept that changes the roster has two.
fn loss_kinds(message: &Message) -> &'static [StoreMessageKind] {
    match message {
        Message::Prepare(_) => &[StoreMessageKind::Prepare],
        Message::Accept(Accept { items, .. }) => {
            if items.iter().any(|item| item.key.kind == ItemKind::Roster) {
                &[StoreMessageKind::RosterChange, StoreMessageKind::Accept]
            } else {
                &[StoreMessageKind::Accept]
            }
        }
        Message::Promise(_) => &[StoreMessageKind::Promise],
        Message::Chosen(_) => &[StoreMessageKind::Chosen],
        Message::CompareDigest(_) => &[StoreMessageKind::Comparison],
        _ => &[],
    }
}

/// The directed links between the machines of the two lists, without links of a machine to itself.
fn directed_links(links: &Links) -> Vec<Link> {
    let mut all = Vec::new();
    for from in &links.from {
        for to in links.to.iter().filter(|to| *to != from) {
            all.push((*from, *to));
            if !links.one_way {
                all.push((*to, *from));
            }
        }
    }
    all
}
