//! Applications that use locks, numbers, cells and watches. Callers keep their connections open, and call another
//! machine after a failure, a 5xx, a 429, or a second without an answer. They record all calls in the history of the
//! run.

use super::history::{Event, Get, History, Lease, Number, Put, PutResult, Span, Watch};
use super::{begin_body, finish_body, heartbeat_body, put_body, u64_field, Response, CALL_TIMEOUT};
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

/// How long a put without a clear answer is retried.
const PUT_RETRY_TIME: Duration = Duration::from_secs(4);
/// How long each call at the end of the run is repeated until it is answered.
const FINAL_CALL_TIMEOUT: Duration = Duration::from_secs(15);
/// The maximum age of a revision from which a watch can be resumed: `history` of the settings.
const RETENTION_PERIOD: Duration = Duration::from_secs(20);
/// The delay before a call is sent to another machine.
const RETRY_BACKOFF: Duration = Duration::from_millis(50);
/// How long a watch waits for changes.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// The numbers of locks, counters, groups and cells that the callers share.
const LOCKS: u32 = 5;
const COUNTERS: u32 = 3;
const GROUPS: u32 = 2;
const CELLS_PER_GROUP: u32 = 4;

/// The state that all callers share.
#[derive(Clone)]
pub struct Run {
    pub history: Rc<RefCell<History>>,
    started_at: Instant,
    is_over: Rc<Cell<bool>>,
}

impl Run {
    /// The time since the start of the run.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }
}

/// Running applications.
pub struct Applications {
    pub run: Run,
    addresses: Vec<SocketAddr>,
    callers: Vec<JoinHandle<()>>,
}

