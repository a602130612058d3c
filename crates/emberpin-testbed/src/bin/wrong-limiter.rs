//! A limiter made wrong on purpose, for the referee's own tests: it serves, follows the list of servers, leaves
//! after SIGTERM, and does one thing that no limiter may do, named by its one argument. It is no example.
#![forbid(unsafe_code)]

use emberpin_testbed::http::{ReadError, Head, Wire};
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

/// What it does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wrong {
    /// Nothing: the others differ from this only by what they are named for.
    Nothing,
    /// Sends a keyed request that may have run to another hall.
    ResendsAcrossHalls,
    /// Sends a safe request again without waiting for the end of its first attempt.
    SendsTwice,
    /// Goes on sending to servers that drain.
    KeepsDrained,
    /// Writes some answers twice.
    AnswersTwice,
    /// Ends at SIGTERM with what it holds.
    LosesAtRestart,
    /// Refuses what may have run.
    RefusesWhatRan,
    /// Answers some requests only after the client's time.
    AnswersLate,
    /// Answers some requests with what no server said.
    MakesAnswersUp,
    /// Sends everything to the server that started last.
    FloodsCold,
    /// Sends requests that no client made.
    Invents,
    /// Does not start again once it has run.
    StartsOnce,
}

const ALL: [(&str, Wrong); 12] = [
    ("nothing", Wrong::Nothing),
    ("resends-across-halls", Wrong::ResendsAcrossHalls),
    ("sends-twice", Wrong::SendsTwice),
    ("keeps-drained", Wrong::KeepsDrained),
    ("answers-twice", Wrong::AnswersTwice),
    ("loses-at-restart", Wrong::LosesAtRestart),
    ("refuses-what-ran", Wrong::RefusesWhatRan),
    ("answers-late", Wrong::AnswersLate),
    ("makes-answers-up", Wrong::MakesAnswersUp),
    ("floods-cold", Wrong::FloodsCold),
    ("invents", Wrong::Invents),
    ("starts-once", Wrong::StartsOnce),
];

/// What it does wrong, it does to every so many requests.
const EVERY: usize = 7;

/// A server as the list has it.
#[derive(Clone)]
struct Server {
    at: SocketAddr,
    hall: String,
    boot_ms: f64,
}

struct Limiter {
    wrong: Wrong,
    servers: RefCell<BTreeMap<String, Server>>,
    next: Cell<usize>,
    open: Cell<usize>,
    leaving: Cell<bool>,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let name = std::env::args().nth(1).unwrap_or_default();
    let wrong = ALL
        .iter()
        .find(|(known, _)| *known == name)
        .ok_or(format!("unknown wrong '{name}'"))?
        .1;
    let file = std::env::var("GW_CONFIG")?;
    let config: Value = serde_json::from_slice(&std::fs::read(&file)?)?;
    let ran = format!("{file}.ran");
    if wrong == Wrong::StartsOnce && std::fs::exists(&ran)? {
        return Err("this one starts only once".into());
    }
    std::fs::write(ran, "")?;
    LocalSet::new().run_until(run(wrong, config)).await
}

