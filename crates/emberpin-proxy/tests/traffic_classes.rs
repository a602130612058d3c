//! The tables of traffic classes of one service over many changes of routes.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_config::{Target, Version};
use emberpin_limiter::host::{LimiterMetrics, Pool, PoolLimits, SocketBudget};
use emberpin_proxy::service::{ClassCounts, Service};
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

/// Guards the free list in `TrafficClasses`: without it, no change after the 256th would get a class of its own.
#[tokio::test]
async fn class_tables_do_not_grow_with_changes_of_a_timeout() -> googletest::Result<()> {
    let mut service = service();
    let unchanged = route(RouteKind::Mutating, 500);
    let kept = service.class(&unchanged);
    for change in 1..=CHANGES {
        let (old, new) = (
            route(RouteKind::Readonly, change),
            route(RouteKind::Readonly, change + 1),
        );
        // A request on the old route is still in flight while the new route is in force.
        service.retain_classes([&unchanged, &old, &new].into_iter());
        let classes: HashSet<usize> = [&unchanged, &old, &new]
            .map(|route| service.class(route).0)
            .into();
        verify_that!(classes.len(), eq(3))?;
        verify_that!(service.class(&unchanged), eq(kept))?;
    }
    verify_that!(
        service.class_counts(),
        eq(ClassCounts {
            used: 3,
            allocated: 3
        })
    )
}

/// Guards `any_of_same_idempotency`: a mutating request never shares a class with idempotent ones.
#[tokio::test]
async fn above_the_limit_requests_share_a_class_of_the_same_idempotency() -> googletest::Result<()>
{
    let mut service = service();
    let mutating = service.class(&route(RouteKind::Mutating, 1));
    for timeout in 1..1_000 {
        verify_that!(
            service.class(&route(RouteKind::Readonly, timeout)),
            not(eq(mutating))
        )?;
    }
    verify_that!(service.class_counts().allocated, eq(256))?;
    verify_that!(service.class(&route(RouteKind::Mutating, 2)), eq(mutating))
}
