//! Stand-in servers whose responses the test determines.

use super::configuration::instance;
use super::http::{read_message, Message, MessageKind};
use super::wait::within_limit;
use emberpin_membership::instance::Instance;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// A stand-in server that queues the requests it receives.
pub struct Server {
    pub address: SocketAddr,
    pub requests: mpsc::UnboundedReceiver<ReceivedRequest>,
    connection_count: Arc<AtomicU32>,
}

/// A request that reached a server; dropping it closes its connection.
pub struct ReceivedRequest {
    pub message: Message,
    pub stream: TcpStream,
    queue: mpsc::UnboundedSender<ReceivedRequest>,
}

impl Server {
    pub async fn start() -> Server {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("bound");
        Server::on(listener)
    }

    pub fn on(listener: TcpListener) -> Server {
        let address = listener.local_addr().expect("bound");
        let (queue, requests) = mpsc::unbounded_channel();
        let connection_count = Arc::new(AtomicU32::new(0));
        let count = connection_count.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                count.fetch_add(1, Ordering::Relaxed);
                // Without this, a write could be delayed until an earlier one is acknowledged.
                _ = stream.set_nodelay(true);
                tokio::spawn(receive_request(stream, queue.clone()));
            }
        });
        Server {
            address,
            requests,
            connection_count,
        }
    }

    pub async fn next_request(&mut self) -> ReceivedRequest {
        within_limit("a request at the server", self.requests.recv())
            .await
            .expect("the server listens")
    }

    /// Whether its queue of received requests is empty.
    pub fn has_no_request(&mut self) -> bool {
        self.requests.try_recv().is_err()
    }

    /// Number of connections that it has accepted.
    pub fn connection_count(&self) -> u32 {
        self.connection_count.load(Ordering::Relaxed)
    }

    /// Responds with 200 and this body to all requests from now on. Returns a record of each request's id and the time
    /// at which it was received.
    pub fn serve_all(mut self, body: &'static str) -> Arc<Mutex<Vec<(String, Instant)>>> {
        let served = Arc::new(Mutex::new(Vec::new()));
        let record = served.clone();
        tokio::spawn(async move {
            while let Some(request) = self.requests.recv().await {
                let id = request.header("try-id").unwrap_or_default().to_string();
                record
                    .lock()
                    .expect("one writer")
                    .push((id, Instant::now()));
                request.respond(200, &[], body).await;
            }
        });
        served
    }
}

/// Queues the next request of a connection.
async fn receive_request(mut stream: TcpStream, queue: mpsc::UnboundedSender<ReceivedRequest>) {
    if let Some(message) = read_message(&mut stream, MessageKind::Request).await {
        _ = queue.clone().send(ReceivedRequest {
            message,
            stream,
            queue,
        });
    }
}

impl ReceivedRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.message.header(name)
    }

    /// Remaining time until the client's deadline, in milliseconds, when the proxy sent this attempt.
    pub fn deadline_ms(&self) -> Option<u64> {
        self.header("deadline").and_then(|ms| ms.parse().ok())
    }

    /// The bytes of a sealed response to this request.
    pub fn response_bytes(&self, status: u16, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
        let id = self.header("try-id").unwrap_or_default();
        let mut text = format!("HTTP/1.1 {status} X\r\ntry-id: {id}\r\nseal: s.{id}\r\n");
        headers
            .iter()
            .for_each(|(name, value)| text.push_str(&format!("{name}: {value}\r\n")));
        text.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
        text.into_bytes()
    }

    pub async fn write(&mut self, bytes: &[u8]) {
        _ = self.stream.write_all(bytes).await;
    }

    /// Responds, and keeps the connection open.
    pub async fn respond(mut self, status: u16, headers: &[(&str, &str)], body: &str) {
        let bytes = self.response_bytes(status, headers, body);
        self.write(&bytes).await;
        self.keep_connection();
    }

    /// Keeps the connection open, and queues the next request on it.
    pub fn keep_connection(self) {
        tokio::spawn(receive_request(self.stream, self.queue));
    }

    /// Waits until the proxy has closed the connection.
    pub async fn wait_closed(&mut self) {
        let mut byte = [0];
        let end = within_limit("the end of the attempt", self.stream.read(&mut byte)).await;
        assert!(
            matches!(end, Ok(0) | Err(_)),
            "the connection must end without further bytes"
        );
    }
}

/// Two servers of the service `s`, and their instances `i-1` and `i-2`.
pub async fn two_servers() -> (Server, Server, Vec<Instance>) {
    let (one, two) = (Server::start().await, Server::start().await);
    let instances = vec![instance("i-1", one.address), instance("i-2", two.address)];
    (one, two, instances)
}

/// Waits for the next request at either server. Returns it, the server that did not receive it, and the id of the
/// instance that did.
pub async fn next_request_at_either<'a>(
    one: &'a mut Server,
    two: &'a mut Server,
) -> (ReceivedRequest, &'a mut Server, &'static str) {
    let receiving = async {
        tokio::select! {
            request = one.requests.recv() => (request, true),
            request = two.requests.recv() => (request, false),
        }
    };
    match within_limit("a request at either server", receiving).await {
        (request, true) => (request.expect("the server listens"), two, "i-1"),
        (request, false) => (request.expect("the server listens"), one, "i-2"),
    }
}
