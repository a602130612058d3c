//! A response that is forwarded while the server still sends it.

use super::connection::{DrivenConnection, ServerConnection};
use super::upstream::Upstream;
use crate::front::stream::{BodyInterrupted, ResponseStream};
use crate::front::upload::Upload;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{sleep_until, Instant, Sleep};

/// A response is treated as broken off once its server has sent nothing more of it for this long.
const STALL_TIMEOUT: Duration = Duration::from_secs(20);

/// A response whose head and first bytes have arrived.
pub(super) struct PartialResponse {
    pub(super) connection: ServerConnection,
    pub(super) body: Incoming,
    /// The chunks that arrived before the decision to stream; forwarded first.
    pub(super) buffered: VecDeque<Bytes>,
    /// The length of the body, where the server stated it.
    pub(super) length: Option<u64>,
}

/// The connection of a streamed response.
enum StreamConnection {
    /// Polled by the reader of the response, and kept for the next request.
    Polled(ServerConnection),
    /// Polled by a task of its own, as the server responded before the end of the request's body: the rest of that body
    /// is sent at the client's pace, however slowly the client takes the response. It carries no further request.
    Driven { _connection: DrivenConnection },
}

impl StreamConnection {
    fn new(connection: ServerConnection) -> StreamConnection {
        if connection.progress.is_body_ended() {
            return StreamConnection::Polled(connection);
        }
        StreamConnection::Driven {
            _connection: connection.drive_in_background(),
        }
    }

    fn poll(&mut self, context: &mut Context) {
        if let StreamConnection::Polled(connection) = self {
            connection.poll(context);
        }
    }
}

/// The part of a response that has not been forwarded yet, and the connection that brings it.
struct OpenResponse {
    connection: StreamConnection,
    body: Incoming,
    /// Forwarded before the rest of the body.
    buffered: VecDeque<Bytes>,
}

impl OpenResponse {
    /// Polls for the next chunk after the buffered ones, and polls the connection that carries it.
    fn poll_body(&mut self, context: &mut Context) -> Poll<Option<Result<Bytes, BodyInterrupted>>> {
        loop {
            self.connection.poll(context);
            return match Pin::new(&mut self.body).poll_frame(context) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(None) => Poll::Ready(None),
                Poll::Ready(Some(Err(_))) => Poll::Ready(Some(Err(BodyInterrupted))),
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => Poll::Ready(Some(Ok(data))),
                    // Trailers are not forwarded.
                    Err(_) => continue,
                },
            };
        }
    }
}

/// The body of a streamed response, read from its server at the pace at which the client takes it.
pub(super) struct StreamedBody {
    /// `None` once the stream has ended or broken off.
    response: Option<OpenResponse>,
    upstream: Rc<Upstream>,
    remaining: Option<u64>,
    stall_timer: Pin<Box<Sleep>>,
    /// The body of the request, where it is streamed as well. What the server has not received by the end of the
    /// response is discarded then, and no sooner: a body that ended in an error would end the response with it.
    upload: Option<Rc<Upload>>,
}

impl StreamedBody {
    pub(super) fn new(
        response: PartialResponse,
        upstream: Rc<Upstream>,
        upload: Option<Rc<Upload>>,
    ) -> StreamedBody {
        StreamedBody {
            remaining: response.length,
            response: Some(OpenResponse {
                connection: StreamConnection::new(response.connection),
                body: response.body,
                buffered: response.buffered,
            }),
            upstream,
            stall_timer: Box::pin(sleep_until(Instant::now() + STALL_TIMEOUT)),
            upload,
        }
    }

    /// Returns the connection to the pool, if it can carry another request.
    fn on_end(&mut self, context: &mut Context) {
        let response = self.response.take();
        if let Some(StreamConnection::Polled(mut connection)) =
            response.map(|response| response.connection)
        {
            connection.poll(context);
            if connection.is_open() && connection.progress.is_complete() {
                self.upstream.release(connection);
            }
        }
    }
}

impl Drop for StreamedBody {
    fn drop(&mut self) {
        if let Some(upload) = &self.upload {
            upload.discard_rest();
        }
    }
}

impl ResponseStream for StreamedBody {
    fn remaining(&self) -> Option<u64> {
        self.remaining
    }

    fn abandon(mut self: Box<Self>) {
        self.upload = None;
    }

    fn poll_next(&mut self, context: &mut Context) -> Poll<Option<Result<Bytes, BodyInterrupted>>> {
        let Some(response) = &mut self.response else {
            return Poll::Ready(None);
        };
        let next = match response.buffered.pop_front() {
            Some(chunk) => Poll::Ready(Some(Ok(chunk))),
            None => response.poll_body(context),
        };
        match &next {
            Poll::Pending => {
                if self.stall_timer.as_mut().poll(context).is_pending() {
                    return Poll::Pending;
                }
                self.response = None;
                return Poll::Ready(Some(Err(BodyInterrupted)));
            }
            Poll::Ready(Some(Ok(chunk))) => {
                self.remaining = self
                    .remaining
                    .map(|remaining| remaining.saturating_sub(chunk.len() as u64));
                self.stall_timer
                    .as_mut()
                    .reset(Instant::now() + STALL_TIMEOUT);
            }
            Poll::Ready(Some(Err(BodyInterrupted))) => self.response = None,
            Poll::Ready(None) => self.on_end(context),
        }
        next
    }
}
