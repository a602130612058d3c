//! The proxy's metrics, as read from the metrics endpoint.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{
    default_items, next_request_at_either, poll_until, start_with_one_server, two_servers,
    BodyFraming, Proxy, Uploader, DEFAULT_BOUNDS,
};
use googletest::prelude::*;
use std::process::Command;

/// The value of a metric; 0 if it is not exported yet.
async fn value(proxy: &Proxy, metric: &str) -> f64 {
    let text = proxy.metrics("/metrics").await.text();
    let value = text
        .lines()
        .filter_map(|line| line.rsplit_once(' '))
        .find(|(name, _)| *name == metric)
        .map(|(_, value)| value.parse().expect("a number"));
    value.unwrap_or(0.0)
}

#[tokio::test]
async fn requests_are_counted_by_service_verdict_and_cause() -> googletest::Result<()> {
    let (proxy, _session, server) = start_with_one_server().await;
    server.serve_all("s");
    for id in ["t1", "t2", "t3"] {
        verify_that!(proxy.request("GET", "/read/a", id).await.status, eq(200))?;
    }
    let client_chosen = "/chosen-by-a-client/a";
    verify_that!(
        proxy.request("GET", client_chosen, "t4").await.status,
        eq(404)
    )?;
    for (metric, expected) in [
        ("emberpin_proxy_requests_total{service=\"s\"}", 3.0),
        ("emberpin_proxy_responses_total{verdict=\"success\"}", 3.0),
        (
            "emberpin_proxy_responses_total{verdict=\"client_error\"}",
            1.0,
        ),
        (
            "emberpin_proxy_rejections_total{cause=\"route_not_found\"}",
            1.0,
        ),
        (
            "emberpin_proxy_attempts_total{outcome=\"ok\",service=\"s\"}",
            3.0,
        ),
        ("emberpin_proxy_response_seconds_count", 4.0),
        ("emberpin_proxy_retries_total{service=\"s\"}", 0.0),
    ] {
        verify_that!(
            (metric, value(&proxy, metric).await),
            eq((metric, expected))
        )?;
    }
    let text = proxy.metrics("/metrics").await.text();
    verify_that!(text, not(contains_substring("chosen-by-a-client")))?;
    verify_that!(proxy.metrics("/other").await.status, eq(404))
}

#[tokio::test]
async fn retries_and_the_outcomes_of_attempts_are_counted() -> googletest::Result<()> {
    let (mut one, mut other, instances) = two_servers().await;
    let (proxy, _session) = Proxy::start_ready(DEFAULT_BOUNDS, default_items(), instances).await;
    let serving = async {
        let (first_request, other_server, _) = next_request_at_either(&mut one, &mut other).await;
        drop(first_request);
        other_server
            .next_request()
            .await
            .respond(200, &[], "body")
            .await;
    };
    let (response, ()) = tokio::join!(proxy.request("GET", "/read/a", "t1"), serving);
    verify_that!(response.status, eq(200))?;
    for (metric, expected) in [
        ("emberpin_proxy_retries_total{service=\"s\"}", 1.0),
        (
            "emberpin_proxy_attempts_total{outcome=\"ok\",service=\"s\"}",
            1.0,
        ),
        (
            "emberpin_proxy_attempts_total{outcome=\"reset\",service=\"s\"}",
            1.0,
        ),
    ] {
        verify_that!(
            (metric, value(&proxy, metric).await),
            eq((metric, expected))
        )?;
    }
    // Gauges are updated within a second.
    common::poll_until("the gauges", || async {
        let servers = "emberpin_proxy_servers{service=\"s\",state=\"available\"}";
        let is_current = value(&proxy, servers).await >= 1.0
            && value(&proxy, "emberpin_proxy_ready").await == 1.0;
        is_current.then_some(())
    })
    .await;
    Ok(())
}

/// Guards `Upload::is_interrupted` in `Upstream::exchange`: an upload that its client gave up is no failure of its server,
/// which could be ejected for it (a relative of review/7).
#[tokio::test]
async fn an_upload_that_its_client_gave_up_is_no_failure_of_its_server() -> googletest::Result<()> {
    /// The proxy forwards a body from this length on.
    const FORWARDED_FROM: usize = 64 * 1024 + 1;
    const UPLOADS: usize = 6;
    let attempts = |outcome: &str| {
        format!("emberpin_proxy_attempts_total{{outcome=\"{outcome}\",service=\"s\"}}")
    };
    for framing in BodyFraming::ALL {
        let (proxy, _session, server) = start_with_one_server().await;
        for number in 0..UPLOADS {
            let path = ["/read/a", "/write/a"][number % 2];
            let mut uploader = Uploader::start(&proxy, path, framing, 2 * FORWARDED_FROM).await;
            uploader.send(&[b'b'; FORWARDED_FROM]).await;
            let connected =
                || async { (server.connection_count() as usize > number).then_some(()) };
            poll_until("an attempt", connected).await;
            drop(uploader);
            let ended = || async {
                let ended = value(&proxy, &attempts("cancelled")).await
                    + value(&proxy, &attempts("not_sent")).await
                    + value(&proxy, &attempts("reset")).await
                    + value(&proxy, &attempts("connect_failed")).await;
                (ended as usize > number).then_some(())
            };
            poll_until("the end of the attempt", ended).await;
        }
        for failure in ["reset", "connect_failed"] {
            verify_that!(
                (failure, value(&proxy, &attempts(failure)).await),
                eq((failure, 0.0))
            )?;
        }
    }
    Ok(())
}

#[gtest]
fn an_endpoint_without_a_path_or_a_port_is_rejected_with_the_reason() {
    for (endpoint, reason) in [
        ("9464", "expected PORT/PATH"),
        ("0/metrics", "the port is not a number"),
        ("http/metrics", "the port is not a number"),
    ] {
        let output = Command::new(env!("CARGO_BIN_EXE_emberpin-proxy"))
            .args(["--metrics", endpoint, "--check"])
            .output()
            .expect("starts");
        expect_that!(output.status.code(), some(eq(2)), "{endpoint}");
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        expect_that!(errors, contains_substring(reason), "{endpoint}");
    }
}
