//! Request bodies, read completely within a limit of size and an idle time-out.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::StatusCode;
use std::time::Duration;
use tokio::time::timeout;

/// A body without a frame for longer was cut short.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// How much of a body that is too long is read and discarded, and for how long at most.
const MAX_DISCARDED_BYTES: usize = 16 << 20;
const DISCARD_TIMEOUT: Duration = Duration::from_secs(10);

/// A request body that could not be read.
#[derive(Debug, thiserror::Error)]
pub enum RequestBodyError {
    /// Nothing came for [`IDLE_TIMEOUT`].
    #[error("body: it does not come")]
    TimedOut,
    /// The connection broke, or the body's framing is invalid.
    #[error("body: {0}")]
    Broken(#[from] hyper::Error),
    /// The body is longer than the call allows.
    #[error("body: more than {limit} bytes")]
    TooLong {
        /// The most bytes that the call allows.
        limit: usize,
    },
}

impl RequestBodyError {
    /// The status that the client is answered with.
    pub fn status(&self) -> StatusCode {
        match self {
            RequestBodyError::TimedOut => StatusCode::REQUEST_TIMEOUT,
            RequestBodyError::Broken(_) => StatusCode::BAD_REQUEST,
            RequestBodyError::TooLong { .. } => StatusCode::PAYLOAD_TOO_LARGE,
        }
    }
}

/// Reads a complete body of at most `limit` bytes.
///
/// # Errors
///
/// [`RequestBodyError`]; a body that is too long has then been read and discarded, as far as that has a bound.
pub async fn read(mut body: Incoming, limit: usize) -> Result<Vec<u8>, RequestBodyError> {
    let mut bytes = Vec::new();
    loop {
        let frame = timeout(IDLE_TIMEOUT, body.frame())
            .await
            .map_err(|_| RequestBodyError::TimedOut)?;
        let Some(frame) = frame else {
            return Ok(bytes);
        };
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > limit {
            // A connection that is closed with bytes unread is reset, and the response may be lost with it.
            _ = timeout(DISCARD_TIMEOUT, discard(&mut body)).await;
            return Err(RequestBodyError::TooLong { limit });
        }
        bytes.extend_from_slice(&data);
    }
}

/// Reads the rest of a body and drops it, up to [`MAX_DISCARDED_BYTES`].
async fn discard(body: &mut Incoming) {
    let mut allowed = MAX_DISCARDED_BYTES;
    while let Some(Ok(frame)) = body.frame().await {
        let length = frame.data_ref().map_or(0, Bytes::len);
        let Some(rest) = allowed.checked_sub(length) else {
            return;
        };
        allowed = rest;
    }
}
