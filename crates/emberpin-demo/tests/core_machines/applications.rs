//! Applications that take locks, numbers and cells, and watch: callers on open connections, which call another machine
//! after a failure, a 5xx, a 429 or a second of silence.

use super::history::{Event, Get, History, Hold, Number, Put, PutAnswer, Span, Watch};
use super::{begin_body, finish_body, heartbeat_body, number, put_body, Response, SILENCE};
use emberpin_demo::http::{self, Connection};
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request};
use jzon::JsonValue;
use oorandom::Rand32;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, timeout, Instant};

/// For how long a put without a clear answer is sent again.
const PUT_RESEND_TIME: Duration = Duration::from_secs(4);
/// For how long every call is repeated at the end.
const LAST_CALLS_TIME: Duration = Duration::from_secs(15);
/// How old a revision may be from which a watch is resumed: `history` of the settings.
const HISTORY: Duration = Duration::from_secs(20);
const RETRY_BACKOFF: Duration = Duration::from_millis(50);
const WATCH_WAIT: Duration = Duration::from_secs(2);
const LOCKS: u32 = 5;
const COUNTERS: u32 = 3;
const GROUPS: u32 = 2;
const CELLS_OF_GROUP: u32 = 4;

/// What callers share.
#[derive(Clone)]
pub struct Run {
    pub history: Rc<RefCell<History>>,
    started_at: Instant,
    is_over: Rc<Cell<bool>>,
}

impl Run {
    /// How long the run has lasted.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }
}

/// Applications at work.
pub struct Applications {
    pub run: Run,
    addresses: Vec<SocketAddr>,
    callers: Vec<JoinHandle<()>>,
}

impl Applications {
    /// Starts this many callers, and a watcher of each group.
    pub fn start(addresses: &[SocketAddr], callers: u32, seed: u64) -> Applications {
        let run = Run {
            history: Rc::default(),
            started_at: Instant::now(),
            is_over: Rc::default(),
        };
        let client = |nth: u32| Client::new(&run, addresses, seed * 1_000 + u64::from(nth));
        let mut tasks: Vec<JoinHandle<()>> = (0..callers)
            .map(|nth| {
                let caller = Caller {
                    client: client(nth),
                    name: format!("a{nth}"),
                    puts: 0,
                };
                spawn_local(caller.work())
            })
            .collect();
        for group in 0..GROUPS {
            let watcher = client(callers + group);
            tasks.push(spawn_local(watch(watcher, format!("g{group}."))));
        }
        Applications {
            run,
            addresses: addresses.to_vec(),
            callers: tasks,
        }
    }

    /// Has the callers end what they are at, then repeats every kind of call until it is answered: nothing may be
    /// behind what was acknowledged.
    pub async fn finish(self) -> Run {
        self.run.is_over.set(true);
        for caller in self.callers {
            caller.await.expect("a caller");
        }
        let mut client = Client::new(&self.run, &self.addresses, 7);
        for counter in 0..COUNTERS {
            client
                .take_number(&format!("n{counter}"), LAST_CALLS_TIME)
                .await;
        }
        for group in 0..GROUPS {
            for cell in 0..CELLS_OF_GROUP {
                client
                    .read(&format!("g{group}.{cell}"), LAST_CALLS_TIME)
                    .await;
            }
            client.resume_watch(&format!("g{group}.")).await;
        }
        for lock in 0..LOCKS {
            client.take_last(&format!("l{lock}")).await;
        }
        self.run
    }
}

/// What became of one attempt of a call.
enum Attempt {
    Answered(Response),
    /// 429 or 503: nothing was done.
    TurnedAway,
    /// Silence, a broken connection, or another 5xx.
    Unclear,
}

/// One caller's connections, one to each machine, which it keeps open while they work.
struct Client {
    run: Run,
    addresses: Vec<SocketAddr>,
    connections: Vec<Option<Connection>>,
    current: usize,
    random: Rand32,
}

impl Client {
    fn new(run: &Run, addresses: &[SocketAddr], seed: u64) -> Client {
        let mut random = Rand32::new(seed);
        let current = random.rand_range(0..addresses.len() as u32) as usize;
        Client {
            run: run.clone(),
            addresses: addresses.to_vec(),
            connections: addresses.iter().map(|_| None).collect(),
            current,
            random,
        }
    }

    fn draw(&mut self, below: u32) -> u32 {
        self.random.rand_range(0..below)
    }

    async fn pause(&mut self, below_ms: u32) {
        let pause = self.draw(below_ms);
        sleep(Duration::from_millis(pause.into())).await;
    }

