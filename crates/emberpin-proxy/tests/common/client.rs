//! HTTP clients of the proxy that write raw bytes.

use super::configuration::HOST;
use super::http::{read_message, Message, MessageKind};
use super::wait::within_limit;
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// A response, as a client received it.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub message: Message,
}

impl Response {
    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.message.body).into_owned()
    }
}

/// One connection of a client.
pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    pub async fn try_connect(to: SocketAddr) -> Option<Client> {
        TcpStream::connect(to)
            .await
            .ok()
            .map(|stream| Client { stream })
    }

    pub async fn send(&mut self, method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) {
        let mut request = format!("{method} {path} HTTP/1.1\r\nhost: {HOST}\r\n");
        headers
            .iter()
            .for_each(|(name, value)| request.push_str(&format!("{name}: {value}\r\n")));
        if !body.is_empty() {
            request.push_str(&format!("content-length: {}\r\n", body.len()));
        }
        request.push_str("\r\n");
        self.write(request.as_bytes()).await;
        self.write(body).await;
    }

    pub async fn write(&mut self, bytes: &[u8]) {
        within_limit("a write", self.stream.write_all(bytes))
            .await
            .expect("sent");
    }

    /// The next response; `None` if the connection ends before one begins.
    pub async fn response(&mut self) -> Option<Response> {
        let reading = read_message(&mut self.stream, MessageKind::Response);
        let message = within_limit("a response", reading).await?;
        let status = message.first_line.split(' ').nth(1)?.parse().ok()?;
        Some(Response { status, message })
    }

    /// The status of the next response.
    pub async fn status(&mut self) -> Option<u16> {
        self.response().await.map(|response| response.status)
    }
}
