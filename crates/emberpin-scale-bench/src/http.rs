//! As much HTTP as hollow servers, a stand-in and a client need; real programs are on the other side.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Nothing here takes longer, unless it has failed.
const LONG: Duration = Duration::from_secs(8);

/// A connection that is kept.
pub struct Connection(BufReader<TcpStream>);

/// The head's first line and fields, in lower case, and the body.
pub struct Message {
    /// The first line.
    pub first: String,
    /// Names and values.
    pub fields: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// Of an answer.
    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0)
    }

    /// A field's value.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }
}

impl Connection {
    /// To this place.
    ///
    /// # Errors
    ///
    /// The connection's.
    pub async fn open(to: SocketAddr) -> io::Result<Connection> {
        let stream = timeout(LONG, TcpStream::connect(to)).await??;
        Connection::of(stream)
    }

    /// One that came in.
    ///
    /// # Errors
    ///
    /// The connection's.
    pub fn of(stream: TcpStream) -> io::Result<Connection> {
        stream.set_nodelay(true)?;
        Ok(Connection(BufReader::new(stream)))
    }

    /// Sends a request and waits for its answer.
    ///
    /// # Errors
    ///
    /// The connection's, also if no answer comes.
    pub async fn call(&mut self, line: &str, fields: &str, body: &str) -> io::Result<Message> {
        let head = format!(
            "{line} HTTP/1.1\r\n{fields}Content-Length: {}\r\n\r\n",
            body.len()
        );
        self.write(&(head + body)).await?;
        timeout(LONG, self.read()).await?
    }

    /// Sends bytes.
    ///
    /// # Errors
    ///
    /// The connection's.
    pub async fn write(&mut self, text: &str) -> io::Result<()> {
        self.0.get_mut().write_all(text.as_bytes()).await
    }

    /// Reads a request or an answer.
    ///
    /// # Errors
    ///
    /// The connection's.
    pub async fn read(&mut self) -> io::Result<Message> {
        let first = self.line().await?;
        let mut fields = Vec::new();
        loop {
            let line = self.line().await?;
            let Some((name, value)) = line.split_once(':') else {
                break;
            };
            fields.push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
        let mut message = Message {
            first,
            fields,
            body: Vec::new(),
        };
        let length = message
            .field("content-length")
            .and_then(|length| length.parse().ok())
            .unwrap_or(0);
        message.body.resize(length, 0);
        self.0.read_exact(&mut message.body).await?;
        Ok(message)
    }

    async fn line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        match self.0.read_line(&mut line).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(line.trim_end().to_string()),
        }
    }
}
