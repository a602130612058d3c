//! Drawn clients and drawn servers on both sides of the proxy's process, and a referee that knows which bytes belong to
//! which request. What servers send is split, interim, doubled, late, spoilt, cut and reset as drawn.
//!
//! The draws are the same in every run; `EMBERPIN_ANSWER_CASES` asks for more of them.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{
    instance, item, read, read_body, read_head, service, soon, Proxy, Read, RouteTo, Session,
    FIGURES, HOST, READ, WRITE,
};
use emberpin_config::{Item, ItemKind};
use emberpin_membership::instance::{Instance, Status};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use socket2::SockRef;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, LocalSet};

const CASES: u32 = 60;
const SERVERS: usize = 2;
/// Services that are told in one message: each message takes a beat of the session.
const TOLD_AT_ONCE: usize = 40;
const TRIES: u32 = 2;
/// A silent server holds a request for no longer.
const TIMEOUT_MS: u32 = 600;
const AIM_MS: u32 = 200;

// ---- What is drawn ----

/// The bytes of one answer: how long its body is, how it is framed and split, and what comes before it.
#[derive(Clone, Debug)]
struct Shape {
    size: usize,
    chunked: bool,
    interim: usize,
    pieces: usize,
}

/// What a server sends behind a whole answer.
#[derive(Clone, Debug)]
enum Behind {
    Nothing,
    SameAgain,
    /// The same once the next request has come on this connection, in the spot of its answer.
    SameLater,
    Garbage,
    Reset,
}

/// What a server does with a request.
#[derive(Clone, Debug)]
enum Step {
    Good(Shape, Behind),
    /// Ends after so many thousandths of its bytes.
    Cut(Shape, usize, Ending),
    /// The server's word that it has not run.
    NotRun(u16),
    /// A status without that word.
    Bare(u16),
    Unsealed(Shape),
    Encoded(Shape),
    /// A whole answer that names another request.
    Other(Shape),
    Garbage,
    /// Ends the connection when the head has come, or all of it.
    EndAtHead(Ending),
    EndAtBody(Ending),
    Silence,
}

#[derive(Clone, Copy, Debug)]
enum Ending {
    Close,
    Reset,
}

#[derive(Clone, Debug)]
struct Ask {
    mutating: bool,
    body: usize,
    pause: bool,
}

#[derive(Clone, Debug)]
struct Case {
    clients: Vec<Vec<Ask>>,
    steps: Vec<Step>,
}

fn shape() -> impl Strategy<Value = Shape> {
    let size = prop_oneof![4 => 0usize..300, 1 => Just(20_000usize), 1 => Just(120_000usize)];
    (size, any::<bool>(), 0usize..3, 1usize..5).prop_map(|(size, chunked, interim, pieces)| Shape {
        size,
        chunked,
        interim,
        pieces,
    })
}

fn ending() -> impl Strategy<Value = Ending> {
    prop_oneof![Just(Ending::Close), Just(Ending::Reset)]
}

fn step() -> impl Strategy<Value = Step> {
    let behind = prop_oneof![
        4 => Just(Behind::Nothing),
        2 => Just(Behind::SameAgain),
        4 => Just(Behind::SameLater),
        1 => Just(Behind::Garbage),
        1 => Just(Behind::Reset),
    ];
    prop_oneof![
        10 => (shape(), behind).prop_map(|(shape, behind)| Step::Good(shape, behind)),
        3 => (shape(), 0usize..1_000, ending()).prop_map(|(shape, at, ending)| Step::Cut(shape, at, ending)),
        2 => prop_oneof![Just(503u16), Just(429), Just(421), Just(400)].prop_map(Step::NotRun),
        2 => prop_oneof![Just(503u16), Just(429), Just(408), Just(500), Just(504)].prop_map(Step::Bare),
        1 => shape().prop_map(Step::Unsealed),
        1 => shape().prop_map(Step::Encoded),
        2 => shape().prop_map(Step::Other),
        1 => Just(Step::Garbage),
        2 => ending().prop_map(Step::EndAtHead),
        1 => ending().prop_map(Step::EndAtBody),
        2 => Just(Step::Silence),
    ]
}

