//! The limiter process over loopback sockets, with servers, discovery service, peers and clients played by the test.
#![allow(missing_docs, reason = "a test has no public interface")]

#[path = "common/sockets.rs"]
mod sockets;

use emberpin_balancer::gossip;
use emberpin_balancer::host_config::stable_hash;
use serde_json::json;
use sockets::*;
use std::collections::HashSet;
use std::io::{ErrorKind, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// The header by which a server states that it has not run a request.
const DECLINED: &str = "Srv-Declined: 1\r\n";

/// Entries of the endpoint list for these servers, all ready.
fn ready(servers: &[&Listener]) -> Vec<serde_json::Value> {
    let names = ["s-1", "s-2", "s-3"];
    servers
        .iter()
        .zip(names)
        .map(|(server, uid)| target(uid, server.address, "ready"))
        .collect()
}

/// Waits for the next message at either server.
fn next_at_either(one: &Listener, other: &Listener) -> Message {
    let started = Instant::now();
    loop {
        if let Some(message) = one.poll().or_else(|| other.poll()) {
            return message;
        }
        assert!(started.elapsed() < WAIT_TIMEOUT, "no message arrives");
    }
}

/// Waits until a connection to this address is being opened but not established (state 2: SYN sent).
fn await_connecting(at: SocketAddr) {
    let IpAddr::V4(ip) = at.ip() else {
        panic!("IPv4 only")
    };
    let remote = format!(
        "{:08X}:{:04X} 02",
        u32::from_le_bytes(ip.octets()),
        at.port()
    );
    let started = Instant::now();
    while !std::fs::read_to_string("/proc/net/tcp")
        .expect("Linux")
        .contains(&remote)
    {
        assert!(started.elapsed() < WAIT_TIMEOUT, "no connection is opened");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_request_and_its_response_are_forwarded_unchanged() {
    let server = Listener::start();
    let limiter = Limiter::start(&ready(&[&server]));
    let text = request("submit", "ab12", "wide", 30.0).replace("/api ", "/api?a=1&b=%20 ");
    let client = limiter.ask(&text);
    let mut arrived = server.next();
    assert!(
        arrived.head.starts_with("POST /api?a=1&b=%20 HTTP/1.1\r\n"),
        "{}",
        arrived.head
    );
    assert_eq!(arrived.header("req-id"), Some("ab12"));
    assert_eq!(arrived.header("idempotency-key"), Some("k-ab12"));
    assert_eq!(arrived.body, b"body");
    let forwarded_deadline: f64 = arrived
        .header("req-deadline")
        .expect("stated")
        .parse()
        .expect("seconds");
    assert!(
        forwarded_deadline > 0.0 && forwarded_deadline < 30.0,
        "leaves a margin: {forwarded_deadline}"
    );
    arrived.answer(
        "200 OK",
        "X-RateLimit-Used: 40\r\nSrv-Load: latency_ms=3,queue=x,odd\r\n",
        "signed \u{1}",
    );
    let answer = Message::read(&client).expect("an answer");
    assert_eq!(
        (answer.status(), answer.body.as_slice()),
        (200, "signed \u{1}".as_bytes())
    );

    // Both connections are reused for the next request.
    (&client)
        .write_all(request("look", "ab13", "wide", 30.0).as_bytes())
        .expect("sent");
    let mut second = server.next();
    assert_eq!(
        second.stream.peer_addr().expect("known"),
        arrived.stream.peer_addr().expect("known")
    );
    second.answer("200 OK", "", "");
    assert_eq!(Message::read(&client).expect("an answer").status(), 200);
}

#[test]
fn bad_requests_get_a_4xx_and_reach_no_server() {
    let server = Listener::start();
    let limiter = Limiter::start(&ready(&[&server]));
    let good = request("submit", "1", "wide", 30.0);
    let cases = [
        ("unknown path", good.replace("/api", "/other"), 404),
        ("unknown class", good.replace("submit", "dance"), 400),
        ("unknown plan", good.replace("wide", "gold"), 400),
        ("no id", good.replace("Req-Id: 1\r\n", ""), 400),
        (
            "no key on a keyed request",
            good.replace("Idempotency-Key", "Other"),
            400,
        ),
        ("odd account", good.replace("account=0", "account=z"), 400),
        ("short account", good.replace("account=0", "account="), 400),
        ("no deadline", good.replace("Req-Deadline", "Other"), 400),
        (
            "deadline not a number",
            good.replace("Req-Deadline: 30", "Req-Deadline: NaN"),
            400,
        ),
        (
            "deadline below 0",
            good.replace("Req-Deadline: 30", "Req-Deadline: -30"),
            400,
        ),
        (
            "endless deadline",
            good.replace("Req-Deadline: 30", "Req-Deadline: inf"),
            400,
        ),
        (
            "units not a number",
            good.replace("units=1", "units=inf"),
            400,
        ),
        ("empty set", good.replace("spread=1", "spread=0"), 400),
        (
            "first member outside of the group",
            good.replace("first=0", "first=7"),
            400,
        ),
        ("huge units", good.replace("units=1", "units=1e12"), 400),
        ("units below 0", good.replace("units=1", "units=-1"), 400),
        (
            "units twice",
            good.replace("units=1", "units=1,units=2"),
            400,
        ),
        (
            "fractional first member",
            good.replace("first=0", "first=0.5"),
            400,
        ),
        (
            "account too large",
            good.replace("account=0", "account=8"),
            400,
        ),
        (
            "account twice",
            good.replace("Cookie: ", "Cookie: account=0000000000000001; "),
            400,
        ),
        ("odd id", good.replace("Req-Id: 1", "Req-Id: 1 1"), 400),
        (
            "endless id",
            good.replace("Req-Id: 1", &format!("Req-Id: {}", "1".repeat(200))),
            400,
        ),
        (
            "two ids",
            good.replace("Req-Id: 1", "Req-Id: 1\r\nReq-Id: 2"),
            400,
        ),
        (
            "two classes",
            good.replace("Req-Kind:", "Req-Kind: look\r\nReq-Kind:"),
            400,
        ),
        (
            "two keys",
            good.replace("Idempotency-Key:", "Idempotency-Key: k\r\nIdempotency-Key:"),
            400,
        ),
        ("no host", good.replace("Host", "Other"), 400),
        (
            "absolute form with another host",
            good.replace("/api", "http://other.internal/api"),
            400,
        ),
        (
            "a body on a safe request",
            good.replace("POST", "GET").replace("submit", "look"),
            400,
        ),
        (
            "bad chunks",
            good.replace("Content-Length: 4", "Transfer-Encoding: chunked"),
            400,
        ),
        (
            "chunks and a length",
            good.replace("Content", "Transfer-Encoding: chunked\r\nContent"),
            400,
        ),
        (
            "chunks in HTTP/1.0",
            good.replace("/1.1", "/1.0")
                .replace("Content-Length: 4", "Transfer-Encoding: chunked"),
            400,
        ),
        (
            "length below 0",
            good.replace("Length: 4", "Length: -4"),
            400,
        ),
        (
            "two lengths",
            good.replace("Length: 4", "Length: 4\r\nContent-Length: 9"),
            400,
        ),
        (
            "endless head",
            good.replace("Host", &format!("X-Pad: {}\r\nHost", "p".repeat(70_000))),
            431,
        ),
        (
            "600 MB announced",
            good.replace("Length: 4", "Length: 600000000"),
            413,
        ),
        ("wrong method", good.replace("POST", "PUT"), 405),
        ("not HTTP", "hello\r\n\r\n".into(), 400),
    ];
    for (what, text, status) in cases {
        let mut client = limiter.connect();
        // The response may arrive before all of a large body has been read.
        _ = client.write_all(text.as_bytes());
        assert_eq!(
            Message::read(&client).expect(what).status(),
            status,
            "{what}"
        );
    }
    let client = limiter.ask(&good);
    let mut arrived = server.next();
    assert_eq!(
        arrived.header("req-id"),
        Some("1"),
        "only the valid request arrived"
    );
    arrived.answer("200 OK", "", "");
    assert_eq!(Message::read(&client).expect("an answer").status(), 200);
    assert!(server.is_quiet());
}

/// A server that declines a request has not run it, so even an unsafe request is retried at another server.
#[test]
fn a_declined_attempt_is_retried_at_another_server() {
    let servers = [Listener::start(), Listener::start()];
    let limiter = Limiter::start(&ready(&[&servers[0], &servers[1]]));
    for status in ["503 Busy", "504 Late"] {
        let client = limiter.ask(&request("pay", "1", "wide", 30.0));
        let mut first = next_at_either(&servers[0], &servers[1]);
        first.answer(status, DECLINED, "");
        let mut second = next_at_either(&servers[0], &servers[1]);
        let server_address = |message: &Message| message.stream.local_addr().expect("known");
        assert_ne!(
            server_address(&first),
            server_address(&second),
            "another server"
        );
        second.answer("200 OK", "", "");
        assert_eq!(Message::read(&client).expect("an answer").status(), 200);
    }
}

/// A request that may have run fails with 502, and is neither retried nor rejected: after an error response, and after
/// a connection that breaks once the request has arrived completely. A 503 without the header that declines it does not
/// prove that nothing ran.
#[test]
fn a_request_that_may_have_run_fails_and_is_not_retried() {
    let server = Listener::start();
    let other = Listener::start();
    let limiter = Limiter::start(&ready(&[&server, &other]));
    for how in ["500 Error", "503 Unmarked", "reset", "half an answer"] {
        let client = limiter.ask(&request("pay", "1", "wide", 30.0));
        let mut arrived = next_at_either(&server, &other);
        match how {
            "reset" => arrived
                .stream
                .shutdown(std::net::Shutdown::Both)
                .expect("closed"),
            "half an answer" => {
                arrived
                    .stream
                    .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
                    .expect("sent");
                arrived
                    .stream
                    .shutdown(std::net::Shutdown::Both)
                    .expect("closed");
            }
            status => arrived.answer(status, "", ""),
        }
        let answer = Message::read(&client).expect("an answer");
        assert_eq!((answer.status(), answer.body.len()), (502, 0), "{how}");
        assert!(server.is_quiet() && other.is_quiet(), "{how}");
    }
}

/// A request whose connection was never established cannot have run, so it must be retried or rejected, and not fail.
#[test]
fn a_request_is_retried_after_a_refused_connection() {
    let server = Listener::start();
    let unreachable = target("s-0", free_port(&own_host()), "ready");
    let mut endpoints = ready(&[&server]);
    endpoints.push(unreachable);
    let limiter = Limiter::start(&endpoints);
    for _ in 0..6 {
        let client = limiter.ask(&request("pay", "1", "wide", 30.0));
        server.next().answer("200 OK", "", "");
        assert_eq!(Message::read(&client).expect("an answer").status(), 200);
    }
    // If no server accepts connections, the request is rejected, as a retry by the client is harmless.
    let limiter = Limiter::start(&[target("s-0", free_port(&own_host()), "ready")]);
    let answer = limiter.exchange(&request("pay", "2", "wide", 30.0));
    assert_eq!(answer.status(), 429);
    // It is rejected at once, with the time after which the client should retry.
    let wait: f64 = answer
        .header("retry-after")
        .expect("advice")
        .parse()
        .expect("seconds");
    assert!(wait > 0.0 && wait <= 1.0, "{wait}");
}

/// A server may close a pooled connection at any time. The limiter must notice that before it writes the next request,
/// or the request would count as one that may have run.
#[test]
fn a_pooled_connection_that_the_server_closed_is_not_used() {
    let server = Listener::start();
    let limiter = Limiter::start(&ready(&[&server]));
    for _ in 0..5 {
        let client = limiter.ask(&request("pay", "1", "wide", 30.0));
        let mut arrived = server.next();
        arrived.answer("200 OK", "", "");
        assert_eq!(Message::read(&client).expect("an answer").status(), 200);
        arrived
            .stream
            .shutdown(std::net::Shutdown::Both)
            .expect("closed");
    }
}

/// A request that is written to a connection after the server's idle time-out is answered by a reset, so the limiter
/// must close idle connections earlier.
#[test]
fn idle_connections_are_closed_before_the_servers_idle_timeout() {
    let server = Listener::start();
    let limiter = Limiter::start_with(&ready(&[&server]), |c| {
        c["settings"]["bounds"]["idle-close-ms"] = json!(200.0);
    });
    let mut ports = Vec::new();
    for _ in 0..2 {
        let client = limiter.ask(&request("pay", "1", "wide", 30.0));
        let mut arrived = server.next();
        arrived.answer("200 OK", "", "");
        assert_eq!(Message::read(&client).expect("an answer").status(), 200);
        ports.push(arrived.stream.peer_addr().expect("known").port());
        std::thread::sleep(Duration::from_millis(250));
    }
    assert_ne!(ports[0], ports[1]);
}

/// Servers, or proxies in front of them, may drop idle connections long before the idle time-out in the settings, and
/// reset them only when the next request arrives, which then may have run. The limiter must learn at what age that
/// happens.
#[test]
fn an_age_at_which_idle_connections_are_reset_is_learned_and_avoided() {
    let server = Listener::start();
    let limiter = Limiter::start(&ready(&[&server]));
    let mut seen: HashSet<SocketAddr> = HashSet::new();
    let mut lost = 0;
    // A new connection serves its request; one that has been idle is closed when its next request arrives.
    for round in 0..40 {
        let client = limiter.ask(&request("pay", &format!("a{round}"), "wide", 60.0));
        let mut arrived = server.next();
        if seen.insert(arrived.stream.peer_addr().expect("known")) {
            arrived.answer("200 OK", "", "ok");
            assert_eq!(Message::read(&client).expect("an answer").status(), 200);
        } else {
            arrived.stream.shutdown(Shutdown::Both).expect("ended");
            // It may have run, and its class allows no retry.
            assert_eq!(Message::read(&client).expect("an answer").status(), 502);
            lost += 1;
        }
        std::thread::sleep(Duration::from_millis(120));
    }
    assert!(
        (8..=13).contains(&lost),
        "{lost} of 40 requests were sent on a connection that the server had dropped"
    );
}

/// A client that disconnects has abandoned its request, so the attempt at the server is cancelled.
#[test]
fn a_client_that_disconnects_cancels_its_attempt() {
    let server = Listener::start();
    let limiter = Limiter::start(&ready(&[&server]));
    let client = limiter.ask(&request("submit", "1", "wide", 30.0));
    let arrived = server.next();
    drop(client);
    arrived.wait_until_closed();
}

/// The response arrives within the client's deadline and the attempt's connection is closed. The request fails, as it
/// may have run.
#[test]
fn a_request_to_a_silent_server_fails_within_the_deadline() {
    let server = Listener::start();
    let limiter = Limiter::start(&ready(&[&server]));
    let sent_at = Instant::now();
    let client = limiter.ask(&request("pay", "1", "wide", 2.0));
    let arrived = server.next();
    let answer = Message::read(&client).expect("an answer");
    assert_eq!(answer.status(), 502);
    assert!(
        sent_at.elapsed() < Duration::from_secs(2),
        "after {:?}",
        sent_at.elapsed()
    );
    arrived.wait_until_closed();
    assert!(server.is_quiet());
}

#[test]
fn a_request_beyond_the_quota_is_rejected_with_retry_after() {
    let server = Listener::start();
    let limiter = Limiter::start(&ready(&[&server]));
    // The burst of the narrow plan is half a unit, and a request costs one.
    let answer = limiter.exchange(&request("look", "1", "narrow", 30.0));
    assert_eq!(answer.status(), 429);
    let wait: f64 = answer
        .header("retry-after")
        .expect("advice")
        .parse()
        .expect("seconds");
    assert!(wait > 0.0 && wait <= 1.0, "{wait}");
    assert!(server.is_quiet());
}

#[test]
fn a_server_that_the_watch_reports_as_draining_gets_no_new_requests() {
    let (old, new) = (Listener::start(), Listener::start());
    let limiter = Limiter::start(&ready(&[&old]));
    let mut watch = limiter.watch();
    assert_eq!(watch.path(), "/registry/instances?follow=1&since=41");
    watch.send("");
    watch.list(
        42,
        false,
        &[
            target("s-1", old.address, "draining"),
            target("s-2", new.address, "ready"),
        ],
    );
    // Until the update is applied, requests may still go to the old server; from the first one at the new server on,
    // none may.
    let started = Instant::now();
    loop {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "the update was not applied"
        );
        let client = limiter.ask(&request("pay", "1", "wide", 30.0));
        let mut arrived = next_at_either(&old, &new);
        let update_applied = arrived.stream.local_addr().expect("known") == new.address;
        arrived.answer("200 OK", "", "");
        assert_eq!(Message::read(&client).expect("an answer").status(), 200);
        if update_applied {
            break;
        }
    }
    for _ in 0..10 {
        let client = limiter.ask(&request("pay", "1", "wide", 30.0));
        new.next().answer("200 OK", "", "");
        assert_eq!(Message::read(&client).expect("an answer").status(), 200);
    }
    assert!(old.is_quiet());
}

/// If a server is reported as draining while a connection to it is still being established, the request that waits for
/// the connection goes to another server.
#[test]
fn a_request_that_waits_for_a_connection_leaves_a_draining_server() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("built");
    let _runtime_context = runtime.enter();
    let socket = tokio::net::TcpSocket::new_v4().expect("made");
    socket
        .bind("127.0.0.1:0".parse().expect("an address"))
        .expect("bound");
    let slow = socket
        .listen(1)
        .expect("listens")
        .into_std()
        .expect("taken over");
    slow.set_nonblocking(false).expect("set");
    let at = slow.local_addr().expect("bound");
    // Fills the backlog, so that the next connection is not established.
    let mut backlog = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&at, Duration::from_millis(300)) {
        backlog.push(stream);
    }
    let other = Listener::start();
    let limiter = Limiter::start(&[target("s-1", at, "ready")]);
    let mut watch = limiter.watch();
    let client = limiter.ask(&request("pay", "1", "wide", 30.0));
    // The limiter is connecting, so it has received the request before the update that follows.
    await_connecting(at);
    watch.list(
        42,
        false,
        &[
            target("s-1", at, "draining"),
            target("s-2", other.address, "ready"),
        ],
    );
    let probe = limiter.ask(&request("look", "2", "wide", 30.0));
    let mut arrived = other.next();
    assert_eq!(
        arrived.header("req-id"),
        Some("2"),
        "the update was applied"
    );
    arrived.answer("200 OK", "", "");
    assert_eq!(Message::read(&probe).expect("an answer").status(), 200);
    // Now the connection is established.
    let slow = Listener::on(slow);
    drop(backlog);
    let mut arrived = other.next();
    assert_eq!(arrived.header("req-id"), Some("1"));
    arrived.answer("200 OK", "", "");
    assert_eq!(Message::read(&client).expect("an answer").status(), 200);
    assert!(slow.is_quiet());
}

