//! The proxy as a process on loopback addresses, with a stand-in registry, stand-in servers and raw clients.
//! Everything waits for events; the limits on time are far longer than what they bound.
#![allow(dead_code, missing_docs, reason = "each test file uses a part of it")]

use emberpin_config::{Item, ItemKey, ItemKind, Version};
use emberpin_membership::ids::{Incarnation, Nonce};
use emberpin_membership::instance::{Instance, Status};
use emberpin_membership::session::{ConnectionRole, FromProxy, Revision, ToProxy};
use emberpin_runtime::frames;
use emberpin_runtime::identity::ProcessIdentity;
use std::collections::HashMap;
use std::future::Future;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{interval, timeout};

/// Nothing that a test waits for takes longer.
pub const SOON: Duration = Duration::from_secs(10);
pub const HOST: &str = "h.example";
pub const LEAST_PULSE: Duration = Duration::from_millis(250);

/// Waits for what must come.
pub async fn soon<T>(what: &str, coming: impl Future<Output = T>) -> T {
    timeout(SOON, coming)
        .await
        .unwrap_or_else(|_| panic!("in time: {what}"))
}

/// Tries again and again until there is something.
pub async fn until<T, F: Future<Output = Option<T>>>(what: &str, mut look: impl FnMut() -> F) -> T {
    let mut beat = interval(Duration::from_millis(10));
    let looking = async {
        loop {
            beat.tick().await;
            if let Some(found) = look().await {
                return found;
            }
        }
    };
    soon(what, looking).await
}

// ---- What the registry tells ----

pub fn item(kind: ItemKind, name: &str, ver: u64, body: Option<String>) -> Item {
    Item {
        key: ItemKey {
            kind,
            name: name.into(),
        },
        version: Version(ver),
        body,
    }
}

/// A service whose cold servers bear so many requests a second, and are warm at once where nobody says that
/// they are cold.
pub fn service(name: &str, ver: u64, per_s: f64) -> Item {
    let bounds = format!(
        "\"hcheck\":\"/healthz\",\"maxconn\":100,\"warmup\":\"0s\",\"warmup_per_s\":{per_s:.1}"
    );
    item(
        ItemKind::Service,
        name,
        ver,
        Some(format!("{{\"name\":\"{name}\",{bounds},\"ver\":{ver}}}")),
    )
}

#[derive(Clone, Copy)]
pub struct RouteTo<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u32,
    pub aim_ms: u32,
    pub tries: u32,
    pub ver: u64,
}

/// Readonly, to the service `s`, for two tries.
pub const READ: RouteTo = RouteTo {
    name: "read",
    prefix: "/read/",
    kind: "readonly",
    service: "s",
    timeout_ms: 8_000,
    aim_ms: 1_000,
    tries: 2,
    ver: 1,
};

/// Mutating, to the service `s`, for two tries.
pub const WRITE: RouteTo = RouteTo {
    name: "write",
    prefix: "/write/",
    kind: "mutating",
    ..READ
};

impl RouteTo<'_> {
    pub fn item(&self) -> Item {
        let RouteTo {
            name,
            prefix,
            kind,
            service,
            timeout_ms,
            aim_ms,
            tries,
            ver,
        } = self;
        let times = format!("\"timeout\":\"{timeout_ms}ms\",\"target_time\":\"{aim_ms}ms\"");
        let to = format!("\"prio\":1,\"svc\":\"{service}\",\"tries\":{tries},\"ver\":{ver}");
        let loc = format!(
            "{{\"name\":\"{name}\",\"pfx\":\"{prefix}\",\"type\":\"{kind}\",{times},{to}}}"
        );
        let body = format!("{{\"hostname\":\"{HOST}\",\"loc\":{loc}}}");
        item(ItemKind::Route, name, *ver, Some(body))
    }
}

/// The service `s` and both routes to it.
pub fn usual() -> Vec<Item> {
    vec![service("s", 1, 10.0), READ.item(), WRITE.item()]
}

/// A instance of the service `s` in the proxy's zone, at this address.
pub fn instance(id: &str, address: SocketAddr) -> Instance {
    Instance {
        id: id.into(),
        service: "s".into(),
        address,
        zone: "north".into(),
        slots: 4,
        status: Status::Up,
        seq: 1,
        cold_ms: 0,
    }
}

