//! The handshake: identity, versions, incarnations, and connections that never complete it.
#![allow(missing_docs, reason = "a test has no public interface")]

#[path = "common/network.rs"]
mod network;

use emberpin_peering::{
    CloseReason, FrameTooLong, Incarnation, Liveness, MembershipEpoch, Message, RejectReason,
    VersionRange,
};
use network::{hello, hello_of_incarnation, millis, name, Network, MAX_PENDING_HANDSHAKES};

const SUCCESSOR: Incarnation = Incarnation {
    number: 101,
    nonce: 77,
};

fn certified(names: &[&str]) -> Option<Vec<String>> {
    Some(names.iter().map(|name| (*name).to_string()).collect())
}

/// The Hello of `n1` with one change.
fn changed_hello(change: impl Fn(&mut String, &mut String, &mut VersionRange)) -> Message {
    let mut message = hello("n1");
    if let Message::Hello {
        versions,
        cluster,
        recipient,
        ..
    } = &mut message
    {
        change(cluster, recipient, versions);
    }
    message
}

#[test]
fn a_hello_with_a_wrong_identity_or_version_is_rejected() {
    let cases = [
        (certified(&["n2"]), hello("n1"), RejectReason::InvalidName),
        (certified(&["n9"]), hello("n9"), RejectReason::InvalidName),
        (
            certified(&["n1"]),
            changed_hello(|cluster, _, _| *cluster = "syd".into()),
            RejectReason::WrongCluster,
        ),
        (
            certified(&["n1"]),
            changed_hello(|_, recipient, _| *recipient = name(2)),
            RejectReason::WrongRecipient,
        ),
        (
            certified(&["n1"]),
            changed_hello(|_, _, versions| {
                *versions = VersionRange {
                    oldest: 2,
                    newest: 9,
                }
            }),
            RejectReason::UnsupportedVersion(1),
        ),
    ];
    for (certificate_names, message, reason) in cases {
        let mut network = Network::new(2);
        let connection = network.accept_raw(certificate_names);
        network.receive_message(connection, &message);
        assert_eq!(
            network.hosts[0].close_reasons,
            [CloseReason::Rejected(reason)]
        );
        assert_eq!(network.state(0, 1).liveness, Liveness::Unknown);
    }
}

#[test]
fn invalid_bytes_and_too_many_pending_handshakes_close_only_their_own_connections() {
    let mut network = Network::connected(2);
    let garbage = network.accept_raw(None);
    network.receive_bytes(garbage, b"\0\0\0\x05GET /");
    assert!(matches!(
        network.hosts[0].close_reasons.pop(),
        Some(CloseReason::InvalidMessage(_))
    ));
    let huge = network.accept_raw(None);
    network.receive_bytes(huge, &[0xff; 8]);
    assert_eq!(
        network.hosts[0].close_reasons.pop(),
        Some(CloseReason::FrameTooLong(FrameTooLong { length: u32::MAX }))
    );
    let early = network.accept_raw(None);
    let heartbeat = Message::Heartbeat {
        epoch: MembershipEpoch(1),
    };
    network.receive_message(early, &heartbeat);
    assert_eq!(
        network.hosts[0].close_reasons.pop(),
        Some(CloseReason::UnexpectedMessage)
    );
    for _ in 0..1000 {
        network.accept_raw(None);
    }
    let rejected = network.hosts[0]
        .close_reasons
        .iter()
        .filter(|reason| **reason == CloseReason::TooManyPendingHandshakes)
        .count();
    assert_eq!(rejected, 1000 - MAX_PENDING_HANDSHAKES);
    network.hosts[0].close_reasons.clear();
    network.run(millis(600));
    assert_eq!(
        network.hosts[0].close_reasons,
        vec![CloseReason::TimedOut; MAX_PENDING_HANDSHAKES]
    );
    network.assert_all_connected();
}

#[test]
fn an_incarnation_that_resumes_after_its_successor_started_is_superseded() {
    let mut network = Network::connected(3);
    let paused = network.hosts[2].peering.clone();
    network.kill(2);
    network.run(millis(100));
    network.start(2, SUCCESSOR);
    network.run(millis(500));
    network.assert_all_connected();
    // The old process resumes elsewhere under the same name, with all of its connections closed.
    let successor = std::mem::replace(&mut network.hosts[2].peering, paused);
    for peer in [0, 1] {
        network.send(peer, 2, "for the successor");
    }
    network.run(millis(3000));
    assert!(network.hosts[2].superseded);
    assert_eq!(
        network.bodies(2),
        Vec::<String>::new(),
        "no message that was addressed to the successor"
    );
    assert_eq!(network.state(0, 2).incarnation, Some(SUCCESSOR));
    drop(successor);
}

#[test]
fn an_incarnation_started_with_its_clock_set_back_takes_a_higher_number() {
    let mut network = Network::connected(3);
    network.kill(1);
    network.run(millis(100));
    network.start(
        1,
        Incarnation {
            number: 95,
            nonce: 9,
        },
    );
    network.run(millis(2500));
    network.assert_all_connected();
    assert!(!network.hosts[1].superseded);
    let incarnation = network.state(0, 1).incarnation.expect("known");
    assert!(incarnation.number > 100 && incarnation.nonce == 9);
}

#[test]
fn a_second_connection_replaces_the_first_and_a_new_incarnation_replaces_all_connections() {
    let mut network = Network::connected(2);
    let second = network.accept_raw(certified(&["n1"]));
    let same = network::first_incarnation(1);
    network.receive_message(second, &hello_of_incarnation("n1", same));
    assert_eq!(
        network.hosts[0].close_reasons,
        [CloseReason::Replaced],
        "the connection that the peer had opened before"
    );
    let restarted = network.accept_raw(certified(&["n1"]));
    let new = Incarnation {
        number: 101,
        nonce: 5,
    };
    network.receive_message(restarted, &hello_of_incarnation("n1", new));
    // Two more were replaced: the second connection, and the one that this side had opened to the old incarnation.
    assert_eq!(
        network.hosts[0].close_reasons,
        vec![CloseReason::Replaced; 3]
    );
    assert!(
        !network.state(0, 1).reachable,
        "nothing is sent to the old incarnation"
    );
}
