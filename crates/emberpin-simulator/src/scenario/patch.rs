//! Builds the JSON body of an operator's patch from its short form in a scenario.

use super::error::ParseErrorKind;
use super::tokens::{parse_token, Tokens};

// Descriptions of expected tokens for error messages.
const PARTS: &str = "svc=, route=, drop=, dropsvc=, ver=, timeout= or torn";
const VERSION: &str = "a version";
/// The timeout of a patch's routes without `timeout=`.
const DEFAULT_TIMEOUT: &str = "1500ms";

/// The kind of a part that describes an item.
#[derive(Clone, Copy)]
enum ItemForm {
    Service,
    Route,
    DropRoute,
    DropService,
}

/// The JSON texts of a patch's items, grouped by the array of the body that they belong to.
#[derive(Default)]
struct PatchItems {
    services: Vec<String>,
    routes: Vec<String>,
    dropped_routes: Vec<String>,
    dropped_services: Vec<String>,
}

/// Parses the rest of a line as a patch, and returns the body of its request. A `torn` body is cut to two thirds.
pub(super) fn parse_patch_body(tokens: &mut Tokens) -> Result<Vec<u8>, ParseErrorKind> {
    let (mut default_version, mut timeout, mut is_torn) = (None, DEFAULT_TIMEOUT, false);
    let mut parts = Vec::new();
    for token in tokens.rest() {
        match token.split_once('=') {
            Some(("ver", number)) => default_version = Some(parse_token::<u64>(number, VERSION)?),
            Some(("timeout", time)) => timeout = time,
            Some(("svc", item)) => parts.push((ItemForm::Service, item)),
            Some(("route", item)) => parts.push((ItemForm::Route, item)),
            Some(("drop", item)) => parts.push((ItemForm::DropRoute, item)),
            Some(("dropsvc", item)) => parts.push((ItemForm::DropService, item)),
            None if token == "torn" => is_torn = true,
            _ => return Err(ParseErrorKind::unexpected(token, PARTS)),
        }
    }
    let mut items = PatchItems::default();
    for (form, part) in parts {
        let (item, version) = split_version(part, default_version)?;
        items.add(form, item, version, timeout)?;
    }
    let body = items.into_body();
    let length = if is_torn {
        body.len() * 2 / 3
    } else {
        body.len()
    };
    Ok(body.as_bytes()[..length].to_vec())
}

/// Splits `ITEM@VERSION`. An item without a version has the `default` of the call.
fn split_version(part: &str, default: Option<u64>) -> Result<(&str, u64), ParseErrorKind> {
    match part.split_once('@') {
        Some((item, version)) => Ok((item, parse_token(version, VERSION)?)),
        None => {
            let missing = ParseErrorKind::Missing("ver=NUMBER, or @NUMBER after each item");
            Ok((part, default.ok_or(missing)?))
        }
    }
}

impl PatchItems {
    fn add(
        &mut self,
        form: ItemForm,
        item: &str,
        version: u64,
        timeout: &str,
    ) -> Result<(), ParseErrorKind> {
        let dropped = || format!("{{\"name\":\"{item}\",\"ver\":{version}}}");
        match form {
            ItemForm::Service => self.services.push(service_json(item, version)),
            ItemForm::Route => self.routes.push(route_json(item, version, timeout)?),
            ItemForm::DropRoute => self.dropped_routes.push(dropped()),
            ItemForm::DropService => self.dropped_services.push(dropped()),
        }
        Ok(())
    }

    fn into_body(self) -> String {
        let (services, routes) = (self.services.join(","), self.routes.join(","));
        let dropped_routes = self.dropped_routes.join(",");
        let dropped_services = self.dropped_services.join(",");
        format!(
            "{{\"upsert\":{{\"svcs\":[{services}],\"vhosts\":[{routes}]}},\
             \"remove\":{{\"rtab\":[{dropped_routes}],\"svcs\":[{dropped_services}]}}}}"
        )
    }
}

fn service_json(name: &str, version: u64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"hcheck\":\"/h\",\"maxconn\":120,\"proto\":\"h1\",\"tls\":false,\
         \"warmup\":\"3s\",\"warmup_per_s\":10.0,\"ver\":{version}}}"
    )
}

/// The JSON text of a route `NAME:HOST/PREFIX/:SERVICE`, where weighted services are `SERVICE*WEIGHT+SERVICE*WEIGHT`.
fn route_json(item: &str, version: u64, timeout: &str) -> Result<String, ParseErrorKind> {
    let unexpected = || ParseErrorKind::unexpected(item, "route=NAME:HOST/PREFIX/:SERVICE");
    let (name, rest) = item.split_once(':').ok_or_else(unexpected)?;
    let (host_and_prefix, services) = rest.rsplit_once(':').ok_or_else(unexpected)?;
    let (host, prefix) = host_and_prefix.split_once('/').ok_or_else(unexpected)?;
    let target = target_json(services);
    Ok(format!(
        "{{\"hostname\":\"{host}\",\"locs\":[{{\"name\":\"{name}\",\"pfx\":\"/{prefix}\",\"type\":\"readonly\",\
         \"timeout\":\"{timeout}\",\"target_time\":\"250ms\",\"prio\":1,{target},\"tries\":2,\"ver\":{version}}}]}}"
    ))
}

fn target_json(services: &str) -> String {
    if !services.contains('+') {
        return format!("\"svc\":\"{services}\"");
    }
    let targets: Vec<String> = services
        .split('+')
        .map(|target| {
            let (service, weight) = target.split_once('*').unwrap_or((target, "1"));
            format!("{{\"svc\":\"{service}\",\"wt\":{weight}}}")
        })
        .collect();
    format!("\"dist\":[{}]", targets.join(","))
}
