//! One incarnation of one server, and the attempts and health checks that are sent to it.

use super::connection::{ConnectError, ServerConnection};
use super::exchange::{Exchange, ExchangedResponse};
use super::pool::{Pool, UpstreamKey};
use crate::front::stream::StreamedResponse;
use crate::messages::{Answer, AttemptEnd, Reply, RequestBody, ServerResponse, UpstreamRequest};
use crate::upstream::roster::ServerInstance;
use crate::upstream::wire::ResponseInfo;
use bytes::Bytes;
use emberpin_balancer::Outcome;
use hyper::header::{HeaderValue, HOST};
use hyper::{Request, Uri};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{timeout, Instant};

/// One incarnation of one server, to which attempts and health checks are sent.
pub struct Upstream {
    /// Its address and start time.
    pub server: ServerInstance,
    /// The name of this incarnation, where requests state the incarnation that they are addressed to.
    pub(super) instance: Option<HeaderValue>,
    pub(super) pool: Rc<Pool>,
    pub(super) key: UpstreamKey,
    /// False once the server drains or is removed.
    open: Cell<bool>,
}

impl Upstream {
    /// Creates the upstream of a server, for requests that do not name its incarnation.
    pub fn new(server: ServerInstance, pool: Rc<Pool>) -> Rc<Upstream> {
        Upstream::with_instance(server, None, pool)
    }

    /// Creates the upstream of an incarnation of a server; requests name it by `instance`, if it is set.
    pub fn with_instance(
        server: ServerInstance,
        instance: Option<HeaderValue>,
        pool: Rc<Pool>,
    ) -> Rc<Upstream> {
        let key = pool.new_key();
        Rc::new(Upstream {
            server,
            instance,
            pool,
            key,
            open: Cell::new(true),
        })
    }

    /// Whether new attempts may go to it.
    pub fn is_open(&self) -> bool {
        self.open.get()
    }

    /// Stops new attempts, including those that are still connecting. Running attempts continue.
    pub fn close(&self) {
        self.open.set(false);
        self.close_idle();
    }

    /// Closes the idle connections.
    pub fn close_idle(&self) {
        self.pool.close_idle(self.key);
    }

    /// Sends one attempt and waits for its end, the timeout or the cancellation. The sender of `cancelled` cancels by
    /// sending the outcome to report, or by being dropped, which reports [`Outcome::Cancelled`].
    pub async fn attempt(
        self: Rc<Self>,
        outgoing: Rc<UpstreamRequest>,
        timeout: Duration,
        cancelled: oneshot::Receiver<Outcome>,
    ) -> AttemptEnd {
        let started = Instant::now();
        let mut request = Request::new(outgoing.body.clone());
        *request.method_mut() = outgoing.method.clone();
        *request.uri_mut() = outgoing.uri.clone();
        *request.headers_mut() = outgoing.headers.clone();
        let exchange = tokio::select! {
            biased;
            outcome = cancelled => Exchange {
                // A part of the request may be written already.
                sent: true,
                ..Exchange::unsent(outcome.unwrap_or(Outcome::Cancelled))
            },
            exchange = self.exchange(request, Some(&outgoing), started, timeout) => exchange,
        };
        self.attempt_end(started, exchange)
    }

    /// Sends a health check.
    pub async fn probe(self: Rc<Self>) -> AttemptEnd {
        let started = Instant::now();
        let mut request = Request::new(RequestBody::Buffered(Bytes::new()));
        *request.uri_mut() = Uri::from_static("/health/live");
        request
            .headers_mut()
            .insert(HOST, HeaderValue::from_static("service.internal"));
        let limit = self.pool.limits.connect_timeout;
        let exchange = self.exchange(request, None, started, limit).await;
        self.attempt_end(started, exchange)
    }

    /// Converts an exchange to the end of an attempt, as the engine receives it.
    fn attempt_end(&self, started: Instant, exchange: Exchange) -> AttemptEnd {
        let Exchange {
            outcome,
            response,
            unreachable,
            sent,
            upload_time,
        } = exchange;
        let elapsed = Instant::now()
            .saturating_duration_since(started + upload_time)
            .as_secs_f64()
            * 1000.0;
        let (response, body) = match response {
            None => {
                return AttemptEnd {
                    outcome,
                    elapsed,
                    unreachable,
                    sent,
                    ..AttemptEnd::unsent()
                }
            }
            Some(ExchangedResponse::Complete(response, bytes)) => (response, Ok(bytes)),
            Some(ExchangedResponse::Streamed(response, stream)) => (response, Err(stream)),
        };
        let ResponseInfo {
            head,
            load,
            metered,
            misdirected,
        } = self.pool.wire.describe_response(response);
        let is_forwardable = self.pool.wire.is_forwardable(outcome, head.status);
        let reply = match body {
            Ok(body) => Reply::Answer(Answer::Served(ServerResponse { head, body })),
            Err(stream) => Reply::Streamed(StreamedResponse {
                head,
                stream: Box::new(stream),
            }),
        };
        let (response, error_response) = match outcome {
            Outcome::Ok => (Some(reply), None),
            _ => (None, Some(reply).filter(|_| is_forwardable)),
        };
        AttemptEnd {
            outcome,
            elapsed,
            load,
            metered,
            response,
            error_response,
            misdirected,
            unreachable,
            sent,
        }
    }

    /// Whether the server accepts connections now; the one opened is kept for the next request. Also true if no socket
    /// is free for the check.
    pub async fn accepts_connections(&self) -> bool {
        match timeout(self.pool.limits.connect_timeout, self.connect(None)).await {
            Ok(Ok(connection)) => {
                self.pool.keep(self.key, connection);
                true
            }
            Ok(Err(ConnectError::NoSocket)) => true,
            Ok(Err(ConnectError::Failed)) | Err(_) => false,
        }
    }

    /// Returns an idle connection that has been idle for less than `max_idle_time`, else a new one.
    pub(super) async fn connect(
        &self,
        max_idle_time: Option<Duration>,
    ) -> Result<ServerConnection, ConnectError> {
        self.pool
            .connect(self.key, self.server.address, max_idle_time)
            .await
    }

    /// Returns a connection to the pool, or closes it if the upstream is closed.
    pub(super) fn release(&self, connection: ServerConnection) {
        if self.is_open() {
            self.pool.keep(self.key, connection);
        }
    }
}
