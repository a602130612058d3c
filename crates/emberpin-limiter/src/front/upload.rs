//! Request bodies that are too long to buffer: streamed to a server while the client sends them, with back pressure, as
//! a chunk is read only when the server's side has accepted the previous one.
//!
//! The beginning of such a body is buffered, so that an attempt that failed early can be retried. The rest passes
//! through once: the first attempt that receives any of it claims it, and every other attempt gets an error in its
//! place. So no server receives a body with a gap, or a shortened one that looks complete.

use crate::front::stream::BodyInterrupted;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::{Notify, OwnedSemaphorePermit};
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout, Instant};

/// A client may send nothing of a streamed body for this long.
pub const UPLOAD_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long the rest of a rejected body is read and discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(30);

/// Identifies an [`UploadReader`] among those of its upload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ReaderId(u32);

/// Where the chunks behind the buffered beginning come from.
enum Source {
    /// The client is still sending.
    Open(Incoming),
    /// All of the body has arrived.
    Ended,
    /// The body broke off or is discarded: nobody can receive the whole body any more.
    Lost,
}

/// The part of the body behind the buffered beginning.
struct Rest {
    source: Source,
    /// The reader that has received a chunk of it. Any other reader would miss that chunk.
    claimed_by: Option<ReaderId>,
}

impl Rest {
    /// Whether this reader has received all chunks so far.
    fn is_readable_by(&self, reader: ReaderId) -> bool {
        self.claimed_by.is_none_or(|owner| owner == reader)
    }
}

/// A client's body that is streamed to a server while the client sends it.
pub struct Upload {
    /// The buffered beginning of the body.
    buffered: Bytes,
    /// The length of the body, where the client stated it.
    length: Option<u64>,
    rest: RefCell<Rest>,
    next_reader: Cell<u32>,
    /// When the last byte arrived.
    ended: Cell<Option<Instant>>,
    ended_notify: Notify,
    /// Since when a chunk has been awaited from the client; `None` while none is.
    awaiting_since: Cell<Option<Instant>>,
    /// When an attempt last received a chunk.
    last_chunk: Cell<Instant>,
    /// Maximum length of the body, in bytes.
    max_size: u64,
    /// Bytes that have arrived.
    size: Cell<u64>,
    /// More than `max_size` bytes have arrived.
    exceeded: Cell<bool>,
    exceeded_notify: Notify,
    /// Its share of the process's budget for buffers.
    _buffer_permit: OwnedSemaphorePermit,
}

impl Upload {
    /// Creates an upload from the bytes that have arrived, and the stream of the remaining ones.
    pub fn new(
        buffered: Bytes,
        length: Option<u64>,
        rest: Incoming,
        buffer_permit: OwnedSemaphorePermit,
    ) -> Upload {
        let size = Cell::new(buffered.len() as u64);
        Upload {
            buffered,
            length,
            rest: RefCell::new(Rest {
                source: Source::Open(rest),
                claimed_by: None,
            }),
            next_reader: Cell::new(0),
            ended: Cell::new(None),
            ended_notify: Notify::new(),
            awaiting_since: Cell::new(None),
            last_chunk: Cell::new(Instant::now()),
            max_size: u64::MAX,
            size,
            exceeded: Cell::new(false),
            exceeded_notify: Notify::new(),
            _buffer_permit: buffer_permit,
        }
    }

    /// Limits the body to `max_size` bytes: the chunk that exceeds the limit and all later ones are withheld, so
    /// that no server receives a complete body.
    pub fn bounded(self, max_size: u64) -> Upload {
        Upload { max_size, ..self }
    }

    /// Returns once the body has exceeded its maximum length.
    pub async fn exceeded(&self) {
        while !self.exceeded.get() {
            self.exceeded_notify.notified().await;
        }
    }

    /// Whether another attempt could still send the whole body.
    pub fn is_replayable(&self) -> bool {
        let rest = self.rest.borrow();
        rest.claimed_by.is_none() && !matches!(rest.source, Source::Lost)
    }

    /// Whether its client broke it off or exceeded its maximum length, so that no attempt can send the whole body. An
    /// attempt that fails then says nothing about its server.
    pub fn is_interrupted(&self) -> bool {
        self.exceeded.get() || matches!(self.rest.borrow().source, Source::Lost)
    }

    /// Returns when the client's last byte has arrived; the request's time limit counts from then.
    pub async fn ended(&self) -> Instant {
        loop {
            if let Some(at) = self.ended.get() {
                return at;
            }
            self.ended_notify.notified().await;
        }
    }

    /// Returns once an attempt has taken no chunk for `limit`, although the client was not awaited: its server does not
    /// read the body.
    pub async fn stalled(&self, limit: Duration) {
        loop {
            let last_progress = match self.awaiting_since.get() {
                Some(_) => Instant::now(),
                None => self.last_chunk.get(),
            };
            if last_progress.elapsed() >= limit {
                return;
            }
            sleep_until(last_progress + limit).await;
        }
    }

