//! Takeovers after the loss of an owner: who runs the work, whether it is sent again, and what becomes of it otherwise.
//! A candidate is an acceptor that has learned of the loss and asks the others whether it may take the work over; the
//! successor is the one that does.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{
    work_id, Cluster, ACCEPTORS, CLAIMANT, CLAIMANT_BALLOT, DEDUPLICATION_WINDOW_MS, FIRST_ATTEMPT,
};
use emberpin_failover::{Event, Member, Message, Verdict};
use std::collections::VecDeque;

#[test]
fn work_inside_its_window_is_taken_over_once() {
    let mut cluster = Cluster::with_sent_attempt(Some(DEDUPLICATION_WINDOW_MS));
    cluster.kill(CLAIMANT, false);
    cluster.report_claimant_ended();
    cluster.run_for(1_000.0);
    assert_eq!(
        (cluster.sent.len(), cluster.takeovers),
        (2, 1),
        "attempts and takeovers: the claimant and one successor each send an attempt"
    );
}

#[test]
fn work_without_a_window_or_past_it_is_abandoned_with_the_verdict_may_have_run() {
    let cases = [
        (None, 0.0),
        (Some(DEDUPLICATION_WINDOW_MS), DEDUPLICATION_WINDOW_MS),
    ];
    for (window_ms, delay_ms) in cases {
        let mut cluster = Cluster::new(window_ms, 10.0);
        cluster.start_work();
        cluster.run_for(50.0 + delay_ms);
        cluster.kill(CLAIMANT, false);
        cluster.report_claimant_ended();
        cluster.run_for(1_000.0);
        assert_eq!((cluster.sent.len(), cluster.takeovers), (1, 0));
        assert_all_verdicts(&cluster, Verdict::MayHaveRun);
    }
}

fn assert_all_verdicts(cluster: &Cluster, expected: Verdict) {
    let verdicts = &cluster.verdicts;
    assert!(!verdicts.is_empty());
    assert!(
        verdicts.iter().all(|verdict| *verdict == expected),
        "{verdicts:?}"
    );
}

#[test]
fn an_attempt_that_no_majority_has_accepted_is_never_sent_after_abandonment() {
    let mut cluster = Cluster::new(None, 10.0);
    cluster.start_work();
    // The claimant is slow, but running: its messages have not arrived when the others learn of its supposed end.
    let delayed: Vec<_> = std::mem::take(&mut cluster.links).into_iter().collect();
    for index in 1..3 {
        cluster.handle(index, Event::MemberUnreachable(Member(0)));
        cluster.report_ended(index, CLAIMANT, 1);
    }
    cluster.run_for(90.0);
    assert_all_verdicts(&cluster, Verdict::NotSent);
    (1..3).for_each(|index| cluster.handle(index, Event::MemberReachable(Member(0))));
    cluster.links.extend(delayed);
    cluster.run_for(300.0);
    assert_eq!(
        cluster.sent.len(),
        0,
        "acceptors reject the claimant's ballot"
    );
    assert!(cluster.denied > 0);
}

#[test]
fn a_restarted_acceptor_promises_nothing_for_earlier_work() {
    let mut cluster = Cluster::with_sent_attempt(None);
    cluster.kill(CLAIMANT, false);
    cluster.kill(1, false);
    cluster.restart(1);
    // The other acceptor alone is no majority, so it must give the work no verdict.
    cluster.report_claimant_ended();
    cluster.run_for(2_000.0);
    assert!(cluster.verdicts.is_empty(), "{:?}", cluster.verdicts);
}

#[test]
fn a_restarted_acceptor_accepts_no_attempt_of_earlier_work() {
    let mut cluster = Cluster::new(None, 10.0);
    cluster.start_work();
    let mut delayed = std::mem::take(&mut cluster.links);
    for index in 1..3 {
        cluster.handle(index, Event::MemberUnreachable(Member(0)));
        cluster.report_ended(index, CLAIMANT, 1);
    }
    cluster.run_for(90.0);
    assert!(cluster.verdicts.contains(&Verdict::NotSent));
    // The acceptor loses its promise in a restart, and the claimant's request arrives only after that.
    cluster.kill(1, false);
    cluster.restart(1);
    let link = delayed.get_mut(&(CLAIMANT, 1));
    let message = link
        .and_then(VecDeque::pop_front)
        .expect("the claimant has asked this acceptor");
    cluster.receive(1, CLAIMANT, message);
    cluster.run_for(90.0);
    assert_eq!(cluster.sent.len(), 0);
}

#[test]
fn the_loss_of_claimant_and_successor_leaves_no_majority_for_another_takeover() {
    let mut cluster = Cluster::with_sent_attempt(Some(DEDUPLICATION_WINDOW_MS));
    cluster.kill(CLAIMANT, false);
    cluster.report_ended(1, CLAIMANT, 1);
    cluster.run_for(30.0);
    assert_eq!(cluster.takeovers, 1);
    cluster.kill(1, false);
    cluster.restart(1);
    cluster.report_ended(2, 1, 1);
    cluster.run_for(500.0);
    assert_eq!(
        cluster.takeovers, 1,
        "one of three acceptors remembers the work: no majority"
    );
    assert_eq!(cluster.sent.len(), 2);
}

