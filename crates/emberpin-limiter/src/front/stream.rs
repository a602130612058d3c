//! Bodies that are too long to buffer: streamed, with back pressure, as a chunk is read only when the other side has
//! accepted the previous one.

use crate::front::connections::Connection;
use crate::messages::ResponseHead;
use crate::operate::figures::{ActiveRequest, RequestOutcome};
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::sync::{Notify, OwnedSemaphorePermit};
use tokio::time::Instant;

/// The body broke off before its end.
#[derive(Debug)]
pub struct BodyInterrupted;

impl fmt::Display for BodyInterrupted {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(to, "the body broke off")
    }
}

impl std::error::Error for BodyInterrupted {}

/// A client's body that is streamed to a server while the client sends it. Its beginning is buffered, so that an
/// attempt that failed before any later chunk was handed to it can be retried.
pub struct Upload {
    /// The buffered beginning of the body.
    pub buffered: Bytes,
    /// The length of the body, where the client stated it.
    pub length: Option<u64>,
    /// The rest; `None` once [`Upload::take_rest`] has taken it.
    rest: RefCell<Option<Incoming>>,
    /// A chunk beyond the buffered beginning was handed to an attempt, so no other attempt can send the whole body.
    consumed: Cell<bool>,
    /// When the last byte arrived.
    ended: Cell<Option<Instant>>,
    ended_notify: Notify,
    /// Since when a chunk has been awaited from the client; `None` while none is.
    awaiting_since: Cell<Option<Instant>>,
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
            rest: RefCell::new(Some(rest)),
            consumed: Cell::new(false),
            ended: Cell::new(None),
            ended_notify: Notify::new(),
            awaiting_since: Cell::new(None),
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

    /// Whether another attempt could still send the whole body.
    pub fn is_replayable(&self) -> bool {
        !self.consumed.get()
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

    /// How long a chunk has been awaited from the client; zero while none is.
    pub fn idle_time(&self) -> std::time::Duration {
        self.awaiting_since
            .get()
            .map_or_else(Default::default, |since| since.elapsed())
    }

    /// Takes the rest of the body, to be discarded; attempts receive nothing more of it.
    pub fn take_rest(&self) -> Option<Incoming> {
        self.rest.borrow_mut().take()
    }

    /// Polls for the next chunk after the buffered beginning.
    pub fn poll_rest(&self, context: &mut Context) -> Poll<Option<Result<Bytes, BodyInterrupted>>> {
        let mut rest = self.rest.borrow_mut();
        let Some(body) = rest.as_mut().filter(|_| !self.exceeded.get()) else {
            return Poll::Ready(Some(Err(BodyInterrupted)));
        };
        loop {
            return match Pin::new(&mut *body).poll_frame(context) {
                Poll::Pending => {
                    if self.awaiting_since.get().is_none() {
                        self.awaiting_since.set(Some(Instant::now()));
                    }
                    Poll::Pending
                }
                Poll::Ready(next) => {
                    self.awaiting_since.set(None);
                    match next {
                        Some(Ok(frame)) => match frame.into_data() {
                            Ok(data) => {
                                self.consumed.set(true);
                                let too_long = self.count_chunk(data.len());
                                // The HTTP library does not poll for the end of a body once all of its stated length
                                // has arrived.
                                if self.length.is_some_and(|length| self.size.get() >= length) {
                                    self.end();
                                }
                                Poll::Ready(Some(if too_long {
                                    Err(BodyInterrupted)
                                } else {
                                    Ok(data)
                                }))
                            }
                            // Trailers are not forwarded.
                            Err(_) => continue,
                        },
                        Some(Err(_)) => Poll::Ready(Some(Err(BodyInterrupted))),
                        None => {
                            self.end();
                            Poll::Ready(None)
                        }
                    }
                }
            };
        }
    }
}

/// The body of a response to a client.
pub enum Content {
    /// A complete body; `None` once it has been sent.
    Buffered(Option<Bytes>),
    /// A server's body, streamed while the server sends it.
    Streamed(Box<StreamedContent>),
}

/// A streamed response: nothing more is read from the server before the client has accepted the previous chunk.
pub struct StreamedResponse {
    /// Its head, as the client receives it.
    pub head: ResponseHead,
    /// Its body.
    pub stream: Box<dyn ResponseStream>,
}

/// The body of a streamed response.
pub trait ResponseStream {
    /// Number of bytes still to come, if the server stated the length.
    fn remaining(&self) -> Option<u64>;

    /// Polls for the next chunk; `None` at the end of the body.
    fn poll_next(&mut self, context: &mut Context) -> Poll<Option<Result<Bytes, BodyInterrupted>>>;
}

/// A streamed response that is being sent to its client, with the metrics and the connection to update when it ends.
pub struct StreamedContent {
    pub response: StreamedResponse,
    pub active_request: ActiveRequest,
    pub connection: Rc<Connection>,
    /// Its share of the process's budget for buffers.
    pub _buffer_permit: OwnedSemaphorePermit,
}

impl Drop for StreamedContent {
    fn drop(&mut self) {
        self.connection.end_request();
    }
}

impl Body for Content {
    type Data = Bytes;
    type Error = BodyInterrupted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyInterrupted>>> {
        match self.get_mut() {
            Content::Buffered(bytes) => Poll::Ready(
                bytes
                    .take()
                    .filter(|bytes| !bytes.is_empty())
                    .map(|bytes| Ok(Frame::data(bytes))),
            ),
            Content::Streamed(streamed) => {
                let next = streamed.response.stream.poll_next(context);
                match &next {
                    Poll::Ready(None) => streamed.active_request.set_outcome(RequestOutcome::Ok),
                    Poll::Ready(Some(Err(BodyInterrupted))) => {
                        streamed.active_request.set_outcome(RequestOutcome::Errors);
                        streamed.connection.truncate_response();
                    }
                    Poll::Ready(Some(Ok(_))) | Poll::Pending => {}
                }
                next.map(|next| next.map(|next| next.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Content::Buffered(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Content::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Content::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Content::Streamed(streamed) => match streamed.response.stream.remaining() {
                Some(remaining) => SizeHint::with_exact(remaining),
                None => SizeHint::default(),
            },
        }
    }
}
