//! The body of a request as one attempt sends it: buffered, or streamed while its client uploads it.

use super::write_progress::WriteProgress;
use crate::front::stream::{BodyInterrupted, Upload};
use crate::messages::RequestBody;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// A request's body, read by the HTTP library for one attempt.
pub(super) struct SentBody {
    /// The buffered bytes; `None` after the first poll.
    buffered: Option<Bytes>,
    /// The rest of the body, if the client is still sending.
    upload: Option<RemainingUpload>,
    progress: Rc<WriteProgress>,
}

/// The part of an upload that the HTTP library has not received yet.
struct RemainingUpload {
    upload: Rc<Upload>,
    /// Number of bytes that the HTTP library has not received yet, including the buffered ones; `None` if the client
    /// stated no length.
    length: Option<u64>,
}

impl SentBody {
    pub(super) fn new(body: RequestBody, progress: Rc<WriteProgress>) -> SentBody {
        match body {
            RequestBody::Buffered(bytes) => SentBody {
                buffered: Some(bytes),
                upload: None,
                progress,
            },
            RequestBody::Uploading(upload) => SentBody {
                buffered: Some(upload.buffered.clone()),
                upload: Some(RemainingUpload {
                    length: upload.length,
                    upload,
                }),
                progress,
            },
        }
    }
}

impl Body for SentBody {
    type Data = Bytes;
    type Error = BodyInterrupted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyInterrupted>>> {
        let buffered = self.buffered.take().filter(|bytes| !bytes.is_empty());
        let Some(RemainingUpload { upload, length }) = &mut self.upload else {
            self.progress.end_body();
            return Poll::Ready(buffered.map(|bytes| Ok(Frame::data(bytes))));
        };
        let next = match buffered {
            Some(bytes) => Poll::Ready(Some(Ok(bytes))),
            None => upload.poll_rest(context),
        };
        if let (Poll::Ready(Some(Ok(chunk))), Some(length)) = (&next, length.as_mut()) {
            *length = length.saturating_sub(chunk.len() as u64);
        }
        // The HTTP library does not poll again once it has received the stated length.
        if matches!(next, Poll::Ready(None)) || *length == Some(0) {
            self.progress.end_body();
        }
        next.map(|next| next.map(|next| next.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        // An upload ends only when its client has ended it.
        self.upload.is_none() && self.buffered.as_ref().is_none_or(Bytes::is_empty)
    }

    fn size_hint(&self) -> SizeHint {
        match &self.upload {
            None => {
                let buffered = self.buffered.as_ref().map_or(0, |bytes| bytes.len() as u64);
                SizeHint::with_exact(buffered)
            }
            Some(RemainingUpload {
                length: Some(length),
                ..
            }) => SizeHint::with_exact(*length),
            Some(RemainingUpload { length: None, .. }) => SizeHint::default(),
        }
    }
}
