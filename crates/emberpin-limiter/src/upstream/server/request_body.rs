//! The body of a request as one attempt sends it: buffered, or streamed while its client uploads it.

use super::write_progress::WriteProgress;
use crate::front::stream::BodyInterrupted;
use crate::front::upload::UploadReader;
use crate::messages::RequestBody;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// A request's body, read by the HTTP library for one attempt.
pub(super) struct SentBody {
    source: Source,
    progress: Rc<WriteProgress>,
}

enum Source {
    /// All of the body; `None` after the first poll.
    Buffered(Option<Bytes>),
    Upload(UploadReader),
}

impl SentBody {
    pub(super) fn new(body: RequestBody, progress: Rc<WriteProgress>) -> SentBody {
        let source = match body {
            RequestBody::Buffered(bytes) => {
                Source::Buffered(Some(bytes).filter(|bytes| !bytes.is_empty()))
            }
            RequestBody::Uploading(upload) => Source::Upload(UploadReader::new(upload)),
        };
        SentBody { source, progress }
    }
}

impl Body for SentBody {
    type Data = Bytes;
    type Error = BodyInterrupted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyInterrupted>>> {
        let (next, ended) = match &mut self.source {
            Source::Buffered(bytes) => (Poll::Ready(bytes.take().map(Ok)), true),
            Source::Upload(reader) => {
                let next = reader.poll_chunk(context);
                // The HTTP library does not poll again once it has received the stated length.
                let ended = matches!(next, Poll::Ready(None)) || reader.remaining() == Some(0);
                (next, ended)
            }
        };
        if ended {
            self.progress.end_body();
        }
        next.map(|next| next.map(|next| next.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            Source::Buffered(bytes) => bytes.is_none(),
            // An upload ends only when its client has ended it.
            Source::Upload(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Source::Upload(reader) => match reader.remaining() {
                Some(remaining) => SizeHint::with_exact(remaining),
                None => SizeHint::default(),
            },
        }
    }
}
