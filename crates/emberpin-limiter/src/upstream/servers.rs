//! The server side: attempts, probes, and one bounded pool of connections for each server.

use crate::front::room::Room;
use crate::front::stream::{Cut, Passing, Pieces, Upload};
use crate::messages::{Answer, Ended, Outgoing, Reply, Served, Upstreamed};
use crate::operate::figures::Figures;
use crate::upstream::lifetimes::Lifetimes;
use crate::upstream::roster::Place;
use crate::upstream::wire::{Described, Wire};
use bytes::Bytes;
use emberpin_balancer::Outcome;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::header::{HeaderMap, HeaderValue, CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::{Request, Response, Uri, Version};
use hyper_util::rt::TokioIo;
use prometheus::IntCounter;
use socket2::{SockRef, TcpKeepalive};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::error::Error;
use std::future::{poll_fn, Future};
use std::io;
use std::mem::MaybeUninit;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{oneshot, OwnedSemaphorePermit, Semaphore};
use tokio::time::{interval, sleep_until, timeout, timeout_at, Instant, MissedTickBehavior, Sleep};

/// An answer's head holds no more than this.
const MAX_HEAD: usize = 16 * 1024;
/// How often idle connections are looked at.
const RETIRE: Duration = Duration::from_millis(500);
/// How often what is held is looked at while another process is told of it, and what is kept whatever that holds.
const SHARE_LOOK: Duration = Duration::from_millis(20);
const LEAST_SOCKETS: usize = 16;
/// Longer answers than any that are told of.
const LONGEST_ANSWER: u64 = 256 << 20;
/// Of an answer whose length is not told so much time is waited for its end, so that one which breaks may still become
/// another attempt; then it is passed on as it comes.
const HOLD: Duration = Duration::from_millis(300);
/// Where silence is bounded, a connection that is waited on is asked for a sign of life after so long; the system takes
/// no less.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// A server that gives nothing more of an answer for so long has broken it off.
const STALL: Duration = Duration::from_secs(20);

/// What all servers share: limits on time and on sockets, and the connections that wait for work.
pub struct Pool {
    limits: PoolLimits,
    wire: Rc<dyn Wire>,
    sockets: Arc<Semaphore>,
    room: Rc<Room>,
    /// The longest idle first.
    idle: RefCell<Vec<Idle>>,
    /// How long idle connections last, whatever the settings say.
    lifetimes: RefCell<Lifetimes>,
    next: Cell<u64>,
    figures: Arc<Figures>,
}

/// Limits on time and on sockets.
#[derive(Clone, Debug)]
pub struct PoolLimits {
    /// A connection comes up within this time.
    pub connect: Duration,
    /// Idle connections go after this time, or sooner where a server has said so.
    pub idle: Duration,
    /// Most idle connections to one server.
    pub most_idle: usize,
    /// Most connections in all.
    pub sockets: usize,
    /// What a server's machine does not acknowledge for so long ends its connection, where that is bounded.
    pub unacknowledged: Option<Duration>,
    /// Bytes of an answer that are held whole: one that breaks off before its end may become another attempt.
    pub hold: usize,
}

struct Idle {
    key: u64,
    conn: Conn,
    since: Instant,
}

impl Pool {
    /// No connection yet; requests and answers are worded as `wire` has it.
    pub fn new(
        limits: PoolLimits,
        wire: Rc<dyn Wire>,
        figures: Arc<Figures>,
        room: Rc<Room>,
    ) -> Rc<Pool> {
        Rc::new(Pool {
            sockets: Arc::new(Semaphore::new(limits.sockets)),
            limits,
            wire,
            room,
            idle: RefCell::default(),
            lifetimes: RefCell::default(),
            next: Cell::new(0),
            figures,
        })
    }

    /// Keeps off the sockets that another process of this limiter holds: idle connections go for them first.
    pub async fn share(self: Rc<Self>) {
        let mut changes = self.room.changes();
        let mut held: Option<OwnedSemaphorePermit> = None;
        loop {
            let wanted = self
                .room
                .servers_elsewhere()
                .min(self.limits.sockets.saturating_sub(LEAST_SOCKETS));
            let has = held.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
            if wanted < has {
                // What is split off goes back.
                drop(held.as_mut().and_then(|held| held.split(has - wanted)));
            } else if wanted > has {
                let more = wanted - has;
                while self.sockets.available_permits() < more && !self.idle.borrow().is_empty() {
                    self.idle.borrow_mut().remove(0);
                }
                let more = more.min(self.sockets.available_permits());
                if let Ok(permits) = self.sockets.clone().try_acquire_many_owned(more as u32) {
                    match &mut held {
                        Some(held) => held.merge(permits),
                        None => held = Some(permits),
                    }
                }
            }
            let reserved = held.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
            self.room
                .hold_servers(self.limits.sockets - reserved - self.sockets.available_permits());
            // While there is nobody to tell there is nothing to do.
            let paired = changes.borrow_and_update().is_some();
            let changed = async {
                if paired {
                    _ = timeout(SHARE_LOOK, changes.changed()).await;
                    true
                } else {
                    changes.changed().await.is_ok()
                }
            };
            if !changed.await {
                return;
            }
        }
    }

    /// Drops what stood idle for nearly as long as servers allow, or is of no use any more.
    pub async fn retire(self: Rc<Self>) {
        let mut ticks = interval(RETIRE);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.idle
                .borrow_mut()
                .retain(|idle| self.is_fresh(idle) && idle.conn.is_quiet());
        }
    }

    fn is_fresh(&self, idle: &Idle) -> bool {
        let (now, since) = (Instant::now(), idle.since.elapsed());
        let stated = idle
            .conn
            .stated
            .map_or(self.limits.idle, |stated| stated.min(self.limits.idle));
        since < stated && self.lifetimes.borrow().lasts(now, since)
    }

    /// A request went out on a connection that had been idle for so long, and was lost with it or answered.
    fn learn(&self, idle: Duration, lost: bool) {
        let closed = self
            .lifetimes
            .borrow_mut()
            .learn(Instant::now(), idle, lost);
        if let Some((age, pause)) = closed {
            let (age, pause) = (age.as_millis(), pause.as_secs());
            eprintln!("connections to servers that were idle for {age} ms or longer are lost: not used for {pause} s");
        }
    }

    /// The connection that was used last, unless it is too old or has been idle for longer than may be.
    fn take(&self, key: u64, freshness: Option<Duration>) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        let at = idle.iter().rposition(|idle| idle.key == key)?;
        if freshness.is_some_and(|most| idle[at].since.elapsed() >= most) {
            return None;
        }
        let idle = Some(idle.remove(at)).filter(|idle| self.is_fresh(idle))?;
        Some(Conn {
            idle: idle.since.elapsed(),
            ..idle.conn
        })
    }

    fn keep(&self, key: u64, conn: Conn) {
        let mut idle = self.idle.borrow_mut();
        if idle.iter().filter(|idle| idle.key == key).count() < self.limits.most_idle {
            idle.push(Idle {
                key,
                conn,
                since: Instant::now(),
            });
        }
    }

    fn close(&self, key: u64) {
        self.idle.borrow_mut().retain(|idle| idle.key != key);
    }

    /// Guards the limit on descriptors: never more connections than were set aside; what has been idle for
    /// longest, to whichever server, gives way.
    fn socket(&self) -> Option<OwnedSemaphorePermit> {
        if self.sockets.available_permits() == 0 && !self.idle.borrow().is_empty() {
            self.idle.borrow_mut().remove(0);
        }
        self.sockets.clone().try_acquire_owned().ok()
    }
}

