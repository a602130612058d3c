//! Which servers the list ever named, and where those stand that are ready: what a call by hand may mean. No I/O.
//!
//! Whether a server is out by hand is the decision module's fact; this knows names and places only.

use crate::upstream::endpoint_list::{State, Target};
use emberpin_balancer::ServerId;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Most names that are remembered; the one that was named first gives way.
const MOST: usize = 65_536;

/// One incarnation of a server, and where it is reached.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerInstance {
    /// Where it listens.
    pub address: SocketAddr,
    /// When it started, in Unix milliseconds; 0 where that is unknown.
    pub boot_ms: f64,
}

/// The names, and the places of the servers that are ready.
#[derive(Debug, Default)]
pub struct Roster {
    names: BTreeMap<ServerId, String>,
    order: VecDeque<ServerId>,
    /// The entries of the servers that the list names now.
    listed: BTreeMap<ServerId, Target>,
}

impl Roster {
    /// Takes an entry of the list.
    pub fn note(&mut self, id: ServerId, target: &Target) {
        self.name(id, &target.uid);
        match target.state {
            State::Gone => _ = self.listed.remove(&id),
            _ => _ = self.listed.insert(id, target.clone()),
        }
    }

    /// A server of this name was listed, in this life or the one before.
    pub fn name(&mut self, id: ServerId, name: &str) {
        if self.names.contains_key(&id) {
            return;
        }
        if self.order.len() >= MOST {
            if let Some(first) = self.order.pop_front() {
                self.names.remove(&first);
            }
        }
        self.names.insert(id, name.into());
        self.order.push_back(id);
    }

    /// A whole list came: what it does not name is gone.
    pub fn keep(&mut self, named: impl Fn(&ServerId) -> bool) {
        self.listed.retain(|id, _| named(id));
    }

    /// How many servers the list names now.
    pub fn count(&self) -> usize {
        self.listed.len()
    }

    /// What the list names now.
    pub fn listed(&self) -> Vec<Target> {
        self.listed.values().cloned().collect()
    }

    /// The same, and every name that it ever named.
    pub fn all(&self) -> (Vec<Target>, Vec<String>) {
        let names = self
            .order
            .iter()
            .filter_map(|id| self.names.get(id).cloned());
        (self.listed(), names.collect())
    }

    /// The server of this name, if one was ever listed.
    pub fn find(&self, name: &str) -> Option<ServerId> {
        let id = crate::upstream::endpoint_list::server_id(name);
        self.names
            .get(&id)
            .filter(|known| *known == name)
            .map(|_| id)
    }

    /// Where it is reached, if the list has it ready.
    pub fn ready_instance(&self, id: ServerId) -> Option<ServerInstance> {
        let target = self
            .listed
            .get(&id)
            .filter(|target| target.state == State::Ready)?;
        Some(ServerInstance {
            address: target.endpoint?,
            boot_ms: target.boot_ms,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn target(uid: &str, port: u16, state: State) -> Target {
        let endpoint = Some(SocketAddr::from(([127, 0, 0, 1], port)));
        let (zone, model, pod_group, capacity_hint) = ("a".into(), None, None, None);
        Target {
            uid: uid.into(),
            endpoint,
            zone,
            model,
            pod_group,
            state,
            capacity_hint,
            boot_ms: 0.0,
        }
    }

    #[test]
    fn a_name_stays_known_when_its_server_is_gone_and_its_place_does_not() {
        let mut roster = Roster::default();
        let ready = target("s-1", 1, State::Ready);
        roster.note(ready.id(), &ready);
        let id = roster.find("s-1").expect("listed");
        assert_eq!(roster.ready_instance(id).expect("ready").address.port(), 1);
        roster.keep(|_| false);
        assert_eq!(
            (roster.find("s-1"), roster.ready_instance(id)),
            (Some(id), None)
        );
        let moved = target("s-1", 2, State::Ready);
        roster.note(moved.id(), &moved);
        assert_eq!(roster.ready_instance(id).expect("ready").address.port(), 2);
        assert_eq!(roster.find("s-2"), None);
    }

    #[test]
    fn names_are_bounded() {
        let mut roster = Roster::default();
        for number in 0..MOST + 10 {
            roster.name(ServerId(number as u32), &format!("s-{number}"));
        }
        assert_eq!((roster.names.len(), roster.order.len()), (MOST, MOST));
    }
}
