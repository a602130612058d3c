//! The idempotency stage over loopback sockets; the test acts as the clients and the servers.
#![allow(missing_docs, reason = "a test has no public interface")]

#[path = "common/sockets.rs"]
mod sockets;

use serde_json::Value;
use sockets::*;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::time::Instant;

/// A limiter with the idempotency stage enabled, and one server.
struct Site {
    limiter: Limiter,
    server: Listener,
}

impl Site {
    /// `table` is the content of the operator file's table `[idempotency]`.
    fn start(table: &str) -> Site {
        let server = Listener::start();
        let mut limiter = Limiter::prepare(&[target("s-1", server.address, "ready")]);
        let file = limiter.file("idempotency.toml", &format!("[idempotency]\n{table}"));
        let mut command = limiter.command();
        command.arg("--with").arg(file);
        limiter.run_as(command);
        Site { limiter, server }
    }

    fn ask(&self, id: &str, key: &str, body: &str) -> TcpStream {
        self.limiter.ask(&keyed(id, key, body, 30.0))
    }

    fn exchange(&self, id: &str, key: &str, body: &str) -> Message {
        Message::read(&self.ask(id, key, body)).expect("an answer")
    }

    /// Waits for the response to a client's request, while the server answers every attempt with this status.
    fn response_with_server_status(
        &self,
        client: &TcpStream,
        status: &str,
        headers: &str,
    ) -> Message {
        self.response_with_server(client, |mut arrived| arrived.answer(status, headers, ""))
    }

    /// Waits for the response to a client's request, while `on_attempt` handles every attempt at the server.
    fn response_with_server(&self, client: &TcpStream, on_attempt: impl Fn(Message)) -> Message {
        loop {
            if let Some(arrived) = self.server.poll() {
                on_attempt(arrived);
            }
            client.set_nonblocking(true).expect("set");
            let answered = client.peek(&mut [0]).is_ok();
            client.set_nonblocking(false).expect("set");
            if answered {
                return Message::read(client).expect("an answer");
            }
        }
    }
}

fn keyed(id: &str, key: &str, body: &str, deadline: f64) -> String {
    let text = request("submit", id, "wide", deadline);
    let text = text.replace(
        &format!("Idempotency-Key: k-{id}"),
        &format!("Idempotency-Key: {key}"),
    );
    text.replace(
        "Content-Length: 4\r\n\r\nbody",
        &format!("Content-Length: {}\r\n\r\n{body}", body.len()),
    )
}

fn detail(message: &Message) -> String {
    assert_eq!(
        message.header("content-type"),
        Some("application/problem+json")
    );
    let problem: Value = serde_json::from_slice(&message.body).expect("a problem document");
    assert_eq!(problem["status"], message.status());
    problem["detail"].as_str().expect("a detail").to_string()
}

#[test]
fn a_repeat_in_flight_waits_and_a_later_one_receives_the_same_bytes() {
    let site = Site::start("quiet_s = 0");
    let first = site.ask("1", "key", "image");
    let mut arrived = site.server.next();
    let repeat = site.ask("2", "\"key\"", "image");
    // The repeat waits before the first request is answered: another client's request shows that it was read.
    let other = site.limiter.ask(&request("look", "9", "wide", 30.0));
    site.server.next().answer("200 OK", "", "seen");
    assert_eq!(Message::read(&other).expect("an answer").status(), 200);
    arrived.answer(
        "200 OK",
        "Content-Type: text/signed\r\n",
        "signed\u{0}\u{1}",
    );
    let own = Message::read(&first).expect("an answer");
    let waited = Message::read(&repeat).expect("an answer");
    let later = site.exchange("3", "key", "image");
    for (message, replayed) in [
        (&own, None),
        (&waited, Some("true")),
        (&later, Some("true")),
    ] {
        assert_eq!(
            (message.status(), message.body.as_slice()),
            (200, "signed\u{0}\u{1}".as_bytes())
        );
        assert_eq!(message.header("content-type"), Some("text/signed"));
        assert_eq!(message.header("idempotency-replayed"), replayed);
    }
    assert!(site.server.is_quiet(), "one attempt in all");
}

