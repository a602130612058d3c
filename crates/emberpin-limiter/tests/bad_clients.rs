//! The limiter process against clients that send malformed requests, too much, or nothing at all.
#![allow(missing_docs, reason = "a test has no public interface")]

#[path = "common/sockets.rs"]
mod sockets;

use serde_json::json;
use sockets::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Waits until the limiter closes a connection.
fn wait_until_closed(mut stream: &TcpStream) {
    let mut rest = Vec::new();
    // A reset counts as closed as well; it matters only that this happens before the read time-out.
    if let Err(error) = stream.read_to_end(&mut rest) {
        assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    }
}

/// Has the server answer a request on this connection, which stays open.
fn check_served(mut stream: &TcpStream, server: &Listener, id: &str) {
    stream
        .write_all(request("look", id, "wide", 30.0).as_bytes())
        .expect("sent");
    server.next().answer("200 OK", "", "");
    assert_eq!(Message::read(stream).expect("an answer").status(), 200);
}

/// Guards against clients that hold a connection without sending anything, or without completing a head. An idle
/// connection that has had a response stays open.
#[test]
fn connections_without_a_complete_head_are_closed() {
    let server = Listener::start();
    let limiter = Limiter::start(&[target("s-1", server.address, "ready")]);
    let idle = limiter.connect();
    check_served(&idle, &server, "1");
    let unfinished_second = limiter.connect();
    check_served(&unfinished_second, &server, "2");
    let (silent, unfinished_first) = (limiter.connect(), limiter.connect());
    let head = &request("look", "3", "wide", 30.0)[..40];
    (&unfinished_first)
        .write_all(head.as_bytes())
        .expect("sent");
    (&unfinished_second)
        .write_all(head.as_bytes())
        .expect("sent");
    [&silent, &unfinished_first, &unfinished_second]
        .into_iter()
        .for_each(wait_until_closed);
    check_served(&idle, &server, "4");
    assert!(server.is_quiet());
}

/// A request that takes two seconds to arrive is served, also when slots are scarce because other clients have stopped
/// half way.
#[test]
fn a_slow_request_is_served_among_stalled_ones() {
    let server = Listener::start();
    let limiter = Limiter::start_with(&[target("s-1", server.address, "ready")], |config| {
        config["limits"]["sockets"] = json!(96);
    });
    let text = request("look", "slow", "wide", 30.0);
    let mut slow = limiter.connect();
    // Empty lines do not begin a request.
    slow.write_all(b"\r\n").expect("sent");
    let mut stalled: Vec<TcpStream> = Vec::new();
    let started = Instant::now();
    let pieces: Vec<&[u8]> = text.as_bytes().chunks(text.len() / 20 + 1).collect();
    for (number, piece) in pieces.iter().enumerate() {
        slow.write_all(piece).expect("sent");
        for _ in 0..6 {
            let mut stream = limiter.connect();
            _ = stream.write_all(b"GET /api HT");
            stalled.push(stream);
        }
        while started.elapsed() < Duration::from_millis(100) * (number as u32 + 1) {
            std::thread::yield_now();
        }
    }
    server.next().answer("200 OK", "", "");
    assert_eq!(Message::read(&slow).expect("an answer").status(), 200);
}

/// With 512 descriptors, 5,000 clients connect and stay, a third of them with half a request. Requests of other clients
/// must be served meanwhile and afterwards.
#[test]
fn five_thousand_idle_connections_do_not_block_other_clients() {
    let server = Listener::start();
    let limiter = Limiter::start_with(&[target("s-1", server.address, "ready")], |config| {
        config["limits"]["sockets"] = json!(512);
    });
    let address = limiter.address;
    let crowds: Vec<_> = (0..10)
        .map(|_| {
            std::thread::spawn(move || {
                let mut crowd = Vec::new();
                for number in 0..500 {
                    let Ok(mut stream) = TcpStream::connect(address) else {
                        continue;
                    };
                    if number % 3 == 0 {
                        _ = stream.write_all(b"POST /api HTTP/1.1\r\nHost: s");
                    }
                    crowd.push(stream);
                }
                crowd
            })
        })
        .collect();
    for number in 0..20 {
        check_served(&limiter.connect(), &server, &format!("meanwhile{number}"));
    }
    let crowds: Vec<TcpStream> = crowds
        .into_iter()
        .flat_map(|crowd| crowd.join().expect("connected"))
        .collect();
    assert!(crowds.len() > 4_000, "{} connected", crowds.len());
    check_served(&limiter.connect(), &server, "after");
}

