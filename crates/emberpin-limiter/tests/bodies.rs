//! Long and slow bodies over loopback, with every framing of HTTP/1.1, and failures in the middle of them.
#![allow(missing_docs, reason = "a test has no public interface")]

#[path = "common/sockets.rs"]
mod sockets;

use serde_json::json;
use sockets::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};

const LONG_BODY: usize = 3_000_000;
/// More bytes than the socket buffers of one connection over loopback hold.
const LONGER_THAN_SOCKET_BUFFERS: usize = 64 << 20;

/// A long body without repetitions, so that lost or swapped chunks are noticed.
fn long_body() -> Vec<u8> {
    (0..LONG_BODY as u32)
        .map(|n| (n.wrapping_mul(2_654_435_761) >> 13) as u8)
        .collect()
}

/// A listening socket whose connections the test reads and writes itself, and its entry of the endpoint list.
fn raw_server() -> (TcpListener, serde_json::Value) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let target = target("s-1", listener.local_addr().expect("bound"), "ready");
    (listener, target)
}

fn accept(listener: &TcpListener) -> BufReader<TcpStream> {
    let (stream, _) = listener.accept().expect("arrives");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
    BufReader::new(stream)
}

/// Reads a head.
fn read_head(from: &mut impl BufRead) -> String {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        assert!(
            from.read_line(&mut head).expect("a line") > 0,
            "ended in the head: {head}"
        );
    }
    head
}

/// Reads a body with the framing that the head states; `None` if it breaks off.
fn read_body(head: &str, from: &mut impl BufRead) -> Option<Vec<u8>> {
    let header = |name: &str| {
        let lines = head.lines().filter_map(|line| line.split_once(':'));
        lines
            .filter(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.trim().to_string())
            .next()
    };
    let mut all = Vec::new();
    if let Some(length) = header("content-length") {
        from.take(length.parse().expect("a number"))
            .read_to_end(&mut all)
            .ok()?;
        return (all.len() == length.parse::<usize>().expect("a number")).then_some(all);
    }
    if header("transfer-encoding").is_none() {
        from.read_to_end(&mut all).ok()?;
        return Some(all);
    }
    loop {
        let mut line = String::new();
        from.read_line(&mut line).ok()?;
        let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
        let mut chunk = vec![0; size + 2];
        from.read_exact(&mut chunk).ok()?;
        if size == 0 {
            return Some(all);
        }
        all.extend_from_slice(&chunk[..size]);
    }
}

/// Encodes a body in chunks of this size, without the last chunk; some chunks have an extension.
fn chunked(body: &[u8], chunk_size: usize) -> Vec<u8> {
    let mut all = Vec::new();
    for piece in body.chunks(chunk_size) {
        // The HTTP library accepts at most 16 KiB of extensions in a body.
        let extension = if all.len() % 2 == 0 && body.len() / 500 < piece.len() {
            ";name=value"
        } else {
            ""
        };
        all.extend_from_slice(format!("{:x}{extension}\r\n", piece.len()).as_bytes());
        all.extend_from_slice(piece);
        all.extend_from_slice(b"\r\n");
    }
    all
}

/// The head of an upload with these framing headers.
fn upload(id: &str, framing: &str) -> String {
    request("submit", id, "wide", 30.0).replace(
        "Content-Length: 4\r\n\r\nbody",
        &format!("{framing}\r\n\r\n"),
    )
}

