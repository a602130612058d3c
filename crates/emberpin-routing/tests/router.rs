//! The effect of updates of endpoints and routes on a request that was routed before them and waits for a connection or
//! is in flight.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{instance, ms, route};
use emberpin_config::{Target, Version};
use emberpin_membership::instance::{Instance, Status};
use emberpin_routing::guards::Guards;
use emberpin_routing::{
    Availability, Route, RouteKind, Router, SnapshotScope, WarmupProfile, WarmupTolerance,
};
use googletest::prelude::*;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;
use Status::{Draining, Up};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_300);
const TOLERANCE: WarmupTolerance = WarmupTolerance {
    excess_factor: 1.5,
    extra_requests: 5.0,
};

const PROFILE: WarmupProfile = WarmupProfile {
    duration: ms(3_000),
    requests_per_second: 10.0,
};

/// A router with one route, one server that is not warming up, and ten proxies. The tests use it long after its start.
fn router() -> Router {
    let mut router = Router::new(Duration::ZERO, "edge-1", TOLERANCE, HEARTBEAT_INTERVAL);
    router.set_proxy_count(Duration::ZERO, 10);
    router.routes.replace(vec![route("r", "a", "/x/")]);
    let profiles = HashMap::from([("s".into(), PROFILE), ("t".into(), PROFILE)]);
    router.endpoints.set_warmup_profiles(profiles);
    router
        .endpoints
        .update(Duration::ZERO, &[instance("i", Up, 1)]);
    router
}

/// Whether the server `i` may get a request for the service `s`.
fn may_choose(router: &mut Router) -> bool {
    let is_available = router.endpoints.availability("i") == Availability::Available;
    let is_of_the_service = router
        .endpoints
        .instance("i")
        .is_some_and(|instance| instance.service == "s");
    is_available && is_of_the_service && router.slow_start_admits("s", "i", ms(10_000))
}

/// The version of the current route of a request in flight that was forwarded by the initial route.
fn current_version(router: &Router) -> Option<Version> {
    let chosen = Rc::new(route("r", "a", "/x/"));
    router
        .current_route("a", "/x/1", &chosen, "s")
        .map(|newest| newest.version)
}

/// After each of these updates, a server must not get a request that was routed before the update, and the change must
/// be reported. Covers each condition of `availability`.
#[gtest]
fn an_unavailable_server_gets_no_request_that_was_routed_before_the_update() {
    type Update = (&'static str, fn(&mut Router));
    let updates: [Update; 4] = [
        ("a drain", |router| {
            router
                .endpoints
                .update(Duration::ZERO, &[instance("i", Draining, 2)]);
        }),
        ("a removal", |router| {
            router
                .endpoints
                .apply_snapshot(Duration::ZERO, &[], SnapshotScope::Complete);
        }),
        ("a 421", |router| router.endpoints.mark_misdirected("i")),
        ("an evacuation", |router| {
            router
                .endpoints
                .set_evacuated_zones(Duration::ZERO, BTreeSet::from(["umea".into()]));
        }),
    ];
    for (what, update) in updates {
        let mut router = router();
        router.endpoints.take_changes();
        expect_true!(may_choose(&mut router), "before {what}");
        let before = router.endpoints.generation();
        update(&mut router);
        expect_false!(may_choose(&mut router), "after {what}");
        let reported = router.endpoints.take_changes();
        expect_true!(
            reported
                .iter()
                .any(|change| change.id == "i" && change.availability != Availability::Available),
            "{what}"
        );
        expect_that!(router.endpoints.generation(), gt(before), "{what}");
    }
}

/// An update of the routes also applies to a request that was routed before it. Covers each condition of
/// `current_route`.
#[gtest]
fn an_update_of_routes_applies_to_requests_in_flight() {
    type Update = (&'static str, fn() -> Vec<Route>, Option<Version>);
    let updates: [Update; 7] = [
        ("the removal of the route", Vec::new, None),
        (
            "a later version",
            || {
                vec![Route {
                    version: Version(2),
                    ..route("r", "a", "/x/")
                }]
            },
            Some(Version(2)),
        ),
        (
            "another type",
            || {
                vec![Route {
                    kind: RouteKind::Mutating,
                    version: Version(2),
                    ..route("r", "a", "/x/")
                }]
            },
            None,
        ),
        ("another host", || vec![route("r", "b", "/x/")], None),
        (
            "a longer prefix",
            || {
                let targets = vec![Target {
                    service: "t".into(),
                    weight: 1,
                }];
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
                    targets: vec![Target {
                        service: "t".into(),
                        weight: 1,
                    }],
                    ..route("r", "a", "/x/")
                }]
            },
            None,
        ),
        (
            "a weight of zero",
            || {
                vec![Route {
                    targets: vec![
                        Target {
                            service: "s".into(),
                            weight: 0,
                        },
                        Target {
                            service: "t".into(),
                            weight: 1,
                        },
                    ],
                    ..route("r", "a", "/x/")
                }]
            },
            None,
        ),
    ];
    for (what, routes, version) in updates {
        let mut router = router();
        expect_that!(
            current_version(&router),
            some(eq(Version(1))),
            "before {what}"
        );
        router.routes.replace(routes());
        expect_that!(current_version(&router), eq(version), "after {what}");
    }
}

