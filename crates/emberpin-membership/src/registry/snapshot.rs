//! Snapshots, in parts of bounded size.
//!
//! A limiter asks for each part with the last name of the one before, so that a slow reader holds up nobody and one part
//! at most waits for it; and a new session goes on where the last one ended. Each part is read from the tables when it is
//! asked for. What changes before the cursor is told as any change is, as the session follows the log from the first
//! part on.

use super::{Action, Registry};
use crate::instance::{Instance, Status};
use crate::session::{SnapshotCursor, ToLimiter};
use emberpin_config::Item;
use std::ops::Bound;

/// A part is closed once it holds so many bytes; one item that is longer goes alone.
pub const PART_BYTES: usize = 64 << 10;
/// What an item or an instance takes beside its texts, about.
const OVERHEAD: usize = 48;

/// What one part holds.
#[derive(Default)]
pub(super) struct Part {
    pub items: Vec<Item>,
    pub instances: Vec<Instance>,
    /// There is more behind it.
    pub rest: Option<SnapshotCursor>,
}

impl Registry {
    /// What stands behind this cursor, or all from the begin, up to the size of a part.
    pub(super) fn part(&self, now: u64, after: Option<&SnapshotCursor>) -> Part {
        let (mut part, mut bytes) = (Part::default(), 0);
        let items = match after {
            None => Some(Bound::Unbounded),
            Some(SnapshotCursor::Item(key)) => Some(Bound::Excluded(key)),
            Some(SnapshotCursor::Instance(_)) => None,
        };
        for (key, item) in items
            .into_iter()
            .flat_map(|from| self.items.range((from, Bound::Unbounded)))
        {
            bytes += OVERHEAD + key.name.len() + item.body.as_ref().map_or(0, String::len);
            part.items.push(item.clone());
            if bytes >= self.limits.part_bytes {
                part.rest = Some(SnapshotCursor::Item(key.clone()));
                return part;
            }
        }
        let from = match after {
            Some(SnapshotCursor::Instance(id)) => Bound::Excluded(id.as_str()),
            _ => Bound::Unbounded,
        };
        for (id, row) in self
            .instances
            .after(from)
            .filter(|(_, row)| row.status() != Status::Gone)
        {
            let instance = row.instance(now);
            bytes += OVERHEAD + id.len() + instance.service.len() + instance.zone.len();
            part.instances.push(instance);
            if bytes >= self.limits.part_bytes {
                part.rest = Some(SnapshotCursor::Instance(id.clone()));
                return part;
            }
        }
        part
    }

    /// A limiter asks for the next part.
    pub(super) fn more(
        &mut self,
        now: u64,
        session: u64,
        after: &SnapshotCursor,
        actions: &mut Vec<Action>,
    ) {
        match self.sessions.get_mut(&session) {
            Some(known) => {
                known.heard = now;
                let Part {
                    items,
                    instances,
                    rest,
                } = self.part(now, Some(after));
                let told = ToLimiter::SnapshotPart {
                    items,
                    instances,
                    rest,
                };
                actions.push(Action::Tell {
                    to: vec![session],
                    told,
                });
            }
            None => actions.push(Action::Close { session }),
        }
    }
}
