//! What is asked right before the first byte: hard case 11, news that comes while a request waits for a
//! connection.
#![allow(missing_docs)]

mod common;

use common::{instance, route};
use emberpin_membership::instance::{Instance, Status};
use emberpin_routing::{ColdRule, Route, Router, Warmth};
use googletest::prelude::*;
use std::collections::{BTreeSet, HashMap};
use Status::{Drain, Up};

/// One route, one warm server, ten limiters, long after the start.
fn router() -> Router {
    let rule = ColdRule { excess: 1.5, extra: 5.0 };
    let mut router = Router::new(0.0, "edge-1", rule, 1_300.0);
    router.told(0.0, 10);
    router.matcher.replace(vec![route("r", "a", "/x/")]);
    let warmth = |per_s| Warmth { warmup_ms: 3_000.0, per_s };
    router.fleet.warmth(HashMap::from([("s".into(), warmth(10.0)), ("t".into(), warmth(10.0))]));
    router.fleet.tell(0.0, &[instance("i", Up, 1)]);
    router
}

fn allowed(router: &mut Router) -> bool {
    router.allowed(&route("r", "a", "/x/"), "s", "i", 10_000.0)
}

/// Each piece of news forbids a request that was picked before, and raises the generation. Holds `works`, and
/// `routed` with each of its conditions.
#[gtest]
fn news_binds_a_request_that_was_picked_before_it() {
    type News = (&'static str, fn(&mut Router));
    let news: [News; 8] = [
        ("a drain", |it| it.fleet.tell(0.0, &[instance("i", Drain, 2)])),
        ("its end", |it| it.fleet.snapshot(0.0, &[], true)),
        ("a 421", |it| it.fleet.wrong_instance("i")),
        ("an evacuation", |it| it.fleet.evacuated(0.0, BTreeSet::from(["umea".into()]))),
        ("the route's end", |it| it.matcher.replace(vec![])),
        ("a later version", |it| it.matcher.replace(vec![Route { ver: 2, ..route("r", "a", "/x/") }])),
        ("a route to another service", |it| {
            it.matcher.replace(vec![Route { targets: vec![("t".into(), 1)], ..route("r", "a", "/x/") }]);
        }),
        ("a weight of zero", |it| {
            let targets = vec![("s".into(), 0), ("t".into(), 1)];
            it.matcher.replace(vec![Route { targets, ..route("r", "a", "/x/") }]);
        }),
    ];
    for (what, comes) in news {
        let mut router = router();
        expect_true!(allowed(&mut router), "before {what}");
        let before = router.generation();
        comes(&mut router);
        expect_false!(allowed(&mut router), "after {what}");
        expect_that!(router.generation(), gt(before), "{what}");
    }
}

/// Holds the comparison of services in `works`: an instance that is told as another service's is not the route's.
#[gtest]
fn a_life_of_another_service_is_not_the_routes() {
    let mut router = router();
    router.fleet.tell(0.0, &[Instance { service: "t".into(), ..instance("i", Up, 2) }]);
    expect_false!(allowed(&mut router));
}

/// Holds `bears`, and `sent` in it.
#[gtest]
fn a_cold_server_gets_no_more_than_its_share() {
    let mut router = router();
    for _ in 0..100 {
        expect_true!(allowed(&mut router));
        router.sent(10_000.0, "i");
    }
    router.fleet.cold_for(10_000.0, "i", 5_000.0);
    expect_true!(allowed(&mut router));
    router.sent(10_000.0, "i");
    expect_false!(allowed(&mut router));
    expect_true!(router.allowed(&route("r", "a", "/x/"), "s", "i", 15_000.0), "warm again");
}

/// Holds the refusal where a service's word on its cold servers is missing.
#[gtest]
fn a_cold_server_of_an_unknown_service_gets_nothing() {
    let mut router = router();
    router.fleet.warmth(HashMap::new());
    expect_true!(allowed(&mut router));
    router.fleet.cold_for(10_000.0, "i", 5_000.0);
    expect_false!(allowed(&mut router));
}

/// Holds the number of limiters that `told` passes on.
#[gtest]
fn who_knows_no_number_of_limiters_sends_nothing_to_a_cold_server() {
    let rule = ColdRule { excess: 1.5, extra: 5.0 };
    let mut silent = Router::new(0.0, "edge-1", rule, 1_300.0);
    silent.matcher.replace(vec![route("r", "a", "/x/")]);
    silent.fleet.warmth(HashMap::from([("s".into(), Warmth { warmup_ms: 3_000.0, per_s: 10.0 })]));
    silent.fleet.tell(10_000.0, &[Instance { cold_ms: 5_000, ..instance("i", Up, 1) }]);
    expect_false!(allowed(&mut silent));
}
