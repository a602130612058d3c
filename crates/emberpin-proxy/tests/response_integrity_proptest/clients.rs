//! Clients that send generated requests and check their responses against the history.

use crate::cases::ClientRequest;
use crate::common::{read_message, within_limit, Message, MessageKind, HOST};
use crate::history::SharedHistory;
use crate::TIMEOUT;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Sends one request and reads its response.
async fn exchange(
    stream: &mut TcpStream,
    request: &ClientRequest,
    number: usize,
    id: &str,
) -> Option<Message> {
    let (method, kind) = if request.mutating {
        ("POST", "w")
    } else {
        ("PUT", "r")
    };
    let head = format!(
        "{method} /{kind}{number}/{id} HTTP/1.1\r\nhost: {HOST}\r\ntry-id: {id}\r\ndeadline: {}\r\n\
         content-length: {}\r\n\r\n",
        TIMEOUT.as_millis(),
        request.body
    );
    let request = [head.into_bytes(), vec![b'x'; request.body]].concat();
    let (mut from, mut to) = stream.split();
    // A response may arrive before the whole request has been sent.
    let writing = async {
        _ = to.write_all(&request).await;
        std::future::pending::<()>().await;
    };
    let beginning = async {
        let mut byte = [0];
        _ = from.peek(&mut byte).await;
    };
    within_limit("a response", async {
        tokio::select! {
            () = writing => {}
            () = beginning => {}
        }
    })
    .await;
    within_limit("a response", read_message(stream, MessageKind::Response)).await
}

/// Sends requests one after another, with ids made of the numbers of the service, the client and the request. Returns
/// the status of each response, or the first violation.
pub async fn run_client(
    to: SocketAddr,
    requests: Vec<ClientRequest>,
    number: usize,
    client: usize,
    history: SharedHistory,
) -> Result<Vec<u16>, String> {
    let mut kept_connection: Option<TcpStream> = None;
    let mut statuses = Vec::new();
    for (index, request) in requests.iter().enumerate() {
        let id = format!("c{number}-{client}-{index}");
        let mut stream = match kept_connection.take() {
            Some(stream) => stream,
            None => TcpStream::connect(to)
                .await
                .map_err(|error| error.to_string())?,
        };
        let message = exchange(&mut stream, request, number, &id).await;
        history.borrow().check_attempts(request, &id)?;
        let Some(message) = message else {
            history.borrow().check_missing_response(&id)?;
            continue;
        };
        statuses.push(history.borrow().check_response(&id, &message)?);
        if stream.try_read(&mut [0]).is_ok_and(|more| more > 0) {
            return Err(format!("{id} got more bytes than its response"));
        }
        if message.complete && message.header("connection") != Some("close") && request.body < 1_000
        {
            kept_connection = Some(stream);
        }
        if request.pause {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    Ok(statuses)
}