/// One life of one server.
pub struct Upstream {
    /// Where it is.
    pub place: Place,
    /// What tells this life of it from another, where requests say which one they are meant for.
    instance: Option<HeaderValue>,
    pool: Rc<Pool>,
    /// Its name in the pool.
    key: u64,
    /// Not drained nor gone.
    open: Cell<bool>,
}

/// A connection that is polled only by whoever uses it: dropping it closes it.
struct Conn {
    sender: SendRequest<Payload>,
    /// Boxed, as it is large and moves with every attempt.
    connection: Box<Connection<TokioIo<Counted>, Payload>>,
    closed: bool,
    stream: Rc<RefCell<TcpStream>>,
    progress: Rc<Progress>,
    /// For how long the server has said that it keeps it idle, less a part for safety.
    stated: Option<Duration>,
    /// How long it stood idle before this use.
    idle: Duration,
    _socket: OwnedSemaphorePermit,
}

impl Upstream {
    /// The way to a server at this place.
    pub fn new(place: Place, pool: Rc<Pool>) -> Rc<Upstream> {
        Upstream::of_instance(place, None, pool)
    }

    /// The way to this life of a server.
    pub fn of_instance(
        place: Place,
        instance: Option<HeaderValue>,
        pool: Rc<Pool>,
    ) -> Rc<Upstream> {
        let key = pool.next.replace(pool.next.get() + 1);
        Rc::new(Upstream {
            place,
            instance,
            pool,
            key,
            open: Cell::new(true),
        })
    }

