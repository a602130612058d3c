//! Snapshots of the tables, which proxies fetch in parts of bounded size.
//!
//! A proxy requests each part with the cursor of the previous one. A slow proxy therefore does not delay others, at
//! most one part is queued for it, and a new session resumes where the last one ended. Each part is read from the
//! tables when it is requested. Entries before the cursor that change later are not missed: from the first part on, the
//! session is also sent every change of the log.

use super::Registry;
use crate::clock::Timestamp;
use crate::instance::{Instance, Status};
use crate::session::SnapshotCursor;
use emberpin_config::Item;
use std::ops::Bound;

/// The size in bytes at which a part of a snapshot is closed. The entry that reaches the size is still included.
pub const SNAPSHOT_PART_BYTES: usize = 64 << 10;
/// The estimated size in bytes of an item or an instance without its strings.
const ENTRY_OVERHEAD_BYTES: usize = 48;

/// One part of a snapshot.
#[derive(Default)]
pub(super) struct SnapshotPart {
    pub(super) items: Vec<Item>,
    pub(super) instances: Vec<Instance>,
    /// The cursor after which the next part begins; `None` if this is the last part.
    pub(super) next_part: Option<SnapshotCursor>,
}

impl Registry {
    /// The part of the snapshot that begins after a cursor; the first part without one.
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

    /// Adds items after the cursor `after` until the part is full; sets the part's `next_part` then. Adds the estimated
    /// sizes to `bytes`.
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

    /// Adds instances after the cursor `after` until the part is full, as `fill_with_items` does with items.
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
