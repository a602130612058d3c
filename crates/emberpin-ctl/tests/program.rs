//! The program, against stand-ins of registries.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_ctl::status::Status;
use googletest::prelude::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::Command;
use std::sync::{Arc, Mutex};

const CONFIG: &str = r#"{"svcs":[{"name":"s","hcheck":"/h","maxconn":9,"ver":3}],"vhosts":[]}"#;

/// A registry that gives each request the next of its answers, the last one for ever. An empty one closes.
struct StandIn {
    address: String,
    asked: Arc<Mutex<Vec<String>>>,
}

impl StandIn {
    fn start(answers: &[&str]) -> StandIn {
        StandIn::on(TcpListener::bind("127.0.0.1:0").expect("a port"), answers)
    }

    fn on(listener: TcpListener, answers: &[&str]) -> StandIn {
        let address = listener.local_addr().expect("an address").to_string();
        let asked = Arc::new(Mutex::new(Vec::new()));
        let (heard, answers) = (
            asked.clone(),
            answers.iter().map(|a| (*a).to_owned()).collect::<Vec<_>>(),
        );
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.expect("a connection");
                let request = request(&stream);
                let mut heard = heard.lock().expect("no panic");
                heard.push(request.clone());
                let status = r#"{"name":"core","settled":true,"voters":["a","b","c"],"registries":[],"limiters":[{"name":"e","zone":"z","behind":2}],"instances":[{"id":"i-1","service":"s","address":"10.0.0.1:80","zone":"z","status":"up","cold_ms":5,"heard_ms":7}],"items":1,"disk":null,"clock_ms":NOW}"#;
                let answer = match &answers[(heard.len() - 1).min(answers.len() - 1)] {
                    whole if whole == "well" && request.starts_with("GET /status ") => {
                        ok(&status.replace("NOW", &now_ms().to_string()))
                    }
                    whole if whole == "well" => ok(CONFIG),
                    answer => answer.clone(),
                };
                let _ = stream.write_all(answer.as_bytes());
            }
        });
        StandIn { address, asked }
    }

    fn asked(&self) -> Vec<String> {
        self.asked.lock().expect("no panic").clone()
    }
}

fn now_ms() -> u128 {
    std::time::UNIX_EPOCH
        .elapsed()
        .expect("after 1970")
        .as_millis()
}

/// The first line of a request, and its body.
fn request(stream: &TcpStream) -> String {
    let mut lines = BufReader::new(stream);
    let (mut first, mut length) = (String::new(), 0);
    lines.read_line(&mut first).expect("a request");
    loop {
        let mut line = String::new();
        if lines.read_line(&mut line).expect("a head") <= 2 {
            break;
        }
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().expect("a length");
        }
    }
    let mut body = vec![0; length];
    lines.read_exact(&mut body).expect("a body");
    format!(
        "{} {}",
        first.trim_end().trim_end_matches(" HTTP/1.1"),
        String::from_utf8_lossy(&body)
    )
}

fn answer(status: &str, head: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\n{head}Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
}

fn ok(body: &str) -> String {
    answer("200 OK", "", body)
}

/// Code, output, complaints.
fn emberpinctl(words: &[&str]) -> (Option<i32>, String, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_emberpinctl"))
        .args(words)
        .output()
        .expect("the program");
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    (out.status.code(), text(out.stdout), text(out.stderr))
}

fn file(body: &str) -> tempfile::NamedTempFile {
    let mut file = tempfile::NamedTempFile::new().expect("a file");
    file.write_all(body.as_bytes()).expect("a body");
    file
}

#[gtest]
fn get_prints_what_stands() {
    let registry = StandIn::start(&["well"]);
    let (code, out, _) = emberpinctl(&["--at", &registry.address, "get"]);
    expect_that!((code, out), eq(&(Some(0), format!("{CONFIG}\n"))));
    expect_that!(registry.asked(), elements_are![eq("GET /config/get ")]);
}

