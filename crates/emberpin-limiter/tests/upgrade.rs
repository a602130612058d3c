//! Upgrades over loopback: two processes of one limiter share a listening socket, and the old process hands its state
//! over to the new one.
#![allow(missing_docs, reason = "a test has no public interface")]

#[path = "common/sockets.rs"]
mod sockets;

use emberpin_balancer::gossip;
use serde_json::json;
use sockets::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixListener;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Instant;

/// The environment of the processes of one limiter: configuration, listening socket and folder.
struct Site {
    limiter: Limiter,
    listener: TcpListener,
    folder: PathBuf,
    /// Number of commands prepared, for the names of their configuration files.
    commands: u32,
}

/// One process of the limiter, and the address of its operators' interface. Killed when dropped.
struct Process {
    child: Child,
    ops: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

impl Site {
    fn new(servers: &[serde_json::Value]) -> Site {
        let mut limiter = Limiter::prepare(servers);
        // The socket stays open: a port that is only looked up may be in use by another process later.
        let listener = TcpListener::bind((limiter.address.ip(), 0)).expect("bound");
        limiter.address = listener.local_addr().expect("bound");
        limiter.config["listen"] = json!(limiter.address.to_string());
        // One of the two plans has a hard burst of eight units that refills very slowly.
        let plan = &mut limiter.config["settings"]["plans"][1];
        for (name, value) in [
            ("per-second", 100.0),
            ("store-size", 100.0),
            ("cap-rate", 0.01),
            ("hard-burst", 8.0),
        ] {
            plan[name] = json!(value);
        }
        let folder = std::env::temp_dir().join(format!("emberpin-up-{}", limiter.address.port()));
        std::fs::create_dir_all(&folder).expect("made");
        Site {
            limiter,
            listener,
            folder,
            commands: 0,
        }
    }

    /// Returns the command for a process that inherits the listening socket as descriptor 5, and its operator address.
    fn command(&mut self) -> (Command, SocketAddr) {
        let ops = free_port(&own_host());
        self.limiter.config["ops"] = json!(ops.to_string());
        self.commands += 1;
        let config = self.limiter.file(
            &format!("c{}.json", self.commands),
            &self.limiter.config.to_string(),
        );
        let mut command = Command::new("sh");
        command.args([
            "-c",
            "exec 5<&0 0</dev/null; exec \"$0\"",
            env!("CARGO_BIN_EXE_emberpin"),
        ]);
        let socket: OwnedFd = self.listener.try_clone().expect("cloned").into();
        command.stdin(Stdio::from(socket)).stderr(Stdio::piped());
        command
            .env("GW_CONFIG", config)
            .env("GW_PASSED_SOCKET", "5")
            .env("TMPDIR", &self.folder);
        (command, ops)
    }

    /// Starts a process, and waits until it is ready.
    fn start(&mut self) -> Process {
        let (mut command, ops) = self.command();
        let mut process = Process {
            child: command.spawn().expect("starts"),
            ops,
        };
        let started = Instant::now();
        while !process.is_ready() {
            assert!(started.elapsed().as_secs() < 6, "not ready in time");
            if let Some(status) = process.child.try_wait().expect("waited") {
                panic!("exited: {status}: {}", process.log());
            }
            std::thread::sleep(std::time::Duration::from_millis(5));
        }
        process
    }

    /// Starts a process that must fail at its start, and returns its error output.
    fn start_error(&mut self) -> String {
        let (mut command, _) = self.command();
        let output = command.output().expect("ran");
        assert!(!output.status.success());
        String::from_utf8_lossy(&output.stderr).into_owned()
    }

    /// Sends a request on a new connection, as the customer that has this plan.
    fn ask(&self, class: &str, id: &str, plan: &str) -> TcpStream {
        // Each customer has only one plan.
        let account = if plan == "wide" {
            "00000001b4d65522"
        } else {
            "00000001b4d65521"
        };
        self.limiter
            .ask(&request(class, id, plan, 30.0).replace("00000001b4d65521", account))
    }

    /// Fills the hard bursts of the first process: a limiter starts with full hard bursts if its whole group starts at
    /// the same time, so the test sends the greeting of a peer that has just started. It repeats that until a request
    /// is admitted, which uses one unit of the burst.
    fn fill_hard_bursts(&self, server: &Listener) {
        let at = self.limiter.config["peer_listen"]
            .as_str()
            .expect("set")
            .to_string();
        let unix = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .expect("after 1970");
        let hello = gossip::MessageBuilder::new(unix.as_millis() as u32, 0.0, 0.0).finish();
        let started = Instant::now();
        for number in 0.. {
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "the group was not observed to start together"
            );
            self.limiter.peer.send_to(&hello, &at).expect("sent");
            if self.is_admitted(server, &format!("f{number}")) {
                return;
            }
        }
    }