/// After a malformed line or a closed connection, the limiter opens a new watch from the last revision that it could
/// read.
#[test]
fn a_malformed_or_closed_watch_is_resumed() {
    let server = Listener::start();
    let limiter = Limiter::start(&[]);
    let mut watch = limiter.watch();
    watch.list(50, true, &[]);
    watch.send("{\"rev\":51,\"all\":fal");
    let mut watch = limiter.watch();
    assert_eq!(watch.path(), "/registry/instances?follow=1&since=50");
    let odd = json!({"uid": 7, "endpoint": "nowhere"});
    watch.list(52, false, &[odd, target("s-1", server.address, "ready")]);
    watch.close();
    let watch = limiter.watch();
    assert_eq!(watch.path(), "/registry/instances?follow=1&since=52");
    let client = limiter.ask(&request("look", "1", "wide", 30.0));
    server.next().answer("200 OK", "", "");
    assert_eq!(Message::read(&client).expect("an answer").status(), 200);
}

/// SIGHUP moves the watch to the discovery address that the file now names: at once, and more than once. The limiter
/// fetches the complete list there, and uses the old one until it has arrived. A file that cannot be read changes
/// nothing.
#[test]
fn sighup_moves_the_watch_and_keeps_the_known_servers() {
    let servers = [Listener::start(), Listener::start()];
    let mut limiter = Limiter::start(&ready(&[&servers[0]]));
    let check_served_by = |limiter: &Limiter, server: &Listener| {
        let client = limiter.ask(&request("look", "1", "wide", 30.0));
        server.next().answer("200 OK", "", "");
        assert_eq!(Message::read(&client).expect("an answer").status(), 200);
    };
    let mut old = limiter.watch();
    old.list(100, true, &ready(&[&servers[0]]));
    check_served_by(&limiter, &servers[0]);
    for _ in 0..2 {
        let next = Listener::start();
        limiter.config["discovery"] = json!(next.address.to_string());
        limiter.reload(&limiter.config.to_string());
        let mut moved = Watch::at(&next);
        assert!(
            !moved.path().contains("since"),
            "fetches the complete list: {}",
            moved.path()
        );
        old.wait_until_closed();
        check_served_by(&limiter, &servers[0]);
        // Revisions may be lower at the new address, and servers that it does not list are removed.
        moved.list(7, true, &[target("s-2", servers[1].address, "ready")]);
        let started = Instant::now();
        loop {
            let client = limiter.ask(&request("look", "2", "wide", 30.0));
            let mut arrived = next_at_either(&servers[0], &servers[1]);
            arrived.answer("200 OK", "", "");
            assert_eq!(Message::read(&client).expect("an answer").status(), 200);
            if arrived.stream.local_addr().expect("known") == servers[1].address {
                break;
            }
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "the new list was not applied"
            );
        }
        moved.list(8, true, &ready(&[&servers[0]]));
        // Invalid files: the watch stays where it is.
        limiter.reload("{\"name\": ");
        limiter.reload("");
        moved.list(9, false, &[target("s-2", servers[1].address, "ready")]);
        moved.list(10, false, &[target("s-1", servers[0].address, "draining")]);
        let started = Instant::now();
        loop {
            let client = limiter.ask(&request("look", "3", "wide", 30.0));
            let mut arrived = next_at_either(&servers[0], &servers[1]);
            arrived.answer("200 OK", "", "");
            assert_eq!(Message::read(&client).expect("an answer").status(), 200);
            if arrived.stream.local_addr().expect("known") == servers[1].address {
                break;
            }
            assert!(started.elapsed() < WAIT_TIMEOUT, "the watch was lost");
        }
        moved.list(11, true, &ready(&[&servers[0]]));
        old = moved;
    }
    limiter.terminate();
    assert!(limiter.wait().success());
}

