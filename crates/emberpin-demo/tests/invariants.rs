//! Tests of the invariant checker: in a record with one violation it must find this violation and nothing else.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_demo::configuration::items;
use emberpin_demo::election;
use emberpin_demo::invariants::{check, Violation};
use emberpin_demo::record::{
    Arrival, Attempt, ClientRequest, ConfigItems, Evacuation, LeaderTerm, Outcome, Record,
};
use emberpin_demo::report::{AddedLatency, Report};
use googletest::prelude::*;
use std::time::Duration;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn attempt(id: &str, is_mutating: bool, status: Option<u16>) -> Attempt {
    Attempt {
        id: id.into(),
        is_mutating,
        status,
        has_foreign_response: false,
    }
}

fn arrival(attempt_id: &str, at: u64, ran: bool) -> Arrival {
    Arrival {
        at: ms(at),
        attempt_id: attempt_id.into(),
        zone: "north-quay".into(),
        ran,
        service_time: ran.then(|| ms(10)),
    }
}

fn configuration(ver: u64, timeout: &str) -> ConfigItems {
    let text = format!(
        r#"{{"svcs":[{{"name":"ledger","ver":7}}],"limits":{{"idle":"5s","ver":7}},
            "vhosts":[{{"hostname":"a.example","locs":[{{"name":"commit","timeout":"{timeout}","ver":{ver}}}]}}]}}"#
    );
    items(&jzon::parse(&text).expect("lists"))
}

fn term(candidate: &'static str, fencing_token: u64, from: u64, until: u64) -> LeaderTerm {
    LeaderTerm {
        candidate,
        fencing_token,
        from: ms(from),
        until: ms(until),
    }
}

/// A record without violations: a readonly attempt that ran twice, a rejected attempt that did not run, a failed
/// attempt that ran, as its status guarantees nothing, an evacuation that was observed, and leaders of which one was
/// elected again before its term was over.
fn valid_record() -> Record {
    Record {
        arrivals: vec![
            arrival("read", 100, true),
            arrival("read", 120, true),
            arrival("refused", 150, false),
            arrival("broken", 160, true),
            arrival("write", 200, true),
            arrival("write", 190, false),
            // In the zone: before the bound, and after the evacuation was finished.
            arrival("early", 1_500, true),
            arrival("late", 4_000, true),
        ],
        attempts: vec![
            attempt("read", false, Some(200)),
            attempt("refused", true, Some(503)),
            attempt("broken", true, Some(502)),
            attempt("write", true, Some(200)),
            attempt("early", true, Some(200)),
            attempt("late", true, None),
        ],
        requests: Vec::new(),
        evacuations: vec![Evacuation {
            zone: "north-quay".into(),
            acknowledged_at: ms(1_000),
            bound: ms(1_000),
            finish_requested_at: Some(ms(3_000)),
        }],
        leader_terms: vec![
            term("one", 1, 100, 600),
            term("one", 1, 500, 900),
            term("two", 2, 900, 1_500),
            term("one", 4, 1_700, 2_000),
        ],
        acknowledged_items: configuration(9, "2s"),
        read_back: Some(configuration(9, "2s")),
        unacknowledged_commands: Vec::new(),
        exited_processes: Vec::new(),
    }
}

fn violations_after(change: impl FnOnce(&mut Record)) -> Vec<String> {
    let mut record = valid_record();
    change(&mut record);
    check(&record).iter().map(ToString::to_string).collect()
}

#[gtest]
fn a_valid_record_has_no_violation() {
    expect_that!(check(&valid_record()), is_empty());
}

#[gtest]
fn two_leaders_at_a_time_are_a_violation_in_any_order_of_the_record() {
    let found = violations_after(|record| {
        record.leader_terms[3].from = ms(1_400);
        record.leader_terms.reverse();
    });
    expect_that!(found, elements_are![eq("two and one both led for 100.0ms")]);
}

#[gtest]
fn a_leader_whose_fencing_token_is_not_above_the_previous_one_is_a_violation() {
    for fencing_token in [1, 2] {
        let found = violations_after(|record| record.leader_terms[3].fencing_token = fencing_token);
        let expected = format!("one was elected with fence {fencing_token} after 2");
        expect_that!(found, elements_are![eq(&expected)]);
    }
}

#[gtest]
fn the_summary_of_the_election_reports_the_time_without_a_leader() {
    let terms = valid_record().leader_terms;
    expect_that!(
        election::summary(&terms),
        eq(
            "election: 4 terms of 2 candidates in 1.9 s; after leaders that fell silent nobody led for 0.20 s, \
             0.20 s at most at a time"
        )
    );
    expect_that!(election::summary(&[]), eq("election: nobody was elected"));
}

#[gtest]
fn a_mutating_attempt_that_runs_twice_is_a_violation() {
    let found = check(&Record {
        arrivals: [valid_record().arrivals, vec![arrival("write", 260, true)]].concat(),
        ..valid_record()
    });
    expect_that!(
        found,
        elements_are![eq(&Violation::RanTwice {
            id: "write".into(),
            runs: 2
        })]
    );
}

