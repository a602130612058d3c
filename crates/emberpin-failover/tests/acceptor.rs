//! One acceptor by itself: what it promises, accepts and has capacity for.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{config, first_incarnation, work_id, CLAIMANT_BALLOT, FIRST_ATTEMPT};
use emberpin_failover::{
    Action, Ballot, Config, Event, Failover, FirstAttempt, Member, Message, Timestamp, Verdict,
    Work,
};

const ACCEPTOR: usize = 1;

fn ballot(round: u32, proposer: u32) -> Ballot {
    Ballot {
        round,
        proposer: Member(proposer),
    }
}

fn answers(acceptor: &mut Failover, from: Member, message: Message) -> Vec<Message> {
    let mut actions = Vec::new();
    let event = Event::MessageReceived { from, message };
    acceptor.handle(Timestamp::from_millis(0.0), event, &mut actions);
    let message = |action| match action {
        Action::Send { message, .. } => Some(message),
        _ => None,
    };
    actions.into_iter().filter_map(message).collect()
}

fn prepare(ballot: Ballot) -> Message {
    Message::Prepare {
        work_id: work_id(1),
        ballot,
        acceptor_incarnation: first_incarnation(ACCEPTOR),
    }
}

fn promises(acceptor: &mut Failover, ballot: Ballot) -> bool {
    answers(acceptor, ballot.proposer, prepare(ballot))
        .iter()
        .any(|answer| matches!(answer, Message::Promise { .. }))
}

fn accepts(
    acceptor: &mut Failover,
    claim_number: u64,
    ballot: Ballot,
    payload_bytes: usize,
) -> bool {
    let accept = Message::Accept {
        work_id: work_id(claim_number),
        ballot,
        acceptor_incarnation: first_incarnation(ACCEPTOR),
        first_attempt: FirstAttempt {
            age_ms: f64::NAN,
            ..FIRST_ATTEMPT
        },
        work: Work {
            payload: vec![0; payload_bytes],
            deduplication_window_ms: None,
            time_left_ms: f64::INFINITY,
        },
    };
    answers(acceptor, ballot.proposer, accept)
        .iter()
        .any(|answer| matches!(answer, Message::Accepted { .. }))
}

#[test]
fn an_acceptor_promises_no_ballot_below_one_it_has_promised() {
    let config = config(ACCEPTOR, first_incarnation(ACCEPTOR), 1.0);
    let mut acceptor = Failover::new(config, Timestamp::from_millis(0.0));
    assert!(promises(&mut acceptor, ballot(2, 2)));
    assert!(
        !promises(&mut acceptor, ballot(1, 3)),
        "a lower ballot is rejected after a higher one has been promised"
    );
    assert!(promises(&mut acceptor, ballot(2, 3)));
}

#[test]
fn an_acceptor_accepts_no_attempt_below_a_ballot_it_has_promised() {
    let config = config(ACCEPTOR, first_incarnation(ACCEPTOR), 1.0);
    let mut acceptor = Failover::new(config, Timestamp::from_millis(0.0));
    assert!(promises(&mut acceptor, ballot(2, 2)));
    assert!(
        !accepts(&mut acceptor, 1, CLAIMANT_BALLOT, 100),
        "the claimant's ballot is lower than the one promised to the candidate"
    );
    assert!(!accepts(&mut acceptor, 1, ballot(1, 3), 100));
    assert!(accepts(&mut acceptor, 1, ballot(2, 2), 100));
}

#[test]
fn an_acceptor_answers_a_candidate_with_the_outcome_that_it_knows() {
    for verdict in [Verdict::NotSent, Verdict::MayHaveRun] {
        let config = config(ACCEPTOR, first_incarnation(ACCEPTOR), 1.0);
        let mut acceptor = Failover::new(config, Timestamp::from_millis(0.0));
        let abandoned = Message::Abandoned(work_id(1), verdict);
        assert!(answers(&mut acceptor, Member(2), abandoned.clone()).is_empty());
        assert_eq!(
            answers(&mut acceptor, Member(3), prepare(ballot(2, 3))),
            [abandoned]
        );
    }
}

#[test]
fn an_acceptor_without_capacity_rejects_new_work() {
    let config = Config {
        max_entries: 1,
        ..config(ACCEPTOR, first_incarnation(ACCEPTOR), 1.0)
    };
    let mut acceptor = Failover::new(config, Timestamp::from_millis(0.0));
    assert!(
        !accepts(&mut acceptor, 1, CLAIMANT_BALLOT, 20_000),
        "above the byte limit"
    );
    assert!(accepts(&mut acceptor, 2, CLAIMANT_BALLOT, 100));
    assert!(
        !accepts(&mut acceptor, 3, CLAIMANT_BALLOT, 100),
        "above the entry limit"
    );
}
