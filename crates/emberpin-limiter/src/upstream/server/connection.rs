//! One HTTP/1.1 connection to a server, polled by its user instead of a task of its own where that is possible.

use super::request_body::SentBody;
use super::write_progress::{ObservedStream, WriteProgress};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::cell::RefCell;
use std::future::{poll_fn, Future};
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::Context;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{oneshot, OwnedSemaphorePermit};
use tokio::task::spawn_local;

/// Maximum size of a response's head.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Interval of TCP keepalive probes on connections with a limit on unacknowledged time; the shortest that the operating
/// system accepts.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 2;

/// Why a connection could not be opened.
pub(super) enum ConnectError {
    /// All sockets that the process may open are in use; this says nothing about the server.
    NoSocket,
    /// The TCP connection or the HTTP library's handshake on it failed.
    Failed,
}

/// A connection that only its user polls, with no task of its own: dropping it closes it.
pub(super) struct ServerConnection {
    pub(super) sender: SendRequest<SentBody>,
    /// Boxed, as it is large and is moved for every attempt.
    http: Box<http1::Connection<TokioIo<ObservedStream>, SentBody>>,
    closed: bool,
    /// Whether it may carry another request after the current one.
    pub(super) is_reusable: bool,
    /// How long the server's machine may acknowledge nothing.
    unacknowledged_limit: Option<Duration>,
    /// Whether that limit is in force.
    is_limited: bool,
    stream: Rc<RefCell<TcpStream>>,
    pub(super) progress: Rc<WriteProgress>,
    /// How long the server has stated that it keeps the connection open while idle, less a safety margin.
    pub(super) stated_idle_timeout: Option<Duration>,
    /// How long the connection was idle before this use.
    pub(super) idle_time: Duration,
    /// Returned to the pool's limit on sockets when dropped.
    _socket: OwnedSemaphorePermit,
}

/// A connection that a task polls, see [`ServerConnection::drive_in_background`]. Dropping it closes the connection.
pub(super) struct DrivenConnection {
    _stop: oneshot::Sender<()>,
}

impl ServerConnection {
    /// Opens a connection. `unacknowledged` is how long the server's machine may acknowledge nothing; `socket` is the
    /// connection's permit under the process's limit on descriptors.
    ///
    /// # Errors
    ///
    /// [`ConnectError::Failed`] if the TCP connection or the HTTP library's handshake on it fails.
    pub(super) async fn open(
        address: SocketAddr,
        unacknowledged: Option<Duration>,
        socket: OwnedSemaphorePermit,
    ) -> Result<ServerConnection, ConnectError> {
        let stream = TcpStream::connect(address)
            .await
            .map_err(|_| ConnectError::Failed)?;
        _ = stream.set_nodelay(true);
        if let Some(limit) = unacknowledged {
            limit_unacknowledged_time(&stream, limit);
        }
        let stream = Rc::new(RefCell::new(stream));
        let progress = Rc::new(WriteProgress::default());
        let io = TokioIo::new(ObservedStream {
            stream: stream.clone(),
            progress: progress.clone(),
        });
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(io)
            .await;
        let (sender, http) = handshake.map_err(|_| ConnectError::Failed)?;
        Ok(ServerConnection {
            sender,
            http: Box::new(http),
            closed: false,
            is_reusable: true,
            unacknowledged_limit: unacknowledged,
            is_limited: unacknowledged.is_some(),
            stream,
            progress,
            stated_idle_timeout: None,
            idle_time: Duration::ZERO,
            _socket: socket,
        })
    }

    /// Whether the connection can carry another request, as far as the last poll showed.
    pub(super) fn is_open(&self) -> bool {
        self.is_reusable && !self.closed && !self.sender.is_closed()
    }

    /// Whether the time for which the server's machine may acknowledge nothing is limited, at least for short bodies.
    pub(super) fn has_unacknowledged_limit(&self) -> bool {
        self.unacknowledged_limit.is_some()
    }

    /// Switches the limit on unacknowledged time on or off for the next request.
    ///
    /// The operating system also applies the limit to a server that acknowledges, but does not read, once its receive
    /// buffer is full. So it must be off for a body that may be longer than that buffer: a server may read such a body
    /// whenever it likes, and respond before that.
    pub(super) fn limit_unacknowledged(&mut self, limited: bool) {
        let limited = limited && self.unacknowledged_limit.is_some();
        if limited != self.is_limited {
            self.is_limited = limited;
            let limit = self.unacknowledged_limit.filter(|_| limited);
            _ = SockRef::from(&*self.stream.borrow()).set_tcp_user_timeout(limit);
        }
    }

    /// Whether an idle connection can carry a request now. A request that is written to a connection that the server
    /// has closed would count as one that may have run, and unread bytes would be taken for its response.
    pub(super) async fn is_usable(&mut self) -> bool {
        self.drive(std::future::ready(())).await;
        !self.closed && self.sender.is_ready() && self.has_nothing_to_read()
    }

    /// Whether the server has neither closed the connection nor sent anything unread. Asks the operating system, as the
    /// runtime has not yet noticed what has just arrived.
    pub(super) fn has_nothing_to_read(&self) -> bool {
        let peeked = SockRef::from(&*self.stream.borrow()).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Polls the HTTP library, which reads from and writes to the socket.
    pub(super) fn poll(&mut self, context: &mut Context) {
        self.closed = self.closed || Pin::new(&mut *self.http).poll(context).is_ready();
    }

    /// Polls the connection in a task of its own, until the returned value is dropped, which closes the connection.
    pub(super) fn drive_in_background(mut self) -> DrivenConnection {
        let (stop, stopped) = oneshot::channel();
        spawn_local(async move { _ = self.drive(stopped).await });
        DrivenConnection { _stop: stop }
    }

    /// Awaits a future that depends on this connection, and polls the connection along with it.
    pub(super) async fn drive<F: Future>(&mut self, future: F) -> F::Output {
        let mut future = pin!(future);
        poll_fn(|context| {
            self.poll(context);
            future.as_mut().poll(context)
        })
        .await
    }
}

/// Limits how long the server's machine may acknowledge nothing. Without this limit, a machine that has lost power or
/// is behind a network partition, and so sends no reset, would hold the connection until the attempt's timeout.
fn limit_unacknowledged_time(stream: &TcpStream, limit: Duration) {
    let socket = SockRef::from(stream);
    _ = socket.set_tcp_user_timeout(Some(limit));
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    _ = socket.set_tcp_keepalive(&keepalive);
}
