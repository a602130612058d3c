//! Matching of requests to routes by host and path prefix.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::route;
use emberpin_config::Version;
use emberpin_routing::{Route, RouteMatcher};
use googletest::prelude::*;
use proptest::prelude::*;
use std::rc::Rc;

/// The name of the route that the matcher finds.
fn route_name<'a>(matcher: &'a RouteMatcher, host: &str, path: &str) -> Option<&'a str> {
    matcher.find(host, path).map(|route| route.name.as_str())
}

#[gtest]
fn the_longest_prefix_of_a_host_wins() {
    let matcher = RouteMatcher::new(vec![
        route("all", "a.example", "/"),
        route("short", "a.example", "/leny950/"),
        route("long", "a.example", "/leny950/2f/"),
        route("other", "b.example", "/leny950/2f/"),
    ]);
    expect_that!(
        route_name(&matcher, "a.example", "/leny950/2f"),
        some(eq("short"))
    );
    expect_that!(
        route_name(&matcher, "a.example", "/leny950/2f/x"),
        some(eq("long"))
    );
    // Covers `or(longest)`: the path shares only a part of the longer prefix.
    expect_that!(
        route_name(&matcher, "a.example", "/leny950/2g/x"),
        some(eq("short"))
    );
    expect_that!(route_name(&matcher, "a.example", "/x"), some(eq("all")));
    expect_that!(route_name(&matcher, "b.example", "/leny950/2f"), none());
    expect_that!(route_name(&matcher, "c.example", "/leny950/2f"), none());
}

/// Covers `or(longest)`: the nodes between two prefixes have no routes of their own.
#[gtest]
fn a_node_without_a_route_does_not_hide_the_shorter_prefix() {
    let matcher = RouteMatcher::new(vec![
        route("short", "a", "/x/"),
        route("long", "a", "/x/y/z/"),
    ]);
    expect_that!(route_name(&matcher, "a", "/x/y/w"), some(eq("short")));
}

/// Covers `split_once('/')` in `find`: a last path segment without a slash must not match a segment of a prefix.
#[gtest]
fn a_path_without_the_last_slash_of_a_prefix_does_not_match() {
    let matcher = RouteMatcher::new(vec![route("r", "a", "/leny950/")]);
    expect_that!(route_name(&matcher, "a", "/leny950/2f"), some(eq("r")));
    expect_that!(route_name(&matcher, "a", "/leny950/"), some(eq("r")));
    expect_that!(route_name(&matcher, "a", "/leny950"), none());
    expect_that!(route_name(&matcher, "a", "/leny9500/"), none());
    expect_that!(route_name(&matcher, "a", "leny950/2f"), none());
    expect_that!(route_name(&matcher, "a", "*"), none());
    expect_that!(route_name(&matcher, "a", ""), none());
}

/// Covers `normalized_host` in `find` and in `insert`.
#[gtest]
fn hosts_are_compared_regardless_of_case_and_port() {
    let matcher = RouteMatcher::new(vec![
        route("r", "Hulo84.example", "/"),
        route("six", "[::1]", "/"),
    ]);
    for host in ["hulo84.example", "HULO84.Example", "hulo84.example:8080"] {
        expect_that!(route_name(&matcher, host, "/x"), some(eq("r")), "{host}");
    }
    expect_that!(route_name(&matcher, "[::1]:80", "/"), some(eq("six")));
    expect_that!(route_name(&matcher, "[::1]", "/"), some(eq("six")));
    expect_that!(route_name(&matcher, "hulo84.example:x", "/"), none());
}

/// Covers `self.hosts.clear()`, and the arm of `replace` that keeps an unchanged route.
#[gtest]
fn a_replacement_removes_missing_routes_and_keeps_unchanged_ones() {
    let mut matcher = RouteMatcher::new(vec![route("keep", "a", "/x/"), route("drop", "a", "/y/")]);
    let kept = matcher.find("a", "/x/").cloned();
    let before = matcher.generation();
    let changed = Route {
        version: Version(2),
        ..route("new", "a", "/z/")
    };
    matcher.replace(vec![route("keep", "a", "/x/"), changed]);
    expect_that!(matcher.generation(), gt(before));
    expect_that!(route_name(&matcher, "a", "/y/"), none());
    expect_that!(route_name(&matcher, "a", "/z/"), some(eq("new")));
    let (Some(kept), Some(now)) = (kept, matcher.find("a", "/x/")) else {
        panic!("a route is missing")
    };
    expect_true!(Rc::ptr_eq(&kept, now));
    matcher.replace(vec![Route {
        version: Version(3),
        ..route("keep", "a", "/x/")
    }]);
    expect_that!(
        matcher.find("a", "/x/").map(|route| route.version),
        some(eq(Version(3)))
    );
}

/// Covers the check of the last slash in `insert`: such a prefix is invalid, and the part of it up to its last slash
/// must not match either.
#[gtest]
fn a_prefix_that_does_not_end_with_a_slash_matches_nothing() {
    let matcher = RouteMatcher::new(vec![route("r", "a", "/x/y")]);
    expect_that!(route_name(&matcher, "a", "/x/y"), none());
    expect_that!(route_name(&matcher, "a", "/x/"), none());
}

/// The reference implementation: a linear scan for the longest prefix of the path among the routes of the host.
fn find_by_scan<'a>(routes: &'a [Route], host: &str, path: &str) -> Option<&'a str> {
    let matches = |route: &&Route| route.hostname == host && path.starts_with(&route.prefix);
    routes
        .iter()
        .filter(matches)
        .max_by_key(|route| route.prefix.len())
        .map(|route| route.name.as_str())
}

proptest! {
    #[test]
    fn the_tree_finds_the_same_route_as_a_linear_scan(
        prefixes in proptest::collection::btree_set(("[ab]", "/([ab]{0,2}/){0,3}"), 0..30),
        requests in proptest::collection::vec(("[abc]", "/?([ab]{0,2}/?){0,4}"), 1..30),
    ) {
        let named = prefixes.iter().enumerate();
        let routes: Vec<Route> = named.map(|(k, (host, prefix))| route(&format!("r{k}"), host, prefix)).collect();
        let matcher = RouteMatcher::new(routes.clone());
        for (host, path) in &requests {
            prop_assert_eq!(route_name(&matcher, host, path), find_by_scan(&routes, host, path), "{} {}", host, path);
        }
    }
}