    /// Whether anything new may go there.
    pub fn is_open(&self) -> bool {
        self.open.get()
    }

    /// Nothing new goes there from now on, also of what is still connecting.
    pub fn shut(&self) {
        self.open.set(false);
        self.close_idle();
    }

    /// Closes the connections that wait for work.
    pub fn close_idle(&self) {
        self.pool.close(self.key);
    }

    /// Sends one attempt and waits for its end, the timeout or the cancellation; exactly one outcome.
    pub async fn attempt(
        self: Rc<Self>,
        outgoing: Rc<Outgoing>,
        timeout: Duration,
        cancelled: oneshot::Receiver<Outcome>,
    ) -> Ended {
        let started = Instant::now();
        let mut request = Request::new(outgoing.body.clone());
        *request.method_mut() = outgoing.method.clone();
        *request.uri_mut() = outgoing.uri.clone();
        *request.headers_mut() = outgoing.headers.clone();
        let (ended, late) = tokio::select! {
            biased;
            outcome = cancelled => {
                let outcome = outcome.unwrap_or(Outcome::Cancelled);
                (Exchange { sent: true, ..Exchange::of(outcome) }, Duration::ZERO)
            }
            ended = self.exchange(request, Some(&outgoing), started, timeout) => ended,
        };
        self.describe(started + late, ended)
    }

    /// Asks whether the server lives.
    pub async fn probe(self: Rc<Self>) -> Ended {
        let started = Instant::now();
        let mut request = Request::new(Upstreamed::Whole(Bytes::new()));
        *request.uri_mut() = Uri::from_static("/health/live");
        request
            .headers_mut()
            .insert(HOST, HeaderValue::from_static("service.internal"));
        let limit = self.pool.limits.connect;
        self.describe(
            started,
            self.exchange(request, None, started, limit).await.0,
        )
    }

    /// What came of an exchange, in the terms of whoever asked for it.
    fn describe(&self, started: Instant, exchange: Exchange) -> Ended {
        let Exchange {
            outcome,
            answer,
            unreachable,
            sent,
        } = exchange;
        let elapsed = Instant::now()
            .saturating_duration_since(started)
            .as_secs_f64()
            * 1000.0;
        let (response, body) = match answer {
            None => {
                return Ended {
                    outcome,
                    elapsed,
                    unreachable,
                    sent,
                    ..Ended::unsent()
                }
            }
            Some(Exchanged::Whole(response, bytes)) => (response, Ok(bytes)),
            Some(Exchanged::Passing(response, passing)) => (response, Err(passing)),
        };
        let Described {
            head,
            report,
            metered,
            misdirected,
            stands,
        } = self.pool.wire.describe(outcome, response);
        let reply = match body {
            Ok(body) => Reply::Answer(Answer::Served(Served { head, body })),
            Err(passing) => Reply::Passing(Passing {
                head,
                pieces: Box::new(passing),
            }),
        };
        let (served, told) = match outcome {
            Outcome::Ok => (Some(reply), None),
            _ => (None, Some(reply).filter(|_| stands)),
        };
        Ended {
            outcome,
            elapsed,
            report,
            metered,
            served,
            told,
            misdirected,
            unreachable,
            sent,
        }
    }

