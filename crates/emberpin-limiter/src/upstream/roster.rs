//! The names of all servers that were ever listed, and the entries of those that are listed now. Resolves the server
//! names in operators' commands. No I/O.
//!
//! Whether an operator has taken a server out of service is recorded in the decision module, not here.

use crate::upstream::endpoint_list::{State, Target};
use emberpin_balancer::ServerId;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Maximum number of names that are remembered; beyond that, the oldest is removed.
const MAX_NAMES: usize = 65_536;

/// One incarnation of a server, and its address.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerInstance {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// When it started, in Unix milliseconds; 0 where that is unknown.
    pub boot_ms: f64,
}

/// The names of servers that were ever listed, and the entries of those that are listed now.
#[derive(Debug, Default)]
pub struct Roster {
    names: BTreeMap<ServerId, String>,
    /// The keys of `names`, oldest first.
    order: VecDeque<ServerId>,
    /// The entries of the servers that are listed now.
    listed: BTreeMap<ServerId, Target>,
}

impl Roster {
    /// Records an entry of the endpoint list.
    pub fn update(&mut self, id: ServerId, target: &Target) {
        self.remember_name(id, &target.uid);
        match target.state {
            State::Gone => _ = self.listed.remove(&id),
            _ => _ = self.listed.insert(id, target.clone()),
        }
    }

    /// Remembers the name of a server that is or was listed, in this process or the previous one.
    pub fn remember_name(&mut self, id: ServerId, name: &str) {
        if self.names.contains_key(&id) {
            return;
        }
        if self.order.len() >= MAX_NAMES {
            if let Some(oldest) = self.order.pop_front() {
                self.names.remove(&oldest);
            }
        }
        self.names.insert(id, name.into());
        self.order.push_back(id);
    }

    /// Removes the entries of servers that a full list does not contain.
    pub fn retain(&mut self, is_listed: impl Fn(&ServerId) -> bool) {
        self.listed.retain(|id, _| is_listed(id));
    }

    /// The number of servers that are listed now.
    pub fn count(&self) -> usize {
        self.listed.len()
    }

    /// The entries that are listed now.
    pub fn listed(&self) -> Vec<Target> {
        self.listed.values().cloned().collect()
    }

    /// The entries that are listed now, and all remembered names, oldest first.
    pub fn entries_and_names(&self) -> (Vec<Target>, Vec<String>) {
        let names = self
            .order
            .iter()
            .filter_map(|id| self.names.get(id).cloned());
        (self.listed(), names.collect())
    }

    /// The id of the server of this name, if its name is remembered.
    pub fn find(&self, name: &str) -> Option<ServerId> {
        let id = crate::upstream::endpoint_list::server_id(name);
        self.names
            .get(&id)
            .filter(|known| *known == name)
            .map(|_| id)
    }

    /// The server's current incarnation, if it is listed as ready and has an address.
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
    fn a_removed_servers_name_is_remembered_and_its_address_is_not() {
        let mut roster = Roster::default();
        let ready = target("s-1", 1, State::Ready);
        roster.update(ready.id(), &ready);
        let id = roster.find("s-1").expect("listed");
        assert_eq!(roster.ready_instance(id).expect("ready").address.port(), 1);
        roster.retain(|_| false);
        assert_eq!(
            (roster.find("s-1"), roster.ready_instance(id)),
            (Some(id), None)
        );
        let moved = target("s-1", 2, State::Ready);
        roster.update(moved.id(), &moved);
        assert_eq!(roster.ready_instance(id).expect("ready").address.port(), 2);
        assert_eq!(roster.find("s-2"), None);
    }

    #[test]
    fn the_number_of_remembered_names_is_bounded() {
        let mut roster = Roster::default();
        for number in 0..MAX_NAMES + 10 {
            roster.remember_name(ServerId(number as u32), &format!("s-{number}"));
        }
        assert_eq!(
            (roster.names.len(), roster.order.len()),
            (MAX_NAMES, MAX_NAMES)
        );
    }
}
