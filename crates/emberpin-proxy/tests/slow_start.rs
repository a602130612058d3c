//! The share of a warming server's request rate that one proxy uses.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{default_items, instance, poll_until, Proxy, Server, DEFAULT_BOUNDS};
use emberpin_membership::instance::Instance;
use googletest::prelude::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::time::interval;

/// An instance of the service `s` that warms up for a minute.
fn warming_instance(address: SocketAddr) -> Instance {
    Instance {
        warmup_left: Duration::from_secs(60),
        ..instance("i-1", address)
    }
}

/// Guards `admitted` in `is_in_service` and `refresh_slow_start` after each attempt: of the 20 requests per second that
/// a warming server accepts, shared by up to 16 proxies, one proxy sends one per second.
#[tokio::test]
async fn a_warming_server_gets_one_proxys_share_of_its_rate() -> googletest::Result<()> {
    let server = Server::start().await;
    let instances = vec![warming_instance(server.address)];
    let served = server.serve_all("cold");
    let (proxy, _session) = Proxy::start_ready(DEFAULT_BOUNDS, default_items(), instances).await;
    let mut period = interval(Duration::from_millis(10));
    let mut rejected = 0;
    while served.lock().expect("one writer").len() < 3 {
        period.tick().await;
        // Two requests at a time, as both might be admitted before either is counted.
        let both = tokio::join!(
            proxy.request("POST", "/write/a", "t1"),
            proxy.request("GET", "/read/a", "t2")
        );
        for response in [both.0, both.1] {
            verify_that!(response.status, any![eq(200), eq(503)])?;
            rejected += u32::from(response.status == 503);
        }
    }
    verify_that!(rejected, gt(10))?;
    let served = served.lock().expect("one writer");
    for pair in served.windows(2) {
        verify_that!(pair[1].1 - pair[0].1, ge(Duration::from_secs(1)))?;
    }
    Ok(())
}

/// Guards a proxy count of 0 in slow start: no registry has reported yet how many proxies share the server.
#[tokio::test]
async fn a_warming_server_gets_no_requests_until_the_proxies_are_counted() -> googletest::Result<()>
{
    let server = Server::start().await;
    let address = server.address;
    let served = server.serve_all("cold");
    let proxy = Proxy::start(DEFAULT_BOUNDS).await;
    let mut session = proxy.accept_session().await;
    session
        .send_snapshot(default_items(), vec![warming_instance(address)])
        .await;
    // Longer than a new proxy waits for a steady count.
    let started = Instant::now();
    let mut period = interval(Duration::from_millis(20));
    while started.elapsed() < Duration::from_millis(3_500) {
        period.tick().await;
        verify_that!(proxy.request("GET", "/read/a", "t0").await.status, eq(503))?;
    }
    verify_that!(served.lock().expect("one writer").len(), eq(0))?;
    // The proxy has ended the session, in which nothing was confirmed, and establishes others.
    let sessions = async {
        loop {
            proxy.accept_session().await.keep_confirming(1);
        }
    };
    let counted = poll_until("the count and a request", || async {
        proxy.request("GET", "/read/a", "t1").await;
        (!served.lock().expect("one writer").is_empty()).then_some(())
    });
    tokio::select! {
        () = counted => Ok(()),
        () = sessions => fail!("sessions end"),
    }
}