    /// Sends a call to the current machine, which another one replaces if there is no clear answer.
    async fn attempt(
        &mut self,
        (method, path): (Method, &str),
        body: &str,
        limit: Duration,
    ) -> Attempt {
        let address = self.addresses[self.current];
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::from(body.to_owned()))
            .expect("a request");
        let open = self.connections[self.current].take();
        let exchange = async {
            let mut connection = match open.filter(|connection| !connection.is_closed()) {
                Some(connection) => connection,
                None => http::connect(address).await.ok()?,
            };
            let response = http::send(&mut connection, request).await.ok()?;
            let body = String::from_utf8_lossy(&response.body).into_owned();
            Some((connection, (response.status, body)))
        };
        let attempt = match timeout(limit, exchange).await {
            Ok(Some((connection, (status, body)))) => {
                self.connections[self.current] = Some(connection);
                match status {
                    429 | 503 => Attempt::TurnedAway,
                    500.. => Attempt::Unclear,
                    _ => Attempt::Answered((status, body)),
                }
            }
            _ => Attempt::Unclear,
        };
        if !matches!(attempt, Attempt::Answered(_)) {
            let others = self.addresses.len() as u32 - 1;
            self.current += 1 + self.random.rand_range(0..others.max(1)) as usize;
            self.current %= self.addresses.len();
            sleep(RETRY_BACKOFF).await;
        }
        attempt
    }

    async fn post(&mut self, path: &str, body: &str) -> (Span, Attempt) {
        let sent = self.run.now();
        let attempt = self.attempt((Method::POST, path), body, SILENCE).await;
        let received = self.run.now();
        (Span { sent, received }, attempt)
    }

    /// Repeats a call without effects that matter until it is answered; `None` if that takes too long.
    async fn repeat(
        &mut self,
        (method, path): (Method, &str),
        body: &str,
        limit: Duration,
        within: Duration,
    ) -> Option<(Span, Response)> {
        let until = self.run.now() + within;
        loop {
            let sent = self.run.now();
            let call = (method.clone(), path);
            if let Attempt::Answered(response) = self.attempt(call, body, limit).await {
                let received = self.run.now();
                return Some((Span { sent, received }, response));
            }
            if self.run.now() >= until {
                return None;
            }
        }
    }

    /// Notes that a call of the end was not answered in time.
    fn note_silence(&self, subject: &str, within: Duration) {
        if within == LAST_CALLS_TIME {
            let what = format!("no answer within {within:?} at the end");
            self.run.history.borrow_mut().note("LOST", subject, what);
        }
    }

    fn note_status(&self, subject: &str, response: &Response) {
        let what = format!("unexpected answer {response:?}");
        self.run.history.borrow_mut().note("STATUS", subject, what);
    }

    async fn take_number(&mut self, counter: &str, within: Duration) {
        let path = format!("/numbers/{counter}");
        let call = (Method::POST, path.as_str());
        match self.repeat(call, "{}", SILENCE, within).await {
            Some((span, (200, body))) => {
                let value = number(&body, "val");
                let counter = counter.to_owned();
                let numbers = &mut self.run.history.borrow_mut().numbers;
                numbers.push(Number {
                    counter,
                    value,
                    span,
                });
            }
            Some((_, response)) => self.note_status(counter, &response),
            None => self.note_silence(counter, within),
        }
    }

    /// Reads a cell; its revision, if there was an answer.
    async fn read(&mut self, cell: &str, within: Duration) -> Option<u64> {
        let path = format!("/cells/{cell}/get");
        let call = (Method::GET, path.as_str());
        let Some((span, response)) = self.repeat(call, "", SILENCE, within).await else {
            self.note_silence(cell, within);
            return None;
        };
        let (value, revision) = match response {
            (200, body) => {
                let parsed = jzon::parse(&body).unwrap_or(JsonValue::Null);
                let value = parsed["val"].as_str().unwrap_or_default().to_owned();
                (Some(value), number(&body, "rev"))
            }
            (404, _) => (None, 0),
            other => {
                self.note_status(cell, &other);
                return None;
            }
        };
        let cell = cell.to_owned();
        self.run.history.borrow_mut().gets.push(Get {
            cell,
            span,
            value,
            revision,
        });
        Some(revision)
    }

    /// Writes a cell, again and again until the answer is clear.
    async fn put(&mut self, cell: &str, value: String, when: u64) {
        let path = format!("/cells/{cell}/put");
        let body = put_body(&value, when);
        let sent = self.run.now();
        let mut answer = PutAnswer::TurnedAway;
        while self.run.now() < sent + PUT_RESEND_TIME {
            match self.post(&path, &body).await.1 {
                Attempt::Answered((200, body)) => answer = PutAnswer::Written(number(&body, "rev")),
                Attempt::Answered((412, body)) => answer = PutAnswer::Changed(number(&body, "rev")),
                Attempt::Answered(other) => self.note_status(cell, &other),
                Attempt::TurnedAway => continue,
                Attempt::Unclear => {
                    answer = PutAnswer::Unclear;
                    continue;
                }
            }
            break;
        }
        let received = self.run.now();
        let cell = cell.to_owned();
        self.run.history.borrow_mut().puts.push(Put {
            cell,
            value,
            when,
            span: Span { sent, received },
            answer,
        });
    }

    /// Asks for the changes of a group above a revision; the revision of the answer.
    async fn watch(
        &mut self,
        group: &str,
        after: u64,
        wait: Duration,
        within: Duration,
    ) -> Option<u64> {
        let path = format!("/watch/{group}?after={after}&wait_ms={}", wait.as_millis());
        let call = (Method::GET, path.as_str());
        let answer = self.repeat(call, "", wait + SILENCE, within).await;
        let Some((span, response)) = answer else {
            self.note_silence(group, within);
            return None;
        };
        let (200, body) = response else {
            self.note_status(group, &response);
            return None;
        };
        let parsed = jzon::parse(&body).unwrap_or(JsonValue::Null);
        let text =
            |event: &JsonValue, field: &str| event[field].as_str().unwrap_or_default().to_owned();
        let events = parsed["events"].members().map(|event| Event {
            cell: text(event, "name"),
            value: text(event, "val"),
            revision: event["rev"].as_u64().unwrap_or_default(),
        });
        let revision = number(&body, "rev");
        self.run.history.borrow_mut().watches.push(Watch {
            group: group.to_owned(),
            after,
            revision,
            events: events.collect(),
            span,
        });
        Some(revision)
    }

    /// LOST: a watch is resumed from the oldest revision that was given less than `history` ago, up to the newest
    /// acknowledged put.
    async fn resume_watch(&mut self, group: &str) {
        let now = self.run.now();
        let (saved, newest) = {
            let history = self.run.history.borrow();
            let given = history.watches.iter().filter(|watch| {
                watch.group == group
                    && watch.revision > 0
                    && watch.span.received + HISTORY > now + LAST_CALLS_TIME / 10
            });
            let acknowledged = history.puts.iter().filter_map(|put| match put.answer {
                PutAnswer::Written(revision) if put.cell.starts_with(group) => Some(revision),
                _ => None,
            });
            (given.map(|watch| watch.revision).min(), acknowledged.max())
        };
        let (Some(mut after), Some(newest)) = (saved, newest) else {
            return;
        };
        while after < newest {
            let wait = Duration::from_millis(200);
            match self.watch(group, after, wait, LAST_CALLS_TIME).await {
                Some(revision) if revision > after => after = revision,
                Some(_) => {
                    let what = format!("a watch from {after} ends before {newest}");
                    self.run.history.borrow_mut().note("LOST", group, what);
                    return;
                }
                None => return,
            }
        }
    }

    /// LOST: a lock can be had at the end, once all holds are over.
    async fn take_last(&mut self, lock: &str) {
        let until = self.run.now() + LAST_CALLS_TIME;
        let (path, body) = (format!("/locks/{lock}/begin"), begin_body("last", 2_000));
        while self.run.now() < until {
            let (span, attempt) = self.post(&path, &body).await;
            match attempt {
                Attempt::Answered((200, body)) => {
                    let hold = Hold {
                        lock: lock.to_owned(),
                        owner: "last".to_owned(),
                        fence: number(&body, "fence"),
                        span,
                        until: span.sent + Duration::from_millis(2_000),
                    };
                    return self.run.history.borrow_mut().holds.push(hold);
                }
                Attempt::Answered((409, _)) => sleep(RETRY_BACKOFF).await,
                Attempt::Answered(other) => return self.note_status(lock, &other),
                Attempt::TurnedAway | Attempt::Unclear => {}
            }
        }
        self.note_silence(lock, LAST_CALLS_TIME);
    }
}

