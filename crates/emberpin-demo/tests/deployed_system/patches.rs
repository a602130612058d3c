//! Builds the bodies of configuration changes, and reads routes from a configuration that was read back.

/// A patch that adds or changes a route. Its time-out distinguishes different contents under the same version.
pub fn route_patch(route: &str, ver: u64, timeout_ms: u64) -> String {
    format!(
        "{{\"upsert\":{{\"svcs\":[],\"vhosts\":[{}]}}}}",
        vhost(route, ver, timeout_ms)
    )
}

/// A host with one route.
pub fn vhost(route: &str, ver: u64, timeout_ms: u64) -> String {
    format!(
        "{{\"hostname\":\"{route}.example\",\"locs\":[{{\"name\":\"{route}\",\"pfx\":\"/p/\",\"type\":\"readonly\",\
         \"timeout\":\"{timeout_ms}ms\",\"target_time\":\"250ms\",\"prio\":1,\"svc\":\"chartroom\",\"tries\":2,\
         \"ver\":{ver}}}]}}"
    )
}

/// A service.
pub fn service(name: &str, ver: u64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"hcheck\":\"/healthz\",\"maxconn\":120,\"proto\":\"h1\",\"tls\":false,\
         \"warmup\":\"1s\",\"warmup_per_s\":20.0,\"ver\":{ver}}}"
    )
}

/// The patch of the first configuration, which has only the service of all routes.
pub fn first_patch() -> String {
    format!("{{\"upsert\":{{\"svcs\":[{}]}}}}", service("chartroom", 1))
}

/// A patch that removes a route.
pub fn drop_route_patch(route: &str, ver: u64) -> String {
    format!("{{\"remove\":{{\"rtab\":[{{\"name\":\"{route}\",\"ver\":{ver}}}]}}}}")
}

/// The version and time-out of a route in a configuration that was read back; `None` if there is no such route.
pub fn shown_route(body: &str, route: &str) -> Option<(u64, String)> {
    let all = jzon::parse(body).expect("JSON");
    let routes = all["vhosts"]
        .members()
        .flat_map(|vhost| vhost["locs"].members());
    let mut found = routes.filter(|item| item["name"].as_str() == Some(route));
    let route = found.next()?;
    Some((
        route["ver"].as_u64()?,
        route["timeout"].as_str()?.to_owned(),
    ))
}
