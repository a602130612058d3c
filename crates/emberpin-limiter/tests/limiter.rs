//! The real limiter over loopback sockets, against servers, discovery, peers and clients played by hand.
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

const DECLINED: &str = "Srv-Declined: 1\r\n";

fn ready(servers: &[&Listener]) -> Vec<serde_json::Value> {
    let names = ["s-1", "s-2", "s-3"];
    servers
        .iter()
        .zip(names)
        .map(|(server, uid)| target(uid, server.address, "ready"))
        .collect()
}

/// The next message that comes to either server.
fn either(one: &Listener, other: &Listener) -> Message {
    let begun = Instant::now();
    loop {
        if let Some(message) = one.soon().or_else(|| other.soon()) {
            return message;
        }
        assert!(begun.elapsed() < LONG, "nothing comes");
    }
}

/// Waits until a connection to this address is being opened and not yet up (state 2: SYN sent).
fn await_connecting(at: SocketAddr) {
    let IpAddr::V4(ip) = at.ip() else {
        panic!("IPv4 only")
    };
    let remote = format!(
        "{:08X}:{:04X} 02",
        u32::from_le_bytes(ip.octets()),
        at.port()
    );
    let begun = Instant::now();
    while !std::fs::read_to_string("/proc/net/tcp")
        .expect("Linux")
        .contains(&remote)
    {
        assert!(begun.elapsed() < LONG, "nobody connects");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn passes_a_request_and_its_answer_on_unchanged() {
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
    let told: f64 = arrived
        .header("req-deadline")
        .expect("told")
        .parse()
        .expect("seconds");
    assert!(told > 0.0 && told < 30.0, "leaves a margin: {told}");
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

    // Both connections carry the next request.
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
        ("set of nobody", good.replace("spread=1", "spread=0"), 400),
        ("set from nowhere", good.replace("first=0", "first=7"), 400),
        ("huge units", good.replace("units=1", "units=1e12"), 400),
        ("units below 0", good.replace("units=1", "units=-1"), 400),
        (
            "units twice",
            good.replace("units=1", "units=1,units=2"),
            400,
        ),
        ("part of a set", good.replace("first=0", "first=0.5"), 400),
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
            "another host's",
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
        // The answer may come before all of a large body was taken.
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
        "only the good one came"
    );
    arrived.answer("200 OK", "", "");
    assert_eq!(Message::read(&client).expect("an answer").status(), 200);
    assert!(server.is_quiet());
}

/// Turned away proves that nothing ran: even an unsafe request goes to another server.
#[test]
fn a_declined_attempt_goes_elsewhere() {
    let servers = [Listener::start(), Listener::start()];
    let limiter = Limiter::start(&ready(&[&servers[0], &servers[1]]));
    for status in ["503 Busy", "504 Late"] {
        let client = limiter.ask(&request("pay", "1", "wide", 30.0));
        let mut first = either(&servers[0], &servers[1]);
        first.answer(status, DECLINED, "");
        let mut second = either(&servers[0], &servers[1]);
        let at = |message: &Message| message.stream.local_addr().expect("known");
        assert_ne!(at(&first), at(&second), "elsewhere");
        second.answer("200 OK", "", "");
        assert_eq!(Message::read(&client).expect("an answer").status(), 200);
    }
}

/// What may have run is neither repeated nor refused: an error, and a connection that breaks after the
/// request came whole. A plain 503 without the mark proves nothing either.
#[test]
fn what_may_have_run_is_failed_and_not_repeated() {
    let server = Listener::start();
    let other = Listener::start();
    let limiter = Limiter::start(&ready(&[&server, &other]));
    for how in ["500 Error", "503 Unmarked", "reset", "half an answer"] {
        let client = limiter.ask(&request("pay", "1", "wide", 30.0));
        let mut arrived = either(&server, &other);
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

/// Guards against calling "may have run" what never could: no connection came up.
#[test]
fn a_refused_connection_never_ran() {
    let server = Listener::start();
    let nobody = target("s-0", free_port(&own_host()), "ready");
    let mut known = ready(&[&server]);
    known.push(nobody);
    let limiter = Limiter::start(&known);
    for _ in 0..6 {
        let client = limiter.ask(&request("pay", "1", "wide", 30.0));
        server.next().answer("200 OK", "", "");
        assert_eq!(Message::read(&client).expect("an answer").status(), 200);
    }
    // And with no server that takes connections, trying again is harmless.
    let limiter = Limiter::start(&[target("s-0", free_port(&own_host()), "ready")]);
    let answer = limiter.exchange(&request("pay", "2", "wide", 30.0));
    assert_eq!(answer.status(), 429);
    // Given up at once, so the client is told when to come back.
    let wait: f64 = answer
        .header("retry-after")
        .expect("advice")
        .parse()
        .expect("seconds");
    assert!(wait > 0.0 && wait <= 1.0, "{wait}");
}

/// A server may close a pooled connection at any time: the next request must find that out before it
/// is written there, or it would count as one that may have run.
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

/// A request written to a connection that has been idle for the server's limit ends as a reset.
#[test]
fn idle_connections_are_retired_before_the_servers_limit() {
    let server = Listener::start();
    let limiter = Limiter::with(&ready(&[&server]), |c| {
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

/// A client that closes has abandoned its request, and what is out for it is given up.
/// Servers, or what stands before them, may forget idle connections long before the time that the settings say, and
/// reset them only when the next request comes: which may have run. The limiter learns at what age that happens.
#[test]
fn an_age_at_which_idle_connections_are_reset_is_learned_and_avoided() {
    let server = Listener::start();
    let limiter = Limiter::start(&ready(&[&server]));
    let mut known: HashSet<SocketAddr> = HashSet::new();
    let mut lost = 0;
    // A new connection serves its request; one that stood idle ends when its next request comes.
    for round in 0..40 {
        let client = limiter.ask(&request("pay", &format!("a{round}"), "wide", 60.0));
        let mut arrived = server.next();
        if known.insert(arrived.stream.peer_addr().expect("known")) {
            arrived.answer("200 OK", "", "ok");
            assert_eq!(Message::read(&client).expect("an answer").status(), 200);
        } else {
            arrived.stream.shutdown(Shutdown::Both).expect("ended");
            // It may have run, and its class allows no repeat.
            assert_eq!(Message::read(&client).expect("an answer").status(), 502);
            lost += 1;
        }
        std::thread::sleep(Duration::from_millis(120));
    }
    assert!(
        (8..=13).contains(&lost),
        "{lost} of 40 requests went out on a connection that was forgotten"
    );
}

#[test]
fn a_client_that_leaves_ends_its_attempt() {
    let server = Listener::start();
    let limiter = Limiter::start(&ready(&[&server]));
    let client = limiter.ask(&request("submit", "1", "wide", 30.0));
    let arrived = server.next();
    drop(client);
    arrived.ends();
}

/// The answer comes within the client's time, with the attempt's connection closed, and is no refusal.
#[test]
fn a_silent_server_ends_in_a_failure_within_the_deadline() {
    let server = Listener::start();
    let limiter = Limiter::start(&ready(&[&server]));
    let asked = Instant::now();
    let client = limiter.ask(&request("pay", "1", "wide", 2.0));
    let arrived = server.next();
    let answer = Message::read(&client).expect("an answer");
    assert_eq!(answer.status(), 502);
    assert!(
        asked.elapsed() < Duration::from_secs(2),
        "after {:?}",
        asked.elapsed()
    );
    arrived.ends();
    assert!(server.is_quiet());
}

#[test]
fn a_quota_that_is_used_up_is_refused_with_advice() {
    let server = Listener::start();
    let limiter = Limiter::start(&ready(&[&server]));
    // The narrow plan's store holds half a unit.
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
fn nothing_new_goes_to_a_server_once_the_watch_said_that_it_drains() {
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
    // Until the line was taken, the old one may still be asked; once the new one is, never again.
    let begun = Instant::now();
    loop {
        assert!(begun.elapsed() < LONG, "the change never showed");
        let client = limiter.ask(&request("pay", "1", "wide", 30.0));
        let mut arrived = either(&old, &new);
        let changed = arrived.stream.local_addr().expect("known") == new.address;
        arrived.answer("200 OK", "", "");
        assert_eq!(Message::read(&client).expect("an answer").status(), 200);
        if changed {
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

/// A drain that comes while the connection is still coming up holds for what waits for it.
#[test]
fn a_drain_during_a_slow_connect_keeps_the_request_away() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("built");
    let _inside = runtime.enter();
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
    // Fills the backlog, so that the next connection does not come up.
    let mut fill = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&at, Duration::from_millis(300)) {
        fill.push(stream);
    }
    let other = Listener::start();
    let limiter = Limiter::start(&[target("s-1", at, "ready")]);
    let mut watch = limiter.watch();
    let client = limiter.ask(&request("pay", "1", "wide", 30.0));
    // A connection's two ends of the same limiter: what follows is taken after the request.
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
    assert_eq!(arrived.header("req-id"), Some("2"), "the change was taken");
    arrived.answer("200 OK", "", "");
    assert_eq!(Message::read(&probe).expect("an answer").status(), 200);
    // Now it comes up.
    let slow = Listener::on(slow);
    drop(fill);
    let mut arrived = other.next();
    assert_eq!(arrived.header("req-id"), Some("1"));
    arrived.answer("200 OK", "", "");
    assert_eq!(Message::read(&client).expect("an answer").status(), 200);
    assert!(slow.is_quiet());
}

/// Garbled lines and broken watches: asked for again from the last version understood.
#[test]
fn a_garbled_or_broken_watch_is_taken_up_again() {
    let server = Listener::start();
    let limiter = Limiter::start(&[]);
    let mut watch = limiter.watch();
    watch.list(50, true, &[]);
    watch.send("{\"rev\":51,\"all\":fal");
    let mut watch = limiter.watch();
    assert_eq!(watch.path(), "/registry/instances?follow=1&since=50");
    let odd = json!({"uid": 7, "endpoint": "nowhere"});
    watch.list(52, false, &[odd, target("s-1", server.address, "ready")]);
    watch.hang_up();
    let watch = limiter.watch();
    assert_eq!(watch.path(), "/registry/instances?follow=1&since=52");
    let client = limiter.ask(&request("look", "1", "wide", 30.0));
    server.next().answer("200 OK", "", "");
    assert_eq!(Message::read(&client).expect("an answer").status(), 200);
}

/// Gossip names customers by 32 bits that are the same at every limiter, and tells lives apart.
/// SIGHUP moves the watch to the address that the file names now: at once, more than once, with the whole
/// list taken there and the old one valid until then. A file that cannot be read changes nothing.
#[test]
fn sighup_moves_the_watch_and_keeps_what_is_known() {
    let servers = [Listener::start(), Listener::start()];
    let mut limiter = Limiter::start(&ready(&[&servers[0]]));
    let served_by = |limiter: &Limiter, server: &Listener| {
        let client = limiter.ask(&request("look", "1", "wide", 30.0));
        server.next().answer("200 OK", "", "");
        assert_eq!(Message::read(&client).expect("an answer").status(), 200);
    };
    let mut old = limiter.watch();
    old.list(100, true, &ready(&[&servers[0]]));
    served_by(&limiter, &servers[0]);
    for _ in 0..2 {
        let next = Listener::start();
        limiter.config["discovery"] = json!(next.address.to_string());
        limiter.reload(&limiter.config.to_string());
        let mut moved = Watch::at(&next);
        assert!(
            !moved.path().contains("since"),
            "takes the whole list: {}",
            moved.path()
        );
        old.ends();
        served_by(&limiter, &servers[0]);
        // Versions may be lower there, and who is not listed is gone.
        moved.list(7, true, &[target("s-2", servers[1].address, "ready")]);
        let begun = Instant::now();
        loop {
            let client = limiter.ask(&request("look", "2", "wide", 30.0));
            let mut arrived = either(&servers[0], &servers[1]);
            arrived.answer("200 OK", "", "");
            assert_eq!(Message::read(&client).expect("an answer").status(), 200);
            if arrived.stream.local_addr().expect("known") == servers[1].address {
                break;
            }
            assert!(begun.elapsed() < LONG, "the new list is not taken");
        }
        moved.list(8, true, &ready(&[&servers[0]]));
        // A refusal to change: the watch stays where it is.
        limiter.reload("{\"name\": ");
        limiter.reload("");
        moved.list(9, false, &[target("s-2", servers[1].address, "ready")]);
        moved.list(10, false, &[target("s-1", servers[0].address, "draining")]);
        let begun = Instant::now();
        loop {
            let client = limiter.ask(&request("look", "3", "wide", 30.0));
            let mut arrived = either(&servers[0], &servers[1]);
            arrived.answer("200 OK", "", "");
            assert_eq!(Message::read(&client).expect("an answer").status(), 200);
            if arrived.stream.local_addr().expect("known") == servers[1].address {
                break;
            }
            assert!(begun.elapsed() < LONG, "the watch was lost");
        }
        moved.list(11, true, &ready(&[&servers[0]]));
        old = moved;
    }
    limiter.terminate();
    assert!(limiter.wait().success());
}

#[test]
fn gossip_tells_customers_and_lives() {
    let server = Listener::start();
    let mut limiter = Limiter::start(&ready(&[&server]));
    let peer_listen = limiter.config["peer_listen"]
        .as_str()
        .expect("text")
        .to_string();
    limiter.peer.set_read_timeout(Some(LONG)).expect("set");
    let mut lives = Vec::new();
    for _ in 0..2 {
        for garbled in [&b""[..], &[2, 0, 0], &[0xff; 256], &[2; 300]] {
            limiter.peer.send_to(garbled, &peer_listen).expect("sent");
        }
        let text = request("look", "1", "wide", 30.0).replace("spread=1", "spread=2");
        let client = limiter.ask(&text);
        server.next().answer("200 OK", "", "");
        assert_eq!(Message::read(&client).expect("an answer").status(), 200);
        let begun = Instant::now();
        lives.push(loop {
            assert!(begun.elapsed() < LONG, "nothing told");
            let mut bytes = [0u8; 300];
            let length = match limiter.peer.recv(&mut bytes) {
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                told => told.expect("told"),
            };
            let message = gossip::read(&bytes[..length]).expect("sound");
            let customer = stable_hash("00000001b4d65521");
            let told = |entry: &gossip::Entry| matches!(entry, gossip::Entry::Count { customer: c, .. } if *c == customer);
            if message.entries.iter().any(told) && !lives.contains(&message.incarnation) {
                break message.incarnation;
            }
        });
        limiter.kill();
        limiter.run();
    }
    assert!(lives[0] < lives[1], "{lives:?}");
}

#[test]
fn sigterm_answers_what_comes_and_what_is_held() {
    let server = Listener::start();
    let mut limiter = Limiter::start(&ready(&[&server]));
    let idle = limiter.connect();
    let held = limiter.ask(&request("pay", "1", "wide", 30.0));
    let mut arrived = server.next();
    limiter.terminate();
    let begun = Instant::now();
    while limiter
        .get("/health/ready")
        .expect("still accepts")
        .status()
        == 200
    {
        assert!(begun.elapsed() < LONG, "stays ready");
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
    let answer = Message::read(&held).expect("an answer");
    assert_eq!(
        (answer.body.as_slice(), answer.header("connection")),
        (&b"held"[..], Some("close"))
    );
    assert!(limiter.wait().success());
    assert!(server.is_quiet());
}

/// A killed limiter's connections linger in its machine: its successor must not wait for them.
#[test]
fn rebinds_at_once_after_a_kill() {
    let server = Listener::start();
    let mut limiter = Limiter::start(&ready(&[&server]));
    let held = limiter.ask(&request("look", "1", "wide", 30.0));
    _ = server.next();
    limiter.kill();
    assert!(Message::read(&held).is_none());
    limiter.run();
    let client = limiter.ask(&request("look", "2", "wide", 30.0));
    server.next().answer("200 OK", "", "");
    assert_eq!(Message::read(&client).expect("an answer").status(), 200);
}

/// More clients than there are descriptors: it neither ends nor stays deaf.
#[test]
fn lives_through_more_clients_than_descriptors() {
    let server = Listener::start();
    let mut limiter = Limiter::prepare(&ready(&[&server]));
    let mut plain = limiter.command();
    let mut command = std::process::Command::new("sh");
    command
        .args(["-c", "ulimit -n 40; exec \"$0\""])
        .arg(plain.get_program());
    command.envs(
        plain
            .get_envs()
            .filter_map(|(key, value)| value.map(|value| (key, value))),
    );
    _ = plain.stdin(std::process::Stdio::null());
    limiter.run_as(command);
    let crowd: Vec<TcpStream> = (0..60).map(|_| limiter.connect()).collect();
    drop(crowd);
    let client = limiter.ask(&request("look", "1", "wide", 30.0));
    server.next().answer("200 OK", "", "");
    assert_eq!(Message::read(&client).expect("an answer").status(), 200);
}

#[test]
fn a_bad_configuration_ends_with_one_clear_line() {
    let limiter = Limiter::prepare(&[]);
    let bad = |text: Option<&str>, named: &str| {
        let mut command = limiter.command();
        let path = std::env::temp_dir().join(format!("emberpin-bad-{}", own_host()));
        match text {
            Some(text) => std::fs::write(&path, text).expect("written"),
            None => drop(std::fs::remove_file(&path)),
        }
        let output = command.env("GW_CONFIG", &path).output().expect("runs");
        _ = std::fs::remove_file(&path);
        let told = String::from_utf8(output.stderr).expect("text");
        assert!(
            !output.status.success() && told.lines().count() == 1 && told.contains(named),
            "{told}"
        );
    };
    bad(None, "cannot read");
    bad(Some("{\"listen\":"), "EOF");
    let mut config = limiter.config.clone();
    config["settings"]["zone"] = json!("nowhere");
    bad(Some(&config.to_string()), "unknown zone 'nowhere'");
    config["settings"]["zone"] = json!("a");
    config["seed"] = json!("not hex");
    bad(Some(&config.to_string()), "seed");
    let taken = TcpListener::bind((own_host(), 0)).expect("bound");
    config["seed"] = json!("1");
    config["listen"] = json!(taken.local_addr().expect("bound").to_string());
    bad(Some(&config.to_string()), "cannot listen");
    let output = limiter
        .command()
        .env_remove("GW_CONFIG")
        .output()
        .expect("runs");
    assert!(
        !output.status.success() && String::from_utf8_lossy(&output.stderr).contains("GW_CONFIG")
    );
}
