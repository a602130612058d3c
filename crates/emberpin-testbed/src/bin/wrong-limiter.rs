//! A deliberately defective limiter for the tests of the invariant checker. It serves requests, follows the endpoint
//! list, shuts down after SIGTERM, and violates one rule; its only argument names the defect. It is not an example of a
//! limiter.
#![forbid(unsafe_code)]

use emberpin_testbed::http::{Head, ReadError, Wire};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout};

/// The defect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Defect {
    /// No defect. Each other variant behaves like this one, apart from the defect that it names.
    Nothing,
    /// Resends a keyed request that may have run, to a server of another zone.
    ResendsAcrossZones,
    /// Sends a second attempt of a safe request while the first is in flight.
    SendsTwice,
    /// Sends new requests to draining servers.
    KeepsDrained,
    /// Writes some responses twice.
    AnswersTwice,
    /// Exits at SIGTERM and drops the requests in flight.
    LosesAtRestart,
    /// Rejects requests that may have run.
    RefusesWhatRan,
    /// Answers some requests only after the client's time limit.
    AnswersLate,
    /// Answers some requests with a response that no server made.
    MakesAnswersUp,
    /// Sends every request to the server that started last.
    FloodsCold,
    /// Sends attempts with an id that no client used.
    Invents,
    /// Exits with an error when it is restarted.
    StartsOnce,
}

const DEFECTS: [(&str, Defect); 12] = [
    ("nothing", Defect::Nothing),
    ("resends-across-halls", Defect::ResendsAcrossZones),
    ("sends-twice", Defect::SendsTwice),
    ("keeps-drained", Defect::KeepsDrained),
    ("answers-twice", Defect::AnswersTwice),
    ("loses-at-restart", Defect::LosesAtRestart),
    ("refuses-what-ran", Defect::RefusesWhatRan),
    ("answers-late", Defect::AnswersLate),
    ("makes-answers-up", Defect::MakesAnswersUp),
    ("floods-cold", Defect::FloodsCold),
    ("invents", Defect::Invents),
    ("starts-once", Defect::StartsOnce),
];

/// A defect that affects only some requests affects one in this many.
const DEFECT_INTERVAL: usize = 7;

/// A server of the endpoint list.
#[derive(Clone)]
struct Server {
    address: SocketAddr,
    zone: String,
    boot_ms: f64,
}

struct Limiter {
    defect: Defect,
    servers: RefCell<BTreeMap<String, Server>>,
    next: Cell<usize>,
    open_requests: Cell<usize>,
    draining: Cell<bool>,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let name = std::env::args().nth(1).unwrap_or_default();
    let defect = DEFECTS
        .iter()
        .find(|(defect_name, _)| *defect_name == name)
        .ok_or(format!("unknown defect '{name}'"))?
        .1;
    let file = std::env::var("GW_CONFIG")?;
    let config: Value = serde_json::from_slice(&std::fs::read(&file)?)?;
    let marker = format!("{file}.ran");
    if defect == Defect::StartsOnce && std::fs::exists(&marker)? {
        return Err("a limiter with the defect starts-once starts only once".into());
    }
    std::fs::write(marker, "")?;
    LocalSet::new().run_until(run(defect, config)).await
}

async fn run(defect: Defect, config: Value) -> Result<(), Box<dyn std::error::Error>> {
    let address = |key: &str| {
        config[key]
            .as_str()
            .unwrap_or_default()
            .parse::<SocketAddr>()
    };
    let mut terminated = signal(SignalKind::terminate())?;
    let limiter = Rc::new(Limiter {
        defect,
        servers: RefCell::default(),
        next: Cell::new(0),
        open_requests: Cell::new(0),
        draining: Cell::new(false),
    });
    limiter.apply_list(&config["known"]);
    spawn_local(limiter.clone().watch_list(address("discovery")?));
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address("listen")?)?;
    let (close, closes) = tokio::sync::watch::channel(false);
    let accepting = spawn_local(limiter.clone().accept(socket.listen(512)?, closes));
    terminated.recv().await;
    if defect == Defect::LosesAtRestart {
        return Ok(());
    }
    limiter.draining.set(true);
    // New requests are served for this long, so that the clients notice the shutdown before connections are refused.
    sleep(Duration::from_millis(700)).await;
    // Connections in the listen queue are accepted before the listener closes, and get time to send a request.
    close.send_replace(true);
    _ = accepting.await;
    sleep(Duration::from_millis(200)).await;
    while limiter.open_requests.get() > 0 {
        sleep(Duration::from_millis(5)).await;
    }
    Ok(())
}