#[test]
fn another_body_under_the_key_is_a_mismatch_and_a_malformed_key_a_bad_request() {
    let site = Site::start("quiet_s = 0");
    let first = site.ask("1", "key", "image");
    let mut arrived = site.server.next();
    let mismatch = site.exchange("2", "key", "imagf");
    assert_eq!(mismatch.status(), 422);
    assert!(detail(&mismatch).contains("another request"));
    arrived.answer("200 OK", "", "a");
    assert_eq!(Message::read(&first).expect("an answer").status(), 200);
    assert_eq!(site.exchange("3", "key", "imagf").status(), 422);
    let malformed = site.exchange("4", "\"open", "image");
    assert_eq!(malformed.status(), 400);
    assert!(detail(&malformed).contains("double quotes"));
    let missing = keyed("5", "key", "image", 30.0).replace("Idempotency-Key", "Other");
    assert_eq!(site.limiter.exchange(&missing).status(), 400);
    assert!(site.server.is_quiet());
}

#[test]
fn a_key_that_may_have_run_is_reported_and_never_sent_again() {
    let site = Site::start("quiet_s = 0");
    // Neither the server's error nor its later silence proves that nothing ran. The decision module retries within the
    // same server group, and then fails the request.
    let first = site.limiter.ask(&keyed("1", "key", "image", 0.4));
    assert_eq!(
        site.response_with_server_status(&first, "500 Error", "")
            .status(),
        502
    );
    let repeat = site.exchange("2", "key", "image");
    assert_eq!(repeat.status(), 409);
    assert!(detail(&repeat).contains("may have run"));
    assert!(site.server.is_quiet());
}

#[test]
fn a_key_whose_request_was_rejected_can_be_used_again() {
    let site = Site::start("quiet_s = 0");
    let declined = "Srv-Declined: 1\r\n";
    let refused =
        site.response_with_server_status(&site.ask("1", "key", "image"), "503 Busy", declined);
    assert_eq!(refused.status(), 429);
    // The decision module may avoid the server for a while; the request that is forwarded in the end is not a repeat.
    let served = (2..100)
        .map(|id| {
            site.response_with_server_status(
                &site.ask(&id.to_string(), "key", "image"),
                "200 OK",
                "",
            )
        })
        .find(|answer| answer.status() != 429)
        .expect("forwarded");
    assert_eq!(
        (served.status(), served.header("idempotency-replayed")),
        (200, None)
    );
}

#[test]
fn a_repeat_that_times_out_is_answered_and_the_first_request_continues() {
    let site = Site::start("quiet_s = 0");
    let first = site.ask("1", "key", "image");
    let mut arrived = site.server.next();
    let started = Instant::now();
    let waiter = site.limiter.exchange(&keyed("2", "key", "image", 0.2));
    assert_eq!(waiter.status(), 504);
    assert!(started.elapsed() < WAIT_TIMEOUT / 2);
    assert!(detail(&waiter).contains("still out"));
    arrived.answer("200 OK", "", "done");
    assert_eq!(Message::read(&first).expect("an answer").status(), 200);
}

#[test]
fn a_first_request_whose_client_disconnects_continues_for_its_repeats() {
    let site = Site::start("quiet_s = 0");
    let first = site.ask("1", "key", "image");
    let mut arrived = site.server.next();
    let repeat = site.ask("2", "key", "image");
    first.shutdown(Shutdown::Both).expect("left");
    // This exchange begins after the disconnection: once it is answered, the limiter would have cancelled the first
    // request if it did so on a disconnection.
    assert_eq!(
        site.limiter
            .get("/health/ready")
            .expect("an answer")
            .status(),
        200
    );
    let other = site.limiter.ask(&request("look", "9", "wide", 30.0));
    site.server.next().answer("200 OK", "", "seen");
    assert_eq!(Message::read(&other).expect("an answer").status(), 200);
    arrived.answer("200 OK", "", "done");
    let waited = Message::read(&repeat).expect("an answer");
    assert_eq!(
        (waited.status(), waited.body.as_slice()),
        (200, b"done".as_slice())
    );
    assert!(site.server.is_quiet());
}

