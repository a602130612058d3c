//! Finds the route of a request: among the routes of its host, the one with the longest matching path prefix.

use crate::Route;
use std::borrow::Cow;
use std::collections::HashMap;
use std::rc::Rc;

/// A node of a tree over path segments. The path from the root to the node is the prefix of its route.
#[derive(Debug, Default)]
struct Node {
    route: Option<Rc<Route>>,
    children: HashMap<Box<str>, Node>,
}

/// The current routes, in one tree over path segments for each host.
#[derive(Debug, Default)]
pub struct RouteMatcher {
    hosts: HashMap<Box<str>, Node>,
    routes_by_name: HashMap<Box<str>, Rc<Route>>,
    generation: u64,
}

impl RouteMatcher {
    /// Creates a matcher for these routes. See [`RouteMatcher::replace`].
    pub fn new(routes: Vec<Route>) -> RouteMatcher {
        let mut matcher = RouteMatcher::default();
        matcher.replace(routes);
        matcher
    }

    /// Replaces all routes. An unchanged route keeps its `Rc`. A route whose prefix does not begin and end with a slash
    /// matches nothing.
    pub fn replace(&mut self, routes: Vec<Route>) {
        let before = std::mem::take(&mut self.routes_by_name);
        self.hosts.clear();
        for route in routes {
            let route = match before.get(route.name.as_str()) {
                Some(old) if **old == route => old.clone(),
                _ => Rc::new(route),
            };
            self.routes_by_name
                .insert(route.name.as_str().into(), route.clone());
            self.insert(route);
        }
        self.generation += 1;
    }

    fn insert(&mut self, route: Rc<Route>) {
        let Some(mut rest) = route.prefix.strip_prefix('/') else {
            return;
        };
        if !route.prefix.ends_with('/') {
            return;
        }
        let mut node = self
            .hosts
            .entry(normalized_host(&route.hostname).as_ref().into())
            .or_default();
        while let Some((segment, after)) = rest.split_once('/') {
            node = node.children.entry(segment.into()).or_default();
            rest = after;
        }
        node.route = Some(route);
    }

    /// The route for a `Host` header and a path without query string.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let mut node = self.hosts.get(normalized_host(host).as_ref())?;
        let mut rest = path.strip_prefix('/')?;
        let mut longest = node.route.as_ref();
        // A segment matches only if a slash follows: the path "/leny950" does not have the prefix "/leny950/".
        while let Some((segment, after)) = rest.split_once('/') {
            let Some(child) = node.children.get(segment) else {
                break;
            };
            node = child;
            longest = node.route.as_ref().or(longest);
            rest = after;
        }
        longest
    }

    /// The route of this name.
    pub fn by_name(&self, name: &str) -> Option<&Rc<Route>> {
        self.routes_by_name.get(name)
    }

    /// All current routes, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.routes_by_name.values()
    }

    /// A number that increases with each replacement, so that a caller that keeps a route knows when to look it up
    /// again.
    pub fn generation(&self) -> u64 {
        self.generation
    }
}

/// Normalizes a host for comparison: without its port, in lower case.
fn normalized_host(host: &str) -> Cow<'_, str> {
    let host = match host.rsplit_once(':') {
        // A colon within brackets belongs to an IPv6 address.
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
        Cow::Owned(host.to_ascii_lowercase())
    } else {
        Cow::Borrowed(host)
    }
}
