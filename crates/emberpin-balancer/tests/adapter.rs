//! The adapter as a process: lines of input are written to it, and its replies are compared.
#![allow(missing_docs, reason = "a test has no public interface")]

use serde_json::{json, Value};
use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_emberpin-balancer-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("starts");
    let mut stdin = child.stdin.take().expect("piped");
    let text = input.to_owned();
    let writer = std::thread::spawn(move || drop(stdin.write_all(text.as_bytes())));
    let output = child.wait_with_output().expect("ends");
    writer.join().expect("written");
    output
}

/// Runs the adapter, asserts that it succeeds, and returns the lines of each reply.
fn replies(input: &str) -> Vec<Vec<Value>> {
    let output = run(input);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let text = String::from_utf8(output.stdout).expect("text");
    let mut all = vec![vec![]];
    for line in text.lines() {
        let value: Value = serde_json::from_str(line).expect("JSON");
        let end = value["verb"] == "end";
        all.last_mut().expect("one").push(value);
        if end {
            all.push(vec![]);
        }
    }
    assert!(all.pop().expect("one").is_empty(), "every reply ends");
    all
}

/// Runs the adapter, asserts that it fails with one line on standard error, and returns that line.
fn error_of(input: &str) -> String {
    let output = run(input);
    assert!(
        !output.status.success(),
        "the adapter succeeded on invalid input"
    );
    for line in String::from_utf8_lossy(&output.stdout).lines() {
        assert!(
            serde_json::from_str::<Value>(line).is_ok(),
            "only replies on standard output: {line}"
        );
    }
    let text = String::from_utf8(output.stderr).expect("text");
    assert_eq!(text.lines().count(), 1, "not one line: {text}");
    assert!(!text.contains("panicked"), "{text}");
    text
}

fn clock(seq: u64, at: f64) -> Value {
    json!({"verb": "clock", "moment-ms": at, "seq": seq, "unknown-key": {"a": 1}})
}

fn init(limiter: u64) -> Value {
    json!({"verb": "init", "limiter-id": limiter, "init-seed": 5138197539985895u64, "conf": {
        "my-number": limiter, "group-size": 3, "zone": "a", "failure-domains": ["a", "b"], "kinds": ["std"],
        "profiles": [{"name": "read", "aim-ms": 400.0, "deadline-ms": 2000.0, "semantics": "safe", "worth": 3.0}],
        "plans": [{"name": "basic", "per-second": 5.0, "store-size": 30.0}],
        "bounds": {"try-limit": 3, "may-tell": true, "retry-after": true, "max-retry-after-ms": 500.0},
        "family-info": {"mail-per-s": 40.0},
        "rules": {"cold-from": 0.3, "warm-after-ms": 9000.0, "fall-multiple": 2.0, "overload-for-ms": 1000.0},
        "membership-mode": "push", "novelty": [1, 2]}})
}

fn catalog(buffer: u64, server: u64) -> Value {
    json!({"verb": "catalog", "buffer": buffer, "hosts": [
        {"zone": "a", "class-of-host": "std", "pod": 0, "scale": 1, "server": server, "condition": "in_service"}]})
}

fn update(limiter: u64, buffer: u64, form: &str) -> Value {
    json!({"verb": "directory-update", "limiter-id": limiter, "index": 1, "buffer": buffer, "form": form})
}

fn call(limiter: u64, handle: u64) -> Value {
    json!({"verb": "call", "limiter-id": limiter, "handle": handle, "service": "read", "plan": "basic",
        "customer": "u:1", "remaining-ms": 900.5, "weight": 1, "set-size": 2, "from-no": 0})
}

fn end() -> Value {
    json!({"verb": "end"})
}

fn text(lines: &[Value]) -> String {
    lines.iter().map(|line| format!("{line}\n")).collect()
}

fn verbs(reply: &[Value]) -> Vec<&str> {
    reply
        .iter()
        .map(|line| line["verb"].as_str().expect("verb"))
        .collect()
}

