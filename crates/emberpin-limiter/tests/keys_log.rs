//! Keys that outlast a limiter's life, over loopback sockets: kills between single steps, lost and restored logs.
#![allow(missing_docs, reason = "a test has no public interface")]

#[path = "common/sockets.rs"]
mod sockets;

use sockets::*;
use std::collections::BTreeMap;
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::Output;

/// A limiter that recognises keys and has a log, and one server.
struct Site {
    limiter: Limiter,
    server: Listener,
    files: Vec<PathBuf>,
    folder: PathBuf,
    next: u32,
    /// What the server answers.
    answer: String,
    /// Attempts that came whole to the server, by key.
    attempts: BTreeMap<String, u32>,
}

impl Site {
    fn prepare(log: bool) -> Site {
        let server = Listener::start();
        let limiter = Limiter::prepare(&[target("s-1", server.address, "ready")]);
        let keys = limiter.file("idempotency.toml", "[idempotency]\nretention_s = 60\n");
        let folder = keys.parent().expect("a folder").join("log-n0");
        let pattern = folder.with_file_name("log-{name}");
        let table = format!("[log]\nfolder = \"{}\"\nspare_mb = 1\n", pattern.display());
        let log = log.then(|| limiter.file("log.toml", &table));
        let files = std::iter::once(keys).chain(log).collect();
        Site {
            limiter,
            server,
            files,
            folder,
            next: 0,
            answer: "signed".into(),
            attempts: BTreeMap::new(),
        }
    }

    /// With a log that was begun as an operator does it.
    fn begun() -> Site {
        let site = Site::prepare(true);
        let begun = site.say(&["log", "init"]);
        assert!(
            begun.status.success(),
            "{}",
            String::from_utf8_lossy(&begun.stderr)
        );
        site
    }

    fn command(&self) -> std::process::Command {
        let mut command = self.limiter.command();
        for file in &self.files {
            command.arg("--with").arg(file);
        }
        command
    }

    fn say(&self, arguments: &[&str]) -> Output {
        let mut command = self.command();
        command
            .args(arguments)
            .stdout(std::process::Stdio::piped())
            .output()
            .expect("runs")
    }

    fn start(&mut self) {
        let command = self.command();
        self.limiter.run_as(command);
    }

    /// The answer to work under this key, or `None` if the limiter died over it; the server serves what comes.
    fn ask(&mut self, key: &str) -> Option<Message> {
        self.next += 1;
        let text = request("submit", &format!("{}", self.next), "wide", 30.0);
        let text = text.replace(
            &format!("Idempotency-Key: k-{}", self.next),
            &format!("Idempotency-Key: {key}"),
        );
        let mut client = TcpStream::connect(self.limiter.address).ok()?;
        std::io::Write::write_all(&mut client, text.as_bytes()).ok()?;
        loop {
            if let Some(mut arrived) = self.server.poll() {
                let key = arrived
                    .header("idempotency-key")
                    .expect("a key")
                    .to_string();
                *self.attempts.entry(key).or_default() += 1;
                arrived.try_answer("200 OK", "", &self.answer);
            }
            client.set_nonblocking(true).expect("set");
            let there = match client.peek(&mut [0]) {
                Ok(0) => return None,
                Ok(_) => true,
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => false,
                Err(_) => return None,
            };
            client.set_nonblocking(false).expect("set");
            if there {
                return Message::read(&client);
            }
        }
    }

    fn status(&mut self, key: &str) -> u16 {
        self.ask(key).expect("an answer").status()
    }
}

#[test]
fn a_key_that_was_served_is_replayed_after_a_kill_and_new_work_goes_on_at_once() {
    let mut site = Site::begun();
    site.start();
    assert_eq!(site.status("first"), 200);
    // The outcome of a key is in the log once the next key's record counts there.
    assert_eq!(site.status("behind"), 200);
    site.limiter.kill();
    site.start();
    let replayed = site.ask("first").expect("an answer");
    assert_eq!(
        (replayed.status(), replayed.header("idempotency-replayed")),
        (200, Some("true"))
    );
    assert_eq!(replayed.body, b"signed");
    assert_eq!(site.status("second"), 200);
    assert_eq!(
        site.attempts.values().copied().collect::<Vec<_>>(),
        [1, 1, 1]
    );
}

/// What the log buys, seen without it: a start forgets, and nothing keyed goes on for a retention.
#[test]
fn without_a_log_or_with_one_that_nobody_began_a_start_is_quiet() {
    for log in [false, true] {
        let mut site = Site::prepare(log);
        site.start();
        assert_eq!(site.status("key"), 409);
        site.limiter.kill();
        // A second start right after does not make it whole.
        site.start();
        assert_eq!(site.status("key"), 409);
        assert!(site.attempts.is_empty());
    }
}

