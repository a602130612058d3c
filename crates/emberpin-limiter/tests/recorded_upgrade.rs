//! What a limiter's process gives the next one, and what both tell each other, as an earlier build wrote it. The test
//! plays the other process at the meeting point of a limiter of today's build.
#![allow(missing_docs, reason = "a test has no public interface")]

#[path = "../../emberpin-peering/tests/common/recording.rs"]
mod recording;
#[path = "common/sockets.rs"]
mod sockets;

use emberpin_balancer::{Handover, Usage};
use emberpin_upgrade::frame::{self, HEADER_LEN, HELLO_LEN};
use recording::{hex, lines, Recorded};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use sockets::*;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// What the older process gives, as this test reads it; the limiter's own type is private to it.
#[derive(Serialize, Deserialize)]
struct State {
    clock: f64,
    rev: u64,
    targets: Vec<u8>,
    names: Vec<String>,
    gateway: Handover,
}

/// What both tell each other, likewise.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum Shared {
    Spent(Usage),
    Order { server: String, out: bool },
    Held(Held),
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Held {
    clients: usize,
    servers: usize,
}

/// A limiter that an upgrade may be made of, and its two servers.
struct Site {
    limiter: Limiter,
    listener: TcpListener,
    ops: SocketAddr,
    servers: [Listener; 2],
    folder: PathBuf,
}

impl Drop for Site {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Site {
    fn prepare() -> Site {
        let servers = [Listener::start(), Listener::start()];
        let listed = [
            target("s-1", servers[0].address, "ready"),
            target("s-2", servers[1].address, "ready"),
        ];
        let mut limiter = Limiter::prepare(&listed);
        // Taken once and kept: a port that is only looked up may be another's by now.
        let listener = TcpListener::bind((limiter.address.ip(), 0)).expect("bound");
        limiter.address = listener.local_addr().expect("bound");
        limiter.config["listen"] = json!(limiter.address.to_string());
        let ops = free_port(&own_host());
        limiter.config["ops"] = json!(ops.to_string());
        let folder =
            std::env::temp_dir().join(format!("emberpin-recorded-{}", limiter.address.port()));
        std::fs::create_dir_all(&folder).expect("made");
        Site {
            limiter,
            listener,
            ops,
            servers,
            folder,
        }
    }

    fn meeting_point(&self) -> PathBuf {
        self.folder.join("emberpin.handover")
    }

    /// A command that has the listening socket as descriptor 5.
    fn command(&self) -> Command {
        let config = self
            .limiter
            .file("upgraded.json", &self.limiter.config.to_string());
        let mut command = Command::new("sh");
        command.args([
            "-c",
            "exec 5<&0 0</dev/null; exec \"$0\"",
            env!("CARGO_BIN_EXE_emberpin"),
        ]);
        let socket: OwnedFd = self.listener.try_clone().expect("cloned").into();
        command.stdin(Stdio::from(socket)).env("GW_CONFIG", config);
        command
            .env("GW_PASSED_SOCKET", "5")
            .env("TMPDIR", &self.folder);
        command.stderr(File::create(self.log_file()).expect("made"));
        command
    }

    fn log_file(&self) -> PathBuf {
        self.folder.join("stderr")
    }

    fn log(&self) -> String {
        std::fs::read_to_string(self.log_file()).expect("text")
    }

