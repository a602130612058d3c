//! Starts of many limiters at once, each a process of its own, between stand-ins that have just started too.
#![allow(missing_docs)]

use emberpin_site::process::Program;
use emberpin_site::report::{stories, Summary};
use emberpin_site::scenario::Scenario;
use emberpin_site::site::{run, Outcome};
use emberpin_site::starts::Starts;
use emberpin_site::trace::{Event, ProcessEnd, What, SECOND};
use std::collections::BTreeMap;
use std::ffi::OsString;

/// Limiters with this operator file, if any.
fn play_with(operator: &str, text: &str, seed: u64) -> Outcome {
    let head = format!("name = \"t\"\nabout = \"A test's own site.\"\nseed = {seed}\n");
    let scenario = Scenario::parse("test", &format!("{head}{text}")).expect("sound");
    let file = tempfile::Builder::new().suffix(".toml").tempfile().expect("a file");
    std::fs::write(file.path(), operator).expect("written");
    let mut arguments: Vec<OsString> = vec!["limiter".into()];
    if !operator.is_empty() {
        arguments.extend(["--with".into(), file.path().into()]);
    }
    let program =
        Program { path: env!("CARGO_BIN_EXE_emberpin-site").into(), arguments, logs: false, links: false };
    run(&scenario, &program, |_| ()).unwrap_or_else(|e| panic!("seed {seed}: {e}"))
}

fn play(text: &str, seed: u64) -> Outcome {
    play_with("", text, seed)
}

/// Twenty-four limiters that know nothing and have just started, like their servers, before a list service of a call of
/// each in 4 s.
const TOGETHER: &str =
    "[site]\nlimiters = 24\nservers = 8\ntogether = true\ncold = true\nknown = false\nlist_power = 6\n\
                        [load]\nrate = 24\nusage = 0.3\nretries = 0\n";
/// That power, as an operator says it.
const TOLD: &str = "[start]\nlist_calls_per_s = 6\n";

/// When each limiter first held the list, in seconds, in order.
fn listed(outcome: &Outcome) -> Vec<f64> {
    let mut first = BTreeMap::new();
    for event in &outcome.events {
        if let What::ListAnswered { limiter, well: true } = event.what {
            first.entry(limiter).or_insert(event.at as f64 / SECOND as f64);
        }
    }
    let mut times: Vec<f64> = first.into_values().collect();
    times.sort_by(f64::total_cmp);
    times
}

/// Calls of the list service between two times in seconds, and those that failed.
fn calls(outcome: &Outcome, from: f64, to: f64) -> (usize, usize) {
    let within = |event: &&Event| (from..to).contains(&(event.at as f64 / SECOND as f64));
    let count = |of: fn(&What) -> bool| outcome.events.iter().filter(within).filter(|e| of(&e.what)).count();
    (
        count(|what| matches!(what, What::ListAsked { .. })),
        count(|what| matches!(what, What::ListAnswered { well: false, .. })),
    )
}

fn count(outcome: &Outcome, of: impl Fn(&What) -> bool) -> usize {
    outcome.events.iter().filter(|event| of(&event.what)).count()
}

#[track_caller]
fn holds(outcome: &Outcome) {
    assert!(!outcome.judgement.is_broken(), "seed {}:{}", outcome.scenario.seed, stories(&outcome.judgement));
}

/// Once nothing was served before the first server was warm: what cold ones may get was a part of what warm ones
/// were seen to carry.
#[test]
fn limiters_that_start_with_servers_that_are_all_cold_serve_at_once() {
    for seed in [5, 6] {
        let text = "seconds = 5\n[site]\nwarm_s = 20\ncold = true\nnotice_ms = [1, 20]\n[load]\nrate = 20\nusage = 0.3\n";
        let outcome = play(text, seed);
        holds(&outcome);
        let cold = outcome.events.iter().filter(|e| matches!(e.what, What::ServerUp { warm_after: 1.., .. }));
        assert_eq!(cold.count(), 9, "all servers were cold, and none fell");
        let total = Summary::of(&outcome).total;
        assert!(total.in_time * 10 >= total.asked * 7, "seed {seed}: {total:?}");
    }
}

