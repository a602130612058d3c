//! Forms of a server's responses.

use oorandom::Rand32;
use std::time::Duration;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::time::sleep;

/// Lengths of bodies: short, around what the proxy buffers, and longer than what is read at once.
const BODY_LENGTHS: [usize; 9] = [
    0, 20, 3_000, 16_383, 16_384, 16_385, 30_000, 65_536, 200_000,
];
/// Length of each chunk but the last.
const CHUNK_BYTES: usize = 7_000;
/// The longest pause between two pieces of a response. The proxy streams a response without a length that takes longer
/// than 300 ms.
const MAX_PAUSE_MS: u32 = 400;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Framing {
    Length,
    Chunks,
    /// The body ends with the connection.
    Close,
}

/// One response, and how it is written.
#[derive(Clone, Debug)]
pub struct ResponseForm {
    pub status: u16,
    pub body: Vec<u8>,
    framing: Framing,
    /// The server says that it closes the connection, and does so.
    pub closes: bool,
    not_run: bool,
    pieces: usize,
    pause: Duration,
    /// The response ends after this many of its pieces.
    pub broken_off_after: Option<usize>,
}

/// Draws an element of a slice.
pub fn pick<T: Copy>(random: &mut Rand32, from: &[T]) -> T {
    from[random.rand_range(0..from.len() as u32) as usize]
}

/// Whether an event of this probability, one in `of`, happens.
pub fn one_in(random: &mut Rand32, of: u32) -> bool {
    random.rand_range(0..of) == 0
}

impl ResponseForm {
    /// A response to a request that the server runs.
    pub fn draw_run(random: &mut Rand32, id: &str) -> ResponseForm {
        let length = pick(random, &BODY_LENGTHS);
        let mark = format!("{id}/{:08x};", random.rand_u32());
        let body: Vec<u8> = mark.into_bytes().into_iter().cycle().take(length).collect();
        let framing = match random.rand_range(0..8) {
            0..4 => Framing::Length,
            4..7 => Framing::Chunks,
            _ => Framing::Close,
        };
        let pieces = random.rand_range(1..5) as usize;
        let paused = one_in(random, 3);
        let pause = random.rand_range(0..if paused { MAX_PAUSE_MS } else { 5 });
        let breaks_off = one_in(random, 24);
        ResponseForm {
            status: pick(random, &[200, 200, 200, 200, 200, 200, 201, 500, 504, 404]),
            body,
            framing,
            closes: framing == Framing::Close || one_in(random, 8),
            not_run: false,
            pieces,
            pause: Duration::from_millis(u64::from(pause)),
            // A body that ends with the connection can't be told from one that is cut short there.
            broken_off_after: (breaks_off && framing != Framing::Close)
                .then(|| random.rand_range(0..pieces as u32) as usize),
        }
    }

    /// A response that turns the request away.
    pub fn draw_rejection(random: &mut Rand32) -> ResponseForm {
        ResponseForm {
            status: pick(random, &[503, 503, 429, 421, 400]),
            body: vec![b'x'; pick(random, &[0, 0, 10])],
            framing: Framing::Length,
            closes: one_in(random, 8),
            not_run: true,
            pieces: 1,
            pause: Duration::ZERO,
            broken_off_after: None,
        }
    }

    /// Whether it states that the request has not run.
    pub fn is_rejection(&self) -> bool {
        self.not_run
    }

    /// Whether nothing but the end of the connection ends the body.
    pub fn ends_with_connection(&self) -> bool {
        self.framing == Framing::Close
    }

    pub fn bytes(&self, id: &str) -> Vec<u8> {
        let mut text = format!("HTTP/1.1 {} X\r\ntry-id: {id}\r\n", self.status);
        text += if self.not_run {
            "not-run: 1\r\n"
        } else {
            "seal: s\r\n"
        };
        if self.closes {
            text += "connection: close\r\n";
        }
        match self.framing {
            Framing::Length => text += &format!("content-length: {}\r\n", self.body.len()),
            Framing::Chunks => text += "transfer-encoding: chunked\r\n",
            Framing::Close => {}
        }
        let mut bytes = (text + "\r\n").into_bytes();
        if self.framing != Framing::Chunks {
            bytes.extend(&self.body);
            return bytes;
        }
        for chunk in self.body.chunks(CHUNK_BYTES) {
            bytes.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
            bytes.extend([chunk, b"\r\n"].concat());
        }
        bytes.extend(b"0\r\n\r\n");
        bytes
    }

    /// Writes the response, or the part of it after which it breaks off. Returns whether all of it was written.
    pub async fn write(&self, to: &mut (impl AsyncWrite + Unpin), id: &str) -> bool {
        let bytes = self.bytes(id);
        let pieces = bytes.chunks(bytes.len().div_ceil(self.pieces));
        for piece in pieces.take(self.broken_off_after.unwrap_or(usize::MAX)) {
            if to.write_all(piece).await.is_err() {
                return false;
            }
            sleep(self.pause).await;
        }
        self.broken_off_after.is_none()
    }
}
