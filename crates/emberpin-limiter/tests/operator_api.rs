//! The operators' HTTP interface over loopback: its commands, its metrics, and taking servers out of service.
#![allow(missing_docs, reason = "a test has no public interface")]

#[path = "common/sockets.rs"]
mod sockets;

use serde_json::json;
use sockets::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Instant;

/// A client of the operators' HTTP interface at this address.
struct OperatorClient(SocketAddr);

impl OperatorClient {
    /// Starts a limiter with the interface enabled.
    fn start(servers: &[serde_json::Value]) -> (Limiter, OperatorClient) {
        let mut address = None;
        let limiter = Limiter::start_with(servers, |config| {
            let ops = free_port(&own_host());
            config["ops"] = json!(ops.to_string());
            config["settings"]["rules"]["warm-after-ms"] = json!(200.0);
            address = Some(ops);
        });
        (limiter, OperatorClient(address.expect("set")))
    }

    /// Sends one request; returns the status, and the whole text of the response.
    fn call(&self, method: &str, path: &str) -> (u16, String) {
        let mut stream = TcpStream::connect(self.0).expect("connects");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
        stream
            .write_all(format!("{method} {path} HTTP/1.1\r\nHost: s\r\n\r\n").as_bytes())
            .expect("sent");
        let mut text = String::new();
        stream
            .read_to_string(&mut text)
            .expect("the connection is closed after one response");
        let status = text
            .split(' ')
            .nth(1)
            .expect("a status")
            .parse()
            .expect("a number");
        (status, text)
    }

    /// Reads a metric without labels, or one whose labels are part of `name`.
    fn metric(&self, name: &str) -> i64 {
        let (status, text) = self.call("GET", "/ops/stats");
        assert_eq!(status, 200);
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix(&format!("app_{name} ")));
        line.unwrap_or_else(|| panic!("no {name} in {text}"))
            .parse()
            .expect("a number")
    }

    /// Waits until a metric has this value: those of the pool are up to half a second late.
    fn wait_for_metric(&self, name: &str, value: i64) {
        let started = Instant::now();
        while self.metric(name) != value {
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "{name} is {} and not {value}",
                self.metric(name)
            );
        }
    }
}

#[test]
fn invalid_calls_get_a_4xx_and_change_nothing() {
    let server = Listener::start();
    let (_limiter, operator) = OperatorClient::start(&[target("s-1", server.address, "ready")]);
    let too_long = format!("/ops/servers/down/{}", "x".repeat(200));
    for (method, path, expected) in [
        ("GET", "/ops/readiness", 200),
        ("GET", "/ops/nothing", 404),
        ("GET", "/api", 404),
        ("PUT", "/ops/readiness", 405),
        ("POST", "/ops/stats", 405),
        ("GET", "/ops/servers/down/s-1", 405),
        ("PUT", "/ops/servers/down/", 400),
        ("PUT", "/ops/servers/down/s%201", 400),
        ("PUT", "/ops/servers/down/a/b", 400),
        ("PUT", &too_long, 400),
        ("PUT", "/ops/servers/down/s-2", 404),
        ("PUT", "/ops/servers/up/s-2", 404),
    ] {
        assert_eq!(operator.call(method, path).0, expected, "{method} {path}");
    }
    assert_eq!(operator.metric("pool_ejected"), 0);
}

#[test]
fn a_server_taken_out_of_service_stays_out_when_it_is_listed_again_at_another_address() {
    let (one, other, moved) = (Listener::start(), Listener::start(), Listener::start());
    let (limiter, operator) = OperatorClient::start(&[
        target("s-1", one.address, "ready"),
        target("s-2", other.address, "ready"),
    ]);
    let mut watch = limiter.watch();
    // The repeated command has no effect.
    assert_eq!(operator.call("PUT", "/ops/servers/down/s-2").0, 200);
    assert_eq!(operator.call("PUT", "/ops/servers/down/s-2").0, 200);
    let check_only_first_serves = |from: u32| {
        for number in from..from + 6 {
            let client = limiter.ask(&request("look", &format!("r{number}"), "wide", 30.0));
            one.next().answer("200 OK", "", "");
            assert_eq!(Message::read(&client).expect("an answer").status(), 200);
        }
    };
    check_only_first_serves(0);
    watch.list(42, false, &[target("s-2", other.address, "gone")]);
    operator.wait_for_metric("pool_size", 1);
    watch.list(43, false, &[target("s-2", moved.address, "ready")]);
    operator.wait_for_metric("pool_size", 2);
    operator.wait_for_metric("pool_ejected", 1);
    check_only_first_serves(10);
    assert!(other.is_quiet() && moved.is_quiet());

    assert_eq!(operator.call("PUT", "/ops/servers/up/s-2").0, 200);
    assert_eq!(operator.metric("pool_ejected"), 0);
    assert_eq!(operator.call("PUT", "/ops/servers/down/s-1").0, 200);
    // It receives every request once it has warmed up; until then some are rejected.
    let started = Instant::now();
    for number in 100.. {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "the server receives no requests again"
        );
        let client = limiter.ask(&request("look", &format!("r{number}"), "wide", 30.0));
        if let Some(mut message) = moved.poll() {
            message.answer("200 OK", "", "");
            break;
        }
        assert_eq!(Message::read(&client).expect("an answer").status(), 429);
    }
    assert!(one.is_quiet() && other.is_quiet());
}