#[test]
fn empty_batches_are_answered_and_the_end_of_input_is_no_error() {
    let all = replies(&text(&[clock(1, 0.5), end(), clock(2, 3.0), end()]));
    assert_eq!(
        all,
        vec![
            vec![json!({"verb": "end", "seq": 1})],
            vec![json!({"verb": "end", "seq": 2})]
        ]
    );
    assert!(replies("").is_empty());
}

#[test]
fn a_call_is_sent_and_every_outcome_is_read() {
    let mut lines = vec![
        clock(1, 10.0),
        init(0),
        catalog(0, 51530247),
        update(0, 0, "remembered"),
        end(),
    ];
    let reasons = [
        "ok",
        "error",
        "full",
        "timeout",
        "connect_failed",
        "reset",
        "cancelled",
        "moot",
    ];
    for (k, reason) in reasons.iter().enumerate() {
        let handle = 4294967290 + k as u64 % 6;
        lines.extend([
            clock(2 + 2 * k as u64, 20.0 + 40.0 * k as f64),
            call(0, handle),
            end(),
        ]);
        lines.extend([
            clock(3 + 2 * k as u64, 40.0 + 40.0 * k as f64),
            json!({"verb": "resolved", "limiter-id": 0, "handle": handle, "duration-ms": 18.5, "leg": 0,
                "server": 51530247, "reason": reason, "ended": true, "quota-use": 86,
                "feedback": {"mean_ms": 14.5, "depth": 3, "odd": 1}}),
            end(),
        ]);
    }
    let all = replies(&text(&lines));
    assert_eq!(all[0][0]["verb"], "schedule");
    let send = &all[1][0];
    assert_eq!(send["verb"], "send");
    assert_eq!(send["handle"], 4294967290u64);
    assert_eq!(send["server"], 51530247);
    assert!(send["allow-for-ms"].as_f64().expect("number") <= 900.5);
    assert_eq!(all.len(), 17);
}

#[test]
fn all_other_events_are_accepted() {
    let all = replies(&text(&[
        clock(1, 10.0),
        init(0),
        catalog(3, 7),
        update(0, 3, "all"),
        call(0, 1),
        end(),
        clock(2, 20.0),
        json!({"verb": "flowing", "limiter-id": 0, "handle": 1, "leg": 0, "server": 7, "duration-ms": 3.0}),
        json!({"verb": "abandoned", "limiter-id": 0, "handle": 99}),
        json!({"verb": "pong", "limiter-id": 0, "reason": "ok", "duration-ms": 1.0, "server": 7}),
        json!({"verb": "ledger-reply", "limiter-id": 0, "slot-name": 9041552, "sum": 38, "reason": "ok"}),
        json!({"verb": "ledger-reply", "limiter-id": 0, "slot-name": 9041552, "reason": "timeout"}),
        json!({"verb": "peer-data", "limiter-id": 0, "from": 1, "octets": "aGkgNw=="}),
        json!({"verb": "directory-update", "limiter-id": 0, "form": "refused"}),
        json!({"verb": "timer", "limiter-id": 0, "label": 77}),
        end(),
        clock(3, 120.0),
        json!({"verb": "timer", "limiter-id": 0, "label": 0}),
        end(),
    ]));
    assert_eq!(verbs(&all[0]), ["schedule", "send", "end"]);
    assert_eq!(verbs(&all[1]), ["end"]);
    assert_eq!(verbs(&all[2]), ["schedule", "tell", "tell", "end"]);
}

#[test]
fn list_numbers_are_reused_in_event_order_even_within_a_batch() {
    let all = replies(&text(&[
        clock(1, 10.0),
        init(0),
        init(1),
        catalog(0, 11),
        update(0, 0, "remembered"),
        catalog(0, 22),
        update(1, 0, "remembered"),
        call(0, 1),
        call(1, 2),
        end(),
    ]));
    let sends: Vec<_> = all[0]
        .iter()
        .filter(|action| action["verb"] == "send")
        .map(|action| action["server"].clone())
        .collect();
    assert_eq!(sends, vec![json!(11), json!(22)]);
}

