//! What limiters tell each other about work in hand, as an earlier build wrote it.
#![allow(missing_docs, reason = "a test has no public interface")]

#[path = "../../emberpin-peering/tests/common/recording.rs"]
mod recording;

use emberpin_failover::{Ballot, Hall, Member, Said, Verdict, Went, Work, WorkId};
use emberpin_peering::Life;
use recording::assert_recorded;

const LIFE: Life = Life {
    number: 1_700_000_000_123,
    nonce: 7,
};
const ID: WorkId = WorkId {
    claimant: Member(2),
    life: LIFE,
    claim: 300,
};
const BALLOT: Ballot = Ballot {
    round: 4,
    of: Member(1),
};
const WENT: Went = Went {
    hall: Hall { zone: 1, cell: 200 },
    ago: 12.5,
};

fn work() -> Work {
    Work {
        payload: b"POST /api".to_vec(),
        window: Some(1500.0),
        within: 30_000.0,
    }
}

fn messages() -> Vec<(&'static str, Said)> {
    let seen = Life {
        number: 9,
        nonce: u64::MAX,
    };
    let unrepeatable = Work {
        window: None,
        ..work()
    };
    vec![
        (
            "going",
            Said::Going {
                id: ID,
                ballot: BALLOT,
                seen,
                went: WENT,
                work: work(),
            },
        ),
        (
            "going-once",
            Said::Going {
                id: ID,
                ballot: BALLOT,
                seen,
                went: WENT,
                work: unrepeatable,
            },
        ),
        (
            "noted",
            Said::Noted {
                id: ID,
                ballot: BALLOT,
            },
        ),
        (
            "refused",
            Said::Refused {
                id: ID,
                ballot: BALLOT,
                promised: None,
            },
        ),
        (
            "refused-promised",
            Said::Refused {
                id: ID,
                ballot: BALLOT,
                promised: Some(Ballot {
                    round: 5,
                    of: Member(0),
                }),
            },
        ),
        (
            "prepare",
            Said::Prepare {
                id: ID,
                ballot: BALLOT,
                seen,
            },
        ),
        (
            "promised",
            Said::Promised {
                id: ID,
                ballot: BALLOT,
                kept: None,
            },
        ),
        (
            "promised-kept",
            Said::Promised {
                id: ID,
                ballot: BALLOT,
                kept: Some((BALLOT, WENT, work())),
            },
        ),
        ("over", Said::Over(ID)),
        ("known", Said::Known(ID)),
        ("ended-not-sent", Said::Ended(ID, Verdict::NotSent)),
        ("ended-may-have-run", Said::Ended(ID, Verdict::MayHaveRun)),
    ]
}

#[test]
fn every_message_about_work_is_read_and_written_as_it_was_recorded() {
    let encode = |said: &Said| postcard::to_allocvec(said).expect("encoded");
    let decode = |bytes: &[u8]| postcard::from_bytes(bytes).expect("a message");
    assert_recorded("work.txt", &messages(), encode, decode);
}
