//! Tracks how much of a request is written to its connection, by observing the socket.

use prometheus::IntCounter;
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// How much of the current request is written to its connection.
///
/// A request is complete once the HTTP library has received its whole body and has flushed after that: a flush succeeds
/// only when the socket has accepted everything written.
#[derive(Default)]
pub(super) struct WriteProgress {
    /// At least one byte of the current request was written.
    started: Cell<bool>,
    /// The HTTP library has received the end of the request's body.
    body_ended: Cell<bool>,
    complete: Cell<bool>,
    /// Incremented once the request is written completely; `None` for a health check, which is not counted.
    completed_writes: RefCell<Option<IntCounter>>,
}

impl WriteProgress {
    /// Resets the progress for the next request on the connection.
    pub(super) fn reset(&self, completed_writes: Option<IntCounter>, body_is_empty: bool) {
        self.started.set(false);
        self.body_ended.set(body_is_empty);
        self.complete.set(false);
        self.completed_writes.replace(completed_writes);
    }

    /// Records that the HTTP library has received the request's whole body.
    pub(super) fn end_body(&self) {
        self.body_ended.set(true);
    }

    /// Whether the HTTP library has received the request's whole body.
    pub(super) fn is_body_ended(&self) -> bool {
        self.body_ended.get()
    }

    /// Whether the server may have received any byte of the request.
    pub(super) fn is_started(&self) -> bool {
        self.started.get()
    }

    /// Whether the socket has accepted all of the request.
    pub(super) fn is_complete(&self) -> bool {
        self.complete.get()
    }

    fn on_flushed(&self) {
        if self.started.get() && self.body_ended.get() && !self.complete.replace(true) {
            if let Some(completed_writes) = &*self.completed_writes.borrow() {
                completed_writes.inc();
            }
        }
    }
}

/// A TCP stream that records the progress of writes. It borrows the stream only within one poll, so the stream is never
/// borrowed twice.
pub(super) struct ObservedStream {
    pub(super) stream: Rc<RefCell<TcpStream>>,
    pub(super) progress: Rc<WriteProgress>,
}

impl ObservedStream {
    fn record(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(1..)) = &result {
            self.progress.started.set(true);
        }
        result
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context,
        into: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_read(context, into)
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context,
        from: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.record(Pin::new(&mut *self.stream.borrow_mut()).poll_write(context, from))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context,
        from: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        self.record(Pin::new(&mut *self.stream.borrow_mut()).poll_write_vectored(context, from))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut *self.stream.borrow_mut()).poll_flush(context);
        if let Poll::Ready(Ok(())) = &flushed {
            self.progress.on_flushed();
        }
        flushed
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(context)
    }
}
