//! The calls of servers: heartbeats, and leave calls, by which a server reports its exit.

use super::{Action, Registry, ServerReply};
use crate::change_log::Change;
use crate::clock::Timestamp;
use crate::ids::CallId;
use crate::instance::{Instance, Status};
use crate::instance_table::MergeOutcome;
use crate::peers::InstanceRecord;
use crate::rendezvous;
use std::net::Ipv4Addr;

/// The treatment of other instances that have the address of a new instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AddressConflict {
    /// They are evicted, even if their servers have not reported their exit.
    Evict,
    /// They are kept: the instance may only be new to this registry.
    Ignore,
}

impl Registry {
    /// Records a heartbeat. Replies at once, unless the heartbeat reports a drain, and the drain or a later exit is not on
    /// the disks of a majority yet.
    pub(super) fn on_heartbeat(
        &mut self,
        now: Timestamp,
        call: CallId,
        instance: Instance,
        actions: &mut Vec<Action>,
    ) {
        let id = instance.id.clone();
        let zone = instance.zone.clone();
        let reported = instance.status;
        let record = InstanceRecord {
            instance,
            expired: false,
            owner: Some(self.config.address),
        };
        let outcome = self.instances.merge(now, record);
        let mut changed = self.on_merged(now, &id, outcome, AddressConflict::Evict);
        let is_replicated = self
            .instances
            .get(&id)
            .is_some_and(|entry| entry.is_replicated);
        let can_reply_now = reported == Status::Up || is_replicated;
        if can_reply_now && (outcome.visibly_changed || outcome.owner_changed) {
            changed.push(id.clone());
        }
        self.replicate(now, &changed, actions);
        if can_reply_now {
            let reply = self.heartbeat_reply(now, &id, &zone, reported);
            actions.push(Action::Reply { call, reply });
        } else {
            self.await_majority(now, call, id, actions);
        }
    }

    /// The reply to a heartbeat. A registry without contact with a majority does not acknowledge that a server is up,
    /// as proxies on the other side of a partition would not learn of it: the server must try the registries there. A
    /// registry that has just started does acknowledge it, as it had no time to establish contact.
    fn heartbeat_reply(
        &self,
        now: Timestamp,
        instance_id: &str,
        zone: &str,
        reported: Status,
    ) -> ServerReply {
        let has_just_started = now.duration_since(self.started_at) < self.eviction_timeout();
        if reported == Status::Up && !has_just_started && !self.has_contact_with_majority(now) {
            return ServerReply::NotAcknowledged;
        }
        ServerReply::Acknowledged {
            heartbeat_target: self.heartbeat_target(now, instance_id, zone),
        }
    }

    /// Records a server's report of its exit. The reply waits for a majority unless a majority has recorded the exit
    /// already.
    pub(super) fn on_leave(
        &mut self,
        now: Timestamp,
        call: CallId,
        instance_id: String,
        actions: &mut Vec<Action>,
    ) {
        let outcome = self.instances.record_exit(now, &instance_id);
        self.on_merged(now, &instance_id, outcome, AddressConflict::Ignore);
        let is_replicated = self
            .instances
            .get(&instance_id)
            .is_some_and(|entry| entry.is_replicated);
        if is_replicated {
            let reply = ServerReply::Acknowledged {
                heartbeat_target: self.config.address,
            };
            actions.push(Action::Reply { call, reply });
        } else {
            self.await_majority(now, call, instance_id, actions);
        }
    }

    /// Appends the outcome of a merge to the change log, and a drain or exit to the shutdown log. If the instance is new and up and `address_conflict` is
    /// `Evict`, evicts other instances with its address and returns their ids.
    pub(super) fn on_merged(
        &mut self,
        now: Timestamp,
        instance_id: &str,
        outcome: MergeOutcome,
        address_conflict: AddressConflict,
    ) -> Vec<String> {
        if outcome.shutdown_reported {
            self.shutdown_log.add(instance_id);
        }
        if outcome.visibly_changed {
            self.record_change(now, Change::Instance(instance_id.to_string()));
        }
        let is_up = self
            .instances
            .get(instance_id)
            .is_some_and(|entry| entry.status() == Status::Up);
        if !(outcome.is_new
            && address_conflict == AddressConflict::Evict
            && is_up
            && self.guards.displacement)
        {
            return Vec::new();
        }
        let displaced = self.instances.evict_displaced(now, instance_id);
        for id in &displaced {
            self.record_change(now, Change::Instance(id.clone()));
        }
        displaced
    }

    /// The registry to which an instance must send its heartbeats. Rendezvous hashing chooses one of the confirmed
    /// registries of its zone, or of all zones if its zone has none; without any confirmed registry it is this one.
    pub(super) fn heartbeat_target(
        &self,
        now: Timestamp,
        instance_id: &str,
        zone: &str,
    ) -> Ipv4Addr {
        let peers = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_connected && peer.is_confirmed && peer.is_in_contact(now))
            .map(|(address, peer)| (*address, peer.zone.as_str()));
        let this_registry = (self.config.address, self.config.zone.as_str());
        let confirmed: Vec<(Ipv4Addr, &str)> = peers
            .chain(self.is_confirmed(now).then_some(this_registry))
            .collect();
        let in_zone = confirmed
            .iter()
            .filter(|(_, registry_zone)| *registry_zone == zone)
            .map(|(address, _)| *address);
        let all = confirmed.iter().map(|(address, _)| *address);
        rendezvous::choose(instance_id, in_zone)
            .or_else(|| rendezvous::choose(instance_id, all))
            .unwrap_or(self.config.address)
    }
}
