//! Exchanges one request and its response with a server, and determines whether the request may have run.

use super::connection::{ConnectError, ServerConnection};
use super::request_body::SentBody;
use super::response::{ExchangeError, ReceivedBody, ResponseRules};
use super::streamed_response::StreamedBody;
use super::upstream::Upstream;
use super::write_progress::WriteProgress;
use crate::front::upload::Upload;
use crate::messages::{RequestBody, UpstreamRequest};
use crate::upstream::wire::Wire;
use bytes::Bytes;
use emberpin_balancer::Outcome;
use hyper::body::Body;
use hyper::{Request, Response};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep_until, timeout_at, Instant};

/// How an exchange ended.
pub(super) struct Exchange {
    pub(super) outcome: Outcome,
    pub(super) response: Option<ExchangedResponse>,
    /// The server's machine acknowledged nothing within the limit, or no connection came up.
    pub(super) unreachable: bool,
    /// At least one byte of the request was written.
    pub(super) sent: bool,
    /// Time from the start to the last byte of a streamed request body; zero for a buffered body. The attempt's timeout
    /// and its elapsed time count from that byte.
    pub(super) upload_time: Duration,
}

/// A response, with its body complete or still to be streamed.
pub(super) enum ExchangedResponse {
    Complete(Response<()>, Bytes),
    Streamed(Response<()>, StreamedBody),
}

/// The response as the connection received it; `None` after the timeout.
type Received = Option<Result<(Response<()>, ReceivedBody), ExchangeError>>;

impl Exchange {
    /// An exchange of which nothing was sent.
    pub(super) fn unsent(outcome: Outcome) -> Exchange {
        Exchange {
            outcome,
            response: None,
            unreachable: false,
            sent: false,
            upload_time: Duration::ZERO,
        }
    }
}

impl Upstream {
    /// Sends a request and waits for its response or the timeout. `outgoing` is `None` for a health check, which is not
    /// counted and whose response is buffered.
    ///
    /// Decides between "never ran" and "may have run": an attempt never ran if no connection came up, or if the
    /// connection broke before the last byte was written. Where servers may run an incomplete request, it never ran
    /// only if the connection broke before the first byte was written.
    pub(super) async fn exchange(
        self: &Rc<Self>,
        mut request: Request<RequestBody>,
        outgoing: Option<&UpstreamRequest>,
        started: Instant,
        timeout: Duration,
    ) -> Exchange {
        let mut connection = match self.connect_for(outgoing, started, timeout).await {
            Ok(connection) => connection,
            Err(exchange) => return exchange,
        };
        // The server may have begun to drain, or the request may have been withdrawn, while the connection came up.
        // From here to the first byte there is no await, so neither can happen any more.
        if !self.is_open() || outgoing.is_some_and(|outgoing| outgoing.withdrawn.get()) {
            return Exchange::unsent(Outcome::NotSent);
        }
        if let Some(outgoing) = outgoing {
            outgoing.used_upstreams.record(self.key);
        }
        let upload = match request.body() {
            RequestBody::Buffered(_) => None,
            RequestBody::Uploading(upload) => Some(upload.clone()),
        };
        connection.limit_unacknowledged(upload.is_none());
        // Takes the place of the limit on unacknowledged time, which is off for an upload.
        let limits_stalls = connection.has_unacknowledged_limit();
        let deadline = started + timeout;
        let left = match &upload {
            None => deadline.saturating_duration_since(Instant::now()),
            Some(_) => timeout,
        };
        let wire = self.pool.wire.clone();
        wire.set_request_headers(request.headers_mut(), left, self.instance.as_ref());
        let request_id = wire.request_id(request.headers());
        let rules = ResponseRules {
            wire: &*wire,
            request_id: request_id.as_ref(),
            may_stream: outgoing.is_some_and(|outgoing| outgoing.may_stream),
            buffer_limit: self.pool.limits.buffered_response_bytes,
        };
        let (progress, idle_time) = (connection.progress.clone(), connection.idle_time);
        let request = request.map(|body| SentBody::new(body, progress.clone()));
        progress.reset(
            outgoing.map(|_| self.pool.metrics.attempts.clone()),
            request.body().is_end_stream(),
        );
        let timed_out = async {
            match &upload {
                None => sleep_until(deadline).await,
                Some(upload) => upload_timed_out(upload, timeout, limits_stalls).await,
            }
        };
        let received = tokio::select! {
            biased;
            received = connection.exchange(request, rules) => Some(received),
            () = timed_out => None,
        };
        let upload_time = match &upload {
            None => Duration::ZERO,
            Some(upload) => upload_time(upload, started).await,
        };
        let sent = progress.is_started();
        let is_interrupted = upload
            .as_ref()
            .is_some_and(|upload| upload.is_interrupted());
        if is_interrupted && !matches!(received, Some(Ok(_))) {
            let outcome = match never_ran(&*wire, &progress) {
                true => Outcome::NotSent,
                false => Outcome::Cancelled,
            };
            return Exchange {
                sent,
                upload_time,
                ..Exchange::unsent(outcome)
            };
        }
        self.record_end(&received, idle_time);
        let unreachable = matches!(received, Some(Err(ExchangeError::Unacknowledged)));
        let (outcome, response) = self.classify(received, &*wire, rules, &progress, upload);
        Exchange {
            outcome,
            response,
            unreachable,
            sent,
            upload_time,
        }
    }

