//! Keys that outlive a limiter's process because of its log, over loopback sockets: kills between single steps, and
//! lost or restored logs.
#![allow(missing_docs, reason = "a test has no public interface")]

#[path = "common/sockets.rs"]
mod sockets;

use sockets::*;
use std::collections::BTreeMap;
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::Output;

/// A limiter with the idempotency stage, with or without a log, and one server.
struct Site {
    limiter: Limiter,
    server: Listener,
    files: Vec<PathBuf>,
    folder: PathBuf,
    /// Id of the last request.
    last_request: u32,
    /// The body of the server's responses.
    answer: String,
    /// Number of complete attempts that arrived at the server, by key.
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
            last_request: 0,
            answer: "signed".into(),
            attempts: BTreeMap::new(),
        }
    }

    /// Prepares a limiter with a log that was created by `log init`, as an operator does it.
    fn with_created_log() -> Site {
        let site = Site::prepare(true);
        let created = site.run(&["log", "init"]);
        assert!(
            created.status.success(),
            "{}",
            String::from_utf8_lossy(&created.stderr)
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

    /// Runs the program with these arguments and the limiter's operator files.
    fn run(&self, arguments: &[&str]) -> Output {
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

    /// Sends a request with this key, while the server serves every attempt. Returns the response, or `None` if the
    /// limiter crashed meanwhile.
    fn ask(&mut self, key: &str) -> Option<Message> {
        self.last_request += 1;
        let text = request("submit", &format!("{}", self.last_request), "wide", 30.0);
        let text = text.replace(
            &format!("Idempotency-Key: k-{}", self.last_request),
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
            let has_answer = match client.peek(&mut [0]) {
                Ok(0) => return None,
                Ok(_) => true,
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => false,
                Err(_) => return None,
            };
            client.set_nonblocking(false).expect("set");
            if has_answer {
                return Message::read(&client);
            }
        }
    }

    fn status(&mut self, key: &str) -> u16 {
        self.ask(key).expect("an answer").status()
    }
}

#[test]
fn after_a_kill_a_served_key_is_replayed_and_new_keys_are_served_at_once() {
    let mut site = Site::with_created_log();
    site.start();
    assert_eq!(site.status("first"), 200);
    // The outcome of a key is in the log once the next key's record is durable.
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

/// Without the log, a start loses all keys, and no keyed request is forwarded for a retention period.
#[test]
fn without_a_log_or_with_one_that_was_never_created_keyed_requests_are_rejected() {
    for log in [false, true] {
        let mut site = Site::prepare(log);
        site.start();
        assert_eq!(site.status("key"), 409);
        site.limiter.kill();
        // A second start right after the first does not end that period.
        site.start();
        assert_eq!(site.status("key"), 409);
        assert!(site.attempts.is_empty());
    }
}

/// Crashes the process at each crash point, each of the first few times that it is reached, and checks the keys after a
/// restart.
#[test]
fn a_crash_between_any_two_steps_runs_no_key_twice_and_loses_no_answer() {
    let mut crashes = BTreeMap::new();
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
            let mut site = Site::with_created_log();
            let mut command = site.command();
            command.env("EMBERPIN_DIE_AT", format!("{point}:{time}"));
            let up = site.limiter.try_run_as(command);
            let mut served = Vec::new();
            for key in ["one", "two"] {
                if up && site.ask(key).is_some_and(|answer| answer.status() == 200) {
                    served.push(key);
                }
            }
            *crashes.entry(point).or_insert(0) += u32::from(served.len() < 2);
            if !site.limiter.has_exited() {
                site.limiter.kill();
            }
            site.start();
            for key in ["one", "two"] {
                let again = site.ask(key).expect("an answer");
                let ran = site.attempts.get(key).copied().unwrap_or(0);
                assert!(ran <= 1, "{point}:{time}: {key} ran {ran} times");
                // The answer is replayed, or the response says that the outcome of the key is unknown.
                assert!(
                    [200, 409].contains(&again.status()),
                    "{point}:{time}: {key}: {}",
                    again.status()
                );
                assert!(
                    again.status() != 200 || ran == 1,
                    "{point}:{time}: {key} was answered without an attempt"
                );
            }
            // New keys are served at once, whichever record is incomplete.
            assert_eq!(site.status("three"), 200, "{point}:{time}");
        }
    }
    for (point, times) in crashes {
        assert!(
            times > 0,
            "{point} was never reached while a request was in flight"
        );
    }
}

#[test]
fn a_log_restored_to_an_earlier_state_is_detected() {
    let mut site = Site::with_created_log();
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
    // The key is no longer known, and not treated as new.
    assert_eq!(site.status("after"), 409);
    assert_eq!(site.attempts["after"], 1);
    // A key that the copy contains is still replayed.
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
fn a_log_belongs_to_one_process_and_one_instance_and_damage_is_reported() {
    let mut site = Site::with_created_log();
    let created = site.run(&["log", "init"]);
    assert_eq!(created.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&created.stderr).contains("a log is there already"));
    site.start();
    assert_eq!(site.status("key"), 200);
    let second = site.run(&["log", "init"]);
    assert!(String::from_utf8_lossy(&second.stderr).contains("another process has it open"));
    site.limiter.kill();
    let sound = site.run(&["log", "inspect", site.folder.to_str().expect("text")]);
    let shown = String::from_utf8_lossy(&sound.stdout).into_owned();
    assert!(
        sound.status.success() && shown.contains("of 'n0'") && shown.ends_with("sound\n"),
        "{shown}"
    );
    let json = site.run(&[
        "log",
        "inspect",
        "--json",
        site.folder.to_str().expect("text"),
    ]);
    let json: serde_json::Value = serde_json::from_slice(&json.stdout).expect("JSON");
    assert_eq!(json["sound"], true);
    // A log of another instance is rejected.
    site.limiter.config["name"] = "n1".into();
    std::fs::rename(&site.folder, site.folder.with_file_name("log-n1")).expect("renamed");
    let command = site.command();
    assert!(!site.limiter.try_run_as(command));
    // A flipped bit is detected.
    let segment = site.folder.with_file_name("log-n1").join("0000000002.log");
    let mut bytes = std::fs::read(&segment).expect("read");
    let middle = bytes.len() - 20;
    bytes[middle] ^= 1;
    std::fs::write(&segment, bytes).expect("written");
    let damaged = site.run(&["log", "inspect", segment.to_str().expect("text")]);
    assert_eq!(damaged.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&damaged.stdout).contains("damaged at byte"));
    assert_eq!(
        site.run(&["log", "inspect", "/nonexistent"]).status.code(),
        Some(2)
    );
}

/// Continuous load must not prevent the log's compaction: the log would fill the disk.
#[test]
fn under_steady_load_the_log_is_compacted_and_old_segments_are_removed() {
    let mut site = Site::with_created_log();
    site.answer = "x".repeat(60_000);
    site.start();
    // The segment of this start is the second; it is removed once its entries were rewritten to a third.
    let (second, third) = (
        site.folder.join("0000000002.log"),
        site.folder.join("0000000003.log"),
    );
    let mut requests = 0;
    while !third.exists() || second.exists() {
        assert!(requests < 5000, "never compacted");
        assert_eq!(site.status(&format!("key-{requests}")), 200);
        requests += 1;
    }
    // The entries of the removed segment are in the new one.
    site.limiter.kill();
    site.start();
    assert!([200, 409].contains(&site.status("key-0")));
    assert_eq!(site.attempts["key-0"], 1);
}