/// Once 24 calls came within 100 ms, all failed at 2 s, and a third of the limiters never got the list.
#[test]
fn all_start_in_one_instant_before_a_weak_list_service_and_each_calls_once() {
    let outcome = play_with(TOLD, &format!("seconds = 14\n{TOGETHER}"), 1);
    holds(&outcome);
    let starts = Starts::of(&outcome);
    assert!(starts.ready[1].is_some_and(|last| last < 3.0), "they started in one instant: {starts:?}");
    assert_eq!(
        count(&outcome, |what| matches!(what, What::ServerUp { warm_after: 1.., .. })),
        8,
        "cold, none fell"
    );
    assert_eq!(calls(&outcome, 0.0, 14.0), (24, 0), "{starts:?}");
    assert!(starts.listed[2].is_some_and(|last| last < 7.0), "{starts:?}");
    assert!(starts.served(10, 14) > 0.9, "{starts:?}");
}

#[test]
fn all_start_in_one_instant_before_a_list_service_that_is_cold_too_and_are_told_all_the_same() {
    let site = TOGETHER.replace("list_power = 6", "list_power = 6\nlist_warm_s = 6");
    let outcome = play_with(TOLD, &format!("seconds = 25\n{site}"), 2);
    holds(&outcome);
    let (asked, failed) = calls(&outcome, 0.0, 25.0);
    assert!(failed > 0, "at a quarter of its power it could not answer all: {asked} calls");
    assert!(asked <= 24 * 3, "{asked} calls");
    assert_eq!(listed(&outcome).len(), 24, "{:?}", listed(&outcome));
}

#[test]
fn the_list_service_dies_when_half_have_their_list_and_the_others_are_told_when_it_is_back() {
    let fault = "[[fault]]\nat_s = 2\nwhat = \"discovery-dead\"\nfor_s = 6\n";
    let outcome = play_with(TOLD, &format!("seconds = 20\n{TOGETHER}{fault}"), 3);
    holds(&outcome);
    let listed = listed(&outcome);
    let before = listed.iter().filter(|at| **at < 2.0).count();
    assert!((6..=16).contains(&before), "about half were told before: {listed:?}");
    assert!(calls(&outcome, 2.0, 8.0).1 >= 12, "calls failed while it was dead");
    assert!(!listed.iter().any(|at| (2.1..7.9).contains(at)), "and none was answered: {listed:?}");
    assert_eq!(listed.len(), 24, "{listed:?}");
}

/// A limiter that stands still amid the start calls when it goes on, and keeps nobody from being told.
#[test]
fn a_limiter_paused_amid_the_start_is_told_when_it_goes_on() {
    let fault = "[[fault]]\nat_s = 0.2\nwhat = \"limiter-paused\"\nlimiter = 7\nfor_s = 10\n";
    let outcome = play_with(TOLD, &format!("seconds = 16\n{TOGETHER}{fault}"), 4);
    let told = |event: &Event| matches!(event.what, What::ListAnswered { limiter: 7, well: true });
    let at = outcome.events.iter().find(|event| told(event)).map(|event| event.at as f64 / SECOND as f64);
    assert!(at.is_some_and(|at| at > 10.0), "it stood still until then: {at:?}");
    let listed = listed(&outcome);
    assert!(listed.len() == 24 && listed[22] < 8.0, "{listed:?}");
}

/// Those that come back hear of the others how many came back with them, and take as much of a round.
#[test]
fn seven_in_ten_killed_twice_call_again_without_a_crowd() {
    let kill =
        |at: f64| format!("[[fault]]\nat_s = {at}\nwhat = \"limiters-killed\"\nshare = 0.7\nback_s = 0.5\n");
    let site = TOGETHER.replace("known = false", "known = true");
    let outcome = play_with(TOLD, &format!("seconds = 20\n{site}{}{}", kill(8.0), kill(11.0)), 5);
    holds(&outcome);
    let killed = count(&outcome, |what| matches!(what, What::LimiterDown { how: ProcessEnd::Killed, .. }));
    assert!(killed >= 28, "{killed} were killed");
    let back: Vec<f64> = called_after(&outcome, 11.5);
    assert!(back.len() >= 14, "{back:?}");
    let crowd =
        back.iter().map(|from| back.iter().filter(|at| (*from..from + 0.25).contains(*at)).count()).max();
    assert!(crowd <= Some(6), "within a quarter of a second {crowd:?} of {back:?}");
    let (asked, failed) = calls(&outcome, 11.5, 20.0);
    assert_eq!(failed, 0, "of {asked}");
}

/// When limiters called after a time, in seconds, in order.
fn called_after(outcome: &Outcome, from: f64) -> Vec<f64> {
    let times = outcome.events.iter().filter(|event| matches!(event.what, What::ListAsked { .. }));
    times.map(|event| event.at as f64 / SECOND as f64).filter(|at| *at > from).collect()
}
