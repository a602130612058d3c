//! Upgrades over loopback: two processes of one limiter on one listening socket, with their state handed over.
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

/// What stands round the processes of one limiter.
struct Site {
    limiter: Limiter,
    listener: TcpListener,
    folder: PathBuf,
    next: u32,
}

/// One of its processes; killed when dropped.
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
        // Taken once and kept: a port that is only looked up may be another's by now.
        let listener = TcpListener::bind((limiter.address.ip(), 0)).expect("bound");
        limiter.address = listener.local_addr().expect("bound");
        limiter.config["listen"] = json!(limiter.address.to_string());
        // One plan of the two has a ceiling of eight units that hardly fills.
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
            next: 0,
        }
    }

    /// A command that has the listening socket as descriptor 5.
    fn command(&mut self) -> (Command, SocketAddr) {
        let ops = free_port(&own_host());
        self.limiter.config["ops"] = json!(ops.to_string());
        self.next += 1;
        let config = self.limiter.file(
            &format!("c{}.json", self.next),
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

    fn start(&mut self) -> Process {
        let (mut command, ops) = self.command();
        let mut process = Process {
            child: command.spawn().expect("starts"),
            ops,
        };
        let begun = Instant::now();
        while !process.is_ready() {
            assert!(begun.elapsed().as_secs() < 6, "not ready in time");
            if let Some(status) = process.child.try_wait().expect("waited") {
                panic!("ended: {status}: {}", process.log());
            }
            std::thread::sleep(std::time::Duration::from_millis(5));
        }
        process
    }

    /// The line with which a process ends that cannot start.
    fn refused(&mut self) -> String {
        let (mut command, _) = self.command();
        let output = command.output().expect("ran");
        assert!(!output.status.success());
        String::from_utf8_lossy(&output.stderr).into_owned()
    }

    fn ask(&self, class: &str, id: &str, plan: &str) -> TcpStream {
        // A customer has one plan.
        let account = if plan == "wide" {
            "00000001b4d65522"
        } else {
            "00000001b4d65521"
        };
        self.limiter
            .ask(&request(class, id, plan, 30.0).replace("00000001b4d65521", account))
    }

    /// Has the first process see that the whole group starts, so that a ceiling's store is full from then on; one
    /// unit of it is spent with that.
    fn fill_ceilings(&self, server: &Listener) {
        let at = self.limiter.config["peer_listen"]
            .as_str()
            .expect("set")
            .to_string();
        let unix = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .expect("after 1970");
        let hello = gossip::Writer::new(unix.as_millis() as u32, 0.0, 0.0).finish();
        let begun = Instant::now();
        for number in 0.. {
            assert!(begun.elapsed() < LONG, "never seen to start together");
            self.limiter.peer.send_to(&hello, &at).expect("sent");
            if self.is_let_in(server, &format!("f{number}")) {
                return;
            }
        }
    }

    /// Whether a request of the plan with the ceiling gets to this server; refused at once if not.
    fn is_let_in(&self, server: &Listener, id: &str) -> bool {
        let client = self.ask("look", id, "narrow");
        let begun = Instant::now();
        while begun.elapsed() < LONG {
            if let Some(mut message) = server.soon() {
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
        panic!("neither sent on nor refused")
    }

    /// A request that this server gets, answered.
    fn served_by(&self, server: &Listener, id: &str, plan: &str) {
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
    fn call(&self, method: &str, path: &str) -> Option<u16> {
        let mut stream = TcpStream::connect(self.ops).ok()?;
        stream.set_read_timeout(Some(LONG)).expect("set");
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

    /// Waits for its good end.
    fn ends(&mut self) {
        let begun = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("waited") {
                assert!(status.success(), "{status}: {}", self.log());
                return;
            }
            assert!(begun.elapsed() < LONG, "does not end");
            std::thread::sleep(std::time::Duration::from_millis(5));
        }
    }

    fn kill(mut self) -> String {
        self.child.kill().expect("killed");
        self.child.wait().expect("gone");
        self.log()
    }

    /// What an ended process logged.
    fn log(&mut self) -> String {
        let mut text = String::new();
        if let Some(mut log) = self.child.stderr.take() {
            log.read_to_string(&mut text).expect("text");
        }
        text
    }
}

fn servers() -> (Listener, Listener, Vec<serde_json::Value>) {
    let (one, other) = (Listener::start(), Listener::start());
    let list = vec![
        target("s-1", one.address, "ready"),
        target("s-2", other.address, "ready"),
    ];
    (one, other, list)
}

#[test]
fn bans_ceilings_and_open_requests_outlast_two_upgrades() {
    let (one, other, list) = servers();
    let mut site = Site::new(&list);
    let mut old = site.start();
    assert_eq!(old.call("PUT", "/ops/servers/down/s-2"), Some(200));
    // Eight units, of which seven go.
    site.fill_ceilings(&one);
    for number in 0..6 {
        site.served_by(&one, &format!("a{number}"), "narrow");
    }
    for round in 0..2 {
        // Under way while the next process comes.
        let under_way = site.ask("pay", &format!("w{round}"), "wide");
        let mut at_server = one.next();
        let mut new = site.start();
        // Kept open since before, with nothing on it: the old process answers on it and ends it with that.
        old.terminate();
        let mut text = String::new();
        at_server.answer("200 OK", "", "");
        (&under_way)
            .read_to_string(&mut text)
            .expect("answered and closed");
        assert!(text.starts_with("HTTP/1.1 200"), "{text}");
        old.ends();
        for number in 0..3 {
            site.served_by(&one, &format!("b{round}{number}"), "wide");
        }
        std::mem::swap(&mut old, &mut new);
    }
    site.served_by(&one, "a7", "narrow");
    let answer = Message::read(&site.ask("look", "a8", "narrow")).expect("an answer");
    assert_eq!(
        answer.status(),
        429,
        "the ceiling is spent over both processes"
    );
    assert!(
        other.is_quiet(),
        "out of service by hand since two processes"
    );
    assert_eq!(old.call("PUT", "/ops/servers/up/s-2"), Some(200));
    assert_eq!(old.call("PUT", "/ops/servers/down/s-1"), Some(200));
}

#[test]
fn what_one_process_lets_in_the_other_counts_while_both_are_there() {
    let (one, _other, list) = servers();
    let mut site = Site::new(&list[..1]);
    // On a connection of its own, so that each process is sure to have one.
    let old = site.start();
    site.fill_ceilings(&one);
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
    // Eight units in all, two of them spent, and all others but one now on the old process's connection.
    for number in 0..5 {
        ask(&at_old, &format!("o{number}"));
        one.next().answer("200 OK", "", "");
        assert_eq!(Message::read(&at_old).expect("an answer").status(), 200);
    }
    // The old one is gone, and what it told is known.
    drop(at_old);
    drop(old);
    let let_in = (0..4)
        .filter(|number| site.is_let_in(&one, &format!("n{number}")))
        .count();
    assert_eq!(let_in, 1, "{let_in}, beyond what the ceiling held yet");
    drop(new);
}

#[test]
fn whatever_stands_at_the_meeting_point_the_start_is_in_time_and_as_after_a_kill() {
    let (one, _other, list) = servers();
    let mut site = Site::new(&list[..1]);
    let meeting = site.folder.join("emberpin.handover");
    // A socket at which nobody answers any more, a file, and another program that says nothing.
    drop(UnixListener::bind(&meeting).expect("bound"));
    let first = site.start();
    site.served_by(&one, "a", "wide");
    drop(first);
    std::fs::remove_file(&meeting).expect("there");
    std::fs::write(&meeting, "torn").expect("written");
    let second = site.start();
    site.served_by(&one, "b", "wide");
    drop(second);
    std::fs::remove_file(&meeting).expect("there");
    let silent = UnixListener::bind(&meeting).expect("bound");
    let third = site.start();
    site.served_by(&one, "c", "wide");
    assert!(third.kill().contains("did not answer in time"));
    drop(silent);
    // And one that speaks another language.
    _ = std::fs::remove_file(&meeting);
    let strange = UnixListener::bind(&meeting).expect("bound");
    let talking = std::thread::spawn(move || {
        let (mut stream, _) = strange.accept().expect("comes");
        _ = stream.write_all(&[0xff; 64]);
        _ = stream.read(&mut [0; 64]);
    });
    let fourth = site.start();
    talking.join().expect("talked");
    assert!(fourth.kill().contains("starting as after a kill"));
    // And one that dies in the midst of handing over.
    _ = std::fs::remove_file(&meeting);
    let dying = UnixListener::bind(&meeting).expect("bound");
    let handing = std::thread::spawn(move || {
        let (mut stream, _) = dying.accept().expect("comes");
        stream.read_exact(&mut [0; 10]).expect("a hello");
        stream
            .write_all(&[200, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7])
            .expect("half of it");
    });
    let fifth = site.start();
    handing.join().expect("handed");
    site.served_by(&one, "d", "wide");
    assert!(fifth.kill().contains("starting as after a kill"));
}

#[test]
fn a_new_process_that_dies_leaves_the_old_one_serving_as_before() {
    let (one, other, list) = servers();
    let mut site = Site::new(&list);
    let mut old = site.start();
    assert_eq!(old.call("PUT", "/ops/servers/down/s-2"), Some(200));
    // Just after its yes, and as one that cannot start: its door's address is taken.
    let new = site.start();
    drop(new);
    let taken = TcpListener::bind("127.0.0.1:0").expect("bound");
    let (mut command, _) = site.command();
    let text = site.limiter.config.to_string();
    let ops = site.limiter.config["ops"]
        .as_str()
        .expect("set")
        .to_string();
    let text = text.replace(&ops, &taken.local_addr().expect("bound").to_string());
    command.env("GW_CONFIG", site.limiter.file("taken.json", &text));
    let output = command.output().expect("ran");
    assert!(!output.status.success());
    site.served_by(&one, "a", "wide");
    // The port for the other limiters is the old one's again.
    let at: SocketAddr = site.limiter.config["peer_listen"]
        .as_str()
        .expect("set")
        .parse()
        .expect("an address");
    let begun = Instant::now();
    while UdpSocket::bind(at).is_ok() {
        assert!(begun.elapsed() < LONG, "nobody took the port back");
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    // And it can be asked again.
    let mut next = site.start();
    old.terminate();
    old.ends();
    site.served_by(&one, "b", "wide");
    assert!(other.is_quiet());
    assert!(next.is_ready());
    next.terminate();
    next.ends();
}

#[test]
fn a_second_upgrade_during_the_first_is_refused_and_harms_neither() {
    let (one, _other, list) = servers();
    let mut site = Site::new(&list[..1]);
    let mut old = site.start();
    let new = site.start();
    let line = site.refused();
    assert!(
        line.contains("another upgrade of this limiter is under way") && line.lines().count() == 1,
        "{line}"
    );
    site.served_by(&one, "a", "wide");
    old.terminate();
    old.ends();
    site.served_by(&one, "b", "wide");
    drop(new);
}

#[test]
fn told_to_go_before_the_next_is_there_it_still_hands_over() {
    let (one, other, list) = servers();
    let mut site = Site::new(&list);
    let mut old = site.start();
    assert_eq!(old.call("PUT", "/ops/servers/down/s-2"), Some(200));
    let under_way = site.ask("look", "a", "wide");
    let mut at_server = one.next();
    old.terminate();
    // Not ready any more, but it has a request to answer.
    let begun = Instant::now();
    while old.is_ready() {
        assert!(begun.elapsed() < LONG);
    }
    let new = site.start();
    at_server.answer("200 OK", "", "");
    assert_eq!(Message::read(&under_way).expect("an answer").status(), 200);
    old.ends();
    for number in 0..6 {
        site.served_by(&one, &format!("b{number}"), "wide");
    }
    assert!(other.is_quiet());
    drop(new);
}

/// A hundred and twenty clients of the old process all come to the new one, which has places for them at once: more
/// than half of all.
#[test]
fn the_old_processs_clients_find_places_at_the_new_one() {
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
            "the old process ends them one by one"
        );
    }
    drop(clients);
    let (mut kept, mut sent_away) = (Vec::new(), 0);
    while kept.len() < 120 {
        let client = site.limiter.connect();
        if ask(&client, &format!("c{}-{sent_away}", kept.len())) {
            sent_away += 1;
            assert!(
                sent_away < 60,
                "{} kept, the others are sent away",
                kept.len()
            );
        } else {
            kept.push(client);
        }
    }
    old.ends();
    drop(new);
}

#[test]
fn a_descriptor_that_is_no_listening_socket_there_is_one_clear_line() {
    let (_one, _other, list) = servers();
    let mut site = Site::new(&list);
    for (named, expected) in [
        ("five", "expected the number of a descriptor"),
        ("1", "from 3 on"),
        ("77", "GW_PASSED_SOCKET '77'"),
    ] {
        let (mut command, _) = site.command();
        let output = command
            .env("GW_PASSED_SOCKET", named)
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
    let line = site.refused();
    assert!(
        line.contains("expected a socket that listens on") && line.lines().count() == 1,
        "{line}"
    );
}