    /// Waits until the process has logged this.
    fn says(&self, what: &str) {
        let begun = Instant::now();
        while !self.log().contains(what) {
            assert!(begun.elapsed() < LONG, "never said: {what}");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn start(&mut self) {
        let command = self.command();
        self.limiter.run_as(command);
    }

    /// Says to an operator's address what is to be done.
    fn order(&self, path: &str) {
        let mut stream = TcpStream::connect(self.ops).expect("connects");
        stream
            .write_all(format!("PUT {path} HTTP/1.1\r\nHost: s\r\n\r\n").as_bytes())
            .expect("sent");
        let answer = Message::read(&stream).expect("an answer");
        assert_eq!(answer.status(), 200);
    }

    /// Has the first server serve a request.
    fn served_by_first(&self, id: &str) {
        let client = self.limiter.ask(&request("look", id, "wide", 30.0));
        self.servers[0].next().answer("200 OK", "", "");
        assert_eq!(Message::read(&client).expect("an answer").status(), 200);
    }

    /// Comes to a running process as the next one; the frame that it gives first.
    fn come_as_next(&self) -> (UnixStream, Vec<u8>) {
        let mut stream = UnixStream::connect(self.meeting_point()).expect("met");
        stream.set_read_timeout(Some(LONG)).expect("set");
        stream.write_all(&frame::encode_hello()).expect("said");
        let state = read_frame(&mut stream);
        (stream, state)
    }

    /// Starts a process that finds the test in the older one's place, and gets this frame there.
    fn start_after(&mut self, state: &[u8]) -> UnixStream {
        let meeting = UnixListener::bind(self.meeting_point()).expect("bound");
        let state = state.to_vec();
        let giving = std::thread::spawn(move || {
            let (mut stream, _) = meeting.accept().expect("comes");
            let mut hello = [0; HELLO_LEN];
            stream.read_exact(&mut hello).expect("a hello");
            assert_eq!(frame::check_hello(&hello), Ok(()));
            stream.write_all(&state).expect("a state");
            stream
        });
        self.start();
        let stream = giving.join().expect("a state");
        stream.set_read_timeout(Some(LONG)).expect("set");
        stream
    }
}

fn read_frame(stream: &mut UnixStream) -> Vec<u8> {
    let mut head = [0; HEADER_LEN];
    stream.read_exact(&mut head).expect("a head");
    let mut body = vec![0; frame::body_len(&head).expect("short enough")];
    stream.read_exact(&mut body).expect("a body");
    [head.to_vec(), body].concat()
}

fn decode(bytes: &[u8]) -> frame::Message<Shared> {
    let (head, body) = bytes.split_first_chunk::<HEADER_LEN>().expect("a head");
    frame::decode(head, body).expect("a note")
}

fn encode(shared: Shared) -> Vec<u8> {
    frame::encode(&frame::Message::Update(shared)).expect("encoded")
}

/// The next frame that tells something else than how many connections are held.
fn next_told(stream: &mut UnixStream) -> Vec<u8> {
    loop {
        let bytes = read_frame(stream);
        if !matches!(decode(&bytes), frame::Message::Update(Shared::Held(_))) {
            return bytes;
        }
    }
}

/// Handed over by a process that served two requests and has its second server out of service by hand.
fn write_state() -> Vec<u8> {
    let mut site = Site::prepare();
    site.start();
    site.order("/ops/servers/down/s-2");
    site.served_by_first("a");
    site.served_by_first("b");
    site.come_as_next().1
}

fn recorded_state() -> Vec<u8> {
    lines("state.txt", || vec![("state".into(), write_state())])
        .remove(0)
        .1
}

/// Told by a process to the next one: an order by hand, a request let in, and its connections.
fn write_told() -> Vec<Recorded> {
    let mut site = Site::prepare();
    site.start();
    let (mut stream, _) = site.come_as_next();
    let held = read_frame(&mut stream);
    assert!(matches!(
        decode(&held),
        frame::Message::Update(Shared::Held(_))
    ));
    site.order("/ops/servers/down/s-2");
    let order = next_told(&mut stream);
    site.served_by_first("a");
    let spent = next_told(&mut stream);
    vec![
        ("held".into(), held),
        ("order".into(), order),
        ("spent".into(), spent),
    ]
}

fn recorded_told(name: &str) -> Vec<u8> {
    let recorded = lines("told.txt", write_told);
    recorded
        .into_iter()
        .find(|(found, _)| found == name)
        .expect("recorded")
        .1
}

#[test]
fn what_is_handed_over_is_read_and_written_as_it_was_recorded() {
    let recorded = recorded_state();
    let frame::Message::State(body) = decode(&recorded) else {
        panic!("no state")
    };
    let state: State = postcard::from_bytes(&body).expect("a state");
    assert_eq!(
        (state.rev, state.names.as_slice()),
        (41, ["s-1".to_string(), "s-2".to_string()].as_slice())
    );
    assert_eq!(
        hex(&postcard::to_allocvec(&state).expect("encoded")),
        hex(&body)
    );
    let again = frame::encode::<Shared>(&frame::Message::State(body)).expect("short enough");
    assert_eq!(hex(&again), hex(&recorded));
}

#[test]
fn what_is_told_is_read_and_written_as_it_was_recorded() {
    for name in ["held", "order", "spent"] {
        let recorded = recorded_told(name);
        let frame::Message::Update(shared) = decode(&recorded) else {
            panic!("{name} is not told")
        };
        assert_eq!(hex(&encode(shared)), hex(&recorded), "{name}");
    }
}

/// The recorded frame with the endpoints of this site's servers in place of those that are gone by now.
fn state_for(site: &Site) -> Vec<u8> {
    let frame::Message::State(body) = decode(&recorded_state()) else {
        panic!("no state")
    };
    let mut state: State = postcard::from_bytes(&body).expect("a state");
    let mut targets: Value = serde_json::from_slice(&state.targets).expect("JSON");
    for target in targets.as_array_mut().expect("a list") {
        let server = &site.servers[usize::from(target["uid"] == "s-2")];
        target["endpoint"] = json!(server.address.to_string());
    }
    state.targets = targets.to_string().into_bytes();
    let body = postcard::to_allocvec(&state).expect("encoded");
    frame::encode::<Shared>(&frame::Message::State(body)).expect("short enough")
}

#[test]
fn a_process_goes_on_where_the_recorded_one_left_off() {
    let mut site = Site::prepare();
    site.limiter.config["known"]["targets"] = json!([]);
    let mut stream = site.start_after(&state_for(&site));
    assert!(
        matches!(
            decode(&read_frame(&mut stream)),
            frame::Message::Update(Shared::Held(_))
        ),
        "it has taken over"
    );
    for number in 0..6 {
        site.served_by_first(&format!("c{number}"));
    }
    assert!(
        site.servers[1].is_quiet(),
        "out of service by hand since the recorded process"
    );
    assert!(!site.log().contains("as after a kill"), "{}", site.log());
}

#[test]
fn a_process_obeys_the_recorded_order() {
    let mut site = Site::prepare();
    site.start();
    let (mut stream, _) = site.come_as_next();
    stream.write_all(&recorded_told("order")).expect("told");
    site.says("server s-2 taken out of service by hand");
    for number in 0..6 {
        site.served_by_first(&format!("c{number}"));
    }
    assert!(site.servers[1].is_quiet());
}

#[test]
fn a_process_tells_what_it_is_ordered_and_what_it_spends_as_it_was_recorded() {
    let told = write_told();
    for (name, bytes) in told.iter().filter(|(name, _)| name != "held") {
        assert_eq!(hex(bytes), hex(&recorded_told(name)), "{name}");
    }
}