/// When silent connections occupy all slots, new clients are still served, and a connection that has had a response is
/// kept.
#[test]
fn silent_connections_are_closed_for_new_clients() {
    let server = Listener::start();
    let limiter = Limiter::start_with(&[target("s-1", server.address, "ready")], |config| {
        config["limits"]["sockets"] = json!(96);
    });
    let idle = limiter.connect();
    check_served(&idle, &server, "1");
    let crowd: Vec<TcpStream> = (0..120).map(|_| limiter.connect()).collect();
    check_served(&limiter.connect(), &server, "2");
    check_served(&idle, &server, "3");
    drop(crowd);
}

/// Clients that send one request and stay connected must not block others: with few free slots a connection is closed
/// after its first response, and the connection that has been idle longest is closed.
#[test]
fn idle_connections_are_closed_for_new_clients() {
    let server = Listener::start();
    let limiter = Limiter::start_with(&[target("s-1", server.address, "ready")], |config| {
        config["limits"]["sockets"] = json!(96);
    });
    let mut clients = Vec::new();
    for number in 0..60 {
        let client = limiter.connect();
        check_served(&client, &server, &number.to_string());
        clients.push(client);
    }
    // The first connections are kept while no other client needs their slots.
    check_served(&clients[9], &server, "again");
    wait_until_closed(&clients[59]);
    clients[0]
        .set_read_timeout(Some(Duration::from_millis(50)))
        .expect("set");
    let started = Instant::now();
    while (&clients[0]).read(&mut [0]).is_err() {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "the connection that has been idle longest was not closed"
        );
        assert!(limiter.get("/health/ready").is_some());
    }
}

/// The client's deadline of 3000 s must not extend the time-out for the rest of its body.
#[test]
fn an_incomplete_body_times_out_before_the_clients_deadline() {
    let server = Listener::start();
    let limiter = Limiter::start(&[target("s-1", server.address, "ready")]);
    let text = request("submit", "1", "wide", 3000.0);
    let client = limiter.ask(&text[..text.len() - 2]);
    assert_eq!(Message::read(&client).expect("an answer").status(), 408);
    wait_until_closed(&client);
    assert!(server.is_quiet());
}

/// Guards against request smuggling: a `Content-Length` beside chunked encoding may hide a second request in the body
/// of the first. Neither may reach a server.
#[test]
fn smuggled_requests_do_not_reach_a_server() {
    let server = Listener::start();
    let limiter = Limiter::start(&[target("s-1", server.address, "ready")]);
    let hidden = request("look", "hidden", "wide", 30.0);
    let body = format!("0\r\n\r\n{hidden}");
    let (length, chunked) = (
        format!("Content-Length: {}\r\n", body.len()),
        "Transfer-Encoding: chunked\r\n",
    );
    for framing in [format!("{length}{chunked}"), format!("{chunked}{length}")] {
        let text = request("submit", "1", "wide", 30.0);
        let text = text.replace(
            "Content-Length: 4\r\n\r\nbody",
            &format!("{framing}\r\n{body}"),
        );
        let client = limiter.ask(&text);
        assert_eq!(Message::read(&client).expect("an answer").status(), 400);
        wait_until_closed(&client);
    }
    check_served(&limiter.connect(), &server, "2");
    assert!(server.is_quiet());
}

/// A second request with the id of one in flight is rejected; the first continues, and the id is free again once that
/// is answered.
#[test]
fn an_id_in_flight_is_rejected() {
    let server = Listener::start();
    let limiter = Limiter::start(&[target("s-1", server.address, "ready")]);
    let first = limiter.ask(&request("look", "1", "wide", 30.0));
    let mut arrived = server.next();
    assert_eq!(
        limiter
            .exchange(&request("submit", "1", "wide", 30.0))
            .status(),
        409
    );
    arrived.answer("200 OK", "", "mine");
    assert_eq!(Message::read(&first).expect("an answer").body, b"mine");
    check_served(&first, &server, "1");
    assert!(server.is_quiet());
}
