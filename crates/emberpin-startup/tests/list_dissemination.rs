//! Tests how lists spread from watchers to the other limiters, and how limiters become watchers and are replaced.
#![allow(missing_docs, reason = "a test has no public interface")]

mod simulated_group;

use emberpin_startup::list_dissemination::{Action, ListDissemination};
use emberpin_startup::list_messages::{Incarnation, ListMessage, ListVersion, WatcherHeartbeat};
use simulated_group::{version, Fault, SimulatedGroup, CONFIG, WATCHERS};
use std::collections::BTreeSet;
use std::time::Duration;

const NOW: Duration = Duration::from_millis(1);

#[test]
fn few_limiters_call_and_all_get_the_list_in_a_group_of_any_size() {
    for size in [1, 2, 3, 10, 100, 1000] {
        let mut group = SimulatedGroup::new(size, 1, vec![]);
        group.run_until(10_000);
        group.assert_settled();
        let max_calls = WATCHERS.max(size as usize / 5).min(size as usize);
        let calls = group.calls.len();
        assert!(calls <= max_calls, "{size}: {calls} calls");
        // A change reaches all limiters through the watchers.
        group.revision += 1;
        group.run_until(10_500);
        group.assert_settled();
    }
}

#[test]
fn watchers_that_are_killed_together_are_replaced_with_few_calls() {
    let mut group = SimulatedGroup::new(100, 2, vec![]);
    group.run_until(10_000);
    let fault = Fault::Kill(group.watchers(), 10_010..60_000);
    group.faults.push(fault);
    group.revision += 1;
    group.run_until(16_000);
    let calls = group.calls_since(10_000);
    assert!((WATCHERS..=10).contains(&calls), "{calls} calls");
    assert_eq!(
        group.nodes_with(2),
        100 - WATCHERS,
        "all limiters that were not killed"
    );
}

#[test]
fn surplus_watchers_end_their_watch_after_an_outage_of_the_service() {
    let mut group = SimulatedGroup::new(60, 3, vec![Fault::ServiceOutage(0..8_000)]);
    group.run_until(8_000);
    let calls = group.calls.len();
    assert!(calls >= 60, "every limiter called: {calls}");
    group.run_until(30_000);
    group.assert_settled();
}

/// The dissemination of one of three limiters, without a network.
struct Limiter {
    dissemination: ListDissemination,
}

impl Limiter {
    fn with_list(revision: u64) -> Limiter {
        let members = BTreeSet::from([0, 1, 2]);
        Limiter {
            dissemination: ListDissemination::new(
                0,
                Incarnation(1),
                &members,
                CONFIG,
                Some(revision),
            ),
        }
    }

    fn receive(&mut self, message: ListMessage) -> Vec<Action> {
        let mut actions = Vec::new();
        self.dissemination.on_message(NOW, 1, message, &mut actions);
        actions
    }

    fn accept(&mut self, version: ListVersion) {
        self.dissemination
            .on_list_accepted(NOW, version, &mut Vec::new());
    }
}

fn heartbeat(sequence: u64, version: ListVersion) -> ListMessage {
    ListMessage::Heartbeat(WatcherHeartbeat {
        watcher: 1,
        incarnation: Incarnation(1),
        sequence,
        version,
    })
}

fn list(version: ListVersion) -> ListMessage {
    ListMessage::List {
        version,
        entries: vec![],
    }
}

#[test]
fn an_older_list_of_the_same_epoch_is_ignored_and_its_watcher_does_not_count() {
    let mut limiter = Limiter::with_list(9);
    assert_eq!(limiter.receive(heartbeat(1, version(8))), []);
    assert_eq!(limiter.dissemination.watcher_count(NOW), 0);
    limiter.accept(version(8));
    assert_eq!(limiter.dissemination.version(), Some(version(9)));
}

#[test]
fn an_older_list_of_a_higher_epoch_is_requested_and_confirmed() {
    let mut limiter = Limiter::with_list(9);
    let overridden = ListVersion {
        epoch: 1,
        revision: 4,
    };
    let request = Action::Send {
        to: 1,
        message: ListMessage::Request {
            version: overridden,
        },
    };
    assert_eq!(limiter.receive(heartbeat(2, overridden)), [request]);
    let evaluate = Action::EvaluateList {
        version: overridden,
        confirmed: true,
        entries: vec![],
    };
    assert_eq!(limiter.receive(list(overridden)), [evaluate]);
    limiter.accept(overridden);
    // A newer revision of the previous epoch is ignored.
    assert_eq!(limiter.receive(heartbeat(3, version(10))), []);
    assert_eq!(limiter.receive(list(version(10))), []);
    assert_eq!(limiter.dissemination.version(), Some(overridden));
}

#[test]
fn a_newer_list_that_was_not_requested_is_dropped() {
    let mut limiter = Limiter::with_list(9);
    assert_eq!(limiter.receive(list(version(10))), []);
}
