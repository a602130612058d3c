//! Repair from proxies: instances that registries have lost are restored from those that proxies still know.

use super::servers::AddressConflict;
use super::{Action, Registry};
use crate::clock::Timestamp;
use crate::instance::{Instance, Status};
use crate::peers::InstanceRecord;

impl Registry {
    /// Merges what the proxy knows and this registry does not: whole instances, and that an instance is draining.
    /// Returns the ids of the other instances whose status at the proxy differs from the one in the table.
    pub(super) fn repair_from_proxy(
        &mut self,
        now: Timestamp,
        instances: Vec<Instance>,
        actions: &mut Vec<Action>,
    ) -> Vec<String> {
        let mut learned = Vec::new();
        let mut outdated = Vec::new();
        for instance in instances {
            let id = instance.id.clone();
            match self.instances.get(&id) {
                None => {
                    self.merge_from_proxy(now, &id, unknown_instance_record(instance));
                    learned.push(id);
                }
                Some(entry)
                    if instance.status == Status::Draining
                        && entry.reported_status() == Status::Up =>
                {
                    let seq = instance.seq.min(entry.seq());
                    let instance = Instance { seq, ..instance };
                    self.merge_from_proxy(now, &id, unowned_record(instance));
                    learned.push(id);
                }
                Some(entry) if entry.status() != instance.status => outdated.push(id),
                Some(_) => {}
            }
        }
        self.learned_from_proxies += learned.len() as u64;
        self.restart_learned_warmup(now, &learned);
        self.replicate(now, &learned, actions);
        outdated
    }

    fn merge_from_proxy(&mut self, now: Timestamp, id: &str, record: InstanceRecord) {
        let outcome = self.instances.merge(now, record);
        self.on_merged(now, id, outcome, AddressConflict::Ignore);
    }

    /// Restarts the warm-up of instances that were learned from a proxy if the evacuation of their zone may have just
    /// ended: what the proxy knows of their warm-up may date from before that.
    fn restart_learned_warmup(&mut self, now: Timestamp, learned: &[String]) {
        self.zones_after_evacuation.retain(|_, until| now < *until);
        let zones: Vec<String> = self.zones_after_evacuation.keys().cloned().collect();
        for zone in zones {
            self.restart_warmup(now, &zone, |id, entry| {
                entry.owner.is_none() && learned.iter().any(|learned_id| learned_id == id)
            });
        }
    }
}

/// The record of an instance that the proxy knows and the registry does not. If the proxy knows it as removed, it may
/// merely have been evicted, so the record lets a later heartbeat revive it.
fn unknown_instance_record(instance: Instance) -> InstanceRecord {
    let expired = instance.status == Status::Removed;
    let status = if expired { Status::Up } else { instance.status };
    InstanceRecord {
        instance: Instance { status, ..instance },
        expired,
        owner: None,
    }
}

/// The record of a draining instance as a proxy knows it, without an owner.
fn unowned_record(instance: Instance) -> InstanceRecord {
    InstanceRecord {
        instance,
        expired: false,
        owner: None,
    }
}
