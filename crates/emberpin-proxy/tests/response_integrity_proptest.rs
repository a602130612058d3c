//! Property test of the integrity of responses: generated clients and servers on both sides of the proxy's process, and a
//! checker that knows which bytes belong to which request. Servers split, delay, duplicate, corrupt, truncate and reset
//! their responses as generated.
//!
//! The cases are the same in every run; `EMBERPIN_ANSWER_CASES` sets how many there are.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{
    instance, item, read_body, read_head, read_message, service, within_limit, Message,
    MessageKind, Proxy, RegistrySession, RouteSpec, DEFAULT_BOUNDS, HOST, MUTATING_ROUTE,
    READONLY_ROUTE,
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
/// Services that are sent in one message, since each message takes a round trip of the session.
const SERVICES_PER_MESSAGE: usize = 40;
const MAX_ATTEMPTS: u32 = 2;
/// Time limit of a request at a silent server.
const TIMEOUT: Duration = Duration::from_millis(600);
const LATENCY_TARGET: Duration = Duration::from_millis(200);

// ---- Generated cases ----

/// The bytes of one response: how long its body is, how it is framed and split, and how many interim responses precede it.
#[derive(Clone, Debug)]
struct ResponseShape {
    size: usize,
    chunked: bool,
    interim: usize,
    pieces: usize,
}

/// What a server sends after a complete response.
#[derive(Clone, Debug)]
enum Trailing {
    Nothing,
    Duplicate,
    /// A duplicate once the next request has come on this connection, in place of its response.
    LateDuplicate,
    Garbage,
    Reset,
}

/// What a server does with a request.
#[derive(Clone, Debug)]
enum ServerAction {
    Respond(ResponseShape, Trailing),
    /// Ends the connection after this many thousandths of the response.
    Truncate(ResponseShape, usize, Ending),
    /// A status with `Not-Run`.
    NotRun(u16),
    /// A status without `Not-Run`.
    StatusWithoutNotRun(u16),
    WithoutSeal(ResponseShape),
    Recoded(ResponseShape),
    /// A complete response with the id of another request.
    ForeignId(ResponseShape),
    Garbage,
    /// Ends the connection once the head, or the whole request, has come.
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
struct ClientRequest {
    mutating: bool,
    body: usize,
    pause: bool,
}

#[derive(Clone, Debug)]
struct Case {
    clients: Vec<Vec<ClientRequest>>,
    actions: Vec<ServerAction>,
}

fn response_shape() -> impl Strategy<Value = ResponseShape> {
    let size = prop_oneof![4 => 0usize..300, 1 => Just(20_000usize), 1 => Just(120_000usize)];
    (size, any::<bool>(), 0usize..3, 1usize..5).prop_map(|(size, chunked, interim, pieces)| {
        ResponseShape {
            size,
            chunked,
            interim,
            pieces,
        }
    })
}

fn ending() -> impl Strategy<Value = Ending> {
    prop_oneof![Just(Ending::Close), Just(Ending::Reset)]
}

fn server_action() -> impl Strategy<Value = ServerAction> {
    let trailing = prop_oneof![
        4 => Just(Trailing::Nothing),
        2 => Just(Trailing::Duplicate),
        4 => Just(Trailing::LateDuplicate),
        1 => Just(Trailing::Garbage),
        1 => Just(Trailing::Reset),
    ];
    prop_oneof![
        10 => (response_shape(), trailing).prop_map(|(shape, trailing)| ServerAction::Respond(shape, trailing)),
        3 => (response_shape(), 0usize..1_000, ending()).prop_map(|(shape, at, ending)| ServerAction::Truncate(shape, at, ending)),
        2 => prop_oneof![Just(503u16), Just(429), Just(421), Just(400)].prop_map(ServerAction::NotRun),
        2 => prop_oneof![Just(503u16), Just(429), Just(408), Just(500), Just(504)].prop_map(ServerAction::StatusWithoutNotRun),
        1 => response_shape().prop_map(ServerAction::WithoutSeal),
        1 => response_shape().prop_map(ServerAction::Recoded),
        2 => response_shape().prop_map(ServerAction::ForeignId),
        1 => Just(ServerAction::Garbage),
        2 => ending().prop_map(ServerAction::EndAtHead),
        1 => ending().prop_map(ServerAction::EndAtBody),
        2 => Just(ServerAction::Silence),
    ]
}

fn case() -> impl Strategy<Value = Case> {
    let body = prop_oneof![2 => Just(0usize), 1 => Just(100usize), 1 => Just(300_000usize)];
    let request =
        (any::<bool>(), body, any::<bool>()).prop_map(|(mutating, body, pause)| ClientRequest {
            mutating,
            body,
            pause,
        });
    let clients = vec(vec(request, 1..5), 1..3);
    (clients, vec(server_action(), 1..12)).prop_map(|(clients, actions)| Case { clients, actions })
}

// ---- The checker ----

/// One request as it reached a server.
struct Arrival {
    id: String,
    not_run: bool,
    /// The body of its response, or that which it would have without its fault.
    body: Vec<u8>,
    /// Its response is a success without a fault.
    good: bool,
    /// Its server truncates the response, or resets the connection after it.
    breaks_off: bool,
}

#[derive(Default)]
struct History {
    arrivals: Vec<Arrival>,
    actions: VecDeque<ServerAction>,
}

type SharedHistory = Rc<RefCell<History>>;

impl History {
    fn arrivals_of(&self, id: &str) -> Vec<&Arrival> {
        self.arrivals
            .iter()
            .filter(|arrival| arrival.id == id)
            .collect()
    }

