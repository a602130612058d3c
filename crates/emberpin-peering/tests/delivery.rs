//! Delivery of messages: order, sequence numbers, addressed incarnations, and the send window.
#![allow(missing_docs, reason = "a test has no public interface")]

#[path = "common/network.rs"]
mod network;

use emberpin_peering::{CloseReason, Message, SendError};
use network::{first_incarnation, hello, millis, Network};

#[test]
fn messages_of_a_sender_arrive_in_order() {
    let mut network = Network::connected(3);
    network.assert_all_connected();
    for text in ["a", "b", "c"] {
        network.send(0, 1, text);
    }
    network.send(2, 1, "d");
    network.run(millis(50));
    assert_eq!(network.bodies(1), ["a", "b", "c", "d"]);
    assert_eq!(
        network.hosts[1].delivered[0].sender_incarnation,
        network.hosts[0].incarnation
    );
}

#[test]
fn data_repeated_or_out_of_sequence_or_for_another_incarnation_is_not_delivered() {
    let data = |sequence, recipient_nonce| Message::Data {
        sequence,
        recipient_nonce,
        kind: 1,
        body: vec![7],
    };
    let nonce = first_incarnation(0).nonce;
    let cases: [(&[Message], CloseReason); 3] = [
        (
            &[data(1, nonce), data(1, nonce)],
            CloseReason::SequenceMismatch {
                received: 1,
                expected: 2,
            },
        ),
        (
            &[data(1, nonce), data(3, nonce)],
            CloseReason::SequenceMismatch {
                received: 3,
                expected: 2,
            },
        ),
        (
            &[data(1, nonce), data(2, nonce + 5)],
            CloseReason::WrongIncarnation,
        ),
    ];
    for (messages, reason) in cases {
        let mut network = Network::new(2);
        let connection = network.accept_raw(Some(vec!["n1".into()]));
        network.receive_message(connection, &hello("n1"));
        for message in messages {
            network.receive_message(connection, message);
        }
        assert_eq!(network.hosts[0].close_reasons, [reason]);
        assert_eq!(network.hosts[0].delivered.len(), 1);
    }
}

#[test]
fn a_full_send_window_rejects_new_messages_until_older_ones_are_acknowledged() {
    let mut network = Network::connected(2);
    network.hosts[1].paused = true;
    let body = |number: usize| format!("{number:0100}");
    for number in 0..100 {
        network.send(0, 1, &body(number));
    }
    let errors = &network.hosts[0].send_errors;
    let rejected = errors.len();
    assert!(
        rejected > 50 && errors.iter().all(|error| *error == SendError::WindowFull),
        "{rejected}"
    );
    network.hosts[1].paused = false;
    network.run(millis(300));
    let accepted: Vec<String> = (0..100 - rejected).map(body).collect();
    assert_eq!(
        network.bodies(1),
        accepted,
        "the messages sent before the window was full"
    );
    network.send(0, 1, "again");
    network.send(0, 1, &"x".repeat(2000));
    network.run(millis(50));
    assert_eq!(network.bodies(1).last().map(String::as_str), Some("again"));
    assert_eq!(
        network.hosts[0].send_errors.last(),
        Some(&SendError::MessageTooLong)
    );
}