#[test]
fn long_responses_arrive_complete_with_every_framing() {
    let (server, target) = raw_server();
    let limiter = Limiter::start(&[target]);
    let sent = long_body();
    let forms: [(&str, Vec<u8>, &str); 4] = [
        ("Content-Length: 3000000\r\n", sent.clone(), ""),
        (
            "Transfer-Encoding: chunked\r\n",
            chunked(&sent, 70_001),
            "0\r\n\r\n",
        ),
        (
            "Transfer-Encoding: chunked\r\n",
            chunked(&sent, 977),
            "0\r\nTrailer: after\r\n\r\n",
        ),
        ("Connection: close\r\n", sent.clone(), ""),
    ];
    for (number, (framing, bytes, end)) in forms.into_iter().enumerate() {
        let client = limiter.ask(&request("look", &format!("a{number}"), "wide", 30.0));
        let mut connection = accept(&server);
        read_head(&mut connection);
        let mut to = connection.into_inner();
        let sending = std::thread::spawn(move || {
            // An informational response first, and the head in small writes.
            let text = format!("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n{framing}\r\n");
            for piece in text.as_bytes().chunks(7) {
                to.write_all(piece).expect("written");
            }
            to.write_all(&bytes).expect("written");
            to.write_all(end.as_bytes()).expect("written");
            // Each response has its own connection, whether it could be reused or not.
            _ = to.shutdown(Shutdown::Write);
        });
        let mut client = BufReader::new(client);
        let message_head = read_head(&mut client);
        assert!(message_head.starts_with("HTTP/1.1 200"), "{message_head}");
        assert!(
            read_body(&message_head, &mut client).as_ref() == Some(&sent),
            "{number} {framing}: incomplete: {message_head}"
        );
        sending.join().expect("sent");
    }
}

#[test]
fn a_response_that_breaks_off_is_recognisably_truncated_for_its_client() {
    let (server, target) = raw_server();
    let limiter = Limiter::start(&[target]);
    let sent = &long_body()[..200_000];
    let chunks = chunked(sent, 70_001);
    let cases: [(&str, &[u8], bool); 5] = [
        ("Content-Length: 200000\r\n", &[], false),
        ("Content-Length: 200000\r\n", &sent[..199_999], false),
        ("Transfer-Encoding: chunked\r\n", &chunks[..100_000], false),
        ("Transfer-Encoding: chunked\r\n", &chunks, false),
        // Without a length, only a reset shows that the body is truncated.
        ("Connection: close\r\n", sent, true),
    ];
    for version in ["1.1", "1.0"] {
        for (number, (framing, bytes, reset)) in cases.into_iter().enumerate() {
            let text = request("look", &format!("a{version}{number}"), "wide", 30.0);
            let client = limiter.ask(&text.replace("HTTP/1.1", &format!("HTTP/{version}")));
            let mut connection = accept(&server);
            read_head(&mut connection);
            let mut to = connection.into_inner();
            to.write_all(format!("HTTP/1.1 200 OK\r\n{framing}\r\n").as_bytes())
                .expect("written");
            to.write_all(bytes).expect("written");
            let mut client = BufReader::new(client);
            let message_head = read_head(&mut client);
            assert!(message_head.contains(" 200 "), "{message_head}");
            if reset {
                socket2::SockRef::from(&to)
                    .set_linger(Some(std::time::Duration::ZERO))
                    .expect("set");
            }
            drop(to);
            assert_eq!(
                read_body(&message_head, &mut client),
                None,
                "{version} {framing}: a truncated body looked complete"
            );
        }
    }
}

#[test]
fn long_uploads_arrive_complete_with_every_framing() {
    let (server, target) = raw_server();
    let limiter = Limiter::start(&[target]);
    let sent = long_body();
    let mut chunks = chunked(&sent, 70_001);
    chunks.extend_from_slice(b"0\r\nTrailer: after\r\n\r\n");
    let small = [chunked(b"body", 1), b"0\r\n\r\n".to_vec()].concat();
    let cases: [(&str, &[u8], &[u8]); 4] = [
        ("Content-Length: 3000000", &sent, &sent),
        ("Transfer-Encoding: chunked", &chunks, &sent),
        ("Transfer-Encoding: chunked", &small, b"body"),
        (
            "Expect: 100-continue\r\nContent-Length: 3000000",
            &sent,
            &sent,
        ),
    ];
    for (number, (framing, bytes, expected)) in cases.into_iter().enumerate() {
        let client = limiter.connect();
        let mut to = client.try_clone().expect("cloned");
        to.write_all(upload(&format!("u{number}"), framing).as_bytes())
            .expect("sent");
        let mut client = BufReader::new(client);
        if framing.starts_with("Expect") {
            assert!(read_head(&mut client).starts_with("HTTP/1.1 100"));
        }
        let bytes = bytes.to_vec();
        let sending = std::thread::spawn(move || to.write_all(&bytes).expect("sent"));
        let mut connection = accept(&server);
        let message_head = read_head(&mut connection);
        assert_eq!(
            read_body(&message_head, &mut connection).expect("whole"),
            expected,
            "{framing}"
        );
        sending.join().expect("sent");
        connection
            .get_mut()
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok")
            .expect("sent");
        let message_head = read_head(&mut client);
        assert_eq!(read_body(&message_head, &mut client).expect("whole"), b"ok");
    }
}

