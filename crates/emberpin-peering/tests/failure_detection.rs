//! Failure detection under partitions, pauses, restarts and clocks that differ.
#![allow(missing_docs, reason = "a test has no public interface")]

#[path = "common/network.rs"]
mod network;

use emberpin_peering::{CloseReason, Event, Liveness, SendError};
use network::{hello, millis, Network};

#[test]
fn a_partition_makes_both_sides_suspect_each_other_and_heals() {
    let mut network = Network::connected(3);
    network.partition(0, 1);
    network.partition(0, 2);
    network.run(millis(600));
    assert_eq!(
        [network.health(0, 1), network.health(1, 0)],
        [(Liveness::Suspected, false); 2]
    );
    assert_eq!(
        network.health(1, 2),
        (Liveness::Alive, true),
        "the other two hosts are connected to each other"
    );
    network.run(millis(1500));
    assert_eq!(
        [network.health(0, 2), network.health(2, 0)],
        [(Liveness::Dead, false); 2]
    );
    network.send(0, 1, "lost");
    assert_eq!(network.hosts[0].send_errors, [SendError::NotConnected]);
    network.partitioned.clear();
    network.run(millis(1000));
    network.assert_all_connected();
    assert_eq!(network.bodies(1), Vec::<String>::new());
}

#[test]
fn a_one_way_partition_is_detected_at_both_ends() {
    let mut network = Network::connected(2);
    network.partitioned = [(0, 1)].into();
    network.run(millis(600));
    // Host 0 receives heartbeats from host 1, but no acknowledgements of its own; host 1 receives nothing.
    assert_eq!(network.health(0, 1), (Liveness::Alive, false));
    assert_eq!(network.health(1, 0), (Liveness::Suspected, false));
    network.partitioned.clear();
    network.run(millis(2500));
    network.assert_all_connected();
}

#[test]
fn a_process_paused_for_10_s_is_considered_dead_and_returns_in_the_same_incarnation() {
    let mut network = Network::connected(3);
    let incarnation = network.state(0, 2).incarnation;
    network.hosts[2].paused = true;
    network.run(millis(10_000));
    assert_eq!(
        [network.health(0, 2), network.health(1, 2)],
        [(Liveness::Dead, false); 2]
    );
    network.hosts[2].paused = false;
    // At the first tick after the pause, nothing has been received for 10 s.
    network.handle_event(2, Event::Tick);
    assert_eq!(network.state(2, 0).liveness, Liveness::Dead);
    network.run(millis(1000));
    network.assert_all_connected();
    assert_eq!(network.state(0, 2).incarnation, incarnation);
    assert!(!network.hosts[2].superseded);
}

#[test]
fn an_accepted_connection_without_heartbeats_times_out() {
    let mut network = Network::new(2);
    network.kill(1);
    let connection = network.accept_raw(Some(vec!["n1".into()]));
    network.receive_message(connection, &hello("n1"));
    network.run(millis(1490));
    assert_eq!(network.hosts[0].close_reasons, []);
    network.run(millis(10));
    assert_eq!(network.hosts[0].close_reasons, [CloseReason::TimedOut]);
}

#[test]
fn clocks_that_differ_by_5_s_have_no_effect() {
    let mut network = Network::new(3);
    network.hosts[0].clock_offset_millis = 5000;
    network.hosts[1].clock_offset_millis = -900;
    network.run(millis(600));
    network.assert_all_connected();
    // A clock that steps back has no effect either.
    network.hosts[0].clock_offset_millis = 0;
    network.run(millis(300));
    assert_eq!(network.state(1, 0).liveness, Liveness::Alive);
}

/// Guards `closed_by_peer`: a process that exits closes its connections, while a partition and a paused process lead to
/// a time-out. After a time-out, requests that the peer had in flight may still be running.
#[test]
fn the_exit_of_a_process_is_distinguished_from_a_partition_and_a_pause() {
    let seen_closed_after = |fault: &dyn Fn(&mut Network)| {
        let mut network = Network::new(3);
        network.run(millis(1_000));
        fault(&mut network);
        let mut seen = false;
        for _ in 0..500 {
            network.run(millis(10));
            seen |= network.state(0, 1).closed_by_peer;
        }
        seen
    };
    assert!(seen_closed_after(&|network| network.kill(1)));
    assert!(!seen_closed_after(&|network| network.partition(0, 1)));
    assert!(!seen_closed_after(&|network| network
        .partitioned
        .extend([(0, 1)])));
    assert!(!seen_closed_after(&|network| network
        .partitioned
        .extend([(1, 0)])));
    assert!(!seen_closed_after(&|network| network.hosts[1].paused = true));
}