impl Limiter {
    async fn accept(
        self: Rc<Self>,
        listener: TcpListener,
        mut closes: tokio::sync::watch::Receiver<bool>,
    ) {
        loop {
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                _ = closes.wait_for(|closes| *closes) => return,
            };
            let Ok((stream, _)) = accepted else { return };
            let limiter = self.clone();
            spawn_local(async move { limiter.serve_client(Wire::new(stream)).await });
        }
    }

    fn apply_list(&self, list: &Value) {
        let mut servers = self.servers.borrow_mut();
        if list["all"] == true {
            servers.clear();
        }
        for target in list["targets"].as_array().into_iter().flatten() {
            let text = |key: &str| target[key].as_str().unwrap_or_default().to_string();
            let Ok(address) = text("endpoint").parse() else {
                continue;
            };
            let ready = text("state") == "ready";
            let is_wrongly_kept =
                self.defect == Defect::KeepsDrained && text("state") == "draining";
            if ready || is_wrongly_kept {
                let boot_ms = target["boot_ms"].as_f64().unwrap_or(0.0);
                servers.insert(
                    text("uid"),
                    Server {
                        address,
                        zone: text("az"),
                        boot_ms,
                    },
                );
            } else {
                servers.remove(&text("uid"));
            }
        }
    }

    /// Keeps a watch on the endpoint list, reconnecting when it ends.
    async fn watch_list(self: Rc<Self>, discovery: SocketAddr) {
        loop {
            if let Ok(mut stream) = TcpStream::connect(discovery).await {
                let request = b"GET /registry/instances?follow=1 HTTP/1.1\r\nHost: d\r\n\r\n";
                _ = stream.write_all(request).await;
                let mut lines = BufReader::new(stream).lines();
                // Chunk sizes and headers do not parse as JSON objects; a line that does is an update of the list.
                while let Ok(Some(line)) = lines.next_line().await {
                    if let Ok(list @ Value::Object(_)) = serde_json::from_str(&line) {
                        self.apply_list(&list);
                    }
                }
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    async fn serve_client(&self, mut wire: Wire) {
        while let Ok((head, body)) = wire.read(false).await {
            if head.path == "/health/ready" {
                _ = wire
                    .stream
                    .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    .await;
                continue;
            }
            self.open_requests.set(self.open_requests.get() + 1);
            let number = self.next.replace(self.next.get() + 1);
            let mut response = self.handle_request(&head, &body, number).await;
            // A draining limiter closes the connection after the response: otherwise the next request could arrive
            // on it just as the process exits.
            let status_line_end = response
                .windows(2)
                .position(|two| two == b"\r\n")
                .filter(|_| self.draining.get());
            if let Some(end) = status_line_end {
                response.splice(end..end, *b"\r\nConnection: close");
            }
            let written = wire.stream.write_all(&response).await;
            self.open_requests.set(self.open_requests.get() - 1);
            if self.defect == Defect::AnswersTwice && number.is_multiple_of(DEFECT_INTERVAL) {
                _ = wire.stream.write_all(&response).await;
            }
            if written.is_err() || self.draining.get() {
                return;
            }
        }
    }

    async fn handle_request(&self, head: &Head, body: &[u8], number: usize) -> Vec<u8> {
        let is_affected = number.is_multiple_of(DEFECT_INTERVAL);
        match self.defect {
            Defect::MakesAnswersUp if is_affected => return response_bytes("200 OK", b"done"),
            Defect::AnswersLate if is_affected => {
                let time_limit = head
                    .header("req-deadline")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0.0);
                sleep(Duration::from_secs_f64(time_limit + 0.055)).await;
                return response_bytes("502 Bad Gateway", b"");
            }
            _ => {}
        }
        let keyed = head.method == "POST";
        let Some(first) = self.choose_server(number, None) else {
            return response_bytes("503 Nobody", b"");
        };
        if self.defect == Defect::SendsTwice && is_affected && !keyed {
            // The second attempt is sent while the first is in flight.
            let (first_result, _) =
                tokio::join!(self.send_attempt(&first, head, body, None), async {
                    sleep(Duration::from_millis(1)).await;
                    match self.choose_server(number + 1, None) {
                        Some(second) => self.send_attempt(&second, head, body, None).await,
                        None => AttemptResult::NeverRan,
                    }
                });
            return first_result.into_response();
        }
        let invented =
            (self.defect == Defect::Invents && is_affected).then_some("0000000000000000");
        let sent = self.send_attempt(&first, head, body, invented).await;
        match (self.defect, sent) {
            (Defect::ResendsAcrossZones, AttemptResult::MayHaveRun) if keyed => {
                match self.choose_server(number + 1, Some(&first.zone)) {
                    Some(other) => self
                        .send_attempt(&other, head, body, None)
                        .await
                        .into_response(),
                    None => response_bytes("502 Bad Gateway", b""),
                }
            }
            (Defect::RefusesWhatRan, AttemptResult::MayHaveRun) if keyed => {
                response_bytes("429 Too Many", b"")
            }
            (_, sent) => sent.into_response(),
        }
    }

    /// Chooses a server by request number, outside `excluded_zone` if one is given.
    fn choose_server(&self, number: usize, excluded_zone: Option<&str>) -> Option<Server> {
        let servers = self.servers.borrow();
        let candidates: Vec<&Server> = servers
            .values()
            .filter(|s| excluded_zone.is_none_or(|zone| s.zone != zone))
            .collect();
        if self.defect == Defect::FloodsCold {
            return candidates
                .iter()
                .max_by(|a, b| a.boot_ms.total_cmp(&b.boot_ms))
                .map(|server| (*server).clone());
        }
        candidates
            .get(number % candidates.len().max(1))
            .map(|server| (*server).clone())
    }

    async fn send_attempt(
        &self,
        server: &Server,
        head: &Head,
        body: &[u8],
        id: Option<&str>,
    ) -> AttemptResult {
        let time_limit = head
            .header("req-deadline")
            .and_then(|text| text.parse().ok())
            .unwrap_or(1.0);
        let time_limit =
            Duration::from_secs_f64(time_limit).saturating_sub(Duration::from_millis(30));
        let Ok(stream) = TcpStream::connect(server.address).await else {
            return AttemptResult::NeverRan;
        };
        let mut wire = Wire::new(stream);
        let id = id.or(head.header("req-id")).unwrap_or_default();
        let key = head
            .header("idempotency-key")
            .map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
        let (method, path, length) = (&head.method, &head.path, body.len());
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: s\r\nReq-Id: {id}\r\n{key}Content-Length: {length}\r\n\r\n"
        );
        let whole = [text.as_bytes(), body].concat();
        if wire.stream.write_all(&whole).await.is_err() {
            return AttemptResult::MayHaveRun;
        }
        match timeout(time_limit, wire.read(true)).await {
            Ok(Ok((head, body))) if head.status == 200 => AttemptResult::Served(body),
            Ok(Ok((head, _))) if head.header("srv-declined").is_some() => AttemptResult::NeverRan,
            Ok(Ok(_) | Err(ReadError::Closed | ReadError::Truncated | ReadError::Malformed))
            | Err(_) => AttemptResult::MayHaveRun,
        }
    }
}

/// The result of an attempt.
enum AttemptResult {
    Served(Vec<u8>),
    NeverRan,
    MayHaveRun,
}

impl AttemptResult {
    fn into_response(self) -> Vec<u8> {
        match self {
            AttemptResult::Served(body) => response_bytes("200 OK", &body),
            AttemptResult::NeverRan => response_bytes("429 Too Many", b""),
            AttemptResult::MayHaveRun => response_bytes("502 Bad Gateway", b""),
        }
    }
}

fn response_bytes(status: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}
