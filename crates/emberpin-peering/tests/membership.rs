//! Changes of the membership.
#![allow(missing_docs, reason = "a test has no public interface")]

#[path = "common/network.rs"]
mod network;

use emberpin_peering::MembershipEpoch;
use network::{millis, Network};

#[test]
fn a_membership_change_is_announced_by_its_epoch_and_disconnects_removed_peers() {
    let mut network = Network::connected(3);
    // Host 2 is removed: first host 0 applies the change, then host 1.
    network.change_membership(0, 2, &[1]);
    network.run(millis(300));
    assert_eq!(network.state(1, 0).epoch, MembershipEpoch(2));
    assert_eq!(network.state(0, 1).epoch, MembershipEpoch(1));
    network.change_membership(1, 2, &[0]);
    network.run(millis(300));
    assert_eq!(network.state(0, 1).epoch, MembershipEpoch(2));
    assert_eq!(network.peer_count(0), 1);
    assert!(
        !network.state(2, 0).reachable,
        "a removed host has no reachable peers"
    );
    // An epoch that is not newer is ignored.
    network.change_membership(0, 2, &[]);
    assert_eq!(network.peer_count(0), 1);
}