/// Shows that the tests above detect the absence of the check: without it, a request in flight continues under a route
/// that was removed.
#[gtest]
fn with_the_check_of_newest_routes_switched_off_a_removed_route_is_still_used() {
    let guards = Guards {
        newest_routes: false,
        ..Guards::default()
    };
    let mut router = Router::with_guards(
        Duration::ZERO,
        "edge-1",
        TOLERANCE,
        HEARTBEAT_INTERVAL,
        guards,
    );
    router.routes.replace(vec![]);
    expect_that!(current_version(&router), some(eq(Version(1))));
}

/// Covers a report in `merge` that changes the service of an instance: it must not get requests for its former service.
#[gtest]
fn an_instance_that_changes_its_service_gets_no_requests_for_the_former_one() {
    let mut router = router();
    router.endpoints.update(
        Duration::ZERO,
        &[Instance {
            service: "t".into(),
            ..instance("i", Up, 2)
        }],
    );
    expect_false!(may_choose(&mut router));
}

/// Covers `slow_start_admits` and `record_send`.
#[gtest]
fn a_warming_server_gets_no_more_than_this_proxys_share() {
    let mut router = router();
    for _ in 0..100 {
        expect_true!(may_choose(&mut router));
        router.record_send(ms(10_000), "i");
    }
    router.endpoints.extend_warmup(ms(10_000), "i", ms(5_000));
    expect_true!(may_choose(&mut router));
    router.record_send(ms(10_000), "i");
    expect_false!(may_choose(&mut router));
    expect_true!(router.slow_start_admits("s", "i", ms(15_000)), "warmed up");
}

/// Covers the rejection of a service without a warm-up profile.
#[gtest]
fn a_warming_server_of_an_unknown_service_gets_nothing() {
    let mut router = router();
    router.endpoints.set_warmup_profiles(HashMap::new());
    expect_true!(may_choose(&mut router));
    router.endpoints.extend_warmup(ms(10_000), "i", ms(5_000));
    expect_false!(may_choose(&mut router));
}

/// Covers the initial proxy count of zero, before the first call of `set_proxy_count`.
#[gtest]
fn without_a_proxy_count_nothing_is_sent_to_a_warming_server() {
    let mut router = Router::new(Duration::ZERO, "edge-1", TOLERANCE, HEARTBEAT_INTERVAL);
    router.routes.replace(vec![route("r", "a", "/x/")]);
    router
        .endpoints
        .set_warmup_profiles(HashMap::from([("s".into(), PROFILE)]));
    router.endpoints.update(
        ms(10_000),
        &[Instance {
            warmup_left: ms(5_000),
            ..instance("i", Up, 1)
        }],
    );
    expect_false!(may_choose(&mut router));
}
