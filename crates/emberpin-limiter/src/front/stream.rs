//! Bodies that are too long to be held: passed on in pieces, each taken only when the other side has taken the one
//! before.

use crate::front::connections::Connection;
use crate::messages::Head;
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

/// The body cannot be passed on to its end.
#[derive(Debug)]
pub struct Cut;

impl fmt::Display for Cut {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(to, "the body broke off")
    }
}

impl std::error::Error for Cut {}

/// A client's body that is passed on while it comes. What came first is held, so that an attempt that broke before
/// anything else went out can be followed by another.
pub struct Upload {
    /// What came first.
    pub held: Bytes,
    /// The whole length, where the client told it.
    pub length: Option<u64>,
    /// Gone while a refused request's body is let run out.
    rest: RefCell<Option<Incoming>>,
    /// Something that is not held was handed over.
    spent: Cell<bool>,
    /// When the last byte came.
    ended: Cell<Option<Instant>>,
    finished: Notify,
    /// Since when the client is waited for.
    waiting: Cell<Option<Instant>>,
    /// Bytes that it may have in all, and those that have come.
    most: u64,
    size: Cell<u64>,
    /// More than that has come.
    exceeded: Cell<bool>,
    overflowed: Notify,
    /// Its part of the process's budget of bytes.
    _room: OwnedSemaphorePermit,
}

impl Upload {
    /// A body of which this has come, and `rest` brings what follows.
    pub fn new(
        held: Bytes,
        length: Option<u64>,
        rest: Incoming,
        room: OwnedSemaphorePermit,
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
            most: u64::MAX,
            size,
            exceeded: Cell::new(false),
            overflowed: Notify::new(),
            _room: room,
        }
    }

    /// It may have so many bytes in all: the piece that passes that is not handed over, nor anything behind it, so that
    /// no server sees the body's end.
    pub fn bounded(self, most: u64) -> Upload {
        Upload { most, ..self }
    }

    /// Returns when more bytes have come than it may have.
    pub async fn exceeded(&self) {
        while !self.exceeded.get() {
            self.overflowed.notified().await;
        }
    }

    /// Its last byte has come.
    fn end(&self) {
        if self.ended.get().is_none() {
            self.ended.set(Some(Instant::now()));
            self.finished.notify_waiters();
            self.finished.notify_one();
        }
    }

    /// Counts what has come; whether that is more than it may have.
    fn overflows(&self, come: usize) -> bool {
        self.size.set(self.size.get().saturating_add(come as u64));
        let exceeded = self.size.get() > self.most;
        if exceeded && !self.exceeded.replace(true) {
            self.overflowed.notify_one();
        }
        exceeded
    }

    /// Whether another attempt would find all that went out before.
    pub fn is_held(&self) -> bool {
        !self.spent.get()
    }

    /// Returns when the client's last byte has come: its time counts from then.
    pub async fn ended(&self) -> Instant {
        loop {
            if let Some(at) = self.ended.get() {
                return at;
            }
            self.finished.notified().await;
        }
    }

    /// For how long its client has given nothing that was asked for.
    pub fn silence(&self) -> std::time::Duration {
        self.waiting
            .get()
            .map_or_else(Default::default, |since| since.elapsed())
    }

    /// What is left of it, to be let run out; attempts get nothing more.
    pub fn take_rest(&self) -> Option<Incoming> {
        self.rest.borrow_mut().take()
    }

    /// The next piece behind what is held.
    pub fn poll_rest(&self, context: &mut Context) -> Poll<Option<Result<Bytes, Cut>>> {
        let mut rest = self.rest.borrow_mut();
        let Some(body) = rest.as_mut().filter(|_| !self.exceeded.get()) else {
            return Poll::Ready(Some(Err(Cut)));
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
                                Poll::Ready(Some(if overflows { Err(Cut) } else { Ok(data) }))
                            }
                            // Trailers concern nobody behind this limiter.
                            Err(_) => continue,
                        },
                        Some(Err(_)) => Poll::Ready(Some(Err(Cut))),
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

/// What a client gets as a body.
pub enum Content {
    /// All of it.
    Whole(Option<Bytes>),
    /// What a server gives, while it gives it.
    Passing(Box<Passed>),
}

/// An answer that is passed on in pieces: nothing is read from its server before its client has taken what came.
pub struct Passing {
    /// How it begins.
    pub head: Head,
    /// What it is made of.
    pub pieces: Box<dyn Pieces>,
}

/// Where the pieces of an answer come from.
pub trait Pieces {
    /// How many bytes are still to come, where that is told.
    fn left(&self) -> Option<u64>;

    /// The next piece.
    fn poll_next(&mut self, context: &mut Context) -> Poll<Option<Result<Bytes, Cut>>>;
}

/// An answer on its way, and who must hear of its end.
pub struct Passed {
    pub passing: Passing,
    pub active: Active,
    pub connection: Rc<Connection>,
    /// Its part of the process's budget of bytes.
    pub _room: OwnedSemaphorePermit,
}

impl Drop for Passed {
    fn drop(&mut self) {
        self.connection.close();
    }
}

impl Body for Content {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.get_mut() {
            Content::Whole(bytes) => Poll::Ready(
                bytes
                    .take()
                    .filter(|bytes| !bytes.is_empty())
                    .map(|bytes| Ok(Frame::data(bytes))),
            ),
            Content::Passing(passed) => {
                let next = passed.passing.pieces.poll_next(context);
                match &next {
                    Poll::Ready(None) => passed.active.ends(Ending::Ok),
                    Poll::Ready(Some(Err(Cut))) => {
                        passed.active.ends(Ending::Errors);
                        passed.connection.cut();
                    }
                    Poll::Ready(Some(Ok(_))) | Poll::Pending => {}
                }
                next.map(|next| next.map(|next| next.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Content::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Content::Passing(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Content::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Content::Passing(passed) => match passed.passing.pieces.left() {
                Some(left) => SizeHint::with_exact(left),
                None => SizeHint::default(),
            },
        }
    }
}