/// Gossip identifies customers by 32 bits that are the same at every limiter, and carries an incarnation that grows
/// with each start. Malformed datagrams are ignored.
#[test]
fn gossip_carries_customers_and_increasing_incarnations() {
    let server = Listener::start();
    let mut limiter = Limiter::start(&ready(&[&server]));
    let peer_listen = limiter.config["peer_listen"]
        .as_str()
        .expect("text")
        .to_string();
    limiter
        .peer
        .set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("set");
    let mut incarnations = Vec::new();
    for _ in 0..2 {
        for malformed in [&b""[..], &[2, 0, 0], &[0xff; 256], &[2; 300]] {
            limiter.peer.send_to(malformed, &peer_listen).expect("sent");
        }
        let text = request("look", "1", "wide", 30.0).replace("spread=1", "spread=2");
        let client = limiter.ask(&text);
        server.next().answer("200 OK", "", "");
        assert_eq!(Message::read(&client).expect("an answer").status(), 200);
        let started = Instant::now();
        incarnations.push(loop {
            assert!(started.elapsed() < WAIT_TIMEOUT, "no count arrives");
            let mut bytes = [0u8; 300];
            let length = match limiter.peer.recv(&mut bytes) {
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                received => received.expect("received"),
            };
            let message = gossip::decode(&bytes[..length]).expect("sound");
            let customer = stable_hash("00000001b4d65521");
            let counts_customer = |entry: &gossip::Entry| matches!(entry, gossip::Entry::Count { customer: c, .. } if *c == customer);
            if message.entries.iter().any(counts_customer) && !incarnations.contains(&message.incarnation) {
                break message.incarnation;
            }
        });
        limiter.kill();
        limiter.run();
    }
    assert!(incarnations[0] < incarnations[1], "{incarnations:?}");
}