    /// Whether a request of the plan with the hard burst reaches this server; if not, it must be rejected.
    fn is_admitted(&self, server: &Listener, id: &str) -> bool {
        let client = self.ask("look", id, "narrow");
        let started = Instant::now();
        while started.elapsed() < WAIT_TIMEOUT {
            if let Some(mut message) = server.poll() {
                message.answer("200 OK", "", "");
                assert_eq!(Message::read(&client).expect("an answer").status(), 200);
                return true;
            }
            client.set_nonblocking(true).expect("set");
            let answered = client.peek(&mut [0]).is_ok();
            client.set_nonblocking(false).expect("set");
            if answered {
                assert_eq!(Message::read(&client).expect("an answer").status(), 429);
                return false;
            }
        }
        panic!("neither forwarded nor rejected")
    }

    /// Checks that a request reaches this server, which answers it.
    fn check_served_by(&self, server: &Listener, id: &str, plan: &str) {
        let client = self.ask("look", id, plan);
        server.next().answer("200 OK", "", "");
        assert_eq!(Message::read(&client).expect("an answer").status(), 200);
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Process {
    /// Calls the operators' interface; returns the status, or `None` if it does not answer.
    fn call(&self, method: &str, path: &str) -> Option<u16> {
        let mut stream = TcpStream::connect(self.ops).ok()?;
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
        stream
            .write_all(format!("{method} {path} HTTP/1.1\r\nHost: s\r\n\r\n").as_bytes())
            .ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        text.split(' ').nth(1)?.parse().ok()
    }

    fn is_ready(&self) -> bool {
        self.call("GET", "/ops/readiness") == Some(200)
    }

    fn terminate(&mut self) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill")
            .args(["-TERM", &pid])
            .status()
            .expect("kill runs")
            .success());
    }

    /// Waits until the process has exited successfully.
    fn wait_for_success(&mut self) {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("waited") {
                assert!(status.success(), "{status}: {}", self.log());
                return;
            }
            assert!(started.elapsed() < WAIT_TIMEOUT, "does not exit in time");
            std::thread::sleep(std::time::Duration::from_millis(5));
        }
    }

    /// Kills the process; returns what it logged.
    fn kill(mut self) -> String {
        self.child.kill().expect("killed");
        self.child.wait().expect("exited");
        self.log()
    }

    /// The log output of a process that has exited.
    fn log(&mut self) -> String {
        let mut text = String::new();
        if let Some(mut log) = self.child.stderr.take() {
            log.read_to_string(&mut text).expect("text");
        }
        text
    }
}

/// Two servers, and their entries of the endpoint list.
fn servers() -> (Listener, Listener, Vec<serde_json::Value>) {
    let (one, other) = (Listener::start(), Listener::start());
    let list = vec![
        target("s-1", one.address, "ready"),
        target("s-2", other.address, "ready"),
    ];
    (one, other, list)
}

#[test]
fn operator_commands_hard_bursts_and_in_flight_requests_survive_two_upgrades() {
    let (one, other, list) = servers();
    let mut site = Site::new(&list);
    let mut old = site.start();
    assert_eq!(old.call("PUT", "/ops/servers/down/s-2"), Some(200));
    // Seven of the eight units are used.
    site.fill_hard_bursts(&one);
    for number in 0..6 {
        site.check_served_by(&one, &format!("a{number}"), "narrow");
    }
    for round in 0..2 {
        // In flight while the next process starts.
        let in_flight = site.ask("pay", &format!("w{round}"), "wide");
        let mut at_server = one.next();
        let mut new = site.start();
        // The old process answers on the connection that it accepted, and closes it after the response.
        old.terminate();
        let mut text = String::new();
        at_server.answer("200 OK", "", "");
        (&in_flight)
            .read_to_string(&mut text)
            .expect("answered and closed");
        assert!(text.starts_with("HTTP/1.1 200"), "{text}");
        old.wait_for_success();
        for number in 0..3 {
            site.check_served_by(&one, &format!("b{round}{number}"), "wide");
        }
        std::mem::swap(&mut old, &mut new);
    }
    site.check_served_by(&one, "a7", "narrow");
    let answer = Message::read(&site.ask("look", "a8", "narrow")).expect("an answer");
    assert_eq!(
        answer.status(),
        429,
        "the processes together have used up the hard burst"
    );
    assert!(other.is_quiet(), "taken out of service two processes ago");
    assert_eq!(old.call("PUT", "/ops/servers/up/s-2"), Some(200));
    assert_eq!(old.call("PUT", "/ops/servers/down/s-1"), Some(200));
}