/// Ends the process at each point, at each of its first few times, with the next life as judge.
#[test]
fn a_kill_between_any_two_steps_signs_nothing_twice_and_loses_no_answer_that_was_given() {
    let mut died = BTreeMap::new();
    for (point, times) in [
        ("claim", 4),
        ("write", 7),
        ("fsync", 7),
        ("synced", 7),
        ("send", 2),
        ("answer", 2),
        ("store", 2),
        ("reply", 2),
    ] {
        for time in 1..=times {
            let mut site = Site::begun();
            let mut command = site.command();
            command.env("EMBERPIN_DIE_AT", format!("{point}:{time}"));
            let up = site.limiter.try_run_as(command);
            let mut served = Vec::new();
            for key in ["one", "two"] {
                if up && site.ask(key).is_some_and(|answer| answer.status() == 200) {
                    served.push(key);
                }
            }
            *died.entry(point).or_insert(0) += u32::from(served.len() < 2);
            if !site.limiter.has_exited() {
                site.limiter.kill();
            }
            site.start();
            for key in ["one", "two"] {
                let again = site.ask(key).expect("an answer");
                let ran = site.attempts.get(key).copied().unwrap_or(0);
                assert!(ran <= 1, "{point}:{time}: {key} ran {ran} times");
                // An answer that was given is given again, or what came of the key is said not to be known.
                assert!(
                    [200, 409].contains(&again.status()),
                    "{point}:{time}: {key}: {}",
                    again.status()
                );
                assert!(
                    again.status() != 200 || ran == 1,
                    "{point}:{time}: {key} was served by nobody"
                );
            }
            // Whatever was cut off, new work goes on at once.
            assert_eq!(site.status("three"), 200, "{point}:{time}");
        }
    }
    for (point, times) in died {
        assert!(times > 0, "{point} was never met while a key was under way");
    }
}

#[test]
fn a_log_that_is_put_back_to_an_earlier_state_is_found_out() {
    let mut site = Site::begun();
    site.start();
    assert_eq!(site.status("before"), 200);
    assert_eq!(site.status("behind"), 200);
    site.limiter.kill();
    let copy = site.folder.with_file_name("copy");
    copy_folder(&site.folder, &copy);
    site.start();
    assert_eq!(site.status("after"), 200);
    site.limiter.kill();
    std::fs::remove_dir_all(&site.folder).expect("removed");
    copy_folder(&copy, &site.folder);
    site.start();
    // Not known any more, and not taken for new work.
    assert_eq!(site.status("after"), 409);
    assert_eq!(site.attempts["after"], 1);
    // What the copy does know is still told.
    assert_eq!(site.status("before"), 200);
    assert_eq!(site.attempts["before"], 1);
}

fn copy_folder(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).expect("made");
    for entry in std::fs::read_dir(from).expect("a folder") {
        let entry = entry.expect("an entry");
        std::fs::copy(entry.path(), to.join(entry.file_name())).expect("copied");
    }
}

#[test]
fn a_log_is_one_limiters_alone_and_an_unusable_one_is_said_with_the_way_out() {
    let mut site = Site::begun();
    let begun = site.say(&["log", "init"]);
    assert_eq!(begun.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&begun.stderr).contains("a log is there already"));
    site.start();
    assert_eq!(site.status("key"), 200);
    let second = site.say(&["log", "init"]);
    assert!(String::from_utf8_lossy(&second.stderr).contains("another process has it open"));
    site.limiter.kill();
    let sound = site.say(&["log", "inspect", site.folder.to_str().expect("text")]);
    let shown = String::from_utf8_lossy(&sound.stdout).into_owned();
    assert!(
        sound.status.success() && shown.contains("of 'n0'") && shown.ends_with("sound\n"),
        "{shown}"
    );
    let json = site.say(&[
        "log",
        "inspect",
        "--json",
        site.folder.to_str().expect("text"),
    ]);
    let json: serde_json::Value = serde_json::from_slice(&json.stdout).expect("JSON");
    assert_eq!(json["sound"], true);
    // Another instance's.
    site.limiter.config["name"] = "n1".into();
    std::fs::rename(&site.folder, site.folder.with_file_name("log-n1")).expect("renamed");
    let command = site.command();
    assert!(!site.limiter.try_run_as(command));
    // A byte that is not what was written.
    let segment = site.folder.with_file_name("log-n1").join("0000000002.log");
    let mut bytes = std::fs::read(&segment).expect("read");
    let middle = bytes.len() - 20;
    bytes[middle] ^= 1;
    std::fs::write(&segment, bytes).expect("written");
    let damaged = site.say(&["log", "inspect", segment.to_str().expect("text")]);
    assert_eq!(damaged.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&damaged.stdout).contains("damaged at byte"));
    assert_eq!(
        site.say(&["log", "inspect", "/nonexistent"]).status.code(),
        Some(2)
    );
}

/// Work that never pauses must not keep the log from being written anew: it would fill the disk.
#[test]
fn a_log_under_steady_work_is_turned_over_and_lets_go_of_what_is_old() {
    let mut site = Site::begun();
    site.answer = "x".repeat(60_000);
    site.start();
    // The segment of this start is the second; it goes once a third stands for it.
    let (second, third) = (
        site.folder.join("0000000002.log"),
        site.folder.join("0000000003.log"),
    );
    let mut asked = 0;
    while !third.exists() || second.exists() {
        assert!(asked < 5000, "never turned over");
        assert_eq!(site.status(&format!("key-{asked}")), 200);
        asked += 1;
    }
    // What was let go of stands in the new one.
    site.limiter.kill();
    site.start();
    assert!([200, 409].contains(&site.status("key-0")));
    assert_eq!(site.attempts["key-0"], 1);
}
