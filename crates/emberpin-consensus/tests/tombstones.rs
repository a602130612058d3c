//! Removal of tombstones: replicas agree on the removed tombstones, on their disks and in their digests.

mod cluster;

use cluster::replica::{
    ballot, handle, messages_to, receive, roster, voter_with_items, writes_among,
};
use emberpin_config::{Checkpoint, Item, ItemKey, ItemKind, Version, MAX_TOMBSTONES};
use emberpin_consensus::message::{Accept, Chosen, Message};
use emberpin_consensus::{AcceptedProposal, Event};
use googletest::prelude::*;

fn service_key(name: &str) -> ItemKey {
    ItemKey {
        kind: ItemKind::Service,
        name: name.into(),
    }
}

/// One tombstone more than the limit, in ascending order of versions; and the checkpoint that removes the first of
/// them.
fn tombstones_and_checkpoint() -> (Vec<Item>, Item) {
    let tombstones: Vec<Item> = (0..=MAX_TOMBSTONES)
        .map(|number| Item {
            key: service_key(&format!("s{number}")),
            version: Version(number as u64 + 1),
            body: None,
        })
        .collect();
    let configuration = tombstones
        .iter()
        .cloned()
        .chain([long_lived_service()])
        .collect();
    let checkpoint =
        Checkpoint::next_if_due(&configuration, MAX_TOMBSTONES).expect("one tombstone too many");
    (tombstones, checkpoint)
}

/// A service that was set before all of the tombstones.
fn long_lived_service() -> Item {
    Item {
        key: service_key("old"),
        version: Version(0),
        body: Some("{}".into()),
    }
}

/// The live version of the item before its tombstone.
fn live_version_of(tombstone: &Item) -> Item {
    Item {
        version: Version(0),
        body: Some("{}".into()),
        ..tombstone.clone()
    }
}

fn chosen(items: &[Item]) -> Message {
    Message::Chosen(Chosen {
        items: items.to_vec(),
    })
}

#[gtest]
fn digests_match_after_tombstones_were_removed() {
    let (tombstones, checkpoint) = tombstones_and_checkpoint();
    // The first replica had the oldest tombstone and removed it. The second one knew only the live version of that
    // service, and learns the checkpoint before the tombstones.
    let first = [&tombstones[..], std::slice::from_ref(&checkpoint)].concat();
    let live = live_version_of(&tombstones[0]);
    let second = [&[live.clone(), checkpoint, live], &tombstones[1..]].concat();
    let mut one = voter_with_items(1, &first);
    let mut other = voter_with_items(2, &second);
    expect_that!(one.state().iter().eq(other.state().iter()), eq(true));
    expect_that!(one.state().get(&tombstones[0].key), none());
    let compare = messages_to(handle(&mut one, 10_000, Event::Tick), 2)
        .into_iter()
        .find(|message| matches!(message, Message::CompareDigest(_)))
        .expect("a comparison is due");
    let answers = messages_to(receive(&mut other, compare), 3);
    expect_that!(matches!(answers[..], [Message::DigestMatches(_)]), eq(true));
}

#[gtest]
fn removed_tombstone_is_not_learned_again() {
    let (tombstones, checkpoint) = tombstones_and_checkpoint();
    let service = long_lived_service();
    let items = [&tombstones[..], &[service.clone(), checkpoint]].concat();
    let mut replica = voter_with_items(1, &items);
    expect_that!(replica.state().get(&tombstones[0].key), none());
    let again = chosen(&tombstones[..1]);
    expect_that!(receive(&mut replica, again), is_empty());
    // The version that the tombstone removed is not learned again either.
    let live = chosen(&[live_version_of(&tombstones[0])]);
    expect_that!(receive(&mut replica, live), is_empty());
    // A live service can still be removed by a version below the checkpoint.
    expect_that!(replica.state().get(&service.key), some(eq(&service)));
    let removal = Item {
        version: Version(1),
        body: None,
        ..service
    };
    receive(&mut replica, chosen(std::slice::from_ref(&removal)));
    expect_that!(replica.state().get(&removal.key), some(eq(&removal)));
}

#[gtest]
fn removed_tombstones_are_deleted_from_the_disk() {
    let (tombstones, checkpoint) = tombstones_and_checkpoint();
    let mut replica = voter_with_items(1, &tombstones);
    let set_again = Item {
        version: Version(900_000),
        body: Some("{}".into()),
        ..tombstones[1].clone()
    };
    let actions = receive(&mut replica, chosen(&[checkpoint, set_again]));
    let writes = writes_among(actions);
    assert_that!(writes.len(), eq(1));
    let removed = &writes[0].removed;
    expect_that!(removed.contains(&tombstones[0].key), eq(true));
    expect_that!(
        removed.contains(&tombstones[1].key),
        eq(false),
        "it was set again"
    );
    let gone = tombstones
        .iter()
        .filter(|tombstone| replica.state().get(&tombstone.key).is_none())
        .count();
    expect_that!(removed.len(), eq(gone));
}

#[gtest]
fn accepted_removal_below_the_checkpoint_counts_as_chosen() {
    let (tombstones, checkpoint) = tombstones_and_checkpoint();
    let mut replica = voter_with_items(1, &[&tombstones[..], &[checkpoint]].concat());
    let ballot = ballot(9, 3);
    let accept = Accept {
        ballot,
        roster: roster(),
        chosen: Vec::new(),
        items: vec![tombstones[0].clone()],
    };
    let actions = receive(&mut replica, Message::Accept(accept));
    let accepted = writes_among(actions)
        .into_iter()
        .find_map(|write| write.accepted);
    let nothing_unchosen = AcceptedProposal {
        ballot,
        items: Vec::new(),
    };
    expect_that!(accepted, some(eq(&nothing_unchosen)));
}