#[test]
fn requests_in_flight_and_new_ones_are_answered_after_sigterm() {
    let server = Listener::start();
    let mut limiter = Limiter::start(&ready(&[&server]));
    let idle = limiter.connect();
    let in_flight = limiter.ask(&request("pay", "1", "wide", 30.0));
    let mut arrived = server.next();
    limiter.terminate();
    let started = Instant::now();
    while limiter
        .get("/health/ready")
        .expect("still accepts")
        .status()
        == 200
    {
        assert!(started.elapsed() < WAIT_TIMEOUT, "stays ready");
    }
    (&idle)
        .write_all(request("look", "2", "wide", 30.0).as_bytes())
        .expect("sent");
    server.next().answer("200 OK", "", "late");
    let answer = Message::read(&idle).expect("an answer");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, Some("close"))
    );
    arrived.answer("200 OK", "", "held");
    let answer = Message::read(&in_flight).expect("an answer");
    assert_eq!(
        (answer.body.as_slice(), answer.header("connection")),
        (&b"held"[..], Some("close"))
    );
    assert!(limiter.wait().success());
    assert!(server.is_quiet());
}

/// Connections of a killed limiter stay in the operating system for a while. Its successor must be able to bind the
/// address without waiting for them.
#[test]
fn the_address_is_bound_again_at_once_after_a_kill() {
    let server = Listener::start();
    let mut limiter = Limiter::start(&ready(&[&server]));
    let in_flight = limiter.ask(&request("look", "1", "wide", 30.0));
    _ = server.next();
    limiter.kill();
    assert!(Message::read(&in_flight).is_none());
    limiter.run();
    let client = limiter.ask(&request("look", "2", "wide", 30.0));
    server.next().answer("200 OK", "", "");
    assert_eq!(Message::read(&client).expect("an answer").status(), 200);
}