pub fn told(ip: Ipv4Addr, settled: bool, limiters: u32) -> ToProxy {
    // The session fills in the nonce.
    ToProxy::Confirmation {
        nonce: Nonce(0),
        age: settled.then_some(Duration::ZERO),
        proxies: limiters,
        registries: vec![ip],
    }
}

/// One session of the proxy with the stand-in registry.
pub struct Session {
    ip: Ipv4Addr,
    number: u64,
    messages: mpsc::UnboundedSender<ToProxy>,
    /// Up to where the proxy has followed.
    at: watch::Receiver<u64>,
}

impl Session {
    async fn accept(ip: Ipv4Addr, listener: &TcpListener) -> Session {
        let (mut stream, _) = soon("a session", listener.accept())
            .await
            .expect("accepted");
        let (mut from, mut to) = stream.split();
        ProcessIdentity::new(1)
            .handshake(&mut from, &mut to)
            .await
            .expect("greeted");
        assert_eq!(
            frames::read::<ConnectionRole>(&mut stream)
                .await
                .expect("said"),
            ConnectionRole::Proxy
        );
        let hello: FromProxy = frames::read(&mut stream).await.expect("said");
        assert!(matches!(hello, FromProxy::Hello { .. }), "{hello:?}");
        let (mut from, mut to) = stream.into_split();
        let (messages, mut queued) = mpsc::unbounded_channel();
        let (followed, at) = watch::channel(0);
        let (questions, asked) = watch::channel(Nonce(0));
        tokio::spawn(async move {
            let mut beat = interval(LEAST_PULSE);
            let mut at = Revision {
                incarnation: Incarnation(1),
                number: 0,
            };
            loop {
                // A registry that has nothing to say would be left: says again where it stands.
                let mut message = tokio::select! {
                    message = queued.recv() => match message {
                        Some(message) => message,
                        None => return,
                    },
                    _ = beat.tick() => ToProxy::Changes { revision: at, items: vec![], instances: vec![] },
                };
                if let ToProxy::Snapshot { revision, .. } | ToProxy::Changes { revision, .. } =
                    &message
                {
                    at = *revision;
                }
                if let ToProxy::Confirmation { nonce, .. } = &mut message {
                    *nonce = *asked.borrow();
                }
                if frames::write(&mut to, &message).await.is_err() {
                    return;
                }
            }
        });
        tokio::spawn(async move {
            while let Ok(FromProxy::KeepAlive { applied, nonce }) = frames::read(&mut from).await {
                questions.send_replace(nonce);
                if let Some(applied) = applied {
                    followed.send_replace(applied.number);
                }
            }
        });
        Session {
            ip,
            number: 0,
            messages,
            at,
        }
    }

    pub fn say(&self, message: ToProxy) {
        _ = self.messages.send(message);
    }

    fn next(&mut self) -> Revision {
        self.number += 1;
        Revision {
            incarnation: Incarnation(1),
            number: self.number,
        }
    }

    /// Tells everything; returns once the proxy has followed.
    pub async fn snapshot(&mut self, items: Vec<Item>, instances: Vec<Instance>) {
        let revision = self.next();
        self.say(ToProxy::Snapshot {
            revision,
            items,
            instances,
            complete: true,
            next_part: None,
        });
        self.followed().await;
    }

    /// Tells what changed; returns once the proxy has followed. Whatever it takes in later meets the change.
    pub async fn change(&mut self, items: Vec<Item>, instances: Vec<Instance>) {
        let revision = self.next();
        self.say(ToProxy::Changes {
            revision,
            items,
            instances,
        });
        self.followed().await;
    }

    async fn followed(&mut self) {
        let number = self.number;
        soon("changes followed", self.at.wait_for(|at| *at >= number))
            .await
            .expect("the session stands");
    }

    /// Says from now on that it is settled and how many limiters there are.
    pub fn keep_settled(&self, limiters: u32) {
        let (ip, messages) = (self.ip, self.messages.clone());
        tokio::spawn(async move {
            let mut beat = interval(LEAST_PULSE);
            loop {
                beat.tick().await;
                if messages.send(told(ip, true, limiters)).is_err() {
                    return;
                }
            }
        });
    }
}

// ---- The proxy ----

