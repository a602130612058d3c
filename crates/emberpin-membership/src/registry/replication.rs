//! Replication of instances among registries: change notification, and anti-entropy for what it has missed.

use super::servers::AddressConflict;
use super::{Action, Registry};
use crate::clock::Timestamp;
use crate::ids::AckId;
use crate::peers::{Ack, InstanceRecord, RegistryMessage};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;

/// Where records of instances come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RecordSource {
    /// A change notification.
    Changes,
    /// A table that was sent as a whole, which may list what has long been known.
    Table,
}

impl Registry {
    /// Merges changed records, and acknowledges them if the sender waits for that.
    pub(super) fn on_changed(
        &mut self,
        now: Timestamp,
        from: Ipv4Addr,
        ack_id: Option<AckId>,
        instances: Vec<InstanceRecord>,
        actions: &mut Vec<Action>,
    ) {
        self.merge_records(now, from, instances, RecordSource::Changes, actions);
        if let Some(ack_id) = ack_id {
            actions.push(Action::AcknowledgePeer {
                peer: from,
                ack: Ack { ack_id },
            });
        }
    }

    /// Sends the records of all instances that this registry owns.
    pub(super) fn on_fetch_owned(
        &mut self,
        now: Timestamp,
        from: Ipv4Addr,
        actions: &mut Vec<Action>,
    ) {
        let instances = self
            .instances
            .owned_by(self.config.address)
            .map(|(_, entry)| entry.record(now))
            .collect();
        actions.push(Action::SendToPeers {
            peers: vec![from],
            message: RegistryMessage::OwnedInstances { instances },
        });
    }

    /// Merges the instances that the sender owns; others that it was taken for the owner of have none now.
    pub(super) fn on_owned_instances(
        &mut self,
        now: Timestamp,
        from: Ipv4Addr,
        instances: Vec<InstanceRecord>,
        actions: &mut Vec<Action>,
    ) {
        let listed: BTreeSet<&str> = instances
            .iter()
            .map(|record| record.instance.id.as_str())
            .collect();
        let unlisted: Vec<String> = self
            .instances
            .owned_by(from)
            .map(|(id, _)| id.clone())
            .filter(|id| !listed.contains(id.as_str()))
            .collect();
        for id in unlisted {
            self.instances.clear_owner(now, &id);
        }
        self.merge_records(now, from, instances, RecordSource::Table, actions);
    }

    /// Merges records from another registry. Drains and ends that were not known are passed on once, as their sender may
    /// fail before it has reached everybody.
    pub(super) fn merge_records(
        &mut self,
        now: Timestamp,
        from: Ipv4Addr,
        records: Vec<InstanceRecord>,
        source: RecordSource,
        actions: &mut Vec<Action>,
    ) {
        let mut shutdowns = Vec::new();
        for mut record in records {
            let id = record.instance.id.clone();
            // A sender without contact to the instance's owner cannot know that its heartbeats have stopped.
            record.expired &= !self.hears_from_owner(now, &id, from);
            let outcome = self.instances.merge(now, record);
            let address_conflict = match source {
                RecordSource::Changes => AddressConflict::Evict,
                RecordSource::Table => AddressConflict::Ignore,
            };
            self.on_merged(now, &id, outcome, address_conflict);
            // Tables list many ends that everybody knows.
            let is_news = source == RecordSource::Changes || !outcome.is_new;
            if outcome.shutdown_reported && is_news {
                shutdowns.push(id);
            }
        }
        let others = self.connected_peers();
        let others = others.into_iter().filter(|peer| *peer != from).collect();
        self.replicate_to(now, others, &shutdowns, actions);
    }

    /// Whether this registry is, or is in contact with, the owner of an instance; not if the owner is `sender`, who
    /// speaks for itself.
    fn hears_from_owner(&self, now: Timestamp, instance_id: &str, sender: Ipv4Addr) -> bool {
        let owner = self
            .instances
            .get(instance_id)
            .and_then(|entry| entry.owner);
        let Some(owner) = owner.filter(|owner| *owner != sender) else {
            return false;
        };
        owner == self.config.address
            || self
                .peers
                .get(&owner)
                .is_some_and(|peer| peer.is_in_contact(now))
    }

    /// Sends the records of changed instances to all connected peers.
    pub(super) fn replicate(
        &self,
        now: Timestamp,
        instance_ids: &[String],
        actions: &mut Vec<Action>,
    ) {
        self.replicate_to(now, self.connected_peers(), instance_ids, actions);
    }

    fn replicate_to(
        &self,
        now: Timestamp,
        peers: Vec<Ipv4Addr>,
        instance_ids: &[String],
        actions: &mut Vec<Action>,
    ) {
        if instance_ids.is_empty() || peers.is_empty() {
            return;
        }
        let instances = instance_ids
            .iter()
            .filter_map(|id| self.instances.get(id))
            .map(|entry| entry.record(now))
            .collect();
        actions.push(Action::SendToPeers {
            peers,
            message: RegistryMessage::Changed {
                ack_id: None,
                instances,
            },
        });
    }
}