/// A caller of all kinds of calls but watches.
struct Caller {
    client: Client,
    name: String,
    puts: u32,
}

impl Caller {
    async fn work(mut self) {
        while !self.client.run.is_over.get() {
            match self.client.draw(10) {
                0..=3 => self.hold_lock().await,
                4..=5 => {
                    let counter = format!("n{}", self.client.draw(COUNTERS));
                    self.client.take_number(&counter, SILENCE).await;
                }
                6..=8 => self.change_cell().await,
                _ => {
                    let cell = self.draw_cell();
                    self.client.read(&cell, SILENCE).await;
                }
            }
            self.client.pause(40).await;
        }
    }

    fn draw_cell(&mut self) -> String {
        let (group, cell) = (self.client.draw(GROUPS), self.client.draw(CELLS_OF_GROUP));
        format!("g{group}.{cell}")
    }

    async fn change_cell(&mut self) {
        let cell = self.draw_cell();
        if let Some(when) = self.client.read(&cell, SILENCE).await {
            self.puts += 1;
            let value = format!("{}-{}", self.name, self.puts);
            self.client.put(&cell, value, when).await;
        }
    }

    /// Asks for a lock a few times. Once it has it, it keeps it for a moment or renews it, dies while holding it, or
    /// sleeps beyond its time.
    async fn hold_lock(&mut self) {
        let lock = format!("l{}", self.client.draw(LOCKS));
        let hold_ms = 300 + self.client.draw(1_500);
        let Some(mut hold) = self.begin(&lock, hold_ms).await else {
            return;
        };
        match self.client.draw(10) {
            0 => {}
            1 => {
                let over = hold.until.saturating_sub(self.client.run.now());
                sleep(over).await;
                self.client.pause(hold_ms).await;
                // Whatever the answer is, its time is over.
                let path = format!("/locks/{lock}/heartbeat");
                let body = heartbeat_body(&self.name, hold.fence, hold_ms.into());
                self.client.post(&path, &body).await;
                self.client.run.history.borrow_mut().holds.push(hold);
                return;
            }
            2..=4 => {
                for _ in 0..self.client.draw(8) {
                    sleep(Duration::from_millis(u64::from(hold_ms) / 3)).await;
                    if !self.renew(&mut hold, hold_ms).await {
                        break;
                    }
                }
                return self.give_back(hold).await;
            }
            _ => {
                self.client.pause(60).await;
                return self.give_back(hold).await;
            }
        }
        self.client.run.history.borrow_mut().holds.push(hold);
    }

