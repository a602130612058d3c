//! What binds a request when it is picked and while it goes on: news that comes while it waits for a connection.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{instance, route};
use emberpin_membership::instance::{Instance, Status};
use emberpin_routing::guards::Guards;
use emberpin_routing::{ColdRule, Route, RouteKind, Router, Warmth, Work};
use googletest::prelude::*;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use Status::{Drain, Up};

/// One route, one warm server, ten limiters, long after the start.
fn router() -> Router {
    let rule = ColdRule {
        excess: 1.5,
        extra: 5.0,
    };
    let mut router = Router::new(0.0, "edge-1", rule, 1_300.0);
    router.told(0.0, 10);
    router.matcher.replace(vec![route("r", "a", "/x/")]);
    let warmth = |per_s| Warmth {
        warmup_ms: 3_000.0,
        per_s,
    };
    router.fleet.warmth(HashMap::from([
        ("s".into(), warmth(10.0)),
        ("t".into(), warmth(10.0)),
    ]));
    router.fleet.tell(0.0, &[instance("i", Up, 1)]);
    router
}

/// Whether the only server may get a request that the only route sends to this service.
fn picks(router: &mut Router) -> bool {
    let usable = router.fleet.work("i") == Work::Usable;
    let told = router
        .fleet
        .instance("i")
        .is_some_and(|instance| instance.service == "s");
    usable && told && router.bears("s", "i", 10_000.0)
}

/// The version of the route under which a request may go on that was picked by the first one.
fn followed(router: &Router) -> Option<u64> {
    let picked = Rc::new(route("r", "a", "/x/"));
    router
        .follow("a", "/x/1", &picked, "s")
        .map(|newest| newest.ver)
}

/// Each piece of news about a server takes it away from a request that was picked before, and names it to the host. Holds
/// each condition of `work`.
#[gtest]
fn news_of_a_server_binds_a_request_that_was_picked_before_it() {
    type News = (&'static str, fn(&mut Router));
    let news: [News; 4] = [
        ("a drain", |it| {
            it.fleet.tell(0.0, &[instance("i", Drain, 2)]);
        }),
        ("its end", |it| it.fleet.snapshot(0.0, &[], true)),
        ("a 421", |it| it.fleet.wrong_instance("i")),
        ("an evacuation", |it| {
            it.fleet.evacuated(0.0, BTreeSet::from(["umea".into()]));
        }),
    ];
    for (what, comes) in news {
        let mut router = router();
        router.fleet.changes();
        expect_true!(picks(&mut router), "before {what}");
        let before = router.fleet.generation();
        comes(&mut router);
        expect_false!(picks(&mut router), "after {what}");
        let told = router.fleet.changes();
        expect_true!(
            told.iter()
                .any(|change| change.id == "i" && change.work != Work::Usable),
            "{what}"
        );
        expect_that!(router.fleet.generation(), gt(before), "{what}");
    }
}

/// Each piece of news about routes binds a request that was picked before. Holds each condition of `follow`.
#[gtest]
fn news_of_a_route_binds_a_request_that_was_picked_before_it() {
    type News = (&'static str, fn() -> Vec<Route>, Option<u64>);
    let news: [News; 7] = [
        ("the route's end", Vec::new, None),
        (
            "a later version",
            || {
                vec![Route {
                    ver: 2,
                    ..route("r", "a", "/x/")
                }]
            },
            Some(2),
        ),
        (
            "another type",
            || {
                vec![Route {
                    kind: RouteKind::Mutating,
                    ver: 2,
                    ..route("r", "a", "/x/")
                }]
            },
            None,
        ),
        ("another host", || vec![route("r", "b", "/x/")], None),
        (
            "a longer prefix",
            || {
                let targets = vec![("t".into(), 1)];
                vec![
                    route("r", "a", "/"),
                    Route {
                        targets,
                        ..route("q", "a", "/x/")
                    },
                ]
            },
            None,
        ),
        (
            "a route to another service",
            || {
                vec![Route {
                    targets: vec![("t".into(), 1)],
                    ..route("r", "a", "/x/")
                }]
            },
            None,
        ),
        (
            "a weight of zero",
            || {
                vec![Route {
                    targets: vec![("s".into(), 0), ("t".into(), 1)],
                    ..route("r", "a", "/x/")
                }]
            },
            None,
        ),
    ];
    for (what, routes, version) in news {
        let mut router = router();
        expect_that!(followed(&router), some(eq(1)), "before {what}");
        router.matcher.replace(routes());
        expect_that!(followed(&router), eq(version), "after {what}");
    }
}

/// The wrong build: a request that goes on by the route that it was picked by goes where no route leads any more.
#[gtest]
fn without_the_newest_routes_a_dropped_one_is_still_followed() {
    let guards = Guards {
        newest: false,
        ..Guards::default()
    };
    let rule = ColdRule {
        excess: 1.5,
        extra: 5.0,
    };
    let mut router = Router::with_guards(0.0, "edge-1", rule, 1_300.0, guards);
    router.matcher.replace(vec![]);
    expect_that!(followed(&router), some(eq(1)));
}

/// Holds the later message in `merge`: an instance that is told as another service's is not the route's.
#[gtest]
fn a_life_of_another_service_is_not_the_routes() {
    let mut router = router();
    router.fleet.tell(
        0.0,
        &[Instance {
            service: "t".into(),
            ..instance("i", Up, 2)
        }],
    );
    expect_false!(picks(&mut router));
}

/// Holds `bears`, and `sent` in it.
#[gtest]
fn a_cold_server_gets_no_more_than_its_share() {
    let mut router = router();
    for _ in 0..100 {
        expect_true!(picks(&mut router));
        router.sent(10_000.0, "i");
    }
    router.fleet.cold_for(10_000.0, "i", 5_000.0);
    expect_true!(picks(&mut router));
    router.sent(10_000.0, "i");
    expect_false!(picks(&mut router));
    expect_true!(router.bears("s", "i", 15_000.0), "warm again");
}

/// Holds the refusal where a service's word on its cold servers is missing.
#[gtest]
fn a_cold_server_of_an_unknown_service_gets_nothing() {
    let mut router = router();
    router.fleet.warmth(HashMap::new());
    expect_true!(picks(&mut router));
    router.fleet.cold_for(10_000.0, "i", 5_000.0);
    expect_false!(picks(&mut router));
}

/// Holds the number of limiters that `told` passes on.
#[gtest]
fn who_knows_no_number_of_limiters_sends_nothing_to_a_cold_server() {
    let rule = ColdRule {
        excess: 1.5,
        extra: 5.0,
    };
    let mut silent = Router::new(0.0, "edge-1", rule, 1_300.0);
    silent.matcher.replace(vec![route("r", "a", "/x/")]);
    silent.fleet.warmth(HashMap::from([(
        "s".into(),
        Warmth {
            warmup_ms: 3_000.0,
            per_s: 10.0,
        },
    )]));
    silent.fleet.tell(
        10_000.0,
        &[Instance {
            cold_ms: 5_000,
            ..instance("i", Up, 1)
        }],
    );
    expect_false!(picks(&mut silent));
}
