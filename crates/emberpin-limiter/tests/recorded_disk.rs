//! Compatibility with files that an earlier build wrote: the records of keys in the log, and the snapshot of the
//! endpoint list. A limiter of the present build is started on them.
#![allow(missing_docs, reason = "a test has no public interface")]

#[path = "../../emberpin-peering/tests/common/recording.rs"]
mod recording;
#[path = "common/sockets.rs"]
mod sockets;

use emberpin_idempotency::{KeyStatus, Record};
use emberpin_startup::snapshot;
use emberpin_wal::{Files, Header, Identity, Log, Scanned};
use recording::{hex, recorded_bytes, recorded_lines, Recorded};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use sockets::*;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Instant, SystemTime};

/// A record of the log. The limiter's own type is private, so the test has this copy.
#[derive(Debug, Serialize, Deserialize)]
enum Entry {
    Secret([u8; 32]),
    Quiet(f64),
    Key(Record<Answer>),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Answer {
    Served {
        content_type: Option<Vec<u8>>,
        body: Vec<u8>,
    },
    Refused {
        retry_after: f64,
    },
    Failed,
}

/// Only one site exists at a time: a process that another test starts would hold the lock of a log that this one has
/// open, from its fork to its exec.
static SITE_LOCK: Mutex<()> = Mutex::new(());

/// A limiter with an operator file, and its one server.
struct Site {
    limiter: Limiter,
    server: Listener,
    operator: PathBuf,
    folder: PathBuf,
    /// Released after all other fields are dropped.
    _site_lock: MutexGuard<'static, ()>,
}

impl Site {
    /// `operator` returns the operator file's text for the folder in which the limiter stores its files.
    fn prepare(operator: impl Fn(&Path) -> String) -> Site {
        let site_lock = SITE_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        let server = Listener::start();
        let limiter = Limiter::prepare(&[target("s-1", server.address, "ready")]);
        let operator_file = limiter.file("operator.toml", "");
        let folder = operator_file.with_file_name("kept-n0");
        std::fs::write(&operator_file, operator(&folder)).expect("written");
        Site {
            limiter,
            server,
            operator: operator_file,
            folder,
            _site_lock: site_lock,
        }
    }

    fn with_log() -> Site {
        let operator = |folder: &Path| {
            format!(
                "[idempotency]\nretention_s = 60\n[log]\nfolder = \"{}\"\n",
                pattern(folder)
            )
        };
        Site::prepare(operator)
    }

    fn with_snapshot() -> Site {
        let operator = |folder: &Path| {
            format!(
                "[start]\nsite = \"t\"\nsnapshot = \"{}\"\n",
                pattern(folder)
            )
        };
        Site::prepare(operator)
    }

    fn command(&self) -> std::process::Command {
        let mut command = self.limiter.command();
        command.arg("--with").arg(&self.operator);
        command
    }

    fn start(&mut self) {
        let command = self.command();
        self.limiter.run_as(command);
    }

    fn init_log(&self) {
        assert!(self
            .command()
            .args(["log", "init"])
            .status()
            .expect("runs")
            .success());
    }

    /// Sends a request with this key, which the server serves. Returns the response.
    fn served(&self, key: &str) -> Message {
        let client = self.limiter.ask(&keyed(key));
        self.server
            .next()
            .answer("200 OK", "Content-Type: text/plain\r\n", "signed");
        Message::read(&client).expect("an answer")
    }

