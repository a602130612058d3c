//! Comparison of states: a comparison counts only once the replica knows everything that may have been acknowledged.

mod cluster;

use cluster::replica::{ballot, handle, messages_to, receive, receive_from, roster, voter};
use emberpin_config::{Item, ItemKey, ItemKind, Version};
use emberpin_consensus::message::{Accept, Chosen, Message};
use emberpin_consensus::{Event, Guards, Timestamp};
use googletest::prelude::*;
use std::time::Duration;

/// Whether a replica counts a comparison with a voter that has accepted an item.
#[derive(Debug, PartialEq)]
struct Confirmation {
    before_learning_the_item: bool,
    after_learning_the_item: bool,
}

/// Machine 3 has proposed and acknowledged an item, which 1 has accepted, and is down. 2 does not know the item, and
/// compares its state with 1.
fn compare_with_a_voter_that_accepted_an_item(guards: Guards) -> Confirmation {
    let (mut acceptor, mut replica) = (voter(1, guards), voter(2, guards));
    let item = Item {
        key: ItemKey {
            kind: ItemKind::Service,
            name: "s".into(),
        },
        version: Version(7),
        body: Some("{}".into()),
    };
    let accept = Accept {
        ballot: ballot(9, 3),
        roster: roster(),
        chosen: Vec::new(),
        items: vec![item.clone()],
    };
    receive(&mut acceptor, Message::Accept(accept));

    let actions = handle(&mut replica, 2_000, Event::Tick);
    let compare = messages_to(actions, 1)
        .into_iter()
        .find(|message| matches!(message, Message::CompareDigest(_)))
        .expect("a comparison is due");
    let actions = receive_from(&mut acceptor, 2_000, 2, compare);
    let matches = messages_to(actions, 2)
        .into_iter()
        .find(|message| matches!(message, Message::DigestMatches(_)))
        .expect("both know the same chosen items");
    receive_from(&mut replica, 2_001, 1, matches);
    let confirmed_age = |millis: u64| replica.confirmed_age(Timestamp::from_millis(millis));
    let before_learning_the_item = confirmed_age(2_001).is_some();

    let items = vec![item];
    receive_from(&mut replica, 2_100, 1, Message::Chosen(Chosen { items }));
    let age = replica.confirmed_age(Timestamp::from_millis(2_100));
    Confirmation {
        before_learning_the_item,
        after_learning_the_item: age == Some(Duration::from_millis(100)),
    }
}

#[gtest]
fn comparison_counts_once_the_accepted_items_of_the_peer_are_known() {
    expect_that!(
        compare_with_a_voter_that_accepted_an_item(Guards::default()),
        eq(&Confirmation {
            before_learning_the_item: false,
            after_learning_the_item: true,
        })
    );
}

#[gtest]
fn comparison_without_accepted_items_confirms_a_state_that_lacks_an_acknowledged_item() {
    let guards = Guards {
        compare_accepted: false,
        ..Guards::default()
    };
    expect_that!(
        compare_with_a_voter_that_accepted_an_item(guards),
        eq(&Confirmation {
            before_learning_the_item: true,
            after_learning_the_item: true,
        })
    );
}
