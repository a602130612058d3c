//! Test harness: a limiter process on loopback sockets, whose servers, discovery service and clients are played by the
//! test. The test takes every step of the other side itself, so that the order of events follows from what it has
//! observed and not from sleeping.
#![allow(dead_code, missing_docs, reason = "each test file uses a part of it")]

use serde_json::{json, Value};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// Time-out of every wait; far longer than any step takes, so only a failing test reaches it.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns a loopback address that no other test on this machine uses.
pub fn own_host() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let (pid, number) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    format!(
        "127.{}.{}.{}",
        1 + pid / 250 % 250,
        1 + pid % 250,
        1 + number % 250
    )
}

/// Returns an address with a port that was free a moment ago.
pub fn free_port(host: &str) -> SocketAddr {
    TcpListener::bind((host, 0))
        .and_then(|l| l.local_addr())
        .expect("a port")
}

/// A received HTTP message, and the connection on which it arrived.
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
    pub stream: TcpStream,
}

impl Message {
    /// Reads one message; `None` when the connection ends first.
    pub fn read(stream: &TcpStream) -> Option<Message> {
        let mut stream = stream.try_clone().expect("cloned");
        let (mut text, mut byte) = (Vec::new(), [0u8]);
        while !text.ends_with(b"\r\n\r\n") {
            // `read_exact` and not `read`, which a signal may interrupt.
            stream.read_exact(&mut byte).ok()?;
            text.push(byte[0]);
        }
        let head = String::from_utf8(text).expect("text");
        let mut message = Message {
            head,
            body: Vec::new(),
            stream,
        };
        let length = message
            .header("content-length")
            .map_or(0, |length| length.parse().expect("a length"));
        message.body = vec![0; length];
        message.stream.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self
            .head
            .lines()
            .skip(1)
            .filter_map(|line| line.split_once(':'));
        lines
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.trim())
    }

    pub fn status(&self) -> u16 {
        self.head
            .split(' ')
            .nth(1)
            .expect("a status")
            .parse()
            .expect("a number")
    }

    /// Sends the response to this request.
    pub fn answer(&mut self, status: &str, headers: &str, body: &str) {
        let length = body.len();
        let text = format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n{headers}\r\n{body}");
        self.stream.write_all(text.as_bytes()).expect("answered");
    }

    /// Like [`Self::answer`], but ignores errors, as the limiter may have crashed meanwhile.
    pub fn try_answer(&mut self, status: &str, headers: &str, body: &str) {
        let length = body.len();
        let text = format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n{headers}\r\n{body}");
        _ = self.stream.write_all(text.as_bytes());
    }

    /// Waits until the other side has closed the connection.
    pub fn wait_until_closed(mut self) {
        self.stream
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("set");
        match self.stream.read_exact(&mut [0u8]).map_err(|e| e.kind()) {
            Err(ErrorKind::UnexpectedEof | ErrorKind::ConnectionReset) => {}
            other => panic!("the connection is still used: {other:?}"),
        }
    }
}

/// Accepts connections at an address, and queues the messages that arrive on them for the test.
pub struct Listener {
    pub address: SocketAddr,
    messages: Receiver<Message>,
}

impl Listener {
    pub fn start() -> Listener {
        Listener::on(TcpListener::bind("127.0.0.1:0").expect("bound"))
    }