    /// Sends a request with this key, which must not reach the server. Returns the response.
    fn answered_without_server(&self, key: &str) -> Message {
        let answer = self.limiter.exchange(&keyed(key));
        assert!(self.server.is_quiet(), "nothing was sent");
        answer
    }
}

fn pattern(folder: &Path) -> String {
    folder.with_file_name("kept-{name}").display().to_string()
}

fn keyed(key: &str) -> String {
    request("submit", "1", "wide", 30.0)
        .replace("Idempotency-Key: k-1", &format!("Idempotency-Key: {key}"))
}

/// The payloads of all records in a log's folder, in order.
fn payloads(folder: &Path) -> Vec<Vec<u8>> {
    let entries = std::fs::read_dir(folder)
        .expect("a folder")
        .map(|entry| entry.expect("an entry").path());
    let mut segments: Vec<PathBuf> = entries.filter(|path| path.extension().is_some()).collect();
    segments.sort();
    segments
        .iter()
        .flat_map(|path| payloads_of(&std::fs::read(path).expect("read")))
        .collect()
}

fn payloads_of(segment: &[u8]) -> Vec<Vec<u8>> {
    let (_, mut scanner) = Header::decode(segment).expect("a header");
    scanner.feed(&segment[scanner.at() as usize..]);
    std::iter::from_fn(|| scanner.scan())
        .map(|scanned| match scanned {
            Scanned::Record { payload, .. } => payload,
            Scanned::Damaged(damage) => panic!("{damage:?}"),
        })
        .collect()
}

fn decode(payload: &[u8]) -> Entry {
    postcard::from_bytes(payload).expect("an entry")
}

/// The records of a process that served one key and was killed while it had a request of another in flight.
fn write_keys() -> Vec<Recorded> {
    let mut site = Site::with_log();
    site.init_log();
    site.start();
    assert_eq!(site.served("first").status(), 200);
    let _client = site.limiter.ask(&keyed("second"));
    let _in_flight = site.server.next();
    site.limiter.kill();
    named(payloads(&site.folder))
}

/// Records with names made of their position and kind.
fn named(payloads: Vec<Vec<u8>>) -> Vec<Recorded> {
    let name = |payload: &[u8]| match decode(payload) {
        Entry::Secret(_) => "secret".to_string(),
        Entry::Quiet(_) => "quiet".to_string(),
        Entry::Key(record) => record.key.as_str().to_string(),
    };
    (1..)
        .zip(payloads)
        .map(|(position, payload)| (format!("{position}-{}", name(&payload)), payload))
        .collect()
}

/// The records of a process that found no log although one is configured.
fn write_quiet() -> Vec<Recorded> {
    let mut site = Site::with_log();
    site.start();
    site.limiter.kill();
    named(payloads(&site.folder))
}

fn recorded_keys() -> Vec<Recorded> {
    recorded_lines("log-keys.txt", write_keys)
}

fn recorded_quiet() -> Vec<Recorded> {
    recorded_lines("log-quiet.txt", write_quiet)
}

/// A limiter, not started yet, whose log contains these records, written in an earlier boot of the machine.
fn with_records(records: &[Recorded]) -> Site {
    let site = Site::with_log();
    let identity = Identity {
        instance: "n0".into(),
        boot: [1; 16],
        new_log_id: [9; 16],
    };
    let mut folder = Files::lock(&site.folder).expect("taken");
    Log::initialize(&mut folder, &identity).expect("begun");
    let (mut log, recovery) = Log::open(folder, &identity, |_| {}).expect("open");
    assert_eq!(recovery.lost, None);
    let payloads: Vec<&[u8]> = records
        .iter()
        .map(|(_, payload)| payload.as_slice())
        .collect();
    log.write(&payloads, true).expect("written");
    site
}

#[test]
fn every_recorded_log_record_is_encoded_to_the_same_bytes() {
    for (name, payload) in recorded_keys().into_iter().chain(recorded_quiet()) {
        let again = postcard::to_allocvec(&decode(&payload)).expect("encoded");
        assert_eq!(hex(&again), hex(&payload), "{name}");
    }
}

#[test]
fn recorded_keys_are_claimed_before_they_are_served() {
    let records: Vec<(String, KeyStatus<Answer>)> = recorded_keys()
        .iter()
        .filter_map(|(_, payload)| match decode(payload) {
            Entry::Key(record) => Some((record.key.as_str().to_string(), record.status)),
            Entry::Secret(_) | Entry::Quiet(_) => None,
        })
        .collect();
    let answer = Answer::Served {
        content_type: Some(b"text/plain".to_vec()),
        body: b"signed".to_vec(),
    };
    let expected = [
        ("first".to_string(), KeyStatus::Claimed),
        ("first".to_string(), KeyStatus::Served(Some(answer))),
        ("second".to_string(), KeyStatus::Claimed),
    ];
    assert_eq!(records, expected);
}

/// The record of the served key.
fn served(records: &[Recorded]) -> Record<Answer> {
    let is_served = |(_, payload): &Recorded| match decode(payload) {
        Entry::Key(record) => {
            Some(record).filter(|record| matches!(record.status, KeyStatus::Served(_)))
        }
        Entry::Secret(_) | Entry::Quiet(_) => None,
    };
    records.iter().find_map(is_served).expect("a served key")
}

/// The time and the fingerprint are not compared, as they differ in each run.
#[test]
fn a_served_keys_record_equals_the_recorded_one() {
    let (recorded, written) = (served(&recorded_keys()), served(&write_keys()));
    assert_eq!(
        Record {
            at: recorded.at,
            fingerprint: recorded.fingerprint,
            ..written
        },
        recorded
    );
}

#[test]
fn a_limiter_replays_a_key_of_the_recorded_log() {
    let mut site = with_records(&recorded_keys());
    site.start();
    let replayed = site.answered_without_server("first");
    assert_eq!(
        (replayed.status(), replayed.header("idempotency-replayed")),
        (200, Some("true"))
    );
    assert_eq!(replayed.header("content-type"), Some("text/plain"));
    assert_eq!(replayed.body, b"signed");
}

#[test]
fn a_limiter_knows_that_a_claimed_key_of_the_recorded_log_may_have_run() {
    let mut site = with_records(&recorded_keys());
    site.start();
    assert_eq!(site.answered_without_server("second").status(), 409);
    assert_eq!(
        site.served("new").status(),
        200,
        "new keys are served at once"
    );
}

/// With another secret than the recorded one, every repeat would have another fingerprint than its first request.
#[test]
fn a_limiter_uses_the_secret_of_the_recorded_log() {
    let records = recorded_keys();
    let mut site = with_records(&records);
    site.start();
    let other = keyed("first").replace("\r\n\r\nbody", "\r\n\r\nelse");
    assert_eq!(site.limiter.exchange(&other).status(), 422);
    site.limiter.kill();
    // The last secret is the limiter's own record: it writes the secret at its start.
    let secret = |payload: &Vec<u8>| matches!(decode(payload), Entry::Secret(_));
    let written = payloads(&site.folder)
        .into_iter()
        .rfind(secret)
        .expect("a secret");
    assert_eq!(
        hex(&written),
        hex(&records[0].1),
        "it writes the secret as it was recorded"
    );
}

#[test]
fn a_limiter_rejects_unknown_keys_while_the_recorded_log_requires_it() {
    let mut site = with_records(&recorded_quiet());
    site.start();
    assert_eq!(site.answered_without_server("new").status(), 409);
}

/// The snapshot of a limiter that received one endpoint from its discovery service.
fn write_list(site: &mut Site) -> Vec<u8> {
    site.start();
    let mut watch = site.limiter.watch();
    watch.list(42, true, &[target("s-1", site.server.address, "ready")]);
    let path = site.folder.join("list");
    let started = Instant::now();
    while !path.exists() {
        assert!(started.elapsed() < WAIT_TIMEOUT, "never saved");
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    std::fs::read(&path).expect("read")
}

/// The header and the entries of a snapshot of any age.
fn open_list(bytes: &[u8]) -> (snapshot::SnapshotHeader, String) {
    let any_age = std::time::Duration::MAX;
    let (header, entries) =
        snapshot::decode(bytes, "t/n0", SystemTime::now(), any_age).expect("a snapshot");
    (header, String::from_utf8(entries.to_vec()).expect("text"))
}

/// The entries with this address in place of the one endpoint's own.
fn with_address(entries: &str, address: &str) -> String {
    let list: Value = serde_json::from_str(entries).expect("JSON");
    entries.replace(list[0]["endpoint"].as_str().expect("an endpoint"), address)
}

fn recorded_list() -> (snapshot::SnapshotHeader, String) {
    open_list(&recorded_bytes("kept-list", || {
        write_list(&mut Site::with_snapshot())
    }))
}

#[test]
fn a_limiter_starts_from_the_recorded_endpoint_list() {
    let (header, entries) = recorded_list();
    assert_eq!((header.owner.as_str(), header.revision), ("t/n0", 42));
    let mut site = Site::with_snapshot();
    let entries = with_address(&entries, &site.server.address.to_string());
    let fresh = snapshot::SnapshotHeader {
        written_at: SystemTime::now(),
        ..header
    };
    std::fs::create_dir_all(&site.folder).expect("made");
    std::fs::write(
        site.folder.join("list"),
        snapshot::encode(&fresh, entries.as_bytes()),
    )
    .expect("written");
    site.limiter.config["known"]["targets"] = Value::Array(Vec::new());
    site.start();
    assert_eq!(site.served("any").status(), 200);
}

#[test]
fn a_saved_endpoint_list_equals_the_recorded_one() {
    let (_, recorded) = recorded_list();
    let (_, written) = open_list(&write_list(&mut Site::with_snapshot()));
    assert_eq!(with_address(&written, "-"), with_address(&recorded, "-"));
}