#[test]
fn an_upload_that_its_client_aborts_does_not_count_as_sent() {
    let (server, target) = raw_server();
    let ops = free_port(&own_host());
    let limiter = Limiter::start_with(&[target], |config| config["ops"] = json!(ops.to_string()));
    let sent = long_body();
    let truncated = chunked(&sent, 70_001);
    for (number, (framing, bytes)) in [
        ("Content-Length: 3000000", &sent[..LONG_BODY - 1]),
        ("Transfer-Encoding: chunked", &truncated),
    ]
    .into_iter()
    .enumerate()
    {
        let mut client = limiter.connect();
        client
            .write_all(upload(&format!("u{number}"), framing).as_bytes())
            .expect("sent");
        let bytes = bytes.to_vec();
        let sending = std::thread::spawn(move || {
            client.write_all(&bytes).expect("sent");
            client
        });
        let mut connection = accept(&server);
        let message_head = read_head(&mut connection);
        let reading = std::thread::spawn(move || read_body(&message_head, &mut connection));
        drop(sending.join().expect("sent"));
        assert_eq!(
            reading.join().expect("read"),
            None,
            "{framing}: the truncated upload looked complete to the server"
        );
    }
    let mut stream = TcpStream::connect(ops).expect("connects");
    stream
        .write_all(b"GET /ops/stats HTTP/1.1\r\nHost: s\r\n\r\n")
        .expect("sent");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("text");
    assert!(text.contains("\napp_tries 0\n"), "{text}");
}

#[test]
fn an_upload_is_retried_only_while_no_unbuffered_chunk_was_sent() {
    let refusing = TcpListener::bind("127.0.0.1:0").expect("bound");
    let unreachable = target("s-2", refusing.local_addr().expect("bound"), "ready");
    drop(refusing);
    let (server, reachable) = raw_server();
    let limiter = Limiter::start(&[reachable, unreachable]);
    let sent = long_body();
    // Whichever server is tried first, the upload reaches the one that accepts connections.
    for number in 0..3 {
        let client = limiter.connect();
        let mut to = client.try_clone().expect("cloned");
        to.write_all(upload(&format!("u{number}"), "Content-Length: 3000000").as_bytes())
            .expect("sent");
        let bytes = sent.clone();
        let sending = std::thread::spawn(move || to.write_all(&bytes).expect("sent"));
        let mut connection = accept(&server);
        let message_head = read_head(&mut connection);
        assert_eq!(
            read_body(&message_head, &mut connection).expect("whole"),
            sent
        );
        sending.join().expect("sent");
        connection
            .get_mut()
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            .expect("sent");
        assert_eq!(Message::read(&client).expect("an answer").status(), 200);
    }
    // The server closes the connection in the middle of the upload: nothing has run, and the body cannot be sent again.
    // The response arrives although the client has not sent the whole body, which is longer than what the kernel's socket
    // buffers hold: otherwise the whole request may have left the limiter before the connection closes.
    let client = limiter.connect();
    let mut to = client.try_clone().expect("cloned");
    let framing = format!("Content-Length: {LONGER_THAN_SOCKET_BUFFERS}");
    to.write_all(upload("spent", &framing).as_bytes())
        .expect("sent");
    let sending = std::thread::spawn(move || {
        to.write_all(&vec![b'u'; LONGER_THAN_SOCKET_BUFFERS])
            .expect("sent");
    });
    let mut connection = accept(&server);
    read_head(&mut connection);
    connection
        .read_exact(&mut vec![0; 500_000])
        .expect("arrives");
    drop(connection);
    assert_eq!(Message::read(&client).expect("an answer").status(), 429);
    sending.join().expect("the rest was read");
}