    /// What decides between "never ran" and "may have run": an attempt never ran if no connection came up, or if it
    /// broke before the last byte was written; where servers may run a part of a request, before the first.
    /// Also says how much later than the start the last byte of a body came that was passed on while it came: the
    /// server's own time, and the timeout, count from there.
    async fn exchange(
        self: &Rc<Self>,
        mut request: Request<Upstreamed>,
        outgoing: Option<&Outgoing>,
        started: Instant,
        timeout: Duration,
    ) -> (Exchange, Duration) {
        let nothing = |outcome| (Exchange::of(outcome), Duration::ZERO);
        // A probe is no client's: it is not counted, and its answer is held.
        let (counts, may_pass) = (
            outgoing.is_some(),
            outgoing.is_some_and(|outgoing| outgoing.may_pass),
        );
        let freshness = outgoing.and_then(|outgoing| outgoing.freshness);
        let connecting = timeout_at(
            started + timeout.min(self.pool.limits.connect),
            self.connect(freshness),
        );
        let conn = match connecting.await {
            Ok(Ok(conn)) => conn,
            Ok(Err(Refused::NoSocket)) => return nothing(Outcome::NotSent),
            Ok(Err(Refused::Failed)) | Err(_) => {
                let failed = Exchange {
                    unreachable: true,
                    ..Exchange::of(Outcome::ConnectFailed)
                };
                return (failed, Duration::ZERO);
            }
        };
        // Guards the drain rule and the newest routes: the server may have begun to drain while the connection came up, or
        // the request may not go there any more. From here to the first byte nothing else gets a turn.
        if !self.is_open() || outgoing.is_some_and(|outgoing| outgoing.withdrawn.get()) {
            return nothing(Outcome::NotSent);
        }
        let coming = match request.body() {
            Upstreamed::Whole(_) => None,
            Upstreamed::Coming(upload) => Some(upload.clone()),
        };
        let deadline = started + timeout;
        let left = match &coming {
            None => deadline.saturating_duration_since(Instant::now()),
            Some(_) => timeout,
        };
        let wire = self.pool.wire.clone();
        wire.address(request.headers_mut(), left, self.instance.as_ref());
        let mark = wire.mark(request.headers());
        let spoken = Spoken {
            wire: &*wire,
            mark: mark.as_ref(),
            may_pass,
            hold: self.pool.limits.hold,
        };
        let (progress, idle) = (conn.progress.clone(), conn.idle);
        let request = request.map(|body| Payload::new(body, progress.clone()));
        progress.begin(
            counts.then(|| self.pool.figures.tries.clone()),
            request.body().is_end_stream(),
        );
        // A body that is still coming: the time begins with its last byte.
        let over = async {
            match &coming {
                None => sleep_until(deadline).await,
                Some(upload) => sleep_until(upload.ended().await + timeout).await,
            }
        };
        let result = tokio::select! {
            biased;
            result = conn.converse(request, spoken) => Some(result),
            () = over => None,
        };
        let late = match coming {
            None => Duration::ZERO,
            Some(upload) => match tokio::time::timeout(Duration::ZERO, upload.ended()).await {
                Ok(at) => at.saturating_duration_since(started),
                Err(_) => started.elapsed(),
            },
        };
        let never_ran = match wire.may_run_in_part() {
            true => !progress.begun.get(),
            false => !progress.is_whole(),
        };
        let (unreachable, sent) = (
            matches!(result, Some(Err(Broken::Silent))),
            progress.begun.get(),
        );
        if unreachable {
            // The others to the same machine would be silent, too.
            self.close_idle();
        }
        if let Some(Ok(_) | Err(Broken::Lost)) = result {
            self.pool.learn(idle, matches!(result, Some(Err(_))));
        }
        let (outcome, answer) = match result {
            Some(Ok((response, body))) => {
                // What it said before the request was whole stands; the connection carries no other.
                let outcome = wire.judge(mark.as_ref(), &response);
                let body = match body {
                    Conversed::Whole(bytes, conn) => {
                        if let Some(conn) = conn.filter(|_| self.is_open() && progress.is_whole()) {
                            self.pool.keep(self.key, conn);
                        }
                        Exchanged::Whole(response, bytes)
                    }
                    Conversed::Begun(begun) => {
                        Exchanged::Passing(response, Relayed::new(*begun, self.clone()))
                    }
                };
                (outcome, Some(body))
            }
            _ if never_ran => (Outcome::ConnectFailed, None),
            Some(Err(Broken::Spoilt)) => (Outcome::Error, None),
            Some(Err(Broken::Lost | Broken::Silent)) => (Outcome::Reset, None),
            None => (Outcome::Timeout, None),
        };
        (
            Exchange {
                outcome,
                answer,
                unreachable,
                sent,
            },
            late,
        )
    }

