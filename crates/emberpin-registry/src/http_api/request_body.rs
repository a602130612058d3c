//! Reads complete request bodies, with a byte limit and an idle time-out.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::StatusCode;
use std::time::Duration;
use tokio::time::timeout;

/// The idle time-out: the longest wait for the next part of a body.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// The most bytes that are read and discarded of a body that is too long.
const MAX_DISCARDED_BYTES: usize = 16 << 20;
/// The longest time for which a body that is too long is read and discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a request body could not be read.
#[derive(Debug, thiserror::Error)]
pub enum RequestBodyError {
    /// Nothing was received for the idle time-out.
    #[error("body: it does not come")]
    TimedOut,
    /// The connection broke, or the body's framing is invalid.
    #[error("body: {0}")]
    Broken(#[from] hyper::Error),
    /// The body is longer than the call allows.
    #[error("body: more than {limit} bytes")]
    TooLong {
        /// The byte limit of the call.
        limit: usize,
    },
}

impl RequestBodyError {
    /// The status of the response.
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
/// [`RequestBodyError`]. A body that is too long is read and discarded first, up to a byte limit and a time limit.
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
            // If a connection is closed before all bytes are read, it is reset, and the response may be lost.
            _ = timeout(DISCARD_TIMEOUT, discard(&mut body)).await;
            return Err(RequestBodyError::TooLong { limit });
        }
        bytes.extend_from_slice(&data);
    }
}

/// Reads and discards the rest of a body, up to [`MAX_DISCARDED_BYTES`].
async fn discard(body: &mut Incoming) {
    let mut bytes_left = MAX_DISCARDED_BYTES;
    while let Some(Ok(frame)) = body.frame().await {
        let length = frame.data_ref().map_or(0, Bytes::len);
        let Some(rest) = bytes_left.checked_sub(length) else {
            return;
        };
        bytes_left = rest;
    }
}
