//! The state of a proxy after it has applied the messages of a session.

use emberpin_config::{Item, ItemKey};
use emberpin_membership::instance::{Instance, Status};
use emberpin_membership::registry::Registry;
use emberpin_membership::session::{Revision, ToProxy};
use std::collections::BTreeMap;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProxyView {
    pub revision: Option<Revision>,
    pub items: BTreeMap<ItemKey, Item>,
    /// The status of the instances that are not removed.
    pub instances: BTreeMap<String, Status>,
    pub snapshot_count: usize,
    /// Whether the last snapshot was complete.
    pub is_complete: bool,
}

impl ProxyView {
    /// Applies messages in the order in which they were sent.
    pub fn apply(&mut self, messages: &[ToProxy]) {
        for message in messages {
            match message {
                ToProxy::Snapshot {
                    revision,
                    items,
                    instances,
                    complete,
                    ..
                } => {
                    self.snapshot_count += 1;
                    self.is_complete = *complete;
                    if *complete {
                        self.instances.clear();
                    }
                    self.apply_entries(*revision, items, instances);
                }
                ToProxy::Changes {
                    revision,
                    items,
                    instances,
                } => self.apply_entries(*revision, items, instances),
                ToProxy::SnapshotPart { .. } | ToProxy::Confirmation { .. } => {}
            }
        }
    }

    fn apply_entries(&mut self, revision: Revision, items: &[Item], instances: &[Instance]) {
        self.revision = Some(revision);
        for item in items {
            let known = self
                .items
                .entry(item.key.clone())
                .or_insert_with(|| item.clone());
            assert!(
                known.version <= item.version,
                "an older version of an item replaces a newer one"
            );
            *known = item.clone();
        }
        for instance in instances {
            match instance.status {
                Status::Removed => _ = self.instances.remove(&instance.id),
                status => _ = self.instances.insert(instance.id.clone(), status),
            }
        }
    }

    /// The instances that are not removed at this registry, which a proxy must know once it has received every change.
    pub fn live_instances(registry: &Registry) -> BTreeMap<String, Status> {
        let all = registry
            .instances()
            .iter()
            .map(|(id, entry)| (id.clone(), entry.status()));
        all.filter(|(_, status)| *status != Status::Removed)
            .collect()
    }
}
