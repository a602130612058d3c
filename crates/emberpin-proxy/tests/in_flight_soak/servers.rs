//! Servers that respond as drawn, before, while or after they read the body of a request.

use crate::common::{read_body, read_head, MessageKind};
use crate::history::History;
use crate::responses::{one_in, ResponseForm};
use crate::sockets::split;
use oorandom::Rand32;
use socket2::SockRef;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// A status of a server that is addressed by the id of another instance.
const MISDIRECTED: &[u8] = b"not-run: 1\r\ncontent-length: 0\r\n\r\n";

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
            let connection = ServerConnection {
                server: self.clone(),
                random: Rand32::new(seed),
            };
            tokio::spawn(connection.serve(stream));
        }
    }
}

/// A connection to a server.
struct ServerConnection {
    server: Server,
    random: Rand32,
}

fn reset(stream: &TcpStream) {
    _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

impl ServerConnection {
    fn history(&self) -> std::sync::MutexGuard<'_, History> {
        self.server.history.lock().expect("no panic")
    }

    fn draw_pause(&mut self, max_ms: u32) -> Duration {
        Duration::from_millis(u64::from(self.random.rand_range(0..max_ms)))
    }

    async fn serve(mut self, stream: TcpStream) {
        _ = stream.set_nodelay(true);
        let (mut reader, writer) = split(stream);
        let writer = Arc::new(tokio::sync::Mutex::new(writer));
        while let Some((first, headers)) = read_head(&mut reader).await {
            let id = headers.get("try-id").cloned().unwrap_or_default();
            let own_id = self.server.instance_id.lock().expect("no panic").clone();
            if headers.get("want-instance") != Some(&own_id) {
                let head = format!("HTTP/1.1 421 X\r\ntry-id: {id}\r\n");
                let mut writer = writer.lock().await;
                _ = writer
                    .write_all(&[head.as_bytes(), MISDIRECTED].concat())
                    .await;
                return;
            }
            let target = first.rsplit_once(' ').expect("a version").0;
            self.history().on_arrived(&id, target);
            let action = draw_action(&mut self.random);
            let form = match action {
                Action::Reject { .. } => ResponseForm::draw_rejection(&mut self.random),
                _ => ResponseForm::draw_run(&mut self.random, &id),
            };
            if let Action::ResetAtHead = action {
                self.history().on_run(&id, 0, vec![]);
                self.history().on_broken_off(&id);
                return reset(&reader);
            }
            if form.broken_off_after.is_some() {
                self.history().on_broken_off(&id);
            }
            if matches!(action, Action::Run { early: true }) && form.closes {
                return self.respond_and_close(&writer, &form, &id).await;
            }
            // Of a request that is answered before its body is there, the whole body need not come.
            let responding = match action {
                Action::Run { early: true } | Action::Reject { early: true, .. } => {
                    if let Action::Run { .. } = action {
                        self.history().on_run(&id, form.status, form.body.clone());
                    }
                    let pause = self.draw_pause(60);
                    Some(tokio::spawn(respond(
                        writer.clone(),
                        form.clone(),
                        id.clone(),
                        pause,
                    )))
                }
                _ => None,
            };
            let message = read_body(&mut reader, MessageKind::Request, first, headers).await;
            let Some(message) = message.filter(|message| message.complete) else {
                return;
            };
            self.history().on_body(&id, &message.body);
            let written = match responding {
                Some(responding) => responding.await.expect("no panic"),
                None => {
                    if !matches!(action, Action::Reject { .. }) {
                        self.history().on_run(&id, form.status, form.body.clone());
                    }
                    let pause = self.draw_pause(60);
                    if let Action::RunAndReset = action {
                        self.history().on_broken_off(&id);
                        sleep(pause).await;
                        return reset(&reader);
                    }
                    respond(writer.clone(), form.clone(), id.clone(), pause).await
                }
            };
            if !written || form.closes {
                return;
            }
            if let Action::Reject { repeated, .. } = action {
                for _ in 0..repeated {
                    let pause = self.draw_pause(25);
                    tokio::spawn(respond(writer.clone(), form.clone(), id.clone(), pause));
                }
            }
        }
    }
}

/// A response of this length is delivered even if its server closes the connection with bytes unread.
const DELIVERED_DESPITE_CLOSE: usize = 20_000;

impl ServerConnection {
    /// Runs a request, responds, and closes the connection without having read the body.
    async fn respond_and_close(
        &mut self,
        writer: &tokio::sync::Mutex<TcpStream>,
        form: &ResponseForm,
        id: &str,
    ) {
        self.history().on_run(id, form.status, form.body.clone());
        if form.ends_with_connection() || form.body.len() > DELIVERED_DESPITE_CLOSE {
            self.history().on_broken_off(id);
        }
        let pause = self.draw_pause(60);
        sleep(pause).await;
        form.write(&mut *writer.lock().await, id).await;
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