/// What of the settings tests change.
#[derive(Clone, Copy)]
pub struct Figures {
    pub grace: &'static str,
    pub retry_ratio: f64,
    pub retry_extra: u32,
    pub warm_excess: f64,
    pub warm_extra: u32,
}

/// A budget that allows every second try from the first request on.
pub const FIGURES: Figures = Figures {
    grace: "8s",
    retry_ratio: 1_000.0,
    retry_extra: 0,
    warm_excess: 1.5,
    warm_extra: 5,
};

/// The proxy's process and its registry; it ends with the test.
pub struct Proxy {
    child: Child,
    pub ip: Ipv4Addr,
    pub http: SocketAddr,
    pub readyz: SocketAddr,
    pub listener: TcpListener,
    _file: tempfile::NamedTempFile,
}

/// A loopback address that no other test has: tried, as other runs may be going on.
async fn place() -> (Ipv4Addr, TcpListener) {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let drawn = std::process::id()
            .wrapping_mul(97)
            .wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        // Numbers that follow each other are different addresses, none of which ends with 0 or 255.
        let (number, last) = (drawn / 254, 1 + (drawn % 254) as u8);
        let ip = Ipv4Addr::new(
            127,
            80 + (number / 256 % 100) as u8,
            (number % 256) as u8,
            last,
        );
        if let Ok(listener) = TcpListener::bind((ip, 0)).await {
            let port = listener.local_addr().expect("bound").port();
            if (2_000..60_000).contains(&port) {
                return (ip, listener);
            }
        }
    }
}

/// Where a proxy listens at the address that no other test has: below the ports that the system draws from. Ports that were
/// drawn and given back for the proxy were at times still taken when it came to listen.
const HTTP_PORT: u16 = 21_001;
const READYZ_PORT: u16 = 21_002;

impl Proxy {
    /// Starts it; nothing is told yet.
    pub async fn start(figures: Figures) -> Proxy {
        let (ip, listener) = place().await;
        let port = listener.local_addr().expect("bound").port();
        let (http, readyz) = (
            SocketAddr::from((ip, HTTP_PORT)),
            SocketAddr::from((ip, READYZ_PORT)),
        );
        let Figures {
            grace,
            retry_ratio,
            retry_extra,
            warm_excess,
            warm_extra,
        } = figures;
        let text = format!(
            r#"
[self]
nodename = "edge-1"
ip = "{ip}"
az = "north"
rgn = "land"
voting = false
bootstrap = false
limits = {{ nofile = 1024, mem_mb = 256 }}
[network]
port_range = [{}, {}]
seeds = ["{ip}:1"]
listen = {{ http = "{http}", readyz = "{readyz}" }}
zones = {{ north = "land", south = "land" }}
[infra]
hb = "1300ms"
[defs.tolerance]
nodes = 1
[defs.bounds]
contact = "3000ms"
ack = "5000ms"
drain = "2500ms"
grace = "{grace}"
apply = "2500ms"
evac = "5000ms"
retry_ratio = {retry_ratio:.2}
retry_win = "10s"
retry_extra = {retry_extra}
warm_excess = {warm_excess:.2}
warm_extra = {warm_extra}
"#,
            port - 1,
            port + 14
        );
        let mut file = tempfile::NamedTempFile::new().expect("a file");
        file.write_all(text.as_bytes()).expect("written");
        let child = Command::new(env!("CARGO_BIN_EXE_emberpin-proxy"))
            .env("EMBERPIN_NODE_FILE", file.path())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("starts");
        Proxy {
            child,
            ip,
            http,
            readyz,
            listener,
            _file: file,
        }
    }

    pub async fn session(&self) -> Session {
        Session::accept(self.ip, &self.listener).await
    }

    /// Starts it, tells it these, and returns once it is ready.
    pub async fn ready(
        figures: Figures,
        items: Vec<Item>,
        instances: Vec<Instance>,
    ) -> (Proxy, Session) {
        let proxy = Proxy::start(figures).await;
        let mut session = proxy.session().await;
        session.keep_settled(1);
        session.snapshot(items, instances).await;
        proxy.is_ready(true).await;
        (proxy, session)
    }