    /// Whether it takes a connection now; the connection is kept for whoever needs one next.
    pub async fn answers(&self) -> bool {
        match tokio::time::timeout(self.pool.limits.connect, self.connect(None)).await {
            Ok(Ok(conn)) => {
                self.pool.keep(self.key, conn);
                true
            }
            Ok(Err(Refused::NoSocket)) => true,
            Ok(Err(Refused::Failed)) | Err(_) => false,
        }
    }

    async fn connect(&self, freshness: Option<Duration>) -> Result<Conn, Refused> {
        while let Some(mut conn) = self.pool.take(self.key, freshness) {
            // A request written to a connection that the server has closed would count as one that may have
            // run, and what stands unread on one would be taken for its answer.
            conn.drive(std::future::ready(())).await;
            if !conn.closed && conn.sender.is_ready() && conn.is_quiet() {
                return Ok(conn);
            }
        }
        let socket = self.pool.socket().ok_or(Refused::NoSocket)?;
        let stream = TcpStream::connect(self.place.address)
            .await
            .map_err(|_| Refused::Failed)?;
        _ = stream.set_nodelay(true);
        if let Some(longest) = self.pool.limits.unacknowledged {
            // Guards against machines without power and behind cuts, which answer nothing, not even a close.
            let socket = SockRef::from(&stream);
            _ = socket.set_tcp_user_timeout(Some(longest));
            let probes = TcpKeepalive::new()
                .with_time(PROBE_AFTER)
                .with_interval(PROBE_AFTER)
                .with_retries(2);
            _ = socket.set_tcp_keepalive(&probes);
        }
        let stream = Rc::new(RefCell::new(stream));
        let progress = Rc::new(Progress::default());
        let io = TokioIo::new(Counted {
            stream: stream.clone(),
            progress: progress.clone(),
        });
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD)
            .handshake(io)
            .await;
        let (sender, connection) = handshake.map_err(|_| Refused::Failed)?;
        Ok(Conn {
            sender,
            connection: Box::new(connection),
            closed: false,
            stream,
            progress,
            stated: None,
            idle: Duration::ZERO,
            _socket: socket,
        })
    }
}

/// What an exchange is worded in, and how much of its answer is held.
#[derive(Clone, Copy)]
struct Spoken<'a> {
    wire: &'a dyn Wire,
    /// What the answer must carry to be this request's.
    mark: Option<&'a HeaderValue>,
    may_pass: bool,
    hold: usize,
}

enum Refused {
    NoSocket,
    Failed,
}

/// Why no answer came of an exchange.
enum Broken {
    /// The connection broke or ended.
    Lost,
    /// The other machine acknowledged nothing any more.
    Silent,
    /// What came is no answer.
    Spoilt,
}