impl Applications {
    /// Starts this many callers, and one watcher for each group.
    pub fn start(addresses: &[SocketAddr], callers: u32, seed: u64) -> Applications {
        let run = Run {
            history: Rc::default(),
            started_at: Instant::now(),
            is_over: Rc::default(),
        };
        let client = |index: u32| Client::new(&run, addresses, seed * 1_000 + u64::from(index));
        let mut tasks: Vec<JoinHandle<()>> = (0..callers)
            .map(|index| {
                let caller = Caller {
                    client: client(index),
                    name: format!("a{index}"),
                    puts: 0,
                };
                spawn_local(caller.run())
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

    /// Stops the callers after their current calls, then makes every kind of call once more and repeats it until it is
    /// answered, so that the history shows whether any acknowledged state was lost.
    pub async fn finish(self) -> Run {
        self.run.is_over.set(true);
        for caller in self.callers {
            caller.await.expect("a caller");
        }
        let mut client = Client::new(&self.run, &self.addresses, 7);
        for counter in 0..COUNTERS {
            client
                .take_number(&format!("n{counter}"), FINAL_CALL_TIMEOUT)
                .await;
        }
        for group in 0..GROUPS {
            for cell in 0..CELLS_PER_GROUP {
                client
                    .read(&format!("g{group}.{cell}"), FINAL_CALL_TIMEOUT)
                    .await;
            }
            client.resume_watch(&format!("g{group}.")).await;
        }
        for lock in 0..LOCKS {
            client.acquire_at_end(&format!("l{lock}")).await;
        }
        self.run
    }
}

/// The result of one attempt of a call.
enum Attempt {
    /// A clear answer: any other status.
    Clear(Response),
    /// 429 or 503: the call had no effect.
    Rejected,
    /// A time-out, a connection failure, or another 5xx: the call may have had an effect.
    Unknown,
}

/// The connections of one caller, one to each machine, which stay open until they fail.
struct Client {
    run: Run,
    addresses: Vec<SocketAddr>,
    connections: Vec<Option<Connection>>,
    /// The index of the machine that is called next.
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

    async fn random_delay(&mut self, below_ms: u32) {
        let random_delay = self.draw(below_ms);
        sleep(Duration::from_millis(random_delay.into())).await;
    }

    /// Sends a call to the current machine. Without a clear answer, another machine becomes the current one.
    async fn attempt(
        &mut self,
        (method, path): (Method, &str),
        body: &str,
        time_limit: Duration,
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
        let attempt = match timeout(time_limit, exchange).await {
            Ok(Some((connection, (status, body)))) => {
                self.connections[self.current] = Some(connection);
                match status {
                    429 | 503 => Attempt::Rejected,
                    500.. => Attempt::Unknown,
                    _ => Attempt::Clear((status, body)),
                }
            }
            _ => Attempt::Unknown,
        };
        if !matches!(attempt, Attempt::Clear(_)) {
            let other_machines = self.addresses.len() as u32 - 1;
            self.current += 1 + self.random.rand_range(0..other_machines.max(1)) as usize;
            self.current %= self.addresses.len();
            sleep(RETRY_BACKOFF).await;
        }
        attempt
    }

    async fn post(&mut self, path: &str, body: &str) -> (Span, Attempt) {
        let sent = self.run.now();
        let attempt = self.attempt((Method::POST, path), body, CALL_TIMEOUT).await;
        let received = self.run.now();
        (Span { sent, received }, attempt)
    }

    /// Repeats a call, whose repetition does no harm, until it is answered; `None` if that takes longer than
    /// `retry_time`.
    async fn call_until_answered(
        &mut self,
        (method, path): (Method, &str),
        body: &str,
        time_limit: Duration,
        retry_time: Duration,
    ) -> Option<(Span, Response)> {
        let until = self.run.now() + retry_time;
        loop {
            let sent = self.run.now();
            let call = (method.clone(), path);
            if let Attempt::Clear(response) = self.attempt(call, body, time_limit).await {
                let received = self.run.now();
                return Some((Span { sent, received }, response));
            }
            if self.run.now() >= until {
                return None;
            }
        }
    }

    /// Records a violation (LOST) if a call at the end of the run was not answered in time. During the run this is
    /// allowed.
    fn report_missing_answer(&self, subject: &str, retry_time: Duration) {
        if retry_time == FINAL_CALL_TIMEOUT {
            let details = format!("no answer within {retry_time:?} at the end");
            self.run
                .history
                .borrow_mut()
                .add_violation("LOST", subject, details);
        }
    }

    /// Records a violation (STATUS) for an unexpected answer.
    fn report_unexpected_answer(&self, subject: &str, response: &Response) {
        let details = format!("unexpected answer {response:?}");
        self.run
            .history
            .borrow_mut()
            .add_violation("STATUS", subject, details);
    }

    async fn take_number(&mut self, counter: &str, retry_time: Duration) {
        let path = format!("/numbers/{counter}");
        let call = (Method::POST, path.as_str());
        match self
            .call_until_answered(call, "{}", CALL_TIMEOUT, retry_time)
            .await
        {
            Some((span, (200, body))) => {
                let value = u64_field(&body, "val");
                let counter = counter.to_owned();
                let numbers = &mut self.run.history.borrow_mut().numbers;
                numbers.push(Number {
                    counter,
                    value,
                    span,
                });
            }
            Some((_, response)) => self.report_unexpected_answer(counter, &response),
            None => self.report_missing_answer(counter, retry_time),
        }
    }

    /// Reads a cell; returns its revision if there was an answer.
    async fn read(&mut self, cell: &str, retry_time: Duration) -> Option<u64> {
        let path = format!("/cells/{cell}/get");
        let call = (Method::GET, path.as_str());
        let Some((span, response)) = self
            .call_until_answered(call, "", CALL_TIMEOUT, retry_time)
            .await
        else {
            self.report_missing_answer(cell, retry_time);
            return None;
        };
        let (value, revision) = match response {
            (200, body) => {
                let parsed = jzon::parse(&body).unwrap_or(JsonValue::Null);
                let value = parsed["val"].as_str().unwrap_or_default().to_owned();
                (Some(value), u64_field(&body, "rev"))
            }
            (404, _) => (None, 0),
            other => {
                self.report_unexpected_answer(cell, &other);
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

    /// Writes a cell, and retries until there is a clear answer or the retry time is over.
    async fn put(&mut self, cell: &str, value: String, when: u64) {
        let path = format!("/cells/{cell}/put");
        let body = put_body(&value, when);
        let sent = self.run.now();
        let mut result = PutResult::Rejected;
        while self.run.now() < sent + PUT_RETRY_TIME {
            match self.post(&path, &body).await.1 {
                Attempt::Clear((200, body)) => result = PutResult::Written(u64_field(&body, "rev")),
                Attempt::Clear((412, body)) => result = PutResult::Changed(u64_field(&body, "rev")),
                Attempt::Clear(other) => self.report_unexpected_answer(cell, &other),
                Attempt::Rejected => continue,
                Attempt::Unknown => {
                    result = PutResult::Unknown;
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
            result,
        });
    }

    /// Watches a group for changes above a revision; returns the revision of the answer.
    async fn watch(
        &mut self,
        group: &str,
        after: u64,
        wait: Duration,
        retry_time: Duration,
    ) -> Option<u64> {
        let path = format!("/watch/{group}?after={after}&wait_ms={}", wait.as_millis());
        let call = (Method::GET, path.as_str());
        let result = self
            .call_until_answered(call, "", wait + CALL_TIMEOUT, retry_time)
            .await;
        let Some((span, response)) = result else {
            self.report_missing_answer(group, retry_time);
            return None;
        };
        let (200, body) = response else {
            self.report_unexpected_answer(group, &response);
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
        let revision = u64_field(&body, "rev");
        self.run.history.borrow_mut().watches.push(Watch {
            group: group.to_owned(),
            after,
            revision,
            events: events.collect(),
            span,
        });
        Some(revision)
    }

    /// Resumes a watch from the oldest revision that was returned less than `history` ago. Records a violation (LOST)
    /// if the watch does not reach the newest acknowledged put.
    async fn resume_watch(&mut self, group: &str) {
        let now = self.run.now();
        let (saved, newest) = {
            let history = self.run.history.borrow();
            let recent_watches = history.watches.iter().filter(|watch| {
                watch.group == group
                    && watch.revision > 0
                    && watch.span.received + RETENTION_PERIOD > now + FINAL_CALL_TIMEOUT / 10
            });
            let acknowledged = history.puts.iter().filter_map(|put| match put.result {
                PutResult::Written(revision) if put.cell.starts_with(group) => Some(revision),
                _ => None,
            });
            (
                recent_watches.map(|watch| watch.revision).min(),
                acknowledged.max(),
            )
        };
        let (Some(mut after), Some(newest)) = (saved, newest) else {
            return;
        };
        while after < newest {
            let wait = Duration::from_millis(200);
            match self.watch(group, after, wait, FINAL_CALL_TIMEOUT).await {
                Some(revision) if revision > after => after = revision,
                Some(_) => {
                    let details = format!("a watch from {after} ends before {newest}");
                    self.run
                        .history
                        .borrow_mut()
                        .add_violation("LOST", group, details);
                    return;
                }
                None => return,
            }
        }
    }

    /// Acquires a lock at the end of the run, once all leases have expired. Records a violation (LOST) if that fails.
    async fn acquire_at_end(&mut self, lock: &str) {
        let until = self.run.now() + FINAL_CALL_TIMEOUT;
        let (path, body) = (format!("/locks/{lock}/begin"), begin_body("last", 2_000));
        while self.run.now() < until {
            let (span, attempt) = self.post(&path, &body).await;
            match attempt {
                Attempt::Clear((200, body)) => {
                    let lease = Lease {
                        lock: lock.to_owned(),
                        owner: "last".to_owned(),
                        fencing_token: u64_field(&body, "fence"),
                        span,
                        until: span.sent + Duration::from_millis(2_000),
                    };
                    return self.run.history.borrow_mut().leases.push(lease);
                }
                Attempt::Clear((409, _)) => sleep(RETRY_BACKOFF).await,
                Attempt::Clear(other) => return self.report_unexpected_answer(lock, &other),
                Attempt::Rejected | Attempt::Unknown => {}
            }
        }
        self.report_missing_answer(lock, FINAL_CALL_TIMEOUT);
    }
}

/// A caller that makes all kinds of calls except watches.
struct Caller {
    client: Client,
    name: String,
    /// The number of puts so far, which makes every value unique.
    puts: u32,
}

impl Caller {
    async fn run(mut self) {
        while !self.client.run.is_over.get() {
            match self.client.draw(10) {
                0..=3 => self.use_lock().await,
                4..=5 => {
                    let counter = format!("n{}", self.client.draw(COUNTERS));
                    self.client.take_number(&counter, CALL_TIMEOUT).await;
                }
                6..=8 => self.change_cell().await,
                _ => {
                    let cell = self.draw_cell();
                    self.client.read(&cell, CALL_TIMEOUT).await;
                }
            }
            self.client.random_delay(40).await;
        }
    }

    fn draw_cell(&mut self) -> String {
        let (group, cell) = (self.client.draw(GROUPS), self.client.draw(CELLS_PER_GROUP));
        format!("g{group}.{cell}")
    }

    async fn change_cell(&mut self) {
        let cell = self.draw_cell();
        if let Some(when) = self.client.read(&cell, CALL_TIMEOUT).await {
            self.puts += 1;
            let value = format!("{}-{}", self.name, self.puts);
            self.client.put(&cell, value, when).await;
        }
    }

    /// Tries to acquire a lock. Then holds it for a moment or renews it a few times, and releases it; or stops without
    /// a release, as if the caller had crashed; or sleeps until after the lease has expired.
    async fn use_lock(&mut self) {
        let lock = format!("l{}", self.client.draw(LOCKS));
        let lease_ms = 300 + self.client.draw(1_500);
        let Some(mut lease) = self.acquire(&lock, lease_ms).await else {
            return;
        };
        match self.client.draw(10) {
            0 => {}
            1 => {
                let remaining_lease = lease.until.saturating_sub(self.client.run.now());
                sleep(remaining_lease).await;
                self.client.random_delay(lease_ms).await;
                // The lease has expired, whatever the answer to this late renewal is.
                let path = format!("/locks/{lock}/heartbeat");
                let body = heartbeat_body(&self.name, lease.fencing_token, lease_ms.into());
                self.client.post(&path, &body).await;
                self.client.run.history.borrow_mut().leases.push(lease);
                return;
            }
            2..=4 => {
                for _ in 0..self.client.draw(8) {
                    sleep(Duration::from_millis(u64::from(lease_ms) / 3)).await;
                    if !self.renew(&mut lease, lease_ms).await {
                        break;
                    }
                }
                return self.release(lease).await;
            }
            _ => {
                self.client.random_delay(60).await;
                return self.release(lease).await;
            }
        }
        self.client.run.history.borrow_mut().leases.push(lease);
    }

    /// Tries a few times to acquire a lock; `None` if it was not granted before the lease would have expired.
    async fn acquire(&mut self, lock: &str, lease_ms: u32) -> Option<Lease> {
        let path = format!("/locks/{lock}/begin");
        let body = begin_body(&self.name, lease_ms.into());
        for _ in 0..6 {
            let (span, attempt) = self.client.post(&path, &body).await;
            match attempt {
                Attempt::Clear((200, body)) => {
                    let until = span.sent + Duration::from_millis(lease_ms.into());
                    return (span.received < until).then(|| Lease {
                        lock: lock.to_owned(),
                        owner: self.name.clone(),
                        fencing_token: u64_field(&body, "fence"),
                        span,
                        until,
                    });
                }
                Attempt::Clear((409, _)) => self.client.random_delay(200).await,
                Attempt::Clear(other) => self.client.report_unexpected_answer(lock, &other),
                Attempt::Rejected | Attempt::Unknown => {}
            }
        }
        None
    }

    /// Renews a lock; returns whether the caller still holds it.
    async fn renew(&mut self, lease: &mut Lease, lease_ms: u32) -> bool {
        let path = format!("/locks/{}/heartbeat", lease.lock);
        let body = heartbeat_body(&self.name, lease.fencing_token, lease_ms.into());
        while self.client.run.now() < lease.until {
            let (span, attempt) = self.client.post(&path, &body).await;
            match attempt {
                Attempt::Clear((200, _)) if span.received < lease.until => {
                    let until = span.sent + Duration::from_millis(lease_ms.into());
                    lease.until = lease.until.max(until);
                    return true;
                }
                Attempt::Clear((409, _)) => {
                    lease.until = lease.until.min(span.received);
                    return false;
                }
                Attempt::Clear(_) => return false,
                Attempt::Rejected | Attempt::Unknown => {}
            }
        }
        false
    }

    /// Releases a lock with one to three attempts. Nothing in the caller depends on the success.
    async fn release(&mut self, mut lease: Lease) {
        lease.until = lease.until.min(self.client.run.now());
        let path = format!("/locks/{}/finish", lease.lock);
        let body = finish_body(&self.name, lease.fencing_token);
        let lock = lease.lock.clone();
        self.client.run.history.borrow_mut().leases.push(lease);
        for _ in 0..1 + self.client.draw(3) {
            match self.client.post(&path, &body).await.1 {
                Attempt::Clear((200, _)) => return,
                Attempt::Clear(other) => {
                    return self.client.report_unexpected_answer(&lock, &other)
                }
                Attempt::Rejected | Attempt::Unknown => {}
            }
        }
    }
}

/// Watches a group from its current revision on until the run is over.
async fn watch(mut client: Client, group: String) {
    let mut after = 0;
    while !client.run.is_over.get() {
        let watched = client.watch(&group, after, WATCH_WAIT, CALL_TIMEOUT).await;
        after = watched.unwrap_or(after);
        if after == 0 {
            sleep(RETRY_BACKOFF).await;
        }
    }
}