    async fn begin(&mut self, lock: &str, hold_ms: u32) -> Option<Hold> {
        let path = format!("/locks/{lock}/begin");
        let body = begin_body(&self.name, hold_ms.into());
        for _ in 0..6 {
            let (span, attempt) = self.client.post(&path, &body).await;
            match attempt {
                Attempt::Answered((200, body)) => {
                    let until = span.sent + Duration::from_millis(hold_ms.into());
                    return (span.received < until).then(|| Hold {
                        lock: lock.to_owned(),
                        owner: self.name.clone(),
                        fence: number(&body, "fence"),
                        span,
                        until,
                    });
                }
                Attempt::Answered((409, _)) => self.client.pause(200).await,
                Attempt::Answered(other) => self.client.note_status(lock, &other),
                Attempt::TurnedAway | Attempt::Unclear => {}
            }
        }
        None
    }

    /// Whether the caller still holds the lock.
    async fn renew(&mut self, hold: &mut Hold, hold_ms: u32) -> bool {
        let path = format!("/locks/{}/heartbeat", hold.lock);
        let body = heartbeat_body(&self.name, hold.fence, hold_ms.into());
        while self.client.run.now() < hold.until {
            let (span, attempt) = self.client.post(&path, &body).await;
            match attempt {
                Attempt::Answered((200, _)) if span.received < hold.until => {
                    let until = span.sent + Duration::from_millis(hold_ms.into());
                    hold.until = hold.until.max(until);
                    return true;
                }
                Attempt::Answered((409, _)) => {
                    hold.until = hold.until.min(span.received);
                    return false;
                }
                Attempt::Answered(_) => return false,
                Attempt::TurnedAway | Attempt::Unclear => {}
            }
        }
        false
    }

    /// Gives the lock back; now and then with one attempt only, as nothing depends on it for the caller.
    async fn give_back(&mut self, mut hold: Hold) {
        hold.until = hold.until.min(self.client.run.now());
        let path = format!("/locks/{}/finish", hold.lock);
        let body = finish_body(&self.name, hold.fence);
        let lock = hold.lock.clone();
        self.client.run.history.borrow_mut().holds.push(hold);
        for _ in 0..1 + self.client.draw(3) {
            match self.client.post(&path, &body).await.1 {
                Attempt::Answered((200, _)) => return,
                Attempt::Answered(other) => return self.client.note_status(&lock, &other),
                Attempt::TurnedAway | Attempt::Unclear => {}
            }
        }
    }
}

/// Follows a group from its present revision on.
async fn watch(mut client: Client, group: String) {
    let mut after = 0;
    while !client.run.is_over.get() {
        let watched = client.watch(&group, after, WATCH_WAIT, SILENCE).await;
        after = watched.unwrap_or(after);
        if after == 0 {
            sleep(RETRY_BACKOFF).await;
        }
    }
}
