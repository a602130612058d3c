//! Receives the response to one request: its head is checked, and its body is buffered or left to be streamed.

use super::connection::ServerConnection;
use super::request_body::SentBody;
use super::streamed_response::PartialResponse;
use crate::upstream::wire::Wire;
use bytes::Bytes;
use emberpin_balancer::Outcome;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderValue, CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Method, Request, Response, StatusCode, Version};
use std::collections::VecDeque;
use std::error::Error;
use std::io;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// No response may be longer than this, even where it could be streamed.
const MAX_RESPONSE_BYTES: u64 = 256 << 20;
/// How long a response without a stated length is buffered before it is streamed. A response that breaks off while it
/// is buffered may still be retried.
const BUFFERING_TIMEOUT: Duration = Duration::from_millis(300);

/// How to read the response to one request.
#[derive(Clone, Copy)]
pub(super) struct ResponseRules<'a> {
    pub(super) wire: &'a dyn Wire,
    /// The request id that the response must carry to belong to this request, see [`Wire::request_id`].
    pub(super) request_id: Option<&'a HeaderValue>,
    /// If set, a response that its client may receive is streamed if it is too long or too slow to buffer; otherwise it
    /// is an error.
    pub(super) may_stream: bool,
    /// Maximum number of bytes of a body that are buffered.
    pub(super) buffer_limit: usize,
}

/// The body of a received response.
pub(super) enum ReceivedBody {
    /// The complete body, with the connection if it can carry another request.
    Complete(Bytes, Option<ServerConnection>),
    /// The beginning of a body that is to be streamed.
    Partial(Box<PartialResponse>),
}

/// Why an exchange ended without a usable response.
pub(super) enum ExchangeError {
    /// The connection broke or ended.
    ConnectionLost,
    /// The server's machine no longer acknowledges what is sent to it.
    Unacknowledged,
    /// What arrived is not a response that may be forwarded.
    InvalidResponse,
}

impl From<hyper::Error> for ExchangeError {
    fn from(error: hyper::Error) -> ExchangeError {
        if error.is_parse() {
            ExchangeError::InvalidResponse
        } else if io_error_kind(&error) == Some(io::ErrorKind::TimedOut) {
            ExchangeError::Unacknowledged
        } else {
            ExchangeError::ConnectionLost
        }
    }
}

/// Classifies an error in a body. An error without an I/O error as its source means invalid framing.
fn body_error(error: &hyper::Error) -> ExchangeError {
    match io_error_kind(error) {
        Some(io::ErrorKind::TimedOut) => ExchangeError::Unacknowledged,
        None | Some(io::ErrorKind::InvalidInput) => ExchangeError::InvalidResponse,
        Some(_) => ExchangeError::ConnectionLost,
    }
}

fn io_error_kind(error: &hyper::Error) -> Option<io::ErrorKind> {
    let source = error.source()?.downcast_ref::<io::Error>()?;
    Some(source.kind())
}

impl ServerConnection {
    /// Sends a request and receives its response: complete, or partial if it is too long or too slow to buffer.
    pub(super) async fn exchange(
        mut self,
        request: Request<SentBody>,
        rules: ResponseRules<'_>,
    ) -> Result<(Response<()>, ReceivedBody), ExchangeError> {
        self.is_reusable = rules.wire.is_reusable_after(rules.request_id);
        let is_head_request = request.method() == Method::HEAD;
        let responding = self.sender.send_request(request);
        let response: Response<Incoming> = self.drive(responding).await?;
        let (parts, body) = response.into_parts();
        let may_have_body = !is_head_request && may_have_body(parts.status);
        if !has_valid_framing(parts.version, &parts.headers, may_have_body) {
            return Err(ExchangeError::InvalidResponse);
        }
        let head = Response::from_parts(parts, ());
        if !rules
            .wire
            .response_belongs(rules.request_id, head.headers())
        {
            return Err(ExchangeError::InvalidResponse);
        }
        self.stated_idle_timeout = rules.wire.idle_timeout(head.headers());
        let outcome = rules.wire.outcome(rules.request_id, &head);
        let may_stream = rules.may_stream
            && (outcome == Outcome::Ok || rules.wire.is_forwardable(outcome, head.status()));
        let body = self
            .receive_body(body, rules.buffer_limit, may_stream)
            .await?;
        Ok((head, body))
    }

    /// Buffers a body up to its end, the limit, or the end of [`BUFFERING_TIMEOUT`].
    async fn receive_body(
        mut self,
        mut body: Incoming,
        buffer_limit: usize,
        may_stream: bool,
    ) -> Result<ReceivedBody, ExchangeError> {
        let length = body.size_hint().exact();
        let too_long = length.is_some_and(|length| length > buffer_limit as u64);
        if too_long && !may_stream || length.is_some_and(|length| length > MAX_RESPONSE_BYTES) {
            return Err(ExchangeError::InvalidResponse);
        }
        let (mut buffered, mut size) = (VecDeque::new(), 0);
        let buffer_until = Instant::now() + BUFFERING_TIMEOUT;
        while !too_long && size <= buffer_limit {
            let frame = match length {
                None if may_stream => timeout_at(buffer_until, self.drive(body.frame())).await,
                _ => Ok(self.drive(body.frame()).await),
            };
            match frame {
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        size += data.len();
                        buffered.push_back(data);
                    }
                }
                Ok(Some(Err(error))) => return Err(body_error(&error)),
                Ok(None) => {
                    // One more poll, so that a connection that closes after this response, or carries unsolicited bytes
                    // after it, does not return to the pool.
                    self.drive(std::future::ready(())).await;
                    let reusable = self.is_open().then_some(self);
                    return Ok(ReceivedBody::Complete(
                        concatenate(buffered, size),
                        reusable,
                    ));
                }
                Err(_) => break,
            }
        }
        if !may_stream {
            return Err(ExchangeError::InvalidResponse);
        }
        Ok(ReceivedBody::Partial(Box::new(PartialResponse {
            connection: self,
            body,
            buffered,
            length,
        })))
    }
}

/// Joins chunks; a single one is not copied.
fn concatenate(mut chunks: VecDeque<Bytes>, size: usize) -> Bytes {
    if chunks.len() == 1 {
        return chunks.pop_front().unwrap_or_default();
    }
    let mut joined = Vec::with_capacity(size);
    for chunk in &chunks {
        joined.extend_from_slice(chunk);
    }
    joined.into()
}

/// Whether a response with this status may have a body, unless it responds to a HEAD request. One without a body ends
/// with its head, whatever its headers say (RFC 9112, section 6.3).
fn may_have_body(status: StatusCode) -> bool {
    !matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

/// Whether the head defines where the response ends: by one length, by chunked encoding, or by the end of a connection
/// that the server says it will close (RFC 9112, section 6.3). Without this check, a truncated response could pass for
/// a complete one, and the HTTP library would accept two contradictory framings and follow one of them.
fn has_valid_framing(version: Version, headers: &HeaderMap, may_have_body: bool) -> bool {
    let mut framings = headers
        .get_all(CONTENT_LENGTH)
        .iter()
        .chain(headers.get_all(TRANSFER_ENCODING));
    match (framings.next(), framings.next()) {
        (Some(framing), None) => {
            framing.as_bytes().iter().all(u8::is_ascii_digit)
                || framing.as_bytes().eq_ignore_ascii_case(b"chunked")
        }
        (None, _) => {
            let closes = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"close");
            !may_have_body
                || version == Version::HTTP_10
                || headers.get_all(CONNECTION).iter().any(closes)
        }
        (Some(_), Some(_)) => false,
    }
}
