//! Tracks how much of a request is written to its connection, by observing the socket, and keeps a failed write from
//! ending a response that the server has already begun.

use prometheus::IntCounter;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
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
    /// At least one byte has been read since the current request began.
    response_started: Cell<bool>,
    /// Why a write failed whose connection has still a response to read. Nothing is written any more.
    write_error: Cell<Option<io::ErrorKind>>,
    /// Incremented once the request is written completely; `None` for a health check, which is not counted.
    completed_writes: RefCell<Option<IntCounter>>,
}

impl WriteProgress {
    /// Resets the progress for the next request on the connection.
    pub(super) fn reset(&self, completed_writes: Option<IntCounter>, body_is_empty: bool) {
        self.started.set(false);
        self.body_ended.set(body_is_empty);
        self.complete.set(false);
        self.response_started.set(false);
        self.write_error.set(None);
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
        if self.write_error.get().is_some() {
            return;
        }
        if self.started.get() && self.body_ended.get() && !self.complete.replace(true) {
            if let Some(completed_writes) = &*self.completed_writes.borrow() {
                completed_writes.inc();
            }
        }
    }
}

/// A TCP stream that records the progress of writes. It borrows the stream only within one poll, so the stream is never
/// borrowed twice.
///
/// A server may respond before it has read the whole request, and close its connection. The next write fails then, and
/// the HTTP library would end the connection with the response unread. Such a write passes for one that succeeded: the
/// rest of the request is discarded, and the response is read up to its end, or up to the error.
pub(super) struct ObservedStream {
    pub(super) stream: Rc<RefCell<TcpStream>>,
    pub(super) progress: Rc<WriteProgress>,
}

impl ObservedStream {
    /// Records the result of a write of `length` bytes, and returns the one that the HTTP library receives.
    fn on_written(
        &self,
        result: Poll<io::Result<usize>>,
        length: usize,
    ) -> Poll<io::Result<usize>> {
        match result {
            Poll::Ready(Ok(written)) => {
                if written > 0 {
                    self.progress.started.set(true);
                }
                Poll::Ready(Ok(written))
            }
            Poll::Ready(Err(error)) if self.has_response() => {
                self.progress.write_error.set(Some(error.kind()));
                Poll::Ready(Ok(length))
            }
            result => result,
        }
    }

    /// Whether any byte of a response was read or can be read.
    fn has_response(&self) -> bool {
        let peeked = || SockRef::from(&*self.stream.borrow()).peek(&mut [MaybeUninit::uninit()]);
        self.progress.response_started.get() || peeked().is_ok_and(|count| count > 0)
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context,
        into: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        let filled = into.filled().len();
        let read = Pin::new(&mut *self.stream.borrow_mut()).poll_read(context, into);
        if let Poll::Ready(Ok(())) = read {
            let is_end = into.filled().len() == filled;
            self.progress
                .response_started
                .set(self.progress.response_started.get() || !is_end);
            // The operating system reports the reset of a connection once. After the failed write, its end would pass
            // for an orderly one, which is the end of a response without a length.
            if let (true, Some(error)) = (is_end, self.progress.write_error.get()) {
                return Poll::Ready(Err(error.into()));
            }
        }
        read
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context,
        from: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.progress.write_error.get().is_some() {
            return Poll::Ready(Ok(from.len()));
        }
        let written = Pin::new(&mut *self.stream.borrow_mut()).poll_write(context, from);
        self.on_written(written, from.len())
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context,
        from: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let length = from.iter().map(|slice| slice.len()).sum();
        if self.progress.write_error.get().is_some() {
            return Poll::Ready(Ok(length));
        }
        let written = Pin::new(&mut *self.stream.borrow_mut()).poll_write_vectored(context, from);
        self.on_written(written, length)
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