fn case() -> impl Strategy<Value = Case> {
    let body = prop_oneof![2 => Just(0usize), 1 => Just(100usize), 1 => Just(300_000usize)];
    let ask = (any::<bool>(), body, any::<bool>()).prop_map(|(mutating, body, pause)| Ask {
        mutating,
        body,
        pause,
    });
    let clients = vec(vec(ask, 1..5), 1..3);
    (clients, vec(step(), 1..12)).prop_map(|(clients, steps)| Case { clients, steps })
}

// ---- The referee ----

/// One request as it reached a server.
struct Arrival {
    id: String,
    not_run: bool,
    /// The body that its answer has, or would have without its fault.
    body: Vec<u8>,
    /// Its answer is a success without a fault.
    good: bool,
    /// Its server breaks its answer off, or resets the connection behind it.
    breaks_off: bool,
}

#[derive(Default)]
struct Ledger {
    arrivals: Vec<Arrival>,
    steps: VecDeque<Step>,
}

type Shared = Rc<RefCell<Ledger>>;

impl Ledger {
    fn of(&self, id: &str) -> Vec<&Arrival> {
        self.arrivals
            .iter()
            .filter(|arrival| arrival.id == id)
            .collect()
    }

    /// What may not have reached servers.
    fn judge_arrivals(&self, ask: &Ask, id: &str) -> Result<(), String> {
        let arrivals = self.of(id);
        if arrivals.len() > TRIES as usize {
            return Err(format!("{id} reached servers {} times", arrivals.len()));
        }
        let repeated = arrivals
            .split_last()
            .is_some_and(|(_, earlier)| earlier.iter().any(|it| !it.not_run));
        if ask.mutating && repeated {
            return Err(format!("{id} was sent again although it may have run"));
        }
        Ok(())
    }

    /// Whether a client may see its connection reset before the head of an answer: of one that is passed on while it
    /// comes and breaks off, what has not been read yet goes with the reset.
    fn judge_silence(&self, id: &str) -> Result<(), String> {
        let broken_off = self.of(id).last().is_some_and(|arrival| arrival.breaks_off);
        broken_off
            .then_some(())
            .ok_or_else(|| format!("{id} got no answer"))
    }

    /// What a client may not have been told.
    fn judge(&self, id: &str, read: &Read) -> Result<u16, String> {
        let arrivals = self.of(id);
        let status: u16 = read
            .first
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .ok_or("no status")?;
        let all_not_run = arrivals.iter().all(|arrival| arrival.not_run);
        if matches!(status, 408 | 421 | 429 | 503) && !all_not_run {
            return Err(format!("{id} got {status} although it may have run"));
        }
        let belongs = |arrival: &&Arrival| match (status, read.whole) {
            (200..=299, true) => arrival.good && arrival.body == read.body,
            (_, true) => arrival.body == read.body,
            (_, false) => arrival.body.starts_with(&read.body),
        };
        let owed = read.body.is_empty() && !(200..=299).contains(&status);
        if !owed && !arrivals.iter().any(belongs) {
            let begin = String::from_utf8_lossy(&read.body[..read.body.len().min(40)]).into_owned();
            return Err(format!(
                "{id} got {status}, whole: {}, with bytes not its own: {begin:?}",
                read.whole
            ));
        }
        if (200..=299).contains(&status) && read.header("seal") != Some(&format!("s.{id}")) {
            return Err(format!("{id} got a success without its seal"));
        }
        Ok(status)
    }
}

// ---- Servers ----

fn body_of(id: &str, arrival: usize, size: usize) -> Vec<u8> {
    format!("{id}/{arrival};")
        .into_bytes()
        .into_iter()
        .cycle()
        .take(size)
        .collect()
}

fn framed(shape: &Shape, body: &[u8]) -> (String, Vec<u8>) {
    if !shape.chunked {
        return (format!("content-length: {}\r\n", body.len()), body.to_vec());
    }
    let mut text = Vec::new();
    for chunk in body.chunks(7_000) {
        text.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
        text.extend([chunk, b"\r\n"].concat());
    }
    text.extend(b"0\r\n\r\n");
    ("transfer-encoding: chunked\r\n".into(), text)
}

fn worded(status: u16, id: &str, more: &str, shape: &Shape, body: &[u8]) -> Vec<u8> {
    let (framing, text) = framed(shape, body);
    [
        format!("HTTP/1.1 {status} X\r\ntry-id: {id}\r\n{more}{framing}\r\n").into_bytes(),
        text,
    ]
    .concat()
}

