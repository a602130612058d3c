//! HTTP messages, read byte by byte without an HTTP library.

use std::collections::HashMap;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// The kind of a message, which decides how a message without a stated length ends.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum MessageKind {
    /// Without a length, there is no body.
    Request,
    /// Without a length, the body ends with the connection.
    Response,
}

/// The head and body of a message.
#[derive(Clone, Debug)]
pub struct Message {
    pub first_line: String,
    /// By lower-case name.
    pub headers: HashMap<String, String>,
    /// Decoded, if it was sent in chunks.
    pub body: Vec<u8>,
    /// Whether the body ended as the head states.
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

/// Reads one message; `None` if the connection ends before the end of its head.
pub async fn read_message(stream: &mut TcpStream, kind: MessageKind) -> Option<Message> {
    let (first_line, headers) = read_head(stream).await?;
    read_body(stream, kind, first_line, headers).await
}

/// Reads a message's first line and headers.
pub async fn read_head(stream: &mut TcpStream) -> Option<(String, HashMap<String, String>)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).expect("text");
    let mut lines = head.lines();
    let first_line = lines.next().expect("a line").to_string();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string()))
        .collect();
    Some((first_line, headers))
}

/// Reads the body that follows a head from [`read_head`].
pub async fn read_body(
    stream: &mut TcpStream,
    kind: MessageKind,
    first_line: String,
    headers: HashMap<String, String>,
) -> Option<Message> {
    let mut body = Vec::new();
    let chunked = headers
        .get("transfer-encoding")
        .is_some_and(|coding| coding == "chunked");
    let complete = if chunked {
        read_chunks(stream, &mut body).await.is_some()
    } else if let Some(length) = headers.get("content-length") {
        let length = length.parse().expect("a length");
        stream.take(length).read_to_end(&mut body).await.is_ok() && body.len() as u64 == length
    } else {
        kind == MessageKind::Request || stream.read_to_end(&mut body).await.is_ok()
    };
    Some(Message {
        first_line,
        headers,
        body,
        complete,
    })
}

async fn read_chunks(stream: &mut TcpStream, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let mut line = Vec::new();
        while !line.ends_with(b"\r\n") {
            line.push(stream.read_u8().await.ok()?);
        }
        let size = usize::from_str_radix(std::str::from_utf8(&line).ok()?.trim(), 16).ok()?;
        let mut chunk = vec![0; size + 2];
        stream.read_exact(&mut chunk).await.ok()?;
        body.extend_from_slice(&chunk[..size]);
        if size == 0 {
            return Some(());
        }
    }
}
