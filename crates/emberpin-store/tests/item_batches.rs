//! Splitting of items for registries into messages of bounded size.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_config::{Item, ItemKey, ItemKind, Version};
use emberpin_runtime::frames;
use emberpin_store::item_batches::{item_batches, ITEM_BATCH_BYTES};
use emberpin_store::protocol::StoreReply;
use googletest::prelude::*;

fn item(kind: ItemKind, number: usize, body_bytes: usize) -> Item {
    Item {
        key: ItemKey {
            kind,
            name: format!("name-{number}"),
        },
        version: Version(number as u64),
        body: Some("x".repeat(body_bytes)),
    }
}

#[gtest]
fn each_of_ten_thousand_items_is_in_one_batch_of_bounded_size() {
    let mut items: Vec<Item> = (0..10_000)
        .map(|number| item(ItemKind::Route, number, 300))
        .collect();
    items.push(item(ItemKind::Evacuation, 10_000, 2));
    let batches = item_batches(items.clone());
    for batch in &batches {
        let reply = StoreReply::Items {
            items: batch.clone(),
        };
        let frame = frames::encode(&reply).expect("a frame");
        expect_that!(frame.len(), lt(ITEM_BATCH_BYTES + 1_024));
    }
    expect_that!(batches[0][0].key.kind, eq(ItemKind::Evacuation));
    let mut sent: Vec<Item> = batches.into_iter().flatten().collect();
    sent.sort_by_key(|item| item.version);
    expect_that!(sent == items, eq(true));
}

#[gtest]
fn no_items_yield_one_empty_batch_and_a_long_item_closes_its_batch() {
    expect_that!(item_batches(Vec::new()), eq(&vec![Vec::new()]));
    let long = 3 * ITEM_BATCH_BYTES;
    let items: Vec<Item> = (0..3)
        .map(|number| item(ItemKind::Service, number, long))
        .collect();
    let lengths: Vec<usize> = item_batches(items).iter().map(Vec::len).collect();
    expect_that!(lengths, eq(&vec![1, 1, 1]));
}