    pub fn on(listener: TcpListener) -> Listener {
        let address = listener.local_addr().expect("bound");
        let (sender, messages) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let sender = sender.clone();
                std::thread::spawn(move || {
                    while let Some(message) = Message::read(&stream) {
                        if sender.send(message).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Listener { address, messages }
    }

    /// Waits for the next message.
    pub fn next(&self) -> Message {
        self.messages
            .recv_timeout(WAIT_TIMEOUT)
            .expect("a message arrives")
    }

    /// Returns the next message if it arrives within 5 ms.
    pub fn poll(&self) -> Option<Message> {
        self.messages.recv_timeout(Duration::from_millis(5)).ok()
    }

    /// Whether no message is queued. If one is, it is removed from the queue.
    pub fn is_quiet(&self) -> bool {
        self.messages.try_recv().is_err()
    }
}

/// The limiter's streaming request for the endpoint list, at the discovery service that the test plays.
pub struct Watch(Message);

impl Watch {
    /// Waits for the next watch at this discovery service, and sends the head of its response.
    pub fn at(discovery: &Listener) -> Watch {
        let mut message = discovery.next();
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        message.stream.write_all(head.as_bytes()).expect("answered");
        Watch(message)
    }

    /// Waits until the limiter has closed the watch.
    pub fn wait_until_closed(self) {
        self.0.wait_until_closed();
    }

    pub fn path(&self) -> &str {
        self.0.head.split(' ').nth(1).expect("a path")
    }

    /// Sends one line of the endpoint list.
    pub fn send(&mut self, line: &str) {
        let text = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        self.0.stream.write_all(text.as_bytes()).expect("sent");
    }

    /// Sends the list of revision `rev`: complete if `all`, else only changes.
    pub fn list(&mut self, rev: u64, all: bool, targets: &[Value]) {
        self.send(&json!({"rev": rev, "all": all, "targets": targets}).to_string());
    }

    pub fn close(self) {
        self.0
            .stream
            .shutdown(std::net::Shutdown::Both)
            .expect("closed");
    }
}

/// An entry of the endpoint list.
pub fn target(uid: &str, at: SocketAddr, state: &str) -> Value {
    json!({"uid": uid, "endpoint": at.to_string(), "az": "a", "model": "std", "pod_group": 1, "state": state,
           "capacity_hint": 1.0, "boot_ms": 0})
}

/// A limiter process with its discovery service and one peer, both played by the test. Killed when dropped.
pub struct Limiter {
    pub address: SocketAddr,
    pub config: Value,
    pub discovery: Listener,
    pub peer: UdpSocket,
    folder: PathBuf,
    child: Option<Child>,
}

impl Limiter {
    /// Starts a limiter whose configured endpoint list has these servers, and waits until it is ready.
    pub fn start(servers: &[Value]) -> Limiter {
        Limiter::start_with(servers, |_| {})
    }

    /// Like [`Self::start`], after `change` has edited the configuration.
    pub fn start_with(servers: &[Value], change: impl FnOnce(&mut Value)) -> Limiter {
        let mut limiter = Limiter::prepare(servers);
        change(&mut limiter.config);
        limiter.run();
        limiter
    }

    /// Prepares a limiter with its configuration, but starts no process.
    pub fn prepare(servers: &[Value]) -> Limiter {
        let host = own_host();
        let address = free_port(&host);
        let discovery = Listener::start();
        let peer = UdpSocket::bind((host.as_str(), 0)).expect("bound");
        let peer_listen = UdpSocket::bind((host.as_str(), 0))
            .and_then(|socket| socket.local_addr())
            .expect("a port");
        let plan = |name: &str, rate: f64| {
            json!({"name": name, "per-second": rate, "store-size": 2.0 * rate, "at-once": 0, "cap-rate": 0.0,
                   "hard-burst": 0.0, "price": 1.0, "over-worth": 0.0, "overrun-cost": 0.5})
        };
        let class = |name: &str, semantics: &str| {
            json!({"name": name, "aim-ms": 20000.0, "deadline-ms": 60000.0, "semantics": semantics,
                   "group": "zone", "dedup-window-ms": 1500.0, "worth": 1.0})
        };
        let config = json!({
            "name": "n0", "listen": address.to_string(), "discovery": discovery.address.to_string(),
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peer_listen": peer_listen.to_string(),
            "peers": [peer_listen.to_string(), peer.local_addr().expect("bound").to_string()],
            "known": {"rev": 41, "all": true, "targets": servers},
            "settings": {
                "my-number": 0, "group-size": 2, "zone": "a", "failure-domains": ["a", "b"], "kinds": ["std"],
                "profiles": [class("look", "safe"), class("submit", "keyed"), class("pay", "unsafe")],
                "plans": [plan("wide", 10000.0), plan("narrow", 0.25)],
                "bounds": {"try-limit": 5, "retry-after": true, "max-retry-after-ms": 1000.0, "may-tell": true,
                           "probes": true, "cancel": true, "connect-timeout-ms": 20000.0,
                           "idle-close-ms": 60000.0},
                "family-info": {"mail-per-s": 40.0, "meter-ms": 1000.0},
                "rules": {"cold-from": 0.3, "warm-after-ms": 17000.0, "fall-multiple": 2.0,
                          "overload-for-ms": 1000.0},
                "prices": {}, "membership-mode": "push"}
        });
        let folder = std::env::temp_dir().join(format!(
            "emberpin-{}",
            address.to_string().replace(':', "-")
        ));
        std::fs::create_dir_all(&folder).expect("made");
        Limiter {
            address,
            config,
            discovery,
            peer,
            folder,
            child: None,
        }
    }

    /// Writes the configuration, and returns the command that starts the process.
    pub fn command(&self) -> Command {
        let path = self.folder.join("config.json");
        std::fs::write(&path, self.config.to_string()).expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_emberpin"));
        command
            .env("GW_CONFIG", path)
            .stdin(Stdio::null())
            .stdout(Stdio::null());
        command
    }

    /// Writes a file into this limiter's folder, which is removed when the limiter is dropped.
    pub fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.join(name);
        std::fs::write(&path, text).expect("written");
        path
    }

    pub fn run(&mut self) {
        let command = self.command();
        self.run_as(command);
    }

    /// Starts the process by this command, and waits until it is ready.
    pub fn run_as(&mut self, mut command: Command) {
        self.child = Some(command.spawn().expect("starts"));
        let started = Instant::now();
        while self
            .get("/health/ready")
            .is_none_or(|answer| answer.status() != 200)
        {
            assert!(started.elapsed() < WAIT_TIMEOUT, "not ready in time");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Starts the process by this command, and waits until it is ready or has exited; returns whether it is ready.
    pub fn try_run_as(&mut self, mut command: Command) -> bool {
        self.child = Some(command.spawn().expect("starts"));
        let started = Instant::now();
        while self
            .get("/health/ready")
            .is_none_or(|answer| answer.status() != 200)
        {
            if self.child().try_wait().expect("waited").is_some() {
                return false;
            }
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "neither ready nor exited in time"
            );
            std::thread::sleep(Duration::from_millis(5));
        }
        true
    }

    /// Whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        self.child().try_wait().expect("waited").is_some()
    }

    fn child(&mut self) -> &mut Child {
        self.child.as_mut().expect("running")
    }

    pub fn pid(&mut self) -> u32 {
        self.child().id()
    }

    pub fn kill(&mut self) {
        self.child().kill().expect("killed");
        self.child().wait().expect("exited");
    }

    pub fn signal(&mut self, name: &str) {
        let pid = self.pid().to_string();
        assert!(Command::new("kill")
            .args([name, &pid])
            .status()
            .expect("kill runs")
            .success());
    }

    pub fn terminate(&mut self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration file, and signals the process to reload it.
    pub fn reload(&mut self, text: &str) {
        std::fs::write(self.folder.join("config.json"), text).expect("written");
        self.signal("-HUP");
    }

    /// Waits until the process has exited.
    pub fn wait(&mut self) -> ExitStatus {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child().try_wait().expect("waited") {
                return status;
            }
            assert!(started.elapsed() < WAIT_TIMEOUT, "does not exit in time");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Waits for the limiter's next watch; see [`Watch::at`].
    pub fn watch(&self) -> Watch {
        Watch::at(&self.discovery)
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("connects");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
        stream
    }

    /// Sends a request on a new connection; read the response with [`Message::read`].
    pub fn ask(&self, text: &str) -> TcpStream {
        let mut stream = self.connect();
        stream.write_all(text.as_bytes()).expect("sent");
        stream
    }

    /// Sends a request on a new connection, and waits for the response.
    pub fn exchange(&self, text: &str) -> Message {
        Message::read(&self.ask(text)).expect("an answer")
    }

    pub fn get(&self, path: &str) -> Option<Message> {
        let mut stream = TcpStream::connect(self.address).ok()?;
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
        stream
            .write_all(format!("GET {path} HTTP/1.1\r\nHost: s\r\n\r\n").as_bytes())
            .ok()?;
        Message::read(&stream)
    }
}

impl Drop for Limiter {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            _ = child.kill();
            _ = child.wait();
        }
        _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The text of a request with this class, id, plan, and deadline in seconds.
pub fn request(class: &str, id: &str, plan: &str, deadline: f64) -> String {
    let headers = format!(
        "Host: service.internal\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\nX-Tier: {plan}\r\n\
         Cookie: account=00000001b4d65521\r\nReq-Deadline: {deadline}\r\n\
         X-Call-Terms: units=1,spread=1,first=0\r\n"
    );
    match class {
        "look" => format!("GET /api HTTP/1.1\r\n{headers}\r\n"),
        _ => {
            format!("POST /api HTTP/1.1\r\n{headers}Idempotency-Key: k-{id}\r\nContent-Length: 4\r\n\r\nbody")
        }
    }
}