#[test]
fn a_thousand_repeats_of_one_key_make_one_attempt() {
    let site = Site::start("quiet_s = 0\nwaiters_per_key = 20\nwaiters_per_customer = 20");
    let first = site.ask("first", "key", "image");
    let mut arrived = site.server.next();
    let mut conflicts = 0;
    let mut waiting = Vec::new();
    for batch in 0..20 {
        let mut client = site.limiter.connect();
        for number in 0..50 {
            let text = keyed(&format!("{batch}-{number}"), "key", "image", 30.0);
            client.write_all(text.as_bytes()).expect("sent");
            if waiting.len() < 20 {
                // A repeat that waits keeps its connection.
                waiting.push(std::mem::replace(&mut client, site.limiter.connect()));
                continue;
            }
            let answer = Message::read(&client).expect("an answer");
            assert_eq!(answer.status(), 409);
            conflicts += 1;
        }
    }
    assert_eq!((waiting.len(), conflicts), (20, 980));
    arrived.answer("200 OK", "", "done");
    assert_eq!(Message::read(&first).expect("an answer").status(), 200);
    for waiter in waiting {
        assert_eq!(Message::read(&waiter).expect("an answer").body, b"done");
    }
    assert!(site.server.is_quiet());
}

/// Both requests are sent before any response is read; the limiter treats the one that it reads first as the first.
#[test]
fn two_concurrent_requests_of_one_key_make_one_attempt() {
    let site = Site::start("quiet_s = 0");
    for round in 0..50 {
        let (mut one, mut other) = (site.limiter.connect(), site.limiter.connect());
        let text = |id: &str| {
            keyed(
                &format!("{round}-{id}"),
                &format!("key-{round}"),
                "image",
                30.0,
            )
        };
        one.write_all(text("a").as_bytes()).expect("sent");
        other.write_all(text("b").as_bytes()).expect("sent");
        site.server.next().answer("200 OK", "", "done");
        let answers = [
            Message::read(&one).expect("an answer"),
            Message::read(&other).expect("an answer"),
        ];
        assert!(answers
            .iter()
            .all(|answer| answer.status() == 200 && answer.body == b"done"));
        let replayed = answers
            .iter()
            .filter(|answer| answer.header("idempotency-replayed").is_some());
        assert_eq!(replayed.count(), 1, "round {round}");
        assert!(site.server.is_quiet());
    }
}

/// More answers of the maximum size than fit into the byte limit: the oldest answers are evicted, but not their keys.
#[test]
fn answers_beyond_the_byte_limit_are_evicted_and_nothing_is_sent_again() {
    let site = Site::start("quiet_s = 0\nanswers_mb = 1\ncustomer_share = 1.0");
    let large = "a".repeat(64 * 1024);
    for number in 0..40 {
        let client = site.ask(&format!("{number}"), &format!("key-{number}"), "image");
        site.server.next().answer("200 OK", "", &large);
        assert_eq!(
            Message::read(&client).expect("an answer").body.len(),
            large.len()
        );
    }
    let mut kept = 0;
    for number in 0..40 {
        let repeat = site.exchange(
            &format!("again-{number}"),
            &format!("key-{number}"),
            "image",
        );
        match repeat.status() {
            200 => {
                assert_eq!(repeat.body, large.as_bytes());
                kept += 1;
            }
            status => {
                assert_eq!(status, 409);
                assert!(
                    detail(&repeat).contains("not kept") && kept == 0,
                    "the oldest answers were evicted"
                );
            }
        }
    }
    assert!((10..16).contains(&kept), "{kept} of 40 in 1 MiB");
    assert!(site.server.is_quiet());
}

/// A response that is malformed or may be truncated is not an answer, and is not replayed.
#[test]
fn a_malformed_response_is_not_replayed_and_its_key_not_sent_again() {
    let site = Site::start("quiet_s = 0");
    for (number, malformed) in ["garbage\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nno length"]
        .iter()
        .enumerate()
    {
        let first = site.limiter.ask(&keyed(
            &format!("{number}"),
            &format!("key-{number}"),
            "image",
            0.4,
        ));
        let answer = site.response_with_server(&first, |mut arrived| {
            arrived
                .stream
                .write_all(malformed.as_bytes())
                .expect("sent");
            arrived.stream.shutdown(Shutdown::Both).expect("closed");
        });
        assert_eq!(answer.status(), 502);
        let repeat = site.exchange(
            &format!("again-{number}"),
            &format!("key-{number}"),
            "image",
        );
        assert_eq!(repeat.status(), 409);
        assert!(detail(&repeat).contains("may have run"));
    }
    assert!(site.server.is_quiet());
}