impl From<hyper::Error> for Broken {
    fn from(error: hyper::Error) -> Broken {
        let io = error
            .source()
            .and_then(|error| error.downcast_ref::<io::Error>());
        if error.is_parse() {
            Broken::Spoilt
        } else if io.is_some_and(|error| error.kind() == io::ErrorKind::TimedOut) {
            Broken::Silent
        } else {
            Broken::Lost
        }
    }
}

impl Conn {
    /// Whether the server has neither closed it nor sent anything on it. Asks the system itself, as what has
    /// just come is not known to the runtime yet.
    fn is_quiet(&self) -> bool {
        let peeked = SockRef::from(&*self.stream.borrow()).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Gives the connection a turn.
    fn turn(&mut self, context: &mut Context) {
        self.closed = self.closed || Pin::new(&mut *self.connection).poll(context).is_ready();
    }

    /// Polls the connection along with what waits for it.
    async fn drive<F: Future>(&mut self, what: F) -> F::Output {
        let mut what = pin!(what);
        poll_fn(|context| {
            self.turn(context);
            what.as_mut().poll(context)
        })
        .await
    }

    /// One request and its answer: whole, or begun if it is too long or comes too slowly to be held.
    async fn converse(
        mut self,
        request: Request<Payload>,
        spoken: Spoken<'_>,
    ) -> Result<(Response<()>, Conversed), Broken> {
        let answering = self.sender.send_request(request);
        let response: Response<Incoming> = self.drive(answering).await?;
        let (parts, mut body) = response.into_parts();
        let length = body.size_hint().exact();
        if !is_framed(parts.version, &parts.headers) {
            return Err(Broken::Spoilt);
        }
        let head = Response::from_parts(parts, ());
        if !spoken.wire.belongs(spoken.mark, head.headers()) {
            return Err(Broken::Spoilt);
        }
        self.stated = spoken.wire.keeps_idle(head.headers());
        let may_pass = spoken.may_pass && spoken.wire.judge(spoken.mark, &head) == Outcome::Ok;
        let too_long = length.is_some_and(|length| length > spoken.hold as u64);
        if too_long && !may_pass || length.is_some_and(|length| length > LONGEST_ANSWER) {
            return Err(Broken::Spoilt);
        }
        let (mut held, mut size) = (VecDeque::new(), 0);
        let hold = Instant::now() + HOLD;
        while !too_long && size <= spoken.hold {
            let frame = match length {
                None if may_pass => timeout_at(hold, self.drive(body.frame())).await,
                _ => Ok(self.drive(body.frame()).await),
            };
            match frame {
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        size += data.len();
                        held.push_back(data);
                    }
                }
                Ok(Some(Err(error))) => {
                    let io = error
                        .source()
                        .and_then(|error| error.downcast_ref::<io::Error>());
                    return Err(match io.map(io::Error::kind) {
                        Some(io::ErrorKind::TimedOut) => Broken::Silent,
                        None | Some(io::ErrorKind::InvalidInput) => Broken::Spoilt,
                        Some(_) => Broken::Lost,
                    });
                }
                Ok(None) => {
                    // One more turn, in which a connection that ends with this answer says so, or one with more on it.
                    self.drive(std::future::ready(())).await;
                    let reusable = !self.closed && !self.sender.is_closed();
                    return Ok((
                        head,
                        Conversed::Whole(joined(held, size), reusable.then_some(self)),
                    ));
                }
                Err(_) => break,
            }
        }
        if !may_pass {
            return Err(Broken::Spoilt);
        }
        Ok((
            head,
            Conversed::Begun(Box::new(Begun {
                conn: self,
                body,
                held,
                length,
            })),
        ))
    }
}

/// An answer, or the beginning of one; with the connection, if it can carry another request.
enum Conversed {
    Whole(Bytes, Option<Conn>),
    Begun(Box<Begun>),
}

/// An answer of which a part has come.
struct Begun {
    conn: Conn,
    body: Incoming,
    held: VecDeque<Bytes>,
    /// The whole length, where it is told.
    length: Option<u64>,
}

/// What came of an exchange.
struct Exchange {
    outcome: Outcome,
    answer: Option<Exchanged>,
    unreachable: bool,
    sent: bool,
}