#[test]
fn a_rejected_request_with_an_expectation_gets_no_100_continue() {
    let (_server, target) = raw_server();
    let limiter = Limiter::start(&[target]);
    let text =
        upload("u", "Expect: 100-continue\r\nContent-Length: 3000000").replace("wide", "gold");
    let answer = limiter.exchange(&text);
    assert_eq!(answer.status(), 400);
}

#[test]
fn two_pipelined_requests_get_a_response_each() {
    let server = Listener::start();
    let limiter = Limiter::start(&[target("s-1", server.address, "ready")]);
    let two = request("submit", "a", "wide", 30.0) + &request("look", "b", "wide", 30.0);
    let client = limiter.ask(&two);
    for (id, text) in [("a", "first"), ("b", "second")] {
        let mut arrived = server.next();
        assert_eq!(arrived.header("req-id"), Some(id));
        arrived.answer("200 OK", "", text);
        assert_eq!(
            Message::read(&client).expect("an answer").body,
            text.as_bytes()
        );
    }
}

#[test]
fn a_graceful_shutdown_during_a_long_response_is_bounded_and_visibly_truncates_it() {
    let (server, target) = raw_server();
    let mut limiter = Limiter::start_with(&[target], |config| {
        for class in 0..3 {
            config["settings"]["profiles"][class]["deadline-ms"] = json!(500.0);
        }
    });
    let client = limiter.ask(&request("look", "a", "wide", 30.0));
    let mut connection = accept(&server);
    read_head(&mut connection);
    let mut to = connection.into_inner();
    to.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 33554432\r\n\r\n")
        .expect("written");
    to.write_all(&[b'x'; 200_000]).expect("written");
    let mut client = BufReader::new(client);
    let message_head = read_head(&mut client);
    limiter.terminate();
    assert!(limiter.wait().success());
    assert_eq!(
        read_body(&message_head, &mut client),
        None,
        "a truncated body looked complete"
    );
}

#[test]
fn clients_that_do_not_read_long_responses_do_not_block_others() {
    let (server, target) = raw_server();
    let mut limiter = Limiter::start_with(&[target], |config| {
        config["limits"]["memory_mb"] = json!(48);
    });
    let (keep_serving, stopped) = std::sync::mpsc::channel::<()>();
    // Answers requests whose id begins with `big` with 32 MB, and all others with two bytes.
    let serving = std::thread::spawn(move || {
        for stream in server.incoming() {
            if stopped.try_recv() == Err(std::sync::mpsc::TryRecvError::Disconnected) {
                return;
            }
            let Ok(stream) = stream else { return };
            std::thread::spawn(move || {
                let mut from = BufReader::new(stream.try_clone().expect("cloned"));
                let mut to = stream;
                let mut line = String::new();
                while from.read_line(&mut line).is_ok_and(|read| read > 0) {
                    if !line.ends_with("\r\n\r\n") {
                        continue;
                    }
                    let size = if line.contains("req-id: big") {
                        32 << 20
                    } else {
                        2
                    };
                    line.clear();
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n");
                    if to.write_all(head.as_bytes()).is_err() {
                        return;
                    }
                    let piece = [b'x'; 65_536];
                    let mut left = size;
                    while left > 0 {
                        let Ok(written) = to.write(&piece[..left.min(piece.len())]) else {
                            return;
                        };
                        left -= written;
                    }
                }
            });
        }
    });
    let slow: Vec<TcpStream> = (0..40)
        .map(|n| limiter.ask(&request("look", &format!("big{n}"), "wide", 30.0)))
        .collect();
    for client in &slow {
        // Each response has begun, and its body stays unread.
        assert!(read_head(&mut BufReader::with_capacity(1, client)).starts_with("HTTP/1.1 200"));
    }
    for number in 0..100 {
        let answer = limiter.exchange(&request("look", &format!("small{number}"), "wide", 30.0));
        assert_eq!((answer.status(), answer.body.len()), (200, 2));
    }
    // Resident memory of the limiter, in kB, with 40 responses of 32 MB under way.
    let status = std::fs::read_to_string(format!("/proc/{}/status", limiter.pid())).expect("Linux");
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .expect("stated");
    let resident: u64 = line
        .trim()
        .trim_end_matches(" kB")
        .parse()
        .expect("a number");
    assert!(resident < 48 << 10, "{resident} kB");
    drop((slow, keep_serving));
    drop(limiter);
    drop(serving);
}

