//! The tables of traffic classes of one service over many changes of routes.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_config::{Target, Version};
use emberpin_limiter::host::{LimiterMetrics, Pool, PoolLimits, SocketBudget};
use emberpin_proxy::service::{ClassCounts, ClassLease, Repeatability, Service};
use emberpin_proxy::wire::GatewayWire;
use emberpin_routing::{Route, RouteKind};
use googletest::prelude::*;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// How often the time-out of a route is changed.
const CHANGES: u64 = 10_000;

fn service() -> Service {
    let limits = PoolLimits {
        connect_timeout: Duration::from_millis(150),
        idle_timeout: Duration::from_secs(5),
        max_idle_per_server: 4,
        sockets: 40,
        unacknowledged_timeout: None,
        buffered_response_bytes: 1 << 20,
    };
    let limiter_metrics = LimiterMetrics::new(&["all".to_string()]).expect("figures");
    let pool = Pool::new(
        limits,
        Rc::new(GatewayWire),
        limiter_metrics,
        Rc::new(SocketBudget::new(None)),
    );
    Service::new(pool, mpsc::channel(1).0, 7, Instant::now())
}

fn route(kind: RouteKind, timeout_ms: u64) -> Route {
    Route {
        name: "r".into(),
        hostname: "h".into(),
        prefix: "/r/".into(),
        kind,
        timeout: Duration::from_millis(timeout_ms),
        latency_target: Duration::from_millis(250),
        priority: 1,
        targets: vec![Target {
            service: "s".into(),
            weight: 1,
        }],
        max_attempts: 2,
        version: Version(timeout_ms),
    }
}

/// The class of requests on this route that arrive now.
fn class(service: &mut Service, route: &Route) -> ClassLease {
    service.class(route, Repeatability::of_kind(route.kind))
}

/// Guards the free list in `TrafficClasses`: without it, no change after the 256th would get a class of its own.
#[tokio::test]
async fn class_tables_do_not_grow_with_changes_of_a_timeout() -> googletest::Result<()> {
    let mut service = service();
    let unchanged = route(RouteKind::Mutating, 500);
    let kept = class(&mut service, &unchanged).id();
    for change in 1..=CHANGES {
        let (old, new) = (
            route(RouteKind::Readonly, change),
            route(RouteKind::Readonly, change + 1),
        );
        // A request on the old route is still in flight while the new route is in force.
        service.retain_classes([&unchanged, &old, &new].into_iter());
        let classes: HashSet<usize> = [&unchanged, &old, &new]
            .map(|route| class(&mut service, route).id().0)
            .into();
        verify_that!(classes.len(), eq(3))?;
        verify_that!(class(&mut service, &unchanged).id(), eq(kept))?;
    }
    verify_that!(
        service.class_counts(),
        eq(ClassCounts {
            used: 3,
            allocated: 3
        })
    )
}

/// Guards the leases of `TrafficClasses`: a class that a request in flight uses is not given to requests on another
/// route, although no route uses it any more.
#[tokio::test]
async fn a_class_is_not_reused_while_a_request_holds_a_lease_of_it() -> googletest::Result<()> {
    let mut service = service();
    let held = class(&mut service, &route(RouteKind::Mutating, 1));
    service.retain_classes(std::iter::empty());
    let other = class(&mut service, &route(RouteKind::Readonly, 2)).id();
    verify_that!(other, not(eq(held.id())))?;
    // The route is back, and then gone again: the same class, still in use.
    let again = class(&mut service, &route(RouteKind::Mutating, 1));
    verify_that!(again.id(), eq(held.id()))?;
    drop(again);
    service.retain_classes(std::iter::empty());
    let id = held.id();
    drop(held);
    let third = class(&mut service, &route(RouteKind::Readonly, 3)).id();
    verify_that!(third, not(eq(id)))?;
    // Once nobody holds it, the next change frees it.
    service.retain_classes(std::iter::empty());
    let reused = [4, 5, 6].map(|timeout| class(&mut service, &route(RouteKind::Readonly, timeout)));
    verify_that!(reused.map(|lease| lease.id()).contains(&id), eq(true))
}

/// Guards `any_of_repeatability`: a mutating request never shares a class with idempotent ones.
#[tokio::test]
async fn above_the_limit_requests_share_a_class_of_the_same_idempotency() -> googletest::Result<()>
{
    let mut service = service();
    let mutating = class(&mut service, &route(RouteKind::Mutating, 1)).id();
    for timeout in 1..1_000 {
        verify_that!(
            class(&mut service, &route(RouteKind::Readonly, timeout)).id(),
            not(eq(mutating))
        )?;
    }
    verify_that!(service.class_counts().allocated, eq(256))?;
    let shared = class(&mut service, &route(RouteKind::Mutating, 2)).id();
    verify_that!(shared, eq(mutating))
}