async fn run(wrong: Wrong, config: Value) -> Result<(), Box<dyn std::error::Error>> {
    let address = |key: &str| {
        config[key]
            .as_str()
            .unwrap_or_default()
            .parse::<SocketAddr>()
    };
    let mut terminated = signal(SignalKind::terminate())?;
    let limiter = Rc::new(Limiter {
        wrong,
        servers: RefCell::default(),
        next: Cell::new(0),
        open: Cell::new(0),
        leaving: Cell::new(false),
    });
    limiter.take(&config["known"]);
    spawn_local(limiter.clone().follow(address("discovery")?));
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address("listen")?)?;
    let (close, closes) = tokio::sync::watch::channel(false);
    let accepting = spawn_local(limiter.clone().accept(socket.listen(512)?, closes));
    terminated.recv().await;
    if wrong == Wrong::LosesAtRestart {
        return Ok(());
    }
    limiter.leaving.set(true);
    // The front has noticed by then; what is open is answered.
    sleep(Duration::from_millis(700)).await;
    // What waits to be taken in is taken in, and what was taken in last has its time to ask.
    close.send_replace(true);
    _ = accepting.await;
    sleep(Duration::from_millis(200)).await;
    while limiter.open.get() > 0 {
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
            spawn_local(async move { limiter.client(Wire::new(stream)).await });
        }
    }

    fn take(&self, listing: &Value) {
        let mut servers = self.servers.borrow_mut();
        if listing["all"] == true {
            servers.clear();
        }
        for target in listing["targets"].as_array().into_iter().flatten() {
            let text = |key: &str| target[key].as_str().unwrap_or_default().to_string();
            let Ok(at) = text("endpoint").parse() else {
                continue;
            };
            let ready = text("state") == "ready";
            let stays = self.wrong == Wrong::KeepsDrained && text("state") == "draining";
            if ready || stays {
                let boot_ms = target["boot_ms"].as_f64().unwrap_or(0.0);
                servers.insert(
                    text("uid"),
                    Server {
                        at,
                        hall: text("az"),
                        boot_ms,
                    },
                );
            } else {
                servers.remove(&text("uid"));
            }
        }
    }

    /// Holds a watch for good.
    async fn follow(self: Rc<Self>, discovery: SocketAddr) {
        loop {
            if let Ok(mut stream) = TcpStream::connect(discovery).await {
                let asked = b"GET /registry/instances?follow=1 HTTP/1.1\r\nHost: d\r\n\r\n";
                _ = stream.write_all(asked).await;
                let mut lines = BufReader::new(stream).lines();
                // Sizes of chunks and heads are no objects; what is one is a listing.
                while let Ok(Some(line)) = lines.next_line().await {
                    if let Ok(listing @ Value::Object(_)) = serde_json::from_str(&line) {
                        self.take(&listing);
                    }
                }
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    async fn client(&self, mut wire: Wire) {
        while let Ok((head, body)) = wire.read(false).await {
            if head.path == "/health/ready" {
                _ = wire
                    .stream
                    .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    .await;
                continue;
            }
            self.open.set(self.open.get() + 1);
            let number = self.next.replace(self.next.get() + 1);
            let mut answer = self.answer(&head, &body, number).await;
            // Else the next request comes on this connection just as the process ends.
            let line = answer
                .windows(2)
                .position(|two| two == b"\r\n")
                .filter(|_| self.leaving.get());
            if let Some(end) = line {
                answer.splice(end..end, *b"\r\nConnection: close");
            }
            let written = wire.stream.write_all(&answer).await;
            self.open.set(self.open.get() - 1);
            if self.wrong == Wrong::AnswersTwice && number.is_multiple_of(EVERY) {
                _ = wire.stream.write_all(&answer).await;
            }
            if written.is_err() || self.leaving.get() {
                return;
            }
        }
    }

    async fn answer(&self, head: &Head, body: &[u8], number: usize) -> Vec<u8> {
        let ours = number.is_multiple_of(EVERY);
        match self.wrong {
            Wrong::MakesAnswersUp if ours => return reply("200 OK", b"done"),
            Wrong::AnswersLate if ours => {
                let patience = head
                    .header("req-deadline")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0.0);
                sleep(Duration::from_secs_f64(patience + 0.055)).await;
                return reply("502 Bad Gateway", b"");
            }
            _ => {}
        }
        let keyed = head.method == "POST";
        let Some(first) = self.choose(number, None) else {
            return reply("503 Nobody", b"");
        };
        if self.wrong == Wrong::SendsTwice && ours && !keyed {
            // The second leaves while the first is out.
            let (one, _) = tokio::join!(self.send(&first, head, body, None), async {
                sleep(Duration::from_millis(1)).await;
                match self.choose(number + 1, None) {
                    Some(second) => self.send(&second, head, body, None).await,
                    None => Sent::NeverRan,
                }
            });
            return one.into_answer();
        }
        let invented = (self.wrong == Wrong::Invents && ours).then_some("0000000000000000");
        let sent = self.send(&first, head, body, invented).await;
        match (self.wrong, sent) {
            (Wrong::ResendsAcrossHalls, Sent::MayHaveRun) if keyed => {
                match self.choose(number + 1, Some(&first.hall)) {
                    Some(other) => self.send(&other, head, body, None).await.into_answer(),
                    None => reply("502 Bad Gateway", b""),
                }
            }
            (Wrong::RefusesWhatRan, Sent::MayHaveRun) if keyed => reply("429 Too Many", b""),
            (_, sent) => sent.into_answer(),
        }
    }

    /// A server by turns, outside a hall if one is named.
    fn choose(&self, number: usize, not_in: Option<&str>) -> Option<Server> {
        let servers = self.servers.borrow();
        let fit: Vec<&Server> = servers
            .values()
            .filter(|s| not_in.is_none_or(|hall| s.hall != hall))
            .collect();
        if self.wrong == Wrong::FloodsCold {
            return fit
                .iter()
                .max_by(|a, b| a.boot_ms.total_cmp(&b.boot_ms))
                .map(|server| (*server).clone());
        }
        fit.get(number % fit.len().max(1))
            .map(|server| (*server).clone())
    }

    async fn send(&self, server: &Server, head: &Head, body: &[u8], id: Option<&str>) -> Sent {
        let patience = head
            .header("req-deadline")
            .and_then(|text| text.parse().ok())
            .unwrap_or(1.0);
        let patience = Duration::from_secs_f64(patience).saturating_sub(Duration::from_millis(30));
        let Ok(stream) = TcpStream::connect(server.at).await else {
            return Sent::NeverRan;
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
            return Sent::MayHaveRun;
        }
        match timeout(patience, wire.read(true)).await {
            Ok(Ok((head, body))) if head.status == 200 => Sent::Served(body),
            Ok(Ok((head, _))) if head.header("srv-declined").is_some() => Sent::NeverRan,
            Ok(Ok(_) | Err(ReadError::Closed | ReadError::Truncated | ReadError::Malformed)) | Err(_) => {
                Sent::MayHaveRun
            }
        }
    }
}

/// How an attempt came out.
enum Sent {
    Served(Vec<u8>),
    NeverRan,
    MayHaveRun,
}

impl Sent {
    fn into_answer(self) -> Vec<u8> {
        match self {
            Sent::Served(body) => reply("200 OK", &body),
            Sent::NeverRan => reply("429 Too Many", b""),
            Sent::MayHaveRun => reply("502 Bad Gateway", b""),
        }
    }
}

fn reply(status: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}