#[gtest]
fn a_mutating_attempt_that_ran_must_not_get_a_status_that_guarantees_that_it_did_not() {
    for status in [408, 421, 429, 503] {
        let found = violations_after(|record| {
            record.attempts[1].status = Some(status);
            record.arrivals[2].ran = true;
        });
        let expected = format!("mutating try refused was answered {status}, and yet it ran");
        expect_that!(found, elements_are![eq(&expected)]);
    }
}

#[gtest]
fn a_readonly_attempt_may_run_and_be_rejected() {
    let found = violations_after(|record| record.attempts[0].status = Some(503));
    expect_that!(found, is_empty());
}

#[gtest]
fn a_request_that_reaches_an_evacuated_zone_too_late_is_a_violation_though_it_did_not_run() {
    for at in [2_001, 2_999] {
        let found = violations_after(|record| record.arrivals[2].at = ms(at));
        expect_that!(
            found,
            elements_are![starts_with(
                "try refused reached the evacuated zone north-quay"
            )]
        );
    }
    let elsewhere = violations_after(|record| {
        record.arrivals[2].at = ms(2_500);
        record.arrivals[2].zone = "east-quay".into();
    });
    expect_that!(elsewhere, is_empty());
}

#[gtest]
fn an_evacuation_that_is_not_finished_is_checked_to_the_end() {
    let found = violations_after(|record| record.evacuations[0].finish_requested_at = None);
    expect_that!(
        found,
        elements_are![starts_with("try late reached the evacuated zone")]
    );
}

#[gtest]
fn each_difference_of_the_configuration_that_is_read_back_is_a_violation() {
    let read = |items: ConfigItems| violations_after(|record| record.read_back = Some(items));
    expect_that!(
        violations_after(|record| record.read_back = None),
        elements_are![contains_substring("did not come")]
    );
    expect_that!(
        read(configuration(7, "2s")),
        elements_are![eq("read back: route commit has another version")]
    );
    expect_that!(
        read(configuration(9, "3s")),
        elements_are![eq("read back: route commit differs")]
    );
    let mut without_limits = configuration(9, "2s");
    without_limits.remove("limits");
    expect_that!(
        read(without_limits),
        elements_are![eq("read back: limits is missing")]
    );
    let mut with_extra_route = configuration(9, "2s");
    with_extra_route.insert("route almanac".into(), jzon::object! { ver: 7 });
    expect_that!(
        read(with_extra_route),
        elements_are![starts_with("read back: route almanac is there")]
    );
}

#[gtest]
fn a_route_under_another_host_differs() {
    let mut moved = configuration(9, "2s");
    moved
        .entry("route commit".into())
        .and_modify(|route| route["hostname"] = "b.example".into());
    let found = violations_after(|record| record.read_back = Some(moved));
    expect_that!(found, elements_are![eq("read back: route commit differs")]);
}

#[gtest]
fn a_success_that_is_not_the_servers_response_is_a_violation() {
    let found = violations_after(|record| record.attempts[3].has_foreign_response = true);
    expect_that!(
        found,
        elements_are![eq(
            "try write got a success that is not its server's answer"
        )]
    );
}

#[gtest]
fn an_attempt_that_no_client_sent_must_not_run() {
    let found = violations_after(|record| record.arrivals.push(arrival("smuggled", 300, true)));
    expect_that!(
        found,
        elements_are![eq("a server ran smuggled, which no client sent")]
    );
}

#[gtest]
fn commands_without_acknowledgement_and_processes_that_exit_are_violations() {
    let found = violations_after(|record| record.unacknowledged_commands.push("the change".into()));
    expect_that!(found, elements_are![eq("the change was not acknowledged")]);
    let found = violations_after(|record| {
        record
            .exited_processes
            .push("proxy on 127.0.0.21 ended by itself".into());
    });
    expect_that!(
        found,
        elements_are![eq("proxy on 127.0.0.21 ended by itself")]
    );
}

fn report(served: usize, total: usize, record: Record) -> Report {
    let request = |number| ClientRequest {
        route: "commit",
        outcome: if number < served {
            Outcome::Served
        } else {
            Outcome::Failed
        },
        latency: ms(25),
        attempt_id: "write".into(),
        has_single_attempt: true,
    };
    let record = Record {
        requests: (0..total).map(request).collect(),
        ..record
    };
    Report::from_record("played".into(), Vec::new(), &record)
}

#[gtest]
fn a_run_is_good_if_enough_was_served_and_no_invariant_was_violated() {
    expect_that!(report(95, 100, valid_record()).is_good(), eq(true));
    expect_that!(report(94, 100, valid_record()).is_good(), eq(false));
    expect_that!(report(0, 0, valid_record()).is_good(), eq(false));
    expect_that!(
        report(
            100,
            100,
            Record {
                read_back: None,
                ..valid_record()
            }
        )
        .is_good(),
        eq(false)
    );
}

#[gtest]
fn the_added_latency_is_the_clients_less_the_servers_own_time() {
    let report = report(10, 10, valid_record());
    let summary = report
        .routes
        .iter()
        .find(|summary| summary.route == "commit")
        .expect("a summary");
    expect_that!(
        summary.added_latency,
        some(eq(AddedLatency {
            p50: ms(15),
            p99: ms(15)
        }))
    );
    expect_that!(
        (
            summary.requests,
            summary.served,
            summary.rejected,
            summary.failed
        ),
        eq((10, 10, 0, 0))
    );
}
