//! The idempotency stage over loopback sockets, every other side played by hand.
#![allow(missing_docs, reason = "a test has no public interface")]

#[path = "common/sockets.rs"]
mod sockets;

use serde_json::Value;
use sockets::*;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::time::Instant;

/// A limiter with the stage on, one server, and this in its table beside no quiet time.
struct Site {
    limiter: Limiter,
    server: Listener,
}

impl Site {
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

    /// The answer to a client's request, every attempt at the server being answered so meanwhile.
    fn answered(&self, client: &TcpStream, status: &str, headers: &str) -> Message {
        self.met(client, |mut arrived| arrived.answer(status, headers, ""))
    }

    /// The answer to a client's request, every attempt at the server being met so meanwhile.
    fn met(&self, client: &TcpStream, meet: impl Fn(Message)) -> Message {
        loop {
            if let Some(arrived) = self.server.poll() {
                meet(arrived);
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
fn a_repeat_in_flight_waits_and_one_that_comes_later_is_replayed_byte_for_byte() {
    let site = Site::start("quiet_s = 0");
    let first = site.ask("1", "key", "image");
    let mut arrived = site.server.next();
    let repeat = site.ask("2", "\"key\"", "image");
    // The repeat is held before the first is answered: another client's request shows that it was read.
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
fn what_may_have_run_is_told_so_and_never_sent_again() {
    let site = Site::start("quiet_s = 0");
    // Neither the server's word nor its silence at the end says that nothing ran; the module tries it again in the
    // same hall, and gives up.
    let first = site.limiter.ask(&keyed("1", "key", "image", 0.4));
    assert_eq!(site.answered(&first, "500 Error", "").status(), 502);
    let repeat = site.exchange("2", "key", "image");
    assert_eq!(repeat.status(), 409);
    assert!(detail(&repeat).contains("may have run"));
    assert!(site.server.is_quiet());
}

#[test]
fn what_was_refused_is_new_work() {
    let site = Site::start("quiet_s = 0");
    let declined = "Srv-Declined: 1\r\n";
    let refused = site.answered(&site.ask("1", "key", "image"), "503 Busy", declined);
    assert_eq!(refused.status(), 429);
    // The module may let the server rest for a while; whoever is let on in the end is no repeat.
    let served = (2..100)
        .map(|id| site.answered(&site.ask(&id.to_string(), "key", "image"), "200 OK", ""))
        .find(|answer| answer.status() != 429)
        .expect("let on");
    assert_eq!(
        (served.status(), served.header("idempotency-replayed")),
        (200, None)
    );
}

#[test]
fn a_waiter_whose_patience_ends_is_answered_alone_and_the_first_goes_on() {
    let site = Site::start("quiet_s = 0");
    let first = site.ask("1", "key", "image");
    let mut arrived = site.server.next();
    let began = Instant::now();
    let waiter = site.limiter.exchange(&keyed("2", "key", "image", 0.2));
    assert_eq!(waiter.status(), 504);
    assert!(began.elapsed() < LONG / 2);
    assert!(detail(&waiter).contains("still out"));
    arrived.answer("200 OK", "", "done");
    assert_eq!(Message::read(&first).expect("an answer").status(), 200);
}

#[test]
fn a_first_whose_client_leaves_goes_on_for_its_repeats() {
    let site = Site::start("quiet_s = 0");
    let first = site.ask("1", "key", "image");
    let mut arrived = site.server.next();
    let repeat = site.ask("2", "key", "image");
    first.shutdown(Shutdown::Both).expect("left");
    // Read after the leaving: the driver has heard of it if it hears of it at all.
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
    let mut held = Vec::new();
    for batch in 0..20 {
        let mut client = site.limiter.connect();
        for number in 0..50 {
            let text = keyed(&format!("{batch}-{number}"), "key", "image", 30.0);
            client.write_all(text.as_bytes()).expect("sent");
            if held.len() < 20 {
                // One that waits keeps its connection.
                held.push(std::mem::replace(&mut client, site.limiter.connect()));
                continue;
            }
            let answer = Message::read(&client).expect("an answer");
            assert_eq!(answer.status(), 409);
            conflicts += 1;
        }
    }
    assert_eq!((held.len(), conflicts), (20, 980));
    arrived.answer("200 OK", "", "done");
    assert_eq!(Message::read(&first).expect("an answer").status(), 200);
    for waiter in held {
        assert_eq!(Message::read(&waiter).expect("an answer").body, b"done");
    }
    assert!(site.server.is_quiet());
}

/// Both are written before anything is read; whichever is taken first is the first.
#[test]
fn a_repeat_that_races_its_first_makes_one_attempt() {
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

/// Answers as large as they may be, more of them than there is room for: the oldest give way, their keys do not.
#[test]
fn answers_of_64_kib_beyond_the_tables_size_give_way_and_nothing_is_sent_again() {
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
                    "the oldest gave way"
                );
            }
        }
    }
    assert!((10..16).contains(&kept), "{kept} of 40 in 1 MiB");
    assert!(site.server.is_quiet());
}

/// What the server's bytes do not say beyond doubt is no answer, and nothing that is replayed.
#[test]
fn a_spoilt_answer_is_not_replayed_and_its_key_not_sent_again() {
    let site = Site::start("quiet_s = 0");
    for (number, spoilt) in ["garbage\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nno length"]
        .iter()
        .enumerate()
    {
        let first = site.limiter.ask(&keyed(
            &format!("{number}"),
            &format!("key-{number}"),
            "image",
            0.4,
        ));
        let answer = site.met(&first, |mut arrived| {
            arrived.stream.write_all(spoilt.as_bytes()).expect("sent");
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

/// What passes in pieces has no fingerprint: it must not go round the stage, where a repeat would run again.
#[test]
fn a_keyed_body_too_long_to_be_held_is_refused_and_not_sent() {
    let site = Site::start("quiet_s = 0");
    let long = "x".repeat(200_000);
    let text = keyed("1", "k", "body", 30.0).replace(
        "Content-Length: 4\r\n\r\nbody",
        "Content-Length: 200000\r\n\r\n",
    );
    let mut client = site.limiter.connect();
    client.write_all(text.as_bytes()).expect("sent");
    // The answer may come before all of it was taken.
    _ = client.write_all(long.as_bytes());
    assert_eq!(Message::read(&client).expect("an answer").status(), 413);
    assert!(site.server.is_quiet());
}

#[test]
fn where_the_operator_wants_a_conflict_a_repeat_is_told_at_once() {
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
fn soon_after_a_start_keyed_work_is_told_that_it_may_have_run_and_safe_work_is_served() {
    let site = Site::start("quiet_s = 3600");
    for (id, what) in [("1", "just started"), ("2", "may have run")] {
        let told = site.exchange(id, "key", "image");
        assert_eq!((told.status(), told.header("retry-after")), (409, None));
        assert!(detail(&told).contains(what));
    }
    let look = site.limiter.ask(&request("look", "3", "wide", 30.0));
    site.server.next().answer("200 OK", "", "seen");
    assert_eq!(Message::read(&look).expect("an answer").status(), 200);
    assert!(site.server.is_quiet());
}

#[test]
fn a_full_table_refuses_with_an_honest_time_and_forgets_nothing() {
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

/// Of the two limiters of a customer's set one owns its keys; the other sends nothing and says so.
#[test]
fn a_customers_keys_belong_to_one_limiter_of_its_set() {
    let mut server = Listener::start();
    let mut statuses = Vec::new();
    for me in 0..2 {
        let mut limiter = Limiter::prepare(&[target("s-1", server.address, "ready")]);
        limiter.config["settings"]["my-number"] = me.into();
        let file = limiter.file("idempotency.toml", "[idempotency]\nquiet_s = 0\n");
        let mut command = limiter.command();
        command.arg("--with").arg(file);
        limiter.run_as(command);
        let text = keyed("1", "key", "image", 30.0).replace("spread=1", "spread=2");
        let client = limiter.ask(&text);
        // Whoever owns the key sends it on; the other has answered by then or never will.
        let site = Site { limiter, server };
        statuses.push(site.answered(&client, "200 OK", "").status());
        server = site.server;
    }
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 421]);
}

/// Off, a repeat is a request like any other.
#[test]
fn without_the_file_nothing_is_recognised() {
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