impl Exchange {
    /// One of which nothing went out.
    fn of(outcome: Outcome) -> Exchange {
        Exchange {
            outcome,
            answer: None,
            unreachable: false,
            sent: false,
        }
    }
}

enum Exchanged {
    Whole(Response<()>, Bytes),
    Passing(Response<()>, Relayed),
}

fn joined(mut pieces: VecDeque<Bytes>, size: usize) -> Bytes {
    if pieces.len() == 1 {
        return pieces.pop_front().unwrap_or_default();
    }
    let mut all = Vec::with_capacity(size);
    pieces.iter().for_each(|piece| all.extend_from_slice(piece));
    all.into()
}

/// The pieces of an answer, read from its server as its client takes them.
struct Relayed {
    begun: Option<Begun>,
    upstream: Rc<Upstream>,
    left: Option<u64>,
    stalled: Pin<Box<Sleep>>,
}

impl Relayed {
    fn new(begun: Begun, upstream: Rc<Upstream>) -> Relayed {
        let left = begun.length;
        let stalled = Box::pin(sleep_until(Instant::now() + STALL));
        Relayed {
            begun: Some(begun),
            upstream,
            left,
            stalled,
        }
    }
}

impl Pieces for Relayed {
    fn left(&self) -> Option<u64> {
        self.left
    }

    fn poll_next(&mut self, context: &mut Context) -> Poll<Option<Result<Bytes, Cut>>> {
        let Some(begun) = &mut self.begun else {
            return Poll::Ready(None);
        };
        let next = match begun.held.pop_front() {
            Some(piece) => Poll::Ready(Some(Ok(piece))),
            None => begun.poll(context),
        };
        match &next {
            Poll::Pending => {
                if self.stalled.as_mut().poll(context).is_pending() {
                    return Poll::Pending;
                }
                self.begun = None;
                return Poll::Ready(Some(Err(Cut)));
            }
            Poll::Ready(Some(Ok(piece))) => {
                self.left = self
                    .left
                    .map(|left| left.saturating_sub(piece.len() as u64));
                self.stalled.as_mut().reset(Instant::now() + STALL);
            }
            Poll::Ready(Some(Err(Cut))) => self.begun = None,
            Poll::Ready(None) => {
                if let Some(Begun { mut conn, .. }) = self.begun.take() {
                    conn.turn(context);
                    let reusable =
                        !conn.closed && !conn.sender.is_closed() && conn.progress.is_whole();
                    if reusable && self.upstream.is_open() {
                        self.upstream.pool.keep(self.upstream.key, conn);
                    }
                }
            }
        }
        next
    }
}

impl Begun {
    fn poll(&mut self, context: &mut Context) -> Poll<Option<Result<Bytes, Cut>>> {
        loop {
            self.conn.turn(context);
            return match Pin::new(&mut self.body).poll_frame(context) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(None) => Poll::Ready(None),
                Poll::Ready(Some(Err(_))) => Poll::Ready(Some(Err(Cut))),
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => Poll::Ready(Some(Ok(data))),
                    // Trailers concern nobody in front of this limiter.
                    Err(_) => continue,
                },
            };
        }
    }
}

/// Whether the head tells where the answer ends: one length, or chunks, or the end of a connection that the server
/// says it will close (RFC 9112, 6.3). Guards against a cut answer that passes for whole, as one that says neither
/// would, and against two framings of which the HTTP library follows one.
fn is_framed(version: Version, headers: &HeaderMap) -> bool {
    let mut framings = headers
        .get_all(CONTENT_LENGTH)
        .iter()
        .chain(headers.get_all(TRANSFER_ENCODING));
    match (framings.next(), framings.next()) {
        (Some(framing), None) => {
            framing.as_bytes().iter().all(u8::is_ascii_digit)
                || framing.as_bytes().eq_ignore_ascii_case(b"chunked")
        }
        (None, _) => {
            let closes = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"close");
            version == Version::HTTP_10 || headers.get_all(CONNECTION).iter().any(closes)
        }
        (Some(_), Some(_)) => false,
    }
}