#[test]
fn units_admitted_by_one_process_count_at_the_other_while_both_run() {
    let (one, _other, list) = servers();
    let mut site = Site::new(&list[..1]);
    // Only the old process runs, so it accepts the connection `at_old`.
    let old = site.start();
    site.fill_hard_bursts(&one);
    let at_old = site.limiter.connect();
    let ask = |stream: &TcpStream, id: &str| {
        (&mut &*stream)
            .write_all(request("look", id, "narrow", 30.0).as_bytes())
            .expect("sent");
    };
    ask(&at_old, "first");
    one.next().answer("200 OK", "", "");
    assert_eq!(Message::read(&at_old).expect("an answer").status(), 200);
    let new = site.start();
    // Two of the eight units are used; all but one of the others are used now on the old process's connection.
    for number in 0..5 {
        ask(&at_old, &format!("o{number}"));
        one.next().answer("200 OK", "", "");
        assert_eq!(Message::read(&at_old).expect("an answer").status(), 200);
    }
    // The old process is killed; the new one has received its reports of used units.
    drop(at_old);
    drop(old);
    let admitted = (0..4)
        .filter(|number| site.is_admitted(&one, &format!("n{number}")))
        .count();
    assert_eq!(
        admitted, 1,
        "{admitted} admitted, but one unit of the hard burst was left"
    );
    drop(new);
}

#[test]
fn a_process_starts_in_time_without_state_if_the_handover_fails() {
    let (one, _other, list) = servers();
    let mut site = Site::new(&list[..1]);
    let handover_path = site.folder.join("emberpin.handover");
    // A socket file without a listener, then a regular file, then a program that accepts connections and sends nothing.
    drop(UnixListener::bind(&handover_path).expect("bound"));
    let first = site.start();
    site.check_served_by(&one, "a", "wide");
    drop(first);
    std::fs::remove_file(&handover_path).expect("the handover path exists");
    std::fs::write(&handover_path, "torn").expect("written");
    let second = site.start();
    site.check_served_by(&one, "b", "wide");
    drop(second);
    std::fs::remove_file(&handover_path).expect("the handover path exists");
    let silent = UnixListener::bind(&handover_path).expect("bound");
    let third = site.start();
    site.check_served_by(&one, "c", "wide");
    assert!(third.kill().contains("did not answer in time"));
    drop(silent);
    // A program that speaks another protocol.
    _ = std::fs::remove_file(&handover_path);
    let foreign = UnixListener::bind(&handover_path).expect("bound");
    let sending = std::thread::spawn(move || {
        let (mut stream, _) = foreign.accept().expect("connects");
        _ = stream.write_all(&[0xff; 64]);
        _ = stream.read(&mut [0; 64]);
    });
    let fourth = site.start();
    sending.join().expect("sent");
    assert!(fourth.kill().contains("starting with fresh state"));
    // A process that exits in the middle of the handover.
    _ = std::fs::remove_file(&handover_path);
    let exiting = UnixListener::bind(&handover_path).expect("bound");
    let handing_over = std::thread::spawn(move || {
        let (mut stream, _) = exiting.accept().expect("connects");
        stream.read_exact(&mut [0; 10]).expect("a hello");
        stream
            .write_all(&[200, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7])
            .expect("an incomplete frame is sent");
    });
    let fifth = site.start();
    handing_over.join().expect("handed over");
    site.check_served_by(&one, "d", "wide");
    assert!(fifth.kill().contains("starting with fresh state"));
}

#[test]
fn a_failed_new_process_leaves_the_old_one_serving() {
    let (one, other, list) = servers();
    let mut site = Site::new(&list);
    let mut old = site.start();
    assert_eq!(old.call("PUT", "/ops/servers/down/s-2"), Some(200));
    // The new process is killed just after the handover; another cannot start, as its operator address is in use.
    let new = site.start();
    drop(new);
    let occupied = TcpListener::bind("127.0.0.1:0").expect("bound");
    let (mut command, _) = site.command();
    let text = site.limiter.config.to_string();
    let ops = site.limiter.config["ops"]
        .as_str()
        .expect("set")
        .to_string();
    let text = text.replace(&ops, &occupied.local_addr().expect("bound").to_string());
    command.env("GW_CONFIG", site.limiter.file("taken.json", &text));
    let output = command.output().expect("ran");
    assert!(!output.status.success());
    site.check_served_by(&one, "a", "wide");
    // The old process listens for the other limiters again.
    let peer_listen: SocketAddr = site.limiter.config["peer_listen"]
        .as_str()
        .expect("set")
        .parse()
        .expect("an address");
    let started = Instant::now();
    while UdpSocket::bind(peer_listen).is_ok() {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "the old process did not open its port again"
        );
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    // And it can hand over again.
    let mut next = site.start();
    old.terminate();
    old.wait_for_success();
    site.check_served_by(&one, "b", "wide");
    assert!(other.is_quiet());
    assert!(next.is_ready());
    next.terminate();
    next.wait_for_success();
}

