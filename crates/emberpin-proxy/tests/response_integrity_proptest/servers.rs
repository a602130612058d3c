//! Servers that perform the generated actions.

use crate::cases::{ConnectionEnding, ResponseShape, ServerAction, Trailing};
use crate::common::{read_body, read_head, read_message, MessageKind};
use crate::history::{Arrival, SharedHistory};
use socket2::SockRef;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// A body that names the request and the attempt it belongs to in every few bytes.
fn body_of(id: &str, arrival: usize, size: usize) -> Vec<u8> {
    format!("{id}/{arrival};")
        .into_bytes()
        .into_iter()
        .cycle()
        .take(size)
        .collect()
}

/// The framing header of a body, and the framed body.
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

/// The shape of responses whose body does not matter.
const SMALL: ResponseShape = ResponseShape {
    size: 10,
    chunked: false,
    interim: 0,
    pieces: 1,
};
/// An interim response that names another request.
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

fn end(stream: &TcpStream, ending: ConnectionEnding) {
    if let ConnectionEnding::Reset = ending {
        reset(stream);
    }
}

/// Serves one connection with the generated actions, until one of them ends it.
async fn serve_connection(mut stream: TcpStream, history: SharedHistory) {
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
            AfterAction::KeepOpen { late_bytes } => late = late_bytes,
            AfterAction::Close => return,
        }
    }
}

/// The record of a request upon which the server performs this action.
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

/// Whether a connection stays open after an action.
enum AfterAction {
    Close,
    /// The late bytes are sent once the next request has arrived.
    KeepOpen {
        late_bytes: Option<Vec<u8>>,
    },
}

impl AfterAction {
    const KEEP_OPEN: AfterAction = AfterAction::KeepOpen { late_bytes: None };
}

async fn perform(
    stream: &mut TcpStream,
    action: ServerAction,
    id: &str,
    number: usize,
) -> AfterAction {
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
                Trailing::LateDuplicate => {
                    return AfterAction::KeepOpen {
                        late_bytes: Some(bytes),
                    }
                }
                _ => return AfterAction::KEEP_OPEN,
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
            return AfterAction::KEEP_OPEN;
        }
        ServerAction::StatusWithoutNotRun(status) => {
            write(
                stream,
                &response_bytes(status, id, &seal, &SMALL, &body(SMALL.size)),
                1,
            )
            .await;
            return AfterAction::KEEP_OPEN;
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
    AfterAction::Close
}

/// Serves all connections to this server with the generated actions.
pub async fn serve(listener: TcpListener, history: SharedHistory) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::task::spawn_local(serve_connection(stream, history.clone()));
    }
}
