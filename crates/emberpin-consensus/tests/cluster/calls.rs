//! Calls of clients.

use emberpin_config::Version;
use emberpin_consensus::{Call, EvacuationChange};

/// Sets services: their names, versions, and a number that determines their content.
pub fn set_services(services: &[(&str, u64, u64)]) -> Call {
    let service = |(name, version, content): &(&str, u64, u64)| {
        format!(
            "{{\"name\":\"{name}\",\"hcheck\":\"/h\",\"maxconn\":{},\"proto\":\"h1\",\"tls\":false,\
             \"warmup\":\"3s\",\"warmup_per_s\":10.0,\"ver\":{version}}}",
            content + 1
        )
    };
    let services: Vec<String> = services.iter().map(service).collect();
    Call::Patch(format!("{{\"upsert\":{{\"svcs\":[{}]}}}}", services.join(",")).into_bytes())
}

/// Sets one service.
pub fn set_service(name: &str, version: u64, content: u64) -> Call {
    set_services(&[(name, version, content)])
}

/// Sets a route to a service.
pub fn set_route(name: &str, service: &str, version: u64, content: u64) -> Call {
    let text = format!(
        "{{\"upsert\":{{\"vhosts\":[{{\"hostname\":\"{name}.example\",\"locs\":[{{\"name\":\"{name}\",\
         \"pfx\":\"/p/\",\"type\":\"readonly\",\"timeout\":\"{}ms\",\"target_time\":\"250ms\",\"prio\":2,\
         \"svc\":\"{service}\",\"tries\":2,\"ver\":{version}}}]}}]}}}}",
        content + 1000
    );
    Call::Patch(text.into_bytes())
}

/// Removes a service.
pub fn remove_service(name: &str, version: u64) -> Call {
    Call::Patch(
        format!("{{\"remove\":{{\"svcs\":[{{\"name\":\"{name}\",\"ver\":{version}}}]}}}}")
            .into_bytes(),
    )
}

/// Begins or ends the evacuation of the zone `z`, if that has this version.
pub fn evacuate(change: EvacuationChange, precondition: u64) -> Call {
    Call::Evacuate {
        zone: "z".into(),
        change,
        precondition: Version(precondition),
    }
}
