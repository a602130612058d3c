//! Messages between limiters about work in flight, as an earlier build encoded them. The names of the recordings are
//! those of that build.
#![allow(missing_docs, reason = "a test has no public interface")]

#[path = "../../emberpin-peering/tests/common/recording.rs"]
mod recording;

use emberpin_failover::{
    AcceptedAttempt, Ballot, FirstAttempt, Member, Message, ServerGroup, Verdict, Work, WorkId,
};
use emberpin_peering::Incarnation;
use recording::assert_recorded;

const INCARNATION: Incarnation = Incarnation {
    number: 1_700_000_000_123,
    nonce: 7,
};
const WORK_ID: WorkId = WorkId {
    claimant: Member(2),
    incarnation: INCARNATION,
    claim_number: 300,
};
const BALLOT: Ballot = Ballot {
    round: 4,
    proposer: Member(1),
};
const FIRST_ATTEMPT: FirstAttempt = FirstAttempt {
    group: ServerGroup { zone: 1, cell: 200 },
    age_ms: 12.5,
};

fn work() -> Work {
    Work {
        payload: b"POST /api".to_vec(),
        deduplication_window_ms: Some(1500.0),
        time_left_ms: 30_000.0,
    }
}

fn messages() -> Vec<(&'static str, Message)> {
    let acceptor_incarnation = Incarnation {
        number: 9,
        nonce: u64::MAX,
    };
    let not_deduplicated = Work {
        deduplication_window_ms: None,
        ..work()
    };
    vec![
        (
            "going",
            Message::Accept {
                work_id: WORK_ID,
                ballot: BALLOT,
                acceptor_incarnation,
                first_attempt: FIRST_ATTEMPT,
                work: work(),
            },
        ),
        (
            "going-once",
            Message::Accept {
                work_id: WORK_ID,
                ballot: BALLOT,
                acceptor_incarnation,
                first_attempt: FIRST_ATTEMPT,
                work: not_deduplicated,
            },
        ),
        (
            "noted",
            Message::Accepted {
                work_id: WORK_ID,
                ballot: BALLOT,
            },
        ),
        (
            "refused",
            Message::Rejected {
                work_id: WORK_ID,
                ballot: BALLOT,
                promised: None,
            },
        ),
        (
            "refused-promised",
            Message::Rejected {
                work_id: WORK_ID,
                ballot: BALLOT,
                promised: Some(Ballot {
                    round: 5,
                    proposer: Member(0),
                }),
            },
        ),
        (
            "prepare",
            Message::Prepare {
                work_id: WORK_ID,
                ballot: BALLOT,
                acceptor_incarnation,
            },
        ),
        (
            "promised",
            Message::Promise {
                work_id: WORK_ID,
                ballot: BALLOT,
                accepted: None,
            },
        ),
        (
            "promised-kept",
            Message::Promise {
                work_id: WORK_ID,
                ballot: BALLOT,
                accepted: Some(AcceptedAttempt {
                    ballot: BALLOT,
                    first_attempt: FIRST_ATTEMPT,
                    work: work(),
                }),
            },
        ),
        ("over", Message::Completed(WORK_ID)),
        ("known", Message::CompletionAcknowledged(WORK_ID)),
        (
            "ended-not-sent",
            Message::Abandoned(WORK_ID, Verdict::NotSent),
        ),
        (
            "ended-may-have-run",
            Message::Abandoned(WORK_ID, Verdict::MayHaveRun),
        ),
    ]
}

#[test]
fn recorded_messages_decode_and_encode_to_the_same_bytes() {
    let encode = |message: &Message| postcard::to_allocvec(message).expect("encoded");
    let decode = |bytes: &[u8]| postcard::from_bytes(bytes).expect("a message");
    assert_recorded("work.txt", &messages(), encode, decode);
}
