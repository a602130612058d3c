//! The headers of requests to servers, and the interpretation of responses from servers.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_balancer::Outcome;
use emberpin_limiter::host::{ResponseInfo, Wire};
use emberpin_proxy::wire::GatewayWire;
use googletest::prelude::*;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::Response;
use std::time::Duration;

fn headers(all: &[(&'static str, &'static str)]) -> HeaderMap {
    let named = |(name, value): &(&'static str, &'static str)| {
        (
            HeaderName::from_static(name),
            HeaderValue::from_static(value),
        )
    };
    all.iter().map(named).collect()
}

fn response(status: u16, all: &[(&'static str, &'static str)]) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = status.try_into().expect("a status");
    *response.headers_mut() = headers(all);
    response
}

fn judge(status: u16, all: &[(&'static str, &'static str)]) -> Outcome {
    GatewayWire.outcome(None, &response(status, all))
}

fn describe(status: u16, all: &[(&'static str, &'static str)]) -> ResponseInfo {
    GatewayWire.describe_response(response(status, all))
}

fn is_forwardable(status: u16, all: &[(&'static str, &'static str)]) -> bool {
    let response = response(status, all);
    GatewayWire.is_forwardable(GatewayWire.outcome(None, &response), response.status())
}

/// Guards the three match arms of `response_belongs`.
#[gtest]
fn a_response_with_another_id_belongs_to_another_request() {
    let request_id = GatewayWire.request_id(&headers(&[("try-id", "a1")]));
    let belongs = |all: &[(&'static str, &'static str)]| {
        GatewayWire.response_belongs(request_id.as_ref(), &headers(all))
    };
    expect_true!(belongs(&[("try-id", "a1"), ("seal", "s")]));
    expect_false!(belongs(&[("try-id", "a2"), ("seal", "s")]));
    expect_false!(belongs(&[("try-id", "a1 "), ("seal", "s")]) && belongs(&[("try-id", "A1")]));
    // A sealed response names its request; a rejection by an intermediary in front of a server may name none.
    expect_false!(belongs(&[("seal", "s")]));
    expect_true!(belongs(&[]));
    // Servers echo the id of a request, so a response that names an id does not belong to a request without one.
    expect_false!(GatewayWire.response_belongs(None, &headers(&[("try-id", "a1")])));
    expect_true!(GatewayWire.response_belongs(None, &headers(&[])));
}

/// Guards `sealed` in `outcome`.
#[gtest]
fn a_success_is_sealed_and_not_recoded() {
    expect_that!(judge(200, &[("seal", "s")]), eq(Outcome::Ok));
    expect_that!(judge(204, &[("seal", "s")]), eq(Outcome::Ok));
    expect_that!(judge(200, &[]), eq(Outcome::Error));
    expect_that!(
        judge(200, &[("seal", "s"), ("content-encoding", "gzip")]),
        eq(Outcome::Error)
    );
    // A 2xx response that does not count as a success is not forwarded.
    expect_false!(is_forwardable(200, &[]));
    expect_false!(is_forwardable(
        200,
        &[("seal", "s"), ("content-encoding", "gzip")]
    ));
}

/// Guards `AttemptVerdict::NotRun => Outcome::Rejected`, and which responses have this verdict.
#[gtest]
fn a_response_with_not_run_or_421_means_that_the_request_never_ran() {
    for (status, all) in [
        (503, &[("not-run", "1")][..]),
        (429, &[("not-run", "1")]),
        (400, &[("not-run", "1")]),
        // The header counts even in a sealed success.
        (200, &[("not-run", "1"), ("seal", "s")]),
        (421, &[]),
    ] {
        expect_that!(judge(status, all), eq(Outcome::Rejected), "{status}");
    }
    for status in [500, 502, 503, 504, 429, 408, 404] {
        expect_that!(
            judge(status, &[("seal", "s")]),
            eq(Outcome::Error),
            "{status}"
        );
        expect_false!(judge(status, &[]).never_ran(), "{status}");
    }
    expect_true!(Outcome::Rejected.never_ran());
    expect_true!(describe(421, &[("not-run", "1")]).misdirected);
    expect_false!(describe(503, &[("not-run", "1")]).misdirected);
}

