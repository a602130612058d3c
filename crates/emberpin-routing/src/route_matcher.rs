//! Which route a request takes: a tree over path segments for each host; the longest prefix wins.

use crate::Route;
use std::borrow::Cow;
use std::collections::HashMap;
use std::rc::Rc;

/// What begins with the segments on the way here.
#[derive(Debug, Default)]
struct Node {
    route: Option<Rc<Route>>,
    next: HashMap<Box<str>, Node>,
}

/// The routes in force.
#[derive(Debug, Default)]
pub struct RouteMatcher {
    hosts: HashMap<Box<str>, Node>,
    named: HashMap<Box<str>, Rc<Route>>,
    generation: u64,
}

impl RouteMatcher {
    /// With these routes. A prefix that does not begin and end with a slash matches nothing.
    pub fn new(routes: Vec<Route>) -> RouteMatcher {
        let mut matcher = RouteMatcher::default();
        matcher.replace(routes);
        matcher
    }

    /// With these routes from now on. One that is as it was stays the same `Rc`.
    pub fn replace(&mut self, routes: Vec<Route>) {
        let before = std::mem::take(&mut self.named);
        self.hosts.clear();
        for route in routes {
            let route = match before.get(route.name.as_str()) {
                Some(old) if **old == route => old.clone(),
                _ => Rc::new(route),
            };
            self.named.insert(route.name.as_str().into(), route.clone());
            let Some(mut rest) = route.prefix.strip_prefix('/') else {
                continue;
            };
            if !route.prefix.ends_with('/') {
                continue;
            }
            let mut node = self
                .hosts
                .entry(plain(&route.hostname).as_ref().into())
                .or_default();
            while let Some((segment, behind)) = rest.split_once('/') {
                node = node.next.entry(segment.into()).or_default();
                rest = behind;
            }
            node.route = Some(route);
        }
        self.generation += 1;
    }

    /// The route for this `Host` header and this path, which is without the query.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let mut node = self.hosts.get(plain(host).as_ref())?;
        let mut rest = path.strip_prefix('/')?;
        let mut longest = node.route.as_ref();
        // A segment counts only with the slash behind it: "/leny950" does not begin with "/leny950/".
        while let Some((segment, behind)) = rest.split_once('/') {
            let Some(next) = node.next.get(segment) else {
                break;
            };
            node = next;
            longest = node.route.as_ref().or(longest);
            rest = behind;
        }
        longest
    }

    /// The route of this name.
    pub fn named(&self, name: &str) -> Option<&Rc<Route>> {
        self.named.get(name)
    }

    /// All routes in force.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.named.values()
    }

    /// Rises with each replacement.
    pub fn generation(&self) -> u64 {
        self.generation
    }
}

/// A host as it is compared: without port, in lower case.
fn plain(host: &str) -> Cow<'_, str> {
    let host = match host.rsplit_once(':') {
        // A colon within brackets belongs to an IPv6 address.
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    match host.bytes().any(|byte| byte.is_ascii_uppercase()) {
        true => Cow::Owned(host.to_ascii_lowercase()),
        false => Cow::Borrowed(host),
    }
}
