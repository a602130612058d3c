//! The real limiter against clients that send rubbish, too much, or nothing at all.
#![allow(missing_docs, reason = "a test has no public interface")]

#[path = "common/sockets.rs"]
mod sockets;

use serde_json::json;
use sockets::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Waits until the limiter ends a connection on which it has nothing to say.
fn ends(mut stream: &TcpStream) {
    let mut rest = Vec::new();
    // A reset is an end as well; what counts is that waiting is over before the time limit.
    if let Err(error) = stream.read_to_end(&mut rest) {
        assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    }
}

/// One answer on a connection that stays open.
fn is_served(mut stream: &TcpStream, server: &Listener, id: &str) {
    stream
        .write_all(request("look", id, "wide", 30.0).as_bytes())
        .expect("sent");
    server.next().answer("200 OK", "", "");
    assert_eq!(Message::read(stream).expect("an answer").status(), 200);
}

/// Whoever says nothing, or never comes to the end of a head, has to go; who had an answer may stay.
#[test]
fn silent_and_endless_heads_are_ended() {
    let server = Listener::start();
    let limiter = Limiter::start(&[target("s-1", server.address, "ready")]);
    let kept = limiter.connect();
    is_served(&kept, &server, "1");
    let half_second = limiter.connect();
    is_served(&half_second, &server, "2");
    let (silent, half) = (limiter.connect(), limiter.connect());
    let head = &request("look", "3", "wide", 30.0)[..40];
    (&half).write_all(head.as_bytes()).expect("sent");
    (&half_second).write_all(head.as_bytes()).expect("sent");
    [&silent, &half, &half_second].into_iter().for_each(ends);
    is_served(&kept, &server, "4");
    assert!(server.is_quiet());
}

/// A request written in two seconds is served, also where places are short and others have stopped half way.
#[test]
fn a_slow_request_outlasts_those_that_stopped() {
    let server = Listener::start();
    let limiter = Limiter::with(&[target("s-1", server.address, "ready")], |config| {
        config["limits"]["sockets"] = json!(96);
    });
    let text = request("look", "slow", "wide", 30.0);
    let mut slow = limiter.connect();
    // Empty lines begin no request.
    slow.write_all(b"\r\n").expect("sent");
    let mut stopped: Vec<TcpStream> = Vec::new();
    let begun = Instant::now();
    let pieces: Vec<&[u8]> = text.as_bytes().chunks(text.len() / 20 + 1).collect();
    for (number, piece) in pieces.iter().enumerate() {
        slow.write_all(piece).expect("sent");
        for _ in 0..6 {
            let mut stream = limiter.connect();
            _ = stream.write_all(b"GET /api HT");
            stopped.push(stream);
        }
        while begun.elapsed() < Duration::from_millis(100) * (number as u32 + 1) {
            std::thread::yield_now();
        }
    }
    server.next().answer("200 OK", "", "");
    assert_eq!(Message::read(&slow).expect("an answer").status(), 200);
}

/// Five thousand that connect and stay, some with half a request, at 512 descriptors: whoever asks is served meanwhile
/// and after.
#[test]
fn five_thousand_idle_connections_keep_nobody_out() {
    let server = Listener::start();
    let limiter = Limiter::with(&[target("s-1", server.address, "ready")], |config| {
        config["limits"]["sockets"] = json!(512);
    });
    let at = limiter.address;
    let crowds: Vec<_> = (0..10)
        .map(|_| {
            std::thread::spawn(move || {
                let mut crowd = Vec::new();
                for number in 0..500 {
                    let Ok(mut stream) = TcpStream::connect(at) else {
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
        is_served(&limiter.connect(), &server, &format!("meanwhile{number}"));
    }
    let crowds: Vec<TcpStream> = crowds
        .into_iter()
        .flat_map(|crowd| crowd.join().expect("connected"))
        .collect();
    assert!(crowds.len() > 4_000, "{} connected", crowds.len());
    is_served(&limiter.connect(), &server, "after");
}

/// With all places taken by silent connections, new clients are served at once.
#[test]
fn a_silent_crowd_makes_room() {
    let server = Listener::start();
    let limiter = Limiter::with(&[target("s-1", server.address, "ready")], |config| {
        config["limits"]["sockets"] = json!(96);
    });
    let kept = limiter.connect();
    is_served(&kept, &server, "1");
    let crowd: Vec<TcpStream> = (0..120).map(|_| limiter.connect()).collect();
    is_served(&limiter.connect(), &server, "2");
    is_served(&kept, &server, "3");
    drop(crowd);
}

/// Clients that ask once and keep their connection hold no places against those that have something to ask:
/// with few places left a connection ends with its first answer, and the longest idle has to go.
#[test]
fn idle_connections_make_room() {
    let server = Listener::start();
    let limiter = Limiter::with(&[target("s-1", server.address, "ready")], |config| {
        config["limits"]["sockets"] = json!(96);
    });
    let mut stayed = Vec::new();
    for number in 0..60 {
        let client = limiter.connect();
        is_served(&client, &server, &number.to_string());
        stayed.push(client);
    }
    // The first ones were kept, for as long as nobody else wants their places.
    is_served(&stayed[9], &server, "again");
    ends(&stayed[59]);
    stayed[0]
        .set_read_timeout(Some(Duration::from_millis(50)))
        .expect("set");
    let begun = Instant::now();
    while (&stayed[0]).read(&mut [0]).is_err() {
        assert!(begun.elapsed() < LONG, "the longest idle stays");
        assert!(limiter.get("/health/ready").is_some());
    }
}

/// What a client says of its deadline is no time limit for a body that does not come.
#[test]
fn half_a_body_is_an_error_in_time() {
    let server = Listener::start();
    let limiter = Limiter::start(&[target("s-1", server.address, "ready")]);
    let text = request("submit", "1", "wide", 3000.0);
    let client = limiter.ask(&text[..text.len() - 2]);
    assert_eq!(Message::read(&client).expect("an answer").status(), 408);
    ends(&client);
    assert!(server.is_quiet());
}

/// A length beside chunks may hide a second request in the first one's body: neither reaches a server.
#[test]
fn hidden_requests_are_not_read() {
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
        ends(&client);
    }
    is_served(&limiter.connect(), &server, "2");
    assert!(server.is_quiet());
}

/// An id stands for one request: the first goes on, and the id is free again once it is answered.
#[test]
fn an_open_id_is_not_taken_twice() {
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
    is_served(&first, &server, "1");
    assert!(server.is_quiet());
}