const SMALL: Shape = Shape {
    size: 10,
    chunked: false,
    interim: 0,
    pieces: 1,
};
const INTERIM: &[u8] = b"HTTP/1.1 103 Early Hints\r\ntry-id: c0-another\r\nlink: </a>\r\n\r\n";

async fn write(stream: &mut TcpStream, bytes: &[u8], pieces: usize) {
    let length = bytes.len().div_ceil(pieces).max(1);
    for piece in bytes.chunks(length) {
        if stream.write_all(piece).await.is_err() {
            return;
        }
        tokio::task::yield_now().await;
    }
}

fn reset(stream: &TcpStream) {
    _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

fn end(stream: &TcpStream, ending: Ending) {
    if let Ending::Reset = ending {
        reset(stream);
    }
}

/// Serves one connection as drawn, until a step ends it.
async fn connection(mut stream: TcpStream, ledger: Shared) {
    _ = stream.set_nodelay(true);
    let mut late: Option<Vec<u8>> = None;
    loop {
        let Some((first, headers)) = read_head(&mut stream).await else {
            return;
        };
        let id = headers.get("try-id").cloned().unwrap_or_default();
        let (step, number) = {
            let mut ledger = ledger.borrow_mut();
            let step = ledger
                .steps
                .pop_front()
                .unwrap_or(Step::Good(SMALL, Behind::Nothing));
            let number = ledger.arrivals.len();
            ledger.arrivals.push(arrival(&step, &id, number));
            (step, number)
        };
        if let Step::EndAtHead(ending) = step {
            return end(&stream, ending);
        }
        if read_body(&mut stream, false, first, headers)
            .await
            .is_none_or(|read| !read.whole)
        {
            return;
        }
        if let Some(late) = late.take() {
            write(&mut stream, &late, 1).await;
        }
        match answer(&mut stream, step, &id, number).await {
            Some(next) => late = next,
            None => return,
        }
    }
}

fn arrival(step: &Step, id: &str, number: usize) -> Arrival {
    let (not_run, good, size) = match step {
        Step::Good(shape, _) => (false, true, shape.size),
        Step::Cut(shape, ..) | Step::Unsealed(shape) | Step::Encoded(shape) => {
            (false, false, shape.size)
        }
        Step::NotRun(_) => (true, false, SMALL.size),
        Step::Bare(_) => (false, false, SMALL.size),
        _ => (false, false, 0),
    };
    let breaks_off = matches!(step, Step::Cut(..) | Step::Good(_, Behind::Reset));
    Arrival {
        id: id.into(),
        not_run,
        good,
        breaks_off,
        body: body_of(id, number, size),
    }
}

/// Answers; tells what is to come late where the connection goes on.
async fn answer(
    stream: &mut TcpStream,
    step: Step,
    id: &str,
    number: usize,
) -> Option<Option<Vec<u8>>> {
    let seal = format!("seal: s.{id}\r\n");
    let body = |size| body_of(id, number, size);
    match step {
        Step::Good(shape, behind) => {
            let bytes = worded(200, id, &seal, &shape, &body(shape.size));
            let before = INTERIM.repeat(shape.interim);
            let after = match behind {
                Behind::SameAgain => bytes.clone(),
                Behind::Garbage => b"and more of it".to_vec(),
                Behind::Nothing | Behind::SameLater | Behind::Reset => Vec::new(),
            };
            write(
                stream,
                &[before, bytes.clone(), after].concat(),
                shape.pieces,
            )
            .await;
            match behind {
                Behind::Reset => reset(stream),
                Behind::SameLater => return Some(Some(bytes)),
                _ => return Some(None),
            }
        }
        Step::Cut(shape, at, ending) => {
            let bytes = worded(200, id, &seal, &shape, &body(shape.size));
            write(stream, &bytes[..bytes.len() * at / 1_000], shape.pieces).await;
            end(stream, ending);
        }
        Step::NotRun(status) => {
            let more = format!("{seal}not-run: 1\r\n");
            write(
                stream,
                &worded(status, id, &more, &SMALL, &body(SMALL.size)),
                1,
            )
            .await;
            return Some(None);
        }
        Step::Bare(status) => {
            write(
                stream,
                &worded(status, id, &seal, &SMALL, &body(SMALL.size)),
                1,
            )
            .await;
            return Some(None);
        }
        Step::Unsealed(shape) => {
            write(
                stream,
                &worded(200, id, "", &shape, &body(shape.size)),
                shape.pieces,
            )
            .await;
        }
        Step::Encoded(shape) => {
            let more = format!("{seal}content-encoding: gzip\r\n");
            write(
                stream,
                &worded(200, id, &more, &shape, &body(shape.size)),
                shape.pieces,
            )
            .await;
        }
        Step::Other(shape) => {
            let bytes = worded(
                200,
                "c0-another",
                "seal: s.c0-another\r\n",
                &shape,
                &body_of("c0-another", 0, shape.size),
            );
            write(stream, &bytes, shape.pieces).await;
        }
        Step::Garbage => write(stream, b"noise \x01\x02\r\n\r\n", 1).await,
        Step::EndAtBody(ending) => end(stream, ending),
        Step::Silence => _ = read(stream, false).await,
        Step::EndAtHead(_) => {}
    }
    None
}

async fn listen(listener: TcpListener, ledger: Shared) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::task::spawn_local(connection(stream, ledger.clone()));
    }
}

