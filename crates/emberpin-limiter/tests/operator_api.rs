//! The operators' door over loopback: its calls, its figures, and maintenance by hand.
#![allow(missing_docs, reason = "a test has no public interface")]

#[path = "common/sockets.rs"]
mod sockets;

use serde_json::json;
use sockets::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Instant;

struct Door(SocketAddr);

impl Door {
    /// A limiter with a door.
    fn with(servers: &[serde_json::Value]) -> (Limiter, Door) {
        let mut at = None;
        let limiter = Limiter::with(servers, |config| {
            let door = free_port(&own_host());
            config["ops"] = json!(door.to_string());
            config["settings"]["rules"]["warm-after-ms"] = json!(200.0);
            at = Some(door);
        });
        (limiter, Door(at.expect("set")))
    }

    fn call(&self, method: &str, path: &str) -> (u16, String) {
        let mut stream = TcpStream::connect(self.0).expect("connects");
        stream.set_read_timeout(Some(LONG)).expect("set");
        stream
            .write_all(format!("{method} {path} HTTP/1.1\r\nHost: s\r\n\r\n").as_bytes())
            .expect("sent");
        let mut text = String::new();
        stream
            .read_to_string(&mut text)
            .expect("one call to a connection");
        let status = text
            .split(' ')
            .nth(1)
            .expect("a status")
            .parse()
            .expect("a number");
        (status, text)
    }

    fn figure(&self, name: &str) -> i64 {
        let (status, text) = self.call("GET", "/ops/stats");
        assert_eq!(status, 200);
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix(&format!("app_{name} ")));
        line.unwrap_or_else(|| panic!("no {name} in {text}"))
            .parse()
            .expect("a number")
    }

    /// Waits for a figure: those of the pool are up to half a second late.
    fn becomes(&self, name: &str, value: i64) {
        let begun = Instant::now();
        while self.figure(name) != value {
            assert!(
                begun.elapsed() < LONG,
                "{name} is {} and not {value}",
                self.figure(name)
            );
        }
    }
}

#[test]
fn calls_that_are_none_get_a_4xx_and_change_nothing() {
    let server = Listener::start();
    let (_limiter, door) = Door::with(&[target("s-1", server.address, "ready")]);
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
        assert_eq!(door.call(method, path).0, expected, "{method} {path}");
    }
    assert_eq!(door.figure("pool_ejected"), 0);
}

#[test]
fn a_ban_holds_for_an_id_that_leaves_and_returns_elsewhere_until_one_call_back() {
    let (one, other, moved) = (Listener::start(), Listener::start(), Listener::start());
    let (limiter, door) = Door::with(&[
        target("s-1", one.address, "ready"),
        target("s-2", other.address, "ready"),
    ]);
    let mut watch = limiter.watch();
    // Said twice, at once.
    assert_eq!(door.call("PUT", "/ops/servers/down/s-2").0, 200);
    assert_eq!(door.call("PUT", "/ops/servers/down/s-2").0, 200);
    let all_to_one = |from: u32| {
        for number in from..from + 6 {
            let client = limiter.ask(&request("look", &format!("r{number}"), "wide", 30.0));
            one.next().answer("200 OK", "", "");
            assert_eq!(Message::read(&client).expect("an answer").status(), 200);
        }
    };
    all_to_one(0);
    watch.list(42, false, &[target("s-2", other.address, "gone")]);
    door.becomes("pool_size", 1);
    watch.list(43, false, &[target("s-2", moved.address, "ready")]);
    door.becomes("pool_size", 2);
    door.becomes("pool_ejected", 1);
    all_to_one(10);
    assert!(other.is_quiet() && moved.is_quiet());

    assert_eq!(door.call("PUT", "/ops/servers/up/s-2").0, 200);
    assert_eq!(door.figure("pool_ejected"), 0);
    assert_eq!(door.call("PUT", "/ops/servers/down/s-1").0, 200);
    // Once it is no longer held to be cold, it gets all there is.
    let begun = Instant::now();
    for number in 100.. {
        assert!(begun.elapsed() < LONG, "never used again");
        let client = limiter.ask(&request("look", &format!("r{number}"), "wide", 30.0));
        if let Some(mut message) = moved.soon() {
            message.answer("200 OK", "", "");
            break;
        }
        assert_eq!(Message::read(&client).expect("an answer").status(), 429);
    }
    assert!(one.is_quiet() && other.is_quiet());
}

#[test]
fn a_hundred_silent_callers_keep_nobody_out() {
    let (_limiter, door) = Door::with(&[]);
    let mut silent: Vec<TcpStream> = Vec::new();
    for number in 0..100 {
        let mut stream = TcpStream::connect(door.0).expect("connects");
        if number % 2 == 0 {
            stream.write_all(b"PUT /ops/servers/down/s").expect("sent");
        }
        silent.push(stream);
    }
    // Under the door's own patience: they need not leave first.
    let begun = Instant::now();
    for _ in 0..20 {
        assert_eq!(door.call("GET", "/ops/readiness").0, 200);
    }
    assert!(
        begun.elapsed().as_secs() < 4,
        "waited for the silent ones to leave"
    );
    drop(silent);
}

#[test]
fn figures_are_what_clients_and_servers_saw() {
    let server = Listener::start();
    let (limiter, door) = Door::with(&[target("s-1", server.address, "ready")]);
    let served = limiter.ask(&request("look", "a", "wide", 30.0));
    let mut arrived = server.next();
    door.becomes("active", 1);
    door.becomes("tries", 1);
    arrived.answer("200 OK", "", "");
    assert_eq!(Message::read(&served).expect("an answer").status(), 200);
    // Another customer, beyond its quota: the narrow plan's store holds half a unit.
    for number in 0..4 {
        let text = request("look", &format!("n{number}"), "narrow", 30.0);
        let answer = limiter.exchange(&text.replace("00000001b4d65521", "00000001b4d65522"));
        assert_eq!(answer.status(), 429);
    }
    // One that may have run and must not run again, and one whose client leaves.
    let failed = limiter.ask(&request("pay", "p", "wide", 30.0));
    server.next().answer("500 Internal Server Error", "", "");
    assert_eq!(Message::read(&failed).expect("an answer").status(), 502);
    let left = limiter.ask(&request("look", "z", "wide", 30.0));
    let abandoned = server.next();
    drop(left);
    abandoned.ends();
    door.becomes("active", 0);
    let responses = |class: &str, result: &str| {
        door.figure(&format!(
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
    assert_eq!(door.figure("tries"), 3);
}

#[test]
fn an_address_that_cannot_be_had_is_one_clear_line_at_the_start() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("bound");
    let mut limiter = Limiter::prepare(&[]);
    for (ops, expected) in [
        (
            json!(taken.local_addr().expect("bound").to_string()),
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
