//! The bodies of responses to clients: complete, or streamed, with back pressure, as a chunk is read from the server only
//! when the client has accepted the previous one.

use crate::front::connections::Connection;
use crate::messages::ResponseHead;
use crate::operate::figures::{ActiveRequest, RequestOutcome};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::sync::OwnedSemaphorePermit;

/// The body broke off before its end.
#[derive(Debug)]
pub struct BodyInterrupted;

impl fmt::Display for BodyInterrupted {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(to, "the body broke off")
    }
}

impl std::error::Error for BodyInterrupted {}

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

    /// Gives up the response, as another attempt of its request follows: unlike when it is dropped, the request's body
    /// is left for that attempt.
    fn abandon(self: Box<Self>);
}

/// A streamed response that is being sent to its client, with the metrics and the connection to update when it ends.
pub struct StreamedContent {
    pub response: StreamedResponse,
    /// How the request counts in the metrics if the response reaches its end.
    pub outcome: RequestOutcome,
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
                    Poll::Ready(None) => streamed.active_request.set_outcome(streamed.outcome),
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