    /// Waits until the answer at `readyz` is this.
    pub async fn is_ready(&self, ready: bool) {
        let status = if ready { 200 } else { 503 };
        let asked = || async { (self.readiness().await == Some(status)).then_some(()) };
        until("readiness", asked).await;
    }

    pub async fn readiness(&self) -> Option<u16> {
        let mut client = Client::try_connect(self.readyz).await?;
        client
            .send("GET", "/readyz", &[("connection", "close")], b"")
            .await;
        Some(client.answer().await?.status)
    }

    pub async fn client(&self) -> Client {
        until("a connection", || Client::try_connect(self.http)).await
    }

    /// One request on a connection of its own.
    pub async fn ask(&self, method: &str, path: &str, id: &str) -> Answered {
        let mut client = self.client().await;
        client
            .send(method, path, &[("try-id", id), ("deadline", "8000")], b"")
            .await;
        client.answer().await.expect("an answer")
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill")
            .args([signal, &pid])
            .status()
            .expect("kill runs");
        assert!(status.success());
    }

    /// Its status, once it has ended.
    pub async fn ended(&mut self) -> Option<i32> {
        let child = Mutex::new(&mut self.child);
        until("the process's end", || async {
            child.lock().expect("one test").try_wait().expect("waits")
        })
        .await
        .code()
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

// ---- Bytes ----

/// The head of a message, and what it says of its body.
#[derive(Clone, Debug)]
pub struct Read {
    pub first: String,
    pub headers: HashMap<String, String>,
    /// Decoded.
    pub body: Vec<u8>,
    /// It ended as its head says.
    pub whole: bool,
}

impl Read {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

/// Reads one message; `None` if the connection ends before the end of its head.
pub async fn read(stream: &mut TcpStream, answer: bool) -> Option<Read> {
    let (first, headers) = read_head(stream).await?;
    read_body(stream, answer, first, headers).await
}

/// Reads a message's first line and headers.
pub async fn read_head(stream: &mut TcpStream) -> Option<(String, HashMap<String, String>)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).expect("text");
    let mut lines = head.lines();
    let first = lines.next().expect("a line").to_string();
    let named = lines.filter_map(|line| line.split_once(':'));
    let headers: HashMap<String, String> = named
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string()))
        .collect();
    Some((first, headers))
}

/// Reads what follows such a head.
pub async fn read_body(
    stream: &mut TcpStream,
    answer: bool,
    first: String,
    headers: HashMap<String, String>,
) -> Option<Read> {
    let mut body = Vec::new();
    let whole = if headers
        .get("transfer-encoding")
        .is_some_and(|coding| coding == "chunked")
    {
        read_chunks(stream, &mut body).await.is_some()
    } else if let Some(length) = headers.get("content-length") {
        let length = length.parse().expect("a length");
        stream.take(length).read_to_end(&mut body).await.is_ok() && body.len() as u64 == length
    } else {
        // An answer without a length ends with its connection; a request without one has no body.
        !answer || stream.read_to_end(&mut body).await.is_ok()
    };
    Some(Read {
        first,
        headers,
        body,
        whole,
    })
}

async fn read_chunks(stream: &mut TcpStream, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let mut line = Vec::new();
        while !line.ends_with(b"\r\n") {
            line.push(stream.read_u8().await.ok()?);
        }
        let size = usize::from_str_radix(std::str::from_utf8(&line).ok()?.trim(), 16).ok()?;
        let mut chunk = vec![0; size + 2];
        stream.read_exact(&mut chunk).await.ok()?;
        body.extend_from_slice(&chunk[..size]);
        if size == 0 {
            return Some(());
        }
    }
}

// ---- Clients ----

#[derive(Clone, Debug)]
pub struct Answered {
    pub status: u16,
    pub read: Read,
}

impl Answered {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.read.body).into_owned()
    }
}

pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    pub async fn try_connect(to: SocketAddr) -> Option<Client> {
        TcpStream::connect(to)
            .await
            .ok()
            .map(|stream| Client { stream })
    }

    pub async fn send(&mut self, method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) {
        let mut request = format!("{method} {path} HTTP/1.1\r\nhost: {HOST}\r\n");
        headers
            .iter()
            .for_each(|(name, value)| request.push_str(&format!("{name}: {value}\r\n")));
        if !body.is_empty() {
            request.push_str(&format!("content-length: {}\r\n", body.len()));
        }
        request.push_str("\r\n");
        self.write(request.as_bytes()).await;
        self.write(body).await;
    }

    pub async fn write(&mut self, bytes: &[u8]) {
        soon("a write", self.stream.write_all(bytes))
            .await
            .expect("sent");
    }

    /// The next answer; `None` if the connection ends before one begins.
    pub async fn answer(&mut self) -> Option<Answered> {
        let read = soon("an answer", read(&mut self.stream, true)).await?;
        let status = read.first.split(' ').nth(1)?.parse().ok()?;
        Some(Answered { status, read })
    }
}

