//! The limiter against servers that send malformed responses, or extra bytes after a response.
#![allow(missing_docs, reason = "a test has no public interface")]

#[path = "common/sockets.rs"]
mod sockets;

use serde_json::{json, Value};
use sockets::*;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};

fn ready(servers: &[&Listener]) -> Vec<Value> {
    let named = servers.iter().enumerate();
    named
        .map(|(number, server)| target(&format!("s-{number}"), server.address, "ready"))
        .collect()
}

/// Waits for the next request that arrives at any of these servers.
fn next_at_any(servers: &[&Listener]) -> Message {
    loop {
        if let Some(message) = servers.iter().find_map(|server| server.poll()) {
            return message;
        }
    }
}

fn local_address(message: &Message) -> SocketAddr {
    message.stream.local_addr().expect("known")
}

fn status(client: &TcpStream) -> u16 {
    Message::read(client).expect("an answer").status()
}

/// Sends bytes from the server; the limiter may close the connection before it has read all of them.
fn send(arrived: &mut Message, text: &[u8]) {
    _ = arrived.stream.write_all(text);
}

/// A response that may be truncated or belong to another request proves nothing, and its request may have run: the
/// request fails with 502 and is not retried, no client receives the response, and its connection is closed.
#[test]
fn a_malformed_response_fails_its_request_without_a_retry() {
    let server = Listener::start();
    let limiter = Limiter::start(&ready(&[&server]));
    let padded = format!(
        "HTTP/1.1 200 OK\r\n{}",
        "X-Pad: pppppppppppppppp\r\n".repeat(20_000)
    );
    let malformed = [
        "noise \u{1}\u{2}\r\n\r\n",
        "ICY 200 OK\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: odd\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nzz\r\nok\r\n0\r\n\r\n",
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: odd\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nok",
        &padded,
    ];
    for (number, answer) in malformed.into_iter().enumerate() {
        let client = limiter.ask(&request("pay", &number.to_string(), "wide", 30.0));
        let mut arrived = server.next();
        send(&mut arrived, answer.as_bytes());
        if answer.ends_with("\r\n\r\nok") {
            // Guards against treating the end of the connection as the end of the response.
            _ = arrived.stream.shutdown(Shutdown::Write);
        }
        let answered = Message::read(&client).expect("an answer");
        assert_eq!(
            (answered.status(), answered.body.len()),
            (502, 0),
            "{answer:.80}"
        );
        arrived.wait_until_closed();
        assert!(server.is_quiet(), "{answer:.80}");
    }
}

/// One malformed response does not eject its server: the next requests are still distributed over both.
#[test]
fn a_malformed_response_does_not_eject_its_server() {
    let servers = [Listener::start(), Listener::start()];
    let both = [&servers[0], &servers[1]];
    let limiter = Limiter::start(&ready(&both));
    let client = limiter.ask(&request("pay", "1", "wide", 30.0));
    next_at_any(&both).answer("ICY", "", "");
    assert_eq!(status(&client), 502);
    let _first = limiter.ask(&request("look", "2", "wide", 30.0));
    let one = next_at_any(&both);
    let _second = limiter.ask(&request("look", "3", "wide", 30.0));
    assert_ne!(local_address(&one), local_address(&next_at_any(&both)));
}

/// Bytes after a complete response, together with it or later, belong to no request: the connection is closed, and the
/// next request receives its own response.
#[test]
fn bytes_after_a_complete_response_are_not_forwarded() {
    let server = Listener::start();
    let limiter = Limiter::start(&ready(&[&server]));
    let good = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood";
    let bad = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil";
    for number in 0..8 {
        let client = limiter.ask(&request("pay", &number.to_string(), "wide", 30.0));
        let mut arrived = server.next();
        let extra_comes_later = number % 2 == 0;
        let extra = [bad, "noise"][number / 2 % 2];
        let first = if extra_comes_later {
            good.to_string()
        } else {
            format!("{good}{extra}")
        };
        send(&mut arrived, first.as_bytes());
        let answer = Message::read(&client).expect("an answer");
        assert_eq!(
            (answer.status(), answer.body.as_slice()),
            (200, b"good".as_slice())
        );
        if extra_comes_later {
            send(&mut arrived, extra.as_bytes());
        }
        // Detected when the next request needs the connection, or earlier by the check of idle connections.
        if extra_comes_later && extra == bad {
            let client = limiter.ask(&request("pay", "next", "wide", 30.0));
            let mut next = server.next();
            assert_ne!(
                next.stream.peer_addr().expect("known"),
                arrived.stream.peer_addr().expect("known")
            );
            next.answer("200 OK", "", "own");
            assert_eq!(Message::read(&client).expect("an answer").body, b"own");
        }
        arrived.wait_until_closed();
    }
}