/// How far a request is written on its connection.
///
/// It is whole once its body was handed over to its end and the HTTP library has flushed after that: a flush comes only
/// when the socket has taken all that there was to write.
#[derive(Default)]
struct Progress {
    /// Something of the present request was written.
    begun: Cell<bool>,
    /// Its body was handed over to its end.
    ended: Cell<bool>,
    whole: Cell<bool>,
    /// Counts the requests that were written whole.
    tries: RefCell<Option<IntCounter>>,
}

impl Progress {
    /// Another request begins, perhaps one without a body.
    fn begin(&self, tries: Option<IntCounter>, empty: bool) {
        self.begun.set(false);
        self.ended.set(empty);
        self.whole.set(false);
        self.tries.replace(tries);
    }

    fn is_whole(&self) -> bool {
        self.whole.get()
    }

    fn flushed(&self) {
        if self.begun.get() && self.ended.get() && !self.whole.replace(true) {
            if let Some(tries) = &*self.tries.borrow() {
                tries.inc();
            }
        }
    }
}

/// A request's body on its way to a server.
struct Payload {
    held: Option<Bytes>,
    /// What comes behind what is held, and how much of both is left, where that is known.
    coming: Option<(Rc<Upload>, Option<u64>)>,
    progress: Rc<Progress>,
}

impl Payload {
    fn new(body: Upstreamed, progress: Rc<Progress>) -> Payload {
        match body {
            Upstreamed::Whole(bytes) => Payload {
                held: Some(bytes),
                coming: None,
                progress,
            },
            Upstreamed::Coming(upload) => {
                let (held, length) = (Some(upload.held.clone()), upload.length);
                Payload {
                    held,
                    coming: Some((upload, length)),
                    progress,
                }
            }
        }
    }
}

impl Body for Payload {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let held = self.held.take().filter(|held| !held.is_empty());
        let Some((upload, left)) = &mut self.coming else {
            self.progress.ended.set(true);
            return Poll::Ready(held.map(|held| Ok(Frame::data(held))));
        };
        let next = match held {
            Some(held) => Poll::Ready(Some(Ok(held))),
            None => upload.poll_rest(context),
        };
        if let (Poll::Ready(Some(Ok(piece))), Some(left)) = (&next, left.as_mut()) {
            *left = left.saturating_sub(piece.len() as u64);
        }
        // The HTTP library asks no further once all of a stated length was handed over.
        if matches!(next, Poll::Ready(None)) || *left == Some(0) {
            self.progress.ended.set(true);
        }
        next.map(|next| next.map(|next| next.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        // One that is coming ends only when its client has ended it.
        self.coming.is_none() && self.held.as_ref().is_none_or(Bytes::is_empty)
    }

    fn size_hint(&self) -> SizeHint {
        match &self.coming {
            None => SizeHint::with_exact(self.held.as_ref().map_or(0, |held| held.len() as u64)),
            Some((_, Some(left))) => SizeHint::with_exact(*left),
            Some((_, None)) => SizeHint::default(),
        }
    }
}

/// A stream that tells how far a request is written. Nobody holds it across a turn, so it is never borrowed twice.
struct Counted {
    stream: Rc<RefCell<TcpStream>>,
    progress: Rc<Progress>,
}

impl Counted {
    fn count(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(1..)) = &result {
            self.progress.begun.set(true);
        }
        result
    }
}

impl AsyncRead for Counted {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context,
        into: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_read(context, into)
    }
}

impl AsyncWrite for Counted {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context,
        from: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.count(Pin::new(&mut *self.stream.borrow_mut()).poll_write(context, from))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context,
        from: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        self.count(Pin::new(&mut *self.stream.borrow_mut()).poll_write_vectored(context, from))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut *self.stream.borrow_mut()).poll_flush(context);
        if let Poll::Ready(Ok(())) = &flushed {
            self.progress.flushed();
        }
        flushed
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(context)
    }
}
