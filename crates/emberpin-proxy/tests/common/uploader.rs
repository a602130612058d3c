//! A client that sends the body of a request in parts.

use super::client::Client;
use super::configuration::HOST;
use super::proxy::Proxy;

/// How a client states where the body of its request ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    Length,
    Chunked,
}

impl BodyFraming {
    pub const ALL: [BodyFraming; 2] = [BodyFraming::Length, BodyFraming::Chunked];
}

/// A client whose request, with the id `t1`, is under way.
pub struct Uploader {
    pub client: Client,
    framing: BodyFraming,
}

impl Uploader {
    /// Sends the head of a request with a body of this length.
    pub async fn start(proxy: &Proxy, path: &str, framing: BodyFraming, length: usize) -> Uploader {
        let mut client = proxy.connect().await;
        let stated = match framing {
            BodyFraming::Length => format!("content-length: {length}"),
            BodyFraming::Chunked => "transfer-encoding: chunked".to_string(),
        };
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: {HOST}\r\ntry-id: t1\r\ndeadline: 8000\r\n{stated}\r\n\r\n"
        );
        client.write(head.as_bytes()).await;
        Uploader { client, framing }
    }

    /// Sends a part of the body.
    pub async fn send(&mut self, part: &[u8]) {
        if self.framing == BodyFraming::Length {
            return self.client.write(part).await;
        }
        let size = format!("{:x}\r\n", part.len());
        self.client.write(size.as_bytes()).await;
        self.client.write(part).await;
        self.client.write(b"\r\n").await;
    }

    /// Sends the last part of the body.
    pub async fn finish(&mut self, last_part: &[u8]) {
        self.send(last_part).await;
        if self.framing == BodyFraming::Chunked {
            self.client.write(b"0\r\n\r\n").await;
        }
    }
}