/// Good responses after interim 1xx responses, or with `Srv-Load` and `X-RateLimit-Used` headers that cannot be parsed.
#[test]
fn good_responses_with_unparsable_extras_are_served() {
    let server = Listener::start();
    let limiter = Limiter::start(&ready(&[&server]));
    let good =
        "HTTP/1.1 200 OK\r\nSrv-Load: \u{e9}\r\nSrv-Load: =,=,depth=x\r\nX-RateLimit-Used: {\"\r\n\
                Content-Length: 4\r\n\r\ngood";
    for interim in [
        "",
        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n",
    ] {
        let client = limiter.ask(&request("pay", "1", "wide", 30.0));
        send(&mut server.next(), format!("{interim}{good}").as_bytes());
        let answer = Message::read(&client).expect("an answer");
        assert_eq!(
            (answer.status(), answer.body.as_slice()),
            (200, b"good".as_slice())
        );
    }
}

/// Load reports use the field names of the settings: a server that reports a long queue receives no more requests.
#[test]
fn a_server_that_reports_a_long_queue_is_avoided() {
    let servers = [Listener::start(), Listener::start()];
    let both = [&servers[0], &servers[1]];
    let limiter = Limiter::start(&ready(&both));
    let client = limiter.ask(&request("look", "1", "wide", 30.0));
    let mut busy = next_at_any(&both);
    busy.answer(
        "200 OK",
        "Srv-Load: \u{e9}\r\nSrv-Load: mean_ms=3,depth=50\r\n",
        "",
    );
    assert_eq!(status(&client), 200);
    let mut clients = Vec::new();
    for number in 2..8 {
        clients.push(limiter.ask(&request("look", &number.to_string(), "wide", 30.0)));
        assert_ne!(
            local_address(&next_at_any(&both)),
            local_address(&busy),
            "request {number}"
        );
    }
}

/// When idle connections use all sockets for servers, one of them is closed for a connection to another server.
#[test]
fn an_idle_connection_is_closed_for_one_to_another_server() {
    let servers = [Listener::start(), Listener::start(), Listener::start()];
    // This limit leaves 18 sockets for connections to servers.
    let limiter = Limiter::start_with(&ready(&[&servers[0], &servers[1]]), |config| {
        config["limits"]["sockets"] = json!(64);
    });
    let start_requests = |from: usize, to: usize| {
        let clients = from..to;
        let clients =
            clients.map(|number| limiter.ask(&request("look", &number.to_string(), "wide", 30.0)));
        clients.collect::<Vec<TcpStream>>()
    };
    let clients = start_requests(0, 18);
    let arrived: Vec<Message> = clients
        .iter()
        .map(|_| next_at_any(&[&servers[0], &servers[1]]))
        .collect();
    arrived
        .into_iter()
        .for_each(|mut message| message.answer("200 OK", "", ""));
    clients
        .iter()
        .for_each(|client| assert_eq!(status(client), 200));
    drop(clients);
    let mut watch = limiter.watch();
    watch.list(42, false, &[target("s-new", servers[2].address, "ready")]);
    let all = [&servers[0], &servers[1], &servers[2]];
    let mut clients = Vec::new();
    for number in 18..36 {
        clients.extend(start_requests(number, number + 1));
        if local_address(&next_at_any(&all)) == servers[2].address {
            return;
        }
    }
    panic!("the new server receives no request");
}