#[test]
fn a_second_upgrade_during_the_first_is_rejected_and_affects_neither_process() {
    let (one, _other, list) = servers();
    let mut site = Site::new(&list[..1]);
    let mut old = site.start();
    let new = site.start();
    let line = site.start_error();
    assert!(
        line.contains("another upgrade of this limiter is under way") && line.lines().count() == 1,
        "{line}"
    );
    site.check_served_by(&one, "a", "wide");
    old.terminate();
    old.wait_for_success();
    site.check_served_by(&one, "b", "wide");
    drop(new);
}

#[test]
fn a_draining_process_still_hands_over_its_state() {
    let (one, other, list) = servers();
    let mut site = Site::new(&list);
    let mut old = site.start();
    assert_eq!(old.call("PUT", "/ops/servers/down/s-2"), Some(200));
    let in_flight = site.ask("look", "a", "wide");
    let mut at_server = one.next();
    old.terminate();
    // No longer ready, but it still has a request to answer.
    let started = Instant::now();
    while old.is_ready() {
        assert!(started.elapsed() < WAIT_TIMEOUT);
    }
    let new = site.start();
    at_server.answer("200 OK", "", "");
    assert_eq!(Message::read(&in_flight).expect("an answer").status(), 200);
    old.wait_for_success();
    for number in 0..6 {
        site.check_served_by(&one, &format!("b{number}"), "wide");
    }
    assert!(other.is_quiet());
    drop(new);
}

/// 120 clients of the old process reconnect to the new one, which must accept all of them at once. They need more than
/// half of the limiter's slots for client connections, so a fixed half for each process would not do.
#[test]
fn the_old_processs_clients_find_slots_at_the_new_one() {
    let server = Listener::start();
    let mut site = Site::new(&[target("s-1", server.address, "ready")]);
    site.limiter.config["limits"]["sockets"] = json!(384);
    let mut old = site.start();
    let ask = |stream: &TcpStream, id: &str| {
        let text =
            request("look", id, "wide", 30.0).replace("00000001b4d65521", "00000001b4d65522");
        (&mut &*stream).write_all(text.as_bytes()).expect("sent");
        server.next().answer("200 OK", "", "");
        let answer = Message::read(stream).expect("an answer");
        assert_eq!(answer.status(), 200);
        answer.header("connection") == Some("close")
    };
    let clients: Vec<TcpStream> = (0..120).map(|_| site.limiter.connect()).collect();
    for (number, client) in clients.iter().enumerate() {
        assert!(!ask(client, &format!("a{number}")));
    }
    let new = site.start();
    old.terminate();
    while old.is_ready() {}
    for (number, client) in clients.iter().enumerate() {
        assert!(
            ask(client, &format!("b{number}")),
            "the old process closes each connection after its response"
        );
    }
    drop(clients);
    let (mut kept, mut closed) = (Vec::new(), 0);
    while kept.len() < 120 {
        let client = site.limiter.connect();
        if ask(&client, &format!("c{}-{closed}", kept.len())) {
            closed += 1;
            assert!(
                closed < 60,
                "{} kept, the others were closed after their response",
                kept.len()
            );
        } else {
            kept.push(client);
        }
    }
    old.wait_for_success();
    drop(new);
}

#[test]
fn an_unusable_inherited_descriptor_fails_the_start_with_a_one_line_error() {
    let (_one, _other, list) = servers();
    let mut site = Site::new(&list);
    for (descriptor, expected) in [
        ("five", "expected the number of a descriptor"),
        ("1", "from 3 on"),
        ("77", "GW_PASSED_SOCKET '77'"),
    ] {
        let (mut command, _) = site.command();
        let output = command
            .env("GW_PASSED_SOCKET", descriptor)
            .output()
            .expect("ran");
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(
            !output.status.success() && text.contains(expected) && text.lines().count() == 1,
            "{text}"
        );
    }
    let elsewhere = TcpListener::bind("127.0.0.1:0").expect("bound");
    site.listener = elsewhere;
    let line = site.start_error();
    assert!(
        line.contains("expected a socket that listens on") && line.lines().count() == 1,
        "{line}"
    );
}
