//! Clients that send drawn requests on kept connections.

use crate::common::{read_body, read_head, within_limit, MessageKind, HOST};
use crate::history::{ClientEnd, History, ReceivedResponse, SentRequest};
use crate::responses::{one_in, pick};
use crate::sockets::split;
use oorandom::Rand32;
use socket2::SockRef;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Lengths of bodies: none, short, around what the proxy buffers, and longer.
const BODY_LENGTHS: [usize; 10] = [
    0, 1, 100, 65_535, 65_536, 65_537, 66_000, 150_000, 300_000, 600_000,
];

/// How long a client waits after a request that did not succeed.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(60);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Framing {
    Length,
    Chunks,
    /// Chunks with an extension each, and a trailer at the end.
    ExtendedChunks,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum GivingUp {
    Close,
    Reset,
}

/// A drawn request.
struct Upload {
    id: String,
    target: String,
    body: Vec<u8>,
    framing: Framing,
    expects_continue: bool,
    /// Number of pieces in which the body is sent, and the pause after each.
    pieces: usize,
    pause: Duration,
    /// The client reads nothing of a response before it has sent the whole request.
    reads_late: bool,
    /// The client ends its connection after this many pieces.
    given_up_after: Option<(usize, GivingUp)>,
}

impl Upload {
    fn draw(random: &mut Rand32, id: String) -> Upload {
        let length = pick(random, &BODY_LENGTHS);
        let pieces = random.rand_range(1..8) as usize;
        let word = |index: usize| format!("{id}-{index};").into_bytes();
        let mut body: Vec<u8> = (0..length / 6 + 1).flat_map(word).collect();
        body.truncate(length);
        let gives_up = length > 100 && one_in(random, 8);
        let way = pick(random, &[GivingUp::Close, GivingUp::Reset]);
        let path = pick(
            random,
            &[
                "/write/a",
                "/write/a",
                "/write/b/c",
                "/read/a",
                "/pull/a",
                "/flip/a",
                "/flip/a",
            ],
        );
        let method = pick(random, &["POST", "PUT"]);
        Upload {
            target: format!("{method} {path}?id={id}"),
            body,
            framing: match length {
                0 => Framing::Length,
                _ => pick(
                    random,
                    &[Framing::Length, Framing::Chunks, Framing::ExtendedChunks],
                ),
            },
            expects_continue: length > 0 && one_in(random, 6),
            pieces,
            pause: Duration::from_millis(u64::from(random.rand_range(0..40))),
            reads_late: one_in(random, 3),
            given_up_after: gives_up.then(|| (random.rand_range(0..pieces as u32) as usize, way)),
            id,
        }
    }

    fn head(&self) -> String {
        let framing = match self.framing {
            Framing::Chunks | Framing::ExtendedChunks => "transfer-encoding: chunked".to_string(),
            Framing::Length => format!("content-length: {}", self.body.len()),
        };
        let expect = match self.expects_continue {
            true => "expect: 100-continue\r\n",
            false => "",
        };
        format!(
            "{} HTTP/1.1\r\nhost: {HOST}\r\ntry-id: {}\r\ndeadline: 8000\r\n{expect}{framing}\r\n\r\n",
            self.target, self.id
        )
    }

    /// The bytes of a piece of the body.
    fn framed(&self, piece: &[u8]) -> Vec<u8> {
        let extension = match self.framing {
            Framing::Length => return piece.to_vec(),
            Framing::Chunks => "",
            Framing::ExtendedChunks => ";name=\"value\"",
        };
        let size = format!("{:x}{extension}\r\n", piece.len());
        [size.as_bytes(), piece, b"\r\n"].concat()
    }

    fn body_end(&self) -> &'static [u8] {
        match self.framing {
            Framing::Length => b"",
            Framing::Chunks => b"0\r\n\r\n",
            Framing::ExtendedChunks => b"0\r\ntrailer: x\r\n\r\n",
        }
    }

    /// Sends the request, or the part of it after which it is given up.
    async fn send(&self, to: &mut (impl AsyncWriteExt + Unpin)) -> std::io::Result<()> {
        to.write_all(self.head().as_bytes()).await?;
        let piece_length = self.body.len().div_ceil(self.pieces).max(1);
        let sent_pieces = self.given_up_after.map_or(usize::MAX, |(pieces, _)| pieces);
        for piece in self.body.chunks(piece_length).take(sent_pieces) {
            to.write_all(&self.framed(piece)).await?;
            sleep(self.pause).await;
        }
        if self.given_up_after.is_none() {
            to.write_all(self.body_end()).await?;
        }
        Ok(())
    }
}

/// Reads the final response, after any interim ones. Returns it, and whether the connection can carry another request.
async fn read_response(stream: &mut TcpStream) -> Option<(ReceivedResponse, bool)> {
    loop {
        let (first_line, headers) = read_head(stream).await?;
        let status: u16 = first_line.split(' ').nth(1)?.parse().ok()?;
        if status < 200 {
            continue;
        }
        let message = read_body(stream, MessageKind::Response, first_line, headers).await?;
        if !message.complete {
            return None;
        }
        let response = ReceivedResponse {
            status,
            sealed: message.header("seal").is_some(),
            body: message.body.clone(),
        };
        return Some((response, message.header("connection") != Some("close")));
    }
}

/// Sends a request while its response is read. Returns the end, and the connection if it can carry another request.
async fn exchange(stream: TcpStream, upload: &Upload) -> (ClientEnd, Option<TcpStream>) {
    let (mut stream, mut writer) = split(stream);
    if let Some((_, way)) = upload.given_up_after {
        _ = upload.send(&mut writer).await;
        if way == GivingUp::Reset {
            _ = SockRef::from(&writer).set_linger(Some(Duration::ZERO));
        }
        return (ClientEnd::GivenUp, None);
    }
    let (sent, response) = if upload.reads_late {
        let sent = upload.send(&mut writer).await;
        (
            sent,
            within_limit("a response", read_response(&mut stream)).await,
        )
    } else {
        let reading = within_limit("a response", read_response(&mut stream));
        tokio::join!(upload.send(&mut writer), reading)
    };
    let Some((response, is_kept)) = response else {
        return (ClientEnd::Disconnected, None);
    };
    let kept = sent.is_ok() && is_kept;
    (ClientEnd::Response(response), kept.then_some(stream))
}

fn is_success(end: &ClientEnd) -> bool {
    matches!(end, ClientEnd::Response(response) if (200..=299).contains(&response.status))
}

/// Sends this many requests one after another, or fewer if the proxy accepts no connection any more.
pub async fn run_client(
    proxy: SocketAddr,
    client: usize,
    seed: u64,
    requests: usize,
    history: Arc<Mutex<History>>,
) {
    let mut random = Rand32::new(seed);
    let mut kept = None;
    for number in 0..requests {
        let stream = match kept.take() {
            Some(stream) => stream,
            None => match TcpStream::connect(proxy).await {
                Ok(stream) => stream,
                Err(_) => return,
            },
        };
        _ = stream.set_nodelay(true);
        let upload = Upload::draw(&mut random, format!("c{client}-{number}"));
        let sent = SentRequest {
            target: upload.target.clone(),
            body: upload.body.clone(),
        };
        history.lock().expect("no panic").on_sent(&upload.id, sent);
        let (end, connection) = exchange(stream, &upload).await;
        // Without a pause, requests would be over while the proxy has no server for them.
        if !is_success(&end) {
            sleep(PAUSE_AFTER_FAILURE).await;
        }
        history.lock().expect("no panic").on_ended(&upload.id, end);
        kept = connection;
    }
}
