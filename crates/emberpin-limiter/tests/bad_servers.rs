//! The real limiter against servers whose answers are spoilt, or bring more than belongs to them.
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

/// The next message that comes to any of these.
fn any(servers: &[&Listener]) -> Message {
    loop {
        if let Some(message) = servers.iter().find_map(|server| server.poll()) {
            return message;
        }
    }
}

fn local(message: &Message) -> SocketAddr {
    message.stream.local_addr().expect("known")
}

fn status(client: &TcpStream) -> u16 {
    Message::read(client).expect("an answer").status()
}

/// Sends what a server may send, whether or not the limiter takes all of it.
fn send(arrived: &mut Message, text: &[u8]) {
    _ = arrived.stream.write_all(text);
}

/// An answer that cannot be told from a cut or mixed up one may have run: it is failed, not repeated, nobody
/// is served with it, and its connection carries nothing more.
#[test]
fn a_spoilt_answer_is_a_failure_that_may_have_run() {
    let server = Listener::start();
    let limiter = Limiter::start(&ready(&[&server]));
    let padded = format!(
        "HTTP/1.1 200 OK\r\n{}",
        "X-Pad: pppppppppppppppp\r\n".repeat(20_000)
    );
    let spoilt = [
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
    for (number, answer) in spoilt.into_iter().enumerate() {
        let client = limiter.ask(&request("pay", &number.to_string(), "wide", 30.0));
        let mut arrived = server.next();
        send(&mut arrived, answer.as_bytes());
        if answer.ends_with("\r\n\r\nok") {
            // Guards against the end of the connection passing for the end of the answer.
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

/// One spoilt answer does not put a server out of favour: the next requests are still shared.
#[test]
fn a_spoilt_answer_does_not_eject_its_server() {
    let servers = [Listener::start(), Listener::start()];
    let both = [&servers[0], &servers[1]];
    let limiter = Limiter::start(&ready(&both));
    let client = limiter.ask(&request("pay", "1", "wide", 30.0));
    any(&both).answer("ICY", "", "");
    assert_eq!(status(&client), 502);
    let _first = limiter.ask(&request("look", "2", "wide", 30.0));
    let one = any(&both);
    let _second = limiter.ask(&request("look", "3", "wide", 30.0));
    assert_ne!(local(&one), local(&any(&both)));
}

/// What follows a good answer, with it or later, is nobody's: the connection is given up and the next request
/// has its own answer.
#[test]
fn bytes_behind_a_good_answer_are_not_passed_on() {
    let server = Listener::start();
    let limiter = Limiter::start(&ready(&[&server]));
    let good = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood";
    let bad = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil";
    for number in 0..8 {
        let client = limiter.ask(&request("pay", &number.to_string(), "wide", 30.0));
        let mut arrived = server.next();
        let late = number % 2 == 0;
        let behind = [bad, "noise"][number / 2 % 2];
        let first = if late {
            good.to_string()
        } else {
            format!("{good}{behind}")
        };
        send(&mut arrived, first.as_bytes());
        let answer = Message::read(&client).expect("an answer");
        assert_eq!(
            (answer.status(), answer.body.as_slice()),
            (200, b"good".as_slice())
        );
        if late {
            send(&mut arrived, behind.as_bytes());
        }
        // Found out by the next request that wants the connection, or without any.
        if late && behind == bad {
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

/// Good answers with 1xx ahead, or with reports and figures that cannot be read.
#[test]
fn odd_but_good_answers_are_served() {
    let server = Listener::start();
    let limiter = Limiter::start(&ready(&[&server]));
    let good =
        "HTTP/1.1 200 OK\r\nSrv-Load: \u{e9}\r\nSrv-Load: =,=,depth=x\r\nX-RateLimit-Used: {\"\r\n\
                Content-Length: 4\r\n\r\ngood";
    for ahead in [
        "",
        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n",
    ] {
        let client = limiter.ask(&request("pay", "1", "wide", 30.0));
        send(&mut server.next(), format!("{ahead}{good}").as_bytes());
        let answer = Message::read(&client).expect("an answer");
        assert_eq!(
            (answer.status(), answer.body.as_slice()),
            (200, b"good".as_slice())
        );
    }
}

/// Load reports bear the names of the settings: a server that tells of a long queue is left alone.
#[test]
fn load_reports_are_heeded() {
    let servers = [Listener::start(), Listener::start()];
    let both = [&servers[0], &servers[1]];
    let limiter = Limiter::start(&ready(&both));
    let client = limiter.ask(&request("look", "1", "wide", 30.0));
    let mut busy = any(&both);
    busy.answer(
        "200 OK",
        "Srv-Load: \u{e9}\r\nSrv-Load: mean_ms=3,depth=50\r\n",
        "",
    );
    assert_eq!(status(&client), 200);
    let mut held = Vec::new();
    for number in 2..8 {
        held.push(limiter.ask(&request("look", &number.to_string(), "wide", 30.0)));
        assert_ne!(local(&any(&both)), local(&busy), "request {number}");
    }
}

/// With all sockets for servers taken by idle connections, one of them gives way to another server's.
#[test]
fn an_idle_connection_gives_way_to_another_server() {
    let servers = [Listener::start(), Listener::start(), Listener::start()];
    // 18 sockets for servers.
    let limiter = Limiter::start_with(&ready(&[&servers[0], &servers[1]]), |config| {
        config["limits"]["sockets"] = json!(64);
    });
    let hold = |from: usize, to: usize| {
        let held = from..to;
        let held =
            held.map(|number| limiter.ask(&request("look", &number.to_string(), "wide", 30.0)));
        held.collect::<Vec<TcpStream>>()
    };
    let clients = hold(0, 18);
    let arrived: Vec<Message> = clients
        .iter()
        .map(|_| any(&[&servers[0], &servers[1]]))
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
        clients.extend(hold(number, number + 1));
        if local(&any(&all)) == servers[2].address {
            return;
        }
    }
    panic!("the new server gets nothing");
}
