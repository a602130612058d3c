//! Snapshots, in parts of bounded size.
//!
//! A proxy requests each part with the cursor of the one before. So a slow proxy delays nobody, at most one part
//! waits for it, and a new session goes on where the last one ended. Each part is read from the tables when it is
//! requested. A change of an entry before the cursor is sent like any change, as the session follows the log from the
//! first part on.

use super::Registry;
use crate::clock::Timestamp;
use crate::instance::{Instance, Status};
use crate::session::SnapshotCursor;
use emberpin_config::Item;
use std::ops::Bound;

/// The size in bytes at which a part of a snapshot is closed. An item that is larger is a part of its own.
pub const SNAPSHOT_PART_BYTES: usize = 64 << 10;
/// The estimated size in bytes of an item or an instance without its texts.
const ENTRY_OVERHEAD_BYTES: usize = 48;

/// One part of a snapshot.
#[derive(Default)]
pub(super) struct SnapshotPart {
    pub(super) items: Vec<Item>,
    pub(super) instances: Vec<Instance>,
    /// Where the next part begins; `None` if this is the last one.
    pub(super) next_part: Option<SnapshotCursor>,
}

impl Registry {
    /// The part of the snapshot after a cursor, or the first one.
    pub(super) fn snapshot_part(
        &self,
        now: Timestamp,
        after: Option<&SnapshotCursor>,
    ) -> SnapshotPart {
        let mut part = SnapshotPart::default();
        let mut bytes = 0;
        self.fill_with_items(&mut part, &mut bytes, after);
        if part.next_part.is_none() {
            self.fill_with_instances(&mut part, &mut bytes, now, after);
        }
        part
    }

    /// Adds items until the part is full, and sets its cursor then.
    fn fill_with_items(
        &self,
        part: &mut SnapshotPart,
        bytes: &mut usize,
        after: Option<&SnapshotCursor>,
    ) {
        let from = match after {
            None => Bound::Unbounded,
            Some(SnapshotCursor::Item(key)) => Bound::Excluded(key),
            Some(SnapshotCursor::Instance(_)) => return,
        };
        for (key, item) in self.items.range((from, Bound::Unbounded)) {
            let body_bytes = item.body.as_ref().map_or(0, String::len);
            *bytes += ENTRY_OVERHEAD_BYTES + key.name.len() + body_bytes;
            part.items.push(item.clone());
            if *bytes >= self.config.snapshot_part_bytes {
                part.next_part = Some(SnapshotCursor::Item(key.clone()));
                return;
            }
        }
    }

    /// Adds instances until the part is full, and sets its cursor then.
    fn fill_with_instances(
        &self,
        part: &mut SnapshotPart,
        bytes: &mut usize,
        now: Timestamp,
        after: Option<&SnapshotCursor>,
    ) {
        let from = match after {
            Some(SnapshotCursor::Instance(id)) => Bound::Excluded(id.as_str()),
            None | Some(SnapshotCursor::Item(_)) => Bound::Unbounded,
        };
        for (id, entry) in self.instances.range_from(from) {
            if entry.status() == Status::Removed {
                continue;
            }
            let instance = entry.instance(now);
            *bytes +=
                ENTRY_OVERHEAD_BYTES + id.len() + instance.service.len() + instance.zone.len();
            part.instances.push(instance);
            if *bytes >= self.config.snapshot_part_bytes {
                part.next_part = Some(SnapshotCursor::Instance(id.clone()));
                return;
            }
        }
    }
}
