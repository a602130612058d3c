//! What binds a request when it is picked and while it goes on: news that comes while it waits for a connection.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{instance, route};
use emberpin_membership::instance::{Instance, Status};
use emberpin_routing::guards::Guards;
use emberpin_routing::{Availability, Route, RouteKind, Router, WarmupProfile, WarmupTolerance};
use googletest::prelude::*;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use Status::{Drain, Up};

/// One route, one warm server, ten limiters, long after the start.
fn router() -> Router {
    let rule = WarmupTolerance {
        excess_factor: 1.5,
        extra_requests: 5.0,
    };
    let mut router = Router::new(0.0, "edge-1", rule, 1_300.0);
    router.set_limiter_count(0.0, 10);
    router.routes.replace(vec![route("r", "a", "/x/")]);
    let warmth = |requests_per_second| WarmupProfile {
        warmup_ms: 3_000.0,
        requests_per_second,
    };
    router.endpoints.set_warmup_profiles(HashMap::from([
        ("s".into(), warmth(10.0)),
        ("t".into(), warmth(10.0)),
    ]));
    router.endpoints.update(0.0, &[instance("i", Up, 1)]);
    router
}

/// Whether the only server may get a request that the only route sends to this service.
fn picks(router: &mut Router) -> bool {
    let usable = router.endpoints.availability("i") == Availability::Available;
    let told = router
        .endpoints
        .instance("i")
        .is_some_and(|instance| instance.service == "s");
    usable && told && router.slow_start_admits("s", "i", 10_000.0)
}

/// The version of the route under which a request may go on that was picked by the first one.
fn followed(router: &Router) -> Option<u64> {
    let picked = Rc::new(route("r", "a", "/x/"));
    router
        .current_route("a", "/x/1", &picked, "s")
        .map(|newest| newest.ver)
}

/// Each piece of news about a server takes it away from a request that was picked before, and names it to the host. Holds
/// each condition of `work`.
#[gtest]
fn news_of_a_server_binds_a_request_that_was_picked_before_it() {
    type News = (&'static str, fn(&mut Router));
    let news: [News; 4] = [
        ("a drain", |it| {
            it.endpoints.update(0.0, &[instance("i", Drain, 2)]);
        }),
        ("its end", |it| it.endpoints.apply_snapshot(0.0, &[], true)),
        ("a 421", |it| it.endpoints.mark_misdirected("i")),
        ("an evacuation", |it| {
            it.endpoints
                .set_evacuated_zones(0.0, BTreeSet::from(["umea".into()]));
        }),
    ];
    for (what, comes) in news {
        let mut router = router();
        router.endpoints.take_changes();
        expect_true!(picks(&mut router), "before {what}");
        let before = router.endpoints.generation();
        comes(&mut router);
        expect_false!(picks(&mut router), "after {what}");
        let told = router.endpoints.take_changes();
        expect_true!(
            told.iter()
                .any(|change| change.id == "i" && change.availability != Availability::Available),
            "{what}"
        );
        expect_that!(router.endpoints.generation(), gt(before), "{what}");
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
        router.routes.replace(routes());
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
    let rule = WarmupTolerance {
        excess_factor: 1.5,
        extra_requests: 5.0,
    };
    let mut router = Router::with_guards(0.0, "edge-1", rule, 1_300.0, guards);
    router.routes.replace(vec![]);
    expect_that!(followed(&router), some(eq(1)));
}

/// Holds the later message in `merge`: an instance that is told as another service's is not the route's.
#[gtest]
fn a_life_of_another_service_is_not_the_routes() {
    let mut router = router();
    router.endpoints.update(
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
        router.record_send(10_000.0, "i");
    }
    router.endpoints.extend_warmup(10_000.0, "i", 5_000.0);
    expect_true!(picks(&mut router));
    router.record_send(10_000.0, "i");
    expect_false!(picks(&mut router));
    expect_true!(router.slow_start_admits("s", "i", 15_000.0), "warm again");
}

/// Holds the refusal where a service's word on its cold servers is missing.
#[gtest]
fn a_cold_server_of_an_unknown_service_gets_nothing() {
    let mut router = router();
    router.endpoints.set_warmup_profiles(HashMap::new());
    expect_true!(picks(&mut router));
    router.endpoints.extend_warmup(10_000.0, "i", 5_000.0);
    expect_false!(picks(&mut router));
}

/// Holds the number of limiters that `told` passes on.
#[gtest]
fn who_knows_no_number_of_limiters_sends_nothing_to_a_cold_server() {
    let rule = WarmupTolerance {
        excess_factor: 1.5,
        extra_requests: 5.0,
    };
    let mut silent = Router::new(0.0, "edge-1", rule, 1_300.0);
    silent.routes.replace(vec![route("r", "a", "/x/")]);
    silent.endpoints.set_warmup_profiles(HashMap::from([(
        "s".into(),
        WarmupProfile {
            warmup_ms: 3_000.0,
            requests_per_second: 10.0,
        },
    )]));
    silent.endpoints.update(
        10_000.0,
        &[Instance {
            cold_ms: 5_000,
            ..instance("i", Up, 1)
        }],
    );
    expect_false!(picks(&mut silent));
}
