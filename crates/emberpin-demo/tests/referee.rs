//! Wrong books, one rule each: the referee must find what is wrong in them, and nothing else.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_demo::books::{Arrival, Asked, Ending, Evacuation, Items, Pages, Try};
use emberpin_demo::operator::items;
use emberpin_demo::referee::{judge, Breach};
use emberpin_demo::report::Report;
use googletest::prelude::*;
use std::time::Duration;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn sent(id: &str, is_mutating: bool, status: Option<u16>) -> Try {
    Try {
        id: id.into(),
        is_mutating,
        status,
        is_foreign: false,
    }
}

fn arrived(try_id: &str, at: u64, ran: bool) -> Arrival {
    Arrival {
        at: ms(at),
        try_id: try_id.into(),
        zone: "north-quay".into(),
        ran,
        took: ran.then(|| ms(10)),
    }
}

fn configuration(ver: u64, timeout: &str) -> Items {
    let text = format!(
        r#"{{"svcs":[{{"name":"ledger","ver":7}}],"limits":{{"idle":"5s","ver":7}},
            "vhosts":[{{"hostname":"a.example","locs":[{{"name":"commit","timeout":"{timeout}","ver":{ver}}}]}}]}}"#
    );
    items(&jzon::parse(&text).expect("lists"))
}

/// Books in which every rule holds: a readonly try that ran twice, a refusal that did not run, one that may have run
/// as it promised nothing, and an evacuation that was obeyed.
fn right() -> Pages {
    Pages {
        arrivals: vec![
            arrived("read", 100, true),
            arrived("read", 120, true),
            arrived("refused", 150, false),
            arrived("broken", 160, true),
            arrived("write", 200, true),
            arrived("write", 190, false),
            // In the zone: before its time, and once it is taken back.
            arrived("early", 1_500, true),
            arrived("late", 4_000, true),
        ],
        tries: vec![
            sent("read", false, Some(200)),
            sent("refused", true, Some(503)),
            sent("broken", true, Some(502)),
            sent("write", true, Some(200)),
            sent("early", true, Some(200)),
            sent("late", true, None),
        ],
        asked: Vec::new(),
        evacuations: vec![Evacuation {
            zone: "north-quay".into(),
            acknowledged: ms(1_000),
            bound: ms(1_000),
            finish: Some(ms(3_000)),
        }],
        acknowledged: configuration(9, "2s"),
        read_back: Some(configuration(9, "2s")),
        unacknowledged: Vec::new(),
        ended: Vec::new(),
    }
}

fn breaches(change: impl FnOnce(&mut Pages)) -> Vec<String> {
    let mut pages = right();
    change(&mut pages);
    judge(&pages).iter().map(ToString::to_string).collect()
}

#[gtest]
fn books_in_order_have_no_breach() {
    expect_that!(judge(&right()), is_empty());
}

#[gtest]
fn a_mutating_try_that_runs_twice_is_found() {
    let found = judge(&Pages {
        arrivals: [right().arrivals, vec![arrived("write", 260, true)]].concat(),
        ..right()
    });
    expect_that!(
        found,
        elements_are![eq(&Breach::Twice {
            id: "write".into(),
            runs: 2
        })]
    );
}

#[gtest]
fn each_status_that_promises_is_held_to_it() {
    for status in [408, 421, 429, 503] {
        let found = breaches(|pages| {
            pages.tries[1].status = Some(status);
            pages.arrivals[2].ran = true;
        });
        let expected = format!("mutating try refused was answered {status}, and yet it ran");
        expect_that!(found, elements_are![eq(&expected)]);
    }
}

#[gtest]
fn a_readonly_try_may_run_and_be_refused() {
    let found = breaches(|pages| pages.tries[0].status = Some(503));
    expect_that!(found, is_empty());
}