    /// How long a chunk has been awaited from the client; zero while none is.
    pub fn idle_time(&self) -> Duration {
        self.awaiting_since
            .get()
            .map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Reads and discards what no attempt has received, in the background; attempts receive nothing more. Closing the
    /// client's connection with unread bytes would reset it, and the client might lose its response.
    pub fn discard_rest(&self) {
        let source = std::mem::replace(&mut self.rest.borrow_mut().source, Source::Lost);
        if let Source::Open(body) = source {
            spawn_local(discard_body(body));
        }
    }

    /// Records that the last byte has arrived.
    fn end(&self) {
        if self.ended.get().is_none() {
            self.ended.set(Some(Instant::now()));
            self.ended_notify.notify_waiters();
            self.ended_notify.notify_one();
        }
    }

    /// Counts a chunk of this many bytes; returns whether the body has exceeded its maximum length.
    fn count_chunk(&self, chunk_len: usize) -> bool {
        self.size
            .set(self.size.get().saturating_add(chunk_len as u64));
        let exceeded = self.size.get() > self.max_size;
        if exceeded && !self.exceeded.replace(true) {
            self.exceeded_notify.notify_one();
        }
        exceeded
    }

    /// Polls for the next chunk behind the buffered beginning.
    fn poll_rest(
        &self,
        reader: ReaderId,
        context: &mut Context,
    ) -> Poll<Option<Result<Bytes, BodyInterrupted>>> {
        let mut rest = self.rest.borrow_mut();
        if self.exceeded.get() || !rest.is_readable_by(reader) {
            return Poll::Ready(Some(Err(BodyInterrupted)));
        }
        let body = match &mut rest.source {
            Source::Open(body) => body,
            Source::Ended => return Poll::Ready(None),
            Source::Lost => return Poll::Ready(Some(Err(BodyInterrupted))),
        };
        let next = poll_data(body, context);
        self.record_waiting(next.is_pending());
        match next {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(chunk))) => {
                rest.claimed_by = Some(reader);
                if self.count_chunk(chunk.len()) {
                    return Poll::Ready(Some(Err(BodyInterrupted)));
                }
                // The HTTP library does not poll for the end of a body once all of its stated length has arrived.
                if self.length.is_some_and(|length| self.size.get() >= length) {
                    self.end();
                }
                Poll::Ready(Some(Ok(chunk)))
            }
            // After an error, the HTTP library reports the end of the body.
            Poll::Ready(Some(Err(BodyInterrupted))) => {
                rest.source = Source::Lost;
                Poll::Ready(Some(Err(BodyInterrupted)))
            }
            Poll::Ready(None) => {
                rest.source = Source::Ended;
                self.end();
                Poll::Ready(None)
            }
        }
    }

    fn record_waiting(&self, waiting: bool) {
        let since = self.awaiting_since.get().filter(|_| waiting);
        self.awaiting_since
            .set(since.or_else(|| waiting.then(Instant::now)));
    }
}

/// Polls for the next chunk of a body. Trailers are skipped, as they are not forwarded.
fn poll_data(
    body: &mut Incoming,
    context: &mut Context,
) -> Poll<Option<Result<Bytes, BodyInterrupted>>> {
    loop {
        let data = match Pin::new(&mut *body).poll_frame(context) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(None) => return Poll::Ready(None),
            Poll::Ready(Some(Err(_))) => return Poll::Ready(Some(Err(BodyInterrupted))),
            Poll::Ready(Some(Ok(frame))) => frame.into_data(),
        };
        if let Ok(data) = data {
            return Poll::Ready(Some(Ok(data)));
        }
    }
}

/// Reads an upload from its beginning, for one attempt.
pub struct UploadReader {
    upload: Rc<Upload>,
    id: ReaderId,
    /// The buffered beginning; `None` once it has been read.
    buffered: Option<Bytes>,
    /// Number of bytes that have not been read yet, including the buffered ones; `None` if the client stated no length.
    remaining: Option<u64>,
}

impl UploadReader {
    /// Creates a reader at the beginning of the body. Its reads fail once another one has received a part of the rest.
    pub fn new(upload: Rc<Upload>) -> UploadReader {
        let id = ReaderId(upload.next_reader.get());
        upload.next_reader.set(id.0.wrapping_add(1));
        UploadReader {
            id,
            buffered: Some(upload.buffered.clone()).filter(|bytes| !bytes.is_empty()),
            remaining: upload.length,
            upload,
        }
    }

    /// Number of bytes that have not been read yet; `None` if the client stated no length.
    pub fn remaining(&self) -> Option<u64> {
        self.remaining
    }

    /// Polls for the next chunk; `None` at the end of the body.
    pub fn poll_chunk(
        &mut self,
        context: &mut Context,
    ) -> Poll<Option<Result<Bytes, BodyInterrupted>>> {
        let next = match self.buffered.take() {
            Some(bytes) => Poll::Ready(Some(Ok(bytes))),
            None => self.upload.poll_rest(self.id, context),
        };
        if let Poll::Ready(Some(Ok(chunk))) = &next {
            self.upload.last_chunk.set(Instant::now());
            self.remaining = self
                .remaining
                .map(|remaining| remaining.saturating_sub(chunk.len() as u64));
        }
        next
    }
}

/// Reads and discards the rest of a body that is not forwarded: closing a connection with unread bytes would reset it,
/// and the client might lose its response.
pub async fn discard_body(mut body: Incoming) {
    let drained =
        async { while let Ok(Some(Ok(_))) = timeout(UPLOAD_IDLE_TIMEOUT, body.frame()).await {} };
    _ = timeout(DISCARD_TIMEOUT, drained).await;
}
