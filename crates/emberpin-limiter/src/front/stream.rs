//! Bodies that are too long to buffer: streamed, with back pressure, since a chunk is read only when the other side has
//! taken the one before.

use crate::front::connections::Connection;
use crate::messages::ResponseHead;
use crate::operate::figures::{Active, Ending};
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

/// A client's body that is streamed to a server while the client sends it. Its beginning is buffered, so that an attempt
/// that broke before any later chunk was taken can be retried.
pub struct Upload {
    /// The beginning of the body.
    pub held: Bytes,
    /// The length of the body, where the client stated it.
    pub length: Option<u64>,
    /// The rest; `None` once [`Upload::take_rest`] has taken it.
    rest: RefCell<Option<Incoming>>,
    /// A chunk that is not buffered was handed over, so no other attempt can send it.
    spent: Cell<bool>,
    /// When the last byte arrived.
    ended: Cell<Option<Instant>>,
    finished: Notify,
    /// Since when a chunk is awaited from the client.
    waiting: Cell<Option<Instant>>,
    /// The body may not be longer than this.
    max_size: u64,
    /// Bytes that have arrived.
    size: Cell<u64>,
    /// More than `max_size` bytes have arrived.
    exceeded: Cell<bool>,
    overflowed: Notify,
    /// Its part of the process's budget for buffers.
    _buffer_permit: OwnedSemaphorePermit,
}

impl Upload {
    /// A body of which `held` has arrived, and `rest` brings what follows.
    pub fn new(
        held: Bytes,
        length: Option<u64>,
        rest: Incoming,
        buffer_permit: OwnedSemaphorePermit,
    ) -> Upload {
        let size = Cell::new(held.len() as u64);
        Upload {
            held,
            length,
            rest: RefCell::new(Some(rest)),
            spent: Cell::new(false),
            ended: Cell::new(None),
            finished: Notify::new(),
            waiting: Cell::new(None),
            max_size: u64::MAX,
            size,
            exceeded: Cell::new(false),
            overflowed: Notify::new(),
            _buffer_permit: buffer_permit,
        }
    }

    /// Limits the body to `max_size` bytes: the chunk that exceeds it is not handed over, nor anything behind it, so that
    /// no server sees the body's end.
    pub fn bounded(self, max_size: u64) -> Upload {
        Upload { max_size, ..self }
    }

    /// Returns when more bytes have arrived than the body may have.
    pub async fn exceeded(&self) {
        while !self.exceeded.get() {
            self.overflowed.notified().await;
        }
    }

    /// Records that the last byte has arrived.
    fn end(&self) {
        if self.ended.get().is_none() {
            self.ended.set(Some(Instant::now()));
            self.finished.notify_waiters();
            self.finished.notify_one();
        }
    }

    /// Counts an arrived chunk; returns whether the body is too long by now.
    fn overflows(&self, chunk: usize) -> bool {
        self.size.set(self.size.get().saturating_add(chunk as u64));
        let exceeded = self.size.get() > self.max_size;
        if exceeded && !self.exceeded.replace(true) {
            self.overflowed.notify_one();
        }
        exceeded
    }

    /// Whether another attempt could send everything that earlier ones sent.
    pub fn is_replayable(&self) -> bool {
        !self.spent.get()
    }

    /// Returns when the client's last byte has arrived; the request's time limit counts from then.
    pub async fn ended(&self) -> Instant {
        loop {
            if let Some(at) = self.ended.get() {
                return at;
            }
            self.finished.notified().await;
        }
    }

    /// For how long a chunk has been awaited from the client; zero while none is.
    pub fn silence(&self) -> std::time::Duration {
        self.waiting
            .get()
            .map_or_else(Default::default, |since| since.elapsed())
    }

    /// Takes the rest of the body, to be drained; attempts get nothing more of it.
    pub fn take_rest(&self) -> Option<Incoming> {
        self.rest.borrow_mut().take()
    }

    /// Polls for the next chunk behind the buffered beginning.
    pub fn poll_rest(&self, context: &mut Context) -> Poll<Option<Result<Bytes, BodyInterrupted>>> {
        let mut rest = self.rest.borrow_mut();
        let Some(body) = rest.as_mut().filter(|_| !self.exceeded.get()) else {
            return Poll::Ready(Some(Err(BodyInterrupted)));
        };
        loop {
            return match Pin::new(&mut *body).poll_frame(context) {
                Poll::Pending => {
                    if self.waiting.get().is_none() {
                        self.waiting.set(Some(Instant::now()));
                    }
                    Poll::Pending
                }
                Poll::Ready(next) => {
                    self.waiting.set(None);
                    match next {
                        Some(Ok(frame)) => match frame.into_data() {
                            Ok(data) => {
                                self.spent.set(true);
                                let overflows = self.overflows(data.len());
                                // The HTTP library asks no further once all of a stated length has come.
                                if self.length.is_some_and(|length| self.size.get() >= length) {
                                    self.end();
                                }
                                Poll::Ready(Some(if overflows {
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
    /// All of it.
    Buffered(Option<Bytes>),
    /// A server's body, streamed while the server sends it.
    Streamed(Box<StreamedContent>),
}

/// A response that is streamed: nothing is read from the server before the client has taken what came.
pub struct StreamedResponse {
    /// Its head, as the client receives it.
    pub head: ResponseHead,
    /// Its body.
    pub stream: Box<dyn ResponseStream>,
}

/// The body of a streamed response.
pub trait ResponseStream {
    /// How many bytes are still to come, where the server stated the length.
    fn remaining(&self) -> Option<u64>;

    /// Polls for the next chunk; `None` at the end of the body.
    fn poll_next(&mut self, context: &mut Context) -> Poll<Option<Result<Bytes, BodyInterrupted>>>;
}

/// A streamed response on its way to its client, with what is to be informed of its end.
pub struct StreamedContent {
    pub response: StreamedResponse,
    pub active: Active,
    pub connection: Rc<Connection>,
    /// Its part of the process's budget for buffers.
    pub _buffer_permit: OwnedSemaphorePermit,
}

impl Drop for StreamedContent {
    fn drop(&mut self) {
        self.connection.close();
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
                    Poll::Ready(None) => streamed.active.ends(Ending::Ok),
                    Poll::Ready(Some(Err(BodyInterrupted))) => {
                        streamed.active.ends(Ending::Errors);
                        streamed.connection.cut();
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
