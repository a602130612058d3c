//! Compatibility of the upgrade protocol with an earlier build: the state that a limiter process hands over to its
//! successor, and the updates that both send each other, as recorded from that build. The test plays the other process
//! at the handover path of a limiter of the present build.
#![allow(missing_docs, reason = "a test has no public interface")]

#[path = "../../emberpin-peering/tests/common/recording.rs"]
mod recording;
#[path = "common/sockets.rs"]
mod sockets;

use emberpin_balancer::{Handover, Usage};
use emberpin_upgrade::frame::{self, HEADER_LEN, HELLO_LEN};
use recording::{hex, recorded_lines, Recorded};
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

/// The state that the older process hands over. The limiter's own type is private, so the test has this copy.
#[derive(Serialize, Deserialize)]
struct State {
    clock: f64,
    revision: u64,
    targets: Vec<u8>,
    names: Vec<String>,
    gateway: Handover,
}

/// The updates that both processes send each other; also a copy of the limiter's own type.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum Update {
    Usage(Usage),
    Maintenance { server: String, out: bool },
    SocketCounts(SocketCounts),
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct SocketCounts {
    clients: usize,
    servers: usize,
}

/// A limiter that can be upgraded, its listening socket, its operator address, its two servers and its folder.
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
        // The socket stays open: a port that is only looked up may be in use by another process later.
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

    fn handover_path(&self) -> PathBuf {
        self.folder.join("emberpin.handover")
    }

    /// Returns the command for a process that inherits the listening socket as descriptor 5.
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

    /// Waits until the process has logged this text.
    fn wait_for_log(&self, text: &str) {
        let started = Instant::now();
        while !self.log().contains(text) {
            assert!(started.elapsed() < WAIT_TIMEOUT, "never logged: {text}");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn start(&mut self) {
        let command = self.command();
        self.limiter.run_as(command);
    }

    /// Sends a command to the operators' interface.
    fn send_command(&self, path: &str) {
        let mut stream = TcpStream::connect(self.ops).expect("connects");
        stream
            .write_all(format!("PUT {path} HTTP/1.1\r\nHost: s\r\n\r\n").as_bytes())
            .expect("sent");
        let answer = Message::read(&stream).expect("an answer");
        assert_eq!(answer.status(), 200);
    }

    /// Checks that a request reaches the first server, which answers it.
    fn check_served_by_first(&self, id: &str) {
        let client = self.limiter.ask(&request("look", id, "wide", 30.0));
        self.servers[0].next().answer("200 OK", "", "");
        assert_eq!(Message::read(&client).expect("an answer").status(), 200);
    }

    /// Connects to a running process as its successor; returns the connection, and the first frame, which has the
    /// state.
    fn connect_as_successor(&self) -> (UnixStream, Vec<u8>) {
        let mut stream = UnixStream::connect(self.handover_path()).expect("connects");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
        stream.write_all(&frame::encode_hello()).expect("sent");
        let state = read_frame(&mut stream);
        (stream, state)
    }

    /// Starts a process whose predecessor is played by the test, and sends it this frame as the state.
    fn start_as_successor(&mut self, state: &[u8]) -> UnixStream {
        let predecessor = UnixListener::bind(self.handover_path()).expect("bound");
        let state = state.to_vec();
        let handing_over = std::thread::spawn(move || {
            let (mut stream, _) = predecessor.accept().expect("connects");
            let mut hello = [0; HELLO_LEN];
            stream.read_exact(&mut hello).expect("a hello");
            assert_eq!(frame::check_hello(&hello), Ok(()));
            stream.write_all(&state).expect("a state");
            stream
        });
        self.start();
        let stream = handing_over.join().expect("a state");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
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

fn decode(bytes: &[u8]) -> frame::Message<Update> {
    let (head, body) = bytes.split_first_chunk::<HEADER_LEN>().expect("a head");
    frame::decode(head, body).expect("a message")
}

fn encode(update: Update) -> Vec<u8> {
    frame::encode(&frame::Message::Update(update)).expect("encoded")
}

/// Reads the next frame that is not a report of connection counts.
fn next_update(stream: &mut UnixStream) -> Vec<u8> {
    loop {
        let bytes = read_frame(stream);
        if !matches!(
            decode(&bytes),
            frame::Message::Update(Update::SocketCounts(_))
        ) {
            return bytes;
        }
    }
}

/// Produces the state of a process that has served two requests and whose second server an operator took out of
/// service.
fn write_state() -> Vec<u8> {
    let mut site = Site::prepare();
    site.start();
    site.send_command("/ops/servers/down/s-2");
    site.check_served_by_first("a");
    site.check_served_by_first("b");
    site.connect_as_successor().1
}

fn recorded_state() -> Vec<u8> {
    recorded_lines("state.txt", || vec![("state".into(), write_state())])
        .remove(0)
        .1
}

/// Produces the updates that a process sends its successor: connection counts, an operator's command, and used units.
fn write_updates() -> Vec<Recorded> {
    let mut site = Site::prepare();
    site.start();
    let (mut stream, _) = site.connect_as_successor();
    let held = read_frame(&mut stream);
    assert!(matches!(
        decode(&held),
        frame::Message::Update(Update::SocketCounts(_))
    ));
    site.send_command("/ops/servers/down/s-2");
    let order = next_update(&mut stream);
    site.check_served_by_first("a");
    let spent = next_update(&mut stream);
    vec![
        ("held".into(), held),
        ("order".into(), order),
        ("spent".into(), spent),
    ]
}

fn recorded_update(name: &str) -> Vec<u8> {
    let recorded = recorded_lines("told.txt", write_updates);
    recorded
        .into_iter()
        .find(|(found, _)| found == name)
        .expect("recorded")
        .1
}

#[test]
fn the_recorded_state_is_decoded_and_encoded_unchanged() {
    let recorded = recorded_state();
    let frame::Message::State(body) = decode(&recorded) else {
        panic!("no state")
    };
    let state: State = postcard::from_bytes(&body).expect("a state");
    assert_eq!(
        (state.revision, state.names.as_slice()),
        (41, ["s-1".to_string(), "s-2".to_string()].as_slice())
    );
    assert_eq!(
        hex(&postcard::to_allocvec(&state).expect("encoded")),
        hex(&body)
    );
    let again = frame::encode::<Update>(&frame::Message::State(body)).expect("short enough");
    assert_eq!(hex(&again), hex(&recorded));
}

#[test]
fn the_recorded_updates_are_decoded_and_encoded_unchanged() {
    for name in ["held", "order", "spent"] {
        let recorded = recorded_update(name);
        let frame::Message::Update(update) = decode(&recorded) else {
            panic!("{name} is not an update")
        };
        assert_eq!(hex(&encode(update)), hex(&recorded), "{name}");
    }
}

/// The recorded state with the endpoints of this site's servers in place of those of the recording.
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
    frame::encode::<Update>(&frame::Message::State(body)).expect("short enough")
}

#[test]
fn a_process_continues_from_the_recorded_state() {
    let mut site = Site::prepare();
    site.limiter.config["known"]["targets"] = json!([]);
    let mut stream = site.start_as_successor(&state_for(&site));
    assert!(
        matches!(
            decode(&read_frame(&mut stream)),
            frame::Message::Update(Update::SocketCounts(_))
        ),
        "it has taken over"
    );
    for number in 0..6 {
        site.check_served_by_first(&format!("c{number}"));
    }
    assert!(
        site.servers[1].is_quiet(),
        "an operator took it out of service in the recorded process"
    );
    assert!(
        !site.log().contains("starting with fresh state"),
        "{}",
        site.log()
    );
}

#[test]
fn a_process_executes_the_recorded_command() {
    let mut site = Site::prepare();
    site.start();
    let (mut stream, _) = site.connect_as_successor();
    stream.write_all(&recorded_update("order")).expect("sent");
    site.wait_for_log("server s-2 taken out of service by hand");
    for number in 0..6 {
        site.check_served_by_first(&format!("c{number}"));
    }
    assert!(site.servers[1].is_quiet());
}

#[test]
fn a_process_reports_commands_and_used_units_as_recorded() {
    let updates = write_updates();
    for (name, bytes) in updates.iter().filter(|(name, _)| name != "held") {
        assert_eq!(hex(bytes), hex(&recorded_update(name)), "{name}");
    }
}