    /// Checks which attempts of a request reached servers.
    fn check_attempts(&self, request: &ClientRequest, id: &str) -> Result<(), String> {
        let arrivals = self.arrivals_of(id);
        if arrivals.len() > MAX_ATTEMPTS as usize {
            return Err(format!("{id} reached servers {} times", arrivals.len()));
        }
        let repeated = arrivals
            .split_last()
            .is_some_and(|(_, earlier)| earlier.iter().any(|it| !it.not_run));
        if request.mutating && repeated {
            return Err(format!("{id} was sent again although it may have run"));
        }
        Ok(())
    }

    /// Checks whether a client may see its connection reset before the head of a response: the reset of a streamed response
    /// that was truncated discards what the client has not read yet.
    fn check_missing_response(&self, id: &str) -> Result<(), String> {
        let broken_off = self
            .arrivals_of(id)
            .last()
            .is_some_and(|arrival| arrival.breaks_off);
        broken_off
            .then_some(())
            .ok_or_else(|| format!("{id} got no response"))
    }

    /// Checks the response that a client received; returns its status.
    fn check_response(&self, id: &str, message: &Message) -> Result<u16, String> {
        let arrivals = self.arrivals_of(id);
        let status: u16 = message
            .first_line
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .ok_or("no status")?;
        let all_not_run = arrivals.iter().all(|arrival| arrival.not_run);
        if matches!(status, 408 | 421 | 429 | 503) && !all_not_run {
            return Err(format!("{id} got {status} although it may have run"));
        }
        let belongs = |arrival: &&Arrival| match (status, message.complete) {
            (200..=299, true) => arrival.good && arrival.body == message.body,
            (_, true) => arrival.body == message.body,
            (_, false) => arrival.body.starts_with(&message.body),
        };
        let own_refusal = message.body.is_empty() && !(200..=299).contains(&status);
        if !own_refusal && !arrivals.iter().any(belongs) {
            let begin =
                String::from_utf8_lossy(&message.body[..message.body.len().min(40)]).into_owned();
            return Err(format!(
                "{id} got {status}, complete: {}, with bytes not its own: {begin:?}",
                message.complete
            ));
        }
        if (200..=299).contains(&status) && message.header("seal") != Some(&format!("s.{id}")) {
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

fn framed(shape: &ResponseShape, body: &[u8]) -> (String, Vec<u8>) {
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

fn response_bytes(
    status: u16,
    id: &str,
    more: &str,
    shape: &ResponseShape,
    body: &[u8],
) -> Vec<u8> {
    let (framing, text) = framed(shape, body);
    [
        format!("HTTP/1.1 {status} X\r\ntry-id: {id}\r\n{more}{framing}\r\n").into_bytes(),
        text,
    ]
    .concat()
}

const SMALL: ResponseShape = ResponseShape {
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

/// Serves one connection as generated, until an action ends it.
async fn connection(mut stream: TcpStream, history: SharedHistory) {
    _ = stream.set_nodelay(true);
    let mut late: Option<Vec<u8>> = None;
    loop {
        let Some((first, headers)) = read_head(&mut stream).await else {
            return;
        };
        let id = headers.get("try-id").cloned().unwrap_or_default();
        let (action, number) = {
            let mut history = history.borrow_mut();
            let action = history
                .actions
                .pop_front()
                .unwrap_or(ServerAction::Respond(SMALL, Trailing::Nothing));
            let number = history.arrivals.len();
            history.arrivals.push(arrival(&action, &id, number));
            (action, number)
        };
        if let ServerAction::EndAtHead(ending) = action {
            return end(&stream, ending);
        }
        if read_body(&mut stream, MessageKind::Request, first, headers)
            .await
            .is_none_or(|message| !message.complete)
        {
            return;
        }
        if let Some(late) = late.take() {
            write(&mut stream, &late, 1).await;
        }
        match perform(&mut stream, action, &id, number).await {
            Some(next) => late = next,
            None => return,
        }
    }
}

fn arrival(action: &ServerAction, id: &str, number: usize) -> Arrival {
    let (not_run, good, size) = match action {
        ServerAction::Respond(shape, _) => (false, true, shape.size),
        ServerAction::Truncate(shape, ..)
        | ServerAction::WithoutSeal(shape)
        | ServerAction::Recoded(shape) => (false, false, shape.size),
        ServerAction::NotRun(_) => (true, false, SMALL.size),
        ServerAction::StatusWithoutNotRun(_) => (false, false, SMALL.size),
        _ => (false, false, 0),
    };
    let breaks_off = matches!(
        action,
        ServerAction::Truncate(..) | ServerAction::Respond(_, Trailing::Reset)
    );
    Arrival {
        id: id.into(),
        not_run,
        good,
        breaks_off,
        body: body_of(id, number, size),
    }
}

/// Performs an action. `None` if it ends the connection, else what is to be sent late on it.
async fn perform(
    stream: &mut TcpStream,
    action: ServerAction,
    id: &str,
    number: usize,
) -> Option<Option<Vec<u8>>> {
    let seal = format!("seal: s.{id}\r\n");
    let body = |size| body_of(id, number, size);
    match action {
        ServerAction::Respond(shape, trailing) => {
            let bytes = response_bytes(200, id, &seal, &shape, &body(shape.size));
            let before = INTERIM.repeat(shape.interim);
            let after = match trailing {
                Trailing::Duplicate => bytes.clone(),
                Trailing::Garbage => b"and more of it".to_vec(),
                Trailing::Nothing | Trailing::LateDuplicate | Trailing::Reset => Vec::new(),
            };
            write(
                stream,
                &[before, bytes.clone(), after].concat(),
                shape.pieces,
            )
            .await;
            match trailing {
                Trailing::Reset => reset(stream),
                Trailing::LateDuplicate => return Some(Some(bytes)),
                _ => return Some(None),
            }
        }
        ServerAction::Truncate(shape, at, ending) => {
            let bytes = response_bytes(200, id, &seal, &shape, &body(shape.size));
            write(stream, &bytes[..bytes.len() * at / 1_000], shape.pieces).await;
            end(stream, ending);
        }
        ServerAction::NotRun(status) => {
            let more = format!("{seal}not-run: 1\r\n");
            write(
                stream,
                &response_bytes(status, id, &more, &SMALL, &body(SMALL.size)),
                1,
            )
            .await;
            return Some(None);
        }
        ServerAction::StatusWithoutNotRun(status) => {
            write(
                stream,
                &response_bytes(status, id, &seal, &SMALL, &body(SMALL.size)),
                1,
            )
            .await;
            return Some(None);
        }
        ServerAction::WithoutSeal(shape) => {
            write(
                stream,
                &response_bytes(200, id, "", &shape, &body(shape.size)),
                shape.pieces,
            )
            .await;
        }
        ServerAction::Recoded(shape) => {
            let more = format!("{seal}content-encoding: gzip\r\n");
            write(
                stream,
                &response_bytes(200, id, &more, &shape, &body(shape.size)),
                shape.pieces,
            )
            .await;
        }
        ServerAction::ForeignId(shape) => {
            let bytes = response_bytes(
                200,
                "c0-another",
                "seal: s.c0-another\r\n",
                &shape,
                &body_of("c0-another", 0, shape.size),
            );
            write(stream, &bytes, shape.pieces).await;
        }
        ServerAction::Garbage => write(stream, b"noise \x01\x02\r\n\r\n", 1).await,
        ServerAction::EndAtBody(ending) => end(stream, ending),
        ServerAction::Silence => _ = read_message(stream, MessageKind::Request).await,
        ServerAction::EndAtHead(_) => {}
    }
    None
}

async fn listen(listener: TcpListener, history: SharedHistory) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::task::spawn_local(connection(stream, history.clone()));
    }
}

// ---- Clients ----

/// Sends one request and reads its response.
async fn exchange(
    stream: &mut TcpStream,
    request: &ClientRequest,
    number: usize,
    id: &str,
) -> Option<Message> {
    let (method, kind) = if request.mutating {
        ("POST", "w")
    } else {
        ("PUT", "r")
    };
    let head = format!(
        "{method} /{kind}{number}/{id} HTTP/1.1\r\nhost: {HOST}\r\ntry-id: {id}\r\ndeadline: {}\r\n\
         content-length: {}\r\n\r\n",
        TIMEOUT.as_millis(),
        request.body
    );
    let request = [head.into_bytes(), vec![b'x'; request.body]].concat();
    let (mut from, mut to) = stream.split();
    // A response may come before the whole request has been sent.
    let writing = async {
        _ = to.write_all(&request).await;
        std::future::pending::<()>().await;
    };
    let beginning = async {
        let mut byte = [0];
        _ = from.peek(&mut byte).await;
    };
    within_limit("a response", async {
        tokio::select! {
            () = writing => {}
            () = beginning => {}
        }
    })
    .await;
    within_limit("a response", read_message(stream, MessageKind::Response)).await
}

/// Sends requests one after another; returns the status of each response.
async fn client(
    to: SocketAddr,
    requests: Vec<ClientRequest>,
    number: usize,
    name: usize,
    history: SharedHistory,
) -> Result<Vec<u16>, String> {
    let mut kept: Option<TcpStream> = None;
    let mut statuses = Vec::new();
    for (turn, request) in requests.iter().enumerate() {
        let id = format!("c{number}-{name}-{turn}");
        let mut stream = match kept.take() {
            Some(stream) => stream,
            None => TcpStream::connect(to)
                .await
                .map_err(|error| error.to_string())?,
        };
        let message = exchange(&mut stream, request, number, &id).await;
        history.borrow().check_attempts(request, &id)?;
        let Some(message) = message else {
            history.borrow().check_missing_response(&id)?;
            continue;
        };
        statuses.push(history.borrow().check_response(&id, &message)?);
        if stream.try_read(&mut [0]).is_ok_and(|more| more > 0) {
            return Err(format!("{id} got more than its response"));
        }
        if message.complete && message.header("connection") != Some("close") && request.body < 1_000
        {
            kept = Some(stream);
        }
        if request.pause {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    Ok(statuses)
}

// ---- Cases ----

/// A service that no case has used yet.
struct UnusedService {
    number: usize,
    listeners: Vec<TcpListener>,
}

struct Harness {
    proxy: Proxy,
    session: RegistrySession,
    /// Number of the last service.
    number: usize,
    unused_services: VecDeque<UnusedService>,
    /// The removal of the services sent last, which is sent together with the next ones.
    removals: (Vec<Item>, Vec<Instance>),
    statuses: Vec<u16>,
}

impl Harness {
    /// The routes of a service, or their tombstones. Each case has a service of its own, whose decision module has learned
    /// nothing.
    fn routes(number: usize, gone: bool) -> Vec<Item> {
        let (read, write) = (format!("r{number}"), format!("w{number}"));
        if gone {
            return [read, write]
                .iter()
                .map(|name| item(ItemKind::Route, name, 2, None))
                .collect();
        }
        let times = RouteSpec {
            timeout: TIMEOUT,
            latency_target: LATENCY_TARGET,
            max_attempts: MAX_ATTEMPTS,
            ..READONLY_ROUTE
        };
        let (service_name, read_prefix, write_prefix) = (
            format!("s{number}"),
            format!("/{read}/"),
            format!("/{write}/"),
        );
        let reading = RouteSpec {
            name: &read,
            prefix: &read_prefix,
            service: &service_name,
            ..times
        };
        let writing = RouteSpec {
            name: &write,
            prefix: &write_prefix,
            kind: MUTATING_ROUTE.kind,
            ..reading
        };
        vec![
            service(&service_name, 1, 10.0),
            reading.item(),
            writing.item(),
        ]
    }

    /// Sends the next services, and the removal of those before.
    async fn prepare(&mut self) {
        let (mut items, mut instances) = std::mem::take(&mut self.removals);
        for _ in 0..SERVICES_PER_MESSAGE {
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
                self.removals.1.push(Instance {
                    status: Status::Removed,
                    seq: 2,
                    ..known.clone()
                });
                instances.push(known);
                listeners.push(listener);
            }
            items.extend(Harness::routes(number, false));
            self.removals.0.extend(Harness::routes(number, true));
            self.unused_services
                .push_back(UnusedService { number, listeners });
        }
        self.session.send_changes(items, instances).await;
    }

    async fn run_case(&mut self, case: Case) -> Result<(), String> {
        if self.unused_services.is_empty() {
            self.prepare().await;
        }
        let UnusedService { number, listeners } =
            self.unused_services.pop_front().expect("prepared");
        let history = SharedHistory::default();
        history.borrow_mut().actions = case.actions.into();
        let serving: Vec<JoinHandle<()>> = listeners
            .into_iter()
            .map(|it| tokio::task::spawn_local(listen(it, history.clone())))
            .collect();
        let to = self.proxy.http;
        let numbered = case.clients.into_iter().enumerate();
        let clients: Vec<_> = numbered
            .map(|(name, requests)| {
                tokio::task::spawn_local(client(to, requests, number, name, history.clone()))
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

/// Guards the whole way of a response: `belongs`, the checks of idle connections, `judge`, what is framed and buffered,
/// `Cut`, what may have run, and what may be retried.
#[test]
fn no_client_receives_a_byte_of_another_response() {
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
    let harness = local.block_on(&runtime, async {
        // The proxy is not ready without a server; no case uses this one.
        let unused = instance("i0", (Ipv4Addr::LOCALHOST, 1).into());
        let (proxy, session) =
            Proxy::start_ready(DEFAULT_BOUNDS, Harness::routes(0, false), vec![unused]).await;
        Harness {
            proxy,
            session,
            number: 0,
            unused_services: VecDeque::new(),
            removals: (vec![], vec![]),
            statuses: vec![],
        }
    });
    let harness = RefCell::new(harness);
    let result = TestRunner::new_with_rng(config, rng).run(&case(), |case| {
        let mut harness = harness.borrow_mut();
        local
            .block_on(&runtime, harness.run_case(case))
            .map_err(TestCaseError::fail)
    });
    if let Err(failed) = result {
        panic!("{failed}");
    }
    let statuses = &harness.borrow().statuses;
    let served = statuses.iter().filter(|status| **status == 200).count();
    println!("{} requests, {served} served", statuses.len());
    // Enough requests got a good response that the checks mean something.
    assert!(
        served * 4 > statuses.len(),
        "{served} of {}",
        statuses.len()
    );
}