/// A server that answers before it has read the whole body, and reads on: a long answer, which is streamed, reaches the
/// client that is still sending (review/6, LOST).
#[test]
fn a_long_early_answer_reaches_a_client_that_is_still_uploading() {
    let (server, reachable) = raw_server();
    let limiter = Limiter::start(&[reachable]);
    let client = limiter.connect();
    let mut to = client.try_clone().expect("cloned");
    let framing = format!("Content-Length: {LONGER_THAN_SOCKET_BUFFERS}");
    to.write_all(upload("early", &framing).as_bytes())
        .expect("sent");
    let sending = std::thread::spawn(move || to.write_all(&vec![b'u'; LONGER_THAN_SOCKET_BUFFERS]));
    let mut connection = accept(&server);
    read_head(&mut connection);
    connection
        .read_exact(&mut vec![0; 500_000])
        .expect("arrives");
    let answer = long_body();
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG_BODY}\r\n\r\n");
    let mut writer = connection.get_ref().try_clone().expect("cloned");
    let bytes = answer.clone();
    let answering = std::thread::spawn(move || {
        writer.write_all(head.as_bytes())?;
        writer.write_all(&bytes)
    });
    let reading = std::thread::spawn(move || std::io::copy(&mut connection, &mut std::io::sink()));
    let message = Message::read(&client).expect("an answer");
    assert_eq!(message.status(), 200);
    assert!(message.body == answer, "not the server's bytes");
    answering.join().expect("no panic").expect("sent");
    sending.join().expect("no panic").expect("all was read");
    _ = reading.join();
}

/// A server that reads a long body later than the deadline allows for an answer: the time of a request counts from its last
/// byte here, however slowly its server reads (`limits_stalls` in `Upstream::exchange`).
#[test]
fn a_server_that_pauses_in_a_long_body_still_answers_it() {
    const DEADLINE_S: f64 = 2.0;
    /// Longer than the deadline.
    const PAUSE: std::time::Duration = std::time::Duration::from_secs(4);
    let (server, reachable) = raw_server();
    let limiter = Limiter::start(&[reachable]);
    let client = limiter.connect();
    let mut to = client.try_clone().expect("cloned");
    let head = request("submit", "paused", "wide", DEADLINE_S).replace(
        "Content-Length: 4\r\n\r\nbody",
        &format!("Content-Length: {LONGER_THAN_SOCKET_BUFFERS}\r\n\r\n"),
    );
    to.write_all(head.as_bytes()).expect("sent");
    let sending = std::thread::spawn(move || to.write_all(&vec![b'u'; LONGER_THAN_SOCKET_BUFFERS]));
    let mut connection = accept(&server);
    let head = read_head(&mut connection);
    std::thread::sleep(PAUSE);
    let body = read_body(&head, &mut connection).expect("the whole body");
    assert_eq!(body.len(), LONGER_THAN_SOCKET_BUFFERS);
    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    connection.get_ref().write_all(answer).expect("sent");
    assert_eq!(Message::read(&client).expect("an answer").status(), 200);
    sending.join().expect("no panic").expect("all was read");
}