/// With more clients than descriptors, the limiter must neither exit nor stop accepting connections for good.
#[test]
fn more_clients_than_descriptors_are_survived() {
    let server = Listener::start();
    let mut limiter = Limiter::prepare(&ready(&[&server]));
    let mut direct = limiter.command();
    let mut command = std::process::Command::new("sh");
    command
        .args(["-c", "ulimit -n 40; exec \"$0\""])
        .arg(direct.get_program());
    command.envs(
        direct
            .get_envs()
            .filter_map(|(key, value)| value.map(|value| (key, value))),
    );
    _ = direct.stdin(std::process::Stdio::null());
    limiter.run_as(command);
    let crowd: Vec<TcpStream> = (0..60).map(|_| limiter.connect()).collect();
    drop(crowd);
    let client = limiter.ask(&request("look", "1", "wide", 30.0));
    server.next().answer("200 OK", "", "");
    assert_eq!(Message::read(&client).expect("an answer").status(), 200);
}

#[test]
fn an_invalid_configuration_fails_the_start_with_a_one_line_error() {
    let limiter = Limiter::prepare(&[]);
    let check_rejected = |text: Option<&str>, expected: &str| {
        let mut command = limiter.command();
        let path = std::env::temp_dir().join(format!("emberpin-bad-{}", own_host()));
        match text {
            Some(text) => std::fs::write(&path, text).expect("written"),
            None => drop(std::fs::remove_file(&path)),
        }
        let output = command.env("GW_CONFIG", &path).output().expect("runs");
        _ = std::fs::remove_file(&path);
        let error = String::from_utf8(output.stderr).expect("text");
        assert!(
            !output.status.success() && error.lines().count() == 1 && error.contains(expected),
            "{error}"
        );
    };
    check_rejected(None, "cannot read");
    check_rejected(Some("{\"listen\":"), "EOF");
    let mut config = limiter.config.clone();
    config["settings"]["zone"] = json!("nowhere");
    check_rejected(Some(&config.to_string()), "unknown zone 'nowhere'");
    config["settings"]["zone"] = json!("a");
    config["seed"] = json!("not hex");
    check_rejected(Some(&config.to_string()), "seed");
    let occupied = TcpListener::bind((own_host(), 0)).expect("bound");
    config["seed"] = json!("1");
    config["listen"] = json!(occupied.local_addr().expect("bound").to_string());
    check_rejected(Some(&config.to_string()), "cannot listen");
    let output = limiter
        .command()
        .env_remove("GW_CONFIG")
        .output()
        .expect("runs");
    assert!(
        !output.status.success() && String::from_utf8_lossy(&output.stderr).contains("GW_CONFIG")
    );
}
