//! Calls of servers: heartbeats and leave calls.

use super::{Action, Registry, ServerReply};
use crate::change_log::Change;
use crate::clock::Timestamp;
use crate::ids::CallId;
use crate::instance::{Instance, Status};
use crate::instance_table::MergeOutcome;
use crate::peers::InstanceRecord;
use crate::rendezvous;
use std::net::Ipv4Addr;

/// What becomes of instances that had the address of a new instance before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AddressConflict {
    /// They are evicted, even if their servers have not reported their end.
    Evict,
    /// They stay: the new instance may only be new to this registry.
    Ignore,
}

impl Registry {
    /// Takes a heartbeat in and replies at once, unless it reports a drain that no majority has yet.
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
            .is_some_and(|entry| entry.is_replicated || entry.reported_status() == Status::Removed);
        let may_reply = reported == Status::Up || is_replicated;
        if may_reply && (outcome.visibly_changed || outcome.owner_changed) {
            changed.push(id.clone());
        }
        self.replicate(now, &changed, actions);
        if may_reply {
            let reply = self.heartbeat_reply(now, &id, &zone, reported);
            actions.push(Action::Reply { call, reply });
        } else {
            self.await_majority(now, call, id, reported, actions);
        }
    }

    /// A registry without contact to a majority does not acknowledge that a server is up, as proxies on the other side
    /// of the partition would not learn of it: the server is to try their registries. One that has just started does, as
    /// it had no time for contact yet.
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

    /// Takes a server's report of its end in. The reply waits for a majority unless that has it already.
    pub(super) fn on_leave(
        &mut self,
        now: Timestamp,
        call: CallId,
        instance_id: String,
        actions: &mut Vec<Action>,
    ) {
        let outcome = self.instances.leave(now, &instance_id);
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
            self.await_majority(now, call, instance_id, Status::Removed, actions);
        }
    }

    /// Records what a merge has changed. On an address conflict, gives the ids of the instances that were evicted.
    pub(super) fn on_merged(
        &mut self,
        now: Timestamp,
        instance_id: &str,
        outcome: MergeOutcome,
        address_conflict: AddressConflict,
    ) -> Vec<String> {
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

    /// The registry that an instance is to send its heartbeats to: by rendezvous hashing one of the confirmed registries
    /// of its zone, or of all zones if there is none.
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
        let this = (self.config.address, self.config.zone.as_str());
        let confirmed: Vec<(Ipv4Addr, &str)> = peers
            .chain(self.is_confirmed(now).then_some(this))
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