#[gtest]
fn a_request_that_reaches_an_evacuated_zone_too_late_is_found_though_it_did_not_run() {
    for at in [2_001, 2_999] {
        let found = breaches(|pages| pages.arrivals[2].at = ms(at));
        expect_that!(
            found,
            elements_are![starts_with(
                "try refused reached the evacuated zone north-quay"
            )]
        );
    }
    let elsewhere = breaches(|pages| {
        pages.arrivals[2].at = ms(2_500);
        pages.arrivals[2].zone = "east-quay".into();
    });
    expect_that!(elsewhere, is_empty());
}

#[gtest]
fn an_evacuation_that_is_not_taken_back_holds_to_the_end() {
    let found = breaches(|pages| pages.evacuations[0].finish = None);
    expect_that!(
        found,
        elements_are![starts_with("try late reached the evacuated zone")]
    );
}

#[gtest]
fn each_difference_of_what_is_read_back_is_found() {
    let read = |items: Items| breaches(|pages| pages.read_back = Some(items));
    expect_that!(
        breaches(|pages| pages.read_back = None),
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
    let mut less = configuration(9, "2s");
    less.remove("limits");
    expect_that!(
        read(less),
        elements_are![eq("read back: limits is missing")]
    );
    let mut more = configuration(9, "2s");
    more.insert("route almanac".into(), jzon::object! { ver: 7 });
    expect_that!(
        read(more),
        elements_are![starts_with("read back: route almanac is there")]
    );
}

#[gtest]
fn a_route_under_another_host_differs() {
    let mut moved = configuration(9, "2s");
    moved
        .entry("route commit".into())
        .and_modify(|route| route["hostname"] = "b.example".into());
    let found = breaches(|pages| pages.read_back = Some(moved));
    expect_that!(found, elements_are![eq("read back: route commit differs")]);
}

#[gtest]
fn an_answer_that_is_not_the_servers_is_found() {
    let found = breaches(|pages| pages.tries[3].is_foreign = true);
    expect_that!(
        found,
        elements_are![eq(
            "try write got a success that is not its server's answer"
        )]
    );
}

#[gtest]
fn what_no_client_sent_must_not_run() {
    let found = breaches(|pages| pages.arrivals.push(arrived("smuggled", 300, true)));
    expect_that!(
        found,
        elements_are![eq("a server ran smuggled, which no client sent")]
    );
}

#[gtest]
fn orders_without_acknowledgement_and_processes_that_end_are_found() {
    let found = breaches(|pages| pages.unacknowledged.push("the change".into()));
    expect_that!(found, elements_are![eq("the change was not acknowledged")]);
    let found = breaches(|pages| {
        pages
            .ended
            .push("proxy on 127.0.0.21 ended by itself".into());
    });
    expect_that!(
        found,
        elements_are![eq("proxy on 127.0.0.21 ended by itself")]
    );
}

fn report(served: usize, of: usize, pages: Pages) -> Report {
    let asked = |number| Asked {
        route: "commit",
        ending: if number < served {
            Ending::Served
        } else {
            Ending::Failed
        },
        waited: ms(25),
        try_id: "write".into(),
        at_once: true,
    };
    let pages = Pages {
        asked: (0..of).map(asked).collect(),
        ..pages
    };
    Report::of("played".into(), Vec::new(), &pages)
}

#[gtest]
fn a_run_is_good_if_enough_was_served_and_no_rule_was_broken() {
    expect_that!(report(95, 100, right()).is_good(), eq(true));
    expect_that!(report(94, 100, right()).is_good(), eq(false));
    expect_that!(report(0, 0, right()).is_good(), eq(false));
    expect_that!(
        report(
            100,
            100,
            Pages {
                read_back: None,
                ..right()
            }
        )
        .is_good(),
        eq(false)
    );
}

#[gtest]
fn what_the_gateway_added_is_counted_over_the_servers_own_time() {
    let report = report(10, 10, right());
    let line = report
        .lines
        .iter()
        .find(|line| line.route == "commit")
        .expect("a line");
    expect_that!(line.added, some(eq((ms(15), ms(15)))));
    expect_that!(
        (line.requests, line.served, line.refused, line.failed),
        eq((10, 10, 0, 0))
    );
}