// ---- Clients ----

/// Sends one request and reads its answer.
async fn exchange(stream: &mut TcpStream, ask: &Ask, number: usize, id: &str) -> Option<Read> {
    let (method, kind) = if ask.mutating {
        ("POST", "w")
    } else {
        ("PUT", "r")
    };
    let head = format!(
        "{method} /{kind}{number}/{id} HTTP/1.1\r\nhost: {HOST}\r\ntry-id: {id}\r\ndeadline: {TIMEOUT_MS}\r\n\
         content-length: {}\r\n\r\n",
        ask.body
    );
    let request = [head.into_bytes(), vec![b'x'; ask.body]].concat();
    let (mut from, mut to) = stream.split();
    // An answer may come before all of the request is taken.
    let writing = async {
        _ = to.write_all(&request).await;
        std::future::pending::<()>().await;
    };
    let beginning = async {
        let mut byte = [0];
        _ = from.peek(&mut byte).await;
    };
    soon("an answer", async {
        tokio::select! {
            () = writing => {}
            () = beginning => {}
        }
    })
    .await;
    soon("an answer", read(stream, true)).await
}

/// Asks one after the other; tells how each ended.
async fn client(
    to: SocketAddr,
    asks: Vec<Ask>,
    number: usize,
    name: usize,
    ledger: Shared,
) -> Result<Vec<u16>, String> {
    let mut kept: Option<TcpStream> = None;
    let mut statuses = Vec::new();
    for (turn, ask) in asks.iter().enumerate() {
        let id = format!("c{number}-{name}-{turn}");
        let mut stream = match kept.take() {
            Some(stream) => stream,
            None => TcpStream::connect(to)
                .await
                .map_err(|error| error.to_string())?,
        };
        let read = exchange(&mut stream, ask, number, &id).await;
        ledger.borrow().judge_arrivals(ask, &id)?;
        let Some(read) = read else {
            ledger.borrow().judge_silence(&id)?;
            continue;
        };
        statuses.push(ledger.borrow().judge(&id, &read)?);
        if stream.try_read(&mut [0]).is_ok_and(|more| more > 0) {
            return Err(format!("{id} got more than its answer"));
        }
        if read.whole && read.header("connection") != Some("close") && ask.body < 1_000 {
            kept = Some(stream);
        }
        if ask.pause {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    Ok(statuses)
}

// ---- Cases ----

/// A service that no case has used.
struct Fresh {
    number: usize,
    listeners: Vec<TcpListener>,
}

struct Bench {
    proxy: Proxy,
    session: Session,
    /// How many services there were so far.
    number: usize,
    fresh: VecDeque<Fresh>,
    /// The end of what was told last, told with what comes next.
    before: (Vec<Item>, Vec<Instance>),
    statuses: Vec<u16>,
}

impl Bench {
    /// Each case has a service of its own, so that it meets a module that has learned nothing.
    fn routes(number: usize, gone: bool) -> Vec<Item> {
        let (read, write) = (format!("r{number}"), format!("w{number}"));
        if gone {
            return [read, write]
                .iter()
                .map(|name| item(ItemKind::Route, name, 2, None))
                .collect();
        }
        let times = RouteTo {
            timeout_ms: TIMEOUT_MS,
            aim_ms: AIM_MS,
            tries: TRIES,
            ..READ
        };
        let (service_name, read_prefix, write_prefix) = (
            format!("s{number}"),
            format!("/{read}/"),
            format!("/{write}/"),
        );
        let reading = RouteTo {
            name: &read,
            prefix: &read_prefix,
            service: &service_name,
            ..times
        };
        let writing = RouteTo {
            name: &write,
            prefix: &write_prefix,
            kind: WRITE.kind,
            ..reading
        };
        vec![
            service(&service_name, 1, 10.0),
            reading.item(),
            writing.item(),
        ]
    }

    /// Tells of as many services as are told at once, and of the end of those before.
    async fn prepare(&mut self) {
        let (mut items, mut instances) = std::mem::take(&mut self.before);
        for _ in 0..TOLD_AT_ONCE {
            self.number += 1;
            let number = self.number;
            let mut listeners = Vec::new();
            for at in 0..SERVERS {
                let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
                    .await
                    .expect("bound");
                let address = listener.local_addr().expect("bound");
                let known = instance(&format!("i{number}-{at}"), address);
                let known = Instance {
                    service: format!("s{number}"),
                    ..known
                };
                self.before.1.push(Instance {
                    status: Status::Removed,
                    seq: 2,
                    ..known.clone()
                });
                instances.push(known);
                listeners.push(listener);
            }
            items.extend(Bench::routes(number, false));
            self.before.0.extend(Bench::routes(number, true));
            self.fresh.push_back(Fresh { number, listeners });
        }
        self.session.change(items, instances).await;
    }

    async fn play(&mut self, case: Case) -> Result<(), String> {
        if self.fresh.is_empty() {
            self.prepare().await;
        }
        let Fresh { number, listeners } = self.fresh.pop_front().expect("prepared");
        let ledger = Shared::default();
        ledger.borrow_mut().steps = case.steps.into();
        let serving: Vec<JoinHandle<()>> = listeners
            .into_iter()
            .map(|it| tokio::task::spawn_local(listen(it, ledger.clone())))
            .collect();
        let to = self.proxy.http;
        let playing = case.clients.into_iter().enumerate();
        let clients: Vec<_> = playing
            .map(|(name, asks)| {
                tokio::task::spawn_local(client(to, asks, number, name, ledger.clone()))
            })
            .collect();
        let mut failed = None;
        for client in clients {
            match client
                .await
                .map_err(|error| error.to_string())
                .and_then(|done| done)
            {
                Ok(statuses) => self.statuses.extend(statuses),
                Err(what) => failed = Some(what),
            }
        }
        serving.iter().for_each(JoinHandle::abort);
        failed.map_or(Ok(()), Err)
    }
}

/// Holds the whole way of an answer: `belongs`, the looks at a kept connection, `judge`, what is framed and held, `Cut`,
/// what has run, and what may be sent again.
#[test]
fn no_client_gets_a_byte_that_is_not_its_answers() {
    let cases = std::env::var("EMBERPIN_ANSWER_CASES")
        .ok()
        .and_then(|cases| cases.parse().ok())
        .unwrap_or(CASES);
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 8,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let local = LocalSet::new();
    let bench = local.block_on(&runtime, async {
        // Nobody is ready without a server; no case has this one.
        let unused = instance("i0", (Ipv4Addr::LOCALHOST, 1).into());
        let (proxy, session) = Proxy::ready(FIGURES, Bench::routes(0, false), vec![unused]).await;
        Bench {
            proxy,
            session,
            number: 0,
            fresh: VecDeque::new(),
            before: (vec![], vec![]),
            statuses: vec![],
        }
    });
    let bench = RefCell::new(bench);
    let played = TestRunner::new_with_rng(config, rng).run(&case(), |case| {
        let mut bench = bench.borrow_mut();
        local
            .block_on(&runtime, bench.play(case))
            .map_err(TestCaseError::fail)
    });
    if let Err(failed) = played {
        panic!("{failed}");
    }
    let statuses = &bench.borrow().statuses;
    let served = statuses.iter().filter(|status| **status == 200).count();
    println!("{} requests, {served} served", statuses.len());
    // Enough of them came to a server's good answer that the rest says something.
    assert!(
        served * 4 > statuses.len(),
        "{served} of {}",
        statuses.len()
    );
}
