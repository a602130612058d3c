//! A minimal HTTP/1.1 implementation for stand-ins that observe when each byte arrives: heads are parsed with
//! `httparse`, bodies need a `Content-Length`, and a message is read only when it is asked for.

use std::io;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Maximum size of a message's head in bytes.
const MAX_HEAD: usize = 32 * 1024;
/// Maximum size of a message's body in bytes.
const MAX_BODY: usize = 1 << 20;
/// Maximum number of headers of a message.
const MAX_HEADERS: usize = 64;

/// The head of a message.
#[derive(Debug, Default)]
pub struct Head {
    /// Method of a request; empty for a response.
    pub method: String,
    /// Path and query of a request.
    pub path: String,
    /// Status of a response.
    pub status: u16,
    headers: Vec<(String, String)>,
}

impl Head {
    /// The value of the first header with this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Whether the sender closes the connection after this message (`Connection: close`).
    pub fn closes(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }

    fn set_headers(&mut self, headers: &[httparse::Header]) {
        let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
        self.headers = headers
            .iter()
            .map(|header| (header.name.to_string(), text(header.value)))
            .collect();
    }

    /// Parses a head at the front of the bytes and returns it with its length; `None` if it is incomplete.
    fn parse(bytes: &[u8], is_response: bool) -> Result<Option<(Head, usize)>, ReadError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = Head::default();
        let parsed = if is_response {
            let mut response = httparse::Response::new(&mut headers);
            let status = response.parse(bytes).map_err(|_| ReadError::Malformed)?;
            if status.is_complete() {
                head.status = response.code.unwrap_or(0);
                head.set_headers(response.headers);
            }
            status
        } else {
            let mut request = httparse::Request::new(&mut headers);
            let status = request.parse(bytes).map_err(|_| ReadError::Malformed)?;
            if status.is_complete() {
                head.method = request.method.unwrap_or_default().into();
                head.path = request.path.unwrap_or_default().into();
                head.set_headers(request.headers);
            }
            status
        };
        match parsed {
            httparse::Status::Complete(length) => Ok(Some((head, length))),
            httparse::Status::Partial if bytes.len() > MAX_HEAD => Err(ReadError::Malformed),
            httparse::Status::Partial => Ok(None),
        }
    }

    fn body_length(&self) -> Result<usize, ReadError> {
        if self.header("transfer-encoding").is_some() {
            return Err(ReadError::Malformed);
        }
        match self.header("content-length").map(str::parse) {
            None => Ok(0),
            Some(Ok(length)) if length <= MAX_BODY => Ok(length),
            Some(_) => Err(ReadError::Malformed),
        }
    }
}

/// An error that prevented the receipt of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The connection was closed or reset before any byte of a message.
    Closed,
    /// The connection was closed or reset in the middle of a message.
    Truncated,
    /// The bytes are not a valid or supported message.
    Malformed,
}

/// A connection and the bytes read beyond the last message.
pub struct Wire {
    /// The socket.
    pub stream: TcpStream,
    buffered: Vec<u8>,
}

impl Wire {
    /// Wraps a connection on which nothing has been read.
    pub fn new(stream: TcpStream) -> Wire {
        // Otherwise Nagle's algorithm could delay a message. Setting the option does not fail on loopback.
        _ = stream.set_nodelay(true);
        Wire {
            stream,
            buffered: Vec::with_capacity(1024),
        }
    }

    /// Reads one message.
    ///
    /// # Errors
    ///
    /// A [`ReadError`] that says how the connection or the message failed.
    pub async fn read(&mut self, is_response: bool) -> Result<(Head, Vec<u8>), ReadError> {
        if self.buffered.is_empty() {
            self.fill().await.map_err(|_| ReadError::Closed)?;
        }
        let (head, length) = loop {
            match Head::parse(&self.buffered, is_response)? {
                Some(parsed) => break parsed,
                None => self.fill().await.map_err(|_| ReadError::Truncated)?,
            }
        };
        let message_length = length + head.body_length()?;
        while self.buffered.len() < message_length {
            self.fill().await.map_err(|_| ReadError::Truncated)?;
        }
        let body = self.buffered[length..message_length].to_vec();
        self.buffered.drain(..message_length);
        Ok((head, body))
    }

    async fn fill(&mut self) -> io::Result<()> {
        match self.stream.read_buf(&mut self.buffered).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    /// Returns when the other side has closed the connection or its sending side; bytes received meanwhile are
    /// buffered.
    pub async fn wait_until_closed(&mut self) {
        while self.buffered.len() <= MAX_HEAD + MAX_BODY && self.fill().await.is_ok() {}
    }

    /// Waits for bytes or the end of the connection; returns whether bytes were received.
    pub async fn wait_for_bytes(&mut self) -> bool {
        !self.buffered.is_empty() || self.fill().await.is_ok()
    }

    /// What an idle connection has received and nobody has read, without waiting: nothing (`None`), bytes
    /// (`Some(true)`), or the end of the connection (`Some(false)`).
    pub fn unread_state(&self) -> Option<bool> {
        if !self.buffered.is_empty() {
            return Some(true);
        }
        match self.stream.try_read(&mut [0; 1]) {
            Ok(read) => Some(read > 0),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => None,
            Err(_) => Some(false),
        }
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        _ = self.stream.set_zero_linger();
    }
}