#[test]
fn a_hundred_silent_connections_do_not_block_operators() {
    let (_limiter, operator) = OperatorClient::start(&[]);
    let mut silent: Vec<TcpStream> = Vec::new();
    for number in 0..100 {
        let mut stream = TcpStream::connect(operator.0).expect("connects");
        if number % 2 == 0 {
            stream.write_all(b"PUT /ops/servers/down/s").expect("sent");
        }
        silent.push(stream);
    }
    // 4 s is the interface's connection time-out: the calls must not have to wait for it.
    let started = Instant::now();
    for _ in 0..20 {
        assert_eq!(operator.call("GET", "/ops/readiness").0, 200);
    }
    assert!(
        started.elapsed().as_secs() < 4,
        "waited for the silent connections to time out"
    );
    drop(silent);
}

#[test]
fn metrics_match_what_clients_and_servers_observed() {
    let server = Listener::start();
    let (limiter, operator) = OperatorClient::start(&[target("s-1", server.address, "ready")]);
    let served = limiter.ask(&request("look", "a", "wide", 30.0));
    let mut arrived = server.next();
    operator.wait_for_metric("active", 1);
    operator.wait_for_metric("tries", 1);
    arrived.answer("200 OK", "", "");
    assert_eq!(Message::read(&served).expect("an answer").status(), 200);
    // Another customer beyond its quota: the burst of the narrow plan is half a unit.
    for number in 0..4 {
        let text = request("look", &format!("n{number}"), "narrow", 30.0);
        let answer = limiter.exchange(&text.replace("00000001b4d65521", "00000001b4d65522"));
        assert_eq!(answer.status(), 429);
    }
    // One request that may have run and must not be retried, and one whose client disconnects.
    let failed = limiter.ask(&request("pay", "p", "wide", 30.0));
    server.next().answer("500 Internal Server Error", "", "");
    assert_eq!(Message::read(&failed).expect("an answer").status(), 502);
    let disconnected = limiter.ask(&request("look", "z", "wide", 30.0));
    let abandoned = server.next();
    drop(disconnected);
    abandoned.wait_until_closed();
    operator.wait_for_metric("active", 0);
    let responses = |class: &str, result: &str| {
        operator.metric(&format!(
            "responses{{kind=\"{class}\",result=\"{result}\"}}"
        ))
    };
    assert_eq!(responses("look", "ok"), 1);
    assert_eq!(responses("look", "shed"), 4);
    assert_eq!(
        (responses("look", "errors"), responses("submit", "ok")),
        (0, 0)
    );
    assert_eq!((responses("pay", "ok"), responses("pay", "errors")), (0, 1));
    assert_eq!(operator.metric("tries"), 3);
}

#[test]
fn an_unusable_operator_address_fails_the_start_with_a_one_line_error() {
    let occupied = std::net::TcpListener::bind("127.0.0.1:0").expect("bound");
    let mut limiter = Limiter::prepare(&[]);
    for (ops, expected) in [
        (
            json!(occupied.local_addr().expect("bound").to_string()),
            "ops: cannot listen on 127.0.0.1:",
        ),
        (json!("nowhere"), "invalid socket address"),
    ] {
        limiter.config["ops"] = ops;
        let output = limiter.command().output().expect("ran");
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(
            !output.status.success() && text.contains(expected) && text.lines().count() == 1,
            "{text}"
        );
    }
    limiter
        .config
        .as_object_mut()
        .expect("an object")
        .remove("ops");
    let output = limiter
        .command()
        .env("GW_OPS", "10.0.0.4")
        .output()
        .expect("ran");
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(
        !output.status.success() && text.contains("GW_OPS '10.0.0.4'"),
        "{text}"
    );
}
