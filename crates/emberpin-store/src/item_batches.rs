//! Splits items for registries into messages of bounded size. A single message with the complete configuration would
//! delay all messages after it, and occupy its whole size in memory at once on both sides.

use emberpin_config::{Item, ItemKind};

/// The estimated size in bytes from which a batch accepts no further item. The last item can exceed the limit.
pub const ITEM_BATCH_BYTES: usize = 64 << 10;
/// The estimated size in bytes of an item without its name and body.
const ITEM_OVERHEAD_BYTES: usize = 48;

/// Splits items into batches. Returns at least one batch, which is empty if there are no items. Evacuations come first:
/// a registry assumes that those in its first batch may have changed long ago, and that any later one has just changed.
pub fn item_batches(mut items: Vec<Item>) -> Vec<Vec<Item>> {
    items.sort_by_key(|item| item.key.kind != ItemKind::Evacuation);
    let mut batches = vec![Vec::new()];
    let mut bytes = 0;
    for item in items {
        if bytes >= ITEM_BATCH_BYTES {
            batches.push(Vec::new());
            bytes = 0;
        }
        bytes += item_bytes(&item);
        if let Some(batch) = batches.last_mut() {
            batch.push(item);
        }
    }
    batches
}

fn item_bytes(item: &Item) -> usize {
    let body_bytes = item.body.as_ref().map_or(0, String::len);
    ITEM_OVERHEAD_BYTES + item.key.name.len() + body_bytes
}
