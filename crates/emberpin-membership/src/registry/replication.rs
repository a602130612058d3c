//! Replication of instances among registries: change notifications, and anti-entropy for changes that were missed.

use super::servers::AddressConflict;
use super::{Action, Registry};
use crate::clock::Timestamp;
use crate::ids::AckId;
use crate::peers::{Ack, InstanceRecord, RegistryMessage};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;

/// The kind of message that carried the records of instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RecordSource {
    /// A change notification.
    Changes,
    /// A whole table, or all instances that the sender owns. It may list shutdowns that were reported long ago.
    Table,
}

/// Who must be sent the drain or exit of an instance after a record of it was merged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RecipientOfShutdown {
    /// It was not known here before, so the other peers may not know it either.
    OtherPeers,
    /// It was known here, and the sender's record does not have it.
    Sender,
    Nobody,
}

impl Registry {
    /// Merges changed records, and acknowledges them if the sender has set `ack_id`, once their shutdowns are on the disk.
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
            self.acknowledge_once_synced(from, Ack { ack_id }, actions);
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

    /// Merges the instances that the sender owns, and clears the owner of those that were recorded as its own but are
    /// not listed.
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

    /// Merges records from another registry. Drains and exits that were not known are forwarded once to the other
    /// peers, as the sender may fail before it has reached all of them. A sender whose change is behind a drain or exit
    /// that is known here is told of it: it may have restored the instance from a proxy.
    pub(super) fn merge_records(
        &mut self,
        now: Timestamp,
        from: Ipv4Addr,
        records: Vec<InstanceRecord>,
        source: RecordSource,
        actions: &mut Vec<Action>,
    ) {
        let (mut unknown_to_peers, mut unknown_to_sender) = (Vec::new(), Vec::new());
        for record in records {
            let id = record.instance.id.clone();
            match self.merge_record(now, from, record, source) {
                RecipientOfShutdown::OtherPeers => unknown_to_peers.push(id),
                RecipientOfShutdown::Sender => unknown_to_sender.push(id),
                RecipientOfShutdown::Nobody => {}
            }
        }
        self.replicate_to(now, vec![from], &unknown_to_sender, actions);
        let other_peers = self.connected_peers();
        let other_peers = other_peers
            .into_iter()
            .filter(|peer| *peer != from)
            .collect();
        self.replicate_to(now, other_peers, &unknown_to_peers, actions);
    }

    /// Merges one record from another registry. Returns who must be sent the resulting record.
    fn merge_record(
        &mut self,
        now: Timestamp,
        from: Ipv4Addr,
        mut record: InstanceRecord,
        source: RecordSource,
    ) -> RecipientOfShutdown {
        let id = record.instance.id.clone();
        let sent_status = record.instance.status;
        // An eviction is ignored while this registry is in contact with the instance's owner: a sender without that
        // contact cannot know that the heartbeats have stopped.
        record.expired &= !self.is_in_contact_with_owner(now, &id, from);
        let outcome = self.instances.merge(now, record);
        let address_conflict = match source {
            RecordSource::Changes => AddressConflict::Evict,
            RecordSource::Table => AddressConflict::Ignore,
        };
        self.on_merged(now, &id, outcome, address_conflict);
        let known = self.instances.get(&id);
        let is_sender_behind = known.is_some_and(|entry| entry.reported_status() > sent_status);
        // A table may list instances that are new here with shutdowns that all peers know.
        let may_be_unknown_to_peers = source == RecordSource::Changes || !outcome.is_new;
        if outcome.shutdown_reported && may_be_unknown_to_peers {
            RecipientOfShutdown::OtherPeers
        } else if source == RecordSource::Changes && is_sender_behind {
            RecipientOfShutdown::Sender
        } else {
            RecipientOfShutdown::Nobody
        }
    }

    /// Whether this registry is the owner of an instance, or is in contact with the owner. `false` if `sender` is the
    /// owner, as its records are authoritative for the instances that it owns.
    fn is_in_contact_with_owner(
        &self,
        now: Timestamp,
        instance_id: &str,
        sender: Ipv4Addr,
    ) -> bool {
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

    /// Sends the records of changed instances to all connected peers, without waiting for acknowledgements.
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
