//! The owner of a work: which attempts may be sent, and when its client gets the outcome.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{Cluster, ACCEPTORS, CLAIMANT, DEDUPLICATION_WINDOW_MS, REPLY_TIMEOUT_MS};
use emberpin_failover::{Ballot, Event, Member, Message, Usage};

#[test]
fn an_attempt_is_sent_and_an_outcome_confirmed_once_a_majority_answers() {
    let mut cluster = Cluster::new(Some(DEDUPLICATION_WINDOW_MS), 10.0);
    cluster.start_work();
    assert_eq!(
        cluster.sent.len(),
        0,
        "the owner's own acceptance is no majority"
    );
    cluster.run_for(50.0);
    assert_eq!(cluster.sent.len(), 1);
    cluster.handle(CLAIMANT, Event::WorkCompleted(cluster.work_id()));
    assert_eq!(
        cluster.allowed_responses, 0,
        "its client gets no outcome before a majority knows of it"
    );
    cluster.run_for(50.0);
    assert_eq!(cluster.allowed_responses, 1);
    assert_usage(&cluster, 1, 0);
    cluster.run_for(10_000.0);
    assert_usage(&cluster, 0, 0);
}

fn assert_usage(cluster: &Cluster, entries: usize, bytes: usize) {
    for index in 0..ACCEPTORS.len() {
        assert_eq!(cluster.usage(index), Some(Usage { entries, bytes }));
    }
}

#[test]
fn a_response_is_allowed_after_the_completion_timeout_when_no_acceptor_answers() {
    let mut cluster = Cluster::with_sent_attempt(Some(DEDUPLICATION_WINDOW_MS));
    for other in 1..3 {
        cluster.handle(CLAIMANT, Event::MemberUnreachable(Member(other)));
    }
    cluster.handle(CLAIMANT, Event::WorkCompleted(cluster.work_id()));
    cluster.run_for(300.0);
    assert_eq!(cluster.allowed_responses, 0);
    cluster.run_for(150.0);
    assert_eq!(cluster.allowed_responses, 1);
}

#[test]
fn acceptances_after_the_reply_timeout_allow_no_attempt() {
    let mut cluster = Cluster::new(Some(DEDUPLICATION_WINDOW_MS), 10.0);
    cluster.start_work();
    // The owner is paused for longer than the time-out: acceptors may have promised the work to a candidate meanwhile.
    cluster.now_ms += 2.0 * REPLY_TIMEOUT_MS;
    (1..3).for_each(|to| _ = cluster.deliver(CLAIMANT, to));
    (1..3).for_each(|from| _ = cluster.deliver(from, CLAIMANT));
    assert_eq!(cluster.sent.len(), 0);
}

#[test]
fn an_acceptance_of_another_ballot_allows_no_attempt() {
    let mut cluster = Cluster::new(Some(DEDUPLICATION_WINDOW_MS), 10.0);
    cluster.start_work();
    let work_id = cluster.work_id();
    let ballot = Ballot {
        round: 5,
        proposer: Member(1),
    };
    cluster.receive(CLAIMANT, 1, Message::Accepted { work_id, ballot });
    assert_eq!(cluster.sent.len(), 0);
}