/// A streamed body has no fingerprint. Such a request must not bypass the stage, as a repeat of it would run again.
#[test]
fn a_keyed_body_too_long_to_buffer_is_rejected_and_not_sent() {
    let site = Site::start("quiet_s = 0");
    let long = "x".repeat(200_000);
    let text = keyed("1", "k", "body", 30.0).replace(
        "Content-Length: 4\r\n\r\nbody",
        "Content-Length: 200000\r\n\r\n",
    );
    let mut client = site.limiter.connect();
    client.write_all(text.as_bytes()).expect("sent");
    // The response may arrive before the whole body was accepted.
    _ = client.write_all(long.as_bytes());
    assert_eq!(Message::read(&client).expect("an answer").status(), 413);
    assert!(site.server.is_quiet());
}

#[test]
fn with_repeats_set_to_conflict_a_repeat_is_answered_at_once() {
    let site = Site::start("quiet_s = 0\nrepeats = \"conflict\"");
    let first = site.ask("1", "key", "image");
    let mut arrived = site.server.next();
    let repeat = site.exchange("2", "key", "image");
    assert_eq!(repeat.status(), 409);
    assert!(detail(&repeat).contains("in flight"));
    arrived.answer("200 OK", "", "done");
    assert_eq!(Message::read(&first).expect("an answer").status(), 200);
}

#[test]
fn after_a_start_keyed_requests_may_have_run_and_safe_requests_are_served() {
    let site = Site::start("quiet_s = 3600");
    for (id, reason) in [("1", "just started"), ("2", "may have run")] {
        let response = site.exchange(id, "key", "image");
        assert_eq!(
            (response.status(), response.header("retry-after")),
            (409, None)
        );
        assert!(detail(&response).contains(reason));
    }
    let look = site.limiter.ask(&request("look", "3", "wide", 30.0));
    site.server.next().answer("200 OK", "", "seen");
    assert_eq!(Message::read(&look).expect("an answer").status(), 200);
    assert!(site.server.is_quiet());
}

#[test]
fn a_full_table_rejects_with_the_true_retry_time_and_evicts_no_key() {
    let site = Site::start("quiet_s = 0\nentries = 2\ncustomer_share = 1.0\nretention_s = 3000");
    for (id, key) in [("1", "a"), ("2", "b")] {
        let client = site.ask(id, key, "image");
        site.server.next().answer("200 OK", "", key);
        assert_eq!(Message::read(&client).expect("an answer").status(), 200);
    }
    let refused = site.exchange("3", "c", "image");
    assert_eq!(refused.status(), 503);
    let wait: f64 = refused
        .header("retry-after")
        .expect("advice")
        .parse()
        .expect("seconds");
    assert!(wait > 2900.0 && wait <= 3000.0, "{wait}");
    assert_eq!(site.exchange("4", "a", "image").body, b"a");
    assert!(site.server.is_quiet());
}

/// Of the two limiters of a customer's set, one owns its keys; the other sends nothing and answers 421.
#[test]
fn a_customers_keys_belong_to_one_limiter_of_its_set() {
    let mut server = Listener::start();
    let mut statuses = Vec::new();
    for number in 0..2 {
        let mut limiter = Limiter::prepare(&[target("s-1", server.address, "ready")]);
        limiter.config["settings"]["my-number"] = number.into();
        let file = limiter.file("idempotency.toml", "[idempotency]\nquiet_s = 0\n");
        let mut command = limiter.command();
        command.arg("--with").arg(file);
        limiter.run_as(command);
        let text = keyed("1", "key", "image", 30.0).replace("spread=1", "spread=2");
        let client = limiter.ask(&text);
        // The owner forwards the request to the server; the other limiter answers without an attempt.
        let site = Site { limiter, server };
        statuses.push(
            site.response_with_server_status(&client, "200 OK", "")
                .status(),
        );
        server = site.server;
    }
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 421]);
}

/// With the stage off, a repeat is a request like any other.
#[test]
fn without_the_operator_file_keys_are_not_recognised() {
    let server = Listener::start();
    let limiter = Limiter::start(&[target("s-1", server.address, "ready")]);
    for id in ["1", "2"] {
        let client = limiter.ask(&keyed(id, "key", "image", 30.0));
        server.next().answer("200 OK", "", "done");
        let answer = Message::read(&client).expect("an answer");
        assert_eq!(
            (answer.status(), answer.header("idempotency-replayed")),
            (200, None)
        );
    }
}