#[test]
fn a_halt_and_an_init_in_one_batch_start_a_new_incarnation() {
    let all = replies(&text(&[
        clock(1, 10.0),
        init(0),
        catalog(0, 11),
        update(0, 0, "remembered"),
        call(0, 1),
        end(),
        clock(2, 20.0),
        json!({"verb": "halt", "limiter-id": 0}),
        init(0),
        catalog(0, 12),
        update(0, 0, "remembered"),
        call(0, 2),
        end(),
    ]));
    let send = all[1]
        .iter()
        .find(|action| action["verb"] == "send")
        .expect("sent");
    assert_eq!(send["server"], 12);
}

#[test]
fn gateways_act_alike_in_one_process_and_in_several() {
    let script = |limiters: &[u64]| {
        let mut lines = vec![clock(1, 10.0)];
        lines.extend(limiters.iter().map(|limiter| init(*limiter)));
        lines.push(catalog(0, 11));
        lines.extend(
            limiters
                .iter()
                .map(|limiter| update(*limiter, 0, "remembered")),
        );
        for handle in 0..40 {
            lines.extend(limiters.iter().map(|limiter| call(*limiter, handle)));
        }
        lines.push(end());
        let mut all = replies(&text(&lines)).remove(0);
        all.pop();
        all
    };
    let mut separate = script(&[0]);
    separate.extend(script(&[1]));
    let mut combined = script(&[0, 1]);
    combined.sort_by_key(|action| action["limiter-id"].as_u64());
    assert_eq!(combined, separate);
}

#[test]
fn a_batch_of_megabytes_is_answered() {
    let mut lines = vec![
        clock(1, 10.0),
        init(0),
        catalog(0, 11),
        update(0, 0, "remembered"),
    ];
    lines.extend((0..20_000).map(|handle| call(0, handle)));
    lines.push(end());
    let all = replies(&text(&lines));
    assert_eq!(
        all[0]
            .iter()
            .filter(|action| action["verb"] == "send" || action["verb"] == "not-now")
            .count(),
        20_000
    );
}

#[test]
fn an_error_names_the_line_of_bad_input() {
    let open = text(&[clock(1, 10.0), init(0)]);
    for (bad, number, expected) in [
        ("{\"verb\":", 3, "EOF"),
        ("{\"verb\":\"sing\",\"limiter-id\":0}", 3, "sing"),
        ("{\"verb\":\"timer\",\"limiter-id\":0}", 3, "label"),
        (
            "{\"verb\":\"timer\",\"limiter-id\":\"x\",\"label\":1}",
            3,
            "string",
        ),
        (
            "{\"verb\":\"peer-data\",\"limiter-id\":0,\"from\":1,\"octets\":\"*\"}",
            3,
            "octets",
        ),
        ("{\"verb\":\"clock\",\"moment-ms\":1,\"seq\":2}", 3, "clock"),
        (
            "{\"verb\":\"timer\",\"limiter-id\":9,\"label\":1}",
            3,
            "limiter 9",
        ),
        (
            "{\"verb\":\"directory-update\",\"limiter-id\":0,\"buffer\":4,\"form\":\"all\"}",
            3,
            "list",
        ),
        ("", 4, "within a batch"),
    ] {
        let message = error_of(&format!("{open}{bad}\n"));
        assert!(
            message.contains(&format!("line {number}:")) && message.contains(expected),
            "{bad}: {message}"
        );
    }
    assert!(error_of("{\"verb\":\"end\"}\n").contains("line 1:"));
    let unknown = call(0, 1).to_string().replace("basic", "gold");
    assert!(error_of(&format!("{open}{unknown}\n")).contains("gold"));
}