// ---- Servers ----

/// A stand-in server: the test answers what was asked of it.
pub struct Server {
    pub address: SocketAddr,
    pub asked: mpsc::UnboundedReceiver<Asked>,
    /// Connections that it has accepted.
    pub connections: Arc<AtomicU32>,
}

/// A request at a server; dropping it closes its connection.
pub struct Asked {
    pub read: Read,
    pub stream: TcpStream,
    queue: mpsc::UnboundedSender<Asked>,
}

impl Server {
    pub async fn start(ip: Ipv4Addr) -> Server {
        let listener = TcpListener::bind((ip, 0)).await.expect("bound");
        Server::on(listener)
    }

    pub async fn anywhere() -> Server {
        Server::start(Ipv4Addr::LOCALHOST).await
    }

    pub fn on(listener: TcpListener) -> Server {
        let address = listener.local_addr().expect("bound");
        let (queue, asked) = mpsc::unbounded_channel();
        let connections = Arc::new(AtomicU32::new(0));
        let count = connections.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                count.fetch_add(1, Ordering::Relaxed);
                // What a server writes later must not wait for the proxy's word on what it wrote before.
                _ = stream.set_nodelay(true);
                tokio::spawn(hear(stream, queue.clone()));
            }
        });
        Server {
            address,
            asked,
            connections,
        }
    }

    pub async fn next(&mut self) -> Asked {
        soon("a request at the server", self.asked.recv())
            .await
            .expect("it listens")
    }

    /// Whether nothing that has reached it waits.
    pub fn is_unasked(&mut self) -> bool {
        self.asked.try_recv().is_err()
    }

    /// Answers everything well from now on, with this body; tells the ids of what it was asked, and when.
    pub fn serve(mut self, body: &'static str) -> Arc<Mutex<Vec<(String, Instant)>>> {
        let served = Arc::new(Mutex::new(Vec::new()));
        let noted = served.clone();
        tokio::spawn(async move {
            while let Some(asked) = self.asked.recv().await {
                let id = asked.header("try-id").unwrap_or_default().to_string();
                noted.lock().expect("one writer").push((id, Instant::now()));
                asked.answer(200, &[], body).await;
            }
        });
        served
    }
}

async fn hear(mut stream: TcpStream, queue: mpsc::UnboundedSender<Asked>) {
    if let Some(read) = read(&mut stream, false).await {
        _ = queue.clone().send(Asked {
            read,
            stream,
            queue,
        });
    }
}

impl Asked {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.read.header(name)
    }

    /// The bytes of an answer to it.
    pub fn worded(&self, status: u16, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
        let id = self.header("try-id").unwrap_or_default();
        let mut text = format!("HTTP/1.1 {status} X\r\ntry-id: {id}\r\nseal: s.{id}\r\n");
        headers
            .iter()
            .for_each(|(name, value)| text.push_str(&format!("{name}: {value}\r\n")));
        text.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
        text.into_bytes()
    }

    pub async fn write(&mut self, bytes: &[u8]) {
        _ = self.stream.write_all(bytes).await;
    }

    /// Answers, and hears what else comes on the connection.
    pub async fn answer(mut self, status: u16, headers: &[(&str, &str)], body: &str) {
        let bytes = self.worded(status, headers, body);
        self.write(&bytes).await;
        self.keep();
    }

    pub fn keep(self) {
        tokio::spawn(hear(self.stream, self.queue));
    }

    /// Waits until the proxy has ended the connection.
    pub async fn broken_off(&mut self) {
        let mut byte = [0];
        let end = soon("the attempt's end", self.stream.read(&mut byte)).await;
        assert!(matches!(end, Ok(0) | Err(_)), "nothing more comes on it");
    }
}
