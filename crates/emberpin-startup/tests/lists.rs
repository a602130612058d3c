//! Which lists are believed, snapshots, and readiness.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_startup::ready::Ready;
use emberpin_startup::snapshot::{decode, encode, Label, Unusable};
use emberpin_startup::trust::{Limits, List, Trust, Verdict};
use proptest::prelude::*;
use std::time::Duration;

const KEEP: Duration = Duration::from_secs(60);
const DAY: Duration = Duration::from_secs(86_400);

fn trust() -> Trust {
    Trust::new(Limits {
        keep_share: 0.5,
        keep: KEEP,
    })
}

fn list(rev: u64, servers: usize) -> List {
    List {
        place: 0,
        rev,
        servers,
    }
}

#[test]
fn an_empty_and_a_short_list_keep_what_they_leave_out_until_a_whole_one_comes() {
    let mut trust = trust();
    let mut at = 0;
    let mut judge = |told| {
        at += 1;
        trust.judge(Duration::from_secs(at), list(10, 8), told, true)
    };
    assert_eq!(judge(list(11, 0)), Verdict::Keep);
    assert_eq!(judge(list(12, 3)), Verdict::Keep);
    assert_eq!(judge(list(13, 4)), Verdict::Take, "half is believed");
}

#[test]
fn an_older_list_changes_nothing_and_so_do_changes_to_it() {
    let mut trust = trust();
    assert_eq!(
        trust.judge(KEEP, list(10, 8), list(9, 8), true),
        Verdict::Ignore
    );
    assert_eq!(
        trust.judge(KEEP, list(10, 8), list(9, 1), false),
        Verdict::Ignore
    );
    assert!(trust.again(0.5).is_some());
    let elsewhere = List {
        place: 1,
        ..list(1, 8)
    };
    assert_eq!(
        trust.judge(KEEP, list(10, 8), elsewhere, true),
        Verdict::Take,
        "versions of another service"
    );
    assert!(trust.again(0.5).is_none());
}

#[test]
fn doubt_ends_at_its_limit_or_by_the_operators_word() {
    let mut patient = trust();
    assert_eq!(
        patient.judge(KEEP, list(10, 8), list(11, 0), true),
        Verdict::Keep
    );
    assert_eq!(
        patient.judge(
            KEEP * 2 - Duration::from_secs(1),
            list(10, 8),
            list(11, 0),
            true
        ),
        Verdict::Keep
    );
    assert_eq!(
        patient.judge(KEEP * 2, list(10, 8), list(11, 0), true),
        Verdict::Believe
    );
    let mut told = trust();
    assert!(!told.believe(), "nothing is doubted yet");
    assert_eq!(
        told.judge(KEEP, list(10, 8), list(3, 0), true),
        Verdict::Ignore
    );
    assert!(told.believe());
    assert_eq!(
        told.judge(KEEP, list(10, 8), list(3, 0), true),
        Verdict::Believe
    );
    assert_eq!(
        told.judge(KEEP, list(10, 8), list(3, 0), true),
        Verdict::Ignore,
        "for one list only"
    );
}

#[test]
fn snapshots_that_are_torn_foreign_or_old_are_refused_with_the_reason() {
    let label = Label {
        owner: "norr/n-3".into(),
        written_ms: 1_000_000,
        rev: 41,
    };
    let bytes = encode(&label, b"[1,2]\n[3]");
    let now = 1_060_000;
    assert_eq!(
        decode(&bytes, "norr/n-3", now, DAY),
        Ok((label, &b"[1,2]\n[3]"[..]))
    );
    let elsewhere = Err(Unusable::Elsewhere {
        owner: "norr/n-3".into(),
    });
    assert_eq!(decode(&bytes, "norr/n-4", now, DAY), elsewhere);
    let old = Err(Unusable::Old {
        age: Duration::from_secs(60),
    });
    assert_eq!(
        decode(&bytes, "norr/n-3", now, Duration::from_secs(59)),
        old
    );
    assert_eq!(decode(b"", "norr/n-3", now, DAY), Err(Unusable::Foreign));
    assert_eq!(
        decode(b"{}\n", "norr/n-3", now, DAY),
        Err(Unusable::Foreign)
    );
    for cut in 1..bytes.len() {
        assert!(
            decode(&bytes[..cut], "norr/n-3", now, DAY).is_err(),
            "cut at {cut}"
        );
        let mut other = bytes.clone();
        other[cut] ^= 1;
        assert!(
            decode(&other, "norr/n-3", now, DAY).is_err(),
            "changed at {cut}"
        );
    }
}

#[test]
fn ready_with_a_server_or_when_the_time_is_over_and_for_good() {
    let mut ready = Ready::new(Duration::from_secs(10));
    assert!(!ready.see(Duration::from_secs(9), 0));
    assert!(ready.see(Duration::from_secs(9), 1));
    assert!(
        ready.see(Duration::from_secs(9), 0),
        "what comes later does not take it back"
    );
    assert!(Ready::new(Duration::from_secs(10)).see(Duration::from_secs(10), 0));
}

proptest! {
    #[test]
    fn no_bytes_are_taken_for_a_snapshot_by_chance(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(decode(&bytes, "a/b", 5, DAY).is_err());
    }

    #[test]
    fn no_list_is_doubted_for_longer_than_its_limit(
        lists in proptest::collection::vec((0u64..20, 0usize..20, any::<bool>(), 0u64..30), 1..60),
    ) {
        let mut trust = trust();
        let (mut held, mut now, mut doubted) = (list(10, 10), Duration::ZERO, None);
        for (rev, servers, whole, later) in lists {
            now += Duration::from_secs(later);
            let told = list(rev, servers);
            match trust.judge(now, held, told, whole) {
                Verdict::Take | Verdict::Believe if whole => (held, doubted) = (told, None),
                Verdict::Take => prop_assert!(rev >= held.rev),
                verdict => {
                    let since = *doubted.get_or_insert(now);
                    prop_assert!(!whole || now - since < KEEP, "{verdict:?} {} s on", (now - since).as_secs());
                }
            }
        }
    }
}