    /// Returns a connection, or the end of the exchange if none comes up within the attempt's time.
    async fn connect_for(
        &self,
        outgoing: Option<&UpstreamRequest>,
        started: Instant,
        timeout: Duration,
    ) -> Result<ServerConnection, Exchange> {
        let max_idle_time = outgoing.and_then(|outgoing| self.max_idle_time(outgoing));
        let connecting = timeout_at(
            started + timeout.min(self.pool.limits.connect_timeout),
            self.connect(max_idle_time),
        );
        match connecting.await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(ConnectError::NoSocket)) => Err(Exchange::unsent(Outcome::NotSent)),
            Ok(Err(ConnectError::Failed)) | Err(_) => Err(Exchange {
                unreachable: true,
                ..Exchange::unsent(Outcome::ConnectFailed)
            }),
        }
    }

    /// Longest time for which the connection for this request may have been idle. An attempt at a server that has
    /// received one before gets a new connection, see [`UsedUpstreams`](super::UsedUpstreams).
    fn max_idle_time(&self, outgoing: &UpstreamRequest) -> Option<Duration> {
        match outgoing.used_upstreams.contains(self.key) {
            true => Some(Duration::ZERO),
            false => outgoing.max_idle_time,
        }
    }

    /// Records what the end of an exchange says about other connections: how long idle ones last, and whether the
    /// server's machine still acknowledges anything.
    fn record_end(&self, received: &Received, idle_time: Duration) {
        match received {
            Some(Ok(_)) => self.pool.record_use(idle_time, false),
            Some(Err(ExchangeError::ConnectionLost)) => self.pool.record_use(idle_time, true),
            // The machine would not acknowledge anything on its other connections either.
            Some(Err(ExchangeError::Unacknowledged)) => self.close_idle(),
            Some(Err(ExchangeError::InvalidResponse)) | None => {}
        }
    }

    /// Determines the outcome of an exchange. Returns the response too, if there is one.
    fn classify(
        self: &Rc<Self>,
        received: Received,
        wire: &dyn Wire,
        rules: ResponseRules<'_>,
        progress: &WriteProgress,
        upload: Option<Rc<Upload>>,
    ) -> (Outcome, Option<ExchangedResponse>) {
        match received {
            Some(Ok((response, body))) => {
                let outcome = wire.outcome(rules.request_id, &response);
                let response = self.finish(response, body, progress, upload);
                (outcome, Some(response))
            }
            _ if never_ran(wire, progress) => (Outcome::ConnectFailed, None),
            Some(Err(ExchangeError::InvalidResponse)) => (Outcome::Error, None),
            Some(Err(ExchangeError::ConnectionLost | ExchangeError::Unacknowledged)) => {
                (Outcome::Reset, None)
            }
            None => (Outcome::Timeout, None),
        }
    }

    /// Returns the connection of a complete response to the pool. A response that arrived before all of the request was
    /// written is valid, but its connection cannot be reused. While a response is streamed, the rest of its request's
    /// body still goes to the server.
    fn finish(
        self: &Rc<Self>,
        response: Response<()>,
        body: ReceivedBody,
        progress: &WriteProgress,
        upload: Option<Rc<Upload>>,
    ) -> ExchangedResponse {
        match body {
            ReceivedBody::Complete(bytes, connection) => {
                if let Some(connection) = connection.filter(|_| progress.is_complete()) {
                    self.release(connection);
                }
                ExchangedResponse::Complete(response, bytes)
            }
            ReceivedBody::Partial(partial) => {
                let stream = StreamedBody::new(*partial, self.clone(), upload);
                ExchangedResponse::Streamed(response, stream)
            }
        }
    }
}

/// Whether so little of a request was written that its server can't have begun to run it.
fn never_ran(wire: &dyn Wire, progress: &WriteProgress) -> bool {
    match wire.may_run_in_part() {
        true => !progress.is_started(),
        false => !progress.is_complete(),
    }
}

/// Returns when an attempt with a streamed body has timed out. The time of a client that is slow to send does not count:
/// the timeout begins with the last byte of the body or, if `limits_stalls`, with the last one that the server took.
async fn upload_timed_out(upload: &Upload, timeout: Duration, limits_stalls: bool) {
    let after_end = async { sleep_until(upload.ended().await + timeout).await };
    tokio::select! {
        () = after_end => {}
        () = upload.stalled(timeout), if limits_stalls => {}
    }
}

/// The time from `started` to the last byte of an upload, or to now if that has not arrived.
async fn upload_time(upload: &Upload, started: Instant) -> Duration {
    match tokio::time::timeout(Duration::ZERO, upload.ended()).await {
        Ok(ended) => ended.saturating_duration_since(started),
        Err(_) => started.elapsed(),
    }
}