/// Guards `claims_not_run` in `is_forwardable`.
#[gtest]
fn a_status_that_claims_not_run_is_not_forwarded() {
    for status in [408, 421, 429, 503] {
        expect_false!(is_forwardable(status, &[("seal", "s")]), "{status}");
        expect_false!(is_forwardable(status, &[("not-run", "1")]), "{status}");
    }
}

/// Guards the other conditions of `is_forwardable`.
#[gtest]
fn a_servers_own_error_stands_unaltered() {
    for status in [500, 504, 404, 413, 301] {
        let all = [("seal", "s"), ("try-id", "a1"), ("x-note", "n")];
        let described = describe(status, &all);
        expect_true!(is_forwardable(status, &all), "{status}");
        expect_that!(described.head.status.as_u16(), eq(status));
        for (name, value) in [("seal", "s"), ("try-id", "a1"), ("x-note", "n")] {
            expect_that!(
                described.head.headers.get(name).map(HeaderValue::as_bytes),
                some(eq(value.as_bytes()))
            );
        }
    }
}

/// Guards `remove_hop_by_hop_headers` and the removal of `Keep-Alive` in `describe_response`.
#[gtest]
fn hop_by_hop_headers_are_not_forwarded() {
    let described = describe(
        200,
        &[
            ("connection", "close, x-hop"),
            ("x-hop", "1"),
            ("keep-alive", "timeout=5"),
            ("transfer-encoding", "chunked"),
            ("trailer", "x-end"),
            ("upgrade", "h2c"),
            ("seal", "s"),
        ],
    );
    let names: Vec<&str> = described
        .head
        .headers
        .keys()
        .map(HeaderName::as_str)
        .collect();
    expect_that!(names, elements_are![eq(&"seal")]);
}

/// Guards `idle_timeout`: the margin, and invalid values.
#[gtest]
fn a_stated_idle_timeout_is_applied_with_a_margin() {
    let idle = |stated: &'static str| GatewayWire.idle_timeout(&headers(&[("keep-alive", stated)]));
    let with_margin = some(all![
        ge(Duration::from_millis(5_000)),
        le(Duration::from_millis(9_000))
    ]);
    expect_that!(idle("timeout=10"), with_margin);
    expect_that!(idle("max=3, timeout=10"), eq(idle("timeout=10")));
    expect_that!(idle("timeout=0"), some(eq(Duration::ZERO)));
    for stated in [
        "",
        "timeout",
        "timeout=",
        "timeout=-1",
        "timeout=soon",
        "max=3",
    ] {
        expect_that!(idle(stated), none(), "{stated}");
    }
    expect_that!(GatewayWire.idle_timeout(&headers(&[])), none());
}

/// Guards both headers in `set_request_headers`.
#[gtest]
fn a_request_carries_the_remaining_time_and_the_intended_instance() {
    let mut outgoing = headers(&[
        ("deadline", "9000"),
        ("want-instance", "i-client"),
        ("try-id", "a1"),
    ]);
    let instance = HeaderValue::from_static("i-1");
    GatewayWire.set_request_headers(
        &mut outgoing,
        Duration::from_micros(1_234_900),
        Some(&instance),
    );
    let all = |outgoing: &HeaderMap, name: &str| -> Vec<String> {
        let texts = outgoing
            .get_all(name)
            .iter()
            .filter_map(|value| value.to_str().ok());
        texts.map(str::to_string).collect()
    };
    expect_that!(all(&outgoing, "deadline"), elements_are![eq("1234")]);
    expect_that!(all(&outgoing, "want-instance"), elements_are![eq("i-1")]);
    expect_that!(all(&outgoing, "try-id"), elements_are![eq("a1")]);
    // The client's own header is removed even if the request is meant for no particular instance.
    let mut outgoing = headers(&[("want-instance", "i-client")]);
    GatewayWire.set_request_headers(&mut outgoing, Duration::ZERO, None);
    expect_that!(all(&outgoing, "want-instance"), is_empty());
    expect_that!(all(&outgoing, "deadline"), elements_are![eq("0")]);
}
