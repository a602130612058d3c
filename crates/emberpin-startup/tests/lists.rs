//! Which lists are believed, snapshots, and readiness.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_startup::list_guard::{GuardConfig, ListGuard, ListScope, ListSummary, Verdict};
use emberpin_startup::readiness::Readiness;
use emberpin_startup::snapshot::{decode, encode, SnapshotError, SnapshotHeader};
use proptest::prelude::*;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const KEEP: Duration = Duration::from_secs(60);
const DAY: Duration = Duration::from_secs(86_400);

fn unix_time(seconds: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(seconds)
}

fn trust() -> ListGuard {
    ListGuard::new(GuardConfig {
        min_retained_share: 0.5,
        max_doubt: KEEP,
    })
}

fn list(revision: u64, servers: usize) -> ListSummary {
    ListSummary {
        service_generation: 0,
        revision,
        servers,
    }
}

#[test]
fn an_empty_and_a_short_list_keep_what_they_leave_out_until_a_whole_one_comes() {
    let mut trust = trust();
    let mut at = 0;
    let mut judge = |told| {
        at += 1;
        trust.evaluate(Duration::from_secs(at), list(10, 8), told, ListScope::Full)
    };
    assert_eq!(judge(list(11, 0)), Verdict::Merge);
    assert_eq!(judge(list(12, 3)), Verdict::Merge);
    assert_eq!(judge(list(13, 4)), Verdict::Accept, "half is believed");
}

#[test]
fn an_older_list_changes_nothing_and_so_do_changes_to_it() {
    let mut trust = trust();
    assert_eq!(
        trust.evaluate(KEEP, list(10, 8), list(9, 8), ListScope::Full),
        Verdict::Reject
    );
    assert_eq!(
        trust.evaluate(KEEP, list(10, 8), list(9, 1), ListScope::Delta),
        Verdict::Reject
    );
    assert!(trust.refetch_delay(0.5).is_some());
    let elsewhere = ListSummary {
        service_generation: 1,
        ..list(1, 8)
    };
    assert_eq!(
        trust.evaluate(KEEP, list(10, 8), elsewhere, ListScope::Full),
        Verdict::Accept,
        "versions of another service"
    );
    assert!(trust.refetch_delay(0.5).is_none());
}

#[test]
fn doubt_ends_at_its_limit_or_by_the_operators_word() {
    let mut patient = trust();
    assert_eq!(
        patient.evaluate(KEEP, list(10, 8), list(11, 0), ListScope::Full),
        Verdict::Merge
    );
    assert_eq!(
        patient.evaluate(
            KEEP * 2 - Duration::from_secs(1),
            list(10, 8),
            list(11, 0),
            ListScope::Full
        ),
        Verdict::Merge
    );
    assert_eq!(
        patient.evaluate(KEEP * 2, list(10, 8), list(11, 0), ListScope::Full),
        Verdict::AcceptDespiteDoubt
    );
    let mut told = trust();
    assert!(!told.override_doubt(), "nothing is doubted yet");
    assert_eq!(
        told.evaluate(KEEP, list(10, 8), list(3, 0), ListScope::Full),
        Verdict::Reject
    );
    assert!(told.override_doubt());
    assert_eq!(
        told.evaluate(KEEP, list(10, 8), list(3, 0), ListScope::Full),
        Verdict::AcceptDespiteDoubt
    );
    assert_eq!(
        told.evaluate(KEEP, list(10, 8), list(3, 0), ListScope::Full),
        Verdict::Reject,
        "for one list only"
    );
}

#[test]
fn snapshots_that_are_torn_foreign_or_old_are_refused_with_the_reason() {
    let label = SnapshotHeader {
        owner: "norr/n-3".into(),
        written_at: unix_time(1_000),
        revision: 41,
    };
    let bytes = encode(&label, b"[1,2]\n[3]");
    let now = unix_time(1_060);
    assert_eq!(
        decode(&bytes, "norr/n-3", now, DAY),
        Ok((label, &b"[1,2]\n[3]"[..]))
    );
    let elsewhere = Err(SnapshotError::WrongOwner {
        owner: "norr/n-3".into(),
    });
    assert_eq!(decode(&bytes, "norr/n-4", now, DAY), elsewhere);
    let old = Err(SnapshotError::TooOld {
        age: Duration::from_secs(60),
    });
    assert_eq!(
        decode(&bytes, "norr/n-3", now, Duration::from_secs(59)),
        old
    );
    assert_eq!(
        decode(b"", "norr/n-3", now, DAY),
        Err(SnapshotError::UnknownFormat)
    );
    assert_eq!(
        decode(b"{}\n", "norr/n-3", now, DAY),
        Err(SnapshotError::UnknownFormat)
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
    let mut ready = Readiness::new(Duration::from_secs(10));
    assert!(!ready.update(Duration::from_secs(9), 0));
    assert!(ready.update(Duration::from_secs(9), 1));
    assert!(
        ready.update(Duration::from_secs(9), 0),
        "what comes later does not take it back"
    );
    assert!(Readiness::new(Duration::from_secs(10)).update(Duration::from_secs(10), 0));
}

proptest! {
    #[test]
    fn no_bytes_are_taken_for_a_snapshot_by_chance(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(decode(&bytes, "a/b", unix_time(5), DAY).is_err());
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
            let scope = if whole { ListScope::Full } else { ListScope::Delta };
            match trust.evaluate(now, held, told, scope) {
                Verdict::Accept | Verdict::AcceptDespiteDoubt if whole => (held, doubted) = (told, None),
                Verdict::Accept => prop_assert!(rev >= held.revision),
                verdict => {
                    let since = *doubted.get_or_insert(now);
                    prop_assert!(!whole || now - since < KEEP, "{verdict:?} {} s on", (now - since).as_secs());
                }
            }
        }
    }
}
