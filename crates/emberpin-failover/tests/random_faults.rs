//! Random runs with lost, duplicated and delayed messages, kills, restarts, and members that are reported lost while
//! they are only slow. No attempt may be sent that could run a second time or contradicts a verdict.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{Cluster, DEDUPLICATION_WINDOW_MS, MEMBERS};
use emberpin_failover::Verdict;
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    Deliver { from: usize, to: usize },
    Lose { from: usize, to: usize },
    Duplicate { from: usize, to: usize },
    Advance { millis: u16 },
    ReportEnded { to: usize, ended: usize },
    Kill { index: usize, lose_sent: bool },
    Restart { index: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let node = || 0..MEMBERS;
    let pair = || (node(), node());
    prop_oneof![
        8 => pair().prop_map(|(from, to)| Step::Deliver { from, to }),
        1 => pair().prop_map(|(from, to)| Step::Lose { from, to }),
        1 => pair().prop_map(|(from, to)| Step::Duplicate { from, to }),
        3 => (0..200u16).prop_map(|millis| Step::Advance { millis }),
        3 => (1..3usize, 0..3usize).prop_map(|(to, ended)| Step::ReportEnded { to, ended }),
        1 => (node(), any::<bool>()).prop_map(|(index, lose_sent)| Step::Kill { index, lose_sent }),
        1 => node().prop_map(|index| Step::Restart { index }),
    ]
}

fn apply(cluster: &mut Cluster, step: &Step) {
    match *step {
        Step::Deliver { from, to } => _ = cluster.deliver(from, to),
        Step::Lose { from, to } => cluster.lose(from, to),
        Step::Duplicate { from, to } => cluster.duplicate(from, to),
        Step::Advance { millis } => cluster.advance(f64::from(millis)),
        Step::ReportEnded { to, ended } => {
            let number = cluster.incarnations[ended].number;
            cluster.report_ended(to, ended, number);
            cluster.report_ended(to, ended, 1);
        }
        Step::Kill { index, lose_sent } => cluster.kill(index, lose_sent),
        Step::Restart { index } => {
            if cluster.nodes[index].is_none() {
                cluster.restart(index);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3000, ..ProptestConfig::default() })]
    #[test]
    fn no_attempt_is_sent_that_may_run_a_second_time_or_contradicts_a_verdict(
        steps in proptest::collection::vec(step(), 0..80),
        deduplicated in any::<bool>(),
    ) {
        let window_ms = deduplicated.then_some(DEDUPLICATION_WINDOW_MS);
        let mut cluster = Cluster::new(window_ms, 1_000.0);
        cluster.start_work();
        let started_ms = cluster.now_ms;
        for step in steps {
            apply(&mut cluster, &step);
            let sent = &cluster.sent;
            if cluster.verdicts.contains(&Verdict::NotSent) {
                prop_assert!(sent.is_empty(), "abandoned as not sent, but sent: {sent:?}");
            }
            if deduplicated {
                let last_ms = sent.last().map_or(started_ms, |sent| sent.at_ms);
                let in_window = last_ms < started_ms + DEDUPLICATION_WINDOW_MS;
                prop_assert!(sent.len() < 2 || in_window, "sent again past the window: {sent:?}");
            } else {
                prop_assert!(sent.len() < 2, "sent twice without a window: {sent:?}");
            }
        }
    }
}
