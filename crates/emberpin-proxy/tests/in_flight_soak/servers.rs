//! Servers that respond as drawn, before, while or after they read the body of a request.

use crate::common::{read_body, read_head, MessageKind};
use crate::history::History;
use crate::responses::{one_in, ResponseForm};
use crate::sockets::split;
use oorandom::Rand32;
use socket2::SockRef;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// A status of a server that is addressed by the id of another instance.
const MISDIRECTED: &[u8] = b"not-run: 1\r\ncontent-length: 0\r\n\r\n";

/// A response of this length is delivered even if its server closes the connection with bytes unread.
const DELIVERED_DESPITE_CLOSE: usize = 20_000;

/// What a server does with a request.
#[derive(Clone, Debug)]
enum Action {
    /// Runs it, before or after its body is there.
    Run { early: bool },
    /// Turns it away, before or after the body, and says so again this many times a little later.
    Reject { early: bool, repeated: u32 },
    /// Resets the connection once the head is there; it may have run.
    ResetAtHead,
    /// Runs it once its body is there, and resets the connection.
    RunAndReset,
}

fn draw_action(random: &mut Rand32) -> Action {
    match random.rand_range(0..32) {
        0..15 => Action::Run { early: false },
        15..24 => Action::Run { early: true },
        24..30 => Action::Reject {
            early: one_in(random, 2),
            repeated: random.rand_range(0..3),
        },
        30 => Action::ResetAtHead,
        _ => Action::RunAndReset,
    }
}

/// One server, whose instance's id may change while its address stays.
#[derive(Clone)]
pub struct Server {
    pub instance_id: Arc<Mutex<String>>,
    pub history: Arc<Mutex<History>>,
}

impl Server {
    /// Serves all connections.
    pub async fn serve(self, listener: TcpListener, seed: u64) {
        let mut random = Rand32::new(seed);
        while let Ok((stream, _)) = listener.accept().await {
            let seed = u64::from(random.rand_u32());
            let connection = ServerConnection::new(self.clone(), Rand32::new(seed), stream);
            tokio::spawn(connection.serve());
        }
    }
}

/// A request whose head has arrived.
struct Arrival {
    id: String,
    first_line: String,
    headers: HashMap<String, String>,
}

/// What a connection carries after a request.
#[derive(Clone, Copy, PartialEq)]
enum Next {
    Request,
    Nothing,
}

/// A connection to a server.
struct ServerConnection {
    server: Server,
    random: Rand32,
    reader: TcpStream,
    writer: Arc<tokio::sync::Mutex<TcpStream>>,
}

impl ServerConnection {
    fn new(server: Server, random: Rand32, stream: TcpStream) -> ServerConnection {
        _ = stream.set_nodelay(true);
        let (reader, writer) = split(stream);
        ServerConnection {
            server,
            random,
            reader,
            writer: Arc::new(tokio::sync::Mutex::new(writer)),
        }
    }

