//! Servers that answer as drawn, before or after they have read the body of a request.

use crate::common::{read_body, read_head, MessageKind};
use crate::history::History;
use oorandom::Rand32;
use socket2::SockRef;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// What a server does with a request.
#[derive(Clone, Copy, Debug)]
enum Action {
    /// Runs it once its body is there.
    Run,
    /// Runs it and answers at once, and reads on.
    RunEarly,
    /// Turns it away, before or after the body; with `repeated`, it says so once more a little later.
    Reject { early: bool, repeated: bool },
    /// Runs it, and answers with its own 500.
    Fail,
    /// Runs it, and resets the connection.
    Reset,
}

fn draw_action(random: &mut Rand32) -> Action {
    let flag = |random: &mut Rand32| random.rand_range(0..2) == 0;
    match random.rand_range(0..20) {
        0..8 => Action::Run,
        8..12 => Action::RunEarly,
        12..17 => Action::Reject {
            early: flag(random),
            repeated: flag(random),
        },
        17..19 => Action::Fail,
        _ => Action::Reset,
    }
}

/// A body for a response: short, longer than what the proxy buffers, or longer than what is read at once.
fn draw_body(random: &mut Rand32, id: &str) -> Vec<u8> {
    let length = [20, 3_000, 30_000, 200_000][random.rand_range(0..4) as usize];
    let mark = format!("{id}/{:08x};", random.rand_u32());
    mark.into_bytes().into_iter().cycle().take(length).collect()
}

fn response(id: &str, status: u16, extra: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head =
        format!("HTTP/1.1 {status} X\r\ntry-id: {id}\r\n{extra}content-length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

/// Serves all connections to one server.
pub async fn serve(listener: TcpListener, seed: u64, history: Arc<Mutex<History>>) {
    let mut random = Rand32::new(seed);
    while let Ok((stream, _)) = listener.accept().await {
        let seed = u64::from(random.rand_u32());
        tokio::spawn(serve_connection(stream, seed, history.clone()));
    }
}

async fn serve_connection(stream: TcpStream, seed: u64, history: Arc<Mutex<History>>) {
    let mut random = Rand32::new(seed);
    _ = stream.set_nodelay(true);
    let socket = stream.into_std().expect("registered");
    let writer = socket.try_clone().expect("cloned");
    let mut reader = TcpStream::from_std(socket).expect("registered");
    let writer = Arc::new(tokio::sync::Mutex::new(
        TcpStream::from_std(writer).expect("registered"),
    ));
    while let Some((first, headers)) = read_head(&mut reader).await {
        let id = headers.get("try-id").cloned().unwrap_or_default();
        history.lock().expect("no panic").on_arrived(&id);
        let action = draw_action(&mut random);
        let body = draw_body(&mut random, &id);
        let bytes = match action {
            Action::Run | Action::RunEarly => response(&id, 200, "seal: s\r\n", &body),
            Action::Reject { .. } => response(&id, 503, "not-run: 1\r\n", b""),
            Action::Fail | Action::Reset => response(&id, 500, "seal: s\r\n", b"failed"),
        };
        // Of a request that is run before its body is there, the whole body need not come.
        let early = matches!(
            action,
            Action::RunEarly | Action::Reject { early: true, .. }
        );
        if let Action::RunEarly = action {
            history.lock().expect("no panic").on_run(&id, body.clone());
        }
        if early {
            let (writer, bytes) = (writer.clone(), bytes.clone());
            tokio::spawn(async move { writer.lock().await.write_all(&bytes).await });
        }
        let message = read_body(&mut reader, MessageKind::Request, first, headers).await;
        let Some(message) = message.filter(|message| message.complete) else {
            return;
        };
        history
            .lock()
            .expect("no panic")
            .on_body(&id, &message.body);
        if let Action::Run | Action::Fail | Action::Reset = action {
            history.lock().expect("no panic").on_run(&id, body);
            sleep(Duration::from_millis(u64::from(random.rand_range(0..60)))).await;
        }
        if let Action::Reset = action {
            _ = SockRef::from(&reader).set_linger(Some(Duration::ZERO));
            return;
        }
        if !early && writer.lock().await.write_all(&bytes).await.is_err() {
            return;
        }
        if let Action::Reject { repeated: true, .. } = action {
            let delay = Duration::from_millis(u64::from(random.rand_range(1..20)));
            let writer = writer.clone();
            tokio::spawn(async move {
                sleep(delay).await;
                writer.lock().await.write_all(&bytes).await
            });
        }
    }
}