#[gtest]
fn orders_are_sent_as_the_wire_wants_them() {
    let registry = StandIn::start(&[&ok("")]);
    let patch = r#"{"upsert": {"svcs": [{"name":"s","hcheck":"/h","maxconn":9,"ver":3}]}}"#;
    let file = file(patch);
    let path = file.path().to_str().expect("a path");
    for words in [
        &["patch", path][..],
        &["drop", "route", "r\"1", "9"],
        &["drop", "service", "s", "9"],
        &["evacuate", "umea"],
        &["return", "umea"],
    ] {
        let (code, out, err) = emberpinctl(&[&["--at", &registry.address][..], words].concat());
        expect_that!(
            (code, out.as_str(), err.as_str()),
            eq((Some(0), "acknowledged\n", "")),
            "{words:?}"
        );
    }
    expect_that!(
        registry.asked(),
        elements_are![
            eq(&format!("POST /config/patch {patch}")),
            eq(r#"POST /config/patch {"remove":{"rtab":[{"name":"r\"1","ver":9}]}}"#),
            eq(r#"POST /config/patch {"remove":{"svcs":[{"name":"s","ver":9}]}}"#),
            eq("POST /evac/umea/begin "),
            eq("POST /evac/umea/finish "),
        ]
    );
}

#[gtest]
fn a_file_that_is_wrong_is_not_sent() {
    let registry = StandIn::start(&[&ok("")]);
    let wrong = file(r#"{"upsert":{"svcs":[{"name":"s","hcheck":"/h","maxconn":9}]}}"#);
    let path = wrong.path().to_str().expect("a path");
    let (code, _, err) = emberpinctl(&["--at", &registry.address, "patch", path]);
    expect_that!(
        (code, err),
        eq(&(Some(1), format!("{path}: upsert.svcs[0].ver: is missing\n")))
    );
    let (code, _, err) = emberpinctl(&["--at", &registry.address, "patch", "no such file"]);
    expect_that!(code, some(eq(1)));
    expect_that!(err, starts_with("no such file: "));
    expect_that!(registry.asked(), is_empty());
}

#[gtest]
fn a_dry_run_checks_and_changes_nothing() {
    let registry = StandIn::start(&["well"]);
    let route = |service: &str| {
        file(&format!(
            r#"{{"upsert":{{"vhosts":[{{"hostname":"h","locs":[{{"name":"r","pfx":"/","type":"pull","timeout":"1s","target_time":"1s","prio":1,"svc":"{service}","tries":1,"ver":4}}]}}]}}}}"#
        ))
    };
    let run = |file: &tempfile::NamedTempFile, at: &[&str]| {
        emberpinctl(
            &[
                at,
                &["patch", "--dry-run", file.path().to_str().expect("a path")],
            ]
            .concat(),
        )
    };
    let at = ["--at", &registry.address];
    let (code, out, _) = run(&route("t"), &[]);
    expect_that!(
        (code, out.as_str()),
        eq((Some(0), "1 items, each of them valid\n"))
    );
    let (code, out, _) = run(&route("s"), &at);
    expect_that!(
        (code, out.as_str()),
        eq((Some(0), "1 items, 1 of them newer; valid as a whole\n"))
    );
    let (code, _, err) = run(&route("t"), &at);
    expect_that!(code, some(eq(1)));
    expect_that!(
        err,
        ends_with(": route r: names the service t, which is unknown\n")
    );
    let (code, out, _) = run(&file(&format!("{{\"upsert\":{CONFIG}}}")), &at);
    expect_that!(
        (code, out.as_str()),
        eq((Some(0), "1 items, all of them known\n"))
    );
    let older = file(&format!("{{\"upsert\":{CONFIG}}}").replace("\"ver\":3", "\"ver\":2"));
    expect_that!(run(&older, &at).0, some(eq(1)));
    for asked in registry.asked() {
        expect_that!(asked, eq("GET /config/get "));
    }
}

#[gtest]
fn another_place_is_followed_twice() {
    let moved = |to: &str| {
        answer(
            "307 Temporary Redirect",
            &format!("Location: http://{to}\r\n"),
            "",
        )
    };
    let last = StandIn::start(&[&ok("there")]);
    let second = StandIn::start(&[&moved(&format!("{}/c?d", last.address))]);
    let first = StandIn::start(&[&moved(&format!("{}/b", second.address))]);
    let (code, out, _) = emberpinctl(&["--at", &first.address, "get"]);
    expect_that!((code, out.as_str()), eq((Some(0), "there\n")));
    expect_that!(last.asked(), elements_are![eq("GET /c?d ")]);
    // A third time is not followed, but the next address is tried.
    let zeroth = StandIn::start(&[&moved(&format!("{}/a", first.address))]);
    let well = StandIn::start(&["well"]);
    let (code, out, _) = emberpinctl(&[
        "--at",
        &format!("{},{}", zeroth.address, well.address),
        "get",
    ]);
    expect_that!((code, out), eq(&(Some(0), format!("{CONFIG}\n"))));
    expect_that!((second.asked().len(), last.asked().len()), eq((2, 1)));
}

#[gtest]
fn the_next_address_is_tried_after_trouble() {
    // Nobody listens on a port that was just given back.
    let gone = TcpListener::bind("127.0.0.1:0")
        .expect("a port")
        .local_addr()
        .expect("an address")
        .to_string();
    let mute = TcpListener::bind("127.0.0.1:0").expect("a port");
    let silent = mute.local_addr().expect("an address").to_string();
    for trouble in ["500 Oh", "503 Full", "408 Slow", "429 Many"] {
        let bad = StandIn::start(&[&answer(trouble, "", "")]);
        let good = StandIn::start(&["well"]);
        let (code, _, _) =
            emberpinctl(&["--at", &format!("{},{}", bad.address, good.address), "get"]);
        expect_that!(
            (code, bad.asked().len(), good.asked().len()),
            eq((Some(0), 1, 1)),
            "{trouble}"
        );
    }
    let closes = StandIn::start(&[""]);
    let good = StandIn::start(&["well"]);
    let begun = std::time::Instant::now();
    let at = format!("{gone},{silent},{},{}", closes.address, good.address);
    expect_that!(emberpinctl(&["--at", &at, "get"]).0, some(eq(0)));
    expect_that!(begun.elapsed().as_secs_f64(), all!(ge(1.0), lt(4.0)));
}

#[gtest]
fn a_refusal_ends_the_call_and_doubt_at_the_third_time() {
    for (status, times) in [
        ("400 No", 1),
        ("409 No", 1),
        ("412 No", 1),
        ("413 No", 1),
        ("422 No", 1),
        ("404 No", 3),
    ] {
        let registry = StandIn::start(&[&answer(status, "", "why")]);
        let (code, _, err) = emberpinctl(&["--at", &registry.address, "get"]);
        let number = &status[..3];
        expect_that!(
            (code, registry.asked().len()),
            eq((Some(1), times)),
            "{status}"
        );
        expect_that!(
            err,
            eq(&format!("{} refuses: {number} why\n", registry.address))
        );
    }
}

#[gtest]
fn a_promise_to_come_again_is_never_a_refusal() {
    for status in ["408 Slow", "429 Many"] {
        let again = answer(status, "", "");
        let registry = StandIn::start(&[&again, &again, &again, &again, "well"]);
        let (code, _, _) = emberpinctl(&["--at", &registry.address, "get"]);
        expect_that!((code, registry.asked().len()), eq((Some(0), 5)), "{status}");
    }
}

#[gtest]
fn a_call_without_a_clear_answer_says_so_in_time() {
    let registry = StandIn::start(&[&answer("503 Full", "", "full")]);
    let begun = std::time::Instant::now();
    let (code, _, err) = emberpinctl(&["--at", &registry.address, "evacuate", "umea"]);
    expect_that!(code, some(eq(1)));
    expect_that!(
        err,
        starts_with("no clear answer; an order may be in force or not. Last: ")
    );
    expect_that!(begun.elapsed().as_secs_f64(), lt(6.5));
    expect_that!(registry.asked().len(), all!(ge(4), le(10)));
}

#[gtest]
fn members_prints_who_is_there() {
    let registry = StandIn::start(&["well"]);
    let (code, out, _) = emberpinctl(&["--at", &registry.address, "members"]);
    expect_that!(code, some(eq(0)));
    expect_that!(
        out,
        contains_substring(format!(
            "registry {} core: settled, 1 items, voters a b c",
            registry.address
        ))
    );
    expect_that!(out, contains_substring("  limiter e in z: 2 behind\n"));
    expect_that!(
        out,
        contains_substring(
            "  server i-1 of s at 10.0.0.1:80 in z: up, cold for 5 ms, heard 7 ms ago\n"
        )
    );
    let whole = r#"{"name":"n","settled":true,"voters":[],"registries":[],"limiters":[],"instances":[],"items":1,"disk":null,"clock_ms":3}"#;
    let unwilling = StandIn::start(&[&answer("503 Full", "", whole)]);
    let (code, _, err) = emberpinctl(&["--at", &unwilling.address, "members"]);
    expect_that!(
        (code, err),
        eq(&(
            Some(1),
            format!("registry {}: status 503\n", unwilling.address)
        ))
    );
    let broken = StandIn::start(&[&ok("{}")]);
    let (code, _, err) = emberpinctl(&["--at", &broken.address, "members"]);
    expect_that!(code, some(eq(1)));
    expect_that!(err, contains_substring("not a status: name"));
}

#[gtest]
fn doctor_asks_those_that_are_named_and_ends_with_1_if_something_ails() {
    // Three registries on one port of three addresses of this machine.
    let first = TcpListener::bind("127.0.0.1:0").expect("a port");
    let port = first.local_addr().expect("an address").port();
    let second = TcpListener::bind(("127.0.0.2", port)).expect("the same port");
    let status = |name: &str| {
        ok(&format!(
            r#"{{"name":"{name}","settled":true,"voters":["127.0.0.1","127.0.0.2","127.0.0.3"],"registries":["127.0.0.1","127.0.0.2"],"limiters":[{{"name":"e","zone":"z","behind":0}}],"instances":[{{"id":"i-1","service":"s","address":"a","zone":"z","status":"up","cold_ms":0,"heard_ms":0}}],"items":1,"disk":{{"used":1,"of":2}},"clock_ms":{}}}"#,
            now_ms()
        ))
    };
    let first = StandIn::on(first, &[&status("one"), &ok(CONFIG)]);
    let second = StandIn::on(second, &[&status("two")]);
    let (code, out, err) = emberpinctl(&["--at", &first.address, "doctor"]);
    expect_that!((code, out.as_str()), eq((Some(1), "")));
    expect_that!(
        err,
        starts_with(format!("registry 127.0.0.3:{port} gives no status: "))
    );
    expect_that!(err.lines().count(), eq(2), "{err}");
    expect_that!(err, contains_substring("\n  -> "));
    expect_that!(second.asked(), elements_are![eq("GET /status ")]);
}

#[gtest]
fn a_wrong_command_line_ends_with_2() {
    let (code, out, err) = emberpinctl(&["get"]);
    expect_that!((code, out.as_str()), eq((Some(2), "")));
    expect_that!(err, starts_with("--at is missing\n\nemberpinctl --at"));
    expect_that!(emberpinctl(&["--help"]).0, some(eq(0)));
}

#[gtest]
fn a_status_that_lacks_something_is_refused() {
    let whole = r#"{"name":"n","settled":true,"voters":["b","a"],"registries":[],"limiters":[],"instances":[],"items":1,"disk":{"used":1,"of":2},"clock_ms":3}"#;
    let read = Status::read(whole).expect("a status");
    expect_that!(
        (read.voters, read.disk),
        eq(&(vec!["a".to_owned(), "b".to_owned()], Some((1, 2))))
    );
    for (from, to, wrong) in [
        ("\"name\"", "\"nome\"", "not a status: name"),
        ("true", "1", "not a status: settled"),
        ("[\"b\",\"a\"]", "3", "not a status: voters"),
        ("\"b\"", "4", "not a status: 4 is not a text"),
        ("\"instances\":[]", "\"instances\":[{}]", "not a status: id"),
        ("\"limiters\":[]", "\"limiters\":[7]", "not a status: name"),
        ("\"of\":2", "\"of\":-2", "not a status: of"),
        (
            "\"clock_ms\":3",
            "\"clock_ms\":null",
            "not a status: clock_ms",
        ),
    ] {
        let refused = Status::read(&whole.replacen(from, to, 1)).map_err(|wrong| wrong.to_string());
        expect_that!(refused, err(eq(wrong)), "{from} -> {to}");
    }
}