    fn history(&self) -> MutexGuard<'_, History> {
        self.server.history.lock().expect("no panic")
    }

    fn draw_pause(&mut self, max_ms: u32) -> Duration {
        Duration::from_millis(u64::from(self.random.rand_range(0..max_ms)))
    }

    async fn serve(mut self) {
        while let Some((first_line, headers)) = read_head(&mut self.reader).await {
            let id = headers.get("try-id").cloned().unwrap_or_default();
            let arrival = Arrival {
                id,
                first_line,
                headers,
            };
            if self.handle(arrival).await == Next::Nothing {
                return;
            }
        }
    }

    async fn handle(&mut self, arrival: Arrival) -> Next {
        let own_id = self.server.instance_id.lock().expect("no panic").clone();
        if arrival.headers.get("want-instance") != Some(&own_id) {
            return self.reject_misdirected(&arrival.id).await;
        }
        let target = arrival.first_line.rsplit_once(' ').expect("a version").0;
        self.history().on_arrived(&arrival.id, target);
        let action = draw_action(&mut self.random);
        let form = match action {
            Action::Reject { .. } => ResponseForm::draw_rejection(&mut self.random),
            _ => ResponseForm::draw_run(&mut self.random, &arrival.id),
        };
        if form.broken_off_after.is_some() {
            self.history().on_broken_off(&arrival.id);
        }
        let id = arrival.id.clone();
        let written = match action {
            Action::ResetAtHead => return self.reset_at_head(&id),
            Action::Run { early: true } if form.closes => {
                return self.respond_and_close(&form, &id).await
            }
            Action::Run { early: true } => {
                self.history().on_run(&id, form.status, form.body.clone());
                self.respond_early(arrival, &form).await
            }
            Action::Reject { early: true, .. } => self.respond_early(arrival, &form).await,
            Action::Run { early: false } | Action::Reject { early: false, .. } => {
                self.respond_late(arrival, &form).await
            }
            Action::RunAndReset => return self.run_and_reset(arrival, &form).await,
        };
        if !written || form.closes {
            return Next::Nothing;
        }
        if let Action::Reject { repeated, .. } = action {
            self.repeat(&form, &id, repeated);
        }
        Next::Request
    }

    async fn reject_misdirected(&mut self, id: &str) -> Next {
        let head = format!("HTTP/1.1 421 X\r\ntry-id: {id}\r\n");
        let bytes = [head.as_bytes(), MISDIRECTED].concat();
        _ = self.writer.lock().await.write_all(&bytes).await;
        Next::Nothing
    }

    /// Resets the connection before the body is read; the request may have run.
    fn reset_at_head(&mut self, id: &str) -> Next {
        self.history().on_run(id, 0, vec![]);
        self.history().on_broken_off(id);
        self.reset()
    }

    fn reset(&self) -> Next {
        _ = SockRef::from(&self.reader).set_linger(Some(Duration::ZERO));
        Next::Nothing
    }

    /// Runs a request, responds, and closes the connection without having read the body.
    async fn respond_and_close(&mut self, form: &ResponseForm, id: &str) -> Next {
        self.history().on_run(id, form.status, form.body.clone());
        if form.ends_with_connection() || form.body.len() > DELIVERED_DESPITE_CLOSE {
            self.history().on_broken_off(id);
        }
        let pause = self.draw_pause(60);
        sleep(pause).await;
        form.write(&mut *self.writer.lock().await, id).await;
        Next::Nothing
    }

    /// Responds while the body is read. Returns whether the whole response was written and the whole body came, which
    /// need not be after a response.
    async fn respond_early(&mut self, arrival: Arrival, form: &ResponseForm) -> bool {
        let pause = self.draw_pause(60);
        let responding = respond(self.writer.clone(), form.clone(), arrival.id.clone(), pause);
        let responding = tokio::spawn(responding);
        self.read_body(arrival).await && responding.await.expect("no panic")
    }

    /// Reads the body, and then runs the request or turns it away. Returns whether the whole response was written.
    async fn respond_late(&mut self, arrival: Arrival, form: &ResponseForm) -> bool {
        let id = arrival.id.clone();
        if !self.read_body(arrival).await {
            return false;
        }
        if !form.is_rejection() {
            self.history().on_run(&id, form.status, form.body.clone());
        }
        let pause = self.draw_pause(60);
        respond(self.writer.clone(), form.clone(), id, pause).await
    }

    async fn run_and_reset(&mut self, arrival: Arrival, form: &ResponseForm) -> Next {
        let id = arrival.id.clone();
        if self.read_body(arrival).await {
            self.history().on_run(&id, form.status, form.body.clone());
            self.history().on_broken_off(&id);
            let pause = self.draw_pause(60);
            sleep(pause).await;
        }
        self.reset()
    }

    /// Reads the body of a request. Returns whether all of it came.
    async fn read_body(&mut self, arrival: Arrival) -> bool {
        let Arrival {
            id,
            first_line,
            headers,
        } = arrival;
        let reading = read_body(&mut self.reader, MessageKind::Request, first_line, headers);
        let Some(message) = reading.await.filter(|message| message.complete) else {
            return false;
        };
        self.history().on_body(&id, &message.body);
        true
    }

    /// Sends a response again this many times, a little later each.
    fn repeat(&mut self, form: &ResponseForm, id: &str, times: u32) {
        for _ in 0..times {
            let pause = self.draw_pause(25);
            let again = respond(self.writer.clone(), form.clone(), id.to_string(), pause);
            tokio::spawn(again);
        }
    }
}

/// Writes a response after a pause; returns whether all of it was written.
async fn respond(
    writer: Arc<tokio::sync::Mutex<TcpStream>>,
    form: ResponseForm,
    id: String,
    pause: Duration,
) -> bool {
    sleep(pause).await;
    let mut writer = writer.lock().await;
    let written = form.write(&mut *writer, &id).await;
    if form.broken_off_after.is_some() || form.closes {
        _ = writer.shutdown().await;
    }
    written
}
