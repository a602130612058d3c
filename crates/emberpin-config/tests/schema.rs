//! Parsing of items into routes, services, limits and durations, and rejection of invalid items.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::*;
use emberpin_config::schema::parse_duration;
use emberpin_config::*;
use googletest::prelude::*;
use std::time::Duration;

fn item(kind: ItemKind, name: &str, version: u64, body: &str) -> Item {
    Item {
        key: key(kind, name),
        version: Version(version),
        body: Some(body.into()),
    }
}

fn route_body() -> String {
    format!(r#"{{"hostname":"H.example","loc":{ROUTE}}}"#)
}

#[gtest]
fn a_route_is_parsed() {
    let route = Route::from_item(&item(ItemKind::Route, "r1", 7, &route_body()));
    expect_that!(
        route,
        ok(eq(&Route {
            name: "r1".into(),
            hostname: "h.example".into(),
            prefix: "/a/".into(),
            kind: RouteKind::Pull,
            timeout: Duration::from_millis(1500),
            latency_target: Duration::from_millis(250),
            priority: 2,
            targets: vec![Target {
                service: "s1".into(),
                weight: 1
            }],
            max_attempts: 2,
            version: Version(7),
        }))
    );
    let split = parse_patch(INITIAL_PATCH.as_bytes())
        .map(|patch| Route::from_item(&patch.items[6]).expect("a route"));
    expect_that!(
        split.map(|route| (route.kind, route.targets)),
        ok(eq(&(
            RouteKind::Readonly,
            vec![
                Target {
                    service: "huvo11a".into(),
                    weight: 90
                },
                Target {
                    service: "lovo22d".into(),
                    weight: 10
                }
            ]
        )))
    );
    let mutating = parse_patch(INITIAL_PATCH.as_bytes())
        .map(|patch| Route::from_item(&patch.items[5]).expect("a route").kind);
    expect_that!(mutating, ok(eq(&RouteKind::Mutating)));
}

#[gtest]
fn a_hostname_that_contains_the_route_separator_is_parsed() {
    let host = r#""a,\"loc\":{b""#;
    let body = route_body().replace("\"H.example\"", host);
    expect_that!(
        Route::from_item(&item(ItemKind::Route, "r1", 7, &body)).map(|r| r.hostname),
        ok(eq("a,\"loc\":{b"))
    );
}

#[gtest]
fn a_service_is_parsed_with_and_without_a_warm_up() {
    let mut service = Service {
        name: "s1".into(),
        health_path: "/healthz".into(),
        max_connections: 120,
        warmup: Duration::from_secs(3),
        warmup_requests_per_s: 10.0,
        version: Version(7),
    };
    expect_that!(
        Service::from_item(&item(ItemKind::Service, "s1", 7, SERVICE)),
        ok(eq(&service))
    );
    service.warmup = Duration::ZERO;
    service.warmup_requests_per_s = f64::INFINITY;
    let bare = SERVICE.replace(r#""warmup":"3s","warmup_per_s":10.0,"#, "");
    expect_that!(
        Service::from_item(&item(ItemKind::Service, "s1", 7, &bare)),
        ok(eq(&service))
    );
}

#[gtest]
fn limits_are_parsed() {
    expect_that!(
        Limits::from_item(&item(ItemKind::Limits, "", 7, LIMITS)),
        ok(eq(&Limits {
            max_header_bytes: 16384,
            max_body_bytes: 67_108_864,
            header_read_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
            version: Version(7),
        }))
    );
}

#[gtest]
fn an_item_of_another_kind_or_key_and_a_tombstone_are_rejected() {
    let parse = |item: Item| match item.key.kind {
        ItemKind::Service => Service::from_item(&item).map(drop),
        ItemKind::Limits => Limits::from_item(&item).map(drop),
        _ => Route::from_item(&item).map(drop),
    };
    let other = "is kept under another name or version than its own";
    let table = [
        (
            item(ItemKind::Route, "r2", 7, &route_body()),
            format!("route r2: {other}"),
        ),
        (
            item(ItemKind::Route, "r1", 8, &route_body()),
            format!("route r1: {other}"),
        ),
        (
            item(ItemKind::Service, "s2", 7, SERVICE),
            format!("service s2: {other}"),
        ),
        (
            item(ItemKind::Service, "s1", 6, SERVICE),
            format!("service s1: {other}"),
        ),
        (
            item(ItemKind::Limits, "x", 7, LIMITS),
            format!("limits: {other}"),
        ),
        (
            item(ItemKind::Limits, "", 6, LIMITS),
            format!("limits: {other}"),
        ),
        (
            item(ItemKind::Evacuation, "z", 7, &route_body()),
            "evacuation z: is of another kind".into(),
        ),
        (
            item(ItemKind::Roster, "", 7, &route_body()),
            "roster: is of another kind".into(),
        ),
        (
            tombstone(ItemKind::Route, "r1", 7),
            "route r1: is dropped".into(),
        ),
        (
            item(ItemKind::Route, "r1", 7, "{}"),
            "route r1: is not a route".into(),
        ),
        (
            item(ItemKind::Route, "r1", 7, r#"{"hostname":1,"loc":{}}"#),
            "route r1: is not a route".into(),
        ),
        (
            item(ItemKind::Route, "r1", 7, r#"{"hostname":"","loc":{}}"#),
            "route r1.hostname: is empty".into(),
        ),
        (
            item(ItemKind::Service, "s1", 7, "{]}"),
            "service s1: is not an object".into(),
        ),
        (
            item(ItemKind::Service, "s1", 7, "{\"a\":[1}"),
            "service s1: is not an object".into(),
        ),
        (
            item(ItemKind::Service, "s1", 7, "{\"a"),
            "service s1: is not an object".into(),
        ),
        (
            item(ItemKind::Service, "s1", 7, "{\"a}"),
            "service s1: is not an object".into(),
        ),
        (
            item(ItemKind::Service, "s1", 7, "{\"a\"}"),
            "service s1: is not an object".into(),
        ),
    ];
    for (item, message) in table {
        expect_that!(
            parse(item.clone()).map_err(|error| error.to_string()),
            err(eq(&message)),
            "{item:?}"
        );
    }
}

#[gtest]
fn durations_consist_of_a_number_and_a_unit() {
    let ms = Duration::from_millis;
    for (text, expected) in [
        ("1500ms", Some(ms(1500))),
        ("2.5s", Some(ms(2500))),
        ("0s", Some(ms(0))),
        ("0.25ms", Some(Duration::from_micros(250))),
        ("1500", None),
        ("ms", None),
        ("s", None),
        ("", None),
        ("-1s", None),
        ("+1s", None),
        ("1e3s", None),
        ("infs", None),
        ("nans", None),
        ("1.2.3s", None),
        (".5s", None),
        ("1 s", None),
        ("1m", None),
        ("99999999999999999999999999s", None),
    ] {
        expect_that!(parse_duration(text), eq(expected), "{text}");
    }
}
