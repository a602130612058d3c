//! Bodies of configuration changes, and what a configuration that is read back shows.

/// Adds or changes a route, whose time-out tells contents of one version apart.
pub fn route_patch(route: &str, ver: u64, timeout_ms: u64) -> String {
    format!(
        "{{\"upsert\":{{\"svcs\":[],\"vhosts\":[{}]}}}}",
        vhost(route, ver, timeout_ms)
    )
}

/// A route in its host.
pub fn vhost(route: &str, ver: u64, timeout_ms: u64) -> String {
    format!(
        "{{\"hostname\":\"{route}.example\",\"locs\":[{{\"name\":\"{route}\",\"pfx\":\"/p/\",\"type\":\"readonly\",\
         \"timeout\":\"{timeout_ms}ms\",\"target_time\":\"250ms\",\"prio\":1,\"svc\":\"chartroom\",\"tries\":2,\
         \"ver\":{ver}}}]}}"
    )
}

/// The service of all routes.
pub fn service(name: &str, ver: u64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"hcheck\":\"/healthz\",\"maxconn\":120,\"proto\":\"h1\",\"tls\":false,\
         \"warmup\":\"1s\",\"warmup_per_s\":20.0,\"ver\":{ver}}}"
    )
}

/// The first configuration: the service alone.
pub fn first_patch() -> String {
    format!("{{\"upsert\":{{\"svcs\":[{}]}}}}", service("chartroom", 1))
}

/// Removes a route.
pub fn drop_route_patch(route: &str, ver: u64) -> String {
    format!("{{\"remove\":{{\"rtab\":[{{\"name\":\"{route}\",\"ver\":{ver}}}]}}}}")
}

/// The version and time-out of a route in what was read back.
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