#[test]
fn takeovers_above_the_rate_limit_are_abandoned_with_the_verdict_may_have_run() {
    let mut cluster = Cluster::new(Some(DEDUPLICATION_WINDOW_MS), 0.0);
    cluster.start_work();
    cluster.run_for(50.0);
    // At a rate limit of 0 takeovers per second the burst still allows one; there are two works to take over.
    let work_id = work_id(8);
    for index in 1..3 {
        let acceptors = ACCEPTORS.to_vec();
        cluster.handle(index, Event::KeyGranted { work_id, acceptors });
    }
    let accept = Message::Accept {
        work_id,
        ballot: CLAIMANT_BALLOT,
        acceptor_incarnation: cluster.incarnations[1],
        first_attempt: FIRST_ATTEMPT,
        work: cluster.work.clone(),
    };
    cluster.receive(1, CLAIMANT, accept);
    cluster.kill(CLAIMANT, false);
    cluster.report_ended(1, CLAIMANT, 1);
    cluster.run_for(80.0);
    assert_eq!(cluster.takeovers, 1);
    assert!(cluster.verdicts.contains(&Verdict::MayHaveRun));
}

#[test]
fn work_without_time_left_is_not_taken_over() {
    let mut cluster = Cluster::new(Some(DEDUPLICATION_WINDOW_MS), 10.0);
    cluster.work.time_left_ms = 100.0;
    cluster.start_work();
    cluster.run_for(50.0);
    cluster.kill(CLAIMANT, false);
    cluster.run_for(100.0);
    cluster.report_claimant_ended();
    cluster.run_for(500.0);
    assert_eq!((cluster.takeovers, cluster.sent.len()), (0, 1));
    assert!(cluster.verdicts.contains(&Verdict::MayHaveRun));
}

#[test]
fn a_member_that_learns_late_of_the_loss_leaves_the_work_to_the_successor() {
    let mut cluster = Cluster::with_sent_attempt(Some(DEDUPLICATION_WINDOW_MS));
    cluster.kill(CLAIMANT, false);
    cluster.report_ended(1, CLAIMANT, 1);
    cluster.run_for(60.0);
    cluster.report_ended(2, CLAIMANT, 1);
    cluster.run_for(800.0);
    assert_eq!((cluster.takeovers, cluster.sent.len()), (1, 2));
}

#[test]
fn the_same_loss_reported_again_starts_no_second_takeover() {
    let mut cluster = Cluster::with_sent_attempt(Some(DEDUPLICATION_WINDOW_MS));
    cluster.kill(CLAIMANT, false);
    for _ in 0..2 {
        // The host reports a loss twice: when the connection ends, and when the member is back in a new incarnation.
        cluster.report_ended(1, CLAIMANT, 1);
        cluster.run_for(100.0);
    }
    assert_eq!((cluster.takeovers, cluster.sent.len()), (1, 2));
}

#[test]
fn a_candidate_that_missed_the_completion_learns_of_it_and_takes_nothing_over() {
    let mut cluster = Cluster::with_sent_attempt(Some(DEDUPLICATION_WINDOW_MS));
    for index in 0..2 {
        cluster.handle(index, Event::MemberUnreachable(Member(2)));
    }
    cluster.handle(CLAIMANT, Event::WorkCompleted(cluster.work_id()));
    assert_candidate_learns_outcome(cluster);
}

#[test]
fn a_candidate_that_missed_the_abandonment_learns_of_it_and_takes_nothing_over() {
    let mut cluster = Cluster::with_sent_attempt(None);
    // Without a window the first candidate abandons the work; its message to the other acceptor is lost.
    cluster.kill(CLAIMANT, false);
    cluster.report_ended(1, CLAIMANT, 1);
    (1..3).for_each(|index| cluster.handle(index, Event::Tick));
    _ = (cluster.deliver(1, 2), cluster.deliver(2, 1));
    assert_eq!(cluster.verdicts.len(), 1);
    cluster.links.clear();
    cluster.handle(1, Event::MemberUnreachable(Member(2)));
    assert_candidate_learns_outcome(cluster);
}

/// Two acceptors know the outcome. The third one was unreachable, and becomes a candidate.
fn assert_candidate_learns_outcome(mut cluster: Cluster) {
    cluster.run_for(60.0);
    cluster.kill(CLAIMANT, false);
    cluster.handle(1, Event::MemberReachable(Member(2)));
    cluster.report_ended(2, CLAIMANT, 1);
    cluster.run_for(800.0);
    assert_eq!((cluster.takeovers, cluster.sent.len()), (0, 1));
    assert!(!cluster.verdicts.contains(&Verdict::NotSent));
}

#[test]
fn the_window_counts_from_the_first_attempt_also_after_a_later_one() {
    let mut cluster = Cluster::new(Some(DEDUPLICATION_WINDOW_MS), 10.0);
    cluster.start_work();
    cluster.run_for(1_000.0);
    let work = cluster.work.clone();
    cluster.request_attempt(CLAIMANT, cluster.work_id(), 1, work);
    cluster.run_for(400.0);
    cluster.kill(CLAIMANT, false);
    cluster.report_claimant_ended();
    cluster.run_for(500.0);
    assert_eq!(
        cluster.takeovers, 0,
        "1.4 s after the first attempt the window of 1.5 s, less its safety margin, has passed"
    );
}
